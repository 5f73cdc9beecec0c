package gateway

import (
	"time"

	"github.com/ravenway/ravenway/internal/coordination/balance"
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
)

// loadsDuty owns the node's part of the load exchange.
type loadsDuty struct {
	node     *Node
	duty     *duty.Duty
	exchange *balance.LoadExchange
	ticks    int
}

func newLoadsDuty(node *Node) *loadsDuty {
	self := balance.EntryNode{Address: node.address, Zone: node.settings.Load().Node.Zone}
	loads := &loadsDuty{
		node: node, duty: duty.New("loads", loadsInterval), exchange: balance.NewLoadExchange(self, loadsInterval),
	}
	loads.duty.Tick = loads.tick
	loads.duty.Flush = func() {}
	return loads
}

func (l *loadsDuty) tick() {
	l.ticks++
	entries := l.node.fleet.view.Load().entryNodes
	interval := loadsInterval
	if len(entries) >= fewEntries {
		if l.ticks%manyLoadsTicks != 0 {
			return
		}
		interval *= manyLoadsTicks
	}
	l.exchange.SetNodes(entries, interval)
	now := l.node.now()
	reports, known := l.exchange.Step(now, l.node.table.OwnLoads(), l.node.table.TakeSpilled())
	l.node.table.SetOthersLoads(known.Loads)
	l.node.table.NoteHeld(now, known.Parts)
	for _, one := range reports {
		l.node.send(one.To, peer.KindLoads, &one.Report)
	}
}

func (l *loadsDuty) take(from string, report balance.LoadReport) {
	l.duty.Offer(func() { l.exchange.Take(l.node.now(), from, report) })
}
