package escrow

import (
	"math"
	"time"

	"github.com/ravenway/ravenway/internal/state/accounts"
)

// account is the holder's part of one budget. Amounts are in tokens.
type account struct {
	name     string
	policy   Policy
	granted  uint64
	returned uint64
	settled  uint64
	reserved uint64
	// borrowed and lent are cumulative, keyed by the other holder.
	borrowed map[accounts.HolderID]uint64
	lent     map[accounts.HolderID]*loanState
	// open holds the reservations that are not settled yet, by sequence number. settledAhead holds
	// the use of reservations that were settled while an earlier one is still open.
	open         map[uint64]uint64
	settledAhead map[uint64]uint64
	// sequence is the number of the newest reservation. All reservations up to watermark are settled,
	// with watermarkSettled as the sum of their use.
	sequence         uint64
	watermark        uint64
	watermarkSettled uint64
	// confirmed is what the root is known to have in its log.
	confirmed confirmation
	// allowances bound the use of the grant. contact is the holder's contact with the root; it is nil
	// if the whole grant may be used at any time.
	allowances allowances
	contact    *rootContact

	// summary is the root's last summary of the whole budget; hasSummary reports whether one was
	// received.
	summary    BudgetSummary
	hasSummary bool
	// reportedDesired is the desired amount of the last report to the root.
	reportedDesired uint64

	waiters []waiter
	// lastWaiter is the number of the newest waiter. Waiters are numbered from 1.
	lastWaiter uint64
	// requestNumber numbers the requests to the root; a response repeats it.
	requestNumber uint64
	// requested is set while a request to the root has no response; reportedAt is when the last report
	// was sent.
	requested   bool
	requestedAt time.Duration
	reportedAt  time.Duration
	// resendAfter is the time after the last report at which a request without a response is repeated.
	// It doubles with each repetition, so that repetitions don't add load to a root that is behind.
	resendAfter      time.Duration
	loansRequestedAt time.Duration
	loansRequested   bool
	// lenders are the nodes to request loans from for the first waiter, and requestedLenders is how
	// many of them have been sent a request.
	lenders          []string
	requestedLenders int
	// pooled reports whether the node leaves this budget to the zone's pool holders.
	pooled bool

	// demand is the rate at which requests require tokens, reserving the rate at which they receive
	// them.
	demand, reserving smoothedRate
	// requestSize is the smoothed size of a request in tokens, and requestedLast is the time of the
	// last one.
	requestSize   float64
	requestedLast time.Duration
	// nextTopUp is the earliest time of the next request ahead of demand.
	nextTopUp time.Duration
}

// waiter is a request that waits for tokens, of this node or of another one.
type waiter struct {
	number   uint64
	amount   uint64
	since    time.Duration
	deadline time.Duration
	// borrower is the incarnation of the other node that a pool holder lends to. It is zero if the
	// tokens are for a request of this node.
	borrower accounts.HolderID
	search   poolSearch
	done     func(Reservation, error)
}

// isLoan reports whether the tokens are for another node.
func (w waiter) isLoan() bool { return w.borrower != accounts.HolderID{} }

func (a *account) addWaiter(added waiter) {
	a.lastWaiter++
	added.number = a.lastWaiter
	a.waiters = append(a.waiters, added)
}

// confirmation holds the cumulative amounts that the root has confirmed in its responses.
type confirmation struct {
	settled, returned, watermark uint64
}

// unreserved returns the tokens that are held and neither used, reserved, lent nor returned.
func (a *account) unreserved() uint64 {
	return accounts.SaturatingSubtract(a.granted+sum(a.borrowed), a.returned+a.settled+a.reserved+a.lentTotal())
}

// free returns the tokens that may be reserved now.
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
	a.requestNumber++
	a.requested = true
	a.requestedAt = now
	a.reportedAt = 0
	a.resendAfter = firstResend / 2
	a.loansRequested = false
}

func (a *account) reserve(amount uint64) Reservation {
	a.sequence++
	a.reserved += amount
	a.open[a.sequence] = amount
	return Reservation{Budget: a.name, Sequence: a.sequence, Amount: amount}
}

// noteDemand adds a request's required amount to the demand and to the smoothed request size.
func (a *account) noteDemand(now time.Duration, amount uint64) {
	a.demand.add(now, amount)
	if a.requestSize == 0 {
		a.requestSize = float64(amount)
	}
	a.requestSize += (float64(amount) - a.requestSize) * requestSizeWeight
	a.requestedLast = now
}

// desired returns the desired amount: the tokens that the node would hold if the budget were not short.
// It is the demand of one horizon, and while there is any demand at least enough for a request of
// average size, so that a partitioned node can go on serving a tenant that sends little. Nodes lend
// each other what larger requests require. A budget that is left to pool holders is not held ahead of demand.
func (a *account) desired(now time.Duration) uint64 {
	if a.pooled {
		return 0
	}
	expected := uint64(a.demand.at(now) * a.policy.Horizon.Seconds())
	if now-a.requestedLast <= requestSizeMemory {
		expected = max(expected, uint64(a.requestSize))
	}
	return expected
}

// target returns the tokens that the node should hold: its desired amount, scaled down in the same
// proportion as that of all other holders if together they desire more than they should hold.
func (a *account) target(now time.Duration) uint64 {
	desired := a.desired(now)
	if !a.hasSummary {
		return desired
	}
	return a.summary.share(desired, a.contact != nil)
}

// shortfall returns the tokens that the first waiter requires beyond what may be reserved now.
func (a *account) shortfall() uint64 {
	if len(a.waiters) == 0 {
		return 0
	}
	return accounts.SaturatingSubtract(a.waiters[0].amount, a.free())
}

// grantShortfall returns the tokens that the first waiter requires beyond what is held.
func (a *account) grantShortfall() uint64 {
	if len(a.waiters) == 0 {
		return 0
	}
	return accounts.SaturatingSubtract(a.waiters[0].amount, a.unreserved())
}

// totalWaiting returns the tokens that all waiters require.
func (a *account) totalWaiting() uint64 {
	var total uint64
	for _, waiting := range a.waiters {
		total += waiting.amount
	}
	return total
}

func (a *account) returnSurplus(now time.Duration) {
	target := a.target(now)
	if held := a.unreserved(); len(a.waiters) == 0 && float64(held) > float64(target)*surplusShare {
		a.returned += held - target
	}
}

// topUp requests tokens ahead of demand, so that requests rarely wait for the root.
func (a *account) topUp(now time.Duration) {
	if a.requested || len(a.waiters) > 0 {
		return
	}
	if target := a.target(now); float64(a.unreserved()) < float64(target)*topUpShare && now >= a.nextTopUp {
		// A nearly spent budget can't reach the target, so the request is not repeated at every tick.
		a.nextTopUp = now + topUpInterval
		a.startRequest(now)
	}
}

// unconfirmed reports whether the root may lack an amount. A report counts as received only once a
// response has repeated its amounts.
func (a *account) unconfirmed() bool {
	return a.settled > a.confirmed.settled || a.returned > a.confirmed.returned || a.watermark > a.confirmed.watermark
}

func (a *account) reportDue(now time.Duration) bool {
	switch {
	case a.requested:
		return a.reportedAt == 0 || now-a.reportedAt >= a.resendAfter
	case a.unconfirmed(), a.desiredDropped(now):
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

// confirm records the amounts that a response confirms, and reports whether the watermark advanced.
func (a *account) confirm(response accounts.Response) (advanced bool) {
	advanced = response.Watermark > a.confirmed.watermark
	a.confirmed.settled = max(a.confirmed.settled, response.Settled)
	a.confirmed.returned = max(a.confirmed.returned, response.Returned)
	a.confirmed.watermark = max(a.confirmed.watermark, response.Watermark)
	a.allowances.confirm(response.Allowance)
	a.setSummary(summaryOfResponse(response))
	return advanced
}

func (a *account) report(now time.Duration) accounts.Report {
	a.reportedAt = now
	report := accounts.Report{
		Budget: a.name, Settled: a.settled, Returned: a.returned,
		Watermark: a.watermark, WatermarkSettled: a.watermarkSettled, Desired: a.desired(now),
	}
	a.reportedDesired = report.Desired
	if a.requested {
		a.resendAfter = min(2*a.resendAfter, lastResend)
		report.Request = a.requestNumber
		report.Required = a.grantShortfall()
		expected := max(a.target(now), a.totalWaiting())
		report.Expected = max(report.Required, accounts.SaturatingSubtract(expected, a.unreserved()))
	}
	if a.contact != nil {
		report.Allowance = a.nextAllowance()
	}
	return report
}

// smoothedRate is a rate in tokens a second, smoothed with an exponential decay. The sum is decayed up
// to the time decayedAt.
type smoothedRate struct {
	sum       float64
	decayedAt time.Duration
	startedAt time.Duration
	started   bool
}

func (r *smoothedRate) add(now time.Duration, amount uint64) {
	r.decay(now)
	if !r.started {
		r.started, r.startedAt = true, now
	}
	r.sum += float64(amount) / demandHalfLife.Seconds() * ln2
}

const ln2 = 0.6931471805599453

func (r *smoothedRate) decay(now time.Duration) {
	elapsed := now - r.decayedAt
	r.decayedAt = now
	if elapsed > 0 {
		r.sum *= halfPower(float64(elapsed) / float64(demandHalfLife))
	}
}

// at returns the rate in tokens a second. A decaying sum is below the true rate until several
// half-lives have passed; the division corrects for the time that is still missing.
func (r *smoothedRate) at(now time.Duration) float64 {
	r.decay(now)
	elapsed := max(now-r.startedAt, minimumDemandTime)
	return r.sum / (1 - halfPower(float64(elapsed)/float64(demandHalfLife)))
}

// halfPower returns 0.5 to the power of x.
func halfPower(x float64) float64 { return math.Exp2(-x) }

func (a *account) lentTotal() uint64 {
	var total uint64
	for _, state := range a.lent {
		total += state.total
	}
	return total
}
