package balance

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ravenway/ravenway/internal/coordination/registry"
	"github.com/ravenway/ravenway/internal/state/evacuation"
)

// coldRestore is a load scenario: 85 entry nodes, 38 engines of one zone that is restored with all
// of them cold at the same moment, and engines in another zone that are warm.
type coldRestore struct {
	// perSecond is the request rate of all nodes together.
	perSecond int
	// policy is the cold policy that the nodes apply.
	policy ColdPolicy
	// unaware is the number of nodes that know only a third of the others, as after a restart.
	unaware int
	// warm is the number of engines that are not cold.
	warm int
}

const (
	entryNodeCount, coldEngines, warmEngines = 85, 38, 102
	coldDuration                             = 3 * time.Second
	coldLoadsInterval                        = 200 * time.Millisecond
	coldRequestTime                          = 900 * time.Millisecond
)

type coldResult struct {
	// maximumPerSecond is the maximum number of requests that one cold engine received within a
	// second. onCold and onWarm are the numbers of requests that cold and warm engines received after
	// the zone was restored. refused is the number of requests for which no engine was found.
	maximumPerSecond, onCold, onWarm, refused int
}

func (c coldRestore) run(seed uint64) coldResult {
	random := rand.New(rand.NewPCG(seed, 1))
	var all []registry.Instance
	for number := range coldEngines + c.warm {
		zone := "warm"
		if number < coldEngines {
			zone = "cold"
		}
		all = append(all, registry.Instance{ID: fmt.Sprint("engine-", number), Service: "llm", Zone: zone, Slots: 64, State: registry.Ready})
	}
	var entries []EntryNode
	for number := range entryNodeCount {
		entries = append(entries, EntryNode{Address: fmt.Sprint("entry-", number), Zone: "warm"})
	}
	var tables []*Table
	for number, entry := range entries {
		table := tableOf("warm", all)
		others := slices.Delete(slices.Clone(entries), number, number+1)
		if number < c.unaware {
			others = others[:entryNodeCount/3]
		}
		table.SetEntryNodes(entry.Address, others)
		table.SetEvacuated(0, evacuation.Zones{Revision: 1, Names: []string{"cold"}})
		tables = append(tables, table)
	}
	type running struct {
		node   int
		choice Choice
		end    time.Duration
	}
	var result coldResult
	// work is ordered by end time, because all requests take equally long.
	var work []running
	arrivals := map[string][]time.Duration{}
	restoredAt := time.Second
	isRestored := false
	nextLoads := time.Duration(0)
	interval := time.Second / time.Duration(c.perSecond)
	for now := time.Duration(0); now < restoredAt+coldDuration; now += interval {
		if !isRestored && now >= restoredAt {
			isRestored = true
			for _, table := range tables {
				table.SetEvacuated(now, evacuation.Zones{Revision: 2})
			}
		}
		for ; len(work) > 0 && work[0].end <= now; work = work[1:] {
			tables[work[0].node].Done(now, work[0].choice, Served)
		}
		if now >= nextLoads {
			nextLoads += coldLoadsInterval
			exchangeLoads(tables)
		}
		node := random.IntN(entryNodeCount)
		choice, found := tables[node].Choose(now, Request{
			Service: "llm", PromptPart: fmt.Sprint("part-", random.IntN(800)), Cost: 2, Tokens: 17000, SharedTokens: 13300,
			MaximumEventGap: 600 * time.Millisecond, Bytes: 17000, Cold: c.policy,
		})
		if !found {
			result.refused++
			continue
		}
		work = append(work, running{node: node, choice: choice, end: now + coldRequestTime})
		if choice.Zone != "cold" {
			if isRestored {
				result.onWarm++
			}
			continue
		}
		result.onCold++
		// The network delay of a request is below 20 ms.
		arrivals[choice.ID] = append(arrivals[choice.ID], now+time.Duration(random.IntN(20))*time.Millisecond)
	}
	for _, times := range arrivals {
		slices.Sort(times)
		for first := range times {
			last := first
			for last < len(times) && times[last] < times[first]+time.Second {
				last++
			}
			result.maximumPerSecond = max(result.maximumPerSecond, last-first)
		}
	}
	return result
}

// exchangeLoads gives each node the loads of all others.
func exchangeLoads(tables []*Table) {
	sum := Loads{}
	own := make([]Loads, len(tables))
	for number, table := range tables {
		own[number] = table.OwnLoads()
		sum.add(own[number])
	}
	for number, table := range tables {
		others := Loads{}
		others.add(sum)
		for key, load := range own[number] {
			others[key] = Load{Tokens: others[key].Tokens - load.Tokens, Requests: others[key].Requests - load.Requests}
		}
		table.SetOthersLoads(others)
	}
}

// A cold engine fails well above 6.6 requests per second. The requirement allows 14.9 requests
// within a second.
const (
	coldRate            = 6.6
	maximumColdRequests = 14
)

func TestColdEnginesAreNotOverloadedWhenAZoneIsRestored(t *testing.T) {
	policy := ColdPolicy{Rate: coldRate, Time: coldDuration}
	for _, load := range []coldRestore{
		{perSecond: 400, policy: policy, warm: warmEngines},
		{perSecond: 3000, policy: policy, warm: warmEngines},
		{perSecond: 1200, policy: policy, warm: warmEngines, unaware: 8},
		// The cold engines have to serve nearly all requests.
		{perSecond: 150, policy: policy, warm: 2},
	} {
		got := load.run(1)
		t.Logf("%d a second, %d warm, %d unaware: %+v", load.perSecond, load.warm, load.unaware, got)
		assert.Assert(t, got.maximumPerSecond <= maximumColdRequests)
		assert.Equal(t, got.refused, 0)
		assert.Assert(t, got.onCold > 0)
	}
	// Without the bound the same burst overloads them.
	unbound := coldRestore{perSecond: 3000, warm: warmEngines}.run(0)
	t.Logf("without a bound: %+v", unbound)
	assert.Assert(t, unbound.maximumPerSecond > maximumColdRequests)
}

func TestNodeSendsNothingToColdInstancesBeforeItKnowsTheOthers(t *testing.T) {
	all := instances(2)
	all[0].ColdUntil = time.Second
	table := tableOf("a", all)
	request := Request{Service: "llm", Cold: ColdPolicy{Rate: coldRate}}
	for range 4 {
		choice, _ := table.Choose(0, request)
		assert.Equal(t, choice.ID, "i-1")
	}
	table.SetEntryNodes("self", nil)
	sent := map[string]int{}
	for range 4 {
		choice, _ := table.Choose(0, request)
		sent[choice.ID]++
	}
	assert.DeepEqual(t, sent, map[string]int{"i-0": 1, "i-1": 3})
	// A service without a cold rate is not limited.
	choice, _ := table.Choose(0, Request{Service: "llm"})
	assert.Equal(t, choice.ID, "i-0")
}
