// Package reservation keeps the prompts that instances have yet to read, so that prompts of several
// nodes do not meet at one instance.
//
// For each instance one node, its coordinator, has a ledger of the reservations of all nodes. A
// node that has chosen an instance for a long prompt requests a reservation there, together with
// the backlog up to which its choice holds. The coordinator grants it unless more is ahead, and
// names the backlog. A reservation ends when it is released or with its lease. Reservations only
// order the choices: no request depends on one.
//
// The package uses no network and no clock: times are those of the caller's monotonic clock.
package reservation

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/ravenway/ravenway/internal/coordination/registry"
)

// MaximumReservations bounds the reservations of one instance at a time. Further ones are refused.
const MaximumReservations = 256

// MaximumHeld bounds the reservations of all instances together, so that requests for incarnations
// that never existed take no more than some ten MB. Further ones are granted but not kept: the
// nodes then choose without them, as they do without a coordinator.
const MaximumHeld = 1 << 16

// Ledger holds the reservations at the instances that a node coordinates. It is safe for concurrent
// use.
type Ledger struct {
	mutex sync.Mutex
	// instances holds the reservations at each incarnation, in the order of granting.
	instances map[registry.Incarnation][]reservation
	count     int
}

// reservation is a prompt that an instance has yet to read. Its lease ends at endAt.
type reservation struct {
	from             string
	number           uint64
	tokens           int
	grantedAt, endAt time.Duration
}

func (r reservation) hasEnded(now time.Duration) bool { return now >= r.endAt }

func (r reservation) is(from string, number uint64) bool {
	return r.number == number && r.from == from
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{instances: map[registry.Incarnation][]reservation{}}
}

// Reserve grants a reservation of a node unless more tokens are ahead than the request allows, or
// the instance has MaximumReservations. It replaces the node's reservation with the same number at
// the instance; if it is refused, that one ends. A request that is not valid is refused. One that is
// granted while MaximumHeld are kept is not kept.
func (l *Ledger) Reserve(now time.Duration, from string, request Request) Response {
	if request.Check() != nil {
		return Response{}
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	held := l.dropEnded(now, request.Incarnation)
	held = l.drop(request.Incarnation, held, func(one reservation) bool { return one.is(from, request.Number) })
	response := Response{Ahead: sumTokens(held), Prompts: len(held)}
	response.IsGranted = response.Ahead <= request.MaximumAhead && len(held) < MaximumReservations
	if response.IsGranted && l.count < MaximumHeld {
		granted := reservation{from: from, number: request.Number, tokens: request.Tokens, grantedAt: now, endAt: now + request.lease()}
		l.instances[request.Incarnation] = append(held, granted)
		l.count++
	}
	return response
}

// Release ends a reservation of a node. One that is not known has ended before.
func (l *Ledger) Release(now time.Duration, from string, release Release) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	held := l.dropEnded(now, release.Incarnation)
	l.drop(release.Incarnation, held, func(one reservation) bool { return one.is(from, release.Number) })
}

// Prune drops the reservations whose leases have ended.
func (l *Ledger) Prune(now time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for incarnation := range l.instances {
		l.dropEnded(now, incarnation)
	}
}

// Forget drops the reservations at an incarnation that has ended.
func (l *Ledger) Forget(incarnation registry.Incarnation) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.count -= len(l.instances[incarnation])
	delete(l.instances, incarnation)
}

// dropEnded drops the reservations at an incarnation whose leases have ended, and returns the
// others.
func (l *Ledger) dropEnded(now time.Duration, incarnation registry.Incarnation) []reservation {
	return l.drop(incarnation, l.instances[incarnation], func(one reservation) bool { return one.hasEnded(now) })
}

// drop drops those of the reservations held at an incarnation for which isDropped returns true, and
// returns the others.
func (l *Ledger) drop(incarnation registry.Incarnation, held []reservation, isDropped func(reservation) bool) []reservation {
	before := len(held)
	held = slices.DeleteFunc(held, isDropped)
	l.count -= before - len(held)
	switch {
	case len(held) == 0:
		delete(l.instances, incarnation)
	case len(held) < before:
		l.instances[incarnation] = held
	}
	return held
}

func sumTokens(held []reservation) int {
	total := 0
	for _, one := range held {
		total += one.tokens
	}
	return total
}

// Count returns the number of reservations, including those whose leases have ended since the last
// Prune.
func (l *Ledger) Count() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.count
}

// Listed is the backlog of one instance, as it is shown to operators.
type Listed struct {
	Incarnation registry.Incarnation
	// Tokens is the number of prompt tokens that the instance has yet to read, and Prompts that of
	// prompts.
	Tokens, Prompts int
	// Oldest is the age of the oldest reservation.
	Oldest time.Duration
}

// List returns the instances with reservations, those with the most tokens first.
func (l *Ledger) List(now time.Duration) []Listed {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var listed []Listed
	for incarnation := range l.instances {
		held := l.dropEnded(now, incarnation)
		if len(held) > 0 {
			listed = append(listed, Listed{Incarnation: incarnation, Tokens: sumTokens(held), Prompts: len(held), Oldest: now - held[0].grantedAt})
		}
	}
	slices.SortFunc(listed, func(one, other Listed) int {
		return cmp.Or(cmp.Compare(other.Tokens, one.Tokens), cmp.Compare(one.Incarnation.ID, other.Incarnation.ID), cmp.Compare(one.Incarnation.StartedAt, other.Incarnation.StartedAt))
	})
	return listed
}
