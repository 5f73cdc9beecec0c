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
	// unlistedMemory is how long an instance is remembered that nobody lists any more: a late
	// word may list it again.
	unlistedMemory = 10 * time.Minute
	// unreadableKept bounds the lives that are remembered to have asked for what can't be
	// read.
	unreadableKept = 1024
)

// ReturnPolicy is how requests come back to an instance after its pause.
type ReturnPolicy struct {
	// Spread is the part of the pause over which nodes come back one by one, LongestSpread
	// bounds it. They were all asked at about the same time.
	Spread        float64
	LongestSpread time.Duration
	// FirstTrials is the number of requests that may be unanswered there at first; each one
	// that ran doubles it.
	FirstTrials int
	// FullTrials is the number from which the instance counts as back.
	FullTrials int
	// LongestTrials is the time after which it counts as back anyway: nobody may have asked
	// it.
	LongestTrials time.Duration
}

// DefaultReturn has an instance tried by one request at a time, from a moment that each node
// draws.
var DefaultReturn = ReturnPolicy{Spread: 0.25, LongestSpread: 2 * time.Second, FirstTrials: 1, FullTrials: 4, LongestTrials: 2 * time.Second}

// longestSpread is by how much a node may keep a pause longer than it was asked for.
func (p ReturnPolicy) longestSpread(asked time.Duration) float64 {
	return min(p.Spread*float64(asked), float64(p.LongestSpread))
}

// Phase is what an instance takes from this node.
type Phase uint8

// Phases.
const (
	// Open: whatever it is sent.
	Open Phase = iota
	// Paused: nothing until its pause is over.
	Paused
	// Returning: its pause is over, and no request has shown yet that it takes work again.
	Returning
	// Leaving: nothing more.
	Leaving
)

// String names the phase.
func (p Phase) String() string { return [...]string{"open", "paused", "returning", "leaving"}[p] }

// Standing is what is known of one life of an instance.
type Standing struct {
	Phase Phase
	// Wait is how long its pause lasts on.
	Wait time.Duration
	// HasTrial tells whether a Returning one may have another request.
	HasTrial bool
}

// Tracker is what one node knows of the instances that asked it for a pause or told it that
// they leave. Safe for concurrent use.
type Tracker struct {
	mutex   sync.Mutex
	entries map[registry.Incarnation]*entry
	// known is the number of entries: without any, no request pays for them.
	known  atomic.Int64
	policy ReturnPolicy
	// random draws a number from 0 to below 1.
	random func() float64
	// unreadable are the lives that asked for what can't be read, told once each.
	unreadable *bounded.Set[registry.Incarnation]
}

// entry is a life that asked for a pause, or leaves.
type entry struct {
	life registry.Incarnation
	// askedAt is when the pause began, askedUntil the end that was asked for, until the
	// later one that this node keeps.
	askedAt, askedUntil, until time.Duration
	// asked are the answers that asked for it, and request the first one's.
	asked   int
	request string
	// isOver tells that its end was noted.
	isOver bool
	// trials are the requests under way that were chosen since the pause was over, and
	// allowed is how many there may be.
	trials, allowed int
	// isLeaving tells that the instance leaves.
	isLeaving bool
	// listedAt is when it was last listed, or first asked for something.
	listedAt time.Duration
}

// NewTracker makes a tracker that knows of no pause.
func NewTracker(policy ReturnPolicy) *Tracker {
	return &Tracker{
		entries: map[registry.Incarnation]*entry{}, unreadable: bounded.NewSet[registry.Incarnation](unreadableKept), policy: policy, random: rand.Float64,
	}
}

// SetRandom replaces the source of random numbers from 0 to below 1, before the first use.
func (t *Tracker) SetRandom(random func() float64) { t.random = random }

// ChangeKind tells what became of a pause.
type ChangeKind uint8

// Kinds of changes.
const (
	// Unchanged: nothing new.
	Unchanged ChangeKind = iota
	// Began: an instance asks for a pause.
	Began
	// Extended: it asks for one that ends later.
	Extended
	// Ended: the pause is over.
	Ended
	// Back: the instance takes work as before.
	Back
	// Left: it leaves.
	Left
	// Unreadable: it asks for what can't be read.
	Unreadable
)

// String names the kind.
func (k ChangeKind) String() string {
	return [...]string{"unchanged", "began", "extended", "ended", "back", "leaving", "unreadable"}[k]
}

// Change is what an answer, or the time, changed.
type Change struct {
	Kind ChangeKind
	Life registry.Incarnation
	// Asked is the pause that was asked for, Left what is left of it.
	Asked, Left time.Duration
	// Request is the one whose answer began the pause, Answers how many asked for it.
	Request string
	Answers int
	// Fault is why an Unreadable one can't be read.
	Fault error
}

// Request is the one that an instance answers.
type Request struct {
	ID string
	// WrittenAt is when it was written to the instance; 0 if that isn't known.
	WrittenAt time.Duration
}

// Learn takes what an instance's answer to a request asks for, which comes now. No answer
// shortens a pause, and none takes back that the instance leaves.
func (t *Tracker) Learn(now time.Duration, life registry.Incarnation, request Request, said Said) []Change {
	if said.Pause == 0 && !said.IsLeaving && said.Fault == nil && t.known.Load() == 0 {
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
	if said.Fault != nil {
		note(t.noteUnreadable(life, said.Fault))
	}
	if said.Pause > 0 {
		note(t.pause(now, life, request.ID, said.Pause))
	} else if said.HasRun {
		note(t.accept(now, life, request.WrittenAt))
	}
	if said.IsLeaving {
		note(t.leave(now, life, request.ID))
	}
	return changes
}

func (t *Tracker) noteUnreadable(life registry.Incarnation, fault error) Change {
	if !t.unreadable.Add(life) {
		return Change{}
	}
	return Change{Kind: Unreadable, Life: life, Fault: fault}
}

// entry returns what is known of a life, made if need be.
func (t *Tracker) entry(now time.Duration, life registry.Incarnation) *entry {
	known := t.entries[life]
	if known == nil {
		known = &entry{life: life, isOver: true, listedAt: now}
		t.entries[life] = known
		t.known.Add(1)
	}
	return known
}

func (t *Tracker) leave(now time.Duration, life registry.Incarnation, request string) Change {
	known := t.entry(now, life)
	if known.isLeaving {
		return Change{}
	}
	known.isLeaving = true
	return Change{Kind: Left, Life: life, Request: request, Answers: 1}
}

func (t *Tracker) pause(now time.Duration, life registry.Incarnation, request string, asked time.Duration) Change {
	kind := Extended
	known := t.entry(now, life)
	if now >= known.until {
		kind = Began
		known.askedAt, known.asked, known.request = now, 0, request
	}
	known.asked++
	end := now + asked
	if end <= known.askedUntil {
		return Change{}
	}
	known.askedUntil, known.isOver, known.allowed = end, false, t.policy.FirstTrials
	known.until = max(known.until, end+time.Duration(t.random()*t.policy.longestSpread(asked)))
	return known.change(kind, now)
}

func (e *entry) change(kind ChangeKind, now time.Duration) Change {
	return Change{Kind: kind, Life: e.life, Asked: e.askedUntil - e.askedAt, Left: max(0, e.until-now), Request: e.request, Answers: e.asked}
}

// accept notes that an instance ran a request. Each one written after its pause lets twice as
// many come, until it counts as back.
func (t *Tracker) accept(now time.Duration, life registry.Incarnation, writtenAt time.Duration) Change {
	known := t.entries[life]
	if known == nil || known.isLeaving || writtenAt < known.until {
		return Change{}
	}
	known.allowed *= 2
	if known.allowed < t.policy.FullTrials {
		return Change{}
	}
	t.drop(life)
	return known.change(Back, now)
}

// Standing tells what a life takes from this node.
func (t *Tracker) Standing(now time.Duration, life registry.Incarnation) Standing {
	if !t.Any() {
		return Standing{}
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known := t.entries[life]
	if known == nil {
		return Standing{}
	}
	return known.standing(now, t.policy.LongestTrials)
}

func (e *entry) standing(now, longestTrials time.Duration) Standing {
	switch {
	case e.isLeaving:
		return Standing{Phase: Leaving}
	case now < e.until:
		return Standing{Phase: Paused, Wait: e.until - now}
	case now >= e.until+longestTrials:
		return Standing{}
	}
	return Standing{Phase: Returning, HasTrial: e.trials < e.allowed}
}

// IsLeaving tells whether an instance has said that it leaves.
func (t *Tracker) IsLeaving(life registry.Incarnation) bool {
	return t.Standing(0, life).Phase == Leaving
}

// Any tells whether any instance is not Open.
func (t *Tracker) Any() bool { return t != nil && t.known.Load() > 0 }

// Count is the number of instances that are not Open.
func (t *Tracker) Count() int64 { return t.known.Load() }

// BeginTrial notes that a request is chosen for a life, and tells whether EndTrial is due
// when it is over.
func (t *Tracker) BeginTrial(now time.Duration, life registry.Incarnation) bool {
	if !t.Any() {
		return false
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known := t.entries[life]
	if known == nil || now < known.until {
		return false
	}
	known.trials++
	return true
}

// EndTrial ends what BeginTrial began.
func (t *Tracker) EndTrial(life registry.Incarnation) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if known := t.entries[life]; known != nil {
		known.trials = max(0, known.trials-1)
	}
}

// Forget drops what is known of a life that a newer one has replaced.
func (t *Tracker) Forget(life registry.Incarnation) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.drop(life)
	t.unreadable.Remove(life)
}

func (t *Tracker) drop(life registry.Incarnation) {
	if _, isKnown := t.entries[life]; isKnown {
		delete(t.entries, life)
		t.known.Add(-1)
	}
}

// Look returns the pauses that are over since the last call, and drops instances that are
// back.
func (t *Tracker) Look(now time.Duration) []Change {
	if !t.Any() {
		return nil
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var changes []Change
	for life, known := range t.entries {
		if now < known.until {
			continue
		}
		if !known.isOver {
			known.isOver = true
			changes = append(changes, known.change(Ended, now))
		}
		if !known.isLeaving && now >= known.until+t.policy.LongestTrials {
			t.drop(life)
		}
	}
	return changes
}

// Prune drops instances that have not been listed for long. Who lists them may ask the
// tracker meanwhile.
func (t *Tracker) Prune(now time.Duration, isListed func(life registry.Incarnation) bool) {
	if !t.Any() {
		return
	}
	listed := slices.DeleteFunc(t.lives(), func(life registry.Incarnation) bool { return !isListed(life) })
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, life := range listed {
		if known := t.entries[life]; known != nil {
			known.listedAt = now
		}
	}
	for life, known := range t.entries {
		if now-known.listedAt > unlistedMemory {
			t.drop(life)
			t.unreadable.Remove(life)
		}
	}
}

// lives returns the lives that are known.
func (t *Tracker) lives() []registry.Incarnation {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return slices.Collect(maps.Keys(t.entries))
}

// Listed is one instance that is not Open, for operators.
type Listed struct {
	Life     registry.Incarnation
	Standing Standing
	// Asked is the latest pause, Request the one whose answer began it, Answers how many
	// asked for it.
	Asked   time.Duration
	Request string
	Answers int
}

// List returns the instances that are not Open, the longest pause first.
func (t *Tracker) List(now time.Duration) []Listed {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	listed := make([]Listed, 0, len(t.entries))
	for life, known := range t.entries {
		listed = append(listed, Listed{Life: life, Standing: known.standing(now, t.policy.LongestTrials), Asked: known.askedUntil - known.askedAt, Request: known.request, Answers: known.asked})
	}
	slices.SortFunc(listed, func(one, other Listed) int {
		return cmp.Or(cmp.Compare(other.Standing.Wait, one.Standing.Wait), cmp.Compare(one.Life.ID, other.Life.ID), cmp.Compare(one.Life.StartedAt, other.Life.StartedAt))
	})
	return listed
}
