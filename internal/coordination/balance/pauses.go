package balance

import "time"

const (
	// startReadRate is how many prompt tokens an instance reads in a millisecond
	// until some were observed: a large model on today's accelerators.
	startReadRate = 45.0
	// Only prompts of leastReadTokens and more tell about the rate: the time of
	// smaller ones is mostly that of the first token itself.
	leastReadTokens = 4000
	// The rate follows the readRateQuantile of what is observed, by readRateStep of
	// it each time. A low quantile: a prompt that the instance holds in part, and
	// this node does not know, seems to be read fast.
	readRateQuantile = 0.3
	readRateStep     = 0.03
	// An instance reads prompts in pieces between the tokens of its streams. While
	// it reads for less than pauseFrom of the longest pause that a stream's
	// objective allows, no pause is longer than that; from pauseTo on all of its
	// streams have one. The pieces make up most, not all, of the time between two
	// events, so the share in between is taken to grow evenly.
	pauseFrom = 0.7
	pauseTo   = 1.3
	// pausedStreamTokens is what a stream that is made late counts for, in tokens
	// read. Measured: 0, 4,000 and 12,000, see docs/design/engine-choice.md.
	pausedStreamTokens = 5000
	// Whether streams are held up at all depends on the size of the pieces and of
	// the events, so the weight follows the share of streams that had too long a
	// pause: none up to fewPaused, all of it from manyPaused on.
	fewPaused   = 0.005
	manyPaused  = 0.03
	startPaused = 0.01
	// pausedWeight is the weight of one stream in that share.
	pausedWeight = 0.015
)

// readSpeed is how fast the instances of one service were seen to read prompts,
// and what that did to their streams.
type readSpeed struct {
	// readRate is in prompt tokens a millisecond.
	readRate float64
	// paused is the smoothed share of streams with too long a pause.
	paused float64
}

// pauseWeight is how much of pausedStreamTokens counts.
func (s *readSpeed) pauseWeight() float64 {
	return min(1, max(0, (s.paused-fewPaused)/(manyPaused-fewPaused)))
}

// observeRead learns from the time to a first token with nothing ahead of it.
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

// pausedShare is the part of an instance's streams that have too long a pause
// while it reads some tokens without a break.
func (s *readSpeed) pausedShare(tokens int, gap time.Duration) float64 {
	if gap <= 0 {
		return 0
	}
	reading := float64(tokens) / s.readRate / float64(gap.Milliseconds())
	return min(1, max(0, (reading-pauseFrom)/(pauseTo-pauseFrom)))
}

// pausedTokens is the weight of the streams that a prompt of some tokens holds up
// beside those ahead of it.
func (s *readSpeed) pausedTokens(streams, ahead, unread int, gap time.Duration) float64 {
	more := s.pausedShare(ahead+unread, gap) - s.pausedShare(ahead, gap)
	return float64(streams) * pausedStreamTokens * s.pauseWeight() * more
}

// speedOf returns what is known of a service's speed.
func (t *Table) speedOf(service string) *readSpeed {
	speed := t.speeds[service]
	if speed == nil {
		speed = &readSpeed{readRate: startReadRate, paused: startPaused}
		t.speeds[service] = speed
	}
	return speed
}

// StreamEnded notes whether a stream had too long a pause.
func (t *Table) StreamEnded(service string, wasPaused bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	speed := t.speedOf(service)
	speed.paused -= pausedWeight * speed.paused
	if wasPaused {
		speed.paused += pausedWeight
	}
}
