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
	// eventTimeWeight is the weight of one stream in the smoothed time between an
	// instance's events.
	eventTimeWeight = 0.3
	// An instance counts as no more than leastSlowness faster and mostSlowness
	// slower than the others of its service.
	leastSlowness = 0.5
	mostSlowness  = 8.0
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
	startPaused = 0.02
	// pausedWeight is the weight of one stream in that share.
	pausedWeight = 0.005
)

// serviceSpeed is how fast the instances of one service were seen to work.
type serviceSpeed struct {
	// readRate is in prompt tokens a millisecond.
	readRate float64
	// eventTime is the mean of the instances' smoothed times between events.
	eventTime time.Duration
	// paused is the smoothed share of streams with too long a pause.
	paused float64
}

// pauseWeight is how much of pausedStreamTokens counts.
func (s *serviceSpeed) pauseWeight() float64 {
	return min(1, max(0, (s.paused-fewPaused)/(manyPaused-fewPaused)))
}

// slowness is how many times longer an instance takes than the mean one.
func (s *serviceSpeed) slowness(one *member) float64 {
	if one.eventTime == 0 || s.eventTime == 0 {
		return 1
	}
	return min(max(float64(one.eventTime)/float64(s.eventTime), leastSlowness), mostSlowness)
}

// observeRead learns from the time to a first token with nothing ahead of it.
func (s *serviceSpeed) observeRead(tokens int, took time.Duration) {
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
func (s *serviceSpeed) pausedShare(tokens, slowness float64, gap time.Duration) float64 {
	if gap <= 0 {
		return 0
	}
	reading := tokens * slowness / s.readRate / float64(gap.Milliseconds())
	return min(1, max(0, (reading-pauseFrom)/(pauseTo-pauseFrom)))
}

// slower applies an instance's speed to what is expected there: its tokens take
// longer, and the streams there are held up by the new prompt beside those ahead
// of it.
func (e *expected) slower(speed *serviceSpeed, slowness float64, gap time.Duration) {
	before := speed.pausedShare(float64(e.ahead), slowness, gap)
	after := speed.pausedShare(float64(e.ahead+e.unread), slowness, gap)
	e.paused = float64(e.requests) * pausedStreamTokens * speed.pauseWeight() * (after - before)
	e.slowness = slowness
}

// speedOf returns what is known of a service's speed.
func (t *Table) speedOf(service string) *serviceSpeed {
	speed := t.speeds[service]
	if speed == nil {
		speed = &serviceSpeed{readRate: startReadRate, paused: startPaused}
		t.speeds[service] = speed
	}
	return speed
}

// StreamEnded notes the time between a stream's events while nothing held them
// up, 0 if the stream was too short to tell, and whether it had too long a pause.
func (t *Table) StreamEnded(choice Choice, eventTime time.Duration, wasPaused bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	speed := t.speedOf(choice.Service)
	speed.paused -= pausedWeight * speed.paused
	if wasPaused {
		speed.paused += pausedWeight
	}
	known := t.members[choice.ID]
	if known == nil || eventTime <= 0 {
		return
	}
	if known.eventTime == 0 {
		known.eventTime = eventTime
	}
	known.eventTime += time.Duration(eventTimeWeight * float64(eventTime-known.eventTime))
	var sum time.Duration
	count := 0
	for _, one := range t.byService[choice.Service] {
		if one.eventTime > 0 {
			sum += one.eventTime
			count++
		}
	}
	if count > 0 {
		speed.eventTime = sum / time.Duration(count)
	}
}
