package queueing

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func item(tenant string, number int, class Class, cost uint64, arrived time.Duration) *Item[int] {
	return &Item[int]{ID: fmt.Sprintf("%s-%04d", tenant, number), Tenant: tenant, Class: class, Cost: cost, Arrived: arrived, Deadline: arrived + time.Hour}
}

// serveNext removes the first candidate as served and returns it; nil if there is none.
func serveNext(queue *Queue[int], now time.Duration) *Item[int] {
	candidates := queue.Candidates(now)
	if len(candidates) == 0 {
		return nil
	}
	queue.Take(candidates[0])
	return candidates[0]
}

func TestUrgentRequestIsServedBeforeOlderBatchRequests(t *testing.T) {
	queue := New[int](10, 0)
	assert.NilError(t, queue.Push(item("t", 1, Batch, 1000, 0)))
	assert.NilError(t, queue.Push(item("t", 2, Batch, 1000, time.Second)))
	assert.NilError(t, queue.Push(item("t", 3, Urgent, 10, 2*time.Second)))
	now := 2 * time.Second
	assert.Equal(t, serveNext(queue, now).ID, "t-0003")
	assert.Equal(t, serveNext(queue, now).ID, "t-0001")
	assert.Equal(t, serveNext(queue, now).ID, "t-0002")
}

func TestBatchRequestIsNotStarvedByAStreamOfUrgentOnes(t *testing.T) {
	queue := New[int](1000, 0)
	assert.NilError(t, queue.Push(item("calm", 0, Batch, 100, 0)))
	for second := range 100 {
		now := time.Duration(second) * time.Second
		assert.NilError(t, queue.Push(item("busy", second, Urgent, 100, now)))
		if serveNext(queue, now).Tenant == "calm" {
			assert.Assert(t, now <= 2*DefaultAgeing, "served only after %v", now)
			return
		}
	}
	t.Fatal("the batch request was never served")
}

func TestTenantsShareTokensByWeight(t *testing.T) {
	queue := New[int](4000, 0)
	for number := range 1000 {
		heavy := item("heavy", number, Normal, 100, 0)
		heavy.Weight = 3
		assert.NilError(t, queue.Push(heavy))
		assert.NilError(t, queue.Push(item("light", number, Normal, 50, 0)))
	}
	served := map[string]uint64{}
	for range 800 {
		next := serveNext(queue, 0)
		served[next.Tenant] += next.Cost
	}
	ratio := float64(served["heavy"]) / float64(served["light"])
	assert.Assert(t, ratio > 2.9 && ratio < 3.1, "ratio %.2f", ratio)
}

func TestFullQueueRefusesAndExpiryIsImmediate(t *testing.T) {
	queue := New[int](1, 0)
	waiting := item("t", 1, Normal, 1, 0)
	waiting.Deadline = 5 * time.Second
	assert.NilError(t, queue.Push(waiting))
	assert.ErrorIs(t, queue.Push(item("t", 2, Normal, 1, 0)), ErrFull)
	assert.Equal(t, len(queue.Expire(4*time.Second)), 0)
	assert.Equal(t, queue.Expire(5 * time.Second)[0], waiting)
	assert.Equal(t, queue.Length(), 0)
}

// Each request that was pushed is served or expires exactly once.
func TestEachRequestIsServedOrExpiresOnce(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		queue := New[int](50, 0)
		waiting := map[*Item[int]]bool{}
		now := time.Duration(0)
		for number := range rapid.IntRange(1, 150).Draw(r, "steps") {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(r, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 3).Draw(r, "step") {
			case 0, 1:
				added := item(fmt.Sprint(rapid.IntRange(0, 4).Draw(r, "tenant")), number, Class(rapid.IntRange(0, 2).Draw(r, "class")), 10, now)
				added.Deadline = now + time.Duration(rapid.IntRange(1, 20).Draw(r, "deadline"))*time.Second
				if queue.Push(added) == nil {
					waiting[added] = true
				}
			case 2:
				if next := serveNext(queue, now); next != nil {
					assert.Assert(r, waiting[next])
					delete(waiting, next)
				}
			case 3:
				for _, expired := range queue.Expire(now) {
					assert.Assert(r, waiting[expired] && expired.Deadline <= now)
					delete(waiting, expired)
				}
			}
			assert.Equal(r, queue.Length(), len(waiting))
		}
	})
}
