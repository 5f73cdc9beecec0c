package balance

import (
	"time"

	"github.com/ravenway/ravenway/internal/coordination/registry"
)

const (
	// The backoff after a failure to connect doubles from initialConnectBackoff up to
	// maximumConnectBackoff.
	initialConnectBackoff = 250 * time.Millisecond
	maximumConnectBackoff = 2 * time.Second
	// A zone counts as partitioned when zoneUnreachableInstances of its instances were unreachable
	// within zoneFailureWindow. It is then avoided for zoneAvoidTime, except for one probe request
	// per zoneProbeInterval, until one of its instances responds.
	zoneUnreachableInstances = 2
	zoneFailureWindow        = 1500 * time.Millisecond
	zoneAvoidTime            = 3 * time.Second
	zoneProbeInterval        = 400 * time.Millisecond
	// failureWeight is the weight of one outcome in the exponentially smoothed failure rate.
	failureWeight = 0.15
	// An instance is avoided while its failure rate exceeds the service's average by failureMargin.
	failureMargin = 0.3
	// probeInterval is the time between two requests that probe an avoided instance.
	probeInterval = 1500 * time.Millisecond
)

// Outcome is the result of one attempt at an instance.
type Outcome uint8

const (
	// Served means that the instance returned a complete response.
	Served Outcome = iota
	// Unreachable means that no connection could be established.
	Unreachable
	// Failed means that the instance returned an error of its own or broke off the response.
	Failed
	// Rejected means that the instance rejected the request.
	Rejected
	// Replaced means that another instance uses its address now, so it is permanently gone.
	Replaced
	// Abandoned means that the outcome indicates nothing about the instance.
	Abandoned
)

// zoneState is this node's view of whether a zone is reachable.
type zoneState struct {
	// unreachable holds, by instance ID, the time of the last failure to connect since an instance
	// of the zone last responded.
	unreachable map[string]time.Duration
	// avoidedUntil is the end of the time for which the zone is avoided, and probedAt is when it was
	// last sent a probe request.
	avoidedUntil time.Duration
	probedAt     time.Duration
}

// PromptRead records that an instance has read a request's prompt, and how long that took from the
// sending of the request.
func (t *Table) PromptRead(choice *Choice, took time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if choice.Ahead == 0 && choice.AheadKnown && choice.pendingTokens > 0 {
		t.speedOf(choice.Service).observeRead(choice.pendingTokens, took)
	}
	if known := t.member(choice.Incarnation()); known != nil {
		known.pendingTokens -= choice.pendingTokens
	}
	choice.pendingTokens = 0
}

// Done records the outcome of a request and removes it from the requests in flight.
func (t *Table) Done(now time.Duration, choice Choice, outcome Outcome) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if choice.isTrial {
		t.backoff.EndTrial(choice.Incarnation())
	}
	known := t.member(choice.Incarnation())
	if known == nil {
		return
	}
	t.noteZoneOutcome(now, known.Instance, outcome)
	known.inFlight--
	known.pendingTokens -= choice.pendingTokens
	t.noteUnread(now, known, choice)
	if known.hasEnded && known.inFlight == 0 {
		t.remove(known)
	}
	switch outcome {
	case Served:
		known.connectBackoff = 0
		known.failureRate -= known.failureRate * failureWeight
	case Failed:
		known.failureRate += (1 - known.failureRate) * failureWeight
	case Unreachable:
		known.connectBackoff = min(max(2*known.connectBackoff, initialConnectBackoff), maximumConnectBackoff)
		known.avoidedUntil = now + known.connectBackoff
	case Replaced:
		known.isReplaced = true
		t.withdraw(known)
	case Rejected, Abandoned:
	}
}

// IncarnationEnded records that an incarnation of an instance was seen to have ended. The instance
// may restart under the same ID, so it is avoided for a while and not removed.
func (t *Table) IncarnationEnded(now time.Duration, incarnation registry.Incarnation) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.backoff.SeenEnded(now, incarnation)
	t.noteVersionDoubt(now, incarnation, true)
	if known := t.member(incarnation); known != nil {
		known.connectBackoff = maximumConnectBackoff
		known.avoidedUntil = now + maximumConnectBackoff
	}
}

// ConnectionRefused records that an instance's address refuses connections: its incarnation has ended.
func (t *Table) ConnectionRefused(now time.Duration, incarnation registry.Incarnation) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.backoff.SeenEnded(now, incarnation)
	t.noteVersionDoubt(now, incarnation, true)
}

// isZoneOpen reports whether a zone's instances may be chosen. A zone that counts as partitioned is
// opened for one probe request at a time.
func (t *Table) isZoneOpen(now time.Duration, zone string) bool {
	state := t.zones[zone]
	return state == nil || now >= state.avoidedUntil || now-state.probedAt >= zoneProbeInterval
}

// noteZoneOutcome updates the state of an instance's zone from the outcome of an attempt.
func (t *Table) noteZoneOutcome(now time.Duration, instance registry.Instance, outcome Outcome) {
	switch outcome {
	case Served, Rejected, Replaced:
		delete(t.zones, instance.Zone)
	case Unreachable:
		state := t.zones[instance.Zone]
		if state == nil {
			state = &zoneState{unreachable: map[string]time.Duration{}}
			t.zones[instance.Zone] = state
		}
		state.unreachable[instance.ID] = now
		for id, at := range state.unreachable {
			if now-at > zoneFailureWindow {
				delete(state.unreachable, id)
			}
		}
		if len(state.unreachable) >= zoneUnreachableInstances || now < state.avoidedUntil {
			state.avoidedUntil = now + zoneAvoidTime
		}
	case Failed, Abandoned:
	}
}

func (t *Table) averageFailureRate(service string) float64 {
	members := t.byService[service]
	if len(members) == 0 {
		return 0
	}
	total := 0.0
	for _, one := range members {
		total += one.failureRate
	}
	return total / float64(len(members))
}

func (m *member) isHealthy(now time.Duration, average float64) bool {
	if now < m.avoidedUntil {
		return false
	}
	if m.failureRate <= average+failureMargin {
		return true
	}
	if now-m.probedAt >= probeInterval {
		m.probedAt = now
		return true
	}
	return false
}
