package escrow

import (
	"math"
	"time"

	"github.com/ravenway/ravenway/internal/state/accounts"
)

// account is the holder's part of one budget, in tokens.
type account struct {
	name     string
	policy   Policy
	granted  uint64
	returned uint64
	settled  uint64
	reserved uint64
	// borrowed and lent are cumulative, by the other holder.
	borrowed map[accounts.HolderID]uint64
	lent     map[accounts.HolderID]*givenLoan
	// open are the reservations not settled yet; ahead are the uses of settled
	// ones behind an open one.
	open             map[uint64]uint64
	ahead            map[uint64]uint64
	sequence         uint64
	watermark        uint64
	watermarkSettled uint64
	// confirmed is what the root has in its log.
	confirmed confirmation
	// allowances bound the use of the grant, and contact is the holder's with the
	// root; contact is nil where the whole grant may be used at any time.
	allowances allowances
	contact    *rootContact

	// standing is how the budget stands as a whole as the root last said; known
	// tells that it did.
	standing Standing
	known    bool
	// wished is the wish that the root was last told.
	wished uint64

	waiters []waiter
	// lastWaiter numbers the waiters, from 1.
	lastWaiter uint64
	request    uint64
	// requested is set while a request is unanswered; reportedAt is when the
	// last report was sent.
	requested   bool
	requestedAt time.Duration
	reportedAt  time.Duration
	// resendAfter is when an unanswered request is repeated after the last
	// report. It doubles: a root that is behind must not get ever more to do.
	resendAfter time.Duration
	loanAskedAt time.Duration
	loanAsked   bool
	// lenders are the neighbours to ask for the first waiter, lendersAsked how many
	// of them were asked.
	lenders      []string
	lendersAsked int
	// pooled tells that the budget is left to the zone's pool holders.
	pooled bool

	// demand is what requests ask for, reserving what of it they get.
	demand, reserving smoothedRate
	// requestSize is the smoothed size of a request, and requestedLast the
	// time of the last one.
	requestSize   float64
	requestedLast time.Duration
	// nextTopUp is when the node may ask ahead of demand again.
	nextTopUp time.Duration
}

type waiter struct {
	number   uint64
	amount   uint64
	since    time.Duration
	deadline time.Duration
	// borrower is the other node's life that a pool holder lends to; none if the
	// tokens are for a request of this node.
	borrower accounts.HolderID
	search   poolSearch
	done     func(Reservation, error)
}

// isLoan tells whether the tokens are for another node.
func (w waiter) isLoan() bool { return w.borrower != accounts.HolderID{} }

func (a *account) addWaiter(one waiter) {
	a.lastWaiter++
	one.number = a.lastWaiter
	a.waiters = append(a.waiters, one)
}

// confirmation is what the root has answered that it knows, cumulative.
type confirmation struct {
	settled, returned, watermark uint64
}

// unreserved is what is held and not in use, lent or returned, in tokens.
func (a *account) unreserved() uint64 {
	return accounts.SaturatingSubtract(a.granted+sum(a.borrowed), a.returned+a.settled+a.reserved+a.lentTotal())
}

// free is what may be reserved now, in tokens.
func (a *account) free() uint64 {
	if a.contact == nil {
		return a.unreserved()
	}
	usable := accounts.SaturatingSubtract(a.allowed()+sum(a.borrowed), a.settled+a.reserved+a.lentTotal())
	return min(a.unreserved(), usable)
}

func sum(amounts map[accounts.HolderID]uint64) uint64 {
	var total uint64
	for _, amount := range amounts {
		total += amount
	}
	return total
}

func (a *account) startRequest(now time.Duration) {
	a.request++
	a.requested = true
	a.requestedAt = now
	a.reportedAt = 0
	a.resendAfter = firstResend / 2
	a.loanAsked = false
}

func (a *account) reserve(amount uint64) Reservation {
	a.sequence++
	a.reserved += amount
	a.open[a.sequence] = amount
	return Reservation{Budget: a.name, Sequence: a.sequence, Amount: amount}
}

// noteDemand notes what a request asks for.
func (a *account) noteDemand(now time.Duration, amount uint64) {
	a.demand.add(now, amount)
	if a.requestSize == 0 {
		a.requestSize = float64(amount)
	}
	a.requestSize += (float64(amount) - a.requestSize) * requestWeight
	a.requestedLast = now
}

// wish is what the node would hold if the budget were not short, in tokens: the
// demand of a horizon, and while there is any demand enough for a request of
// middle size, so that a cut-off node can go on serving a tenant that sends
// little. Nodes lend each other what larger ones need. A budget that is left to pool
// holders is not held ahead at all.
func (a *account) wish(now time.Duration) uint64 {
	if a.pooled {
		return 0
	}
	expected := uint64(a.demand.at(now) * a.policy.Horizon.Seconds())
	if now-a.requestedLast <= requestMemory {
		expected = max(expected, uint64(a.requestSize))
	}
	return expected
}

// target is what the node should hold, in tokens: its wish, cut in the same
// proportion as all others' where together they wish for more than the budget
// bears.
func (a *account) target(now time.Duration) uint64 {
	wish := a.wish(now)
	if !a.known {
		return wish
	}
	return a.standing.part(wish, a.contact != nil)
}

// lack is what the first waiter needs beyond what may be reserved now.
func (a *account) lack() uint64 {
	if len(a.waiters) == 0 {
		return 0
	}
	return accounts.SaturatingSubtract(a.waiters[0].amount, a.free())
}

// grantLack is what the first waiter needs beyond what is held.
func (a *account) grantLack() uint64 {
	if len(a.waiters) == 0 {
		return 0
	}
	return accounts.SaturatingSubtract(a.waiters[0].amount, a.unreserved())
}

// waiting is what all waiters need, in tokens.
func (a *account) waiting() uint64 {
	var total uint64
	for _, one := range a.waiters {
		total += one.amount
	}
	return total
}

func (a *account) returnSurplus(now time.Duration) {
	target := a.target(now)
	if held := a.unreserved(); len(a.waiters) == 0 && float64(held) > float64(target)*highShare {
		a.returned += held - target
	}
}

// topUp asks ahead of demand, so that requests rarely wait for the root.
func (a *account) topUp(now time.Duration) {
	if a.requested || len(a.waiters) > 0 {
		return
	}
	if target := a.target(now); float64(a.unreserved()) < float64(target)*lowShare && now >= a.nextTopUp {
		// A budget that is nearly spent can't fill it: not asked at every tick.
		a.nextTopUp = now + topUpPause
		a.startRequest(now)
	}
}

// unconfirmed tells whether the root may lack something: a report counts only
// once an answer has repeated what it said.
func (a *account) unconfirmed() bool {
	return a.settled > a.confirmed.settled || a.returned > a.confirmed.returned || a.watermark > a.confirmed.watermark
}

func (a *account) reportDue(now time.Duration) bool {
	switch {
	case a.requested:
		return a.reportedAt == 0 || now-a.reportedAt >= a.resendAfter
	case a.unconfirmed(), a.wishChanged(now):
		if a.reportedAt == 0 || now-a.reportedAt >= reportInterval {
			return true
		}
	}
	if a.contact == nil {
		return false
	}
	if len(a.allowances.sent) > 0 {
		return now-a.reportedAt >= lastResend
	}
	return a.allowanceDue()
}

// confirm notes what an answer says that the root has.
func (a *account) confirm(answer accounts.Response) (advanced bool) {
	advanced = answer.Watermark > a.confirmed.watermark
	a.confirmed.settled = max(a.confirmed.settled, answer.Settled)
	a.confirmed.returned = max(a.confirmed.returned, answer.Returned)
	a.confirmed.watermark = max(a.confirmed.watermark, answer.Watermark)
	a.allowances.confirm(answer.Allowance)
	a.takeStanding(standingOf(answer))
	return advanced
}

func (a *account) report(now time.Duration) accounts.Report {
	a.reportedAt = now
	report := accounts.Report{
		Budget: a.name, Settled: a.settled, Returned: a.returned,
		Watermark: a.watermark, WatermarkSettled: a.watermarkSettled, Desired: a.wish(now),
	}
	a.wished = report.Desired
	if a.requested {
		a.resendAfter = min(2*a.resendAfter, lastResend)
		report.Request = a.request
		report.Required = a.grantLack()
		wanted := max(a.target(now), a.waiting())
		report.Expected = max(report.Required, accounts.SaturatingSubtract(wanted, a.unreserved()))
	}
	if a.contact != nil {
		report.Allowance = a.nextAllowance()
	}
	return report
}

// smoothedRate is a rate in tokens a second, smoothed with an exponential decay.
type smoothedRate struct {
	sum     float64
	summed  time.Duration
	began   time.Duration
	started bool
}

func (r *smoothedRate) add(now time.Duration, amount uint64) {
	r.decay(now)
	if !r.started {
		r.started, r.began = true, now
	}
	r.sum += float64(amount) / demandHalfLife.Seconds() * ln2
}

const ln2 = 0.6931471805599453

func (r *smoothedRate) decay(now time.Duration) {
	elapsed := now - r.summed
	r.summed = now
	if elapsed > 0 {
		r.sum *= halfPower(float64(elapsed) / float64(demandHalfLife))
	}
}

// at returns the rate. A sum that decays holds less than the true rate until
// several half-lives have passed; what it can't hold yet is made up for.
func (r *smoothedRate) at(now time.Duration) float64 {
	r.decay(now)
	elapsed := max(now-r.began, minimumDemandTime)
	return r.sum / (1 - halfPower(float64(elapsed)/float64(demandHalfLife)))
}

// halfPower returns 0.5 to the power of x.
func halfPower(x float64) float64 { return math.Exp2(-x) }

func (a *account) lentTotal() uint64 {
	var total uint64
	for _, given := range a.lent {
		total += given.total
	}
	return total
}
