package gateway

import (
	"maps"
	"slices"

	"github.com/ravenway/ravenway/internal/coordination/balance"
	"github.com/ravenway/ravenway/internal/coordination/escrow"
	"github.com/ravenway/ravenway/internal/coordination/membership"
)

// tokenPools tells which nodes hold a budget for their zone: all nodes agree on them
// without talk, by rendezvous hashing of the budget over the zone's entry nodes.
type tokenPools struct {
	self, zone string
	// zones are the entry nodes of the zones that are large enough for pools.
	zones map[string][]string
	// chosen are the pool holders by zone and budget that were asked for.
	chosen map[poolKey][]string
}

type poolKey struct{ zone, budget string }

// newTokenPools makes the pools of a node among other entry nodes.
func newTokenPools(self, zone string, others []balance.EntryNode) *tokenPools {
	pools := &tokenPools{self: self, zone: zone, zones: map[string][]string{zone: {self}}, chosen: map[poolKey][]string{}}
	for _, node := range others {
		pools.zones[node.Zone] = append(pools.zones[node.Zone], node.Address)
	}
	maps.DeleteFunc(pools.zones, func(_ string, nodes []string) bool { return len(nodes) < escrow.MinimumPoolNodes })
	return pools
}

// before are the own zone's pool holders that come before this node, in order.
func (p *tokenPools) before(budget string) []string {
	holders := p.holders(p.zone, budget)
	if place := slices.Index(holders, p.self); place >= 0 {
		return holders[:place]
	}
	return holders
}

// far are the first pool holders of the other zones.
func (p *tokenPools) far(budget string) []string {
	var far []string
	for _, zone := range slices.Sorted(maps.Keys(p.zones)) {
		if holders := p.holders(zone, budget); zone != p.zone && len(holders) > 0 {
			far = append(far, holders[0])
		}
	}
	return far
}

func (p *tokenPools) holders(zone, budget string) []string {
	key := poolKey{zone: zone, budget: budget}
	holders, known := p.chosen[key]
	if !known {
		holders = membership.Rank(budget, p.zones[zone])
		holders = holders[:min(len(holders), escrow.PoolHolders)]
		p.chosen[key] = holders
	}
	return holders
}
