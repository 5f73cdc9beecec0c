package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/ravenway/ravenway/internal/pause"
)

const (
	// lateOrderRounds is the number of orders of a run that a holder delays.
	lateOrderRounds = 2
	// lateOrderZone is the zone that the orders concern.
	lateOrderZone = "a"
	// controlRelayPort is where an operator's calls to a control node can be held back.
	controlRelayPort = 17408
	// orderTime is how long the operator repeats an order: beside builds a sync of the disk takes up to
	// 2 s, and a commit two of them. orderHold is how long a copy is held back at least: for longer than
	// the operator waits for each answer.
	orderTime = 25 * time.Second
	orderHold = 2500 * time.Millisecond
	// zoneSettling is the time from an order until it must be in effect, and zoneWatch the time for which
	// the zone's engines are then watched.
	zoneSettling = 1500 * time.Millisecond
	zoneWatch    = time.Second
	// lateOrderRandomStream is the second seed of the random numbers for delayed orders.
	lateOrderRandomStream = 8000
)

// orderHolder holds the orders back that reach a control node, until release is called.
type orderHolder struct {
	name string
	hold func(one *machine, control *relay) (release func())
}

var orderHolders = []orderHolder{
	{"frozen process", func(one *machine, _ *relay) func() {
		one.signal(syscall.SIGSTOP)
		return func() { one.signal(syscall.SIGCONT) }
	}},
	{"delayed connection", func(_ *machine, control *relay) func() {
		control.setMode(BlockingInbound)
		return func() { control.setMode(Forwarding) }
	}},
	{"delayed link between nodes", func(one *machine, _ *relay) func() {
		one.relay.setMode(Blocking)
		return func() { one.relay.setMode(Forwarding) }
	}},
}

// checkLateOrders gives orders to evacuate a zone and to restore it, one of which is held back on its way
// while its operator goes to another node and then gives the opposite order. The last order that was
// acknowledged must be in effect once the copy has arrived.
func (r *run) checkLateOrders(ctx context.Context, seed uint64) {
	random := rand.New(rand.NewPCG(seed, lateOrderRandomStream))
	controls := r.fleet.members[:controlCount]
	relays := map[*machine]*relay{}
	for _, one := range controls {
		made, err := startRelay(one.address(controlRelayPort), one.address(controlPort))
		if err != nil {
			r.violationf("%v", err)
			return
		}
		defer made.close()
		relays[one] = made
	}
	for round := range lateOrderRounds {
		holder := orderHolders[random.IntN(len(orderHolders))]
		isEvacuated := round%2 == 0
		held := controls[random.IntN(controlCount)]
		if !r.orderZone(ctx, random, held, isEvacuated) {
			return
		}
		release := holder.hold(held, relays[held])
		heldUntil := time.Now().Add(orderHold)
		isOrdered := r.orderZone(ctx, random, held, !isEvacuated) && r.orderZone(ctx, random, held, isEvacuated)
		pause.For(ctx, time.Until(heldUntil))
		release()
		if !isOrdered {
			return
		}
		pause.For(ctx, zoneSettling)
		before := r.fleet.truth.ZoneRuns(lateOrderZone)
		pause.For(ctx, zoneWatch)
		runs := r.fleet.truth.ZoneRuns(lateOrderZone) - before
		r.reportf("orders held back by a %s at %s: zone evacuated %v, %d runs in it", holder.name, held.name, isEvacuated, runs)
		if isEvacuated != (runs == 0) {
			r.violationf("the zone was last ordered to be evacuated %v, and %d requests ran in it after a copy of an earlier order had arrived from a %s", isEvacuated, runs, holder.name)
		}
	}
	r.orderZone(ctx, random, controls[0], false)
}

// orderZone gives an order to a control node, and to another one when there is no answer in time, until it
// is acknowledged. It reports whether it was.
func (r *run) orderZone(ctx context.Context, random *rand.Rand, first *machine, evacuated bool) bool {
	method, path := r.fleet.wire.ZoneOrder(lateOrderZone, evacuated)
	to := first
	status := 0
	for began := time.Now(); time.Since(began) < orderTime && ctx.Err() == nil; pause.For(ctx, 50*time.Millisecond) {
		_, status = r.fleet.callAddress(ctx, to.address(controlRelayPort), method, path, nil)
		if status/100 == 2 {
			return true
		}
		for next := to; next == to; {
			to = r.fleet.members[random.IntN(controlCount)]
		}
	}
	r.violationf("%s was not acknowledged within %s: status %d", fmt.Sprintf("%s %s", method, path), orderTime, status)
	return false
}
