// Package accounts holds the root accounts of the prepaid budgets.
//
// A budget's limit is granted out to holders (entry nodes) in parts. A holder
// spends only what it was granted, so no partition can overspend. Everything a
// holder reports is cumulative: a lost, late or doubled report changes nothing.
//
// The invariant, checked at every change: granted - returned <= limit. What
// was settled is inside granted, so settled + outstanding <= limit follows.
package accounts

import (
	"cmp"
	"fmt"
	"sort"
)

const (
	// DefaultGrantSharePercent is the largest part of what is left that one
	// grant takes beyond what is needed at once.
	DefaultGrantSharePercent = 25
)

// HolderID names one life of a node: after a restart it is another holder.
type HolderID struct {
	Node        string `msgpack:"n"`
	Incarnation uint64 `msgpack:"i"`
}

// String returns "node/incarnation".
func (h HolderID) String() string { return fmt.Sprintf("%s/%d", h.Node, h.Incarnation) }

// Less orders holders by node, then by incarnation.
func (h HolderID) Less(other HolderID) bool { return h.Compare(other) < 0 }

// Compare is the order of Less, for sorting.
func (h HolderID) Compare(other HolderID) int {
	return cmp.Or(cmp.Compare(h.Node, other.Node), cmp.Compare(h.Incarnation, other.Incarnation))
}

// Holder is what the root knows of one holder's part of one budget, in tokens.
type Holder struct {
	ID HolderID `msgpack:"id"`
	// Granted and Returned are cumulative.
	Granted  uint64 `msgpack:"g"`
	Returned uint64 `msgpack:"r"`
	// Settled is the use reported so far.
	Settled uint64 `msgpack:"s"`
	// Watermark is the reservation up to which all are settled, and
	// WatermarkSettled their use. A fence adds the claims behind it.
	Watermark        uint64 `msgpack:"w"`
	WatermarkSettled uint64 `msgpack:"ws"`
	// LastRequest is the newest grant request that was decided.
	LastRequest uint64 `msgpack:"q"`
	// Wish is what the holder would hold ahead of demand if the budget were
	// not short, as it last said.
	Wish uint64 `msgpack:"wi,omitempty"`
	// Allowance is the newest one that the holder has asked for.
	Allowance Allowance `msgpack:"cl"`
}

// Outstanding is what the holder may still spend.
func (h *Holder) Outstanding() uint64 {
	return SaturatingSubtract(h.Granted, h.Returned+h.Settled)
}

// Budget is one root account, in tokens.
type Budget struct {
	Name  string `msgpack:"n"`
	Limit uint64 `msgpack:"l"`
	// Granted and Returned are the sums over all holders, closed ones included.
	Granted  uint64 `msgpack:"g"`
	Returned uint64 `msgpack:"r"`
	// ClosedSettled is the use of holders that were closed.
	ClosedSettled uint64 `msgpack:"c"`
	// Forfeited is the part of ClosedSettled that was charged without being
	// known to be spent. It is below 0 while holders that spent borrowed tokens
	// are closed and their lenders are not.
	Forfeited int64 `msgpack:"f"`
	// Ended tells why Forfeited was charged, for lives with allowances.
	Ended EndedCharges `msgpack:"ec"`
	// Target is the limit that was asked for when more than that is granted
	// out; the limit follows it down as grants return. It is at most Limit.
	Target  uint64               `msgpack:"tg"`
	Holders map[HolderID]*Holder `msgpack:"-"`
	// Transfers are the loans in which one side's account is closed and the
	// other's is still open.
	Transfers map[LoanPair]uint64 `msgpack:"-"`
}

// EndedCharges are the tokens that lives which ended without a word were charged
// beyond the use that they had reported, by the reason. What such a life had lent is
// among them, and its borrowers' use of it is in their own accounts: so the sum is
// Forfeited once both sides of each loan have ended.
type EndedCharges struct {
	// Allowed were covered by the life's allowance: reserved for requests in
	// progress, lent, or allowed ahead.
	Allowed int64 `msgpack:"a"`
	// Paced are what its pace allowed in the time that it may have been without the root.
	Paced int64 `msgpack:"p"`
	// Whole are the rest of grants of lives of which no such time is known.
	Whole int64 `msgpack:"w"`
}

// LoanPair is one direction between two holders.
type LoanPair struct {
	Lender   HolderID `msgpack:"l"`
	Borrower HolderID `msgpack:"b"`
}

// Loan is what one holder has lent another in all, in tokens.
type Loan struct {
	Lender   HolderID `msgpack:"l"`
	Borrower HolderID `msgpack:"h"`
	Budget   string   `msgpack:"b"`
	Total    uint64   `msgpack:"t"`
}

// Pair returns the loan's direction.
func (l Loan) Pair() LoanPair { return LoanPair{Lender: l.Lender, Borrower: l.Borrower} }

// Settled is the use reported by all holders.
func (b *Budget) Settled() uint64 {
	settled := b.ClosedSettled
	for _, holder := range b.Holders {
		settled += holder.Settled
	}
	return settled
}

// Spent is the use that is known for sure.
func (b *Budget) Spent() uint64 { return uint64(max(0, int64(b.Settled())-b.Forfeited)) }

// Committed is what the limit must cover: everything granted and not returned.
func (b *Budget) Committed() uint64 { return b.Granted - b.Returned }

// Left is what can still be granted.
func (b *Budget) Left() uint64 { return SaturatingSubtract(b.Limit, b.Committed()) }

// Outstanding is what holders may still spend.
func (b *Budget) Outstanding() uint64 { return SaturatingSubtract(b.Committed(), b.Settled()) }

// outstanding is what holders may still spend, and how many of them there are. What
// one of them lent is in its own part until its life ends, also after the borrower has
// used it: so together they may spend no more than the budget has outstanding.
func (b *Budget) outstanding() (tokens uint64, holders int) {
	for _, holder := range b.Holders {
		if left := holder.Outstanding(); left > 0 {
			tokens += left
			holders++
		}
	}
	return min(tokens, b.Outstanding()), holders
}

// Wished is what all holders wish to hold ahead of demand.
func (b *Budget) Wished() uint64 {
	var wished uint64
	for _, holder := range b.Holders {
		wished += holder.Wish
	}
	return wished
}

// Report is what a holder says of one budget, with an optional grant request.
type Report struct {
	Budget           string `msgpack:"b"`
	Settled          uint64 `msgpack:"s"`
	Returned         uint64 `msgpack:"r"`
	Watermark        uint64 `msgpack:"w"`
	WatermarkSettled uint64 `msgpack:"ws"`
	// Request numbers the holder's grant requests; 0 means none. Need is what
	// the requests at hand lack, Want what expected demand would use.
	Request uint64 `msgpack:"q,omitempty"`
	Need    uint64 `msgpack:"nd,omitempty"`
	Want    uint64 `msgpack:"wt,omitempty"`
	// Wish is what the holder would hold ahead of demand if the budget were not
	// short.
	Wish uint64 `msgpack:"wi,omitempty"`
	// Allowance is what the holder asks to be allowed.
	Allowance Allowance `msgpack:"cl"`
}

// Answer is what the root says of one report.
type Answer struct {
	Budget string `msgpack:"b"`
	// Granted is the holder's cumulative grant.
	Granted uint64 `msgpack:"g"`
	// Settled, Returned and Watermark are what the root now has in its log.
	Settled   uint64 `msgpack:"s"`
	Returned  uint64 `msgpack:"r"`
	Watermark uint64 `msgpack:"w"`
	Request   uint64 `msgpack:"q,omitempty"`
	// Short is set when the request's need could not be met now.
	Short bool `msgpack:"sh,omitempty"`
	// Left is what could still be granted after this answer.
	Left uint64 `msgpack:"l"`
	// Limit and Spent are the budget's limit and its use that is known for sure.
	Limit uint64 `msgpack:"li"`
	Spent uint64 `msgpack:"sp"`
	// Outstanding is what all holders together may still spend, Holders how
	// many hold something.
	Outstanding uint64 `msgpack:"o"`
	Holders     int    `msgpack:"hs"`
	// Wished is the sum of what all holders wish to hold ahead of demand.
	Wished uint64 `msgpack:"wd,omitempty"`
	// Unknown says that there is no such budget; Closed that this holder's
	// account was closed by a fence and must not be spent from.
	Unknown bool `msgpack:"u,omitempty"`
	Closed  bool `msgpack:"c,omitempty"`
	// Allowance is the holder's newest allowance in the log.
	Allowance Allowance `msgpack:"cl"`
}

// Accounts are all root accounts.
type Accounts struct {
	budgets map[string]*Budget
	// fenced and closed hold, for each node, the newest incarnation whose
	// accounts take no more reports, and the newest whose accounts are closed.
	// Incarnations of a node only grow, so older ones are covered.
	fenced map[string]uint64
	closed map[string]uint64
	// contacts holds for each open holder with allowances the newest contact with
	// the root that it is known to have heard of.
	contacts map[HolderID]Contact
}

// New makes an empty set of accounts.
func New() *Accounts {
	return &Accounts{budgets: map[string]*Budget{}, fenced: map[string]uint64{}, closed: map[string]uint64{}, contacts: map[HolderID]Contact{}}
}

// Budget returns one account, or nil.
func (a *Accounts) Budget(name string) *Budget { return a.budgets[name] }

// Names returns all budget names, sorted.
func (a *Accounts) Names() []string {
	names := make([]string, 0, len(a.budgets))
	for name := range a.budgets {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Ensure makes an account with limit 0 if there is none.
func (a *Accounts) Ensure(name string) *Budget {
	budget := a.budgets[name]
	if budget == nil {
		budget = &Budget{Name: name, Holders: map[HolderID]*Holder{}, Transfers: map[LoanPair]uint64{}}
		a.budgets[name] = budget
	}
	return budget
}

// TopUp raises a limit.
func (a *Accounts) TopUp(name string, tokens uint64) error {
	budget := a.budgets[name]
	if budget == nil {
		return fmt.Errorf("budget %q does not exist", name)
	}
	if budget.Limit+tokens < budget.Limit {
		return fmt.Errorf("budget %q: adding %d to its limit of %d is too much", name, tokens, budget.Limit)
	}
	budget.Limit += tokens
	budget.Target = budget.Limit
	return nil
}

// SetLimit sets a limit to what a configuration says, and makes the account if
// needed. What is granted out stays covered: a lower limit takes effect as the
// grants return.
func (a *Accounts) SetLimit(name string, tokens uint64) {
	budget := a.Ensure(name)
	budget.Target = tokens
	budget.Limit = max(tokens, budget.Committed())
}

// Lower takes tokens off a limit. It is refused when less would be left than
// is granted out: an accepted limit is never exceeded. Recalling unused grants
// first makes room.
func (a *Accounts) Lower(name string, tokens uint64) error {
	budget := a.budgets[name]
	if budget == nil {
		return fmt.Errorf("budget %q does not exist", name)
	}
	if tokens > budget.Limit || budget.Limit-tokens < budget.Committed() {
		return fmt.Errorf("budget %q: its limit of %d can't be lowered by %d: %d are used or reserved by requests in progress",
			name, budget.Limit, tokens, budget.Committed())
	}
	budget.Limit -= tokens
	budget.Target = budget.Limit
	return nil
}

// Take applies one holder's report and decides its grant request.
// sharePercent is the budget's policy; 0 means the default.
func (a *Accounts) Take(id HolderID, report Report, sharePercent uint32) Answer {
	answer := Answer{Budget: report.Budget, Request: report.Request}
	budget := a.budgets[report.Budget]
	if budget == nil {
		answer.Unknown = true
		return answer
	}
	if a.Fenced(id) {
		answer.Closed = true
		return answer
	}
	holder := budget.holder(id)
	budget.takeReturn(holder, report.Returned)
	holder.Settled = max(holder.Settled, report.Settled)
	holder.Wish = report.Wish
	if report.Allowance.Sequence > holder.Allowance.Sequence {
		holder.Allowance = report.Allowance
	}
	if report.Watermark > holder.Watermark {
		holder.Watermark = report.Watermark
		holder.WatermarkSettled = report.WatermarkSettled
	}
	if report.Request > holder.LastRequest {
		granted := budget.grantAmount(report.Need, report.Want, sharePercent)
		holder.Granted += granted
		budget.Granted += granted
		answer.Short = granted < report.Need
		if !answer.Short {
			// A request that fell short may be asked again after a recall.
			holder.LastRequest = report.Request
		}
	}
	answer.Granted, answer.Allowance = holder.Granted, holder.Allowance
	answer.Settled, answer.Returned, answer.Watermark = holder.Settled, holder.Returned, holder.Watermark
	answer.Left = budget.Left()
	answer.Limit, answer.Spent = budget.Limit, budget.Spent()
	answer.Outstanding, answer.Holders = budget.outstanding()
	answer.Wished = budget.Wished()
	return answer
}

// Fence makes the accounts of one life of a node take no more reports.
func (a *Accounts) Fence(id HolderID) {
	a.fenced[id.Node] = max(a.fenced[id.Node], id.Incarnation)
}

// Fenced tells whether a holder's accounts take no more reports.
func (a *Accounts) Fenced(id HolderID) bool {
	return id.Incarnation <= a.fenced[id.Node]
}

// Closed tells whether a holder's accounts are closed.
func (a *Accounts) Closed(id HolderID) bool {
	return id.Incarnation <= a.closed[id.Node]
}

// FinalUse is the use of a fenced holder's claims behind the root's watermark.
type FinalUse struct {
	Budget string `msgpack:"b"`
	Tokens uint64 `msgpack:"u"`
}

// Close ends a fenced holder's accounts: what it did not use becomes grantable
// again. loans are the loans from and to it. forfeit charges everything it held
// instead, for when its claims can't be known.
func (a *Accounts) Close(id HolderID, uses []FinalUse, loans []Loan, forfeit bool) error {
	if !a.Fenced(id) {
		return fmt.Errorf("holder %s is not fenced", id)
	}
	if a.Closed(id) {
		return nil
	}
	for _, loan := range loans {
		a.recordTransfer(loan)
	}
	behind := map[string]uint64{}
	for _, use := range uses {
		behind[use.Budget] += use.Tokens
	}
	a.closed[id.Node] = max(a.closed[id.Node], id.Incarnation)
	for name, budget := range a.budgets {
		budget.close(id, behind[name], forfeit)
		budget.forgetTransfers(a.Closed)
	}
	return nil
}

// recordTransfer keeps a loan for the account of its other side. One that was
// recorded when the first side was closed stands: that side's word was final.
func (a *Accounts) recordTransfer(loan Loan) {
	budget := a.budgets[loan.Budget]
	if budget == nil {
		return
	}
	if _, known := budget.Transfers[loan.Pair()]; !known {
		budget.Transfers[loan.Pair()] = loan.Total
	}
}

func (b *Budget) close(id HolderID, behindWatermark uint64, forfeit bool) {
	borrowed, lent := b.transferred(id)
	if b.Holders[id] == nil && borrowed == 0 {
		return
	}
	holder := b.holder(id)
	held := SaturatingSubtract(holder.Granted+borrowed, holder.Returned+lent)
	settled := min(held, holder.WatermarkSettled+behindWatermark)
	if forfeit {
		b.Forfeited += int64(held) - int64(holder.Settled)
		settled = held
	}
	b.Returned += held - settled
	b.ClosedSettled += settled
	b.lowerToTarget()
	delete(b.Holders, id)
}

// lowerToTarget lets a limit that was lowered below what is granted out follow
// the grants that come back.
func (b *Budget) lowerToTarget() {
	if b.Target < b.Limit {
		b.Limit = max(b.Target, b.Committed())
	}
}

// transferred sums up the recorded loans to and from a holder.
func (b *Budget) transferred(id HolderID) (borrowed, lent uint64) {
	for pair, total := range b.Transfers {
		if pair.Borrower == id {
			borrowed += total
		}
		if pair.Lender == id {
			lent += total
		}
	}
	return borrowed, lent
}

func (b *Budget) forgetTransfers(closed func(HolderID) bool) {
	for pair := range b.Transfers {
		if closed(pair.Lender) && closed(pair.Borrower) {
			delete(b.Transfers, pair)
		}
	}
}

// OpenHolders returns the open holders of a budget in order.
func (b *Budget) OpenHolders() []*Holder {
	holders := make([]*Holder, 0, len(b.Holders))
	for _, holder := range b.Holders {
		holders = append(holders, holder)
	}
	sort.Slice(holders, func(i, j int) bool { return holders[i].ID.Less(holders[j].ID) })
	return holders
}

// Holders returns the holders with an open account in any budget, in order.
func (a *Accounts) Holders() []HolderID {
	seen := map[HolderID]struct{}{}
	for _, budget := range a.budgets {
		for id := range budget.Holders {
			seen[id] = struct{}{}
		}
	}
	holders := make([]HolderID, 0, len(seen))
	for id := range seen {
		holders = append(holders, id)
	}
	sort.Slice(holders, func(i, j int) bool { return holders[i].Less(holders[j]) })
	return holders
}

// Check returns an error if the account's invariant is broken.
func (b *Budget) Check() error {
	if b.Returned > b.Granted {
		return fmt.Errorf("budget %q: returned %d of %d granted", b.Name, b.Returned, b.Granted)
	}
	if b.Committed() > b.Limit {
		return fmt.Errorf("budget %q: %d are granted out of a limit of %d", b.Name, b.Committed(), b.Limit)
	}
	return nil
}

func (b *Budget) holder(id HolderID) *Holder {
	holder := b.Holders[id]
	if holder == nil {
		holder = &Holder{ID: id}
		b.Holders[id] = holder
	}
	return holder
}

func (b *Budget) takeReturn(holder *Holder, returned uint64) {
	if returned <= holder.Returned {
		return
	}
	b.Returned += returned - holder.Returned
	holder.Returned = returned
	b.lowerToTarget()
}

// grantAmount keeps the invariant: never more than what is left.
func (b *Budget) grantAmount(need, want uint64, sharePercent uint32) uint64 {
	if sharePercent == 0 {
		sharePercent = DefaultGrantSharePercent
	}
	left := b.Left()
	share := left / 100 * uint64(sharePercent)
	amount := max(need, min(want, share))
	if amount > left {
		if need > left {
			return 0
		}
		return left
	}
	return amount
}

// SaturatingSubtract is the difference, or 0 where it would be below.
func SaturatingSubtract(value, subtrahend uint64) uint64 {
	if subtrahend > value {
		return 0
	}
	return value - subtrahend
}
