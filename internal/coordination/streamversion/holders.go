package streamversion

import (
	"cmp"
	"slices"

	"github.com/ravenway/ravenway/internal/pairhash"
)

const (
	// The holders of a record are zoneHolders entry nodes of the zone of the node that sends it, since
	// its callers mostly return there and the zone may be partitioned, remoteHolders entry nodes of other
	// zones, and controlHolders control nodes, in different zones if possible.
	zoneHolders    = 2
	remoteHolders  = 1
	controlHolders = 2
	// A node that looks for a stream also asks the nodes that were or become holders when nodes join
	// or leave.
	zoneAsked    = 4
	remoteAsked  = 3
	controlAsked = 3
)

// Node is a node that may hold records.
type Node struct {
	Address, Zone string
}

// Members are the nodes that may hold records, as one node knows them. Entries are the other entry
// nodes, Controls the control nodes.
type Members struct {
	Self     Node
	Entries  []Node
	Controls []Node
}

// Holders returns the addresses of the nodes that hold a stream that began at this node, besides the
// node itself.
func (m Members) Holders(key Key) []string {
	inZone, remote := m.rankEntries(key)
	return unique(slices.Concat(addresses(inZone, zoneHolders), addresses(remote, remoteHolders), m.controlNodes(key, controlHolders)))
}

// Asked returns the addresses of the nodes that are asked for a stream.
func (m Members) Asked(key Key) []string {
	inZone, remote := m.rankEntries(key)
	return unique(slices.Concat(addresses(inZone, zoneAsked), addresses(remote, remoteAsked), m.controlNodes(key, controlAsked)))
}

// KnowsControlHolders reports whether as many control nodes are known as hold a record, of those that the settings
// name. A node that has just started knows one after the other.
func (m Members) KnowsControlHolders(configured int) bool {
	return len(m.Controls) >= min(controlHolders, configured)
}

// unique drops the repeated addresses: a node may have both roles.
func unique(addresses []string) []string {
	slices.Sort(addresses)
	return slices.Compact(addresses)
}

// rankEntries returns the other entry nodes of this node's zone and those of other zones, by rank.
func (m Members) rankEntries(key Key) (inZone, remote []Node) {
	for _, one := range rank(key, m.Entries) {
		switch {
		case one.Address == m.Self.Address:
		case one.Zone == m.Self.Zone:
			inZone = append(inZone, one)
		default:
			remote = append(remote, one)
		}
	}
	return inZone, remote
}

// controlNodes returns control nodes by rank, those in zones of their own first. The result does not
// depend on this node's zone, so that all zones ask the same ones.
func (m Members) controlNodes(key Key, count int) []string {
	ranked := rank(key, m.Controls)
	zones := map[string]bool{}
	var ordered, further []Node
	for _, one := range ranked {
		if zones[one.Zone] {
			further = append(further, one)
			continue
		}
		zones[one.Zone] = true
		ordered = append(ordered, one)
	}
	chosen := addresses(append(ordered, further...), count)
	return slices.DeleteFunc(chosen, func(address string) bool { return address == m.Self.Address })
}

// rank orders nodes by rendezvous hashing of a key.
func rank(key Key, nodes []Node) []Node {
	type weighted struct {
		Node
		weight uint64
	}
	text := string(key[:])
	ranked := make([]weighted, len(nodes))
	for position, one := range nodes {
		ranked[position] = weighted{Node: one, weight: pairhash.Of(text, one.Address)}
	}
	slices.SortFunc(ranked, func(a, b weighted) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.Address, b.Address))
	})
	result := make([]Node, len(ranked))
	for position, one := range ranked {
		result[position] = one.Node
	}
	return result
}

func addresses(nodes []Node, count int) []string {
	var result []string
	for _, one := range nodes[:min(count, len(nodes))] {
		result = append(result, one.Address)
	}
	return result
}
