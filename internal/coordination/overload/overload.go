// Package overload decides how an entry node reacts when it has more work than its link or its
// processor can handle: when it sheds load (Shedder), and which callers' requests it refuses
// so that they retry at another node (Gate).
//
// Callers are distributed unevenly over the entry nodes. A node whose link is full is of no use
// to its callers: each frame and each body waits for seconds, while other nodes are idle. Such
// a node reports itself as not ready for a while, so that new connections go elsewhere, and
// reports itself as ready again once its link is free.
//
// Shedder and Gate perform no I/O and read no clock. They are not safe for concurrent use.
package overload

import "time"

const (
	// fullDelay is the delay of other nodes' frames from which the link counts as full, and
	// clearDelay the delay up to which it counts as free. Usual delays are under 20 ms, and
	// under 70 ms on the busiest node that still has free capacity.
	fullDelay  = 250 * time.Millisecond
	clearDelay = 80 * time.Millisecond
	// minimumFullShare is the minimum share of the link that callers' bodies must fill before the
	// delay is attributed to them: responses of engines and other nodes' frames use the same
	// link.
	minimumFullShare = 0.3
	// minimumFullTime is how long the link must be full before the node sheds load: a burst passes
	// without any action.
	minimumFullTime = 900 * time.Millisecond
	// busyShare is the share of the link that callers' bodies may fill before the node asks for
	// new connections to go to other nodes: the engines' responses take as much again, and at 0.4
	// other nodes' frames are 300 ms late. It accepts new connections again below notBusyShare.
	// Existing connections stay open, so that a heavy caller's requests are spread over several
	// nodes.
	busyShare    = 0.18
	notBusyShare = 0.08
	// shareWeight is the weight of one reading in the moving average of the share.
	shareWeight = 0.5
	// The node sheds load for initialSheddingTime. The time doubles, up to maximumSheddingTime,
	// each time that the link is full again within sheddingMemory after the previous shedding
	// ended.
	initialSheddingTime = 4 * time.Second
	maximumSheddingTime = 16 * time.Second
	sheddingMemory      = 20 * time.Second
)

// Reading is a measurement of a node's own link.
type Reading struct {
	// Delay is how much longer other nodes' frames are in transit than the fastest ones.
	// DelayKnown is false while no frames arrive.
	Delay      time.Duration
	DelayKnown bool
	// CallerBytes is the total size of callers' bodies since the start. LinkBytes is the
	// capacity of the link in bytes per second; 0 if unknown.
	CallerBytes int64
	LinkBytes   float64
	// Others is the number of other entry nodes of the zone.
	Others int
}

// Shedder decides whether a node sheds load, which means that it reports itself as not ready, so that new
// connections go to other nodes.
type Shedder struct {
	shedding  bool
	fullSince time.Duration
	isFull    bool
	// sheddingTime is the duration of the last shedding, and endsAt its end.
	sheddingTime time.Duration
	endsAt       time.Duration
	// lastBytes is the number of caller bytes at lastAt.
	lastBytes int64
	lastAt    time.Duration
	// smoothedShare is the moving average of the share of the link that callers' bodies fill. busy
	// reports whether it is too large for new connections.
	smoothedShare float64
	busy          bool
}

// Shedding reports whether the node sheds load.
func (s *Shedder) Shedding() bool { return s.shedding }

// Busy reports whether the node asks for new connections to go to other nodes. Existing connections stay
// open.
func (s *Shedder) Busy() bool { return s.busy }

func (s *Shedder) updateBusy(share float64, reading Reading) {
	if reading.LinkBytes <= 0 || reading.Others == 0 {
		s.busy = false
		return
	}
	s.smoothedShare += shareWeight * (share - s.smoothedShare)
	if s.busy {
		s.busy = s.smoothedShare > notBusyShare
		return
	}
	s.busy = s.smoothedShare > busyShare
}

// Step processes a reading and reports whether shedding has begun or ended.
func (s *Shedder) Step(now time.Duration, reading Reading) (changed bool) {
	share := s.share(now, reading)
	s.updateBusy(share, reading)
	if s.shedding {
		return s.endIfFree(now, reading)
	}
	if reading.Others == 0 || !reading.DelayKnown || reading.Delay < fullDelay || share < minimumFullShare {
		s.isFull = false
		return false
	}
	if !s.isFull {
		s.isFull, s.fullSince = true, now
	}
	if now-s.fullSince < minimumFullTime {
		return false
	}
	s.sheddingTime = min(2*s.sheddingTime, maximumSheddingTime)
	if s.sheddingTime == 0 || now-s.endsAt > sheddingMemory {
		s.sheddingTime = initialSheddingTime
	}
	s.shedding, s.endsAt = true, now+s.sheddingTime
	return true
}

// endIfFree ends the shedding once its time has passed and the link is free. If the delay is
// unknown because no frames arrive, it ends the shedding by time alone.
func (s *Shedder) endIfFree(now time.Duration, reading Reading) bool {
	if now < s.endsAt || reading.DelayKnown && reading.Delay > clearDelay {
		return false
	}
	s.shedding, s.isFull, s.endsAt = false, false, now
	return true
}

// share returns the share of the link that callers' bodies filled since the last reading, and 1
// if the link's capacity is unknown.
func (s *Shedder) share(now time.Duration, reading Reading) float64 {
	bytes, elapsed := reading.CallerBytes-s.lastBytes, now-s.lastAt
	s.lastBytes, s.lastAt = reading.CallerBytes, now
	if reading.LinkBytes <= 0 || elapsed <= 0 {
		return 1
	}
	return float64(bytes) / elapsed.Seconds() / reading.LinkBytes
}
