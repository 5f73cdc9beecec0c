package simulate

import (
	"testing"

	"gotest.tools/v3/assert"
)

// poisonSeedsInCI are the seeds of each case below.
const poisonSeedsInCI = 3

// sumOfPoison adds up what the seeds of a case give, and holds their promises.
func sumOfPoison(t *testing.T, options PoisonOptions) (sum PoisonResult) {
	t.Helper()
	for seed := range uint64(poisonSeedsInCI) {
		options.Seed = seed
		result := RunPoison(options)
		assert.NilError(t, result.Broken, "seed %d", seed)
		sum.Ended += result.Ended
		sum.LateRuns = max(sum.LateRuns, result.LateRuns)
		sum.Requests += result.Requests
		sum.Served += result.Served
		sum.Refused += result.Refused
	}
	return sum
}

// The incident: whatever else fails, a poison request is kept from further engines, and
// of the requests beside it nearly none is taken for it.
func TestPoisonRequestsAreToldFromThoseBesideThem(t *testing.T) {
	t.Parallel()
	for name, options := range map[string]PoisonOptions{
		"one": {Poison: 1}, "two": {Poison: 2}, "heads lost": {Poison: 1, Hidden: true},
		"beside failures": {Poison: 1, Failures: true, Popular: true},
	} {
		t.Run(name, func(t *testing.T) {
			options.Policy = WeighEndsUncarried
			sum := sumOfPoison(t, options)
			assert.Assert(t, sum.LateRuns <= poisonDefectLate)
			assert.Assert(t, sum.Refused*1000 <= sum.Requests, "%d of %d requests were taken for poison", sum.Refused, sum.Requests)
			assert.Assert(t, sum.Ended <= 15*poisonSeedsInCI, "%d engines ended", sum.Ended)
		})
	}
}

func TestEnginesThatFailForOtherReasonsQuarantineNobody(t *testing.T) {
	t.Parallel()
	sum := sumOfPoison(t, PoisonOptions{Policy: WeighEndsUncarried, Failures: true, Popular: true})
	assert.Equal(t, sum.Refused, 0)
}

// Why ends are weighed and not merely counted.
func TestCountingWhoWasThereRefusesRequestsThatEndedNothing(t *testing.T) {
	t.Parallel()
	sum := sumOfPoison(t, PoisonOptions{Policy: CountPresence, Failures: true, Popular: true})
	assert.Assert(t, sum.Refused > 0)
}

// The code before: nothing is held against a request.
func TestForgottenPoisonRequestsGoOnEndingEngines(t *testing.T) {
	t.Parallel()
	sum := sumOfPoison(t, PoisonOptions{Policy: ForgetRequests, Poison: 1})
	assert.Assert(t, sum.LateRuns > 50*poisonDefectLate/3)
	assert.Assert(t, sum.Served*2 < sum.Requests)
}
