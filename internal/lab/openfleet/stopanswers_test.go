package openfleet

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ravenway/ravenway/internal/settings"
)

// Guards against requests that are passed on in a planned stop and get no answer before the node closes their
// connections: their route's timeout is longer than the time that the node has. Through a relay, too.
func TestRequestsThatOutlastAPlannedStopAreAnswered(t *testing.T) {
	for _, isRelayed := range []bool{false, true} {
		t.Run(fmt.Sprintf("relayed %v", isRelayed), func(t *testing.T) {
			withFleet(t, 3, func(t *testing.T, f *Fleet) {
				patient := configuration(2)
				for position := range patient.Routes {
					patient.Routes[position].Timeout, patient.Routes[position].Objective = time.Minute, 20*time.Second
				}
				assert.NilError(t, f.PutConfiguration(patient, 8*time.Second))
				f.enginesMutex.Lock()
				for _, engine := range f.engines {
					engine.Update(func(e *Engine) { e.WorkTime = 2 * settings.DefaultStopGrace })
				}
				f.enginesMutex.Unlock()
				if isRelayed {
					f.Network.PartitionBetween([]string{"entry-0"}, f.engineMachines())
				}
				time.Sleep(3 * time.Second)
				var calls sync.WaitGroup
				paths := []string{"/safe/x", "/once/x"}
				for number := range 40 {
					calls.Go(func() {
						// From two seconds before the stop to its last second.
						time.Sleep(time.Duration(number) * 220 * time.Millisecond)
						call := newRequest(fmt.Sprint("outlasts-", number), paths[number%len(paths)])
						response, err := f.Request("entry-0", call)
						assert.Check(t, err == nil && response.BodyError == nil && response.Status >= http.StatusInternalServerError, "%s: status %d, %v, %v", call.ID, response.Status, err, response.BodyError)
						if response.Status == http.StatusServiceUnavailable {
							hasRun := slices.ContainsFunc(f.GroundTruth.Runs(), func(run Run) bool { return run.Request == call.ID })
							assert.Check(t, !hasRun, "%s was refused and has run", call.ID)
						}
					})
				}
				time.Sleep(2 * time.Second)
				_ = f.Stop("entry-0")
				calls.Wait()
			})
		})
	}
}
