package balance

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ravenway/ravenway/internal/coordination/backoff"
	"github.com/ravenway/ravenway/internal/coordination/ratelimit"
	"github.com/ravenway/ravenway/internal/coordination/registry"
	"github.com/ravenway/ravenway/internal/state/rollout"
)

// exactEnd ends pauses when they were asked to end.
var exactEnd = backoff.RecoveryPolicy{InitialTrials: 1, RecoveredTrials: 4, MaximumTrialTime: time.Minute}

// pausedTable has some ready instances of the service s, of which a tracker knows pauses.
func pausedTable(ids ...string) (*Table, *backoff.Tracker) {
	table, tracker := NewTable("a"), backoff.NewTracker(exactEnd)
	table.SetBackoff(tracker)
	var instances []registry.Instance
	for _, id := range ids {
		instances = append(instances, registry.Instance{ID: id, Service: "s", Address: id + ":80", Zone: "a", State: registry.Ready, Slots: 4, Sequence: 1})
	}
	table.Apply(instances)
	return table, tracker
}

func pauseInstance(tracker *backoff.Tracker, id string, now, lasting time.Duration) {
	tracker.Learn(now, registry.Life{ID: id}, backoff.Request{ID: "r", WrittenAt: now}, backoff.Signal{Pause: lasting})
}

func TestPausedInstanceIsNotChosenWhateverElseIsLeft(t *testing.T) {
	table, tracker := pausedTable("i-0", "i-1")
	pauseInstance(tracker, "i-0", 0, 3*time.Second)
	for range 20 {
		choice, found := table.Choose(time.Second, Request{Service: "s", Part: "p", Tokens: 100})
		assert.Assert(t, found)
		assert.Equal(t, choice.ID, "i-1")
	}
	pauseInstance(tracker, "i-1", time.Second, 3*time.Second)
	_, found := table.Choose(2*time.Second, Request{Service: "s"})
	assert.Assert(t, !found)
}

// Guards against a pause that ends with the instance's entry: a lease that ran out, a word
// that the instance drains and one that it doesn't, come and go within one life.
func TestPauseOutlivesTheInstancesEntry(t *testing.T) {
	table, tracker := pausedTable("i-0")
	pauseInstance(tracker, "i-0", 0, 3*time.Second)
	for sequence, state := range []registry.State{registry.Expired, registry.Ready, registry.Draining, registry.Ready} {
		table.Apply([]registry.Instance{{ID: "i-0", Service: "s", Zone: "a", State: state, Slots: 4, Sequence: uint64(sequence + 2)}})
		_, found := table.Choose(time.Second, Request{Service: "s"})
		assert.Assert(t, !found, "%s", state)
	}
}

func TestInstanceComingBackIsTriedByFewAndByNoLastAttempt(t *testing.T) {
	table, tracker := pausedTable("i-0", "i-1")
	pauseInstance(tracker, "i-0", 0, time.Second)
	// i-1 is far busier.
	for range 20 {
		_, _ = table.Choose(0, Request{Service: "s"})
	}
	now := 2 * time.Second
	last, _ := table.Choose(now, Request{Service: "s", IsLastAttempt: true})
	assert.Equal(t, last.ID, "i-1")
	first, _ := table.Choose(now, Request{Service: "s"})
	assert.Equal(t, first.ID, "i-0")
	second, _ := table.Choose(now, Request{Service: "s"})
	assert.Equal(t, second.ID, "i-1", "one trial at a time")
	only, _ := table.Choose(now, Request{Service: "s", Exclude: []string{"i-1"}, IsLastAttempt: true})
	assert.Equal(t, only.ID, "i-0", "where nothing else is left")
	table.Done(now, first, Abandoned)
	table.Done(now, only, Abandoned)
	third, _ := table.Choose(now, Request{Service: "s"})
	assert.Equal(t, third.ID, "i-0")
}

func TestInstanceThatWasChosenMayTakeNothingByTheTimeOfWriting(t *testing.T) {
	table, tracker := pausedTable("i-0", "i-1")
	choice, _ := table.Choose(0, Request{Service: "s"})
	assert.NilError(t, table.Admit(0, choice))
	pauseInstance(tracker, choice.ID, 0, time.Second)
	assert.ErrorIs(t, table.Admit(0, choice), ErrPaused)
	assert.NilError(t, table.Admit(time.Second, choice))
	drained := choice.Instance
	drained.State, drained.Sequence = registry.Draining, 2
	table.Apply([]registry.Instance{drained})
	assert.ErrorIs(t, table.Admit(time.Second, choice), ErrWithdrawn)
}

func TestServiceIsAvailableAsTheFirstPauseEnds(t *testing.T) {
	table, tracker := pausedTable("i-0", "i-1")
	request := Request{Service: "s", Exclude: []string{"i-0"}}
	_, found := table.NextAvailable(0, request)
	assert.Assert(t, !found)
	pauseInstance(tracker, "i-0", 0, 3*time.Second)
	_, found = table.NextAvailable(0, request)
	assert.Assert(t, !found, "i-1 is open")
	pauseInstance(tracker, "i-1", 0, 5*time.Second)
	back, found := table.NextAvailable(time.Second, request)
	assert.Assert(t, found)
	assert.DeepEqual(t, back, Availability{Wait: 2 * time.Second, IsPause: true})
}

func TestServiceIsAvailableAsALimitHasRoomBeforeAPauseEnds(t *testing.T) {
	table, tracker := pausedTable("i-0", "i-1")
	limits := ratelimit.New("node")
	table.SetLimits(limits)
	pauseInstance(tracker, "i-0", 0, 5*time.Second)
	limited := registry.Life{ID: "i-1"}
	limits.Learn(0, limited, ratelimit.Signal{IsNamed: true, PerSecond: 0.5}, 0)
	limits.RecordResponse(0, limited, ratelimit.PermitResponse{FreeMS: 2000})
	back, found := table.NextAvailable(0, Request{Service: "s"})
	assert.Assert(t, found)
	assert.Equal(t, back.IsPause, false)
	assert.Equal(t, back.Wait, 2*time.Second)
}

// Guards against a heartbeat on its way, which still says ready, that brings an instance
// back which has said that it leaves.
func TestLeavingInstanceIsNotChosenWhateverTheRegistrySays(t *testing.T) {
	table, tracker := pausedTable("i-0", "i-1")
	choice, _ := table.Choose(0, Request{Service: "s", Exclude: []string{"i-1"}})
	tracker.Learn(0, registry.Life{ID: "i-0"}, backoff.Request{ID: "r"}, backoff.Signal{IsLeaving: true})
	assert.ErrorIs(t, table.Admit(0, choice), ErrLeaving)
	assert.Assert(t, table.IsLeaving(registry.Life{ID: "i-0"}), "its end is nobody's fault")
	table.Apply([]registry.Instance{{ID: "i-0", Service: "s", Zone: "a", State: registry.Ready, Slots: 4, Sequence: 9}})
	_, found := table.Choose(time.Hour, Request{Service: "s", Exclude: []string{"i-1"}})
	assert.Assert(t, !found)
	_, found = table.NextAvailable(time.Hour, Request{Service: "s"})
	assert.Assert(t, !found, "nobody waits for it to come back")
}

// BenchmarkChooseAmongManyPaused chooses among 1,000 instances of a service, of which none or
// a third has asked for a pause.
func BenchmarkChooseAmongManyPaused(b *testing.B) {
	for name, isPaused := range map[string]func(number int) bool{
		"none": func(int) bool { return false }, "a_third": func(number int) bool { return number%3 == 0 },
	} {
		b.Run(name, func(b *testing.B) {
			ids := make([]string, 1000)
			for number := range ids {
				ids[number] = fmt.Sprintf("i-%d", number)
			}
			table, tracker := pausedTable(ids...)
			for number, id := range ids {
				if isPaused(number) {
					pauseInstance(tracker, id, 0, time.Hour)
				}
			}
			for b.Loop() {
				choice, _ := table.Choose(time.Second, Request{Service: "s", Part: "p", Tokens: 1000})
				table.Done(time.Second, choice, Abandoned)
			}
		})
	}
}

// Guards against a rollout's ways around the pauses of its versions: a canary, all that moves
// to the new version, and a version that was rolled back while the old one is in a pause.
func TestPausesAreKeptInEveryStageOfARollout(t *testing.T) {
	for stage, want := range map[rollout.Stage]string{rollout.Canary: "v1", rollout.Moving: "v1", rollout.Done: "v1", rollout.RolledBack: "v1"} {
		table, tracker := NewTable("zone-0"), backoff.NewTracker(exactEnd)
		table.SetBackoff(tracker)
		table.Apply(twoVersions(3))
		table.SetRollouts(inStage(stage), RolloutShare{Share: 1, Nodes: 1})
		for number := range 3 {
			pauseInstance(tracker, fmt.Sprint("v2-", number), 0, time.Minute)
		}
		byVersion, _ := chosenVersions(t, table, 50)
		assert.DeepEqual(t, byVersion, map[string]int{want: 50})
		for number := range 3 {
			pauseInstance(tracker, fmt.Sprint("v1-", number), 0, time.Minute)
		}
		_, found := table.Choose(time.Second, Request{Service: "llm"})
		assert.Assert(t, !found, "stage %v", stage)
	}
}

// Guards against callers who are told to come back soon for engines of a version that was
// rolled back.
func TestRolledBackVersionMakesAServiceNoSoonerAvailable(t *testing.T) {
	table, tracker := NewTable("zone-0"), backoff.NewTracker(exactEnd)
	table.SetBackoff(tracker)
	table.Apply(twoVersions(3))
	table.SetRollouts(inStage(rollout.RolledBack), RolloutShare{Share: 1, Nodes: 1})
	var choice Choice
	for number := range 3 {
		choice, _ = table.Choose(0, Request{Service: "llm"})
		pauseInstance(tracker, fmt.Sprint("v1-", number), 0, time.Minute)
	}
	next, found := table.NextAvailable(time.Second, Request{Service: "llm"})
	assert.Assert(t, found)
	assert.DeepEqual(t, next, Availability{Wait: 59 * time.Second, IsPause: true})
	// The version of a chosen instance may be rolled back before the request is written.
	choice.Instance.ID, choice.Instance.Version = "v2-0", "v2"
	assert.ErrorIs(t, table.Admit(time.Second, choice), ErrWithdrawn)
}
