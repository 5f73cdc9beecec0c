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
	// provenEnds is the number of crashes without another explanation that put a request into
	// quarantine: the users' rule counts crashes from the fourth engine on. With this number none
	// of 1,840 other requests in 40 s is quarantined by mistake, whether or not engines also
	// crash for other reasons (simulate.RunPoison, 40 seeds).
	provenEnds = 3
	// certainEnds is the number of crashes that do so regardless of other requests in flight
	// there. An innocent request stays below it: one that is sent to two engines each time and
	// is retried once is in flight at four crashes at most.
	certainEnds = 5
	// suspectEnds is the number of crashes from which a request's record is sent to the other
	// nodes, so that any node notices when it runs to completion. A request that so many
	// crashes count against is Suspected.
	suspectEnds = 2
	// endsKept bounds the crashes recorded of one request.
	endsKept = 8
	// expireInterval is the time between checks for crashes that are too old to count.
	expireInterval = time.Second
	// settleTime is how long after its report a crash begins to count: by then the other nodes
	// whose runs it broke have reported it too.
	settleTime = 60 * time.Millisecond
)

// Defaults of Options.
const (
	// DefaultMemory is how long crashes count: a request that crashes engines again and again
	// costs one engine in that time, once it has been in quarantine.
	DefaultMemory = 30 * time.Minute
	// DefaultRequests bounds the recorded requests, at some 300 bytes each.
	DefaultRequests = 1024
)

// Options are the bounds of a Tracker.
type Options struct {
	// Memory is how long a crash counts; 0 means DefaultMemory.
	Memory time.Duration
	// Requests is the maximum number of recorded requests; 0 means DefaultRequests. Beyond it
	// those with the fewest crashes are forgotten first, and of these the oldest. Quarantined
	// requests are forgotten last.
	Requests int
}

// End is a crash of an engine at which a run of the request was in flight.
type End struct {
	Life      registry.Life `msgpack:"l"`
	Suspicion Suspicion     `msgpack:"s"`
	// Age is the time from the crash to the sending of the record, in nanoseconds.
	Age time.Duration `msgpack:"a"`
}

// Record is what one node sends another about a request.
type Record struct {
	Fingerprint Fingerprint `msgpack:"f"`
	// Generation is the number of times the request was cleared. A record replaces those with a
	// lower generation.
	Generation uint32 `msgpack:"g"`
	Route      string `msgpack:"r"`
	Tenant     string `msgpack:"t"`
	Ends       []End  `msgpack:"e"`
}

// suspect is a request that was in flight when some engine crashed.
type suspect struct {
	Fingerprint
	generation    uint32
	route, tenant string
	ends          map[registry.Life]end
	// counted and isQuarantined are derived from the crashes of all suspects.
	counted       int
	isQuarantined bool
	// changed is the time of the last crash or clearing.
	changed time.Duration
}

type end struct {
	suspicion Suspicion
	at        time.Duration
}

// Tracker records which requests were in flight when engines crashed, and derives which are in
// quarantine. It is not safe for concurrent use. Times are those of a monotonic clock.
type Tracker struct {
	options  Options
	suspects map[Fingerprint]*suspect
	// isOutdated reports whether the derived fields are out of date; settles is when the next
	// crash begins to count, 0 if none is due.
	isOutdated bool
	settles    time.Duration
	// expires is the time of the next check for crashes that are too old to count.
	expires time.Duration
	// news are the requests that this node changed since the last call of TakeNews. told is the
	// hash of the state of each request that TakeChanged last returned.
	news map[Fingerprint]struct{}
	told map[Fingerprint]uint64
	// digest is the digest of the records that are sent to other nodes, valid while
	// isDigestKnown. It is compared with each hello of a control node, some 40 per second from
	// 25 control nodes, so it is computed again only after a change.
	digest        uint64
	isDigestKnown bool
}

// NewTracker returns an empty tracker.
func NewTracker(options Options) *Tracker {
	options.Memory = cmp.Or(options.Memory, DefaultMemory)
	options.Requests = cmp.Or(options.Requests, DefaultRequests)
	return &Tracker{
		options: options, suspects: map[Fingerprint]*suspect{}, news: map[Fingerprint]struct{}{}, told: map[Fingerprint]uint64{},
	}
}

// Report records a crash report of this node.
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

// Clear removes the crashes of a request that ran to completion somewhere or that an operator
// clears. It reports whether any were recorded.
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

// Merge adds the records of another node.
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

// newest returns the time of the record's latest crash on the receiver's clock.
func (r Record) newest(now time.Duration) time.Duration {
	age := time.Duration(0)
	for position, told := range r.Ends {
		if position == 0 || told.Age < age {
			age = told.Age
		}
	}
	return now - age
}

// find returns a request's suspect and creates it if there is none. It returns nil if the
// tracker is full and every recorded suspect ranks higher than one with so many crashes at
// that time. Nodes that exchange records therefore converge to the same ones.
func (t *Tracker) find(fingerprint Fingerprint, changed time.Duration, ends int) *suspect {
	one := t.suspects[fingerprint]
	if one != nil {
		return one
	}
	made := &suspect{Fingerprint: fingerprint, ends: map[registry.Life]end{}, changed: changed}
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

// least returns the lowest-ranking suspect, which is the first to be forgotten.
func (t *Tracker) least() *suspect {
	var least *suspect
	for _, one := range t.suspects {
		if least == nil || one.compareWorth(len(one.ends), least) < 0 {
			least = one
		}
	}
	return least
}

// compareWorth compares the ranks by which suspects are kept, of a suspect with so many crashes
// and another one: quarantined ones rank highest, then those with more crashes, then the later
// ones.
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

// outdate marks the derived fields and the digest as out of date.
func (t *Tracker) outdate() { t.isOutdated, t.isDigestKnown = true, false }

func (t *Tracker) forget(fingerprint Fingerprint) {
	delete(t.suspects, fingerprint)
	delete(t.news, fingerprint)
	delete(t.told, fingerprint)
	t.outdate()
}

// addEnd records a crash and reports whether it changes the suspect.
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

// expire forgets the requests whose latest crash is too old to count. A request that leaves
// quarantine by this is on probation: its two latest crashes count for the same time again, so
// one further crash puts it back into quarantine.
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

// latest returns the incarnations of the latest crashes.
func (s *suspect) latest(count int) []registry.Life {
	lives := s.lives()
	slices.SortStableFunc(lives, func(a, b registry.Life) int { return cmp.Compare(s.ends[b].at, s.ends[a].at) })
	return lives[:min(count, len(lives))]
}

// lives returns the incarnations that crashed with the request in flight, in order.
func (s *suspect) lives() []registry.Life {
	lives := make([]registry.Life, 0, len(s.ends))
	for life := range s.ends {
		lives = append(lives, life)
	}
	slices.SortFunc(lives, func(a, b registry.Life) int { return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Born, b.Born)) })
	return lives
}

func (f Fingerprint) compare(other Fingerprint) int {
	return cmp.Or(cmp.Compare(f.Scope, other.Scope), cmp.Compare(f.Length, other.Length), cmp.Compare(f.Body, other.Body))
}

// isTold reports whether the request's record is sent to the other nodes.
func (s *suspect) isTold() bool {
	return s.isQuarantined || len(s.ends) >= suspectEnds || s.generation > 0
}

// state returns a hash of what is sent to other nodes about the request.
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

// Records returns all records, in order, for a node that may have none.
func (t *Tracker) Records(now time.Duration) []Record {
	return t.recordsOf(now, func(*suspect) bool { return true })
}

// Told returns the records that are sent to all nodes, in order.
func (t *Tracker) Told(now time.Duration) []Record {
	return t.recordsOf(now, (*suspect).isTold)
}

// TakeNews returns the records of the requests that crash reports or clearings of this node have
// changed since the last call.
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

// TakeChanged returns the records to be sent to all nodes that have changed since the last call.
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

// Digest is equal on nodes that would send the same records, and 0 on nodes without any to send.
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

// Held is what is recorded against a request, as it is shown to operators.
type Held struct {
	Record
	IsQuarantined bool
	Counted       int
}

// Held returns the requests with recorded crashes, those in quarantine first and then those that
// most crashes count against.
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
