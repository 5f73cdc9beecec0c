package simulate

import "time"

// machineClock is the monotonic clock of a process that may be frozen, or whose machine may be
// suspended.
type machineClock struct {
	startedAt time.Duration
	// pausedUntil is when a paused process resumes; suspendedTime is the total time in suspension,
	// which the clock does not count.
	pausedUntil, suspendedTime time.Duration
}

// read returns the time since the start of the process, as its own clock shows it.
func (c *machineClock) read(now time.Duration) time.Duration {
	return now - c.startedAt - c.suspendedTime
}

func (c *machineClock) isPaused(now time.Duration) bool { return now < c.pausedUntil }

// runningSince returns when the process last started or resumed.
func (c *machineClock) runningSince() time.Duration { return max(c.startedAt, c.pausedUntil) }

// freeze pauses the process for a time that its clock counts.
func (c *machineClock) freeze(now, duration time.Duration) {
	c.pausedUntil = max(c.pausedUntil, now+duration)
}

// suspend pauses the machine and its clock, so that the clock does not count the time.
func (c *machineClock) suspend(now, duration time.Duration) {
	c.freeze(now, duration)
	c.suspendedTime += duration
}
