package roster

import (
	"maps"
	"slices"
	"time"

	"github.com/ravenway/ravenway/internal/protocol/peer"
)

// LiveEntries are the entry nodes with which control nodes are in contact now. While
// Roster.Entries keeps a node for a while after it was last listed, a node leaves LiveEntries as
// soon as it is no longer listed.
type LiveEntries struct {
	// Nodes are the entry nodes, sorted by address.
	Nodes []peer.NodeEntry
	// IncludesSelf reports whether this node is among the live entry nodes.
	IncludesSelf bool
	// Generation differs whenever the nodes have changed; 0 before the first list.
	Generation uint64
}

// liveListing is the last result of LiveEntries along with the lists from which it was built.
type liveListing struct {
	LiveEntries
	sources []listSource
}

// listSource identifies a version of a control node's list.
type listSource struct {
	address, incarnation string
	version              uint64
}

// NeedsNodes reports whether control nodes are alive, but none of them has sent a numbered list of all
// nodes.
func (r *Roster) NeedsNodes(now time.Duration) bool {
	controls := r.Controls(now)
	return len(controls) > 0 && !slices.ContainsFunc(controls, func(control *Peer) bool { return control.ListVersion > 0 })
}

// LiveEntries returns the entry nodes in the lists of the control nodes that are alive. While no
// control node that lists entry nodes is alive, it returns the last known ones with IncludesSelf
// unset. As long as no control node has listed any, for example because all run builds that
// don't number their lists, it returns those of Entries. The caller must not modify the result.
func (r *Roster) LiveEntries(now time.Duration) LiveEntries {
	var sources []listSource
	var listing []*Peer
	for _, control := range r.Controls(now) {
		if control.ListVersion == 0 {
			// The hello has no numbered list of entry nodes.
			continue
		}
		listing = append(listing, control)
		sources = append(sources, listSource{address: control.Address, incarnation: control.Incarnation, version: control.ListVersion})
	}
	if len(sources) == 0 {
		if entries, _ := r.Entries(now); r.live.sources == nil && len(entries) > 0 {
			r.setLive(entries)
		}
		known := r.live.LiveEntries
		known.IncludesSelf = false
		return known
	}
	if !slices.Equal(sources, r.live.sources) {
		r.listLive(listing)
		r.live.sources = sources
	}
	return r.live.LiveEntries
}

func (r *Roster) listLive(listing []*Peer) {
	entries := map[string]peer.NodeEntry{}
	for _, control := range listing {
		for _, node := range control.Nodes {
			if node.Entry {
				entries[node.Address] = node
			}
		}
	}
	_, r.live.IncludesSelf = entries[r.self]
	r.setLive(slices.SortedFunc(maps.Values(entries), compareEntries))
}

// ReachableEntries returns the other entry nodes with which this control node is in contact itself.
// includesSelf sets whether the node counts itself as live.
func (r *Roster) ReachableEntries(now time.Duration, includesSelf bool) LiveEntries {
	var nodes []peer.NodeEntry
	for _, known := range r.alive(now, func(known *Peer) bool { return known.Entry && !known.Stopping }) {
		nodes = append(nodes, peer.NodeEntry{Address: known.Address, Zone: known.Zone, Entry: true, Control: known.Control})
	}
	r.setLive(nodes)
	r.live.IncludesSelf = includesSelf
	return r.live.LiveEntries
}

// setLive replaces the live entry nodes if they have changed. The nodes given are sorted by address.
func (r *Roster) setLive(nodes []peer.NodeEntry) {
	if r.live.Generation == 0 || !slices.Equal(nodes, r.live.Nodes) {
		r.live.Nodes = nodes
		r.live.Generation++
	}
}
