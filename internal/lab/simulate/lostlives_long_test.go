package simulate

import (
	"os"
	"strconv"
	"testing"
)

// By hand, with a number of seeds in RAVENWAY_LOST_LIVES_SEEDS.
func TestManySeedsOfLostLives(t *testing.T) {
	seeds, err := strconv.Atoi(os.Getenv("RAVENWAY_LOST_LIVES_SEEDS"))
	if err != nil {
		t.Skip("RAVENWAY_LOST_LIVES_SEEDS is not set")
	}
	for _, pooled := range []bool{true, false} {
		runSeeds(t, seeds, func(seed uint64) *World { return RunLostLives(LostLivesOptions{Seed: seed, Pooled: pooled}).World })
	}
}
