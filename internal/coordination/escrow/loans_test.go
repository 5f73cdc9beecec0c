package escrow

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ravenway/ravenway/internal/state/accounts"
)

func partitionedHolder(lenders int) *Holder {
	options := HolderOptions{
		ID: accounts.HolderID{Node: "n", Incarnation: 1}, ResponseTimeout: 50 * time.Millisecond,
		RootReachable: func() bool { return false },
	}
	for number := range lenders {
		options.Lenders = append(options.Lenders, fmt.Sprintf("m%d", number))
	}
	return NewHolder(options)
}

func countLoanRequests(holder *Holder) int {
	count := 0
	for _, outgoing := range holder.TakeOutgoingLoans() {
		if outgoing.Message.Request != nil {
			count++
		}
	}
	return count
}

// Guards against a wait of 50 to 90 ms before each request's first loan request, though the root is
// known to be unreachable.
func TestLoansAreRequestedImmediatelyWhenTheRootIsKnownToBeUnreachable(t *testing.T) {
	holder := partitionedHolder(3)
	holder.Reserve(time.Second, 2*time.Second, "b", 10, Policy{}, func(Reservation, error) {})
	assert.Equal(t, countLoanRequests(holder), 3)
}

// Guards against requests to all neighbours at the same time: with 85 nodes, each request in a partition
// would send 84 loan requests immediately.
func TestLoansAreRequestedInRounds(t *testing.T) {
	holder := partitionedHolder(84)
	now := time.Second
	refused := false
	holder.Reserve(now, now+time.Second, "b", 10, Policy{}, func(_ Reservation, err error) { refused = err != nil })
	assert.Equal(t, countLoanRequests(holder), 8)
	var rounds []int
	for !refused {
		now += loanRoundTime
		holder.Tick(now)
		if count := countLoanRequests(holder); count > 0 {
			rounds = append(rounds, count)
		}
	}
	assert.DeepEqual(t, rounds, []int{16, 48, 12})
}

// Guards against a recall from all holders at every refusal of a spent budget, which is a high load with
// many nodes.
func TestBudgetRecalledWithoutSuccessIsNotRecalledAgainImmediately(t *testing.T) {
	g := newGroup(100_000, 8)
	g.root.options.RecallInterval = 500 * time.Millisecond
	recalls := 0
	recall := g.root.options.Recall
	g.root.options.Recall = func(to string, message RecallMessage) {
		recalls++
		recall(to, message)
	}
	now := time.Second
	for name := range g.holders {
		g.spend(t, now, name, 12_000)
	}
	request := func() (refused bool) {
		g.holders["n0"].Reserve(now, now+time.Hour, "b", 50_000, Policy{}, func(_ Reservation, err error) { refused = err != nil })
		for range 4 {
			g.step(now)
		}
		return refused
	}
	assert.Assert(t, request())
	first := recalls
	assert.Assert(t, first > 0)
	now += 100 * time.Millisecond
	assert.Assert(t, request())
	assert.Equal(t, recalls, first)
	now += time.Second
	assert.Assert(t, request())
	assert.Assert(t, recalls > first)
}
