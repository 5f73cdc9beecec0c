package openfleet

import (
	"cmp"
	"fmt"
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
)

// versionedFleet is a fleet whose service llm has several engines of each of two versions.
type versionedFleet struct {
	*Fleet
	engines []*Engine
	// namesNoAttempt indicates that callers do not name the attempt that brought a stream's first event.
	namesNoAttempt bool
	// patience is how long a caller follows its stream, 0 for followDeadline.
	patience time.Duration
}

const (
	versionedEvents   = 30
	versionedWorkTime = 40 * time.Millisecond
	// followDeadline is how long a caller follows its stream, maximumAttempts bounds its attempts, and
	// retryTime is the time between two of them if the response names none.
	followDeadline  = 5 * time.Second
	maximumAttempts = 12
	retryTime       = 100 * time.Millisecond
)

// withVersionedFleet runs a test in virtual time against a fleet with two engines of each of the versions
// v1 and v2 in each zone.
func withVersionedFleet(t *testing.T, entries int, test func(t *testing.T, v *versionedFleet)) {
	t.Helper()
	withFleetOfVersions(t, entries, []string{"v1", "v2"}, test)
}

// withFleetOfVersions is withVersionedFleet with the given versions.
func withFleetOfVersions(t *testing.T, entries int, versions []string, test func(t *testing.T, v *versionedFleet)) {
	t.Helper()
	withFleet(t, entries, func(t *testing.T, f *Fleet) {
		v := &versionedFleet{Fleet: f}
		for _, zone := range zones {
			f.CrashEngine(f.engines["llm-"+zone])
			for number := range 2 {
				for _, version := range versions {
					v.addEngine(fmt.Sprintf("%s-%s-%d", version, zone, number), zone, version)
				}
			}
		}
		rich := configuration(2)
		rich.Tenants[0].Prepaid = 100 * prepaid
		assert.NilError(t, f.PutConfiguration(rich, 8*time.Second))
		time.Sleep(8 * time.Second)
		test(t, v)
	})
}

func (v *versionedFleet) addEngine(id, zone, version string) *Engine {
	added := v.AddEngineVersion(id, "llm", zone, version)
	added.Update(func(e *Engine) { e.Events, e.WorkTime, e.Slots = versionedEvents, versionedWorkTime, 64 })
	v.engines = append(v.engines, added)
	return added
}

// followedStream is a stream as its caller received it over all of its attempts.
type followedStream struct {
	id string
	// nodes are the entry nodes of the attempts, and statuses their responses; 0 means none.
	nodes    []string
	statuses []int
	// refusal is the body of the last response that was refused.
	refusal string
	// events are the numbers of the events, and versions the versions of the engines that sent them.
	events     []int
	versions   []string
	isComplete bool
}

// wasTakenUp reports whether the caller took the stream up again, and continues whether it then
// received further events.
func (s *followedStream) wasTakenUp() bool { return len(s.nodes) > 1 }

// follow receives a stream from an entry node and takes it up again at others until it is complete, its
// deadline is over, or it is refused for good.
func (v *versionedFleet) follow(id string, random *rand.Rand, first string) *followedStream {
	stream := &followedStream{id: id}
	resumes, node := "", first
	startedAt := time.Now()
	for attempt := 0; attempt < maximumAttempts && time.Since(startedAt) < cmp.Or(v.patience, followDeadline); attempt++ {
		call := CallerRequest{ID: fmt.Sprintf("%s-%d", id, attempt), Path: "/resumable/x", Key: "key-one", Tokens: "10,30", Body: id, Resumes: resumes}
		if len(stream.events) > 0 {
			call.After = strconv.Itoa(stream.events[len(stream.events)-1])
		}
		response, err := v.Request(node, call)
		stream.nodes, stream.statuses = append(stream.nodes, node), append(stream.statuses, response.Status)
		if response.Status == http.StatusOK && stream.add(response.Body) && resumes == "" && !v.namesNoAttempt {
			resumes = call.ID
		}
		if err == nil && response.BodyError == nil && response.Status == http.StatusOK {
			stream.isComplete = true
			return stream
		}
		wait := retryTime
		if err == nil && response.Status == http.StatusServiceUnavailable {
			stream.refusal = response.Body
			seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
			if err != nil {
				return stream
			}
			wait = time.Duration(seconds * float64(time.Second))
		}
		time.Sleep(wait)
		node = v.anyRunningEntry(random)
	}
	return stream
}

// add adds the complete events of a response, and reports whether there are any.
func (s *followedStream) add(body string) bool {
	before := len(s.events)
	for text := range strings.SplitSeq(body, eventEnd) {
		id, data, _ := strings.Cut(text, "\ndata: ")
		number, err := strconv.Atoi(strings.TrimPrefix(id, "id: "))
		if version, _, isVersioned := strings.Cut(data, "/"); err == nil && isVersioned && strings.HasSuffix(data, "-"+strconv.Itoa(number)) {
			s.events, s.versions = append(s.events, number), append(s.versions, version)
		}
	}
	return len(s.events) > before
}

// anyRunningEntry returns a random entry node whose process runs.
func (v *versionedFleet) anyRunningEntry(random *rand.Rand) string {
	for {
		names := v.MachineNames(false)
		name := names[random.IntN(len(names))]
		if v.Machine(name).running() != nil {
			return name
		}
		time.Sleep(pollInterval)
	}
}

// followMany follows streams that begin at all entry nodes in turn, while disturb runs. started is called
// with the number of each stream that has been started.
func (v *versionedFleet) followMany(seed uint64, count int, interval time.Duration, disturb func(), started ...func(number int)) []*followedStream {
	entries := v.MachineNames(false)
	streams := make([]*followedStream, count)
	var running sync.WaitGroup
	running.Go(disturb)
	for number := range count {
		running.Go(func() {
			streams[number] = v.follow(fmt.Sprintf("followed-%d", number), rand.New(rand.NewPCG(seed, uint64(number))), entries[number%len(entries)])
		})
		for _, notify := range started {
			notify(number)
		}
		time.Sleep(interval)
	}
	running.Wait()
	return streams
}

// assertNoJoins checks that no stream holds events of two versions, misses one or repeats one. It returns
// the number of streams that were taken up again, and of those that then went on.
func assertNoJoins(t *testing.T, streams []*followedStream) (takenUp, wentOn int) {
	t.Helper()
	for _, stream := range streams {
		assert.Check(t, len(slices.Compact(slices.Clone(stream.versions))) <= 1, "%s at %v holds events of %v", stream.id, stream.nodes, slices.Compact(slices.Clone(stream.versions)))
		for position, number := range stream.events {
			assert.Check(t, number == position+1, "%s at %v: event %d at position %d", stream.id, stream.nodes, number, position+1)
		}
		if stream.wasTakenUp() && len(stream.events) > 0 {
			takenUp++
			if stream.isComplete {
				wentOn++
			} else {
				t.Logf("%s ended after %d events: %v at %v: %s", stream.id, len(stream.events), stream.statuses, stream.nodes, stream.refusal)
			}
		}
	}
	return takenUp, wentOn
}

// Guards against streams that continue on another version after their engine has crashed, whether the
// node resumes them or their callers take them up again.
func TestStreamsOfCrashedEnginesContinueOnTheirVersion(t *testing.T) {
	withVersionedFleet(t, 3, func(t *testing.T, v *versionedFleet) {
		streams := v.followMany(60, 60, 20*time.Millisecond, func() {
			time.Sleep(500 * time.Millisecond)
			v.CrashEngine(v.engines[0])
			time.Sleep(300 * time.Millisecond)
			v.CrashEngine(v.engines[1])
		})
		assertNoJoins(t, streams)
	})
}

// loss is a disruption in which the nodes that know a stream are lost.
type loss struct {
	name    string
	entries int
	inject  func(v *versionedFleet)
	// minimumShare is the minimum share of the streams that were taken up again which go on.
	minimumShare float64
}

// ownGoal is the share of the streams that are taken up again which should go on while engines of their
// version serve.
const ownGoal = 0.9

// killAll kills nodes at once, and boots them again after a while.
func killAll(names func(v *versionedFleet) []string, downtime time.Duration) func(v *versionedFleet) {
	return func(v *versionedFleet) {
		for _, name := range names(v) {
			v.Kill(name)
		}
		time.Sleep(downtime)
		for _, name := range names(v) {
			v.Boot(name)
		}
	}
}

// machinesOf returns the machines of a zone, control nodes first.
func (v *versionedFleet) machinesOf(zone string) []string {
	return slices.DeleteFunc(append(v.MachineNames(true), v.MachineNames(false)...), func(name string) bool { return v.Machine(name).Zone != zone })
}

// others returns all machines of nodes but one.
func (v *versionedFleet) others(than string) []string {
	return slices.DeleteFunc(append(v.MachineNames(true), v.MachineNames(false)...), func(name string) bool { return name == than })
}

var losses = []loss{
	{"one node", 6, killAll(func(*versionedFleet) []string { return []string{"entry-1"} }, 500*time.Millisecond), ownGoal},
	{"two of a zone's three nodes", 9, killAll(func(*versionedFleet) []string { return []string{"entry-1", "entry-4"} }, 500*time.Millisecond), ownGoal},
	{"all nodes of a zone, its control node too", 6, killAll(func(v *versionedFleet) []string { return v.machinesOf("b") }, 2*time.Second), ownGoal},
	{"all entry nodes", 6, killAll(func(v *versionedFleet) []string { return v.MachineNames(false) }, 500*time.Millisecond), ownGoal},
	{"one node after the other", 6, func(v *versionedFleet) {
		for number := range 4 {
			v.Kill(fmt.Sprint("entry-", number))
			time.Sleep(300 * time.Millisecond)
			v.Boot(fmt.Sprint("entry-", number))
			time.Sleep(200 * time.Millisecond)
		}
	}, ownGoal},
	{"a control node, then an entry node", 6, func(v *versionedFleet) {
		v.Kill("control-0")
		time.Sleep(300 * time.Millisecond)
		v.Kill("entry-1")
	}, ownGoal},
	{"a zone's control node is partitioned while its entry node is killed", 9, func(v *versionedFleet) {
		v.Network.PartitionBetween([]string{"control-1"}, v.others("control-1"))
		time.Sleep(200 * time.Millisecond)
		v.Kill("entry-1")
	}, ownGoal},
	{"a node that is silent to the others, then killed", 9, func(v *versionedFleet) {
		// Its records reach nobody any more; streams that began before go on.
		for _, other := range v.others("entry-1") {
			v.Network.PartitionOneWay("entry-1", other)
		}
		time.Sleep(20 * time.Millisecond)
		v.Kill("entry-1")
		v.Network.Heal()
	}, ownGoal},
	{"a node that hears nothing of the others, while another is killed", 9, func(v *versionedFleet) {
		for _, other := range v.others("entry-4") {
			v.Network.PartitionOneWay(other, "entry-4")
		}
		time.Sleep(200 * time.Millisecond)
		v.Kill("entry-1")
		time.Sleep(time.Second)
		v.Network.Heal()
	}, ownGoal},
	{"a node of a zone that is partitioned from the others", 9, func(v *versionedFleet) {
		inZone := v.machinesOf("b")
		outside := slices.DeleteFunc(append(v.MachineNames(true), v.MachineNames(false)...), func(name string) bool { return slices.Contains(inZone, name) })
		v.Network.PartitionBetween(inZone, outside)
		time.Sleep(200 * time.Millisecond)
		v.Kill("entry-1")
		time.Sleep(1500 * time.Millisecond)
		v.Network.Heal()
	}, ownGoal},
	{"a node that reaches no engines, while another is killed", 6, func(v *versionedFleet) {
		v.Network.PartitionBetween([]string{"entry-4"}, v.engineMachines())
		time.Sleep(200 * time.Millisecond)
		v.Kill("entry-1")
		time.Sleep(time.Second)
		v.Network.Heal()
	}, ownGoal},
	// No memory of the streams is left, so none goes on.
	{"all processes", 6, func(v *versionedFleet) {
		v.PowerOffAll()
		time.Sleep(200 * time.Millisecond)
		v.BootAll()
	}, 0},
}

// Guards against streams that continue on another version, or end, when their callers take them up again
// at a node that did not begin them because the nodes that did are gone.
func TestStreamsOfKilledNodesContinueOnTheirVersion(t *testing.T) {
	for _, one := range losses {
		t.Run(strings.ReplaceAll(one.name, " ", "_"), func(t *testing.T) {
			withVersionedFleet(t, one.entries, func(t *testing.T, v *versionedFleet) {
				streams := v.followMany(61, 90, 20*time.Millisecond, func() {
					time.Sleep(800 * time.Millisecond)
					one.inject(v)
				})
				takenUp, wentOn := assertNoJoins(t, streams)
				t.Logf("%d streams were taken up again, %d of them went on", takenUp, wentOn)
				assert.Check(t, takenUp >= 8 && float64(wentOn) >= one.minimumShare*float64(takenUp), "%d of %d streams went on", wentOn, takenUp)
			})
		})
	}
}

// Guards against streams that continue on another version while releases of several versions follow each
// other, engines crash and nodes are killed.
func TestStreamsContinueOnTheirVersionInSeriesOfReleases(t *testing.T) {
	for seed := range uint64(2) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			withVersionedFleet(t, 6, func(t *testing.T, v *versionedFleet) {
				random := rand.New(rand.NewPCG(62, seed))
				streams := v.followMany(seed, 220, 20*time.Millisecond, func() { v.disturb(random, 4*time.Second) })
				takenUp, wentOn := assertNoJoins(t, streams)
				t.Logf("%d streams were taken up again, %d of them went on", takenUp, wentOn)
				for _, stream := range streams {
					if strings.Contains(stream.refusal, "stream_version_gone") {
						takenUp--
					}
				}
				assert.Check(t, float64(wentOn) >= ownGoal*float64(takenUp), "%d of %d streams went on", wentOn, takenUp)
			})
		})
	}
}

// disturb releases versions in series while engines crash and entry nodes are killed and booted again.
func (v *versionedFleet) disturb(random *rand.Rand, duration time.Duration) {
	versions := []string{"v1", "v1.1", "v1.2", "v2"}
	for start, step := time.Now(), 0; time.Since(start) < duration; step++ {
		switch random.IntN(4) {
		case 0:
			engine := v.engines[random.IntN(len(v.engines))]
			v.addEngine(fmt.Sprintf("released-%d", step), engine.Zone, versions[random.IntN(len(versions))])
			if !engine.hasCrashed.Load() {
				_ = v.Drain(engine.ID)
			}
		case 1:
			if engine := v.engines[random.IntN(len(v.engines))]; len(v.engines) > 8 {
				v.CrashEngine(engine)
			}
		default:
			name := v.anyRunningEntry(random)
			v.Kill(name)
			time.Sleep(time.Duration(random.IntN(200)) * time.Millisecond)
			v.Boot(name)
		}
		time.Sleep(time.Duration(50+random.IntN(250)) * time.Millisecond)
	}
}

// Guards against a stream that is taken up by another tenant, under an ID that never was, or under one of
// 10 KB, and against refusals of which the caller has to wait for.
func TestStreamsThatNobodyBeganAreRefusedAtOnce(t *testing.T) {
	withVersionedFleet(t, 3, func(t *testing.T, v *versionedFleet) {
		began, err := v.Request("entry-0", newRequest("began", "/resumable/x"))
		assert.NilError(t, err)
		assert.Equal(t, began.Status, http.StatusOK)
		listed, err := v.OperatorClient("entry-0").GetStreams(v.ctx, connect.NewRequest(&ravenwayv1.GetStreamsRequest{}))
		assert.NilError(t, err)
		streams := 0
		for _, version := range listed.Msg.GetVersions() {
			streams += int(version.GetStreams())
			assert.Assert(t, !strings.HasPrefix(version.GetVersion(), "v") || version.GetInstances() == 6, "%v", version)
		}
		assert.Equal(t, streams, 1)
		for name, resumes := range map[string]string{"unknown": "never-was", "long": strings.Repeat("x", 10_000), "none": ""} {
			for number := range 3 {
				call := newRequest(fmt.Sprintf("%s-%d", name, number), "/resumable/x")
				call.After, call.Resumes = "3", resumes
				startedAt := time.Now()
				response, err := v.Request(fmt.Sprint("entry-", number), call)
				assert.NilError(t, err)
				assert.Equal(t, response.Status, http.StatusServiceUnavailable, "%s at %d", name, number)
				assert.Assert(t, strings.Contains(response.Body, "stream_version_unknown"), response.Body)
				assert.Assert(t, time.Since(startedAt) < 100*time.Millisecond, "%s at %d took %s", name, number, time.Since(startedAt))
			}
		}
		for number := range 3 {
			call := newRequest(fmt.Sprintf("taken-up-%d", number), "/resumable/x")
			call.After, call.Resumes = "28", "began"
			response, err := v.Request(fmt.Sprint("entry-", number), call)
			assert.NilError(t, err)
			version, _, _ := strings.Cut(strings.TrimPrefix(began.Body, "id: 1\ndata: "), "/")
			expected := ""
			for event := 29; event <= versionedEvents; event++ {
				expected += fmt.Sprintf("id: %d\ndata: %s/%s-%d\n\n", event, version, call.ID, event)
			}
			assert.Equal(t, response.Body, expected)
		}
	})
}

// Guards against streams that are taken up again and push each other out, or are pushed out by new ones,
// when two engines of their version are left.
func TestManyStreamsAreTakenUpAtTheLastEnginesOfAVersion(t *testing.T) {
	withVersionedFleet(t, 6, func(t *testing.T, v *versionedFleet) {
		const room = 100
		for _, engine := range v.engines {
			engine.Update(func(e *Engine) { e.Room = room })
		}
		began := make(chan struct{})
		streams := v.followMany(63, 400, 5*time.Millisecond, func() {
			<-began
			left := 2
			for _, engine := range v.engines {
				if engine.Version != "v1" {
					continue
				}
				if left--; left < 0 {
					v.CrashEngine(engine)
				}
			}
			for _, name := range []string{"entry-0", "entry-1", "entry-2"} {
				v.Kill(name)
			}
		}, func(number int) {
			if number == 200 {
				close(began)
			}
		})
		takenUp, wentOn := assertNoJoins(t, streams)
		t.Logf("%d streams were taken up again, %d of them went on", takenUp, wentOn)
		assert.Check(t, takenUp > room && float64(wentOn) >= ownGoal*float64(takenUp), "%d of %d streams went on", wentOn, takenUp)
	})
}

// Guards against a stream that is lost, or changes its version, at a later link of a chain: its caller
// always names the attempt that brought the first event, which no node that is left relayed.
func TestStreamThatIsTakenUpAgainAndAgainKeepsItsVersion(t *testing.T) {
	withVersionedFleet(t, 9, func(t *testing.T, v *versionedFleet) {
		const links = 4
		events, versions := 0, map[string]bool{}
		for link := range links {
			call := newRequest(fmt.Sprint("link-", link), "/resumable/x")
			call.Tokens = "10,30"
			if link > 0 {
				call.Resumes, call.After = "link-0", strconv.Itoa(events)
			}
			node := fmt.Sprint("entry-", link)
			v.goroutines.Go(func() {
				time.Sleep(300 * time.Millisecond)
				v.Kill(node)
			})
			response, err := v.Request(node, call)
			assert.NilError(t, err)
			assert.Equal(t, response.Status, http.StatusOK, "link %d: %s", link, response.Body)
			stream := &followedStream{}
			assert.Assert(t, stream.add(response.Body), "link %d brings no event", link)
			assert.Equal(t, stream.events[0], events+1)
			events = stream.events[len(stream.events)-1]
			for _, version := range stream.versions {
				versions[version] = true
			}
		}
		assert.Equal(t, len(versions), 1, "%v", versions)
	})
}

// Guards against two attempts at once to take up one stream, of which one is refused or continues on
// another version.
func TestOneStreamIsTakenUpTwiceAtOnce(t *testing.T) {
	withVersionedFleet(t, 6, func(t *testing.T, v *versionedFleet) {
		v.goroutines.Go(func() {
			time.Sleep(300 * time.Millisecond)
			v.Kill("entry-0")
		})
		began := &followedStream{}
		first, err := v.Request("entry-0", newRequest("began", "/resumable/x"))
		assert.NilError(t, err)
		assert.Assert(t, first.BodyError != nil && began.add(first.Body))
		var running sync.WaitGroup
		for number := 1; number < 6; number++ {
			running.Go(func() {
				call := newRequest(fmt.Sprint("again-", number), "/resumable/x")
				call.Resumes, call.After = "began", strconv.Itoa(len(began.events))
				response, err := v.Request(fmt.Sprint("entry-", number), call)
				again := &followedStream{}
				assert.Check(t, err == nil && response.BodyError == nil && again.add(response.Body), "%d %v", response.Status, response.BodyError)
				assert.Check(t, len(again.versions) == versionedEvents-len(began.events) && again.versions[0] == began.versions[0])
			})
		}
		running.Wait()
	})
}

// Guards against a guess about a stream of which nobody has a record: it goes on only after the service has
// certainly had one version for longer than the stream can have lasted, for example if a node of an
// earlier build began it, or its caller does not name the attempt that did. A node that has just started
// knows nothing of a version that is gone.
func TestStreamWithoutARecordGoesOnOnlyOnTheOnlyVersion(t *testing.T) {
	for name, isNamed := range map[string]bool{"the attempt is named": true, "no attempt is named": false} {
		t.Run(name, func(t *testing.T) {
			withFleet(t, 3, func(t *testing.T, f *Fleet) {
				expect := func(want int, when string) {
					t.Helper()
					call := newRequest("takes up "+when, "/resumable/x")
					if call.After = "3"; isNamed {
						call.Resumes = "began before " + when
					}
					response, err := f.Request("entry-0", call)
					assert.NilError(t, err)
					assert.Equal(t, response.Status, want, "%s: %+v", when, response)
				}
				// The routes' streams are remembered for 10 s.
				expect(http.StatusServiceUnavailable, "when the nodes have started less than 10 s ago")
				time.Sleep(12 * time.Second)
				expect(http.StatusOK, "later")
				f.Kill("control-2")
				time.Sleep(4 * time.Second)
				expect(http.StatusServiceUnavailable, "while one is missing")
				f.Boot("control-2")
				time.Sleep(4 * time.Second)
				expect(http.StatusServiceUnavailable, "when it is back")
				time.Sleep(12 * time.Second)
				expect(http.StatusOK, "when it has been back")
				other := f.AddEngineVersion("llm-new", "llm", "a", "v2")
				time.Sleep(2 * time.Second)
				expect(http.StatusServiceUnavailable, "while there are two versions")
				f.CrashEngine(other)
				f.Kill("entry-0")
				time.Sleep(5 * time.Second)
				f.Boot("entry-0")
				time.Sleep(2 * time.Second)
				expect(http.StatusServiceUnavailable, "at a node that has just started, while streams of the other version can be taken up")
			})
		})
	}
}

// Guards against nodes that are partitioned from all engines, whose connections break, and that take all of
// them for ended: their streams, and those that are taken up there, go on through other nodes.
func TestStreamsOfPartitionedNodesContinueOnTheirVersion(t *testing.T) {
	withVersionedFleet(t, 6, func(t *testing.T, v *versionedFleet) {
		partitioned, engines := v.MachineNames(false)[:5], v.engineMachines()
		streams := v.followMany(64, 200, 10*time.Millisecond, func() {
			time.Sleep(800 * time.Millisecond)
			v.Network.PartitionBetween(partitioned, engines)
			v.Network.BreakConnectionsBetween(partitioned, engines)
			time.Sleep(2 * time.Second)
			v.Network.Heal()
		})
		_, _ = assertNoJoins(t, streams)
		complete, refused := 0, 0
		for _, stream := range streams {
			if stream.isComplete {
				complete++
			}
			for _, status := range stream.statuses {
				if status == http.StatusServiceUnavailable {
					refused++
				}
			}
		}
		t.Logf("%d of %d streams are complete, %d attempts were refused", complete, len(streams), refused)
		assert.Check(t, float64(complete) >= ownGoal*float64(len(streams)), "%d of %d streams are complete", complete, len(streams))
	})
}
