package simulate

import (
	"time"

	"github.com/ravenway/ravenway/internal/coordination/ratelimit"
	"github.com/ravenway/ravenway/internal/coordination/registry"
	"github.com/ravenway/ravenway/internal/lab/limitcheck"
)

// The behaviour of engines under LimitOptions.IsUnsettled.
const (
	// unnamedFailureShare is the share of responses that fail without naming a limit.
	unnamedFailureShare = 0.3
	// minimumChangeInterval and maximumChangeInterval bound the time between two changes of an
	// engine, minimumUnnamedTime and maximumUnnamedTime the time for which it names no limit after a
	// change.
	minimumChangeInterval, maximumChangeInterval = 3 * time.Second, 9 * time.Second
	minimumUnnamedTime, maximumUnnamedTime       = 500 * time.Millisecond, 5 * time.Second
	// maximumIncarnationLag is the maximum time until a node knows of a new incarnation.
	maximumIncarnationLag = 1500 * time.Millisecond
	// lostMessageShare and lateMessageShare are the shares of messages between nodes that are lost
	// or late, minimumLateDelay and maximumLateDelay bound the additional delay of late ones.
	lostMessageShare, lateMessageShare = 0.03, 0.1
	minimumLateDelay, maximumLateDelay = 200 * time.Millisecond, 1500 * time.Millisecond
)

// limitEngine is an engine that names a rate limit.
type limitEngine struct {
	incarnation registry.Incarnation
	zone        string
	// perSecond is its rate limit in requests a second, which it names if isNamed is set.
	perSecond float64
	isNamed   bool
	// records holds the limits that each incarnation named and the requests that it received; the
	// last one is that of the current incarnation.
	records []*limitcheck.Record
}

// startIncarnation starts a new incarnation of the engine, and ends the previous one.
func (e *limitEngine) startIncarnation(now time.Duration) {
	if len(e.records) > 0 {
		e.record().EndLimit(now)
	}
	e.incarnation.StartedAt++
	e.isNamed = false
	e.records = append(e.records, &limitcheck.Record{})
}

func (e *limitEngine) record() *limitcheck.Record { return e.records[len(e.records)-1] }

// respond records a request of a node and returns the signal of the engine's response.
func (w *limitWorld) respond(engine *limitEngine, from *limitNode, at time.Duration) ratelimit.Signal {
	if !w.isExempt(from) {
		engine.record().AddArrival(at)
	}
	switch {
	case w.options.IsUnsettled && w.Chance(unnamedFailureShare):
		return ratelimit.Signal{IsFailure: true}
	case !engine.isNamed:
		return ratelimit.Signal{}
	}
	engine.record().AddLimit(at, engine.perSecond)
	return ratelimit.Signal{IsNamed: true, PerSecond: engine.perSecond}
}

// isExempt reports whether the requests of a node don't count now: it has just started or resumed,
// and sends the requests that it received meanwhile before it can know of a limit.
func (w *limitWorld) isExempt(node *limitNode) bool {
	return w.options.IsUnsettled && w.Now-node.clock.runningSince() < limitcheck.ReactionTime
}

// changeEngine lets an engine change its limit, name none for a while, or restart, and schedules the
// next change.
func (w *limitWorld) changeEngine(engine *limitEngine) {
	w.After(w.Between(minimumChangeInterval, maximumChangeInterval), func() { w.changeEngine(engine) })
	kinds := []func(){
		func() {
			w.Fault("limit_changed")
			engine.perSecond = w.options.RateLimit * []float64{0.25, 1, 4}[w.Random.IntN(3)]
		},
		func() {
			w.Fault("limit_ended")
			engine.isNamed = false
			engine.record().EndLimit(w.Now)
			w.nameLimitLater(engine)
		},
		func() {
			w.Fault("engine_restarted")
			before := engine.incarnation
			engine.startIncarnation(w.Now)
			w.nameLimitLater(engine)
			for _, node := range w.nodes {
				node.learnIncarnationLater(engine, before)
			}
		},
	}
	kinds[w.Random.IntN(len(kinds))]()
}

// nameLimitLater lets an engine name its limit again after a delay, unless it restarts before.
func (w *limitWorld) nameLimitLater(engine *limitEngine) {
	incarnation := engine.incarnation
	w.After(w.Between(minimumUnnamedTime, maximumUnnamedTime), func() {
		if engine.incarnation == incarnation {
			engine.isNamed = true
		}
	})
}

// knownIncarnation returns the incarnation of an engine that the node knows.
func (n *limitNode) knownIncarnation(engine *limitEngine) registry.Incarnation {
	if older, isBehind := n.staleIncarnations[engine]; isBehind {
		return older
	}
	return engine.incarnation
}

// learnIncarnationLater makes a new incarnation of an engine known to the node after a delay.
func (n *limitNode) learnIncarnationLater(engine *limitEngine, before registry.Incarnation) {
	n.staleIncarnations[engine] = before
	n.after(n.world.Between(0, maximumIncarnationLag), func() {
		if n.staleIncarnations[engine] == before {
			delete(n.staleIncarnations, engine)
		}
		n.limits.Forget(before)
	})
}

// delay draws the delay of a message; false if the message is lost.
func (w *limitWorld) delay(minimum, maximum time.Duration) (time.Duration, bool) {
	delay := w.Between(minimum, maximum)
	if !w.options.IsUnsettled {
		return delay, true
	}
	if w.Chance(lateMessageShare) {
		delay += w.Between(minimumLateDelay, maximumLateDelay)
	}
	return delay, !w.Chance(lostMessageShare)
}
