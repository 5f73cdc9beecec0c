// Package slotlease bounds the requests in flight at brittle instances: those that crash when they
// have to reject more than a few requests in a second.
//
// A brittle instance names its tolerance, the number of rejections in a second that it survives, in
// its responses. How many requests may wait there is not known and may shrink at any time, and
// rejections for all nodes count together. So for each brittle instance one node, its issuer, leases
// slots to all nodes (Ledger): at first as many as the instance serves at a time, so that none has to
// wait there, and fewer after a rejection. It grants only a few at a time, until no rejection can
// follow any more, so that even if all of them are rejected the tolerance holds. The other nodes keep
// which instances are brittle (Tracker).
//
// The package uses no network and no clock: times are those of the caller's monotonic clock.
package slotlease

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ravenway/ravenway/internal/coordination/registry"
)

const (
	// brittleMemory is how long a service counts as brittle after the last response that said so:
	// instances that have not responded since are as brittle as the others.
	brittleMemory = 5 * time.Second
	// rejectionWindow is the window in which an instance's rejections count.
	rejectionWindow = time.Second
	// maximumTolerance bounds the tolerance that is taken from a response.
	maximumTolerance = 1 << 20
)

// ErrTolerance is returned for a tolerance that can't be read.
var ErrTolerance = errors.New("slotlease: the tolerance is not a number of requests")

// Signal is what an instance's response says about its brittleness.
type Signal struct {
	// IsBrittle reports whether the response names a tolerance.
	IsBrittle bool
	Tolerance int
	// IsRejected reports whether the instance rejected the request, which held no slot.
	IsRejected bool
	// Fault is the error of a field that can't be read. Such a field is ignored.
	Fault error
}

// Read reads the values of the field that names the tolerance. The lowest of several values applies.
func Read(values []string) Signal {
	var signal Signal
	for _, value := range values {
		tolerance, err := strconv.Atoi(strings.TrimSpace(value))
		if err != nil || tolerance < 0 {
			return Signal{Fault: fmt.Errorf("%w: %.32q", ErrTolerance, value)}
		}
		tolerance = min(tolerance, maximumTolerance)
		if !signal.IsBrittle || tolerance < signal.Tolerance {
			signal.IsBrittle, signal.Tolerance = true, tolerance
		}
	}
	return signal
}

// Tracker keeps which services are brittle, and which of their instances have no free slot. It is
// safe for concurrent use.
type Tracker struct {
	mutex    sync.Mutex
	services map[string]brittleService
	// fullUntil holds until when an instance has no free slot.
	fullUntil map[registry.Incarnation]time.Duration
	// brittleCount is the number of brittle services. While it is 0, requests take no lock.
	brittleCount atomic.Int64
}

// brittleService is a service whose instances are brittle.
type brittleService struct {
	tolerance int
	// toldAt is when a response last named a tolerance.
	toldAt time.Duration
}

// NewTracker returns a tracker without brittle services.
func NewTracker() *Tracker {
	return &Tracker{services: map[string]brittleService{}, fullUntil: map[registry.Incarnation]time.Duration{}}
}

// ChangeKind is how a service's brittleness changed.
type ChangeKind uint8

// Kinds of changes.
const (
	// Unchanged: no change.
	Unchanged ChangeKind = iota
	// Began: the service's instances are brittle now.
	Began
	// Changed: their tolerance is another one.
	Changed
	// Ended: they are not brittle any more.
	Ended
)

// String returns the kind's name in logs.
func (k ChangeKind) String() string { return [...]string{"unchanged", "began", "changed", "ended"}[k] }

// Learn applies the signal in a response of an instance of a service.
func (t *Tracker) Learn(now time.Duration, service string, signal Signal) ChangeKind {
	if !signal.IsBrittle {
		return Unchanged
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known, isKnown := t.services[service]
	t.services[service] = brittleService{tolerance: signal.Tolerance, toldAt: now}
	t.brittleCount.Store(int64(len(t.services)))
	switch {
	case !isKnown:
		return Began
	case known.tolerance != signal.Tolerance:
		return Changed
	}
	return Unchanged
}

// Tolerance returns the tolerance of a service's instances; false means that they are not brittle.
func (t *Tracker) Tolerance(now time.Duration, service string) (tolerance int, isBrittle bool) {
	if !t.Any() {
		return 0, false
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known, isKnown := t.services[service]
	return known.tolerance, isKnown && now-known.toldAt <= brittleMemory
}

// Any reports whether any service is brittle.
func (t *Tracker) Any() bool { return t != nil && t.brittleCount.Load() > 0 }

// SetFull records that an instance has no free slot for a time.
func (t *Tracker) SetFull(now time.Duration, incarnation registry.Incarnation, wait time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.fullUntil[incarnation] = now + wait
}

// FullFor returns for how long an instance probably has no free slot.
func (t *Tracker) FullFor(now time.Duration, incarnation registry.Incarnation) time.Duration {
	if !t.Any() {
		return 0
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return max(0, t.fullUntil[incarnation]-now)
}

// Prune drops what is out of date, and returns the services that are not brittle any more.
func (t *Tracker) Prune(now time.Duration) (ended []string) {
	if !t.Any() {
		return nil
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for service, known := range t.services {
		if now-known.toldAt > brittleMemory {
			delete(t.services, service)
			ended = append(ended, service)
		}
	}
	for incarnation, until := range t.fullUntil {
		if now >= until {
			delete(t.fullUntil, incarnation)
		}
	}
	t.brittleCount.Store(int64(len(t.services)))
	return ended
}
