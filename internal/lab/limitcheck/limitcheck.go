// Package limitcheck holds what is promised to an engine that names a limit of requests a
// second, for the tests, simulations and the soak that count from the engine's side.
package limitcheck

import "time"

const (
	// Contact is when all nodes in touch keep a limit after the first answer that named it.
	Contact = 3 * time.Second
	// Window is the span in which requests are counted.
	Window = 4 * time.Second
	// In any Window an engine may get tolerance times what its limit allows, and slack
	// requests more.
	tolerance = 1.5
	slack     = 5
)

// Allowed is the most that may come in any Window to an engine with a limit.
func Allowed(perSecond float64) int { return int(tolerance*perSecond*Window.Seconds()) + slack }

// Most is the highest number of some arrivals, in order, in any Window.
func Most(arrivals []time.Duration) int { return MostWithin(arrivals, Window) }

// MostWithin is the highest number of some arrivals, in order, in any span of a length.
func MostWithin(arrivals []time.Duration, length time.Duration) int {
	most, first := 0, 0
	for last := range arrivals {
		for arrivals[last]-arrivals[first] > length {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}
