package bounded

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestSetAddsEachKeyOnceUntilItIsFull(t *testing.T) {
	set := NewSet[string](2)
	assert.Assert(t, set.Add("a"))
	assert.Assert(t, !set.Add("a"))
	assert.Assert(t, set.Add("b"))
	assert.Assert(t, set.IsFull())
	assert.Assert(t, !set.Add("c"))
	set.Remove("a")
	assert.Assert(t, !set.Contains("a"))
	assert.Assert(t, set.Add("c"))
	assert.Equal(t, set.Len(), 2)
}
