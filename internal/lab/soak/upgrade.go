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
	// replacePause is the time between a machine's return to service and the next one's stop: a
	// control node counts towards the quorum only after it holds the log again.
	replacePause = time.Second
	// replaceWait is the maximum wait for a replaced machine.
	replaceWait = 15 * time.Second
	// changePause is the time between the operator's changes during an upgrade.
	changePause = 700 * time.Millisecond
	// servedWindow is the length of the windows whose calls are compared.
	servedWindow = time.Second
	// An upgrade may leave as many calls unserved as the same stops with a single build, plus these
	// fractions for chance: a window contains about 40 plain calls, and where few fail one in ten
	// of them is two standard deviations.
	moreUnserved, moreUnservedInWindow = 0.02, 0.15
	// upgradeStream numbers the random stream of upgrades.
	upgradeStream = 2000
)

// upgrade restarts all machines with the new build, one after the other, and then once more with
// the same build, and compares the calls of the first round with the second's.
func (r *run) upgrade(ctx context.Context, options Options) {
	random := rand.New(rand.NewPCG(options.Seed, upgradeStream))
	changing, stopChanging := context.WithCancel(ctx)
	changed := make(chan struct{})
	go func() {
		defer close(changed)
		r.keepChanging(changing)
	}()
	machines := inOrder(r.fleet.members, options.Order, random)
	if options.GoesBack {
		half := machines[:len(machines)/2]
		r.replaceAll(ctx, half, options.Daemon, "first half of the upgrade")
		r.replaceAll(ctx, half, options.Earlier, "going back")
	}
	mixed := r.replaceAll(ctx, machines, options.Daemon, "upgrade")
	if !options.EarlierHasQuarantine {
		r.noteQuarantine()
	}
	same := r.replaceAll(ctx, machines, options.Daemon, "restart")
	stopChanging()
	<-changed
	if options.Length == 0 {
		r.compareRounds(mixed, same)
	}
}

// inOrder returns the machines in the order of an upgrade.
func inOrder(machines []*machine, order Order, random *rand.Rand) []*machine {
	sorted := slices.Clone(machines)
	random.Shuffle(len(sorted), func(one, other int) { sorted[one], sorted[other] = sorted[other], sorted[one] })
	if order != MixedOrder {
		slices.SortStableFunc(sorted, func(one, other *machine) int {
			if one.control == other.control {
				return 0
			}
			if one.control == (order == ControlFirst) {
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
	round := span{from: time.Since(r.began)}
	for _, one := range machines {
		for !r.hold(one) && ctx.Err() == nil {
			pause.For(ctx, silentPoll)
		}
		r.note("%s: planned stop of %s", name, one.name)
		one.signal(syscall.SIGTERM)
		if !one.waitEnd(stopGrace) {
			r.note("%s did not exit within its grace period; killing it", one.name)
			one.kill()
		}
		one.daemon = daemon
		r.startAgain(one)
		r.release(one)
		if err := r.fleet.waitFor(ctx, replaceWait, one.name+" in service", func() bool { return r.fleet.serves(ctx, one) }); err != nil {
			r.breaks("%s: %v", name, err)
		}
		pause.For(ctx, replacePause)
	}
	round.until = time.Since(r.began)
	return round
}

// keepChanging changes the configuration repeatedly; each change is acknowledged before the next
// one.
func (r *run) keepChanging(ctx context.Context) {
	for number := 0; ctx.Err() == nil; number++ {
		r.fleet.change(number)
		err := r.fleet.waitFor(ctx, replaceWait, "an acknowledgement", func() bool { return r.fleet.order(ctx) })
		if err != nil && ctx.Err() == nil {
			r.breaks("%v", err)
		}
		pause.For(ctx, changePause)
	}
}

// round counts the plain calls of a span. Streams are left out, because their tenants may have used
// up their tokens.
type round struct {
	sent, unserved int
	// worst is the maximum fraction of unserved calls in any window.
	worst float64
}

func (r *run) countRound(during span) round {
	var total round
	windows := map[time.Duration]round{}
	for _, one := range r.callers.all() {
		if one.began < during.from || one.began > during.until || one.kind == Stream || one.kind == Resumable {
			continue
		}
		window := windows[one.began/servedWindow]
		window.sent++
		total.sent++
		if one.outcome != Whole {
			window.unserved++
			total.unserved++
		}
		windows[one.began/servedWindow] = window
	}
	for _, window := range windows {
		total.worst = max(total.worst, window.share())
	}
	return total
}

func (r round) share() float64 {
	if r.sent == 0 {
		return 0
	}
	return float64(r.unserved) / float64(r.sent)
}

func (r round) String() string {
	return fmt.Sprintf("%d of %d plain calls unserved, at most %.3f of a second's", r.unserved, r.sent, r.worst)
}

// compareRounds compares an upgrade with the same stops of one build.
func (r *run) compareRounds(mixed, same span) {
	upgraded, restarted := r.countRound(mixed), r.countRound(same)
	r.note("upgrade: %s; restart of one build: %s", upgraded, restarted)
	if upgraded.sent == 0 || restarted.sent == 0 {
		r.breaks("no plain calls during the upgrade or the restart")
	}
	if upgraded.share() > restarted.share()+moreUnserved || upgraded.worst > restarted.worst+moreUnservedInWindow {
		r.breaks("an upgrade serves worse than a restart of one build: %s; %s", upgraded, restarted)
	}
}

// isUpgradeFault reports whether a fault may be injected during an upgrade. A control node that
// loses its disk while another one is stopped is one failure more than the fleet tolerates.
func isUpgradeFault(name string) bool { return name != "lose_disk" }
