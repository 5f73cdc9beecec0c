package accounts

import (
	"testing"

	"gotest.tools/v3/assert"
)

// The finding of the grown zhf trouble-1: a tenant with a limit of 10 million
// tokens had 8.9 million of them forfeited and 5.5 million spent. Whoever spent
// borrowed tokens reported more than it was granted, and its lender's account
// counted the same tokens as not known to be spent.
func TestBorrowedTokensAreNotForfeitedTwice(t *testing.T) {
	lender, borrower := HolderID{Node: "l", Incarnation: 1}, HolderID{Node: "b", Incarnation: 1}
	for _, order := range [][]HolderID{{lender, borrower}, {borrower, lender}} {
		all := New()
		all.SetLimit("t", 1000)
		all.Take(lender, Report{Budget: "t", Request: 1, Need: 200}, 0)
		all.Take(borrower, Report{Budget: "t", Request: 1, Need: 50}, 0)
		// 100 of the lender's tokens are lent; all but 10 of its own are spent.
		all.Take(lender, Report{Budget: "t", Settled: 90}, 0)
		all.Take(borrower, Report{Budget: "t", Settled: 150}, 0)
		for _, one := range order {
			all.Fence(one)
			assert.NilError(t, all.Close(one, nil, nil, true))
		}
		budget := all.Budget("t")
		assert.Equal(t, budget.Committed(), uint64(250))
		assert.Equal(t, budget.Spent(), uint64(240))
		assert.Equal(t, budget.Forfeited, int64(10))
	}
}
