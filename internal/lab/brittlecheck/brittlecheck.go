// Package brittlecheck checks the service rule on brittle engines from the engines' side: which crash
// because they had to reject too many requests in a second, and how many may do so. It is independent
// of the code under test.
package brittlecheck

import "time"

const (
	// Window is the time in which rejections count.
	Window = time.Second
	// allowedCrashes and a crash for each enginesPerCrash engines are allowed in one brittle period.
	allowedCrashes  = 2
	enginesPerCrash = 10
)

// Allowed returns how many of a service's engines may crash in one brittle period.
func Allowed(engines int) int { return allowedCrashes + engines/enginesPerCrash }

// Rejections holds the times of an engine's rejections.
type Rejections struct{ times []time.Duration }

// Add adds a rejection and reports whether an engine of the given tolerance crashes by it.
func (r *Rejections) Add(now time.Duration, tolerance int) bool {
	r.times = append(r.times, now)
	for len(r.times) > 0 && now-r.times[0] >= Window {
		r.times = r.times[1:]
	}
	return len(r.times) > tolerance
}
