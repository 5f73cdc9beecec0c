package balance

import "time"

const (
	// initialReadRate is the assumed read rate in prompt tokens per millisecond until one was
	// observed. It is that of a large model on current accelerators.
	initialReadRate = 45.0
	// minimumReadTokens is the minimum prompt length, in tokens, for an observation of the read
	// rate. With shorter prompts, most of the time is spent on generating the first token.
	minimumReadTokens = 4000
	// The rate tracks the readRateQuantile of the observed rates, in relative steps of
	// readRateStep. The quantile is low because a prompt that the instance holds in part, unknown
	// to this node, appears to be read fast.
	readRateQuantile = 0.3
	readRateStep     = 0.03
	// An instance reads prompts in chunks between the tokens of its streams. If it reads for less
	// than stallFrom of the maximum event gap that a stream's objective allows, no stream exceeds
	// that gap. From stallTo on, all of its streams exceed it. The chunks take most, but not all,
	// of the time between two events, so the share of stalled streams is assumed to grow linearly
	// in between.
	stallFrom = 0.7
	stallTo   = 1.3
	// stalledStreamTokens is the cost of one stalled stream, in tokens read. Measurements with 0,
	// 4,000 and 12,000 are in docs/design/engine-choice.md.
	stalledStreamTokens = 5000
	// Whether streams stall at all depends on the size of the chunks and of the events. The cost is
	// therefore scaled by the observed share of stalled streams, which starts at
	// initialStalledShare: it is 0 up to lowStalledShare, and counts fully from highStalledShare on.
	lowStalledShare     = 0.005
	highStalledShare    = 0.03
	initialStalledShare = 0.01
	// stalledWeight is the weight of one stream in the smoothed share.
	stalledWeight = 0.015
)

// readSpeed is the observed read rate of the instances of one service, and the share of their
// streams that stalled. A stream is stalled if the time between two of its events exceeds the
// objective.
type readSpeed struct {
	// readRate is in prompt tokens per millisecond.
	readRate float64
	// stalled is the smoothed share of stalled streams.
	stalled float64
}

// stallWeight returns the factor, from 0 to 1, that stalledStreamTokens is scaled by.
func (s *readSpeed) stallWeight() float64 {
	return min(1, max(0, (s.stalled-lowStalledShare)/(highStalledShare-lowStalledShare)))
}

// observeRead updates the read rate from the time to a first token that no other prompt delayed.
func (s *readSpeed) observeRead(tokens int, took time.Duration) {
	if tokens < minimumReadTokens || took <= 0 {
		return
	}
	if float64(tokens)/float64(took)*float64(time.Millisecond) < s.readRate {
		s.readRate -= s.readRate * readRateStep * (1 - readRateQuantile)
		return
	}
	s.readRate += s.readRate * readRateStep * readRateQuantile
}

// readTime returns the expected time to read prompt tokens.
func (s *readSpeed) readTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / s.readRate * float64(time.Millisecond))
}

// stalledShare returns the expected share of an instance's streams that stall while it reads that
// many tokens without interruption. gap is the maximum event gap; 0 means no bound.
func (s *readSpeed) stalledShare(tokens int, gap time.Duration) float64 {
	if gap <= 0 {
		return 0
	}
	reading := float64(tokens) / s.readRate / float64(gap.Milliseconds())
	return min(1, max(0, (reading-stallFrom)/(stallTo-stallFrom)))
}

// stallCost returns the cost, in tokens, of the streams that stall only because unread tokens are
// read after those that are ahead of them.
func (s *readSpeed) stallCost(streams, ahead, unread int, gap time.Duration) float64 {
	more := s.stalledShare(ahead+unread, gap) - s.stalledShare(ahead, gap)
	return float64(streams) * stalledStreamTokens * s.stallWeight() * more
}

// speedOf returns the read speed of a service, which it creates on first use.
func (t *Table) speedOf(service string) *readSpeed {
	speed := t.speeds[service]
	if speed == nil {
		speed = &readSpeed{readRate: initialReadRate, stalled: initialStalledShare}
		t.speeds[service] = speed
	}
	return speed
}

// StreamEnded records whether a stream of a service stalled.
func (t *Table) StreamEnded(service string, wasStalled bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	speed := t.speedOf(service)
	speed.stalled -= stalledWeight * speed.stalled
	if wasStalled {
		speed.stalled += stalledWeight
	}
}
