// Package ratelimit keeps the limits that instances in need name in their answers: the
// requests a second that one takes from all nodes together.
//
// A request to a limited instance needs a permit, which is asked for right before it is
// written. For each limited instance one entry node, the holder, gives them out at the
// named rate; rendezvous hashing over the live entry nodes of the instance's zone names
// it, the same at all nodes. So the sum holds whatever the number of nodes is, a node that
// wants a part of the rate has it within one round trip, and a cut leaves the rate to the
// side of the instance.
//
// Who is live may be seen differently for a while, and always errs to fewer permits: a
// node gives none before it was the holder in all it knew for TakeoverTime; while nodes of
// the zone are missing, the holder gives out the parts of those that it sees, and while it
// can't tell who is there its own part and those of the nodes that ask it.
//
// What is known of limits passes between the nodes beside their loads (Words). None of it
// has to come: a node that doesn't know a limit learns it with the first answer, one that
// doesn't know its end learns that with the next permit.
//
// The package has no network and no clock: times are those of a steady clock of the caller.
package ratelimit

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ravenway/ravenway/internal/bounded"
	"github.com/ravenway/ravenway/internal/coordination/registry"
)

const (
	// LeastRate is the rate, in requests a second, at which an instance is asked that
	// names a lower one: only an answer can tell that its limit is over.
	LeastRate = 0.1
	// entryMemory is how long a limit counts that no answer and no node speaks of.
	entryMemory = 10 * time.Minute
	// endMemory is how long an ended limit is remembered, so that an older word of it,
	// late on its way, doesn't bring it back.
	endMemory = 10 * time.Second
	// sameRate is the ratio of two rates from which they count as different.
	sameRate = 1.01
	// pressureMemory is how long it matters to the choice of an instance that permits
	// were scarce there.
	pressureMemory = 5 * time.Second
	// pressureWeight is the weight of one answer of the holder in the pressure.
	pressureWeight = 0.3
	// unreadableKept bounds the lives that are remembered to have named what can't be read.
	unreadableKept = 1024
)

// Limits is what one node knows of the instances' limits. Safe for concurrent use.
type Limits struct {
	mutex   sync.Mutex
	entries map[registry.Incarnation]*entry
	// known is the number of entries: without any, no request pays for limits.
	known atomic.Int64
	// news are the lives whose limits have begun, changed or ended here, to be told.
	news map[registry.Incarnation]struct{}
	// unreadable are the lives that named what can't be read, told once each.
	unreadable *bounded.Set[registry.Incarnation]
	holders    holders
}

// entry is the limit of one life of an instance.
type entry struct {
	perSecond float64
	hasEnded  bool
	// at is when the newest word of it came.
	at time.Duration
	// freeAt is when the holder has its next permit, as this node knows, and pressure how
	// scarce they were of late, from 0 to 1, at pressureAt.
	freeAt     time.Duration
	pressure   float64
	pressureAt time.Duration
	// granted and denied are the permits that this node asked for since the last Use.
	granted, denied int
	// slots are the permits that this node gives out as the holder.
	slots slots
}

// New makes the limits of a node at an address.
func New(self string) *Limits {
	return &Limits{
		entries: map[registry.Incarnation]*entry{}, news: map[registry.Incarnation]struct{}{}, unreadable: bounded.NewSet[registry.Incarnation](unreadableKept),
		holders: newHolders(self),
	}
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
	Life registry.Incarnation
	// PerSecond is the limit in force, Before the one before it.
	PerSecond, Before float64
	// Age is how old the word was.
	Age time.Duration
	// Fault is why an Unreadable one can't be read.
	Fault error
}

// Learn takes what the answer of an instance to a request of this node says, which was
// written at a time. An answer to a request older than the newest word may have been
// overtaken: it does not lift the limit, nor raise it. A refusal or failure lifts none.
func (l *Limits) Learn(now time.Duration, life registry.Incarnation, said Said, writtenAt time.Duration) Change {
	if !said.IsNamed && said.Fault == nil && l.known.Load() == 0 {
		return Change{}
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	known := l.entries[life]
	isOvertaken := known != nil && writtenAt < known.at
	isEnd := !said.IsNamed && !said.IsFailure && !isOvertaken
	switch {
	case said.Fault != nil:
		return l.noteUnreadable(life, said.Fault)
	case !said.IsNamed && (known == nil || known.hasEnded || !isEnd):
		return Change{}
	case known != nil && !known.hasEnded && isOvertaken && said.PerSecond > known.perSecond:
		return Change{}
	}
	change := l.set(now, Word{Life: life, PerSecond: said.PerSecond, HasEnded: !said.IsNamed, At: now})
	if change.Kind != Unchanged {
		l.news[life] = struct{}{}
	}
	return change
}

func (l *Limits) noteUnreadable(life registry.Incarnation, fault error) Change {
	if !l.unreadable.Add(life) {
		return Change{}
	}
	return Change{Kind: Unreadable, Life: life, Fault: fault}
}

// set puts a word in force.
func (l *Limits) set(now time.Duration, word Word) Change {
	known := l.entries[word.Life]
	if known == nil {
		known = &entry{hasEnded: true}
		l.entries[word.Life] = known
		l.known.Add(1)
	}
	before, wasEnded := known.perSecond, known.hasEnded
	known.at, known.hasEnded = word.At, word.HasEnded
	if !word.HasEnded {
		known.perSecond = word.PerSecond
	}
	change := Change{Life: word.Life, PerSecond: known.perSecond, Before: before, Age: now - word.At}
	switch {
	case word.HasEnded && wasEnded:
		return Change{}
	case word.HasEnded:
		change.Kind = Ended
	case wasEnded:
		change.Kind = Began
		known.freeAt, known.pressure = 0, 0
		known.slots.begin(now, interval(known.perSecond))
	case differs(before, known.perSecond):
		change.Kind = Changed
		known.freeAt = min(known.freeAt, now+interval(known.perSecond))
		known.slots.next = min(known.slots.next, now+interval(known.perSecond))
	default:
		return Change{}
	}
	return change
}

func differs(one, other float64) bool { return one > other*sameRate || other > one*sameRate }

// interval is the time between two permits at a rate.
func interval(perSecond float64) time.Duration {
	return time.Duration(float64(time.Second) / max(perSecond, LeastRate))
}

// Forget drops what is known of a life that is over: the next one names its own limit.
func (l *Limits) Forget(life registry.Incarnation) {
	if l.known.Load() == 0 {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.drop(life)
}

func (l *Limits) drop(life registry.Incarnation) {
	if _, isKnown := l.entries[life]; isKnown {
		delete(l.entries, life)
		l.known.Add(-1)
	}
	delete(l.news, life)
	l.unreadable.Remove(life)
}

// Prune drops limits that ended a while ago, and those that nobody has spoken of for long.
func (l *Limits) Prune(now time.Duration) {
	if l.known.Load() == 0 {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for life, known := range l.entries {
		age := now - known.at
		if known.hasEnded && age > endMemory || age > entryMemory {
			l.drop(life)
		}
	}
}

// inForce returns a life's limit, nil if it has none.
func (l *Limits) inForce(life registry.Incarnation) *entry {
	known := l.entries[life]
	if known == nil || known.hasEnded {
		return nil
	}
	return known
}

// Count is the number of limits that are known, those that ended a moment ago included.
func (l *Limits) Count() int64 { return l.known.Load() }

// Any tells whether any limit is known.
func (l *Limits) Any() bool { return l != nil && l.known.Load() > 0 }

// Room is what the choice of an instance weighs of its limit.
type Room struct {
	// Wait is how long it is until the next permit, as far as is known here.
	Wait time.Duration
	// Pressure is how scarce permits were of late, from 0 to 1.
	Pressure float64
	// PerSecond is the limit.
	PerSecond float64
}

// Room tells whether a life is limited, and what room it has.
func (l *Limits) Room(now time.Duration, life registry.Incarnation) (Room, bool) {
	if !l.Any() {
		return Room{}, false
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	known := l.inForce(life)
	if known == nil {
		return Room{}, false
	}
	return known.room(now), true
}

func (e *entry) room(now time.Duration) Room {
	return Room{Wait: max(0, e.freeAt-now), Pressure: e.pressureNow(now), PerSecond: e.perSecond}
}

// pressureNow is the pressure, which fades with the time since it was seen: an instance
// that nobody asks would stay limited.
func (e *entry) pressureNow(now time.Duration) float64 {
	return e.pressure * max(0, 1-float64(now-e.pressureAt)/float64(pressureMemory))
}

// Use is what this node made of a limit.
type Use struct {
	Life registry.Incarnation
	Room
	// Granted and Denied are its permits.
	Granted, Denied int
}

// TakeUse returns the use of the limits in force since the last call.
func (l *Limits) TakeUse(now time.Duration) []Use {
	if !l.Any() {
		return nil
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var used []Use
	for life, known := range l.entries {
		if known.granted+known.denied == 0 {
			continue
		}
		used = append(used, Use{Life: life, Room: known.room(now), Granted: known.granted, Denied: known.denied})
		known.granted, known.denied = 0, 0
	}
	return used
}

// Listed is one limit in force, for operators.
type Listed struct {
	Life registry.Incarnation
	Room
	// Age is the time since the newest word of it.
	Age time.Duration
}

// List returns the limits in force, the scarcest first.
func (l *Limits) List(now time.Duration) []Listed {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var listed []Listed
	for life, known := range l.entries {
		if !known.hasEnded {
			listed = append(listed, Listed{Life: life, Room: known.room(now), Age: now - known.at})
		}
	}
	slices.SortFunc(listed, func(one, other Listed) int {
		return cmp.Or(cmp.Compare(other.Pressure, one.Pressure), cmp.Compare(one.Life.ID, other.Life.ID), cmp.Compare(one.Life.StartedAt, other.Life.StartedAt))
	})
	return listed
}

// Holder returns the node that gives out the permits of an instance in a zone, "" if none
// may now.
func (l *Limits) Holder(now time.Duration, instance, zone string) string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.holders.of(now, instance, zone)
}
