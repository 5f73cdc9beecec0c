package balance

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against an instance whose connections are left unused while the node at which all requests arrive
// is refused.
func TestNodeUsesConnectionsThatOtherNodesLeaveUnused(t *testing.T) {
	limit := ConnectionLimit{Total: 80, Nodes: 8}
	maximum := func(others int, areKnown bool) int {
		own := 0
		for !limit.isReached(own, Load{Requests: others}, areKnown) {
			own++
		}
		return own
	}
	assert.Equal(t, maximum(0, true), 45, "an equal part of 10, and half of the rest")
	assert.Equal(t, maximum(30, true), 30)
	assert.Equal(t, maximum(70, true), 10, "no more than the equal part if the others use theirs")
	assert.Equal(t, maximum(200, true), 10)
	assert.Equal(t, maximum(0, false), 10, "no more than the equal part if the others are not known")
	assert.Assert(t, !ConnectionLimit{}.isReached(1000, Load{}, true))
	assert.Assert(t, !ConnectionLimit{Total: 1, Nodes: 100}.isReached(1, Load{}, true))
}

// Guards against an instance that gets more connections than it accepts: however many nodes need more than
// their equal part, their numbers settle below the limit.
func TestNodesTogetherSettleBelowTheLimitOfConnections(t *testing.T) {
	for _, nodes := range []int{3, 8, 71, 300} {
		for busy := 1; busy <= min(nodes, 20); busy++ {
			limit := ConnectionLimit{Total: 600, Nodes: nodes}
			own, total := make([]int, busy), 0
			for range 10 * limit.Total {
				for node := range own {
					others := total - own[node]
					if !limit.isReached(own[node], Load{Requests: others}, true) {
						own[node]++
						total++
					}
				}
			}
			assert.Assert(t, total <= limit.Total, "%d of %d nodes: %d connections", busy, nodes, total)
			assert.Assert(t, busy > 1 || total >= limit.Total/2, "one of %d nodes: %d connections", nodes, total)
		}
	}
}
