package evacuation

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestOrdersTakeEffectInTheirOrderAndTwiceTheSameChangesNothing(t *testing.T) {
	var none Zones
	both := none.Set(4, "b", true).Set(7, "a", true)
	assert.DeepEqual(t, both, Zones{Revision: 7, Names: []string{"a", "b"}})
	assert.DeepEqual(t, both.Set(9, "a", true), both)
	assert.DeepEqual(t, both.Set(9, "c", false), both)
	left := both.Set(10, "a", false)
	assert.Assert(t, left.Contains("b") && !left.Contains("a") && left.Supersedes(both))
	assert.DeepEqual(t, both.Names, []string{"a", "b"})
}
