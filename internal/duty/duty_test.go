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
func TestDutiesAtWorkWhenTheirTicksFallDueRunInVirtualTime(t *testing.T) {
	const (
		duties   = 200
		rounds   = 100
		interval = 10 * time.Millisecond
	)
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var running, callers sync.WaitGroup
		for range duties {
			one := newDuty(interval, func() {})
			running.Go(func() { one.Run(ctx) })
			callers.Go(func() {
				for range rounds {
					_, err := Ask(ctx, one, func(answer func(bool)) {
						time.Sleep(interval + interval/2)
						answer(true)
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

func TestTicksThatADutyHasNoTimeForAreDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		ticks := 0
		one := newDuty(time.Second, func() { ticks++ })
		var running sync.WaitGroup
		running.Go(func() { one.Run(ctx) })
		assert.NilError(t, one.Do(ctx, func() { time.Sleep(5500 * time.Millisecond) }))
		time.Sleep(5900 * time.Millisecond)
		cancel()
		running.Wait()
		assert.Equal(t, ticks, 1)
	})
}

func newDuty(interval time.Duration, tick func()) *Duty {
	one := New("test", interval)
	one.Tick, one.Flush = tick, func() {}
	return one
}
