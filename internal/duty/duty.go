// Package duty runs goroutines that own their state. Each one receives its work through one bounded
// queue, its mailbox.
package duty

import (
	"context"
	"time"

	"github.com/ravenway/ravenway/internal/pause"
	"github.com/ravenway/ravenway/internal/ring"
)

const (
	// mailboxCapacity is the maximum number of work items that wait for a duty.
	mailboxCapacity = 8192
	// maximumBatch is the maximum number of further work items that are executed before a flush.
	maximumBatch = 512
)

// Duty is one goroutine, with a mailbox and a tick, that owns its state. When the mailbox is full,
// Do blocks the sender of a request, and Offer drops a peer's message, since the protocols treat
// the network as lossy.
type Duty struct {
	mailbox *ring.Ring[func()]
	// interval is the time between ticks.
	interval time.Duration
	// Tick runs at each interval. Flush runs after each batch of work and each tick.
	Tick  func()
	Flush func()
}

// New returns a duty, which Run starts. The name labels the metric of dropped work items.
func New(name string, interval time.Duration) *Duty {
	return &Duty{mailbox: ring.New[func()](name, mailboxCapacity), interval: interval}
}

// Do queues work for the duty. It waits until the queue has space, but not until the work is done.
func (d *Duty) Do(ctx context.Context, work func()) error {
	return d.mailbox.Push(ctx, work)
}

// Offer queues the handling of a peer's message, or drops it if the queue is full.
func (d *Duty) Offer(work func()) {
	d.mailbox.Offer(work)
}

// Run executes queued work and ticks until the context ends.
func (d *Duty) Run(ctx context.Context) {
	ticks := pause.Ticks(ctx, d.interval)
	for {
		select {
		case <-ctx.Done():
			return
		case work := <-d.mailbox.Out():
			work()
			d.drain()
		case <-ticks:
			d.Tick()
		}
		d.Flush()
	}
}

// drain executes up to maximumBatch waiting work items, so that one flush serves all of them.
func (d *Duty) drain() {
	for range maximumBatch {
		select {
		case work := <-d.mailbox.Out():
			work()
		default:
			return
		}
	}
}

// Call runs a function on the duty's goroutine and waits for its result, which the function passes
// to reply. The duty may call reply later, after the function has returned, but only once.
func Call[T any](ctx context.Context, owner *Duty, work func(reply func(T))) (T, error) {
	results := make(chan T, 1)
	var zero T
	if err := owner.Do(ctx, func() { work(func(result T) { results <- result }) }); err != nil {
		return zero, err
	}
	select {
	case result := <-results:
		return result, nil
	case <-ctx.Done():
		return zero, context.Cause(ctx)
	}
}
