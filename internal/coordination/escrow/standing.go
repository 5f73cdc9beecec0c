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
	// wishDrop is the share of the last reported desired amount below which a lower one is reported even
	// without use to report.
	wishDrop = 0.5
	// standingStep is the share of the unspent tokens in the last summary sent to the holders at or
	// below which a new one is sent.
	standingStep = 0.88
	// standingInterval is the minimum time between two summaries of one budget.
	standingInterval = 200 * time.Millisecond
)

// Standing is the summary of a whole budget, in tokens.
type Standing struct {
	Budget string `msgpack:"b"`
	// Limit is the budget's limit. Unspent is the part of it that is not known to be spent, whether
	// granted to holders or not.
	Limit   uint64 `msgpack:"l"`
	Unspent uint64 `msgpack:"u"`
	// Wished is the sum of the holders' desired amounts.
	Wished uint64 `msgpack:"w"`
}

// StandingOf returns the summary of a root account.
func StandingOf(budget *accounts.Budget) Standing {
	return Standing{
		Budget: budget.Name, Limit: budget.Limit, Unspent: budget.Left() + budget.Outstanding(), Wished: budget.Wished(),
	}
}

func standingOf(answer accounts.Answer) Standing {
	return Standing{Budget: answer.Budget, Limit: answer.Limit, Unspent: answer.Left + answer.Outstanding, Wished: answer.Wished}
}

// most returns the maximum tokens that the holders together should hold ahead of demand. What a node
// holds is lost with it, and a short budget can serve after a partition what it can't serve during
// it, so the nodes hold little of a short budget.
func (s Standing) most(hasAllowances bool) float64 {
	if s.Limit == 0 {
		return 0
	}
	unspent := float64(s.Unspent)
	if hasAllowances {
		return allowanceHeldShare * unspent
	}
	return unspent * min(heldShare, shortHeldShare*unspent/float64(s.Limit))
}

// part returns the tokens that a holder with a desired amount should hold: all of it, or its share of
// the maximum that all holders should hold.
func (s Standing) part(wish uint64, hasAllowances bool) uint64 {
	most := s.most(hasAllowances)
	if wished := float64(max(s.Wished, wish)); wished > most {
		return uint64(float64(wish) * most / wished)
	}
	return wish
}

func (a *account) takeStanding(standing Standing) {
	a.standing, a.known = standing, true
}

// isKnownShort reports whether the whole unspent part of the budget was below a number of tokens in
// the root's last summary.
func (a *account) isKnownShort(tokens uint64) bool { return a.known && a.standing.Unspent < tokens }

// wishChanged reports whether the root still has a desired amount of this holder that is far too high,
// so that other holders of a short budget get less.
func (a *account) wishChanged(now time.Duration) bool {
	isShort := a.known && float64(a.standing.Wished) > a.standing.most(a.contact != nil)
	return isShort && float64(a.wish(now)) < wishDrop*float64(a.wished)
}

// TakeStandings records summaries of budgets. The next Tick returns what is held beyond the node's
// share.
func (h *Holder) TakeStandings(message StandingsMessage) {
	if message.Holder != h.options.ID {
		return
	}
	for _, standing := range message.Standings {
		if found := h.accounts[standing.Budget]; found != nil {
			found.takeStanding(standing)
		}
	}
}

// toldStanding is the last summary that was sent to the holders of a budget.
type toldStanding struct {
	unspent uint64
	at      time.Duration
}

// tellStandings sends summaries to the holders of budgets that became shorter since the last one. A
// holder without requests reports nothing and would otherwise keep its share of what was left long
// ago.
func (r *Root) tellStandings(now time.Duration) {
	due := map[accounts.HolderID][]Standing{}
	for _, budget := range r.changed {
		standing := r.options.StandingOf(budget)
		told, known := r.told[budget]
		if known && (float64(standing.Unspent) > standingStep*float64(told.unspent) || now-told.at < standingInterval) {
			if standing.Unspent > told.unspent {
				r.told[budget] = toldStanding{unspent: standing.Unspent, at: told.at}
			}
			continue
		}
		r.told[budget] = toldStanding{unspent: standing.Unspent, at: now}
		for _, holder := range r.options.HoldersOf(budget) {
			due[holder.ID] = append(due[holder.ID], standing)
		}
	}
	r.changed = r.changed[:0]
	for _, holder := range slices.SortedFunc(maps.Keys(due), accounts.HolderID.Compare) {
		r.options.Tell(holder.Node, StandingsMessage{Holder: holder, Standings: due[holder]})
	}
}
