package escrow

import (
	"github.com/ravenway/ravenway/internal/state/accounts"
)

// ReportMessage goes from a holder to the root.
type ReportMessage struct {
	Holder  accounts.HolderID `msgpack:"h"`
	Reports []accounts.Report `msgpack:"r"`
	// Recalled holds the recalls that these reports respond to.
	Recalled []RecallMessage `msgpack:"c,omitempty"`
	// Allowances reports whether the holder respects allowances, which limit the use of its grants
	// (accounts.Allowance). LastContact is the holder's newest contact with the root up to which
	// its allowances cover all its use.
	Allowances  bool             `msgpack:"m,omitempty"`
	LastContact accounts.Contact `msgpack:"k"`
}

// ResponseMessage goes from the root to a holder.
type ResponseMessage struct {
	Holder    accounts.HolderID `msgpack:"h"`
	Responses []Response        `msgpack:"a"`
	// Contact is the leader's clocks when the root decided, for holders that respect allowances;
	// else it is zero.
	Contact accounts.Contact `msgpack:"k"`
}

// Response is the root's response on one budget.
type Response struct {
	accounts.Response
	// Unreached is the number of holders that hold a part of the budget and did not respond to a
	// recall. If it is above 0, a refusal may be due to a partition rather than to a spent budget.
	Unreached int `msgpack:"n,omitempty"`
}

// RecallMessage asks a holder to return its unused grant of a budget.
type RecallMessage struct {
	// Holder is the incarnation that the recall is for; a later one ignores it.
	Holder accounts.HolderID `msgpack:"h"`
	Budget string            `msgpack:"b"`
	Number uint64            `msgpack:"n"`
	// Granted is the holder's cumulative grant, because the recall may overtake the response that
	// carries the last part of it.
	Granted uint64 `msgpack:"g"`
}

// SummariesMessage carries to a holder the summaries of budgets that have become short.
type SummariesMessage struct {
	Holder    accounts.HolderID `msgpack:"h"`
	Summaries []BudgetSummary   `msgpack:"s"`
}

// LoanRequest asks another holder for a part of its unused grant.
type LoanRequest struct {
	Borrower accounts.HolderID `msgpack:"h"`
	Budget   string            `msgpack:"b"`
	Required uint64            `msgpack:"n"`
}

// LoanMessage is one step of a loan: one field is set. The borrower sends a Request. The lender
// subtracts the loan, has it agreed in a claim register of the zone (package claims), and only then
// sends it as Loan, repeatedly until the borrower has confirmed it with Confirmed. So a loan is still
// known when both sides are lost together. Nodes without claim registers skip the agreement: there a
// loan stays charged to the lender's grant.
//
// A holder that stops while it can't reach the root sends an Offer of what it holds; the receiver
// requests loans of it.
type LoanMessage struct {
	Offer     *LoanOffer     `msgpack:"o,omitempty"`
	Request   *LoanRequest   `msgpack:"q,omitempty"`
	Loan      *accounts.Loan `msgpack:"g,omitempty"`
	Confirmed *accounts.Loan `msgpack:"t,omitempty"`
}

// LoanOffer lists what a holder can lend.
type LoanOffer struct {
	Lender  accounts.HolderID `msgpack:"h"`
	Budgets []OfferedBudget   `msgpack:"b"`
}

// OfferedBudget is what a holder offers of one budget: its free tokens.
type OfferedBudget struct {
	Budget string `msgpack:"b"`
	Free   uint64 `msgpack:"f"`
}

// AccountsMessage is a message between a holder and the root: one field is set.
type AccountsMessage struct {
	Report   *ReportMessage   `msgpack:"r,omitempty"`
	Response *ResponseMessage `msgpack:"a,omitempty"`
	Recall   *RecallMessage   `msgpack:"c,omitempty"`
	// Summaries carries summaries of budgets to a holder.
	Summaries *SummariesMessage `msgpack:"s,omitempty"`
}
