package pausecheck

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestRequestsCountFromHalfASecondAfterTheResponseToTheEndOfThePause(t *testing.T) {
	record := &Record{}
	record.AddPause(10*time.Second, 3*time.Second)
	for _, at := range []time.Duration{9 * time.Second, 10*time.Second + ReactionTime, 11 * time.Second, 12 * time.Second, 13 * time.Second, 14 * time.Second} {
		record.AddArrival(at)
	}
	assert.Equal(t, record.MaximumRequests(), 2)
	assert.Equal(t, record.PauseCount(), 1)
	assert.DeepEqual(t, record.Offsets(), []time.Duration{time.Second, 2 * time.Second})
}

func TestEachResponseStartsASeparatePause(t *testing.T) {
	record := &Record{}
	record.AddPause(0, 3*time.Second)
	record.AddPause(2*time.Second, 3*time.Second)
	for at := time.Second; at < 5*time.Second; at += time.Second {
		record.AddArrival(at)
	}
	assert.Equal(t, record.MaximumRequests(), 2, "1 s and 2 s are in the first, 3 s and 4 s in the second")
	record.AddArrival(4500 * time.Millisecond)
	assert.Equal(t, record.MaximumRequests(), 3)
}

func TestPauseShorterThanTheReactionTimeBindsNoNode(t *testing.T) {
	record := &Record{}
	record.AddPause(0, ReactionTime)
	for at := range 10 {
		record.AddArrival(time.Duration(at) * 50 * time.Millisecond)
	}
	assert.Equal(t, record.MaximumRequests(), 0)
}

func TestRequestsCountFromTheDrainTimeAfterTheFirstShutdownAnnouncement(t *testing.T) {
	record := &Record{}
	record.AddArrival(5 * time.Second)
	_, wasAnnounced := record.AfterShutdown()
	assert.Assert(t, !wasAnnounced)
	record.AddShutdown(time.Second)
	record.AddShutdown(4 * time.Second)
	record.AddArrival(3 * time.Second)
	late, wasAnnounced := record.AfterShutdown()
	assert.Assert(t, wasAnnounced)
	assert.Equal(t, late, 1, "the one at 5 s")
}
