// Package delay measures how long messages of another node are on their way
// without clocks that agree: by the age that the sender gives with each.
package delay

import (
	"slices"
	"time"
)

// Meter measures the way from one node. The zero value has heard nothing. Times
// are those of the receiver's steady clock.
type Meter struct {
	heard bool
	// age and at are those of the last message: the time since its sender's
	// process started, and of its arrival here.
	age, at time.Duration
	// least is the least difference between arrival and age in the sender's life.
	least time.Duration
}

// Note takes a message's arrival and its sender's age. A sender that became
// younger runs a new life. One that gives no age, 0, as nodes of earlier versions
// do, is not measured.
func (m *Meter) Note(at, age time.Duration) {
	if age <= 0 {
		return
	}
	if !m.heard || age < m.age || at-age < m.least {
		m.least = at - age
	}
	m.heard, m.age, m.at = true, age, at
}

// Delay is how much longer the last message was on its way than the fastest one
// of the sender's life: the time that it waited behind other bytes on a full
// link, or for a process without time.
func (m *Meter) Delay() time.Duration { return m.at - m.age - m.least }

// IsFresh tells whether the last message came within a time.
func (m *Meter) IsFresh(now, within time.Duration) bool { return m.heard && now-m.at <= within }

// Median is the middle one of several delays, false if there is none: a sender
// that is slow itself says nothing about the receiver's link.
func Median(delays []time.Duration) (time.Duration, bool) {
	if len(delays) == 0 {
		return 0, false
	}
	sorted := slices.Sorted(slices.Values(delays))
	return sorted[len(sorted)/2], true
}
