package openfleet

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// versionedFleet is a fleet whose service llm has several engines of each of two versions.
type versionedFleet struct {
	*Fleet
	engines []*Engine
}

const (
	versionedEvents   = 30
	versionedWorkTime = 40 * time.Millisecond
	// maximumTakeUps bounds the attempts of one caller.
	maximumTakeUps = 4
)

// withVersionedFleet runs a test in virtual time against a fleet with two engines of each of the versions
// v1 and v2 in each zone.
func withVersionedFleet(t *testing.T, entries int, test func(t *testing.T, v *versionedFleet)) {
	t.Helper()
	withFleet(t, entries, func(t *testing.T, f *Fleet) {
		v := &versionedFleet{Fleet: f}
		for _, zone := range zones {
			f.CrashEngine(f.engines["llm-"+zone])
			for number := range 2 {
				for _, version := range []string{"v1", "v2"} {
					v.addEngine(fmt.Sprintf("%s-%s-%d", version, zone, number), zone, version)
				}
			}
		}
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
	// events are the numbers of the events, and versions the versions of the engines that sent them.
	events     []int
	versions   []string
	isComplete bool
}

// wasTakenUp reports whether the caller took the stream up again, and continues whether it then
// received further events.
func (s *followedStream) wasTakenUp() bool { return len(s.nodes) > 1 }

// follow receives a stream from an entry node and takes it up again at others until it is complete.
func (v *versionedFleet) follow(id string, random *rand.Rand, first string) *followedStream {
	stream := &followedStream{id: id}
	resumes, node := "", first
	for attempt := range maximumTakeUps {
		call := CallerRequest{ID: fmt.Sprintf("%s-%d", id, attempt), Path: "/resumable/x", Key: "key-one", Tokens: "10,30", Resumes: resumes}
		if len(stream.events) > 0 {
			call.After = strconv.Itoa(stream.events[len(stream.events)-1])
		}
		response, err := v.Request(node, call)
		stream.nodes, stream.statuses = append(stream.nodes, node), append(stream.statuses, response.Status)
		if response.Status == http.StatusOK && stream.add(response.Body) && resumes == "" {
			resumes = call.ID
		}
		if err == nil && response.BodyError == nil && response.Status == http.StatusOK {
			stream.isComplete = true
			return stream
		}
		time.Sleep(100 * time.Millisecond)
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
	}
}

// followMany follows streams that begin at all entry nodes in turn, while disturb runs.
func (v *versionedFleet) followMany(seed uint64, count int, interval time.Duration, disturb func()) []*followedStream {
	entries := v.MachineNames(false)
	streams := make([]*followedStream, count)
	var running sync.WaitGroup
	running.Go(disturb)
	for number := range count {
		running.Go(func() {
			streams[number] = v.follow(fmt.Sprintf("followed-%d", number), rand.New(rand.NewPCG(seed, uint64(number))), entries[number%len(entries)])
		})
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

// Guards against streams that continue on another version when their callers take them up again at a
// node that did not begin them.
func TestStreamsOfKilledNodesContinueOnTheirVersion(t *testing.T) {
	withVersionedFleet(t, 6, func(t *testing.T, v *versionedFleet) {
		streams := v.followMany(61, 90, 20*time.Millisecond, func() {
			time.Sleep(800 * time.Millisecond)
			v.Kill("entry-1")
			time.Sleep(400 * time.Millisecond)
			v.Kill("entry-2")
		})
		takenUp, wentOn := assertNoJoins(t, streams)
		t.Logf("%d streams were taken up again, %d of them went on", takenUp, wentOn)
		assert.Check(t, takenUp >= 12 && float64(wentOn) >= 0.9*float64(takenUp), "%d of %d streams went on", wentOn, takenUp)
	})
}
