package escrow

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/ravenway/ravenway/internal/state/accounts"
)

const (
	// DefaultHorizon is how much expected demand a node holds ahead.
	DefaultHorizon = 10 * time.Second
	// DefaultAnswerTimeout is how long the root may take before a node tries
	// its neighbours.
	DefaultAnswerTimeout = 1500 * time.Millisecond
	// loanTimeout is how long neighbours may take.
	loanTimeout = 300 * time.Millisecond
	// Neighbours are asked some at a time, each round twice as many as the one
	// before: where many hold a part, all asking all would be most of the load.
	firstLoanRound = 8
	loanRoundTime  = 40 * time.Millisecond
	// reportInterval is the time between reports of use without a request.
	reportInterval = 2 * time.Second
	// An unanswered request is repeated after firstResend, then after twice that
	// and so on up to lastResend.
	firstResend = 300 * time.Millisecond
	lastResend  = 1200 * time.Millisecond
	// A node asks for more when it holds less than lowShare of what it wants to
	// hold, and gives back what is beyond highShare of it. Between them it is
	// left alone: what a node can't do without in a cut, and what is lost with
	// the node, are the same tokens.
	lowShare  = 0.85
	highShare = 1.3
	// demandHalfLife is the half-life of the smoothed demand.
	demandHalfLife = 10 * time.Second
	// minimumDemandTime keeps a first burst from being taken for a rate.
	minimumDemandTime = 2 * time.Second
	// requestMemory is how long a last request counts.
	requestMemory = 60 * time.Second
	// topUpPause is the least time between requests ahead of demand.
	topUpPause = time.Second
	// requestWeight is the weight of one request in the smoothed size of them.
	requestWeight = 0.2
)

// Errors of reservations.
var (
	// ErrExhausted says that the budget does not hold enough for the request.
	ErrExhausted = errors.New("escrow: the budget does not hold enough")
	// ErrUnreachable says that the parts of the budget that could be reached do
	// not hold enough.
	ErrUnreachable = errors.New("escrow: not enough of the budget can be reached")
	// ErrUnknownBudget says that the root knows no such budget.
	ErrUnknownBudget = errors.New("escrow: no such budget")
	// ErrClosed says that this life's accounts are fenced.
	ErrClosed = errors.New("escrow: this life of the node is fenced")
)

// ExhaustedError is an ErrExhausted with what the root knows, in tokens.
type ExhaustedError struct {
	// Limit is the budget's limit, Spent its use that is known for sure.
	Limit uint64 `msgpack:"l"`
	Spent uint64 `msgpack:"s"`
	// Left could still be granted, Outstanding is what holders may still spend or
	// give back.
	Left        uint64 `msgpack:"f"`
	Outstanding uint64 `msgpack:"o"`
}

// IsFinal tells whether the budget can't hold a request of some tokens any more
// unless its limit is raised, whatever holders give back.
func (e *ExhaustedError) IsFinal(amount uint64) bool { return e.Left+e.Outstanding < amount }

// Error implements error.
func (e *ExhaustedError) Error() string {
	return fmt.Sprintf("%v: %d of %d tokens are spent, %d are left to grant, %d are held", ErrExhausted, e.Spent, e.Limit, e.Left, e.Outstanding)
}

// Is makes it an ErrExhausted.
func (e *ExhaustedError) Is(target error) bool { return target == ErrExhausted }

// Policy is how a budget's grants are asked for.
type Policy struct {
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
	// AnswerTimeout of the root; 0 means the default.
	AnswerTimeout time.Duration
	// Lenders are the nodes to borrow from when the root does not answer.
	Lenders []string
	// Pool returns the nodes of the zone that hold a budget for it, in order, up to
	// this node itself; none if this node is the first. nil means that each node
	// holds for itself.
	Pool func(budget string) []string
	// FarPools returns the first pool holders of the other zones, which a pool holder
	// asks for loans in place of all neighbours; nil means that there are none.
	FarPools func(budget string) []string
	// RootReachable tells whether the root is heard; nil means always. Nothing
	// is given back while it is not: it could not be spent by anybody.
	RootReachable func() bool
	// Allowances makes the holder have its use allowed before it spends, see
	// accounts.Allowance. Without it a life that ends without a word is charged all
	// that it held, unless claim registers tell its use.
	Allowances bool
}

// Holder is a node's part of all budgets. It is a pure step and not safe for
// concurrent use.
type Holder struct {
	options  HolderOptions
	accounts map[string]*account
	// names are those of the accounts, in order.
	names    []string
	recalled []RecallMessage
	loans    []OutgoingLoan
	pools    []OutgoingPool
	contact  rootContact
	closed   bool
	stopping bool
}

// OutgoingLoan is a lending message and its receiver.
type OutgoingLoan struct {
	To      string
	Message LendMessage
}

// NewHolder makes a holder with nothing granted.
func NewHolder(options HolderOptions) *Holder {
	if options.AnswerTimeout == 0 {
		options.AnswerTimeout = DefaultAnswerTimeout
	}
	return &Holder{options: options, accounts: map[string]*account{}}
}

// ID returns the holder's life.
func (h *Holder) ID() accounts.HolderID { return h.options.ID }

// SetLenders replaces the nodes to borrow from.
func (h *Holder) SetLenders(lenders []string) { h.options.Lenders = lenders }

// SetStopping begins a planned stop: nothing is held ahead of demand any more,
// so that no grant comes after the last return.
func (h *Holder) SetStopping() { h.stopping = true }

// Closed tells whether the root has fenced this life.
func (h *Holder) Closed() bool { return h.closed }

// Free is what the node could reserve now, in tokens.
func (h *Holder) Free(budget string) uint64 {
	if found := h.accounts[budget]; found != nil {
		return found.free()
	}
	return 0
}

// Held is what the node may spend in all: free and reserved, in tokens.
func (h *Holder) Held(budget string) uint64 {
	if found := h.accounts[budget]; found != nil {
		return found.unreserved() + found.reserved
	}
	return 0
}

// OwnUse is what the node has used of its own grants: settled, reserved or lent,
// less what it borrowed, in tokens.
func (h *Holder) OwnUse(budget string) uint64 {
	if found := h.accounts[budget]; found != nil {
		return found.ownUse()
	}
	return 0
}

func (h *Holder) account(budget string) *account {
	found := h.accounts[budget]
	if found == nil {
		found = &account{
			name: budget, policy: Policy{Horizon: DefaultHorizon},
			borrowed: map[accounts.HolderID]uint64{}, lent: map[accounts.HolderID]*givenLoan{},
			open: map[uint64]uint64{}, ahead: map[uint64]uint64{},
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

// Reserve sets the worst case of a request aside; done is called once, maybe
// at once.
func (h *Holder) Reserve(now, deadline time.Duration, budget string, amount uint64, policy Policy, done func(Reservation, error)) {
	if h.closed {
		done(Reservation{}, ErrClosed)
		return
	}
	h.contact.now = now
	found := h.account(budget)
	if policy.Horizon > 0 {
		found.policy = policy
	}
	found.noteDemand(now, amount)
	h.notePooled(found)
	found.addWaiter(waiter{amount: amount, since: now, deadline: deadline, done: done})
	h.serve(now, found)
}

// serve gives waiters what is free, in order, and asks for what lacks.
func (h *Holder) serve(now time.Duration, found *account) {
	for len(found.waiters) > 0 && found.waiters[0].amount <= found.free() {
		next := found.waiters[0]
		found.waiters = found.waiters[1:]
		found.reserving.add(now, next.amount)
		if next.isLoan() {
			h.lendTo(now, found, next)
			next.done(Reservation{}, nil)
			continue
		}
		next.done(found.reserve(next.amount), nil)
	}
	if len(found.waiters) > 0 && !found.requested && !h.askPool(now, found) {
		found.startRequest(now)
	}
	h.borrow(now, found)
}

// Settle ends a reservation with its use; the rest is free again. Use beyond
// the reservation can't happen: the engine was given the bound. If it does, it
// is cut to the reservation and reported by the caller.
func (h *Holder) Settle(now time.Duration, reservation Reservation, used uint64) {
	found := h.accounts[reservation.Budget]
	if found == nil {
		return
	}
	amount, open := found.open[reservation.Sequence]
	if !open {
		return
	}
	h.contact.now = now
	used = min(used, amount)
	delete(found.open, reservation.Sequence)
	found.reserved -= amount
	found.settled += used
	found.ahead[reservation.Sequence] = used
	for {
		next, settled := found.ahead[found.watermark+1]
		if !settled {
			break
		}
		found.watermark++
		found.watermarkSettled += next
		delete(found.ahead, found.watermark)
	}
	h.serve(now, found)
}

// Shrink lowers a reservation to its known use without settling it: the rest is
// free again, and the use may yet turn out to be billed elsewhere.
func (h *Holder) Shrink(now time.Duration, reservation Reservation, used uint64) {
	found := h.accounts[reservation.Budget]
	if found == nil {
		return
	}
	amount, open := found.open[reservation.Sequence]
	if !open || used >= amount {
		return
	}
	h.contact.now = now
	found.open[reservation.Sequence] = used
	found.reserved -= amount - used
	h.serve(now, found)
}

// OpenReservations is the number of reservations not settled yet.
func (h *Holder) OpenReservations() int {
	count := 0
	for _, found := range h.accounts {
		count += len(found.open)
	}
	return count
}

// Tick moves time: it gives up on waiters, borrows when the root is silent,
// and gives back what is no longer needed.
func (h *Holder) Tick(now time.Duration) {
	h.contact.now = now
	reachable := h.rootReachable()
	for _, name := range h.names {
		found := h.accounts[name]
		h.expire(now, found)
		h.notePooled(found)
		if found.contact != nil || found.pooled {
			// The pace may allow by now what it did not before, and the next pool holder
			// may be due.
			h.serve(now, found)
		}
		h.borrow(now, found)
		h.tellLoansAgain(now, found)
		if h.stopping && reachable && len(found.waiters) == 0 {
			found.returned += found.unreserved()
		}
		if h.stopping {
			continue
		}
		if reachable {
			found.returnSurplus(now)
		}
		found.topUp(now)
	}
}

func (h *Holder) expire(now time.Duration, found *account) {
	kept := found.waiters[:0]
	var expired []waiter
	for _, one := range found.waiters {
		if now >= one.deadline {
			expired = append(expired, one)
			continue
		}
		kept = append(kept, one)
	}
	found.waiters = kept
	for _, one := range expired {
		one.done(Reservation{}, ErrUnreachable)
	}
}

func (h *Holder) rootReachable() bool {
	return h.options.RootReachable == nil || h.options.RootReachable()
}

// borrow asks the neighbours once the root has been silent for too long, or at
// once where it is known to be out of reach, and refuses once they were silent
// too.
func (h *Holder) borrow(now time.Duration, found *account) {
	if len(found.waiters) == 0 || !found.requested {
		return
	}
	isReachable := h.rootReachable()
	if now-found.requestedAt < h.options.AnswerTimeout && isReachable {
		return
	}
	if !isReachable && found.isKnownShort(found.waiters[0].amount) {
		// No neighbour has what all together had not when the root was last heard.
		h.refuseFirst(now, found, ErrUnreachable)
		return
	}
	// Neighbours that had nothing for an earlier request may have it for this.
	if !found.loanAsked || found.waiters[0].since > found.loanAskedAt {
		found.loanAsked, found.lendersAsked, found.lenders = true, 0, h.lendersOf(found)
		h.askLenders(now, found)
		return
	}
	if found.lendersAsked < len(found.lenders) && now-found.loanAskedAt >= loanRoundTime {
		h.askLenders(now, found)
		return
	}
	if now-found.loanAskedAt >= loanTimeout {
		found.loanAsked = false
		h.refuseFirst(now, found, ErrUnreachable)
	}
}

// lendersOf are the neighbours to ask, in order. A pool holder asks those of other
// zones: all others hold little.
func (h *Holder) lendersOf(found *account) []string {
	if h.options.FarPools == nil || found.pooled {
		return h.options.Lenders
	}
	if far := h.options.FarPools(found.name); len(far) > 0 {
		return far
	}
	return h.options.Lenders
}

// askLenders asks the next round of neighbours for what the first waiter lacks.
func (h *Holder) askLenders(now time.Duration, found *account) {
	found.loanAskedAt = now
	last := min(len(found.lenders), max(firstLoanRound, 3*found.lendersAsked))
	for _, lender := range found.lenders[min(found.lendersAsked, last):last] {
		request := &LoanRequest{Borrower: h.options.ID, Budget: found.name, Need: found.lack()}
		h.loans = append(h.loans, OutgoingLoan{To: lender, Message: LendMessage{Request: request}})
	}
	found.lendersAsked = last
}

func (h *Holder) refuseFirst(now time.Duration, found *account, err error) {
	h.refuse(now, found, 0, err)
}

// refuse ends the wait of one waiter; others may be served then.
func (h *Holder) refuse(now time.Duration, found *account, position int, err error) {
	refused := found.waiters[position]
	found.waiters = slices.Delete(found.waiters, position, position+1)
	refused.done(Reservation{}, err)
	h.serve(now, found)
}

// Report returns what the root should be told now, or nothing.
func (h *Holder) Report(now time.Duration) (ReportMessage, bool) {
	h.contact.now = now
	message := ReportMessage{Holder: h.options.ID, Recalled: h.recalled, Allowances: h.options.Allowances}
	for _, name := range h.names {
		found := h.accounts[name]
		if found.reportDue(now) || h.isRecalled(name) {
			message.Reports = append(message.Reports, found.report(now))
		}
	}
	h.recalled = nil
	if len(message.Reports) == 0 && !h.contactDue() {
		return ReportMessage{}, false
	}
	if h.options.Allowances {
		message.Heard = h.contactToTell()
		h.contact.reportedAt = now
	}
	return message, true
}

func (h *Holder) isRecalled(budget string) bool {
	return slices.ContainsFunc(h.recalled, func(recall RecallMessage) bool { return recall.Budget == budget })
}

// Take applies the root's answers. It returns the watermarks that are durable
// now, for forgetting claims.
func (h *Holder) Take(now time.Duration, message AnswerMessage) []accounts.Response {
	if message.Holder != h.options.ID {
		return nil
	}
	h.contact.now = now
	h.hear(message.Contact)
	var advanced []accounts.Response
	for _, answer := range message.Answers {
		found := h.accounts[answer.Budget]
		if found == nil {
			continue
		}
		found.granted = max(found.granted, answer.Granted)
		if found.confirm(answer.Response) {
			advanced = append(advanced, answer.Response)
		}
		h.takeAnswer(now, found, answer)
	}
	return advanced
}

func (h *Holder) takeAnswer(now time.Duration, found *account, answer Answer) {
	switch {
	case answer.Closed:
		h.close()
		return
	case answer.Unknown:
		found.requested = false
		h.refuseAll(found, ErrUnknownBudget)
		return
	}
	if answer.Request == found.request {
		found.requested = false
		if answer.Short && found.lack() > 0 {
			h.refuseFirst(now, found, refusalOf(answer, found.waiters[0].amount))
			return
		}
	}
	h.serve(now, found)
}

// refusalOf is why a request for some tokens fell short. Holders that do not answer
// matter only where what they hold would be enough.
func refusalOf(answer Answer, amount uint64) error {
	exhausted := &ExhaustedError{Limit: answer.Limit, Spent: answer.Spent, Left: answer.Remaining, Outstanding: answer.Outstanding}
	if answer.Unreached > 0 && !exhausted.IsFinal(amount) {
		return fmt.Errorf("%w: %d nodes that hold a part of it do not answer", ErrUnreachable, answer.Unreached)
	}
	return exhausted
}

func (h *Holder) close() {
	h.closed = true
	for _, name := range h.names {
		h.refuseAll(h.accounts[name], ErrClosed)
	}
}

func (h *Holder) refuseAll(found *account, err error) {
	waiters := found.waiters
	found.waiters = nil
	for _, one := range waiters {
		one.done(Reservation{}, err)
	}
}

// Recall returns everything that is free of a budget; the next Report says so.
// What waits here is asked for with that report: the root then decides with
// everything unused in its hands.
func (h *Holder) Recall(recall RecallMessage) {
	if recall.Holder != h.options.ID {
		return
	}
	found := h.account(recall.Budget)
	found.granted = max(found.granted, recall.Granted)
	found.returned += found.unreserved()
	h.recalled = append(h.recalled, recall)
}

// ReturnAll gives back everything that is free, for a planned stop.
func (h *Holder) ReturnAll() {
	for _, found := range h.accounts {
		if held := found.unreserved(); held > 0 {
			found.returned += held
			found.reportedAt = 0
		}
	}
}

// Unreported tells whether the root lacks a report, for a planned stop.
func (h *Holder) Unreported() bool {
	for _, found := range h.accounts {
		if found.unconfirmed() {
			return true
		}
	}
	return false
}

// ReportAgain makes the next Report repeat everything that the root has not
// confirmed, for a planned stop.
func (h *Holder) ReportAgain() {
	for _, found := range h.accounts {
		if found.unconfirmed() {
			found.reportedAt = 0
		}
	}
}

// Loans takes the lending messages that wait to be sent.
func (h *Holder) Loans() []OutgoingLoan {
	loans := h.loans
	h.loans = nil
	return loans
}
