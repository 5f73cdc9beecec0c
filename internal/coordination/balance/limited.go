package balance

import (
	"time"

	"github.com/ravenway/ravenway/internal/coordination/ratelimit"
)

// permitTokens is what the permit of an instance with a limit counts for once permits are
// scarce there, in tokens: requests that are read there in no less time go elsewhere before
// the limit is met, and those whose prompt it holds in large part still come.
const permitTokens = 6000

// NoPermits is the patience of a request that is for instances without a limit only.
const NoPermits = time.Duration(-1)

// SetLimits tells the table who knows the limits that instances in need name.
func (t *Table) SetLimits(limits *ratelimit.Limits) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.limits = limits
}

// weighPermit weighs what the limit of an instance means for a request, and tells whether
// the request can't have a permit within its patience.
func (t *Table) weighPermit(now time.Duration, one *member, patience time.Duration) (isLimited bool) {
	one.permitTokens = 0
	room, hasLimit := t.limits.Headroom(now, one.Life())
	if !hasLimit {
		return false
	}
	wait := float64(room.Wait) / float64(time.Millisecond) * t.speedOf(one.Service).readRate
	one.permitTokens = wait + room.Pressure*permitTokens
	return room.Wait > patience
}
