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
	room, hasLimit := t.limits.Room(now, one.Life())
	if !hasLimit {
		return false
	}
	wait := float64(room.Wait) / float64(time.Millisecond) * t.speedOf(one.Service).readRate
	one.permitTokens = wait + room.Pressure*permitTokens
	return room.Wait > patience
}

// LimitedRoom is what the limits of a service's instances leave to a request that none of
// them could take.
type LimitedRoom struct {
	// Wait is how long it is until the first of them has a permit.
	Wait time.Duration
	// PerSecond is what their limits add up to.
	PerSecond float64
}

// LimitedRoom tells what room the instances have that a request can't go to for their
// limits alone; false if there is none.
func (t *Table) LimitedRoom(now time.Duration, request Request) (LimitedRoom, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if !t.limits.Any() {
		return LimitedRoom{}, false
	}
	found, isFirst := LimitedRoom{}, true
	for _, one := range t.byService[request.Service] {
		room, hasLimit := t.limits.Room(now, one.Life())
		if !hasLimit || room.Wait <= request.PermitPatience || !t.mayServe(one, request) {
			continue
		}
		found.PerSecond += max(room.PerSecond, ratelimit.LeastRate)
		if isFirst || room.Wait < found.Wait {
			found.Wait, isFirst = room.Wait, false
		}
	}
	return found, !isFirst
}
