package gateway

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/ravenway/ravenway/internal/coordination/follow"
	"github.com/ravenway/ravenway/internal/protocol/peer"
)

const (
	// nodesEvery is the number of hellos after which a list of nodes is repeated though
	// it did not change: the frame with it may have been lost.
	nodesEvery = 25
	// listTellers is the number of control nodes that tell an entry node of all others:
	// the list of 985 entry nodes has 25 KB, and from each of 25 control nodes it was 2.5 MB
	// for each entry node while a fleet starts. A second one is for the loss of the first.
	listTellers = 2
)

// toldNodes is what a node was told of the nodes, and what this control node is to it.
type toldNodes struct {
	digest uint64
	hellos int
	// controls is the digest of the control nodes by which it was decided whether this
	// node is one that tells the receiver of all entry nodes.
	controls uint64
	isTeller bool
	// isRelay tells that it is the first of them, who also passes changes on.
	isRelay   bool
	isDecided bool
}

// nodeList is a list of nodes in a hello.
type nodeList struct {
	hello  *peer.Message
	digest uint64
}

// nodeLists are the lists that a control node tells: all nodes that it hears from, or the
// control nodes among them.
type nodeLists struct{ all, controls nodeList }

// makeLists makes hellos with lists of the nodes that this control node hears from,
// itself included.
func (f *fleetDuty) makeLists(now time.Duration, said peer.Hello) nodeLists {
	own := peer.NodeEntry{Address: f.node.address, Zone: said.Zone, Control: true}
	all, controls := []peer.NodeEntry{own}, []peer.NodeEntry{own}
	allDigest, controlsDigest := xxhash.New(), xxhash.New()
	tellers := []follow.Node{{Address: own.Address, Zone: own.Zone}}
	for _, known := range f.roster.AliveNodes(now) {
		if known.Stopping {
			continue
		}
		entry := peer.NodeEntry{Address: known.Address, Zone: known.Zone, Entry: known.Entry, Control: known.Control}
		all = append(all, entry)
		_, _ = allDigest.WriteString(known.Address)
		if known.Dialect != peer.OwnDialect {
			// A node that is given another build is told of anew.
			_, _ = allDigest.Write([]byte{byte(known.Dialect)})
		}
		if known.Control {
			controls = append(controls, entry)
			_, _ = controlsDigest.WriteString(known.Address)
			tellers = append(tellers, follow.Node{Address: known.Address, Zone: known.Zone})
		}
	}
	f.tellers, f.controlsDigest = tellers, controlsDigest.Sum64()
	lists := nodeLists{all: nodeList{digest: allDigest.Sum64()}, controls: nodeList{digest: f.controlsDigest}}
	said.Nodes = controls
	lists.controls.hello = peer.NewMessage(peer.KindHello, said)
	said.Nodes, said.OlderNodes = all, f.node.dialects.older(all)
	lists.all.hello = peer.NewMessage(peer.KindHello, said)
	return lists
}

// tellsAll tells whether this control node is one of those that tell a node of all entry
// nodes. Control nodes hear entry nodes themselves.
func (f *fleetDuty) tellsAll(receiver string) bool { return f.decideOn(receiver).isTeller }

// decideOn decides what this control node is to a node.
func (f *fleetDuty) decideOn(receiver string) toldNodes {
	known := f.roster.Get(receiver)
	if known == nil || !known.Entry {
		return toldNodes{}
	}
	told := f.told[receiver]
	if !told.isDecided || told.controls != f.controlsDigest {
		chosen := follow.ChooseSenders(follow.Node{Address: known.Address, Zone: known.Zone}, f.tellers, listTellers)
		told.isTeller, told.isRelay = slices.Contains(chosen, f.node.address), len(chosen) > 0 && chosen[0] == f.node.address
		told.controls, told.isDecided = f.controlsDigest, true
		f.told[receiver] = told
	}
	return told
}

func (f *fleetDuty) nodesDue(receiver string, digest uint64) bool {
	told := f.told[receiver]
	due := told.hellos == 0 || told.digest != digest || told.hellos%nodesEvery == 0
	told.digest, told.hellos = digest, told.hellos+1
	f.told[receiver] = told
	return due
}
