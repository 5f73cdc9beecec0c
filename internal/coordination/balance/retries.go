package balance

import (
	"sync"
	"time"
)

// RetryPolicy bounds how many requests all nodes together retry at another instance: in each
// window, at most Ratio of the service's requests plus Slack.
type RetryPolicy struct {
	Window time.Duration
	Ratio  float64
	Slack  float64
	// Nodes is the number of nodes that share Slack.
	Nodes int
}

// safetyShare is the fraction of its part of the policy that a node uses. It is below 1 because
// nodes can temporarily disagree on the number of nodes.
const safetyShare = 0.7

// RetryBudget tracks one node's part of the retry policy of each service. It is safe for concurrent
// use.
type RetryBudget struct {
	mutex    sync.Mutex
	services map[string]*retryWindow
}

// retryWindow holds the times of the requests and retries in the current window.
type retryWindow struct {
	requests []time.Duration
	retries  []time.Duration
}

// NewRetryBudget returns an unused budget.
func NewRetryBudget() *RetryBudget {
	return &RetryBudget{services: map[string]*retryWindow{}}
}

func (b *RetryBudget) window(now time.Duration, service string, length time.Duration) *retryWindow {
	window := b.services[service]
	if window == nil {
		window = &retryWindow{}
		b.services[service] = window
	}
	window.requests = dropBefore(window.requests, now-length)
	window.retries = dropBefore(window.retries, now-length)
	return window
}

func dropBefore(times []time.Duration, from time.Duration) []time.Duration {
	first := 0
	for first < len(times) && times[first] < from {
		first++
	}
	return append(times[:0], times[first:]...)
}

// RecordRequest records a caller's request for a service.
func (b *RetryBudget) RecordRequest(now time.Duration, service string, policy RetryPolicy) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	window := b.window(now, service, policy.Window)
	window.requests = append(window.requests, now)
}

// Take reports whether a request may be retried, and counts the retry if so.
func (b *RetryBudget) Take(now time.Duration, service string, policy RetryPolicy) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	window := b.window(now, service, policy.Window)
	allowed := safetyShare * (policy.Ratio*float64(len(window.requests)) + policy.Slack/float64(max(1, policy.Nodes)))
	if float64(len(window.retries)+1) > allowed {
		return false
	}
	window.retries = append(window.retries, now)
	return true
}
