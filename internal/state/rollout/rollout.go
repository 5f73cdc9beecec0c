// Package rollout holds the orders to move the requests of a service to instances of
// another version, and the progress of each.
package rollout

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Stage is the progress of a rollout.
type Stage uint8

const (
	// Canary: a small part of the service's requests is sent to the new version.
	Canary Stage = iota + 1
	// Moving: all new requests are sent to the new version, the old one finishes those in flight.
	Moving
	// Done: the new version serves all requests. The old one may be stopped.
	Done
	// RolledBack: the new version receives no more requests.
	RolledBack
)

// String returns the stage's name.
func (s Stage) String() string {
	names := [...]string{"none", "canary", "moving", "done", "rolled_back"}
	if int(s) < len(names) {
		return names[s]
	}
	return fmt.Sprintf("stage %d", uint8(s))
}

// IsRunning reports whether the rollout is still in progress, so that it may be done or rolled back.
func (s Stage) IsRunning() bool { return s == Canary || s == Moving }

// Order requests that a service's requests are moved to instances of a version.
type Order struct {
	Service string `msgpack:"s"`
	Version string `msgpack:"v"`
	// Duration is the time from the order to its deadline.
	Duration time.Duration `msgpack:"d"`
	// OrderedMS is the wall clock time of the control node that accepted the order, in
	// milliseconds since 1970.
	OrderedMS int64 `msgpack:"t"`
}

// Rollout is an order and its progress.
type Rollout struct {
	Order
	// Revision is the index of the log entry with the order.
	Revision uint64 `msgpack:"r"`
	Stage    Stage  `msgpack:"g"`
	// Reason is the reason for the last step.
	Reason string `msgpack:"w,omitempty"`
}

// Set is the newest rollout of each service at one revision. A value is immutable; the
// one with the highest revision is active on all nodes.
type Set struct {
	// Revision is the index of the log entry that changed the set last, 0 before the first.
	Revision uint64 `msgpack:"r"`
	// Rollouts are sorted by service.
	Rollouts []Rollout `msgpack:"o"`
}

// Supersedes reports whether this set is newer than another one.
func (s Set) Supersedes(other Set) bool { return s.Revision > other.Revision }

// Find returns a service's newest rollout and reports whether there is one.
func (s Set) Find(service string) (Rollout, bool) {
	position, found := s.position(service)
	if !found {
		return Rollout{}, false
	}
	return s.Rollouts[position], true
}

func (s Set) position(service string) (int, bool) {
	return slices.BinarySearchFunc(s.Rollouts, service, func(known Rollout, wanted string) int { return cmp.Compare(known.Service, wanted) })
}

// Response is the response to an order.
type Response uint8

const (
	// Started: the order is new and its rollout has started.
	Started Response = iota + 1
	// InProgress: the same order was accepted before, so no other rollout is started.
	InProgress
	// OtherInProgress: a rollout of the service to another version is in progress.
	OtherInProgress
	// Rejected: the order did not name the service's newest rollout, so that it may be a delayed copy
	// of an earlier order, and had no effect.
	Rejected
)

// repetitionWindow is the time after an order in which an equal order counts as a repetition
// of it, regardless of the rollout's stage: operators that lost the acknowledgement repeat an
// order for some seconds, and a bad version is rolled back sooner than that.
const repetitionWindow = 15 * time.Second

// ApplyOrder applies an order from the log entry at an index and returns the resulting set and the
// response to the order.
func (s Set) ApplyOrder(index uint64, order Order) (Set, Response) {
	position, found := s.position(order.Service)
	if found {
		known := s.Rollouts[position]
		since := time.Duration(order.OrderedMS-known.OrderedMS) * time.Millisecond
		isSame := known.Version == order.Version
		switch {
		case isSame && (known.Stage.IsRunning() || known.Duration == order.Duration && since.Abs() < repetitionWindow):
			return s, InProgress
		case known.Stage.IsRunning():
			return s, OtherInProgress
		}
	}
	started := Rollout{Order: order, Revision: index, Stage: Canary, Reason: "ordered"}
	rollouts := slices.Clone(s.Rollouts)
	if found {
		rollouts[position] = started
	} else {
		rollouts = slices.Insert(rollouts, position, started)
	}
	return Set{Revision: index, Rollouts: rollouts}, Started
}

// Step moves a rollout to a later stage.
type Step struct {
	Service string `msgpack:"s"`
	// Rollout is the revision of the rollout that the step applies to.
	Rollout uint64 `msgpack:"r"`
	Stage   Stage  `msgpack:"g"`
	Reason  string `msgpack:"w"`
}

// Advance applies a step from the log entry at an index and returns the resulting set. A late
// step changes nothing: a rollout that has ended keeps its stage.
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
