package ring

import (
	"fmt"
	"sync"

	"github.com/VictoriaMetrics/metrics"
)

// Growing is a bounded queue with one reader that uses memory only for the waiting items. It is for
// queues that are numerous and nearly always empty: a Ring of 4,096 items allocates its full size
// from the start, and the garbage collector scans all of it in each cycle.
type Growing[T any] struct {
	capacity int
	dropped  *metrics.Counter
	ready    chan struct{}

	mutex sync.Mutex
	// items[first:] are the waiting items.
	items []T
	first int
}

// NewGrowing returns a queue. Its name labels the counter of dropped items.
func NewGrowing[T any](name string, capacity int) *Growing[T] {
	return &Growing[T]{
		capacity: capacity, ready: make(chan struct{}, 1),
		dropped: metrics.GetOrCreateCounter(fmt.Sprintf("ravenway_ring_dropped_total{ring=%q}", name)),
	}
}

// Displace adds an item and drops the oldest one if the queue is full.
func (g *Growing[T]) Displace(item T) {
	g.mutex.Lock()
	if len(g.items)-g.first >= g.capacity {
		g.dropOldest()
	}
	g.compact()
	g.items = append(g.items, item)
	g.mutex.Unlock()
	select {
	case g.ready <- struct{}{}:
	default:
	}
}

func (g *Growing[T]) dropOldest() {
	var zero T
	g.items[g.first] = zero
	g.first++
	g.dropped.Inc()
}

// compact moves the items to the front of the slice once half of it holds items that were already
// removed, so that its size depends on the waiting items and not on the total number of items.
func (g *Growing[T]) compact() {
	if len(g.items) < cap(g.items) || g.first*2 < len(g.items) {
		return
	}
	waiting := copy(g.items, g.items[g.first:])
	clear(g.items[waiting:])
	g.items, g.first = g.items[:waiting], 0
}

// Ready returns a channel that receives a value when items can be waiting. The reader then calls
// Take until it returns false.
func (g *Growing[T]) Ready() <-chan struct{} { return g.ready }

// Take removes and returns the oldest item. It returns false if the queue is empty.
func (g *Growing[T]) Take() (T, bool) {
	var zero T
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.first == len(g.items) {
		// Release the memory of a burst; it is not kept for the next one.
		g.items, g.first = nil, 0
		return zero, false
	}
	item := g.items[g.first]
	g.items[g.first] = zero
	g.first++
	return item, true
}
