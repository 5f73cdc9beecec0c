package roster

import (
	"maps"
	"slices"
	"time"

	"github.com/ravenway/ravenway/internal/protocol/peer"
)

// LiveEntries are the entry nodes that control nodes hear now. Entries keeps a node for a
// while after the last word of it; here it is gone with that word.
type LiveEntries struct {
	// Nodes are those entry nodes, in order.
	Nodes []peer.NodeEntry
	// NamesSelf tells that this node is among them.
	NamesSelf bool
	// Generation is another one whenever the nodes have changed; 0 before the first word.
	Generation uint64
}

// liveListing is what LiveEntries was made of.
type liveListing struct {
	LiveEntries
	sources []listSource
}

// listSource is a list of a control node.
type listSource struct {
	address, life string
	version       uint64
}

// LiveEntries returns what the control nodes that are heard tell. While none is heard that
// lists entry nodes, it is what was told last, without this node; before any did, as while
// all control nodes have builds that don't, it is what Entries knows. The caller must not
// change it.
func (r *Roster) LiveEntries(now time.Duration) LiveEntries {
	var sources []listSource
	var listing []*Heard
	for _, control := range r.Controls(now) {
		if control.ListVersion == 0 {
			// It tells of control nodes only.
			continue
		}
		listing = append(listing, control)
		sources = append(sources, listSource{address: control.Address, life: control.Incarnation, version: control.ListVersion})
	}
	if len(sources) == 0 {
		if entries, _ := r.Entries(now); r.live.sources == nil && len(entries) > 0 {
			r.setLive(entries)
		}
		known := r.live.LiveEntries
		known.NamesSelf = false
		return known
	}
	if !slices.Equal(sources, r.live.sources) {
		r.listLive(listing)
		r.live.sources = sources
	}
	return r.live.LiveEntries
}

func (r *Roster) listLive(listing []*Heard) {
	entries := map[string]peer.NodeEntry{}
	for _, control := range listing {
		for _, node := range control.Nodes {
			if node.Entry {
				entries[node.Address] = node
			}
		}
	}
	_, r.live.NamesSelf = entries[r.self]
	r.setLive(slices.SortedFunc(maps.Values(entries), compareEntries))
}

// HeardEntries returns the other entry nodes that this node hears itself, for a control
// node, which may count itself in.
func (r *Roster) HeardEntries(now time.Duration, namesSelf bool) LiveEntries {
	var nodes []peer.NodeEntry
	for _, known := range r.alive(now, func(known *Heard) bool { return known.Entry && !known.Stopping }) {
		nodes = append(nodes, peer.NodeEntry{Address: known.Address, Zone: known.Zone, Entry: true, Control: known.Control})
	}
	r.setLive(nodes)
	r.live.NamesSelf = namesSelf
	return r.live.LiveEntries
}

// setLive takes the live entry nodes, in order.
func (r *Roster) setLive(nodes []peer.NodeEntry) {
	if r.live.Generation == 0 || !slices.Equal(nodes, r.live.Nodes) {
		r.live.Nodes = nodes
		r.live.Generation++
	}
}
