package streamversion

import (
	"cmp"
	"slices"

	"github.com/ravenway/ravenway/internal/pairhash"
)

const (
	// The holders of a record are zoneHolders entry nodes of the zone of the node that sends it, since
	// its callers mostly return there and the zone may be partitioned, and controlHolders control
	// nodes, which all zones ask. They are in different zones if possible.
	zoneHolders    = 2
	controlHolders = 2
	// A node that looks for a stream also asks the nodes that were or become holders when nodes join
	// or leave.
	zoneAsked    = 4
	controlAsked = 3
)

// Node is a node that may hold records.
type Node struct {
	Address, Zone string
}

// Members are the nodes that may hold records, as one node knows them. Entries are the other entry
// nodes, of which only those of its own zone matter, and Controls the control nodes.
type Members struct {
	Self     Node
	Entries  []Node
	Controls []Node
}

// Holders returns the addresses of the nodes that hold a stream that began at this node, besides the
// node itself.
func (m Members) Holders(key Key) []string {
	return append(m.zoneNodes(key, zoneHolders), m.controlNodes(key, controlHolders)...)
}

// Asked returns the addresses of the nodes that are asked for a stream.
func (m Members) Asked(key Key) []string {
	return append(m.zoneNodes(key, zoneAsked), m.controlNodes(key, controlAsked)...)
}

func (m Members) zoneNodes(key Key, count int) []string {
	inZone := make([]Node, 0, len(m.Entries))
	for _, one := range m.Entries {
		if one.Zone == m.Self.Zone && one.Address != m.Self.Address {
			inZone = append(inZone, one)
		}
	}
	return addresses(rank(key, inZone), count)
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
