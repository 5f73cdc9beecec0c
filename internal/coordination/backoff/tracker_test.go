package backoff

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ravenway/ravenway/internal/coordination/registry"
)

var incarnation = registry.Incarnation{ID: "i-1", StartedAt: 1000}

// exactEnd ends pauses exactly at their requested end.
var exactEnd = RecoveryPolicy{InitialTrials: 1, RecoveredTrials: 4, MaximumTrialTime: time.Minute}

// learn calls Learn with a response that follows its request immediately, and returns the
// first change.
func learn(tracker *Tracker, now time.Duration, incarnation registry.Incarnation, request string, signal Signal) Change {
	changes := tracker.Learn(now, incarnation, Request{ID: request, WrittenAt: now}, signal)
	if len(changes) == 0 {
		return Change{}
	}
	return changes[0]
}

func pauseOf(seconds float64) Signal {
	return Signal{Pause: time.Duration(seconds * float64(time.Second))}
}

func TestNoResponseShortensAPause(t *testing.T) {
	tracker := NewTracker(exactEnd)
	assert.Equal(t, learn(tracker, 10*time.Second, incarnation, "r1", pauseOf(3)).Kind, Began)
	for _, signal := range []Signal{pauseOf(0.5), {}, {HasRun: true}, ReadPause([]string{"soon"}), ReadPause([]string{"0"})} {
		learn(tracker, 11*time.Second, incarnation, "r2", signal)
		assert.DeepEqual(t, tracker.Status(11*time.Second, incarnation), Status{Phase: Paused, Wait: 2 * time.Second})
	}
	change := learn(tracker, 12*time.Second, incarnation, "r3", pauseOf(3))
	assert.DeepEqual(t, change, Change{Kind: Extended, Incarnation: incarnation, Requested: 5 * time.Second, Remaining: 3 * time.Second, RequestID: "r1", Responses: 3})
	assert.Equal(t, tracker.Status(15*time.Second-1, incarnation).Phase, Paused)
	assert.Equal(t, tracker.Status(15*time.Second, incarnation).Phase, Recovering)
}

func TestPauseAppliesOnlyToTheIncarnationThatRequestedIt(t *testing.T) {
	tracker := NewTracker(exactEnd)
	learn(tracker, 0, incarnation, "r1", pauseOf(3))
	newer := registry.Incarnation{ID: incarnation.ID, StartedAt: 2000}
	assert.Equal(t, tracker.Status(time.Second, newer).Phase, Open)
	learn(tracker, time.Second, newer, "r2", pauseOf(1))
	tracker.Replace(time.Hour, incarnation, registry.Incarnation{ID: "another"})
	assert.Equal(t, tracker.Status(time.Second, newer).Phase, Paused)
	assert.Equal(t, tracker.Status(time.Second, incarnation).Phase, Open)
}

func TestPauseRequestedAfterAnIncarnationEndedAppliesToTheNextOne(t *testing.T) {
	newer := registry.Incarnation{ID: incarnation.ID, StartedAt: 2000}
	for _, row := range []struct {
		// endedAt is when this node saw the earlier incarnation end, 0 if it did not.
		endedAt, pausedAt, replacedAt time.Duration
		isTransferred                 bool
		pausedUntil                   time.Duration
	}{
		{2 * time.Second, time.Second, 3 * time.Second, false, 0},
		{time.Second, 2 * time.Second, 3 * time.Second, true, 62 * time.Second},
		{0, 2 * time.Second, 3 * time.Second, true, 3*time.Second + registryDelay},
		{0, 2 * time.Second, 3*time.Second + registryDelay, false, 0},
	} {
		tracker := NewTracker(exactEnd)
		seeEnd := func() {
			if row.endedAt > 0 {
				tracker.SeenEnded(row.endedAt, incarnation)
			}
		}
		if row.endedAt < row.pausedAt {
			seeEnd()
		}
		learn(tracker, row.pausedAt, incarnation, "r1", pauseOf(60))
		seeEnd()
		assert.Equal(t, tracker.Replace(row.replacedAt, incarnation, newer), row.isTransferred)
		assert.Equal(t, tracker.Status(row.pausedUntil-1, newer).Phase == Paused, row.isTransferred)
		assert.Assert(t, tracker.Status(row.pausedUntil, newer).Phase != Paused)
		assert.Equal(t, tracker.Status(row.replacedAt, incarnation).Phase, Open)
	}
}

func TestInstanceRecoversOnceRequestsRanAfterItsPause(t *testing.T) {
	tracker := NewTracker(exactEnd)
	learn(tracker, 0, incarnation, "r1", pauseOf(3))
	assert.Assert(t, !tracker.BeginTrial(time.Second, incarnation), "a request chosen during the pause is no trial")
	now := 4 * time.Second
	for allowed := 1; allowed < exactEnd.RecoveredTrials; allowed *= 2 {
		for range allowed {
			assert.Assert(t, tracker.Status(now, incarnation).HasTrial)
			assert.Assert(t, tracker.BeginTrial(now, incarnation))
		}
		assert.Assert(t, !tracker.Status(now, incarnation).HasTrial, "%d trials in flight", allowed)
		for range allowed {
			tracker.EndTrial(incarnation)
		}
		kind := learn(tracker, now, incarnation, "r2", Signal{HasRun: true}).Kind
		assert.Equal(t, kind == Recovered, 2*allowed == exactEnd.RecoveredTrials, "%s after %d", kind, allowed)
	}
	assert.Equal(t, tracker.Status(now, incarnation).Phase, Open)
	assert.Equal(t, tracker.Count(), int64(0))
}

// Guards against an instance that counts as recovered because of requests that it accepted
// before its pause.
func TestRequestsWrittenBeforeTheEndOfAPauseDoNotCountAsTrials(t *testing.T) {
	tracker := NewTracker(exactEnd)
	learn(tracker, time.Second, incarnation, "r1", pauseOf(3))
	for range exactEnd.RecoveredTrials {
		tracker.Learn(5*time.Second, incarnation, Request{ID: "r0", WrittenAt: time.Second / 2}, Signal{HasRun: true})
	}
	assert.Equal(t, tracker.Status(5*time.Second, incarnation).Phase, Recovering)
	assert.Assert(t, tracker.BeginTrial(5*time.Second, incarnation))
	assert.Assert(t, !tracker.Status(5*time.Second, incarnation).HasTrial, "one trial at a time")
}

func TestSecondPauseRestartsTheTrials(t *testing.T) {
	tracker := NewTracker(exactEnd)
	learn(tracker, 0, incarnation, "r1", pauseOf(1))
	tracker.BeginTrial(2*time.Second, incarnation)
	learn(tracker, 2*time.Second, incarnation, "r2", Signal{HasRun: true})
	assert.DeepEqual(t, learn(tracker, 2*time.Second, incarnation, "r3", pauseOf(1)), Change{Kind: Began, Incarnation: incarnation, Requested: time.Second, Remaining: time.Second, RequestID: "r3", Responses: 1})
	assert.Assert(t, !tracker.Status(3*time.Second, incarnation).HasTrial, "the first trial is in flight")
	tracker.EndTrial(incarnation)
	assert.Assert(t, tracker.Status(3*time.Second, incarnation).HasTrial)
}

func TestEndOfAPauseIsReportedOnceAndTheEntryDroppedLater(t *testing.T) {
	tracker := NewTracker(exactEnd)
	learn(tracker, 0, incarnation, "r1", pauseOf(3))
	assert.Equal(t, len(tracker.TakeEnded(2*time.Second)), 0)
	changes := tracker.TakeEnded(3 * time.Second)
	assert.Equal(t, len(changes), 1)
	assert.Equal(t, changes[0].Kind, Ended)
	assert.Equal(t, len(tracker.TakeEnded(4*time.Second)), 0)
	tracker.TakeEnded(3*time.Second + exactEnd.MaximumTrialTime)
	assert.Equal(t, tracker.Count(), int64(0))
}

func TestUnreadableFieldIsReportedOncePerIncarnationWithBoundedMemory(t *testing.T) {
	tracker := NewTracker(exactEnd)
	fault := ReadPause([]string{"soon"})
	assert.Equal(t, learn(tracker, 0, incarnation, "r1", fault).Kind, Unreadable)
	assert.Equal(t, learn(tracker, 0, incarnation, "r2", fault).Kind, Unchanged)
	for number := range 2 * maximumUnreadable {
		learn(tracker, 0, registry.Incarnation{ID: fmt.Sprint(number)}, "r", fault)
	}
	assert.Equal(t, tracker.unreadable.Len(), maximumUnreadable)
	assert.Equal(t, tracker.Count(), int64(0))
}

func TestListStartsWithTheLongestPause(t *testing.T) {
	tracker := NewTracker(exactEnd)
	other := registry.Incarnation{ID: "i-0"}
	learn(tracker, 0, incarnation, "r1", pauseOf(3))
	learn(tracker, 0, other, "r2", pauseOf(1))
	all := tracker.List(2 * time.Second)
	assert.Equal(t, len(all), 2)
	assert.DeepEqual(t, all[0], Listed{Incarnation: incarnation, Status: Status{Phase: Paused, Wait: time.Second}, Requested: 3 * time.Second, RequestID: "r1", Responses: 1})
	assert.DeepEqual(t, all[1].Status, Status{Phase: Recovering, HasTrial: true})
}

// Guards against pauses costing requests time while no instance requests any.
func BenchmarkStatusWithoutPauses(b *testing.B) {
	tracker := NewTracker(exactEnd)
	for b.Loop() {
		tracker.Status(time.Second, incarnation)
	}
}

// 10,000 instances of which a third requested a pause.
func BenchmarkStatusOfAThirdPaused(b *testing.B) {
	tracker := NewTracker(exactEnd)
	incarnations := make([]registry.Incarnation, 10_000)
	for number := range incarnations {
		incarnations[number] = registry.Incarnation{ID: fmt.Sprintf("i-%d", number)}
		if number%3 == 0 {
			learn(tracker, 0, incarnations[number], "r", pauseOf(3))
		}
	}
	number := 0
	for b.Loop() {
		tracker.Status(time.Second, incarnations[number%len(incarnations)])
		number++
	}
}

func TestLeavingLastsForTheRestOfTheIncarnation(t *testing.T) {
	tracker := NewTracker(exactEnd)
	assert.DeepEqual(t, learn(tracker, 0, incarnation, "r1", Signal{IsLeaving: true, HasRun: true}), Change{Kind: AnnouncedLeaving, Incarnation: incarnation, RequestID: "r1", Responses: 1})
	for _, signal := range []Signal{{HasRun: true}, {}, pauseOf(1), Signal{}.WithLeaving([]string{"0"})} {
		learn(tracker, time.Second, incarnation, "r2", signal)
		assert.Equal(t, tracker.Status(time.Hour, incarnation).Phase, Leaving)
	}
	assert.Assert(t, !tracker.Status(time.Hour, registry.Incarnation{ID: incarnation.ID, StartedAt: 2000}).HasTrial)
	assert.Equal(t, tracker.Status(time.Hour, registry.Incarnation{ID: incarnation.ID, StartedAt: 2000}).Phase, Open)
}

// Guards against a delayed update that lists an instance again after it has left, and against
// entries that are kept for ever: the longest pause is a day.
func TestEntryIsKeptUntilTheInstanceHasBeenUnlistedForLong(t *testing.T) {
	for _, signal := range []Signal{{IsLeaving: true}, {Pause: MaximumPause}} {
		tracker := NewTracker(exactEnd)
		learn(tracker, 0, incarnation, "r1", signal)
		tracker.Prune(time.Hour, func(registry.Incarnation) bool { return true })
		unlisted := func(registry.Incarnation) bool { return false }
		tracker.Prune(time.Hour+unlistedRetention, unlisted)
		assert.Equal(t, tracker.Count(), int64(1))
		tracker.Prune(time.Hour+unlistedRetention+1, unlisted)
		assert.Equal(t, tracker.Count(), int64(0))
	}
}

func TestUnreadableFieldDoesNotAffectTheOtherField(t *testing.T) {
	tracker := NewTracker(exactEnd)
	changes := tracker.Learn(0, incarnation, Request{ID: "r1"}, ReadPause([]string{"3"}).WithLeaving([]string{"yes"}))
	assert.Equal(t, len(changes), 2)
	assert.Equal(t, changes[0].Kind, Unreadable)
	assert.Equal(t, changes[1].Kind, Began)
	changes = tracker.Learn(0, registry.Incarnation{ID: "i-2"}, Request{ID: "r2"}, ReadPause([]string{"soon"}).WithLeaving([]string{"1"}))
	assert.Equal(t, changes[1].Kind, AnnouncedLeaving)
}

func TestNodesResumeSpreadOverTimeAndNoneTooEarly(t *testing.T) {
	for requested, longest := range map[time.Duration]time.Duration{time.Second: 1250 * time.Millisecond, time.Minute: 62 * time.Second} {
		earliest, latest := time.Hour, time.Duration(0)
		for range 1000 {
			tracker := NewTracker(DefaultRecovery)
			change := learn(tracker, 0, incarnation, "r1", Signal{Pause: requested})
			assert.Equal(t, change.Requested, requested)
			earliest, latest = min(earliest, change.Remaining), max(latest, change.Remaining)
		}
		assert.Assert(t, earliest >= requested && latest <= longest, "%s to %s", earliest, latest)
		assert.Assert(t, latest-earliest > (longest-requested)/2, "%s to %s", earliest, latest)
	}
}

func TestInstanceWithoutRequestsCountsAsRecoveredAfterTheMaximumTrialTime(t *testing.T) {
	tracker := NewTracker(exactEnd)
	learn(tracker, 0, incarnation, "r1", pauseOf(3))
	assert.Equal(t, tracker.Status(3*time.Second+exactEnd.MaximumTrialTime-1, incarnation).Phase, Recovering)
	assert.Equal(t, tracker.Status(3*time.Second+exactEnd.MaximumTrialTime, incarnation).Phase, Open)
}

// BenchmarkPauseRequestsOfAThird has a third of 10,000 instances request a pause, and looks for
// expired pauses once.
func BenchmarkPauseRequestsOfAThird(b *testing.B) {
	incarnations := make([]registry.Incarnation, 10_000/3)
	for number := range incarnations {
		incarnations[number] = registry.Incarnation{ID: fmt.Sprintf("i-%d", number)}
	}
	b.ReportAllocs()
	for b.Loop() {
		tracker := NewTracker(DefaultRecovery)
		for _, one := range incarnations {
			tracker.Learn(0, one, Request{ID: "r"}, pauseOf(3))
		}
		tracker.TakeEnded(time.Second)
	}
}
