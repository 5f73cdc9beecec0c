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
	world       *backoffWorld
	number      int
	incarnation int
	clock       machineClock
	// isPartitioned reports whether the node is partitioned from all engines.
	isPartitioned bool
	table         *balance.Table
	tracker       *backoff.Tracker
	retries       *balance.RetryBudget
}

// start starts a new process of the node, which knows of no pauses.
func (n *backoffNode) start() {
	n.incarnation++
	n.clock = machineClock{startedAt: n.world.Now}
	n.table = balance.NewTable(fmt.Sprintf("zone-%d", n.number%backoffZones))
	n.tracker = backoff.NewTracker(n.world.resumePolicy())
	n.table.SetRandom(n.world.Random.Float64)
	n.tracker.SetRandom(n.world.Random.Float64)
	if n.world.options.Policy != PausesIgnored {
		n.table.SetBackoff(n.tracker)
	}
	n.retries = balance.NewRetryBudget()
	instances := make([]registry.Instance, 0, len(n.world.engineList))
	for _, engine := range n.world.engineList {
		instances = append(instances, engine.instance)
		engine.records[n] = &pausecheck.Record{}
	}
	n.table.Apply(instances)
}

// now returns the time of the node's monotonic clock.
func (n *backoffNode) now() time.Duration { return time.Minute + n.clock.read(n.world.Now) }

// after runs an action of the node's current process after a delay, or, if the process is paused
// then, once it has resumed. The action is dropped if the process was restarted.
func (n *backoffNode) after(delay time.Duration, action func()) {
	incarnation := n.incarnation
	var attempt func()
	attempt = func() {
		switch {
		case n.incarnation != incarnation:
		case n.clock.isPaused(n.world.Now):
			n.world.After(n.clock.pausedUntil-n.world.Now+n.world.Between(0, time.Millisecond), attempt)
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
		Service: "s", PromptPart: call.part, Cost: 1, Tokens: 1000, SharedTokens: 600, Exclude: call.tried,
		IsLastAttempt: len(call.tried)+1 >= call.maximumAttempts,
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
	if w.Chance(backoffSlowDialShare) {
		dial = w.Between(0, backoffMaximumSlowDial)
	}
	n.after(dial, func() {
		if w.options.Policy != PausesIgnored && n.table.Admit(n.now(), choice) != nil {
			n.table.Done(n.now(), choice, balance.Abandoned)
			n.forward(call)
			return
		}
		if n.isPartitioned {
			n.after(dial+backoffMaximumSlowDial, func() {
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
	w, engine, incarnation := n.world, n.world.engines[choice.ID], n.incarnation
	call.tried = append(call.tried, choice.ID)
	delay, writtenAt := w.Between(500*time.Microsecond, 3*time.Millisecond), n.now()
	w.After(delay, func() {
		engine.arrivals = append(engine.arrivals, w.Now)
		engine.records[n].AddArrival(w.Now)
		if engine.isOverloaded(w.Now) || engine.running == backoffSlots && engine.queued == backoffQueueLength {
			requestsPause := engine.isOverloaded(w.Now) || w.options.PausesWhenFull
			if requestsPause && n.incarnation == incarnation && !n.isPartitioned {
				engine.records[n].AddPause(w.Now, w.options.Pause)
				w.recordPauseRequest(engine)
			}
			n.after(delay, func() { n.handleRejection(call, choice, requestsPause) })
			return
		}
		engine.serve(w, func() { n.after(delay, func() { n.handleResponse(call, &choice, writtenAt) }) }, func() {
			n.after(delay, func() { n.table.Done(n.now(), choice, balance.Served) })
		})
	})
}

// handleRejection handles the rejection of a call by an engine, which may request a pause with it.
func (n *backoffNode) handleRejection(call *backoffCall, choice balance.Choice, requestsPause bool) {
	n.table.Done(n.now(), choice, balance.Rejected)
	if requestsPause {
		n.tracker.Learn(n.now(), choice.Incarnation(), backoff.Request{}, backoff.Signal{Pause: n.world.options.Pause + n.rankDelay(choice.ID)})
	}
	if requestsPause && n.world.options.Policy == SharedTrials {
		n.notifyOthers(choice.Incarnation())
	}
	if len(call.tried) >= call.maximumAttempts || !n.retries.Take(n.now(), "s", n.retryPolicy()) {
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
	return time.Duration(float64(rank) / float64(len(n.world.names)) * backoff.DefaultRecovery.SpreadShare * float64(n.world.options.Pause))
}

func (n *backoffNode) name() string { return fmt.Sprintf("entry-%d", n.number) }

// resumePolicy returns the part of the options' recovery policy that the simulated policy uses.
func (w *backoffWorld) resumePolicy() backoff.RecoveryPolicy {
	policy, none := w.options.Recovery, backoff.RecoveryPolicy{}
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

// notifyOthers informs the other nodes that an engine requested a pause, with the delay of the
// load exchange.
func (n *backoffNode) notifyOthers(incarnation registry.Incarnation) {
	for _, other := range n.world.nodes {
		if other != n && !other.isPartitioned {
			other.after(n.world.Between(50*time.Millisecond, 300*time.Millisecond), func() {
				if other.tracker.Status(other.now(), incarnation).Phase == backoff.Open {
					other.tracker.Learn(other.now(), incarnation, backoff.Request{}, backoff.Signal{Pause: 1})
				}
			})
		}
	}
}

func (n *backoffNode) handleResponse(call *backoffCall, choice *balance.Choice, writtenAt time.Duration) {
	n.tracker.Learn(n.now(), choice.Incarnation(), backoff.Request{WrittenAt: writtenAt}, backoff.Signal{HasRun: true})
	n.table.PromptRead(choice, 0)
	w := n.world
	if w.isCounted(call) && w.Now-call.firstTryAt <= backoffObjective {
		w.result.InTime++
	}
}

// discardPauseRecords discards the records of the pauses requested of the node: while it was paused
// or partitioned, it could not receive all of them.
func (n *backoffNode) discardPauseRecords() {
	for _, engine := range n.world.engineList {
		engine.records[n] = &pausecheck.Record{}
	}
}
