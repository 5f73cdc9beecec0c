// Package clocks bounds how long a node was without the root of the budgets when
// its life ended.
//
// A steady clock tells how much time has passed only while its process lives,
// and doesn't count the time for which its machine is suspended. Where it fails,
// the time of day is all there is, and it may jump on any machine. So it counts
// only where the control nodes agree on it: a jump is noticed unless it strikes
// more than half of them alike at the same time.
package clocks

import (
	"time"

	"github.com/ravenway/ravenway/internal/state/accounts"
)

// Tolerance is how far clocks may be apart and still agree. Machines keep the
// time of day within some milliseconds of each other, a peer's clock is read a
// message's way late, and the jumps to be noticed are of a second and more.
const Tolerance = 150 * time.Millisecond

// Reading is what the leader's clocks show at one moment.
type Reading struct {
	// Clock names the process that Steady, the time since its start, is from.
	Clock  uint64
	Steady time.Duration
	// WallMS is the time of day in milliseconds since 1970; 0 if the control
	// nodes' clocks do not agree on it.
	WallMS int64
}

// Contact returns the reading as the log holds it.
func (r Reading) Contact() accounts.Contact {
	return accounts.Contact{Clock: r.Clock, MonotonicMS: uint64(r.Steady.Milliseconds()), WallMS: r.WallMS}
}

// Agree tells whether a clock may be believed: of a group of voters more than
// half, this one included, were read, and none of them differs from it. All are
// in milliseconds since 1970.
func Agree(own int64, others []int64, voters int) bool {
	for _, other := range others {
		if max(own, other)-min(own, other) > Tolerance.Milliseconds() {
			return false
		}
	}
	return 2*(len(others)+1) > voters
}

// Silence bounds how long a life was without the root at its end: it heard of
// the contact, and was over for sinceOver at least when the clocks were read.
// The steady clock tells where this process made the contact, unless the time of
// day shows that its machine was suspended since; else the time of day does, where
// the control nodes agreed on it then and now.
func Silence(contact accounts.Contact, now Reading, sinceOver time.Duration) (silence time.Duration, known bool) {
	if contact.Index == 0 {
		return accounts.UnknownTimeSinceContact, false
	}
	byDay, isAgreed := passedByDay(contact, now)
	if contact.Clock == now.Clock {
		passed := now.Steady - time.Duration(contact.MonotonicMS)*time.Millisecond
		if isAgreed && byDay > passed+Tolerance {
			passed = byDay + Tolerance
		}
		return max(0, passed-sinceOver), true
	}
	if !isAgreed || byDay-sinceOver < -Tolerance {
		return accounts.UnknownTimeSinceContact, false
	}
	return max(0, byDay-sinceOver) + Tolerance, true
}

// passedByDay is the time since the contact by the time of day, if the control nodes
// agreed on it then and now.
func passedByDay(contact accounts.Contact, now Reading) (passed time.Duration, isAgreed bool) {
	if contact.WallMS == 0 || now.WallMS == 0 {
		return 0, false
	}
	return time.Duration(now.WallMS-contact.WallMS) * time.Millisecond, true
}
