package emulator

import (
	"sync"
	"time"
)

// WeightStore is the rate-limited store that engines load from: loads that
// overlap share its rate, so each waits for those before it.
type WeightStore struct {
	mutex  sync.Mutex
	freeAt time.Time
	// waiting counts the loads that had to wait for another one.
	waiting int
}

// reserve returns how long a load takes from now. A nil store has no limit.
func (w *WeightStore) reserve(alone time.Duration) time.Duration {
	if w == nil {
		return alone
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	now := time.Now()
	if w.freeAt.After(now) {
		w.waiting++
	} else {
		w.freeAt = now
	}
	w.freeAt = w.freeAt.Add(alone)
	return w.freeAt.Sub(now)
}

// Waiting is the number of loads that had to wait for another one.
func (w *WeightStore) Waiting() int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.waiting
}
