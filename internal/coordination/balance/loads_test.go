package balance

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ravenway/ravenway/internal/coordination/ratelimit"
	"github.com/ravenway/ravenway/internal/coordination/registry"
)

const testInterval = 50 * time.Millisecond

// exchangeOf returns nodes in three zones that know each other.
func exchangeOf(perZone int) (map[string]*LoadExchange, []EntryNode) {
	var all []EntryNode
	for number := range 3 * perZone {
		all = append(all, EntryNode{Address: fmt.Sprintf("10.%d.0.%d:1", number%3, number), Zone: string(rune('a' + number%3))})
	}
	exchanges := map[string]*LoadExchange{}
	for _, node := range all {
		exchanges[node.Address] = NewLoadExchange(node, testInterval)
	}
	connectNodes(exchanges, all)
	return exchanges, all
}

func connectNodes(exchanges map[string]*LoadExchange, all []EntryNode) {
	for address, exchange := range exchanges {
		var others []EntryNode
		for _, node := range all {
			if node.Address != address && exchanges[node.Address] != nil {
				others = append(others, node)
			}
		}
		exchange.SetNodes(others, testInterval)
	}
}

func noLimits() []ratelimit.Update { return nil }

// runRound runs one step of each node and delivers the reports. It returns the loads that each node
// knows of the others, and the number of reports.
func runRound(t testing.TB, now time.Duration, exchanges map[string]*LoadExchange, own map[string]Loads) (map[string]Loads, int) {
	t.Helper()
	known, sent := map[string]Loads{}, 0
	type delivery struct {
		from     string
		outgoing OutgoingReport
	}
	var deliveries []delivery
	for address, exchange := range exchanges {
		reports, others := exchange.Step(now, own[address], Updates{}, noLimits)
		known[address] = others.Loads
		for _, one := range reports {
			deliveries = append(deliveries, delivery{from: address, outgoing: one})
		}
	}
	for _, one := range deliveries {
		sent++
		if receiver := exchanges[one.outgoing.To]; receiver != nil {
			assert.NilError(t, receiver.Receive(now, one.from, one.outgoing.Report))
		}
	}
	return known, sent
}

func TestEachNodeLearnsTheLoadsOfAllOthers(t *testing.T) {
	exchanges, all := exchangeOf(3)
	own := map[string]Loads{}
	for number, node := range all {
		own[node.Address] = Loads{KeyOf(registry.Incarnation{ID: "i-0"}): {Tokens: tokenUnit * (number + 1), Requests: 1}}
	}
	now := time.Duration(0)
	var known map[string]Loads
	sent := 0
	for range 5 {
		now += testInterval
		known, sent = runRound(t, now, exchanges, own)
	}
	for number, node := range all {
		want := Load{Tokens: tokenUnit * (45 - number - 1), Requests: 8}
		assert.DeepEqual(t, known[node.Address][KeyOf(registry.Incarnation{ID: "i-0"})], want)
	}
	// 6 to the relays, 6 between them, 6 from them. A full mesh would take 72.
	assert.Equal(t, sent, 18)
}

func TestOthersLoadsAreUnknownAfterTheRelayFailsUntilTheNextOne(t *testing.T) {
	exchanges, all := exchangeOf(3)
	own := map[string]Loads{}
	for _, node := range all {
		own[node.Address] = Loads{KeyOf(registry.Incarnation{ID: "i-0"}): {Tokens: 640, Requests: 1}}
	}
	now := time.Duration(0)
	rounds := func(count int) (known map[string]Loads) {
		for range count {
			now += testInterval
			known, _ = runRound(t, now, exchanges, own)
		}
		return known
	}
	rounds(5)
	relay, member := all[0].Address, all[3].Address
	assert.Assert(t, exchanges[relay].isRelay())
	delete(exchanges, relay)
	assert.Assert(t, rounds(8)[member] == nil)
	connectNodes(exchanges, all)
	assert.Equal(t, rounds(5)[member][KeyOf(registry.Incarnation{ID: "i-0"})].Requests, 7)
}

func TestEncodedLoadsDecodeToTheSameLoads(t *testing.T) {
	loads := Loads{1: {Tokens: 128, Requests: 3}, 1 << 31: {Tokens: tokenUnit * 65535, Requests: 255}}
	assert.DeepEqual(t, DecodeLoads(loads.Encode()), loads)
	assert.Equal(t, len(DecodeLoads(loads.Encode()[:9])), 1)
}

// Guards against requests that wait behind prompts that other nodes have sent to the same engine. A
// quarter of the long requests was late for this reason.
func TestInstanceThatOthersKeepBusyIsAvoided(t *testing.T) {
	table := tableOf("a", instances(12))
	request := Request{Service: "llm", PromptPart: "part", Tokens: 17_000, SharedTokens: 13_000}
	home, _ := table.Choose(0, request)
	assert.Assert(t, !home.Spilled)
	table.Done(0, home, Served)
	// A short wait at the home costs less than reading the shared part again elsewhere.
	table.SetOthersLoads(Loads{KeyOf(home.Incarnation()): {Tokens: 20_000, Requests: 2}})
	queued, _ := table.Choose(0, request)
	assert.Equal(t, queued.ID, home.ID)
	assert.Assert(t, queued.AheadKnown && queued.Ahead == 20_000 && queued.Unread == 4_000)
	table.Done(0, queued, Served)
	table.SetOthersLoads(Loads{KeyOf(home.Incarnation()): {Tokens: 90_000, Requests: 9}})
	spilled, _ := table.Choose(0, request)
	assert.Assert(t, spilled.ID != home.ID && spilled.Spilled)
	// The instance that the part was sent to holds it now too.
	again, _ := table.Choose(0, request)
	assert.Equal(t, again.ID, spilled.ID)
}

func TestPromptsAlreadyReadDoNotCountAsAhead(t *testing.T) {
	table := tableOf("a", instances(3))
	choice, _ := table.Choose(0, Request{Service: "llm", PromptPart: "part", Tokens: 5_000})
	assert.Equal(t, table.OwnLoads()[KeyOf(choice.Incarnation())], Load{Tokens: 5_000, Requests: 1})
	table.PromptRead(&choice, 0)
	assert.Equal(t, table.OwnLoads()[KeyOf(choice.Incarnation())], Load{Requests: 1})
	table.Done(0, choice, Served)
	assert.Equal(t, len(table.OwnLoads()), 0)
}

// Guards against shared parts that are read again at further instances because only the node that
// has sent a part to an instance knows of it. Reading shared parts was the largest cost.
func TestSpilledPartsAreReportedToAllNodes(t *testing.T) {
	exchanges, all := exchangeOf(3)
	spilled := HeldPart{Part: keyOfPart("part"), Instance: KeyOf(registry.Incarnation{ID: "i-2"})}
	received := map[string]int{}
	now := time.Duration(0)
	for round := range 5 {
		now += testInterval
		for address, exchange := range exchanges {
			var own []HeldPart
			if round == 0 && address == all[4].Address {
				own = []HeldPart{spilled}
			}
			reports, known := exchange.Step(now, nil, Updates{Parts: own}, noLimits)
			for _, part := range known.Parts {
				assert.Equal(t, part, spilled)
				received[address]++
			}
			for _, one := range reports {
				assert.NilError(t, exchanges[one.To].Receive(now, address, one.Report))
			}
		}
	}
	for _, node := range all {
		assert.Assert(t, received[node.Address] >= 1, "%s did not receive the part", node.Address)
	}
}

func TestReportedSpilledPartCountsAsHeld(t *testing.T) {
	one, other := tableOf("a", instances(6)), tableOf("b", instances(6))
	request := Request{Service: "llm", PromptPart: "hot", Cost: 1, Tokens: 30_000, SharedTokens: 20_000}
	var spilled []HeldPart
	for range 6 {
		_, found := one.Choose(0, request)
		assert.Assert(t, found)
		spilled = append(spilled, one.TakeSpilled()...)
	}
	assert.Assert(t, len(spilled) > 0)
	other.RecordHeldParts(0, spilled)
	for _, part := range spilled {
		for _, known := range other.members {
			if known.key == part.Instance {
				assert.Assert(t, known.holds(time.Second, part.Part))
			}
		}
	}
	assert.Equal(t, len(one.TakeSpilled()), 0)
}
