package simulate

import (
	"testing"

	"gotest.tools/v3/assert"
)

// No replica meets a command that its build can't read, none is parted from the others, and
// the log's version rises once all have the newer build, whatever order they are given it in.
func TestGroupOfTwoBuildsHoldsOneLogUnderFaults(t *testing.T) {
	runSeeds(t, seedsInCI, func(seed uint64) *World { return RunUpgrade(seed, UpgradeNoDefect) })
}

func TestUpgradeSimulationNoticesDefects(t *testing.T) {
	t.Parallel()
	for name, defect := range map[string]UpgradeDefect{
		"raise for the leader alone": RaiseForTheLeaderAlone, "newer without raise": NewerWithoutRaise, "back without looking": BackWithoutLooking,
		"look before the stop": LookBeforeTheStop,
	} {
		broken := brokenSeed(t, 200, func(seed uint64) *World { return RunUpgrade(seed, defect) })
		assert.ErrorContains(t, broken, "can't read", name)
	}
}

// Found by 10,000 seeds, in ways of going back that seemed safe. The operator had stopped a
// machine, waited and read the version while a raise that was proposed before was still to be
// committed: only an acknowledged write shows that none is under way. Or the machine had lost
// its disk and was no member yet, so that the raise did not wait for it.
func TestGoingBackMayBeOvertakenByARaise(t *testing.T) {
	t.Parallel()
	assert.ErrorContains(t, RunUpgrade(927, LookWithoutAWrite).Broken, "can't read")
	for _, seed := range []uint64{4406, 5356} {
		assert.ErrorContains(t, RunUpgrade(seed, BackThoughNobodyWaits).Broken, "can't read")
	}
}
