package simulate

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestClaimsUnderRestartsOfAcceptorsWithoutDisks(t *testing.T) {
	runSeeds(t, seedsInCI, func(seed uint64) *World { return RunClaims(seed, ClaimsNoDefect) })
}

func TestSimulationDetectsAcceptorThatRespondsWithoutRecovery(t *testing.T) {
	broken := firstBrokenInvariant(t, 200, func(seed uint64) *World { return RunClaims(seed, ClaimsWithoutRecovery) })
	assert.Assert(t, broken != nil)
}
