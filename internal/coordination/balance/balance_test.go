package balance

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ravenway/ravenway/internal/coordination/registry"
)

func instances(count int) []registry.Instance {
	var all []registry.Instance
	for number := range count {
		all = append(all, registry.Instance{
			ID: fmt.Sprintf("i-%d", number), Service: "llm", Address: fmt.Sprintf("10.0.0.%d:1", number),
			Zone: string(rune('a' + number%3)), Slots: 64, State: registry.Ready,
		})
	}
	return all
}

func tableOf(zone string, all []registry.Instance) *Table {
	table := NewTable(zone)
	table.Apply(all)
	return table
}

func TestNodesAgreeOnTheHomeOfAPartWithoutCommunicating(t *testing.T) {
	one, other := tableOf("a", instances(12)), tableOf("b", instances(12))
	for number := range 50 {
		request := Request{Service: "llm", PromptPart: fmt.Sprintf("part-%d", number), Cost: 1}
		first, _ := one.Choose(0, request)
		second, _ := other.Choose(0, request)
		assert.Equal(t, first.ID, second.ID)
		one.Done(0, first, Served)
		other.Done(0, second, Served)
	}
}

func TestPartOfABusyInstanceSpillsOver(t *testing.T) {
	table := tableOf("a", instances(12))
	request := Request{Service: "llm", PromptPart: "hot", Cost: 1}
	seen := map[string]int{}
	for range 30 {
		choice, found := table.Choose(0, request)
		assert.Assert(t, found)
		seen[choice.ID]++
	}
	assert.Assert(t, len(seen) >= 3, "%v", seen)
}

func TestDrainingInstanceIsNotChosen(t *testing.T) {
	all := instances(2)
	all[0].State = registry.Draining
	table := tableOf("a", all)
	for range 10 {
		choice, _ := table.Choose(0, Request{Service: "llm"})
		assert.Equal(t, choice.ID, "i-1")
	}
}

func TestUnreachableInstanceIsAvoidedAndTriedAgain(t *testing.T) {
	table := tableOf("a", instances(2))
	choice, _ := table.Choose(0, Request{Service: "llm"})
	table.Done(0, choice, Unreachable)
	next, _ := table.Choose(time.Millisecond, Request{Service: "llm"})
	assert.Assert(t, next.ID != choice.ID)
	table.Done(0, next, Served)
	again, _ := table.Choose(time.Second, Request{Service: "llm"})
	assert.Equal(t, again.ID, choice.ID)
}

func TestInstanceThatFailsMoreThanOthersIsAvoided(t *testing.T) {
	table := tableOf("a", instances(3))
	for range 20 {
		choice, _ := table.Choose(0, Request{Service: "llm"})
		outcome := Served
		if choice.ID == "i-0" {
			outcome = Failed
		}
		table.Done(0, choice, outcome)
	}
	chosen := 0
	for range 20 {
		choice, _ := table.Choose(0, Request{Service: "llm"})
		if choice.ID == "i-0" {
			chosen++
		}
		table.Done(0, choice, Served)
	}
	assert.Equal(t, chosen, 0)
}

// Guards against a delay of all requests after a zone is partitioned: every node tried each of its
// engines, and each attempt took a full connect timeout.
func TestPartitionedZoneIsDetectedFromTwoUnreachableInstances(t *testing.T) {
	table := tableOf("a", instances(12))
	now, lost := time.Duration(0), 0
	for turn := range 60 {
		now += 20 * time.Millisecond
		choice, _ := table.Choose(now, Request{Service: "llm", PromptPart: fmt.Sprintf("part-%d", turn), Cost: 1})
		outcome := Served
		if choice.Zone == "b" {
			outcome = Unreachable
			lost++
		}
		table.Done(now, choice, outcome)
	}
	assert.Assert(t, lost <= 6, "%d requests failed at the partitioned zone", lost)
	table.Done(now, Choice{Instance: instances(2)[1]}, Served)
	recovered := 0
	for turn := range 60 {
		now += 100 * time.Millisecond
		choice, _ := table.Choose(now, Request{Service: "llm", PromptPart: fmt.Sprintf("part-%d", turn), Cost: 1})
		if choice.Zone == "b" {
			recovered++
		}
		table.Done(now, choice, Served)
	}
	assert.Assert(t, recovered > 5, "%d", recovered)
}

func TestRetriesStayWithinTheNodesShareOfTheWindow(t *testing.T) {
	budget := NewRetryBudget()
	policy := RetryPolicy{Window: 10 * time.Second, Ratio: 0.2, Slack: 14, Nodes: 7}
	for range 100 {
		budget.RecordRequest(0, "llm", policy)
	}
	taken := 0
	for range 100 {
		if budget.Take(time.Second, "llm", policy) {
			taken++
		}
	}
	assert.Equal(t, taken, 15)
	assert.Assert(t, !budget.Take(9*time.Second, "llm", policy))
	assert.Assert(t, budget.Take(12*time.Second, "llm", policy))
}

// Guards against attempts at an incarnation that is gone: after five engines had crashed and
// restarted, every node kept trying their old incarnations until the registry removed them.
func TestReplacedInstanceIsNeverTriedAgain(t *testing.T) {
	table := tableOf("a", instances(2))
	choice, _ := table.Choose(0, Request{Service: "llm"})
	table.Done(0, choice, Replaced)
	for second := range 100 {
		table.Apply(instances(2))
		next, found := table.Choose(time.Duration(second)*time.Second, Request{Service: "llm"})
		assert.Assert(t, found && next.ID != choice.ID)
		table.Done(0, next, Served)
	}
}
