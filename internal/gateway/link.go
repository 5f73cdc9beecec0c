package gateway

import (
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/ravenway/ravenway/internal/coordination/delay"
	"github.com/ravenway/ravenway/internal/coordination/overload"
	"github.com/ravenway/ravenway/internal/coordination/roster"
)

const (
	// freshWord is how old a control node's last hello may be for its delay to
	// count: they come each 0.6 s.
	freshWord = 1500 * time.Millisecond
	// bytesPerMegabit turns megabits a second into bytes a second.
	bytesPerMegabit = 1e6 / 8
)

// linkWatch watches the entry node's own link. The fleet duty owns it; others
// read whether the node sheds load.
type linkWatch struct {
	node     *Node
	shedder  overload.Shedder
	shedding atomic.Bool
	// busy tells that new connections are to go to other nodes.
	busy atomic.Bool
	// current is the delay at the last look, in nanoseconds; 0 if it is not known.
	current atomic.Int64
	// reports is the delay of other entry nodes' load reports: what is left to go
	// by in a cut from all control nodes.
	reports atomic.Pointer[reportDelay]
}

// reportDelay is a delay and the time at which it was read.
type reportDelay struct{ delay, at time.Duration }

// noteReports takes the delays of the load reports of late.
func (l *linkWatch) noteReports(now time.Duration, delays []time.Duration) {
	if median, known := delay.Median(delays); known {
		l.reports.Store(&reportDelay{delay: median, at: now})
	}
}

// loadSheds counts the times that this node asked for no more callers because its
// link was full.
var loadSheds = metrics.GetOrCreateCounter("ravenway_load_sheds_total")

// look takes a reading at a tick.
func (l *linkWatch) look(now time.Duration, view *fleetView) {
	if l.node.pipeline == nil {
		return
	}
	reading := l.read(now, view)
	l.current.Store(int64(reading.Delay))
	changed := l.shedder.Step(now, reading)
	if busy := l.shedder.Busy(); l.busy.Swap(busy) != busy {
		l.node.log.Warn().Str("event", "new_connections").Bool("asked_for", !busy).Int64("caller_bytes", reading.CallerBytes).
			Float64("link_bytes_a_second", reading.LinkBytes).Int64("control_delay_ms", reading.Delay.Milliseconds()).Send()
	}
	if !changed {
		return
	}
	l.shedding.Store(l.shedder.Shedding())
	event := "link_free"
	if l.shedder.Shedding() {
		event = "link_full"
		loadSheds.Inc()
	}
	l.node.log.Warn().Str("event", event).Int64("control_delay_ms", reading.Delay.Milliseconds()).Bool("delay_known", reading.DelayKnown).
		Int64("caller_bytes", reading.CallerBytes).Float64("link_bytes_a_second", reading.LinkBytes).Int("others", reading.Others).Send()
}

func (l *linkWatch) read(now time.Duration, view *fleetView) overload.Reading {
	current := l.node.settings.Load()
	reading := overload.Reading{
		CallerBytes: l.node.pipeline.ReceivedBytes(), LinkBytes: current.Limits.LinkMbps * bytesPerMegabit, Others: view.neighbours.inZone,
	}
	reading.Delay, reading.DelayKnown = l.delay(now, view.alive)
	return reading
}

// delay is that of the control nodes' last hellos, or else of load reports.
func (l *linkWatch) delay(now time.Duration, alive []*roster.Peer) (time.Duration, bool) {
	var delays []time.Duration
	for _, known := range alive {
		if known.Control && known.IsFresh(now, freshWord) {
			delays = append(delays, known.Delay())
		}
	}
	if median, known := delay.Median(delays); known {
		return median, true
	}
	if reports := l.reports.Load(); reports != nil && now-reports.at <= freshReport {
		return reports.delay, true
	}
	return 0, false
}
