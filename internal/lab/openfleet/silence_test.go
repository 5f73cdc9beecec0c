package openfleet

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against requests in progress that are given up, or sent again though they may not be, because
// engines are silent for a second or two: they are sound and go on.
func TestRequestsInProgressOutlastSilentEngines(t *testing.T) {
	for _, lasting := range []time.Duration{500 * time.Millisecond, time.Second, 1900 * time.Millisecond} {
		for name, count := range map[string]int{"one": 1, "a_third": 4, "all": 12} {
			t.Run(fmt.Sprintf("%s/%s", name, lasting), func(t *testing.T) {
				withRateLimitedFleet(t, 4, func(t *testing.T, l *rateLimitedFleet) {
					// Half of the streams have begun when the engines fall silent, the others have not.
					l.setEngines(func(e *Engine) { e.Events, e.WorkTime = 20, 60*time.Millisecond })
					var silent []string
					for _, engine := range l.engines[:count] {
						silent = append(silent, engine.ID)
					}
					everyone := append(l.MachineNames(true), l.MachineNames(false)...)
					var running sync.WaitGroup
					for number := range 60 {
						path := []string{"/stream/x", "/resumable/x", "/once/x"}[number%3]
						running.Go(func() {
							id := fmt.Sprintf("in-progress-%d", number)
							response, err := l.Request(fmt.Sprintf("entry-%d", number%4), CallerRequest{ID: id, Path: path, Key: "key-one", Tokens: "1000,20"})
							assert.Check(t, err == nil && response.BodyError == nil && response.Status == http.StatusOK, "%s to %s: %d %v", id, path, response.Status, response.BodyError)
							assert.Check(t, response.Body == eventsText(id, 20), "%s to %s: %.40q", id, path, response.Body)
						})
						time.Sleep(10 * time.Millisecond)
					}
					l.Network.PartitionBetween(everyone, silent)
					// Callers that come meanwhile show each node the silence.
					tries := &firstTries{}
					running.Go(func() { tries.run(l, rand.New(rand.NewPCG(59, uint64(count))), 60, lasting) })
					time.Sleep(lasting)
					l.Network.Heal()
					running.Wait()
					runs := map[string]int{}
					for _, run := range l.GroundTruth.Runs() {
						runs[run.Request]++
					}
					for number := range 60 {
						id := fmt.Sprintf("in-progress-%d", number)
						assert.Check(t, runs[id] == 1, "%s ran %d times", id, runs[id])
					}
					l.assertRunsAtMostOnce(t, tries)
					// The engines are not avoided for long.
					from := l.sinceStart() + time.Second
					time.Sleep(time.Second)
					l.sendStreams(rand.New(rand.NewPCG(59, 100)), 120, 2*time.Second)
					for _, engine := range l.engines[:count] {
						assert.Check(t, len(l.arrivalsSince(engine, from)) > 0, "%s gets no requests after its silence", engine.ID)
					}
				})
			})
		}
	}
}
