package routing

import (
	"math"
	"time"
)

const (
	// minimumLimit is the least that a back end is tried with.
	minimumLimit = 1.0
	// limitDecrease is the factor after a refusal, applied once in
	// limitDecreaseInterval at most: refusals close together are one event.
	limitDecrease         = 0.5
	limitDecreaseInterval = time.Second
	// breakerFailures in a row open the breaker, for breakerFirstOpen at first
	// and twice as long after each failed trial, up to breakerMaximumOpen.
	breakerFailures    = 5
	breakerFirstOpen   = 500 * time.Millisecond
	breakerMaximumOpen = 10 * time.Second
)

// limiter is the number of requests that one node keeps at a back end: it
// halves on refusals and grows by one for each limit's worth of successes.
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

// breaker keeps requests away from a back end that fails, and lets one through
// at a time to see whether it is back.
type breaker struct {
	failures int
	open     bool
	openFor  time.Duration
	retryAt  time.Duration
	trial    bool
}

func (b *breaker) allows(now time.Duration) bool {
	return !b.open || (!b.trial && now >= b.retryAt)
}

func (b *breaker) begin(time.Duration) {
	if b.open {
		b.trial = true
	}
}

func (b *breaker) end(now time.Duration, result Result) {
	switch result {
	case Failed:
		b.fail(now)
	case Succeeded, Overloaded:
		// A refusal proves that the back end lives.
		*b = breaker{}
	case Neutral:
		b.trial = false
	}
}

func (b *breaker) fail(now time.Duration) {
	b.failures++
	if b.failures < breakerFailures {
		return
	}
	b.openFor = min(breakerMaximumOpen, max(breakerFirstOpen, 2*b.openFor))
	b.open, b.trial = true, false
	b.retryAt = now + b.openFor
}

// halfPower returns 0.5 to the power of x.
func halfPower(x float64) float64 { return math.Exp2(-x) }
