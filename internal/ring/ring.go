// Package ring provides the bounded queues that connect a daemon's duties. The method that adds an
// item names the policy for a full queue: Push blocks the sender, Offer refuses the item, and
// Displace drops the oldest item, for items that are only hints. Dropped items are counted.
package ring

import (
	"context"
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// Ring is a bounded queue with one reader.
type Ring[T any] struct {
	items   chan T
	dropped *metrics.Counter
}

// New returns a ring. Its name labels the counter of dropped items.
func New[T any](name string, capacity int) *Ring[T] {
	return &Ring[T]{
		items:   make(chan T, capacity),
		dropped: metrics.GetOrCreateCounter(fmt.Sprintf("ravenway_ring_dropped_total{ring=%q}", name)),
	}
}

// Push adds an item; it waits until the ring has space or the context ends.
func (r *Ring[T]) Push(ctx context.Context, item T) error {
	select {
	case r.items <- item:
		return nil
	default:
	}
	select {
	case r.items <- item:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// Offer adds an item, or refuses and counts it if the ring is full.
func (r *Ring[T]) Offer(item T) bool {
	select {
	case r.items <- item:
		return true
	default:
		r.dropped.Inc()
		return false
	}
}

// Displace adds an item and drops the oldest ones to free space.
func (r *Ring[T]) Displace(item T) {
	for {
		select {
		case r.items <- item:
			return
		default:
		}
		select {
		case <-r.items:
			r.dropped.Inc()
		default:
		}
	}
}

// Out returns the channel from which the reader receives items.
func (r *Ring[T]) Out() <-chan T { return r.items }

// Length returns the number of waiting items.
func (r *Ring[T]) Length() int { return len(r.items) }
