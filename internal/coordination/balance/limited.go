package balance

import (
	"time"

	"github.com/ravenway/ravenway/internal/coordination/ratelimit"
)

// scarcePermitTokens is the cost of a permit, in tokens, at an instance whose permits are scarce.
// Requests that gain nothing from the instance's cache then go elsewhere before the rate limit is
// reached, and requests whose prompt it holds in large part still go there.
const scarcePermitTokens = 6000

// NoPermits is the maximum permit wait of a request that only goes to instances without a rate
// limit.
const NoPermits = time.Duration(-1)

// SetLimits sets the rate limits that overloaded instances name.
func (t *Table) SetLimits(limits *ratelimit.Limits) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.limits = limits
}

// weighPermit sets the permit cost of an instance for a request, and reports whether the request
// can't get a permit within its maximum wait.
func (t *Table) weighPermit(now time.Duration, one *member, maximumWait time.Duration) (isLimited bool) {
	one.permitTokens = 0
	headroom, hasLimit := t.limits.Headroom(now, one.Incarnation())
	if !hasLimit {
		return false
	}
	waitTokens := float64(headroom.Wait) / float64(time.Millisecond) * t.speedOf(one.Service).readRate
	one.permitTokens = waitTokens + headroom.Pressure*scarcePermitTokens
	return headroom.Wait > maximumWait
}
