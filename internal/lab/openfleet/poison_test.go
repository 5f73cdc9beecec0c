package openfleet

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	ravenwayv1 "github.com/ravenway/ravenway/api/ravenway/v1"
	"github.com/ravenway/ravenway/internal/state/document"
)

// The tests of this file guard against a poison request, which crashes each engine that begins to run
// it. Three times within a day such a request crashed the engines of a group of twelve one after the
// other, 30 to 35 crashes each time, and up to 46 streams of other callers broke with one engine. The
// caller retried it with other ids at any entry node, 81 times in ten seconds, and each time the entry
// node itself resumed the stream at a second engine. Each run broke some 100 ms after its response had
// begun, before the first event. What a request did to engines was forgotten with its id, and nodes did
// not exchange it.
const (
	poison = "a body that no engine survives"
	// contact is the time within which connected nodes must know of a third crash.
	contact = 3 * time.Second
	// engineRestart is the time after which a crashed engine is replaced.
	engineRestart = 3 * time.Second
	// poisonRuns is the maximum number of runs of the request later than contact after the third crash.
	poisonRuns = 3
)

// poisoned is a fleet whose engines crash on the poison request and are replaced.
type poisoned struct {
	*Fleet
	mutex sync.Mutex
	ends  []time.Duration
}

// addEngines adds engines that crash some time after they began to run the poison request.
func (p *poisoned) addEngines(service string, count, events int, after time.Duration) {
	for number := range count {
		p.addEngine(fmt.Sprintf("%s-%d", service, number), service, zones[number%len(zones)], events, after)
	}
}

func (p *poisoned) addEngine(id, service, zone string, events int, after time.Duration) {
	engine := p.AddEngine(id, service, zone)
	engine.Set(func(e *Engine) { e.Events, e.EndsOn, e.EndsAfter, e.Work = events, poison, after, 30*time.Millisecond })
	engine.end = func() {
		p.mutex.Lock()
		p.ends = append(p.ends, time.Since(p.Truth.began))
		p.mutex.Unlock()
		p.EndEngine(engine)
		time.AfterFunc(engineRestart, func() {
			if p.ctx.Err() == nil {
				p.addEngine(id+"~", service, zone, events, after)
			}
		})
	}
}

func (p *poisoned) endCount() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return len(p.ends)
}

// repeat sends the poison request periodically for a time, each time with another id to a random entry
// node.
func (p *poisoned) repeat(random *rand.Rand, path string, every, lasting time.Duration) {
	entries := p.Names(false)
	for began := time.Now(); time.Since(began) < lasting; time.Sleep(every) {
		name, id := entries[random.IntN(len(entries))], fmt.Sprintf("poison-%d", random.Uint64())
		p.running.Go(func() { _, _ = p.Request(name, Ask{ID: id, Path: path, Key: "key-one", Tokens: "1,1", Body: poison}) })
	}
}

// runsAfterContact counts the runs of the poison request that began later than contact after the third
// crash.
func (p *poisoned) runsAfterContact() int {
	p.mutex.Lock()
	ends := slices.Sorted(slices.Values(p.ends))
	p.mutex.Unlock()
	if len(ends) < 3 {
		return 0
	}
	return len(slices.DeleteFunc(p.Truth.Runs(), func(run Run) bool { return run.Body != poison || run.Arrived <= ends[2]+contact }))
}

// inPoisonedFleet runs a test against six entry nodes and two services of nine engines each, which
// crash on the poison request.
func inPoisonedFleet(t *testing.T, after time.Duration, test func(t *testing.T, p *poisoned)) {
	t.Helper()
	inFleet(t, 6, func(t *testing.T, f *Fleet) {
		generous := configuration(2)
		generous.Tenants[0].Prepaid = 1 << 40
		for position := range generous.Routes {
			route := &generous.Routes[position]
			if route.Kind == document.Stream {
				route.Targets[0].Service = "model"
			} else {
				route.Targets[0].Service = "portal"
			}
		}
		generous.Services = append(generous.Services, document.Service{Name: "model"}, document.Service{Name: "portal"})
		p := &poisoned{Fleet: f}
		p.addEngines("model", 9, 5, after)
		p.addEngines("portal", 9, 0, after)
		assert.NilError(t, f.Put(generous, 3*time.Second))
		time.Sleep(3 * time.Second)
		test(t, p)
	})
}

func TestRequestThatEndsItsEnginesReachesFewMoreAfterTheThird(t *testing.T) {
	for _, path := range []string{"/resumable/x", "/stream/x", "/safe/x", "/once/x"} {
		t.Run(path[1:len(path)-2], func(t *testing.T) {
			inPoisonedFleet(t, 60*time.Millisecond, func(t *testing.T, p *poisoned) {
				p.repeat(rand.New(rand.NewPCG(36, 1)), path, 150*time.Millisecond, 25*time.Second)
				t.Logf("%d engines crashed, %d runs later than %s after the third crash", p.endCount(), p.runsAfterContact(), contact)
				assert.Assert(t, p.endCount() >= 3)
				assert.Assert(t, p.runsAfterContact() <= poisonRuns, "%d runs later than %s after the third crash", p.runsAfterContact(), contact)
			})
		})
	}
}

// quarantinedAt returns the names of the entry nodes that refuse the poison request as quarantined.
func (p *poisoned) quarantinedAt() []string {
	var names []string
	for _, name := range p.Names(false) {
		answer, err := p.Request(name, Ask{ID: fmt.Sprintf("probe-%s-%d", name, time.Now().UnixNano()), Path: "/stream/x", Key: "key-one", Tokens: "1,1", Body: poison})
		if err == nil && strings.Contains(answer.Body, "quarantined") {
			names = append(names, name)
		}
	}
	return names
}

// endThree sends the poison request to three entry nodes, each of which sees one engine crash.
func (p *poisoned) endThree() {
	for number, name := range []string{"entry-0", "entry-1", "entry-2"} {
		_, _ = p.Request(name, Ask{ID: fmt.Sprintf("poison-%d", number), Path: "/stream/x", Key: "key-one", Tokens: "1,1", Body: poison})
		time.Sleep(300 * time.Millisecond)
	}
}

// Guards against crashes that are known only to the node that saw them: three nodes see one each, and
// all nodes must know of the three within a second.
func TestThreeEndsSeenAtThreeNodesAreKnownAtAllWithinASecond(t *testing.T) {
	inPoisonedFleet(t, 60*time.Millisecond, func(t *testing.T, p *poisoned) {
		p.endThree()
		time.Sleep(700 * time.Millisecond)
		assert.Equal(t, len(p.quarantinedAt()), 6)
		assert.Equal(t, p.endCount(), 3)
		// Another body is served.
		served, err := p.Request("entry-0", Ask{ID: "other", Path: "/stream/x", Key: "key-one", Tokens: "1,1", Body: "harmless"})
		assert.NilError(t, err)
		assert.Equal(t, served.Status, http.StatusOK)
	})
}

// Guards against a quarantine that is lost when all machines lose power. Entry nodes have no disk, so the
// control nodes must store it for them and for new entry nodes.
func TestQuarantineOutlastsTheLossOfAllPowerAndReachesNewNodes(t *testing.T) {
	inPoisonedFleet(t, 60*time.Millisecond, func(t *testing.T, p *poisoned) {
		p.endThree()
		time.Sleep(2 * time.Second)
		p.PowerOffAll()
		// One control node loses its disk, too.
		p.Wipe("control-1")
		time.Sleep(time.Second)
		p.BootAll()
		time.Sleep(contact)
		assert.Equal(t, len(p.quarantinedAt()), 6)
		p.AddMachine("entry-new", "10.0.2.99", "a", false)
		p.Boot("entry-new")
		time.Sleep(contact)
		assert.Equal(t, len(p.quarantinedAt()), 7)
		assert.Equal(t, p.endCount(), 3)
	})
}

// Guards against crashes that are not added up after a partition: during it each side counts its own,
// afterwards all nodes must know of all.
func TestEndsOfBothSidesOfACutCountTogetherOnceItIsHealed(t *testing.T) {
	inPoisonedFleet(t, 60*time.Millisecond, func(t *testing.T, p *poisoned) {
		// The nodes of zone c are partitioned from the other nodes; both sides reach all engines.
		own := []string{"control-2", "entry-2", "entry-5"}
		others := []string{"control-0", "control-1", "entry-0", "entry-1", "entry-3", "entry-4"}
		for number := range 5 {
			_, _ = p.Request("entry-2", Ask{ID: fmt.Sprintf("before-%d", number), Path: "/stream/x", Key: "key-one", Tokens: "1,1", Body: "harmless"})
		}
		p.Network.CutBetween(own, others)
		endOne := func(name string) {
			for before, try := p.endCount(), 0; p.endCount() == before && try < 20; try++ {
				_, _ = p.Request(name, Ask{ID: fmt.Sprintf("%s-%d", name, try), Path: "/stream/x", Key: "key-one", Tokens: "1,1", Body: poison})
				time.Sleep(400 * time.Millisecond)
			}
		}
		endOne("entry-2")
		endOne("entry-0")
		endOne("entry-1")
		assert.Equal(t, p.endCount(), 3)
		time.Sleep(4 * time.Second)
		p.Network.Heal()
		time.Sleep(contact)
		assert.Equal(t, len(p.quarantinedAt()), 6)
	})
}

// Guards against a quarantine that operators can't see or lift: they list the request with the crashes
// recorded against it, and release it.
func TestOperatorListsAndReleasesAQuarantinedRequest(t *testing.T) {
	inPoisonedFleet(t, 60*time.Millisecond, func(t *testing.T, p *poisoned) {
		p.endThree()
		time.Sleep(time.Second)
		control, entry := p.Operators("control-0"), p.Operators("entry-3")
		listed, err := control.GetQuarantine(p.ctx, connect.NewRequest(&ravenwayv1.GetQuarantineRequest{}))
		assert.NilError(t, err)
		assert.Equal(t, len(listed.Msg.GetRequests()), 1)
		held := listed.Msg.GetRequests()[0]
		assert.Assert(t, held.GetQuarantined())
		assert.Equal(t, held.GetRoute(), "stream")
		assert.Equal(t, held.GetTenant(), "one")
		assert.Equal(t, len(held.GetEnds()), 3)
		release := func(fingerprint string) error {
			_, err := entry.ReleaseQuarantined(p.ctx, connect.NewRequest(&ravenwayv1.ReleaseQuarantinedRequest{Fingerprint: fingerprint}))
			return err
		}
		assert.Equal(t, connect.CodeOf(release("not one")), connect.CodeInvalidArgument)
		assert.Equal(t, connect.CodeOf(release(strings.Repeat("0", 48))), connect.CodeNotFound)
		assert.NilError(t, release(held.GetFingerprint()))
		time.Sleep(2 * time.Second)
		// It is sent to engines again, and crashes three more.
		p.endThree()
		assert.Equal(t, p.endCount(), 6)
		time.Sleep(time.Second)
		assert.Equal(t, len(p.quarantinedAt()), 6)
	})
}
