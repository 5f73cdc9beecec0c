package accounts

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against counting lent tokens twice when both sides are closed: the borrower
// reported more usage than it was granted, and its lender's account forfeited the same
// tokens. A tenant with a limit of 10 million tokens had 8.9 million forfeited and 5.5
// million spent.
func TestBorrowedTokensAreNotForfeitedTwice(t *testing.T) {
	lender, borrower := HolderID{Node: "l", Incarnation: 1}, HolderID{Node: "b", Incarnation: 1}
	for _, order := range [][]HolderID{{lender, borrower}, {borrower, lender}} {
		root := New()
		root.SetLimit("t", 1000)
		root.ApplyReport(lender, Report{Budget: "t", Request: 1, Required: 200}, 0)
		root.ApplyReport(borrower, Report{Budget: "t", Request: 1, Required: 50}, 0)
		// The lender lent 100 tokens and spent all but 10 of the remaining 100.
		root.ApplyReport(lender, Report{Budget: "t", Settled: 90}, 0)
		root.ApplyReport(borrower, Report{Budget: "t", Settled: 150}, 0)
		for _, one := range order {
			root.Fence(one)
			assert.NilError(t, root.Close(one, nil, nil, true))
		}
		budget := root.Budget("t")
		assert.Equal(t, budget.Committed(), uint64(250))
		assert.Equal(t, budget.Spent(), uint64(240))
		assert.Equal(t, budget.Forfeited, int64(10))
	}
}
