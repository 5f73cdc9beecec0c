package limitcheck

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// addArrivals records count requests in every tenth of a second of a span.
func addArrivals(record *Record, from, until time.Duration, count int) {
	for at := from; at < until; at += 100 * time.Millisecond {
		for range count {
			record.AddArrival(at)
		}
	}
}

func TestRequestsCountFromTheReactionTimeToTheEndOfTheLimit(t *testing.T) {
	record := &Record{}
	record.AddLimit(time.Second, 1)
	record.AddLimit(2*time.Second, 1)
	addArrivals(record, time.Second, time.Second+ReactionTime, 5)
	addArrivals(record, time.Second+ReactionTime, 10*time.Second, 1)
	record.EndLimit(10 * time.Second)
	addArrivals(record, 10*time.Second+1, 20*time.Second, 5)
	use := record.Usage(20 * time.Second)
	// A window includes both of its ends.
	assert.Equal(t, use.Received, 41)
	assert.Equal(t, use.Allowed, Allowed(1))
	assert.Equal(t, use.Arrived, 60)
	assert.Equal(t, use.Capacity, 6.0)
}

// A limit of 2 requests per second allows 17 requests in 4 s, from 3 s after it was first named.
func TestCheckDetectsAnEngineThatReceivesMoreThanItsLimit(t *testing.T) {
	record := Record{changes: []limitChange{{hasLimit: true, perSecond: 2}, {startedAt: 20 * time.Second}}}
	add := func(from time.Duration, count int) {
		for number := range count {
			record.AddArrival(from + time.Duration(number)*time.Millisecond)
		}
	}
	add(time.Second, 50)
	add(8*time.Second, 17)
	add(21*time.Second, 50)
	use := record.Usage(time.Minute)
	assert.Equal(t, use.Received, 17)
	assert.Equal(t, use.Allowed, 17)
	record.arrivals = nil
	add(8*time.Second, 18)
	assert.Equal(t, record.Usage(time.Minute).Received, 18)
	// The limit is lowered from 20, which allows 125 requests until the nodes have had time to receive the update.
	record.changes = []limitChange{{hasLimit: true, perSecond: 20}, {startedAt: 7 * time.Second, hasLimit: true, perSecond: 2}}
	assert.Equal(t, record.Usage(time.Minute).Allowed, 125)
	record.arrivals = nil
	add(11*time.Second, 18)
	assert.Equal(t, record.Usage(time.Minute).Allowed, 17)
}

func TestEngineWithoutALimitIsNotChecked(t *testing.T) {
	record := &Record{}
	addArrivals(record, 0, 10*time.Second, 9)
	record.EndLimit(10 * time.Second)
	assert.Equal(t, record.Usage(20*time.Second), Usage{})
}
