package quarantine

import (
	"time"

	"github.com/ravenway/ravenway/internal/coordination/registry"
)

// Suspicion ranks how likely a run is why its engine ended.
type Suspicion uint8

const (
	// Excused: its request ran to its end at the same node of late.
	Excused Suspicion = iota + 1
	// Unlikely: it had run for a while.
	Unlikely
	// Possible: nothing of its answer had come, so it may have waited or have begun.
	Possible
	// Likely: its answer had just begun.
	Likely
)

// String names the suspicion.
func (s Suspicion) String() string {
	names := [...]string{"none", "excused", "unlikely", "possible", "likely"}
	if int(s) < len(names) {
		return names[s]
	}
	return "unknown"
}

// freshRun is how long after the beginning of its answer a run is still Likely. A
// request that engines can't bear ends them as they begin it: 34 to 113 ms after, in
// the ends that were seen; engines may be eight times slower at times.
const freshRun = time.Second

// Run is one run of a request that broke off at an engine.
type Run struct {
	// AnswerBegan tells that its answer had begun, BeganFor since when.
	AnswerBegan bool
	BeganFor    time.Duration
	// BeginsAtHead tells that engines answer such a request's head as they begin to
	// run it, as they do with streams; others they answer when they are done.
	BeginsAtHead bool
}

// Suspicion ranks the run.
func (r Run) Suspicion() Suspicion {
	switch {
	case !r.AnswerBegan:
		return Possible
	case r.BeginsAtHead && r.BeganFor <= freshRun:
		return Likely
	}
	return Unlikely
}

// Evidence says that a run of a request was at an engine when that ended.
type Evidence struct {
	Fingerprint Fingerprint
	Life        registry.Incarnation
	Suspicion   Suspicion
	// Route and Tenant are for operators.
	Route, Tenant string
}
