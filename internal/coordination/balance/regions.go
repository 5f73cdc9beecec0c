package balance

import "slices"

// Regions are the regions in which a request may be served.
type Regions struct {
	// Names are the regions, in order. IsBound tells that there are no others; without
	// it the request may be served anywhere.
	Names   []string
	IsBound bool
}

// BoundTo returns the regions that all of some lists of regions name. A list without
// names binds nothing.
func BoundTo(lists ...[]string) Regions {
	var bound Regions
	for _, names := range lists {
		switch {
		case len(names) == 0:
		case !bound.IsBound:
			sorted := slices.Sorted(slices.Values(names))
			bound = Regions{Names: slices.Compact(sorted), IsBound: true}
		default:
			bound.Names = slices.DeleteFunc(bound.Names, func(name string) bool { return !slices.Contains(names, name) })
		}
	}
	return bound
}

// Contains tells whether a request may be served in a region. One that is not known, "",
// is in no list.
func (r Regions) Contains(region string) bool {
	return !r.IsBound || region != "" && slices.Contains(r.Names, region)
}

// SetRegions tells in which region each zone stands.
func (t *Table) SetRegions(regionOfZone map[string]string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.regionOfZone = regionOfZone
}

// HasInRegions tells whether a service has an instance in some regions, whatever its
// state: where there is none, a request that is bound to them can't be served.
func (t *Table) HasInRegions(service string, regions Regions) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return slices.ContainsFunc(t.byService[service], func(one *member) bool { return regions.Contains(t.regionOfZone[one.Zone]) })
}
