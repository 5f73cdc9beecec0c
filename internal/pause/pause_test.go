package pause

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// No timer is made for no time: in a whole fleet's virtual time one that had fired as it
// was made brought the test's process down now and then.
func TestPauseForNoTimeIsOverAtOnceUnlessTheContextHasEnded(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	assert.Assert(t, For(ctx, 0))
	assert.Equal(t, testing.AllocsPerRun(10, func() { For(ctx, 0) }), 0.0)
	cancel()
	assert.Assert(t, !For(ctx, 0))
	assert.Assert(t, !For(ctx, time.Hour))
}
