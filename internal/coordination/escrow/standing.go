package escrow

import (
	"maps"
	"slices"
	"time"

	"github.com/ravenway/ravenway/internal/state/accounts"
)

const (
	// heldShare is the most that the holders together should hold ahead of
	// demand of what is unspent of a budget, while most of it is unspent.
	heldShare = 0.3
	// shortHeldShare makes the share shrink with the unspent part itself: a
	// budget that is half spent has half of it as its share, and so on.
	shortHeldShare = 0.5
	// allowanceHeldShare is the most that holders with allowances should hold ahead of
	// demand: what their allowances do not cover is not lost with them, and a cut can
	// only spend what they hold. The rest serves requests that come elsewhere
	// without a recall.
	allowanceHeldShare = 0.75
	// wishDrop is the part of the wish told to the root below which a lower wish
	// is told without any use to report.
	wishDrop = 0.5
	// standingStep is the part of the unspent tokens last told to the holders
	// below which they are told again.
	standingStep = 0.88
	// standingInterval is the least time between two tellings of one budget.
	standingInterval = 200 * time.Millisecond
)

// Standing is how a budget stands as a whole, in tokens.
type Standing struct {
	Budget string `msgpack:"b"`
	// Limit is the budget's limit, Unspent what is not known to be spent of it,
	// in the holders' hands or not.
	Limit   uint64 `msgpack:"l"`
	Unspent uint64 `msgpack:"u"`
	// Wished is what all holders wish to hold ahead of demand.
	Wished uint64 `msgpack:"w"`
}

// StandingOf returns how a root account stands.
func StandingOf(budget *accounts.Budget) Standing {
	return Standing{
		Budget: budget.Name, Limit: budget.Limit, Unspent: budget.Remaining() + budget.Outstanding(), Wished: budget.TotalDesired(),
	}
}

func standingOf(answer accounts.Response) Standing {
	return Standing{Budget: answer.Budget, Limit: answer.Limit, Unspent: answer.Remaining + answer.Outstanding, Wished: answer.TotalDesired}
}

// most is what the holders together should hold ahead of demand. What a node
// holds is lost with it, and what a short budget can't serve in a cut it can
// serve after it: so the nodes hold little of a budget that is short.
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

// part is what a holder with a wish should hold: all of it, or its part of the
// most that all should hold.
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

// isKnownShort tells whether all that was unspent of the budget, wherever it is, was
// less than some tokens when the root last said so.
func (a *account) isKnownShort(tokens uint64) bool { return a.known && a.standing.Unspent < tokens }

// wishChanged tells whether the root believes in a wish that is long over, and
// other holders get less for it.
func (a *account) wishChanged(now time.Duration) bool {
	isShort := a.known && float64(a.standing.Wished) > a.standing.most(a.contact != nil)
	return isShort && float64(a.wish(now)) < wishDrop*float64(a.wished)
}

// TakeStandings notes how budgets stand. What is held beyond the node's part
// goes back at the next Tick.
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

// toldStanding is what the holders of a budget were last told.
type toldStanding struct {
	unspent uint64
	at      time.Duration
}

// tellStandings tells the holders of budgets that became short since they were
// last told. A holder without requests reports nothing and would otherwise go
// on holding its part of what was left long ago.
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
