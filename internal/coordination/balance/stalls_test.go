package balance

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const testGap = 500 * time.Millisecond

// Guards against streams that stall while their engine reads a long prompt of another request. They
// were 237 of 293 late requests.
func TestLongPromptGoesWhereItStallsFewStreams(t *testing.T) {
	table := tableOf("a", instances(3))
	table.speedOf("llm").stalled = highStalledShare
	homes := map[string]int{}
	for range 12 {
		choice, _ := table.Choose(0, Request{Service: "llm", PromptPart: "small", Cost: 1, Tokens: 200, SharedTokens: 100, MaximumEventGap: testGap})
		table.PromptRead(&choice, 10*time.Millisecond)
		homes[choice.ID]++
	}
	busiest, highestCount := "", 0
	for id, count := range homes {
		if count > highestCount {
			busiest, highestCount = id, count
		}
	}
	assert.Assert(t, highestCount >= 6, "%v", homes)
	long, _ := table.Choose(0, Request{Service: "llm", PromptPart: "small", Cost: 5, Tokens: 40_000, SharedTokens: 100, MaximumEventGap: testGap})
	assert.Assert(t, long.ID != busiest, "%v", homes)
}

func TestShortPromptStaysAtItsHomeDespiteRunningStreams(t *testing.T) {
	table := tableOf("a", instances(3))
	request := Request{Service: "llm", PromptPart: "small", Cost: 1, Tokens: 3000, SharedTokens: 2500, MaximumEventGap: testGap}
	first, _ := table.Choose(0, request)
	table.PromptRead(&first, 10*time.Millisecond)
	for range 6 {
		choice, _ := table.Choose(0, request)
		table.PromptRead(&choice, 10*time.Millisecond)
		assert.Equal(t, choice.ID, first.ID)
	}
}

func TestReadRateIsRobustAgainstPromptsThatAreCached(t *testing.T) {
	speed := &readSpeed{readRate: initialReadRate}
	for turn := range 1000 {
		took := 10_000 / 60 * time.Millisecond
		if turn%3 == 0 {
			// Half of the prompt was cached at the instance, unknown to this node.
			took /= 2
		}
		speed.observeRead(10_000, took)
		speed.observeRead(100, time.Second)
	}
	assert.Assert(t, speed.readRate > 50 && speed.readRate < 70, "%f tokens per millisecond", speed.readRate)
}

func TestStallsThatAreNotObservedDoNotCount(t *testing.T) {
	table := tableOf("a", instances(3))
	assert.Assert(t, table.speedOf("llm").stallWeight() < 0.5)
	for range 100 {
		table.StreamEnded("llm", true)
	}
	assert.Equal(t, table.speedOf("llm").stallWeight(), 1.0)
	for range 1000 {
		table.StreamEnded("llm", false)
	}
	assert.Equal(t, table.speedOf("llm").stallWeight(), 0.0)
}

func TestStalledShareGrowsWithTheReadTime(t *testing.T) {
	speed := &readSpeed{readRate: 50}
	assert.Equal(t, speed.stalledShare(10_000, testGap), 0.0)
	assert.Equal(t, speed.stalledShare(40_000, testGap), 1.0)
	assert.Assert(t, speed.stalledShare(25_000, testGap) > 0.4)
	assert.Equal(t, speed.stalledShare(40_000, 0), 0.0, "a route without a bound on the event gap")
}
