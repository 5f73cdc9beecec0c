package balance

import "slices"

// Regions are the regions in which a request may be served.
type Regions struct {
	// Names holds the allowed regions in ascending order. IsRestricted reports whether only these
	// are allowed; otherwise the request may be served anywhere.
	Names        []string
	IsRestricted bool
}

// IntersectRegions returns the intersection of the lists of regions. An empty list restricts
// nothing.
func IntersectRegions(lists ...[]string) Regions {
	var restricted Regions
	for _, names := range lists {
		switch {
		case len(names) == 0:
		case !restricted.IsRestricted:
			sorted := slices.Sorted(slices.Values(names))
			restricted = Regions{Names: slices.Compact(sorted), IsRestricted: true}
		default:
			restricted.Names = slices.DeleteFunc(restricted.Names, func(name string) bool { return !slices.Contains(names, name) })
		}
	}
	return restricted
}

// Contains reports whether a request may be served in a region. An unknown region, "", is in no
// list.
func (r Regions) Contains(region string) bool {
	return !r.IsRestricted || region != "" && slices.Contains(r.Names, region)
}

// SetRegions sets the region of each zone.
func (t *Table) SetRegions(regionOfZone map[string]string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.regionOfZone = regionOfZone
}

// HasInRegions reports whether a service offers an instance in the given regions, regardless of its
// health or load. If it has none, a request that is restricted to them can't be served.
func (t *Table) HasInRegions(service string, regions Regions) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return slices.ContainsFunc(t.byService[service], func(one *member) bool { return regions.Contains(t.regionOfZone[one.Zone]) })
}
