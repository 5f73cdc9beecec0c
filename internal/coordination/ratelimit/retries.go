package ratelimit

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// maximumRetryTime bounds the time after which a refused caller may retry.
	maximumRetryTime = 10 * time.Second
	// minimumRetryTime is the minimum of that time: a permit that is free sooner goes to another
	// request.
	minimumRetryTime = 200 * time.Millisecond
)

// Retries spreads the retries of callers whose requests were refused because no limit had
// headroom: each is given the next moment at which the limits allow one more request. It is
// safe for concurrent use.
type Retries struct {
	mutex sync.Mutex
	// next is, by service, the first moment that was not yet given to a caller.
	next map[string]time.Duration
}

// NewRetries returns a Retries that has not yet given out any retry time.
func NewRetries() *Retries { return &Retries{next: map[string]time.Duration{}} }

// Next returns the time after which one more caller of a service may retry. wait is the time
// until the first permit is free, and perSecond is this node's share of the limits in requests
// per second. If the next moment lies beyond maximumRetryTime, the limits have no headroom for
// the caller at all; it is then given a time drawn at random from the second half of
// maximumRetryTime.
func (r *Retries) Next(now time.Duration, service string, wait time.Duration, perSecond float64) time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	at := max(r.next[service], now+max(wait, minimumRetryTime))
	after := at - now
	if after > maximumRetryTime {
		return maximumRetryTime/2 + rand.N(maximumRetryTime/2)
	}
	r.next[service] = at + min(maximumRetryTime, interval(perSecond))
	return after
}
