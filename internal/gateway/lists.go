package gateway

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/ravenway/ravenway/internal/coordination/follow"
	"github.com/ravenway/ravenway/internal/coordination/roster"
	"github.com/ravenway/ravenway/internal/protocol/peer"
)

const (
	// fullListHellos is the number of hellos, about 30 s, after which the full list of nodes is
	// repeated even if it did not change: a frame with a change may have been lost with its
	// connection. With 1,000 nodes this costs an entry node 2 KB a second.
	fullListHellos = 50
	// listSenderCount is the number of control nodes that send an entry node the list of all nodes.
	// The list of 985 entry nodes has 25 KB; sent by each of 25 control nodes it added up to 2.5 MB
	// for each entry node during the start of a fleet. The second sender covers the loss of the
	// first.
	listSenderCount = 2
)

// sentNodeList is what a receiver was last sent of the node list, and this control node's role for
// it.
type sentNodeList struct {
	// version is the version of the list of all nodes that was last sent, 0 if another list or none
	// was sent. controls is the digest of the control nodes that were sent.
	version  uint64
	controls uint64
	hellos   int
	// decidedFor is the digest of the control nodes for which it was last decided whether this node
	// sends the receiver the list of all nodes.
	decidedFor   uint64
	isListSender bool
	// isRelay is set if this node is the first of those senders, which also relays changes of
	// instances.
	isRelay   bool
	isDecided bool
}

// nodeList is the list of the live nodes that a control node knows, itself included, with its
// latest changes.
type nodeList struct {
	nodes     []peer.NodeEntry
	protocols []peer.ProtocolVersion
	// version rises with each change. history holds the latest changes, the newest last.
	version uint64
	history []listChange
	// controls are the control nodes among them, and controlsDigest is a digest of their addresses.
	controls       []peer.NodeEntry
	controlsDigest uint64
}

// listChange is the difference between two versions of the list.
type listChange struct {
	joined []peer.NodeEntry
	left   []string
}

// maximumHistory is the number of changes that are kept. A receiver that is further behind is sent
// the full list. A change has some 40 bytes for each node, the list of 985 nodes has 25 KB, and
// changes are sent every 0.6 s.
const maximumHistory = 32

// update rebuilds the list from the live nodes.
func (l *nodeList) update(own peer.NodeEntry, alive []*roster.Peer) {
	before, beforeProtocols := l.nodes, l.protocols
	l.nodes, l.protocols, l.controls = []peer.NodeEntry{own}, []peer.ProtocolVersion{peer.OwnProtocol}, []peer.NodeEntry{own}
	digest := xxhash.New()
	for _, known := range alive {
		if known.Stopping {
			continue
		}
		entry := peer.NodeEntry{Address: known.Address, Zone: known.Zone, Entry: known.Entry, Control: known.Control}
		l.nodes, l.protocols = append(l.nodes, entry), append(l.protocols, known.ProtocolVersion)
		if known.Control {
			l.controls = append(l.controls, entry)
			_, _ = digest.WriteString(known.Address)
		}
	}
	l.controlsDigest = digest.Sum64()
	switch {
	case slices.Equal(before, l.nodes) && slices.Equal(beforeProtocols, l.protocols):
		return
	case l.version == 0 || !slices.Equal(protocolsOf(before, beforeProtocols, l.nodes), protocolsOf(l.nodes, l.protocols, before)):
		// Changes carry no protocol versions, so an upgraded node requires the full list.
		l.history = nil
	default:
		l.history = append(l.history, changeBetween(before, l.nodes))
		l.history = l.history[max(0, len(l.history)-maximumHistory):]
	}
	l.version++
}

// protocolsOf are the protocol versions of those nodes that are also in another list.
func protocolsOf(nodes []peer.NodeEntry, protocols []peer.ProtocolVersion, others []peer.NodeEntry) []peer.ProtocolVersion {
	isOther := make(map[string]bool, len(others))
	for _, other := range others {
		isOther[other.Address] = true
	}
	var common []peer.ProtocolVersion
	for position, node := range nodes {
		if isOther[node.Address] {
			common = append(common, protocols[position])
		}
	}
	return common
}

// changeBetween returns the difference between two lists.
func changeBetween(before, after []peer.NodeEntry) listChange {
	var change listChange
	known := make(map[string]peer.NodeEntry, len(before))
	for _, node := range before {
		known[node.Address] = node
	}
	for _, node := range after {
		was, found := known[node.Address]
		if found && was != node {
			change.left = append(change.left, node.Address)
		}
		if !found || was != node {
			change.joined = append(change.joined, node)
		}
		delete(known, node.Address)
	}
	for address := range known {
		change.left = append(change.left, address)
	}
	slices.Sort(change.left)
	return change
}

// changesSince returns the accumulated changes since a version, and false if the history does not
// reach back that far.
func (l *nodeList) changesSince(version uint64) (listChange, bool) {
	behind := l.version - version
	if version == 0 || behind > uint64(len(l.history)) {
		return listChange{}, false
	}
	var all listChange
	for _, one := range l.history[uint64(len(l.history))-behind:] {
		isLeft := func(address string) bool { return slices.Contains(one.left, address) }
		all.joined = slices.DeleteFunc(all.joined, func(node peer.NodeEntry) bool { return isLeft(node.Address) })
		all.joined = append(all.joined, one.joined...)
		all.left = append(all.left, one.left...)
	}
	return all, true
}

// listHellos are one round's hellos with node lists. Each is built when it is first needed.
type listHellos struct {
	fleet    *fleetDuty
	hello    peer.Hello
	full     *peer.Message
	controls *peer.Message
	changes  map[uint64]*peer.Message
}

// newListHellos updates the node list and prepares a round's hellos from this node's own hello.
func (f *fleetDuty) newListHellos(now time.Duration, own peer.Hello) *listHellos {
	f.nodes.update(peer.NodeEntry{Address: f.node.address, Zone: own.Zone, Control: true}, f.roster.AliveNodes(now))
	return &listHellos{fleet: f, hello: own, changes: map[uint64]*peer.Message{}}
}

// forReceiver returns the hello with the node list that a receiver is due, or nil if none is due.
func (h *listHellos) forReceiver(receiver string) *peer.Message {
	state := h.fleet.decideListRole(receiver)
	isDue := state.hellos%fullListHellos == 0
	var hello *peer.Message
	switch list := &h.fleet.nodes; {
	case !state.isListSender:
		if isDue || state.controls != list.controlsDigest || state.version != 0 {
			hello = h.withControls()
		}
		state.controls, state.version = list.controlsDigest, 0
	case isDue || state.version != list.version:
		readsChanges := h.fleet.node.protocols.versionOf(receiver) >= peer.ProtocolSums
		hello = h.withAllNodes(state.version, isDue || !readsChanges)
		state.version = list.version
	}
	state.hellos++
	h.fleet.sentLists[receiver] = state
	return hello
}

func (h *listHellos) withControls() *peer.Message {
	if h.controls == nil {
		own := h.hello
		own.Nodes = h.fleet.nodes.controls
		h.controls = peer.NewMessage(peer.KindHello, own)
	}
	return h.controls
}

// withAllNodes returns the hello about all nodes: only the changes since a version where these are
// known and the full list is not required.
func (h *listHellos) withAllNodes(since uint64, isFullRequired bool) *peer.Message {
	list := &h.fleet.nodes
	change, isKnown := list.changesSince(since)
	if isFullRequired || !isKnown {
		if h.full == nil {
			own := h.hello
			own.Nodes, own.ListVersion, own.OlderNodeProtocols = list.nodes, list.version, h.fleet.node.protocols.olderVersions(list.nodes)
			h.full = peer.NewMessage(peer.KindHello, own)
		}
		return h.full
	}
	if h.changes[since] == nil {
		own := h.hello
		own.ListBase, own.ListVersion, own.Joined, own.Left = since, list.version, change.joined, change.left
		h.changes[since] = peer.NewMessage(peer.KindHello, own)
	}
	return h.changes[since]
}

// repeatList makes the next hello to a receiver carry the full list: the frame with the last one was
// lost, most likely with a connection to the receiver's previous incarnation.
func (f *fleetDuty) repeatList(receiver string) {
	if state, isSent := f.sentLists[receiver]; isSent {
		state.hellos = 0
		f.sentLists[receiver] = state
	}
}

// decideListRole decides whether this control node is one of those that send a node the list of all
// nodes. Control nodes are in contact with entry nodes themselves, and listSenderCount senders are
// enough for any entry node.
func (f *fleetDuty) decideListRole(receiver string) sentNodeList {
	state := f.sentLists[receiver]
	known := f.roster.Get(receiver)
	if known == nil || !known.Entry {
		return state
	}
	if !state.isDecided || state.decidedFor != f.nodes.controlsDigest {
		var controls []follow.Node
		for _, control := range f.nodes.controls {
			controls = append(controls, follow.Node{Address: control.Address, Zone: control.Zone})
		}
		chosen := follow.ChooseSenders(follow.Node{Address: known.Address, Zone: known.Zone}, controls, listSenderCount)
		state.isListSender, state.isRelay = slices.Contains(chosen, f.node.address), len(chosen) > 0 && chosen[0] == f.node.address
		state.decidedFor, state.isDecided = f.nodes.controlsDigest, true
		f.sentLists[receiver] = state
	}
	return state
}
