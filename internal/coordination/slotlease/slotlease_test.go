package slotlease

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/ravenway/ravenway/internal/coordination/registry"
)

var engine = registry.Incarnation{ID: "engine", StartedAt: 1}

func TestToleranceIsReadFromResponses(t *testing.T) {
	for text, want := range map[string]Signal{
		"":          {},
		"3":         {IsBrittle: true, Tolerance: 3},
		"0":         {IsBrittle: true},
		" 2 ":       {IsBrittle: true, Tolerance: 2},
		"999999999": {IsBrittle: true, Tolerance: maximumTolerance},
	} {
		var values []string
		if text != "" {
			values = []string{text}
		}
		assert.DeepEqual(t, Read(values), want)
	}
	assert.DeepEqual(t, Read([]string{"5", "2"}), Signal{IsBrittle: true, Tolerance: 2})
	for _, text := range []string{"-1", "two", "1.5", "99999999999999999999"} {
		signal := Read([]string{text})
		assert.ErrorIs(t, signal.Fault, ErrTolerance)
		assert.Assert(t, !signal.IsBrittle)
	}
}

func TestServiceIsBrittleUntilItsResponsesSaySoNoMore(t *testing.T) {
	tracker := NewTracker()
	assert.Equal(t, tracker.Learn(0, "model", Signal{}), Unchanged)
	assert.Assert(t, !tracker.Any())
	assert.Equal(t, tracker.Learn(0, "model", Signal{IsBrittle: true, Tolerance: 2}), Began)
	assert.Equal(t, tracker.Learn(time.Second, "model", Signal{IsBrittle: true, Tolerance: 2}), Unchanged)
	assert.Equal(t, tracker.Learn(time.Second, "model", Signal{IsBrittle: true, Tolerance: 1}), Changed)
	tolerance, isBrittle := tracker.Tolerance(2*time.Second, "model")
	assert.Assert(t, isBrittle)
	assert.Equal(t, tolerance, 1)
	_, isBrittle = tracker.Tolerance(2*time.Second, "other")
	assert.Assert(t, !isBrittle)
	tracker.SetFull(2*time.Second, engine, 100*time.Millisecond)
	assert.Equal(t, tracker.FullFor(2050*time.Millisecond, engine), 50*time.Millisecond)
	assert.Equal(t, tracker.FullFor(3*time.Second, engine), time.Duration(0))
	assert.Equal(t, len(tracker.Prune(6*time.Second)), 0)
	assert.DeepEqual(t, tracker.Prune(6*time.Second+time.Millisecond), []string{"model"})
	assert.Assert(t, !tracker.Any())
}

func request(number uint64, tolerance, slots int) Request {
	return Request{Incarnation: engine, Number: number, Tolerance: tolerance, Slots: slots, LeaseMS: 10_000}
}

func TestNoMoreSlotsAreLeasedThanAnInstanceServes(t *testing.T) {
	ledger := NewLedger()
	now := time.Duration(0)
	for number := range uint64(8) {
		assert.Assert(t, ledger.Acquire(now, "node", request(number, 5, 8), 0).IsGranted)
		now += confirmationTime
	}
	refused := ledger.Acquire(now, "node", request(9, 5, 8), 0)
	assert.Assert(t, !refused.IsGranted)
	assert.Assert(t, refused.WaitMS > 0)
	ledger.End(now, "node", End{Incarnation: engine, Number: 3})
	assert.Assert(t, ledger.Acquire(now, "node", request(9, 5, 8), 0).IsGranted)
	// A slot whose node does not end it is free once its lease is over.
	now += 10 * time.Second
	assert.Assert(t, ledger.Acquire(now, "node", request(10, 5, 8), 0).IsGranted)
	assert.Equal(t, ledger.Count(), 1)
}

// Guards against a ledger that has just begun, after the crash of the one before, and leases the slots of
// requests in flight again.
func TestRequestsOfOtherNodesCountBeforeTheirLeasesAreKnown(t *testing.T) {
	ledger := NewLedger()
	assert.Assert(t, !ledger.Acquire(0, "node", request(1, 5, 8), 8).IsGranted)
	assert.Assert(t, ledger.Acquire(0, "node", request(1, 5, 8), 7).IsGranted)
}

func TestLimitFallsAfterARejectionAndGrowsSlowly(t *testing.T) {
	ledger := NewLedger()
	now := time.Duration(0)
	for number := range uint64(10) {
		assert.Assert(t, ledger.Acquire(now, "node", request(number, 2, 64), 0).IsGranted)
		now += confirmationTime
	}
	ledger.End(now, "node", End{Incarnation: engine, Number: 9, IsRejected: true})
	assert.Assert(t, !ledger.Acquire(now, "node", request(10, 2, 64), 0).IsGranted)
	// 8 of 10 in flight may stay. One more each half second.
	now += increaseInterval * 3
	assert.Assert(t, ledger.Acquire(now, "node", request(11, 2, 64), 0).IsGranted)
	now += confirmationTime
	assert.Assert(t, ledger.Acquire(now, "node", request(12, 2, 64), 0).IsGranted)
	now += confirmationTime
	assert.Assert(t, !ledger.Acquire(now, "node", request(13, 2, 64), 0).IsGranted)
}

func TestInvalidRequestsAreRefused(t *testing.T) {
	ledger := NewLedger()
	for _, invalid := range []Request{{}, {Incarnation: engine, Tolerance: -1}, {Incarnation: engine, Slots: -1}, {Incarnation: engine, LeaseMS: -1}} {
		assert.ErrorIs(t, invalid.Check(), ErrRequest)
		assert.Assert(t, !ledger.Acquire(0, "node", invalid, 0).IsGranted)
	}
	assert.Equal(t, ledger.Count(), 0)
}

// The invariant: however the room of an instance shrinks and grows, and however many nodes ask at once,
// it never has to reject more than its tolerance in a second, as long as rejections are reported within
// confirmationTime.
func TestInstanceNeverRejectsMoreThanItsTolerance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tolerance := rapid.IntRange(1, 6).Draw(t, "tolerance")
		slots := rapid.IntRange(1, 64).Draw(t, "slots")
		ledger := NewLedger()
		room, occupied := slots, 0
		var rejections []time.Duration
		type pending struct {
			at   time.Duration
			node string
			end  End
		}
		var ends []pending
		number := uint64(0)
		for now := time.Duration(0); now < 4*time.Second; now += 5 * time.Millisecond {
			if rapid.IntRange(0, 60).Draw(t, "changes") == 0 {
				room = rapid.IntRange(0, slots).Draw(t, "room")
			}
			kept := ends[:0]
			for _, one := range ends {
				if one.at > now {
					kept = append(kept, one)
					continue
				}
				if !one.end.IsRejected {
					occupied--
				}
				ledger.End(now, one.node, one.end)
			}
			ends = kept
			for range rapid.IntRange(0, 8).Draw(t, "asks") {
				number++
				node := fmt.Sprint("node-", number%7)
				if !ledger.Acquire(now, node, request(number, tolerance, slots), 0).IsGranted {
					continue
				}
				if occupied < room {
					occupied++
					ends = append(ends, pending{now + time.Duration(rapid.IntRange(10, 800).Draw(t, "runs"))*time.Millisecond, node, End{Incarnation: engine, Number: number}})
					continue
				}
				rejections = append(rejections, now)
				for now-rejections[0] >= rejectionWindow {
					rejections = rejections[1:]
				}
				assert.Assert(t, len(rejections) <= tolerance, "%d rejections in a second at %s, tolerance %d", len(rejections), now, tolerance)
				ends = append(ends, pending{now + time.Duration(rapid.IntRange(1, 45).Draw(t, "delay"))*time.Millisecond, node, End{Incarnation: engine, Number: number, IsRejected: true}})
			}
		}
	})
}

// BenchmarkNotBrittle measures what each request costs while no service is brittle.
func BenchmarkNotBrittle(b *testing.B) {
	tracker := NewTracker()
	b.ReportAllocs()
	for b.Loop() {
		tracker.Tolerance(0, "model")
		tracker.FullFor(0, engine)
	}
}
