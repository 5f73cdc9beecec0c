// Package replicaset decides how the members of the control group change as control nodes join, lose
// their disks, and leave.
//
// It is a pure function from the known state of the group and the control nodes to the next change. The
// caller makes one change at a time through the log.
package replicaset

import (
	"cmp"
	"slices"

	"github.com/ravenway/ravenway/internal/coordination/consensus"
)

const (
	// smallGroup and largeGroup are the numbers of voters: three, or five once there are five control
	// nodes.
	smallGroup = 3
	largeGroup = 5
	// maximumLearners is the maximum number of replicas that hold the log without a vote.
	maximumLearners = 2
)

// ControlNode is a control node with recent contact.
type ControlNode struct {
	// Node is the name under which peers know it.
	Node string
	// Replica is the identity in its data folder; 0 if it has none.
	Replica consensus.ReplicaID
}

// ChangeKind is one kind of membership change.
type ChangeKind uint8

const (
	// Nothing means that no change is required.
	Nothing ChangeKind = iota
	// AddLearner adds a replica without a vote.
	AddLearner
	// Promote makes a learner a voter.
	Promote
	// Remove removes a member.
	Remove
)

// String returns the kind's name for logs.
func (k ChangeKind) String() string {
	return [...]string{"nothing", "add_learner", "promote", "remove"}[k]
}

// Change is one membership change.
type Change struct {
	Kind   ChangeKind
	Member consensus.Member
	Reason string
}

// State is the leader's knowledge of the group.
type State struct {
	Members []consensus.Member
	// ControlNodes are the live control nodes, the leader's own included.
	ControlNodes []ControlNode
	// CaughtUp reports whether a member's disk holds every entry that was committed a moment ago. While
	// entries are committed continuously, only the quorum holds the last ones.
	CaughtUp func(consensus.ReplicaID) bool
	// Lost reports whether a member has been unreachable for long.
	Lost func(consensus.ReplicaID) bool
	// Self is the leader's identity.
	Self consensus.ReplicaID
}

// Next returns the next change, or one of kind Nothing.
func Next(state State) Change {
	controls := slices.Clone(state.ControlNodes)
	slices.SortFunc(controls, func(a, b ControlNode) int { return cmp.Compare(a.Node, b.Node) })
	if change, found := state.removeOldIdentity(controls); found {
		return change
	}
	// A missing voter is added before a lost one is removed: otherwise the group could shrink twice
	// with only one learner to take both places.
	if change, found := state.promoteLearner(); found {
		return change
	}
	if change, found := state.replaceLostVoter(); found {
		return change
	}
	if change, found := state.addLearner(controls); found {
		return change
	}
	return state.removeLostLearner(controls)
}

// removeOldIdentity removes the member of a node whose disk has another identity now: the promises of
// the old identity were lost with its disk, so it must not count for a quorum.
func (s State) removeOldIdentity(controls []ControlNode) (Change, bool) {
	for _, control := range controls {
		for _, member := range s.Members {
			if member.Node == control.Node && control.Replica != 0 && member.ID != control.Replica && member.ID != s.Self {
				return Change{Kind: Remove, Member: member, Reason: "its disk came back with another identity"}, true
			}
		}
	}
	return Change{}, false
}

// replaceLostVoter removes an unreachable voter once a learner can take its place, so that the group
// never has too few copies of the log to survive the losses that it is sized for.
func (s State) replaceLostVoter() (Change, bool) {
	if !slices.ContainsFunc(s.Members, func(member consensus.Member) bool { return member.Learner && s.canBecomeVoter(member) }) {
		return Change{}, false
	}
	for _, member := range s.Members {
		if !member.Learner && member.ID != s.Self && s.Lost(member.ID) {
			return Change{Kind: Remove, Member: member, Reason: "silent, and a learner holds the log"}, true
		}
	}
	return Change{}, false
}

func (s State) canBecomeVoter(member consensus.Member) bool {
	return s.CaughtUp(member.ID) && !s.Lost(member.ID)
}

func (s State) voters() int {
	voters := 0
	for _, member := range s.Members {
		if !member.Learner {
			voters++
		}
	}
	return voters
}

func (s State) promoteLearner() (Change, bool) {
	if s.voters() >= s.targetVoters() {
		return Change{}, false
	}
	for _, member := range s.Members {
		if member.Learner && s.canBecomeVoter(member) {
			return Change{Kind: Promote, Member: member, Reason: "holds the log"}, true
		}
	}
	return Change{}, false
}

// targetVoters returns the number of voters that the group should have. A large group stays large while
// control nodes are unreachable: what it acknowledged must be on more disks than may be lost.
func (s State) targetVoters() int {
	if len(s.ControlNodes) >= largeGroup || s.voters() > smallGroup {
		return largeGroup
	}
	return smallGroup
}

func (s State) addLearner(controls []ControlNode) (Change, bool) {
	learners, known := 0, map[consensus.ReplicaID]bool{}
	for _, member := range s.Members {
		known[member.ID] = true
		if member.Learner {
			learners++
		}
	}
	if learners >= maximumLearners {
		return Change{}, false
	}
	for _, control := range controls {
		if control.Replica != 0 && !known[control.Replica] {
			return Change{Kind: AddLearner, Member: consensus.Member{ID: control.Replica, Node: control.Node}, Reason: "a control node without the log"}, true
		}
	}
	return Change{}, false
}

// removeLostLearner removes an unreachable learner, so that another one can be added.
func (s State) removeLostLearner(controls []ControlNode) Change {
	for _, member := range s.Members {
		isAlive := slices.ContainsFunc(controls, func(control ControlNode) bool { return control.Replica == member.ID })
		if member.Learner && s.Lost(member.ID) && !isAlive {
			return Change{Kind: Remove, Member: member, Reason: "a silent learner"}
		}
	}
	return Change{}
}
