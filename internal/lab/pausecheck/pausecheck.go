// Package pausecheck holds what is promised to an engine that asks a node for a pause or
// tells it that it leaves, for the tests, simulations and the soak that count from the
// engine's side.
package pausecheck

import "time"

const (
	// Contact is when a node keeps a pause after the answer that asked for it.
	Contact = 500 * time.Millisecond
	// Allowed is the most that may come from that node between Contact and the pause's end.
	Allowed = 2
	// Drain is when a node sends nothing more to an engine after an answer that said that
	// the engine leaves.
	Drain = 2 * time.Second
)

// Record is what one life of an engine asked one node for, and what it got from it. Times
// are those since a moment of the caller's, in order.
type Record struct {
	pauses   []pause
	arrivals []time.Duration
	// leftAt is when the node was first told that the engine leaves, if hasLeft is set.
	leftAt  time.Duration
	hasLeft bool
}

// pause is asked for at a time.
type pause struct{ at, lasting time.Duration }

// Arrive notes a request of the node.
func (r *Record) Arrive(at time.Duration) { r.arrivals = append(r.arrivals, at) }

// Ask notes an answer that asks the node for a pause.
func (r *Record) Ask(at, lasting time.Duration) {
	r.pauses = append(r.pauses, pause{at: at, lasting: lasting})
}

// Pauses is how often the node was asked for one.
func (r *Record) Pauses() int { return len(r.pauses) }

// Most is the highest number of requests that came in any one of the pauses.
func (r *Record) Most() int {
	most := 0
	for _, one := range r.pauses {
		most = max(most, len(r.within(one)))
	}
	return most
}

// Offsets are how long after the answer that asked for a pause requests came in it.
func (r *Record) Offsets() []time.Duration {
	var offsets []time.Duration
	for _, one := range r.pauses {
		offsets = append(offsets, r.within(one)...)
	}
	return offsets
}

// within returns the offsets of the requests that came in a pause.
func (r *Record) within(one pause) []time.Duration {
	var offsets []time.Duration
	for _, arrival := range r.arrivals {
		if arrival > one.at+Contact && arrival < one.at+one.lasting {
			offsets = append(offsets, arrival-one.at)
		}
	}
	return offsets
}

// Leave notes an answer that tells the node that the engine leaves.
func (r *Record) Leave(at time.Duration) {
	if !r.hasLeft {
		r.leftAt, r.hasLeft = at, true
	}
}

// AfterLeaving is the number of requests that came later than Drain after the node was told
// that the engine leaves, and whether it was told.
func (r *Record) AfterLeaving() (late int, wasTold bool) {
	if !r.hasLeft {
		return 0, false
	}
	for _, arrival := range r.arrivals {
		if arrival > r.leftAt+Drain {
			late++
		}
	}
	return late, true
}
