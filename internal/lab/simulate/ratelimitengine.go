package simulate

import (
	"time"

	"github.com/ravenway/ravenway/internal/coordination/ratelimit"
	"github.com/ravenway/ravenway/internal/coordination/registry"
	"github.com/ravenway/ravenway/internal/lab/limitcheck"
)

// The behaviour of engines under LimitOptions.IsUnsettled.
const (
	// bareFailures is the share of responses that fail without naming a limit.
	bareFailures = 0.3
	// needLeast and needMost bound the time between two changes of an engine, withoutLeast and
	// withoutMost the time for which it names no limit after a change.
	needLeast, needMost       = 3 * time.Second, 9 * time.Second
	withoutLeast, withoutMost = 500 * time.Millisecond, 5 * time.Second
	// lifeLag is the maximum time until a node knows of a new incarnation.
	lifeLag = 1500 * time.Millisecond
	// messageLoss and messageLate are the shares of messages between nodes that are lost or late,
	// lateLeast and lateMost bound the additional delay of late ones.
	messageLoss, messageLate = 0.03, 0.1
	lateLeast, lateMost      = 200 * time.Millisecond, 1500 * time.Millisecond
)

// limitEngine is an engine that names a rate limit.
type limitEngine struct {
	life registry.Life
	zone string
	// perSecond is its rate limit in requests a second, which it names if isNamed is set.
	perSecond float64
	isNamed   bool
	// records holds the limits that each incarnation named and the requests that it received; the
	// last one is that of the current incarnation.
	records []*limitcheck.Record
}

// begin starts a new incarnation of the engine, and ends the previous one.
func (e *limitEngine) begin(now time.Duration) {
	if len(e.records) > 0 {
		e.record().End(now)
	}
	e.life.Born++
	e.isNamed = false
	e.records = append(e.records, &limitcheck.Record{})
}

func (e *limitEngine) record() *limitcheck.Record { return e.records[len(e.records)-1] }

// answer records a request of a node and returns the signal of the engine's response.
func (w *limitWorld) answer(engine *limitEngine, from *limitNode, at time.Duration) ratelimit.Said {
	if !w.isExcused(from) {
		engine.record().Arrive(at)
	}
	switch {
	case w.options.IsUnsettled && w.Chance(bareFailures):
		return ratelimit.Said{IsFailure: true}
	case !engine.isNamed:
		return ratelimit.Said{}
	}
	engine.record().Name(at, engine.perSecond)
	return ratelimit.Said{IsNamed: true, PerSecond: engine.perSecond}
}

// isExcused reports whether the requests of a node don't count now: it has just started or resumed,
// and sends the requests that it received meanwhile before it can know of a limit.
func (w *limitWorld) isExcused(node *limitNode) bool {
	return w.options.IsUnsettled && w.Now-node.clock.runsSince() < limitcheck.Contact
}

// unsettle lets an engine change its limit, name none for a while, or restart, again and again.
func (w *limitWorld) unsettle(engine *limitEngine) {
	w.After(w.Between(needLeast, needMost), func() { w.unsettle(engine) })
	kinds := []func(){
		func() {
			w.Fault("limit_changed")
			engine.perSecond = w.options.PerSecond * []float64{0.25, 1, 4}[w.Random.IntN(3)]
		},
		func() {
			w.Fault("limit_ended")
			engine.isNamed = false
			engine.record().End(w.Now)
			w.nameLater(engine)
		},
		func() {
			w.Fault("engine_restarted")
			before := engine.life
			engine.begin(w.Now)
			w.nameLater(engine)
			for _, node := range w.nodes {
				node.hearLater(engine, before)
			}
		},
	}
	kinds[w.Random.IntN(len(kinds))]()
}

// nameLater lets an engine name its limit again after a delay, unless it restarts before.
func (w *limitWorld) nameLater(engine *limitEngine) {
	life := engine.life
	w.After(w.Between(withoutLeast, withoutMost), func() {
		if engine.life == life {
			engine.isNamed = true
		}
	})
}

// lifeOf returns the incarnation of an engine that the node knows.
func (n *limitNode) lifeOf(engine *limitEngine) registry.Life {
	if older, isBehind := n.olderLives[engine]; isBehind {
		return older
	}
	return engine.life
}

// hearLater makes a new incarnation of an engine known to the node after a delay.
func (n *limitNode) hearLater(engine *limitEngine, before registry.Life) {
	n.olderLives[engine] = before
	n.after(n.world.Between(0, lifeLag), func() {
		if n.olderLives[engine] == before {
			delete(n.olderLives, engine)
		}
		n.limits.Forget(before)
	})
}

// delay draws the delay of a message; false if the message is lost.
func (w *limitWorld) delay(least, most time.Duration) (time.Duration, bool) {
	delay := w.Between(least, most)
	if !w.options.IsUnsettled {
		return delay, true
	}
	if w.Chance(messageLate) {
		delay += w.Between(lateLeast, lateMost)
	}
	return delay, !w.Chance(messageLoss)
}
