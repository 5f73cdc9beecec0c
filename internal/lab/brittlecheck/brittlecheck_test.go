package brittlecheck

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestEngineCrashesByMoreRejectionsThanItSurvives(t *testing.T) {
	var rejections Rejections
	assert.Assert(t, !rejections.Add(0, 2))
	assert.Assert(t, !rejections.Add(900*time.Millisecond, 2))
	assert.Assert(t, !rejections.Add(time.Second, 2))
	assert.Assert(t, rejections.Add(1100*time.Millisecond, 2))
	var none Rejections
	assert.Assert(t, none.Add(0, 0))
	assert.Equal(t, Allowed(12), 3)
	assert.Equal(t, Allowed(3), 2)
}
