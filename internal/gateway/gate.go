package gateway

import (
	"math/rand/v2"
	"runtime"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/ravenway/ravenway/internal/coordination/overload"
)

// callerGate is the entry node's admission gate, which bounds heavy callers under overload and refuses new
// connections in a surge. Requests, connections and the loads duty share it.
type callerGate struct {
	node        *Node
	key         overload.Key
	mutex       sync.Mutex
	gate        *overload.Gate
	connections *overload.ConnectionGate
}

func newCallerGate(node *Node) *callerGate {
	return &callerGate{node: node, key: overload.KeyOf(node.address), gate: overload.NewGate(), connections: overload.NewConnectionGate()}
}

// callerBoundsSet counts how often heavy callers were bounded. schedulerLag is how long a goroutine
// waited to be scheduled. linkUtilization is the share of the link's fuller direction in use, and
// callerBound the maximum work per second of a heavy caller; 0 means no bound.
var (
	linkUtilization = metrics.GetOrCreateGauge("ravenway_link_utilization", nil)
	callerBound     = metrics.GetOrCreateGauge("ravenway_caller_bound", nil)
	callerBoundsSet = metrics.GetOrCreateCounter("ravenway_caller_bounds_total")
	schedulerLag    = metrics.GetOrCreateHistogram("ravenway_scheduler_lag_seconds")
	// connectionsRefused counts the callers' connections that were closed unread.
	connectionsRefused = metrics.GetOrCreateCounter("ravenway_caller_connections_refused_total")
)

// update takes a reading of the node's load and updates the gate.
func (c *callerGate) update() {
	lag := measureLag()
	schedulerLag.Update(lag.Seconds())
	passed, requests := c.node.linkBytes(), c.node.requestBytes()
	pressure := overload.Pressure{
		Lag: lag, FrameDelay: time.Duration(c.node.link.currentDelay.Load()),
		IncomingBytes: passed.incoming, OutgoingBytes: passed.outgoing, LinkBytes: c.node.settings.Load().Limits.LinkMbps * bytesPerMegabit,
		RequestIncomingBytes: requests.incoming, RequestOutgoingBytes: requests.outgoing,
		RetriesReturn: c.node.settings.Load().Fleet.RetriesReturn && c.node.polls.isListed(c.node.now()),
	}
	c.mutex.Lock()
	changed := c.gate.Step(c.node.now(), pressure)
	utilization, bound := c.gate.Utilization(), c.gate.Bound()
	pressure.Lag = c.gate.Lag()
	surgeChanged := c.connections.Step(c.node.now(), utilization, pressure, c.gate.OthersWithRoom())
	isRefusing, refused, others := c.connections.IsRefusing(), c.connections.RefusedShare(), c.gate.OthersWithRoom()
	c.mutex.Unlock()
	linkUtilization.Set(utilization)
	callerBound.Set(bound)
	if changed {
		c.logChange(pressure)
	}
	if surgeChanged {
		c.node.log.Warn().Str("event", "connection_surge").Bool("refusing", isRefusing).Float64("refused_share", refused).
			Int("others_with_room", others).Float64("utilization", utilization).
			Int64("lag_ms", pressure.Lag.Milliseconds()).Int64("frame_delay_ms", pressure.FrameDelay.Milliseconds()).Send()
	}
}

// acceptsConnection records a caller's new connection and reports whether it is accepted.
func (c *callerGate) acceptsConnection() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.connections.Arrived(c.node.now(), rand.Float64()) {
		return true
	}
	connectionsRefused.Inc()
	return false
}

// refusesConnections reports whether new connections are refused in a surge.
func (c *callerGate) refusesConnections() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.connections.IsRefusing()
}

// logChange logs that heavy callers are now bounded, or no longer bounded.
func (c *callerGate) logChange(pressure overload.Pressure) {
	c.mutex.Lock()
	bound, lag, heaviest := c.gate.Bound(), c.gate.Lag(), c.gate.Heaviest(c.node.now())
	utilization, zone := c.gate.Utilization(), c.gate.Zone()
	c.mutex.Unlock()
	event := "callers_unbounded"
	if bound > 0 {
		event = "callers_bounded"
		callerBoundsSet.Inc()
	}
	c.node.log.Warn().Str("event", event).Int64("lag_ms", lag.Milliseconds()).Float64("bound", bound).
		Str("heaviest_caller", heaviest.Name).Float64("heaviest_rate", heaviest.Rate).Float64("total_rate", heaviest.Total).
		Float64("incoming_bytes_a_second", heaviest.Incoming).Float64("outgoing_bytes_a_second", heaviest.Outgoing).
		Float64("link_bytes_a_second", pressure.LinkBytes).Float64("utilization", utilization).
		Int("zone_nodes", zone.Nodes).Int("zone_nodes_with_room", zone.WithRoom).
		Int64("frame_delay_ms", pressure.FrameDelay.Milliseconds()).Bool("retries_return", pressure.RetriesReturn).Send()
}

// measureLag returns how long a goroutine that yields waits until it is scheduled again: the time
// taken by all goroutines that are ready to run.
func measureLag() time.Duration {
	startedAt := time.Now()
	runtime.Gosched()
	return time.Since(startedAt)
}

// admits records a request and reports whether it is admitted on this node.
func (c *callerGate) admits(caller string, bodyBytes int64, mustServe bool) bool {
	now := c.node.now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.gate.Admits(now, caller, bodyBytes, mustServe)
}

// state returns what this node tells the others of its zone; nil if the link's capacity is unknown.
func (c *callerGate) state() *overload.NodeState {
	if c.node.settings.Load().Limits.LinkMbps <= 0 {
		return nil
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	state := c.gate.State(c.node.now())
	return &state
}

// setZone takes what is known of the zone.
func (c *callerGate) setZone(zone overload.ZoneState) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.gate.SetZone(c.key, zone)
}
