// Package pause waits for a time or for the end of a context.
package pause

import (
	"context"
	"time"
)

// For waits for a duration. It returns false as soon as the context ends.
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

// Ticks sends at each interval until the context ends. A tick that comes while the one
// before it waits is dropped.
//
// A goroutine of its own reads the ticker: in a testing/synctest bubble, tickers that fall
// due unread bring the race detector down.
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
