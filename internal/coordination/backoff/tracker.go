package backoff

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ravenway/ravenway/internal/coordination/registry"
)

const (
	// firstTrials is the number of requests that may be unanswered at an instance right after
	// its pause, and fullTrials the number from which it counts as back.
	firstTrials = 1
	fullTrials  = 16
	// trialMemory bounds how long an instance counts as coming back that nobody asks.
	trialMemory = 30 * time.Second
	// unreadableKept bounds the lives that are remembered to have asked for what can't be
	// read.
	unreadableKept = 1024
)

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
)

// String names the phase.
func (p Phase) String() string { return [...]string{"open", "paused", "returning"}[p] }

// Standing is what is known of one life of an instance.
type Standing struct {
	Phase Phase
	// Wait is how long its pause lasts on.
	Wait time.Duration
	// HasTrial tells whether a Returning one may have another request.
	HasTrial bool
}

// Tracker is what one node knows of the instances that asked it for a pause. It goes by
// lives: neither changes of the registry nor of the configuration end a pause, a new life
// begins without one. Safe for concurrent use.
type Tracker struct {
	mutex   sync.Mutex
	entries map[registry.Life]*entry
	// known is the number of entries: without any, no request pays for them.
	known atomic.Int64
	// unreadable are the lives that asked for what can't be read, told once each.
	unreadable map[registry.Life]struct{}
}

// entry is a life that asked for a pause.
type entry struct {
	life registry.Life
	// askedAt is when the pause began, until its end.
	askedAt, until time.Duration
	// asked are the answers that asked for it, and request the first one's.
	asked   int
	request string
	// isOver tells that its end was noted.
	isOver bool
	// trials are the requests under way that were chosen since the pause was over, and
	// allowed is how many there may be.
	trials, allowed int
}

// NewTracker makes a tracker that knows of no pause.
func NewTracker() *Tracker {
	return &Tracker{entries: map[registry.Life]*entry{}, unreadable: map[registry.Life]struct{}{}}
}

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
	// Unreadable: it asks for what can't be read.
	Unreadable
)

// String names the kind.
func (k ChangeKind) String() string {
	return [...]string{"unchanged", "began", "extended", "ended", "back", "unreadable"}[k]
}

// Change is what an answer, or the time, changed.
type Change struct {
	Kind ChangeKind
	Life registry.Life
	// Asked is the pause that was asked for, Left what is left of it.
	Asked, Left time.Duration
	// Request is the one whose answer began the pause, Answers how many asked for it.
	Request string
	Answers int
	// Fault is why an Unreadable one can't be read.
	Fault error
}

// Learn takes what an instance's answer to a request asks for, which comes now. No answer
// shortens a pause: it was asked for, whatever a later one says.
func (t *Tracker) Learn(now time.Duration, life registry.Life, request string, said Said) Change {
	if said.Pause == 0 && said.Fault == nil && t.known.Load() == 0 {
		return Change{}
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	switch {
	case said.Fault != nil:
		return t.noteUnreadable(life, said.Fault)
	case said.Pause > 0:
		return t.pause(now, life, request, said.Pause)
	case said.HasRun:
		return t.accept(now, life)
	}
	return Change{}
}

func (t *Tracker) noteUnreadable(life registry.Life, fault error) Change {
	if _, isKnown := t.unreadable[life]; isKnown || len(t.unreadable) >= unreadableKept {
		return Change{}
	}
	t.unreadable[life] = struct{}{}
	return Change{Kind: Unreadable, Life: life, Fault: fault}
}

func (t *Tracker) pause(now time.Duration, life registry.Life, request string, asked time.Duration) Change {
	kind := Extended
	known := t.entries[life]
	if known == nil {
		known = &entry{life: life}
		t.entries[life] = known
		t.known.Add(1)
	}
	if now >= known.until {
		kind = Began
		known.askedAt, known.asked, known.request = now, 0, request
	}
	known.asked++
	if now+asked <= known.until {
		return Change{}
	}
	known.until, known.isOver, known.allowed = now+asked, false, firstTrials
	return known.change(kind, now)
}

func (e *entry) change(kind ChangeKind, now time.Duration) Change {
	return Change{Kind: kind, Life: e.life, Asked: e.until - e.askedAt, Left: max(0, e.until-now), Request: e.request, Answers: e.asked}
}

// accept notes that an instance ran a request. After its pause each one lets twice as many
// come, until it counts as back.
func (t *Tracker) accept(now time.Duration, life registry.Life) Change {
	known := t.entries[life]
	if known == nil || now < known.until {
		return Change{}
	}
	known.allowed *= 2
	if known.allowed < fullTrials {
		return Change{}
	}
	t.drop(life)
	return known.change(Back, now)
}

// Standing tells what a life takes from this node.
func (t *Tracker) Standing(now time.Duration, life registry.Life) Standing {
	if !t.Any() {
		return Standing{}
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known := t.entries[life]
	switch {
	case known == nil:
		return Standing{}
	case now < known.until:
		return Standing{Phase: Paused, Wait: known.until - now}
	}
	return Standing{Phase: Returning, HasTrial: known.trials < known.allowed}
}

// Any tells whether any instance is not Open.
func (t *Tracker) Any() bool { return t != nil && t.known.Load() > 0 }

// Count is the number of instances that are not Open.
func (t *Tracker) Count() int64 { return t.known.Load() }

// BeginTrial notes that a request is chosen for a life, and tells whether EndTrial is due
// when it is over.
func (t *Tracker) BeginTrial(now time.Duration, life registry.Life) bool {
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
func (t *Tracker) EndTrial(life registry.Life) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if known := t.entries[life]; known != nil {
		known.trials = max(0, known.trials-1)
	}
}

// Forget drops what is known of a life that is over.
func (t *Tracker) Forget(life registry.Life) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.drop(life)
	delete(t.unreadable, life)
}

func (t *Tracker) drop(life registry.Life) {
	if _, isKnown := t.entries[life]; isKnown {
		delete(t.entries, life)
		t.known.Add(-1)
	}
}

// Look returns the pauses that are over since the last call, and drops instances that
// nobody asked for long after theirs.
func (t *Tracker) Look(now time.Duration) []Change {
	if !t.Any() {
		return nil
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var changes []Change
	for life, known := range t.entries {
		switch {
		case now < known.until:
		case !known.isOver:
			known.isOver = true
			changes = append(changes, known.change(Ended, now))
		case now-known.until > trialMemory:
			t.drop(life)
		}
	}
	return changes
}

// Listed is one instance that is not Open, for operators.
type Listed struct {
	Life     registry.Life
	Standing Standing
	// Asked is the pause, Request the one whose answer began it, Answers how many asked for it.
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
		standing := Standing{Phase: Returning, HasTrial: known.trials < known.allowed}
		if now < known.until {
			standing = Standing{Phase: Paused, Wait: known.until - now}
		}
		listed = append(listed, Listed{Life: life, Standing: standing, Asked: known.until - known.askedAt, Request: known.request, Answers: known.asked})
	}
	slices.SortFunc(listed, func(one, other Listed) int {
		return cmp.Or(cmp.Compare(other.Standing.Wait, one.Standing.Wait), cmp.Compare(one.Life.ID, other.Life.ID), cmp.Compare(one.Life.Born, other.Life.Born))
	})
	return listed
}
