package ratelimit

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ravenway/ravenway/internal/coordination/registry"
)

// fleetSizes are the numbers of entry nodes in the benchmarks.
var fleetSizes = []int{300, 1000, 2000}

const (
	fleetZones = 28
	// limitedEngines is a third of 10,000.
	limitedEngines = 3333
)

func fleetOf(count int) []Node {
	nodes := make([]Node, 0, count)
	for number := range count {
		nodes = append(nodes, Node{Address: fmt.Sprintf("10.%d.0.%d:7340", number%fleetZones, number), Zone: fmt.Sprintf("zone-%d", number%fleetZones)})
	}
	return nodes
}

func incarnationOf(number int) registry.Incarnation {
	return registry.Incarnation{ID: fmt.Sprintf("i-%010d", number), StartedAt: 1700000000000}
}

// withLimits returns a node's limits when a third of 10,000 engines has named one.
func withLimits(nodes []Node) *Limits {
	limits := limitsAt(nodes[0].Address, nodes)
	for number := range limitedEngines {
		limits.Learn(start, incarnationOf(number), limitOfTwo, start)
	}
	return limits
}

// Cost of each request while no engine names a limit.
func BenchmarkRequestWithoutAnyLimit(b *testing.B) {
	limits := limitsAt("a-0", nodesOf("a", 3))
	b.ReportAllocs()
	for b.Loop() {
		if _, _, isLimited := limits.RequestPermit(start, engine, "a", PermitNeeds{}); isLimited {
			b.Fatal("a limit is in effect")
		}
		limits.Learn(start, engine, noLimit, start)
	}
}

// atFleetSizes runs a benchmark at each fleet size.
func atFleetSizes(b *testing.B, step func(number int, now time.Duration, nodes []Node, limits *Limits)) {
	for _, size := range fleetSizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			nodes := fleetOf(size)
			limits := withLimits(nodes)
			b.ReportAllocs()
			for number := 0; b.Loop(); number++ {
				step(number, start+time.Duration(number)*time.Millisecond, nodes, limits)
			}
		})
	}
}

// The issuer's cost of a permit.
func BenchmarkPermit(b *testing.B) {
	atFleetSizes(b, func(number int, now time.Duration, nodes []Node, limits *Limits) {
		request, _, _ := limits.RequestPermit(now, incarnationOf(number%limitedEngines), nodes[0].Zone, PermitNeeds{MaximumWaitMS: 100})
		limits.Grant(now, nodes[1].Address, request)
	})
}

// Cost for a node of another node starting or stopping.
func BenchmarkNodesChange(b *testing.B) {
	atFleetSizes(b, func(number int, now time.Duration, nodes []Node, limits *Limits) {
		limits.SetNodes(now, nodes[:len(nodes)-number%2])
	})
}

// Cost of receiving the updates when a third of 10,000 engines names limits.
func BenchmarkReceiveThousandsOfLimits(b *testing.B) {
	updates := withLimits(fleetOf(300)).ActiveUpdates()
	b.ReportAllocs()
	for b.Loop() {
		New("a-0").Receive(start+time.Second, updates)
	}
}

// The memory for limits grows with the number of engines that name one, not with the number of
// nodes.
func TestMemoryOfThousandsOfLimitsIsBounded(t *testing.T) {
	heap := func() int64 {
		runtime.GC()
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		return int64(stats.HeapAlloc)
	}
	before := heap()
	kept := withLimits(fleetOf(1000))
	grown := heap() - before
	t.Logf("%d bytes for %d limits", grown, limitedEngines)
	// A hundredth of the 256 MB that a node has for control.
	assert.Assert(t, grown < 256<<20/100)
	runtime.KeepAlive(kept)
}

func TestRequestAllocatesNothingWhileNoEngineNamesALimit(t *testing.T) {
	limits := limitsAt("a-0", nodesOf("a", 3))
	allocated := testing.AllocsPerRun(100, func() {
		limits.RequestPermit(start, engine, "a", PermitNeeds{})
		limits.Headroom(start, engine)
		limits.Learn(start, engine, noLimit, start)
	})
	assert.Equal(t, allocated, 0.0)
}
