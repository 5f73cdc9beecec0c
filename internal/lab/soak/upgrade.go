package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"github.com/ravenway/ravenway/internal/pause"
)

// Order is the order in which an upgrade replaces the machines of a fleet.
type Order string

// Orders of an upgrade.
const (
	// ControlFirst replaces the control nodes, then the entry nodes.
	ControlFirst Order = "control"
	// EntryFirst replaces the entry nodes, then the control nodes.
	EntryFirst Order = "entry"
	// MixedOrder replaces all nodes in a random order.
	MixedOrder Order = "mixed"
)

// Orders returns all orders of an upgrade.
func Orders() []Order { return []Order{ControlFirst, EntryFirst, MixedOrder} }

// ParseOrder finds an order by its name.
func ParseOrder(name string) (Order, error) {
	if slices.Contains(Orders(), Order(name)) {
		return Order(name), nil
	}
	return "", fmt.Errorf("unknown order %q; known orders are %v", name, Orders())
}

const (
	// replaceInterval is the time between a machine's return to service and the next one's stop: a
	// control node counts towards the quorum only after it holds the log again.
	replaceInterval = time.Second
	// maximumReplaceWait is the maximum wait for a replaced machine.
	maximumReplaceWait = 15 * time.Second
	// changeInterval is the time between the operator's changes during an upgrade.
	changeInterval = 700 * time.Millisecond
	// servedWindow is the length of the windows; of each round the window with the most unserved calls
	// is compared.
	servedWindow = time.Second
	// An upgrade may leave as many calls unserved as the same stops with a single build, plus these
	// fractions for chance: a window contains about 40 plain calls, and if few of them fail, two
	// standard deviations are a tenth of the window's calls.
	unservedTolerance, windowUnservedTolerance = 0.02, 0.15
	// upgradeRandomStream is the second seed of the random numbers for upgrades.
	upgradeRandomStream = 2000
)

// upgrade restarts all machines with the new build, one after the other, and then once more with
// the same build, and compares the calls of the first round with the second's.
func (r *run) upgrade(ctx context.Context, options Options) {
	random := rand.New(rand.NewPCG(options.Seed, upgradeRandomStream))
	changing, stopChanging := context.WithCancel(ctx)
	changed := make(chan struct{})
	go func() {
		defer close(changed)
		r.keepChanging(changing)
	}()
	machines := inOrder(r.fleet.members, options.Order, random)
	if options.ReturnsToEarlier {
		half := machines[:len(machines)/2]
		r.replaceAll(ctx, half, options.Daemon, "first half of the upgrade")
		r.replaceAll(ctx, half, options.EarlierDaemon, "going back")
	}
	mixed := r.replaceAll(ctx, machines, options.Daemon, "upgrade")
	if !options.EarlierHasQuarantine {
		r.recordQuarantineStart()
	}
	same := r.replaceAll(ctx, machines, options.Daemon, "restart")
	stopChanging()
	<-changed
	if options.FaultDuration == 0 {
		r.compareRounds(mixed, same)
	}
}

// inOrder returns the machines in the order of an upgrade.
func inOrder(machines []*machine, order Order, random *rand.Rand) []*machine {
	sorted := slices.Clone(machines)
	random.Shuffle(len(sorted), func(one, other int) { sorted[one], sorted[other] = sorted[other], sorted[one] })
	if order != MixedOrder {
		slices.SortStableFunc(sorted, func(one, other *machine) int {
			if one.isControl == other.isControl {
				return 0
			}
			if one.isControl == (order == ControlFirst) {
				return -1
			}
			return 1
		})
	}
	return sorted
}

// replaceAll stops machines with SIGTERM, one after the other, and starts each with a build. It
// returns the span of the round.
func (r *run) replaceAll(ctx context.Context, machines []*machine, daemon, name string) span {
	period := span{from: time.Since(r.startedAt)}
	for _, one := range machines {
		for !r.hold(one) && ctx.Err() == nil {
			pause.For(ctx, blockedPollInterval)
		}
		r.reportf("%s: planned stop of %s", name, one.name)
		one.signal(syscall.SIGTERM)
		if !one.waitForExit(stopGrace) {
			r.reportf("%s did not exit within its grace period; killing it", one.name)
			one.kill()
		}
		one.setDaemon(daemon)
		r.restart(one)
		r.release(one)
		if err := r.fleet.waitFor(ctx, maximumReplaceWait, one.name+" in service", func() bool { return r.fleet.isInService(ctx, one) }); err != nil {
			r.violationf("%s: %v", name, err)
		}
		pause.For(ctx, replaceInterval)
	}
	period.until = time.Since(r.startedAt)
	return period
}

// keepChanging changes the configuration repeatedly; each change is acknowledged before the next
// one.
func (r *run) keepChanging(ctx context.Context) {
	for number := 0; ctx.Err() == nil; number++ {
		r.fleet.changeConfiguration(number)
		err := r.fleet.waitFor(ctx, maximumReplaceWait, "an acknowledgement", func() bool { return r.fleet.sendConfiguration(ctx) })
		if err != nil && ctx.Err() == nil {
			r.violationf("%v", err)
		}
		pause.For(ctx, changeInterval)
	}
}

// callCounts counts the plain calls of a round, in which each machine is replaced once, or of one window
// of it. Streams are left out, because their tenants may have used
// up their tokens.
type callCounts struct {
	sent, unserved int
	// worstWindow is the maximum fraction of unserved calls in any window.
	worstWindow float64
}

func (r *run) countRound(during span) callCounts {
	var total callCounts
	windows := map[time.Duration]callCounts{}
	for _, one := range r.callers.snapshot() {
		if one.startedAt < during.from || one.startedAt > during.until || one.kind == Stream || one.kind == Resumable {
			continue
		}
		window := windows[one.startedAt/servedWindow]
		window.sent++
		total.sent++
		if one.outcome != Complete {
			window.unserved++
			total.unserved++
		}
		windows[one.startedAt/servedWindow] = window
	}
	for _, window := range windows {
		total.worstWindow = max(total.worstWindow, window.unservedShare())
	}
	return total
}

func (c callCounts) unservedShare() float64 {
	if c.sent == 0 {
		return 0
	}
	return float64(c.unserved) / float64(c.sent)
}

func (c callCounts) String() string {
	return fmt.Sprintf("%d of %d plain calls unserved, at most %.3f of a second's", c.unserved, c.sent, c.worstWindow)
}

// compareRounds compares an upgrade with the same stops of one build.
func (r *run) compareRounds(mixed, same span) {
	upgraded, restarted := r.countRound(mixed), r.countRound(same)
	r.reportf("upgrade: %s; restart of one build: %s", upgraded, restarted)
	if upgraded.sent == 0 || restarted.sent == 0 {
		r.violationf("no plain calls during the upgrade or the restart")
	}
	if upgraded.unservedShare() > restarted.unservedShare()+unservedTolerance || upgraded.worstWindow > restarted.worstWindow+windowUnservedTolerance {
		r.violationf("an upgrade serves worse than a restart of one build: %s; %s", upgraded, restarted)
	}
}

// isUpgradeFault reports whether a fault may be injected during an upgrade. A control node that
// loses its disk while another one is stopped is one failure more than the fleet tolerates.
func isUpgradeFault(name string) bool { return name != "lose_disk" }
