package overload

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// overloadLag is how long a goroutine may wait to be scheduled before the node counts as
	// overloaded: a request passes through some six goroutines, each of which waits that long
	// for the processor, and the tightest latency objectives are 150 ms. Below calmLag the node
	// has free capacity.
	overloadLag = 20 * time.Millisecond
	calmLag     = 8 * time.Millisecond
	// FullUtilization is the share of the link's fuller direction from which it counts as full:
	// bytes come in bursts, which wait for the ones before them.
	FullUtilization = 0.75
	// roomUtilization is the utilization below which a node has room for requests that others
	// refuse.
	roomUtilization = 0.5
	// maximumFrameDelay is the delay of other nodes' frames above which the link counts as full,
	// regardless of what fills it. Usual delays are under 20 ms.
	maximumFrameDelay = 60 * time.Millisecond
	// lagWeight is the weight of one reading in the moving average of the lag: four readings
	// distinguish an overloaded node from one long garbage collection.
	lagWeight = 0.25
	// rateHalfLife is the half-life of the smoothed rates.
	rateHalfLife = 250 * time.Millisecond
	// heavyShare is the share of the node's work from which a caller counts as heavy. Requests
	// of other callers are never refused.
	heavyShare = 0.3
	// The bound on heavy callers begins at initialBoundShare times the heaviest one's rate. It is
	// multiplied by boundDecrease at each reading of overload and by boundIncrease at each calm
	// reading, until it restricts no caller.
	initialBoundShare = 0.7
	boundDecrease     = 0.93
	boundIncrease     = 1.02
	// minimumBound is the minimum bound, in work per second.
	minimumBound = 10.0
	// shareWithoutRoom is the share of a heavy caller's work that is admitted regardless of the
	// load: a refused request is retried at one other node, which may be as overloaded, and a
	// second refusal is final. It is shareWithRoom if the other nodes are known to have room:
	// refused bodies still arrive, and a link of which a caller's bodies fill 0.6 is at
	// FullUtilization with a quarter of the responses, if they are as large.
	shareWithoutRoom = 0.5
	shareWithRoom    = 0.25
	// A caller whose requests arrive here at less than retryTolerance times the rate at which
	// other nodes refuse them is retrying, and is not bounded. The rates are smoothed over a few
	// dozen requests each. A node at which the caller's requests arrive while others refuse some
	// refuses 1-shareWithoutRoom of them at most; retryTolerance times that is below 1, so of two
	// nodes only the one with the lower rate can take all for retries.
	retryTolerance = 1.4
	// burstTime is the duration whose work a caller may use in one burst.
	burstTime = 200 * time.Millisecond
	// bytesPerWork is the size in bytes of a body that costs a node as much as a request without
	// a body.
	bytesPerWork = 16 << 10
	// minimumRate is the rate, in work per second, below which a caller is forgotten.
	minimumRate = 0.05
)

// Work returns the cost of a request with a body, in units of a request without one.
func Work(bodyBytes int64) float64 { return 1 + float64(max(0, bodyBytes))/bytesPerWork }

// Gate refuses requests of heavy callers at an overloaded node.
//
// It guards against the following pattern. The platform selects a caller's entry node by a
// hash, so all requests of one large caller arrive at one small machine while hundreds of
// others are idle. That machine's processor or link is full, and all its requests are late,
// including those of light callers. A request that is refused immediately is retried through
// another node, well within its objective, unless the balancer sends its retry back to this node;
// then nothing is refused.
//
// The bound on heavy callers falls while the node is overloaded and rises while it has free
// capacity, like the congestion window of a transport protocol. Requests of callers with less
// than heavyShare of the node's work are not refused.
//
// It performs no I/O, reads no clock and is not safe for concurrent use.
type Gate struct {
	lag time.Duration
	// bound is the maximum work per second of a heavy caller; 0 means no bound.
	bound   float64
	callers map[string]*callerRate
	// total is the rate of the requested work.
	total decayingRate
	// incoming and outgoing are the directions of the link.
	incoming, outgoing meteredDirection
	// utilization is the share of the fuller direction in use at the last reading; 0 if the
	// link's capacity is unknown.
	utilization float64
	// zone is what is known of the zone, and elsewhere what is known of callers at other nodes.
	zone      ZoneState
	elsewhere map[Key]elsewhere
}

// meteredDirection is one direction of the link.
type meteredDirection struct {
	rate decayingRate
	// bytes is the total at the last reading.
	bytes int64
}

func (d *meteredDirection) read(now time.Duration, bytes int64) {
	d.rate.add(now, float64(bytes-d.bytes))
	d.bytes = bytes
}

// callerRate is one caller's requested work and its credit for further work.
type callerRate struct {
	key       Key
	requested decayingRate
	refused   decayingRate
	// credit is the work that the caller may use, as of creditedAt.
	credit     float64
	creditedAt time.Duration
}

// decayingRate is an exponentially decaying rate.
type decayingRate struct {
	sum float64
	at  time.Duration
	// halfLife is rateHalfLife if it is 0.
	halfLife time.Duration
}

func (r *decayingRate) memory() time.Duration { return cmp.Or(r.halfLife, rateHalfLife) }

func (r *decayingRate) add(now time.Duration, amount float64) {
	r.sum = r.decayed(now) + amount
	r.at = now
}

func (r *decayingRate) decayed(now time.Duration) float64 {
	return r.sum * math.Exp2(-float64(now-r.at)/float64(r.memory()))
}

// perSecond returns the rate per second.
func (r *decayingRate) perSecond(now time.Duration) float64 {
	return r.decayed(now) * math.Ln2 / r.memory().Seconds()
}

// NewGate returns a gate without a bound, which admits all requests.
func NewGate() *Gate {
	return &Gate{callers: map[string]*callerRate{}, elsewhere: map[Key]elsewhere{}}
}

// Bound returns the maximum work per second of a heavy caller; 0 means no bound.
func (g *Gate) Bound() float64 { return g.bound }

// Lag returns the moving average of how long a goroutine waits to be scheduled.
func (g *Gate) Lag() time.Duration { return g.lag }

// Utilization returns the share of the link's fuller direction in use; 0 if the link's capacity is
// unknown.
func (g *Gate) Utilization() float64 { return g.utilization }

// Pressure is a measurement of a node's load.
type Pressure struct {
	// Lag is how long a goroutine waits to be scheduled.
	Lag time.Duration
	// FrameDelay is the delay of other nodes' frames.
	FrameDelay time.Duration
	// IncomingBytes and OutgoingBytes are the totals of each direction of the link since the
	// start. LinkBytes is the capacity of each direction in bytes per second; 0 if unknown.
	IncomingBytes, OutgoingBytes int64
	LinkBytes                    float64
	// RequestIncomingBytes and RequestOutgoingBytes are those of them that are of callers' requests, without
	// the messages of other nodes.
	RequestIncomingBytes, RequestOutgoingBytes int64
	// RetriesReturn is set while the balancer sends a caller's new connections to this node, and so
	// the retries of what it refuses. Refusing then only adds to the load.
	RetriesReturn bool
}

// Step processes a measurement and reports whether the bound was set or lifted.
func (g *Gate) Step(now time.Duration, pressure Pressure) (changed bool) {
	g.lag += time.Duration(lagWeight * float64(pressure.Lag-g.lag))
	g.incoming.read(now, pressure.IncomingBytes)
	g.outgoing.read(now, pressure.OutgoingBytes)
	g.utilization = 0
	if pressure.LinkBytes > 0 {
		g.utilization = max(g.incoming.rate.perSecond(now), g.outgoing.rate.perSecond(now)) / pressure.LinkBytes
	}
	isLinkFull := pressure.FrameDelay > maximumFrameDelay || g.utilization > FullUtilization
	isLinkCalm := pressure.FrameDelay < maximumFrameDelay/2 && g.utilization < FullUtilization
	// A refusal whose retry returns doubles its body on the link, but saves most of its processor
	// time.
	isFull := g.lag > overloadLag || isLinkFull && !pressure.RetriesReturn
	isCalm := g.lag < calmLag && isLinkCalm
	heaviest := g.Heaviest(now).Rate
	before := g.bound
	switch {
	case pressure.RetriesReturn && g.lag < calmLag:
		g.bound = 0
	case isFull && g.bound == 0:
		g.bound = max(initialBoundShare*heaviest, minimumBound)
	case isFull:
		g.bound = max(boundDecrease*g.bound, minimumBound)
	case isCalm && g.bound > 0:
		if g.bound *= boundIncrease; g.bound > heaviest/initialBoundShare {
			g.bound = 0
		}
	}
	return (before == 0) != (g.bound == 0)
}

// Heaviest is the caller with the highest rate of work, along with the rates of all callers
// together. It is written to logs.
type Heaviest struct {
	Name string
	// Rate and Total are in work per second, Incoming and Outgoing in bytes per second of the
	// node's link.
	Rate, Total, Incoming, Outgoing float64
}

// Heaviest returns the heaviest caller. It forgets callers whose rate has fallen below
// minimumRate.
func (g *Gate) Heaviest(now time.Duration) Heaviest {
	heaviest := Heaviest{Total: g.total.perSecond(now), Incoming: g.incoming.rate.perSecond(now), Outgoing: g.outgoing.rate.perSecond(now)}
	for name, caller := range g.callers {
		rate := caller.requested.perSecond(now)
		if rate < minimumRate {
			delete(g.callers, name)
			continue
		}
		if rate > heaviest.Rate {
			heaviest.Name, heaviest.Rate = name, rate
		}
	}
	return heaviest
}

// Admits records a caller's request with a body of bodyBytes and reports whether it is admitted.
// mustServe is set for a request without time for a retry at another node: it is always admitted.
func (g *Gate) Admits(now time.Duration, caller string, bodyBytes int64, mustServe bool) bool {
	work := Work(bodyBytes)
	known := g.callers[caller]
	if known == nil {
		// The first request is within the credit: one large body does not make a caller heavy.
		known = &callerRate{key: KeyOf(caller), creditedAt: now, credit: work}
		g.callers[caller] = known
	}
	known.requested.add(now, work)
	g.total.add(now, work)
	if mustServe || g.admits(now, known, work) {
		return true
	}
	known.refused.add(now, work)
	return false
}

// admits reports whether a caller's request is within the bound.
func (g *Gate) admits(now time.Duration, caller *callerRate, work float64) bool {
	rate := caller.requested.perSecond(now)
	if g.bound == 0 || rate <= g.bound || rate < heavyShare*g.total.perSecond(now) {
		return true
	}
	known := g.elsewhere[caller.key]
	least := g.minimumShare(known) * rate
	if known.refused > 0 {
		if rate < retryTolerance*known.refused {
			// All that arrives here are requests that other nodes refused.
			return true
		}
		least = max(least, shareWithoutRoom*rate)
	}
	bound := max(g.bound, least)
	caller.credit = min(caller.credit+bound*(now-caller.creditedAt).Seconds(), max(bound*burstTime.Seconds(), work))
	caller.creditedAt = now
	if caller.credit < work {
		return false
	}
	caller.credit -= work
	return true
}

// CallerState describes a heavy caller of this node.
type CallerState struct {
	Name string
	HeavyCaller
}

// HeavyCallers returns the heavy callers, the heaviest first.
func (g *Gate) HeavyCallers(now time.Duration) []CallerState {
	total := g.total.perSecond(now)
	var heavy []CallerState
	for name, caller := range g.callers {
		rate := caller.requested.perSecond(now)
		if rate < minimumBound || rate < heavyShare*total {
			continue
		}
		heavy = append(heavy, CallerState{
			Name:        name,
			HeavyCaller: HeavyCaller{Caller: caller.key, Rate: rate, Refused: caller.refused.perSecond(now)},
		})
	}
	slices.SortFunc(heavy, func(one, other CallerState) int { return cmp.Compare(other.Rate, one.Rate) })
	return heavy
}

// State returns what this node tells the other nodes of its zone.
func (g *Gate) State(now time.Duration) NodeState {
	state := NodeState{Utilization: g.utilization, HasBound: g.bound > 0}
	for _, caller := range g.HeavyCallers(now) {
		state.Callers = append(state.Callers, caller.HeavyCaller)
	}
	return state
}
