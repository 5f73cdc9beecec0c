package overload

import (
	"math"
	"time"
)

// ConnectionGate decides which of callers' new connections a node accepts in a surge.
//
// It answers the pattern that the platform hands most new connections of a zone, or of a region, to one node
// for some seconds, which is ready and well until then. What the node accepts and reads it has to serve: a
// request that is read and then refused, or waits behind a full link, has failed, while one whose connection
// is closed unread is sent to another node. The node stays ready, because the next one would get the same
// connections.
//
// The link is full for as long as it takes to carry what was accepted, so connections are limited before their
// bytes arrive, by what connections have cost so far. A processor without time, and a link that is full
// nevertheless, reduce the accepted share further.
//
// The gate performs no I/O, reads no clock and is not safe for concurrent use.
type ConnectionGate struct {
	// recent is the rate of new connections over a short time. accepted is the rate of those that were accepted,
	// and load the utilization of the link by requests, both over a long time.
	recent, accepted, load decayingRate
	// incomingBytes and outgoingBytes are those of requests at the last reading.
	incomingBytes, outgoingBytes int64
	// credit is the number of connections that the link could take now in a surge, as of creditedAt.
	credit     float64
	creditedAt time.Duration
	// refused is the share of the new connections that is refused because of the last readings.
	refused float64
	// refusedAt is when a connection was last refused; 0 before the first time.
	refusedAt  time.Duration
	isRefusing bool
	// roomSeenAt is when another node last had room; 0 before the first time.
	roomSeenAt time.Duration
	// firstAt and acceptedAt are when the first connection arrived and the last one was accepted.
	firstAt, acceptedAt time.Duration
}

const (
	recentHalfLife = 300 * time.Millisecond
	usualHalfLife  = 20 * time.Second
	// recentMemory is the time, in seconds, in which as many connections arrive as recent holds at a steady rate.
	recentMemory = float64(recentHalfLife) / float64(time.Second) / math.Ln2
	// surgeRatio is the ratio of the recent rate to the usual one from which connections are refused at
	// all. A node that takes over for another one gets less. surgeMargin is a number of recent connections
	// beyond that, so that a few that arrive together by chance are no surge.
	surgeRatio  = 2.5
	surgeMargin = 3.0
	// learningTime is how long a node must have counted connections to know its usual rate.
	learningTime = 5 * time.Second
	// fullAccepting is the utilization of the link that accepted connections may bring, and above which fewer are
	// accepted; calmAccepting is the one below which more are. Requests of connections that are open use the
	// rest.
	fullAccepting = 0.6
	calmAccepting = 0.45
	// acceptBurst is the time whose connections may be accepted at once.
	acceptBurst = 500 * time.Millisecond
	// The accepted share is multiplied by acceptDecrease at each reading of overload, and acceptIncrease is
	// added to it at each calm one.
	acceptDecrease = 0.7
	acceptIncrease = 0.05
	// longestPause is the longest time in which no connection is accepted while some arrive: a ready node
	// must take some.
	longestPause = 400 * time.Millisecond
	// refusingMemory is how long a node counts as refusing after it last refused a connection.
	refusingMemory = time.Second
	// roomMemory is how long other nodes are taken to have room after the last one told it: their reports are
	// late while the link is full, and a node that serves the first connections of a surge may have none for a
	// moment.
	roomMemory = 3 * time.Second
)

// NewConnectionGate returns a gate that accepts all connections.
func NewConnectionGate() *ConnectionGate {
	return &ConnectionGate{
		recent: decayingRate{halfLife: recentHalfLife}, accepted: decayingRate{halfLife: usualHalfLife},
		load: decayingRate{halfLife: usualHalfLife},
	}
}

// Arrived records a new connection and reports whether it is accepted. draw is a random number in [0, 1).
func (g *ConnectionGate) Arrived(now time.Duration, draw float64) bool {
	if g.recent.sum == 0 && g.accepted.sum == 0 {
		g.firstAt = now
	}
	g.recent.add(now, 1)
	if now-g.acceptedAt < longestPause && (draw < g.refused || !g.isWithinCredit(now)) {
		g.refusedAt = now
		return false
	}
	g.credit = max(0, g.credit-1)
	g.accepted.add(now, 1)
	g.acceptedAt = now
	return true
}

// isWithinCredit reports whether the link may take another connection. Outside of surges it may take any.
func (g *ConnectionGate) isWithinCredit(now time.Duration) bool {
	g.addCredit(now)
	return g.credit >= 1 || !g.othersHaveRoom(now) || !g.isSurge(now)
}

func (g *ConnectionGate) addCredit(now time.Duration) {
	elapsed := now - g.creditedAt
	g.creditedAt = now
	load := g.load.decayed(now)
	if load == 0 {
		// Nothing is known of the link.
		g.credit = math.Inf(1)
		return
	}
	// Both are averages over the same time, so their ratio is the utilization by one connection a second.
	perSecond := fullAccepting * g.accepted.decayed(now) / load
	g.credit = min(g.credit+perSecond*elapsed.Seconds(), max(1, perSecond*acceptBurst.Seconds()))
}

// RefusedShare returns the share of the new connections that is refused because of the last readings.
func (g *ConnectionGate) RefusedShare() float64 { return g.refused }

// Step processes a reading of the node's load and reports whether refusing has begun or ended. Utilization is
// that of the link, and withRoom the number of other nodes of the zone that have room.
func (g *ConnectionGate) Step(now time.Duration, utilization float64, pressure Pressure, withRoom int) (changed bool) {
	g.addLoad(now, pressure)
	if withRoom > 0 {
		g.roomSeenAt = now
	}
	isFull := utilization > fullAccepting || pressure.Lag > overloadLag || pressure.FrameDelay > maximumFrameDelay
	isCalm := utilization < calmAccepting && pressure.Lag < calmLag && pressure.FrameDelay < maximumFrameDelay/2
	switch {
	case !g.othersHaveRoom(now):
		// No other node could serve what this one refuses.
		g.refused = 0
	case isFull && (g.refused > 0 || g.isSurge(now)):
		g.refused = 1 - acceptDecrease*(1-g.refused)
	case isCalm && !g.isSurge(now):
		g.refused = 0
	case isCalm:
		g.refused = max(0, g.refused-acceptIncrease)
	}
	before := g.isRefusing
	g.isRefusing = g.refusedAt > 0 && now-g.refusedAt < refusingMemory
	return before != g.isRefusing
}

// addLoad adds what requests have used of the link since the last reading.
func (g *ConnectionGate) addLoad(now time.Duration, pressure Pressure) {
	used := max(pressure.RequestIncomingBytes-g.incomingBytes, pressure.RequestOutgoingBytes-g.outgoingBytes)
	g.incomingBytes, g.outgoingBytes = pressure.RequestIncomingBytes, pressure.RequestOutgoingBytes
	if pressure.LinkBytes > 0 {
		g.load.add(now, float64(used)/pressure.LinkBytes)
	}
}

// IsRefusing reports whether connections were being refused at the last reading.
func (g *ConnectionGate) IsRefusing() bool { return g.isRefusing }

func (g *ConnectionGate) othersHaveRoom(now time.Duration) bool {
	return g.roomSeenAt > 0 && now-g.roomSeenAt < roomMemory
}

// isSurge reports whether far more connections arrive than are usually accepted.
func (g *ConnectionGate) isSurge(now time.Duration) bool {
	age := now - g.firstAt
	if age < learningTime {
		return false
	}
	// The usual rate is that of the time in which it was counted, which may be shorter than its memory.
	counted := 1 - math.Exp2(-float64(age)/float64(usualHalfLife))
	usual := g.accepted.perSecond(now) / counted
	return g.recent.decayed(now) >= surgeRatio*usual*recentMemory+surgeMargin
}
