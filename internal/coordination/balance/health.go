package balance

import (
	"time"

	"github.com/ravenway/ravenway/internal/coordination/registry"
)

const (
	// The backoff after a failure to connect doubles from firstPause up to lastPause.
	firstPause = 250 * time.Millisecond
	lastPause  = 2 * time.Second
	// A zone counts as partitioned when zoneInstances of its instances were unreachable within
	// zoneWindow. It is then avoided for zonePause, except for one probe request per zoneProbe,
	// until one of its instances responds.
	zoneInstances = 2
	zoneWindow    = 1500 * time.Millisecond
	zonePause     = 3 * time.Second
	zoneProbe     = 400 * time.Millisecond
	// failureWeight is the weight of one outcome in the exponentially smoothed failure rate.
	failureWeight = 0.15
	// An instance is avoided while its failure rate exceeds the service's average by failureMargin.
	failureMargin = 0.3
	// probeEvery is the time between two requests that probe an avoided instance.
	probeEvery = 1500 * time.Millisecond
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
	// Full means that the instance rejected the request.
	Full
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
	pausedUntil time.Duration
	probedAt    time.Duration
}

// Started records that an instance has read a request's prompt, and how long that took from the
// sending of the request.
func (t *Table) Started(choice *Choice, took time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if choice.Ahead == 0 && choice.AheadKnown && choice.pending > 0 {
		t.speedOf(choice.Service).observeRead(choice.pending, took)
	}
	if known := t.member(choice.Life()); known != nil {
		known.pending -= choice.pending
	}
	choice.pending = 0
}

// Done records the outcome of a request and removes it from the requests in flight.
func (t *Table) Done(now time.Duration, choice Choice, outcome Outcome) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if choice.isTrial {
		t.backoff.EndTrial(choice.Life())
	}
	known := t.member(choice.Life())
	if known == nil {
		return
	}
	t.noteZone(now, known.Instance, outcome)
	known.inFlight--
	known.pending -= choice.pending
	if known.hasEnded && known.inFlight == 0 {
		delete(t.members, known.ID)
	}
	switch outcome {
	case Served:
		known.pause = 0
		known.failures -= known.failures * failureWeight
	case Failed:
		known.failures += (1 - known.failures) * failureWeight
	case Unreachable:
		known.pause = min(max(2*known.pause, firstPause), lastPause)
		known.pausedUntil = now + known.pause
	case Replaced:
		known.replaced = true
		t.withdraw(known)
	case Full, Abandoned:
	}
}

// Ended records that an incarnation of an instance was seen to have ended. The instance may restart
// under the same ID, so it is avoided for a while and not removed.
func (t *Table) Ended(now time.Duration, life registry.Life) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if known := t.member(life); known != nil {
		known.pause = lastPause
		known.pausedUntil = now + lastPause
	}
}

// zoneIsOpen reports whether a zone's instances may be chosen. A zone that counts as partitioned is
// opened for one probe request at a time.
func (t *Table) zoneIsOpen(now time.Duration, zone string) bool {
	state := t.zones[zone]
	return state == nil || now >= state.pausedUntil || now-state.probedAt >= zoneProbe
}

// noteZone updates the state of an instance's zone from the outcome of an attempt.
func (t *Table) noteZone(now time.Duration, of registry.Instance, outcome Outcome) {
	switch outcome {
	case Served, Full, Replaced:
		delete(t.zones, of.Zone)
	case Unreachable:
		state := t.zones[of.Zone]
		if state == nil {
			state = &zoneState{unreachable: map[string]time.Duration{}}
			t.zones[of.Zone] = state
		}
		state.unreachable[of.ID] = now
		for id, at := range state.unreachable {
			if now-at > zoneWindow {
				delete(state.unreachable, id)
			}
		}
		if len(state.unreachable) >= zoneInstances || now < state.pausedUntil {
			state.pausedUntil = now + zonePause
		}
	case Failed, Abandoned:
	}
}

func (t *Table) averageFailures(service string) float64 {
	members := t.byService[service]
	if len(members) == 0 {
		return 0
	}
	total := 0.0
	for _, one := range members {
		total += one.failures
	}
	return total / float64(len(members))
}

func (m *member) isHealthy(now time.Duration, average float64) bool {
	if now < m.pausedUntil {
		return false
	}
	if m.failures <= average+failureMargin {
		return true
	}
	if now-m.probedAt >= probeEvery {
		m.probedAt = now
		return true
	}
	return false
}
