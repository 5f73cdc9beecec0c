package simulate

import "time"

// machineClock is the steady clock of a process whose machine may stand still.
type machineClock struct {
	bootedAt time.Duration
	// standsUntil is when a machine that stands still goes on; stood is the time that the
	// clock did not count.
	standsUntil, stood time.Duration
}

// read is the time since the process's start as it knows it.
func (c *machineClock) read(now time.Duration) time.Duration { return now - c.bootedAt - c.stood }

func (c *machineClock) stands(now time.Duration) bool { return now < c.standsUntil }

// runsSince is when the process last began to run, or to run again.
func (c *machineClock) runsSince() time.Duration { return max(c.bootedAt, c.standsUntil) }

// freeze has the process stand still for a time that its clock counts.
func (c *machineClock) freeze(now, lasting time.Duration) {
	c.standsUntil = max(c.standsUntil, now+lasting)
}

// suspend has the machine stand still, with the clock.
func (c *machineClock) suspend(now, lasting time.Duration) {
	c.freeze(now, lasting)
	c.stood += lasting
}
