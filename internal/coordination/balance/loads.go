package balance

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/ravenway/ravenway/internal/coordination/overload"
	"github.com/ravenway/ravenway/internal/coordination/ratelimit"
	"github.com/ravenway/ravenway/internal/coordination/registry"
)

// Load is the work that nodes have in flight at one instance.
type Load struct {
	// Tokens is the number of prompt tokens that the instance has yet to read.
	Tokens int
	// Requests is the number of requests that were sent there and have not ended.
	Requests int
}

// InstanceKey is a 32-bit hash that identifies an incarnation of an instance in load reports. Two
// instances with the same key appear busier than they are, which is the only effect of a collision.
type InstanceKey uint32

// KeyOf returns the key of an incarnation of an instance. Each incarnation has its own key, because
// the load of one indicates nothing about the next.
func KeyOf(incarnation registry.Incarnation) InstanceKey {
	return InstanceKey(xxhash.Sum64String(incarnation.String()))
}

// Loads holds the loads by instance. An instance without an entry has no load.
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
	// tokenUnit is the resolution of token counts in a report, in tokens.
	tokenUnit = 64
	// encodedLoadBytes is the encoded length of one instance's load.
	encodedLoadBytes = 7
	maximumRequests  = 255
)

// Encode packs the loads in order of their keys, each as 4 bytes of key, 2 of tokens in units of
// tokenUnit, and 1 of requests, capped at maximumRequests.
func (l Loads) Encode() []byte { return l.encodeWithout(l.keys(), nil) }

// keys returns the keys in ascending order.
func (l Loads) keys() []InstanceKey {
	keys := make([]InstanceKey, 0, len(l))
	for key := range l {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// encodeWithout packs the loads after subtracting those in subtracted, which may be nil. keys are
// the keys of the loads in ascending order.
func (l Loads) encodeWithout(keys []InstanceKey, subtracted Loads) []byte {
	encoded := make([]byte, 0, len(l)*encodedLoadBytes)
	for _, key := range keys {
		load := l[key]
		if less, found := subtracted[key]; found {
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

// DecodeLoads decodes the output of Encode. An incomplete entry at the end is ignored.
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

// LoadScope is the kind of a report: whose loads it sums up, or that it belongs to the initial
// exchange of limits.
type LoadScope uint8

// Scopes of a report.
const (
	// OwnLoads reports go from a node to the relay of its zone.
	OwnLoads LoadScope = iota + 1
	// ZoneLoads reports go from a zone's relay to the other relays.
	ZoneLoads
	// AllOtherLoads reports go from a relay to a node of its zone and sum up all loads but the
	// node's own.
	AllOtherLoads
	// LimitsRequest is the request of a node that has just started for the active limits, and
	// LimitsResponse is the response.
	LimitsRequest
	LimitsResponse
)

// LoadReport is one message of the load exchange.
type LoadReport struct {
	Scope LoadScope `msgpack:"s"`
	Zone  string    `msgpack:"z"`
	Loads []byte    `msgpack:"l"`
	// Parts are the encoded prompt parts that were sent to other instances than their homes since
	// the previous report.
	Parts []byte `msgpack:"p,omitempty"`
	// AgeMS is the time since the sender's process started, in milliseconds.
	AgeMS uint64 `msgpack:"y,omitempty"`
	// Limits are the instances' rate limits that began, changed or ended since the previous report.
	Limits []ratelimit.Update `msgpack:"m,omitempty"`
	// Links is the encoded overload.NodeState of the sender in OwnLoads reports, and the encoded
	// overload.ZoneState of the zone in AllOtherLoads reports.
	Links []byte `msgpack:"n,omitempty"`
}

// Updates holds the events that are sent once, together with the loads.
type Updates struct {
	// Parts are the prompt parts that were sent to other instances than their homes.
	Parts []HeldPart
	// Limits are the instances' rate limits that began, changed or ended.
	Limits []ratelimit.Update
}

func (u *Updates) add(other Updates) {
	u.Parts = appendParts(u.Parts, other.Parts)
	u.Limits = append(u.Limits, other.Limits...)
}

func (u *Updates) isEmpty() bool { return len(u.Parts) == 0 && len(u.Limits) == 0 }

// OutgoingReport is a report and its receiver.
type OutgoingReport struct {
	To     string
	Report LoadReport
}

// EntryNode is a node that sends requests to instances.
type EntryNode struct{ Address, Zone string }

// maximumReportIntervals is the number of report intervals after which a received report is
// dropped.
const maximumReportIntervals = 4

// LoadExchange shares the entry nodes' loads, so that the choice of an instance accounts for the
// requests of all nodes. The node with the lowest address in each zone is its relay. A relay sums
// up the loads of its zone, exchanges the sums with the other relays, and reports the loads of all
// others to each node of its zone. A node that is not a relay thus sends and receives one report
// per interval regardless of the number of nodes, and one report per interval crosses zones in each
// direction between two relays. While the relay is unreachable, the nodes of its zone know only
// their own requests.
//
// It has no clock and does no I/O, and it is not safe for concurrent use.
type LoadExchange struct {
	self     EntryNode
	interval time.Duration
	// zonePeers holds the other nodes of this node's zone.
	zonePeers []EntryNode
	// relays holds the address of each zone's relay.
	relays map[string]string
	// zoneReports holds the last reports of this zone's nodes, and relayReports those of the other
	// relays. fromRelay is the last AllOtherLoads report.
	zoneReports  map[string]receivedLoads
	relayReports map[string]receivedLoads
	fromRelay    receivedLoads
	// wasEmpty reports whether the last report that this node sent had no loads.
	wasEmpty        bool
	initialExchange initialExchange
	links           linkExchange
	// zoneUpdates and otherUpdates are the updates received since the last step: zoneUpdates from
	// this zone's nodes, otherUpdates from or through relays.
	zoneUpdates, otherUpdates Updates
}

type receivedLoads struct {
	loads      Loads
	receivedAt time.Duration
}

// NewLoadExchange returns the load exchange of a node without any other entry nodes.
func NewLoadExchange(self EntryNode, interval time.Duration) *LoadExchange {
	exchange := &LoadExchange{
		self: self, initialExchange: newInitialExchange(self), links: newLinkExchange(self),
		relays: map[string]string{}, zoneReports: map[string]receivedLoads{}, relayReports: map[string]receivedLoads{},
	}
	exchange.SetNodes(nil, interval)
	return exchange
}

// SetNodes replaces the other entry nodes and sets the time between reports.
func (e *LoadExchange) SetNodes(others []EntryNode, interval time.Duration) {
	e.interval = interval
	e.initialExchange.setNodes(others)
	e.zonePeers = e.zonePeers[:0]
	clear(e.relays)
	for _, node := range append(slices.Clone(others), e.self) {
		if relay, found := e.relays[node.Zone]; !found || node.Address < relay {
			e.relays[node.Zone] = node.Address
		}
		if node.Zone == e.self.Zone && node.Address != e.self.Address {
			e.zonePeers = append(e.zonePeers, node)
		}
	}
}

func (e *LoadExchange) isRelay() bool { return e.relays[e.self.Zone] == e.self.Address }

// Receive processes a report from another node. The error is overload.ErrState: the report's Links
// are invalid and have no effect. The rest of it counts, because updates are sent only once.
func (e *LoadExchange) Receive(now time.Duration, from string, report LoadReport) error {
	received := receivedLoads{loads: DecodeLoads(report.Loads), receivedAt: now}
	updates := Updates{Parts: decodeParts(report.Parts), Limits: ratelimit.Received(now, report.Limits)}
	switch report.Scope {
	case OwnLoads:
		e.zoneReports[from] = received
		e.zoneUpdates.add(updates)
	case ZoneLoads:
		e.relayReports[report.Zone] = received
		e.otherUpdates.add(updates)
	case AllOtherLoads:
		e.fromRelay = received
		e.otherUpdates.add(updates)
	case LimitsRequest:
		e.initialExchange.requesters[from] = true
	case LimitsResponse:
		e.initialExchange.requestsLeft = 0
		e.otherUpdates.add(updates)
	}
	return e.receiveLinks(now, from, &report)
}

// Known is what a node knows of the other nodes.
type Known struct {
	// Loads are the loads of all others; nil if not known.
	Loads Loads
	// Zone is what is known of the links of this node's zone; the zero value if nothing is known.
	Zone overload.ZoneState
	// Updates holds the updates received since the last step.
	Updates
}

// Step returns the reports that are due and what is known of all other nodes. ownUpdates holds this
// node's own updates since the last step. activeLimits returns the limits that are sent to nodes
// that have just started.
func (e *LoadExchange) Step(now time.Duration, own Loads, ownUpdates Updates, activeLimits func() []ratelimit.Update) ([]OutgoingReport, Known) {
	reports, known := e.step(now, own, ownUpdates)
	return append(reports, e.initialExchange.step(now, activeLimits)...), known
}

func (e *LoadExchange) step(now time.Duration, own Loads, ownUpdates Updates) ([]OutgoingReport, Known) {
	e.dropExpiredReports(now)
	zoneUpdates, otherUpdates := e.zoneUpdates, e.otherUpdates
	e.zoneUpdates, e.otherUpdates = Updates{}, Updates{}
	if !e.isRelay() {
		var reports []OutgoingReport
		links := e.links.encodeOwn()
		if len(own) > 0 || !ownUpdates.isEmpty() || !e.wasEmpty || links != nil {
			reports = append(reports, e.report(e.relays[e.self.Zone], OwnLoads, own.Encode(), encodeUpdates(now, ownUpdates)).withLinks(links))
		}
		e.wasEmpty = len(own) == 0
		return reports, Known{Loads: e.fromRelay.loads, Zone: e.links.zone, Updates: otherUpdates}
	}
	zoneUpdates.add(ownUpdates)
	links := e.links.sumUp(1 + len(e.zonePeers))
	reports, others := e.stepRelay(now, own, zoneUpdates, otherUpdates, links)
	zoneUpdates.add(otherUpdates)
	return reports, Known{Loads: others, Zone: links, Updates: zoneUpdates}
}

// encodedUpdates holds updates as they are encoded in a report.
type encodedUpdates struct {
	parts  []byte
	limits []ratelimit.Update
}

func encodeUpdates(now time.Duration, updates Updates) encodedUpdates {
	return encodedUpdates{parts: encodeParts(updates.Parts), limits: ratelimit.ForSending(now, updates.Limits)}
}

func (u encodedUpdates) isEmpty() bool { return len(u.parts) == 0 && len(u.limits) == 0 }

// stepRelay sums up the loads of the zone for the other relays, and the loads of all others for
// each node of the zone. It computes the total once and subtracts each node's own loads from it,
// because summing the others separately for each node takes time quadratic in the number of nodes.
func (e *LoadExchange) stepRelay(now time.Duration, own Loads, zoneUpdates, otherUpdates Updates, links overload.ZoneState) ([]OutgoingReport, Loads) {
	others, zone, members := Loads{}, Loads{}, Loads{}
	for _, received := range e.relayReports {
		others.add(received.loads)
	}
	for _, received := range e.zoneReports {
		members.add(received.loads)
	}
	zone.add(own)
	zone.add(members)
	var reports []OutgoingReport
	encodedZone, encodedZoneUpdates := zone.Encode(), encodeUpdates(now, zoneUpdates)
	for name, relay := range e.relays {
		if name != e.self.Zone && (len(zone) > 0 || !zoneUpdates.isEmpty() || !e.wasEmpty) {
			reports = append(reports, e.report(relay, ZoneLoads, encodedZone, encodedZoneUpdates))
		}
	}
	e.wasEmpty = len(zone) == 0
	all := Loads{}
	all.add(others)
	all.add(zone)
	var allUpdates Updates
	allUpdates.add(zoneUpdates)
	allUpdates.add(otherUpdates)
	keys, updates := all.keys(), encodeUpdates(now, allUpdates)
	var encodedLinks []byte
	if links.Nodes > 0 {
		encodedLinks = links.Encode()
	}
	for _, member := range e.zonePeers {
		if loads := all.encodeWithout(keys, e.zoneReports[member.Address].loads); len(loads) > 0 || !updates.isEmpty() || encodedLinks != nil {
			reports = append(reports, e.report(member.Address, AllOtherLoads, loads, updates).withLinks(encodedLinks))
		}
	}
	others.add(members)
	return reports, others
}

func (e *LoadExchange) report(to string, scope LoadScope, loads []byte, updates encodedUpdates) OutgoingReport {
	return OutgoingReport{To: to, Report: LoadReport{Scope: scope, Zone: e.self.Zone, Loads: loads, Parts: updates.parts, Limits: updates.limits}}
}

func (r OutgoingReport) withLinks(links []byte) OutgoingReport {
	r.Report.Links = links
	return r
}

// dropExpiredReports drops the reports that are older than maximumReportIntervals.
func (e *LoadExchange) dropExpiredReports(now time.Duration) {
	isOld := func(received receivedLoads) bool { return now-received.receivedAt > maximumReportIntervals*e.interval }
	for address, received := range e.zoneReports {
		if isOld(received) {
			delete(e.zoneReports, address)
		}
	}
	for zone, received := range e.relayReports {
		if isOld(received) {
			delete(e.relayReports, zone)
		}
	}
	if isOld(e.fromRelay) {
		e.fromRelay = receivedLoads{}
	}
	e.links.dropExpired(now, maximumReportIntervals*e.interval)
}
