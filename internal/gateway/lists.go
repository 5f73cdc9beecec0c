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
	// nodesEvery is the number of hellos, in 30 s, after which a whole list of nodes is
	// repeated though it did not change: a frame with a change of it may have been lost with
	// its connection. With 1,000 nodes it is 2 KB a second at an entry node.
	nodesEvery = 50
	// listTellers is the number of control nodes that tell an entry node of all others:
	// the list of 985 entry nodes has 25 KB, and from each of 25 control nodes it was 2.5 MB
	// for each entry node while a fleet starts. A second one is for the loss of the first.
	listTellers = 2
)

// toldNodes is what a node was told of the nodes, and what this control node is to it.
type toldNodes struct {
	// version is that of the list of all nodes it was told last, 0 if it was told another
	// list or none; controls the digest of the control nodes that it was told.
	version  uint64
	controls uint64
	hellos   int
	// decidedBy is the digest of the control nodes by which it was decided whether this
	// node is one that tells the receiver of all entry nodes.
	decidedBy uint64
	isTeller  bool
	// isRelay tells that it is the first of them, who also passes changes on.
	isRelay   bool
	isDecided bool
}

// nodeList is the list of the nodes that a control node hears from, itself included, with
// its latest changes.
type nodeList struct {
	nodes    []peer.NodeEntry
	dialects []peer.ProtocolVersion
	// version rises with each change; history are the latest ones, the newest last.
	version uint64
	history []listChange
	// controls are the control nodes among them, controlsDigest covers them.
	controls       []peer.NodeEntry
	controlsDigest uint64
}

// listChange is what led to a version of the list.
type listChange struct {
	joined []peer.NodeEntry
	left   []string
}

// historyKept is the number of changes after which a node is told the whole list: a change
// has some 40 bytes a node, the list of 985 has 25 KB, and nodes are told each 0.6 s.
const historyKept = 32

// update makes the list anew.
func (l *nodeList) update(own peer.NodeEntry, alive []*roster.Heard) {
	before, beforeDialects := l.nodes, l.dialects
	l.nodes, l.dialects, l.controls = []peer.NodeEntry{own}, []peer.ProtocolVersion{peer.OwnProtocol}, []peer.NodeEntry{own}
	digest := xxhash.New()
	for _, known := range alive {
		if known.Stopping {
			continue
		}
		entry := peer.NodeEntry{Address: known.Address, Zone: known.Zone, Entry: known.Entry, Control: known.Control}
		l.nodes, l.dialects = append(l.nodes, entry), append(l.dialects, known.ProtocolVersion)
		if known.Control {
			l.controls = append(l.controls, entry)
			_, _ = digest.WriteString(known.Address)
		}
	}
	l.controlsDigest = digest.Sum64()
	switch {
	case slices.Equal(before, l.nodes) && slices.Equal(beforeDialects, l.dialects):
		return
	case l.version == 0 || !slices.Equal(dialectsOf(before, beforeDialects, l.nodes), dialectsOf(l.nodes, l.dialects, before)):
		// A node that is given another build is told of with the whole list.
		l.history = nil
	default:
		l.history = append(l.history, changeBetween(before, l.nodes))
		l.history = l.history[max(0, len(l.history)-historyKept):]
	}
	l.version++
}

// dialectsOf are the dialects of those nodes that are in another list too.
func dialectsOf(nodes []peer.NodeEntry, dialects []peer.ProtocolVersion, others []peer.NodeEntry) []peer.ProtocolVersion {
	isOther := make(map[string]bool, len(others))
	for _, other := range others {
		isOther[other.Address] = true
	}
	var common []peer.ProtocolVersion
	for position, node := range nodes {
		if isOther[node.Address] {
			common = append(common, dialects[position])
		}
	}
	return common
}

// changeBetween tells what led from one list to another.
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

// since tells what has changed since a version, and false if that is not known any more.
func (l *nodeList) since(version uint64) (listChange, bool) {
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

// listHellos are the hellos of one round with lists, made when they are first needed.
type listHellos struct {
	fleet    *fleetDuty
	said     peer.Hello
	whole    *peer.Message
	controls *peer.Message
	changes  map[uint64]*peer.Message
}

// newListHellos makes the hellos of a round of what a node says of itself.
func (f *fleetDuty) newListHellos(now time.Duration, said peer.Hello) *listHellos {
	f.nodes.update(peer.NodeEntry{Address: f.node.address, Zone: said.Zone, Control: true}, f.roster.AliveNodes(now))
	return &listHellos{fleet: f, said: said, changes: map[uint64]*peer.Message{}}
}

// forReceiver is the hello for a node: with the list of nodes that is for it if it is due,
// nil if it is not.
func (h *listHellos) forReceiver(receiver string) *peer.Message {
	told := h.fleet.decideOn(receiver)
	isDue := told.hellos%nodesEvery == 0
	var hello *peer.Message
	switch list := &h.fleet.nodes; {
	case !told.isTeller:
		if isDue || told.controls != list.controlsDigest || told.version != 0 {
			hello = h.withControls()
		}
		told.controls, told.version = list.controlsDigest, 0
	case isDue || told.version != list.version:
		readsChanges := h.fleet.node.dialects.reader(receiver) >= peer.ProtocolSums
		hello = h.withAll(told.version, isDue || !readsChanges)
		told.version = list.version
	}
	told.hellos++
	h.fleet.told[receiver] = told
	return hello
}

func (h *listHellos) withControls() *peer.Message {
	if h.controls == nil {
		said := h.said
		said.Nodes = h.fleet.nodes.controls
		h.controls = peer.NewMessage(peer.KindHello, said)
	}
	return h.controls
}

// withAll tells of all nodes: what has changed since a version where that is known and
// enough.
func (h *listHellos) withAll(since uint64, isWhole bool) *peer.Message {
	list := &h.fleet.nodes
	change, isKnown := list.since(since)
	if isWhole || !isKnown {
		if h.whole == nil {
			said := h.said
			said.Nodes, said.ListVersion, said.OlderNodeProtocols = list.nodes, list.version, h.fleet.node.dialects.older(list.nodes)
			h.whole = peer.NewMessage(peer.KindHello, said)
		}
		return h.whole
	}
	if h.changes[since] == nil {
		said := h.said
		said.ListBase, said.ListVersion, said.Joined, said.Left = since, list.version, change.joined, change.left
		h.changes[since] = peer.NewMessage(peer.KindHello, said)
	}
	return h.changes[since]
}

// decideOn decides what this control node is to a node: one of those that tell it of all
// entry nodes or not. Control nodes hear entry nodes themselves, and two are enough for
// any entry node.
func (f *fleetDuty) decideOn(receiver string) toldNodes {
	told := f.told[receiver]
	known := f.roster.Get(receiver)
	if known == nil || !known.Entry {
		return told
	}
	if !told.isDecided || told.decidedBy != f.nodes.controlsDigest {
		var controls []follow.Node
		for _, control := range f.nodes.controls {
			controls = append(controls, follow.Node{Address: control.Address, Zone: control.Zone})
		}
		chosen := follow.ChooseSenders(follow.Node{Address: known.Address, Zone: known.Zone}, controls, listTellers)
		told.isTeller, told.isRelay = slices.Contains(chosen, f.node.address), len(chosen) > 0 && chosen[0] == f.node.address
		told.decidedBy, told.isDecided = f.nodes.controlsDigest, true
		f.told[receiver] = told
	}
	return told
}
