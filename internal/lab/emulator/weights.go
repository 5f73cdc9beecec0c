package emulator

import (
	"sync"
	"time"
)

// WeightStore is the rate-limited store that engines load weights from. Concurrent loads run one
// after the other at the full rate.
type WeightStore struct {
	mutex  sync.Mutex
	freeAt time.Time
	// delayedLoads counts the loads that had to wait for another load.
	delayedLoads int
}

// reserve queues a load that takes duration if no other load runs, and returns the time until its
// end. A nil store has no limit.
func (w *WeightStore) reserve(duration time.Duration) time.Duration {
	if w == nil {
		return duration
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	now := time.Now()
	if w.freeAt.After(now) {
		w.delayedLoads++
	} else {
		w.freeAt = now
	}
	w.freeAt = w.freeAt.Add(duration)
	return w.freeAt.Sub(now)
}

// DelayedLoads returns the number of loads that had to wait for another load.
func (w *WeightStore) DelayedLoads() int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.delayedLoads
}
