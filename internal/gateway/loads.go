package gateway

import (
	"time"

	"github.com/ravenway/ravenway/internal/coordination/balance"
	"github.com/ravenway/ravenway/internal/coordination/delay"
	"github.com/ravenway/ravenway/internal/duty"
	"github.com/ravenway/ravenway/internal/protocol/peer"
)

const (
	// loadsInterval is the time between load reports. Reports that arrive through a relay are older
	// than that.
	loadsInterval = 50 * time.Millisecond
	// With fewEntries other entry nodes or more, reports name many instances and are sent only
	// every manyLoadsTicks ticks.
	manyLoadsTicks = 4
	fewEntries     = 16
	// freshReport is the maximum age of a load report whose delay is taken into account.
	freshReport = time.Second
	// wayMemory is how long the fastest report of a node that sends no more reports is remembered.
	wayMemory = 30 * time.Second
)

// loadsDuty owns the node's part in the exchange of instance loads between entry nodes.
type loadsDuty struct {
	node     *Node
	duty     *duty.Duty
	exchange *balance.LoadExchange
	ticks    int
	// generation is the generation of the neighbours that the exchange was last given.
	generation uint64
	// ways measure the transit delay of reports, by sending node.
	ways map[string]*delay.Meter
}

func newLoadsDuty(node *Node) *loadsDuty {
	self := balance.EntryNode{Address: node.address, Zone: node.settings.Load().Node.Zone}
	loads := &loadsDuty{
		node: node, duty: duty.New("loads", loadsInterval), exchange: balance.NewLoadExchange(self, loadsInterval),
		ways: map[string]*delay.Meter{},
	}
	loads.duty.Tick = loads.tick
	loads.duty.Flush = func() {}
	return loads
}

func (l *loadsDuty) tick() {
	l.node.gate.read()
	l.ticks++
	neighbours := &l.node.fleet.view.Load().neighbours
	interval := loadsInterval
	if len(neighbours.nodes) >= fewEntries {
		if l.ticks%manyLoadsTicks != 0 {
			return
		}
		interval *= manyLoadsTicks
	}
	if neighbours.generation != l.generation {
		l.exchange.SetNodes(neighbours.nodes, interval)
		l.node.table.SetEntryNodes(l.node.address, neighbours.nodes)
		l.generation = neighbours.generation
	}
	now := l.node.now()
	l.node.limits.look()
	l.node.backoff.look()
	news := balance.News{Parts: l.node.table.TakeSpilled(), Limits: l.node.limits.limits.TakeNews()}
	reports, known := l.exchange.Step(now, l.node.table.OwnLoads(), news, l.node.limits.limits.InForce)
	l.node.limits.hear(known.Limits)
	l.node.table.SetOthersLoads(known.Loads)
	l.node.table.NoteHeld(now, known.Parts)
	l.node.link.noteReports(now, l.delays(now))
	for _, one := range reports {
		one.Report.AgeMS = uint64(now.Milliseconds())
		l.node.send(one.To, peer.KindLoads, &one.Report)
	}
}

func (l *loadsDuty) take(from string, report balance.LoadReport) {
	l.duty.Offer(func() {
		now := l.node.now()
		way := l.ways[from]
		if way == nil {
			way = &delay.Meter{}
			l.ways[from] = way
		}
		way.Note(now, time.Duration(report.AgeMS)*time.Millisecond)
		l.exchange.Take(now, from, report)
	})
}

// delays returns the delays of fresh reports, and forgets nodes that send none any more.
func (l *loadsDuty) delays(now time.Duration) []time.Duration {
	var delays []time.Duration
	for from, way := range l.ways {
		switch {
		case way.IsFresh(now, freshReport):
			delays = append(delays, way.Delay())
		case !way.IsFresh(now, wayMemory):
			delete(l.ways, from)
		}
	}
	return delays
}
