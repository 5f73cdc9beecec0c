package accounts

import "fmt"

// Fence stops the accounts of one incarnation of a node, and of its earlier ones, from accepting
// reports.
func (a *Accounts) Fence(id HolderID) {
	a.fencedIncarnations[id.Node] = max(a.fencedIncarnations[id.Node], id.Incarnation)
}

// Fenced reports whether a holder's accounts accept no more reports.
func (a *Accounts) Fenced(id HolderID) bool {
	return id.Incarnation <= a.fencedIncarnations[id.Node]
}

// Closed reports whether a holder's accounts are closed.
func (a *Accounts) Closed(id HolderID) bool {
	return id.Incarnation <= a.closedIncarnations[id.Node]
}

// FinalUse is the usage of a fenced holder's claims after the root's watermark, in tokens.
type FinalUse struct {
	Budget string `msgpack:"b"`
	Tokens uint64 `msgpack:"u"`
}

// Close closes a fenced holder's accounts: what the holder did not use can be granted
// again. loans are the loans from and to it. With forfeit, everything that it held is
// charged instead, for the case that its claims can't be determined.
func (a *Accounts) Close(id HolderID, uses []FinalUse, loans []Loan, forfeit bool) error {
	if !a.Fenced(id) {
		return fmt.Errorf("holder %s is not fenced", id)
	}
	if a.Closed(id) {
		return nil
	}
	for _, loan := range loans {
		a.recordHalfClosedLoan(loan)
	}
	usageAfterWatermark := map[string]uint64{}
	for _, use := range uses {
		usageAfterWatermark[use.Budget] += use.Tokens
	}
	a.closedIncarnations[id.Node] = max(a.closedIncarnations[id.Node], id.Incarnation)
	for name, budget := range a.budgets {
		budget.close(id, usageAfterWatermark[name], forfeit)
		budget.removeClosedLoans(a.Closed)
	}
	return nil
}

// recordHalfClosedLoan stores a loan for closing the account of its other side. A loan that was
// recorded when the first side was closed is kept: that side's report was final.
func (a *Accounts) recordHalfClosedLoan(loan Loan) {
	budget := a.budgets[loan.Budget]
	if budget == nil {
		return
	}
	if _, known := budget.HalfClosedLoans[loan.Pair()]; !known {
		budget.HalfClosedLoans[loan.Pair()] = loan.Total
	}
}

func (b *Budget) close(id HolderID, afterWatermark uint64, forfeit bool) {
	borrowed, lent := b.transferred(id)
	if b.Holders[id] == nil && borrowed == 0 {
		return
	}
	holder := b.holder(id)
	held := SaturatingSubtract(holder.Granted+borrowed, holder.Returned+lent)
	settled := min(held, holder.WatermarkSettled+afterWatermark)
	if forfeit {
		b.Forfeited += int64(held) - int64(holder.Settled)
		settled = held
	}
	b.Returned += held - settled
	b.ClosedSettled += settled
	b.lowerToTarget()
	delete(b.Holders, id)
}

// transferred returns the sums of the recorded loans to and from a holder.
func (b *Budget) transferred(id HolderID) (borrowed, lent uint64) {
	for pair, total := range b.HalfClosedLoans {
		if pair.Borrower == id {
			borrowed += total
		}
		if pair.Lender == id {
			lent += total
		}
	}
	return borrowed, lent
}

func (b *Budget) removeClosedLoans(closed func(HolderID) bool) {
	for pair := range b.HalfClosedLoans {
		if closed(pair.Lender) && closed(pair.Borrower) {
			delete(b.HalfClosedLoans, pair)
		}
	}
}
