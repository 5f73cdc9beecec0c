package scale

import (
	"context"
	"fmt"
	"time"

	ravenwayv1 "github.com/ravenway/ravenway/api/ravenway/v1"

	"connectrpc.com/connect"

	"github.com/ravenway/ravenway/internal/lab/deployment"
	"github.com/ravenway/ravenway/internal/lab/emulator"
	"github.com/ravenway/ravenway/internal/lab/fleet"
	"github.com/ravenway/ravenway/internal/lab/load"
	"github.com/ravenway/ravenway/internal/node"
	"github.com/ravenway/ravenway/internal/protocol/peer"
)

const (
	// settleTime lets a fleet come to rest before it is measured.
	settleTime = 3 * time.Second
	// measureTime is how long each point is measured.
	measureTime = 6 * time.Second
)

// shape is a fleet's size.
type shape struct {
	zones, perZone int
	engines        int
	// rate of requests a second and node; changes a second in the fleet.
	rate    float64
	changes int
	// minted: requests carry no key of their caller's.
	minted bool
}

func (s shape) nodes() int { return s.zones * s.perZone }

func (s shape) plan() deployment.Plan {
	plan := deployment.ZameenHaq()
	plan.Zones, plan.NodesPerZone = nil, nil
	for zone := range s.zones {
		plan.Zones = append(plan.Zones, fmt.Sprintf("zone-%02d", zone))
		plan.NodesPerZone = append(plan.NodesPerZone, s.perZone)
	}
	plan.Engines, plan.EngineSlots, plan.Plains = s.engines, 256, 1
	// Ports only name the in-memory listeners here.
	plan.BasePort, plan.BackendPort = 20_000, 40_000
	return plan
}

// measured is what one fleet cost while it was measured.
type measured struct {
	shape
	// processor time a node, as a share of a core.
	processor float64
	// bytes and frames a second and node, by kind.
	bytes  map[peer.Kind]float64
	frames map[peer.Kind]float64
	// served requests a second in the fleet.
	served float64
	heap   float64
}

func (m measured) totalBytes() float64 {
	total := 0.0
	for _, bytes := range m.bytes {
		total += bytes
	}
	return total
}

func (m measured) totalFrames() float64 {
	total := 0.0
	for _, frames := range m.frames {
		total += frames
	}
	return total
}

// run measures one fleet in real time.
func run(size shape) (measured, error) {
	plan := size.plan()
	heapBefore := heapBytes()
	f := fleet.New(plan, newRandom(), emulator.EngineOptions{StepBase: 4 * time.Millisecond, StepPerSequence: time.Microsecond})
	defer f.Close()
	if err := f.Start(); err != nil {
		return measured{}, err
	}
	if err := f.Provision(); err != nil {
		return measured{}, err
	}
	time.Sleep(settleTime)
	ctx, cancel := context.WithTimeout(context.Background(), settleTime+measureTime)
	defer cancel()
	served := make(chan int, 1)
	go func() { served <- sendLoad(ctx, f, size) }()
	go sendChanges(ctx, f, size)
	time.Sleep(settleTime)
	result := measured{shape: size, bytes: map[peer.Kind]float64{}, frames: map[peer.Kind]float64{}}
	startBytes, startFrames, startProcessor := counts(), frameCounts(), processorTime()
	time.Sleep(measureTime)
	seconds := measureTime.Seconds() * float64(size.nodes())
	result.processor = (processorTime() - startProcessor).Seconds() / seconds
	for kind, bytes := range counts() {
		result.bytes[kind] = float64(bytes-startBytes[kind]) / seconds
	}
	for kind, frames := range frameCounts() {
		result.frames[kind] = float64(frames-startFrames[kind]) / seconds
	}
	result.served = float64(<-served) / (settleTime + measureTime).Seconds()
	result.heap = (heapBytes() - heapBefore) / float64(size.nodes())
	return result, nil
}

func counts() map[peer.Kind]uint64 {
	values := map[peer.Kind]uint64{}
	for kind, counter := range node.SentBytes {
		values[kind] = counter.Get()
	}
	return values
}

func frameCounts() map[peer.Kind]uint64 {
	values := map[peer.Kind]uint64{}
	for kind, counter := range node.SentFrames {
		values[kind] = counter.Get()
	}
	return values
}

// sendLoad sends short completions to all nodes and returns how many ended.
func sendLoad(ctx context.Context, f *fleet.Fleet, size shape) int {
	if size.rate == 0 {
		<-ctx.Done()
		return 0
	}
	mix := f.Mix(1)
	mix.Shares = map[load.Kind]int{load.KindShort: 100}
	report, _ := load.Run(ctx, load.Options{
		Entries: f.Entries(f.Order...), Mix: mix, Rate: size.rate * float64(size.nodes()),
		Duration: settleTime + measureTime, Seed: 1, Client: f.LoadClient(), WithoutKeys: size.minted,
	})
	return report.Outcomes[load.Whole]
}

// sendChanges changes one back end again and again.
func sendChanges(ctx context.Context, f *fleet.Fleet, size shape) {
	if size.changes == 0 {
		return
	}
	ticker := time.NewTicker(time.Second / time.Duration(size.changes))
	defer ticker.Stop()
	for number := uint32(1); ; number++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		backend := f.Plan.Catalog().GetBackends()[0]
		backend.Capacity = 256 + number
		_, _ = f.Operator(f.Order[0]).Apply(ctx, connect.NewRequest(&ravenwayv1.ApplyRequest{
			AnyRevision: true, Put: &ravenwayv1.CatalogDocument{Backends: []*ravenwayv1.Backend{backend}},
		}))
	}
}

// FleetSlopes measures traffic and processor time of whole fleets.
func FleetSlopes(progress func(string)) ([]Slope, error) {
	var slopes []Slope
	vary := func(name, per string, shapes []shape, size func(measured) float64, costs ...cost) error {
		var points []measured
		for _, one := range shapes {
			point, err := run(one)
			if err != nil {
				return err
			}
			progress(fmt.Sprintf("%s: %d nodes, %d engines, %.0f requests/s a node, %d changes/s: %.2f%% of a core and %.0f B/s a node, %.0f served/s",
				name, point.nodes(), point.engines, point.rate, point.changes, 100*point.processor, point.totalBytes(), point.served))
			points = append(points, point)
		}
		for _, one := range costs {
			var samples []Sample
			for _, point := range points {
				samples = append(samples, Sample{X: size(point), Y: one.of(point)})
			}
			slopes = append(slopes, fit(name+": "+one.name, one.unit, per, samples))
		}
		return nil
	}
	processor := cost{"processor", "% of a core a node", func(m measured) float64 { return 100 * m.processor }}
	status := cost{"status", "B/s a node", func(m measured) float64 { return m.bytes[peer.KindStatus] }}
	catalogBytes := cost{"catalog and consensus", "B/s a node", func(m measured) float64 {
		return m.bytes[peer.KindCatalog] + m.bytes[peer.KindCatalogFollow] + m.bytes[peer.KindConsensus]
	}}
	heap := cost{"heap", "B a node", func(m measured) float64 { return m.heap }}

	zones := []shape{{zones: 3, perZone: 4, engines: 6}, {zones: 8, perZone: 4, engines: 6}, {zones: 16, perZone: 4, engines: 6}}
	if err := vary("idle, by nodes in other zones", "node", zones, func(m measured) float64 { return float64(m.nodes()) }, processor, status, heap); err != nil {
		return nil, err
	}
	perZone := []shape{{zones: 3, perZone: 4, engines: 6}, {zones: 3, perZone: 10, engines: 6}, {zones: 3, perZone: 20, engines: 6}}
	if err := vary("idle, by nodes of the zone", "node of the zone", perZone, func(m measured) float64 { return float64(m.perZone) }, processor, status); err != nil {
		return nil, err
	}
	engines := []shape{{zones: 3, perZone: 4, engines: 6}, {zones: 3, perZone: 4, engines: 30}, {zones: 3, perZone: 4, engines: 60}}
	if err := vary("idle, by engines polled", "engine", engines, func(m measured) float64 { return float64(m.engines) }, processor); err != nil {
		return nil, err
	}
	requests, err := RequestSlopes(progress)
	if err != nil {
		return nil, err
	}
	slopes = append(slopes, requests...)
	changes := []shape{{zones: 3, perZone: 4, engines: 6, changes: 1}, {zones: 3, perZone: 4, engines: 6, changes: 5}, {zones: 3, perZone: 4, engines: 6, changes: 20}}
	if err := vary("by changes", "change/s", changes, func(m measured) float64 { return float64(m.changes) }, processor, catalogBytes); err != nil {
		return nil, err
	}
	return slopes, nil
}

// cost is one measured figure.
type cost struct {
	name, unit string
	of         func(measured) float64
}
