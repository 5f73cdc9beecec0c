// Package duty runs goroutines that own their state and take work through one
// bounded ring.
package duty

import (
	"context"
	"time"

	"github.com/ravenway/ravenway/internal/pause"
	"github.com/ravenway/ravenway/internal/ring"
)

const (
	// ringCapacity bounds the work waiting for a duty.
	ringCapacity = 8192
	// maximumBatch bounds the work done between two flushes.
	maximumBatch = 512
)

// Duty is one goroutine that owns its state. Work comes through one bounded
// ring: requests push back on their sender, messages of peers are dropped when
// it is full, since the protocols treat the network as lossy.
type Duty struct {
	ring *ring.Ring[func()]
	// interval is the time between ticks.
	interval time.Duration
	// Tick runs at each interval, Flush after each batch of work and each tick.
	Tick  func()
	Flush func()
}

// New makes a duty; Run starts it.
func New(name string, interval time.Duration) *Duty {
	return &Duty{ring: ring.New[func()](name, ringCapacity), interval: interval}
}

// Do hands work to the duty and waits for room, not for the work.
func (d *Duty) Do(ctx context.Context, work func()) error {
	return d.ring.Push(ctx, work)
}

// Offer hands a peer's message to the duty, or drops it.
func (d *Duty) Offer(work func()) {
	d.ring.Offer(work)
}

// Run does the work until the context ends.
func (d *Duty) Run(ctx context.Context) {
	ticks := pause.Ticks(ctx, d.interval)
	for {
		select {
		case <-ctx.Done():
			return
		case work := <-d.ring.Out():
			work()
			d.drain()
		case <-ticks:
			d.Tick()
		}
		d.Flush()
	}
}

// drain does what else is waiting, so that one flush serves all of it.
func (d *Duty) drain() {
	for range maximumBatch {
		select {
		case work := <-d.ring.Out():
			work()
		default:
			return
		}
	}
}

// Ask hands work to a duty and waits for its answer.
func Ask[T any](ctx context.Context, owner *Duty, work func(answer func(T))) (T, error) {
	answers := make(chan T, 1)
	var none T
	if err := owner.Do(ctx, func() { work(func(answer T) { answers <- answer }) }); err != nil {
		return none, err
	}
	select {
	case answer := <-answers:
		return answer, nil
	case <-ctx.Done():
		return none, context.Cause(ctx)
	}
}
