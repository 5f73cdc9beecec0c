package node

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/ravenway/ravenway/internal/coordination/claims"
	"github.com/ravenway/ravenway/internal/coordination/escrow"
	"github.com/ravenway/ravenway/internal/duty"
	"github.com/ravenway/ravenway/internal/pause"
	"github.com/ravenway/ravenway/internal/protocol/peer"
	"github.com/ravenway/ravenway/internal/state/accounts"
)

const escrowTick = 50 * time.Millisecond

// escrowDuty owns the node's part of the budgets: the holder, which keeps the tokens granted to
// this node by the root (the leader's side of the escrow). The nodes of a zone lend each other
// granted tokens.
type escrowDuty struct {
	node   *Node
	duty   *duty.Duty
	holder *escrow.Holder
	// id names the node and the holder's incarnation. The incarnation changes when the node learns
	// that it is fenced.
	id atomic.Pointer[accounts.HolderID]
}

func newEscrowDuty(node *Node) *escrowDuty {
	owner := &escrowDuty{node: node, duty: duty.New("escrow", escrowTick)}
	owner.startIncarnation(node.incarnation)
	owner.duty.Tick = func() { owner.holder.Tick(node.now()) }
	owner.duty.Flush = owner.flush
	return owner
}

// startIncarnation starts an incarnation of the holder that has no grants.
func (e *escrowDuty) startIncarnation(incarnation uint64) {
	id := accounts.HolderID{Node: e.node.name, Incarnation: incarnation}
	var lenders []string
	for _, name := range e.node.acceptors.InZone(e.node.zone) {
		if name != e.node.name {
			lenders = append(lenders, name)
		}
	}
	e.holder = escrow.NewHolder(escrow.HolderOptions{ID: id, Lenders: lenders})
	e.id.Store(&id)
}

// flush sends reports and loans, and starts a new incarnation if this one is fenced.
func (e *escrowDuty) flush() {
	if e.holder.Closed() {
		e.replaceIncarnation()
		return
	}
	now := e.node.now()
	if report, due := e.holder.Report(now); due {
		if leader := e.node.leader(); leader != "" {
			e.node.send(leader, peer.KindAccounts, &escrow.AccountsMessage{Report: &report})
		}
	}
	for _, loan := range e.holder.TakeOutgoingLoans() {
		e.node.send(loan.To, peer.KindLend, &loan.Message)
	}
}

// replaceIncarnation starts a new incarnation after the current one was fenced. The leader that
// fenced it settles its claims; nothing more is spent or billed under it.
func (e *escrowDuty) replaceIncarnation() {
	incarnation := max(e.holder.ID().Incarnation+1, uint64(time.Now().UnixNano()))
	e.node.log.Warn().Str("event", "life_fenced").Stringer("old", e.holder.ID()).Uint64("incarnation", incarnation).Send()
	e.startIncarnation(incarnation)
	e.node.claims.startIncarnation(accounts.HolderID{Node: e.node.name, Incarnation: incarnation})
}

// heldReservation is the result of a reservation. owner is the incarnation that made it.
type heldReservation struct {
	reservation escrow.Reservation
	owner       accounts.HolderID
	err         error
}

// reserve reserves tokens of a budget. It waits for the root if the node has not enough of them.
func (e *escrowDuty) reserve(ctx context.Context, budget string, amount uint64, policy escrow.Policy) (heldReservation, error) {
	deadline := e.node.now() + 24*time.Hour
	if contextDeadline, found := ctx.Deadline(); found {
		deadline = e.node.now() + time.Until(contextDeadline)
	}
	held, err := duty.Call(ctx, e.duty, func(reply func(heldReservation)) {
		owner := e.holder.ID()
		e.holder.Reserve(e.node.now(), deadline, budget, amount, policy, func(reservation escrow.Reservation, err error) {
			if err == nil && ctx.Err() != nil {
				// The request no longer waits for the reservation.
				e.holder.Settle(e.node.now(), reservation, 0)
			}
			reply(heldReservation{reservation: reservation, owner: owner, err: err})
		})
	})
	if err != nil {
		return heldReservation{}, err
	}
	return held, held.err
}

// settle ends a reservation with the tokens used. A reservation of an earlier incarnation is left
// to the leader that fenced it.
func (e *escrowDuty) settle(held heldReservation, used uint64) {
	_ = e.duty.Do(context.Background(), func() {
		if e.holder.ID() == held.owner {
			e.holder.Settle(e.node.now(), held.reservation, used)
		}
	})
}

// shrink lowers a reservation to the use that is known.
func (e *escrowDuty) shrink(held heldReservation, used uint64) {
	_ = e.duty.Do(context.Background(), func() {
		if e.holder.ID() == held.owner {
			e.holder.Shrink(e.node.now(), held.reservation, used)
		}
	})
}

func (e *escrowDuty) handleResponse(message escrow.ResponseMessage) {
	e.duty.Offer(func() {
		advanced := e.holder.HandleResponse(e.node.now(), message)
		if len(advanced) == 0 {
			return
		}
		var watermarks []claims.Watermark
		for _, budgetResponse := range advanced {
			watermarks = append(watermarks, claims.Watermark{Owner: message.Holder, Budget: budgetResponse.Budget, Sequence: budgetResponse.Watermark})
		}
		e.node.claims.recordWatermarks(watermarks)
	})
}

func (e *escrowDuty) handleRecall(message escrow.RecallMessage) {
	e.duty.Offer(func() { e.holder.Recall(message) })
}

func (e *escrowDuty) handleLend(from string, message escrow.LoanMessage) {
	e.duty.Offer(func() {
		switch {
		case message.Request != nil:
			e.node.log.Info().Str("event", "loan_asked").Str("borrower", from).Str("budget", message.Request.Budget).Uint64("need", message.Request.Required).Send()
			if loan, granted := e.holder.Lend(*message.Request, e.node.claims.isFenced); granted {
				go e.registerLoan(loan)
			}
		case message.Loan != nil:
			e.holder.HandleLoan(e.node.now(), *message.Loan, e.node.claims.isFenced)
		case message.Confirmed != nil:
			e.holder.LoanConfirmed(*message.Confirmed)
		}
	})
}

// registerLoan writes a loan to its claim register and then gives it to the borrower. The register
// keeps the loan known if lender and borrower crash together.
func (e *escrowDuty) registerLoan(loan accounts.Loan) {
	name := fmt.Sprintf("loan %s %s %s", loan.Lender, loan.Borrower, loan.Budget)
	value := &claims.Claim{State: claims.Lent, Owner: loan.Lender, Borrower: loan.Borrower, Budget: loan.Budget, Reserved: loan.Total}
	outcome, err := e.node.claims.change(e.node.runContext, e.node.zone, claims.NewKey("", name), func(current *claims.Claim) *claims.Claim {
		if current != nil && current.Reserved >= loan.Total {
			return nil
		}
		return value
	})
	if err != nil || outcome.Claim == nil {
		// The borrower has not received the loan and can't spend it. Its next request retries.
		e.node.log.Info().Str("event", "loan_not_agreed").Str("borrower", loan.Borrower.Node).AnErr("error", err).Send()
		return
	}
	_ = e.duty.Do(e.node.runContext, func() { e.holder.LoanAgreed(e.node.now(), loan) })
}

// returnAll returns the node's unused grant to the root and waits until the root has every
// settlement, for a graceful stop.
func (e *escrowDuty) returnAll(ctx context.Context) error {
	if err := e.duty.Do(ctx, func() { e.holder.ReturnAll() }); err != nil {
		return err
	}
	for {
		unreported, err := duty.Call(ctx, e.duty, func(reply func(bool)) {
			e.holder.ReportAgain()
			reply(e.holder.Unreported())
		})
		if err != nil || !unreported {
			return err
		}
		if !pause.For(ctx, 2*escrowTick) {
			return context.Cause(ctx)
		}
	}
}

// loansWith returns the loans of a fenced incarnation that this node knows.
func (e *escrowDuty) loansWith(ctx context.Context, other accounts.HolderID) ([]accounts.Loan, error) {
	return duty.Call(ctx, e.duty, func(reply func([]accounts.Loan)) { reply(e.holder.LoansWith(other)) })
}
