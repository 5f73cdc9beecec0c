package balance

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/ravenway/ravenway/internal/coordination/ratelimit"
	"github.com/ravenway/ravenway/internal/coordination/registry"
)

// Load is what nodes have under way at one instance.
type Load struct {
	// Tokens of prompts that the instance has yet to read.
	Tokens int
	// Requests that were sent there and have not ended.
	Requests int
}

// InstanceKey is a short name of an instance in load reports. Two instances
// with the same key only look busier than they are.
type InstanceKey uint32

// KeyOf returns the key of a life of an instance: what is said of one life says nothing
// of the next.
func KeyOf(life registry.Life) InstanceKey { return InstanceKey(xxhash.Sum64String(life.String())) }

// Loads are loads by instance. Absent ones are 0.
type Loads map[InstanceKey]Load

func (l Loads) add(other Loads) {
	for key, load := range other {
		sum := l[key]
		sum.Tokens += load.Tokens
		sum.Requests += load.Requests
		l[key] = sum
	}
}

const (
	// tokenUnit is the step of the tokens in a report.
	tokenUnit = 64
	// encodedLoadBytes is the length of one instance in a report.
	encodedLoadBytes = 7
	maximumRequests  = 255
)

// Encode packs loads: 4 bytes of key, 2 of tokens, 1 of requests each.
func (l Loads) Encode() []byte { return l.encodeBut(l.keys(), nil) }

// keys are the loads' keys in order.
func (l Loads) keys() []InstanceKey {
	keys := make([]InstanceKey, 0, len(l))
	for key := range l {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// encodeBut packs loads less a part of them, which may be nil. keys are those of
// the loads, in order.
func (l Loads) encodeBut(keys []InstanceKey, part Loads) []byte {
	encoded := make([]byte, 0, len(l)*encodedLoadBytes)
	for _, key := range keys {
		load := l[key]
		if less, found := part[key]; found {
			load.Tokens -= less.Tokens
			load.Requests -= less.Requests
			if load == (Load{}) {
				continue
			}
		}
		units := min((load.Tokens+tokenUnit-1)/tokenUnit, 1<<16-1)
		encoded = binary.BigEndian.AppendUint32(encoded, uint32(key))
		encoded = binary.BigEndian.AppendUint16(encoded, uint16(units))
		encoded = append(encoded, byte(min(load.Requests, maximumRequests)))
	}
	return encoded
}

// DecodeLoads reads what Encode wrote; a torn end is passed over.
func DecodeLoads(encoded []byte) Loads {
	loads := make(Loads, len(encoded)/encodedLoadBytes)
	for len(encoded) >= encodedLoadBytes {
		key := InstanceKey(binary.BigEndian.Uint32(encoded))
		tokens := int(binary.BigEndian.Uint16(encoded[4:])) * tokenUnit
		loads[key] = Load{Tokens: tokens, Requests: int(encoded[6])}
		encoded = encoded[encodedLoadBytes:]
	}
	return loads
}

// LoadScope tells whose loads a report sums up.
type LoadScope uint8

// Scopes of a report.
const (
	// OwnLoads go from a node to its zone's relay.
	OwnLoads LoadScope = iota + 1
	// ZoneLoads go from a zone's relay to the others.
	ZoneLoads
	// AllOtherLoads go from a relay to a node of its zone: all but the node's own.
	AllOtherLoads
	// LimitsWanted is the question of a node that has just started for the limits in
	// force, LimitsTold the answer.
	LimitsWanted
	LimitsTold
)

// LoadReport is one message of the exchange.
type LoadReport struct {
	Scope LoadScope `msgpack:"s"`
	Zone  string    `msgpack:"z"`
	Loads []byte    `msgpack:"l"`
	// Parts are the prompt parts sent elsewhere than to their homes since the
	// report before.
	Parts []byte `msgpack:"p,omitempty"`
	// AgeMS is the time since the sender's process started, in milliseconds.
	AgeMS uint64 `msgpack:"y,omitempty"`
	// Limits are the instances' limits that have begun, changed or ended since the report
	// before.
	Limits []ratelimit.Update `msgpack:"m,omitempty"`
}

// News is what happens once and is told once, beside the loads.
type News struct {
	// Parts are the prompt parts sent elsewhere than to their homes.
	Parts []HeldPart
	// Limits are the instances' limits that have begun, changed or ended.
	Limits []ratelimit.Update
}

func (n *News) add(other News) {
	n.Parts = appendParts(n.Parts, other.Parts)
	n.Limits = append(n.Limits, other.Limits...)
}

func (n *News) isEmpty() bool { return len(n.Parts) == 0 && len(n.Limits) == 0 }

// OutgoingReport is a report and its receiver.
type OutgoingReport struct {
	To     string
	Report LoadReport
}

// EntryNode is a node that sends requests.
type EntryNode struct{ Address, Zone string }

// reportAge is how many intervals a report counts.
const reportAge = 4

// LoadExchange tells the entry nodes what the others have under way, so that a
// choice of an instance is not blind to all but its own requests. Each zone's
// node with the lowest address is its relay: it sums up its zone, exchanges the
// sums with the other relays, and tells its zone's nodes. So a node sends and
// receives one report an interval whatever the number of nodes, and one report
// an interval and pair crosses zones. Where the relay does not answer, nodes know
// their own requests only, as before.
//
// It is a pure step and not safe for concurrent use.
type LoadExchange struct {
	self     EntryNode
	interval time.Duration
	members  []EntryNode
	// relays are the relays by zone.
	relays map[string]string
	// own are the reports of this zone's nodes, zones those of other relays;
	// told is the last AllOtherLoads.
	own   map[string]heardLoads
	zones map[string]heardLoads
	told  heardLoads
	// silent tells that the last own report was empty.
	silent    bool
	greetings greetings
	// zoneNews and otherNews are what was heard since the last step: from this zone's
	// nodes, and from or through other relays.
	zoneNews, otherNews News
}

type heardLoads struct {
	loads Loads
	at    time.Duration
}

// NewLoadExchange makes a node's part of the exchange.
func NewLoadExchange(self EntryNode, interval time.Duration) *LoadExchange {
	exchange := &LoadExchange{self: self, greetings: newGreetings(self), relays: map[string]string{}, own: map[string]heardLoads{}, zones: map[string]heardLoads{}}
	exchange.SetNodes(nil, interval)
	return exchange
}

// SetNodes replaces the other entry nodes, and sets the time between reports.
func (e *LoadExchange) SetNodes(others []EntryNode, interval time.Duration) {
	e.interval = interval
	e.greetings.setNodes(others)
	e.members = e.members[:0]
	clear(e.relays)
	for _, node := range append(slices.Clone(others), e.self) {
		if relay, found := e.relays[node.Zone]; !found || node.Address < relay {
			e.relays[node.Zone] = node.Address
		}
		if node.Zone == e.self.Zone && node.Address != e.self.Address {
			e.members = append(e.members, node)
		}
	}
}

func (e *LoadExchange) isRelay() bool { return e.relays[e.self.Zone] == e.self.Address }

// Take notes another node's report.
func (e *LoadExchange) Take(now time.Duration, from string, report LoadReport) {
	heard := heardLoads{loads: DecodeLoads(report.Loads), at: now}
	news := News{Parts: decodeParts(report.Parts), Limits: ratelimit.Received(now, report.Limits)}
	switch report.Scope {
	case OwnLoads:
		e.own[from] = heard
		e.zoneNews.add(news)
	case ZoneLoads:
		e.zones[report.Zone] = heard
		e.otherNews.add(news)
	case AllOtherLoads:
		e.told = heard
		e.otherNews.add(news)
	case LimitsWanted:
		e.greetings.asked[from] = true
	case LimitsTold:
		e.greetings.asks = 0
		e.otherNews.add(news)
	}
}

// Known is what a node knows of the others.
type Known struct {
	// Loads are what all others have under way; nil if they are not heard.
	Loads Loads
	// News is what was heard since the last step.
	News
}

// Step returns the reports that are due, and what is known of all other nodes.
// happened is this node's own news since the last step, inForce tells the limits for a
// node that has just started.
func (e *LoadExchange) Step(now time.Duration, own Loads, happened News, inForce func() []ratelimit.Update) ([]OutgoingReport, Known) {
	reports, known := e.step(now, own, happened)
	return append(reports, e.greetings.step(now, inForce)...), known
}

func (e *LoadExchange) step(now time.Duration, own Loads, happened News) ([]OutgoingReport, Known) {
	e.forget(now)
	zoneNews, otherNews := e.zoneNews, e.otherNews
	e.zoneNews, e.otherNews = News{}, News{}
	if !e.isRelay() {
		var reports []OutgoingReport
		if len(own) > 0 || !happened.isEmpty() || !e.silent {
			reports = append(reports, e.report(e.relays[e.self.Zone], OwnLoads, own.Encode(), encodeNews(now, happened)))
		}
		e.silent = len(own) == 0
		return reports, Known{Loads: e.told.loads, News: otherNews}
	}
	zoneNews.add(happened)
	reports, others := e.stepRelay(now, own, zoneNews, otherNews)
	zoneNews.add(otherNews)
	return reports, Known{Loads: others, News: zoneNews}
}

// encodedNews is news as a report carries it.
type encodedNews struct {
	parts  []byte
	limits []ratelimit.Update
}

func encodeNews(now time.Duration, news News) encodedNews {
	return encodedNews{parts: encodeParts(news.Parts), limits: ratelimit.ForSending(now, news.Limits)}
}

func (n encodedNews) isEmpty() bool { return len(n.parts) == 0 && len(n.limits) == 0 }

// stepRelay sums up the zone for the other relays, and all others for each node
// of the zone. The sum of all is made once and each node's own part taken off it:
// adding up the others for each would grow with the square of the zone's nodes.
func (e *LoadExchange) stepRelay(now time.Duration, own Loads, zoneNews, otherNews News) ([]OutgoingReport, Loads) {
	others, zone, members := Loads{}, Loads{}, Loads{}
	for _, heard := range e.zones {
		others.add(heard.loads)
	}
	for _, heard := range e.own {
		members.add(heard.loads)
	}
	zone.add(own)
	zone.add(members)
	var reports []OutgoingReport
	encodedZone, encodedZoneNews := zone.Encode(), encodeNews(now, zoneNews)
	for name, relay := range e.relays {
		if name != e.self.Zone && (len(zone) > 0 || !zoneNews.isEmpty() || !e.silent) {
			reports = append(reports, e.report(relay, ZoneLoads, encodedZone, encodedZoneNews))
		}
	}
	e.silent = len(zone) == 0
	all := Loads{}
	all.add(others)
	all.add(zone)
	var allNews News
	allNews.add(zoneNews)
	allNews.add(otherNews)
	keys, news := all.keys(), encodeNews(now, allNews)
	for _, member := range e.members {
		if loads := all.encodeBut(keys, e.own[member.Address].loads); len(loads) > 0 || !news.isEmpty() {
			reports = append(reports, e.report(member.Address, AllOtherLoads, loads, news))
		}
	}
	others.add(members)
	return reports, others
}

func (e *LoadExchange) report(to string, scope LoadScope, loads []byte, news encodedNews) OutgoingReport {
	return OutgoingReport{To: to, Report: LoadReport{Scope: scope, Zone: e.self.Zone, Loads: loads, Parts: news.parts, Limits: news.limits}}
}

// forget drops reports that are too old to count.
func (e *LoadExchange) forget(now time.Duration) {
	isOld := func(heard heardLoads) bool { return now-heard.at > reportAge*e.interval }
	for address, heard := range e.own {
		if isOld(heard) {
			delete(e.own, address)
		}
	}
	for zone, heard := range e.zones {
		if isOld(heard) {
			delete(e.zones, zone)
		}
	}
	if isOld(e.told) {
		e.told = heardLoads{}
	}
}
