package clocks

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ravenway/ravenway/internal/state/accounts"
)

func TestClocksAgreeOnlyIfMoreThanHalfWereReadAndNoneDiffers(t *testing.T) {
	for _, test := range []struct {
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
		assert.Equal(t, Agree(100_000, test.others, test.voters), test.agree, test.name)
	}
}

func TestTimeSinceContactUsesTheMonotonicClockElseTheWallClock(t *testing.T) {
	contact := accounts.Contact{Index: 1, Clock: 7, MonotonicMS: 1000, WallMS: 500_000}
	sameProcess, known := TimeSinceContact(contact, Reading{Clock: 7, Monotonic: 4 * time.Second, WallMS: 1}, time.Second)
	assert.Assert(t, known)
	assert.Equal(t, sameProcess, 2*time.Second)
	otherProcess, known := TimeSinceContact(contact, Reading{Clock: 8, WallMS: 504_000}, time.Second)
	assert.Assert(t, known)
	assert.Equal(t, otherProcess, 3*time.Second+Tolerance)
	_, known = TimeSinceContact(contact, Reading{Clock: 8, WallMS: 498_000}, 0)
	assert.Assert(t, !known, "a clock that ran backwards")
	_, known = TimeSinceContact(contact, Reading{Clock: 8}, 0)
	assert.Assert(t, !known, "clocks that do not agree now")
	contact.WallMS = 0
	_, known = TimeSinceContact(contact, Reading{Clock: 8, WallMS: 504_000}, 0)
	assert.Assert(t, !known, "clocks that did not agree then")
}

// After the contact the leader's machine was suspended for 6 s, which its monotonic clock does not
// count.
func TestTimeSinceContactCountsTheSuspensionOfTheLeader(t *testing.T) {
	contact := accounts.Contact{Index: 1, Clock: 7, MonotonicMS: 1000, WallMS: 500_000}
	sinceContact, known := TimeSinceContact(contact, Reading{Clock: 7, Monotonic: 4 * time.Second, WallMS: 509_000}, time.Second)
	assert.Assert(t, known)
	assert.Equal(t, sinceContact, 8*time.Second+Tolerance)
	// A difference within the tolerance is no suspension, and a clock that ran backwards is not used.
	for _, wall := range []int64{503_000 + Tolerance.Milliseconds(), 499_000, 0} {
		sinceContact, known = TimeSinceContact(contact, Reading{Clock: 7, Monotonic: 4 * time.Second, WallMS: wall}, time.Second)
		assert.Assert(t, known)
		assert.Equal(t, sinceContact, 2*time.Second, "wall clock %d", wall)
	}
}
