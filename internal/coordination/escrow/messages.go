package escrow

import (
	"github.com/ravenway/ravenway/internal/state/accounts"
)

// ReportMessage goes from a holder to the root.
type ReportMessage struct {
	Holder  accounts.HolderID `msgpack:"h"`
	Reports []accounts.Report `msgpack:"r"`
	// Recalled are the recalls that these reports answer.
	Recalled []RecallMessage `msgpack:"c,omitempty"`
	// Allowances tells that the holder keeps to allowances, Heard the newest contact
	// that it has heard of, once they cover what it has used.
	Allowances bool             `msgpack:"m,omitempty"`
	Heard      accounts.Contact `msgpack:"k"`
}

// AnswerMessage goes from the root to a holder.
type AnswerMessage struct {
	Holder  accounts.HolderID `msgpack:"h"`
	Answers []Answer          `msgpack:"a"`
	// Contact is when the root decided, for holders that keep to allowances.
	Contact accounts.Contact `msgpack:"k"`
}

// Answer is the root's answer on one budget.
type Answer struct {
	accounts.Response
	// Unreached is the number of holders that hold a part of the budget and did
	// not answer a recall: a refusal may be for lack of reach.
	Unreached int `msgpack:"n,omitempty"`
}

// RecallMessage asks a holder to return its unused grant of a budget.
type RecallMessage struct {
	// Holder is the life that is asked; a later one ignores it.
	Holder accounts.HolderID `msgpack:"h"`
	Budget string            `msgpack:"b"`
	Number uint64            `msgpack:"n"`
	// Granted is the holder's cumulative grant: the recall may overtake the
	// answer that carried the last part of it.
	Granted uint64 `msgpack:"g"`
}

// StandingsMessage tells a holder how budgets stand that became short.
type StandingsMessage struct {
	Holder    accounts.HolderID `msgpack:"h"`
	Standings []Standing        `msgpack:"s"`
}

// LoanRequest asks another holder for a part of its unused grant.
type LoanRequest struct {
	Borrower accounts.HolderID `msgpack:"h"`
	Budget   string            `msgpack:"b"`
	Need     uint64            `msgpack:"n"`
}

// LendMessage is one step of a loan: one field is set. The borrower asks; the
// lender subtracts, has the loan agreed in a claim register of the zone, and
// only then tells the borrower, again and again until it has answered. So a
// loan is still known when both sides are lost together.
//
// A holder that stops out of the root's reach offers what it holds; who takes
// the offer asks for loans of it.
type LendMessage struct {
	Offer   *LoanOffer     `msgpack:"o,omitempty"`
	Request *LoanRequest   `msgpack:"q,omitempty"`
	Given   *accounts.Loan `msgpack:"g,omitempty"`
	Taken   *accounts.Loan `msgpack:"t,omitempty"`
}

// LoanOffer names what a holder has to lend.
type LoanOffer struct {
	Lender  accounts.HolderID `msgpack:"h"`
	Budgets []OfferedBudget   `msgpack:"b"`
}

// OfferedBudget is what is free of one budget, in tokens.
type OfferedBudget struct {
	Budget string `msgpack:"b"`
	Free   uint64 `msgpack:"f"`
}

// AccountsMessage is a message between a holder and the root: one field is set.
type AccountsMessage struct {
	Report *ReportMessage `msgpack:"r,omitempty"`
	Answer *AnswerMessage `msgpack:"a,omitempty"`
	Recall *RecallMessage `msgpack:"c,omitempty"`
	// Standings tells a holder how budgets stand.
	Standings *StandingsMessage `msgpack:"s,omitempty"`
}
