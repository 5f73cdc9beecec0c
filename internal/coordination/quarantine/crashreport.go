package quarantine

import (
	"time"

	"github.com/ravenway/ravenway/internal/coordination/registry"
)

// Suspicion ranks how likely a run caused the crash of its engine.
type Suspicion uint8

const (
	// Excused: the same request ran to completion at the same node recently.
	Excused Suspicion = iota + 1
	// Unlikely: the run had lasted for a while.
	Unlikely
	// Possible: no part of the response had arrived, so the run may have been queued or just
	// begun.
	Possible
	// Likely: the response had just begun.
	Likely
)

// String returns the name of the suspicion.
func (s Suspicion) String() string {
	names := [...]string{"none", "excused", "unlikely", "possible", "likely"}
	if int(s) < len(names) {
		return names[s]
	}
	return "unknown"
}

// freshRunAge is how long after the beginning of its response a run is still Likely. A poison
// request crashes the engine as the run begins: 34 to 113 ms after, in the crashes observed so
// far. Engines may be eight times slower at times.
const freshRunAge = time.Second

// Run is a run of a request that broke off at an engine.
type Run struct {
	// ResponseBegan reports whether the response had begun, and ResponseAge how long ago.
	ResponseBegan bool
	ResponseAge   time.Duration
	// RespondsAtStart reports whether engines send the head of the response as they begin to run
	// the request, as they do with streams. For other requests they send it after the run.
	RespondsAtStart bool
}

// Suspicion returns the rank of the run.
func (r Run) Suspicion() Suspicion {
	switch {
	case !r.ResponseBegan:
		return Possible
	case r.RespondsAtStart && r.ResponseAge <= freshRunAge:
		return Likely
	}
	return Unlikely
}

// CrashReport is a report of a run that was in flight at an engine when the engine crashed.
type CrashReport struct {
	Fingerprint Fingerprint
	Incarnation registry.Incarnation
	Suspicion   Suspicion
	// Route and Tenant are shown to operators.
	Route, Tenant string
	// Part is the ID of the part and Depth its index in the prompt, if Fingerprint is that of a part.
	Part  string
	Depth uint16
	// Request is the hash of the fingerprint of the request that the part was in.
	Request uint64
}
