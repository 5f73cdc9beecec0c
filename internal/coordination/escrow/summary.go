package escrow

import (
	"maps"
	"slices"
	"time"

	"github.com/ravenway/ravenway/internal/state/accounts"
)

const (
	// heldShare is the maximum share of a budget's unspent tokens that the holders together should hold
	// ahead of demand, while most of the budget is unspent.
	heldShare = 0.3
	// shortHeldShare makes the share shrink with the unspent part of the limit: the share is
	// shortHeldShare times that part, where that is below heldShare.
	shortHeldShare = 0.5
	// allowanceHeldShare is the maximum share that holders with allowances should hold ahead of demand.
	// What their allowances do not cover is not lost with them, and in a partition only what they hold
	// can be spent. The remainder serves requests at other nodes without a recall.
	allowanceHeldShare = 0.75
	// desiredDropShare is the share of the last reported desired amount below which a lower one is
	// reported even without use to report.
	desiredDropShare = 0.5
	// summaryStep sets when a new summary is sent to the holders: once the unspent tokens have fallen
	// to this share of those in the last one.
	summaryStep = 0.88
	// summaryInterval is the minimum time between two summaries of one budget.
	summaryInterval = 200 * time.Millisecond
)

// BudgetSummary is the summary of a whole budget, in tokens.
type BudgetSummary struct {
	Budget string `msgpack:"b"`
	// Limit is the budget's limit. Unspent is the part of it that is not known to be spent, whether
	// granted to holders or not.
	Limit   uint64 `msgpack:"l"`
	Unspent uint64 `msgpack:"u"`
	// TotalDesired is the sum of the holders' desired amounts.
	TotalDesired uint64 `msgpack:"w"`
}

// SummaryOf returns the summary of a root account.
func SummaryOf(budget *accounts.Budget) BudgetSummary {
	return BudgetSummary{
		Budget: budget.Name, Limit: budget.Limit, Unspent: budget.Remaining() + budget.Outstanding(), TotalDesired: budget.TotalDesired(),
	}
}

func summaryOfResponse(response accounts.Response) BudgetSummary {
	return BudgetSummary{Budget: response.Budget, Limit: response.Limit, Unspent: response.Remaining + response.Outstanding, TotalDesired: response.TotalDesired}
}

// maximumHeld returns the maximum tokens that the holders together should hold ahead of demand. What a
// node holds is lost with it, while a short budget can serve after a partition what it can't serve
// during it. So the nodes hold little of a short budget.
func (s BudgetSummary) maximumHeld(hasAllowances bool) float64 {
	if s.Limit == 0 {
		return 0
	}
	unspent := float64(s.Unspent)
	if hasAllowances {
		return allowanceHeldShare * unspent
	}
	return unspent * min(heldShare, shortHeldShare*unspent/float64(s.Limit))
}

// share returns the tokens that a holder with a desired amount should hold: all of it, or its share of
// the maximum that all holders should hold.
func (s BudgetSummary) share(desired uint64, hasAllowances bool) uint64 {
	maximum := s.maximumHeld(hasAllowances)
	if totalDesired := float64(max(s.TotalDesired, desired)); totalDesired > maximum {
		return uint64(float64(desired) * maximum / totalDesired)
	}
	return desired
}

func (a *account) setSummary(summary BudgetSummary) {
	a.summary, a.hasSummary = summary, true
}

// isKnownShort reports whether the whole unspent part of the budget was below a number of tokens in
// the root's last summary.
func (a *account) isKnownShort(tokens uint64) bool { return a.hasSummary && a.summary.Unspent < tokens }

// desiredDropped reports whether the root still has a desired amount of this holder that is far too
// high, so that other holders of a short budget get less.
func (a *account) desiredDropped(now time.Duration) bool {
	isShort := a.hasSummary && float64(a.summary.TotalDesired) > a.summary.maximumHeld(a.contact != nil)
	return isShort && float64(a.desired(now)) < desiredDropShare*float64(a.reportedDesired)
}

// HandleSummaries records summaries of budgets. The next Tick returns what is held beyond the node's
// share.
func (h *Holder) HandleSummaries(message SummariesMessage) {
	if message.Holder != h.options.ID {
		return
	}
	for _, summary := range message.Summaries {
		if found := h.accounts[summary.Budget]; found != nil {
			found.setSummary(summary)
		}
	}
}

// sentSummary is the last summary that was sent to the holders of a budget.
type sentSummary struct {
	unspent uint64
	at      time.Duration
}

// sendSummaries sends summaries to the holders of budgets that became shorter since the last one. A
// holder without requests reports nothing and would otherwise keep its share of what was unspent
// at its last report.
func (r *Root) sendSummaries(now time.Duration) {
	due := map[accounts.HolderID][]BudgetSummary{}
	for _, budget := range r.changed {
		summary := r.options.SummaryOf(budget)
		sent, known := r.sentSummaries[budget]
		if known && (float64(summary.Unspent) > summaryStep*float64(sent.unspent) || now-sent.at < summaryInterval) {
			if summary.Unspent > sent.unspent {
				r.sentSummaries[budget] = sentSummary{unspent: summary.Unspent, at: sent.at}
			}
			continue
		}
		r.sentSummaries[budget] = sentSummary{unspent: summary.Unspent, at: now}
		for _, holder := range r.options.HoldersOf(budget) {
			due[holder.ID] = append(due[holder.ID], summary)
		}
	}
	r.changed = r.changed[:0]
	for _, holder := range slices.SortedFunc(maps.Keys(due), accounts.HolderID.Compare) {
		r.options.SendSummaries(holder.Node, SummariesMessage{Holder: holder, Summaries: due[holder]})
	}
}
