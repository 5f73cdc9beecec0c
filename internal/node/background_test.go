package node

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a panic while a node stops: requests that end while it waits for its background
// work still start settlements, and a sync.WaitGroup panics on that ("reused before previous Wait
// has returned").
func TestWorkMayStartWhileTheNodeWaitsForIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		work := newBackground()
		var finished atomic.Int64
		work.start(func() {
			time.Sleep(time.Second)
			work.start(func() {
				time.Sleep(time.Second)
				finished.Add(1)
			})
			finished.Add(1)
		})
		waiters := make(chan struct{}, 2)
		for range 2 {
			go func() {
				work.wait()
				waiters <- struct{}{}
			}()
		}
		<-waiters
		<-waiters
		assert.Equal(t, finished.Load(), int64(2))
	})
}
