package forward

import (
	"math/rand/v2"
	"time"

	"github.com/ravenway/ravenway/internal/coordination/balance"
)

// leastReturnSpread and mostReturnSpread bound the time over which retries are spread after a
// pause ends. The spread is a quarter of the time left of the pause.
const (
	leastReturnSpread = 200 * time.Millisecond
	mostReturnSpread  = 2 * time.Second
	returnSpreadShare = 0.25
)

// nextAvailable returns when a service's instances accept the request if only pauses or rate
// limits exclude all of them. It returns false if they are excluded for another reason.
func (r *request) nextAvailable(service string) (balance.Availability, bool) {
	return r.pipeline.options.Table.NextAvailable(r.pipeline.options.Environment.Now(), r.wanted(service))
}

// planReturn sets the time after which the request's caller should retry. It returns the reason
// for the refusal.
func (r *request) planReturn(service string, next balance.Availability) Reason {
	if next.IsPause {
		spread := min(max(time.Duration(returnSpreadShare*float64(next.Wait)), leastReturnSpread), mostReturnSpread)
		r.comeBack = next.Wait + rand.N(spread)
		return ReasonPaused
	}
	environment := r.pipeline.options.Environment
	perSecond := next.PerSecond / float64(max(1, environment.EntryNodes()))
	r.comeBack = r.pipeline.returns.Next(environment.Now(), service, next.Wait, perSecond)
	return ReasonRateLimited
}
