package rollout

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	state "github.com/ravenway/ravenway/internal/state/rollout"
)

func watching(stage state.Stage) *Recorder {
	recorder := NewRecorder()
	recorder.Watch([]state.Rollout{{Order: state.Order{Service: "llm", Version: "v2"}, Revision: 9, Stage: stage}})
	return recorder
}

func responseOf(version string, first time.Duration) Response {
	return Response{Service: "llm", Version: version, Instance: version + "-1", Route: "r", FirstEvent: first, Tokens: 500}
}

// recordBaseline records a baseline for the route: responses within 80 to 120 ms.
func recordBaseline(recorder *Recorder) {
	for number := range 40 {
		recorder.Record(responseOf("v1", time.Duration(80+number)*time.Millisecond))
	}
}

func newCounts(recorder *Recorder) Counts { return recorder.Samples()[0].Routes[0].New }

func TestResponseIsSlowInComparisonWithTheOldVersion(t *testing.T) {
	recorder := watching(state.Canary)
	recorder.Record(responseOf("v2", time.Second))
	assert.Equal(t, newCounts(recorder).Bad, uint32(0), "there is no baseline yet")
	recordBaseline(recorder)
	for _, first := range []time.Duration{50 * time.Millisecond, 150 * time.Millisecond} {
		recorder.Record(responseOf("v2", first))
	}
	assert.Equal(t, newCounts(recorder).Bad, uint32(0))
	recorder.Record(responseOf("v2", 400*time.Millisecond))
	assert.Equal(t, newCounts(recorder).Bad, uint32(1))
	// With a cold cache, the instance reads 24 times as many tokens before its first event.
	cold := responseOf("v2", 400*time.Millisecond)
	cold.Tokens = 12_000
	recorder.Record(cold)
	assert.Equal(t, newCounts(recorder).Bad, uint32(1))
	// A bad version never changes the baseline, regardless of how long it is slow.
	for range 200 {
		recorder.Record(responseOf("v2", 400*time.Millisecond))
	}
	assert.Equal(t, newCounts(recorder).Bad, uint32(201))
}

// All work moves to the new version at the same time and finds cold caches, which makes it slower.
func TestSlowResponsesDoNotCountWhileAllWorkMoves(t *testing.T) {
	recorder := watching(state.Moving)
	recordBaseline(recorder)
	recorder.Record(responseOf("v2", 2*time.Second))
	failed := responseOf("v2", 0)
	failed.IsFailed = true
	recorder.Record(failed)
	assert.Equal(t, newCounts(recorder), Counts{Responses: 2, Bad: 1})
}

func TestSamplesOfARolloutAreDroppedAfterItsEnd(t *testing.T) {
	recorder := watching(state.Canary)
	recordBaseline(recorder)
	assert.Equal(t, len(recorder.Samples()), 1)
	recorder.Watch([]state.Rollout{{Order: state.Order{Service: "llm", Version: "v2"}, Revision: 9, Stage: state.RolledBack}})
	assert.Equal(t, len(recorder.Samples()), 0)
	for number := range 2 * maximumBaselines {
		one := responseOf("v1", time.Millisecond)
		one.Route = fmt.Sprint("route-", number)
		recorder.Record(one)
	}
	assert.Assert(t, len(recorder.baselines) <= maximumBaselines)
}

// A node's samples are cumulative counts, so outdated or repeated ones must change nothing.
func TestOutdatedAndRepeatedSamplesAreCountedOnce(t *testing.T) {
	analyzer := NewAnalyzer(12 * time.Second)
	recorder := watching(state.Canary)
	recordBaseline(recorder)
	earlier := recorder.Samples()[0]
	for range 30 {
		recorder.Record(responseOf("v2", 100*time.Millisecond))
	}
	later := recorder.Samples()[0]
	for _, samples := range []Samples{earlier, later, earlier, later} {
		analyzer.SetSamples("node", samples)
		analyzer.Step(time.Second, state.Canary, nil)
	}
	assert.Equal(t, analyzer.newCounts.Responses, uint32(30))
}

// Guards against a new leader that rolls a good version back because no node has sent it samples yet, whether or not
// it knows of the nodes.
func TestRolloutWaitsWhileNoNodeHasSentSamples(t *testing.T) {
	for _, live := range [][]string{nil, {"node"}} {
		analyzer := NewAnalyzer(12 * time.Second)
		for elapsed := 9 * time.Second; elapsed < 11*time.Second; elapsed += 100 * time.Millisecond {
			assert.Equal(t, analyzer.Step(elapsed, state.Canary, live).Stage, state.Canary, "%s, live %v", elapsed, live)
		}
		assert.Equal(t, analyzer.Step(11900*time.Millisecond, state.Canary, live).Stage, state.RolledBack)
	}
}
