package delay

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a delay that the interval between messages hides: messages may arrive at regular
// intervals, but each more than a second late.
func TestDelayIsMeasuredAgainstTheFastestMessage(t *testing.T) {
	var meter Meter
	delayOf := func(at, age time.Duration) time.Duration {
		meter.Record(at, age)
		return meter.Delay()
	}
	assert.Equal(t, delayOf(5*time.Second, time.Second), time.Duration(0))
	assert.Equal(t, delayOf(7200*time.Millisecond, 2*time.Second), 1200*time.Millisecond)
	assert.Equal(t, delayOf(7500*time.Millisecond, 3600*time.Millisecond), time.Duration(0))
	assert.Equal(t, delayOf(9*time.Second, 5*time.Second), 100*time.Millisecond)
	// A new incarnation has a lower age.
	assert.Equal(t, delayOf(10*time.Second, time.Millisecond), time.Duration(0))
	assert.Assert(t, meter.IsFresh(10500*time.Millisecond, time.Second))
	assert.Assert(t, !meter.IsFresh(12*time.Second, time.Second))
}

func TestSenderWithoutAnAgeIsNotMeasured(t *testing.T) {
	var meter Meter
	meter.Record(time.Second, 0)
	meter.Record(9*time.Second, 0)
	assert.Equal(t, meter.Delay(), time.Duration(0))
	assert.Assert(t, !meter.IsFresh(9*time.Second, time.Second))
}

func TestMedianIgnoresASlowSender(t *testing.T) {
	_, known := Median(nil)
	assert.Assert(t, !known)
	median, known := Median([]time.Duration{3 * time.Second, 20, 10})
	assert.Assert(t, known)
	assert.Equal(t, median, time.Duration(20))
}
