package gateway

import (
	"time"

	"github.com/ravenway/ravenway/internal/coordination/balance"
	"github.com/ravenway/ravenway/internal/coordination/delay"
	"github.com/ravenway/ravenway/internal/duty"
	"github.com/ravenway/ravenway/internal/protocol/peer"
)

const (
	// loadsInterval is the time between load reports. Behind a relay they are
	// older than that.
	loadsInterval = 50 * time.Millisecond
	// In a fleet with more entry nodes than fewEntries reports name many
	// instances, and come less often.
	manyLoadsTicks = 4
	fewEntries     = 16
	// freshReport is how old a load report may be for its delay to count.
	freshReport = time.Second
	// wayMemory is how long the fastest report of a silent node is remembered.
	wayMemory = 30 * time.Second
)

// loadsDuty owns the node's part of the load exchange.
type loadsDuty struct {
	node     *Node
	duty     *duty.Duty
	exchange *balance.LoadExchange
	ticks    int
	// generation is that of the neighbours that the exchange knows.
	generation uint64
	// ways are the ways from the nodes that send reports here.
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
	news := balance.News{Parts: l.node.table.TakeSpilled(), Limits: l.node.limits.limits.TakeUpdates()}
	reports, known := l.exchange.Step(now, l.node.table.OwnLoads(), news, l.node.limits.limits.ActiveUpdates)
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
		way.Record(now, time.Duration(report.AgeMS)*time.Millisecond)
		l.exchange.Take(now, from, report)
	})
}

// delays are those of the reports that count; it forgets nodes that send none.
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
