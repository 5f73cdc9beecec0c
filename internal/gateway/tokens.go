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
	// rootTimeout is the silence of the root after which neighbours are asked.
	rootTimeout = 50 * time.Millisecond
	// onlyLife is the incarnation of all holders here: each life of a node has
	// a name of its own.
	onlyLife = 1
)

// tokensDuty owns the prepaid tokens that were granted to this node.
type tokensDuty struct {
	node   *Node
	duty   *duty.Duty
	holder *escrow.Holder
	// lenders is the generation of the neighbours that the holder may borrow from,
	// pools are the pool holders among them.
	lenders uint64
	pools   *tokenPools
}

func newTokensDuty(node *Node) *tokensDuty {
	tokens := &tokensDuty{node: node, duty: duty.New("tokens", tokensTick), pools: newTokenPools(node.address, node.settings.Load().Node.Zone, nil)}
	tokens.holder = escrow.NewHolder(escrow.HolderOptions{
		ID: accounts.HolderID{Node: holderName(node.address, node.life), Incarnation: onlyLife}, AnswerTimeout: rootTimeout,
		RootReachable: node.hearsRoot, Allowances: true,
		Pool:     func(budget string) []string { return tokens.pools.before(budget) },
		FarPools: func(budget string) []string { return tokens.pools.far(budget) },
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
	for _, pool := range t.holder.Pools() {
		address, _ := holderAddress(pool.To)
		t.node.send(address, peer.KindPool, &pool.Message)
	}
	for _, loan := range t.holder.Loans() {
		address, _ := holderAddress(loan.To)
		t.node.send(address, peer.KindLend, &loan.Message)
	}
}

func (t *tokensDuty) tick() {
	if neighbours := &t.node.fleet.view.Load().neighbours; neighbours.generation != t.lenders {
		t.holder.SetLenders(neighbours.lenders)
		t.lenders = neighbours.generation
		t.pools = newTokenPools(t.node.address, t.node.settings.Load().Node.Zone, neighbours.nodes)
	}
	t.holder.Tick(t.node.now())
}

// reservation is a forward.Reservation.
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

type reserved struct {
	held escrow.Reservation
	err  error
}

// reserve sets tokens aside; it waits shortly for the root or a neighbour.
func (t *tokensDuty) reserve(ctx context.Context, tenant string, amount uint64, patience time.Duration) (forward.Reservation, error) {
	ended, err := duty.Call(ctx, t.duty, func(answer func(reserved)) {
		deadline := t.node.now() + patience
		t.holder.Reserve(t.node.now(), deadline, tenant, amount, escrow.Policy{}, func(held escrow.Reservation, err error) {
			if err == nil && ctx.Err() != nil {
				// Nobody waits for it any more.
				t.holder.Settle(t.node.now(), held, 0)
			}
			answer(reserved{held: held, err: err})
		})
	})
	if err == nil {
		err = ended.err
	}
	if err == nil {
		return &reservation{tokens: t, held: ended.held}, nil
	}
	var exhausted *escrow.ExhaustedError
	if errors.As(err, &exhausted) && exhausted.IsFinal(amount) {
		return nil, errors.Join(forward.ErrSpent, err)
	}
	if !errors.Is(err, escrow.ErrExhausted) && t.node.rootMayComeBack() {
		return nil, errors.Join(forward.ErrNotReservedYet, err)
	}
	return nil, errors.Join(forward.ErrNotReserved, err)
}

func (t *tokensDuty) takeAnswer(message escrow.AnswerMessage) {
	t.duty.Offer(func() { t.holder.Take(t.node.now(), message) })
}

func (t *tokensDuty) takeRecall(message escrow.RecallMessage) {
	t.duty.Offer(func() { t.holder.Recall(message) })
}

func (t *tokensDuty) takeStandings(message escrow.StandingsMessage) {
	t.duty.Offer(func() { t.holder.TakeStandings(message) })
}

// takeLend handles one step of a loan. A loan stays charged to its lender's
// grant for good: when a life ends all that it was granted is charged, so a
// loan that is known to nobody any more can't be spent twice.
func (t *tokensDuty) takeLend(message escrow.LendMessage) {
	t.duty.Offer(func() {
		now := t.node.now()
		switch {
		case message.Offer != nil:
			if !t.node.isStopping() {
				t.holder.TakeOffer(*message.Offer)
			}
		case message.Request != nil:
			if loan, given := t.holder.Lend(*message.Request, neverFenced); given {
				t.node.log.Info().Str("event", "loan_given").Str("borrower", loan.Borrower.Node).Str("tenant", loan.Budget).Uint64("total", loan.Total).Send()
				t.holder.Agreed(now, loan)
			}
		case message.Given != nil:
			t.holder.TakeLoan(now, *message.Given, neverFenced)
		case message.Taken != nil:
			t.holder.LoanTaken(*message.Taken)
		}
	})
}

// takePool handles another node's request for pooled tokens, or the refusal of one.
func (t *tokensDuty) takePool(message escrow.PoolMessage) {
	t.duty.Offer(func() {
		if refusal := message.Refusal; refusal != nil {
			t.node.log.Info().Str("event", "pool_refused").Str("tenant", refusal.Budget).Bool("stopping", refusal.Stopping).
				AnErr("exhausted", refusal.Reason()).Send()
		}
		t.holder.TakePool(t.node.now(), message)
	})
}

func neverFenced(accounts.HolderID) bool { return false }

// stopping lets nothing be held ahead of demand any more.
func (t *tokensDuty) stopping() { t.duty.Offer(t.holder.SetStopping) }

const (
	// rootSilence is the silence of all control nodes after which the root
	// counts as out of reach.
	rootSilence = time.Second
	// handOverTry is how long one neighbour may take to take tokens over.
	handOverTry = 150 * time.Millisecond
)

// giveAway gives up what this node holds, for a planned stop: to the root, or
// where that is out of reach to a neighbour, who may go on spending it.
func (t *tokensDuty) giveAway(ctx context.Context) error {
	if t.node.hearsRoot() {
		return t.returnAll(ctx)
	}
	for _, neighbour := range t.node.fleet.view.Load().neighbours.lenders {
		offered, err := duty.Call(ctx, t.duty, func(answer func(bool)) { answer(t.holder.Offer(neighbour)) })
		if err != nil || !offered {
			return err
		}
		pause.For(ctx, handOverTry)
		taken, err := duty.Call(ctx, t.duty, func(answer func(bool)) { answer(t.holder.LoansTaken()) })
		if err != nil {
			return err
		}
		t.node.log.Info().Str("event", "tokens_handed_over").Str("to", neighbour).Bool("taken", taken).Send()
	}
	return nil
}

// returnAll gives back what is unspent and waits until the root knows all, for
// a planned stop.
func (t *tokensDuty) returnAll(ctx context.Context) error {
	if err := t.duty.Do(ctx, t.holder.ReturnAll); err != nil {
		return err
	}
	for {
		unreported, err := duty.Call(ctx, t.duty, func(answer func(bool)) {
			t.holder.ReportAgain()
			answer(t.holder.Unreported())
		})
		if err != nil || !unreported {
			return err
		}
		if !pause.For(ctx, tokensTick) {
			return context.Cause(ctx)
		}
	}
}
