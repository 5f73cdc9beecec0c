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
	// maximumHelloAge is the maximum age of a control node's last hello whose delay is taken into
	// account; hellos are sent every 0.6 s.
	maximumHelloAge = 1500 * time.Millisecond
	// bytesPerMegabit converts megabits to bytes.
	bytesPerMegabit = 1e6 / 8
)

// linkMonitor monitors the load of the entry node's network link. The fleet duty owns it; other
// goroutines read whether the node sheds load.
type linkMonitor struct {
	node     *Node
	shedder  overload.Shedder
	shedding atomic.Bool
	// busy is set while new connections should go to other nodes.
	busy atomic.Bool
	// currentDelay is the delay at the last reading, in nanoseconds; 0 if it is not known.
	currentDelay atomic.Int64
	// reports is the delay of other entry nodes' load reports, the only measure that remains when
	// all control nodes are unreachable.
	reports atomic.Pointer[reportDelay]
}

// reportDelay is a delay and the time at which it was read.
type reportDelay struct{ delay, at time.Duration }

// recordReports stores the median delay of recent load reports.
func (l *linkMonitor) recordReports(now time.Duration, delays []time.Duration) {
	if median, known := delay.Median(delays); known {
		l.reports.Store(&reportDelay{delay: median, at: now})
	}
}

// loadSheds counts how often this node began to shed load because its link was full.
var loadSheds = metrics.GetOrCreateCounter("ravenway_load_sheds_total")

// tick takes a reading at each tick and updates whether the node sheds load or is busy.
func (l *linkMonitor) tick(now time.Duration, view *fleetView) {
	if l.node.pipeline == nil {
		return
	}
	reading := l.read(now, view)
	l.currentDelay.Store(int64(reading.Delay))
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

func (l *linkMonitor) read(now time.Duration, view *fleetView) overload.Reading {
	current := l.node.settings.Load()
	reading := overload.Reading{
		CallerBytes: l.node.pipeline.ReceivedBytes(), LinkBytes: current.Limits.LinkMbps * bytesPerMegabit, Others: view.neighbours.inZone,
	}
	reading.Delay, reading.DelayKnown = l.delay(now, view.alive)
	return reading
}

// delay returns the median delay of the control nodes' last hellos, or if there are none that of
// load reports.
func (l *linkMonitor) delay(now time.Duration, alive []*roster.Peer) (time.Duration, bool) {
	var delays []time.Duration
	for _, known := range alive {
		if known.Control && known.IsFresh(now, maximumHelloAge) {
			delays = append(delays, known.Delay())
		}
	}
	if median, known := delay.Median(delays); known {
		return median, true
	}
	if reports := l.reports.Load(); reports != nil && now-reports.at <= maximumReportAge {
		return reports.delay, true
	}
	return 0, false
}
