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

// escrowDuty owns the node's part of the budgets.
type escrowDuty struct {
	node   *Node
	duty   *duty.Duty
	holder *escrow.Holder
	// id is the life that the holder stands for; it changes when the node
	// finds itself fenced.
	id atomic.Pointer[accounts.HolderID]
}

func newEscrowDuty(node *Node) *escrowDuty {
	owner := &escrowDuty{node: node, duty: duty.New("escrow", escrowTick)}
	owner.begin(node.incarnation)
	owner.duty.Tick = func() { owner.holder.Tick(node.now()) }
	owner.duty.Flush = owner.flush
	return owner
}

// begin starts a life with nothing granted.
func (e *escrowDuty) begin(incarnation uint64) {
	id := accounts.HolderID{Node: e.node.name, Incarnation: incarnation}
	var lenders []string
	for _, name := range e.node.pool.InZone(e.node.zone) {
		if name != e.node.name {
			lenders = append(lenders, name)
		}
	}
	e.holder = escrow.NewHolder(escrow.HolderOptions{ID: id, Lenders: lenders})
	e.id.Store(&id)
}

// flush sends reports and loans, and takes a new life if this one is fenced.
func (e *escrowDuty) flush() {
	if e.holder.Closed() {
		e.takeNewLife()
		return
	}
	now := e.node.now()
	if report, due := e.holder.Report(now); due {
		if leader := e.node.leader(); leader != "" {
			e.node.send(leader, peer.KindAccounts, &escrow.AccountsMessage{Report: &report})
		}
	}
	for _, loan := range e.holder.Loans() {
		e.node.send(loan.To, peer.KindLend, &loan.Message)
	}
}

// takeNewLife goes on after this life was fenced: its claims are settled by
// those who fenced it, and nothing more is spent or billed under it.
func (e *escrowDuty) takeNewLife() {
	incarnation := max(e.holder.ID().Incarnation+1, uint64(time.Now().UnixNano()))
	e.node.log.Warn().Str("event", "life_fenced").Stringer("old", e.holder.ID()).Uint64("incarnation", incarnation).Send()
	e.begin(incarnation)
	e.node.claims.takeNewLife(accounts.HolderID{Node: e.node.name, Incarnation: incarnation})
}

// reserved is the end of a reservation.
type reserved struct {
	reservation escrow.Reservation
	owner       accounts.HolderID
	err         error
}

// reserve sets tokens aside; it waits for the root if needed.
func (e *escrowDuty) reserve(ctx context.Context, budget string, amount uint64, policy escrow.Policy) (reserved, error) {
	deadline := e.node.now() + 24*time.Hour
	if limit, found := ctx.Deadline(); found {
		deadline = e.node.now() + time.Until(limit)
	}
	ended, err := duty.Call(ctx, e.duty, func(answer func(reserved)) {
		owner := e.holder.ID()
		e.holder.Reserve(e.node.now(), deadline, budget, amount, policy, func(reservation escrow.Reservation, err error) {
			if err == nil && ctx.Err() != nil {
				// Nobody waits for it any more.
				e.holder.Settle(e.node.now(), reservation, 0)
			}
			answer(reserved{reservation: reservation, owner: owner, err: err})
		})
	})
	if err != nil {
		return reserved{}, err
	}
	return ended, ended.err
}

// settle ends a reservation. One of an earlier life is settled by its fence.
func (e *escrowDuty) settle(held reserved, used uint64) {
	_ = e.duty.Do(context.Background(), func() {
		if e.holder.ID() == held.owner {
			e.holder.Settle(e.node.now(), held.reservation, used)
		}
	})
}

// shrink lowers a reservation to its known use.
func (e *escrowDuty) shrink(held reserved, used uint64) {
	_ = e.duty.Do(context.Background(), func() {
		if e.holder.ID() == held.owner {
			e.holder.Shrink(e.node.now(), held.reservation, used)
		}
	})
}

func (e *escrowDuty) takeAnswer(message escrow.AnswerMessage) {
	e.duty.Offer(func() {
		advanced := e.holder.Take(e.node.now(), message)
		if len(advanced) == 0 {
			return
		}
		var marks []claims.Watermark
		for _, answer := range advanced {
			marks = append(marks, claims.Watermark{Owner: message.Holder, Budget: answer.Budget, Sequence: answer.Watermark})
		}
		e.node.claims.noteWatermarks(marks)
	})
}

func (e *escrowDuty) takeRecall(message escrow.RecallMessage) {
	e.duty.Offer(func() { e.holder.Recall(message) })
}

func (e *escrowDuty) takeLend(from string, message escrow.LendMessage) {
	e.duty.Offer(func() {
		switch {
		case message.Request != nil:
			e.node.log.Info().Str("event", "loan_asked").Str("borrower", from).Str("budget", message.Request.Budget).Uint64("need", message.Request.Need).Send()
			if loan, given := e.holder.Lend(*message.Request, e.node.claims.fencedHere); given {
				go e.agreeLoan(loan)
			}
		case message.Given != nil:
			e.holder.TakeLoan(e.node.now(), *message.Given, e.node.claims.fencedHere)
		case message.Taken != nil:
			e.holder.LoanTaken(*message.Taken)
		}
	})
}

// agreeLoan puts a loan into its claim register, so that it is still known
// when both sides are lost together, and then tells the borrower.
func (e *escrowDuty) agreeLoan(loan accounts.Loan) {
	name := fmt.Sprintf("loan %s %s %s", loan.Lender, loan.Borrower, loan.Budget)
	value := &claims.Claim{State: claims.Lent, Owner: loan.Lender, Borrower: loan.Borrower, Budget: loan.Budget, Reserved: loan.Total}
	outcome, err := e.node.claims.change(e.node.life, e.node.zone, claims.NewKey("", name), func(current *claims.Claim) *claims.Claim {
		if current != nil && current.Reserved >= loan.Total {
			return nil
		}
		return value
	})
	if err != nil || outcome.Claim == nil {
		// Not told, so not spent. The next request of the borrower tries again.
		e.node.log.Info().Str("event", "loan_not_agreed").Str("borrower", loan.Borrower.Node).AnErr("error", err).Send()
		return
	}
	_ = e.duty.Do(e.node.life, func() { e.holder.Agreed(e.node.now(), loan) })
}

// returnAll gives back the node's unused grant and waits until the root has
// every settlement, for a planned stop.
func (e *escrowDuty) returnAll(ctx context.Context) error {
	if err := e.duty.Do(ctx, func() { e.holder.ReturnAll() }); err != nil {
		return err
	}
	for {
		unreported, err := duty.Call(ctx, e.duty, func(answer func(bool)) {
			e.holder.ReportAgain()
			answer(e.holder.Unreported())
		})
		if err != nil || !unreported {
			return err
		}
		if !pause.For(ctx, 2*escrowTick) {
			return context.Cause(ctx)
		}
	}
}

// loansWith returns what is known here of a fenced life's loans.
func (e *escrowDuty) loansWith(ctx context.Context, other accounts.HolderID) ([]accounts.Loan, error) {
	return duty.Call(ctx, e.duty, func(answer func([]accounts.Loan)) { answer(e.holder.LoansWith(other)) })
}
