package quarantine

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/ravenway/ravenway/internal/coordination/registry"
)

const (
	// provenCrashes is the number of crashes without another explanation that put a request into
	// quarantine: the requirement counts the engines that a request crashes only from the fourth
	// on. With this number none of 1,840 other requests in 40 s is quarantined by mistake, whether
	// or not engines also crash for other reasons (simulate.RunPoison, 40 seeds).
	provenCrashes = 3
	// certainCrashes is the number of crashes that put a request into quarantine regardless of other
	// requests in flight there. An innocent request stays below it: one that is sent to two engines
	// each time and is retried once is in flight at four crashes at most.
	certainCrashes = 5
	// suspectCrashes is the number of crashes from which a request's record is sent to the other
	// nodes, so that any node notices when it runs to completion. A request with that many counted
	// crashes is Suspected.
	suspectCrashes = 2
	// maximumCrashes bounds the crashes recorded of one request.
	maximumCrashes = 8
	// expireInterval is the time between checks for crashes that are too old to count.
	expireInterval = time.Second
	// settleTime is how long after its report a crash begins to count: by then the other nodes
	// whose runs it broke have reported it too.
	settleTime = 60 * time.Millisecond
)

// Defaults of Options.
const (
	// DefaultRetention is how long crashes count: a request that crashes engines again and again
	// costs one engine in that time, once it has been in quarantine.
	DefaultRetention = 30 * time.Minute
	// DefaultMaximumRequests bounds the recorded requests, at some 300 bytes each.
	DefaultMaximumRequests = 1024
)

// Options are the bounds of a Tracker.
type Options struct {
	// Retention is how long a crash counts; 0 means DefaultRetention.
	Retention time.Duration
	// MaximumRequests is the maximum number of recorded requests; 0 means
	// DefaultMaximumRequests. Beyond it those with the fewest crashes are forgotten first, and of
	// these the oldest. Quarantined requests are forgotten last.
	MaximumRequests int
}

// RecordedCrash is a crash of an engine at which a run of the request was in flight.
type RecordedCrash struct {
	Incarnation registry.Incarnation `msgpack:"l"`
	Suspicion   Suspicion            `msgpack:"s"`
	// Age is the time from the crash to the sending of the record, in nanoseconds.
	Age time.Duration `msgpack:"a"`
	// Request is the hash of the fingerprint of the request that a part was in, 0 for a request.
	Request uint64 `msgpack:"q,omitempty"`
}

// Record is what one node sends another about a request or a part of prompts.
type Record struct {
	Fingerprint Fingerprint `msgpack:"f"`
	// Generation is the number of times the request was cleared. A record replaces those with a
	// lower generation.
	Generation uint32          `msgpack:"g"`
	Route      string          `msgpack:"r"`
	Tenant     string          `msgpack:"t"`
	Crashes    []RecordedCrash `msgpack:"e"`
	// Part is the ID of a part, shortened to maximumPartBytes, and Depth its largest index in a
	// prompt.
	Part  string `msgpack:"p,omitempty"`
	Depth uint16 `msgpack:"d,omitempty"`
	// WasShared reports whether the record of a part was sent to all nodes at any time.
	WasShared bool `msgpack:"w,omitempty"`
}

// suspect is a request, or a part of prompts, that was in flight when some engine crashed.
type suspect struct {
	Fingerprint
	generation    uint32
	route, tenant string
	part          string
	depth         uint16
	crashes       map[registry.Incarnation]crash
	// counted and isQuarantined are derived from the crashes of all suspects.
	counted       int
	isQuarantined bool
	// wasShared reports whether the record of a part was sent to all nodes at any time, so that they must
	// learn of its clearing.
	wasShared bool
	// isOnProbation reports whether a part has left quarantine because its crashes are old.
	isOnProbation bool
	// changedAt is the time of the last crash or clearing.
	changedAt time.Duration
}

type crash struct {
	suspicion Suspicion
	at        time.Duration
	// request is the hash of the fingerprint of the request that a part was in.
	request uint64
}

// isLess orders what is recorded of one suspect at one crash. Nodes keep the greatest, so that they
// agree.
func (c crash) isLess(suspicion Suspicion, request uint64) bool {
	return cmp.Or(cmp.Compare(c.suspicion, suspicion), cmp.Compare(c.request, request)) < 0
}

// Tracker records which requests were in flight when engines crashed, and derives which are in
// quarantine. It is not safe for concurrent use. Times are those of a monotonic clock.
type Tracker struct {
	options  Options
	suspects map[Fingerprint]*suspect
	// isOutdated reports whether the derived fields are out of date; settlesAt is when the next
	// crash begins to count, 0 if none is due.
	isOutdated bool
	settlesAt  time.Duration
	// expiresAt is the time of the next check for crashes that are too old to count.
	expiresAt time.Duration
	// pendingUpdates are the requests that this node changed since the last call of TakeUpdates.
	// sharedStates is the hash of the state of each request that TakeChanged last returned.
	pendingUpdates map[Fingerprint]struct{}
	sharedStates   map[Fingerprint]uint64
	// digest is the digest of the records that are sent to other nodes, valid while
	// isDigestKnown. It is compared with each hello of a control node, some 40 per second from
	// 25 control nodes, so it is computed again only after a change.
	digest        Digest
	isDigestKnown bool
}

// NewTracker returns an empty tracker.
func NewTracker(options Options) *Tracker {
	options.Retention = cmp.Or(options.Retention, DefaultRetention)
	options.MaximumRequests = cmp.Or(options.MaximumRequests, DefaultMaximumRequests)
	return &Tracker{
		options: options, suspects: map[Fingerprint]*suspect{}, pendingUpdates: map[Fingerprint]struct{}{}, sharedStates: map[Fingerprint]uint64{},
	}
}

// Report records a crash report of this node.
func (t *Tracker) Report(now time.Duration, report CrashReport) {
	one := t.findOrAdd(report.Fingerprint, now, 1)
	if one == nil {
		return
	}
	one.route, one.tenant = report.Route, report.Tenant
	one.describePart(report.Part, report.Depth)
	if t.addCrash(one, RecordedCrash{Incarnation: report.Incarnation, Suspicion: report.Suspicion, Request: report.Request}, now) {
		t.pendingUpdates[report.Fingerprint] = struct{}{}
	}
}

// Clear removes the crashes of a request that ran to completion somewhere or that an operator
// clears. It reports whether any were recorded.
func (t *Tracker) Clear(now time.Duration, fingerprint Fingerprint) bool {
	one := t.suspects[fingerprint]
	if one == nil || len(one.crashes) == 0 {
		return false
	}
	one.generation++
	clear(one.crashes)
	one.changedAt, one.isOnProbation = now, false
	t.markOutdated()
	t.pendingUpdates[fingerprint] = struct{}{}
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
	if known != nil && record.Generation < known.generation || known == nil && record.Generation == 0 && len(record.Crashes) == 0 {
		return
	}
	// A node that has not yet found the end of the crashes' time must not give them back to one that has.
	hasEnded := now-record.newest(now) > t.retentionOf(record.Fingerprint)
	if known == nil && hasEnded {
		return
	}
	one := t.findOrAdd(record.Fingerprint, record.newest(now), len(record.Crashes))
	if one == nil {
		return
	}
	if record.Generation > one.generation {
		one.generation = record.Generation
		clear(one.crashes)
		one.isOnProbation = false
		t.markOutdated()
	}
	one.route, one.tenant = cmp.Or(one.route, record.Route), cmp.Or(one.tenant, record.Tenant)
	one.describePart(record.Part, record.Depth)
	one.wasShared = one.wasShared || record.WasShared
	if hasEnded {
		return
	}
	for _, received := range record.Crashes {
		if received.Suspicion >= Excused && received.Suspicion <= Likely {
			t.addCrash(one, received, now-max(0, received.Age))
		}
	}
}

// newest returns the time of the record's latest crash on the receiver's clock.
func (r Record) newest(now time.Duration) time.Duration {
	age := time.Duration(0)
	for position, received := range r.Crashes {
		if position == 0 || received.Age < age {
			age = received.Age
		}
	}
	return now - age
}

// findOrAdd returns a request's suspect and creates it if there is none. It returns nil if the
// tracker is full and every recorded suspect ranks higher than a new one with the given number of
// crashes and time of change. Nodes that exchange records therefore converge to the same ones.
func (t *Tracker) findOrAdd(fingerprint Fingerprint, changed time.Duration, crashes int) *suspect {
	one := t.suspects[fingerprint]
	if one != nil {
		return one
	}
	created := &suspect{Fingerprint: fingerprint, crashes: map[registry.Incarnation]crash{}, changedAt: changed}
	if len(t.suspects) >= t.options.MaximumRequests {
		lowest := t.lowestRanking()
		if created.compareRank(crashes, lowest) < 0 {
			return nil
		}
		t.forget(lowest.Fingerprint)
	}
	t.suspects[fingerprint] = created
	return created
}

// lowestRanking returns the lowest-ranking suspect, which is the first to be forgotten.
func (t *Tracker) lowestRanking() *suspect {
	var lowest *suspect
	for _, one := range t.suspects {
		if lowest == nil || one.compareRank(len(one.crashes), lowest) < 0 {
			lowest = one
		}
	}
	return lowest
}

// compareRank compares the ranks of a suspect, as if it had the given number of crashes, and another
// one. Quarantined suspects rank highest, then those with more crashes, then those that changed
// later.
func (s *suspect) compareRank(crashes int, other *suspect) int {
	rank := func(one *suspect, crashes int) int {
		if one.isQuarantined {
			return maximumPartCrashes + 1
		}
		return crashes
	}
	return cmp.Or(
		cmp.Compare(rank(s, crashes), rank(other, len(other.crashes))), cmp.Compare(s.changedAt, other.changedAt), s.compare(other.Fingerprint),
	)
}

// markOutdated marks the derived fields and the digest as out of date.
func (t *Tracker) markOutdated() { t.isOutdated, t.isDigestKnown = true, false }

func (t *Tracker) forget(fingerprint Fingerprint) {
	delete(t.suspects, fingerprint)
	delete(t.pendingUpdates, fingerprint)
	delete(t.sharedStates, fingerprint)
	t.markOutdated()
}

// addCrash records a crash and reports whether it changes the suspect.
func (t *Tracker) addCrash(one *suspect, received RecordedCrash, at time.Duration) bool {
	known, found := one.crashes[received.Incarnation]
	if found && !known.isLess(received.Suspicion, received.Request) || !found && len(one.crashes) >= one.maximumCrashes() {
		return false
	}
	if found {
		at = known.at
	}
	one.crashes[received.Incarnation] = crash{suspicion: received.Suspicion, at: at, request: received.Request}
	one.changedAt = max(one.changedAt, at)
	one.wasShared = one.wasShared || len(one.crashes) >= suspectCrashes
	t.markOutdated()
	return true
}

// expire forgets the requests whose latest crash is too old to count. A request that leaves
// quarantine by this is on probation: its two latest crashes count for the same time again, so
// one further crash puts it back into quarantine.
func (t *Tracker) expire(now time.Duration) {
	if now < t.expiresAt {
		return
	}
	t.expiresAt = now + expireInterval
	for fingerprint, one := range t.suspects {
		if now-one.changedAt <= t.retentionOf(fingerprint) {
			continue
		}
		if !one.isQuarantined {
			t.forget(fingerprint)
			continue
		}
		kept := one.latest(suspectCrashes)
		maps.DeleteFunc(one.crashes, func(incarnation registry.Incarnation, _ crash) bool { return !slices.Contains(kept, incarnation) })
		for _, incarnation := range kept {
			one.crashes[incarnation] = crash{suspicion: Likely, at: now - settleTime, request: one.crashes[incarnation].request}
		}
		one.changedAt, one.isOnProbation = now, one.IsPart()
		t.markOutdated()
	}
}

// latest returns the incarnations of the latest crashes.
func (s *suspect) latest(count int) []registry.Incarnation {
	incarnations := s.incarnations()
	slices.SortStableFunc(incarnations, func(a, b registry.Incarnation) int { return cmp.Compare(s.crashes[b].at, s.crashes[a].at) })
	return incarnations[:min(count, len(incarnations))]
}

// incarnations returns the incarnations that crashed with the request in flight, in order.
func (s *suspect) incarnations() []registry.Incarnation {
	incarnations := make([]registry.Incarnation, 0, len(s.crashes))
	for incarnation := range s.crashes {
		incarnations = append(incarnations, incarnation)
	}
	slices.SortFunc(incarnations, func(a, b registry.Incarnation) int {
		return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.StartedAt, b.StartedAt))
	})
	return incarnations
}

func (f Fingerprint) compare(other Fingerprint) int {
	return cmp.Or(cmp.Compare(f.Scope, other.Scope), cmp.Compare(f.Length, other.Length), cmp.Compare(f.Body, other.Body))
}

// isShared reports whether the suspect's record is sent to the other nodes.
func (s *suspect) isShared() bool {
	if s.IsPart() {
		// Each crash has several parts, most of which are cleared at once.
		return s.isQuarantined || s.wasShared
	}
	return s.isQuarantined || len(s.crashes) >= suspectCrashes || s.generation > 0
}

// stateHash returns a hash of what is sent to other nodes about the request.
func (s *suspect) stateHash() uint64 {
	var encoded []byte
	for _, number := range []uint64{s.Scope, s.Length, s.Body, uint64(s.generation), uint64(len(s.crashes)), uint64(s.counted)} {
		encoded = binary.BigEndian.AppendUint64(encoded, number)
	}
	if s.isQuarantined {
		encoded = append(encoded, 1)
	}
	return xxhash.Sum64(encoded)
}

func (s *suspect) record(now time.Duration) Record {
	record := Record{
		Fingerprint: s.Fingerprint, Generation: s.generation, Route: s.route, Tenant: s.tenant, Part: s.part, Depth: s.depth, WasShared: s.IsPart() && s.wasShared,
		Crashes: make([]RecordedCrash, 0, len(s.crashes)),
	}
	for _, incarnation := range s.incarnations() {
		recorded := s.crashes[incarnation]
		record.Crashes = append(record.Crashes, RecordedCrash{Incarnation: incarnation, Suspicion: recorded.suspicion, Age: now - recorded.at, Request: recorded.request})
	}
	return record
}

// Records returns all records, in order, for a node that may have none.
func (t *Tracker) Records(now time.Duration) []Record {
	return t.recordsOf(now, func(*suspect) bool { return true })
}

// SharedRecords returns the records that are sent to all nodes, in order.
func (t *Tracker) SharedRecords(now time.Duration) []Record {
	return t.recordsOf(now, (*suspect).isShared)
}

// TakeUpdates returns the records of the requests that crash reports or clearings of this node have
// changed since the last call.
func (t *Tracker) TakeUpdates(now time.Duration) []Record {
	if len(t.pendingUpdates) == 0 {
		return nil
	}
	updates := t.recordsOf(now, func(one *suspect) bool {
		_, found := t.pendingUpdates[one.Fingerprint]
		return found
	})
	clear(t.pendingUpdates)
	return updates
}

// TakeChanged returns the records to be sent to all nodes that have changed since the last call.
func (t *Tracker) TakeChanged(now time.Duration) []Record {
	return t.recordsOf(now, func(one *suspect) bool {
		hash := one.stateHash()
		if !one.isShared() || t.sharedStates[one.Fingerprint] == hash {
			return false
		}
		t.sharedStates[one.Fingerprint] = hash
		return true
	})
}

func (t *Tracker) recordsOf(now time.Duration, isWanted func(*suspect) bool) []Record {
	var records []Record
	for _, one := range t.suspects {
		if isWanted(one) {
			records = append(records, one.record(now))
		}
	}
	slices.SortFunc(records, func(a, b Record) int { return a.Fingerprint.compare(b.Fingerprint) })
	return records
}

// Digest identifies the records that a node would send to others.
type Digest struct {
	// Requests and Parts are 0 on nodes without a record of a request, or of a part.
	Requests, Parts uint64
}

// Digest is equal on nodes that would send the same records.
func (t *Tracker) Digest() Digest {
	if !t.isDigestKnown {
		t.digest, t.isDigestKnown = t.computeDigest(), true
	}
	return t.digest
}

func (t *Tracker) computeDigest() Digest {
	var digest Digest
	for _, one := range t.suspects {
		switch {
		case !one.isShared():
		case one.IsPart():
			digest.Parts ^= one.stateHash()
		default:
			digest.Requests ^= one.stateHash()
		}
	}
	return digest
}

// Summary is what is recorded against a request, as it is shown to operators.
type Summary struct {
	Record
	IsQuarantined bool
	Counted       int
}

// Summaries returns the requests with recorded crashes, those in quarantine first and then those
// that most crashes count against.
func (t *Tracker) Summaries(now time.Duration) []Summary {
	var summaries []Summary
	for _, one := range t.suspects {
		if len(one.crashes) > 0 {
			summaries = append(summaries, Summary{Record: one.record(now), IsQuarantined: one.isQuarantined, Counted: one.counted})
		}
	}
	rank := func(one Summary) int {
		if one.IsQuarantined {
			return maximumPartCrashes + 1
		}
		return one.Counted
	}
	slices.SortFunc(summaries, func(a, b Summary) int {
		return cmp.Or(cmp.Compare(rank(b), rank(a)), a.Fingerprint.compare(b.Fingerprint))
	})
	return summaries
}
