package fleet

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ravenway/ravenway/internal/lab/deployment"
	"github.com/ravenway/ravenway/internal/lab/load"
)

// chaosSeeds is the number of seeds per deployment in CI; the environment variable RAVENWAY_CHAOS_SEEDS
// overrides it for long runs.
const chaosSeeds = 3

func seedsToRun(t *testing.T) int {
	t.Helper()
	text := os.Getenv("RAVENWAY_CHAOS_SEEDS")
	if text == "" {
		return chaosSeeds
	}
	count, err := strconv.Atoi(text)
	assert.NilError(t, err)
	return count
}

// Guards against violated guarantees under faults of all kinds, single and combined, on both
// deployments. The guarantees are checked against the back ends' ground truth after the repair.
func TestGuaranteesHoldUnderRandomFaults(t *testing.T) {
	for _, plan := range []deployment.Plan{deployment.ZameenHaq(), deployment.Drukwacht()} {
		for seed := range seedsToRun(t) {
			t.Run(fmt.Sprintf("%s-%d", plan.Name, seed), func(t *testing.T) {
				withFleet(t, plan, func(t *testing.T, f *Fleet) {
					chaos := NewChaos(f, uint64(seed))
					report, err := chaos.Run(uint64(seed), 40*time.Second)
					t.Log(report, chaos.Faults)
					assert.NilError(t, err, "seed %d, faults %v", seed, chaos.Faults)
					assert.Equal(t, report.Outcomes[load.Wrong], 0)
				})
			})
		}
	}
}
