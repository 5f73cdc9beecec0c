// Package delay measures the transit delay of another node's messages without synchronized
// clocks. It relies on the age of the sender's process, which each message carries.
package delay

import (
	"slices"
	"time"
)

// Meter measures the delay of messages from one node. The zero value has no measurement. Times
// are those of the receiver's monotonic clock.
type Meter struct {
	heard bool
	// age and at are those of the last message: the time since its sender's
	// process started, and of its arrival here.
	age, at time.Duration
	// least is the minimum difference between arrival and age in the sender's incarnation.
	least time.Duration
}

// Note records the arrival of a message and its sender's age. A lower age than before means a new
// incarnation of the sender. A sender without an age, which is 0 as from nodes of earlier
// versions, is not measured.
func (m *Meter) Note(at, age time.Duration) {
	if age <= 0 {
		return
	}
	if !m.heard || age < m.age || at-age < m.least {
		m.least = at - age
	}
	m.heard, m.age, m.at = true, age, at
}

// Delay returns how much longer the last message was in transit than the fastest one of the
// sender's incarnation. This is the time that it waited behind other bytes on a full link, or
// for a process that was not scheduled.
func (m *Meter) Delay() time.Duration { return m.at - m.age - m.least }

// IsFresh reports whether the last message arrived within a time before now.
func (m *Meter) IsFresh(now, within time.Duration) bool { return m.heard && now-m.at <= within }

// Median returns the median of several delays, and false if there are none. The median ignores
// single senders that are slow themselves, whose delay doesn't reflect the receiver's link.
func Median(delays []time.Duration) (time.Duration, bool) {
	if len(delays) == 0 {
		return 0, false
	}
	sorted := slices.Sorted(slices.Values(delays))
	return sorted[len(sorted)/2], true
}
