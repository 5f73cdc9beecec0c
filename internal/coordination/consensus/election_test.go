package consensus

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ravenway/ravenway/internal/state/journal"
)

// restartedReplica returns replica 1 of three as it starts with a group on its disk.
func restartedReplica(t *testing.T, seed uint64) *Core {
	t.Helper()
	members := []Member{{ID: 1, Node: "a"}, {ID: 2, Node: "b"}, {ID: 3, Node: "c"}}
	snapshot := BootstrapSnapshot(members, nil)
	core, err := NewCore(Options{
		ID: 1, ElectionTicks: 10, HeartbeatTicks: 3, StartTicks: 3, Random: rand.New(rand.NewPCG(seed, 0)),
	}, journal.HardState{Term: 1}, &snapshot, nil)
	assert.NilError(t, err)
	return core
}

// ticksToPreVote ticks until the replica requests a pre-vote, and returns the number of ticks.
func ticksToPreVote(core *Core) int {
	for ticks := 1; ; ticks++ {
		core.Tick()
		for _, message := range drainReady(core) {
			if message.Kind == MessagePreVote {
				return ticks
			}
		}
	}
}

// After a power loss of all machines there is no leader. Until there is one, all requests that require
// new tokens are refused, so the first elections must begin early.
func TestReplicaRequestsVotesSoonAfterAStart(t *testing.T) {
	for seed := range uint64(50) {
		core := restartedReplica(t, seed)
		assert.Assert(t, ticksToPreVote(core) <= 5)
		assert.Assert(t, ticksToPreVote(core) <= 5, "the second try")
	}
}

func TestReplicaWithALeaderWaitsItsWholeElectionTimeout(t *testing.T) {
	for seed := range uint64(50) {
		core := restartedReplica(t, seed)
		core.Step(Message{Kind: MessageHeartbeat, From: 2, To: 1, Term: 2})
		drainReady(core)
		assert.Assert(t, ticksToPreVote(core) >= 10)
	}
}

// Two replicas that can't reach the third must not go on with short timeouts, at which their elections
// collide.
func TestRepeatedlyFailedElectionsUseTheWholeTimeout(t *testing.T) {
	core := restartedReplica(t, 1)
	for range maximumStartElections {
		ticksToPreVote(core)
	}
	assert.Assert(t, ticksToPreVote(core) >= 10)
}
