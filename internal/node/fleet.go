package node

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/ravenway/ravenway/internal/protocol/peer"
)

const (
	heartbeatInterval = 500 * time.Millisecond
	// heartbeatTimeout is the time since the last heartbeat after which a node counts as unreachable.
	heartbeatTimeout = 3 * time.Second
)

// fleetView holds the last heartbeat of each other node.
type fleetView struct {
	node  *Node
	mutex sync.RWMutex
	nodes map[string]receivedStatus
}

// receivedStatus is a heartbeat and the time at which it arrived.
type receivedStatus struct {
	peer.Status
	receivedAt time.Time
}

func newFleetView(node *Node) *fleetView {
	return &fleetView{node: node, nodes: map[string]receivedStatus{}}
}

// record records a heartbeat. It ignores one of an earlier incarnation.
func (f *fleetView) record(status peer.Status) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if known, found := f.nodes[status.Node]; found && known.Incarnation > status.Incarnation {
		return
	}
	f.nodes[status.Node] = receivedStatus{Status: status, receivedAt: time.Now()}
}

// lastStatus returns the last heartbeat of a node and the time since it arrived.
func (f *fleetView) lastStatus(name string) (peer.Status, time.Duration, bool) {
	f.mutex.RLock()
	defer f.mutex.RUnlock()
	known, found := f.nodes[name]
	return known.Status, time.Since(known.receivedAt), found
}

// isReachable reports whether a node is this one, or has sent a heartbeat within heartbeatTimeout.
func (f *fleetView) isReachable(name string) bool {
	_, age, found := f.lastStatus(name)
	return name == f.node.name || (found && age < heartbeatTimeout)
}

// allStatuses returns the last heartbeat of every known node, sorted by node name.
func (f *fleetView) allStatuses() []receivedStatus {
	f.mutex.RLock()
	defer f.mutex.RUnlock()
	statuses := make([]receivedStatus, 0, len(f.nodes))
	for _, status := range f.nodes {
		statuses = append(statuses, status)
	}
	sort.Slice(statuses, func(i, j int) bool { return statuses[i].Node < statuses[j].Node })
	return statuses
}

// leader returns the leader of the highest term in recent heartbeats, or "" if none names a leader.
func (f *fleetView) leader() string {
	f.mutex.RLock()
	defer f.mutex.RUnlock()
	leader, term := "", uint64(0)
	for _, status := range f.nodes {
		if status.Leader != "" && status.Term >= term && time.Since(status.receivedAt) < heartbeatTimeout {
			leader, term = status.Leader, status.Term
		}
	}
	return leader
}

// status returns the current content of this node's own heartbeat.
func (n *Node) status() peer.Status {
	status := peer.Status{
		Node: n.name, Zone: n.zone, Incarnation: n.incarnation,
		OwnerIncarnation: n.escrow.id.Load().Incarnation,
		Revision:         n.view.Load().revision, Stopping: n.stopping.Load(),
	}
	if n.replica != nil {
		n.replica.describe(&status)
	}
	return status
}

// runHeartbeats sends heartbeats to the control nodes and to the nodes of the same zone.
func (n *Node) runHeartbeats(ctx context.Context) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		status := n.status()
		for name, other := range n.peers {
			// Control nodes send to all nodes, so that every node knows the leader.
			if name == n.name || other.Control || other.Zone == n.zone || n.replica != nil {
				n.send(name, peer.KindStatus, &status)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
