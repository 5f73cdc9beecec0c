// Package pausecheck defines the guarantee for an engine that requests a pause of a node or
// announces its shutdown to it, and checks it. Tests, simulations and the soak use it to count
// requests on the engine's side.
package pausecheck

import "time"

const (
	// ReactionTime is the time after the response that requested a pause, from which on the node
	// respects it.
	ReactionTime = 500 * time.Millisecond
	// MaximumInPause is the maximum number of requests that the node may send between ReactionTime
	// and the end of the pause.
	MaximumInPause = 2
	// DrainTime is the time after a response that announced the engine's shutdown, from which on
	// the node sends it no more requests.
	DrainTime = 2 * time.Second
)

// Record holds the pauses that one incarnation of an engine requested of one node, and the requests
// that it received from it. Times are since an origin that the caller chooses; they must not
// decrease.
type Record struct {
	pauses   []pause
	arrivals []time.Duration
	// shutdownAt is the time of the first response to the node that announced the shutdown, if
	// hasShutdown is set.
	shutdownAt  time.Duration
	hasShutdown bool
}

// pause is a pause of a length, requested at a time.
type pause struct{ startedAt, length time.Duration }

// AddArrival records a request of the node.
func (r *Record) AddArrival(at time.Duration) { r.arrivals = append(r.arrivals, at) }

// AddPause records a response that requests a pause of the node, for the given length.
func (r *Record) AddPause(at, length time.Duration) {
	r.pauses = append(r.pauses, pause{startedAt: at, length: length})
}

// PauseCount returns the number of pauses that were requested of the node.
func (r *Record) PauseCount() int { return len(r.pauses) }

// MaximumRequests returns the maximum number of requests that arrived in any of the pauses.
func (r *Record) MaximumRequests() int {
	maximum := 0
	for _, one := range r.pauses {
		maximum = max(maximum, len(r.offsetsWithin(one)))
	}
	return maximum
}

// Offsets returns, for each request that arrived in a pause, the time since the response that
// requested the pause.
func (r *Record) Offsets() []time.Duration {
	var offsets []time.Duration
	for _, one := range r.pauses {
		offsets = append(offsets, r.offsetsWithin(one)...)
	}
	return offsets
}

// offsetsWithin returns the offsets of the requests that arrived in a pause.
func (r *Record) offsetsWithin(one pause) []time.Duration {
	var offsets []time.Duration
	for _, arrival := range r.arrivals {
		if arrival > one.startedAt+ReactionTime && arrival < one.startedAt+one.length {
			offsets = append(offsets, arrival-one.startedAt)
		}
	}
	return offsets
}

// AddShutdown records a response to the node that announces the engine's shutdown.
func (r *Record) AddShutdown(at time.Duration) {
	if !r.hasShutdown {
		r.shutdownAt, r.hasShutdown = at, true
	}
}

// AfterShutdown returns the number of requests that arrived later than DrainTime after the
// announcement of the engine's shutdown, and whether there was an announcement.
func (r *Record) AfterShutdown() (late int, wasAnnounced bool) {
	if !r.hasShutdown {
		return 0, false
	}
	for _, arrival := range r.arrivals {
		if arrival > r.shutdownAt+DrainTime {
			late++
		}
	}
	return late, true
}
