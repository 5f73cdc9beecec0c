package balance

import (
	"time"

	"github.com/ravenway/ravenway/internal/coordination/registry"
)

const (
	// The pause after a failure to connect doubles from the first to the last.
	firstPause = 250 * time.Millisecond
	lastPause  = 2 * time.Second
	// A zone with this many instances that can't be reached within zoneWindow is
	// taken for cut off: its other instances get a request each zoneProbe only,
	// until one of them answers.
	zoneInstances = 2
	zoneWindow    = 1500 * time.Millisecond
	zonePause     = 3 * time.Second
	zoneProbe     = 400 * time.Millisecond
	// failureWeight is the weight of one outcome in the smoothed failure rate.
	failureWeight = 0.15
	// failureMargin is how far above the others' rate an instance is avoided.
	failureMargin = 0.3
	// probeEvery lets an avoided instance have a request now and then.
	probeEvery = 1500 * time.Millisecond
)

// Outcome is how an attempt ended.
type Outcome uint8

const (
	// Served: the instance answered as it should.
	Served Outcome = iota
	// Unreachable: no connection came up.
	Unreachable
	// Failed: it answered with a failure of its own, or broke off.
	Failed
	// Full: it turned the request away.
	Full
	// Replaced: another instance has its address now, so it is gone for good.
	Replaced
	// Abandoned says nothing about the instance.
	Abandoned
)

// zoneState is what this node knows of its way to a zone.
type zoneState struct {
	// unreachable holds when instances could not be reached since one answered.
	unreachable map[string]time.Duration
	pausedUntil time.Duration
	probedAt    time.Duration
}

// Started notes that an instance has read a request's prompt, in a time since it
// was sent there.
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

// Done ends what Choose began.
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

// Ended notes that a life of an instance was seen to have ended. The instance may come
// back under the same id, so it is paused and not forgotten.
func (t *Table) Ended(now time.Duration, life registry.Life) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if known := t.member(life); known != nil {
		known.pause = lastPause
		known.pausedUntil = now + lastPause
	}
}

// zoneIsOpen tells whether a zone's instances may be chosen. A zone that is
// taken for cut off is open for a moment now and then, to be probed.
func (t *Table) zoneIsOpen(now time.Duration, zone string) bool {
	state := t.zones[zone]
	return state == nil || now >= state.pausedUntil || now-state.probedAt >= zoneProbe
}

// noteZone learns from an outcome of one of a zone's instances.
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
