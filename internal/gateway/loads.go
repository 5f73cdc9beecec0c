package gateway

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/ravenway/ravenway/internal/coordination/balance"
	"github.com/ravenway/ravenway/internal/coordination/delay"
	"github.com/ravenway/ravenway/internal/duty"
	"github.com/ravenway/ravenway/internal/forward"
	"github.com/ravenway/ravenway/internal/protocol/peer"
)

const (
	// loadsInterval is the time between load reports. Reports that arrive through a relay are older
	// than that.
	loadsInterval = 50 * time.Millisecond
	// loadsTicksPerSecond is the number of ticks of the loads duty per second.
	loadsTicksPerSecond = float64(time.Second / loadsInterval)
	// maximumReportAge is the maximum age of a load report whose delay is taken into account.
	maximumReportAge = time.Second
	// refusedLinesPerSecond limits the log lines on invalid link states: during an upgrade, each
	// report of each node may have one.
	refusedLinesPerSecond = 2
	// meterRetention is how long the fastest report of a node that sends no more reports is
	// remembered.
	meterRetention = 30 * time.Second
)

// loadsDuty owns the node's part in the exchange of instance loads between entry nodes.
type loadsDuty struct {
	node     *Node
	duty     *duty.Duty
	exchange *balance.LoadExchange
	ticks    int
	// generation is the generation of the neighbours that the exchange was last given.
	generation uint64
	// meters measure the transit delay of reports, by sending node.
	meters map[string]*delay.Meter
	lines  *forward.LineBudget
}

func newLoadsDuty(node *Node) *loadsDuty {
	self := balance.EntryNode{Address: node.address, Zone: node.settings.Load().Node.Zone}
	loads := &loadsDuty{
		node: node, duty: duty.New("loads", loadsInterval), exchange: balance.NewLoadExchange(self, loadsInterval),
		meters: map[string]*delay.Meter{}, lines: forward.NewLineBudget(refusedLinesPerSecond),
	}
	loads.duty.Tick = loads.tick
	loads.duty.Flush = func() {}
	return loads
}

func (l *loadsDuty) tick() {
	l.node.gate.update()
	l.node.paths.tick()
	l.ticks++
	neighbours := &l.node.fleet.view.Load().neighbours
	if l.ticks%l.reportTicks(neighbours) != 0 {
		return
	}
	if neighbours.generation != l.generation {
		l.exchange.SetNodes(neighbours.nodes, l.expiryInterval(neighbours))
		l.node.table.SetEntryNodes(l.node.address, neighbours.nodes)
		l.generation = neighbours.generation
	}
	now := l.node.now()
	l.node.table.SetInformed(now, now < l.node.fleet.view.Load().rootContactAt+versionValidity)
	l.node.limits.tick()
	l.node.backoff.tick()
	l.node.prompts.tick()
	l.node.slots.tick()
	updates := balance.Updates{Parts: l.node.table.TakeSpilled(), Limits: l.node.limits.limits.TakeUpdates()}
	l.exchange.SetOwnLink(l.node.gate.state())
	reports, known := l.exchange.Step(now, l.node.table.OwnLoads(), updates, l.node.limits.limits.ActiveUpdates)
	l.node.limits.handleUpdates(known.Limits)
	l.node.table.SetOthersLoads(known.Loads)
	l.node.gate.setZone(known.Zone)
	l.node.table.RecordHeldParts(now, known.Parts)
	l.node.link.recordReports(now, l.delays(now))
	for _, one := range reports {
		one.Report.AgeMS = uint64(now.Milliseconds())
		l.node.send(one.To, peer.KindLoads, &one.Report)
	}
}

// reportTicks returns the number of ticks between two load reports.
func (l *loadsDuty) reportTicks(others *neighbours) int {
	return balance.ReportTicks(balance.ReportScale{
		Entries: len(others.nodes), ZoneEntries: others.inZone, Instances: int(l.node.fleet.instanceCount.Load()),
		LinkBytes: l.node.settings.Load().Limits.LinkMbps * bytesPerMegabit,
	}, loadsTicksPerSecond)
}

// expiryInterval returns the interval by which the exchange drops old reports. It is the longest at
// which any node of a large fleet may report, because nodes with other links report at other
// intervals.
func (l *loadsDuty) expiryInterval(others *neighbours) time.Duration {
	if len(others.nodes) < balance.LargeFleetEntries {
		return loadsInterval
	}
	return balance.MaximumReportTicks * loadsInterval
}

// linkStatesRefused counts invalid link states in load reports of other nodes. They are dropped.
var linkStatesRefused = metrics.GetOrCreateCounter("ravenway_link_states_refused_total")

func (l *loadsDuty) handleReport(from string, report balance.LoadReport) {
	l.duty.Offer(func() {
		now := l.node.now()
		meter := l.meters[from]
		if meter == nil {
			meter = &delay.Meter{}
			l.meters[from] = meter
		}
		meter.Record(now, time.Duration(report.AgeMS)*time.Millisecond)
		if err := l.exchange.Receive(now, from, report); err != nil {
			linkStatesRefused.Inc()
			if l.lines.Take() {
				l.node.log.Warn().Str("event", "link_state_refused").Str("from", from).Int("lines_left_out", l.lines.TakeOmitted()).Err(err).Send()
			}
		}
	})
}

// delays returns the delays of fresh reports, and forgets nodes that send none any more.
func (l *loadsDuty) delays(now time.Duration) []time.Duration {
	var delays []time.Duration
	for from, meter := range l.meters {
		switch {
		case meter.IsFresh(now, maximumReportAge):
			delays = append(delays, meter.Delay())
		case !meter.IsFresh(now, meterRetention):
			delete(l.meters, from)
		}
	}
	return delays
}
