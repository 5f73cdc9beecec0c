package gateway

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/ravenway/ravenway/internal/coordination/roster"
	"github.com/ravenway/ravenway/internal/protocol/peer"
	"github.com/ravenway/ravenway/internal/settings"
)

// aliveNodes are the entries of a roster for nodes of these names.
func aliveNodes(names []string) []*roster.Peer {
	var alive []*roster.Peer
	for _, name := range names {
		alive = append(alive, &roster.Peer{Hello: peer.Hello{Address: name, Zone: "a", Entry: true, ProtocolVersion: peer.OwnProtocol}})
	}
	return alive
}

// For any sequence of joining and leaving nodes and of lost hellos, a node that applies the changes
// either has the control node's list or waits for the full one.
func TestChangesOfListsLeadToTheSameList(t *testing.T) {
	own := peer.NodeEntry{Address: "10.9.0.1:7000", Zone: "a", Control: true}
	rapid.Check(t, func(t *rapid.T) {
		var list nodeList
		follower := roster.New("10.1.0.1:7000", nil)
		present := map[string]bool{}
		sentVersion := uint64(0)
		for step := range 60 {
			for range rapid.IntRange(0, 3).Draw(t, "changes") {
				name := fmt.Sprintf("10.1.0.%d:7000", 2+rapid.IntRange(0, 9).Draw(t, "node"))
				present[name] = !present[name]
			}
			var names []string
			for name, isPresent := range present {
				if isPresent {
					names = append(names, name)
				}
			}
			slices.Sort(names)
			list.update(own, aliveNodes(names))
			hello := peer.Hello{Address: own.Address, Zone: "a", Control: true, Incarnation: "1"}
			change, isKnown := list.changesSince(sentVersion)
			if !isKnown || rapid.IntRange(0, 9).Draw(t, "whole") == 0 {
				hello.Nodes, hello.ListVersion = list.nodes, list.version
			} else if list.version != sentVersion {
				hello.ListBase, hello.ListVersion, hello.Joined, hello.Left = sentVersion, list.version, change.joined, change.left
			}
			sentVersion = list.version
			if rapid.IntRange(0, 6).Draw(t, "lost") == 0 {
				continue
			}
			follower.HandleHello(time.Duration(step)*time.Second, hello)
			known := follower.Get(own.Address)
			if known.ListVersion != list.version {
				continue
			}
			got := slices.Clone(known.Nodes)
			slices.SortFunc(got, func(a, b peer.NodeEntry) int { return compareText(a.Address, b.Address) })
			want := slices.Clone(list.nodes)
			slices.SortFunc(want, func(a, b peer.NodeEntry) int { return compareText(a.Address, b.Address) })
			assert.DeepEqual(t, got, want)
		}
	})
}

func compareText(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// A node that joins or leaves a fleet must cost only a few bytes for each other node, regardless of
// their number: the full list of a thousand nodes has 25 KB.
func TestNodeThatJoinsCostsFewBytes(t *testing.T) {
	for _, entries := range []int{300, 1000, 2000} {
		node := newIdleNode(t, benchControl(0), benchZone(0), settings.RoleControl)
		recordHellos(node, registrationWave{nodes: entries, controls: 25}.hellos(1, false))
		startedAt := node.now()
		for _, hello := range entryHellos(node, entries) {
			node.protocols.record(hello)
			node.fleet.recordHello(hello)
		}
		setClock(node, startedAt)
		node.fleet.sendHelloToAll()
		before := node.sent.bytes[peer.KindHello].Get()
		setClock(node, startedAt)
		node.fleet.sendHelloToAll()
		idle := node.sent.bytes[peer.KindHello].Get() - before
		newNode := benchEntry(entries + 1)
		node.fleet.roster.HandleHello(node.now(), peer.Hello{Address: newNode, Zone: benchZone(1), Incarnation: "1", Entry: true, ProtocolVersion: peer.OwnProtocol})
		before = node.sent.bytes[peer.KindHello].Get()
		setClock(node, startedAt)
		node.fleet.sendHelloToAll()
		joined := node.sent.bytes[peer.KindHello].Get() - before
		// The changes for the nodes to which this control node sends the list, and the full list
		// that the new node may be sent.
		maximum := idle + uint64(2*entries/25+20)*80 + uint64(30*entries)
		assert.Assert(t, joined > idle && joined < maximum, "%d entry nodes: %d bytes idle, %d with one that joined, at most %d", entries, idle, joined, maximum)
		dropFrames(node, entries+2)
	}
}

// Guards against a restarted entry node that knew no other entry node for 30 s, because the frames with
// the node list were lost with the connections to its previous incarnation.
func TestListLostWithAConnectionIsRepeatedOnceTheNodeSaysThatItNeedsIt(t *testing.T) {
	node := newIdleNode(t, benchControl(0), benchZone(0), settings.RoleControl)
	receiver := peer.Hello{Address: benchEntry(1), Zone: benchZone(1), Incarnation: "1", Entry: true, ProtocolVersion: peer.OwnProtocol}
	other := receiver
	other.Address = benchEntry(2)
	node.fleet.recordHello(other)
	node.fleet.recordHello(receiver)
	next := func() *peer.Message {
		return node.fleet.newListHellos(node.now(), node.fleet.ownHello()).forReceiver(receiver.Address)
	}
	assert.Assert(t, next() == nil, "the list was sent with the first hello")

	follower := roster.New(receiver.Address, nil)
	follower.HandleHello(node.now(), node.fleet.ownHello())
	assert.Assert(t, follower.NeedsNodes(node.now()), "a control node is alive, its list was lost")
	receiver.NeedsNodes = true
	node.fleet.recordHello(receiver)
	list := next()
	assert.Assert(t, list != nil, "the list is repeated")
	frame, err := list.Frame(peer.OwnProtocol)
	assert.NilError(t, err)
	envelope, err := peer.Decode(frame)
	assert.NilError(t, err)
	hello, err := peer.DecodeBody[peer.Hello](envelope)
	assert.NilError(t, err)
	follower.HandleHello(node.now(), hello)
	entries, _ := follower.Entries(node.now())
	assert.Equal(t, len(entries), 1)
	assert.Equal(t, entries[0].Address, other.Address)
	assert.Assert(t, !follower.NeedsNodes(node.now()))
	assert.Assert(t, next() == nil, "once it has been repeated it is not sent again")
	dropFrames(node, 2)
}
