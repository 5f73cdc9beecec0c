package duty

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a crash of the race detector in virtual time: it came about when ticks fell due
// while many duties were busy.
func TestBusyDutiesRunInVirtualTimeWhenTicksFallDue(t *testing.T) {
	const (
		duties   = 200
		rounds   = 100
		interval = 10 * time.Millisecond
	)
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var running, callers sync.WaitGroup
		for range duties {
			duty := newDuty(interval, func() {})
			running.Go(func() { duty.Run(ctx) })
			callers.Go(func() {
				for range rounds {
					_, err := Call(ctx, duty, func(reply func(bool)) {
						time.Sleep(interval + interval/2)
						reply(true)
					})
					assert.Check(t, err)
				}
			})
		}
		callers.Wait()
		cancel()
		running.Wait()
	})
}

func TestTicksAreDroppedWhileTheDutyIsBusy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		ticks := 0
		duty := newDuty(time.Second, func() { ticks++ })
		var running sync.WaitGroup
		running.Go(func() { duty.Run(ctx) })
		assert.NilError(t, duty.Do(ctx, func() { time.Sleep(5500 * time.Millisecond) }))
		time.Sleep(5900 * time.Millisecond)
		cancel()
		running.Wait()
		assert.Equal(t, ticks, 1)
	})
}

func newDuty(interval time.Duration, tick func()) *Duty {
	duty := New("test", interval)
	duty.Tick, duty.Flush = tick, func() {}
	return duty
}
