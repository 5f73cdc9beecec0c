package balance

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ravenway/ravenway/internal/coordination/registry"
	"github.com/ravenway/ravenway/internal/state/rollout"
)

// twoVersions returns instances of a service's old and new version, in three zones.
func twoVersions(each int) []registry.Instance {
	var instances []registry.Instance
	for _, version := range []string{"v1", "v2"} {
		for number := range each {
			instances = append(instances, registry.Instance{
				ID: fmt.Sprintf("%s-%d", version, number), Service: "llm", Version: version, Zone: fmt.Sprint("zone-", number%3), Slots: 8, State: registry.Ready,
			})
		}
	}
	return instances
}

func inStage(stage rollout.Stage) []rollout.Rollout {
	return []rollout.Rollout{{Order: rollout.Order{Service: "llm", Version: "v2"}, Revision: 9, Stage: stage}}
}

// ended marks the instances as gone.
func ended(instances []registry.Instance) []registry.Instance {
	for position := range instances {
		instances[position].State = registry.Gone
	}
	return instances
}

// chosenVersions sends requests through a table and counts the choices by version and instance.
func chosenVersions(t *testing.T, table *Table, requests int) (byVersion, byInstance map[string]int) {
	t.Helper()
	byVersion, byInstance = map[string]int{}, map[string]int{}
	for number := range requests {
		request := Request{Service: "llm"}
		if number%2 == 0 {
			request.PromptPart, request.Tokens = fmt.Sprint("part-", number%17), 500
		}
		choice, found := table.Choose(time.Duration(number)*time.Millisecond, request)
		assert.Assert(t, found)
		byVersion[choice.Version]++
		byInstance[choice.ID]++
		table.Done(time.Duration(number)*time.Millisecond, choice, Served)
	}
	return byVersion, byInstance
}

// All nodes together send a canary no more than its share, and all to the same few instances,
// without communicating.
func TestCanaryGetsItsShareFromAllNodesTogether(t *testing.T) {
	const nodes, requests, share = 74, 60, 0.08
	total, instances := 0, map[string]int{}
	for range nodes {
		table := NewTable("zone-0")
		table.Apply(twoVersions(60))
		table.SetRollouts(inStage(rollout.Canary), RolloutShare{Share: share, Nodes: nodes})
		byVersion, byInstance := chosenVersions(t, table, requests)
		total += byVersion["v2"]
		for id, count := range byInstance {
			if id[:2] == "v2" {
				instances[id] += count
			}
		}
	}
	assert.Assert(t, float64(total) <= share*nodes*requests+initialCredits, "%d of %d", total, nodes*requests)
	assert.Assert(t, float64(total) >= share*nodes*requests/2, "%d of %d", total, nodes*requests)
	assert.Assert(t, len(instances) <= 6, "%v", instances)
}

func TestRequestThatFailedIsNotSentToTheCanary(t *testing.T) {
	table := NewTable("zone-0")
	table.Apply(twoVersions(3))
	table.SetRollouts(inStage(rollout.Canary), RolloutShare{Share: 1, Nodes: 1})
	for range 50 {
		choice, found := table.Choose(0, Request{Service: "llm", Exclude: []string{"v2-0"}})
		assert.Assert(t, found)
		assert.Equal(t, choice.Version, "v1")
	}
}

func TestRolloutStageDeterminesTheVersion(t *testing.T) {
	for stage, want := range map[rollout.Stage]string{rollout.Moving: "v2", rollout.Done: "v2", rollout.RolledBack: "v1"} {
		table := NewTable("zone-0")
		table.Apply(twoVersions(6))
		table.SetRollouts(inStage(stage), RolloutShare{Share: 0.1, Nodes: 1})
		byVersion, _ := chosenVersions(t, table, 200)
		assert.Equal(t, byVersion[want], 200, "%s: %v", stage, byVersion)
	}
	// The new version has no instances yet, so the old version keeps serving.
	table := NewTable("zone-0")
	table.Apply(twoVersions(6)[:6])
	table.SetRollouts(inStage(rollout.Moving), RolloutShare{Share: 0.1, Nodes: 1})
	byVersion, _ := chosenVersions(t, table, 20)
	assert.Equal(t, byVersion["v1"], 20)
	// A version that was rolled back receives nothing, even if no other instance is left.
	table.Apply(ended(twoVersions(6)[:6]))
	table.Apply(twoVersions(6)[6:])
	table.SetRollouts(inStage(rollout.RolledBack), RolloutShare{Share: 0.1, Nodes: 1})
	_, found := table.Choose(0, Request{Service: "llm"})
	assert.Assert(t, !found)
}

func TestRequestsInFlightAtTheOldVersionAreCounted(t *testing.T) {
	table := NewTable("zone-0")
	table.Apply(twoVersions(6))
	first, _ := table.Choose(0, Request{Service: "llm"})
	second, _ := table.Choose(0, Request{Service: "llm", Exclude: []string{first.ID}})
	assert.Equal(t, table.OldInFlight("llm"), 0, "no rollout")
	table.SetRollouts(inStage(rollout.Moving), RolloutShare{})
	old := 0
	for _, choice := range []Choice{first, second} {
		if choice.Version == "v1" {
			old++
		}
	}
	assert.Equal(t, table.OldInFlight("llm"), old)
	table.Done(0, first, Served)
	table.Done(0, second, Served)
	assert.Equal(t, table.OldInFlight("llm"), 0)
}
