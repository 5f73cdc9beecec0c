package escrow

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/ravenway/ravenway/internal/state/accounts"
)

const (
	// DefaultHorizon is the time for which a node holds expected demand ahead.
	DefaultHorizon = 10 * time.Second
	// DefaultResponseTimeout is how long a node waits for the root before it requests loans from its
	// neighbours.
	DefaultResponseTimeout = 1500 * time.Millisecond
	// loanTimeout is how long a node waits for its neighbours after the last loan request.
	loanTimeout = 300 * time.Millisecond
	// Loan requests go to the neighbours in rounds. The first round goes to firstLoanRoundSize of
	// them, and each round increases the total to three times that of the round before. Where many
	// nodes hold a part, requests from all to all would be most of the load.
	firstLoanRoundSize = 8
	loanRoundTime      = 40 * time.Millisecond
	// reportInterval is the time between reports of use without a request.
	reportInterval = 2 * time.Second
	// A request without a response is repeated after firstResend, then after twice that time, and so on
	// up to lastResend.
	firstResend = 300 * time.Millisecond
	lastResend  = 1200 * time.Millisecond
	// A node requests more when it holds less than topUpShare of its target, and returns the
	// surplus when it holds more than surplusShare of it. Between the two it keeps what it holds:
	// with less it would lack tokens in a partition, and with more a crash would lose more.
	topUpShare   = 0.85
	surplusShare = 1.3
	// demandHalfLife is the half-life of the smoothed demand.
	demandHalfLife = 10 * time.Second
	// minimumDemandTime is the minimum time that demand is averaged over, so that a first burst is not
	// mistaken for a rate.
	minimumDemandTime = 2 * time.Second
	// requestSizeMemory is how long after the last request its size still counts for the desired
	// amount.
	requestSizeMemory = 60 * time.Second
	// topUpInterval is the minimum time between requests ahead of demand.
	topUpInterval = time.Second
	// requestSizeWeight is the weight of one request in the smoothed request size.
	requestSizeWeight = 0.2
)

// Errors of reservations.
var (
	// ErrExhausted reports that the budget does not hold enough for the request.
	ErrExhausted = errors.New("escrow: the budget does not hold enough")
	// ErrUnreachable reports that the reachable parts of the budget do not hold enough.
	ErrUnreachable = errors.New("escrow: not enough of the budget can be reached")
	// ErrUnknownBudget reports that the root has no account of the budget.
	ErrUnknownBudget = errors.New("escrow: no such budget")
	// ErrClosed reports that this incarnation's accounts are fenced: the root accepts no more use
	// of them.
	ErrClosed = errors.New("escrow: this life of the node is fenced")
)

// ExhaustedError is an ErrExhausted with the root's amounts, in tokens.
type ExhaustedError struct {
	// Limit is the budget's limit, and Spent is its confirmed use.
	Limit uint64 `msgpack:"l"`
	Spent uint64 `msgpack:"s"`
	// Left can still be granted. Outstanding is what holders may still spend or return.
	Left        uint64 `msgpack:"f"`
	Outstanding uint64 `msgpack:"o"`
}

// IsFinal reports whether the budget can't hold a request of amount tokens any more unless its limit
// is raised, regardless of what holders return.
func (e *ExhaustedError) IsFinal(amount uint64) bool { return e.Left+e.Outstanding < amount }

// Error implements error.
func (e *ExhaustedError) Error() string {
	return fmt.Sprintf("%v: %d of %d tokens are spent, %d are left to grant, %d are held", ErrExhausted, e.Spent, e.Limit, e.Left, e.Outstanding)
}

// Is reports whether target is ErrExhausted.
func (e *ExhaustedError) Is(target error) bool { return target == ErrExhausted }

// Policy sets how grants of a budget are requested.
type Policy struct {
	// Horizon is the time for which expected demand is held ahead.
	Horizon time.Duration
}

// Reservation is the worst case of one request, in tokens.
type Reservation struct {
	Budget string
	// Sequence numbers the reservations of a budget, from 1.
	Sequence uint64
	Amount   uint64
}

// HolderOptions set up a Holder.
type HolderOptions struct {
	ID accounts.HolderID
	// ResponseTimeout is how long the root may take to respond; 0 means DefaultResponseTimeout.
	ResponseTimeout time.Duration
	// Lenders are the nodes to borrow from when the root does not respond.
	Lenders []string
	// Pool returns the zone's pool holders of a budget in the order in which requests go to them, up to
	// this node itself; none if this node is the first. Pool holders hold a budget for the whole zone.
	// nil means that each node holds for itself.
	Pool func(budget string) []string
	// RemotePools returns the first pool holders of the other zones. A pool holder requests loans from
	// them in place of all neighbours. nil means that there are none.
	RemotePools func(budget string) []string
	// RootReachable reports whether the root is reachable; nil means always. Nothing is returned while
	// it is not, because no node could spend what was returned.
	RootReachable func() bool
	// Allowances makes the holder have its use allowed by the root before it spends, see
	// accounts.Allowance. Without it an incarnation that crashes without a final report is charged all
	// that it held, unless claim registers record its use.
	Allowances bool
}

// Holder is a node's part of all budgets. It is a state machine without goroutines, clocks or network
// access of its own, and is not safe for concurrent use.
type Holder struct {
	options  HolderOptions
	accounts map[string]*account
	// names holds the names of the accounts, sorted.
	names []string
	// recalled holds the recalls that the next report responds to.
	recalled      []RecallMessage
	outgoingLoans []OutgoingLoan
	outgoingPools []OutgoingPool
	contact       rootContact
	closed        bool
	stopping      bool
}

// OutgoingLoan is a loan message and its receiver.
type OutgoingLoan struct {
	To      string
	Message LoanMessage
}

// NewHolder returns a holder with nothing granted.
func NewHolder(options HolderOptions) *Holder {
	if options.ResponseTimeout == 0 {
		options.ResponseTimeout = DefaultResponseTimeout
	}
	return &Holder{options: options, accounts: map[string]*account{}}
}

// ID returns the holder's node and incarnation.
func (h *Holder) ID() accounts.HolderID { return h.options.ID }

// SetLenders replaces the nodes to borrow from.
func (h *Holder) SetLenders(lenders []string) { h.options.Lenders = lenders }

// SetStopping begins a planned stop: nothing is held ahead of demand any more, so that no grant
// arrives after the last return.
func (h *Holder) SetStopping() { h.stopping = true }

// Closed reports whether the root has fenced this incarnation.
func (h *Holder) Closed() bool { return h.closed }

// Free returns the tokens that the node can reserve now.
func (h *Holder) Free(budget string) uint64 {
	if budgetAccount := h.accounts[budget]; budgetAccount != nil {
		return budgetAccount.free()
	}
	return 0
}

// Held returns the tokens that the node may spend in all, free and reserved.
func (h *Holder) Held(budget string) uint64 {
	if budgetAccount := h.accounts[budget]; budgetAccount != nil {
		return budgetAccount.unreserved() + budgetAccount.reserved
	}
	return 0
}

// OwnUse returns the tokens that the node has used of its own grants: what it settled, reserved or
// lent, less what it borrowed.
func (h *Holder) OwnUse(budget string) uint64 {
	if budgetAccount := h.accounts[budget]; budgetAccount != nil {
		return budgetAccount.ownUse()
	}
	return 0
}

func (h *Holder) account(budget string) *account {
	found := h.accounts[budget]
	if found == nil {
		found = &account{
			name: budget, policy: Policy{Horizon: DefaultHorizon},
			borrowed: map[accounts.HolderID]uint64{}, lent: map[accounts.HolderID]*loanState{},
			open: map[uint64]uint64{}, settledAhead: map[uint64]uint64{},
		}
		if h.options.Allowances {
			found.contact = &h.contact
		}
		h.accounts[budget] = found
		place, _ := slices.BinarySearch(h.names, budget)
		h.names = slices.Insert(slices.Clone(h.names), place, budget)
	}
	return found
}

// Reserve sets the worst case of a request aside. It calls done exactly once, possibly before it
// returns.
func (h *Holder) Reserve(now, deadline time.Duration, budget string, amount uint64, policy Policy, done func(Reservation, error)) {
	if h.closed {
		done(Reservation{}, ErrClosed)
		return
	}
	h.contact.now = now
	budgetAccount := h.account(budget)
	if policy.Horizon > 0 {
		budgetAccount.policy = policy
	}
	budgetAccount.noteDemand(now, amount)
	h.notePooled(budgetAccount)
	budgetAccount.addWaiter(waiter{amount: amount, since: now, deadline: deadline, done: done})
	h.serve(now, budgetAccount)
}

// serve gives the free tokens to the waiters in order, and requests what is missing.
func (h *Holder) serve(now time.Duration, budgetAccount *account) {
	for len(budgetAccount.waiters) > 0 && budgetAccount.waiters[0].amount <= budgetAccount.free() {
		next := budgetAccount.waiters[0]
		budgetAccount.waiters = budgetAccount.waiters[1:]
		budgetAccount.reserving.add(now, next.amount)
		if next.isLoan() {
			h.lendToWaiter(now, budgetAccount, next)
			next.done(Reservation{}, nil)
			continue
		}
		next.done(budgetAccount.reserve(next.amount), nil)
	}
	if len(budgetAccount.waiters) > 0 && !budgetAccount.requested && !h.requestFromPool(now, budgetAccount) {
		budgetAccount.startRequest(now)
	}
	h.borrow(now, budgetAccount)
}

// Settle ends a reservation with its use and frees the remainder. Use beyond the reservation should
// not happen, because the engine receives the bound with the request. If it does, Settle reduces it to
// the reservation, and the caller reports it.
func (h *Holder) Settle(now time.Duration, reservation Reservation, used uint64) {
	budgetAccount := h.accounts[reservation.Budget]
	if budgetAccount == nil {
		return
	}
	amount, open := budgetAccount.open[reservation.Sequence]
	if !open {
		return
	}
	h.contact.now = now
	used = min(used, amount)
	delete(budgetAccount.open, reservation.Sequence)
	budgetAccount.reserved -= amount
	budgetAccount.settled += used
	budgetAccount.settledAhead[reservation.Sequence] = used
	for {
		next, settled := budgetAccount.settledAhead[budgetAccount.watermark+1]
		if !settled {
			break
		}
		budgetAccount.watermark++
		budgetAccount.watermarkSettled += next
		delete(budgetAccount.settledAhead, budgetAccount.watermark)
	}
	h.serve(now, budgetAccount)
}

// Shrink lowers a reservation to its known use without settling it, and frees the remainder. The use
// may still turn out to be billed elsewhere.
func (h *Holder) Shrink(now time.Duration, reservation Reservation, used uint64) {
	budgetAccount := h.accounts[reservation.Budget]
	if budgetAccount == nil {
		return
	}
	amount, open := budgetAccount.open[reservation.Sequence]
	if !open || used >= amount {
		return
	}
	h.contact.now = now
	budgetAccount.open[reservation.Sequence] = used
	budgetAccount.reserved -= amount - used
	h.serve(now, budgetAccount)
}

// OpenReservations returns the number of reservations that are not settled yet.
func (h *Holder) OpenReservations() int {
	count := 0
	for _, budgetAccount := range h.accounts {
		count += len(budgetAccount.open)
	}
	return count
}

// Tick runs the periodic work: it refuses waiters whose deadline has passed, borrows when the root
// does not respond, and returns tokens that are no longer required.
func (h *Holder) Tick(now time.Duration) {
	h.contact.now = now
	reachable := h.rootReachable()
	for _, name := range h.names {
		budgetAccount := h.accounts[name]
		h.expire(now, budgetAccount)
		h.notePooled(budgetAccount)
		if budgetAccount.contact != nil || budgetAccount.pooled {
			// The pace may allow more by now, and a request to the next pool holder may be due.
			h.serve(now, budgetAccount)
		}
		h.borrow(now, budgetAccount)
		h.resendLoans(now, budgetAccount)
		if h.stopping && reachable && len(budgetAccount.waiters) == 0 {
			budgetAccount.returned += budgetAccount.unreserved()
		}
		if h.stopping {
			continue
		}
		if reachable {
			budgetAccount.returnSurplus(now)
		}
		budgetAccount.topUp(now)
	}
}

func (h *Holder) expire(now time.Duration, budgetAccount *account) {
	kept := budgetAccount.waiters[:0]
	var expired []waiter
	for _, waiting := range budgetAccount.waiters {
		if now >= waiting.deadline {
			expired = append(expired, waiting)
			continue
		}
		kept = append(kept, waiting)
	}
	budgetAccount.waiters = kept
	for _, waiting := range expired {
		waiting.done(Reservation{}, ErrUnreachable)
	}
}

func (h *Holder) rootReachable() bool {
	return h.options.RootReachable == nil || h.options.RootReachable()
}

// borrow requests loans from the neighbours for the first waiter, once the root has not responded for
// ResponseTimeout, or immediately if it is known to be unreachable. It refuses the waiter if no loan
// arrives in time.
func (h *Holder) borrow(now time.Duration, budgetAccount *account) {
	if len(budgetAccount.waiters) == 0 || !budgetAccount.requested {
		return
	}
	isReachable := h.rootReachable()
	if now-budgetAccount.requestedAt < h.options.ResponseTimeout && isReachable {
		return
	}
	if !isReachable && budgetAccount.isKnownShort(budgetAccount.waiters[0].amount) {
		// The whole budget held less than this at the last contact with the root, so no neighbour
		// has it.
		h.refuseFirst(now, budgetAccount, ErrUnreachable)
		return
	}
	// Neighbours that had nothing for an earlier request may have enough for this one.
	if !budgetAccount.loansRequested || budgetAccount.waiters[0].since > budgetAccount.loansRequestedAt {
		budgetAccount.loansRequested, budgetAccount.requestedLenders, budgetAccount.lenders = true, 0, h.lendersOf(budgetAccount)
		h.requestLoans(now, budgetAccount)
		return
	}
	if budgetAccount.requestedLenders < len(budgetAccount.lenders) && now-budgetAccount.loansRequestedAt >= loanRoundTime {
		h.requestLoans(now, budgetAccount)
		return
	}
	if now-budgetAccount.loansRequestedAt >= loanTimeout {
		budgetAccount.loansRequested = false
		h.refuseFirst(now, budgetAccount, ErrUnreachable)
	}
}

// lendersOf returns the nodes to request loans from, in order. For a pool holder they are the pool
// holders of other zones, because all other nodes hold little.
func (h *Holder) lendersOf(budgetAccount *account) []string {
	if h.options.RemotePools == nil || budgetAccount.pooled {
		return h.options.Lenders
	}
	if remote := h.options.RemotePools(budgetAccount.name); len(remote) > 0 {
		return remote
	}
	return h.options.Lenders
}

// requestLoans requests what the first waiter lacks from the next round of lenders.
func (h *Holder) requestLoans(now time.Duration, budgetAccount *account) {
	budgetAccount.loansRequestedAt = now
	last := min(len(budgetAccount.lenders), max(firstLoanRoundSize, 3*budgetAccount.requestedLenders))
	for _, lender := range budgetAccount.lenders[min(budgetAccount.requestedLenders, last):last] {
		request := &LoanRequest{Borrower: h.options.ID, Budget: budgetAccount.name, Required: budgetAccount.shortfall()}
		h.outgoingLoans = append(h.outgoingLoans, OutgoingLoan{To: lender, Message: LoanMessage{Request: request}})
	}
	budgetAccount.requestedLenders = last
}

func (h *Holder) refuseFirst(now time.Duration, budgetAccount *account, err error) {
	h.refuse(now, budgetAccount, 0, err)
}

// refuse ends the wait of one waiter with an error, and then serves the others.
func (h *Holder) refuse(now time.Duration, budgetAccount *account, position int, err error) {
	refused := budgetAccount.waiters[position]
	budgetAccount.waiters = slices.Delete(budgetAccount.waiters, position, position+1)
	refused.done(Reservation{}, err)
	h.serve(now, budgetAccount)
}

// TakeOutgoingLoans removes and returns the loan messages that wait to be sent.
func (h *Holder) TakeOutgoingLoans() []OutgoingLoan {
	loans := h.outgoingLoans
	h.outgoingLoans = nil
	return loans
}
