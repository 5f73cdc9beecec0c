package gateway

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/ravenway/ravenway/internal/coordination/enginepath"
)

var (
	enginesUnreachable = metrics.GetOrCreateGauge("ravenway_engines_unreachable", nil)
	enginePathLost     = metrics.GetOrCreateGauge("ravenway_engine_path_lost", nil)
)

// enginePaths tracks whether this entry node can open connections to engines, and logs when it
// loses and regains its path to them.
type enginePaths struct {
	node    *Node
	tracker *enginepath.Tracker
	// prunedAt is when the state of engines that are no longer listed was last dropped.
	prunedAt time.Duration
}

func newEnginePaths(node *Node) *enginePaths {
	return &enginePaths{node: node, tracker: enginepath.NewTracker()}
}

// RecordDial implements forward.EnginePaths.
func (p *enginePaths) RecordDial(address string, outcome enginepath.Outcome) {
	metrics.GetOrCreateCounter(fmt.Sprintf("ravenway_engine_dials_total{result=%q}", outcome)).Inc()
	change := p.tracker.Record(p.node.now(), address, outcome)
	if change.Kind == enginepath.Unchanged {
		return
	}
	p.node.log.Warn().Str("event", "engine_path").Stringer("change", change.Kind).
		Int("silent", change.Silent).Int("refused", change.Refused).Int64("listed", p.node.fleet.instanceCount.Load()).
		Int64("contact_ago_ms", change.SinceContact.Milliseconds()).Int64("lasted_ms", change.Lasted.Milliseconds()).Send()
}

// tick updates the metrics and drops the state of engines that are no longer listed. The loads duty
// calls it.
func (p *enginePaths) tick() {
	now := p.node.now()
	if p.tracker.Unreachable() > 0 && now-p.prunedAt >= pruneInterval {
		p.tracker.Prune(p.node.table.Addresses())
		p.prunedAt = now
	}
	enginesUnreachable.Set(float64(p.tracker.Unreachable()))
	lost := 0.0
	if p.tracker.IsLost() {
		lost = 1
	}
	enginePathLost.Set(lost)
}
