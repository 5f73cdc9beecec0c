package gateway

import (
	"runtime"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/ravenway/ravenway/internal/coordination/overload"
)

// callerGate is the entry node's gate for heavy callers. Requests and the loads
// duty share it.
type callerGate struct {
	node  *Node
	mutex sync.Mutex
	gate  *overload.Gate
}

func newCallerGate(node *Node) *callerGate {
	return &callerGate{node: node, gate: overload.NewGate()}
}

// gatesSet counts the times that heavy callers were bounded, schedulerLag is how
// long a goroutine waited for its turn.
var (
	gatesSet     = metrics.GetOrCreateCounter("ravenway_caller_bounds_total")
	schedulerLag = metrics.GetOrCreateHistogram("ravenway_scheduler_lag_seconds")
)

// read takes a reading of how much the node has to do.
func (c *callerGate) read() {
	lag := measureLag()
	schedulerLag.Update(lag.Seconds())
	pressure := overload.Pressure{
		Lag: lag, FrameDelay: time.Duration(c.node.link.current.Load()),
		BodyBytes: c.node.pipeline.ReceivedBytes(), LinkBytes: c.node.settings.Load().Limits.LinkMbps * bytesPerMegabit,
	}
	c.mutex.Lock()
	changed := c.gate.Step(c.node.now(), pressure)
	c.mutex.Unlock()
	if changed {
		c.logChange(pressure)
	}
}

// logChange writes that heavy callers are bounded, or not any more.
func (c *callerGate) logChange(pressure overload.Pressure) {
	c.mutex.Lock()
	bound, lag, heaviest := c.gate.Bound(), c.gate.Lag(), c.gate.Heaviest(c.node.now())
	c.mutex.Unlock()
	event := "callers_unbounded"
	if bound > 0 {
		event = "callers_bounded"
		gatesSet.Inc()
	}
	c.node.log.Warn().Str("event", event).Int64("lag_ms", lag.Milliseconds()).Float64("bound", bound).
		Str("heaviest_caller", heaviest.Name).Float64("heaviest_rate", heaviest.Rate).Float64("total_rate", heaviest.Total).
		Float64("body_bytes_a_second", heaviest.Bytes).Float64("link_bytes_a_second", pressure.LinkBytes).
		Int64("frame_delay_ms", pressure.FrameDelay.Milliseconds()).Send()
}

// measureLag is how long a goroutine that gives way waits for its next turn: the
// work of all that are ready to run.
func measureLag() time.Duration {
	began := time.Now()
	runtime.Gosched()
	return time.Since(began)
}

// letsIn notes a request and tells whether it is served here.
func (c *callerGate) letsIn(caller string, bodyBytes int64, mustServe bool) bool {
	now := c.node.now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.gate.Admits(now, caller, bodyBytes, mustServe)
}
