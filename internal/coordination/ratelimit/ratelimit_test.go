package ratelimit

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ravenway/ravenway/internal/coordination/membership"
	"github.com/ravenway/ravenway/internal/coordination/registry"
)

var (
	engine = registry.Life{ID: "i-1", Born: 7}
	two    = Said{IsNamed: true, PerSecond: 2}
	none   = Said{}
)

// start is a time long after the nodes have started.
const start = time.Minute

// nodesOf returns a number of nodes of a zone.
func nodesOf(zone string, count int) []Node {
	var nodes []Node
	for number := range count {
		nodes = append(nodes, Node{Address: fmt.Sprintf("%s-%d", zone, number), Zone: zone})
	}
	return nodes
}

func addressesOf(nodes []Node) []string {
	var addresses []string
	for _, node := range nodes {
		addresses = append(addresses, node.Address)
	}
	return addresses
}

// limitsAt returns the limits of a node that has known its fleet for long.
func limitsAt(self string, nodes []Node) *Limits {
	limits := New(self)
	limits.SetNodes(0, nodes)
	limits.SetSure(0, true)
	return limits
}

// granted requests permits of the engine every 10 ms for a time, and returns when the granted
// ones may be used.
func granted(limits *Limits, from, lasting time.Duration, zone string) []time.Duration {
	var moments []time.Duration
	for now := from; now < from+lasting; now += 10 * time.Millisecond {
		ask, _, isLimited := limits.Ask(now, engine, zone, Need{})
		if !isLimited {
			return moments
		}
		if answer := limits.Grant(now, limits.holders.self, ask); answer.IsGranted {
			moments = append(moments, now+time.Duration(answer.DelayMS)*time.Millisecond)
		}
	}
	return moments
}

func TestAnswerWithoutALimitEndsItOnlyForARequestWrittenAfterTheLimitWasKnown(t *testing.T) {
	limits := limitsAt("a-0", nodesOf("a", 1))
	assert.Equal(t, limits.Learn(start, engine, two, start).Kind, Began)
	assert.Equal(t, limits.Learn(start+time.Second, engine, none, start-time.Millisecond).Kind, Unchanged)
	assert.Equal(t, limits.Learn(start+time.Second, engine, none, start+time.Millisecond).Kind, Ended)
	_, isLimited := limits.Room(start+time.Second, engine)
	assert.Assert(t, !isLimited)
}

func TestFailureThatNamesNoLimitDoesNotEndIt(t *testing.T) {
	limits := limitsAt("a-0", nodesOf("a", 1))
	limits.Learn(start, engine, two, start)
	assert.Equal(t, limits.Learn(start+2, engine, Said{IsFailure: true}, start+1).Kind, Unchanged)
	assert.Equal(t, limits.Learn(start+3, engine, Said{IsFailure: true, IsNamed: true, PerSecond: 1}, start+2).Kind, Changed)
	assert.Equal(t, limits.Learn(start+5, engine, none, start+4).Kind, Ended)
}

func TestOvertakenAnswerLowersALimitAndDoesNotRaiseIt(t *testing.T) {
	limits := limitsAt("a-0", nodesOf("a", 1))
	limits.Learn(start, engine, two, start)
	assert.Equal(t, limits.Learn(start+1, engine, Said{IsNamed: true, PerSecond: 9}, start-1).Kind, Unchanged)
	assert.Equal(t, limits.Learn(start+2, engine, Said{IsNamed: true, PerSecond: 1}, start-1).Kind, Changed)
	assert.Equal(t, limits.Learn(start+4, engine, Said{IsNamed: true, PerSecond: 9}, start+3).Kind, Changed)
}

func TestWhatCannotBeReadNeitherSetsNorEndsALimitAndIsToldOnce(t *testing.T) {
	limits := limitsAt("a-0", nodesOf("a", 1))
	spoiled := Read([]string{"many"})
	change := limits.Learn(start, engine, spoiled, start)
	assert.Equal(t, change.Kind, Unreadable)
	assert.ErrorIs(t, change.Fault, errNotARate)
	assert.Equal(t, limits.Learn(start, engine, spoiled, start).Kind, Unchanged)
	assert.Assert(t, !limits.Any())
	limits.Learn(start, engine, two, start)
	limits.Learn(start+1, engine, spoiled, start+1)
	_, isLimited := limits.Room(start+2, engine)
	assert.Assert(t, isLimited)
}

func TestNewLifeOfAnInstanceHasNoLimit(t *testing.T) {
	limits := limitsAt("a-0", nodesOf("a", 1))
	limits.Learn(start, engine, two, start)
	_, _, isLimited := limits.Ask(start, registry.Life{ID: engine.ID, Born: 8}, "a", Need{})
	assert.Assert(t, !isLimited)
	limits.Forget(engine)
	assert.Assert(t, !limits.Any())
}

func TestNewestWordOfOtherNodesHolds(t *testing.T) {
	limits := limitsAt("a-0", nodesOf("a", 1))
	word := func(perSecond float64, hasEnded bool, at time.Duration) []Word {
		return []Word{{Life: engine, PerSecond: perSecond, HasEnded: hasEnded, At: at}}
	}
	assert.Equal(t, limits.Hear(start, word(2, false, start-time.Second))[0].Kind, Began)
	assert.Equal(t, len(limits.Hear(start, word(0, true, start-2*time.Second))), 0)
	assert.Equal(t, limits.Hear(start, word(0, true, start-time.Millisecond))[0].Kind, Ended)
	// An older update is delayed.
	assert.Equal(t, len(limits.Hear(start, word(2, false, start-time.Second))), 0)
	limits.Prune(start + endMemory + time.Second)
	assert.Assert(t, !limits.Any())
}

func TestHolderGivesOutTheNamedRateAndBeginsWithoutAnyPermit(t *testing.T) {
	for _, perSecond := range []float64{0.1, 1, 5, 50} {
		limits := limitsAt("a-0", nodesOf("a", 1))
		limits.Learn(start, engine, Said{IsNamed: true, PerSecond: perSecond}, start)
		moments := granted(limits, start, 100*time.Second, "a")
		assert.Assert(t, moments[0] >= start+interval(perSecond)-time.Millisecond, "%g: the first permit after %s", perSecond, moments[0]-start)
		assert.Assert(t, float64(len(moments)) <= 100*perSecond && float64(len(moments)) >= 95*perSecond-1, "%g: %d permits", perSecond, len(moments))
	}
}

func TestLimitOfZeroIsAskedRarelyForOnlyAnAnswerCanEndIt(t *testing.T) {
	limits := limitsAt("a-0", nodesOf("a", 1))
	limits.Learn(start, engine, Said{IsNamed: true}, start)
	assert.Equal(t, len(granted(limits, start, 100*time.Second, "a")), 9)
}

func TestTimeWithoutRequestsEarnsNoBurst(t *testing.T) {
	limits := limitsAt("a-0", nodesOf("a", 1))
	limits.Learn(start, engine, Said{IsNamed: true, PerSecond: 8}, start)
	assert.Equal(t, len(granted(limits, start+time.Hour, 10*time.Millisecond, "a")), 1)
	later := start + 2*time.Hour
	// Unused permits of a quarter of a second are still available: two at this rate.
	assert.Assert(t, len(granted(limits, later, 250*time.Millisecond, "a")) <= 4)
}

func TestWaitingRequestIsGivenThePermitOfALaterMoment(t *testing.T) {
	limits := limitsAt("a-0", nodesOf("a", 1))
	limits.Learn(start, engine, Said{IsNamed: true, PerSecond: 10}, start)
	now := start + time.Second
	ask, _, _ := limits.Ask(now, engine, "a", Need{PatienceMS: 150})
	var delays []uint64
	for range 4 {
		if answer := limits.Grant(now, limits.holders.self, ask); answer.IsGranted {
			delays = append(delays, answer.DelayMS)
		}
	}
	// The slot that just passed, the current one, and one within the maximum wait.
	assert.DeepEqual(t, delays, []uint64{0, 0, 100})
}

func TestOneNodeOfTheInstancesZoneIsTheHolderForAll(t *testing.T) {
	nodes := append(nodesOf("a", 3), nodesOf("b", 3)...)
	expected := membership.Highest(engine.ID, addressesOf(nodesOf("b", 3)))
	holders := 0
	for _, node := range nodes {
		limits := limitsAt(node.Address, nodes)
		limits.Learn(start, engine, two, start)
		_, holder, _ := limits.Ask(start, engine, "b", Need{})
		assert.Equal(t, holder, expected)
		if len(granted(limits, start, 5*time.Second, "b")) > 0 {
			holders++
		}
	}
	assert.Equal(t, holders, 1)
}

func TestNodeThatBecomesTheHolderGivesNothingForTheTakeoverTime(t *testing.T) {
	nodes := nodesOf("a", 3)
	first := membership.Highest(engine.ID, addressesOf(nodes))
	var rest []Node
	for _, node := range nodes {
		if node.Address != first {
			rest = append(rest, node)
		}
	}
	second := membership.Highest(engine.ID, addressesOf(rest))
	limits := limitsAt(second, nodes)
	limits.Learn(start, engine, Said{IsNamed: true, PerSecond: 3}, start)
	lost := start + 10*time.Second
	limits.SetNodes(lost, rest)
	moments := granted(limits, start, 70*time.Second, "a")
	assert.Assert(t, moments[0] >= lost+TakeoverTime, "the first permit %s after the loss", moments[0]-lost)
	// The lost node may still use its third of the rate.
	assert.Assert(t, len(moments) >= 100 && len(moments) <= 115, "%d permits in 57 s", len(moments))
	// The lost node is live again.
	limits.SetNodes(start+80*time.Second, nodes)
	assert.Equal(t, len(granted(limits, start+80*time.Second, 5*time.Second, "a")), 0)
}

func TestNodeThatCannotTellWhoIsLiveGivesOutThePartsOfThoseThatAskIt(t *testing.T) {
	nodes := nodesOf("a", 4)
	holder := membership.Highest(engine.ID, addressesOf(nodes))
	limits := limitsAt(holder, nodes)
	limits.Learn(start, engine, Said{IsNamed: true, PerSecond: 4}, start)
	limits.SetSure(start, false)
	assert.Assert(t, len(granted(limits, start, 20*time.Second, "a")) <= 20)
	for _, node := range nodes {
		if node.Address != holder {
			limits.Grant(start+20*time.Second, node.Address, Ask{Word: Word{Life: engine, PerSecond: 4}, Zone: "a"})
			break
		}
	}
	// One more node requested a permit: two of four shares.
	assert.Assert(t, len(granted(limits, start+20*time.Second, 2*time.Second, "a")) <= 5)
	// The view is reliable again, but the others may still use another issuer.
	limits.SetSure(start+25*time.Second, true)
	assert.Assert(t, len(granted(limits, start+25*time.Second, TakeoverTime, "a")) <= 4)
	assert.Assert(t, len(granted(limits, start+30*time.Second, 20*time.Second, "a")) >= 75)
}

func TestZoneWhoseNodesAreOutOfReachHasNoHolderElsewhereUntilTheyAreForgotten(t *testing.T) {
	nodes := append(nodesOf("a", 2), nodesOf("b", 2)...)
	limits := limitsAt("a-0", nodes)
	limits.Learn(start, engine, two, start)
	limits.SetNodes(start, nodesOf("a", 2))
	_, holder, isLimited := limits.Ask(start+time.Minute, engine, "b", Need{})
	assert.Assert(t, isLimited)
	assert.Equal(t, holder, "")
	_, holder, _ = limits.Ask(start+AbsentMemory+time.Second, engine, "b", Need{})
	assert.Equal(t, holder, membership.Highest(engine.ID, addressesOf(nodesOf("a", 2))))
}

func TestHolderTellsANodeThatALimitHasEnded(t *testing.T) {
	limits, asking := limitsAt("a-0", nodesOf("a", 2)), limitsAt("a-1", nodesOf("a", 2))
	asking.Learn(start, engine, two, start)
	ask, _, _ := asking.Ask(start, engine, "a", Need{})
	limits.Grant(start, "a-1", ask)
	limits.Learn(start+time.Second, engine, none, start+time.Millisecond)
	ask, _, _ = asking.Ask(start+2*time.Second, engine, "a", Need{})
	answer := limits.Grant(start+2*time.Second, "a-1", ask)
	changes := asking.Answered(start+2*time.Second, engine, answer)
	assert.Equal(t, changes[0].Kind, Ended)
}

func TestScarcityFadesOnceNobodyAsks(t *testing.T) {
	limits := limitsAt("a-0", nodesOf("a", 1))
	limits.Learn(start, engine, two, start)
	for range 20 {
		limits.Answered(start, engine, Answer{FreeMS: 400})
	}
	room, _ := limits.Room(start, engine)
	assert.Equal(t, room.Wait, 400*time.Millisecond)
	assert.Assert(t, room.Pressure > 0.9)
	room, _ = limits.Room(start+pressureMemory, engine)
	assert.DeepEqual(t, room, Room{PerSecond: 2})
}

func TestReturnsAreSpreadAtTheRateOfTheLimits(t *testing.T) {
	returns := NewReturns()
	var last time.Duration
	for number := range 10 {
		after := returns.Next(start, "model", 300*time.Millisecond, 2)
		if number == 0 {
			assert.Equal(t, after, 300*time.Millisecond)
		} else {
			assert.Equal(t, after-last, 500*time.Millisecond)
		}
		last = after
	}
	for range 100 {
		assert.Assert(t, returns.Next(start, "model", 0, 2) <= longestReturn)
	}
	assert.Equal(t, returns.Next(start, "portal", 0, 2), leastReturn)
}

// A slot that has just become free is reserved for the most urgent requests. Less urgent ones
// are granted it once it has been free for a fraction of unusedTime.
func TestSlotIsHeldBackFromLessUrgentRequests(t *testing.T) {
	take := func(priority uint8, freeFor time.Duration) bool {
		held := slots{next: start - freeFor}
		_, isTaken := held.take(start, time.Second, Need{Priority: priority})
		return isTaken
	}
	assert.Assert(t, take(0, 0))
	assert.Assert(t, !take(1, 90*time.Millisecond) && take(1, 110*time.Millisecond))
	assert.Assert(t, !take(3, 140*time.Millisecond) && take(3, 160*time.Millisecond))
	assert.Assert(t, take(255, unusedTime))
}
