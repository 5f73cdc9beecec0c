package rollout

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func order(service, version string, atSecond int64) Order {
	return Order{Service: service, Version: version, Duration: 12 * time.Second, OrderedMS: atSecond * 1000}
}

func TestOrderStartsARolloutOnlyOnce(t *testing.T) {
	set, response := Set{}.ApplyOrder(7, order("llm", "v2", 0))
	assert.Equal(t, response, Started)
	again, response := set.ApplyOrder(8, order("llm", "v2", 3))
	assert.Equal(t, response, InProgress)
	assert.Equal(t, again.Revision, uint64(7))
	_, response = set.ApplyOrder(9, order("llm", "v3", 3))
	assert.Equal(t, response, OtherInProgress)
	other, response := set.ApplyOrder(10, order("app", "v3", 3))
	assert.Equal(t, response, Started)
	assert.Equal(t, other.Rollouts[0].Service, "app")
	assert.Equal(t, other.Rollouts[1].Service, "llm")
	assert.Equal(t, len(set.Rollouts), 1, "ApplyOrder must not change the set that it is called on")
}

// Guards against a repeated order restarting the rollout of a bad version: the operator lost
// the acknowledgement, and the version was rolled back before the order was repeated.
func TestRepeatedOrderDoesNotRestartARolledBackVersion(t *testing.T) {
	set, _ := Set{}.ApplyOrder(7, order("llm", "v2", 0))
	set = set.Advance(8, Step{Service: "llm", Rollout: 7, Stage: RolledBack, Reason: "it fails"})
	_, response := set.ApplyOrder(9, order("llm", "v2", 4))
	assert.Equal(t, response, InProgress)
	later, response := set.ApplyOrder(10, order("llm", "v2", 60))
	assert.Equal(t, response, Started)
	started, _ := later.Find("llm")
	assert.Equal(t, started.Stage, Canary)
	_, response = set.ApplyOrder(11, order("llm", "v3", 4))
	assert.Equal(t, response, Started)
}

func TestStagesOfARolloutOnlyAdvance(t *testing.T) {
	set, _ := Set{}.ApplyOrder(7, order("llm", "v2", 0))
	for index, step := range []struct {
		rollout uint64
		stage   Stage
		want    Stage
	}{{6, RolledBack, Canary}, {7, Canary, Canary}, {7, Moving, Moving}, {7, Canary, Moving}, {7, Done, Done}, {7, RolledBack, Done}} {
		set = set.Advance(uint64(20+index), Step{Service: "llm", Rollout: step.rollout, Stage: step.stage})
		known, found := set.Find("llm")
		assert.Assert(t, found)
		assert.Equal(t, known.Stage, step.want, "step %d", index)
	}
	assert.Equal(t, set.Revision, uint64(24))
	_, found := set.Find("app")
	assert.Assert(t, !found)
}
