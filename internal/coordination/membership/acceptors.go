// Package membership assigns keys to nodes by rendezvous hashing, for example request claims to their
// acceptors. Every node computes the same assignment from the same list of nodes, and adding or
// removing a node moves only that node's share.
package membership

import (
	"cmp"
	"slices"

	"github.com/ravenway/ravenway/internal/pairhash"
)

// AcceptorsPerKey is the number of acceptors of each claim.
const AcceptorsPerKey = 3

// ScopeGlobal places one acceptor in each of three zones. Any other scope is the name of the zone whose
// nodes are the acceptors.
const ScopeGlobal = "*"

// Node is one member.
type Node struct {
	Name string
	Zone string
}

// AcceptorSet is the list of nodes that are acceptors of claims. It is immutable.
type AcceptorSet struct {
	nodes  []Node
	zones  []string
	byZone map[string][]string
	zoneOf map[string]string
}

// NewAcceptorSet returns the set of the given nodes.
func NewAcceptorSet(nodes []Node) *AcceptorSet {
	set := &AcceptorSet{nodes: slices.Clone(nodes), byZone: map[string][]string{}, zoneOf: map[string]string{}}
	slices.SortFunc(set.nodes, func(a, b Node) int { return cmp.Compare(a.Name, b.Name) })
	for _, node := range set.nodes {
		if len(set.byZone[node.Zone]) == 0 {
			set.zones = append(set.zones, node.Zone)
		}
		set.byZone[node.Zone] = append(set.byZone[node.Zone], node.Name)
		set.zoneOf[node.Name] = node.Zone
	}
	slices.Sort(set.zones)
	return set
}

// Nodes returns all members, sorted by name.
func (s *AcceptorSet) Nodes() []Node { return s.nodes }

// Zones returns all zones, sorted by name.
func (s *AcceptorSet) Zones() []string { return s.zones }

// ZoneOf returns a member's zone, or "".
func (s *AcceptorSet) ZoneOf(node string) string { return s.zoneOf[node] }

// InZone returns the names of a zone's members.
func (s *AcceptorSet) InZone(zone string) []string { return s.byZone[zone] }

// ZonesFor returns all zones in a key's order of preference. The first is the key's home zone, whose
// acceptors store the claim of a caller's key while that zone is reachable.
func (s *AcceptorSet) ZonesFor(key string) []string {
	return Rank(key, s.zones)
}

// For returns the acceptors of a key in a scope: three nodes if there are as many. A zone with
// fewer nodes uses nodes of the next zones too.
func (s *AcceptorSet) For(scope, key string) []string {
	if scope == ScopeGlobal {
		return s.globalAcceptors(key)
	}
	acceptors := firstNames(Rank(key, s.byZone[scope]), AcceptorsPerKey)
	// The next zone is the same for all keys of a zone, so a partitioned zone of two nodes shares
	// its keys with one other zone only.
	position := slices.Index(s.zones, scope)
	for step := 1; step < len(s.zones) && len(acceptors) < AcceptorsPerKey; step++ {
		neighbour := s.zones[(position+step)%len(s.zones)]
		acceptors = append(acceptors, firstNames(Rank(key, s.byZone[neighbour]), AcceptorsPerKey-len(acceptors))...)
	}
	return acceptors
}

func (s *AcceptorSet) globalAcceptors(key string) []string {
	var acceptors []string
	for _, zone := range s.ZonesFor(key) {
		if len(acceptors) == AcceptorsPerKey {
			return acceptors
		}
		acceptors = append(acceptors, Rank(key, s.byZone[zone])[0])
	}
	// With fewer than three zones, the remaining acceptors are other nodes.
	var names []string
	for _, node := range s.nodes {
		if !slices.Contains(acceptors, node.Name) {
			names = append(names, node.Name)
		}
	}
	return append(acceptors, firstNames(Rank(key, names), AcceptorsPerKey-len(acceptors))...)
}

// Rank orders names by their rendezvous hash with a key, highest first.
func Rank(key string, names []string) []string {
	type scored struct {
		name  string
		score uint64
	}
	scores := make([]scored, len(names))
	for position, name := range names {
		scores[position] = scored{name: name, score: pairhash.Of(name, key)}
	}
	slices.SortFunc(scores, func(a, b scored) int {
		if a.score != b.score {
			return cmp.Compare(b.score, a.score)
		}
		return cmp.Compare(a.name, b.name)
	})
	ranked := make([]string, len(scores))
	for position := range scores {
		ranked[position] = scores[position].name
	}
	return ranked
}

// Highest returns the first of Rank, or "" if there are no names.
func Highest(key string, names []string) string {
	var best string
	var bestScore uint64
	for position, name := range names {
		score := pairhash.Of(name, key)
		if position == 0 || score > bestScore || score == bestScore && name < best {
			best, bestScore = name, score
		}
	}
	return best
}

func firstNames(names []string, count int) []string {
	return slices.Clone(names[:min(count, len(names))])
}
