package openfleet

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The tests of this file guard against a part of prompts that crashes each engine that begins a response
// on it. Twice within a day such a part crashed 58 and 48 engines of a group of twelve, one after the other.
// No two requests with it were alike: each had another last part and another body, and most came once. The
// other parts of their prompts were those of sound requests. Crashes were recorded by path, caller and whole
// body, so nearly each of them was the first one of its request.
const (
	// crashingPart is the part that crashes engines.
	crashingPart = "crashing"
	// commonPart is the first part of most prompts.
	commonPart = "common"
	// provenPartCrashes is the number of crashes from which on a part must be known at all nodes within
	// propagationTime.
	provenPartCrashes = 5
	// maximumPartRuns is the maximum number of requests with the part that engines receive after that.
	maximumPartRuns = 3
	// minimumSoundShare is the share of the sound requests that must be served while requests with the part
	// arrive, of the share that is served without them.
	minimumSoundShare = 0.95
)

// partTraffic sends requests whose prompts have several parts, each with another last part and body.
type partTraffic struct {
	*poisonedFleet
	random *rand.Rand
	path   string
	sent   int
}

// send sends a request whose prompt begins with parts, to a random entry node.
func (p *partTraffic) send(parts string, done func(served bool)) {
	entries := p.MachineNames(false)
	p.sent++
	name, id := entries[p.random.IntN(len(entries))], fmt.Sprintf("request-%d", p.sent)
	p.goroutines.Go(func() {
		response, err := p.Request(name, CallerRequest{ID: id, Path: p.path, Key: "key-one", Tokens: "1,1", Body: id, PromptPart: parts + ",own-" + id})
		if done != nil {
			done(err == nil && response.Status == 200 && response.BodyError == nil)
		}
	})
}

// crashOnParts makes all engines crash on parts of prompts, those that replace crashed ones included.
func (p *poisonedFleet) crashOnParts(parts ...string) {
	p.mutex.Lock()
	p.crashingParts = parts
	p.mutex.Unlock()
	p.enginesMutex.Lock()
	defer p.enginesMutex.Unlock()
	for _, engine := range p.engines {
		engine.Update(func(e *Engine) { e.CrashesOnParts = parts })
	}
}

// servedTally counts the requests that were served, of all that were sent.
type servedTally struct {
	sent, served atomic.Int64
}

// count returns a function that counts a request, or nil if the request doesn't count.
func (t *servedTally) count(doesCount bool) func(served bool) {
	if !doesCount {
		return nil
	}
	t.sent.Add(1)
	return func(served bool) {
		if served {
			t.served.Add(1)
		}
	}
}

func (t *servedTally) share() float64 { return float64(t.served.Load()) / float64(t.sent.Load()) }

// runsWithPart returns the times at which requests with a part arrived at engines.
func (p *poisonedFleet) runsWithPart(part string) []time.Duration {
	var times []time.Duration
	for _, run := range p.GroundTruth.Runs() {
		if slices.Contains(run.Parts, part) {
			times = append(times, run.Arrived)
		}
	}
	slices.Sort(times)
	return times
}

// partRunsAfterPropagation counts the requests with a part that arrived at engines later than
// propagationTime after the crash from which on the part must be known.
func (p *poisonedFleet) partRunsAfterPropagation(part string) int {
	p.mutex.Lock()
	crashes := slices.Sorted(slices.Values(p.crashes))
	p.mutex.Unlock()
	if len(crashes) < provenPartCrashes {
		return 0
	}
	after := crashes[provenPartCrashes-1] + propagationTime
	return len(slices.DeleteFunc(p.runsWithPart(part), func(arrived time.Duration) bool { return arrived <= after }))
}

func TestCrashingPartOfPromptsReachesFewEnginesAfterFiveCrashes(t *testing.T) {
	for _, path := range []string{"/resumable/x", "/stream/x", "/safe/x", "/once/x"} {
		t.Run(path[1:len(path)-2], func(t *testing.T) {
			withPoisonedFleet(t, 60*time.Millisecond, func(t *testing.T, p *poisonedFleet) {
				p.crashOnParts(crashingPart)
				traffic := &partTraffic{poisonedFleet: p, random: rand.New(rand.NewPCG(63, 1)), path: path}
				var tally servedTally
				for start := time.Now(); time.Since(start) < 20*time.Second; time.Sleep(50 * time.Millisecond) {
					traffic.send(commonPart+",sound", tally.count(time.Since(start) > 2*propagationTime))
					if traffic.sent%4 == 0 {
						traffic.send(commonPart+","+crashingPart, nil)
					}
				}
				late := p.partRunsAfterPropagation(crashingPart)
				t.Logf("%d engines crashed, %d late requests with the part, %.3f of the sound ones served", p.crashCount(), late, tally.share())
				assert.Assert(t, p.crashCount() >= 2)
				assert.Assert(t, late <= maximumPartRuns, "%d requests with the part", late)
				assert.Assert(t, tally.share() >= minimumSoundShare, "%.3f of the sound requests served", tally.share())
			})
		})
	}
}

// crashThreeByPart sends three different requests with the crashing part to three entry nodes, each of which
// sees one engine crash.
func (p *poisonedFleet) crashThreeByPart() {
	for number, name := range []string{"entry-0", "entry-1", "entry-2"} {
		_, _ = p.requestWithPart(name, fmt.Sprintf("crashes-%d", number), crashingPart)
		time.Sleep(500 * time.Millisecond)
	}
}

// requestWithPart sends a request unlike all others whose prompt has a part after the common one.
func (p *poisonedFleet) requestWithPart(name, id, part string) (CallerResponse, error) {
	return p.Request(name, CallerRequest{ID: id, Path: "/stream/x", Key: "key-one", Tokens: "1,1", Body: id, PromptPart: commonPart + "," + part + ",own-" + id})
}

// nodesRefusingPart returns how many entry nodes refuse a new request with the part as quarantined.
func (p *poisonedFleet) nodesRefusingPart() int {
	refusing := 0
	for _, name := range p.MachineNames(false) {
		response, err := p.requestWithPart(name, fmt.Sprintf("probe-%s-%d", name, time.Now().UnixNano()), crashingPart)
		if err == nil && strings.Contains(response.Body, "quarantined") {
			refusing++
		}
	}
	return refusing
}

// Guards against a quarantine of a part that only the nodes that saw the crashes know, that a loss of all power
// undoes, or that new nodes are not told.
func TestQuarantineOfAPartReachesAllNodesAndSurvivesAPowerLossOfAllMachines(t *testing.T) {
	withPoisonedFleet(t, 60*time.Millisecond, func(t *testing.T, p *poisonedFleet) {
		p.crashOnParts(crashingPart)
		p.crashThreeByPart()
		time.Sleep(500 * time.Millisecond)
		assert.Equal(t, p.nodesRefusingPart(), 6)
		served, err := p.requestWithPart("entry-4", "sound", "sound")
		assert.NilError(t, err)
		assert.Equal(t, served.Status, 200)
		p.PowerOffAll()
		// One control node loses its disk, too.
		p.Wipe("control-1")
		time.Sleep(time.Second)
		p.BootAll()
		time.Sleep(propagationTime)
		assert.Equal(t, p.nodesRefusingPart(), 6)
		p.AddMachine("entry-new", "10.0.2.99", "a", false)
		p.Boot("entry-new")
		time.Sleep(propagationTime)
		assert.Equal(t, p.nodesRefusingPart(), 7)
		assert.Equal(t, p.crashCount(), 3)
	})
}
