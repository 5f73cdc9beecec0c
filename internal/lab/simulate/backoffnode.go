package simulate

import (
	"fmt"
	"slices"
	"time"

	"github.com/ravenway/ravenway/internal/coordination/backoff"
	"github.com/ravenway/ravenway/internal/coordination/balance"
	"github.com/ravenway/ravenway/internal/coordination/membership"
	"github.com/ravenway/ravenway/internal/coordination/registry"
	"github.com/ravenway/ravenway/internal/lab/pausecheck"
)

// backoffNode is an entry node.
type backoffNode struct {
	world   *backoffWorld
	number  int
	process int
	clock   machineClock
	// isCut reports whether the node is partitioned from all engines.
	isCut   bool
	table   *balance.Table
	tracker *backoff.Tracker
	retries *balance.RetryBudget
}

// start starts a new process of the node, which knows of no pauses.
func (n *backoffNode) start() {
	n.process++
	n.clock = machineClock{bootedAt: n.world.Now}
	n.table = balance.NewTable(fmt.Sprintf("zone-%d", n.number%backoffZones))
	n.tracker = backoff.NewTracker(n.world.returnPolicy())
	n.table.SetRandom(n.world.Random.Float64)
	n.tracker.SetRandom(n.world.Random.Float64)
	if n.world.options.Policy != PausesIgnored {
		n.table.SetBackoff(n.tracker)
	}
	n.retries = balance.NewRetryBudget()
	instances := make([]registry.Instance, 0, len(n.world.order))
	for _, engine := range n.world.order {
		instances = append(instances, engine.instance)
		engine.records[n] = &pausecheck.Record{}
	}
	n.table.Apply(instances)
}

// now returns the time of the node's monotonic clock.
func (n *backoffNode) now() time.Duration { return time.Minute + n.clock.read(n.world.Now) }

// after runs an action of the node's current process after a delay, and once the process has
// resumed if it is paused then. The action is dropped if the process was restarted.
func (n *backoffNode) after(delay time.Duration, action func()) {
	process := n.process
	var attempt func()
	attempt = func() {
		switch {
		case n.process != process:
		case n.clock.stands(n.world.Now):
			n.world.After(n.clock.standsUntil-n.world.Now+n.world.Between(0, time.Millisecond), attempt)
		default:
			action()
		}
	}
	n.world.After(delay, attempt)
}

func (n *backoffNode) retryPolicy() balance.RetryPolicy {
	return balance.RetryPolicy{Window: 10 * time.Second, Ratio: 0.2, Slack: 54, Nodes: n.world.options.Nodes}
}

func (n *backoffNode) request(call *backoffCall) balance.Request {
	return balance.Request{
		Service: "s", Part: call.part, Cost: 1, Tokens: 1000, SharedTokens: 600, Exclude: call.tried,
		IsLastAttempt: len(call.tried)+1 >= call.attempts,
	}
}

// forward chooses an engine for a call and sends the call there, if the engine is still
// admissible once the connection is up.
func (n *backoffNode) forward(call *backoffCall) {
	w := n.world
	choice, found := n.table.Choose(n.now(), n.request(call))
	if !found {
		n.refuse(call)
		return
	}
	dial := w.Between(500*time.Microsecond, 3*time.Millisecond)
	if w.Chance(backoffSlowDial) {
		dial = w.Between(0, backoffSlowDialMost)
	}
	n.after(dial, func() {
		if w.options.Policy != PausesIgnored && n.table.Admit(n.now(), choice) != nil {
			n.table.Done(n.now(), choice, balance.Abandoned)
			n.forward(call)
			return
		}
		if n.isCut {
			n.after(dial+backoffSlowDialMost, func() {
				n.table.Done(n.now(), choice, balance.Unreachable)
				n.refuse(call)
			})
			return
		}
		n.send(call, choice)
	})
}

// send delivers a call to an engine, which rejects, queues or runs it.
func (n *backoffNode) send(call *backoffCall, choice balance.Choice) {
	w, engine, process := n.world, n.world.engines[choice.ID], n.process
	call.tried = append(call.tried, choice.ID)
	way, writtenAt := w.Between(500*time.Microsecond, 3*time.Millisecond), n.now()
	w.After(way, func() {
		engine.arrivals = append(engine.arrivals, w.Now)
		engine.records[n].Arrive(w.Now)
		if engine.isIll(w.Now) || engine.running == backoffSlots && engine.queued == backoffQueue {
			asks := engine.isIll(w.Now) || w.options.AsksWhenFull
			if asks && n.process == process && !n.isCut {
				engine.records[n].Ask(w.Now, w.options.Pause)
				w.noteAsked(engine)
			}
			n.after(way, func() { n.turnedAway(call, choice, asks) })
			return
		}
		engine.take(w, func() { n.after(way, func() { n.answered(call, &choice, writtenAt) }) }, func() {
			n.after(way, func() { n.table.Done(n.now(), choice, balance.Served) })
		})
	})
}

// turnedAway handles the rejection of a call by an engine, which may request a pause with it.
func (n *backoffNode) turnedAway(call *backoffCall, choice balance.Choice, asks bool) {
	n.table.Done(n.now(), choice, balance.Full)
	if asks {
		n.tracker.Learn(n.now(), choice.Life(), backoff.Request{}, backoff.Said{Pause: n.world.options.Pause + n.rankDelay(choice.ID)})
	}
	if asks && n.world.options.Policy == SharedTrials {
		n.warnOthers(choice.Life())
	}
	if len(call.tried) >= call.attempts || !n.retries.Take(n.now(), "s", n.retryPolicy()) {
		n.refuse(call)
		return
	}
	n.forward(call)
}

// rankDelay returns by how much the node extends a pause under RankedEnd.
func (n *backoffNode) rankDelay(engine string) time.Duration {
	if n.world.options.Policy != RankedEnd {
		return 0
	}
	rank := slices.Index(membership.Rank(engine, n.world.names), n.name())
	return time.Duration(float64(rank) / float64(len(n.world.names)) * backoff.DefaultReturn.Spread * float64(n.world.options.Pause))
}

func (n *backoffNode) name() string { return fmt.Sprintf("entry-%d", n.number) }

// returnPolicy returns the part of the options' return policy that the simulated policy uses.
func (w *backoffWorld) returnPolicy() backoff.ReturnPolicy {
	policy, none := w.options.Return, backoff.ReturnPolicy{}
	switch w.options.Policy {
	case PausesIgnored, HardEnd, RankedEnd:
		return none
	case SpreadEnd:
		policy.LongestTrials = 0
	case Trials, SharedTrials:
		policy.Spread = 0
	case SpreadTrials:
	}
	return policy
}

// warnOthers informs the other nodes that an engine requested a pause, with the delay of the
// load exchange.
func (n *backoffNode) warnOthers(life registry.Life) {
	for _, other := range n.world.nodes {
		if other != n && !other.isCut {
			other.after(n.world.Between(50*time.Millisecond, 300*time.Millisecond), func() {
				if other.tracker.Standing(other.now(), life).Phase == backoff.Open {
					other.tracker.Learn(other.now(), life, backoff.Request{}, backoff.Said{Pause: 1})
				}
			})
		}
	}
}

func (n *backoffNode) answered(call *backoffCall, choice *balance.Choice, writtenAt time.Duration) {
	n.tracker.Learn(n.now(), choice.Life(), backoff.Request{WrittenAt: writtenAt}, backoff.Said{HasRun: true})
	n.table.Started(choice, 0)
	w := n.world
	if w.isJudged(call) && w.Now-call.first <= backoffObjective {
		w.result.InTime++
	}
}

// excuse discards the records of the pauses requested of the node: while it was paused or
// partitioned, it could not receive all of them.
func (n *backoffNode) excuse() {
	for _, engine := range n.world.order {
		engine.records[n] = &pausecheck.Record{}
	}
}
