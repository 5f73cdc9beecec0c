package gateway

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/ravenway/ravenway/internal/coordination/backoff"
	"github.com/ravenway/ravenway/internal/coordination/registry"
	"github.com/ravenway/ravenway/internal/forward"
)

// backoffLinesPerSecond bounds the lines on pauses: hundreds of instances may ask for one at
// the same moment. What is left out is counted.
const backoffLinesPerSecond = 10

var (
	pausesBegan        = metrics.GetOrCreateCounter("ravenway_instance_pauses_begun_total")
	pausesExtended     = metrics.GetOrCreateCounter("ravenway_instance_pauses_extended_total")
	pausesUnreadable   = metrics.GetOrCreateCounter("ravenway_instance_pauses_unreadable_total")
	instancesNotOpen   = metrics.GetOrCreateGauge("ravenway_instances_in_backoff", nil)
	instancesLeft      = metrics.GetOrCreateCounter("ravenway_instances_leaving_seen_total")
	instancesBackAgain = metrics.GetOrCreateCounter("ravenway_instances_back_total")
)

// backoffKeeper tells of what instances ask this entry node for.
type backoffKeeper struct {
	node    *Node
	tracker *backoff.Tracker
	// prunedAt is when lives were last looked for that are over.
	prunedAt time.Duration
	lines    *forward.LineBudget
}

func newBackoffKeeper(node *Node) *backoffKeeper {
	return &backoffKeeper{node: node, tracker: backoff.NewTracker(backoff.DefaultReturn), lines: forward.NewLineBudget(backoffLinesPerSecond)}
}

// look notes the pauses that are over. The loads' duty calls it.
func (k *backoffKeeper) look() {
	now := k.node.now()
	for _, change := range k.tracker.Look(now) {
		k.note(change, 0)
	}
	if now-k.prunedAt >= pruneInterval {
		k.tracker.Prune(now, k.isListed)
		k.prunedAt = now
	}
	instancesNotOpen.Set(float64(k.tracker.Count()))
}

// Learn implements forward.Backoff.
func (k *backoffKeeper) Learn(instance registry.Instance, request string, said backoff.Said, writtenAt time.Time) {
	answered := backoff.Request{ID: request, WrittenAt: k.node.at(writtenAt)}
	for _, change := range k.tracker.Learn(k.node.now(), instance.Life(), answered, said) {
		k.note(change, k.node.table.InFlight(instance.Life()))
	}
}

func (k *backoffKeeper) isListed(life registry.Life) bool {
	_, isListed := k.node.table.Instance(life)
	return isListed
}

// forget drops the lives that newer ones have replaced.
func (k *backoffKeeper) forget(replaced []registry.Instance) {
	for _, over := range replaced {
		k.tracker.Forget(over.Life())
	}
}

// note writes a line for a change, with this node's requests at the instance.
func (k *backoffKeeper) note(change backoff.Change, inFlight int) {
	event := "instance_pause"
	switch change.Kind {
	case backoff.Began:
		pausesBegan.Inc()
	case backoff.Extended:
		pausesExtended.Inc()
	case backoff.Left:
		instancesLeft.Inc()
		event = "instance_leaving"
	case backoff.Back:
		instancesBackAgain.Inc()
	case backoff.Unreadable:
		pausesUnreadable.Inc()
		event = "instance_pause_unreadable"
	case backoff.Unchanged, backoff.Ended:
	}
	if !k.lines.Take() {
		return
	}
	k.node.log.Info().Str("event", event).Stringer("life", change.Life).Stringer("change", change.Kind).
		Int64("asked_ms", change.Asked.Milliseconds()).Int64("left_ms", change.Left.Milliseconds()).Str("request", change.Request).
		Int("answers", change.Answers).Int("in_flight", inFlight).AnErr("error", change.Fault).Send()
}

// summarize writes how many lines on pauses were left out since the last call.
func (k *backoffKeeper) summarize() {
	if leftOut := k.lines.TakeOmitted(); leftOut > 0 {
		k.node.log.Info().Str("event", "instance_pauses").Int("lines_left_out", leftOut).Int64("in_backoff", k.tracker.Count()).Send()
	}
}
