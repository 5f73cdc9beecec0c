package node

import (
	"context"
	"time"

	"github.com/ravenway/ravenway/internal/ring"
)

const (
	// dutyRingCapacity bounds the work waiting for a duty.
	dutyRingCapacity = 8192
	// dutyBatch bounds the work done between two flushes.
	dutyBatch = 512
)

// duty is one goroutine that owns its state. Work comes through one bounded
// ring: requests push back on their sender, messages of peers are dropped when
// it is full, since the protocols treat the network as lossy.
type duty struct {
	ring *ring.Ring[func()]
	// interval is the time between ticks.
	interval time.Duration
	// tick runs at each interval, flush after each batch of work and each tick.
	tick  func()
	flush func()
}

func newDuty(name string, interval time.Duration) *duty {
	return &duty{ring: ring.New[func()](name, dutyRingCapacity), interval: interval}
}

// do hands work to the duty and waits for room, not for the work.
func (d *duty) do(ctx context.Context, work func()) error {
	return d.ring.Push(ctx, work)
}

// offer hands a peer's message to the duty, or drops it.
func (d *duty) offer(work func()) {
	d.ring.Offer(work)
}

// run does the work until the context ends.
func (d *duty) run(ctx context.Context) {
	ticker := time.NewTicker(d.interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case work := <-d.ring.Out():
			work()
			d.drain()
		case <-ticker.C:
			d.tick()
		}
		d.flush()
	}
}

// drain does what else is waiting, so that one flush serves all of it.
func (d *duty) drain() {
	for range dutyBatch {
		select {
		case work := <-d.ring.Out():
			work()
		default:
			return
		}
	}
}

// ask hands work to a duty and waits for its answer.
func ask[T any](ctx context.Context, owner *duty, work func(answer func(T))) (T, error) {
	answers := make(chan T, 1)
	var none T
	if err := owner.do(ctx, func() { work(func(answer T) { answers <- answer }) }); err != nil {
		return none, err
	}
	select {
	case answer := <-answers:
		return answer, nil
	case <-ctx.Done():
		return none, context.Cause(ctx)
	}
}
