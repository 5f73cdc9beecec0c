// Package evacuation holds which zones an operator has taken out of use: their
// instances get no new requests until the zone is restored.
package evacuation

import "slices"

// Zones are the evacuated zones at one revision. A value never changes; the one
// with the highest revision holds everywhere.
type Zones struct {
	// Revision is the log entry that changed them last, 0 before the first.
	Revision uint64 `msgpack:"r"`
	// Names are the zones in order.
	Names []string `msgpack:"n"`
}

// Contains tells whether a zone is evacuated.
func (z Zones) Contains(zone string) bool {
	_, found := slices.BinarySearch(z.Names, zone)
	return found
}

// Supersedes tells whether these zones are newer than others.
func (z Zones) Supersedes(other Zones) bool { return z.Revision > other.Revision }

// Set returns the zones after the log entry of an index has evacuated or restored
// one of them. An order for what is so already changes nothing.
func (z Zones) Set(index uint64, zone string, evacuated bool) Zones {
	position, found := slices.BinarySearch(z.Names, zone)
	if found == evacuated {
		return z
	}
	names := slices.Clone(z.Names)
	if evacuated {
		names = slices.Insert(names, position, zone)
	} else {
		names = slices.Delete(names, position, position+1)
	}
	return Zones{Revision: index, Names: names}
}
