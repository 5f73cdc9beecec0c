// Package enginepath tracks whether this node can open connections to engines.
//
// A node that is partitioned from engines is alive and reachable for its callers and peers, so only
// its own attempts to connect show the partition. An engine is unreachable while the last attempt to
// connect to it has failed. The path to engines is lost when attempts at several engines have failed
// and none has succeeded in between.
package enginepath

import (
	"sync"
	"time"
)

// minimumLostEngines is the number of engines that have to be unreachable for the path to count as
// lost: a single one is more likely to have failed itself.
const minimumLostEngines = 2

// Outcome is the result of an attempt to connect to an engine.
type Outcome uint8

const (
	// Connected means that the connection was opened.
	Connected Outcome = iota
	// Silent means that there was no response in time.
	Silent
	// Refused means that the connection was refused or reset.
	Refused
)

// String returns the outcome's name in logs and metrics.
func (o Outcome) String() string { return [...]string{"connected", "silent", "refused"}[o] }

// ChangeKind is how the state of the path changed.
type ChangeKind uint8

// Kinds of changes.
const (
	// Unchanged: no change.
	Unchanged ChangeKind = iota
	// Lost: the path to engines is lost.
	Lost
	// Regained: an attempt to connect has succeeded after the path was lost.
	Regained
)

// String returns the kind's name in logs.
func (k ChangeKind) String() string { return [...]string{"unchanged", "lost", "regained"}[k] }

// Change is a change of the path's state, with the evidence for it.
type Change struct {
	Kind ChangeKind
	// Silent and Refused are the numbers of engines that are unreachable, by the outcome of the last
	// attempt.
	Silent, Refused int
	// SinceContact is the time since an attempt last succeeded, negative if none ever has. Lasted is
	// how long the path was lost.
	SinceContact, Lasted time.Duration
}

// Tracker holds the results of this node's attempts to connect. It is safe for concurrent use. Times
// are readings of a monotonic clock.
type Tracker struct {
	mutex sync.Mutex
	// unreachable holds the engines whose last attempt failed, by address.
	unreachable map[string]*failure
	// failedSinceContact are the addresses at which an attempt has failed since one last succeeded
	// anywhere.
	failedSinceContact map[string]struct{}
	contactAt          time.Duration
	hasContact         bool
	lostAt             time.Duration
	isLost             bool
}

// failure describes the failed attempts at one engine.
type failure struct {
	outcome Outcome
	// since is when the first, and at when the last attempt failed.
	since, at time.Duration
}

// NewTracker returns a tracker without results.
func NewTracker() *Tracker {
	return &Tracker{unreachable: map[string]*failure{}, failedSinceContact: map[string]struct{}{}}
}

// Record records the result of an attempt to connect to the engine at an address.
func (t *Tracker) Record(now time.Duration, address string, outcome Outcome) Change {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if outcome == Connected {
		return t.recordContact(now, address)
	}
	failed := t.unreachable[address]
	if failed == nil {
		failed = &failure{since: now}
		t.unreachable[address] = failed
	}
	failed.outcome, failed.at = outcome, now
	t.failedSinceContact[address] = struct{}{}
	if t.isLost || len(t.failedSinceContact) < minimumLostEngines {
		return Change{}
	}
	t.isLost, t.lostAt = true, now
	return t.describe(now, Lost)
}

func (t *Tracker) recordContact(now time.Duration, address string) Change {
	delete(t.unreachable, address)
	change := Change{}
	if t.isLost {
		change = t.describe(now, Regained)
		change.Lasted = now - t.lostAt
	}
	clear(t.failedSinceContact)
	t.isLost, t.hasContact, t.contactAt = false, true, now
	return change
}

// describe returns a change with the current evidence.
func (t *Tracker) describe(now time.Duration, kind ChangeKind) Change {
	change := Change{Kind: kind, SinceContact: -1}
	if t.hasContact {
		change.SinceContact = now - t.contactAt
	}
	for _, failed := range t.unreachable {
		if failed.outcome == Refused {
			change.Refused++
			continue
		}
		change.Silent++
	}
	return change
}

// IsLost reports whether the path to engines is lost.
func (t *Tracker) IsLost() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.isLost
}

// Unreachable returns the number of engines whose last attempt failed.
func (t *Tracker) Unreachable() int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return len(t.unreachable)
}

// Prune drops the state of engines whose address is not among those listed.
func (t *Tracker) Prune(listed map[string]struct{}) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for address := range t.unreachable {
		if _, isListed := listed[address]; !isListed {
			delete(t.unreachable, address)
			delete(t.failedSinceContact, address)
		}
	}
}
