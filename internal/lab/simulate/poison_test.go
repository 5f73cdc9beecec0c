package simulate

import (
	"testing"

	"gotest.tools/v3/assert"
)

// poisonSeedsInCI is the number of seeds of each case below.
const poisonSeedsInCI = 3

// sumPoisonRuns adds up the results of all seeds of a case, and checks their invariants.
func sumPoisonRuns(t *testing.T, options PoisonOptions) (sum PoisonResult) {
	t.Helper()
	for seed := range uint64(poisonSeedsInCI) {
		options.Seed = seed
		result := RunPoison(options)
		assert.NilError(t, result.Violation, "seed %d", seed)
		sum.Crashes += result.Crashes
		sum.LateRuns = max(sum.LateRuns, result.LateRuns)
		sum.Requests += result.Requests
		sum.Served += result.Served
		sum.Refused += result.Refused
	}
	return sum
}

// Guards against the failure of the incident: a poison request must be kept from further engines,
// regardless of what else fails, and at most one in a thousand of the other requests may be taken
// for poison.
func TestPoisonRequestsAreQuarantinedAndOthersServed(t *testing.T) {
	t.Parallel()
	for name, options := range map[string]PoisonOptions{
		"one": {PoisonRequests: 1}, "two": {PoisonRequests: 2}, "heads lost": {PoisonRequests: 1, CrashesBeforeResponse: true},
		"beside failures": {PoisonRequests: 1, OtherCrashes: true, IdenticalRequests: true},
	} {
		t.Run(name, func(t *testing.T) {
			options.Policy = WeighCrashesWithoutRetries
			sum := sumPoisonRuns(t, options)
			assert.Assert(t, sum.LateRuns <= maximumLateRuns)
			assert.Assert(t, sum.Refused*1000 <= sum.Requests, "%d of %d requests were taken for poison", sum.Refused, sum.Requests)
			assert.Assert(t, sum.Crashes <= 15*poisonSeedsInCI, "%d engines crashed", sum.Crashes)
		})
	}
}

func TestOtherEngineFailuresQuarantineNoRequest(t *testing.T) {
	t.Parallel()
	sum := sumPoisonRuns(t, PoisonOptions{Policy: WeighCrashesWithoutRetries, OtherCrashes: true, IdenticalRequests: true})
	assert.Equal(t, sum.Refused, 0)
}

// Merely counting crashes refuses requests that caused none, which is why crashes are weighed.
func TestCountingPresenceRefusesHarmlessRequests(t *testing.T) {
	t.Parallel()
	sum := sumPoisonRuns(t, PoisonOptions{Policy: CountPresence, OtherCrashes: true, IdenticalRequests: true})
	assert.Assert(t, sum.Refused > 0)
}

// The behaviour before the quarantine: nothing is recorded against a request.
func TestPoisonRequestsKeepCrashingEnginesWithoutQuarantine(t *testing.T) {
	t.Parallel()
	sum := sumPoisonRuns(t, PoisonOptions{Policy: RecordNothing, PoisonRequests: 1})
	assert.Assert(t, sum.LateRuns > 50*maximumLateRuns/3)
	assert.Assert(t, sum.Served*2 < sum.Requests)
}

// crashingPartSeedsInCI is the number of seeds of each case of crashing parts, and lossSeedsInCI that of the
// cases of engines that crash for other reasons only, which take longer.
const crashingPartSeedsInCI, lossSeedsInCI = 3, 1

// sumSeeds adds up the results of some seeds of a case, and checks their invariants.
func sumSeeds(t *testing.T, seeds uint64, options PoisonOptions) (sum PoisonResult) {
	t.Helper()
	options.Policy = WeighCrashesWithoutRetries
	for seed := range seeds {
		options.Seed = seed
		result := RunPoison(options)
		assert.NilError(t, result.Violation, "seed %d", seed)
		sum.Requests += result.Requests
		sum.Refused += result.Refused
		sum.LatePartRuns = max(sum.LatePartRuns, result.LatePartRuns)
		sum.SoundInTrouble += result.SoundInTrouble
		sum.ServedInTrouble += result.ServedInTrouble
	}
	return sum
}

// Guards against a part of prompts that crashes one engine after the other, whatever else happens, and
// against refusing sound requests for it.
func TestCrashingPartsOfPromptsAreQuarantinedAndSoundRequestsServed(t *testing.T) {
	t.Parallel()
	popular := PoisonPartOptions{IsUsed: true, Crashing: 1, IsPopular: true}
	for name, options := range map[string]PoisonOptions{
		"after a popular part":    {Parts: popular},
		"after a rare part":       {Parts: PoisonPartOptions{IsUsed: true, Crashing: 1}},
		"before parts of its own": {Parts: PoisonPartOptions{IsUsed: true, Crashing: 1, HasFollowers: true}},
		"two at once":             {Parts: PoisonPartOptions{IsUsed: true, Crashing: 2, IsPopular: true}},
		"beside a poison request": {Parts: popular, PoisonRequests: 1},
		"beside other crashes":    {Parts: popular, OtherCrashes: true},
		"heads lost":              {Parts: popular, CrashesBeforeResponse: true},
		"in a partition":          {Parts: popular, Partition: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sum := sumSeeds(t, crashingPartSeedsInCI, options)
			assert.Assert(t, sum.Refused*1000 <= sum.Requests, "%d of %d sound requests were refused", sum.Refused, sum.Requests)
			share := float64(sum.ServedInTrouble) / float64(sum.SoundInTrouble)
			assert.Assert(t, share >= 0.95, "%.3f of the sound requests were served at their first attempt", share)
		})
	}
}

// Guards against holding a part of prompts for engines that crash for other reasons: in series, and half of
// them at once, while nine of ten requests have the part, or none is popular.
func TestOtherEngineFailuresQuarantineNoPart(t *testing.T) {
	t.Parallel()
	for _, isPopular := range []bool{false, true} {
		sum := sumSeeds(t, lossSeedsInCI, PoisonOptions{OtherCrashes: true, Parts: PoisonPartOptions{IsUsed: true, IsPopular: isPopular, SeriesOfCrashes: true}})
		assert.Equal(t, sum.Refused, 0)
	}
}
