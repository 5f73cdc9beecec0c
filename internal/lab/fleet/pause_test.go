package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ravenway/ravenway/internal/lab/deployment"
	"github.com/ravenway/ravenway/internal/lab/emulator"
	"github.com/ravenway/ravenway/internal/lab/load"
	"github.com/ravenway/ravenway/internal/lab/pausecheck"
)

// Guards against engines that ask for a pause and go on getting the requests of callers who
// use the OpenAI-style interface.
func TestEngineThatAsksForAPauseGetsNothingInIt(t *testing.T) {
	inFleet(t, deployment.ZameenHaq(), func(t *testing.T, f *Fleet) {
		var pausing []*emulator.Engine
		for _, backend := range f.Plan.Catalog().GetBackends() {
			if engine := f.Emulator.Engine(backend.GetName()); engine != nil && len(pausing) < f.Plan.Engines/3 {
				pausing = append(pausing, engine)
			}
		}
		report, ledger := underLoad(t, f, load.Options{Rate: 40, Duration: 15 * time.Second, Seed: 48, Retry: true}, func() {
			time.Sleep(2 * time.Second)
			for _, engine := range pausing {
				engine.SetPause(3 * time.Second)
			}
			time.Sleep(8 * time.Second)
			for _, engine := range pausing {
				engine.SetPause(0)
			}
		})
		t.Log(report)
		asked := 0
		for number, engine := range pausing {
			most, pauses := engine.InPause()
			asked += pauses
			assert.Check(t, most <= pausecheck.Allowed, "engine %d got %d requests of a node in a pause", number, most)
		}
		t.Logf("%d pauses asked for", asked)
		assert.Check(t, asked > 0)
		assert.Equal(t, report.Outcomes[load.Whole], report.Sent, "%s", report)
		assert.NilError(t, f.Check(ledger, 60*time.Second))
	})
}
