package simulate

import (
	"time"

	"github.com/ravenway/ravenway/internal/coordination/ratelimit"
	"github.com/ravenway/ravenway/internal/coordination/registry"
	"github.com/ravenway/ravenway/internal/lab/limitcheck"
)

// What an unsettled engine does.
const (
	// bareFailures is the part of its answers that fail and name nothing.
	bareFailures = 0.3
	// It does something else after a time, and names no limit for a time before the next.
	needLeast, needMost       = 3 * time.Second, 9 * time.Second
	withoutLeast, withoutMost = 500 * time.Millisecond, 5 * time.Second
	// lifeLag is how long nodes take at most to hear of a new life.
	lifeLag = 1500 * time.Millisecond
	// Part of the messages between nodes are lost, or late by a time.
	messageLoss, messageLate = 0.03, 0.1
	lateLeast, lateMost      = 200 * time.Millisecond, 1500 * time.Millisecond
)

// limitEngine is an engine that names a limit.
type limitEngine struct {
	life registry.Incarnation
	zone string
	// perSecond is its limit, which it names if isNamed is set.
	perSecond float64
	isNamed   bool
	// records are what its lives named and got, that of the present one last.
	records []*limitcheck.Record
}

// begin begins a life of the engine, and ends the one before.
func (e *limitEngine) begin(now time.Duration) {
	if len(e.records) > 0 {
		e.record().EndLimit(now)
	}
	e.life.StartedAt++
	e.isNamed = false
	e.records = append(e.records, &limitcheck.Record{})
}

func (e *limitEngine) record() *limitcheck.Record { return e.records[len(e.records)-1] }

// answer takes a request of a node at a time and returns what its answer says of the limit.
func (w *limitWorld) answer(engine *limitEngine, from *limitNode, at time.Duration) ratelimit.Signal {
	if !w.isExcused(from) {
		engine.record().AddArrival(at)
	}
	switch {
	case w.options.IsUnsettled && w.Chance(bareFailures):
		return ratelimit.Signal{IsFailure: true}
	case !engine.isNamed:
		return ratelimit.Signal{}
	}
	engine.record().AddLimit(at, engine.perSecond)
	return ratelimit.Signal{IsNamed: true, PerSecond: engine.perSecond}
}

// isExcused tells that a node's requests don't count now: it has just started, or stood still,
// and what came to it meanwhile goes out before it can hear of a limit.
func (w *limitWorld) isExcused(node *limitNode) bool {
	return w.options.IsUnsettled && w.Now-node.clock.runsSince() < limitcheck.ReactionTime
}

// unsettle has an engine change its limit, name none for a while, or start again.
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
			engine.record().EndLimit(w.Now)
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

// nameLater has an engine that names no limit name one again, unless it starts again before.
func (w *limitWorld) nameLater(engine *limitEngine) {
	life := engine.life
	w.After(w.Between(withoutLeast, withoutMost), func() {
		if engine.life == life {
			engine.isNamed = true
		}
	})
}

// lifeOf is the life of an engine that the node knows.
func (n *limitNode) lifeOf(engine *limitEngine) registry.Incarnation {
	if older, isBehind := n.olderLives[engine]; isBehind {
		return older
	}
	return engine.life
}

// hearLater has the node hear of an engine's new life after a while.
func (n *limitNode) hearLater(engine *limitEngine, before registry.Incarnation) {
	n.olderLives[engine] = before
	n.after(n.world.Between(0, lifeLag), func() {
		if n.olderLives[engine] == before {
			delete(n.olderLives, engine)
		}
		n.limits.Forget(before)
	})
}

// delay draws how long a message takes; false if it is lost.
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
