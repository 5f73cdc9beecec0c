package clocks

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ravenway/ravenway/internal/state/accounts"
)

func TestClocksAgreeOnlyWhereMoreThanHalfWereReadAndNoneDiffers(t *testing.T) {
	for _, one := range []struct {
		name   string
		others []int64
		voters int
		agree  bool
	}{
		{name: "all three", others: []int64{100_020, 99_990}, voters: 3, agree: true},
		{name: "two of three", others: []int64{100_020}, voters: 3, agree: true},
		{name: "alone of three", voters: 3, agree: false},
		{name: "alone", voters: 1, agree: true},
		{name: "one has jumped", others: []int64{100_020, 98_000}, voters: 3, agree: false},
		{name: "three of six", others: []int64{100_000, 100_000}, voters: 6, agree: false},
	} {
		assert.Equal(t, Agree(100_000, one.others, one.voters), one.agree, one.name)
	}
}

func TestSilenceIsBoundedByTheSteadyClockElseByTheTimeOfDay(t *testing.T) {
	heard := accounts.Contact{Index: 1, Clock: 7, MonotonicMS: 1000, WallMS: 500_000}
	same, known := Silence(heard, Reading{Clock: 7, Steady: 4 * time.Second, WallMS: 1}, time.Second)
	assert.Assert(t, known)
	assert.Equal(t, same, 2*time.Second)
	other, known := Silence(heard, Reading{Clock: 8, WallMS: 504_000}, time.Second)
	assert.Assert(t, known)
	assert.Equal(t, other, 3*time.Second+Tolerance)
	_, known = Silence(heard, Reading{Clock: 8, WallMS: 498_000}, 0)
	assert.Assert(t, !known, "a clock that ran backwards")
	_, known = Silence(heard, Reading{Clock: 8}, 0)
	assert.Assert(t, !known, "clocks that do not agree now")
	heard.WallMS = 0
	_, known = Silence(heard, Reading{Clock: 8, WallMS: 504_000}, 0)
	assert.Assert(t, !known, "clocks that did not agree then")
}

// Since the contact the leader's machine was suspended for 6 s, which its steady clock does
// not count.
func TestSilenceCountsTheTimeForWhichTheLeaderWasSuspended(t *testing.T) {
	heard := accounts.Contact{Index: 1, Clock: 7, MonotonicMS: 1000, WallMS: 500_000}
	silence, known := Silence(heard, Reading{Clock: 7, Steady: 4 * time.Second, WallMS: 509_000}, time.Second)
	assert.Assert(t, known)
	assert.Equal(t, silence, 8*time.Second+Tolerance)
	// What clocks may be apart is no suspension, and one that ran backwards tells nothing.
	for _, wall := range []int64{503_000 + Tolerance.Milliseconds(), 499_000, 0} {
		silence, known = Silence(heard, Reading{Clock: 7, Steady: 4 * time.Second, WallMS: wall}, time.Second)
		assert.Assert(t, known)
		assert.Equal(t, silence, 2*time.Second, "time of day %d", wall)
	}
}
