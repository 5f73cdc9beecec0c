package ring

import (
	"fmt"
	"sync"

	"github.com/VictoriaMetrics/metrics"
)

// Growing is a bounded queue with one reader that takes memory only for what
// waits in it. It is for queues of which a process has many that are nearly
// always empty: a Ring of 4,096 items takes its whole size from the start, and
// the garbage collector reads all of it each time.
type Growing[T any] struct {
	capacity int
	dropped  *metrics.Counter
	ready    chan struct{}

	mutex sync.Mutex
	// items wait from the place first on.
	items []T
	first int
}

// NewGrowing makes a queue. Its name labels the counter of dropped items.
func NewGrowing[T any](name string, capacity int) *Growing[T] {
	return &Growing[T]{
		capacity: capacity, ready: make(chan struct{}, 1),
		dropped: metrics.GetOrCreateCounter(fmt.Sprintf("ravenway_ring_dropped_total{ring=%q}", name)),
	}
}

// Displace adds an item and drops the oldest one if there is no room.
func (g *Growing[T]) Displace(item T) {
	g.mutex.Lock()
	if len(g.items)-g.first >= g.capacity {
		g.drop()
	}
	g.makeRoom()
	g.items = append(g.items, item)
	g.mutex.Unlock()
	select {
	case g.ready <- struct{}{}:
	default:
	}
}

func (g *Growing[T]) drop() {
	var none T
	g.items[g.first] = none
	g.first++
	g.dropped.Inc()
}

// makeRoom moves the items to the front once half of the slice is behind them,
// so that it grows with what waits and not with what has passed.
func (g *Growing[T]) makeRoom() {
	if len(g.items) < cap(g.items) || g.first*2 < len(g.items) {
		return
	}
	waiting := copy(g.items, g.items[g.first:])
	clear(g.items[waiting:])
	g.items, g.first = g.items[:waiting], 0
}

// Ready receives when an item may be waiting. The reader then takes items until
// there is none.
func (g *Growing[T]) Ready() <-chan struct{} { return g.ready }

// Take takes the oldest item, or returns false.
func (g *Growing[T]) Take() (T, bool) {
	var none T
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.first == len(g.items) {
		// What a burst needed is not kept for the next one.
		g.items, g.first = nil, 0
		return none, false
	}
	item := g.items[g.first]
	g.items[g.first] = none
	g.first++
	return item, true
}
