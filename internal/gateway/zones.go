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

// ErrUnknownZone says that an order names a zone that is not there.
var ErrUnknownZone = errors.New("gateway: no such zone")

// zoneStore holds the evacuated zones in force at this node. A control node has
// them from the log, an entry node from the hellos of control nodes; an older
// revision never replaces a newer one.
type zoneStore struct {
	node  *Node
	mutex sync.Mutex
	held  evacuation.Zones
}

func newZoneStore(node *Node) *zoneStore { return &zoneStore{node: node} }

// inForce are the evacuated zones as this node keeps to them.
func (z *zoneStore) inForce() evacuation.Zones {
	z.mutex.Lock()
	defer z.mutex.Unlock()
	return z.held
}

// hear takes a control node's word of the zones.
func (z *zoneStore) hear(hello peer.Hello) {
	if z.node.replica == nil {
		z.put(hello.Address, hello.Evacuated)
	}
}

// put takes zones that a control node or this node's own log tells of. A control
// node says hello to all at once: so an order is in force everywhere one way later,
// and each further hello repeats it for whom that one did not reach.
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
		z.node.fleet.duty.Offer(z.node.fleet.hello)
	}
}

// EvacuatedZones are the evacuated zones in force at this node.
func (n *Node) EvacuatedZones() evacuation.Zones { return n.zones.inForce() }

// OrderZone implements Control.
func (n *Node) OrderZone(ctx context.Context, zone string, evacuated bool) (evacuation.Zones, error) {
	if !n.knowsZone(zone) {
		return evacuation.Zones{}, fmt.Errorf("%w: %q", ErrUnknownZone, zone)
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	command := machine.ZoneCommand{Zone: zone, Evacuated: evacuated}
	// It goes to the log also where it seems to change nothing: another operator's
	// order that this node has not heard of may come before it.
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

// knowsZone tells whether a zone is one of the fleet's: one that the settings name,
// or where they name none, one in which a node or an instance was heard.
func (n *Node) knowsZone(zone string) bool {
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
