// Package enginepath decides how this node opens connections to engines.
//
// A node that is partitioned from engines is alive and reachable for its callers and peers, so only
// its own attempts to connect show the partition. An engine is unreachable while the last attempt to
// connect to it has failed. The path to engines is suspected when attempts at several engines have
// failed and none has succeeded in between. The node then probes other engines at random; if enough
// attempts fail, the path is lost.
//
// Besides the direct way there is a second one: a relay, that is, another entry node that reaches
// the engine and copies the bytes of the connection. Tracker decides for each connection when the
// direct attempt and the relayed one start; the first to succeed is used. Peers chooses the relays.
package enginepath

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	// suspectedEngines is the number of engines at which attempts have to fail, without a success in
	// between, for the path to be suspected: a single engine is more likely to have failed itself.
	suspectedEngines = 2
	// The path counts as lost when attempts have failed at lostShare of all engines, or at lostEngines:
	// several engines may really have failed, but not all of those that are probed at random.
	lostShare   = 0.5
	lostEngines = 8
	// The direct attempt has a head start of relayDelayFactor times the smoothed time to connect,
	// within these bounds. The upper one applies while no time is known; it is below the objectives
	// of short requests and above a round trip between regions of one continent.
	relayDelayFactor  = 4
	minimumRelayDelay = 20 * time.Millisecond
	maximumRelayDelay = 100 * time.Millisecond
	// connectTimeWeight is the weight of one connection in the smoothed time to connect.
	connectTimeWeight = 0.125
	// An unreachable engine is probed by a direct attempt beside the relayed one. The time between
	// two probes doubles from the initial to the maximum interval, and is randomized by
	// probeJitter so that nodes don't probe simultaneously.
	initialProbeInterval = 250 * time.Millisecond
	maximumProbeInterval = time.Second
	probeJitter          = 0.25
	// While the path is suspected, the node probes suspectedProbes other engines at each
	// suspectedProbeInterval. While it is lost, it probes one at each lostProbeInterval, so that no
	// request has to wait for a probe.
	suspectedProbes        = 4
	suspectedProbeInterval = 100 * time.Millisecond
	lostProbeInterval      = 250 * time.Millisecond
	// An engine that becomes unreachable again within flapMemory is used over relays first for a
	// hold time after the next contact. The hold time doubles each time, between these bounds.
	flapMemory      = 10 * time.Second
	initialHoldTime = time.Second
	maximumHoldTime = 8 * time.Second
	// relayFailureMemory is how long an engine that no relay could reach is not relayed to.
	relayFailureMemory = time.Second
	// checkInterval is the time between two checks whether relays reach an engine that this node does
	// not, and partitionMemory how long a relayed connection shows that they do.
	checkInterval   = 500 * time.Millisecond
	partitionMemory = time.Second
	// isolationDelay is how long the path has to be lost, and relayMemory how long ago the last
	// relayed connection has to be, for the node to count as isolated.
	isolationDelay = 500 * time.Millisecond
	relayMemory    = 2 * time.Second
)

// Outcome is the result of a direct attempt to connect to an engine.
type Outcome uint8

const (
	// Connected means that the connection was opened.
	Connected Outcome = iota
	// Silent means that there was no response in time, or that an open connection acknowledges
	// nothing.
	Silent
	// Refused means that the connection was refused or reset.
	Refused
)

// String returns the outcome's name in logs and metrics.
func (o Outcome) String() string { return [...]string{"connected", "silent", "refused"}[o] }

// RelayOutcome is the result of an attempt to connect to an engine through relays.
type RelayOutcome uint8

const (
	// Relayed means that a relay has opened the connection.
	Relayed RelayOutcome = iota
	// EngineUnreachable means that relays did not reach the engine either.
	EngineUnreachable
	// PeersLost means that the peers have lost their paths to engines, too.
	PeersLost
	// NoRelay means that no peer relays: there is none, or all are overloaded, stopping or of an
	// earlier build.
	NoRelay
)

// String returns the outcome's name in logs and metrics.
func (o RelayOutcome) String() string {
	return [...]string{"relayed", "engine_unreachable", "peers_lost", "no_relay"}[o]
}

// ChangeKind is how the state of the path changed.
type ChangeKind uint8

// Kinds of changes.
const (
	// Unchanged: no change.
	Unchanged ChangeKind = iota
	// Lost: the path to engines is lost.
	Lost
	// Regained: an attempt to connect has succeeded after the path was lost.
	Regained
)

// String returns the kind's name in logs.
func (k ChangeKind) String() string { return [...]string{"unchanged", "lost", "regained"}[k] }

// Change is a change of the path's state, with the evidence for it.
type Change struct {
	Kind ChangeKind
	// Silent and Refused are the numbers of engines that are unreachable, by the outcome of the last
	// attempt.
	Silent, Refused int
	// SinceContact is the time since an attempt last succeeded, negative if none ever has. Lasted is
	// how long the path was lost.
	SinceContact, Lasted time.Duration
}

// Plan is how a connection to an engine is opened. The attempts race: the first to succeed is used.
// If one fails, the other one starts immediately.
type Plan struct {
	// DirectDelay and RelayDelay are when the attempts start.
	DirectDelay, RelayDelay time.Duration
	// WithoutDirect and WithoutRelay exclude an attempt.
	WithoutDirect, WithoutRelay bool
}

// Tracker holds the results of this node's attempts to connect. It is safe for concurrent use. Times
// are readings of a monotonic clock.
type Tracker struct {
	mutex sync.Mutex
	// engines holds the engines that are unreachable or were until recently, by address.
	engines map[string]*engine
	// failedSinceContact are the addresses at which an attempt has failed since one last succeeded
	// anywhere.
	failedSinceContact map[string]struct{}
	contactAt          time.Duration
	hasContact         bool
	lostAt             time.Duration
	isLost             bool
	// nextProbeAt is when the node's next own probes are due.
	nextProbeAt time.Duration
	// listed is the number of engines known to the node.
	listed int
	// probed are the engines that the node has probed since the path was last suspected.
	probed map[string]struct{}
	// connectTime is the smoothed time of a direct attempt that succeeded, 0 if none has.
	connectTime time.Duration
	// relayedAt is when a connection was last relayed, if hasRelayed is set. relayOutcome is the
	// last outcome of an attempt through relays.
	relayedAt    time.Duration
	hasRelayed   bool
	relayOutcome RelayOutcome
	// random returns a number in [0, 1).
	random func() float64
}

// engine is the state of the direct way to one engine.
type engine struct {
	isUnreachable bool
	outcome       Outcome
	// since is when the first of the last failed attempts, and at when the last attempt was.
	since, at time.Duration
	// probeAt is when the next probe is due.
	probeAt, probeInterval time.Duration
	// probedAt is when the node itself last probed it.
	probedAt time.Duration
	// holdTime is how long relays are preferred after the next contact, holdUntil the end of that
	// time after the last one.
	holdTime, holdUntil time.Duration
	// unrelayableUntil is the end of the time for which no relay is asked for the engine.
	unrelayableUntil time.Duration
	// relayedAt is when a relay last connected to the engine while it was unreachable, if isRelayed is
	// set. checkAt is when the next check is due.
	relayedAt time.Duration
	isRelayed bool
	checkAt   time.Duration
}

// NewTracker returns a tracker without results.
func NewTracker() *Tracker {
	return &Tracker{engines: map[string]*engine{}, failedSinceContact: map[string]struct{}{}, probed: map[string]struct{}{}, relayOutcome: NoRelay, random: rand.Float64}
}

// SetRandom replaces the source of random numbers in [0, 1). It must be called before the first use.
func (t *Tracker) SetRandom(random func() float64) { t.random = random }

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

// Record records the result of a direct attempt to connect to the engine at an address, and how long
// it took.
func (t *Tracker) Record(now time.Duration, address string, outcome Outcome, took time.Duration) Change {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if outcome == Connected {
		t.observeConnectTime(took)
		return t.recordContact(now, address)
	}
	known := t.engines[address]
	if known == nil {
		known = &engine{}
		t.engines[address] = known
	}
	if !known.isUnreachable {
		if known.holdTime > 0 || known.holdUntil > 0 {
			known.holdTime = min(max(2*known.holdTime, initialHoldTime), maximumHoldTime)
		}
		known.isUnreachable, known.since, known.probeInterval = true, now, 0
		known.scheduleProbe(now, t.random())
	}
	known.outcome, known.at = outcome, now
	t.failedSinceContact[address] = struct{}{}
	if failed := len(t.failedSinceContact); t.isLost || !t.isSuspected() || failed < lostEngines && float64(failed) < lostShare*float64(t.listed) {
		return Change{}
	}
	t.isLost, t.lostAt = true, now
	return t.describe(now, Lost)
}

func (t *Tracker) observeConnectTime(took time.Duration) {
	if t.connectTime == 0 {
		t.connectTime = max(took, 1)
		return
	}
	t.connectTime += time.Duration(connectTimeWeight * float64(took-t.connectTime))
}

func (t *Tracker) recordContact(now time.Duration, address string) Change {
	if known := t.engines[address]; known != nil && known.isUnreachable {
		known.isUnreachable, known.outcome, known.at, known.isRelayed = false, Connected, now, false
		// A hold time of 0 marks that the engine was unreachable once within flapMemory.
		known.holdUntil = now + known.holdTime
		known.probeInterval = 0
		known.scheduleProbe(now, t.random())
	}
	change := Change{}
	if t.isLost {
		change = t.describe(now, Regained)
		change.Lasted = now - t.lostAt
		t.probeAllSoon(now)
	}
	clear(t.failedSinceContact)
	clear(t.probed)
	t.isLost, t.hasContact, t.contactAt = false, true, now
	return change
}

// probeAllSoon makes the probes of all unreachable engines due, spread over an interval.
func (t *Tracker) probeAllSoon(now time.Duration) {
	for _, known := range t.engines {
		if known.isUnreachable {
			known.probeAt = min(known.probeAt, now+time.Duration(t.random()*float64(initialProbeInterval)))
		}
	}
}

// describe returns a change with the current evidence.
func (t *Tracker) describe(now time.Duration, kind ChangeKind) Change {
	change := Change{Kind: kind, SinceContact: -1}
	if t.hasContact {
		change.SinceContact = now - t.contactAt
	}
	for _, known := range t.engines {
		switch {
		case !known.isUnreachable:
		case known.outcome == Refused:
			change.Refused++
		default:
			change.Silent++
		}
	}
	return change
}

// RecordRelay records the result of an attempt to connect to the engine at an address through
// relays.
func (t *Tracker) RecordRelay(now time.Duration, address string, outcome RelayOutcome) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.relayOutcome = outcome
	known := t.engines[address]
	switch {
	case outcome == Relayed:
		t.relayedAt, t.hasRelayed = now, true
		if known != nil {
			known.unrelayableUntil = 0
			known.relayedAt, known.isRelayed = now, known.isUnreachable
		}
	case known == nil:
	case outcome == EngineUnreachable:
		known.unrelayableUntil = now + relayFailureMemory
	default:
		// The peers' states change sooner than an engine's.
		known.unrelayableUntil = now + initialProbeInterval
	}
}

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
