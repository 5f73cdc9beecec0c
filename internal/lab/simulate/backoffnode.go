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
	// isCut tells that it reaches no engine.
	isCut   bool
	table   *balance.Table
	tracker *backoff.Tracker
	retries *balance.RetryBudget
}

// start starts a node's process, which knows nothing of pauses.
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

// now is the node's steady clock.
func (n *backoffNode) now() time.Duration { return time.Minute + n.clock.read(n.world.Now) }

// after runs an action of the node's present process after a time, later if it stands still
// then.
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

// forward chooses an engine for a call and sends it there, if that still takes it once its
// connection is up.
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

// send has a call arrive at an engine, which answers.
func (n *backoffNode) send(call *backoffCall, choice balance.Choice) {
	w, engine, process := n.world, n.world.engines[choice.ID], n.process
	call.tried = append(call.tried, choice.ID)
	way, writtenAt := w.Between(500*time.Microsecond, 3*time.Millisecond), n.now()
	w.After(way, func() {
		engine.arrivals = append(engine.arrivals, w.Now)
		engine.records[n].AddArrival(w.Now)
		if engine.isIll(w.Now) || engine.running == backoffSlots && engine.queued == backoffQueue {
			asks := engine.isIll(w.Now) || w.options.AsksWhenFull
			if asks && n.process == process && !n.isCut {
				engine.records[n].AddPause(w.Now, w.options.Pause)
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

// turnedAway takes an engine's word that it ran nothing, and perhaps wants a pause.
func (n *backoffNode) turnedAway(call *backoffCall, choice balance.Choice, asks bool) {
	n.table.Done(n.now(), choice, balance.Rejected)
	if asks {
		n.tracker.Learn(n.now(), choice.Incarnation(), backoff.Request{}, backoff.Signal{Pause: n.world.options.Pause + n.rankDelay(choice.ID)})
	}
	if asks && n.world.options.Policy == SharedTrials {
		n.warnOthers(choice.Incarnation())
	}
	if len(call.tried) >= call.attempts || !n.retries.Take(n.now(), "s", n.retryPolicy()) {
		n.refuse(call)
		return
	}
	n.forward(call)
}

// rankDelay is by how much the node keeps a pause longer where nodes agree on an order.
func (n *backoffNode) rankDelay(engine string) time.Duration {
	if n.world.options.Policy != RankedEnd {
		return 0
	}
	rank := slices.Index(membership.Rank(engine, n.world.names), n.name())
	return time.Duration(float64(rank) / float64(len(n.world.names)) * backoff.DefaultRecovery.SpreadShare * float64(n.world.options.Pause))
}

func (n *backoffNode) name() string { return fmt.Sprintf("entry-%d", n.number) }

// returnPolicy is the part of the node's own policy that the options' has.
func (w *backoffWorld) returnPolicy() backoff.RecoveryPolicy {
	policy, none := w.options.Return, backoff.RecoveryPolicy{}
	switch w.options.Policy {
	case PausesIgnored, HardEnd, RankedEnd:
		return none
	case SpreadEnd:
		policy.MaximumTrialTime = 0
	case Trials, SharedTrials:
		policy.SpreadShare = 0
	case SpreadTrials:
	}
	return policy
}

// warnOthers tells the other nodes, with their loads, that an engine asked for a pause.
func (n *backoffNode) warnOthers(life registry.Incarnation) {
	for _, other := range n.world.nodes {
		if other != n && !other.isCut {
			other.after(n.world.Between(50*time.Millisecond, 300*time.Millisecond), func() {
				if other.tracker.Status(other.now(), life).Phase == backoff.Open {
					other.tracker.Learn(other.now(), life, backoff.Request{}, backoff.Signal{Pause: 1})
				}
			})
		}
	}
}

func (n *backoffNode) answered(call *backoffCall, choice *balance.Choice, writtenAt time.Duration) {
	n.tracker.Learn(n.now(), choice.Incarnation(), backoff.Request{WrittenAt: writtenAt}, backoff.Signal{HasRun: true})
	n.table.PromptRead(choice, 0)
	w := n.world
	if w.isJudged(call) && w.Now-call.first <= backoffObjective {
		w.result.InTime++
	}
}

// excuse forgets the pauses that the node was asked for: it could not hear of all.
func (n *backoffNode) excuse() {
	for _, engine := range n.world.order {
		engine.records[n] = &pausecheck.Record{}
	}
}
