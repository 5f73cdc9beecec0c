package ratelimit

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// longestReturn bounds the time after which a caller is told to come back.
	longestReturn = 10 * time.Second
	// leastReturn is the least of it: a permit that is free sooner is another request's.
	leastReturn = 200 * time.Millisecond
)

// Returns spreads the returns of callers whose requests no limit had room for: each is
// told the next moment at which the limits have room for one more. Safe for concurrent use.
type Returns struct {
	mutex sync.Mutex
	// next is the first moment of each service that nobody was told yet.
	next map[string]time.Duration
}

// NewReturns makes a spread without any returns.
func NewReturns() *Returns { return &Returns{next: map[string]time.Duration{}} }

// Next returns after which time one more caller of a service may come back, where the
// first permit is free after a wait and this node's part of the limits is some requests
// a second. Beyond longestReturn the limits have no room for it at all: it is told a time
// drawn from the second half of that.
func (r *Returns) Next(now time.Duration, service string, wait time.Duration, perSecond float64) time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	at := max(r.next[service], now+max(wait, leastReturn))
	after := at - now
	if after > longestReturn {
		return longestReturn/2 + rand.N(longestReturn/2)
	}
	r.next[service] = at + min(longestReturn, interval(perSecond))
	return after
}
