package limitcheck

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestAllowedIsOneAndAHalfTimesTheLimitPlusFive(t *testing.T) {
	for perSecond, allowed := range map[float64]int{0: 5, 0.1: 5, 1: 11, 4: 29, 50: 305} {
		assert.Equal(t, Allowed(perSecond), allowed)
	}
}

func TestFullestWindowIsFoundAtAnyStart(t *testing.T) {
	assert.Equal(t, MaximumInWindow(nil), 0)
	seconds := func(moments ...float64) []time.Duration {
		var arrivals []time.Duration
		for _, moment := range moments {
			arrivals = append(arrivals, time.Duration(moment*float64(time.Second)))
		}
		return arrivals
	}
	assert.Equal(t, MaximumInWindow(seconds(0, 4, 8, 12)), 2, "a window includes both of its ends")
	assert.Equal(t, MaximumInWindow(seconds(0, 3.9, 4.1, 5, 7.8, 12)), 4)
}
