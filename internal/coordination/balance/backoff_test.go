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

// exactResume ends pauses exactly at the requested time.
var exactResume = backoff.RecoveryPolicy{InitialTrials: 1, RecoveredTrials: 4, MaximumTrialTime: time.Minute}

// pausedTable returns a table with ready instances of the service s, and the tracker of their
// pauses.
func pausedTable(ids ...string) (*Table, *backoff.Tracker) {
	table, tracker := NewTable("a"), backoff.NewTracker(exactResume)
	table.SetBackoff(tracker)
	var instances []registry.Instance
	for _, id := range ids {
		instances = append(instances, registry.Instance{ID: id, Service: "s", Address: id + ":80", Zone: "a", State: registry.Ready, Slots: 4, Sequence: 1})
	}
	table.Apply(instances)
	return table, tracker
}

func pauseInstance(tracker *backoff.Tracker, id string, now, duration time.Duration) {
	tracker.Learn(now, registry.Incarnation{ID: id}, backoff.Request{ID: "r", WrittenAt: now}, backoff.Signal{Pause: duration})
}

func TestPausedInstanceIsNeverChosen(t *testing.T) {
	table, tracker := pausedTable("i-0", "i-1")
	pauseInstance(tracker, "i-0", 0, 3*time.Second)
	for range 20 {
		choice, found := table.Choose(time.Second, Request{Service: "s", PromptPart: "p", Tokens: 100})
		assert.Assert(t, found)
		assert.Equal(t, choice.ID, "i-1")
	}
	pauseInstance(tracker, "i-1", time.Second, 3*time.Second)
	_, found := table.Choose(2*time.Second, Request{Service: "s"})
	assert.Assert(t, !found)
}

// Guards against a pause that is lost when the registry entry changes: within one incarnation the
// lease can expire, and the instance can switch between draining and ready.
func TestPauseSurvivesChangesOfTheRegistryEntry(t *testing.T) {
	table, tracker := pausedTable("i-0")
	pauseInstance(tracker, "i-0", 0, 3*time.Second)
	for sequence, state := range []registry.State{registry.Expired, registry.Ready, registry.Draining, registry.Ready} {
		table.Apply([]registry.Instance{{ID: "i-0", Service: "s", Zone: "a", State: state, Slots: 4, Sequence: uint64(sequence + 2)}})
		_, found := table.Choose(time.Second, Request{Service: "s"})
		assert.Assert(t, !found, "%s", state)
	}
}

func TestRecoveringInstanceGetsFewTrialsAndNoLastAttempt(t *testing.T) {
	table, tracker := pausedTable("i-0", "i-1")
	pauseInstance(tracker, "i-0", 0, time.Second)
	// i-1 has far more requests in flight.
	for range 20 {
		_, _ = table.Choose(0, Request{Service: "s"})
	}
	now := 2 * time.Second
	last, _ := table.Choose(now, Request{Service: "s", IsLastAttempt: true})
	assert.Equal(t, last.ID, "i-1")
	first, _ := table.Choose(now, Request{Service: "s"})
	assert.Equal(t, first.ID, "i-0")
	second, _ := table.Choose(now, Request{Service: "s"})
	assert.Equal(t, second.ID, "i-1", "only one trial at a time")
	only, _ := table.Choose(now, Request{Service: "s", Exclude: []string{"i-1"}, IsLastAttempt: true})
	assert.Equal(t, only.ID, "i-0", "no other instance is left")
	table.Done(now, first, Abandoned)
	table.Done(now, only, Abandoned)
	third, _ := table.Choose(now, Request{Service: "s"})
	assert.Equal(t, third.ID, "i-0")
}

func TestAdmitRejectsAChosenInstanceThatPausedOrDrained(t *testing.T) {
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

func TestServiceIsAvailableWhenTheFirstPauseEnds(t *testing.T) {
	table, tracker := pausedTable("i-0", "i-1")
	request := Request{Service: "s", Exclude: []string{"i-0"}}
	_, found := table.NextAvailable(0, request)
	assert.Assert(t, !found)
	pauseInstance(tracker, "i-0", 0, 3*time.Second)
	_, found = table.NextAvailable(0, request)
	assert.Assert(t, !found, "i-1 is open")
	pauseInstance(tracker, "i-1", 0, 5*time.Second)
	availability, found := table.NextAvailable(time.Second, request)
	assert.Assert(t, found)
	assert.DeepEqual(t, availability, Availability{Wait: 2 * time.Second, IsPause: true})
}

func TestServiceIsAvailableWhenALimitHasHeadroomBeforeAPauseEnds(t *testing.T) {
	table, tracker := pausedTable("i-0", "i-1")
	limits := ratelimit.New("node")
	table.SetLimits(limits)
	pauseInstance(tracker, "i-0", 0, 5*time.Second)
	limited := registry.Incarnation{ID: "i-1"}
	limits.Learn(0, limited, ratelimit.Signal{IsNamed: true, PerSecond: 0.5}, 0)
	limits.RecordResponse(0, limited, ratelimit.PermitResponse{FreeMS: 2000})
	availability, found := table.NextAvailable(0, Request{Service: "s"})
	assert.Assert(t, found)
	assert.Equal(t, availability.IsPause, false)
	assert.Equal(t, availability.Wait, 2*time.Second)
}

// Guards against a delayed heartbeat with state ready that makes an instance eligible again after
// it signalled that it leaves.
func TestLeavingInstanceIsNotChosenAfterALateReadyHeartbeat(t *testing.T) {
	table, tracker := pausedTable("i-0", "i-1")
	choice, _ := table.Choose(0, Request{Service: "s", Exclude: []string{"i-1"}})
	tracker.Learn(0, registry.Incarnation{ID: "i-0"}, backoff.Request{ID: "r"}, backoff.Signal{IsLeaving: true})
	assert.ErrorIs(t, table.Admit(0, choice), ErrLeaving)
	assert.Assert(t, table.IsLeaving(registry.Incarnation{ID: "i-0"}), "a planned exit is not a crash")
	table.Apply([]registry.Instance{{ID: "i-0", Service: "s", Zone: "a", State: registry.Ready, Slots: 4, Sequence: 9}})
	_, found := table.Choose(time.Hour, Request{Service: "s", Exclude: []string{"i-1"}})
	assert.Assert(t, !found)
	_, found = table.NextAvailable(time.Hour, Request{Service: "s"})
	assert.Assert(t, !found, "a leaving instance does not become available again")
}

// BenchmarkChooseAmongManyPaused chooses among 1,000 instances of a service, of which none or a
// third has requested a pause.
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
				choice, _ := table.Choose(time.Second, Request{Service: "s", PromptPart: "p", Tokens: 1000})
				table.Done(time.Second, choice, Abandoned)
			}
		})
	}
}

// Guards against rollout stages that bypass pauses: requests of the canary share, requests that
// move to the new version, and requests after a rollback while the old version is paused.
func TestPausesApplyInEveryRolloutStage(t *testing.T) {
	for stage, want := range map[rollout.Stage]string{rollout.Canary: "v1", rollout.Moving: "v1", rollout.Done: "v1", rollout.RolledBack: "v1"} {
		table, tracker := NewTable("zone-0"), backoff.NewTracker(exactResume)
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

// Guards against a retry time for callers that is too early because it counts instances of a
// version that was rolled back.
func TestRolledBackVersionDoesNotAdvanceTheRetryTime(t *testing.T) {
	table, tracker := NewTable("zone-0"), backoff.NewTracker(exactResume)
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
