package pausecheck

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestRequestsCountFromHalfASecondAfterTheResponseToTheEndOfThePause(t *testing.T) {
	record := &Record{}
	record.Ask(10*time.Second, 3*time.Second)
	for _, at := range []time.Duration{9 * time.Second, 10*time.Second + Contact, 11 * time.Second, 12 * time.Second, 13 * time.Second, 14 * time.Second} {
		record.Arrive(at)
	}
	assert.Equal(t, record.Most(), 2)
	assert.Equal(t, record.Pauses(), 1)
	assert.DeepEqual(t, record.Offsets(), []time.Duration{time.Second, 2 * time.Second})
}

func TestEachResponseStartsASeparatePause(t *testing.T) {
	record := &Record{}
	record.Ask(0, 3*time.Second)
	record.Ask(2*time.Second, 3*time.Second)
	for at := time.Second; at < 5*time.Second; at += time.Second {
		record.Arrive(at)
	}
	assert.Equal(t, record.Most(), 2, "1 s and 2 s are in the first, 3 s and 4 s in the second")
	record.Arrive(4500 * time.Millisecond)
	assert.Equal(t, record.Most(), 3)
}

func TestPauseShorterThanTheReactionTimeBindsNoNode(t *testing.T) {
	record := &Record{}
	record.Ask(0, Contact)
	for at := range 10 {
		record.Arrive(time.Duration(at) * 50 * time.Millisecond)
	}
	assert.Equal(t, record.Most(), 0)
}

func TestRequestsCountFromTheDrainTimeAfterTheFirstShutdownAnnouncement(t *testing.T) {
	record := &Record{}
	record.Arrive(5 * time.Second)
	_, wasAnnounced := record.AfterLeaving()
	assert.Assert(t, !wasAnnounced)
	record.Leave(time.Second)
	record.Leave(4 * time.Second)
	record.Arrive(3 * time.Second)
	late, wasAnnounced := record.AfterLeaving()
	assert.Assert(t, wasAnnounced)
	assert.Equal(t, late, 1, "the one at 5 s")
}
