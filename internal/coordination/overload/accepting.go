package overload

import (
	"math"
	"time"
)

// ConnectionGate decides which of callers' new connections an overloaded node accepts.
//
// It answers the pattern that the platform hands most new connections of a zone, or of a region, to one node
// for some seconds, which is ready and well until then. What the node accepts and reads it has to serve: a
// request that is read and then refused, or waits behind a full link, has failed, while one whose connection
// is closed unread is sent to another node. The node stays ready, because the next one would get the same
// connections.
//
// The gate performs no I/O, reads no clock and is not safe for concurrent use.
type ConnectionGate struct {
	// recent and usual are the rates of new connections, over short and long times.
	recent, usual decayingRate
	// refused is the share of the new connections that is refused.
	refused float64
	// firstAt and acceptedAt are when the first connection arrived and the last one was accepted.
	firstAt, acceptedAt time.Duration
}

const (
	recentHalfLife = 300 * time.Millisecond
	usualHalfLife  = 20 * time.Second
	// surgeRatio is the ratio of the recent rate to the usual one from which connections are refused at
	// all, and minimumSurge the recent rate a second. A node that takes over for another one gets less.
	surgeRatio   = 2.5
	minimumSurge = 5.0
	// learningTime is how long a node must have counted connections to know its usual rate.
	learningTime = 5 * time.Second
	// fullAccepting is the utilization of the link above which fewer connections are accepted, and
	// calmAccepting the one below which more are. Requests of connections that are open use the rest.
	fullAccepting = 0.6
	calmAccepting = 0.45
	// The accepted share is multiplied by acceptDecrease at each reading of overload, and acceptIncrease is
	// added to it at each calm one.
	acceptDecrease = 0.7
	acceptIncrease = 0.05
	// longestPause is the longest time in which no connection is accepted while some arrive: a ready node
	// must take some.
	longestPause = 400 * time.Millisecond
)

// NewConnectionGate returns a gate that accepts all connections.
func NewConnectionGate() *ConnectionGate {
	return &ConnectionGate{recent: decayingRate{halfLife: recentHalfLife}, usual: decayingRate{halfLife: usualHalfLife}}
}

// Arrived records a new connection and reports whether it is accepted. draw is a random number in [0, 1).
func (g *ConnectionGate) Arrived(now time.Duration, draw float64) bool {
	if g.usual.sum == 0 {
		g.firstAt = now
	}
	g.recent.add(now, 1)
	g.usual.add(now, 1)
	if draw < g.refused && now-g.acceptedAt < longestPause {
		return false
	}
	g.acceptedAt = now
	return true
}

// RefusedShare returns the share of the new connections that is refused.
func (g *ConnectionGate) RefusedShare() float64 { return g.refused }

// Step processes a reading of the node's load and reports whether refusing has begun or ended. Utilization is
// that of the link, and withRoom the number of other nodes of the zone that have room.
func (g *ConnectionGate) Step(now time.Duration, utilization float64, pressure Pressure, withRoom int) (changed bool) {
	before := g.refused
	isFull := utilization > fullAccepting || pressure.Lag > overloadLag || pressure.FrameDelay > maximumFrameDelay
	isCalm := utilization < calmAccepting && pressure.Lag < calmLag && pressure.FrameDelay < maximumFrameDelay/2
	switch {
	case withRoom == 0:
		// No other node could serve what this one refuses.
		g.refused = 0
	case isFull && (g.refused > 0 || g.isSurge(now)):
		g.refused = 1 - acceptDecrease*(1-g.refused)
	case isCalm:
		g.refused = max(0, g.refused-acceptIncrease)
	}
	return (before == 0) != (g.refused == 0)
}

// isSurge reports whether far more connections arrive than usual.
func (g *ConnectionGate) isSurge(now time.Duration) bool {
	age := now - g.firstAt
	if age < learningTime {
		return false
	}
	// The usual rate is that of the time in which it was counted, which may be shorter than its memory.
	counted := 1 - math.Exp2(-float64(age)/float64(usualHalfLife))
	recent, usual := g.recent.perSecond(now), g.usual.perSecond(now)/counted
	return recent >= minimumSurge && recent >= surgeRatio*usual
}
