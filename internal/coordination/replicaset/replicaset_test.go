package replicaset

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ravenway/ravenway/internal/coordination/consensus"
)

func groupOfThree(lost ...consensus.ReplicaID) State {
	isLost := map[consensus.ReplicaID]bool{}
	for _, id := range lost {
		isLost[id] = true
	}
	return State{
		Members:      []consensus.Member{{ID: 1, Node: "a"}, {ID: 2, Node: "b"}, {ID: 3, Node: "c"}},
		ControlNodes: []ControlNode{{Node: "a", Replica: 1}, {Node: "b", Replica: 2}, {Node: "c", Replica: 3}},
		CaughtUp:     func(id consensus.ReplicaID) bool { return !isLost[id] },
		Lost:         func(id consensus.ReplicaID) bool { return isLost[id] },
		Self:         1,
	}
}

func TestCompleteGroupIsNotChanged(t *testing.T) {
	assert.Equal(t, Next(groupOfThree()).Kind, Nothing)
}

func TestUnreachableVoterStaysWithoutAReplacement(t *testing.T) {
	assert.Equal(t, Next(groupOfThree(3)).Kind, Nothing)
}

func TestOldIdentityOfAWipedReplicaIsRemovedFirst(t *testing.T) {
	state := groupOfThree()
	state.ControlNodes[2].Replica = 9
	change := Next(state)
	assert.Equal(t, change.Kind, Remove)
	assert.Equal(t, change.Member.ID, consensus.ReplicaID(3))
	state.Members = state.Members[:2]
	change = Next(state)
	assert.Equal(t, change.Kind, AddLearner)
	assert.Equal(t, change.Member, consensus.Member{ID: 9, Node: "c"})
	state.Members = append(state.Members, consensus.Member{ID: 9, Node: "c", Learner: true})
	assert.Equal(t, Next(state).Kind, Promote)
}

func TestReplacementAtAnotherAddressReplacesTheLostVoter(t *testing.T) {
	state := groupOfThree(3)
	state.ControlNodes = append(state.ControlNodes[:2], ControlNode{Node: "d", Replica: 4})
	assert.Equal(t, Next(state).Kind, AddLearner)
	state.Members = append(state.Members, consensus.Member{ID: 4, Node: "d", Learner: true})
	change := Next(state)
	assert.Equal(t, change.Kind, Remove)
	assert.Equal(t, change.Member.ID, consensus.ReplicaID(3))
	state.Members = []consensus.Member{state.Members[0], state.Members[1], state.Members[3]}
	assert.Equal(t, Next(state).Kind, Promote)
}

func TestFourthControlNodeStaysALearner(t *testing.T) {
	state := groupOfThree()
	state.ControlNodes = append(state.ControlNodes, ControlNode{Node: "d", Replica: 4})
	state.Members = append(state.Members, consensus.Member{ID: 4, Node: "d", Learner: true})
	assert.Equal(t, Next(state).Kind, Nothing)
}

// applyChange makes a change in the state, as the committed log entry would.
func applyChange(state *State, change Change) {
	switch change.Kind {
	case AddLearner:
		change.Member.Learner = true
		state.Members = append(state.Members, change.Member)
	case Promote, Remove:
		var members []consensus.Member
		for _, member := range state.Members {
			if member.ID == change.Member.ID {
				if change.Kind == Remove {
					continue
				}
				member.Learner = false
			}
			members = append(members, member)
		}
		state.Members = members
	case Nothing:
	}
}

// Guards against a group that shrinks: when a zone with two of five voters is partitioned, both are
// removed in exchange for one learner, which leaves three. If two disks of the three are destroyed
// then, the quorum is lost for good.
func TestLargeGroupStaysLargeWhenAZoneIsPartitioned(t *testing.T) {
	lost := map[consensus.ReplicaID]bool{4: true, 5: true}
	state := State{
		Members: []consensus.Member{
			{ID: 1, Node: "a1"}, {ID: 2, Node: "a2"}, {ID: 3, Node: "c1"}, {ID: 4, Node: "b1"}, {ID: 5, Node: "b2"},
			{ID: 6, Node: "c2", Learner: true},
		},
		ControlNodes: []ControlNode{{Node: "a1", Replica: 1}, {Node: "a2", Replica: 2}, {Node: "c1", Replica: 3}, {Node: "c2", Replica: 6}},
		CaughtUp:     func(id consensus.ReplicaID) bool { return !lost[id] },
		Lost:         func(id consensus.ReplicaID) bool { return lost[id] },
		Self:         1,
	}
	for range 10 {
		change := Next(state)
		if change.Kind == Nothing {
			break
		}
		applyChange(&state, change)
		assert.Assert(t, countVoters(state) >= 4, "%d voters after %s of %s", countVoters(state), change.Kind, change.Member.Node)
	}
	assert.Equal(t, Next(state).Kind, Nothing)
	assert.Equal(t, countVoters(state), 5)
}

func countVoters(state State) int {
	count := 0
	for _, member := range state.Members {
		if !member.Learner {
			count++
		}
	}
	return count
}
