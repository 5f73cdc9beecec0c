package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func tableOf(count int) *Table {
	table := NewTable("a", map[string]int{"a": 3, "b": 3, "c": 2}, rand.New(rand.NewPCG(1, 1)))
	var backends []Backend
	for number := range count {
		zone := []string{"a", "b", "c"}[number%3]
		backends = append(backends, Backend{Name: fmt.Sprintf("engine-%05d", number), Service: "s", Zone: zone, Capacity: 16})
	}
	table.SetBackends(backends)
	return table
}

func choose(t *testing.T, table *Table, now time.Duration, request Request) Choice {
	t.Helper()
	request.Service = "s"
	choice, found := table.Choose(now, request)
	assert.Assert(t, found)
	return choice
}

func TestCachedPrefixIsPreferredUntilTheWaitCostsMore(t *testing.T) {
	table := tableOf(3)
	blocks := make([]uint64, 60)
	for position := range blocks {
		blocks[position] = uint64(position + 1)
	}
	request := Request{Blocks: blocks, PromptTokens: 12000}
	table.Begin(0, "engine-00001", blocks)
	table.End(0, "engine-00001", Succeeded)
	assert.Equal(t, choose(t, table, 0, request).Backend.Name, "engine-00001")
	for range 6 {
		table.Begin(0, "engine-00001", blocks)
	}
	assert.Equal(t, choose(t, table, 0, request).Backend.Name, "engine-00000")
}

func TestOwnZoneIsPreferredUntilItIsLoaded(t *testing.T) {
	table := tableOf(3)
	assert.Equal(t, choose(t, table, 0, Request{}).Backend.Zone, "a")
	for range 12 {
		table.Begin(0, "engine-00000", nil)
	}
	assert.Assert(t, choose(t, table, 0, Request{}).Backend.Zone != "a")
}

func TestOldLoadReportIsDiscounted(t *testing.T) {
	table := tableOf(1)
	table.SetReport(0, "engine-00000", Report{Running: 16, Queued: 16})
	fresh := choose(t, table, 0, Request{}).Candidates[0].Cost
	older := choose(t, table, 2*time.Second, Request{}).Candidates[0].Cost
	oldest := choose(t, table, maximumReportAge+1, Request{}).Candidates[0].Cost
	assert.Equal(t, older, fresh/2)
	assert.Equal(t, oldest, 0.0)
}

func TestLeavingAndExcludedBackEndsReceiveNothing(t *testing.T) {
	table := tableOf(3)
	table.SetLeaving([]string{"engine-00000"})
	table.SetReport(0, "engine-00001", Report{Leaving: true})
	assert.Equal(t, choose(t, table, 0, Request{}).Backend.Name, "engine-00002")
	_, found := table.Choose(0, Request{Service: "s", Exclude: []string{"engine-00002"}})
	assert.Assert(t, !found)
}

func TestGapInCacheEventsDropsTheKnownCache(t *testing.T) {
	table := tableOf(3)
	request := Request{Blocks: []uint64{1, 2}, PromptTokens: 20000}
	table.ApplyCacheEvents("engine-00002", []CacheEvent{{Sequence: 1, Block: 1}, {Sequence: 2, Block: 2}})
	assert.Equal(t, choose(t, table, 0, request).Backend.Name, "engine-00002")
	table.ApplyCacheEvents("engine-00002", []CacheEvent{{Sequence: 5, Block: 9}})
	assert.Equal(t, choose(t, table, 0, request).Backend.Name, "engine-00000")
	assert.Equal(t, table.NextCacheEvent("engine-00002"), uint64(6))
}

func TestRejectionsHalveTheLimitAtMostOncePerSecond(t *testing.T) {
	table := tableOf(1)
	for range 5 {
		table.Begin(0, "engine-00000", nil)
		table.End(0, "engine-00000", Overloaded)
	}
	assert.Equal(t, table.backends["engine-00000"].limit.current(), 8.0)
	table.Begin(time.Second, "engine-00000", nil)
	table.End(time.Second, "engine-00000", Overloaded)
	assert.Equal(t, table.backends["engine-00000"].limit.current(), 4.0)
}

func TestBreakerOpensAfterFailuresAndLetsOneTrialThrough(t *testing.T) {
	table := tableOf(1)
	for range breakerFailures {
		table.Begin(0, "engine-00000", nil)
		table.End(0, "engine-00000", Failed)
	}
	_, found := table.Choose(0, Request{Service: "s"})
	assert.Assert(t, !found)
	choose(t, table, breakerFirstOpen, Request{})
	table.Begin(breakerFirstOpen, "engine-00000", nil)
	_, found = table.Choose(breakerFirstOpen, Request{Service: "s"})
	assert.Assert(t, !found, "a second request was allowed during the trial")
	table.End(breakerFirstOpen, "engine-00000", Succeeded)
	choose(t, table, breakerFirstOpen, Request{})
}

// maximumAllocationsPerChoice bounds the allocations of one choice. Sampling keeps them independent
// of the number of engines.
const maximumAllocationsPerChoice = 16

func TestAllocationsOfAChoiceDoNotGrowWithTheNumberOfEngines(t *testing.T) {
	request := Request{Service: "s", Blocks: []uint64{1, 2, 3}, PromptTokens: 500}
	for _, count := range []int{12, 400, 11000} {
		table := tableOf(count)
		allocations := testing.AllocsPerRun(200, func() { table.Choose(0, request) })
		choice, _ := table.Choose(0, request)
		t.Logf("engines=%d allocations=%.0f scored=%d", count, allocations, len(choice.Candidates))
		assert.Assert(t, allocations <= maximumAllocationsPerChoice, "%.0f allocations at %d engines", allocations, count)
		assert.Assert(t, len(choice.Candidates) <= sampleAbove)
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, count := range []int{12, 400, 11000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			table := tableOf(count)
			request := Request{Service: "s", Blocks: []uint64{1, 2, 3}, PromptTokens: 500}
			b.ReportAllocs()
			for b.Loop() {
				table.Choose(0, request)
			}
		})
	}
}
