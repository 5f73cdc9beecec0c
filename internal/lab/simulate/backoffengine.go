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
	instance                      registry.Instance
	overloadedFrom, overloadedFor time.Duration
	running, queued               int
	waiting                       []func()
	arrivals                      []time.Duration
	// records holds for each node the pauses requested of it and the arrivals of its requests.
	records map[*backoffNode]*pausecheck.Record
}

func (e *backoffEngine) isOverloaded(now time.Duration) bool {
	return now >= e.overloadedFrom && now < e.overloadedFrom+e.overloadedFor
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
		w.engines[engine.instance.ID], w.engineList = engine, append(w.engineList, engine)
		engine.overloadedFrom = backoffWarmUp
		switch w.options.Scenario {
		case ThirdOverloaded:
			engine.overloadedFor = durationIf(number < count/3, backoffOverloadTime)
		case ZoneOverloaded:
			engine.overloadedFor = durationIf(number%backoffZones == 0, backoffOverloadTime)
		case AllOverloaded:
			engine.overloadedFor = backoffOverloadTime / 2
		case Wave:
			engine.overloadedFrom += time.Duration(number) * backoffOverloadTime / time.Duration(count)
			engine.overloadedFor = backoffOverloadTime / 4
		}
		w.recoveredAt = max(w.recoveredAt, engine.overloadedFrom+engine.overloadedFor)
	}
}

func durationIf(condition bool, value time.Duration) time.Duration {
	if condition {
		return value
	}
	return 0
}

func (w *backoffWorld) recordPauseRequest(engine *backoffEngine) {
	w.result.Pauses++
	if !engine.isOverloaded(w.Now) {
		w.result.PausesAfterRecovery++
	}
}

// serve runs a request as soon as a slot is free.
func (e *backoffEngine) serve(w *backoffWorld, onStart, onEnd func()) {
	if e.running == backoffSlots {
		e.queued++
		e.waiting = append(e.waiting, func() { e.queued--; e.serve(w, onStart, onEnd) })
		return
	}
	e.running++
	onStart()
	w.After(w.Between(backoffMinimumWork, backoffMaximumWork), func() {
		e.running--
		onEnd()
		if len(e.waiting) > 0 {
			next := e.waiting[0]
			e.waiting = e.waiting[1:]
			next()
		}
	})
}
