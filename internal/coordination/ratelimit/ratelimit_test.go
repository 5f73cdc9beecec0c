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
	engine     = registry.Incarnation{ID: "i-1", StartedAt: 7}
	limitOfTwo = Signal{IsNamed: true, PerSecond: 2}
	noLimit    = Signal{}
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
	limits.SetReliable(0, true)
	return limits
}

// granted requests permits of the engine every 10 ms for a time, and returns when the granted
// ones may be used.
func granted(limits *Limits, from, duration time.Duration, zone string) []time.Duration {
	var moments []time.Duration
	for now := from; now < from+duration; now += 10 * time.Millisecond {
		request, _, isLimited := limits.RequestPermit(now, engine, zone, PermitNeeds{})
		if !isLimited {
			return moments
		}
		if response := limits.Grant(now, limits.issuers.self, request); response.IsGranted {
			moments = append(moments, now+time.Duration(response.DelayMS)*time.Millisecond)
		}
	}
	return moments
}

func TestResponseWithoutALimitEndsItOnlyForARequestWrittenAfterTheLimitWasKnown(t *testing.T) {
	limits := limitsAt("a-0", nodesOf("a", 1))
	assert.Equal(t, limits.Learn(start, engine, limitOfTwo, start).Kind, Began)
	assert.Equal(t, limits.Learn(start+time.Second, engine, noLimit, start-time.Millisecond).Kind, Unchanged)
	assert.Equal(t, limits.Learn(start+time.Second, engine, noLimit, start+time.Millisecond).Kind, Ended)
	_, isLimited := limits.Headroom(start+time.Second, engine)
	assert.Assert(t, !isLimited)
}

func TestFailureThatNamesNoLimitDoesNotEndIt(t *testing.T) {
	limits := limitsAt("a-0", nodesOf("a", 1))
	limits.Learn(start, engine, limitOfTwo, start)
	assert.Equal(t, limits.Learn(start+2, engine, Signal{IsFailure: true}, start+1).Kind, Unchanged)
	assert.Equal(t, limits.Learn(start+3, engine, Signal{IsFailure: true, IsNamed: true, PerSecond: 1}, start+2).Kind, Changed)
	assert.Equal(t, limits.Learn(start+5, engine, noLimit, start+4).Kind, Ended)
}

func TestOutdatedResponseLowersALimitAndDoesNotRaiseIt(t *testing.T) {
	limits := limitsAt("a-0", nodesOf("a", 1))
	limits.Learn(start, engine, limitOfTwo, start)
	assert.Equal(t, limits.Learn(start+1, engine, Signal{IsNamed: true, PerSecond: 9}, start-1).Kind, Unchanged)
	assert.Equal(t, limits.Learn(start+2, engine, Signal{IsNamed: true, PerSecond: 1}, start-1).Kind, Changed)
	assert.Equal(t, limits.Learn(start+4, engine, Signal{IsNamed: true, PerSecond: 9}, start+3).Kind, Changed)
}

func TestUnreadableLimitNeitherSetsNorEndsALimitAndIsReportedOnce(t *testing.T) {
	limits := limitsAt("a-0", nodesOf("a", 1))
	unreadable := Read([]string{"many"})
	change := limits.Learn(start, engine, unreadable, start)
	assert.Equal(t, change.Kind, Unreadable)
	assert.ErrorIs(t, change.Fault, errInvalidRate)
	assert.Equal(t, limits.Learn(start, engine, unreadable, start).Kind, Unchanged)
	assert.Assert(t, !limits.Any())
	limits.Learn(start, engine, limitOfTwo, start)
	limits.Learn(start+1, engine, unreadable, start+1)
	_, isLimited := limits.Headroom(start+2, engine)
	assert.Assert(t, isLimited)
}

func TestNewIncarnationOfAnInstanceHasNoLimit(t *testing.T) {
	limits := limitsAt("a-0", nodesOf("a", 1))
	limits.Learn(start, engine, limitOfTwo, start)
	_, _, isLimited := limits.RequestPermit(start, registry.Incarnation{ID: engine.ID, StartedAt: 8}, "a", PermitNeeds{})
	assert.Assert(t, !isLimited)
	limits.Forget(engine)
	assert.Assert(t, !limits.Any())
}

func TestNewestUpdateOfOtherNodesApplies(t *testing.T) {
	limits := limitsAt("a-0", nodesOf("a", 1))
	update := func(perSecond float64, hasEnded bool, at time.Duration) []Update {
		return []Update{{Incarnation: engine, PerSecond: perSecond, HasEnded: hasEnded, At: at}}
	}
	assert.Equal(t, limits.Receive(start, update(2, false, start-time.Second))[0].Kind, Began)
	assert.Equal(t, len(limits.Receive(start, update(0, true, start-2*time.Second))), 0)
	assert.Equal(t, limits.Receive(start, update(0, true, start-time.Millisecond))[0].Kind, Ended)
	// An older update is delayed.
	assert.Equal(t, len(limits.Receive(start, update(2, false, start-time.Second))), 0)
	limits.Prune(start + endedRetention + time.Second)
	assert.Assert(t, !limits.Any())
}

func TestIssuerGrantsTheNamedRateAndStartsWithoutPermits(t *testing.T) {
	for _, perSecond := range []float64{0.1, 1, 5, 50} {
		limits := limitsAt("a-0", nodesOf("a", 1))
		limits.Learn(start, engine, Signal{IsNamed: true, PerSecond: perSecond}, start)
		moments := granted(limits, start, 100*time.Second, "a")
		assert.Assert(t, moments[0] >= start+interval(perSecond)-time.Millisecond, "%g: the first permit after %s", perSecond, moments[0]-start)
		assert.Assert(t, float64(len(moments)) <= 100*perSecond && float64(len(moments)) >= 95*perSecond-1, "%g: %d permits", perSecond, len(moments))
	}
}

func TestLimitOfZeroAllowsTheMinimumRateSinceOnlyAResponseCanEndIt(t *testing.T) {
	limits := limitsAt("a-0", nodesOf("a", 1))
	limits.Learn(start, engine, Signal{IsNamed: true}, start)
	assert.Equal(t, len(granted(limits, start, 100*time.Second, "a")), 9)
}

func TestIdleTimeAllowsNoBurst(t *testing.T) {
	limits := limitsAt("a-0", nodesOf("a", 1))
	limits.Learn(start, engine, Signal{IsNamed: true, PerSecond: 8}, start)
	assert.Equal(t, len(granted(limits, start+time.Hour, 10*time.Millisecond, "a")), 1)
	later := start + 2*time.Hour
	// Unused permits of a quarter of a second are still available: two at this rate.
	assert.Assert(t, len(granted(limits, later, 250*time.Millisecond, "a")) <= 4)
}

func TestRequestThatCanWaitIsGrantedALaterSlot(t *testing.T) {
	limits := limitsAt("a-0", nodesOf("a", 1))
	limits.Learn(start, engine, Signal{IsNamed: true, PerSecond: 10}, start)
	now := start + time.Second
	request, _, _ := limits.RequestPermit(now, engine, "a", PermitNeeds{MaximumWaitMS: 150})
	var delays []uint64
	for range 4 {
		if response := limits.Grant(now, limits.issuers.self, request); response.IsGranted {
			delays = append(delays, response.DelayMS)
		}
	}
	// The slot that just passed, the current one, and one within the maximum wait.
	assert.DeepEqual(t, delays, []uint64{0, 0, 100})
}

func TestAllNodesSelectTheSameIssuerInTheInstancesZone(t *testing.T) {
	nodes := append(nodesOf("a", 3), nodesOf("b", 3)...)
	expected := membership.Highest(engine.ID, addressesOf(nodesOf("b", 3)))
	issuers := 0
	for _, node := range nodes {
		limits := limitsAt(node.Address, nodes)
		limits.Learn(start, engine, limitOfTwo, start)
		_, issuer, _ := limits.RequestPermit(start, engine, "b", PermitNeeds{})
		assert.Equal(t, issuer, expected)
		if len(granted(limits, start, 5*time.Second, "b")) > 0 {
			issuers++
		}
	}
	assert.Equal(t, issuers, 1)
}

func TestNewIssuerGrantsNothingForTheTakeoverTime(t *testing.T) {
	nodes := nodesOf("a", 3)
	first := membership.Highest(engine.ID, addressesOf(nodes))
	var remaining []Node
	for _, node := range nodes {
		if node.Address != first {
			remaining = append(remaining, node)
		}
	}
	second := membership.Highest(engine.ID, addressesOf(remaining))
	limits := limitsAt(second, nodes)
	limits.Learn(start, engine, Signal{IsNamed: true, PerSecond: 3}, start)
	lost := start + 10*time.Second
	limits.SetNodes(lost, remaining)
	moments := granted(limits, start, 70*time.Second, "a")
	assert.Assert(t, moments[0] >= lost+TakeoverTime, "the first permit %s after the loss", moments[0]-lost)
	// The lost node may still use its third of the rate.
	assert.Assert(t, len(moments) >= 100 && len(moments) <= 115, "%d permits in 57 s", len(moments))
	// The lost node is live again.
	limits.SetNodes(start+80*time.Second, nodes)
	assert.Equal(t, len(granted(limits, start+80*time.Second, 5*time.Second, "a")), 0)
}

func TestIssuerWithoutAReliableViewGrantsOnlyTheSharesOfRequestingNodes(t *testing.T) {
	nodes := nodesOf("a", 4)
	issuer := membership.Highest(engine.ID, addressesOf(nodes))
	limits := limitsAt(issuer, nodes)
	limits.Learn(start, engine, Signal{IsNamed: true, PerSecond: 4}, start)
	limits.SetReliable(start, false)
	assert.Assert(t, len(granted(limits, start, 20*time.Second, "a")) <= 20)
	for _, node := range nodes {
		if node.Address != issuer {
			limits.Grant(start+20*time.Second, node.Address, PermitRequest{Update: Update{Incarnation: engine, PerSecond: 4}, Zone: "a"})
			break
		}
	}
	// One more node requested a permit: two of four shares.
	assert.Assert(t, len(granted(limits, start+20*time.Second, 2*time.Second, "a")) <= 5)
	// The view is reliable again, but the others may still use another issuer.
	limits.SetReliable(start+25*time.Second, true)
	assert.Assert(t, len(granted(limits, start+25*time.Second, TakeoverTime, "a")) <= 4)
	assert.Assert(t, len(granted(limits, start+30*time.Second, 20*time.Second, "a")) >= 75)
}

func TestZoneWithUnreachableNodesHasNoIssuerElsewhereUntilTheyAreForgotten(t *testing.T) {
	nodes := append(nodesOf("a", 2), nodesOf("b", 2)...)
	limits := limitsAt("a-0", nodes)
	limits.Learn(start, engine, limitOfTwo, start)
	limits.SetNodes(start, nodesOf("a", 2))
	_, issuer, isLimited := limits.RequestPermit(start+time.Minute, engine, "b", PermitNeeds{})
	assert.Assert(t, isLimited)
	assert.Equal(t, issuer, "")
	_, issuer, _ = limits.RequestPermit(start+AbsentRetention+time.Second, engine, "b", PermitNeeds{})
	assert.Equal(t, issuer, membership.Highest(engine.ID, addressesOf(nodesOf("a", 2))))
}

func TestIssuerSendsARequestingNodeTheEndOfALimit(t *testing.T) {
	limits, requesting := limitsAt("a-0", nodesOf("a", 2)), limitsAt("a-1", nodesOf("a", 2))
	requesting.Learn(start, engine, limitOfTwo, start)
	request, _, _ := requesting.RequestPermit(start, engine, "a", PermitNeeds{})
	limits.Grant(start, "a-1", request)
	limits.Learn(start+time.Second, engine, noLimit, start+time.Millisecond)
	request, _, _ = requesting.RequestPermit(start+2*time.Second, engine, "a", PermitNeeds{})
	response := limits.Grant(start+2*time.Second, "a-1", request)
	changes := requesting.RecordResponse(start+2*time.Second, engine, response)
	assert.Equal(t, changes[0].Kind, Ended)
}

func TestPressureDecaysWithoutPermitRequests(t *testing.T) {
	limits := limitsAt("a-0", nodesOf("a", 1))
	limits.Learn(start, engine, limitOfTwo, start)
	for range 20 {
		limits.RecordResponse(start, engine, PermitResponse{FreeMS: 400})
	}
	headroom, _ := limits.Headroom(start, engine)
	assert.Equal(t, headroom.Wait, 400*time.Millisecond)
	assert.Assert(t, headroom.Pressure > 0.9)
	headroom, _ = limits.Headroom(start+pressureDecayTime, engine)
	assert.DeepEqual(t, headroom, Headroom{PerSecond: 2})
}

func TestRetriesAreSpreadAtTheRateOfTheLimits(t *testing.T) {
	retries := NewRetries()
	var last time.Duration
	for number := range 10 {
		after := retries.Next(start, "model", 300*time.Millisecond, 2)
		if number == 0 {
			assert.Equal(t, after, 300*time.Millisecond)
		} else {
			assert.Equal(t, after-last, 500*time.Millisecond)
		}
		last = after
	}
	for range 100 {
		assert.Assert(t, retries.Next(start, "model", 0, 2) <= maximumRetryTime)
	}
	assert.Equal(t, retries.Next(start, "portal", 0, 2), minimumRetryTime)
}

// A slot that has just become free is granted only to the most urgent requests. It is granted to
// less urgent ones once it has been free for a fraction of unusedPermitTime.
func TestFreeSlotIsWithheldFromLessUrgentRequests(t *testing.T) {
	take := func(priority uint8, freeFor time.Duration) bool {
		schedule := slots{next: start - freeFor}
		_, isTaken := schedule.take(start, time.Second, PermitNeeds{Priority: priority})
		return isTaken
	}
	assert.Assert(t, take(0, 0))
	assert.Assert(t, !take(1, 90*time.Millisecond) && take(1, 110*time.Millisecond))
	assert.Assert(t, !take(3, 140*time.Millisecond) && take(3, 160*time.Millisecond))
	assert.Assert(t, take(255, unusedPermitTime))
}
