package balance

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ravenway/ravenway/internal/coordination/registry"
	"github.com/ravenway/ravenway/internal/coordination/reservation"
)

// longRequest returns a request with a prompt of 9,000 tokens that no other shares.
func longRequest(part string) Request {
	return Request{Service: "llm", PromptPart: part, Tokens: 9000, MaximumEventGap: 400 * time.Millisecond}
}

// quietTable returns a table of instances in its own zone whose choices depend on no chance.
func quietTable(count int) *Table {
	all := instances(count)
	for number := range all {
		all[number].Zone = "a"
	}
	table := tableOf("a", all)
	table.SetRandom(func() float64 { return 0 })
	table.SetOthersLoads(Loads{})
	return table
}

func choose(t *testing.T, table *Table, now time.Duration, request Request) Choice {
	t.Helper()
	choice, found := table.Choose(now, request)
	assert.Assert(t, found)
	return choice
}

func TestChoiceNamesWhatMayBeAhead(t *testing.T) {
	table := quietTable(2)
	request := longRequest("one")
	request.MaximumEventGap = 0
	first := choose(t, table, 0, request)
	assert.Equal(t, first.ReadTime, 200*time.Millisecond)
	assert.Equal(t, first.MaximumAhead, minimumSlackTokens, "two instances without load are as good as each other")
	second := choose(t, table, 0, request)
	assert.Assert(t, second.ID != first.ID)
	assert.Equal(t, second.MaximumAhead, 9000, "the other one has a prompt to read")
	third := choose(t, table, 0, request)
	assert.Equal(t, third.MaximumAhead, third.Ahead+minimumSlackTokens)

	lonely := quietTable(1)
	assert.Equal(t, choose(t, lonely, 0, longRequest("one")).MaximumAhead, UnlimitedAhead)
	assert.Equal(t, choose(t, lonely, 0, Request{Service: "llm"}).MaximumAhead, 0)
}

// Guards against a bound that lets everything pass when instances have more requests than slots: a
// coordinator counts prompt tokens, not requests.
func TestRequestsBeyondTheSlotsDoNotRaiseWhatMayBeAhead(t *testing.T) {
	table := quietTable(2)
	others := Loads{}
	for _, one := range table.members {
		one.Slots = 4
		others[one.key] = Load{Requests: 20}
	}
	table.SetOthersLoads(others)
	request := longRequest("one")
	request.MaximumEventGap = 0
	choice := choose(t, table, 0, request)
	assert.Assert(t, choice.Ahead > 0)
	assert.Equal(t, choice.MaximumAhead, minimumSlackTokens)
}

// Load: prompts of several nodes meet at one engine. What its coordinator tells counts at once, and
// fades while the engine reads.
func TestToldBacklogCountsUntilItIsRead(t *testing.T) {
	table := quietTable(2)
	home := choose(t, table, 0, longRequest("one"))
	table.RecordBacklog(0, home.Incarnation(), 27_000)
	table.Withdraw(0, home)
	elsewhere := choose(t, table, 0, longRequest("one"))
	assert.Assert(t, elsewhere.ID != home.ID)
	table.Withdraw(0, elsewhere)

	assert.Equal(t, aheadAt(t, table, home.ID, 0), 27_000)
	assert.Equal(t, aheadAt(t, table, home.ID, 200*time.Millisecond), 18_000)
	assert.Equal(t, aheadAt(t, table, home.ID, 600*time.Millisecond), 0)
}

// Load: a caller claims a prompt of millions of tokens and leaves, or a broken coordinator names a
// backlog that never was. Nothing tells this node that it is gone, so it must not avoid the
// instance for longer than a reservation can last, also while prompts are sent there.
func TestToldBacklogEndsWithTheLongestLease(t *testing.T) {
	for _, tokens := range []int{reservation.MaximumTokens, UnlimitedAhead, math.MaxInt} {
		table := quietTable(2)
		home := choose(t, table, 0, longRequest("one"))
		table.RecordBacklog(0, home.Incarnation(), tokens)
		table.Withdraw(0, home)
		assert.Assert(t, aheadAt(t, table, home.ID, reservation.MaximumLease-1) > 0)

		sent := choose(t, table, reservation.MaximumLease-1, longRequest("two"))
		assert.Assert(t, sent.ID != home.ID)
		assert.Equal(t, aheadAt(t, table, home.ID, reservation.MaximumLease), 0)
		assert.Equal(t, choose(t, table, reservation.MaximumLease, longRequest("one")).ID, home.ID)
	}
}

// aheadAt returns the tokens that a choice expects to be ahead at an instance.
func aheadAt(t *testing.T, table *Table, id string, now time.Duration) int {
	t.Helper()
	request := longRequest("probe")
	for _, one := range instances(4) {
		if one.ID != id {
			request.Exclude = append(request.Exclude, one.ID)
		}
	}
	choice := choose(t, table, now, request)
	table.Withdraw(now, choice)
	return choice.Ahead
}

// A node's own prompts are part of what the coordinator told, and count once.
func TestOwnPromptsCountOnceBesideAToldBacklog(t *testing.T) {
	const own, others = 9000, 5000
	table := quietTable(1)
	granted := choose(t, table, 0, longRequest("one"))
	table.RecordBacklog(0, granted.Incarnation(), others+own)
	assert.Equal(t, aheadAt(t, table, granted.ID, 0), others+own)
	next := choose(t, table, 0, longRequest("two"))
	assert.Equal(t, aheadAt(t, table, granted.ID, 0), others+2*own, "a prompt sent after the coordinator told is added")
	table.Withdraw(0, next)
	assert.Equal(t, aheadAt(t, table, granted.ID, 0), others+own)
	table.SetOthersLoads(Loads{KeyOf(granted.Incarnation()): {Tokens: 50_000, Requests: 1}})
	assert.Equal(t, aheadAt(t, table, granted.ID, 0), 50_000+own, "the larger figure counts")
}

// A refusal is recorded before or after the choice is withdrawn, with the same effect.
func TestOrderOfRefusalAndWithdrawalDoesNotMatter(t *testing.T) {
	for _, isWithdrawnFirst := range []bool{true, false} {
		table := quietTable(1)
		refused := choose(t, table, 0, longRequest("one"))
		if isWithdrawnFirst {
			table.Withdraw(0, refused)
		}
		table.RecordBacklog(0, refused.Incarnation(), 5000)
		if !isWithdrawnFirst {
			table.Withdraw(0, refused)
		}
		assert.Equal(t, aheadAt(t, table, refused.ID, 0), 5000)
	}
}

// Load: the coordinators are gone, so no backlog is recorded, or the recorded one was read.
func TestWithoutToldBacklogChoicesAreAsBefore(t *testing.T) {
	plain, told := tableOf("a", instances(4)), tableOf("a", instances(4))
	for _, one := range instances(4) {
		told.RecordBacklog(0, one.Incarnation(), 9000)
	}
	for _, table := range []*Table{plain, told} {
		number := 0
		table.SetRandom(func() float64 { number++; return float64(number*37%100) / 100 })
		table.SetOthersLoads(Loads{KeyOf(instances(4)[1].Incarnation()): {Tokens: 3000, Requests: 2}})
	}
	for number := range 200 {
		now := time.Second + time.Duration(number)*20*time.Millisecond
		request := longRequest(fmt.Sprint("part-", number%7))
		request.SharedTokens = 4000
		one, other := choose(t, plain, now, request), choose(t, told, now, request)
		assert.Equal(t, one.ID, other.ID)
		assert.Equal(t, one.Ahead, other.Ahead)
		assert.Equal(t, one.MaximumAhead, other.MaximumAhead)
		if number%2 == 0 {
			plain.Done(now, one, Served)
			told.Done(now, other, Served)
		}
	}
}

// Load: an engine restarts. What was told of its previous incarnation does not count.
func TestRestartedInstanceHasNoToldBacklog(t *testing.T) {
	table := quietTable(1)
	before := choose(t, table, 0, longRequest("one"))
	table.RecordBacklog(0, before.Incarnation(), 30_000)
	restarted := before.Instance
	restarted.StartedAt++
	table.Apply([]registry.Instance{restarted})
	table.RecordBacklog(0, before.Incarnation(), 30_000)
	table.Withdraw(0, before)
	assert.Equal(t, aheadAt(t, table, before.ID, 0), 0)
}

// Load: refusals. A withdrawn choice leaves nothing that a request which was sent would leave.
func TestWithdrawnChoiceLeavesNoTrace(t *testing.T) {
	table := quietTable(2)
	request := longRequest("one")
	request.SharedTokens = 8000
	home := choose(t, table, 0, request)
	table.RecordBacklog(0, home.Incarnation(), 100_000)
	spilled := choose(t, table, 0, request)
	assert.Equal(t, len(table.spilled), 1)
	table.Withdraw(0, spilled)
	assert.Equal(t, len(table.spilled), 0)
	assert.Equal(t, len(table.members[spilled.ID].heldParts), 0)
	assert.Equal(t, table.InFlight(spilled.Incarnation()), 0)
	assert.Equal(t, table.members[spilled.ID].pendingTokens, 0)

	// What was held before is held still, as long as it was.
	again := choose(t, table, 10*time.Second, request)
	assert.Equal(t, again.ID, home.ID)
	table.Withdraw(10*time.Second, again)
	assert.Equal(t, table.members[home.ID].heldParts[keyOfPart("one")], time.Duration(0))
}

func TestWithdrawnChoiceCountsNeitherAsAProbeNorAsAColdRequest(t *testing.T) {
	cold := instances(1)
	cold[0].ColdUntil = time.Minute
	table := tableOf("a", cold)
	table.SetEntryNodes("self", nil)
	request := longRequest("one")
	request.Cold = ColdPolicy{Rate: 1}
	table.Withdraw(time.Second, choose(t, table, time.Second, request))
	table.Withdraw(time.Second+1, choose(t, table, time.Second+1, request))
	choose(t, table, time.Second+2, request)
	_, found := table.Choose(time.Second+3, request)
	assert.Assert(t, !found, "the request that was sent counts")

	partitioned := quietTable(2)
	for range 2 {
		partitioned.Done(0, choose(t, partitioned, 0, longRequest("one")), Unreachable)
	}
	assert.Assert(t, partitioned.isZoneOpen(zoneProbeInterval, "a"))
	probe := choose(t, partitioned, zoneProbeInterval, longRequest("one"))
	assert.Assert(t, !partitioned.isZoneOpen(zoneProbeInterval+1, "a"))
	partitioned.Withdraw(zoneProbeInterval, probe)
	assert.Assert(t, partitioned.isZoneOpen(zoneProbeInterval+1, "a"))
}

// Told backlogs allocate nothing on the path of a request.
func TestToldBacklogsAllocateNothing(t *testing.T) {
	plain, told := quietTable(90), quietTable(90)
	serve := func(table *Table) {
		choice, _ := table.Choose(time.Second, longRequest("one"))
		table.Done(time.Second, choice, Served)
	}
	before := testing.AllocsPerRun(200, func() { serve(plain) })
	after := testing.AllocsPerRun(200, func() {
		for _, one := range told.byService["llm"] {
			told.RecordBacklog(time.Second, one.Incarnation(), 9000)
		}
		serve(told)
	})
	t.Logf("%.0f allocations of a request before, %.0f with backlogs of 90 instances", before, after)
	assert.Assert(t, after <= before)
}

func BenchmarkChooseWithToldBacklogs(b *testing.B) {
	for _, isTold := range []bool{false, true} {
		b.Run(fmt.Sprintf("told=%v", isTold), func(b *testing.B) {
			table := quietTable(90)
			for _, one := range table.byService["llm"] {
				if isTold {
					table.RecordBacklog(time.Second, one.Incarnation(), 9000)
				}
			}
			b.ReportAllocs()
			for b.Loop() {
				choice, _ := table.Choose(time.Second, longRequest("one"))
				table.Done(time.Second, choice, Served)
			}
		})
	}
}
