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

// aliveNodes are nodes as a roster has heard of them.
func aliveNodes(names []string) []*roster.Heard {
	var alive []*roster.Heard
	for _, name := range names {
		alive = append(alive, &roster.Heard{Hello: peer.Hello{Address: name, Zone: "a", Entry: true, ProtocolVersion: peer.OwnProtocol}})
	}
	return alive
}

// However nodes come and go and whichever hellos are lost, a node that takes the changes has
// the control node's list, or waits for the whole one.
func TestChangesOfListsLeadToTheSameList(t *testing.T) {
	own := peer.NodeEntry{Address: "10.9.0.1:7000", Zone: "a", Control: true}
	rapid.Check(t, func(t *rapid.T) {
		var list nodeList
		follower := roster.New("10.1.0.1:7000", nil)
		present := map[string]bool{}
		told := uint64(0)
		for step := range 60 {
			for range rapid.IntRange(0, 3).Draw(t, "changes") {
				name := fmt.Sprintf("10.1.0.%d:7000", 2+rapid.IntRange(0, 9).Draw(t, "node"))
				present[name] = !present[name]
			}
			var names []string
			for name, isThere := range present {
				if isThere {
					names = append(names, name)
				}
			}
			slices.Sort(names)
			list.update(own, aliveNodes(names))
			hello := peer.Hello{Address: own.Address, Zone: "a", Control: true, Incarnation: "1"}
			change, isKnown := list.since(told)
			if !isKnown || rapid.IntRange(0, 9).Draw(t, "whole") == 0 {
				hello.Nodes, hello.ListVersion = list.nodes, list.version
			} else if list.version != told {
				hello.ListBase, hello.ListVersion, hello.Joined, hello.Left = told, list.version, change.joined, change.left
			}
			told = list.version
			if rapid.IntRange(0, 6).Draw(t, "lost") == 0 {
				continue
			}
			follower.Hello(time.Duration(step)*time.Second, hello)
			held := follower.Get(own.Address)
			if held.ListVersion != list.version {
				continue
			}
			got := slices.Clone(held.Nodes)
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

// A node that joins or leaves a fleet costs a few bytes to each other node, whatever their
// number: the whole list of a thousand has 25 KB.
func TestNodeThatJoinsCostsFewBytes(t *testing.T) {
	for _, entries := range []int{300, 1000, 2000} {
		node := newIdleNode(t, benchControl(0), benchZone(0), settings.RoleControl)
		hear(node, registering{nodes: entries, controls: 25}.hellos(1, false))
		began := node.now()
		for _, hello := range entryHellos(node, entries) {
			node.dialects.note(hello)
			node.fleet.noteHello(hello)
		}
		setClock(node, began)
		node.fleet.hello()
		before := node.sent.bytes[peer.KindHello].Get()
		setClock(node, began)
		node.fleet.hello()
		idle := node.sent.bytes[peer.KindHello].Get() - before
		newcomer := benchEntry(entries + 1)
		node.fleet.roster.Hello(node.now(), peer.Hello{Address: newcomer, Zone: benchZone(1), Incarnation: "1", Entry: true, ProtocolVersion: peer.OwnProtocol})
		before = node.sent.bytes[peer.KindHello].Get()
		setClock(node, began)
		node.fleet.hello()
		joined := node.sent.bytes[peer.KindHello].Get() - before
		// Those that this control node tells, and the newcomer, which may get the whole list.
		most := idle + uint64(2*entries/25+20)*80 + uint64(30*entries)
		assert.Assert(t, joined > idle && joined < most, "%d entry nodes: %d bytes idle, %d with one that joined, at most %d", entries, idle, joined, most)
		forgetFrames(node, entries+2)
	}
}
