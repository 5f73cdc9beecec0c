package balance

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ravenway/ravenway/internal/coordination/backoff"
	"github.com/ravenway/ravenway/internal/coordination/registry"
	"github.com/ravenway/ravenway/internal/coordination/slotlease"
	"github.com/ravenway/ravenway/internal/state/evacuation"
	"github.com/ravenway/ravenway/internal/state/rollout"
)

// versionOfChoice returns the version of the instance that a request bound to a version is sent to, or ""
// if there is none.
func versionOfChoice(table *Table, now time.Duration, request Request, version string) string {
	request.Service, request.Version = "llm", BindVersion(version)
	choice, found := table.Choose(now, request)
	if !found {
		return ""
	}
	table.Done(now, choice, Served)
	return choice.Version
}

// Guards against a rollout that moves streams in progress to its version, and against one that keeps a
// version that was rolled back in use by them.
func TestBoundRequestKeepsItsVersionInARollout(t *testing.T) {
	for stage, want := range map[rollout.Stage][2]string{
		rollout.Canary: {"v1", "v2"}, rollout.Moving: {"v1", "v2"}, rollout.Done: {"v1", "v2"}, rollout.RolledBack: {"v1", ""},
	} {
		table := NewTable("zone-0")
		table.Apply(twoVersions(6))
		table.SetRollouts(inStage(stage), RolloutShare{Share: 0.1, Nodes: 1})
		for position, version := range []string{"v1", "v2"} {
			for _, request := range []Request{{}, {PromptPart: "p", Tokens: 500}, {Exclude: []string{"v1-0", "v2-0"}}} {
				assert.Equal(t, versionOfChoice(table, 0, request, version), want[position], "%s, bound to %s, %+v", stage, version, request)
			}
		}
	}
}

// Guards against a request that is kept off its canary instances, and so loads others of a version that
// is still on trial.
func TestBoundRequestPrefersTheCanaryInstances(t *testing.T) {
	table := NewTable("zone-0")
	table.Apply(twoVersions(12))
	table.SetRollouts(inStage(rollout.Canary), RolloutShare{Share: 0.1, Nodes: 1})
	for range 40 {
		choice, found := table.Choose(0, Request{Service: "llm", Version: BindVersion("v2")})
		assert.Assert(t, found && table.rollouts["llm"].canaries[choice.ID], choice.ID)
		table.Done(0, choice, Served)
	}
	assert.Equal(t, table.rollouts["llm"].credit <= maximumCredit, true)
}

// Guards against a bound request that goes to another version when something else excludes all
// instances of its own: it is refused instead.
func TestBoundRequestIsRefusedWhenItsVersionIsExcluded(t *testing.T) {
	isV1 := func(instance registry.Instance) bool { return instance.Version == "v1" }
	excluded := map[string]func(table *Table, request *Request){
		"tried": func(_ *Table, request *Request) { request.Exclude = []string{"v1-0", "v1-1", "v1-2"} },
		"paused": func(table *Table, _ *Request) {
			tracker := backoff.NewTracker(exactResume)
			table.SetBackoff(tracker)
			for number := range 3 {
				pauseInstance(tracker, fmt.Sprint("v1-", number), 0, 3*time.Second)
			}
		},
		"full": func(table *Table, _ *Request) {
			tracker := slotlease.NewTracker()
			table.SetSlots(tracker)
			tracker.Learn(0, "llm", slotlease.Signal{IsBrittle: true, Tolerance: 1})
			for number := range 3 {
				tracker.SetFull(0, registry.Incarnation{ID: fmt.Sprint("v1-", number)}, 3*time.Second)
			}
		},
		"maximum in flight": func(table *Table, request *Request) {
			request.Connections = ConnectionLimit{Total: minimumConnections, Nodes: 1}
			for range 3 * minimumConnections {
				_, _ = table.Choose(0, Request{Service: "llm", Version: BindVersion("v1"), Connections: ConnectionLimit{Total: minimumConnections, Nodes: 1}})
			}
		},
		"gone": func(table *Table, _ *Request) {
			table.Apply(ended(slices.DeleteFunc(twoVersions(3), func(one registry.Instance) bool { return !isV1(one) })))
		},
		"zone and region": func(table *Table, request *Request) {
			table.SetRegions(map[string]string{"zone-0": "north", "zone-1": "south", "zone-2": "south"})
			request.Regions = IntersectRegions([]string{"north"})
			table.SetEvacuated(0, evacuation.Zones{Names: []string{"zone-0"}})
		},
	}
	for name, exclude := range excluded {
		table, request := NewTable("zone-0"), Request{}
		table.Apply(twoVersions(3))
		exclude(table, &request)
		assert.Equal(t, versionOfChoice(table, time.Second, request, "v1"), "", name)
	}
}

// Guards against a retry time that another version's pauses or limits determine.
func TestRetryTimeOfABoundRequestIsThatOfItsVersion(t *testing.T) {
	table, tracker := NewTable("zone-0"), backoff.NewTracker(exactResume)
	table.SetBackoff(tracker)
	table.Apply(twoVersions(2))
	for number := range 2 {
		pauseInstance(tracker, fmt.Sprint("v1-", number), 0, 5*time.Second)
		pauseInstance(tracker, fmt.Sprint("v2-", number), 0, time.Second)
	}
	next, isExcluded := table.NextAvailable(0, Request{Service: "llm", Version: BindVersion("v1")})
	assert.Assert(t, isExcluded && next.Wait == 5*time.Second, "%+v", next)
}

// drain returns the instances of a version as draining.
func drain(instances []registry.Instance, version string) []registry.Instance {
	var draining []registry.Instance
	for _, one := range instances {
		if one.Version == version {
			one.State, one.Sequence = registry.Draining, one.Sequence+1
			draining = append(draining, one)
		}
	}
	return draining
}

// Guards against a stream that ends although a draining instance of its version still serves it, against
// other requests there, and against requests there after the time for which it serves on.
func TestDrainingInstanceServesBoundRequestsForAWhile(t *testing.T) {
	table, tracker := NewTable("zone-0"), backoff.NewTracker(exactResume)
	table.SetBackoff(tracker)
	table.Apply(twoVersions(2))
	now := 10 * time.Second
	assert.Equal(t, versionOfChoice(table, now, Request{}, "v1"), "v1")
	table.Apply(drain(twoVersions(2), "v1"))
	choice, found := table.Choose(now+drainingUseTime/2, Request{Service: "llm", Version: BindVersion("v1")})
	assert.Assert(t, found && choice.Version == "v1")
	assert.NilError(t, table.Admit(now+drainingUseTime/2, choice))
	assert.ErrorIs(t, table.Admit(now+drainingUseTime, choice), ErrWithdrawn)
	for range 10 {
		unbound, isFound := table.Choose(now+drainingUseTime/2, Request{Service: "llm"})
		assert.Assert(t, isFound && unbound.Version == "v2")
	}
	assert.Equal(t, versionOfChoice(table, now+drainingUseTime/2, Request{Exclude: []string{"v1-0", "v1-1"}}, "v1"), "")
	// An instance that signalled to this node that it leaves gets nothing.
	for number := range 2 {
		tracker.Learn(now, registry.Incarnation{ID: fmt.Sprint("v1-", number)}, backoff.Request{ID: "r"}, backoff.Signal{IsLeaving: true})
	}
	assert.Equal(t, versionOfChoice(table, now+drainingUseTime/2, Request{}, "v1"), "")
	assert.Equal(t, versionOfChoice(table, now+drainingUseTime, Request{}, "v1"), "")
}

// Guards against requests to an instance that was draining before this node knew it: it may have ended.
func TestInstanceThatWasAlwaysDrainingIsNotUsed(t *testing.T) {
	table := NewTable("zone-0")
	table.Apply(drain(twoVersions(2), "v1"))
	assert.Equal(t, versionOfChoice(table, 0, Request{}, "v1"), "")
}

// Guards against a stream that is joined to a run whose version was only believed: the instance had
// restarted with another version before its first heartbeat said so, which later restarts and the end of
// the instance do not change.
func TestVersionOfAnInstanceThatRestartedWithAnotherIsNotCertain(t *testing.T) {
	incarnation := func(number int64, version string, state registry.State) registry.Instance {
		instance := twoVersions(1)[0]
		instance.StartedAt, instance.Sequence, instance.Version, instance.State = number, uint64(number), version, state
		return instance
	}
	first, same, other := incarnation(1, "v1", registry.Ready), incarnation(2, "v1", registry.Ready), incarnation(3, "v3", registry.Ready)
	otherEnded, back := incarnation(3, "v3", registry.Gone), incarnation(4, "v1", registry.Ready)
	for name, one := range map[string]struct {
		then []registry.Instance
		want string
	}{
		"not restarted":                    {nil, "v1"},
		"restarted with the same version":  {[]registry.Instance{same}, "v1"},
		"restarted with another":           {[]registry.Instance{same, other}, "v3"},
		"and back again":                   {[]registry.Instance{other, back}, "v3"},
		"the other has ended":              {[]registry.Instance{other, otherEnded}, "v3"},
		"the other has ended and is back":  {[]registry.Instance{other, otherEnded, back}, "v3"},
		"ended before the other was known": {[]registry.Instance{incarnation(1, "v1", registry.Gone), other, back}, "v3"},
		"without a new start time":         {[]registry.Instance{incarnation(1, "v3", registry.Ready)}, "v3"},
	} {
		table := NewTable("zone-0")
		table.Apply([]registry.Instance{incarnation(0, "v0", registry.Ready)})
		table.Apply([]registry.Instance{first})
		for _, next := range one.then {
			table.Apply([]registry.Instance{next})
		}
		version, isCertain := table.RunVersion(first)
		assert.Assert(t, isCertain == (one.want == "v1") && (isCertain || version == one.want), "%s: %q, %v", name, version, isCertain)
	}
}

// Guards against any state of instances and rollouts in which a bound request leaves its version.
func TestBoundRequestNeverLeavesItsVersion(t *testing.T) {
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(60, seed))
		table, tracker := NewTable("zone-0"), backoff.NewTracker(exactResume)
		table.SetBackoff(tracker)
		stages := []rollout.Stage{rollout.Canary, rollout.Moving, rollout.Done, rollout.RolledBack}
		for step := range 60 {
			now := time.Duration(step) * 200 * time.Millisecond
			instance := twoVersions(4)[random.IntN(8)]
			instance.Sequence, instance.State = uint64(step+1), []registry.State{registry.Ready, registry.Ready, registry.Draining, registry.Expired, registry.Gone}[random.IntN(5)]
			instance.StartedAt = int64(random.IntN(3))
			if random.IntN(8) == 0 {
				instance.Version = "v3"
			}
			table.Apply([]registry.Instance{instance})
			if random.IntN(6) == 0 {
				table.SetRollouts(inStage(stages[random.IntN(4)]), RolloutShare{Share: 0.3, Nodes: 1})
			}
			if random.IntN(6) == 0 {
				pauseInstance(tracker, instance.ID, now, time.Second)
			}
			version := []string{"v1", "v2", "v3"}[random.IntN(3)]
			request := Request{Service: "llm", Version: BindVersion(version)}
			if random.IntN(2) == 0 {
				request.PromptPart, request.Tokens = "p", 500
			}
			if choice, found := table.Choose(now, request); found {
				assert.Assert(t, choice.Version == version, "seed %d, step %d: bound to %s, sent to %s", seed, step, version, choice.Version)
				if random.IntN(3) > 0 {
					table.Done(now, choice, Outcome(random.IntN(6)))
				}
			}
			versions := map[string]int{}
			for _, one := range table.members {
				versions[one.Version]++
			}
			assert.Assert(t, maps.Equal(table.versions["llm"], versions), "seed %d, step %d: %v, %v", seed, step, table.versions, versions)
		}
	}
}

// Guards against a stream that continues at an instance whose process ended and was restarted under its
// ID with another version, before a heartbeat said so.
func TestBoundRequestAvoidsAnInstanceThatMayHaveRestarted(t *testing.T) {
	notices := map[string]func(table *Table, now time.Duration, incarnation registry.Incarnation){
		"connection refused": (*Table).ConnectionRefused, "run interrupted": (*Table).RunInterrupted, "end seen": (*Table).IncarnationEnded,
	}
	for name, notice := range notices {
		table := NewTable("zone-0")
		table.Apply(twoVersions(1))
		now := 10 * time.Second
		table.SetInformed(now, true)
		notice(table, now, registry.Incarnation{ID: "v1-0"})
		assert.Equal(t, versionOfChoice(table, now+time.Second, Request{}, "v1"), "", name)
		assert.Equal(t, versionOfChoice(table, now+time.Second, Request{}, "v2"), "v2", name)
		assert.Assert(t, table.IsVersionDoubtful(now+time.Second, registry.Incarnation{ID: "v1-0"}), name)
		// A new process would have registered by now.
		assert.Equal(t, versionOfChoice(table, now+restartNoticeTime, Request{}, "v1"), "v1", name)
	}
}

// Guards against a doubt that ends while this node would not learn of a restart, and against one that
// outlasts the new incarnation.
func TestDoubtLastsWhileTheNodeIsNotInformed(t *testing.T) {
	table := NewTable("zone-0")
	table.Apply(twoVersions(1))
	table.RunInterrupted(0, registry.Incarnation{ID: "v1-0"})
	assert.Equal(t, versionOfChoice(table, time.Minute, Request{}, "v1"), "")
	table.SetInformed(time.Minute, true)
	assert.Equal(t, versionOfChoice(table, time.Minute+restartNoticeTime/2, Request{}, "v1"), "")
	restarted := twoVersions(1)[0]
	restarted.StartedAt, restarted.Version = 2, "v1"
	table.Apply([]registry.Instance{restarted})
	assert.Equal(t, versionOfChoice(table, time.Minute+restartNoticeTime/2, Request{}, "v1"), "v1")
}

// Guards against the first engine of a new version that restarts under its ID: no listed instance runs that
// version yet.
func TestSeenEndRaisesADoubtWithoutASecondVersionInTheList(t *testing.T) {
	for name, raise := range map[string]func(table *Table, incarnation registry.Incarnation){
		"end seen": func(table *Table, incarnation registry.Incarnation) {
			table.SetInformed(0, true)
			table.ConnectionRefused(0, incarnation)
			table.RunInterrupted(0, incarnation)
		},
		"run interrupted at a node that is not informed": func(table *Table, incarnation registry.Incarnation) {
			table.RunInterrupted(0, incarnation)
		},
	} {
		table := NewTable("zone-0")
		table.Apply(twoVersions(3)[:3])
		for number := range 2 {
			raise(table, registry.Incarnation{ID: fmt.Sprint("v1-", number)})
		}
		for range 10 {
			choice, found := table.Choose(time.Second, Request{Service: "llm", Version: BindVersion("v1")})
			assert.Assert(t, found && choice.ID == "v1-2", "%s: %s", name, choice.ID)
		}
	}
}

// Guards against streams that are not resumed after every interrupted run of a service with one version.
func TestInterruptedRunsRaiseNoDoubtWhileThereIsOneVersion(t *testing.T) {
	table := NewTable("zone-0")
	table.Apply(twoVersions(3)[:3])
	table.SetInformed(0, true)
	for number := range 3 {
		table.RunInterrupted(0, registry.Incarnation{ID: fmt.Sprint("v1-", number)})
	}
	assert.Equal(t, versionOfChoice(table, 0, Request{}, "v1"), "v1")
}

// BenchmarkBoundChoiceAfterInterruptedRuns chooses for a bound request among 11,000 instances of a
// service with one version, while runs at some of them have broken off.
func BenchmarkBoundChoiceAfterInterruptedRuns(b *testing.B) {
	for _, interrupted := range []int{0, 300} {
		b.Run(fmt.Sprint(interrupted), func(b *testing.B) {
			table := NewTable("zone-0")
			table.Apply(twoVersions(11_000)[:11_000])
			table.SetInformed(0, true)
			for number := range interrupted {
				table.RunInterrupted(0, registry.Incarnation{ID: fmt.Sprint("v1-", number)})
			}
			for b.Loop() {
				choice, _ := table.Choose(0, Request{Service: "llm", Version: BindVersion("v1")})
				table.Done(0, choice, Served)
			}
		})
	}
}
