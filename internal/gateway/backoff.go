package gateway

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/ravenway/ravenway/internal/coordination/backoff"
	"github.com/ravenway/ravenway/internal/coordination/registry"
	"github.com/ravenway/ravenway/internal/forward"
)

// backoffLinesPerSecond limits the log lines on pauses: hundreds of instances may request one at
// the same moment. Omitted lines are counted.
const backoffLinesPerSecond = 10

var (
	pausesBegan        = metrics.GetOrCreateCounter("ravenway_instance_pauses_begun_total")
	pausesExtended     = metrics.GetOrCreateCounter("ravenway_instance_pauses_extended_total")
	pausesUnreadable   = metrics.GetOrCreateCounter("ravenway_instance_pauses_unreadable_total")
	instancesInBackoff = metrics.GetOrCreateGauge("ravenway_instances_in_backoff", nil)
	instancesLeaving   = metrics.GetOrCreateCounter("ravenway_instances_leaving_seen_total")
	instancesResumed   = metrics.GetOrCreateCounter("ravenway_instances_back_total")
)

// pauseRecorder tracks the pauses that instances request of this entry node in their responses, and
// logs and counts the changes. During a pause this node sends the instance no requests.
type pauseRecorder struct {
	node    *Node
	tracker *backoff.Tracker
	// prunedAt is when ended incarnations were last pruned.
	prunedAt time.Duration
	lines    *forward.LineBudget
}

func newPauseRecorder(node *Node) *pauseRecorder {
	return &pauseRecorder{node: node, tracker: backoff.NewTracker(backoff.DefaultRecovery), lines: forward.NewLineBudget(backoffLinesPerSecond)}
}

// tick records the pauses that have expired. The loads duty calls it.
func (p *pauseRecorder) tick() {
	now := p.node.now()
	for _, change := range p.tracker.TakeEnded(now) {
		p.record(change, 0)
	}
	if now-p.prunedAt >= pruneInterval {
		p.tracker.Prune(now, p.isListed)
		p.prunedAt = now
	}
	instancesInBackoff.Set(float64(p.tracker.Count()))
}

// Learn implements forward.Backoff.
func (p *pauseRecorder) Learn(instance registry.Instance, request string, signal backoff.Signal, writtenAt time.Time) {
	response := backoff.Request{ID: request, WrittenAt: p.node.monotonicTime(writtenAt)}
	for _, change := range p.tracker.Learn(p.node.now(), instance.Incarnation(), response, signal) {
		p.record(change, p.node.table.InFlight(instance.Incarnation()))
	}
}

func (p *pauseRecorder) isListed(incarnation registry.Incarnation) bool {
	_, isListed := p.node.table.Instance(incarnation)
	return isListed
}

// replace drops the pauses of the incarnations that newer ones have replaced, unless the newer one
// requested them.
func (p *pauseRecorder) replace(replaced []registry.Instance) {
	for _, previous := range replaced {
		next, _ := p.node.table.InstanceWithID(previous.ID)
		if p.tracker.Replace(p.node.now(), previous.Incarnation(), next.Incarnation()) && p.lines.Take() {
			p.node.log.Info().Str("event", "instance_pause").Str("change", "transferred").Stringer("life", next.Incarnation()).
				Stringer("from", previous.Incarnation()).Send()
		}
	}
}

// record counts and logs a change, with the number of this node's requests in flight at the
// instance.
func (p *pauseRecorder) record(change backoff.Change, inFlight int) {
	event := "instance_pause"
	switch change.Kind {
	case backoff.Began:
		pausesBegan.Inc()
	case backoff.Extended:
		pausesExtended.Inc()
	case backoff.AnnouncedLeaving:
		instancesLeaving.Inc()
		event = "instance_leaving"
	case backoff.Recovered:
		instancesResumed.Inc()
	case backoff.Unreadable:
		pausesUnreadable.Inc()
		event = "instance_pause_unreadable"
	case backoff.Unchanged, backoff.Ended:
	}
	if !p.lines.Take() {
		return
	}
	p.node.log.Info().Str("event", event).Stringer("life", change.Incarnation).Stringer("change", change.Kind).
		Int64("asked_ms", change.Requested.Milliseconds()).Int64("left_ms", change.Remaining.Milliseconds()).Str("request", change.RequestID).
		Int("answers", change.Responses).Int("in_flight", inFlight).AnErr("error", change.Fault).Send()
}

// summarize logs how many lines on pauses were omitted since the last call.
func (p *pauseRecorder) summarize() {
	if omitted := p.lines.TakeOmitted(); omitted > 0 {
		p.node.log.Info().Str("event", "instance_pauses").Int("lines_left_out", omitted).Int64("in_backoff", p.tracker.Count()).Send()
	}
}
