package balance

import "time"

const (
	// startReadRate is the assumed read rate in prompt tokens per millisecond until one was
	// observed. It is that of a large model on current accelerators.
	startReadRate = 45.0
	// leastReadTokens is the minimum prompt length, in tokens, for an observation of the read rate.
	// With shorter prompts, most of the time is spent on generating the first token.
	leastReadTokens = 4000
	// The rate tracks the readRateQuantile of the observed rates, in relative steps of readRateStep.
	// The quantile is low because a prompt that the instance holds in part, unknown to this node,
	// appears to be read fast.
	readRateQuantile = 0.3
	readRateStep     = 0.03
	// An instance reads prompts in chunks between the tokens of its streams. If it reads for less
	// than pauseFrom of the maximum event gap that a stream's objective allows, no stream exceeds
	// that gap. From pauseTo on, all of its streams exceed it. The chunks take most, but not all, of
	// the time between two events, so the share of stalled streams is assumed to grow linearly in
	// between.
	pauseFrom = 0.7
	pauseTo   = 1.3
	// pausedStreamTokens is the cost of one stalled stream, in tokens read. Measurements with 0,
	// 4,000 and 12,000 are in docs/design/engine-choice.md.
	pausedStreamTokens = 5000
	// Whether streams stall at all depends on the size of the chunks and of the events. The cost is
	// therefore scaled by the observed share of stalled streams: it is 0 up to fewPaused, and counts
	// fully from manyPaused on.
	fewPaused   = 0.005
	manyPaused  = 0.03
	startPaused = 0.01
	// pausedWeight is the weight of one stream in the smoothed share.
	pausedWeight = 0.015
)

// readSpeed is the observed read rate of the instances of one service, and the share of their
// streams that stalled. A stream is stalled if the time between two of its events exceeds the
// objective.
type readSpeed struct {
	// readRate is in prompt tokens per millisecond.
	readRate float64
	// paused is the smoothed share of stalled streams.
	paused float64
}

// pauseWeight returns the factor, from 0 to 1, that pausedStreamTokens is scaled by.
func (s *readSpeed) pauseWeight() float64 {
	return min(1, max(0, (s.paused-fewPaused)/(manyPaused-fewPaused)))
}

// observeRead updates the read rate from the time to a first token that no other prompt delayed.
func (s *readSpeed) observeRead(tokens int, took time.Duration) {
	if tokens < leastReadTokens || took <= 0 {
		return
	}
	if float64(tokens)/float64(took)*float64(time.Millisecond) < s.readRate {
		s.readRate -= s.readRate * readRateStep * (1 - readRateQuantile)
		return
	}
	s.readRate += s.readRate * readRateStep * readRateQuantile
}

// pausedShare returns the expected share of an instance's streams that stall while it reads that
// many tokens without interruption. gap is the maximum event gap; 0 means no bound.
func (s *readSpeed) pausedShare(tokens int, gap time.Duration) float64 {
	if gap <= 0 {
		return 0
	}
	reading := float64(tokens) / s.readRate / float64(gap.Milliseconds())
	return min(1, max(0, (reading-pauseFrom)/(pauseTo-pauseFrom)))
}

// pausedTokens returns the cost, in tokens, of the streams that a prompt of unread tokens stalls in
// addition to those that the tokens ahead of it stall.
func (s *readSpeed) pausedTokens(streams, ahead, unread int, gap time.Duration) float64 {
	more := s.pausedShare(ahead+unread, gap) - s.pausedShare(ahead, gap)
	return float64(streams) * pausedStreamTokens * s.pauseWeight() * more
}

// speedOf returns the read speed of a service, which it creates on first use.
func (t *Table) speedOf(service string) *readSpeed {
	speed := t.speeds[service]
	if speed == nil {
		speed = &readSpeed{readRate: startReadRate, paused: startPaused}
		t.speeds[service] = speed
	}
	return speed
}

// StreamEnded records whether a stream of a service stalled.
func (t *Table) StreamEnded(service string, wasPaused bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	speed := t.speedOf(service)
	speed.paused -= pausedWeight * speed.paused
	if wasPaused {
		speed.paused += pausedWeight
	}
}
