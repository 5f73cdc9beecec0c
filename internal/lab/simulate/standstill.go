package simulate

import "time"

// machineClock is the monotonic clock of a process that may be frozen, or whose machine may be
// suspended.
type machineClock struct {
	bootedAt time.Duration
	// standsUntil is when a paused process resumes; stood is the total time in suspension, which
	// the clock does not count.
	standsUntil, stood time.Duration
}

// read returns the time since the start of the process, as its own clock shows it.
func (c *machineClock) read(now time.Duration) time.Duration { return now - c.bootedAt - c.stood }

func (c *machineClock) stands(now time.Duration) bool { return now < c.standsUntil }

// runsSince returns when the process last started or resumed.
func (c *machineClock) runsSince() time.Duration { return max(c.bootedAt, c.standsUntil) }

// freeze pauses the process for a time that its clock counts.
func (c *machineClock) freeze(now, lasting time.Duration) {
	c.standsUntil = max(c.standsUntil, now+lasting)
}

// suspend pauses the machine and its clock, so that the clock does not count the time.
func (c *machineClock) suspend(now, lasting time.Duration) {
	c.freeze(now, lasting)
	c.stood += lasting
}
