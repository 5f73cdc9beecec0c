package pause

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// For must create no timer for a duration of 0: in simulations of a whole fleet in virtual time,
// timers that fired on creation occasionally crashed the test process.
func TestForCreatesNoTimerForZeroDurationAndFailsOnceTheContextHasEnded(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	assert.Assert(t, For(ctx, 0))
	assert.Equal(t, testing.AllocsPerRun(10, func() { For(ctx, 0) }), 0.0)
	cancel()
	assert.Assert(t, !For(ctx, 0))
	assert.Assert(t, !For(ctx, time.Hour))
}
