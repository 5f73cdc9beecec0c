package accounts

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against counting lent tokens as outstanding after the borrower has used them: an
// exhausted budget seemed to have 76,000 tokens outstanding for ten seconds, and its callers
// were told to retry.
func TestLentTokensThatTheBorrowerUsedAreNotOutstanding(t *testing.T) {
	root := New()
	root.SetLimit("b", 100)
	lender, borrower := HolderID{Node: "lender", Incarnation: 1}, HolderID{Node: "borrower", Incarnation: 1}
	assert.Equal(t, root.ApplyReport(lender, Report{Budget: "b", Request: 1, Required: 100, Expected: 100}, 100).Granted, uint64(100))
	// The lender uses 60 and lends 40; the root does not know of the loan.
	root.ApplyReport(lender, Report{Budget: "b", Settled: 60}, 0)
	assert.Equal(t, root.ApplyReport(borrower, Report{Budget: "b", Settled: 25}, 0).Outstanding, uint64(15))
	assert.Equal(t, root.ApplyReport(borrower, Report{Budget: "b", Settled: 40}, 0).Outstanding, uint64(0))
}
