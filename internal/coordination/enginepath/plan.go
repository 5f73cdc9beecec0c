package enginepath

import (
	"maps"
	"slices"
	"time"
)

// SetListed sets the number of engines known to the node.
func (t *Tracker) SetListed(engines int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.listed = engines
}

// isSuspected reports whether the path to engines is suspected.
func (t *Tracker) isSuspected() bool { return len(t.failedSinceContact) >= suspectedEngines }

// Plan returns how to open a connection to the engine at an address, and counts the direct attempt
// as a probe if the engine is unreachable.
func (t *Tracker) Plan(now time.Duration, address string) Plan {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known := t.engines[address]
	plan := Plan{RelayDelay: t.relayDelay()}
	if known == nil {
		if t.isSuspected() {
			plan.RelayDelay = 0
		}
		return plan
	}
	plan.WithoutRelay = now < known.unrelayableUntil
	switch {
	case known.isUnreachable && (t.isLost || now < known.probeAt):
		return Plan{WithoutDirect: true, WithoutRelay: plan.WithoutRelay}
	case known.isUnreachable:
		known.scheduleProbe(now, t.random())
		plan.RelayDelay = 0
	case now < known.holdUntil && now >= known.probeAt:
		known.scheduleProbe(now, t.random())
		plan.RelayDelay = 0
	case now < known.holdUntil:
		plan.DirectDelay, plan.RelayDelay = plan.RelayDelay, 0
	case t.isSuspected():
		plan.RelayDelay = 0
	}
	return plan
}

// TakeProbes returns the engines that the node is to probe now, and counts them as probed. listed
// returns the addresses of all engines in order; it is called only if the path is suspected.
func (t *Tracker) TakeProbes(now time.Duration, listed func() []string) []string {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	switch {
	case !t.isSuspected() || now < t.nextProbeAt:
		return nil
	case t.isLost:
		t.nextProbeAt = now + lostProbeInterval
		return t.leastRecentlyProbed(now)
	}
	t.nextProbeAt = now + suspectedProbeInterval
	var untried []string
	for _, address := range listed() {
		_, hasFailed := t.failedSinceContact[address]
		_, isProbed := t.probed[address]
		if !hasFailed && !isProbed {
			untried = append(untried, address)
		}
	}
	var chosen []string
	for len(untried) > 0 && len(chosen) < suspectedProbes {
		place := int(t.random() * float64(len(untried)))
		t.probed[untried[place]] = struct{}{}
		chosen = append(chosen, untried[place])
		untried = slices.Delete(untried, place, place+1)
	}
	return chosen
}

// leastRecentlyProbed returns the unreachable engine whose last probe by the node is the oldest.
func (t *Tracker) leastRecentlyProbed(now time.Duration) []string {
	var chosen *engine
	var address string
	for candidate, known := range t.engines {
		if known.isUnreachable && (chosen == nil || known.probedAt < chosen.probedAt || known.probedAt == chosen.probedAt && candidate < address) {
			address, chosen = candidate, known
		}
	}
	if chosen == nil {
		return nil
	}
	chosen.probedAt = now
	return []string{address}
}

// scheduleProbe sets the time of the next probe; random is in [0, 1).
func (e *engine) scheduleProbe(now time.Duration, random float64) {
	e.probeInterval = min(max(2*e.probeInterval, initialProbeInterval), maximumProbeInterval)
	e.probeAt = now + time.Duration(float64(e.probeInterval)*(1+probeJitter*(2*random-1)))
}

// relayDelay returns the head start of the direct attempt.
func (t *Tracker) relayDelay() time.Duration {
	if t.connectTime == 0 {
		return maximumRelayDelay
	}
	return min(max(relayDelayFactor*t.connectTime, minimumRelayDelay), maximumRelayDelay)
}

// probeAllSoon makes the probes of all unreachable engines due, spread over an interval.
func (t *Tracker) probeAllSoon(now time.Duration) {
	// In order, so that the random numbers decide a simulation.
	for _, address := range slices.Sorted(maps.Keys(t.engines)) {
		if known := t.engines[address]; known.isUnreachable {
			known.probeAt = min(known.probeAt, now+time.Duration(t.random()*float64(initialProbeInterval)))
		}
	}
}
