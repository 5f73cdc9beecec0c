package replicaset

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ravenway/ravenway/internal/coordination/consensus"
)

func group(lost ...consensus.ReplicaID) State {
	isLost := map[consensus.ReplicaID]bool{}
	for _, id := range lost {
		isLost[id] = true
	}
	return State{
		Members:  []consensus.Member{{ID: 1, Node: "a"}, {ID: 2, Node: "b"}, {ID: 3, Node: "c"}},
		Controls: []Control{{Node: "a", Replica: 1}, {Node: "b", Replica: 2}, {Node: "c", Replica: 3}},
		CaughtUp: func(id consensus.ReplicaID) bool { return !isLost[id] },
		Lost:     func(id consensus.ReplicaID) bool { return isLost[id] },
		Self:     1,
	}
}

func TestWholeGroupIsLeftAlone(t *testing.T) {
	assert.Equal(t, Next(group()).Kind, Nothing)
}

func TestCutOffVoterStaysWhileNobodyCanTakeItsPlace(t *testing.T) {
	assert.Equal(t, Next(group(3)).Kind, Nothing)
}

func TestWipedReplicaLosesItsOldIdentityFirst(t *testing.T) {
	state := group()
	state.Controls[2].Replica = 9
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

func TestReplacementAtAnotherAddressTakesTheLostVotersPlace(t *testing.T) {
	state := group(3)
	state.Controls = append(state.Controls[:2], Control{Node: "d", Replica: 4})
	assert.Equal(t, Next(state).Kind, AddLearner)
	state.Members = append(state.Members, consensus.Member{ID: 4, Node: "d", Learner: true})
	change := Next(state)
	assert.Equal(t, change.Kind, Remove)
	assert.Equal(t, change.Member.ID, consensus.ReplicaID(3))
	state.Members = []consensus.Member{state.Members[0], state.Members[1], state.Members[3]}
	assert.Equal(t, Next(state).Kind, Promote)
}

func TestFourthControlNodeWaitsAsALearner(t *testing.T) {
	state := group()
	state.Controls = append(state.Controls, Control{Node: "d", Replica: 4})
	state.Members = append(state.Members, consensus.Member{ID: 4, Node: "d", Learner: true})
	assert.Equal(t, Next(state).Kind, Nothing)
}
