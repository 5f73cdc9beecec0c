// Package overload decides when an entry node asks for no more callers because
// its own link is full.
//
// Callers come to entry nodes in uneven shares. One whose link is full is of no
// use to its callers: each frame and each body waits for seconds, while other
// nodes are idle. It then calls itself not ready for a while, so that new
// connections go elsewhere, and comes back once its link is free.
//
// It is a pure step and not safe for concurrent use.
package overload

import "time"

const (
	// fullDelay is the delay of other nodes' frames above which the link counts as
	// full, clearDelay that below which it counts as free. Usual are under 20 ms,
	// on the busiest node with room left under 70 ms (docs/incidents/zhf-grown-config.md).
	fullDelay  = 250 * time.Millisecond
	clearDelay = 80 * time.Millisecond
	// fullShare is the part of the link that callers' bodies fill at least before
	// the delay is put down to them: answers of engines and other nodes' frames
	// share the link with them.
	fullShare = 0.3
	// fullFor is how long it must be full: a burst passes by itself.
	fullFor = 900 * time.Millisecond
	// The node stays away for a rest, which doubles each time that the link is
	// full again within restMemory of the last one's end.
	firstRest  = 4 * time.Second
	lastRest   = 16 * time.Second
	restMemory = 20 * time.Second
)

// Reading is what a node sees of its own link at a moment.
type Reading struct {
	// Delay is how much longer other nodes' frames are on their way than the
	// fastest ones; DelayKnown is unset while none is heard.
	Delay      time.Duration
	DelayKnown bool
	// CallerBytes are the bytes of callers' bodies since the start, LinkBytes what
	// the link carries in a second; 0 if that is not known.
	CallerBytes int64
	LinkBytes   float64
	// Others is the number of other entry nodes of the zone.
	Others int
}

// Gate tells whether a node asks for callers.
type Gate struct {
	resting   bool
	fullSince time.Duration
	isFull    bool
	rest      time.Duration
	// restsUntil is the end of the rest under way or of the last one.
	restsUntil time.Duration
	// lastBytes were read at lastAt.
	lastBytes int64
	lastAt    time.Duration
}

// Resting tells whether the node asks for no more callers.
func (g *Gate) Resting() bool { return g.resting }

// Step takes a reading and tells whether something has changed.
func (g *Gate) Step(now time.Duration, reading Reading) (changed bool) {
	share := g.share(now, reading)
	if g.resting {
		return g.maybeReturn(now, reading)
	}
	if reading.Others == 0 || !reading.DelayKnown || reading.Delay < fullDelay || share < fullShare {
		g.isFull = false
		return false
	}
	if !g.isFull {
		g.isFull, g.fullSince = true, now
	}
	if now-g.fullSince < fullFor {
		return false
	}
	g.rest = min(2*g.rest, lastRest)
	if g.rest == 0 || now-g.restsUntil > restMemory {
		g.rest = firstRest
	}
	g.resting, g.restsUntil = true, now+g.rest
	return true
}

// maybeReturn ends a rest whose time is over once the link is free. A node that
// hears nobody can't tell, and returns.
func (g *Gate) maybeReturn(now time.Duration, reading Reading) bool {
	if now < g.restsUntil || reading.DelayKnown && reading.Delay > clearDelay {
		return false
	}
	g.resting, g.isFull, g.restsUntil = false, false, now
	return true
}

// share is the part of the link that callers' bodies took since the last
// reading; 1 where the link's size is not known.
func (g *Gate) share(now time.Duration, reading Reading) float64 {
	bytes, time := reading.CallerBytes-g.lastBytes, now-g.lastAt
	g.lastBytes, g.lastAt = reading.CallerBytes, now
	if reading.LinkBytes <= 0 || time <= 0 {
		return 1
	}
	return float64(bytes) / time.Seconds() / reading.LinkBytes
}
