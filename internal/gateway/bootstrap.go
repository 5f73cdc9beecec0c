package gateway

import (
	"slices"
	"time"

	"github.com/ravenway/ravenway/internal/coordination/consensus"
)

// bootstrapTimeout is how long the bootstrapping node waits for all seeds before it proceeds with
// more than half of them.
const bootstrapTimeout = 4 * time.Second

// bootstrapIfFirst bootstraps the control group at the first start of the fleet. All nodes then
// have the same seeds. The seed with the lowest address creates the group, with every seed's
// replica as a voter from the beginning, so that no entry is ever acknowledged by a single disk. At
// any other start, a node with an empty data folder waits to be added to the existing group.
func (r *replicaDuty) bootstrapIfFirst() {
	current := r.node.settings.Load()
	if !current.Fleet.FirstStart {
		return
	}
	seeds := seedAddresses(current)
	slices.Sort(seeds)
	seeds = slices.Compact(seeds)
	if len(seeds) == 0 || seeds[0] != r.node.address {
		return
	}
	if r.bootstrapSince == 0 {
		r.bootstrapSince = r.node.now()
	}
	members := []consensus.Member{{ID: r.id, Node: r.node.address}}
	for _, known := range r.node.fleet.view.Load().alive {
		if known.HasGroup {
			// A group exists already and will add this node.
			return
		}
		if known.Replica != 0 && slices.Contains(seeds, known.Address) {
			members = append(members, consensus.Member{ID: consensus.ReplicaID(known.Replica), Node: known.Address})
		}
	}
	mayWait := r.node.now()-r.bootstrapSince < bootstrapTimeout
	if len(members) < len(seeds) && (mayWait || len(members) <= len(seeds)/2) {
		return
	}
	r.bootstrap(members)
}

func (r *replicaDuty) bootstrap(members []consensus.Member) {
	if err := r.replica.Close(); err != nil {
		r.fail(err)
		return
	}
	opened, err := r.open(members)
	if err != nil {
		r.replica = nil
		r.failedAt = r.node.now()
		r.node.log.Error().Str("event", "group_not_founded").Err(err).Send()
		return
	}
	r.replica = opened
	r.node.log.Info().Str("event", "group_founded").Int("voters", len(members)).Send()
}
