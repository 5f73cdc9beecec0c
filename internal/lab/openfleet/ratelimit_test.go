package openfleet

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	ravenwayv1 "github.com/ravenway/ravenway/api/ravenway/v1"
	"github.com/ravenway/ravenway/internal/lab/limitcheck"
	"github.com/ravenway/ravenway/internal/state/document"
)

// limited is a fleet with engines of the service model, some of which name a limit.
type limited struct {
	*Fleet
	engines []*Engine
	mutex   sync.Mutex
	// answers are the callers' answers by status.
	answers map[int]int
	// served are those with 200 by path.
	served map[string]int
	// refusals are those with 503.
	refusals []refusal
}

// refusal is an answer of a node's own.
type refusal struct {
	// after is how long the caller waited for it.
	after time.Duration
	// comeBack is its Retry-After.
	comeBack string
	body     string
}

// inLimitedFleet runs a test against entry nodes before twelve engines in three zones.
func inLimitedFleet(t *testing.T, entries int, test func(t *testing.T, l *limited)) {
	t.Helper()
	inFleet(t, entries, func(t *testing.T, f *Fleet) {
		generous := configuration(2)
		generous.Tenants[0].Prepaid = 1 << 40
		for position := range generous.Routes {
			generous.Routes[position].Targets[0].Service = "model"
		}
		// The resumable streams are less urgent than the others.
		generous.Routes[3].Priority = 2
		generous.Services = append(generous.Services, document.Service{Name: "model"})
		l := &limited{Fleet: f, answers: map[int]int{}, served: map[string]int{}}
		for number := range 12 {
			l.engines = append(l.engines, f.AddEngine(fmt.Sprintf("model-%d", number), "model", zones[number%len(zones)]))
		}
		l.setEngines(func(e *Engine) { e.Events, e.Work = 5, 30*time.Millisecond })
		assert.NilError(t, f.Put(generous, 3*time.Second))
		time.Sleep(2 * time.Second)
		test(t, l)
	})
}

func (l *limited) setEngines(change func(*Engine)) {
	for _, engine := range l.engines {
		engine.Set(change)
	}
}

// call sends streams, some with a shared prompt part, to drawn entry nodes for a time.
func (l *limited) call(random *rand.Rand, perSecond float64, lasting time.Duration) {
	l.callFor(random, "/stream/x", perSecond, lasting)
}

// callFor sends requests with a path.
func (l *limited) callFor(random *rand.Rand, path string, perSecond float64, lasting time.Duration) {
	for began := time.Now(); time.Since(began) < lasting; time.Sleep(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second))) {
		entries := l.Names(false)
		name, id, part := entries[random.IntN(len(entries))], fmt.Sprintf("call-%d", random.Uint64()), ""
		if strings.HasPrefix(path, "/stream") {
			part = "part-" + strconv.Itoa(random.IntN(80))
		}
		l.running.Go(func() {
			sent := time.Now()
			answer, err := l.Request(name, Ask{ID: id, Path: path, Key: "key-one", Tokens: "1000,5", Part: part})
			if err != nil || answer.Broken != nil {
				answer.Status = 0
			}
			l.mutex.Lock()
			defer l.mutex.Unlock()
			l.answers[answer.Status]++
			if answer.Status == http.StatusOK {
				l.served[path]++
			}
			if answer.Status == http.StatusServiceUnavailable {
				l.refusals = append(l.refusals, refusal{after: time.Since(sent), comeBack: answer.Header.Get("Retry-After"), body: answer.Body})
			}
		})
	}
}

// outcomes returns the callers' answers so far, by status and those with 200 by path.
func (l *limited) outcomes() (answers map[int]int, served map[string]int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return maps.Clone(l.answers), maps.Clone(l.served)
}

// assertAllServed checks that each caller that was answered so far was served.
func (l *limited) assertAllServed(t *testing.T) {
	t.Helper()
	answers, _ := l.outcomes()
	assert.DeepEqual(t, answers, map[int]int{http.StatusOK: answers[http.StatusOK]})
}

// nameLimit has some engines name a limit; "" ends it.
func nameLimit(engines []*Engine, perSecond string) {
	for _, engine := range engines {
		engine.Set(func(e *Engine) { e.RateLimit = perSecond })
	}
}

// now is the time since the fleet's start, as the engines note it.
func (f *Fleet) now() time.Duration { return time.Since(f.Truth.began) }

// arrivalsAt are the moments from a time on at which requests came to an engine.
func (f *Fleet) arrivalsAt(engine *Engine, from time.Duration) []time.Duration {
	return slices.DeleteFunc(f.Truth.Arrivals(engine.ID), func(at time.Duration) bool { return at < from })
}

// assertWithinLimit checks an engine that named a limit at a time.
func (l *limited) assertWithinLimit(t *testing.T, engine *Engine, perSecond float64, named time.Duration) {
	t.Helper()
	most, allowed := limitcheck.MaximumInWindow(l.arrivalsAt(engine, named+limitcheck.ReactionTime)), limitcheck.Allowed(perSecond)
	t.Logf("%s: %d in 4 s at most, %d allowed", engine.ID, most, allowed)
	assert.Check(t, most <= allowed, "%s got %d requests in %s, allowed %d", engine.ID, most, limitcheck.Window, allowed)
}

// Incident LIMIT on drukwacht-ravenway. Seen: two of twelve engines, in need, named in
// their answers the requests a second that they take from all nodes together, and went on
// getting as many as before, up to 20 in 4 s at a limit of 1 a second. They turned none
// away, so nothing but the header told of it. Cause: no node read the header; the choice
// of an engine knew free places and work under way, and no rate. Proved by the rate at the
// two engines, which stayed what it was when they named the limit, and by this test.
func TestEngineThatNamesALimitGetsNoMoreFromAllNodesTogether(t *testing.T) {
	for _, perSecond := range []float64{1, 4} {
		t.Run(strings.ReplaceAll(fmt.Sprintf("%g a second", perSecond), " ", "_"), func(t *testing.T) {
			inLimitedFleet(t, 8, func(t *testing.T, l *limited) {
				named := l.now()
				nameLimit(l.engines[:2], fmt.Sprint(perSecond))
				// Three times the limit for each engine, if all get their part.
				l.call(rand.New(rand.NewPCG(45, 1)), 36*perSecond, 20*time.Second)
				l.assertWithinLimit(t, l.engines[0], perSecond, named)
				l.assertWithinLimit(t, l.engines[1], perSecond, named)
				// The other ten serve all callers.
				time.Sleep(2 * time.Second)
				l.assertAllServed(t)
			})
		})
	}
}

// Whatever the requests are, and whatever becomes of them, they count: those of routes
// that may run once, those that engines fail, turn away or break off, and what nodes send
// again or resume.
func TestFailedAndRepeatedRequestsCountTowardsALimit(t *testing.T) {
	for name, change := range map[string]func(*Engine){
		"failing":      func(e *Engine) { e.Events, e.Status = 0, http.StatusInternalServerError },
		"turning_away": func(e *Engine) { e.TurnAway = true },
		// Seen: 18 requests in 4 s, 17 are allowed. Cause: a refusal that named no limit was
		// taken for its end, and all nodes were told, until the next answer that named it.
		"turning_half_away_without_naming_it": func(e *Engine) { e.BareRefusals = 0.5 },
		"breaking_off":                        func(e *Engine) { e.Events, e.BreakAfter = 5, 2 },
	} {
		t.Run(name, func(t *testing.T) {
			inLimitedFleet(t, 8, func(t *testing.T, l *limited) {
				named := l.now()
				for _, engine := range l.engines[:3] {
					engine.Set(change)
				}
				nameLimit(l.engines[:3], "2")
				for number, path := range []string{"/safe/x", "/once/x", "/resumable/x"} {
					l.running.Go(func() { l.callFor(rand.New(rand.NewPCG(45, 10+uint64(number))), path, 24, 10*time.Second) })
				}
				time.Sleep(11 * time.Second)
				for _, engine := range l.engines[:3] {
					l.assertWithinLimit(t, engine, 2, named)
				}
			})
		})
	}
}

func TestLimitThatEndsIsInNobodysWayAnyMore(t *testing.T) {
	inLimitedFleet(t, 8, func(t *testing.T, l *limited) {
		random := rand.New(rand.NewPCG(45, 3))
		nameLimit(l.engines[:2], "0")
		nameLimit(l.engines[2:4], "0.5")
		nameLimit(l.engines[4:6], "2")
		l.call(random, 60, 8*time.Second)
		ended := l.now()
		nameLimit(l.engines[:6], "")
		l.call(random, 60, 20*time.Second)
		for _, engine := range l.engines[:6] {
			arrivals := l.arrivalsAt(engine, ended)
			assert.Assert(t, len(arrivals) > 0, "%s gets nothing any more", engine.ID)
			late := len(l.arrivalsAt(engine, ended+15*time.Second))
			t.Logf("%s: asked again %s after the end, %d requests in the last 5 s", engine.ID, arrivals[0]-ended, late)
			// Its part of 60 a second is 5; engines that hold its prompts by now keep some.
			assert.Check(t, late >= 10, "%s: %d requests in 5 s", engine.ID, late)
		}
	})
}

func TestWhatNoLimitHasRoomForIsRefusedAtOnceWithAMomentToComeBack(t *testing.T) {
	inLimitedFleet(t, 8, func(t *testing.T, l *limited) {
		named := l.now()
		nameLimit(l.engines, "2")
		l.call(rand.New(rand.NewPCG(45, 4)), 60, 15*time.Second)
		time.Sleep(time.Second)
		used := 0
		for _, engine := range l.engines {
			l.assertWithinLimit(t, engine, 2, named)
			used += len(l.arrivalsAt(engine, named+5*time.Second))
		}
		// 12 engines take 24 a second.
		l.mutex.Lock()
		refusals := slices.Clone(l.refusals)
		l.mutex.Unlock()
		t.Logf("%d of 240 requests got through in the last 10 s, %d refused in all", used, len(refusals))
		assert.Check(t, used >= 200, "%d requests got through", used)
		objective := 200 * time.Millisecond
		moments := map[string]bool{}
		for _, refused := range refusals {
			assert.Assert(t, strings.Contains(refused.body, "instances_rate_limited"), refused.body)
			assert.Assert(t, refused.after <= objective/4, "refused after %s", refused.after)
			after, err := strconv.ParseFloat(refused.comeBack, 64)
			assert.NilError(t, err)
			assert.Assert(t, after > 0 && after <= 10, refused.comeBack)
			moments[refused.comeBack] = true
		}
		assert.Assert(t, len(moments) > len(refusals)/10, "%d moments for %d returns", len(moments), len(refusals))
	})
}

// Each engine's requests in 4 s are counted from its side, those of nodes that were
// disturbed included.
func TestLimitsHoldWhileNodesEndStartAndAreCutOff(t *testing.T) {
	disturbances := map[string]func(l *limited, step int){
		"nodes_are_killed_and_start_again": func(l *limited, step int) {
			name := l.Names(false)[step%8]
			l.Kill(name)
			time.Sleep(time.Second)
			l.Boot(name)
		},
		"nodes_stop_as_planned": func(l *limited, step int) {
			name := l.Names(false)[step%8]
			l.Stop(name)
			l.Boot(name)
		},
		"nodes_are_added": func(l *limited, step int) {
			name := fmt.Sprintf("added-%d", step)
			l.AddMachine(name, fmt.Sprintf("10.0.2.%d", 100+step), zones[step%3], false)
			l.Boot(name)
		},
		"control_nodes_are_cut_off": func(l *limited, step int) {
			if step%3 == 1 {
				l.Network.Heal()
				return
			}
			l.Network.CutBetween(l.Names(true), l.Names(false))
		},
		"single_nodes_are_cut_off": func(l *limited, step int) {
			l.Network.Heal()
			cut := l.Names(false)[step%8]
			l.Network.CutBetween([]string{cut}, slices.DeleteFunc(append(l.Names(true), l.Names(false)...), func(name string) bool { return name == cut }))
		},
		"a_zone_is_cut_off_that_reaches_all_engines": func(l *limited, step int) {
			if step%3 == 1 {
				l.Network.Heal()
				return
			}
			own := func(name string) bool { return l.Machine(name).Zone == "b" }
			all := append(l.Names(true), l.Names(false)...)
			l.Network.CutBetween(slices.DeleteFunc(slices.Clone(all), func(name string) bool { return !own(name) }), slices.DeleteFunc(all, own))
		},
	}
	for name, disturb := range disturbances {
		t.Run(name, func(t *testing.T) {
			inLimitedFleet(t, 8, func(t *testing.T, l *limited) {
				named := l.now()
				nameLimit(l.engines[:6], "1")
				nameLimit(l.engines[6:9], "2")
				l.running.Go(func() { l.call(rand.New(rand.NewPCG(45, 5)), 45, 23*time.Second) })
				time.Sleep(5 * time.Second)
				for step := range 3 {
					disturb(l, step)
					time.Sleep(4500 * time.Millisecond)
				}
				l.Network.Heal()
				time.Sleep(5 * time.Second)
				for position, engine := range l.engines[:9] {
					l.assertWithinLimit(t, engine, []float64{1, 2}[position/6], named)
				}
			})
		})
	}
}

func TestScarceRoomGoesToTheMoreUrgentAndNobodyStarves(t *testing.T) {
	inLimitedFleet(t, 8, func(t *testing.T, l *limited) {
		nameLimit(l.engines, "2")
		// 24 a second have room.
		l.running.Go(func() { l.callFor(rand.New(rand.NewPCG(45, 7)), "/resumable/x", 30, 12*time.Second) })
		l.callFor(rand.New(rand.NewPCG(45, 8)), "/stream/x", 30, 12*time.Second)
		time.Sleep(2 * time.Second)
		_, served := l.outcomes()
		urgent, other := served["/stream/x"], served["/resumable/x"]
		t.Logf("%d urgent ones served, %d others", urgent, other)
		assert.Check(t, urgent > other)
		assert.Check(t, other > 30)
	})
}

// The requests that a limited engine would have got go to the others evenly.
func TestOthersAreNotOverrunBesideEnginesWithLimits(t *testing.T) {
	inZone := func(zone string) func(*Engine) bool { return func(e *Engine) bool { return e.Zone == zone } }
	for name, isLimited := range map[string]func(*Engine) bool{
		"a_third": func(e *Engine) bool {
			return strings.HasSuffix(e.ID, "0") || strings.HasSuffix(e.ID, "4") || e.ID == "model-2" || e.ID == "model-9"
		},
		"all_of_a_zone": inZone("a"),
	} {
		t.Run(name, func(t *testing.T) {
			inLimitedFleet(t, 8, func(t *testing.T, l *limited) {
				named := l.now()
				var others []*Engine
				for _, engine := range l.engines {
					if isLimited(engine) {
						nameLimit([]*Engine{engine}, "1")
						continue
					}
					others = append(others, engine)
				}
				// 8 a second for each engine, if all get their part.
				l.call(rand.New(rand.NewPCG(45, 6)), 100, 10*time.Second)
				time.Sleep(2 * time.Second)
				var got []int
				total := 0
				for _, engine := range l.engines {
					if isLimited(engine) {
						l.assertWithinLimit(t, engine, 1, named)
					}
				}
				for _, engine := range others {
					arrivals := l.arrivalsAt(engine, named+limitcheck.ReactionTime)
					got = append(got, limitcheck.MaximumInWindow(arrivals))
					total += len(arrivals)
				}
				mean := float64(total) / float64(len(others)) * limitcheck.Window.Seconds() / 7
				t.Logf("in 4 s the others got at most %v, %.1f in the mean", got, mean)
				assert.Check(t, float64(slices.Max(got)) <= 2*mean)
				l.assertAllServed(t)
			})
		})
	}
}

func TestOperatorListsTheLimitsInForce(t *testing.T) {
	inLimitedFleet(t, 3, func(t *testing.T, l *limited) {
		nameLimit(l.engines[:1], "0.5")
		l.call(rand.New(rand.NewPCG(45, 9)), 40, 8*time.Second)
		listed, err := l.Operators("entry-1").GetLimits(l.ctx, connect.NewRequest(&ravenwayv1.GetLimitsRequest{}))
		assert.NilError(t, err)
		assert.Equal(t, len(listed.Msg.GetLimits()), 1)
		one := listed.Msg.GetLimits()[0]
		assert.Assert(t, strings.HasPrefix(one.GetInstance(), l.engines[0].ID), one.GetInstance())
		assert.Equal(t, one.GetRequestsPerSecond(), 0.5)
		assert.Equal(t, one.GetService(), "model")
		// The only entry node of the engine's zone.
		assert.Equal(t, one.GetHolder(), l.Machine("entry-0").Peer())
		_, err = l.Operators("control-0").GetLimits(l.ctx, connect.NewRequest(&ravenwayv1.GetLimitsRequest{}))
		assert.Equal(t, connect.CodeOf(err), connect.CodeFailedPrecondition)
	})
}
