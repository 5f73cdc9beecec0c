package openfleet

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	ravenwayv1 "github.com/ravenway/ravenway/api/ravenway/v1"
	"github.com/ravenway/ravenway/internal/lab/brittlecheck"
)

// brittleFleet is a fleet whose engines become brittle and are replaced after a crash.
type brittleFleet struct {
	*rateLimitedFleet
	mutex   sync.Mutex
	crashes int
	// room and brittle apply to the engines that replace crashed ones.
	room    int
	brittle string
}

const (
	// brittleSlots is the number of slots of the fleet's engines.
	brittleSlots = 8
	// ordinaryRoom is how many requests run or wait at an engine before it is brittle.
	ordinaryRoom = 32
	// brittleLead is the time between the first response that says that an engine is brittle and the
	// moment from which fewer requests may wait there.
	brittleLead = 3 * time.Second
)

// withBrittleFleet runs a test against eight entry nodes and twelve engines.
func withBrittleFleet(t *testing.T, test func(t *testing.T, b *brittleFleet)) {
	t.Helper()
	withRateLimitedFleet(t, 8, func(t *testing.T, l *rateLimitedFleet) {
		b := &brittleFleet{rateLimitedFleet: l, room: ordinaryRoom}
		for _, engine := range l.engines {
			b.prepare(engine)
		}
		test(t, b)
	})
}

func (b *brittleFleet) prepare(engine *Engine) {
	engine.Update(func(e *Engine) {
		e.Events, e.WorkTime, e.Room, e.Brittle = 10, 30*time.Millisecond, b.room, b.brittle
	})
	engine.crash = func() {
		b.mutex.Lock()
		b.crashes++
		b.mutex.Unlock()
		b.CrashEngine(engine)
		time.AfterFunc(3*time.Second, func() {
			if b.ctx.Err() == nil {
				b.prepare(b.AddEngine(engine.ID+"~", "model", engine.Zone))
			}
		})
	}
}

// set makes all engines brittle with a room for running and waiting requests.
func (b *brittleFleet) set(room int, brittle string) {
	b.mutex.Lock()
	b.room, b.brittle = room, brittle
	b.mutex.Unlock()
	b.enginesMutex.Lock()
	defer b.enginesMutex.Unlock()
	for _, engine := range b.engines {
		engine.Update(func(e *Engine) { e.Room, e.Brittle = room, brittle })
	}
	for _, engine := range b.Fleet.engines {
		if engine.Service == "model" {
			engine.Update(func(e *Engine) { e.Room, e.Brittle = room, brittle })
		}
	}
}

func (b *brittleFleet) crashCount() int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.crashes
}

// Guards against brittle engines that crash one after the other, because nodes send them more requests
// than they have room for and each crash moves its load to the others. All nodes send at once when the
// room shrinks, to what runs at a time or to half of that, and the load is above what has room.
func TestBrittleEnginesDoNotCrashInSeries(t *testing.T) {
	for _, tolerance := range []int{1, 5} {
		for name, room := range map[string]int{"slots": brittleSlots, "half_of_the_slots": brittleSlots / 2} {
			for loadName, perSecond := range map[string]float64{"load_with_room": 110, "overload": 400} {
				t.Run(name+"/"+loadName+"/"+strconv.Itoa(tolerance), func(t *testing.T) {
					withBrittleFleet(t, func(t *testing.T, b *brittleFleet) {
						b.goroutines.Go(func() {
							time.Sleep(2 * time.Second)
							b.set(ordinaryRoom, strconv.Itoa(tolerance))
							time.Sleep(brittleLead)
							b.set(room, strconv.Itoa(tolerance))
							time.Sleep(10 * time.Second)
							b.set(ordinaryRoom, "")
						})
						b.sendStreams(rand.New(rand.NewPCG(58, uint64(tolerance))), perSecond, 18*time.Second)
						time.Sleep(2 * time.Second)
						responses, _ := b.outcomes()
						t.Logf("%d engines crashed, %d allowed; responses %v", b.crashCount(), brittlecheck.Allowed(12), responses)
						assert.Check(t, b.crashCount() <= brittlecheck.Allowed(12), "%d engines crashed", b.crashCount())
						served := float64(responses[http.StatusOK])
						if loadName == "load_with_room" && room == brittleSlots {
							assert.Check(t, served >= 0.95*18*perSecond*0.95, "%v", responses)
						}
						assert.Check(t, served > 0)
					})
				})
			}
		}
	}
}

// Guards against requests that are quarantined because brittle engines crashed beside them.
func TestCrashOfABrittleEngineIsNoEvidenceAgainstRequests(t *testing.T) {
	withBrittleFleet(t, func(t *testing.T, b *brittleFleet) {
		b.set(ordinaryRoom, "1")
		b.goroutines.Go(func() {
			time.Sleep(2 * time.Second)
			for _, engine := range b.rateLimitedFleet.engines[:6] {
				engine.crash()
			}
		})
		// Their bodies differ, so that no later success clears the evidence.
		tries := &firstTries{}
		tries.run(b.rateLimitedFleet, rand.New(rand.NewPCG(58, 9)), 120, 3*time.Second)
		listed, err := b.OperatorClient("control-0").GetQuarantine(b.ctx, connect.NewRequest(&ravenwayv1.GetQuarantineRequest{}))
		assert.NilError(t, err)
		for _, request := range listed.Msg.GetRequests() {
			assert.Check(t, len(request.GetEnds()) == 0, "%s has %d crashes recorded", request.GetFingerprint(), len(request.GetEnds()))
		}
	})
}
