package evacuation

import (
	"cmp"
	"slices"
)

// LastOrder is the last order that was accepted for a zone.
type LastOrder struct {
	Zone string `msgpack:"z"`
	// Index is that of the order's log entry.
	Index uint64 `msgpack:"i"`
}

// LastOrders are the last orders of all zones, sorted by zone. An order that changes a zone names
// the last order that its sender knew, so that a late copy of an earlier order has no effect. A
// value is immutable.
type LastOrders []LastOrder

// Of returns the index of a zone's last order, 0 if there was none.
func (l LastOrders) Of(zone string) uint64 {
	position, found := l.position(zone)
	if !found {
		return 0
	}
	return l[position].Index
}

// With returns the last orders after an order for a zone in the log entry at an index.
func (l LastOrders) With(zone string, index uint64) LastOrders {
	accepted := LastOrder{Zone: zone, Index: index}
	position, found := l.position(zone)
	orders := slices.Clone(l)
	if found {
		orders[position] = accepted
		return orders
	}
	return slices.Insert(orders, position, accepted)
}

func (l LastOrders) position(zone string) (int, bool) {
	return slices.BinarySearchFunc(l, zone, func(known LastOrder, wanted string) int { return cmp.Compare(known.Zone, wanted) })
}
