// Package overload decides what an entry node does that has more to do than its
// link or its processor bears: when it sheds load (Shedder), and whose requests it
// sends elsewhere (Gate).
//
// Callers come to entry nodes in uneven shares. One whose link is full is of no
// use to its callers: each frame and each body waits for seconds, while other
// nodes are idle. It then calls itself not ready for a while, so that new
// connections go elsewhere, and comes back once its link is free.
//
// Both are pure steps and not safe for concurrent use.
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
	// busyShare is the part of the link that callers' bodies may fill before the node
	// asks for no new connections: the engines' answers take as much again, and at 0.4
	// other nodes' frames come 300 ms late. It asks for them again below easyShare.
	// Kept connections stay, so that a heavy caller's requests come to several nodes.
	busyShare = 0.18
	easyShare = 0.08
	// busyWeight is the weight of one reading in the smoothed share.
	busyWeight = 0.5
	// The node sheds load for firstPause, for twice as long each time that the link
	// is full again within pauseMemory of the last time's end, and for lastPause at
	// most.
	firstPause  = 4 * time.Second
	lastPause   = 16 * time.Second
	pauseMemory = 20 * time.Second
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

// Shedder tells whether a node sheds load: asks for no more callers.
type Shedder struct {
	shedding  bool
	fullSince time.Duration
	isFull    bool
	// pause is the length of the last time, until its end.
	pause time.Duration
	until time.Duration
	// lastBytes were read at lastAt.
	lastBytes int64
	lastAt    time.Duration
	// smoothed is the smoothed share of the link that callers' bodies fill, and busy
	// tells that it is too large for new connections.
	smoothed float64
	busy     bool
}

// Shedding tells whether the node asks for no more callers.
func (s *Shedder) Shedding() bool { return s.shedding }

// Busy tells whether the node asks for no new connections, though those that are
// open stay.
func (s *Shedder) Busy() bool { return s.busy }

func (s *Shedder) noteBusy(share float64, reading Reading) {
	if reading.LinkBytes <= 0 || reading.Others == 0 {
		s.busy = false
		return
	}
	s.smoothed += busyWeight * (share - s.smoothed)
	if s.busy {
		s.busy = s.smoothed > easyShare
		return
	}
	s.busy = s.smoothed > busyShare
}

// Step takes a reading and tells whether shedding has begun or ended.
func (s *Shedder) Step(now time.Duration, reading Reading) (changed bool) {
	share := s.share(now, reading)
	s.noteBusy(share, reading)
	if s.shedding {
		return s.maybeEnd(now, reading)
	}
	if reading.Others == 0 || !reading.DelayKnown || reading.Delay < fullDelay || share < fullShare {
		s.isFull = false
		return false
	}
	if !s.isFull {
		s.isFull, s.fullSince = true, now
	}
	if now-s.fullSince < fullFor {
		return false
	}
	s.pause = min(2*s.pause, lastPause)
	if s.pause == 0 || now-s.until > pauseMemory {
		s.pause = firstPause
	}
	s.shedding, s.until = true, now+s.pause
	return true
}

// maybeEnd ends the shedding when its time is over and the link is free. A node
// that hears nobody can't tell, and ends it too.
func (s *Shedder) maybeEnd(now time.Duration, reading Reading) bool {
	if now < s.until || reading.DelayKnown && reading.Delay > clearDelay {
		return false
	}
	s.shedding, s.isFull, s.until = false, false, now
	return true
}

// share is the part of the link that callers' bodies took since the last
// reading; 1 where the link's size is not known.
func (s *Shedder) share(now time.Duration, reading Reading) float64 {
	bytes, elapsed := reading.CallerBytes-s.lastBytes, now-s.lastAt
	s.lastBytes, s.lastAt = reading.CallerBytes, now
	if reading.LinkBytes <= 0 || elapsed <= 0 {
		return 1
	}
	return float64(bytes) / elapsed.Seconds() / reading.LinkBytes
}
