// Package accounts holds the root accounts of the prepaid budgets. The root is the leader's
// side of a budget: it decides how many tokens each holder may spend.
//
// Holders (entry nodes) receive parts of a budget's limit as grants. A holder
// spends only what it was granted, so no partition can overspend. Everything a
// holder reports is cumulative: lost, late or duplicate reports do no harm.
//
// A holder reserves tokens for a request before it sends the request, and settles the
// reservation with the request's usage afterwards. Holders also lend each other tokens. A
// claim is the replicated record of one request with its usage, which outlives the holder.
// A fence stops an incarnation of a holder from spending, so that its accounts can be closed.
//
// Every change keeps the invariant granted - returned <= limit. Settled tokens
// are part of the granted ones, so settled + outstanding <= limit follows.
package accounts

import (
	"cmp"
	"fmt"
	"sort"
)

const (
	// DefaultGrantSharePercent bounds a grant that exceeds the immediately required amount,
	// in percent of the tokens that can still be granted.
	DefaultGrantSharePercent = 25
)

// HolderID identifies one incarnation of a node: after a restart the node is another holder.
type HolderID struct {
	Node        string `msgpack:"n"`
	Incarnation uint64 `msgpack:"i"`
}

// String returns "node/incarnation".
func (h HolderID) String() string { return fmt.Sprintf("%s/%d", h.Node, h.Incarnation) }

// Less orders holders by node, then by incarnation.
func (h HolderID) Less(other HolderID) bool { return h.Compare(other) < 0 }

// Compare orders holders as Less does and returns a negative number, 0 or a positive number.
func (h HolderID) Compare(other HolderID) int {
	return cmp.Or(cmp.Compare(h.Node, other.Node), cmp.Compare(h.Incarnation, other.Incarnation))
}

// Holder is the root's record of one holder's part of one budget, in tokens.
type Holder struct {
	ID HolderID `msgpack:"id"`
	// Granted and Returned are cumulative.
	Granted  uint64 `msgpack:"g"`
	Returned uint64 `msgpack:"r"`
	// Settled is the usage reported so far.
	Settled uint64 `msgpack:"s"`
	// All reservations up to number Watermark are settled; WatermarkSettled is their
	// usage. Closing a fenced account adds the usage of the claims after the watermark.
	Watermark        uint64 `msgpack:"w"`
	WatermarkSettled uint64 `msgpack:"ws"`
	// LastRequest is the number of the newest grant request that was decided.
	LastRequest uint64 `msgpack:"q"`
	// Desired is the amount that the holder would hold ahead of demand if the budget were
	// not short, from its last report.
	Desired uint64 `msgpack:"wi,omitempty"`
	// Allowance is the newest allowance that the holder has requested.
	Allowance Allowance `msgpack:"cl"`
}

// Outstanding returns the tokens that the holder may still spend.
func (h *Holder) Outstanding() uint64 {
	return SaturatingSubtract(h.Granted, h.Returned+h.Settled)
}

// LoanPair identifies the loans from one holder to another.
type LoanPair struct {
	Lender   HolderID `msgpack:"l"`
	Borrower HolderID `msgpack:"b"`
}

// Loan is the total that one holder has lent another from one budget, in tokens.
type Loan struct {
	Lender   HolderID `msgpack:"l"`
	Borrower HolderID `msgpack:"h"`
	Budget   string   `msgpack:"b"`
	Total    uint64   `msgpack:"t"`
}

// Pair returns the pair of the loan's lender and borrower.
func (l Loan) Pair() LoanPair { return LoanPair{Lender: l.Lender, Borrower: l.Borrower} }

// Report is a holder's report on one budget, with an optional grant request.
type Report struct {
	Budget           string `msgpack:"b"`
	Settled          uint64 `msgpack:"s"`
	Returned         uint64 `msgpack:"r"`
	Watermark        uint64 `msgpack:"w"`
	WatermarkSettled uint64 `msgpack:"ws"`
	// Request numbers the holder's grant requests; 0 means none. Required is the amount that
	// requests already waiting lack, Expected the amount that the expected demand would use.
	Request  uint64 `msgpack:"q,omitempty"`
	Required uint64 `msgpack:"nd,omitempty"`
	Expected uint64 `msgpack:"wt,omitempty"`
	// Desired is the amount that the holder would hold ahead of demand if the budget were not
	// short.
	Desired uint64 `msgpack:"wi,omitempty"`
	// Allowance is the allowance that the holder requests.
	Allowance Allowance `msgpack:"cl"`
}

// Response is the root's response to one report.
type Response struct {
	Budget string `msgpack:"b"`
	// Granted is the holder's cumulative grant.
	Granted uint64 `msgpack:"g"`
	// Settled, Returned and Watermark are the values that the root now has in its log.
	Settled   uint64 `msgpack:"s"`
	Returned  uint64 `msgpack:"r"`
	Watermark uint64 `msgpack:"w"`
	Request   uint64 `msgpack:"q,omitempty"`
	// Short reports whether the request's required amount could not be granted now.
	Short bool `msgpack:"sh,omitempty"`
	// Remaining is the amount that can still be granted after this response.
	Remaining uint64 `msgpack:"l"`
	// Limit and Spent are the budget's limit and the usage of it that is certain.
	Limit uint64 `msgpack:"li"`
	Spent uint64 `msgpack:"sp"`
	// Outstanding is the amount that all holders together may still spend, Holders the
	// number of holders that have any of it.
	Outstanding uint64 `msgpack:"o"`
	Holders     int    `msgpack:"hs"`
	// TotalDesired is the total that all holders would hold ahead of demand.
	TotalDesired uint64 `msgpack:"wd,omitempty"`
	// Unknown reports whether there is no such budget, Closed whether this holder's
	// account is fenced and must not be spent from.
	Unknown bool `msgpack:"u,omitempty"`
	Closed  bool `msgpack:"c,omitempty"`
	// Allowance is the holder's newest allowance in the log.
	Allowance Allowance `msgpack:"cl"`
}

// Accounts holds all root accounts.
type Accounts struct {
	budgets map[string]*Budget
	// fencedIncarnations and closedIncarnations hold, for each node, the newest incarnation whose
	// accounts accept no more reports, and the newest whose accounts are closed.
	// A node's incarnation numbers only increase, so older ones are covered.
	fencedIncarnations map[string]uint64
	closedIncarnations map[string]uint64
	// contacts holds, for each open holder with allowances, the newest contact with
	// the root that the holder is known to have received.
	contacts map[HolderID]Contact
}

// New returns an empty set of accounts.
func New() *Accounts {
	return &Accounts{budgets: map[string]*Budget{}, fencedIncarnations: map[string]uint64{}, closedIncarnations: map[string]uint64{}, contacts: map[HolderID]Contact{}}
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

// Ensure returns the account of a name and creates it with limit 0 if there is none.
func (a *Accounts) Ensure(name string) *Budget {
	budget := a.budgets[name]
	if budget == nil {
		budget = &Budget{Name: name, Holders: map[HolderID]*Holder{}, HalfClosedLoans: map[LoanPair]uint64{}}
		a.budgets[name] = budget
	}
	return budget
}

// TopUp raises a limit by a number of tokens.
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

// SetLimit sets a limit to a configured value and creates the account if needed.
// Granted tokens stay covered: a lower limit takes effect as the grants are
// returned.
func (a *Accounts) SetLimit(name string, tokens uint64) {
	budget := a.Ensure(name)
	budget.Target = tokens
	budget.Limit = max(tokens, budget.Committed())
}

// Lower reduces a limit by a number of tokens. It refuses a limit below the granted
// tokens, since an accepted limit must never be exceeded. Recalling unused grants
// first allows a lower limit.
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

// ApplyReport applies one holder's report and decides its grant request.
// sharePercent is the budget's grant share; 0 means DefaultGrantSharePercent.
func (a *Accounts) ApplyReport(id HolderID, report Report, sharePercent uint32) Response {
	response := Response{Budget: report.Budget, Request: report.Request}
	budget := a.budgets[report.Budget]
	if budget == nil {
		response.Unknown = true
		return response
	}
	if a.Fenced(id) {
		response.Closed = true
		return response
	}
	holder := budget.holder(id)
	budget.applyReturn(holder, report.Returned)
	holder.Settled = max(holder.Settled, report.Settled)
	holder.Desired = report.Desired
	if report.Allowance.Sequence > holder.Allowance.Sequence {
		holder.Allowance = report.Allowance
	}
	if report.Watermark > holder.Watermark {
		holder.Watermark = report.Watermark
		holder.WatermarkSettled = report.WatermarkSettled
	}
	if report.Request > holder.LastRequest {
		granted := budget.grantAmount(report.Required, report.Expected, sharePercent)
		holder.Granted += granted
		budget.Granted += granted
		response.Short = granted < report.Required
		if !response.Short {
			// A request that was not granted in full may be repeated after a recall.
			holder.LastRequest = report.Request
		}
	}
	response.Granted, response.Allowance = holder.Granted, holder.Allowance
	response.Settled, response.Returned, response.Watermark = holder.Settled, holder.Returned, holder.Watermark
	response.Remaining = budget.Remaining()
	response.Limit, response.Spent = budget.Limit, budget.Spent()
	response.Outstanding, response.Holders = budget.outstandingByHolders()
	response.TotalDesired = budget.TotalDesired()
	return response
}

// Holders returns the holders with an open account in any budget, sorted.
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

// SaturatingSubtract returns value - subtrahend, or 0 where that would be negative.
func SaturatingSubtract(value, subtrahend uint64) uint64 {
	if subtrahend > value {
		return 0
	}
	return value - subtrahend
}
