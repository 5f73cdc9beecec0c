// Package roster keeps what a node with open membership has heard of others.
//
// A node starts with nothing but seeds: addresses of a few control nodes. It
// says hello to them; control nodes say hello back and name the others. Seeds
// may be exchanged at any time; nodes that were heard of stay known until they
// have been silent for long, so exchanged or dead seeds cut nobody off.
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
	// forgetAfter is the silence after which a node is forgotten.
	forgetAfter = 60 * time.Second
	// listedFor is how long another node's word that a control node exists
	// keeps it among those to be greeted.
	listedFor = 15 * time.Second
	// renameAfter is how long a control node's list stands before a hello without
	// one is taken to repeat it: noting hundreds of nodes at each hello would be
	// most of its cost.
	renameAfter = listedFor / 3
)

// Heard is the last hello of a node.
type Heard struct {
	peer.Hello
	At time.Duration
	// Meter measures how long the node's hellos are on their way.
	delay.Meter
	// namedAt is when the nodes that it lists were last noted.
	namedAt time.Duration
}

// Roster is one node's view of the others. It is not safe for concurrent use.
type Roster struct {
	self  string
	seeds []string
	heard map[string]*Heard
	// order are the addresses of heard in order: sorting a thousand nodes at each of tens
	// of hellos a second was a third of what a control node did.
	order []string
	// listed are control nodes that another node named, with the time of it.
	listed map[string]time.Duration
	// entries are the entry nodes that control nodes named.
	entries map[string]listedEntry
	// listing is the last answer of Entries, live that of LiveEntries.
	listing entryListing
	live    liveListing
}

// entryListing is the list of entry nodes in order. It is made anew only when it
// has changed: each of hundreds of nodes is asked for it many times a second.
type entryListing struct {
	entries []peer.NodeEntry
	// generation counts the lists that differed; 0 before the first.
	generation uint64
	// outdated tells that a node was named that is not in it, or not so.
	outdated bool
	// until is when the word on the first of its nodes is too old, at the earliest.
	until time.Duration
}

type listedEntry struct {
	peer.NodeEntry
	at time.Duration
}

// New makes a roster of a node that knows seeds only.
func New(self string, seeds []string) *Roster {
	return &Roster{self: self, seeds: seeds, heard: map[string]*Heard{}, listed: map[string]time.Duration{}, entries: map[string]listedEntry{}}
}

// SetSeeds exchanges the seeds.
func (r *Roster) SetSeeds(seeds []string) { r.seeds = seeds }

// Seeds returns the seeds.
func (r *Roster) Seeds() []string { return r.seeds }

// Hello takes a node's hello. It returns whether the node was not known, or
// runs a new life.
func (r *Roster) Hello(now time.Duration, hello peer.Hello) (isNew bool) {
	if hello.Address == r.self || hello.Address == "" {
		return false
	}
	known := r.heard[hello.Address]
	isNew = known == nil || known.Incarnation != hello.Incarnation || now-known.At > AliveFor
	heard := &Heard{At: now}
	hasList := len(hello.Nodes) > 0 || known != nil && takeChanges(&hello, known)
	repeats := known != nil && !hasList
	if !hasList {
		// Changes of a list that is not known here are of no use.
		hello.ListVersion, hello.Joined, hello.Left = 0, nil, nil
	}
	if repeats {
		hello.Nodes, heard.namedAt = known.Nodes, known.namedAt
		if known.Incarnation == hello.Incarnation {
			hello.ListVersion = known.ListVersion
		}
	}
	heard.Hello = hello
	if known != nil && known.Incarnation == hello.Incarnation {
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

// takeChanges makes a hello's list of that before and its changes. It returns false if it
// has none, or if those before were lost: the whole list comes again.
func takeChanges(hello *peer.Hello, before *Heard) bool {
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

func (r *Roster) nameEntry(now time.Duration, node peer.NodeEntry) {
	known, found := r.entries[node.Address]
	if !found || known.NodeEntry != node || now-known.at > listedFor {
		r.listing.outdated = true
	}
	r.entries[node.Address] = listedEntry{NodeEntry: node, at: now}
}

// Get returns a node's last hello, or nil.
func (r *Roster) Get(address string) *Heard { return r.heard[address] }

// Alive tells whether a node was heard from lately.
func (r *Roster) Alive(now time.Duration, address string) bool {
	known := r.heard[address]
	return known != nil && now-known.At <= AliveFor
}

// Greet returns the control nodes that this node says hello to, in order.
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

// AliveNodes returns the nodes that were heard from lately, in order.
func (r *Roster) AliveNodes(now time.Duration) []*Heard {
	return r.alive(now, func(*Heard) bool { return true })
}

// alive returns those of the nodes heard from lately that are wanted, in order.
func (r *Roster) alive(now time.Duration, isWanted func(*Heard) bool) []*Heard {
	var alive []*Heard
	for _, address := range r.order {
		if known := r.heard[address]; now-known.At <= AliveFor && isWanted(known) {
			alive = append(alive, known)
		}
	}
	return alive
}

// Controls returns the control nodes that were heard from lately, in order.
func (r *Roster) Controls(now time.Duration) []*Heard {
	return r.alive(now, func(known *Heard) bool { return known.Control })
}

// Entries returns the other entry nodes that control nodes named of late, in
// order, and a number that is another one whenever they have changed. The caller
// must not change them.
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

// Leader returns the leader of the control group as the freshest hello with
// the highest term names it, or "". While no control node is heard it is the
// last one known: the first to be tried once a cut is over.
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

// Forget drops nodes that have been silent for long and returns them.
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
