package evacuation

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestEvacuationsApplyInOrderAndRepeatedOnesChangeNothing(t *testing.T) {
	var none Zones
	both := none.Set(4, "b", true).Set(7, "a", true)
	assert.DeepEqual(t, both, Zones{Revision: 7, Names: []string{"a", "b"}})
	assert.DeepEqual(t, both.Set(9, "a", true), both)
	assert.DeepEqual(t, both.Set(9, "c", false), both)
	remaining := both.Set(10, "a", false)
	assert.Assert(t, remaining.Contains("b") && !remaining.Contains("a") && remaining.Supersedes(both))
	assert.DeepEqual(t, both.Names, []string{"a", "b"})
}
