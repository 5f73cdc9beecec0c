// Package ratelimit enforces the rate limits that overloaded instances name in their
// responses: the requests per second that an instance accepts from all nodes together.
//
// A request to a limited instance needs a permit, which is requested right before the request
// is written. For each limited instance one entry node, the issuer, grants permits at the
// named rate. Rendezvous hashing over the live entry nodes of the instance's zone selects the
// issuer, so all nodes select the same one. The sum therefore keeps to the limit regardless of
// the number of nodes, a node obtains its share of the rate within one round trip, and in a
// partition the rate stays on the side of the instance.
//
// Nodes may have different views of the live nodes for a while. The rules then err towards
// fewer permits. A node grants none until it has been the issuer in all its views for
// TakeoverTime. While nodes of the zone are missing, the issuer grants only the shares of the
// nodes that it sees. While it can't tell which nodes are live, it grants only its own share
// and those of the nodes that request permits from it.
//
// Nodes send each other updates about limits along with their loads. No update has to arrive:
// a node that doesn't know a limit learns it from the first response of the instance, and one
// that doesn't know that a limit has ended learns it from the next permit response.
//
// The package uses no network and no clock: times are those of the caller's monotonic clock.
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
	// MinimumRate is the rate, in requests per second, that applies to an instance which names
	// a lower one: only a response can show that its limit has ended.
	MinimumRate = 0.1
	// entryRetention is how long a limit applies after the last response or update that confirms it.
	entryRetention = 10 * time.Minute
	// endedRetention is how long an ended limit is remembered, so that a delayed older update
	// doesn't restore it.
	endedRetention = 10 * time.Second
	// rateTolerance is the ratio of two rates above which they count as different.
	rateTolerance = 1.01
	// pressureDecayTime is how long a shortage of permits at an instance affects the choice of
	// an instance.
	pressureDecayTime = 5 * time.Second
	// pressureWeight is the weight of one permit response in the moving average of the pressure.
	pressureWeight = 0.3
	// maximumUnreadable bounds the number of incarnations that are remembered for having named an
	// unreadable limit.
	maximumUnreadable = 1024
)

// Limits keeps what one node knows of the instances' limits. It is safe for concurrent use.
type Limits struct {
	mutex   sync.Mutex
	entries map[registry.Incarnation]*entry
	// entryCount is the number of entries. While it is 0, requests take no lock.
	entryCount atomic.Int64
	// pendingUpdates are the incarnations whose limits have begun, changed or ended here and for
	// which an update is still to be sent.
	pendingUpdates map[registry.Incarnation]struct{}
	// unreadable are the incarnations that named an unreadable limit; each is reported once.
	unreadable *bounded.Set[registry.Incarnation]
	issuers    issuers
}

// entry is the limit of one incarnation of an instance.
type entry struct {
	perSecond float64
	hasEnded  bool
	// at is the time of the newest response that named the limit or showed its end.
	at time.Duration
	// freeAt is when the issuer has its next permit, as far as this node knows. pressure is
	// how scarce permits were recently, from 0 to 1, as of pressureAt.
	freeAt     time.Duration
	pressure   float64
	pressureAt time.Duration
	// granted and denied count the responses to this node's permit requests since the last
	// call of TakeUse.
	granted, denied int
	// slots are the permits that this node grants as the issuer.
	slots slots
}

// New returns the limits of the node at an address, without entries.
func New(self string) *Limits {
	return &Limits{
		entries: map[registry.Incarnation]*entry{}, pendingUpdates: map[registry.Incarnation]struct{}{}, unreadable: bounded.NewSet[registry.Incarnation](maximumUnreadable),
		issuers: newIssuers(self),
	}
}

// ChangeKind is what changed in a limit.
type ChangeKind uint8

// Kinds of changes.
const (
	// Unchanged: no change.
	Unchanged ChangeKind = iota
	// Began: the instance named a limit for the first time, or again after one had ended.
	Began
	// Changed: the instance named another limit.
	Changed
	// Ended: the instance names no limit any more.
	Ended
	// Unreadable: the limit that the instance named can't be read.
	Unreadable
)

// String returns the name of the kind.
func (k ChangeKind) String() string {
	return [...]string{"unchanged", "began", "changed", "ended", "unreadable"}[k]
}

// Change is a change of a limit by a response or an update.
type Change struct {
	Kind        ChangeKind
	Incarnation registry.Incarnation
	// PerSecond is the limit in effect and Before the previous one, in requests per second.
	PerSecond, Before float64
	// Age is the time since the response that caused the change.
	Age time.Duration
	// Fault is the error of an Unreadable limit.
	Fault error
}

// Learn applies the signal of an instance's response to a request of this node that was
// written at writtenAt. If that is before the newest signal, the response may be out of date:
// it neither ends nor raises the limit. A rejection or failure that names no limit doesn't end
// one either.
func (l *Limits) Learn(now time.Duration, incarnation registry.Incarnation, signal Signal, writtenAt time.Duration) Change {
	if !signal.IsNamed && signal.Fault == nil && l.entryCount.Load() == 0 {
		return Change{}
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	known := l.entries[incarnation]
	isOvertaken := known != nil && writtenAt < known.at
	isEnd := !signal.IsNamed && !signal.IsFailure && !isOvertaken
	switch {
	case signal.Fault != nil:
		return l.recordUnreadable(incarnation, signal.Fault)
	case !signal.IsNamed && (known == nil || known.hasEnded || !isEnd):
		return Change{}
	case known != nil && !known.hasEnded && isOvertaken && signal.PerSecond > known.perSecond:
		return Change{}
	}
	change := l.apply(now, Update{Incarnation: incarnation, PerSecond: signal.PerSecond, HasEnded: !signal.IsNamed, At: now})
	if change.Kind != Unchanged {
		l.pendingUpdates[incarnation] = struct{}{}
	}
	return change
}

func (l *Limits) recordUnreadable(incarnation registry.Incarnation, fault error) Change {
	if !l.unreadable.Add(incarnation) {
		return Change{}
	}
	return Change{Kind: Unreadable, Incarnation: incarnation, Fault: fault}
}

// apply applies an update.
func (l *Limits) apply(now time.Duration, update Update) Change {
	known := l.entries[update.Incarnation]
	if known == nil {
		known = &entry{hasEnded: true}
		l.entries[update.Incarnation] = known
		l.entryCount.Add(1)
	}
	before, wasEnded := known.perSecond, known.hasEnded
	known.at, known.hasEnded = update.At, update.HasEnded
	if !update.HasEnded {
		known.perSecond = update.PerSecond
	}
	change := Change{Incarnation: update.Incarnation, PerSecond: known.perSecond, Before: before, Age: now - update.At}
	switch {
	case update.HasEnded && wasEnded:
		return Change{}
	case update.HasEnded:
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

func differs(one, other float64) bool { return one > other*rateTolerance || other > one*rateTolerance }

// interval is the time between two permits at a rate in requests per second.
func interval(perSecond float64) time.Duration {
	return time.Duration(float64(time.Second) / max(perSecond, MinimumRate))
}

// Forget drops the state of an incarnation that has ended: the next one names its own limit.
func (l *Limits) Forget(incarnation registry.Incarnation) {
	if l.entryCount.Load() == 0 {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.drop(incarnation)
}

func (l *Limits) drop(incarnation registry.Incarnation) {
	if _, isKnown := l.entries[incarnation]; isKnown {
		delete(l.entries, incarnation)
		l.entryCount.Add(-1)
	}
	delete(l.pendingUpdates, incarnation)
	l.unreadable.Remove(incarnation)
}

// Prune drops limits that ended longer than endedRetention ago and those that no response or update
// has confirmed for entryRetention.
func (l *Limits) Prune(now time.Duration) {
	if l.entryCount.Load() == 0 {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for incarnation, known := range l.entries {
		age := now - known.at
		if known.hasEnded && age > endedRetention || age > entryRetention {
			l.drop(incarnation)
		}
	}
}

// active returns the limit in effect of an incarnation, or nil if it has none.
func (l *Limits) active(incarnation registry.Incarnation) *entry {
	known := l.entries[incarnation]
	if known == nil || known.hasEnded {
		return nil
	}
	return known
}

// Count returns the number of known limits, including those that ended recently.
func (l *Limits) Count() int64 { return l.entryCount.Load() }

// Any reports whether any limit is known.
func (l *Limits) Any() bool { return l != nil && l.entryCount.Load() > 0 }

// Headroom is the headroom of a limit, for the choice among instances.
type Headroom struct {
	// Wait is the time until the next permit is available, as far as this node knows.
	Wait time.Duration
	// Pressure is how scarce permits were recently, from 0 to 1.
	Pressure float64
	// PerSecond is the limit in requests per second.
	PerSecond float64
}

// Headroom returns the headroom of an incarnation and reports whether it is limited.
func (l *Limits) Headroom(now time.Duration, incarnation registry.Incarnation) (Headroom, bool) {
	if !l.Any() {
		return Headroom{}, false
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	known := l.active(incarnation)
	if known == nil {
		return Headroom{}, false
	}
	return known.headroom(now), true
}

func (e *entry) headroom(now time.Duration) Headroom {
	return Headroom{Wait: max(0, e.freeAt-now), Pressure: e.pressureNow(now), PerSecond: e.perSecond}
}

// pressureNow returns the pressure, which decays linearly over pressureDecayTime since it was
// observed. Without the decay an instance that receives no requests would look limited for ever.
func (e *entry) pressureNow(now time.Duration) float64 {
	return e.pressure * max(0, 1-float64(now-e.pressureAt)/float64(pressureDecayTime))
}

// Use is how this node used a limit.
type Use struct {
	Incarnation registry.Incarnation
	Headroom
	// Granted and Denied count the responses to the node's permit requests.
	Granted, Denied int
}

// TakeUse returns the use of the limits since the last call.
func (l *Limits) TakeUse(now time.Duration) []Use {
	if !l.Any() {
		return nil
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var used []Use
	for incarnation, known := range l.entries {
		if known.granted+known.denied == 0 {
			continue
		}
		used = append(used, Use{Incarnation: incarnation, Headroom: known.headroom(now), Granted: known.granted, Denied: known.denied})
		known.granted, known.denied = 0, 0
	}
	return used
}

// Listed is a limit in effect, as it is shown to operators.
type Listed struct {
	Incarnation registry.Incarnation
	Headroom
	// Age is the time since the newest response that named the limit.
	Age time.Duration
}

// List returns the limits in effect, those with the scarcest permits first.
func (l *Limits) List(now time.Duration) []Listed {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var listed []Listed
	for incarnation, known := range l.entries {
		if !known.hasEnded {
			listed = append(listed, Listed{Incarnation: incarnation, Headroom: known.headroom(now), Age: now - known.at})
		}
	}
	slices.SortFunc(listed, func(one, other Listed) int {
		return cmp.Or(cmp.Compare(other.Pressure, one.Pressure), cmp.Compare(one.Incarnation.ID, other.Incarnation.ID), cmp.Compare(one.Incarnation.StartedAt, other.Incarnation.StartedAt))
	})
	return listed
}

// Issuer returns the address of the node that issues the permits of an instance in a zone, ""
// if no node may issue them now.
func (l *Limits) Issuer(now time.Duration, instance, zone string) string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.issuers.of(now, instance, zone)
}
