// Package pause provides waits and ticks that end with a context.
package pause

import (
	"context"
	"time"
)

// For waits for a duration. It returns false immediately when the context ends.
func For(ctx context.Context, duration time.Duration) bool {
	if duration <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// Ticks returns a channel that receives a value at each interval until the context ends. A tick is
// dropped if the one before it has not been read.
//
// A separate goroutine reads the ticker: in a testing/synctest bubble, tickers that fall due while
// no goroutine reads them crash the race detector.
func Ticks(ctx context.Context, interval time.Duration) <-chan struct{} {
	ticks := make(chan struct{}, 1)
	go func() {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
			select {
			case ticks <- struct{}{}:
			default:
			}
		}
	}()
	return ticks
}
