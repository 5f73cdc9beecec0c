// Package ratelimit knows the limits that instances in need name in their answers: the
// requests a second that one takes from all nodes together.
//
// The package has no network and no clock: times are those of a steady clock of the caller.
package ratelimit

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/ravenway/ravenway/internal/coordination/registry"
)

const (
	// sameRate is the ratio of two rates from which they count as different.
	sameRate = 1.01
	// unreadableKept bounds the lives that are remembered to have named what can't be read.
	unreadableKept = 1024
)

// Limits is what one node knows of the instances' limits. Safe for concurrent use.
type Limits struct {
	mutex   sync.Mutex
	entries map[registry.Life]*entry
	// known is the number of entries: without any, no request pays for limits.
	known atomic.Int64
	// unreadable are the lives that named what can't be read, told once each.
	unreadable map[registry.Life]struct{}
}

// entry is the limit of one life of an instance.
type entry struct {
	perSecond float64
	hasEnded  bool
	// at is when the newest word of it came.
	at time.Duration
	// written are the requests that this node has written there since the last Use.
	written int
}

// New makes the limits that a node knows before any answer.
func New() *Limits {
	return &Limits{entries: map[registry.Life]*entry{}, unreadable: map[registry.Life]struct{}{}}
}

// ChangeKind tells what became of a limit.
type ChangeKind uint8

// Kinds of changes.
const (
	// Unchanged: nothing new.
	Unchanged ChangeKind = iota
	// Began: an instance names a limit.
	Began
	// Changed: it names another one.
	Changed
	// Ended: it names none any more.
	Ended
	// Unreadable: it names what can't be read.
	Unreadable
)

// String names the kind.
func (k ChangeKind) String() string {
	return [...]string{"unchanged", "began", "changed", "ended", "unreadable"}[k]
}

// Change is what a word changed here.
type Change struct {
	Kind ChangeKind
	Life registry.Life
	// PerSecond is the limit in force, Before the one before it.
	PerSecond, Before float64
	// Fault is why an Unreadable one can't be read.
	Fault error
}

// Learn takes what the answer of an instance to a request of this node says, which was
// written at a time. An answer to a request older than the newest word may have been
// overtaken: it does not lift the limit, nor raise it.
func (l *Limits) Learn(now time.Duration, life registry.Life, said Said, writtenAt time.Duration) Change {
	if !said.IsNamed && said.Fault == nil && l.known.Load() == 0 {
		return Change{}
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	known := l.entries[life]
	isOvertaken := known != nil && writtenAt < known.at
	switch {
	case said.Fault != nil:
		return l.noteUnreadable(life, said.Fault)
	case !said.IsNamed && (known == nil || known.hasEnded || isOvertaken):
		return Change{}
	case known != nil && !known.hasEnded && isOvertaken && said.PerSecond > known.perSecond:
		return Change{}
	}
	return l.set(now, life, said)
}

func (l *Limits) noteUnreadable(life registry.Life, fault error) Change {
	if _, isKnown := l.unreadable[life]; isKnown || len(l.unreadable) >= unreadableKept {
		return Change{}
	}
	l.unreadable[life] = struct{}{}
	return Change{Kind: Unreadable, Life: life, Fault: fault}
}

// set puts what an answer says in force.
func (l *Limits) set(now time.Duration, life registry.Life, said Said) Change {
	known := l.entries[life]
	if known == nil {
		known = &entry{hasEnded: true}
		l.entries[life] = known
		l.known.Add(1)
	}
	before, wasEnded := known.perSecond, known.hasEnded
	known.at, known.hasEnded = now, !said.IsNamed
	change := Change{Life: life, PerSecond: before, Before: before}
	if said.IsNamed {
		known.perSecond, change.PerSecond = said.PerSecond, said.PerSecond
	}
	switch {
	case known.hasEnded && !wasEnded:
		change.Kind = Ended
	case !known.hasEnded && wasEnded:
		change.Kind = Began
	case !known.hasEnded && differs(before, known.perSecond):
		change.Kind = Changed
	default:
		return Change{}
	}
	return change
}

func differs(one, other float64) bool { return one > other*sameRate || other > one*sameRate }

// Forget drops what is known of a life that is over: the next one names its own limit.
func (l *Limits) Forget(life registry.Life) {
	if l.known.Load() == 0 {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.drop(life)
}

func (l *Limits) drop(life registry.Life) {
	if _, isKnown := l.entries[life]; isKnown {
		delete(l.entries, life)
		l.known.Add(-1)
	}
	delete(l.unreadable, life)
}

// inForce returns a life's limit, nil if it has none.
func (l *Limits) inForce(life registry.Life) *entry {
	known := l.entries[life]
	if known == nil || known.hasEnded {
		return nil
	}
	return known
}

// Any tells whether any limit is known.
func (l *Limits) Any() bool { return l != nil && l.known.Load() > 0 }

// Written notes a request that this node writes to an instance.
func (l *Limits) Written(life registry.Life) {
	if !l.Any() {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if known := l.inForce(life); known != nil {
		known.written++
	}
}

// Use is what this node sent to an instance with a limit.
type Use struct {
	Life      registry.Life
	PerSecond float64
	Written   int
}

// TakeUse returns the use of the limits in force since the last call.
func (l *Limits) TakeUse() []Use {
	if !l.Any() {
		return nil
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var used []Use
	for life, known := range l.entries {
		if !known.hasEnded && known.written > 0 {
			used = append(used, Use{Life: life, PerSecond: known.perSecond, Written: known.written})
			known.written = 0
		}
	}
	return used
}
