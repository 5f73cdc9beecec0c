package escrow

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ravenway/ravenway/internal/state/accounts"
	"github.com/ravenway/ravenway/internal/state/machine"
)

// group is a root and some holders of one budget without a network.
type group struct {
	accounts *accounts.Accounts
	root     *Root
	holders  map[string]*Holder
}

func newGroup(limit uint64, count int) *group {
	made := &group{accounts: rootWith(limit), holders: map[string]*Holder{}}
	made.root = NewRoot(RootOptions{
		HoldersOf: func(string) []accounts.Holder {
			var open []accounts.Holder
			for _, one := range made.accounts.Budget("b").OpenHolders() {
				open = append(open, *one)
			}
			return open
		},
		Reply:      func(to string, message AnswerMessage) { made.holders[to].Take(0, message) },
		Recall:     func(to string, message RecallMessage) { made.holders[to].Recall(message) },
		StandingOf: func(name string) Standing { return StandingOf(made.accounts.Budget(name)) },
		Tell:       func(to string, message StandingsMessage) { made.holders[to].TakeStandings(message) },
	})
	for number := range count {
		name := fmt.Sprintf("n%d", number)
		made.holders[name] = NewHolder(HolderOptions{ID: accounts.HolderID{Node: name, Incarnation: 1}})
	}
	return made
}

// step lets all holders report and the root answer.
func (g *group) step(now time.Duration) {
	for _, holder := range g.holders {
		holder.Tick(now)
		if report, due := holder.Report(now); due {
			g.root.Take(report)
		}
	}
	if batch, found := g.root.Batch(); found {
		var answers [][]accounts.Response
		for _, one := range batch.Command.Reports {
			var given []accounts.Response
			for _, report := range one.Reports {
				given = append(given, g.accounts.ApplyReport(one.Holder, report, 0))
			}
			answers = append(answers, given)
		}
		g.root.Applied(now, batch, machine.Result{Responses: answers})
	}
	g.root.Tick(now)
}

// spend reserves and settles at one holder, and steps until it is served.
func (g *group) spend(t *testing.T, now time.Duration, name string, amount uint64) {
	t.Helper()
	served := false
	holder := g.holders[name]
	holder.Reserve(now, now+time.Hour, "b", amount, Policy{}, func(given Reservation, err error) {
		assert.NilError(t, err)
		served = true
		holder.Settle(now, given, amount)
	})
	for range 4 {
		g.step(now)
	}
	assert.Assert(t, served)
}

// The finding of drukwacht trouble-1 and of the grown sites: holders without
// requests reported nothing, and held for good what was their part when most of
// the budget was unspent. A final fault then took half of what was left.
func TestIdleHoldersGiveBackWhenTheBudgetBecomesShort(t *testing.T) {
	g := newGroup(1_000_000, 8)
	now := time.Second
	for name := range g.holders {
		g.spend(t, now, name, 20_000)
	}
	for second := range 25 {
		now = time.Duration(second+2) * time.Second
		g.spend(t, now, "n0", 28_000)
		g.step(now + 500*time.Millisecond)
	}
	budget := g.accounts.Budget("b")
	unspent := budget.Remaining() + budget.Outstanding()
	held := uint64(0)
	for _, holder := range g.holders {
		held += holder.Free("b")
	}
	assert.Assert(t, unspent < 200_000, "%d are unspent", unspent)
	assert.Assert(t, held <= unspent/8, "%d of %d unspent tokens are held ahead of demand", held, unspent)
}

// A holder with most of the demand has most of what may be held, whatever the
// number of those that hold a little.
func TestPartsOfAShortBudgetFollowDemand(t *testing.T) {
	g := newGroup(1_000_000, 8)
	now := time.Second
	for name := range g.holders {
		g.spend(t, now, name, 4_000)
	}
	for second := range 10 {
		now = time.Duration(second+2) * time.Second
		g.spend(t, now, "n0", 40_000)
		g.step(now + 500*time.Millisecond)
	}
	budget := g.accounts.Budget("b")
	most := Standing{Limit: budget.Limit, Unspent: budget.Remaining() + budget.Outstanding()}.most(false)
	assert.Assert(t, float64(g.holders["n0"].Free("b")) > 0.5*most, "%d of at most %.0f", g.holders["n0"].Free("b"), most)
}

func TestPartOfALongBudgetIsTheWish(t *testing.T) {
	standing := Standing{Limit: 1_000_000, Unspent: 900_000, Wished: 200_000}
	assert.Equal(t, standing.part(50_000, false), uint64(50_000))
	standing.Unspent = 200_000
	assert.Assert(t, standing.part(50_000, false) < 10_000)
	assert.Equal(t, Standing{}.part(5, false), uint64(0))
}
