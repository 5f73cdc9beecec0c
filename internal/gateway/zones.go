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

// OrderZone implements Control.
func (n *Node) OrderZone(ctx context.Context, zone string, evacuated bool) (evacuation.Zones, error) {
	if !n.isKnownZone(zone) {
		return evacuation.Zones{}, fmt.Errorf("%w: %q", ErrUnknownZone, zone)
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	command := machine.ZoneCommand{Zone: zone, Evacuated: evacuated}
	// The order is committed even if it seems to change nothing: another operator's order that this
	// node does not know yet may precede it in the log.
	zones, err := atLeader(ctx, n, peer.MethodOrderZone, &command, func() (evacuation.Zones, error) {
		return n.orderZoneHere(ctx, command)
	})
	n.log.Info().Str("event", "zone_order").Str("zone", zone).Bool("evacuated", evacuated).
		Uint64("revision", zones.Revision).Strs("zones", zones.Names).AnErr("error", err).Send()
	if err != nil {
		return evacuation.Zones{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return zones, nil
}

// orderZoneHere commits an order for a zone if this node leads.
func (n *Node) orderZoneHere(ctx context.Context, command machine.ZoneCommand) (evacuation.Zones, error) {
	result, err := n.commitHere(ctx, machine.Command{Zone: &command})
	if err != nil {
		return evacuation.Zones{}, err
	}
	return *result.Zones, nil
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
