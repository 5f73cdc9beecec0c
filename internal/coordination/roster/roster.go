// Package roster tracks the other nodes that a node with open membership knows.
//
// A node starts with seeds only: the addresses of a few control nodes. It sends hellos to them;
// control nodes reply with hellos that list the other nodes. Seeds may be replaced at any time.
// Known nodes stay known until no hello of them has arrived for long, so replaced or failed
// seeds isolate no node.
package roster

import (
	"cmp"
	"slices"
	"time"

	"github.com/ravenway/ravenway/internal/coordination/delay"
	"github.com/ravenway/ravenway/internal/protocol/peer"
)

const (
	// AliveFor is how long a node counts as alive after its last hello.
	AliveFor = 2500 * time.Millisecond
	// forgetTime is the time since the last contact after which a node is forgotten.
	forgetTime = 60 * time.Second
	// listedTime is how long a node stays listed after another node's hello has listed it: a
	// control node stays among those to which hellos are sent, an entry node in Entries.
	listedTime = 15 * time.Second
	// relistInterval is the minimum time between two recordings of a control node's unchanged list.
	// A hello without a list repeats the last one, but recording hundreds of nodes at each hello
	// would be most of its cost.
	relistInterval = listedTime / 3
)

// Peer is what is known of another node from its last hello.
type Peer struct {
	peer.Hello
	ReceivedAt time.Duration
	// Meter measures the transit delay of the node's hellos.
	delay.Meter
	// listRecordedAt is when the nodes that it lists were last recorded.
	listRecordedAt time.Duration
}

// Roster is one node's view of the other nodes. It is not safe for concurrent use.
type Roster struct {
	self  string
	seeds []string
	peers map[string]*Peer
	// addresses is the sorted list of the addresses in peers. Sorting a thousand nodes at each of
	// tens of hellos per second took a third of a control node's processor time.
	addresses []string
	// controlListedAt is when each control node was last listed by another node, by address.
	controlListedAt map[string]time.Duration
	// entries are the entry nodes that control nodes listed, by address.
	entries map[string]listedEntry
	// listing is the last result of Entries, live that of LiveEntries.
	listing entryListing
	live    liveListing
}

// entryListing is the sorted list of entry nodes. It is built again only when it has changed,
// since hundreds of nodes look it up many times a second.
type entryListing struct {
	entries []peer.NodeEntry
	// generation is the number of different lists so far; 0 before the first.
	generation uint64
	// isOutdated reports whether a node was listed that the list lacks or contains differently.
	isOutdated bool
	// expiresAt is the earliest time at which a node of the list may expire.
	expiresAt time.Duration
}

type listedEntry struct {
	peer.NodeEntry
	at time.Duration
}

// New returns the roster of a node that knows only its seeds.
func New(self string, seeds []string) *Roster {
	return &Roster{self: self, seeds: seeds, peers: map[string]*Peer{}, controlListedAt: map[string]time.Duration{}, entries: map[string]listedEntry{}}
}

// SetSeeds replaces the seeds.
func (r *Roster) SetSeeds(seeds []string) { r.seeds = seeds }

// Seeds returns the seeds.
func (r *Roster) Seeds() []string { return r.seeds }

// HandleHello records a node's hello. It reports whether the node was not known or not alive before, or
// runs in a new incarnation.
func (r *Roster) HandleHello(now time.Duration, hello peer.Hello) (isNew bool) {
	if hello.Address == r.self || hello.Address == "" {
		return false
	}
	known := r.peers[hello.Address]
	isNew = known == nil || known.Incarnation != hello.Incarnation || now-known.ReceivedAt > AliveFor
	current := &Peer{ReceivedAt: now}
	hasList := len(hello.Nodes) > 0 || known != nil && applyChanges(&hello, known)
	isRepeated := known != nil && !hasList
	if !hasList {
		// Changes to a list that is not known here can't be applied.
		hello.ListVersion, hello.Joined, hello.Left = 0, nil, nil
	}
	if isRepeated {
		hello.Nodes, current.listRecordedAt = known.Nodes, known.listRecordedAt
		if known.Incarnation == hello.Incarnation {
			hello.ListVersion = known.ListVersion
		}
	}
	current.Hello = hello
	if known != nil && known.Incarnation == hello.Incarnation {
		current.Meter = known.Meter
	}
	current.Record(now, time.Duration(hello.AgeMS)*time.Millisecond)
	r.peers[hello.Address] = current
	if known == nil {
		position, _ := slices.BinarySearch(r.addresses, hello.Address)
		r.addresses = slices.Insert(r.addresses, position, hello.Address)
	}
	if !hello.Control || isRepeated && now-current.listRecordedAt < relistInterval {
		return isNew
	}
	current.listRecordedAt = now
	for _, node := range hello.Nodes {
		if node.Control && node.Address != r.self {
			r.controlListedAt[node.Address] = now
		}
		if node.Entry && node.Address != r.self {
			r.recordEntry(now, node)
		}
	}
	return isNew
}

// applyChanges builds a hello's list from the list before and the changes in the hello. It returns
// false if the hello has no changes, or if earlier changes were lost: then the sender sends the
// whole list again.
func applyChanges(hello *peer.Hello, before *Peer) bool {
	if hello.ListBase == 0 || hello.ListBase != before.ListVersion || hello.Incarnation != before.Incarnation {
		return false
	}
	left := make(map[string]bool, len(hello.Left))
	for _, address := range hello.Left {
		left[address] = true
	}
	nodes := make([]peer.NodeEntry, 0, len(before.Nodes)+len(hello.Joined))
	for _, node := range before.Nodes {
		if !left[node.Address] {
			nodes = append(nodes, node)
		}
	}
	hello.Nodes = append(nodes, hello.Joined...)
	hello.Joined, hello.Left = nil, nil
	return true
}

func (r *Roster) recordEntry(now time.Duration, node peer.NodeEntry) {
	known, found := r.entries[node.Address]
	if !found || known.NodeEntry != node || now-known.at > listedTime {
		r.listing.isOutdated = true
	}
	r.entries[node.Address] = listedEntry{NodeEntry: node, at: now}
}

// Get returns what is known of a node, or nil.
func (r *Roster) Get(address string) *Peer { return r.peers[address] }

// Alive reports whether a node's last hello is at most AliveFor old.
func (r *Roster) Alive(now time.Duration, address string) bool {
	known := r.peers[address]
	return known != nil && now-known.ReceivedAt <= AliveFor
}

// HelloTargets returns the addresses of the control nodes to which this node sends hellos, sorted.
func (r *Roster) HelloTargets(now time.Duration) []string {
	targets := map[string]bool{}
	for _, seed := range r.seeds {
		targets[seed] = true
	}
	for address, at := range r.controlListedAt {
		if now-at <= listedTime {
			targets[address] = true
		}
	}
	for address, known := range r.peers {
		if known.Control && now-known.ReceivedAt <= listedTime {
			targets[address] = true
		}
	}
	delete(targets, r.self)
	addresses := make([]string, 0, len(targets))
	for address := range targets {
		addresses = append(addresses, address)
	}
	slices.Sort(addresses)
	return addresses
}

// AliveNodes returns the nodes that are alive, sorted by address.
func (r *Roster) AliveNodes(now time.Duration) []*Peer {
	return r.alive(now, func(*Peer) bool { return true })
}

// alive returns the nodes that are alive and for which isWanted is true, sorted by address.
func (r *Roster) alive(now time.Duration, isWanted func(*Peer) bool) []*Peer {
	var alive []*Peer
	for _, address := range r.addresses {
		if known := r.peers[address]; now-known.ReceivedAt <= AliveFor && isWanted(known) {
			alive = append(alive, known)
		}
	}
	return alive
}

// Controls returns the control nodes that are alive, sorted by address.
func (r *Roster) Controls(now time.Duration) []*Peer {
	return r.alive(now, func(known *Peer) bool { return known.Control })
}

// KnownControls returns the addresses of the control nodes that this node has had contact with, until it
// forgets them.
func (r *Roster) KnownControls() []string {
	var known []string
	for _, address := range r.addresses {
		if r.peers[address].Control {
			known = append(known, address)
		}
	}
	return known
}

// Entries returns the other entry nodes that control nodes listed within listedTime, sorted by
// address, and a generation that differs whenever they have changed. The caller must not modify them.
func (r *Roster) Entries(now time.Duration) (entries []peer.NodeEntry, generation uint64) {
	if r.listing.generation == 0 || r.listing.isOutdated || now > r.listing.expiresAt {
		r.listEntries(now)
	}
	return r.listing.entries, r.listing.generation
}

func (r *Roster) listEntries(now time.Duration) {
	listing := entryListing{generation: r.listing.generation, expiresAt: now + listedTime}
	for _, listed := range r.entries {
		if now-listed.at > listedTime {
			continue
		}
		listing.entries = append(listing.entries, listed.NodeEntry)
		listing.expiresAt = min(listing.expiresAt, listed.at+listedTime)
	}
	slices.SortFunc(listing.entries, compareEntries)
	if listing.generation == 0 || !slices.Equal(listing.entries, r.listing.entries) {
		listing.generation++
	}
	r.listing = listing
}

func compareEntries(one, other peer.NodeEntry) int { return cmp.Compare(one.Address, other.Address) }

// Leader returns the leader of the control group according to the latest hello with the highest
// term, or "". While no control node is alive it returns the last known leader: the first node
// to try once a partition has healed.
func (r *Roster) Leader(now time.Duration) string {
	candidates := r.Controls(now)
	if len(candidates) == 0 {
		for _, known := range r.peers {
			candidates = append(candidates, known)
		}
	}
	var best *Peer
	for _, known := range candidates {
		if known.Leader == "" {
			continue
		}
		if best == nil || known.Term > best.Term || known.Term == best.Term && known.ReceivedAt > best.ReceivedAt {
			best = known
		}
	}
	if best == nil {
		return ""
	}
	return best.Leader
}

// Forget drops the nodes without contact for forgetTime and returns their addresses, sorted.
func (r *Roster) Forget(now time.Duration) []string {
	var gone []string
	for address, known := range r.peers {
		if now-known.ReceivedAt > forgetTime {
			delete(r.peers, address)
			gone = append(gone, address)
		}
	}
	r.addresses = slices.DeleteFunc(r.addresses, func(address string) bool { return r.peers[address] == nil })
	for address, at := range r.controlListedAt {
		if now-at > forgetTime {
			delete(r.controlListedAt, address)
		}
	}
	for address, listed := range r.entries {
		if now-listed.at > forgetTime {
			delete(r.entries, address)
		}
	}
	slices.Sort(gone)
	return gone
}
