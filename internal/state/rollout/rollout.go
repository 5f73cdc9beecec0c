// Package rollout holds the orders to move the work of a service to instances of
// another version, and how far each has come.
package rollout

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Stage is how far a rollout has come.
type Stage uint8

const (
	// Canary: a small part of the service's requests goes to the new version.
	Canary Stage = iota + 1
	// Moving: all new requests go to the new version, the old one finishes what it has.
	Moving
	// Done: the new version has all work. The old one may end.
	Done
	// RolledBack: the new version gets nothing any more.
	RolledBack
)

// String names the stage.
func (s Stage) String() string {
	names := [...]string{"none", "canary", "moving", "done", "rolled_back"}
	if int(s) < len(names) {
		return names[s]
	}
	return fmt.Sprintf("stage %d", uint8(s))
}

// IsRunning tells whether the rollout may still end either way.
func (s Stage) IsRunning() bool { return s == Canary || s == Moving }

// Order asks that a service's work moves to instances of a version.
type Order struct {
	Service string `msgpack:"s"`
	Version string `msgpack:"v"`
	// Duration is the time from the order to its deadline.
	Duration time.Duration `msgpack:"d"`
	// OrderedMS is the time of day at the control node that took the order, in
	// milliseconds since 1970.
	OrderedMS int64 `msgpack:"t"`
}

// Rollout is an order and what has become of it.
type Rollout struct {
	Order
	// Revision is the log entry of the order.
	Revision uint64 `msgpack:"r"`
	Stage    Stage  `msgpack:"g"`
	// Reason tells what the last step rests on.
	Reason string `msgpack:"w,omitempty"`
}

// Set is the newest rollout of each service at one revision. A value never changes; the
// one with the highest revision holds everywhere.
type Set struct {
	// Revision is the log entry that changed it last, 0 before the first.
	Revision uint64 `msgpack:"r"`
	// Rollouts are in the order of their services.
	Rollouts []Rollout `msgpack:"o"`
}

// Supersedes tells whether this set is newer than another one.
func (s Set) Supersedes(other Set) bool { return s.Revision > other.Revision }

// Find returns a service's newest rollout.
func (s Set) Find(service string) (Rollout, bool) {
	position, found := s.position(service)
	if !found {
		return Rollout{}, false
	}
	return s.Rollouts[position], true
}

func (s Set) position(service string) (int, bool) {
	return slices.BinarySearchFunc(s.Rollouts, service, func(one Rollout, wanted string) int { return cmp.Compare(one.Service, wanted) })
}

// Answer is what an order has come to.
type Answer uint8

const (
	// Begun: the order is new and its rollout has begun.
	Begun Answer = iota + 1
	// UnderWay: the same order was taken before.
	UnderWay
	// OtherUnderWay: a rollout of the service to another version is running.
	OtherUnderWay
)

// repeatedWithin is how long after an order the same one is taken to be sent again,
// whatever has become of it meanwhile: operators whose acknowledgement was lost repeat
// for some seconds, and a bad version is rolled back sooner than that.
const repeatedWithin = 15 * time.Second

// Take returns the set after the log entry of an index with an order.
func (s Set) Take(index uint64, order Order) (Set, Answer) {
	position, found := s.position(order.Service)
	if found {
		known := s.Rollouts[position]
		since := time.Duration(order.OrderedMS-known.OrderedMS) * time.Millisecond
		isSame := known.Version == order.Version
		switch {
		case isSame && (known.Stage.IsRunning() || known.Duration == order.Duration && since.Abs() < repeatedWithin):
			return s, UnderWay
		case known.Stage.IsRunning():
			return s, OtherUnderWay
		}
	}
	begun := Rollout{Order: order, Revision: index, Stage: Canary, Reason: "ordered"}
	rollouts := slices.Clone(s.Rollouts)
	if found {
		rollouts[position] = begun
	} else {
		rollouts = slices.Insert(rollouts, position, begun)
	}
	return Set{Revision: index, Rollouts: rollouts}, Begun
}

// Step moves a rollout to a later stage.
type Step struct {
	Service string `msgpack:"s"`
	// Rollout is the revision of the rollout that is meant.
	Rollout uint64 `msgpack:"r"`
	Stage   Stage  `msgpack:"g"`
	Reason  string `msgpack:"w"`
}

// Advance returns the set after the log entry of an index with a step. One that comes late
// changes nothing: a rollout that has ended stays as it is.
func (s Set) Advance(index uint64, step Step) Set {
	position, found := s.position(step.Service)
	if !found || s.Rollouts[position].Revision != step.Rollout {
		return s
	}
	known := s.Rollouts[position]
	if !known.Stage.IsRunning() || step.Stage <= known.Stage || step.Stage > RolledBack {
		return s
	}
	rollouts := slices.Clone(s.Rollouts)
	rollouts[position].Stage, rollouts[position].Reason = step.Stage, step.Reason
	return Set{Revision: index, Rollouts: rollouts}
}
