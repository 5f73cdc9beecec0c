package slotlease

import (
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/ravenway/ravenway/internal/coordination/registry"
)

const (
	// confirmationTime is how long after a grant its rejection may still become known: the request and
	// its rejection pass between the node, the instance and the issuer.
	confirmationTime = 50 * time.Millisecond
	// After a rejection the limit is decreaseFactor of the requests that were in flight. It grows by
	// one each increaseInterval without a rejection, up to what the instance serves at a time.
	decreaseFactor   = 0.8
	increaseInterval = 500 * time.Millisecond
	// unknownSlots is the limit at an instance that does not say how many requests it serves at a time.
	unknownSlots = 8
	// maximumLease bounds a lease: an issuer holds the slots of a node that has crashed for as long.
	maximumLease = 30 * time.Second
	// minimumWait is the least time after which a refused node asks again.
	minimumWait = 20 * time.Millisecond
	// maximumInstances bounds the instances of a ledger, against requests for ones that never existed.
	maximumInstances = 1 << 14
	// ledgerRetention is how long the state of an instance is kept after its last lease.
	ledgerRetention = 10 * time.Second
)

// ErrRequest is returned for a request that is not valid.
var ErrRequest = errors.New("slotlease: invalid request")

// Request asks for a slot of an instance. Number identifies the lease among those of the node.
type Request struct {
	Incarnation registry.Incarnation `msgpack:"i"`
	Number      uint64               `msgpack:"n"`
	// Tolerance is the tolerance that the instance named, Slots the number of requests that it serves
	// at a time, 0 if it is not known.
	Tolerance int `msgpack:"t"`
	Slots     int `msgpack:"s"`
	// LeaseMS is the length of the lease in milliseconds.
	LeaseMS int64 `msgpack:"l"`
}

// Check returns ErrRequest unless the request is valid.
func (r Request) Check() error {
	if r.Incarnation.ID == "" || r.Tolerance < 0 || r.Tolerance > maximumTolerance || r.Slots < 0 || r.LeaseMS < 0 {
		return ErrRequest
	}
	return nil
}

// Response is the response to a Request.
type Response struct {
	IsGranted bool `msgpack:"g"`
	// WaitMS is the time in milliseconds until a slot may be free, if none is granted.
	WaitMS int64 `msgpack:"w,omitempty"`
}

// End ends a lease.
type End struct {
	Incarnation registry.Incarnation `msgpack:"i"`
	Number      uint64               `msgpack:"n"`
	// IsRejected reports whether the instance rejected the request.
	IsRejected bool `msgpack:"r,omitempty"`
}

// Ledger leases the slots of the instances whose issuer a node is. It is safe for concurrent use.
type Ledger struct {
	mutex     sync.Mutex
	instances map[registry.Incarnation]*instanceLedger
}

// instanceLedger holds the leases of one instance.
type instanceLedger struct {
	leases map[leaseKey]time.Duration
	// limit is the number of requests that may be in flight.
	limit float64
	// rejections and grants are the times of the rejections within rejectionWindow, and of the grants
	// within confirmationTime.
	rejections, grants []time.Duration
	// changedAt is when the limit last changed, usedAt when a slot was last requested.
	changedAt, usedAt time.Duration
}

// leaseKey identifies a lease by the node that holds it and its number there.
type leaseKey struct {
	node   string
	number uint64
}

// NewLedger returns a ledger without leases.
func NewLedger() *Ledger { return &Ledger{instances: map[registry.Incarnation]*instanceLedger{}} }

// Acquire grants a slot of an instance to a node, or tells when one may be free. inFlight is the
// number of requests in flight there as the nodes report it: a ledger that has just begun does not
// know those from before.
func (l *Ledger) Acquire(now time.Duration, node string, request Request, inFlight int) Response {
	if request.Check() != nil {
		return Response{WaitMS: rejectionWindow.Milliseconds()}
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	known := l.instances[request.Incarnation]
	if known == nil {
		if len(l.instances) >= maximumInstances {
			return Response{WaitMS: rejectionWindow.Milliseconds()}
		}
		known = &instanceLedger{leases: map[leaseKey]time.Duration{}, limit: float64(slotsOf(request)), changedAt: now}
		l.instances[request.Incarnation] = known
	}
	known.usedAt = now
	known.dropOld(now)
	known.increase(now, float64(slotsOf(request)))
	if wait := known.wait(now, request.Tolerance, max(inFlight, len(known.leases))); wait > 0 {
		return Response{WaitMS: max(wait, minimumWait).Milliseconds()}
	}
	lease := min(time.Duration(request.LeaseMS)*time.Millisecond, maximumLease)
	known.leases[leaseKey{node, request.Number}] = now + lease
	known.grants = append(known.grants, now)
	return Response{IsGranted: true}
}

func slotsOf(request Request) int {
	if request.Slots == 0 {
		return unknownSlots
	}
	return request.Slots
}

// wait returns how long no slot may be granted; 0 means that one may be granted now.
func (i *instanceLedger) wait(now time.Duration, tolerance, inFlight int) time.Duration {
	// An instance without any tolerance is still sent one request at a time.
	if len(i.rejections) > 0 && len(i.rejections) >= tolerance {
		return i.rejections[0] + rejectionWindow - now
	}
	if float64(inFlight) >= i.limit {
		return minimumWait
	}
	if len(i.grants) >= max(1, tolerance-len(i.rejections)) {
		return i.grants[0] + confirmationTime - now
	}
	return 0
}

// dropOld drops the rejections, grants and leases whose time is over.
func (i *instanceLedger) dropOld(now time.Duration) {
	i.rejections = slices.DeleteFunc(i.rejections, func(at time.Duration) bool { return now-at >= rejectionWindow })
	i.grants = slices.DeleteFunc(i.grants, func(at time.Duration) bool { return now-at >= confirmationTime })
	for key, end := range i.leases {
		if now >= end {
			delete(i.leases, key)
		}
	}
}

// increase raises the limit for the time since its last change.
func (i *instanceLedger) increase(now time.Duration, slots float64) {
	steps := (now - i.changedAt) / increaseInterval
	if steps > 0 {
		i.limit = min(i.limit+float64(steps), max(i.limit, slots))
		i.changedAt += steps * increaseInterval
	}
	i.limit = min(i.limit, slots)
}

// End ends a lease. One that is not known has ended before; its rejection counts nevertheless.
func (l *Ledger) End(now time.Duration, node string, end End) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	known := l.instances[end.Incarnation]
	if known == nil {
		return
	}
	known.dropOld(now)
	if end.IsRejected {
		known.rejections = append(known.rejections, now)
		known.limit = max(1, decreaseFactor*min(known.limit, float64(len(known.leases))))
		known.changedAt = now
	}
	delete(known.leases, leaseKey{node, end.Number})
}

// Forget drops the leases of an incarnation that has ended.
func (l *Ledger) Forget(incarnation registry.Incarnation) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delete(l.instances, incarnation)
}

// Prune drops the instances that no node has asked for in a while and that have no leases.
func (l *Ledger) Prune(now time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for incarnation, known := range l.instances {
		known.dropOld(now)
		if len(known.leases) == 0 && now-known.usedAt > ledgerRetention {
			delete(l.instances, incarnation)
		}
	}
}

// Count returns the number of leases.
func (l *Ledger) Count() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	count := 0
	for _, known := range l.instances {
		count += len(known.leases)
	}
	return count
}
