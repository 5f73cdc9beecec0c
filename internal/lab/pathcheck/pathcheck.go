// Package pathcheck checks the service rule on entry nodes that are partitioned from engines, from the
// point of view of their callers. It is independent of the code under test.
package pathcheck

import "time"

// ReactionTime is how long after the beginning of a partition the rule holds.
const ReactionTime = 3 * time.Second

const (
	// Partitioned nodes may serve less than minimumServedRatio of the share of first attempts that the
	// others serve only if at most allowedFailures and allowedFailureShare of all attempts fail there.
	minimumServedRatio  = 2.0 / 3
	allowedFailures     = 10
	allowedFailureShare = 1.0 / 50
)

// Attempts counts the first attempts of callers.
type Attempts struct{ Sent, Served int }

// IsBroken reports whether the attempts at partitioned nodes and at the others break the rule.
func IsBroken(partitioned, others Attempts) bool {
	isServedLess := float64(partitioned.Served)*float64(others.Sent) < minimumServedRatio*float64(others.Served)*float64(partitioned.Sent)
	failsMore := float64(partitioned.Sent-partitioned.Served) > allowedFailures+allowedFailureShare*float64(partitioned.Sent+others.Sent)
	return isServedLess && failsMore
}
