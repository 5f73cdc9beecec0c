package escrow

import (
	"errors"
	"slices"
	"time"

	"github.com/ravenway/ravenway/internal/state/accounts"
)

const (
	// MinimumPoolNodes is the minimum number of entry nodes at which a zone's nodes leave budgets to
	// pool holders. With fewer nodes, each holding for itself and borrowing from its neighbours
	// serves more in a partition, or not much less. The shares of requests refused in a partition,
	// without and with pools: 0.016 and 0.025 at 10 nodes a zone, 0.025 and 0.018 at
	// 20, 0.033 and 0.028 at 30, 0.052 and 0.024 at 60.
	MinimumPoolNodes = 30
	// poolRoundTime is how long a node waits for one pool holder before it sends the request to the
	// next: a few messages within the zone, and the root's response to the pool holder.
	poolRoundTime = 40 * time.Millisecond
	// PoolHolders is the number of a zone's pool holders of a budget: the nodes that hold it for all
	// nodes of the zone and lend each request what it requires. A request goes to one after the
	// other before it goes to the root.
	PoolHolders = 2
)

// PoolRequest asks a zone's pool holder of a budget to lend the tokens of one request.
type PoolRequest struct {
	Borrower accounts.HolderID `msgpack:"h"`
	Budget   string            `msgpack:"b"`
	Required uint64            `msgpack:"n"`
	// Number identifies the request; a refusal repeats it.
	Number uint64 `msgpack:"i"`
	// MaximumWaitMS is the borrower's maximum wait in milliseconds.
	MaximumWaitMS uint64 `msgpack:"p"`
}

// PoolRefusal reports that a pool holder does not lend. A pool holder that lends sends the loan
// instead.
type PoolRefusal struct {
	Borrower accounts.HolderID `msgpack:"h"`
	Budget   string            `msgpack:"b"`
	Number   uint64            `msgpack:"i"`
	// Stopping indicates that the pool holder is stopping; the request goes to the next one.
	Stopping bool `msgpack:"s,omitempty"`
	// Exhausted is set if the budget does not hold enough according to the root. If it is nil, the
	// reachable parts do not hold enough.
	Exhausted *ExhaustedError `msgpack:"e,omitempty"`
}

// Reason returns why the budget does not hold enough, or nil if the refusal has another cause.
func (r PoolRefusal) Reason() error {
	if r.Exhausted == nil {
		return nil
	}
	return r.Exhausted
}

// PoolMessage is a message between a node and a pool holder: one field is set.
type PoolMessage struct {
	Request *PoolRequest `msgpack:"q,omitempty"`
	Refusal *PoolRefusal `msgpack:"r,omitempty"`
}

// OutgoingPool is a pool message and its receiver.
type OutgoingPool struct {
	To      string
	Message PoolMessage
}

// poolSearch is the progress of a waiter's requests to the pool: round is the number of pool holders
// that were sent one.
type poolSearch struct {
	round       int
	requestedAt time.Duration
}

// TakeOutgoingPools removes and returns the pool messages that wait to be sent.
func (h *Holder) TakeOutgoingPools() []OutgoingPool {
	pools := h.outgoingPools
	h.outgoingPools = nil
	return pools
}

// notePooled records whether the node leaves a budget to its zone's pool holders. A node with much
// demand does so too: requests that it forwards to other nodes require the same tokens.
func (h *Holder) notePooled(budgetAccount *account) {
	budgetAccount.pooled = h.options.Pool != nil && len(h.options.Pool(budgetAccount.name)) > 0
}

// requestFromPool requests the tokens of each waiter from the pool holders, one pool holder after
// the other. It does so for all waiters at the same time, else each would wait for the round trips
// of all before it. It returns false if no pool holder is left for the first waiter and the request
// goes to the root.
func (h *Holder) requestFromPool(now time.Duration, budgetAccount *account) bool {
	if !budgetAccount.pooled || budgetAccount.waiters[0].isLoan() {
		return false
	}
	holders := h.options.Pool(budgetAccount.name)
	noHolderLeft := false
	for position := range budgetAccount.waiters {
		waiting := &budgetAccount.waiters[position]
		if waiting.isLoan() || waiting.search.round > 0 && now-waiting.search.requestedAt < poolRoundTime {
			continue
		}
		if waiting.search.round >= len(holders) {
			noHolderLeft = noHolderLeft || position == 0
			continue
		}
		required := waiting.amount
		if position == 0 {
			required = budgetAccount.shortfall()
		}
		request := &PoolRequest{
			Borrower: h.options.ID, Budget: budgetAccount.name, Required: required, Number: waiting.number,
			MaximumWaitMS: uint64(max(0, waiting.deadline-now).Milliseconds()),
		}
		h.outgoingPools = append(h.outgoingPools, OutgoingPool{To: holders[waiting.search.round], Message: PoolMessage{Request: request}})
		waiting.search = poolSearch{round: waiting.search.round + 1, requestedAt: now}
	}
	return !noHolderLeft
}

// HandlePoolMessage handles another node's request for pooled tokens, or the refusal of one.
func (h *Holder) HandlePoolMessage(now time.Duration, message PoolMessage) {
	switch {
	case message.Request != nil:
		h.handlePoolRequest(now, *message.Request)
	case message.Refusal != nil:
		h.handlePoolRefusal(now, *message.Refusal)
	}
}

// handlePoolRequest adds another node's request to the waiters, as if it were one of this node.
func (h *Holder) handlePoolRequest(now time.Duration, request PoolRequest) {
	if h.closed || h.stopping {
		h.refusePool(request, PoolRefusal{Stopping: true})
		return
	}
	h.contact.now = now
	budgetAccount := h.account(request.Budget)
	budgetAccount.noteDemand(now, request.Required)
	h.notePooled(budgetAccount)
	deadline := now + time.Duration(request.MaximumWaitMS)*time.Millisecond
	budgetAccount.addWaiter(waiter{amount: request.Required, since: now, deadline: deadline, borrower: request.Borrower, done: func(_ Reservation, err error) {
		if err != nil {
			h.refusePool(request, poolRefusalOf(err))
		}
	}})
	h.serve(now, budgetAccount)
}

func poolRefusalOf(err error) PoolRefusal {
	var exhausted *ExhaustedError
	if errors.As(err, &exhausted) {
		return PoolRefusal{Exhausted: exhausted}
	}
	return PoolRefusal{}
}

func (h *Holder) refusePool(request PoolRequest, refusal PoolRefusal) {
	refusal.Borrower, refusal.Budget, refusal.Number = request.Borrower, request.Budget, request.Number
	h.outgoingPools = append(h.outgoingPools, OutgoingPool{To: request.Borrower.Node, Message: PoolMessage{Refusal: &refusal}})
}

// handlePoolRefusal ends the wait for a pool holder: it refuses the waiter, or tries the next pool holder
// if this one is stopping.
func (h *Holder) handlePoolRefusal(now time.Duration, refusal PoolRefusal) {
	budgetAccount := h.accounts[refusal.Budget]
	if refusal.Borrower != h.options.ID || budgetAccount == nil {
		return
	}
	position := slices.IndexFunc(budgetAccount.waiters, func(candidate waiter) bool { return candidate.number == refusal.Number })
	if position < 0 {
		return
	}
	h.contact.now = now
	switch {
	case refusal.Stopping:
		budgetAccount.waiters[position].search.requestedAt = now - poolRoundTime
		h.serve(now, budgetAccount)
	case refusal.Exhausted != nil:
		h.refuse(now, budgetAccount, position, refusal.Exhausted)
	default:
		// The pool holder has also requested loans from the other zones' pool holders.
		h.refuse(now, budgetAccount, position, ErrUnreachable)
	}
}

// lendToWaiter lends a waiting request of another node its tokens. The loan counts as agreed without a
// claim register: it stays charged to the pool holder's grant.
func (h *Holder) lendToWaiter(now time.Duration, budgetAccount *account, next waiter) {
	state := budgetAccount.loanTo(next.borrower)
	state.total += next.amount
	h.LoanAgreed(now, accounts.Loan{Lender: h.options.ID, Borrower: next.borrower, Budget: budgetAccount.name, Total: state.total})
}
