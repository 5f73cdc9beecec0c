package gateway

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ravenway/ravenway/internal/coordination/balance"
	"github.com/ravenway/ravenway/internal/coordination/escrow"
)

func entryNodes(zones map[string]int) []balance.EntryNode {
	var nodes []balance.EntryNode
	for zone, count := range zones {
		for number := range count {
			nodes = append(nodes, balance.EntryNode{Address: fmt.Sprintf("%s-%d", zone, number), Zone: zone})
		}
	}
	return nodes
}

func withoutNode(nodes []balance.EntryNode, address string) []balance.EntryNode {
	return slices.DeleteFunc(slices.Clone(nodes), func(node balance.EntryNode) bool { return node.Address == address })
}

func TestAllNodesAgreeOnPoolHolders(t *testing.T) {
	nodes := entryNodes(map[string]int{"a": 60, "b": 50, "c": escrow.MinimumPoolNodes - 1})
	agreed := map[string]string{}
	holds := map[string]int{}
	for _, node := range nodes {
		pools := newTokenPools(node.Address, node.Zone, withoutNode(nodes, node.Address))
		for number := range 40 {
			budget := fmt.Sprint("tenant-", number)
			before := pools.precedingHolders(budget)
			switch {
			case node.Zone == "c":
				assert.Equal(t, len(before), 0)
			case len(before) == 0:
				holds[node.Zone+budget]++
				assert.Equal(t, len(pools.remoteHolders(budget)), 1)
			default:
				key := node.Zone + budget
				assert.Assert(t, agreed[key] == "" || agreed[key] == before[0])
				agreed[key] = before[0]
				assert.Assert(t, before[0] != node.Address)
			}
		}
	}
	for key, count := range holds {
		assert.Equal(t, count, 1, "%s has %d first pool holders", key, count)
	}
	assert.Equal(t, len(holds), 80)
}

// If a pool holder is gone, its budgets must move to the second pool holder, and no other budget
// may move.
func TestLostPoolHolderIsFollowedByTheSecond(t *testing.T) {
	nodes := entryNodes(map[string]int{"a": 60})
	for number := range 40 {
		budget := fmt.Sprint("tenant-", number)
		before := newTokenPools("b-1", "b", nodes)
		first := before.holders("a", budget)
		after := newTokenPools("b-1", "b", withoutNode(nodes, first[0]))
		assert.Equal(t, after.holders("a", budget)[0], first[1])
	}
}
