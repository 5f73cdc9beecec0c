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
