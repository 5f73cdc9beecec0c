// Package versions reports from nodes' logs when each version of the configuration took effect at which
// node: how far each node was behind the first one, and which nodes were last.
package versions

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/ravenway/ravenway/internal/logs"
)

// slowestNodesNamed is the number of slowest nodes that are named for each version.
const slowestNodesNamed = 3

// arrival is the moment when one version took effect at one node.
type arrival struct {
	node string
	// delay is the time since the version took effect at the first node.
	delay time.Duration
	// requests is the number of requests for the version that the node sent, as it logged it.
	requests string
}

// version is one version's number, the time when it first took effect at a node, and its arrivals sorted
// by time.
type version struct {
	number   int64
	firstAt  time.Time
	arrivals []arrival
}

// Report lists the versions found in logs.
type Report struct {
	start    time.Time
	versions []version
}

// Read collects the versions from nodes' logs. A version that a node got again after a restart counts
// once. A node that got it later than the limit after the first node does not count, since it was down or
// partitioned.
func Read(lines []logs.Line, limit time.Duration) (*Report, error) {
	sorted, err := logs.SortedByTime(lines)
	if err != nil {
		return nil, err
	}
	found := map[int64]*version{}
	for _, line := range sorted {
		if number, valid := line.Number("version"); valid && line.Fields["event"] == "document_in_force" {
			addArrival(found, number, line, limit)
		}
	}
	report := &Report{start: sorted[0].At}
	for _, number := range slices.Sorted(maps.Keys(found)) {
		report.versions = append(report.versions, *found[number])
	}
	return report, nil
}

func addArrival(found map[int64]*version, number int64, line logs.Line, limit time.Duration) {
	one := found[number]
	if one == nil {
		one = &version{number: number, firstAt: line.At}
		found[number] = one
	}
	delay, node := line.At.Sub(one.firstAt), line.Fields["node"]
	isKnown := slices.ContainsFunc(one.arrivals, func(known arrival) bool { return known.node == node })
	if delay <= limit && !isKnown {
		one.arrivals = append(one.arrivals, arrival{node: node, delay: delay, requests: line.Fields["asks"]})
	}
}

// Print writes a line for each version.
func (r *Report) Print(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "version\tfirst in effect\tnodes\tmedian delay\t90th percentile\tlast\tlast nodes (requests sent)")
	for _, one := range r.versions {
		last := one.arrivals[max(0, len(one.arrivals)-slowestNodesNamed):]
		var names []string
		for _, slow := range last {
			names = append(names, fmt.Sprintf("%s %v (%s)", slow.node, slow.delay.Round(time.Millisecond), cmp.Or(slow.requests, "-")))
		}
		fmt.Fprintf(table, "%d\t%v\t%d\t%v\t%v\t%v\t%s\n", one.number, one.firstAt.Sub(r.start).Round(time.Millisecond), len(one.arrivals),
			one.delayQuantile(0.5), one.delayQuantile(0.9), one.delayQuantile(1), strings.Join(names, ", "))
	}
	return table.Flush()
}

// delayQuantile returns the time, since the version first took effect, within which a fraction of the
// nodes had it. It relies on the arrivals being sorted by time.
func (v version) delayQuantile(fraction float64) time.Duration {
	index := int(fraction * float64(len(v.arrivals)-1))
	return v.arrivals[index].delay.Round(time.Millisecond)
}
