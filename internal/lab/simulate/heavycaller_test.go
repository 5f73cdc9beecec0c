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
		one := RunHeavyCaller(HeavyCallerOptions{Seed: seed + 1, Policy: policy, HeavyShare: share, Length: 20 * time.Second})
		total.Requests += one.Requests
		total.InTime += one.InTime
		total.Late += one.Late
		total.Refused += one.Refused
		total.LightLate += one.LightLate
		total.LightRequests += one.LightRequests
		total.TurnedAway += one.TurnedAway
		total.Moves += one.Moves
		total.MostWaiting = max(total.MostWaiting, one.MostWaiting)
	}
	return total
}

// Guards against late and refused requests when one caller sends a large share of a zone's requests
// to one of 62 small machines.
func TestHeavyCallerDoesNotMakeItsNodeLate(t *testing.T) {
	for _, share := range []float64{0.4, 0.55, 0.7} {
		lost := map[HeavyCallerPolicy]float64{}
		for policy, name := range []string{"take all", "readiness", "turn away", "both"} {
			total := runHeavyCallers(HeavyCallerPolicy(policy), share)
			lost[HeavyCallerPolicy(policy)] = part(total.Late+total.Refused, total.Requests)
			t.Logf("share %.2f, %-9s: %d requests, in time %.4f, late %.4f (of light callers' %.4f), refused %.4f, turned away %.4f, moves %d, most waiting %d",
				share, name, total.Requests, part(total.InTime, total.Requests), part(total.Late, total.Requests), part(total.LightLate, total.LightRequests),
				part(total.Refused, total.Requests), part(total.TurnedAway, total.Requests), total.Moves, total.MostWaiting)
		}
		assert.Assert(t, lost[TurnAwayHeavy] < 0.01, "%.4f of the requests were late or refused", lost[TurnAwayHeavy])
		if share == 0.7 {
			// The load is high enough for the earlier policy, readiness alone, to fail.
			assert.Assert(t, lost[ShedByReadiness] > 0.2, "only %.4f are lost without a gate", lost[ShedByReadiness])
		}
	}
}

func part(count, of int) float64 { return float64(count) / float64(max(1, of)) }
