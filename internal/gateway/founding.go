package gateway

import (
	"slices"
	"time"

	"github.com/ravenway/ravenway/internal/coordination/consensus"
)

// foundingPatience is how long the founder waits for all of the seeds before it
// goes on with more than half of them.
const foundingPatience = 4 * time.Second

// foundIfFirst founds the group at the first start of the whole system. All
// nodes then have the same seeds; the one with the lowest address founds, with
// every seed's replica as a voter from the start, so that nothing is ever
// acknowledged by one disk alone. At any other start an empty data folder
// waits to be taken in by the others' group.
func (r *replicaDuty) foundIfFirst() {
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
	if r.founding == 0 {
		r.founding = r.node.now()
	}
	founders := []consensus.Member{{ID: r.id, Node: r.node.address}}
	for _, known := range r.node.fleet.view.Load().alive {
		if known.HasGroup {
			// There is a group already: it takes this node in.
			return
		}
		if known.Replica != 0 && slices.Contains(seeds, known.Address) {
			founders = append(founders, consensus.Member{ID: consensus.ReplicaID(known.Replica), Node: known.Address})
		}
	}
	isPatient := r.node.now()-r.founding < foundingPatience
	if len(founders) < len(seeds) && (isPatient || len(founders) <= len(seeds)/2) {
		return
	}
	r.found(founders)
}

func (r *replicaDuty) found(founders []consensus.Member) {
	if err := r.replica.Close(); err != nil {
		r.fail(err)
		return
	}
	founded, err := r.open(founders)
	if err != nil {
		r.replica = nil
		r.failedAt = r.node.now()
		r.node.log.Error().Str("event", "group_not_founded").Err(err).Send()
		return
	}
	r.replica = founded
	r.node.log.Info().Str("event", "group_founded").Int("voters", len(founders)).Send()
}
