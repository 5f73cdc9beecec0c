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

func answerOf(version string, first time.Duration) Answer {
	return Answer{Service: "llm", Version: version, Instance: version + "-1", Route: "r", First: first, Tokens: 500}
}

// learn gives a recorder what is usual on the route: answers within 80 to 120 ms.
func learn(recorder *Recorder) {
	for number := range 40 {
		recorder.Note(answerOf("v1", time.Duration(80+number)*time.Millisecond))
	}
}

func newCounts(recorder *Recorder) Counts { return recorder.Evidence()[0].Routes[0].New }

func TestAnswerIsSlowBesideTheOldVersionsOnItsRoute(t *testing.T) {
	recorder := watching(state.Canary)
	recorder.Note(answerOf("v2", time.Second))
	assert.Equal(t, newCounts(recorder).Bad, uint32(0), "nothing is usual yet")
	learn(recorder)
	for _, first := range []time.Duration{50 * time.Millisecond, 150 * time.Millisecond} {
		recorder.Note(answerOf("v2", first))
	}
	assert.Equal(t, newCounts(recorder).Bad, uint32(0))
	recorder.Note(answerOf("v2", 400*time.Millisecond))
	assert.Equal(t, newCounts(recorder).Bad, uint32(1))
	// It reads ten times as much before its first event: its cache is cold.
	cold := answerOf("v2", 400*time.Millisecond)
	cold.Tokens = 12_000
	recorder.Note(cold)
	assert.Equal(t, newCounts(recorder).Bad, uint32(1))
	// What a bad version does is not usual, however long it lasts.
	for range 200 {
		recorder.Note(answerOf("v2", 400*time.Millisecond))
	}
	assert.Equal(t, newCounts(recorder).Bad, uint32(201))
}

// All work comes to the new version at once, with cold caches: it is slower for that.
func TestSlowAnswersAreNotHeldAgainstAVersionWhileAllWorkMoves(t *testing.T) {
	recorder := watching(state.Moving)
	learn(recorder)
	recorder.Note(answerOf("v2", 2*time.Second))
	failed := answerOf("v2", 0)
	failed.IsFailed = true
	recorder.Note(failed)
	assert.Equal(t, newCounts(recorder), Counts{Answers: 2, Bad: 1})
}

func TestRecordsOfARolloutEndWithIt(t *testing.T) {
	recorder := watching(state.Canary)
	learn(recorder)
	assert.Equal(t, len(recorder.Evidence()), 1)
	recorder.Watch([]state.Rollout{{Order: state.Order{Service: "llm", Version: "v2"}, Revision: 9, Stage: state.RolledBack}})
	assert.Equal(t, len(recorder.Evidence()), 0)
	for number := range 2 * routesKept {
		one := answerOf("v1", time.Millisecond)
		one.Route = fmt.Sprint("route-", number)
		recorder.Note(one)
	}
	assert.Assert(t, len(recorder.usual) <= routesKept)
}

// A node's evidence is whole counts: what overtakes a newer one, or comes twice, changes
// nothing.
func TestJudgeCountsEvidenceOnce(t *testing.T) {
	judge := NewJudge(12 * time.Second)
	recorder := watching(state.Canary)
	learn(recorder)
	earlier := recorder.Evidence()[0]
	for range 30 {
		recorder.Note(answerOf("v2", 100*time.Millisecond))
	}
	later := recorder.Evidence()[0]
	for _, evidence := range []Evidence{earlier, later, earlier, later} {
		judge.Take("node", evidence)
		judge.Step(time.Second, state.Canary, nil)
	}
	assert.Equal(t, judge.answers.Answers, uint32(30))
}
