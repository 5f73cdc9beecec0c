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
	"math/rand/v2"
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
