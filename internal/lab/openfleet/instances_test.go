package openfleet

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ravenway/ravenway/internal/coordination/registry"
)

// Guards against instances that are forgotten when all machines lose power and no engine sends
// heartbeats. An instance that had left before must not reappear.
func TestInstancesSurviveAPowerLossOfAllMachines(t *testing.T) {
	withFleet(t, 3, func(t *testing.T, f *Fleet) {
		assert.NilError(t, f.Machine("control-0").running().Leave(f.ctx, registry.Incarnation{ID: "app-a"}))
		time.Sleep(4 * time.Second)
		f.stopHeartbeats()
		f.PowerOffAll()
		f.BootAll()
		assert.NilError(t, f.WaitFor(1500*time.Millisecond, "a request to be served", func() bool {
			response, err := f.Request("entry-0", CallerRequest{ID: "known", Path: "/safe/x", Key: "key-one"})
			return err == nil && response.Status == http.StatusOK
		}))
		// Requests with tokens may be refused with a retry time until there is a leader, which
		// holds the root accounts of the budgets and grants their tokens to entry nodes.
		assert.NilError(t, f.WaitFor(3*time.Second, "tokens at each entry node", func() bool {
			for _, entry := range f.MachineNames(false) {
				if response, err := f.Request(entry, newRequest("tokens", "/safe/x")); err != nil || response.Status != http.StatusOK {
					return false
				}
			}
			return true
		}))
		since := requestAll(t, f, "after")
		for _, run := range f.GroundTruth.Runs() {
			assert.Assert(t, run.Instance != "app-a" || run.Arrived < since)
		}
	})
}

// Guards against a file of instances, torn by a power loss, that prevents a control node from starting.
func TestTornInstanceFileIsIgnored(t *testing.T) {
	withFleet(t, 1, func(t *testing.T, f *Fleet) {
		time.Sleep(4 * time.Second)
		for _, name := range f.MachineNames(true) {
			f.Kill(name)
			assert.NilError(t, f.Machine(name).Disk.Truncate("instances", 20))
			f.Boot(name)
		}
		time.Sleep(3 * time.Second)
		response, err := f.Request("entry-0", CallerRequest{ID: "torn", Path: "/safe/x", Key: "key-one"})
		assert.NilError(t, err)
		assert.Equal(t, response.Status, http.StatusOK)
	})
}
