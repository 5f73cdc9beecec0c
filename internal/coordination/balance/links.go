package balance

import (
	"time"

	"github.com/ravenway/ravenway/internal/coordination/overload"
)

// linkExchange is the part of the load exchange that tells the nodes of a zone about each other's
// links and heavy callers. The zone's relay sums up the states of its nodes. The size of a report
// does not depend on the number of nodes.
type linkExchange struct {
	self overload.Key
	// own is this node's state, nil if it is not known.
	own *overload.NodeState
	// states are the last states of the zone's nodes; only the relay receives them.
	states map[string]receivedState
	// zone is the last summary of the relay.
	zone           overload.ZoneState
	zoneReceivedAt time.Duration
}

type receivedState struct {
	node       overload.Key
	state      overload.NodeState
	receivedAt time.Duration
}

func newLinkExchange(self EntryNode) linkExchange {
	return linkExchange{self: overload.KeyOf(self.Address), states: map[string]receivedState{}}
}

// SetOwnLink sets the state that this node tells the others of its zone from the next step on; nil
// if it is not known.
func (e *LoadExchange) SetOwnLink(state *overload.NodeState) { e.links.own = state }

// receiveLinks processes the state in a report. The error is overload.ErrState. A state from another
// zone, or a summary from a node that is not the zone's relay, is ignored: nodes learn of a new
// relay one after the other.
func (e *LoadExchange) receiveLinks(now time.Duration, from string, report *LoadReport) error {
	if len(report.Links) == 0 || report.Zone != e.self.Zone {
		return nil
	}
	links := &e.links
	switch report.Scope {
	case OwnLoads:
		state, err := overload.DecodeNodeState(report.Links)
		if err != nil {
			return err
		}
		links.states[from] = receivedState{node: overload.KeyOf(from), state: state, receivedAt: now}
	case AllOtherLoads:
		if from != e.relays[e.self.Zone] {
			return nil
		}
		zone, err := overload.DecodeZoneState(report.Links)
		if err != nil {
			return err
		}
		links.zone, links.zoneReceivedAt = zone, now
	}
	return nil
}

// encodeOwn returns this node's encoded state, nil if it is not known.
func (l *linkExchange) encodeOwn() []byte {
	if l.own == nil {
		return nil
	}
	return l.own.Encode()
}

// sumUp returns the summary of a zone of the given number of nodes at its relay. Nodes that tell
// nothing count as without room; if all are silent, nothing is known.
func (l *linkExchange) sumUp(nodes int) overload.ZoneState {
	var zone overload.ZoneState
	if l.own != nil {
		zone.Add(l.self, *l.own)
	}
	for _, received := range l.states {
		zone.Add(received.node, received.state)
	}
	if zone.Nodes > 0 {
		zone.Nodes = max(zone.Nodes, nodes)
	}
	return zone
}

// dropExpired drops the states that are older than a lifetime.
func (l *linkExchange) dropExpired(now, lifetime time.Duration) {
	for address, received := range l.states {
		if now-received.receivedAt > lifetime {
			delete(l.states, address)
		}
	}
	if now-l.zoneReceivedAt > lifetime {
		l.zone = overload.ZoneState{}
	}
}
