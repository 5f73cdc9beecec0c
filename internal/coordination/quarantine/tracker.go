package quarantine

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/ravenway/ravenway/internal/coordination/registry"
)

const (
	// provenEnds is how many ends that nothing else explains put a request into
	// quarantine: the fourth engine is the first that the users' rule counts. Of 1,840
	// other requests in 40 s none is taken for a poison one so, whether engines fail for
	// other reasons or not (simulate.RunPoison, 40 seeds).
	provenEnds = 3
	// certainEnds is how many ends do so whoever else was there: a request that is sent to
	// two engines each time and comes back once is at four ends at most.
	certainEnds = 5
	// suspectEnds is at how many ends a request is one that others are told of, so that a
	// run of it to its end is noticed at any node; so many that count make it a suspect.
	suspectEnds = 2
	// endsKept bounds the ends held of one request.
	endsKept = 8
	// expireInterval is the time between looks for ends that are too old to count.
	expireInterval = time.Second
	// settleTime is how long after the word of an end it counts: by then the other
	// nodes whose runs broke with it have said so.
	settleTime = 60 * time.Millisecond
)

// Defaults of Options.
const (
	// DefaultMemory is how long ends count: a request that ends engines again and
	// again costs one of them in that time.
	DefaultMemory = 30 * time.Minute
	// DefaultRequests bounds the requests held, at some 300 bytes each.
	DefaultRequests = 1024
)

// Options bound a Tracker.
type Options struct {
	// Memory is how long an end counts; 0 means the default.
	Memory time.Duration
	// Requests is the most requests held; 0 means the default. Beyond it those with
	// the fewest ends are forgotten first, and of these the oldest.
	Requests int
}

// End is one end of an engine with a run of the request there.
type End struct {
	Life      registry.Incarnation `msgpack:"l"`
	Suspicion Suspicion            `msgpack:"s"`
	// Age is how long ago it was, when this was sent.
	Age time.Duration `msgpack:"a"`
}

// Record is what one node tells another of a request.
type Record struct {
	Fingerprint Fingerprint `msgpack:"f"`
	// Generation counts how often the request was cleared. The record of a higher one
	// replaces those of lower ones.
	Generation uint32 `msgpack:"g"`
	Route      string `msgpack:"r"`
	Tenant     string `msgpack:"t"`
	Ends       []End  `msgpack:"e"`
}

// suspect is a request that was at the end of some engine.
type suspect struct {
	Fingerprint
	generation    uint32
	route, tenant string
	ends          map[registry.Incarnation]end
	// counted and isQuarantined are derived from the ends of all suspects.
	counted       int
	isQuarantined bool
	// changed is when the last end or clearing was noted.
	changed time.Duration
}

type end struct {
	suspicion Suspicion
	at        time.Duration
}

// Tracker holds which requests were there when engines ended, and derives which are in
// quarantine. It is not safe for concurrent use. Times are those of a steady clock.
type Tracker struct {
	options  Options
	suspects map[Fingerprint]*suspect
	// isOutdated tells that the derived part is, settles when the next end counts.
	isOutdated bool
	settles    time.Duration
	// expires is when the next end may be too old to count.
	expires time.Duration
	// news are the requests with own changes since TakeNews, told what TakeChanged
	// last returned of each.
	news map[Fingerprint]struct{}
	told map[Fingerprint]uint64
	// digest is that of what is told, while isDigestKnown: it is compared with each hello
	// of a control node, some 40 a second of 25, and made anew only after a change.
	digest        uint64
	isDigestKnown bool
}

// NewTracker makes an empty tracker.
func NewTracker(options Options) *Tracker {
	options.Memory = cmp.Or(options.Memory, DefaultMemory)
	options.Requests = cmp.Or(options.Requests, DefaultRequests)
	return &Tracker{
		options: options, suspects: map[Fingerprint]*suspect{}, news: map[Fingerprint]struct{}{}, told: map[Fingerprint]uint64{},
	}
}

// Report takes this node's own evidence.
func (t *Tracker) Report(now time.Duration, evidence Evidence) {
	one := t.find(evidence.Fingerprint, now, 1)
	if one == nil {
		return
	}
	one.route, one.tenant = evidence.Route, evidence.Tenant
	if t.addEnd(one, End{Life: evidence.Life, Suspicion: evidence.Suspicion}, now) {
		t.news[evidence.Fingerprint] = struct{}{}
	}
}

// Clear forgets the ends of a request: it ran to its end somewhere, or an operator says
// so. It returns whether the request was known.
func (t *Tracker) Clear(now time.Duration, fingerprint Fingerprint) bool {
	one := t.suspects[fingerprint]
	if one == nil || len(one.ends) == 0 {
		return false
	}
	one.generation++
	clear(one.ends)
	one.changed = now
	t.outdate()
	t.news[fingerprint] = struct{}{}
	return true
}

// Merge takes what another node holds.
func (t *Tracker) Merge(now time.Duration, records []Record) {
	for _, record := range records {
		t.merge(now, record)
	}
}

func (t *Tracker) merge(now time.Duration, record Record) {
	known := t.suspects[record.Fingerprint]
	if known != nil && record.Generation < known.generation || known == nil && record.Generation == 0 && len(record.Ends) == 0 {
		return
	}
	one := t.find(record.Fingerprint, record.newest(now), len(record.Ends))
	if one == nil {
		return
	}
	if record.Generation > one.generation {
		one.generation = record.Generation
		clear(one.ends)
		t.outdate()
	}
	one.route, one.tenant = cmp.Or(one.route, record.Route), cmp.Or(one.tenant, record.Tenant)
	for _, told := range record.Ends {
		if told.Suspicion >= Excused && told.Suspicion <= Likely {
			t.addEnd(one, told, now-max(0, told.Age))
		}
	}
}

// newest is when the record's latest end was, by the receiver's clock.
func (r Record) newest(now time.Duration) time.Duration {
	age := time.Duration(0)
	for position, told := range r.Ends {
		if position == 0 || told.Age < age {
			age = told.Age
		}
	}
	return now - age
}

// find returns a request's suspect, a new one if there is none. It returns nil if there
// is no room, and everything held is worth more than a request with so many ends at
// that time: so nodes that exchange what they hold come to hold the same.
func (t *Tracker) find(fingerprint Fingerprint, changed time.Duration, ends int) *suspect {
	one := t.suspects[fingerprint]
	if one != nil {
		return one
	}
	made := &suspect{Fingerprint: fingerprint, ends: map[registry.Incarnation]end{}, changed: changed}
	if len(t.suspects) >= t.options.Requests {
		least := t.least()
		if made.compareWorth(ends, least) < 0 {
			return nil
		}
		t.forget(least.Fingerprint)
	}
	t.suspects[fingerprint] = made
	return made
}

// least is the suspect that it would cost the least to forget.
func (t *Tracker) least() *suspect {
	var least *suspect
	for _, one := range t.suspects {
		if least == nil || one.compareWorth(len(one.ends), least) < 0 {
			least = one
		}
	}
	return least
}

// compareWorth compares what it would cost to forget a suspect with so many ends and
// another one: one in quarantine the most, then one with more ends, then a later one.
func (s *suspect) compareWorth(ends int, other *suspect) int {
	rank := func(one *suspect, ends int) int {
		if one.isQuarantined {
			return endsKept + 1
		}
		return ends
	}
	return cmp.Or(
		cmp.Compare(rank(s, ends), rank(other, len(other.ends))), cmp.Compare(s.changed, other.changed), s.compare(other.Fingerprint),
	)
}

// outdate notes a change of what is held.
func (t *Tracker) outdate() { t.isOutdated, t.isDigestKnown = true, false }

func (t *Tracker) forget(fingerprint Fingerprint) {
	delete(t.suspects, fingerprint)
	delete(t.news, fingerprint)
	delete(t.told, fingerprint)
	t.outdate()
}

// addEnd notes an end and tells whether that is new.
func (t *Tracker) addEnd(one *suspect, told End, at time.Duration) bool {
	known, found := one.ends[told.Life]
	if found && known.suspicion >= told.Suspicion || !found && len(one.ends) >= endsKept {
		return false
	}
	if found {
		at = known.at
	}
	one.ends[told.Life] = end{suspicion: told.Suspicion, at: at}
	one.changed = max(one.changed, at)
	t.outdate()
	return true
}

// expire forgets ends that are too old to count. A request that comes out of
// quarantine so is on probation: its two latest ends count once more as long, so that
// one further end puts it back.
func (t *Tracker) expire(now time.Duration) {
	if now < t.expires {
		return
	}
	t.expires = now + expireInterval
	for fingerprint, one := range t.suspects {
		if now-one.changed <= t.options.Memory {
			continue
		}
		if !one.isQuarantined {
			t.forget(fingerprint)
			continue
		}
		kept := one.latest(suspectEnds)
		clear(one.ends)
		for _, life := range kept {
			one.ends[life] = end{suspicion: Likely, at: now - settleTime}
		}
		one.changed = now
		t.outdate()
	}
}

// latest returns the lives of the latest ends.
func (s *suspect) latest(count int) []registry.Incarnation {
	lives := s.lives()
	slices.SortStableFunc(lives, func(a, b registry.Incarnation) int { return cmp.Compare(s.ends[b].at, s.ends[a].at) })
	return lives[:min(count, len(lives))]
}

// lives returns the lives that ended with the request there, in order.
func (s *suspect) lives() []registry.Incarnation {
	lives := make([]registry.Incarnation, 0, len(s.ends))
	for life := range s.ends {
		lives = append(lives, life)
	}
	slices.SortFunc(lives, func(a, b registry.Incarnation) int {
		return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.StartedAt, b.StartedAt))
	})
	return lives
}

func (f Fingerprint) compare(other Fingerprint) int {
	return cmp.Or(cmp.Compare(f.Scope, other.Scope), cmp.Compare(f.Length, other.Length), cmp.Compare(f.Body, other.Body))
}

// isTold tells whether other nodes are told of the request.
func (s *suspect) isTold() bool {
	return s.isQuarantined || len(s.ends) >= suspectEnds || s.generation > 0
}

// state covers what others are told of the request.
func (s *suspect) state() uint64 {
	var encoded []byte
	for _, number := range []uint64{s.Scope, s.Length, s.Body, uint64(s.generation), uint64(len(s.ends)), uint64(s.counted)} {
		encoded = binary.BigEndian.AppendUint64(encoded, number)
	}
	if s.isQuarantined {
		encoded = append(encoded, 1)
	}
	return xxhash.Sum64(encoded)
}

func (s *suspect) record(now time.Duration) Record {
	record := Record{Fingerprint: s.Fingerprint, Generation: s.generation, Route: s.route, Tenant: s.tenant, Ends: make([]End, 0, len(s.ends))}
	for _, life := range s.lives() {
		held := s.ends[life]
		record.Ends = append(record.Ends, End{Life: life, Suspicion: held.suspicion, Age: now - held.at})
	}
	return record
}

// Records returns all that is held, in order, for a node that may have nothing.
func (t *Tracker) Records(now time.Duration) []Record {
	return t.recordsOf(now, func(*suspect) bool { return true })
}

// Told returns what all nodes are told, in order.
func (t *Tracker) Told(now time.Duration) []Record {
	return t.recordsOf(now, (*suspect).isTold)
}

// TakeNews returns the requests with evidence or clearings of this node since the last
// call.
func (t *Tracker) TakeNews(now time.Duration) []Record {
	if len(t.news) == 0 {
		return nil
	}
	news := t.recordsOf(now, func(one *suspect) bool {
		_, found := t.news[one.Fingerprint]
		return found
	})
	clear(t.news)
	return news
}

// TakeChanged returns what all nodes are to be told since the last call.
func (t *Tracker) TakeChanged(now time.Duration) []Record {
	return t.recordsOf(now, func(one *suspect) bool {
		state := one.state()
		if !one.isTold() || t.told[one.Fingerprint] == state {
			return false
		}
		t.told[one.Fingerprint] = state
		return true
	})
}

func (t *Tracker) recordsOf(now time.Duration, wanted func(*suspect) bool) []Record {
	var records []Record
	for _, one := range t.suspects {
		if wanted(one) {
			records = append(records, one.record(now))
		}
	}
	slices.SortFunc(records, func(a, b Record) int { return a.Fingerprint.compare(b.Fingerprint) })
	return records
}

// Digest is equal on nodes that would tell the same; 0 on those with nothing to tell.
func (t *Tracker) Digest() uint64 {
	if !t.isDigestKnown {
		t.digest, t.isDigestKnown = t.computeDigest(), true
	}
	return t.digest
}

func (t *Tracker) computeDigest() uint64 {
	digest := uint64(0)
	for _, one := range t.suspects {
		if one.isTold() {
			digest ^= one.state()
		}
	}
	return digest
}

// Held is what is held against one request, for operators.
type Held struct {
	Record
	IsQuarantined bool
	Counted       int
}

// Held lists what is held, those in quarantine first and then those that most ends count
// against.
func (t *Tracker) Held(now time.Duration) []Held {
	var held []Held
	for _, one := range t.suspects {
		if len(one.ends) > 0 {
			held = append(held, Held{Record: one.record(now), IsQuarantined: one.isQuarantined, Counted: one.counted})
		}
	}
	rank := func(one Held) int {
		if one.IsQuarantined {
			return endsKept + 1
		}
		return one.Counted
	}
	slices.SortFunc(held, func(a, b Held) int {
		return cmp.Or(cmp.Compare(rank(b), rank(a)), a.Fingerprint.compare(b.Fingerprint))
	})
	return held
}
