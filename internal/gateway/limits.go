package gateway

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/ravenway/ravenway/internal/coordination/ratelimit"
	"github.com/ravenway/ravenway/internal/coordination/registry"
	"github.com/ravenway/ravenway/internal/coordination/roster"
	"github.com/ravenway/ravenway/internal/forward"
	"github.com/ravenway/ravenway/internal/pause"
	"github.com/ravenway/ravenway/internal/protocol/peer"
)

const (
	// holderPatience is how long a holder's answer is waited for beyond the request's own
	// patience: a round trip within a region takes some milliseconds, between regions up
	// to 150.
	holderPatience = 200 * time.Millisecond
	// limitLinesPerSecond bounds the lines on limits: hundreds of instances may name one at
	// the same moment. What is left out is counted.
	limitLinesPerSecond = 10
)

var (
	limitsBegan      = metrics.GetOrCreateCounter("ravenway_instance_limits_begun_total")
	limitsEnded      = metrics.GetOrCreateCounter("ravenway_instance_limits_ended_total")
	limitsUnreadable = metrics.GetOrCreateCounter("ravenway_instance_limits_unreadable_total")
	permitsUsed      = metrics.GetOrCreateCounter(`ravenway_permits_total{result="granted"}`)
	permitsDenied    = metrics.GetOrCreateCounter(`ravenway_permits_total{result="denied"}`)
	permitsSilent    = metrics.GetOrCreateCounter(`ravenway_permits_total{result="no_holder"}`)
	permitsStale     = metrics.GetOrCreateCounter(`ravenway_permits_total{result="stale"}`)
	permitsGiven     = metrics.GetOrCreateCounter("ravenway_permits_given_total")
	limitsInForce    = metrics.GetOrCreateGauge("ravenway_instance_limits_in_force", nil)
	permitSeconds    = metrics.GetOrCreateHistogram("ravenway_permit_wait_seconds")
)

// limitKeeper is this entry node's part in keeping the limits that instances name.
type limitKeeper struct {
	node   *Node
	limits *ratelimit.Limits
	// generation is that of the live entry nodes that the limits know.
	generation uint64
	prunedAt   time.Duration
	lines      *forward.LineBudget
}

// pruneInterval is the time between looks for limits and pauses of lives that are over.
const pruneInterval = time.Second

func newLimitKeeper(node *Node) *limitKeeper {
	return &limitKeeper{node: node, limits: ratelimit.New(node.address), lines: forward.NewLineBudget(limitLinesPerSecond)}
}

// look tells the limits who is live. The loads' duty calls it.
func (k *limitKeeper) look() {
	now, live := k.node.now(), k.node.fleet.view.Load().live
	k.takeNodes(now, live)
	k.limits.SetSure(now, live.NamesSelf && !k.node.isStopping())
	if now-k.prunedAt >= pruneInterval {
		k.limits.Prune(now)
		k.prunedAt = now
	}
	limitsInForce.Set(float64(k.limits.Count()))
}

// takeNodes tells the limits which entry nodes give out permits, this one included.
func (k *limitKeeper) takeNodes(now time.Duration, live roster.LiveEntries) {
	if live.Generation == k.generation {
		return
	}
	k.generation = live.Generation
	nodes := []ratelimit.Node{{Address: k.node.address, Zone: k.node.settings.Load().Node.Zone}}
	for _, entry := range live.Nodes {
		if entry.Address != k.node.address && k.node.dialects.reader(entry.Address) >= peer.ProtocolPermits {
			nodes = append(nodes, ratelimit.Node{Address: entry.Address, Zone: entry.Zone})
		}
	}
	k.limits.SetNodes(now, nodes)
}

// Learn implements forward.RateLimits.
func (k *limitKeeper) Learn(instance registry.Instance, said ratelimit.Said, writtenAt time.Time) {
	k.note("answer", k.limits.Learn(k.node.now(), instance.Life(), said, k.node.at(writtenAt)))
}

// hear takes what other nodes tell of limits.
func (k *limitKeeper) hear(words []ratelimit.Word) {
	k.note("peer", k.limits.Hear(k.node.now(), words)...)
}

// note writes a line for each change, with how it was learnt.
func (k *limitKeeper) note(how string, changes ...ratelimit.Change) {
	for _, change := range changes {
		event := "instance_limit"
		switch change.Kind {
		case ratelimit.Unchanged:
			continue
		case ratelimit.Began:
			limitsBegan.Inc()
		case ratelimit.Ended:
			limitsEnded.Inc()
		case ratelimit.Unreadable:
			limitsUnreadable.Inc()
			event = "instance_limit_unreadable"
		case ratelimit.Changed:
		}
		if !k.lines.Take() {
			continue
		}
		k.node.log.Info().Str("event", event).Stringer("life", change.Life).Stringer("change", change.Kind).
			Float64("per_second", change.PerSecond).Float64("before", change.Before).Int64("age_ms", change.Age.Milliseconds()).
			Str("how", how).AnErr("error", change.Fault).Send()
	}
}

// Permit implements forward.RateLimits.
func (k *limitKeeper) Permit(ctx context.Context, instance registry.Instance, need ratelimit.Need) error {
	if !k.limits.Any() {
		return nil
	}
	life, began := instance.Life(), k.node.now()
	ask, holder, isLimited := k.limits.Ask(began, life, instance.Zone, need)
	if !isLimited {
		return nil
	}
	answer, err := k.ask(ctx, holder, ask)
	now := k.node.now()
	if err != nil {
		permitsSilent.Inc()
		k.limits.Unanswered(now, life)
		return fmt.Errorf("%w: the holder %q of %s gave no answer: %w", forward.ErrNoPermit, holder, life, err)
	}
	k.note("holder", k.limits.Answered(now, life, answer)...)
	if !answer.IsGranted {
		if _, isStill := k.limits.Room(now, life); !isStill {
			return nil
		}
		permitsDenied.Inc()
		return fmt.Errorf("%w: the holder %s of %s has one in %d ms", forward.ErrNoPermit, holder, life, answer.FreeMS)
	}
	if !pause.For(ctx, time.Duration(answer.DelayMS)*time.Millisecond) {
		return context.Cause(ctx)
	}
	if k.node.now()-began > need.Patience()+ratelimit.PermitLife {
		permitsStale.Inc()
		return fmt.Errorf("%w: that for %s came too late", forward.ErrNoPermit, life)
	}
	permitsUsed.Inc()
	permitSeconds.Update((k.node.now() - began).Seconds())
	return nil
}

var errNoHolder = errors.New("gateway: no node holds the limit")

// ask asks the holder for a permit.
func (k *limitKeeper) ask(ctx context.Context, holder string, ask ratelimit.Ask) (ratelimit.Answer, error) {
	switch holder {
	case "":
		return ratelimit.Answer{}, errNoHolder
	case k.node.address:
		return k.grant(holder, ask), nil
	}
	ctx, cancel := context.WithTimeout(ctx, ask.Patience()+holderPatience)
	defer cancel()
	return peer.Invoke[ratelimit.Answer](ctx, k.node.calls, holder, peer.MethodPermit, ask)
}

// grant answers a node that asks for a permit.
func (k *limitKeeper) grant(from string, ask ratelimit.Ask) ratelimit.Answer {
	answer := k.limits.Grant(k.node.now(), from, ask)
	if answer.IsGranted {
		permitsGiven.Inc()
	}
	return answer
}

// summarize writes what this node made of the limits since the last call, and how many
// lines on limits were left out.
func (k *limitKeeper) summarize() {
	now := k.node.now()
	for _, use := range k.limits.TakeUse(now) {
		if k.lines.Take() {
			k.node.log.Info().Str("event", "instance_limit_use").Stringer("life", use.Life).Float64("per_second", use.PerSecond).
				Int("granted", use.Granted).Int("denied", use.Denied).Int64("free_in_ms", use.Wait.Milliseconds()).Send()
		}
	}
	if leftOut := k.lines.TakeLeftOut(); leftOut > 0 {
		k.node.log.Info().Str("event", "instance_limits").Int("lines_left_out", leftOut).Int("in_force", len(k.limits.List(now))).Send()
	}
}
