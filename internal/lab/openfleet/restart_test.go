package openfleet

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ravenway/ravenway/internal/coordination/registry"
)

// restart ends an engine, and starts it again under its id some time later.
func (f *Fleet) restart(id string, away time.Duration) *Engine {
	before := f.engines[id]
	f.EndEngine(before)
	time.Sleep(away)
	after := f.AddEngine(id, before.Service, before.Zone)
	after.Set(func(e *Engine) { e.Events = before.Events })
	return after
}

// onlyEngine leaves one engine to a service.
func (f *Fleet) onlyEngine(service string) string {
	for _, zone := range zones[1:] {
		f.EndEngine(f.engines[service+"-"+zone])
	}
	return service + "-" + zones[0]
}

// An engine that starts again under its id counts its heartbeats from one. The nodes had
// heard higher counts of its life before; they must use it all the same, within the time
// of one heartbeat and for good, whether it was away for less than one or for seconds.
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
				assert.NilError(t, f.WaitFor(heartbeatInterval+time.Second, "an answer", answers))
				// Its lease must run from the heartbeats of the new life.
				time.Sleep(registry.DefaultLease + heartbeatInterval)
				assert.Assert(t, answers(), "the engine's lease has ended though it says that it is ready")
			})
		})
	}
}

// An engine that ends and starts again behind a cut: the connections to its life before
// never say so. A newer life's word ends what ran there at once; a stream that may be
// resumed goes on elsewhere.
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
		// The connection stays open for the entry node; nothing comes over it any more.
		before := f.engines[id]
		before.hasEnded.Store(true)
		time.Sleep(200 * time.Millisecond)
		began := time.Now()
		renewed := before.Instance
		renewed.StartedAt, renewed.Sequence = time.Now().UnixMilli(), 1
		assert.NilError(t, f.Heartbeat(renewed))
		answer := <-answers
		assert.NilError(t, answer.Broken)
		assert.Equal(t, answer.Body, events("r1", 5))
		assert.Assert(t, time.Since(began) < 3*time.Second, "resumed and ended %s after the newer life's word", time.Since(began))
	})
}
