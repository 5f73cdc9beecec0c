package openfleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	ravenwayv1 "github.com/ravenway/ravenway/api/ravenway/v1"
	"github.com/ravenway/ravenway/internal/lab/pathcheck"
)

// Guards against an engine that works on after the caller of a relayed request has left.
func TestCallerThatLeavesFreesTheEngineBehindARelay(t *testing.T) {
	withRateLimitedFleet(t, 4, func(t *testing.T, l *rateLimitedFleet) {
		l.setEngines(func(e *Engine) { e.Events, e.WorkTime = 200, 30*time.Millisecond })
		l.Network.PartitionBetween([]string{"entry-0"}, l.engineMachines())
		for number, path := range []string{"/stream/x", "/resumable/x"} {
			ctx, leave := context.WithCancel(l.ctx)
			l.goroutines.Go(func() {
				_, _ = l.Request("entry-0", CallerRequest{ID: fmt.Sprintf("left-%d", number), Path: path, Key: "key-one", Tokens: "1000,200", Context: ctx})
			})
			time.Sleep(2 * time.Second)
			leave()
		}
		time.Sleep(500 * time.Millisecond)
		runs := l.GroundTruth.Runs()
		assert.Assert(t, len(runs) >= 2, "%d runs", len(runs))
		for _, run := range runs {
			assert.Check(t, run.Ended > 0, "%s still runs at %s", run.Request, run.Instance)
		}
	})
}

// Guards against callers that are lost together with the node that relays their requests.
func TestPartitionedNodesServeWhileTheirRelaysCrash(t *testing.T) {
	withRateLimitedFleet(t, 8, func(t *testing.T, l *rateLimitedFleet) {
		partitioned := []string{"entry-0", "entry-3", "entry-6"}
		l.goroutines.Go(func() {
			time.Sleep(partitionBegins + 3*time.Second)
			for _, relay := range []string{"entry-1", "entry-2"} {
				l.Kill(relay)
				time.Sleep(2 * time.Second)
				l.Boot(relay)
			}
		})
		tries := l.runPartition(silentPartition, partitioned, l.engineMachines(), 11)
		tries.assertServedAlike(t, partitionBegins+relayReactionTime, partitionBegins+partitionLasts, setOf(partitioned))
		l.assertRunsAtMostOnce(t, tries)
	})
}

// Guards against a planned stop of a node that interrupts the requests that it relays.
func TestPlannedStopOfARelayInterruptsNothing(t *testing.T) {
	withRateLimitedFleet(t, 3, func(t *testing.T, l *rateLimitedFleet) {
		// Longer than the time for which a stopping node accepts callers.
		l.setEngines(func(e *Engine) { e.Events, e.WorkTime = 130, 30*time.Millisecond })
		l.Network.PartitionBetween([]string{"entry-0"}, l.engineMachines())
		interrupted := int64(0)
		stopping := make(chan struct{})
		l.goroutines.Go(func() {
			defer close(stopping)
			time.Sleep(4 * time.Second)
			interrupted = l.Stop("entry-1")
		})
		tries := &firstTries{nodes: []string{"entry-0"}}
		tries.run(l, rand.New(rand.NewPCG(57, 12)), 20, 10*time.Second)
		<-stopping
		assert.Equal(t, interrupted, int64(0))
		for _, try := range tries.tries {
			// Repeatable requests end with the time-out of an attempt, which is shorter than these runs.
			assert.Check(t, try.isServed || try.path == "/safe/x", "%s to %s: %d after %s", try.id, try.path, try.status, try.took)
		}
		assert.Check(t, len(tries.tries) > 100)
	})
}

// Guards against nodes that relay for each other, or hold requests, when the engines themselves are
// down: requests are refused without a wait, and as soon as the engines are back they are served.
func TestRequestsAreRefusedImmediatelyWhenAllEnginesAreDown(t *testing.T) {
	withRateLimitedFleet(t, 8, func(t *testing.T, l *rateLimitedFleet) {
		everyone := append(l.MachineNames(true), l.MachineNames(false)...)
		l.goroutines.Go(func() {
			time.Sleep(partitionBegins)
			l.Network.PartitionBetween(everyone, l.engineMachines())
			time.Sleep(partitionLasts)
			l.Network.Heal()
		})
		tries := &firstTries{}
		tries.run(l, rand.New(rand.NewPCG(57, 13)), 60, partitionBegins+partitionLasts+6*time.Second)
		slow, refused := 0, 0
		for _, try := range tries.tries {
			if try.sentAt < partitionBegins+pathcheck.ReactionTime || try.sentAt > partitionBegins+partitionLasts-time.Second {
				continue
			}
			refused++
			if try.took > 400*time.Millisecond {
				slow++
			}
			assert.Check(t, !try.isServed)
		}
		assert.Check(t, slow*10 <= refused, "%d of %d refusals took over 400 ms", slow, refused)
		from := partitionBegins + partitionLasts + 2*time.Second
		sent, served := tries.count(from, from+4*time.Second, func(string) bool { return true })
		assert.Check(t, float64(served) >= 0.95*float64(sent), "%d of %d served after the engines were back", served, sent)
		l.assertRunsAtMostOnce(t, tries)
	})
}

// Guards against a partitioned node without peers that keeps its callers: it refuses them at once,
// makes them open new connections, and reports itself not ready until its path is back.
func TestNodeWithoutPathAndRelaysSendsItsCallersElsewhere(t *testing.T) {
	withRateLimitedFleet(t, 2, func(t *testing.T, l *rateLimitedFleet) {
		request := func(number int) (CallerResponse, time.Duration) {
			sentAt := time.Now()
			response, err := l.Request("entry-0", newRequest(fmt.Sprintf("isolated-%d", number), "/safe/x"))
			assert.NilError(t, err)
			return response, time.Since(sentAt)
		}
		l.Network.PartitionBetween([]string{"entry-0"}, append(l.engineMachines(), "entry-1"))
		for number := range 10 {
			_, _ = request(number)
			time.Sleep(200 * time.Millisecond)
		}
		refused, took := request(100)
		assert.Equal(t, refused.Status, http.StatusServiceUnavailable)
		assert.Assert(t, took < 300*time.Millisecond, took)
		assert.Assert(t, strings.Contains(refused.Body, "node_isolated"), refused.Body)
		assert.Assert(t, refused.Header.Get("Retry-After") != "")
		assert.Assert(t, !l.Ready("entry-0"))
		assert.Assert(t, l.Ready("entry-1"))
		l.Network.Heal()
		time.Sleep(2 * time.Second)
		_, _ = request(200)
		time.Sleep(500 * time.Millisecond)
		served, _ := request(201)
		assert.Equal(t, served.Status, http.StatusOK)
		assert.Assert(t, l.Ready("entry-0"))
	})
}

// Guards against streams that end with their callers' patience when their path is lost silently: they
// are resumed through a relay. Connections in the in-memory network never time out.
func TestRunningStreamsGoOnThroughARelay(t *testing.T) {
	withRateLimitedFleet(t, 4, func(t *testing.T, l *rateLimitedFleet) {
		l.setEngines(func(e *Engine) { e.Events, e.WorkTime = 100, 30*time.Millisecond })
		began := time.Now()
		for number := range 6 {
			l.goroutines.Go(func() {
				id := fmt.Sprintf("running-%d", number)
				response, err := l.Request("entry-0", CallerRequest{ID: id, Path: "/resumable/x", Key: "key-one", Tokens: "1000,100"})
				assert.NilError(t, err)
				assert.NilError(t, response.BodyError)
				assert.Equal(t, response.Body, eventsText(id, 100))
				assert.Check(t, time.Since(began) < 6*time.Second, time.Since(began))
			})
		}
		time.Sleep(time.Second)
		l.Network.PartitionBetween([]string{"entry-0"}, l.engineMachines())
		// Further callers show that the path is lost.
		tries := &firstTries{}
		tries.run(l, rand.New(rand.NewPCG(57, 35)), 40, 6*time.Second)
		l.assertRunsAtMostOnce(t, tries)
	})
}

// Guards against requests that are quarantined because a partition reset their connections and
// refuses new ones, which looks like the crash of each engine that ran them.
func TestPartitionIsNoCrashOfEngines(t *testing.T) {
	withRateLimitedFleet(t, 8, func(t *testing.T, l *rateLimitedFleet) {
		partitioned := []string{"entry-0", "entry-1", "entry-3", "entry-4"}
		for round := range 4 {
			tries := &firstTries{}
			l.goroutines.Go(func() {
				time.Sleep(time.Second)
				l.Network.RefuseBetween(partitioned, l.engineMachines())
				l.Network.BreakConnectionsBetween(partitioned, l.engineMachines())
				time.Sleep(3 * time.Second)
				l.Network.Heal()
			})
			tries.run(l, rand.New(rand.NewPCG(57, 20+uint64(round))), 60, 5*time.Second)
		}
		listed, err := l.OperatorClient("control-0").GetQuarantine(l.ctx, connect.NewRequest(&ravenwayv1.GetQuarantineRequest{}))
		assert.NilError(t, err)
		for _, request := range listed.Msg.GetRequests() {
			assert.Check(t, len(request.GetEnds()) == 0, "%s has %d crashes recorded", request.GetFingerprint(), len(request.GetEnds()))
		}
	})
}

// Guards against a path that comes and goes each second: callers are served all the while.
func TestCallersAreServedWhileThePathFlaps(t *testing.T) {
	withRateLimitedFleet(t, 8, func(t *testing.T, l *rateLimitedFleet) {
		partitioned := []string{"entry-0", "entry-1", "entry-2"}
		l.goroutines.Go(func() {
			time.Sleep(partitionBegins)
			for range 8 {
				l.Network.PartitionBetween(partitioned, l.engineMachines())
				time.Sleep(time.Second)
				l.Network.Heal()
				time.Sleep(time.Second)
			}
		})
		tries := &firstTries{}
		tries.run(l, rand.New(rand.NewPCG(57, 30)), 60, partitionBegins+17*time.Second)
		tries.assertServedAlike(t, partitionBegins+4*time.Second, partitionBegins+16*time.Second, setOf(partitioned))
		l.assertRunsAtMostOnce(t, tries)
	})
}

// Guards against a node that starts while it is partitioned from all engines, so that it has never
// reached one.
func TestNodeThatStartsInAPartitionServesItsCallers(t *testing.T) {
	withRateLimitedFleet(t, 8, func(t *testing.T, l *rateLimitedFleet) {
		partitioned := []string{"entry-3"}
		l.Kill("entry-3")
		l.Network.PartitionBetween(partitioned, l.engineMachines())
		l.Boot("entry-3")
		assert.NilError(t, l.WaitFor(8*time.Second, "the new node is ready", func() bool { return l.Ready("entry-3") }))
		tries := &firstTries{}
		tries.run(l, rand.New(rand.NewPCG(57, 31)), 60, 8*time.Second)
		tries.assertServedAlike(t, 0, 8*time.Second, setOf(partitioned))
	})
}

// Guards against relays that have lost the same engines: each engine is cut off from other nodes.
func TestEnginesPartitionedFromSomeNodesAreReachedThroughTheOthers(t *testing.T) {
	withRateLimitedFleet(t, 8, func(t *testing.T, l *rateLimitedFleet) {
		random := rand.New(rand.NewPCG(57, 32))
		l.goroutines.Go(func() {
			time.Sleep(partitionBegins)
			for _, engine := range l.engineMachines() {
				for _, node := range random.Perm(8)[:5] {
					l.Network.PartitionBetween([]string{fmt.Sprintf("entry-%d", node)}, []string{engine})
				}
			}
			time.Sleep(partitionLasts)
			l.Network.Heal()
		})
		tries := &firstTries{}
		tries.run(l, rand.New(rand.NewPCG(57, 33)), 60, partitionBegins+partitionLasts)
		sent, served := tries.count(partitionBegins+relayReactionTime, partitionBegins+partitionLasts, func(string) bool { return true })
		assert.Check(t, float64(served) >= 0.95*float64(sent), "%d of %d served: %v", served, sent, tries.describeFailures(partitionBegins+relayReactionTime, time.Hour))
		l.assertRunsAtMostOnce(t, tries)
	})
}

// Guards against relays that send an engine requests in a pause that it has requested of them, or
// that are never told of a pause requested in a relayed response.
func TestPausesHoldForRelays(t *testing.T) {
	withRateLimitedFleet(t, 8, func(t *testing.T, l *rateLimitedFleet) {
		rejectWithPause(l.engines[:4], 3*time.Second)
		partitioned := []string{"entry-0", "entry-1", "entry-3", "entry-4"}
		l.Network.PartitionBetween(partitioned, l.engineMachines())
		l.sendRequests(rand.New(rand.NewPCG(57, 34)), "/stream/x", 60, 12*time.Second)
		l.assertPausesKept(t, l.engines[:4])
	})
}

func TestOperatorListsTheWaysOfAPartitionedNode(t *testing.T) {
	withRateLimitedFleet(t, 3, func(t *testing.T, l *rateLimitedFleet) {
		l.Network.PartitionBetween([]string{"entry-0"}, l.engineMachines())
		tries := &firstTries{nodes: []string{"entry-0"}}
		tries.run(l, rand.New(rand.NewPCG(57, 40)), 30, 3*time.Second)
		l.setEngines(func(e *Engine) { e.Events = 200 })
		ctx, leave := context.WithCancel(l.ctx)
		l.goroutines.Go(func() {
			_, _ = l.Request("entry-0", CallerRequest{ID: "listed", Path: "/stream/x", Key: "key-one", Tokens: "1000,200", Context: ctx})
		})
		time.Sleep(time.Second)
		listed, err := l.OperatorClient("entry-0").GetPaths(l.ctx, connect.NewRequest(&ravenwayv1.GetPathsRequest{}))
		assert.NilError(t, err)
		assert.Assert(t, listed.Msg.GetLost() && !listed.Msg.GetIsolated())
		assert.Assert(t, len(listed.Msg.GetEngines()) > 5, "%v", listed.Msg.GetEngines())
		assert.Equal(t, listed.Msg.GetEngines()[0].GetLastAttempt(), "silent")
		assert.Equal(t, len(listed.Msg.GetRelays()), 1)
		relay := l.OperatorClient(map[string]string{l.Machine("entry-1").Peer(): "entry-1", l.Machine("entry-2").Peer(): "entry-2"}[listed.Msg.GetRelays()[0].GetNode()])
		relaying, err := relay.GetPaths(l.ctx, connect.NewRequest(&ravenwayv1.GetPathsRequest{}))
		assert.NilError(t, err)
		assert.Equal(t, relaying.Msg.GetRelayedForOthers(), uint32(1))
		leave()
		_, err = l.OperatorClient("control-0").GetPaths(l.ctx, connect.NewRequest(&ravenwayv1.GetPathsRequest{}))
		assert.Equal(t, connect.CodeOf(err), connect.CodeFailedPrecondition)
	})
}

// Guards against engines that are really down and are taken for a partition: the nodes do not relay for
// each other, and the other engines serve.
func TestDeadEnginesAreNoPartition(t *testing.T) {
	for name, isDead := range map[string]func(engine *Engine) bool{
		"one":    func(engine *Engine) bool { return engine.ID == "model-0" },
		"a_zone": func(engine *Engine) bool { return engine.Zone == "a" },
	} {
		t.Run(name, func(t *testing.T) {
			withRateLimitedFleet(t, 8, func(t *testing.T, l *rateLimitedFleet) {
				var dead []string
				for _, engine := range l.engines {
					if isDead(engine) {
						dead = append(dead, engine.ID)
					}
				}
				everyone := append(l.MachineNames(true), l.MachineNames(false)...)
				tries := l.runPartition(silentPartition, everyone, dead, 41)
				sent, served := tries.count(partitionBegins+relayReactionTime, partitionBegins+partitionLasts, func(string) bool { return true })
				assert.Check(t, float64(served) >= 0.95*float64(sent), "%d of %d served: %v", served, sent, tries.describeFailures(partitionBegins+relayReactionTime, partitionBegins+partitionLasts))
				l.assertRunsAtMostOnce(t, tries)
			})
		})
	}
}

// Guards against callers of partitioned nodes that are lost while the operator changes the
// configuration.
func TestPartitionedNodesServeThroughAChangeOfTheConfiguration(t *testing.T) {
	withRateLimitedFleet(t, 8, func(t *testing.T, l *rateLimitedFleet) {
		partitioned := []string{"entry-0", "entry-3", "entry-6"}
		l.goroutines.Go(func() {
			for range 4 {
				time.Sleep(partitionBegins)
				changed, err := l.ReadNewestConfiguration(3 * time.Second)
				assert.NilError(t, err)
				changed.Version++
				assert.NilError(t, l.PutConfiguration(changed, 3*time.Second))
			}
		})
		tries := l.runPartition(silentPartition, partitioned, l.engineMachines(), 42)
		tries.assertServedAlike(t, partitionBegins+relayReactionTime, partitionBegins+partitionLasts, setOf(partitioned))
	})
}

// Guards against bytes of relayed connections that the nodes do not count towards their links: a node that
// relays would not notice that its link is full.
func TestRelayedBytesCountTowardsTheLinksOfBothNodes(t *testing.T) {
	withRateLimitedFleet(t, 2, func(t *testing.T, l *rateLimitedFleet) {
		l.Network.PartitionBetween([]string{"entry-0"}, l.engineMachines())
		tries := &firstTries{nodes: []string{"entry-0"}}
		tries.run(l, rand.New(rand.NewPCG(57, 60)), 30, 3*time.Second)
		body := strings.Repeat("x", 200_000)
		for _, node := range l.MachineNames(false) {
			before := l.Machine(node).running().LinkBytes()
			response, err := l.Request("entry-0", CallerRequest{ID: "long-" + node, Path: "/stream/x", Key: "key-one", Tokens: "1000,5", Body: body})
			assert.NilError(t, err)
			assert.Equal(t, response.Status, http.StatusOK)
			assert.Check(t, l.Machine(node).running().LinkBytes()-before >= int64(2*len(body)), "%s counted %d bytes", node, l.Machine(node).running().LinkBytes()-before)
		}
	})
}
