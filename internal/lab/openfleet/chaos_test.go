package openfleet

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// chaosSeeds is the number of runs in CI; the environment variable RAVENWAY_CHAOS_SEEDS overrides it.
const chaosSeeds = 12

func TestGuaranteesHoldUnderRandomFaultsOnOpenFleets(t *testing.T) {
	seeds := chaosSeeds
	if text := os.Getenv("RAVENWAY_CHAOS_SEEDS"); text != "" {
		var err error
		seeds, err = strconv.Atoi(text)
		assert.NilError(t, err)
	}
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f := New(3, 3, rand.New(rand.NewPCG(seed, 2)))
				defer f.Close()
				startWithEngines(t, f)
				time.Sleep(3 * time.Second)
				violations := NewChaos(f, seed, configuration).Run()
				assert.Equal(t, len(violations), 0, "%v", violations)
			})
		})
	}
}
