package roster

import (
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
// lists entry nodes, it is what was told last, without this node. The caller must not
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
		sources = append(sources, listSource{address: control.Address, life: control.Life, version: control.ListVersion})
	}
	if len(sources) == 0 {
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
	nodes := make([]peer.NodeEntry, 0, len(entries))
	for _, node := range entries {
		nodes = append(nodes, node)
	}
	slices.SortFunc(nodes, compareEntries)
	_, r.live.NamesSelf = entries[r.self]
	if r.live.Generation == 0 || !slices.Equal(nodes, r.live.Nodes) {
		r.live.Nodes = nodes
		r.live.Generation++
	}
}
