package routing

import (
	"math"
	"time"
)

const (
	// minimumLimit is the minimum number of concurrent requests at a back end.
	minimumLimit = 1.0
	// limitDecrease is the factor that the limit is multiplied by after a rejection. It is applied
	// at most once per limitDecreaseInterval, because rejections close together are one event.
	limitDecrease         = 0.5
	limitDecreaseInterval = time.Second
	// breakerFailures consecutive failures open the breaker, for breakerFirstOpen at first and
	// twice as long after each failed trial, up to breakerMaximumOpen.
	breakerFailures    = 5
	breakerFirstOpen   = 500 * time.Millisecond
	breakerMaximumOpen = 10 * time.Second
)

// limiter bounds the number of requests that one node keeps in flight at a back end, by additive
// increase and multiplicative decrease: the limit is halved after rejections and grows by one for
// each limit's worth of successes.
type limiter struct {
	limit        float64
	maximum      float64
	decreasedAt  time.Duration
	hasDecreased bool
}

func newLimiter(maximum int) limiter {
	return limiter{limit: float64(maximum), maximum: float64(maximum)}
}

func (l *limiter) setMaximum(maximum int) {
	l.maximum = float64(maximum)
	l.limit = min(l.limit, l.maximum)
}

func (l *limiter) current() float64 { return l.limit }

func (l *limiter) end(now time.Duration, result Result) {
	switch result {
	case Succeeded:
		l.limit = min(l.maximum, l.limit+1/l.limit)
	case Overloaded:
		if l.hasDecreased && now-l.decreasedAt < limitDecreaseInterval {
			return
		}
		l.limit = max(minimumLimit, l.limit*limitDecrease)
		l.decreasedAt, l.hasDecreased = now, true
	}
}

// breaker is a circuit breaker: it keeps requests away from a back end that fails, and allows one
// trial request at a time to find out whether the back end has recovered.
type breaker struct {
	// failures is the number of consecutive failures.
	failures int
	isOpen   bool
	// openFor is how long the breaker is open before the next trial, and retryAt is when that time
	// ends.
	openFor time.Duration
	retryAt time.Duration
	// hasTrial reports whether a trial request is in flight.
	hasTrial bool
}

func (b *breaker) allows(now time.Duration) bool {
	return !b.isOpen || (!b.hasTrial && now >= b.retryAt)
}

func (b *breaker) begin(time.Duration) {
	if b.isOpen {
		b.hasTrial = true
	}
}

func (b *breaker) end(now time.Duration, result Result) {
	switch result {
	case Failed:
		b.fail(now)
	case Succeeded, Overloaded:
		// A rejection proves that the back end is alive.
		*b = breaker{}
	case Neutral:
		b.hasTrial = false
	}
}

func (b *breaker) fail(now time.Duration) {
	b.failures++
	if b.failures < breakerFailures {
		return
	}
	b.openFor = min(breakerMaximumOpen, max(breakerFirstOpen, 2*b.openFor))
	b.isOpen, b.hasTrial = true, false
	b.retryAt = now + b.openFor
}

// halfPower returns 0.5 to the power of x.
func halfPower(x float64) float64 { return math.Exp2(-x) }
