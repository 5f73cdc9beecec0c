package forward

import (
	"math/rand/v2"
	"time"

	"github.com/ravenway/ravenway/internal/coordination/balance"
)

// leastReturnSpread and mostReturnSpread bound the time over which callers come back once a
// pause is over, a quarter of what is left of it.
const (
	leastReturnSpread = 200 * time.Millisecond
	mostReturnSpread  = 2 * time.Second
	returnSpreadShare = 0.25
)

// nextAvailable tells when a service's instances take the request that only pauses or limits
// keep from all of them; false if something else does.
func (r *request) nextAvailable(service string) (balance.Availability, bool) {
	return r.pipeline.options.Table.NextAvailable(r.pipeline.options.Environment.Now(), r.wanted(service))
}

// planReturn plans when the request's caller may come back. It returns why the request is
// refused.
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
