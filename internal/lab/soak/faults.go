package soak

import (
	"context"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/ravenway/ravenway/internal/coordination/registry"
	"github.com/ravenway/ravenway/internal/pause"
)

// fault is one kind of fault. inject injects it and repairs it before it returns.
type fault struct {
	name   string
	inject func(ctx context.Context, run *run, random *rand.Rand)
}

const (
	shortestFault     = 300 * time.Millisecond
	longestFault      = 3 * time.Second
	meanFaultInterval = 700 * time.Millisecond
	// minimumDiskLossInterval is the minimum time between two lost disks: a replica counts towards
	// the quorum only after it holds the log again.
	minimumDiskLossInterval = 6 * time.Second
	drainTime               = 1500 * time.Millisecond
)

func randomFaultDuration(random *rand.Rand) time.Duration {
	return shortestFault + time.Duration(random.Int64N(int64(longestFault-shortestFault)))
}

// faults are all kinds of faults. They are injected by concurrent series, so that they overlap.
var faults = []fault{
	{"kill_entry", func(ctx context.Context, r *run, random *rand.Rand) {
		r.killAndRestart(ctx, r.pick(random, false), randomFaultDuration(random), false)
	}},
	{"kill_control", func(ctx context.Context, r *run, random *rand.Rand) {
		r.killAndRestart(ctx, r.pick(random, true), randomFaultDuration(random), false)
	}},
	{"kill_all_controls", func(ctx context.Context, r *run, random *rand.Rand) {
		r.killAndRestartAll(ctx, randomFaultDuration(random), func(one *machine) bool { return one.isControl })
	}},
	{"lose_disk", func(ctx context.Context, r *run, random *rand.Rand) {
		r.loseDisk(ctx, r.pick(random, true), randomFaultDuration(random))
	}},
	{"pause", func(ctx context.Context, r *run, random *rand.Rand) {
		one := r.fleet.members[random.IntN(len(r.fleet.members))]
		one.signal(syscall.SIGSTOP)
		pause.For(ctx, randomFaultDuration(random))
		one.signal(syscall.SIGCONT)
	}},
	{"planned_stop", func(ctx context.Context, r *run, random *rand.Rand) { r.plannedStop(ctx, r.pick(random, false)) }},
	{"planned_stop_control", func(ctx context.Context, r *run, random *rand.Rand) { r.plannedStop(ctx, r.pick(random, true)) }},
	{"relay", func(ctx context.Context, r *run, random *rand.Rand) {
		one := r.fleet.members[random.IntN(len(r.fleet.members))]
		mode := RelayMode(1 + random.IntN(int(Resetting)))
		r.reportf("relay of %s: %s", one.name, mode)
		one.relay.setMode(mode)
		pause.For(ctx, randomFaultDuration(random))
		one.relay.setMode(Forwarding)
	}},
	{"cut_core", func(ctx context.Context, r *run, random *rand.Rand) {
		for _, one := range r.fleet.members[:controlCount] {
			one.relay.setMode(Blocking)
		}
		pause.For(ctx, 2*randomFaultDuration(random))
		for _, one := range r.fleet.members[:controlCount] {
			one.relay.setMode(Forwarding)
		}
	}},
	{"crash_engine", func(ctx context.Context, r *run, random *rand.Rand) {
		r.replaceEngine(ctx, random.IntN(6), randomFaultDuration(random), false)
	}},
	{"drain_engine", func(ctx context.Context, r *run, random *rand.Rand) {
		r.replaceEngine(ctx, random.IntN(6), drainTime, true)
	}},
	{partitionFault, func(ctx context.Context, r *run, random *rand.Rand) { r.partitionEntry(ctx, random) }},
	{surgeFault, func(ctx context.Context, r *run, random *rand.Rand) {
		r.surge(ctx, random, randomFaultDuration(random))
	}},
	{"configuration", func(ctx context.Context, r *run, random *rand.Rand) {
		r.fleet.changeConfiguration(random.IntN(100))
		_ = r.fleet.waitFor(ctx, 15*time.Second, "an acknowledgement", func() bool { return r.fleet.sendConfiguration(ctx) })
	}},
}

// pick draws a machine of a role.
func (r *run) pick(random *rand.Rand, control bool) *machine {
	if control {
		return r.fleet.members[random.IntN(controlCount)]
	}
	return r.fleet.members[controlCount+random.IntN(len(r.fleet.members)-controlCount)]
}

// hold reserves a machine's process for one fault and reports whether it was free.
func (r *run) hold(one *machine) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.held[one] {
		return false
	}
	r.held[one] = true
	return true
}

func (r *run) release(one *machine) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.held, one)
}

func (r *run) restart(one *machine) {
	if err := one.start(r.fleet.wire, r.fleet.seeds, false); err != nil {
		r.violationf("%s does not start: %v", one.name, err)
	}
}

// killAndRestart kills a process and starts it again after a time, with an empty disk if wipe is
// set.
func (r *run) killAndRestart(ctx context.Context, one *machine, down time.Duration, wipe bool) {
	if !r.hold(one) {
		return
	}
	defer r.release(one)
	r.reportf("kill %s, wipe %v, for %d ms", one.name, wipe, down.Milliseconds())
	one.kill()
	if wipe {
		if err := one.wipeDisk(); err != nil {
			r.violationf("%v", err)
		}
	}
	pause.For(ctx, down)
	r.restart(one)
}

// killAndRestartAll kills all processes that match at the same time.
func (r *run) killAndRestartAll(ctx context.Context, down time.Duration, matches func(*machine) bool) {
	var held []*machine
	for _, one := range r.fleet.members {
		if matches(one) && r.hold(one) {
			held = append(held, one)
			one.signal(syscall.SIGCONT)
			one.signal(syscall.SIGKILL)
		}
	}
	r.reportf("kill %d processes at the same time for %d ms", len(held), down.Milliseconds())
	pause.For(ctx, down)
	for _, one := range held {
		one.waitForExit(time.Minute)
		r.restart(one)
		r.release(one)
	}
}

// loseDisk kills a control node and empties its disk, if the previous loss has been repaired and no
// other process is down.
func (r *run) loseDisk(ctx context.Context, one *machine, down time.Duration) {
	r.mutex.Lock()
	allowed := time.Since(r.diskLostAt) > minimumDiskLossInterval && len(r.held) == 0
	if allowed {
		r.diskLostAt = time.Now().Add(down)
	}
	r.mutex.Unlock()
	if allowed {
		r.killAndRestart(ctx, one, down, true)
	}
}

// plannedStop stops a process with SIGTERM, as the platform does, and starts it again.
func (r *run) plannedStop(ctx context.Context, one *machine) {
	if !r.hold(one) {
		return
	}
	defer r.release(one)
	r.reportf("planned stop of %s", one.name)
	one.signal(syscall.SIGTERM)
	// A reload within the grace period must not disturb the stop.
	one.signal(syscall.SIGHUP)
	if !one.waitForExit(stopGrace) {
		r.reportf("%s did not exit within its grace period; killing it", one.name)
		one.kill()
	}
	r.restart(one)
}

// replaceEngine ends the engine at a place, and starts another one there after the time lasts. If
// drains is set, the engine first drains for lasts and half of callTimeout.
func (r *run) replaceEngine(ctx context.Context, place int, lasts time.Duration, drains bool) {
	name := placeName(place)
	r.fleet.mutex.Lock()
	old := r.fleet.engines[name]
	if old != nil && !drains {
		delete(r.fleet.engines, name)
	}
	r.fleet.mutex.Unlock()
	if old == nil {
		return
	}
	r.reportf("engine %s ends, drains %v", old.ID, drains)
	if drains {
		old.setState(registry.Draining)
		pause.For(ctx, lasts+callTimeout/2)
		r.fleet.mutex.Lock()
		isCurrent := r.fleet.engines[name] == old
		if isCurrent {
			delete(r.fleet.engines, name)
		}
		r.fleet.mutex.Unlock()
		if !isCurrent {
			return
		}
	}
	old.crash()
	pause.For(ctx, lasts)
	if err := r.fleet.addEngine(old.Service, place, ""); err != nil {
		r.violationf("%v", err)
	}
}
