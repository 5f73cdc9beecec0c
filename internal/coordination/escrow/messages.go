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
}

// AnswerMessage goes from the root to a holder.
type AnswerMessage struct {
	Holder  accounts.HolderID `msgpack:"h"`
	Answers []Answer          `msgpack:"a"`
}

// Answer is the root's answer on one budget.
type Answer struct {
	accounts.Answer
	// Unreached is the number of holders that hold a part of the budget and did
	// not answer a recall: a refusal may be for lack of reach.
	Unreached int `msgpack:"n,omitempty"`
}

// RecallMessage asks a holder to return its unused grant of a budget.
type RecallMessage struct {
	Budget string `msgpack:"b"`
	Number uint64 `msgpack:"n"`
}

// LoanRequest asks another holder for a part of its unused grant.
type LoanRequest struct {
	Borrower accounts.HolderID `msgpack:"h"`
	Budget   string            `msgpack:"b"`
	Need     uint64            `msgpack:"n"`
}

// Loan says how much a holder has lent another one in all: the lender has
// subtracted it before this is sent.
type Loan struct {
	Lender accounts.HolderID `msgpack:"l"`
	// Borrower is the life that the loan was given to.
	Borrower accounts.HolderID `msgpack:"h"`
	Budget   string            `msgpack:"b"`
	Total    uint64            `msgpack:"t"`
}

// LendMessage carries either.
type LendMessage struct {
	Request *LoanRequest `msgpack:"q,omitempty"`
	Loan    *Loan        `msgpack:"l,omitempty"`
}
