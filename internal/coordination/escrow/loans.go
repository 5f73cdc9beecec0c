package escrow

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/ravenway/ravenway/internal/state/accounts"
)

// loanResend is the time after which a loan that its borrower has not confirmed is sent again.
const loanResend = 2 * time.Second

// loanState is what a holder has lent to another one of a budget, in tokens.
type loanState struct {
	// total is subtracted from the lender's free tokens, agreed is agreed in the claim register, and
	// confirmed is confirmed by the borrower. All are cumulative.
	total, agreed, confirmed uint64
	sentAt                   time.Duration
}

// loanTo returns the loan to another holder, and creates an empty one on first use.
func (a *account) loanTo(borrower accounts.HolderID) *loanState {
	state := a.lent[borrower]
	if state == nil {
		state = &loanState{}
		a.lent[borrower] = state
	}
	return state
}

// Lend subtracts a loan for another holder: what it requires if that much is free, else half of what
// is free. It reports whether there is a loan to agree; the caller has it agreed in the claim register
// and then calls LoanAgreed.
func (h *Holder) Lend(request LoanRequest, fenced func(accounts.HolderID) bool) (accounts.Loan, bool) {
	budgetAccount := h.accounts[request.Budget]
	if budgetAccount == nil || h.closed || request.Borrower.Node == h.options.ID.Node || fenced(request.Borrower) {
		return accounts.Loan{}, false
	}
	state := budgetAccount.loanTo(request.Borrower)
	if len(budgetAccount.waiters) == 0 {
		lend := min(request.Required, budgetAccount.free()/2)
		if request.Required <= budgetAccount.free() {
			lend = request.Required
		}
		state.total += lend
	}
	loan := accounts.Loan{Lender: h.options.ID, Borrower: request.Borrower, Budget: request.Budget, Total: state.total}
	return loan, state.total > state.agreed
}

// Offer offers all that is free to another holder's node, for a planned stop while the root is
// unreachable. It returns false if there is nothing to offer.
func (h *Holder) Offer(to string) bool {
	offer := &LoanOffer{Lender: h.options.ID}
	for _, name := range h.names {
		if free := h.accounts[name].free(); free > 0 {
			offer.Budgets = append(offer.Budgets, OfferedBudget{Budget: name, Free: free})
		}
	}
	if len(offer.Budgets) == 0 {
		return false
	}
	h.outgoingLoans = append(h.outgoingLoans, OutgoingLoan{To: to, Message: LoanMessage{Offer: offer}})
	return true
}

// HandleOffer requests loans of all that is offered.
func (h *Holder) HandleOffer(offer LoanOffer) {
	if h.closed {
		return
	}
	for _, offered := range offer.Budgets {
		request := &LoanRequest{Borrower: h.options.ID, Budget: offered.Budget, Required: offered.Free}
		h.outgoingLoans = append(h.outgoingLoans, OutgoingLoan{To: offer.Lender.Node, Message: LoanMessage{Request: request}})
	}
}

// LoansConfirmed reports whether borrowers have confirmed all that was lent.
func (h *Holder) LoansConfirmed() bool {
	for _, budgetAccount := range h.accounts {
		for _, state := range budgetAccount.lent {
			if state.confirmed < state.total {
				return false
			}
		}
	}
	return true
}

// LoanAgreed records that a loan is in its claim register, and sends it to the borrower. A node without
// claim registers calls it immediately.
func (h *Holder) LoanAgreed(now time.Duration, loan accounts.Loan) {
	budgetAccount := h.accounts[loan.Budget]
	if loan.Lender != h.options.ID || budgetAccount == nil || budgetAccount.lent[loan.Borrower] == nil {
		return
	}
	state := budgetAccount.lent[loan.Borrower]
	state.agreed = max(state.agreed, loan.Total)
	h.sendLoan(now, budgetAccount, loan.Borrower, state)
}

func (h *Holder) sendLoan(now time.Duration, budgetAccount *account, borrower accounts.HolderID, state *loanState) {
	state.sentAt = now
	loan := accounts.Loan{Lender: h.options.ID, Borrower: borrower, Budget: budgetAccount.name, Total: state.agreed}
	h.outgoingLoans = append(h.outgoingLoans, OutgoingLoan{To: borrower.Node, Message: LoanMessage{Loan: &loan}})
}

// resendLoans resends the loans that a borrower has not confirmed.
func (h *Holder) resendLoans(now time.Duration, budgetAccount *account) {
	for _, borrower := range slices.SortedFunc(maps.Keys(budgetAccount.lent), accounts.HolderID.Compare) {
		state := budgetAccount.lent[borrower]
		if state.agreed > state.confirmed && now-state.sentAt >= loanResend {
			h.sendLoan(now, budgetAccount, borrower, state)
		}
	}
}

// LoanConfirmed records a borrower's confirmation.
func (h *Holder) LoanConfirmed(loan accounts.Loan) {
	budgetAccount := h.accounts[loan.Budget]
	if loan.Lender != h.options.ID || budgetAccount == nil || budgetAccount.lent[loan.Borrower] == nil {
		return
	}
	state := budgetAccount.lent[loan.Borrower]
	state.confirmed = max(state.confirmed, loan.Total)
}

// HandleLoan adds what another holder has lent, and confirms it. It ignores a loan of an incarnation
// that is fenced here: what this node reported of it was final.
func (h *Holder) HandleLoan(now time.Duration, loan accounts.Loan, fenced func(accounts.HolderID) bool) {
	if loan.Borrower != h.options.ID || h.closed || fenced(loan.Lender) {
		return
	}
	h.contact.now = now
	budgetAccount := h.account(loan.Budget)
	budgetAccount.borrowed[loan.Lender] = max(budgetAccount.borrowed[loan.Lender], loan.Total)
	h.outgoingLoans = append(h.outgoingLoans, OutgoingLoan{To: loan.Lender.Node, Message: LoanMessage{Confirmed: &loan}})
	h.serve(now, budgetAccount)
}

// LoansWith returns this holder's own loans from and to an incarnation that is fenced here. This report
// of them is final.
func (h *Holder) LoansWith(other accounts.HolderID) []accounts.Loan {
	var loans []accounts.Loan
	for _, name := range h.names {
		budgetAccount := h.accounts[name]
		if state := budgetAccount.lent[other]; state != nil {
			loans = append(loans, accounts.Loan{Lender: h.options.ID, Borrower: other, Budget: name, Total: state.total})
		}
		// Included also with a total of 0: a loan in transit is not accepted any more.
		loans = append(loans, accounts.Loan{Lender: other, Borrower: h.options.ID, Budget: name, Total: budgetAccount.borrowed[other]})
	}
	return loans
}

// loanKey identifies the loans of one budget in one direction between two holders.
type loanKey struct {
	pair   accounts.LoanPair
	budget string
}

// MergeLoans combines what is known of a fenced incarnation's loans: the other side's own report if
// it is alive, else what was agreed in the claim register. A loan that was agreed but never accepted
// stays in the result with a total of 0, so that the register's total is not used when the other side
// is closed later.
func MergeLoans(registered, own []accounts.Loan) []accounts.Loan {
	merged := map[loanKey]accounts.Loan{}
	for _, loan := range registered {
		merged[loanKey{pair: loan.Pair(), budget: loan.Budget}] = loan
	}
	for _, loan := range own {
		key := loanKey{pair: loan.Pair(), budget: loan.Budget}
		if _, agreed := merged[key]; agreed || loan.Total > 0 {
			merged[key] = loan
		}
	}
	loans := slices.Collect(maps.Values(merged))
	slices.SortFunc(loans, func(a, b accounts.Loan) int {
		return cmp.Or(cmp.Compare(a.Budget, b.Budget), cmp.Compare(a.Lender.String(), b.Lender.String()), cmp.Compare(a.Borrower.String(), b.Borrower.String()))
	})
	return loans
}
