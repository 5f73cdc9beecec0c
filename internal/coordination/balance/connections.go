package balance

// ConnectionLimit bounds the requests in flight at an instance that accepts a limited number of connections
// from all nodes together.
//
// It answers the pattern that callers' new connections all go to one node for some seconds: divided equally,
// most of an instance's connections are then left unused by the other nodes while this one is refused.
type ConnectionLimit struct {
	// Total is the number of connections that the instance accepts; 0 means that there is no limit.
	Total int
	// Nodes is the number of nodes that send requests.
	Nodes int
}

// minimumConnections is the minimum number of connections that a node may have to an instance.
const minimumConnections = 2

// isReached reports whether this node may have no further request in flight at an instance. Beyond an equal
// part it may use half of what is left over: other nodes may begin to use the rest before their reports say
// so.
func (l ConnectionLimit) isReached(own int, others Load, areOthersKnown bool) bool {
	if l.Total <= 0 {
		return false
	}
	part := max(minimumConnections, l.Total/max(1, l.Nodes))
	if own < part || !areOthersKnown {
		return own >= part
	}
	return own >= part+max(0, l.Total-part-others.Requests)/2
}
