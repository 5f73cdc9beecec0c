package enginepath

import (
	"maps"
	"slices"
	"time"
)

// IsDoubtful reports whether the evidence makes a direct connection to an engine doubtful that was
// opened before.
func (t *Tracker) IsDoubtful(address string) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known := t.engines[address]
	return t.isSuspected() || known != nil && known.isUnreachable
}

// IsPartitioned reports whether this node is partitioned from an engine that relays reach: then its
// open connections to the engine have lost their path, too. An engine that is silent itself accepts
// no connection from a relay either.
func (t *Tracker) IsPartitioned(now time.Duration, address string) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known := t.engines[address]
	return known != nil && known.isUnreachable && known.isRelayed && now-known.relayedAt <= partitionMemory
}

// TakeCheck reports whether a check is due whether relays reach an engine that is doubtful, and
// counts it as done.
func (t *Tracker) TakeCheck(now time.Duration, address string) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known := t.engines[address]
	if known == nil {
		if !t.isSuspected() {
			return false
		}
		known = &engine{at: now}
		t.engines[address] = known
	}
	if now < known.checkAt || !known.isUnreachable && !t.isSuspected() {
		return false
	}
	known.checkAt = now + checkInterval
	return true
}

// Unreachable returns the outcome of the last attempt at an engine, and how long ago it failed; it
// returns Connected if it did not fail.
func (t *Tracker) Unreachable(now time.Duration, address string) (outcome Outcome, age time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known := t.engines[address]
	if known == nil || !known.isUnreachable {
		return Connected, 0
	}
	return known.outcome, now - known.at
}

// Loss returns for how long the path to engines has been lost; false means that it is not.
func (t *Tracker) Loss(now time.Duration) (lasting time.Duration, isLost bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return now - t.lostAt, t.isLost
}

// IsIsolated reports whether this node reaches no engine, neither directly nor through relays, while
// other nodes may: its callers are better served elsewhere.
func (t *Tracker) IsIsolated(now time.Duration) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if !t.isLost || now-t.lostAt < isolationDelay {
		return false
	}
	isRelayed := t.hasRelayed && now-t.relayedAt < relayMemory
	return !isRelayed && t.relayOutcome == NoRelay
}

// UnreachableCount returns the number of engines whose last direct attempt failed.
func (t *Tracker) UnreachableCount() int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.countUnreachable()
}

func (t *Tracker) countUnreachable() int {
	count := 0
	for _, known := range t.engines {
		if known.isUnreachable {
			count++
		}
	}
	return count
}

// EngineState is the state of the direct way to an engine, for operators.
type EngineState struct {
	Address       string
	IsUnreachable bool
	Outcome       Outcome
	// Since is the time since the engine became unreachable, Age that since the last attempt.
	Since, Age time.Duration
	// Hold is how long relays are still preferred.
	Hold time.Duration
}

// List returns the engines that are unreachable, or whose connections prefer relays, by address.
func (t *Tracker) List(now time.Duration) []EngineState {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var states []EngineState
	for _, address := range slices.Sorted(maps.Keys(t.engines)) {
		known := t.engines[address]
		if known.isUnreachable || now < known.holdUntil {
			states = append(states, EngineState{
				Address: address, IsUnreachable: known.isUnreachable, Outcome: known.outcome, Since: now - known.since, Age: now - known.at,
				Hold: max(0, known.holdUntil-now),
			})
		}
	}
	return states
}

// Prune drops the state of engines whose address is not among those listed, which are in order, and of those that were
// reached long enough ago.
func (t *Tracker) Prune(now time.Duration, listed []string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for address, known := range t.engines {
		_, isListed := slices.BinarySearch(listed, address)
		if !isListed || !known.isUnreachable && now-known.at > flapMemory && now >= known.holdUntil {
			delete(t.engines, address)
			delete(t.failedSinceContact, address)
		}
	}
}

// Forget drops the state of an engine whose process was replaced.
func (t *Tracker) Forget(address string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	delete(t.engines, address)
}

// IsEmpty reports whether no engine is or was recently unreachable.
func (t *Tracker) IsEmpty() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return len(t.engines) == 0
}
