package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/ravenway/ravenway/internal/coordination/escrow"
	"github.com/ravenway/ravenway/internal/duty"
	"github.com/ravenway/ravenway/internal/forward"
	"github.com/ravenway/ravenway/internal/pause"
	"github.com/ravenway/ravenway/internal/protocol/peer"
	"github.com/ravenway/ravenway/internal/state/accounts"
)

const (
	tokensTick = 40 * time.Millisecond
	// rootResponseTimeout is the time without a response from the root after which tokens are
	// requested from neighbours.
	rootResponseTimeout = 50 * time.Millisecond
	// onlyIncarnation is the incarnation number of all holders of a node: each incarnation of a
	// node already has a unique name.
	onlyIncarnation = 1
)

// tokensDuty owns the prepaid tokens that are granted to this node. A loan passes part of one
// node's grant to another node without the root.
type tokensDuty struct {
	node   *Node
	duty   *duty.Duty
	holder *escrow.Holder
	// lenderGeneration is the generation of the neighbours from which the holder may borrow, and
	// pools determines the pool holders among them.
	lenderGeneration uint64
	pools            *tokenPools
}

func newTokensDuty(node *Node) *tokensDuty {
	tokens := &tokensDuty{node: node, duty: duty.New("tokens", tokensTick), pools: newTokenPools(node.address, node.settings.Load().Node.Zone, nil)}
	tokens.holder = escrow.NewHolder(escrow.HolderOptions{
		ID: accounts.HolderID{Node: holderName(node.address, node.incarnation), Incarnation: onlyIncarnation}, ResponseTimeout: rootResponseTimeout,
		RootReachable: node.isRootReachable, Allowances: true,
		Pool:        func(budget string) []string { return tokens.pools.precedingHolders(budget) },
		RemotePools: func(budget string) []string { return tokens.pools.remoteHolders(budget) },
	})
	tokens.duty.Tick = tokens.tick
	tokens.duty.Flush = tokens.flush
	return tokens
}

func (t *tokensDuty) flush() {
	if leader := t.node.leader(); leader != "" {
		if report, due := t.holder.Report(t.node.now()); due {
			t.node.send(leader, peer.KindAccounts, &escrow.AccountsMessage{Report: &report})
		}
	}
	for _, pool := range t.holder.TakeOutgoingPools() {
		address, _ := holderAddress(pool.To)
		t.node.send(address, peer.KindPool, &pool.Message)
	}
	for _, loan := range t.holder.TakeOutgoingLoans() {
		address, _ := holderAddress(loan.To)
		t.node.send(address, peer.KindLend, &loan.Message)
	}
}

func (t *tokensDuty) tick() {
	if neighbours := &t.node.fleet.view.Load().neighbours; neighbours.generation != t.lenderGeneration {
		t.holder.SetLenders(neighbours.lenders)
		t.lenderGeneration = neighbours.generation
		t.pools = newTokenPools(t.node.address, t.node.settings.Load().Node.Zone, neighbours.nodes)
	}
	t.holder.Tick(t.node.now())
}

// reservation implements forward.Reservation.
type reservation struct {
	tokens *tokensDuty
	held   escrow.Reservation
}

// Settle implements forward.Reservation.
func (r *reservation) Settle(used uint64) {
	_ = r.tokens.duty.Do(context.Background(), func() {
		r.tokens.holder.Settle(r.tokens.node.now(), r.held, used)
	})
}

type reservationResult struct {
	held escrow.Reservation
	err  error
}

// reserve reserves tokens for a request. It waits at most maximumWait for the root or a neighbour.
func (t *tokensDuty) reserve(ctx context.Context, tenant string, amount uint64, maximumWait time.Duration) (forward.Reservation, error) {
	result, err := duty.Call(ctx, t.duty, func(respond func(reservationResult)) {
		deadline := t.node.now() + maximumWait
		t.holder.Reserve(t.node.now(), deadline, tenant, amount, escrow.Policy{}, func(reserved escrow.Reservation, err error) {
			if err == nil && ctx.Err() != nil {
				// The caller has given up waiting, so the tokens are released.
				t.holder.Settle(t.node.now(), reserved, 0)
			}
			respond(reservationResult{held: reserved, err: err})
		})
	})
	if err == nil {
		err = result.err
	}
	if err == nil {
		return &reservation{tokens: t, held: result.held}, nil
	}
	var exhausted *escrow.ExhaustedError
	if errors.As(err, &exhausted) && exhausted.IsFinal(amount) {
		return nil, errors.Join(forward.ErrPrepaidSpent, err)
	}
	if !errors.Is(err, escrow.ErrExhausted) && t.node.expectsRootSoon() {
		return nil, errors.Join(forward.ErrNotReservedYet, err)
	}
	return nil, errors.Join(forward.ErrNotReserved, err)
}

func (t *tokensDuty) handleResponse(message escrow.ResponseMessage) {
	t.duty.Offer(func() { t.holder.HandleResponse(t.node.now(), message) })
}

func (t *tokensDuty) handleRecall(message escrow.RecallMessage) {
	t.duty.Offer(func() { t.holder.Recall(message) })
}

func (t *tokensDuty) handleSummaries(message escrow.SummariesMessage) {
	t.duty.Offer(func() { t.holder.HandleSummaries(message) })
}

// handleLend handles one step of a loan. A loan stays charged to its lender's grant permanently:
// when an incarnation ends, all that it was granted is charged, so a loan that no node knows of any
// more can't be spent twice.
func (t *tokensDuty) handleLend(message escrow.LoanMessage) {
	t.duty.Offer(func() {
		now := t.node.now()
		switch {
		case message.Offer != nil:
			if !t.node.isStopping() {
				t.holder.HandleOffer(*message.Offer)
			}
		case message.Request != nil:
			if loan, given := t.holder.Lend(*message.Request, neverFenced); given {
				t.node.log.Info().Str("event", "loan_given").Str("borrower", loan.Borrower.Node).Str("tenant", loan.Budget).Uint64("total", loan.Total).Send()
				t.holder.LoanAgreed(now, loan)
			}
		case message.Loan != nil:
			t.holder.HandleLoan(now, *message.Loan, neverFenced)
		case message.Confirmed != nil:
			t.holder.LoanConfirmed(*message.Confirmed)
		}
	})
}

// handlePool handles another node's request for pooled tokens, or the refusal of such a request.
func (t *tokensDuty) handlePool(message escrow.PoolMessage) {
	t.duty.Offer(func() {
		if refusal := message.Refusal; refusal != nil {
			t.node.log.Info().Str("event", "pool_refused").Str("tenant", refusal.Budget).Bool("stopping", refusal.Stopping).
				AnErr("exhausted", refusal.Reason()).Send()
		}
		t.holder.HandlePoolMessage(t.node.now(), message)
	})
}

func neverFenced(accounts.HolderID) bool { return false }

// setStopping makes the holder hold no more tokens ahead of demand.
func (t *tokensDuty) setStopping() { t.duty.Offer(t.holder.SetStopping) }

const (
	// rootContactTimeout is the time without contact with a control node that has a quorum after
	// which the root counts as unreachable.
	rootContactTimeout = time.Second
	// handOverTimeout is how long one neighbour may take to accept tokens.
	handOverTimeout = 150 * time.Millisecond
)

// returnOrHandOver gives up the tokens that this node holds, for a planned stop: to the root, or if
// that is unreachable to neighbours, which can spend them.
func (t *tokensDuty) returnOrHandOver(ctx context.Context) error {
	if t.node.isRootReachable() {
		return t.returnAll(ctx)
	}
	for _, neighbour := range t.node.fleet.view.Load().neighbours.lenders {
		offered, err := duty.Call(ctx, t.duty, func(respond func(bool)) { respond(t.holder.Offer(neighbour)) })
		if err != nil || !offered {
			return err
		}
		pause.For(ctx, handOverTimeout)
		taken, err := duty.Call(ctx, t.duty, func(respond func(bool)) { respond(t.holder.LoansConfirmed()) })
		if err != nil {
			return err
		}
		t.node.log.Info().Str("event", "tokens_handed_over").Str("to", neighbour).Bool("taken", taken).Send()
	}
	return nil
}

// returnAll returns unspent tokens and waits until everything is reported to the root, for a
// planned stop.
func (t *tokensDuty) returnAll(ctx context.Context) error {
	if err := t.duty.Do(ctx, t.holder.ReturnAll); err != nil {
		return err
	}
	for {
		unreported, err := duty.Call(ctx, t.duty, func(respond func(bool)) {
			t.holder.ReportAgain()
			respond(t.holder.Unreported())
		})
		if err != nil || !unreported {
			return err
		}
		if !pause.For(ctx, tokensTick) {
			return context.Cause(ctx)
		}
	}
}
