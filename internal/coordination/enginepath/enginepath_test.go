package enginepath

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// newTestTracker returns a tracker without randomness for a node that knows some engines.
func newTestTracker(listed int) *Tracker {
	tracker := NewTracker()
	tracker.SetRandom(func() float64 { return 0.5 })
	tracker.SetListed(listed)
	return tracker
}

func connect(tracker *Tracker, at time.Duration, address string) Change {
	return tracker.Record(at, address, Connected, time.Millisecond)
}

func fail(tracker *Tracker, at time.Duration, address string, outcome Outcome) Change {
	return tracker.Record(at, address, outcome, 0)
}

func TestPathIsLostWhenSeveralEnginesFailWithoutAContact(t *testing.T) {
	tracker := newTestTracker(4)
	assert.Equal(t, connect(tracker, time.Second, "a").Kind, Unchanged)
	assert.Equal(t, fail(tracker, 2*time.Second, "a", Silent).Kind, Unchanged)
	assert.Equal(t, fail(tracker, 3*time.Second, "a", Silent).Kind, Unchanged)
	lost := fail(tracker, 4*time.Second, "b", Refused)
	assert.DeepEqual(t, lost, Change{Kind: Lost, Silent: 1, Refused: 1, SinceContact: 3 * time.Second})
	assert.Equal(t, fail(tracker, 5*time.Second, "c", Silent).Kind, Unchanged)
	lasting, isLost := tracker.Loss(5 * time.Second)
	assert.Assert(t, isLost)
	assert.Equal(t, lasting, time.Second)
	regained := connect(tracker, 6*time.Second, "c")
	assert.DeepEqual(t, regained, Change{Kind: Regained, Silent: 1, Refused: 1, SinceContact: 5 * time.Second, Lasted: 2 * time.Second})
	assert.Equal(t, tracker.UnreachableCount(), 2)
}

func TestOneDeadEngineAmongReachableOnesIsNoLostPath(t *testing.T) {
	tracker := newTestTracker(2)
	for second := range 60 {
		now := time.Duration(second) * time.Second
		assert.Equal(t, fail(tracker, now, "dead", Silent).Kind, Unchanged)
		assert.Equal(t, connect(tracker, now, "alive").Kind, Unchanged)
	}
	assert.Equal(t, tracker.UnreachableCount(), 1)
	tracker.Prune(time.Minute, []string{"alive"})
	assert.Equal(t, tracker.UnreachableCount(), 0)
}

// Guards against a path that counts as lost because several of many engines have really failed and
// nobody asked for the others: the node probes them.
func TestSuspectedPathIsProbedAtRandomEngines(t *testing.T) {
	tracker := newTestTracker(12)
	var listed []string
	for number := range 12 {
		listed = append(listed, fmt.Sprintf("engine-%02d", number))
	}
	list := func() []string { return listed }
	assert.Equal(t, len(tracker.TakeProbes(0, list)), 0)
	fail(tracker, 0, listed[0], Silent)
	fail(tracker, 0, listed[1], Silent)
	probed := tracker.TakeProbes(time.Millisecond, list)
	assert.Equal(t, len(probed), suspectedProbes)
	assert.Equal(t, len(tracker.TakeProbes(2*time.Millisecond, list)), 0)
	for _, address := range probed {
		assert.Assert(t, !slices.Contains(listed[:2], address))
	}
	next := tracker.TakeProbes(suspectedProbeInterval+time.Millisecond, list)
	assert.Equal(t, len(next), suspectedProbes)
	for _, address := range next {
		assert.Assert(t, !slices.Contains(probed, address))
	}
	// All of them fail: the path is lost. It is probed at one engine after the other.
	for _, address := range append(probed, next...) {
		fail(tracker, 300*time.Millisecond, address, Silent)
	}
	_, isLost := tracker.Loss(300 * time.Millisecond)
	assert.Assert(t, isLost)
	seen := map[string]bool{}
	for step := range 10 {
		for _, address := range tracker.TakeProbes(time.Second+time.Duration(step)*lostProbeInterval, list) {
			seen[address] = true
		}
	}
	assert.Equal(t, len(seen), 10)
}

func TestPlanOfAnEngine(t *testing.T) {
	tracker := newTestTracker(100)
	assert.DeepEqual(t, tracker.Plan(0, "a"), Plan{RelayDelay: maximumRelayDelay})
	connect(tracker, 0, "a")
	assert.DeepEqual(t, tracker.Plan(0, "a"), Plan{RelayDelay: minimumRelayDelay})
	fail(tracker, time.Second, "a", Silent)
	// Between two probes only relays are used, and if they fail nothing is.
	assert.DeepEqual(t, tracker.Plan(time.Second, "a"), Plan{WithoutDirect: true})
	tracker.RecordRelay(time.Second, "a", EngineUnreachable)
	assert.DeepEqual(t, tracker.Plan(time.Second, "a"), Plan{WithoutDirect: true, WithoutRelay: true})
	// A probe races a relayed attempt.
	probeAt := time.Second + initialProbeInterval
	assert.DeepEqual(t, tracker.Plan(probeAt, "a"), Plan{WithoutRelay: true})
	assert.DeepEqual(t, tracker.Plan(probeAt, "a"), Plan{WithoutDirect: true, WithoutRelay: true})
	assert.DeepEqual(t, tracker.Plan(time.Second+relayFailureMemory, "a"), Plan{})
	// Once another engine fails too, engines that were not tried are relayed to without a delay.
	assert.DeepEqual(t, tracker.Plan(3*time.Second, "b"), Plan{RelayDelay: minimumRelayDelay})
	fail(tracker, 3*time.Second, "c", Refused)
	assert.DeepEqual(t, tracker.Plan(3*time.Second, "b"), Plan{})
}

// Guards against a path that comes and goes and is used as soon as it is back: the connections that
// are opened then are lost with it.
func TestEngineWhosePathFlapsIsHeldOnRelays(t *testing.T) {
	tracker := newTestTracker(100)
	hold := func(at time.Duration) time.Duration {
		fail(tracker, at, "a", Silent)
		connect(tracker, at+500*time.Millisecond, "a")
		for _, state := range tracker.List(at + 500*time.Millisecond) {
			return state.Hold
		}
		return 0
	}
	assert.Equal(t, hold(0), time.Duration(0))
	assert.Equal(t, hold(time.Second), initialHoldTime)
	assert.Equal(t, hold(3*time.Second), 2*initialHoldTime)
	assert.Equal(t, hold(6*time.Second), 4*initialHoldTime)
	assert.Equal(t, hold(11*time.Second), maximumHoldTime)
	assert.Equal(t, hold(20*time.Second), maximumHoldTime)
	plan := tracker.Plan(20600*time.Millisecond, "a")
	assert.DeepEqual(t, plan, Plan{DirectDelay: minimumRelayDelay})
	// A path that stays is trusted again.
	end := 20500*time.Millisecond + maximumHoldTime
	assert.DeepEqual(t, tracker.Plan(end, "a"), Plan{RelayDelay: minimumRelayDelay})
	tracker.Prune(end+flapMemory, []string{"a"})
	assert.Assert(t, tracker.IsEmpty())
}

func TestNodeIsIsolatedOnlyIfNobodyRelaysForIt(t *testing.T) {
	tracker := newTestTracker(2)
	fail(tracker, 0, "a", Silent)
	fail(tracker, 0, "b", Silent)
	assert.Assert(t, !tracker.IsIsolated(0))
	assert.Assert(t, tracker.IsIsolated(isolationDelay))
	// All nodes have lost the engines: the callers would be no better off elsewhere.
	tracker.RecordRelay(time.Second, "a", PeersLost)
	assert.Assert(t, !tracker.IsIsolated(time.Second))
	tracker.RecordRelay(time.Second, "a", Relayed)
	tracker.RecordRelay(time.Second, "b", NoRelay)
	assert.Assert(t, !tracker.IsIsolated(time.Second))
	assert.Assert(t, tracker.IsIsolated(time.Second+relayMemory))
	connect(tracker, 4*time.Second, "a")
	assert.Assert(t, !tracker.IsIsolated(4*time.Second))
}

// Guards against a silent engine that is taken for a lost path: only a relay that reaches the engine
// shows a partition.
func TestSilentEngineIsNotPartitioned(t *testing.T) {
	tracker := newTestTracker(100)
	assert.Assert(t, !tracker.TakeCheck(0, "a"))
	fail(tracker, 0, "a", Silent)
	assert.Assert(t, !tracker.IsPartitioned(0, "a"))
	assert.Assert(t, tracker.TakeCheck(0, "a"))
	assert.Assert(t, !tracker.TakeCheck(0, "a"))
	tracker.RecordRelay(0, "a", EngineUnreachable)
	assert.Assert(t, !tracker.IsPartitioned(0, "a"))
	tracker.RecordRelay(time.Second, "a", Relayed)
	assert.Assert(t, tracker.IsPartitioned(time.Second, "a"))
	assert.Assert(t, !tracker.IsPartitioned(2*time.Second+time.Millisecond, "a"))
	connect(tracker, 3*time.Second, "a")
	tracker.RecordRelay(3*time.Second, "a", Relayed)
	assert.Assert(t, !tracker.IsPartitioned(3*time.Second, "a"))
}

func TestRelaysOfTheOwnZoneAreAskedFirst(t *testing.T) {
	peers := NewPeers("a")
	peers.SetRandom(func(n int) int { return n - 1 })
	peers.SetNodes([]Peer{{"a1", "a"}, {"a2", "a"}, {"a3", "a"}, {"b1", "b"}, {"c1", "c"}})
	var asked []string
	for {
		chosen, found := peers.Choose(0, "engine", asked)
		if !found {
			break
		}
		asked = append(asked, chosen)
	}
	assert.DeepEqual(t, asked, []string{"a3", "a2", "c1", "b1", "a1"})
	peers.Avoid(0, "a3", PeerLost)
	peers.AvoidFor(0, "a2", "engine")
	chosen, _ := peers.Choose(0, "engine", nil)
	assert.Equal(t, chosen, "a1")
	chosen, _ = peers.Choose(0, "other", nil)
	assert.Equal(t, chosen, "a2")
	chosen, _ = peers.Choose(avoidTimes[PeerLost], "engine", nil)
	assert.Equal(t, chosen, "a3")
}

// Guards against one peer that carries the connections of a whole zone.
func TestRelayedConnectionsAreSpread(t *testing.T) {
	const connectionsPerPeer = 40
	for _, count := range []int{2, 8, 35, 984} {
		peers := NewPeers("a")
		peers.SetRandom(rand.New(rand.NewPCG(57, uint64(count))).IntN)
		var nodes []Peer
		for number := range count {
			nodes = append(nodes, Peer{fmt.Sprint("peer-", number), "b"})
		}
		peers.SetNodes(nodes)
		for range connectionsPerPeer * count {
			_, found := peers.Choose(0, "engine", nil)
			assert.Assert(t, found)
		}
		for address, relaying := range peers.Relaying() {
			assert.Check(t, relaying <= connectionsPerPeer*3/2, "%s of %d relays %d", address, count, relaying)
			for range relaying {
				peers.Release(address)
			}
		}
		assert.Equal(t, peers.Total(), 0)
	}
}

// BenchmarkPlanOfAReachableEngine measures what each new connection costs while no path is lost.
func BenchmarkPlanOfAReachableEngine(b *testing.B) {
	tracker := NewTracker()
	tracker.Record(0, "engine", Connected, time.Millisecond)
	b.ReportAllocs()
	for b.Loop() {
		tracker.Plan(time.Second, "engine")
		tracker.IsDoubtful("engine")
	}
}
