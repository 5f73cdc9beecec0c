package simulate

import (
	"fmt"
	"math"
	"time"

	"github.com/ravenway/ravenway/internal/coordination/registry"
	"github.com/ravenway/ravenway/internal/lab/pausecheck"
)

// backoffEngine runs as many requests at a time as it has slots, and queues a few more.
type backoffEngine struct {
	instance        registry.Instance
	illFrom, illFor time.Duration
	running, queued int
	waiting         []func()
	arrivals        []time.Duration
	records         map[*backoffNode]*pausecheck.Record
}

func (e *backoffEngine) isIll(now time.Duration) bool {
	return now >= e.illFrom && now < e.illFrom+e.illFor
}

// engineCount grows with the square root of the number of nodes.
func (w *backoffWorld) engineCount() int {
	return 12 * int(math.Ceil(math.Sqrt(float64(w.options.Nodes)/8)))
}

func (w *backoffWorld) addEngines() {
	count := w.engineCount()
	for number := range count {
		engine := &backoffEngine{records: map[*backoffNode]*pausecheck.Record{}, instance: registry.Instance{
			ID: fmt.Sprintf("engine-%d-%d", w.options.Seed, number), Service: "s", Zone: fmt.Sprintf("zone-%d", number%backoffZones),
			Slots: backoffSlots, State: registry.Ready, Sequence: 1,
		}}
		w.engines[engine.instance.ID], w.order = engine, append(w.order, engine)
		engine.illFrom = backoffWarmUp
		switch w.options.Scenario {
		case ThirdIll:
			engine.illFor = ifTrue(number < count/3, backoffIll)
		case ZoneIll:
			engine.illFor = ifTrue(number%backoffZones == 0, backoffIll)
		case AllIll:
			engine.illFor = backoffIll / 2
		case Wave:
			engine.illFrom += time.Duration(number) * backoffIll / time.Duration(count)
			engine.illFor = backoffIll / 4
		}
		w.wellFrom = max(w.wellFrom, engine.illFrom+engine.illFor)
	}
}

func ifTrue(condition bool, value time.Duration) time.Duration {
	if condition {
		return value
	}
	return 0
}

func (w *backoffWorld) noteAsked(engine *backoffEngine) {
	w.result.Asked++
	if !engine.isIll(w.Now) {
		w.result.Later++
	}
}

// take runs a request as soon as a slot is free.
func (e *backoffEngine) take(w *backoffWorld, begun, ended func()) {
	if e.running == backoffSlots {
		e.queued++
		e.waiting = append(e.waiting, func() { e.queued--; e.take(w, begun, ended) })
		return
	}
	e.running++
	begun()
	w.After(w.Between(backoffWorkLeast, backoffWorkMost), func() {
		e.running--
		ended()
		if len(e.waiting) > 0 {
			next := e.waiting[0]
			e.waiting = e.waiting[1:]
			next()
		}
	})
}
