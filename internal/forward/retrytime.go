package forward

import (
	"math/rand/v2"
	"time"

	"github.com/ravenway/ravenway/internal/coordination/balance"
)

// minimumRetrySpread and maximumRetrySpread bound the time over which retries are spread after a
// pause ends. The spread is a quarter of the time left of the pause.
const (
	minimumRetrySpread = 200 * time.Millisecond
	maximumRetrySpread = 2 * time.Second
	retrySpreadShare   = 0.25
	// fullRetrySpread spreads the retries of requests for which brittle instances have no free slot:
	// a run takes about as long.
	fullRetrySpread = 500 * time.Millisecond
)

// nextAvailable returns when a service's instances accept the request if only pauses or rate
// limits exclude all of them. It returns false if they are excluded for another reason.
func (r *request) nextAvailable(service string) (balance.Availability, bool) {
	return r.pipeline.options.Table.NextAvailable(r.pipeline.options.Environment.Now(), r.balanceRequest(service))
}

// planRetry sets the time after which the request's caller should retry. It returns the reason
// for the refusal.
func (r *request) planRetry(service string, next balance.Availability) Reason {
	if next.IsFull {
		r.retryTime = max(next.Wait, minimumRetrySpread) + rand.N(fullRetrySpread)
		return ReasonFull
	}
	if next.IsPause {
		spread := min(max(time.Duration(retrySpreadShare*float64(next.Wait)), minimumRetrySpread), maximumRetrySpread)
		r.retryTime = next.Wait + rand.N(spread)
		return ReasonPaused
	}
	environment := r.pipeline.options.Environment
	perSecond := next.PerSecond / float64(max(1, environment.EntryNodes()))
	r.retryTime = r.pipeline.retryTimes.Next(environment.Now(), service, next.Wait, perSecond)
	return ReasonRateLimited
}
