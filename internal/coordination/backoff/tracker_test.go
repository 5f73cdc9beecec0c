package backoff

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ravenway/ravenway/internal/coordination/registry"
)

var life = registry.Life{ID: "i-1", Born: 1000}

// exactEnd ends pauses exactly at their requested end.
var exactEnd = ReturnPolicy{FirstTrials: 1, FullTrials: 4, LongestTrials: time.Minute}

// learn calls Learn with a response that follows its request immediately, and returns the
// first change.
func learn(tracker *Tracker, now time.Duration, life registry.Life, request string, said Said) Change {
	changes := tracker.Learn(now, life, Request{ID: request, WrittenAt: now}, said)
	if len(changes) == 0 {
		return Change{}
	}
	return changes[0]
}

func asks(seconds float64) Said { return Said{Pause: time.Duration(seconds * float64(time.Second))} }

func TestNoAnswerShortensAPause(t *testing.T) {
	tracker := NewTracker(exactEnd)
	assert.Equal(t, learn(tracker, 10*time.Second, life, "r1", asks(3)).Kind, Began)
	for _, said := range []Said{asks(0.5), {}, {HasRun: true}, ReadPause([]string{"soon"}), ReadPause([]string{"0"})} {
		learn(tracker, 11*time.Second, life, "r2", said)
		assert.DeepEqual(t, tracker.Standing(11*time.Second, life), Standing{Phase: Paused, Wait: 2 * time.Second})
	}
	change := learn(tracker, 12*time.Second, life, "r3", asks(3))
	assert.DeepEqual(t, change, Change{Kind: Extended, Life: life, Asked: 5 * time.Second, Left: 3 * time.Second, Request: "r1", Answers: 3})
	assert.Equal(t, tracker.Standing(15*time.Second-1, life).Phase, Paused)
	assert.Equal(t, tracker.Standing(15*time.Second, life).Phase, Returning)
}

func TestPauseBindsTheLifeThatAskedForIt(t *testing.T) {
	tracker := NewTracker(exactEnd)
	learn(tracker, 0, life, "r1", asks(3))
	newer := registry.Life{ID: life.ID, Born: 2000}
	assert.Equal(t, tracker.Standing(time.Second, newer).Phase, Open)
	learn(tracker, time.Second, newer, "r2", asks(1))
	tracker.Forget(life)
	assert.Equal(t, tracker.Standing(time.Second, newer).Phase, Paused)
	assert.Equal(t, tracker.Standing(time.Second, life).Phase, Open)
}

func TestInstanceIsBackOnceRequestsRanAfterItsPause(t *testing.T) {
	tracker := NewTracker(exactEnd)
	learn(tracker, 0, life, "r1", asks(3))
	assert.Assert(t, !tracker.BeginTrial(time.Second, life), "a request chosen during the pause is no trial")
	now := 4 * time.Second
	for allowed := 1; allowed < exactEnd.FullTrials; allowed *= 2 {
		for range allowed {
			assert.Assert(t, tracker.Standing(now, life).HasTrial)
			assert.Assert(t, tracker.BeginTrial(now, life))
		}
		assert.Assert(t, !tracker.Standing(now, life).HasTrial, "%d trials in flight", allowed)
		for range allowed {
			tracker.EndTrial(life)
		}
		kind := learn(tracker, now, life, "r2", Said{HasRun: true}).Kind
		assert.Equal(t, kind == Back, 2*allowed == exactEnd.FullTrials, "%s after %d", kind, allowed)
	}
	assert.Equal(t, tracker.Standing(now, life).Phase, Open)
	assert.Equal(t, tracker.Count(), int64(0))
}

// Guards against an instance that counts as recovered because of requests that it accepted
// before its pause.
func TestRequestsFromBeforeTheEndOfAPauseDoNotShowThatItIsOver(t *testing.T) {
	tracker := NewTracker(exactEnd)
	learn(tracker, time.Second, life, "r1", asks(3))
	for range exactEnd.FullTrials {
		tracker.Learn(5*time.Second, life, Request{ID: "r0", WrittenAt: time.Second / 2}, Said{HasRun: true})
	}
	assert.Equal(t, tracker.Standing(5*time.Second, life).Phase, Returning)
	assert.Assert(t, tracker.BeginTrial(5*time.Second, life))
	assert.Assert(t, !tracker.Standing(5*time.Second, life).HasTrial, "one trial at a time")
}

func TestSecondPauseBeginsTheTrialsAnew(t *testing.T) {
	tracker := NewTracker(exactEnd)
	learn(tracker, 0, life, "r1", asks(1))
	tracker.BeginTrial(2*time.Second, life)
	learn(tracker, 2*time.Second, life, "r2", Said{HasRun: true})
	assert.DeepEqual(t, learn(tracker, 2*time.Second, life, "r3", asks(1)), Change{Kind: Began, Life: life, Asked: time.Second, Left: time.Second, Request: "r3", Answers: 1})
	assert.Assert(t, !tracker.Standing(3*time.Second, life).HasTrial, "the first trial is in flight")
	tracker.EndTrial(life)
	assert.Assert(t, tracker.Standing(3*time.Second, life).HasTrial)
}

func TestEndOfAPauseIsToldOnceAndTheInstanceForgottenLater(t *testing.T) {
	tracker := NewTracker(exactEnd)
	learn(tracker, 0, life, "r1", asks(3))
	assert.Equal(t, len(tracker.Look(2*time.Second)), 0)
	changes := tracker.Look(3 * time.Second)
	assert.Equal(t, len(changes), 1)
	assert.Equal(t, changes[0].Kind, Ended)
	assert.Equal(t, len(tracker.Look(4*time.Second)), 0)
	tracker.Look(3*time.Second + exactEnd.LongestTrials)
	assert.Equal(t, tracker.Count(), int64(0))
}

func TestWhatCantBeReadIsToldOnceALifeAndWithinBounds(t *testing.T) {
	tracker := NewTracker(exactEnd)
	fault := ReadPause([]string{"soon"})
	assert.Equal(t, learn(tracker, 0, life, "r1", fault).Kind, Unreadable)
	assert.Equal(t, learn(tracker, 0, life, "r2", fault).Kind, Unchanged)
	for number := range 2 * unreadableKept {
		learn(tracker, 0, registry.Life{ID: fmt.Sprint(number)}, "r", fault)
	}
	assert.Equal(t, tracker.unreadable.Len(), unreadableKept)
	assert.Equal(t, tracker.Count(), int64(0))
}

func TestListNamesTheLongestPauseFirst(t *testing.T) {
	tracker := NewTracker(exactEnd)
	other := registry.Life{ID: "i-0"}
	learn(tracker, 0, life, "r1", asks(3))
	learn(tracker, 0, other, "r2", asks(1))
	all := tracker.List(2 * time.Second)
	assert.Equal(t, len(all), 2)
	assert.DeepEqual(t, all[0], Listed{Life: life, Standing: Standing{Phase: Paused, Wait: time.Second}, Asked: 3 * time.Second, Request: "r1", Answers: 1})
	assert.DeepEqual(t, all[1].Standing, Standing{Phase: Returning, HasTrial: true})
}

// Guards against pauses costing requests time while no instance requests any.
func BenchmarkStandingWithoutPauses(b *testing.B) {
	tracker := NewTracker(exactEnd)
	for b.Loop() {
		tracker.Standing(time.Second, life)
	}
}

// 10,000 instances of which a third requested a pause.
func BenchmarkStandingOfAThirdPaused(b *testing.B) {
	tracker := NewTracker(exactEnd)
	lives := make([]registry.Life, 10_000)
	for number := range lives {
		lives[number] = registry.Life{ID: fmt.Sprintf("i-%d", number)}
		if number%3 == 0 {
			learn(tracker, 0, lives[number], "r", asks(3))
		}
	}
	number := 0
	for b.Loop() {
		tracker.Standing(time.Second, lives[number%len(lives)])
		number++
	}
}

func TestLeavingHoldsForTheRestOfTheLife(t *testing.T) {
	tracker := NewTracker(exactEnd)
	assert.DeepEqual(t, learn(tracker, 0, life, "r1", Said{IsLeaving: true, HasRun: true}), Change{Kind: Left, Life: life, Request: "r1", Answers: 1})
	for _, said := range []Said{{HasRun: true}, {}, asks(1), Said{}.WithLeaving([]string{"0"})} {
		learn(tracker, time.Second, life, "r2", said)
		assert.Equal(t, tracker.Standing(time.Hour, life).Phase, Leaving)
	}
	assert.Assert(t, !tracker.Standing(time.Hour, registry.Life{ID: life.ID, Born: 2000}).HasTrial)
	assert.Equal(t, tracker.Standing(time.Hour, registry.Life{ID: life.ID, Born: 2000}).Phase, Open)
}

// Guards against a delayed update that lists an instance again after it has left, and against
// entries that are kept for ever: the longest pause is a day.
func TestInstanceIsRememberedUntilItHasNotBeenListedForLong(t *testing.T) {
	for _, said := range []Said{{IsLeaving: true}, {Pause: MaximumPause}} {
		tracker := NewTracker(exactEnd)
		learn(tracker, 0, life, "r1", said)
		tracker.Prune(time.Hour, func(registry.Life) bool { return true })
		unlisted := func(registry.Life) bool { return false }
		tracker.Prune(time.Hour+unlistedMemory, unlisted)
		assert.Equal(t, tracker.Count(), int64(1))
		tracker.Prune(time.Hour+unlistedMemory+1, unlisted)
		assert.Equal(t, tracker.Count(), int64(0))
	}
}

func TestOneFieldThatCantBeReadSpoilsNoOther(t *testing.T) {
	tracker := NewTracker(exactEnd)
	changes := tracker.Learn(0, life, Request{ID: "r1"}, ReadPause([]string{"3"}).WithLeaving([]string{"yes"}))
	assert.Equal(t, len(changes), 2)
	assert.Equal(t, changes[0].Kind, Unreadable)
	assert.Equal(t, changes[1].Kind, Began)
	changes = tracker.Learn(0, registry.Life{ID: "i-2"}, Request{ID: "r2"}, ReadPause([]string{"soon"}).WithLeaving([]string{"1"}))
	assert.Equal(t, changes[1].Kind, Left)
}

func TestNodesComeBackOneByOneAndNoneTooEarly(t *testing.T) {
	for asked, longest := range map[time.Duration]time.Duration{time.Second: 1250 * time.Millisecond, time.Minute: 62 * time.Second} {
		earliest, latest := time.Hour, time.Duration(0)
		for range 1000 {
			tracker := NewTracker(DefaultReturn)
			change := learn(tracker, 0, life, "r1", Said{Pause: asked})
			assert.Equal(t, change.Asked, asked)
			earliest, latest = min(earliest, change.Left), max(latest, change.Left)
		}
		assert.Assert(t, earliest >= asked && latest <= longest, "%s to %s", earliest, latest)
		assert.Assert(t, latest-earliest > (longest-asked)/2, "%s to %s", earliest, latest)
	}
}

func TestInstanceThatNobodyAsksCountsAsBackInTheEnd(t *testing.T) {
	tracker := NewTracker(exactEnd)
	learn(tracker, 0, life, "r1", asks(3))
	assert.Equal(t, tracker.Standing(3*time.Second+exactEnd.LongestTrials-1, life).Phase, Returning)
	assert.Equal(t, tracker.Standing(3*time.Second+exactEnd.LongestTrials, life).Phase, Open)
}

// BenchmarkThirdOfManyAsk has a third of 10,000 instances request a pause, and looks for
// expired pauses once.
func BenchmarkThirdOfManyAsk(b *testing.B) {
	lives := make([]registry.Life, 10_000/3)
	for number := range lives {
		lives[number] = registry.Life{ID: fmt.Sprintf("i-%d", number)}
	}
	b.ReportAllocs()
	for b.Loop() {
		tracker := NewTracker(DefaultReturn)
		for _, one := range lives {
			tracker.Learn(0, one, Request{ID: "r"}, asks(3))
		}
		tracker.Look(time.Second)
	}
}
