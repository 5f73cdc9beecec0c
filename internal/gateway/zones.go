package gateway

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"

	"github.com/ravenway/ravenway/internal/protocol/peer"
	"github.com/ravenway/ravenway/internal/state/evacuation"
	"github.com/ravenway/ravenway/internal/state/machine"
)

// ErrUnknownZone means that an order names a zone that does not exist.
var ErrUnknownZone = errors.New("gateway: no such zone")

// zoneStore holds the evacuated zones in effect at this node; their instances receive no new
// requests. A control node reads the zones from the log, an entry node receives them in the hellos
// of control nodes; an older revision never replaces a newer one.
type zoneStore struct {
	node  *Node
	mutex sync.Mutex
	held  evacuation.Zones
}

func newZoneStore(node *Node) *zoneStore { return &zoneStore{node: node} }

// current are the evacuated zones in effect at this node.
func (z *zoneStore) current() evacuation.Zones {
	z.mutex.Lock()
	defer z.mutex.Unlock()
	return z.held
}

// handleHello accepts the evacuated zones in a control node's hello.
func (z *zoneStore) handleHello(hello peer.Hello) {
	if z.node.replica == nil {
		z.put(hello.Address, hello.Evacuated)
	}
}

// put applies evacuated zones from a control node or from this node's own log if they are newer. A
// control node then sends hellos to all nodes immediately, so that an order takes effect everywhere
// after one transit time; each later hello repeats it for nodes that the first did not reach.
func (z *zoneStore) put(from string, zones evacuation.Zones) {
	z.mutex.Lock()
	isNewer := zones.Supersedes(z.held)
	if isNewer {
		z.held = zones
		z.node.table.SetEvacuated(z.node.now(), zones)
	}
	z.mutex.Unlock()
	if !isNewer {
		return
	}
	z.node.log.Info().Str("event", "zones_evacuated").Uint64("revision", zones.Revision).Strs("zones", zones.Names).Str("from", from).Send()
	if z.node.replica != nil {
		z.node.fleet.duty.Offer(z.node.fleet.sendHelloToAll)
	}
}

// EvacuatedZones are the evacuated zones in effect at this node.
func (n *Node) EvacuatedZones() evacuation.Zones { return n.zones.current() }

// ZoneOrder is an operator's order to evacuate a zone or to restore it.
type ZoneOrder struct {
	Zone      string
	Evacuated bool
	// LastOrder is the zone's last order as a ConditionError named it, nil if the sender knows none.
	LastOrder *uint64
}

// orderZoneRequest requests that the leader commit an order for a zone.
type orderZoneRequest struct {
	Zone      string  `msgpack:"z"`
	Evacuated bool    `msgpack:"e"`
	LastOrder *uint64 `msgpack:"l,omitempty"`
	// ReadsOutcome indicates that the sender reads IsRejected of the response.
	ReadsOutcome bool `msgpack:"o,omitempty"`
}

// orderZoneResponse is the leader's response to an order for a zone.
type orderZoneResponse struct {
	// Revision and Names are those of the evacuated zones after the order.
	Revision uint64   `msgpack:"r"`
	Names    []string `msgpack:"n"`
	// IsRejected indicates that the order had no effect because it did not name LastOrder.
	IsRejected bool   `msgpack:"x,omitempty"`
	LastOrder  uint64 `msgpack:"l,omitempty"`
}

// OrderZone implements Control.
func (n *Node) OrderZone(ctx context.Context, order ZoneOrder) (evacuation.Zones, error) {
	if !n.isKnownZone(order.Zone) {
		return evacuation.Zones{}, fmt.Errorf("%w: %q", ErrUnknownZone, order.Zone)
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	request := orderZoneRequest{Zone: order.Zone, Evacuated: order.Evacuated, LastOrder: order.LastOrder, ReadsOutcome: true}
	// The order is committed even if it seems to change nothing: another operator's order that this
	// node does not know yet may precede it in the log.
	response, err := atLeader(ctx, n, peer.MethodOrderZone, &request, func() (orderZoneResponse, error) {
		return n.orderZoneHere(ctx, request)
	})
	n.log.Info().Str("event", "zone_order").Str("zone", order.Zone).Bool("evacuated", order.Evacuated).Str("condition", printCondition(order.LastOrder)).
		Bool("rejected", response.IsRejected).Uint64("last_order", response.LastOrder).
		Uint64("revision", response.Revision).Strs("zones", response.Names).AnErr("error", err).Send()
	switch {
	case err != nil:
		return evacuation.Zones{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
	case response.IsRejected:
		return evacuation.Zones{}, &ConditionError{LastOrder: response.LastOrder}
	}
	return evacuation.Zones{Revision: response.Revision, Names: response.Names}, nil
}

// orderZoneHere commits an order for a zone if this node leads.
func (n *Node) orderZoneHere(ctx context.Context, request orderZoneRequest) (orderZoneResponse, error) {
	command := machine.ZoneCommand{Zone: request.Zone, Evacuated: request.Evacuated, LastOrder: request.LastOrder}
	result, err := n.commitHere(ctx, machine.Command{Zone: &command})
	if err != nil {
		return orderZoneResponse{}, err
	}
	outcome := result.Zone
	if outcome.IsRejected {
		ordersRejected.Inc()
		if !request.ReadsOutcome {
			return orderZoneResponse{}, errOlderSender
		}
	}
	return orderZoneResponse{Revision: outcome.Zones.Revision, Names: outcome.Zones.Names, IsRejected: outcome.IsRejected, LastOrder: outcome.LastOrder}, nil
}

// isKnownZone reports whether a zone belongs to the fleet: one that the settings name, or where
// they name none, one in which a node or an instance is known.
func (n *Node) isKnownZone(zone string) bool {
	current := n.settings.Load()
	if len(current.Fleet.Zones) > 0 {
		return slices.Contains(current.Fleet.Zones, zone)
	}
	if zone == current.Node.Zone || n.table.HasZone(zone) {
		return true
	}
	for _, known := range n.fleet.view.Load().alive {
		if known.Zone == zone {
			return true
		}
	}
	return false
}
