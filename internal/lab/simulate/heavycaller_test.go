package simulate

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// runHeavyCallers adds up the results of several seeds.
func runHeavyCallers(policy HeavyCallerPolicy, share float64) HeavyCallerResult {
	var total HeavyCallerResult
	for seed := range uint64(3) {
		result := RunHeavyCaller(HeavyCallerOptions{Seed: seed + 1, Policy: policy, HeavyShare: share, Length: 20 * time.Second})
		total.Requests += result.Requests
		total.InTime += result.InTime
		total.Late += result.Late
		total.Refused += result.Refused
		total.LightLate += result.LightLate
		total.LightRequests += result.LightRequests
		total.TurnedAway += result.TurnedAway
		total.Moves += result.Moves
		total.MostWaiting = max(total.MostWaiting, result.MostWaiting)
	}
	return total
}

// Guards against late and refused requests when one caller sends a large share of a zone's requests
// to one of 62 small machines.
func TestHeavyCallerDoesNotDelayItsNode(t *testing.T) {
	for _, share := range []float64{0.4, 0.55, 0.7} {
		lostShare := map[HeavyCallerPolicy]float64{}
		for policy, name := range []string{"serve all", "readiness", "refuse heavy", "both"} {
			total := runHeavyCallers(HeavyCallerPolicy(policy), share)
			lostShare[HeavyCallerPolicy(policy)] = ratio(total.Late+total.Refused, total.Requests)
			t.Logf("share %.2f, %-9s: %d requests, in time %.4f, late %.4f (of light callers' %.4f), refused %.4f, first tries refused %.4f, moves %d, maximum waiting %d",
				share, name, total.Requests, ratio(total.InTime, total.Requests), ratio(total.Late, total.Requests), ratio(total.LightLate, total.LightRequests),
				ratio(total.Refused, total.Requests), ratio(total.TurnedAway, total.Requests), total.Moves, total.MostWaiting)
		}
		assert.Assert(t, lostShare[RefuseHeavy] < 0.01, "%.4f of the requests were late or refused", lostShare[RefuseHeavy])
		if share == 0.7 {
			// The load is high enough for the earlier policy, readiness alone, to fail.
			assert.Assert(t, lostShare[ShedByReadiness] > 0.2, "only %.4f are lost without a gate", lostShare[ShedByReadiness])
		}
	}
}

func ratio(count, of int) float64 { return float64(count) / float64(max(1, of)) }
