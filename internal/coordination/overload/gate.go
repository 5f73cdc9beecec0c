package overload

import (
	"math"
	"time"
)

const (
	// fullLag is how long a goroutine may wait for its turn before the node counts as
	// having too much to do: a request passes through some six goroutines, each of which
	// waits that long for the processor, and the tightest objectives are 150 ms.
	// Below calmLag it has room.
	fullLag = 20 * time.Millisecond
	calmLag = 8 * time.Millisecond
	// fullLoad is the share of the link that bodies may fill before it counts as full:
	// the engines' answers take as much again. With 0.45 of a link filled by bodies
	// other nodes' frames came 300 to 700 ms late.
	fullLoad = 0.3
	// lateFrames is the delay of other nodes' frames above which the link counts as
	// full whatever fills it. Usual are under 20 ms.
	lateFrames = 60 * time.Millisecond
	// lagWeight is the weight of one reading in the smoothed lag: four readings
	// tell a node with too much to do from one long collection of garbage.
	lagWeight = 0.25
	// rateMemory is the half-life of callers' rates.
	rateMemory = 500 * time.Millisecond
	// heavyShare is the part of the node's work from which a caller counts as
	// heavy. Others are never turned away.
	heavyShare = 0.3
	// A bound on heavy callers begins at firstBound of the heaviest one's rate,
	// falls by boundFall at each reading with too much to do and rises by boundRise
	// at each calm one, until it binds nobody.
	firstBound = 0.7
	boundFall  = 0.93
	boundRise  = 1.02
	// leastBound is the least bound, in work a second.
	leastBound = 10.0
	// leastPart is the part of a heavy caller's requests that is let in however much
	// there is to do: what is turned away meets one other node, which has as little
	// room, and a second refusal is final.
	leastPart = 0.5
	// burstTime is the time whose work a caller may have at once.
	burstTime = 200 * time.Millisecond
	// bytesOfWork is the length of a body that takes as much of a node as a request
	// without one.
	bytesOfWork = 16 << 10
	// forgetRate is the rate below which a caller is forgotten.
	forgetRate = 0.05
)

// Work is what a request with a body takes of a node, in requests without one.
func Work(bodyBytes int64) float64 { return 1 + float64(max(0, bodyBytes))/bytesOfWork }

// Gate turns away requests of heavy callers at a node that has too much to do.
//
// It answers this pattern: the platform chooses a caller's entry node by a hash,
// so one large caller's requests all meet one small machine, and hundreds of
// others are idle. That machine's processor or link is full, and all its requests
// are late, also those of light callers. A request that is turned away at once
// comes back through another node, well within its objective.
//
// The bound on heavy callers falls while the node has too much to do and rises
// while it has room, as windows of transport protocols do. Callers that take less
// than heavyShare of the node's work are not turned away.
//
// It is a pure step and not safe for concurrent use.
type Gate struct {
	lag time.Duration
	// bound is the most work a second that a caller may have; 0 means none.
	bound   float64
	callers map[string]*callerRate
	// total is the work asked for, bytes are those of the bodies read, as of the last
	// reading bodyBytes in all.
	total     decayingRate
	bytes     decayingRate
	bodyBytes int64
}

// callerRate is one caller's work, asked for and let in.
type callerRate struct {
	asked decayingRate
	// credit is the work that it may have now, as of credited.
	credit   float64
	credited time.Duration
}

// decayingRate is a smoothed rate.
type decayingRate struct {
	sum float64
	at  time.Duration
}

func (r *decayingRate) add(now time.Duration, amount float64) {
	r.sum = r.decayed(now) + amount
	r.at = now
}

func (r *decayingRate) decayed(now time.Duration) float64 {
	return r.sum * math.Exp2(-float64(now-r.at)/float64(rateMemory))
}

// perSecond is the rate a second.
func (r *decayingRate) perSecond(now time.Duration) float64 {
	return r.decayed(now) * math.Ln2 / rateMemory.Seconds()
}

// NewGate makes a gate that lets all in.
func NewGate() *Gate { return &Gate{callers: map[string]*callerRate{}} }

// Bound is the most work a second that a heavy caller may have; 0 means no bound.
func (g *Gate) Bound() float64 { return g.bound }

// Lag is how long a goroutine waits for its turn, smoothed.
func (g *Gate) Lag() time.Duration { return g.lag }

// Pressure is a reading of how much a node has to do.
type Pressure struct {
	// Lag is how long a goroutine waits for its turn.
	Lag time.Duration
	// FrameDelay is how late other nodes' frames are.
	FrameDelay time.Duration
	// BodyBytes are the bytes of callers' bodies since the start, of known length or
	// not. LinkBytes is what the link carries in a second; 0 if that is not known.
	BodyBytes int64
	LinkBytes float64
}

// Step takes a reading and tells whether the bound was set or lifted.
func (g *Gate) Step(now time.Duration, pressure Pressure) (changed bool) {
	g.lag += time.Duration(lagWeight * float64(pressure.Lag-g.lag))
	g.bytes.add(now, float64(pressure.BodyBytes-g.bodyBytes))
	g.bodyBytes = pressure.BodyBytes
	load := 0.0
	if pressure.LinkBytes > 0 {
		load = g.bytes.perSecond(now) / pressure.LinkBytes
	}
	isFull := g.lag > fullLag || pressure.FrameDelay > lateFrames || load > fullLoad
	isCalm := g.lag < calmLag && pressure.FrameDelay < lateFrames/2 && load < fullLoad
	heaviest := g.Heaviest(now).Rate
	before := g.bound
	switch {
	case isFull && g.bound == 0:
		g.bound = max(firstBound*heaviest, leastBound)
	case isFull:
		g.bound = max(boundFall*g.bound, leastBound)
	case isCalm && g.bound > 0:
		if g.bound *= boundRise; g.bound > heaviest/firstBound {
			g.bound = 0
		}
	}
	return (before == 0) != (g.bound == 0)
}

// Heaviest is the caller with the most work, and what the node is asked for in
// all, for logs.
type Heaviest struct {
	Name string
	// Rate and Total are in work a second, Bytes in bytes of bodies a second.
	Rate, Total, Bytes float64
}

// Heaviest returns the heaviest caller; it forgets those that are gone.
func (g *Gate) Heaviest(now time.Duration) Heaviest {
	heaviest := Heaviest{Total: g.total.perSecond(now), Bytes: g.bytes.perSecond(now)}
	for name, caller := range g.callers {
		rate := caller.asked.perSecond(now)
		if rate < forgetRate {
			delete(g.callers, name)
			continue
		}
		if rate > heaviest.Rate {
			heaviest.Name, heaviest.Rate = name, rate
		}
	}
	return heaviest
}

// LetsIn notes a caller's request with a body of some bytes and tells whether it is
// let in. One that must be served always is.
func (g *Gate) LetsIn(now time.Duration, caller string, bodyBytes int64, mustServe bool) bool {
	known := g.callers[caller]
	if known == nil {
		known = &callerRate{credited: now}
		g.callers[caller] = known
	}
	work := Work(bodyBytes)
	known.asked.add(now, work)
	g.total.add(now, work)
	return mustServe || g.bears(now, known, work)
}

// bears tells whether a caller's request is within the bound.
func (g *Gate) bears(now time.Duration, caller *callerRate, work float64) bool {
	rate := caller.asked.perSecond(now)
	if g.bound == 0 || rate <= g.bound || rate < heavyShare*g.total.perSecond(now) {
		return true
	}
	bound := max(g.bound, leastPart*rate)
	caller.credit = min(caller.credit+bound*(now-caller.credited).Seconds(), max(bound*burstTime.Seconds(), work))
	caller.credited = now
	if caller.credit < work {
		return false
	}
	caller.credit -= work
	return true
}
