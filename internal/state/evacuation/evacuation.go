// Package evacuation holds the zones that operators have taken out of use: their
// instances receive no new requests until the zone is restored.
package evacuation

import "slices"

// Zones are the evacuated zones at one revision. A value is immutable; the one
// with the highest revision is active on all nodes.
type Zones struct {
	// Revision is the index of the log entry that changed the zones last, 0 before the first.
	Revision uint64 `msgpack:"r"`
	// Names are the names of the evacuated zones, sorted.
	Names []string `msgpack:"n"`
}

// Contains reports whether a zone is evacuated.
func (z Zones) Contains(zone string) bool {
	_, found := slices.BinarySearch(z.Names, zone)
	return found
}

// Supersedes reports whether these zones are newer than others.
func (z Zones) Supersedes(other Zones) bool { return z.Revision > other.Revision }

// Set evacuates or restores a zone as of the log entry at an index and returns the
// resulting zones. If the zone is in that state already, nothing changes.
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
