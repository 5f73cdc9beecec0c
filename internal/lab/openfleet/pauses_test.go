package openfleet

import (
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	ravenwayv1 "github.com/ravenway/ravenway/api/ravenway/v1"
	"github.com/ravenway/ravenway/internal/coordination/registry"
	"github.com/ravenway/ravenway/internal/lab/pausecheck"
)

// rejectWithPause makes some engines reject all requests and request a pause.
func rejectWithPause(engines []*Engine, duration time.Duration) {
	for _, engine := range engines {
		engine.Update(func(e *Engine) { e.RejectsAll, e.Pause = true, duration })
	}
}

// assertPausesKept checks that no node sent an engine more requests than allowed during a pause that the
// engine had requested from it, and that at least one pause was requested.
func (l *rateLimitedFleet) assertPausesKept(t *testing.T, engines []*Engine) {
	t.Helper()
	requested, highest := 0, 0
	for _, engine := range engines {
		for _, node := range l.MachineNames(false) {
			maximum, pauses := l.GroundTruth.MaximumInPause(engine.ID, node)
			requested, highest = requested+pauses, max(highest, maximum)
			assert.Check(t, maximum <= pausecheck.MaximumInPause, "%s got %d requests from %s in a pause", engine.ID, maximum, node)
		}
	}
	t.Logf("%d pauses requested, at most %d requests from a node in one pause", requested, highest)
	assert.Check(t, requested > 0, "no engine requested a pause")
}

// Guards against nodes that continue to send requests to an engine during a pause that the engine has
// requested from them.
func TestEngineGetsNoRequestsInAPauseItRequested(t *testing.T) {
	for _, path := range []string{"/stream/x", "/resumable/x", "/safe/x", "/once/x"} {
		t.Run(path[1:len(path)-2], func(t *testing.T) {
			withRateLimitedFleet(t, 8, func(t *testing.T, l *rateLimitedFleet) {
				rejectWithPause(l.engines[:4], 3*time.Second)
				l.sendRequests(rand.New(rand.NewPCG(48, 1)), path, 60, 12*time.Second)
				l.assertPausesKept(t, l.engines[:4])
			})
		})
	}
}

// Guards against pauses that are ignored when no other engine is left.
func TestPausesAreRespectedIfAllEnginesRequestOne(t *testing.T) {
	withRateLimitedFleet(t, 8, func(t *testing.T, l *rateLimitedFleet) {
		rejectWithPause(l.engines, 3*time.Second)
		l.sendStreams(rand.New(rand.NewPCG(48, 2)), 60, 12*time.Second)
		l.assertPausesKept(t, l.engines)
		l.mutex.Lock()
		defer l.mutex.Unlock()
		for _, refused := range l.refusals {
			assert.Check(t, refused.waited < 200*time.Millisecond, "refused after %s", refused.waited)
			assert.Check(t, refused.retryAfter != "", refused.body)
		}
	})
}

// Guards against nodes that continue to send requests to an engine whose responses signal that it
// leaves, until its heartbeats report it too.
func TestEngineThatSignalsLeavingGetsNoMoreRequests(t *testing.T) {
	for name, change := range map[string]func(*Engine){
		"serving":   func(e *Engine) { e.IsLeaving = true },
		"rejecting": func(e *Engine) { e.IsLeaving, e.RejectsAll = true, true },
		"failing":   func(e *Engine) { e.IsLeaving, e.Events, e.Status = true, 0, http.StatusInternalServerError },
	} {
		t.Run(name, func(t *testing.T) {
			withRateLimitedFleet(t, 8, func(t *testing.T, l *rateLimitedFleet) {
				leaving := l.engines[:4]
				for _, engine := range leaving {
					engine.Update(change)
				}
				l.sendStreams(rand.New(rand.NewPCG(48, 3)), 60, 12*time.Second)
				signalled := 0
				for _, engine := range leaving {
					for _, node := range l.MachineNames(false) {
						late, wasSignalled := l.GroundTruth.RequestsAfterLeaving(engine.ID, node)
						assert.Check(t, late == 0, "%s got %d requests from %s after it had signalled to that node that it leaves", engine.ID, late, node)
						if wasSignalled {
							signalled++
						}
					}
				}
				assert.Check(t, signalled > 0, "no engine signalled that it leaves")
			})
		})
	}
}

func TestOperatorListsThePausesOfANode(t *testing.T) {
	withRateLimitedFleet(t, 3, func(t *testing.T, l *rateLimitedFleet) {
		rejectWithPause(l.engines[:1], 30*time.Second)
		l.engines[1].Update(func(e *Engine) { e.IsLeaving = true })
		l.sendStreams(rand.New(rand.NewPCG(48, 4)), 60, 5*time.Second)
		listed, err := l.OperatorClient("entry-1").GetPauses(l.ctx, connect.NewRequest(&ravenwayv1.GetPausesRequest{}))
		assert.NilError(t, err)
		pauses := listed.Msg.GetPauses()
		assert.Equal(t, len(pauses), 2)
		assert.Assert(t, strings.HasPrefix(pauses[0].GetInstance(), l.engines[0].ID), pauses[0].GetInstance())
		assert.Equal(t, pauses[0].GetPhase(), "paused")
		assert.Equal(t, pauses[0].GetAskedMilliseconds(), int64(30_000))
		assert.Equal(t, pauses[0].GetService(), "model")
		assert.Assert(t, pauses[0].GetRequest() != "")
		assert.Equal(t, pauses[1].GetPhase(), "leaving")
		_, err = l.OperatorClient("control-0").GetPauses(l.ctx, connect.NewRequest(&ravenwayv1.GetPausesRequest{}))
		assert.Equal(t, connect.CodeOf(err), connect.CodeFailedPrecondition)
	})
}

// Guards against pauses and leaving that are forgotten when the fleet changes: entry nodes are
// partitioned from the control nodes, all control nodes restart, the configuration changes, and an
// engine drains and is ready again within the same incarnation.
func TestPausesAndLeavingSurviveChangesOfTheFleet(t *testing.T) {
	withRateLimitedFleet(t, 8, func(t *testing.T, l *rateLimitedFleet) {
		pausing, leaving := l.engines[:4], l.engines[4:6]
		rejectWithPause(pausing, 3*time.Second)
		for _, engine := range leaving {
			engine.Update(func(e *Engine) { e.IsLeaving = true })
		}
		l.goroutines.Go(func() { l.sendStreams(rand.New(rand.NewPCG(48, 5)), 60, 25*time.Second) })
		time.Sleep(3 * time.Second)
		changed, err := l.ReadNewestConfiguration(3 * time.Second)
		assert.NilError(t, err)
		changed.Version++
		assert.NilError(t, l.PutConfiguration(changed, 3*time.Second))
		time.Sleep(time.Second)
		assert.NilError(t, l.flap(pausing[0].ID))
		assert.NilError(t, l.flap(leaving[0].ID))
		l.Network.PartitionBetween(l.MachineNames(false), l.MachineNames(true))
		time.Sleep(8 * time.Second)
		l.Network.Heal()
		time.Sleep(2 * time.Second)
		for _, name := range l.MachineNames(true) {
			l.Kill(name)
		}
		time.Sleep(time.Second)
		for _, name := range l.MachineNames(true) {
			l.Boot(name)
		}
		time.Sleep(8 * time.Second)
		l.assertPausesKept(t, pausing)
		for _, engine := range leaving {
			for _, node := range l.MachineNames(false) {
				late, _ := l.GroundTruth.RequestsAfterLeaving(engine.ID, node)
				assert.Check(t, late == 0, "%s got %d requests from %s after it had signalled to that node that it leaves", engine.ID, late, node)
			}
		}
	})
}

// flap makes an engine's heartbeats report that it drains, and then that it is ready again.
func (f *Fleet) flap(id string) error {
	if err := f.Drain(id); err != nil {
		return err
	}
	time.Sleep(500 * time.Millisecond)
	return f.reportState(id, registry.Ready)
}

// Guards against pauses that are dropped when the registry learns of a new incarnation of the engine,
// although it was the new one that requested them: it may respond before its first heartbeat arrives.
func TestPauseOfAnIncarnationThatIsNotRegisteredYetIsKept(t *testing.T) {
	withRateLimitedFleet(t, 2, func(t *testing.T, l *rateLimitedFleet) {
		for _, engine := range l.engines[1:] {
			assert.NilError(t, l.Drain(engine.ID))
		}
		time.Sleep(time.Second)
		l.engines[0].Update(func(e *Engine) { e.Events = 100 })
		// Only this node sees the end of the engine.
		l.goroutines.Go(func() {
			_, _ = l.Request("entry-0", CallerRequest{ID: "in-flight", Path: "/stream/x", Key: "key-one", Tokens: "1000,100"})
		})
		time.Sleep(time.Second)
		l.stopHeartbeats()
		l.CrashEngine(l.engines[0])
		time.Sleep(500 * time.Millisecond)
		restarted := l.AddEngine(l.engines[0].ID, "model", l.engines[0].Zone)
		l.stopHeartbeatsOf(restarted)
		restarted.Update(func(e *Engine) { e.RejectsAll, e.Pause = true, 8*time.Second })
		l.sendRequests(rand.New(rand.NewPCG(57, 50)), "/stream/x", 40, 4*time.Second)
		restarted.Update(func(e *Engine) { e.RejectsAll = false })
		assert.NilError(t, l.Heartbeat(restarted.Instance))
		l.sendRequests(rand.New(rand.NewPCG(57, 51)), "/stream/x", 40, 2*time.Second)
		l.assertPausesKept(t, []*Engine{restarted})
	})
}
