package node

import (
	"context"
	"errors"
	"time"

	"github.com/ravenway/ravenway/internal/coordination/consensus"
	"github.com/ravenway/ravenway/internal/pause"
)

const membershipInterval = 500 * time.Millisecond

// runMembership bootstraps the control group at its first start. On the leader, it keeps the
// members of the group in line with the control nodes: a new replica id is added as a learner (a
// member without a vote) and promoted to voter once its disk holds the log, and the old replica id
// of the same node is removed.
func (n *Node) runMembership(ctx context.Context) {
	for pause.For(ctx, membershipInterval) {
		view := n.replica.view.Load()
		switch {
		case !view.hasGroup && n.settings.Control.Bootstrap:
			n.bootstrapIfAllEmpty(ctx)
		case view.leading:
			_ = n.replica.duty.Do(ctx, n.replica.manageMembers)
		}
	}
}

// bootstrapIfAllEmpty bootstraps the control group if every other control node is reachable and
// none belongs to a group. A node that has lost its disk finds that the others have a group, and
// the leader adds it to that one.
func (n *Node) bootstrapIfAllEmpty(ctx context.Context) {
	for name, other := range n.peers {
		if !other.Control || name == n.name {
			continue
		}
		status, age, found := n.fleet.lastStatus(name)
		if !found || age > heartbeatTimeout || status.HasGroup || status.Replica == 0 {
			return
		}
	}
	_ = n.replica.duty.Do(ctx, n.replica.bootstrap)
}

// bootstrap makes this replica the only voter of a new group. It does nothing if the replica
// already belongs to one.
func (r *replicaDuty) bootstrap() {
	if len(r.replica.Core().Configuration().Members) > 0 {
		return
	}
	if err := r.replica.Close(); err != nil {
		r.node.fail(err)
		return
	}
	replica, err := r.open([]consensus.Member{{ID: r.id, Node: r.node.name}})
	if err != nil {
		r.node.fail(err)
		return
	}
	r.replica = replica
	r.node.log.Info().Str("event", "group_founded").Uint64("replica", uint64(r.id)).Send()
}

// manageMembers makes at most one membership change. Further changes follow in later intervals.
func (r *replicaDuty) manageMembers() {
	core := r.replica.Core()
	if !r.leading() {
		return
	}
	for name, other := range r.node.peers {
		status, age, found := r.node.fleet.lastStatus(name)
		if !other.Control || name == r.node.name || !found || age > heartbeatTimeout || status.Replica == 0 {
			continue
		}
		if r.changeMember(core, name, consensus.ReplicaID(status.Replica)) {
			return
		}
	}
}

// changeMember makes the next membership change required for one control node, and reports whether
// one was required: remove the node's old replica id, add the new one as a learner, promote it.
func (r *replicaDuty) changeMember(core *consensus.Core, name string, id consensus.ReplicaID) bool {
	current, isMember := core.Configuration().Member(id)
	if isMember && !current.Learner {
		return false
	}
	for _, member := range core.Configuration().Members {
		if member.Node == name && member.ID != id {
			r.logMemberChange("member_removed", name, member.ID, core.RemoveMember(member.ID))
			return true
		}
	}
	if !isMember {
		r.logMemberChange("learner_added", name, id, core.AddLearner(consensus.Member{ID: id, Node: name}))
		return true
	}
	if err := core.Promote(id); !errors.Is(err, consensus.ErrNotCaughtUp) {
		r.logMemberChange("voter_added", name, id, err)
	}
	return true
}

func (r *replicaDuty) logMemberChange(event, name string, id consensus.ReplicaID, err error) {
	if errors.Is(err, consensus.ErrChangePending) {
		return
	}
	r.node.log.Info().Str("event", event).Str("node", name).Uint64("replica", uint64(id)).AnErr("error", err).Send()
}

// CaughtUpVoters returns the number of reachable voters that hold every committed entry on disk.
// Only the leader knows it: other nodes return 0.
func (n *Node) CaughtUpVoters() int {
	if n.replica == nil || !n.replica.view.Load().leading {
		return 0
	}
	return n.replica.view.Load().caughtUpVoters
}
