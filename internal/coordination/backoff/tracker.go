package backoff

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ravenway/ravenway/internal/bounded"
	"github.com/ravenway/ravenway/internal/coordination/registry"
)

const (
	// unlistedRetention is how long the state of an instance is kept after the registry last listed
	// the instance. A delayed update may list it again.
	unlistedRetention = 10 * time.Minute
	// maximumUnreadable bounds the number of incarnations that are remembered for having sent
	// unreadable fields.
	maximumUnreadable = 1024
	// registryDelay is how long after its first responses an incarnation may become known.
	registryDelay = 5 * time.Second
	// maximumEnded bounds the ended incarnations that are remembered, endedRetention is for how long.
	maximumEnded   = 4096
	endedRetention = time.Minute
)

// RecoveryPolicy is how requests to an instance resume after its pause.
type RecoveryPolicy struct {
	// SpreadShare is the fraction of the pause over which the nodes resume one by one, and
	// MaximumSpread bounds that time. Without it all nodes would resume at about the same
	// moment, since the instance requested the pause from all of them at about the same time.
	SpreadShare   float64
	MaximumSpread time.Duration
	// InitialTrials is the number of trial requests that may be in flight at first; each one
	// that ran doubles the number.
	InitialTrials int
	// RecoveredTrials is the number from which the instance counts as recovered.
	RecoveredTrials int
	// MaximumTrialTime is the time after which the instance counts as recovered anyway, since
	// this node may have had no request to send to it.
	MaximumTrialTime time.Duration
}

// DefaultRecovery starts with one trial request at a time, from a moment that each node draws
// at random.
var DefaultRecovery = RecoveryPolicy{SpreadShare: 0.25, MaximumSpread: 2 * time.Second, InitialTrials: 1, RecoveredTrials: 4, MaximumTrialTime: 2 * time.Second}

// maximumSpread is by how much, in nanoseconds, a node may prolong a requested pause.
func (p RecoveryPolicy) maximumSpread(requested time.Duration) float64 {
	return min(p.SpreadShare*float64(requested), float64(p.MaximumSpread))
}

// Phase is which requests an instance accepts from this node.
type Phase uint8

// Phases.
const (
	// Open: all requests.
	Open Phase = iota
	// Paused: none until the pause has expired.
	Paused
	// Recovering: the pause has expired. Only trial requests are sent until enough of them
	// have shown that the instance accepts work again.
	Recovering
	// Leaving: none for the rest of the incarnation.
	Leaving
)

// String returns the name of the phase in logs and operators' output, where Recovering is
// "returning".
func (p Phase) String() string { return [...]string{"open", "paused", "returning", "leaving"}[p] }

// Status is the pause state of one incarnation of an instance.
type Status struct {
	Phase Phase
	// Wait is the time until the pause expires.
	Wait time.Duration
	// HasTrial reports whether a Recovering instance may be sent another trial request.
	HasTrial bool
}

// Tracker keeps the instances that requested a pause from this node or announced that they
// are leaving. It is safe for concurrent use.
type Tracker struct {
	mutex   sync.Mutex
	entries map[registry.Incarnation]*entry
	// entryCount is the number of entries. While it is 0, requests take no lock.
	entryCount atomic.Int64
	policy     RecoveryPolicy
	// random returns a number in [0, 1).
	random func() float64
	// unreadable are the incarnations that sent unreadable fields; each is reported once.
	unreadable *bounded.Set[registry.Incarnation]
	// endedAt is when this node saw incarnations end that the registry may still list.
	endedAt map[registry.Incarnation]time.Duration
}

// entry is the state of an incarnation that requested a pause or is leaving.
type entry struct {
	incarnation registry.Incarnation
	// pausedAt is when the pause began, requestedUntil its requested end, and until the later end,
	// with the random spread, that this node applies.
	pausedAt, requestedUntil, until time.Duration
	// responses is the number of responses that requested the pause; requestID is the ID of the
	// request whose response was the first of them.
	responses int
	requestID string
	// isEndReported reports whether a Change has reported the end of the pause.
	isEndReported bool
	// trials is the number of requests in flight for which the instance was chosen after the
	// pause had expired; allowedTrials is its bound.
	trials, allowedTrials int
	isLeaving             bool
	// listedAt is when Prune last found the instance listed, or when the entry was created.
	listedAt time.Duration
}

// NewTracker returns a tracker without entries.
func NewTracker(policy RecoveryPolicy) *Tracker {
	return &Tracker{
		entries: map[registry.Incarnation]*entry{}, unreadable: bounded.NewSet[registry.Incarnation](maximumUnreadable), policy: policy, random: rand.Float64,
		endedAt: map[registry.Incarnation]time.Duration{},
	}
}

// SetRandom replaces the source of random numbers in [0, 1). It must be called before the
// first use.
func (t *Tracker) SetRandom(random func() float64) { t.random = random }

// ChangeKind is what changed in the state of an instance.
type ChangeKind uint8

// Kinds of changes.
const (
	// Unchanged: no change.
	Unchanged ChangeKind = iota
	// Began: the instance requested a pause.
	Began
	// Extended: the instance requested a pause that ends later than the current one.
	Extended
	// Ended: the pause has expired.
	Ended
	// Recovered: the instance accepts work as before the pause.
	Recovered
	// AnnouncedLeaving: the instance announced that it is leaving.
	AnnouncedLeaving
	// Unreadable: a field of the instance's response can't be read.
	Unreadable
)

// String returns the name of the kind in logs, where Recovered is "back".
func (k ChangeKind) String() string {
	return [...]string{"unchanged", "began", "extended", "ended", "back", "leaving", "unreadable"}[k]
}

// Change is a change of state by a response or by the passing of time.
type Change struct {
	Kind        ChangeKind
	Incarnation registry.Incarnation
	// Requested is the length of the requested pause, Remaining the time until it expires.
	Requested, Remaining time.Duration
	// RequestID is the ID of the request whose response began the pause; Responses is the number of
	// responses that requested it.
	RequestID string
	Responses int
	// Fault is the error of an Unreadable field.
	Fault error
}

// Request is the request to which an instance responds.
type Request struct {
	ID string
	// WrittenAt is when the request was written to the instance; 0 if unknown.
	WrittenAt time.Duration
}

// Learn applies what an instance's response to a request, received now, asks for. No response
// shortens a pause, and none revokes that the instance is leaving.
func (t *Tracker) Learn(now time.Duration, incarnation registry.Incarnation, request Request, signal Signal) []Change {
	if signal.Pause == 0 && !signal.IsLeaving && signal.Fault == nil && t.entryCount.Load() == 0 {
		return nil
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var changes []Change
	note := func(change Change) {
		if change.Kind != Unchanged {
			changes = append(changes, change)
		}
	}
	if signal.Fault != nil {
		note(t.recordUnreadable(incarnation, signal.Fault))
	}
	if signal.Pause > 0 {
		note(t.pause(now, incarnation, request.ID, signal.Pause))
	} else if signal.HasRun {
		note(t.recordRun(now, incarnation, request.WrittenAt))
	}
	if signal.IsLeaving {
		note(t.leave(now, incarnation, request.ID))
	}
	return changes
}

func (t *Tracker) recordUnreadable(incarnation registry.Incarnation, fault error) Change {
	if !t.unreadable.Add(incarnation) {
		return Change{}
	}
	return Change{Kind: Unreadable, Incarnation: incarnation, Fault: fault}
}

// entry returns the entry of an incarnation and creates it if there is none.
func (t *Tracker) entry(now time.Duration, incarnation registry.Incarnation) *entry {
	known := t.entries[incarnation]
	if known == nil {
		known = &entry{incarnation: incarnation, isEndReported: true, listedAt: now}
		t.entries[incarnation] = known
		t.entryCount.Add(1)
	}
	return known
}

func (t *Tracker) leave(now time.Duration, incarnation registry.Incarnation, request string) Change {
	known := t.entry(now, incarnation)
	if known.isLeaving {
		return Change{}
	}
	known.isLeaving = true
	return Change{Kind: AnnouncedLeaving, Incarnation: incarnation, RequestID: request, Responses: 1}
}

func (t *Tracker) pause(now time.Duration, incarnation registry.Incarnation, request string, requested time.Duration) Change {
	kind := Extended
	known := t.entry(now, incarnation)
	if now >= known.until {
		kind = Began
		known.pausedAt, known.responses, known.requestID = now, 0, request
	}
	known.responses++
	end := now + requested
	if end <= known.requestedUntil {
		return Change{}
	}
	known.requestedUntil, known.isEndReported, known.allowedTrials = end, false, t.policy.InitialTrials
	known.until = max(known.until, end+time.Duration(t.random()*t.policy.maximumSpread(requested)))
	return known.change(kind, now)
}

func (e *entry) change(kind ChangeKind, now time.Duration) Change {
	return Change{Kind: kind, Incarnation: e.incarnation, Requested: e.requestedUntil - e.pausedAt, Remaining: max(0, e.until-now), RequestID: e.requestID, Responses: e.responses}
}

// recordRun records that an instance ran a request. Each request that was written after the pause
// doubles the allowed trials, until the instance counts as recovered.
func (t *Tracker) recordRun(now time.Duration, incarnation registry.Incarnation, writtenAt time.Duration) Change {
	known := t.entries[incarnation]
	if known == nil || known.isLeaving || writtenAt < known.until {
		return Change{}
	}
	known.allowedTrials *= 2
	if known.allowedTrials < t.policy.RecoveredTrials {
		return Change{}
	}
	t.drop(incarnation)
	return known.change(Recovered, now)
}

// Status returns the pause state of an incarnation.
func (t *Tracker) Status(now time.Duration, incarnation registry.Incarnation) Status {
	if !t.Any() {
		return Status{}
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known := t.entries[incarnation]
	if known == nil {
		return Status{}
	}
	return known.status(now, t.policy.MaximumTrialTime)
}

func (e *entry) status(now, maximumTrialTime time.Duration) Status {
	switch {
	case e.isLeaving:
		return Status{Phase: Leaving}
	case now < e.until:
		return Status{Phase: Paused, Wait: e.until - now}
	case now >= e.until+maximumTrialTime:
		return Status{}
	}
	return Status{Phase: Recovering, HasTrial: e.trials < e.allowedTrials}
}

// IsLeaving reports whether an instance has announced that it is leaving.
func (t *Tracker) IsLeaving(incarnation registry.Incarnation) bool {
	return t.Status(0, incarnation).Phase == Leaving
}

// Any reports whether any instance is not Open.
func (t *Tracker) Any() bool { return t != nil && t.entryCount.Load() > 0 }

// Count returns the number of instances that are not Open.
func (t *Tracker) Count() int64 { return t.entryCount.Load() }

// BeginTrial records that a request will be sent to an incarnation. It reports whether the
// request counts as a trial: then the caller must call EndTrial once the request has ended.
func (t *Tracker) BeginTrial(now time.Duration, incarnation registry.Incarnation) bool {
	if !t.Any() {
		return false
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known := t.entries[incarnation]
	if known == nil || now < known.until {
		return false
	}
	known.trials++
	return true
}

// EndTrial ends a trial that BeginTrial counted.
func (t *Tracker) EndTrial(incarnation registry.Incarnation) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if known := t.entries[incarnation]; known != nil {
		known.trials = max(0, known.trials-1)
	}
}

// SeenEnded records that this node saw an incarnation end. Its instance may run again, and respond
// before the registry knows the new incarnation.
func (t *Tracker) SeenEnded(now time.Duration, incarnation registry.Incarnation) {
	if t == nil {
		return
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if _, isKnown := t.endedAt[incarnation]; !isKnown && len(t.endedAt) < maximumEnded {
		t.endedAt[incarnation] = now
	}
}

// Replace drops the state of an incarnation that a newer one has replaced. A pause that was requested
// after the earlier one had ended was requested by the newer one, and applies to it. If this node did
// not see the end, a pause that was requested within registryDelay may be of either: it applies for at
// most as long.
func (t *Tracker) Replace(now time.Duration, previous, next registry.Incarnation) (isTransferred bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known := t.entries[previous]
	endedAt, wasSeen := t.endedAt[previous]
	t.drop(previous)
	t.unreadable.Remove(previous)
	delete(t.endedAt, previous)
	if known == nil || now >= known.until || t.entries[next] != nil {
		return false
	}
	moved := *known
	switch {
	case wasSeen && known.pausedAt < endedAt, !wasSeen && now-known.pausedAt > registryDelay:
		return false
	case !wasSeen:
		moved.until = min(moved.until, now+registryDelay)
	}
	moved.incarnation, moved.trials, moved.isLeaving, moved.listedAt = next, 0, false, now
	t.entries[next] = &moved
	t.entryCount.Add(1)
	return true
}

func (t *Tracker) drop(incarnation registry.Incarnation) {
	if _, isKnown := t.entries[incarnation]; isKnown {
		delete(t.entries, incarnation)
		t.entryCount.Add(-1)
	}
}

// TakeEnded returns the pauses that have expired since the last call. It drops the instances that
// count as recovered because MaximumTrialTime has passed since their pauses expired.
func (t *Tracker) TakeEnded(now time.Duration) []Change {
	if !t.Any() {
		return nil
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var changes []Change
	for incarnation, known := range t.entries {
		if now < known.until {
			continue
		}
		if !known.isEndReported {
			known.isEndReported = true
			changes = append(changes, known.change(Ended, now))
		}
		if !known.isLeaving && now >= known.until+t.policy.MaximumTrialTime {
			t.drop(incarnation)
		}
	}
	return changes
}

// Prune drops the instances that have not been listed for unlistedRetention. isListed reports
// whether the registry lists an incarnation. It is called without holding the lock, so it may call
// the tracker.
func (t *Tracker) Prune(now time.Duration, isListed func(incarnation registry.Incarnation) bool) {
	t.forgetEnded(now)
	if !t.Any() {
		return
	}
	listed := slices.DeleteFunc(t.incarnations(), func(incarnation registry.Incarnation) bool { return !isListed(incarnation) })
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, incarnation := range listed {
		if known := t.entries[incarnation]; known != nil {
			known.listedAt = now
		}
	}
	for incarnation, known := range t.entries {
		if now-known.listedAt > unlistedRetention {
			t.drop(incarnation)
			t.unreadable.Remove(incarnation)
		}
	}
}

func (t *Tracker) forgetEnded(now time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for incarnation, at := range t.endedAt {
		if now-at > endedRetention {
			delete(t.endedAt, incarnation)
		}
	}
}

// incarnations returns the incarnations that have entries.
func (t *Tracker) incarnations() []registry.Incarnation {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return slices.Collect(maps.Keys(t.entries))
}

// Listed is an instance that is not Open, as it is shown to operators.
type Listed struct {
	Incarnation registry.Incarnation
	Status      Status
	// Requested is the length of the latest pause, RequestID the ID of the request whose
	// response began it, and Responses the number of responses that requested it.
	Requested time.Duration
	RequestID string
	Responses int
}

// List returns the instances that are not Open, those with the longest remaining pause first.
func (t *Tracker) List(now time.Duration) []Listed {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	listed := make([]Listed, 0, len(t.entries))
	for incarnation, known := range t.entries {
		listed = append(listed, Listed{Incarnation: incarnation, Status: known.status(now, t.policy.MaximumTrialTime), Requested: known.requestedUntil - known.pausedAt, RequestID: known.requestID, Responses: known.responses})
	}
	slices.SortFunc(listed, func(one, other Listed) int {
		return cmp.Or(cmp.Compare(other.Status.Wait, one.Status.Wait), cmp.Compare(one.Incarnation.ID, other.Incarnation.ID), cmp.Compare(one.Incarnation.StartedAt, other.Incarnation.StartedAt))
	})
	return listed
}
