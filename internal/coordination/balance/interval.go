package balance

import "math"

const (
	// LargeFleetEntries is the number of other entry nodes from which load reports name so many
	// instances that they are sent less often.
	LargeFleetEntries = 16
	// MaximumReportTicks is the number of ticks between two load reports in a large fleet whose
	// links have no room for more.
	MaximumReportTicks = 4
	// reportLinkShare is the maximum share of a relay's link that load reports may fill. The link
	// is there for callers.
	reportLinkShare = 0.05
)

// ReportScale is what the size of load reports depends on.
type ReportScale struct {
	// Entries is the number of other entry nodes, ZoneEntries how many of them are in this node's
	// zone.
	Entries, ZoneEntries int
	// Instances is the number of instances.
	Instances int
	// LinkBytes is the capacity of the node's link in bytes per second; 0 if unknown.
	LinkBytes float64
}

// ReportTicks returns the number of ticks between two load reports, at a number of ticks per
// second: one in a small fleet, and in a large one as few as the link of the zone's relay has room
// for, which sends a report to each node of the zone. All nodes of a zone compute it, so that the
// relay's reports are as recent as those that they sum up.
func ReportTicks(scale ReportScale, ticksPerSecond float64) int {
	if scale.Entries < LargeFleetEntries {
		return 1
	}
	if scale.LinkBytes <= 0 {
		return MaximumReportTicks
	}
	roundBytes := float64(scale.ZoneEntries * scale.Instances * encodedLoadBytes)
	ticks := int(math.Ceil(roundBytes * ticksPerSecond / (reportLinkShare * scale.LinkBytes)))
	return min(max(ticks, 1), MaximumReportTicks)
}
