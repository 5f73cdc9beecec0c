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
	hasMessage bool
	// age is the time from the start of the sender's process to the sending of the last
	// message, and arrivedAt the time of that message's arrival.
	age, arrivedAt time.Duration
	// minimumDifference is the minimum difference between arrival and age in the sender's
	// incarnation.
	minimumDifference time.Duration
}

// Record records the arrival of a message and its sender's age. A lower age than before means a new
// incarnation of the sender. A sender without an age, which is 0 as from nodes of earlier
// versions, is not measured.
func (m *Meter) Record(at, age time.Duration) {
	if age <= 0 {
		return
	}
	if !m.hasMessage || age < m.age || at-age < m.minimumDifference {
		m.minimumDifference = at - age
	}
	m.hasMessage, m.age, m.arrivedAt = true, age, at
}

// Delay returns how much longer the last message was in transit than the fastest one of the
// sender's incarnation. This is the time that it waited behind other bytes on a full link, or
// for a process that was not scheduled.
func (m *Meter) Delay() time.Duration { return m.arrivedAt - m.age - m.minimumDifference }

// IsFresh reports whether the last message arrived within a time before now.
func (m *Meter) IsFresh(now, within time.Duration) bool {
	return m.hasMessage && now-m.arrivedAt <= within
}

// Median returns the median of several delays, and false if there are none. The median ignores
// single senders that are slow themselves, whose delay doesn't reflect the receiver's link.
func Median(delays []time.Duration) (time.Duration, bool) {
	if len(delays) == 0 {
		return 0, false
	}
	sorted := slices.Sorted(slices.Values(delays))
	return sorted[len(sorted)/2], true
}
