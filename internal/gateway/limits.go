package gateway

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/ravenway/ravenway/internal/coordination/ratelimit"
	"github.com/ravenway/ravenway/internal/coordination/registry"
)

var (
	limitsBegan      = metrics.GetOrCreateCounter("ravenway_instance_limits_begun_total")
	limitsEnded      = metrics.GetOrCreateCounter("ravenway_instance_limits_ended_total")
	limitsUnreadable = metrics.GetOrCreateCounter("ravenway_instance_limits_unreadable_total")
)

// limitKeeper is what this entry node knows of the limits that instances name.
type limitKeeper struct {
	node   *Node
	limits *ratelimit.Limits
}

func newLimitKeeper(node *Node) *limitKeeper {
	return &limitKeeper{node: node, limits: ratelimit.New()}
}

// Written implements forward.RateLimits.
func (k *limitKeeper) Written(instance registry.Instance) { k.limits.Written(instance.Life()) }

// Learn implements forward.RateLimits.
func (k *limitKeeper) Learn(instance registry.Instance, said ratelimit.Said, writtenAt time.Time) {
	written := writtenAt.Sub(k.node.started)
	if writtenAt.IsZero() {
		written = 0
	}
	change := k.limits.Learn(k.node.now(), instance.Life(), said, written)
	event := "instance_limit"
	switch change.Kind {
	case ratelimit.Unchanged:
		return
	case ratelimit.Began:
		limitsBegan.Inc()
	case ratelimit.Ended:
		limitsEnded.Inc()
	case ratelimit.Unreadable:
		limitsUnreadable.Inc()
		event = "instance_limit_unreadable"
	case ratelimit.Changed:
	}
	k.node.log.Info().Str("event", event).Stringer("life", change.Life).Stringer("change", change.Kind).
		Float64("per_second", change.PerSecond).Float64("before", change.Before).AnErr("error", change.Fault).Send()
}

// summarize writes what this node has sent to instances with limits since the last call.
func (k *limitKeeper) summarize() {
	for _, use := range k.limits.TakeUse() {
		k.node.log.Info().Str("event", "instance_limit_use").Stringer("life", use.Life).Float64("per_second", use.PerSecond).
			Int("written", use.Written).Send()
	}
}
