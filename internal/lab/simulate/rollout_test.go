package simulate

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	state "github.com/ravenway/ravenway/internal/state/rollout"
)

func rolledBack(results []RolloutResult) int {
	count := 0
	for _, result := range results {
		if result.Stage == state.RolledBack {
			count++
		}
	}
	return count
}

const rolloutSeeds = 5

// Guards against bad versions that are not rolled back. Each version that harms at least a tenth of
// its responses must be rolled back, also during faults, and its exposure is bounded: to a tenth of
// the requests plus 50, and to five seconds after its 50th bad response.
func TestBadVersionIsRolledBackWithinItsExposure(t *testing.T) {
	for name, harm := range map[string]Harm{
		"a tenth fails": {Failing: 0.1}, "half fails": {Failing: 0.5}, "half fails later": {Failing: 0.5, From: 4 * time.Second},
		"half of one route fails": {Failing: 0.5, OneRoute: true}, "twice as slow": {Slow: 1, SlowBy: 2}, "eight times as slow": {Slow: 1, SlowBy: 8},
		"a third is slow": {Slow: 0.3, SlowBy: 4}, "a fifth fails under load": {Failing: 0.2, UnderLoad: true},
	} {
		for _, fault := range []RolloutFault{NoRolloutFault, EnginesCrash, LeaderLost} {
			results := RunRollouts(harm, fault, rolloutSeeds)
			assert.Equal(t, rolledBack(results), rolloutSeeds, "%s, %s", name, fault)
			for seed, result := range results {
				assert.Assert(t, float64(result.ToNew) <= 0.1*float64(result.Requests)+50, "%s, %s, seed %d: %d of %d", name, fault, seed, result.ToNew, result.Requests)
				assert.Assert(t, result.Fiftieth == 0 || result.LastToNew <= result.Fiftieth+5*time.Second, "%s, %s, seed %d", name, fault, seed)
			}
		}
	}
}

// Guards against rollbacks of good versions. Faults that affect both versions, or that crash or
// overload some instances of the new one, must not decide the rollout.
func TestGoodVersionCompletesInTimeDespiteFaults(t *testing.T) {
	for _, fault := range []RolloutFault{NoRolloutFault, EnginesCrash, NodeFreezes, LeaderLost} {
		for seed, result := range RunRollouts(Harm{}, fault, rolloutSeeds) {
			assert.Equal(t, result.Stage, state.Done, "%s, seed %d: %s", fault, seed, result.Reason)
			assert.Assert(t, result.EndedAt < 12*time.Second)
		}
	}
}
