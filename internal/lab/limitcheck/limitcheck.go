// Package limitcheck defines the guarantee for an engine that names a rate limit in requests per
// second, and checks it. Tests, simulations and the soak use it to count requests on the engine's
// side.
package limitcheck

import "time"

const (
	// ReactionTime is the time after the first response that named a limit, from which on all nodes
	// that can reach each other respect it.
	ReactionTime = 3 * time.Second
	// Window is the span in which requests are counted.
	Window = 4 * time.Second
	// In any Window an engine may receive allowedFactor times the requests of its limit, plus
	// allowedExtra requests.
	allowedFactor = 1.5
	allowedExtra  = 5
)

// Allowed returns the maximum number of requests that an engine with a limit may receive in any
// Window.
func Allowed(perSecond float64) int {
	return int(allowedFactor*perSecond*Window.Seconds()) + allowedExtra
}

// MaximumInWindow returns the maximum number of arrivals, which are sorted, in any Window.
func MaximumInWindow(arrivals []time.Duration) int { return MaximumWithin(arrivals, Window) }

// MaximumWithin returns the maximum number of arrivals, which are sorted, in any span of the given
// length.
func MaximumWithin(arrivals []time.Duration, length time.Duration) int {
	maximum, first := 0, 0
	for last := range arrivals {
		for arrivals[last]-arrivals[first] > length {
			first++
		}
		maximum = max(maximum, last-first+1)
	}
	return maximum
}
