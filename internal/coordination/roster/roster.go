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
	// forgetAfter is the time since the last contact after which a node is forgotten.
	forgetAfter = 60 * time.Second
	// listedFor is how long a node stays listed after another node's hello has listed it: a
	// control node stays among those to which hellos are sent, an entry node in Entries.
	listedFor = 15 * time.Second
	// renameAfter is the minimum time between two recordings of a control node's unchanged list.
	// A hello without a list repeats the last one, but recording hundreds of nodes at each hello
	// would be most of its cost.
	renameAfter = listedFor / 3
)

// Heard is what is known of another node from its last hello.
type Heard struct {
	peer.Hello
	At time.Duration
	// Meter measures the transit delay of the node's hellos.
	delay.Meter
	// namedAt is when the nodes that it lists were last recorded.
	namedAt time.Duration
}

// Roster is one node's view of the other nodes. It is not safe for concurrent use.
type Roster struct {
	self  string
	seeds []string
	heard map[string]*Heard
	// order is the sorted list of the addresses in heard. Sorting a thousand nodes at each of
	// tens of hellos per second took a third of a control node's processor time.
	order []string
	// listed is when each control node was last listed by another node, by address.
	listed map[string]time.Duration
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
	// outdated reports whether a node was listed that the list lacks or contains differently.
	outdated bool
	// until is the earliest time at which a node of the list may expire.
	until time.Duration
}

type listedEntry struct {
	peer.NodeEntry
	at time.Duration
}

// New returns the roster of a node that knows only its seeds.
func New(self string, seeds []string) *Roster {
	return &Roster{self: self, seeds: seeds, heard: map[string]*Heard{}, listed: map[string]time.Duration{}, entries: map[string]listedEntry{}}
}

// SetSeeds replaces the seeds.
func (r *Roster) SetSeeds(seeds []string) { r.seeds = seeds }

// Seeds returns the seeds.
func (r *Roster) Seeds() []string { return r.seeds }

// Hello records a node's hello. It reports whether the node was not known or not alive before, or
// runs in a new incarnation.
func (r *Roster) Hello(now time.Duration, hello peer.Hello) (isNew bool) {
	if hello.Address == r.self || hello.Address == "" {
		return false
	}
	known := r.heard[hello.Address]
	isNew = known == nil || known.Life != hello.Life || now-known.At > AliveFor
	heard := &Heard{At: now}
	hasList := len(hello.Nodes) > 0 || known != nil && takeChanges(&hello, known)
	repeats := known != nil && !hasList
	if !hasList {
		// Changes to a list that is not known here can't be applied.
		hello.ListVersion, hello.Joined, hello.Left = 0, nil, nil
	}
	if repeats {
		hello.Nodes, heard.namedAt = known.Nodes, known.namedAt
		if known.Life == hello.Life {
			hello.ListVersion = known.ListVersion
		}
	}
	heard.Hello = hello
	if known != nil && known.Life == hello.Life {
		heard.Meter = known.Meter
	}
	heard.Note(now, time.Duration(hello.AgeMS)*time.Millisecond)
	r.heard[hello.Address] = heard
	if known == nil {
		place, _ := slices.BinarySearch(r.order, hello.Address)
		r.order = slices.Insert(r.order, place, hello.Address)
	}
	if !hello.Control || repeats && now-heard.namedAt < renameAfter {
		return isNew
	}
	heard.namedAt = now
	for _, node := range hello.Nodes {
		if node.Control && node.Address != r.self {
			r.listed[node.Address] = now
		}
		if node.Entry && node.Address != r.self {
			r.nameEntry(now, node)
		}
	}
	return isNew
}

// takeChanges builds a hello's list from the list before and the changes in the hello. It returns
// false if the hello has no changes, or if earlier changes were lost: then the sender sends the
// whole list again.
func takeChanges(hello *peer.Hello, before *Heard) bool {
	if hello.ListBase == 0 || hello.ListBase != before.ListVersion || hello.Life != before.Life {
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

func (r *Roster) nameEntry(now time.Duration, node peer.NodeEntry) {
	known, found := r.entries[node.Address]
	if !found || known.NodeEntry != node || now-known.at > listedFor {
		r.listing.outdated = true
	}
	r.entries[node.Address] = listedEntry{NodeEntry: node, at: now}
}

// Get returns what is known of a node, or nil.
func (r *Roster) Get(address string) *Heard { return r.heard[address] }

// Alive reports whether a node's last hello is at most AliveFor old.
func (r *Roster) Alive(now time.Duration, address string) bool {
	known := r.heard[address]
	return known != nil && now-known.At <= AliveFor
}

// Greet returns the addresses of the control nodes to which this node sends hellos, in order.
func (r *Roster) Greet(now time.Duration) []string {
	set := map[string]bool{}
	for _, seed := range r.seeds {
		set[seed] = true
	}
	for address, at := range r.listed {
		if now-at <= listedFor {
			set[address] = true
		}
	}
	for address, known := range r.heard {
		if known.Control && now-known.At <= listedFor {
			set[address] = true
		}
	}
	delete(set, r.self)
	addresses := make([]string, 0, len(set))
	for address := range set {
		addresses = append(addresses, address)
	}
	slices.Sort(addresses)
	return addresses
}

// AliveNodes returns the nodes that are alive, in order.
func (r *Roster) AliveNodes(now time.Duration) []*Heard {
	return r.alive(now, func(*Heard) bool { return true })
}

// alive returns the wanted ones of the nodes that are alive, in order.
func (r *Roster) alive(now time.Duration, isWanted func(*Heard) bool) []*Heard {
	var alive []*Heard
	for _, address := range r.order {
		if known := r.heard[address]; now-known.At <= AliveFor && isWanted(known) {
			alive = append(alive, known)
		}
	}
	return alive
}

// Controls returns the control nodes that are alive, in order.
func (r *Roster) Controls(now time.Duration) []*Heard {
	return r.alive(now, func(known *Heard) bool { return known.Control })
}

// Entries returns the other entry nodes that control nodes listed within listedFor, in order,
// and a generation that differs whenever they have changed. The caller must not modify them.
func (r *Roster) Entries(now time.Duration) (entries []peer.NodeEntry, generation uint64) {
	if r.listing.generation == 0 || r.listing.outdated || now > r.listing.until {
		r.listEntries(now)
	}
	return r.listing.entries, r.listing.generation
}

func (r *Roster) listEntries(now time.Duration) {
	listing := entryListing{generation: r.listing.generation, until: now + listedFor}
	for _, listed := range r.entries {
		if now-listed.at > listedFor {
			continue
		}
		listing.entries = append(listing.entries, listed.NodeEntry)
		listing.until = min(listing.until, listed.at+listedFor)
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
		for _, known := range r.heard {
			candidates = append(candidates, known)
		}
	}
	var best *Heard
	for _, known := range candidates {
		if known.Leader == "" {
			continue
		}
		if best == nil || known.Term > best.Term || known.Term == best.Term && known.At > best.At {
			best = known
		}
	}
	if best == nil {
		return ""
	}
	return best.Leader
}

// Forget drops the nodes without contact for forgetAfter and returns their addresses in order.
func (r *Roster) Forget(now time.Duration) []string {
	var gone []string
	for address, known := range r.heard {
		if now-known.At > forgetAfter {
			delete(r.heard, address)
			gone = append(gone, address)
		}
	}
	r.order = slices.DeleteFunc(r.order, func(address string) bool { return r.heard[address] == nil })
	for address, at := range r.listed {
		if now-at > forgetAfter {
			delete(r.listed, address)
		}
	}
	for address, listed := range r.entries {
		if now-listed.at > forgetAfter {
			delete(r.entries, address)
		}
	}
	slices.Sort(gone)
	return gone
}
