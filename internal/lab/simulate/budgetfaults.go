package simulate

import (
	"time"

	"github.com/ravenway/ravenway/internal/coordination/escrow"
	"github.com/ravenway/ravenway/internal/state/accounts"
)

func (s *BudgetSimulation) injectFault() {
	if s.isSettling {
		return
	}
	s.world.After(s.world.Between(3*time.Second, 8*time.Second), s.injectFault)
	if s.world.Chance(0.5) {
		s.partitionZone()
		return
	}
	node := s.nodes[s.names[s.world.Random.IntN(len(s.names))]]
	if node.isDown {
		return
	}
	s.world.Fault("restart")
	s.kill(node)
	s.world.After(s.world.Between(100*time.Millisecond, 3*time.Second), func() { s.boot(node) })
}

// partitionZone separates one zone from the others and from the root.
func (s *BudgetSimulation) partitionZone() {
	if s.partitionedZone != "" {
		return
	}
	s.world.Fault("zone cut")
	s.partitionedZone = []string{"a", "b", "c"}[s.world.Random.IntN(3)]
	var inside, outside []string
	for _, name := range s.names {
		if s.nodes[name].zone == s.partitionedZone {
			inside = append(inside, name)
		} else {
			outside = append(outside, name)
		}
	}
	s.network.Partition(inside, append(outside, rootName))
	duration := s.world.Between(2*time.Second, 15*time.Second)
	s.disturbedUntil = s.world.Now + duration + 5*time.Second
	s.world.After(duration, s.healPartition)
	if s.options.Policy == PolicyGrantOnTimeout {
		s.world.After(time.Second, func() { s.returnUnreachableGrants(inside) })
	}
}

// returnUnreachableGrants is the deliberate defect of PolicyGrantOnTimeout: it takes back the grants
// of nodes that are unreachable.
func (s *BudgetSimulation) returnUnreachableGrants(unreachable []string) {
	budget := s.accounts.Budget(budgetName)
	for _, holder := range budget.OpenHolders() {
		for _, name := range unreachable {
			if holder.ID.Node == name && holder.Outstanding() > 0 {
				budget.Returned += holder.Outstanding()
				holder.Returned += holder.Outstanding()
			}
		}
	}
}

func (s *BudgetSimulation) healPartition() {
	s.partitionedZone = ""
	s.network.Heal()
}

func (s *BudgetSimulation) kill(node *budgetNode) {
	node.incarnation++
	node.isDown = true
	s.crashed = append(s.crashed, crashedIncarnation{id: node.holder.ID(), running: node.running})
	s.disturbedUntil = max(s.disturbedUntil, s.world.Now+8*time.Second)
}

// closeCrashed fences crashed incarnations and closes their accounts once their requests have ended
// and all nodes have responded, as the daemon's reclaim does.
func (s *BudgetSimulation) closeCrashed() {
	kept := s.crashed[:0]
	for _, crashed := range s.crashed {
		s.accounts.Fence(crashed.id)
		if s.partitionedZone != "" || !s.tryClose(crashed) {
			kept = append(kept, crashed)
		}
	}
	s.crashed = kept
}

func (s *BudgetSimulation) tryClose(crashed crashedIncarnation) bool {
	use := accounts.FinalUse{Budget: budgetName}
	var loans []accounts.Loan
	for _, name := range s.names {
		node := s.nodes[name]
		if node.isDown {
			return false
		}
		loans = append(loans, node.holder.LoansWith(crashed.id)...)
	}
	var watermark uint64
	if account := s.accounts.Budget(budgetName).Holders[crashed.id]; account != nil {
		watermark = account.Watermark
	}
	for sequence, request := range crashed.running {
		if !request.ended {
			return false
		}
		if sequence > watermark {
			use.Tokens += request.used
		}
	}
	s.check(s.accounts.Close(crashed.id, []accounts.FinalUse{use}, escrow.MergeLoans(s.loansOf(crashed.id), loans), false))
	s.checkConservation("closing " + crashed.id.String())
	return true
}
