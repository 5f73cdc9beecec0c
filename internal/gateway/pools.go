package gateway

import (
	"maps"
	"slices"

	"github.com/ravenway/ravenway/internal/coordination/balance"
	"github.com/ravenway/ravenway/internal/coordination/escrow"
	"github.com/ravenway/ravenway/internal/coordination/membership"
)

// tokenPools determines which nodes hold the pooled tokens of a budget for their zone. All nodes
// agree on these pool holders without communication, by rendezvous hashing of the budget over the
// zone's entry nodes.
type tokenPools struct {
	self, zone string
	// zones are the entry nodes of the zones that are large enough for pools.
	zones map[string][]string
	// cachedHolders caches the pool holders by zone and budget.
	cachedHolders map[poolKey][]string
}

type poolKey struct{ zone, budget string }

// newTokenPools returns the pools as seen by the node self in zone, among the other entry nodes.
func newTokenPools(self, zone string, others []balance.EntryNode) *tokenPools {
	pools := &tokenPools{self: self, zone: zone, zones: map[string][]string{zone: {self}}, cachedHolders: map[poolKey][]string{}}
	for _, node := range others {
		pools.zones[node.Zone] = append(pools.zones[node.Zone], node.Address)
	}
	maps.DeleteFunc(pools.zones, func(_ string, nodes []string) bool { return len(nodes) < escrow.MinimumPoolNodes })
	return pools
}

// precedingHolders are the pool holders of this node's zone that rank before this node, in order.
func (p *tokenPools) precedingHolders(budget string) []string {
	holders := p.holders(p.zone, budget)
	if place := slices.Index(holders, p.self); place >= 0 {
		return holders[:place]
	}
	return holders
}

// remoteHolders are the first pool holders of the other zones, sorted by zone.
func (p *tokenPools) remoteHolders(budget string) []string {
	var remote []string
	for _, zone := range slices.Sorted(maps.Keys(p.zones)) {
		if holders := p.holders(zone, budget); zone != p.zone && len(holders) > 0 {
			remote = append(remote, holders[0])
		}
	}
	return remote
}

func (p *tokenPools) holders(zone, budget string) []string {
	key := poolKey{zone: zone, budget: budget}
	holders, known := p.cachedHolders[key]
	if !known {
		holders = membership.Rank(budget, p.zones[zone])
		holders = holders[:min(len(holders), escrow.PoolHolders)]
		p.cachedHolders[key] = holders
	}
	return holders
}
