package openfleet

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ravenway/ravenway/internal/coordination/registry"
)

// restart crashes an engine, and some time later starts it again with the same id.
func (f *Fleet) restart(id string, away time.Duration) *Engine {
	before := f.engines[id]
	f.EndEngine(before)
	time.Sleep(away)
	after := f.AddEngine(id, before.Service, before.Zone)
	after.Set(func(e *Engine) { e.Events = before.Events })
	return after
}

// onlyEngine crashes all but one engine of a service and returns the id of the remaining one.
func (f *Fleet) onlyEngine(service string) string {
	for _, zone := range zones[1:] {
		f.EndEngine(f.engines[service+"-"+zone])
	}
	return service + "-" + zones[0]
}

// Guards against an engine that gets no requests after it restarted with the same id. It counts its
// heartbeats from one, while the nodes know higher counts of its previous incarnation. They must use it
// within one heartbeat interval and permanently, whether it was gone for less than that or for seconds.
func TestEngineThatStartsAgainUnderItsIDGetsWorkAgain(t *testing.T) {
	for _, away := range []time.Duration{200 * time.Millisecond, 4 * time.Second} {
		t.Run(away.String(), func(t *testing.T) {
			inFleet(t, 2, func(t *testing.T, f *Fleet) {
				id := f.onlyEngine("llm")
				time.Sleep(2 * registry.DefaultLease)
				f.restart(id, away)
				answers := func() bool {
					answer, err := f.Request("entry-0", ask(fmt.Sprint("r", time.Now().UnixNano()), "/stream/x"))
					return err == nil && answer.Status == http.StatusOK && answer.Broken == nil
				}
				assert.NilError(t, f.WaitFor(heartbeatInterval+time.Second, "a response of the restarted engine", answers))
				// Its lease must be renewed by the heartbeats of the new incarnation.
				time.Sleep(registry.DefaultLease + heartbeatInterval)
				assert.Assert(t, answers(), "the engine's lease has expired although its heartbeats report that it is ready")
			})
		})
	}
}

// Guards against streams that hang when an engine restarts behind a partition, where the connections
// to its previous incarnation do not break. The first heartbeat of the newer incarnation must end the
// requests in flight there immediately, and a resumable stream continues at another engine.
func TestNewerLifeEndsTheStreamsOfTheOneBeforeItBehindACut(t *testing.T) {
	inFleet(t, 1, func(t *testing.T, f *Fleet) {
		for _, zone := range zones {
			f.engines["llm-"+zone].Set(func(e *Engine) { e.Work = 300 * time.Millisecond })
		}
		answers := make(chan Answer, 1)
		go func() {
			answer, _ := f.Request("entry-0", ask("r1", "/resumable/x"))
			answers <- answer
		}()
		time.Sleep(400 * time.Millisecond)
		runs := f.Truth.Runs()
		id := runs[len(runs)-1].Instance
		f.Network.CutBetween([]string{id}, []string{"entry-0"})
		// For the entry node the connection stays open, but nothing arrives over it.
		before := f.engines[id]
		before.hasEnded.Store(true)
		time.Sleep(200 * time.Millisecond)
		began := time.Now()
		renewed := before.Instance
		renewed.Born, renewed.Sequence = time.Now().UnixMilli(), 1
		assert.NilError(t, f.Heartbeat(renewed))
		answer := <-answers
		assert.NilError(t, answer.Broken)
		assert.Equal(t, answer.Body, events("r1", 5))
		assert.Assert(t, time.Since(began) < 3*time.Second, "resumed and completed %s after the heartbeat of the newer incarnation", time.Since(began))
	})
}
