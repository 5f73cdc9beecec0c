// Package clocks computes an upper bound of how long a node had been without contact to the root of the
// budgets when its incarnation ended.
//
// A monotonic clock measures time only within one process, and doesn't count the time for which its
// machine is suspended. Where it fails, only the wall clock is left, which may jump on any machine.
// So the wall clock counts only if the control nodes agree on it: a jump is detected unless it affects
// more than half of them equally at the same time.
package clocks

import (
	"time"

	"github.com/ravenway/ravenway/internal/state/accounts"
)

// Tolerance is the maximum difference at which clocks still agree. Machines keep their wall clocks
// within some milliseconds of each other, a peer's clock is read one message delay late, and the jumps
// to be detected are of a second and more.
const Tolerance = 150 * time.Millisecond

// Reading is the state of the leader's clocks at one moment.
type Reading struct {
	// Clock identifies the process whose monotonic clock Monotonic is from. Monotonic is the time
	// since the start of that process.
	Clock     uint64
	Monotonic time.Duration
	// WallMS is the wall clock in milliseconds since 1970; 0 if the control nodes' clocks do not
	// agree on it.
	WallMS int64
}

// Contact returns the reading in the form that the log stores.
func (r Reading) Contact() accounts.Contact {
	return accounts.Contact{Clock: r.Clock, MonotonicMS: uint64(r.Monotonic.Milliseconds()), WallMS: r.WallMS}
}

// Agree reports whether the own wall clock is reliable: the clocks of more than half of the voters,
// this node included, were read, and none differs from it by more than Tolerance. Clocks are in
// milliseconds since 1970.
func Agree(own int64, others []int64, voters int) bool {
	for _, other := range others {
		if max(own, other)-min(own, other) > Tolerance.Milliseconds() {
			return false
		}
	}
	return 2*(len(others)+1) > voters
}

// TimeSinceContact returns an upper bound of the time between an incarnation's last contact with
// the root and its end. The incarnation had ended at least sinceEnd before the clocks were read. If
// this process recorded the contact, the bound is from the monotonic clock, unless the wall clock
// shows that its machine was suspended since. Otherwise the bound is from the wall clock, if the
// control nodes agreed on it both then and now.
func TimeSinceContact(contact accounts.Contact, now Reading, sinceEnd time.Duration) (sinceContact time.Duration, known bool) {
	if contact.Index == 0 {
		return accounts.UnknownTimeSinceContact, false
	}
	byWallClock, isAgreed := elapsedByWallClock(contact, now)
	if contact.Clock == now.Clock {
		elapsed := now.Monotonic - time.Duration(contact.MonotonicMS)*time.Millisecond
		if isAgreed && byWallClock > elapsed+Tolerance {
			elapsed = byWallClock + Tolerance
		}
		return max(0, elapsed-sinceEnd), true
	}
	if !isAgreed || byWallClock-sinceEnd < -Tolerance {
		return accounts.UnknownTimeSinceContact, false
	}
	return max(0, byWallClock-sinceEnd) + Tolerance, true
}

// IsContactWithin reports whether an incarnation's last contact with the root was certainly within a time before
// the clocks were read. Only the process that recorded the contact can tell.
func IsContactWithin(contact accounts.Contact, now Reading, within time.Duration) bool {
	if contact.Index == 0 || contact.Clock != now.Clock {
		return false
	}
	sinceContact, known := TimeSinceContact(contact, now, 0)
	return known && sinceContact+Tolerance < within
}

// elapsedByWallClock returns the time since the contact by the wall clock, if the control nodes
// agreed on it both then and now.
func elapsedByWallClock(contact accounts.Contact, now Reading) (elapsed time.Duration, isAgreed bool) {
	if contact.WallMS == 0 || now.WallMS == 0 {
		return 0, false
	}
	return time.Duration(now.WallMS-contact.WallMS) * time.Millisecond, true
}
