package overload

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// busyNode feeds a gate with requests and measurements.
type busyNode struct {
	gate *Gate
	now  time.Duration
	read int64
}

const lagInterval = 50 * time.Millisecond

// run has callers send requests at rates per second, while timers are late by a lag that depends
// on the admitted work. It returns the share of each caller's requests that was admitted.
func (n *busyNode) run(length time.Duration, rates map[string]float64, body int64, lag func(letIn float64) time.Duration) map[string]float64 {
	asked, letIn, due := map[string]int{}, map[string]int{}, map[string]float64{}
	taken := 0
	for end := n.now + length; n.now < end; {
		n.now += 5 * time.Millisecond
		for caller, rate := range rates {
			for due[caller] += rate * 0.005; due[caller] >= 1; due[caller]-- {
				asked[caller]++
				if n.gate.LetsIn(n.now, caller, body, false) {
					letIn[caller]++
					n.read += body
					taken++
				}
			}
		}
		if n.now%lagInterval == 0 {
			n.gate.Step(n.now, Pressure{Lag: lag(float64(taken) / lagInterval.Seconds()), BodyBytes: n.read, LinkBytes: link})
			taken = 0
		}
	}
	parts := map[string]float64{}
	for caller, count := range asked {
		parts[caller] = float64(letIn[caller]) / float64(count)
	}
	return parts
}

// bears returns the lag of a node that handles a rate and is late beyond it.
func bears(rate float64) func(float64) time.Duration {
	return func(letIn float64) time.Duration {
		if letIn > rate {
			return 60 * time.Millisecond
		}
		return 2 * time.Millisecond
	}
}

func TestOnlyTheHeavyCallerIsTurnedAway(t *testing.T) {
	node := &busyNode{gate: NewGate()}
	parts := node.run(10*time.Second, map[string]float64{"heavy": 120, "one": 5, "other": 8}, 1000, bears(80))
	assert.Equal(t, parts["one"], 1.0)
	assert.Equal(t, parts["other"], 1.0)
	assert.Assert(t, parts["heavy"] > 0.35 && parts["heavy"] < 0.65, "%.2f of the heavy caller's requests were admitted", parts["heavy"])
}

// Guards against refusing more than half of a heavy caller's requests, regardless of the lag: all
// of them would be retried at the same other node.
func TestHalfOfAHeavyCallersRequestsAreServedAtLeast(t *testing.T) {
	node := &busyNode{gate: NewGate()}
	late := func(float64) time.Duration { return time.Second }
	node.run(time.Second, map[string]float64{"heavy": 120, "one": 5}, 1000, late)
	parts := node.run(10*time.Second, map[string]float64{"heavy": 120, "one": 5}, 1000, late)
	assert.Assert(t, parts["heavy"] > 0.45 && parts["heavy"] < 0.6, "%.2f of the heavy caller's requests were admitted", parts["heavy"])
}

func TestBoundIsThereWithinHalfASecondAndGoesWithTheLoad(t *testing.T) {
	node := &busyNode{gate: NewGate()}
	node.run(2*time.Second, map[string]float64{"heavy": 50, "one": 5}, 1000, bears(80))
	assert.Equal(t, node.gate.Bound(), 0.0)
	node.run(500*time.Millisecond, map[string]float64{"heavy": 150, "one": 5}, 1000, bears(80))
	assert.Assert(t, node.gate.Bound() > 0)
	node.run(6*time.Second, map[string]float64{"heavy": 20, "one": 5}, 1000, bears(80))
	assert.Equal(t, node.gate.Bound(), 0.0)
}

// The bodies fill the link before anything is late.
func TestBoundIsThereBeforeTheLinkIsFull(t *testing.T) {
	node := &busyNode{gate: NewGate()}
	punctual := func(float64) time.Duration { return time.Millisecond }
	parts := node.run(3*time.Second, map[string]float64{"heavy": 30, "one": 2}, 20_000, punctual)
	assert.Equal(t, parts["one"], 1.0)
	assert.Assert(t, parts["heavy"] > 0.5 && parts["heavy"] < 0.9, "%.2f of the heavy caller's requests were admitted", parts["heavy"])
}

// Many callers with a small share each are served, regardless of the lag: none of them would be
// served better elsewhere.
func TestNobodyIsTurnedAwayWhereNobodyIsHeavy(t *testing.T) {
	node := &busyNode{gate: NewGate()}
	rates := map[string]float64{"a": 30, "b": 30, "c": 30, "d": 30, "e": 30}
	for _, part := range node.run(5*time.Second, rates, 1000, bears(80)) {
		assert.Equal(t, part, 1.0)
	}
}
