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
	// issuerTimeout is how long an issuer's response is awaited beyond the request's own maximum
	// wait: a round trip takes some milliseconds within a region, and up to 150 between regions.
	issuerTimeout = 200 * time.Millisecond
	// limitLinesPerSecond limits the log lines on rate limits: hundreds of instances may name one
	// at the same moment. Omitted lines are counted.
	limitLinesPerSecond = 10
)

var (
	limitsBegan       = metrics.GetOrCreateCounter("ravenway_instance_limits_begun_total")
	limitsEnded       = metrics.GetOrCreateCounter("ravenway_instance_limits_ended_total")
	limitsUnreadable  = metrics.GetOrCreateCounter("ravenway_instance_limits_unreadable_total")
	permitsUsed       = metrics.GetOrCreateCounter(`ravenway_permits_total{result="granted"}`)
	permitsDenied     = metrics.GetOrCreateCounter(`ravenway_permits_total{result="denied"}`)
	permitsUnanswered = metrics.GetOrCreateCounter(`ravenway_permits_total{result="no_holder"}`)
	permitsStale      = metrics.GetOrCreateCounter(`ravenway_permits_total{result="stale"}`)
	permitsIssued     = metrics.GetOrCreateCounter("ravenway_permits_given_total")
	limitsActive      = metrics.GetOrCreateGauge("ravenway_instance_limits_in_force", nil)
	permitSeconds     = metrics.GetOrCreateHistogram("ravenway_permit_wait_seconds")
)

// limitEnforcer is this entry node's part in enforcing the rate limits that instances name in their
// responses. A request to such an instance needs a permit of its issuer, the entry node that issues
// the instance's permits.
type limitEnforcer struct {
	node   *Node
	limits *ratelimit.Limits
	// generation is the generation of the live entry nodes that the limits were last given.
	generation uint64
	prunedAt   time.Duration
	lines      *forward.LineBudget
}

// pruneInterval is the time between checks for limits and pauses of ended incarnations.
const pruneInterval = time.Second

func newLimitEnforcer(node *Node) *limitEnforcer {
	return &limitEnforcer{node: node, limits: ratelimit.New(node.address), lines: forward.NewLineBudget(limitLinesPerSecond)}
}

// tick passes the live entry nodes to the limits and prunes them. The loads duty calls it.
func (e *limitEnforcer) tick() {
	now, live := e.node.now(), e.node.fleet.view.Load().live
	e.updateNodes(now, live)
	e.limits.SetReliable(now, live.IncludesSelf && !e.node.isStopping())
	if now-e.prunedAt >= pruneInterval {
		e.limits.Prune(now)
		e.prunedAt = now
	}
	limitsActive.Set(float64(e.limits.Count()))
}

// updateNodes passes the entry nodes that issue permits to the limits, this one included.
func (e *limitEnforcer) updateNodes(now time.Duration, live roster.LiveEntries) {
	if live.Generation == e.generation {
		return
	}
	e.generation = live.Generation
	nodes := []ratelimit.Node{{Address: e.node.address, Zone: e.node.settings.Load().Node.Zone}}
	for _, entry := range live.Nodes {
		if entry.Address != e.node.address && e.node.protocols.versionOf(entry.Address) >= peer.ProtocolPermits {
			nodes = append(nodes, ratelimit.Node{Address: entry.Address, Zone: entry.Zone})
		}
	}
	e.limits.SetNodes(now, nodes)
}

// Learn implements forward.RateLimits.
func (e *limitEnforcer) Learn(instance registry.Instance, signal ratelimit.Signal, writtenAt time.Time) {
	e.record("answer", e.limits.Learn(e.node.now(), instance.Incarnation(), signal, e.node.monotonicTime(writtenAt)))
}

// handleUpdates accepts other nodes' updates on limits.
func (e *limitEnforcer) handleUpdates(updates []ratelimit.Update) {
	e.record("peer", e.limits.Receive(e.node.now(), updates)...)
}

// record counts and logs each change, with the source it was learnt from.
func (e *limitEnforcer) record(how string, changes ...ratelimit.Change) {
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
		if !e.lines.Take() {
			continue
		}
		e.node.log.Info().Str("event", event).Stringer("life", change.Incarnation).Stringer("change", change.Kind).
			Float64("per_second", change.PerSecond).Float64("before", change.Before).Int64("age_ms", change.Age.Milliseconds()).
			Str("how", how).AnErr("error", change.Fault).Send()
	}
}

// Permit implements forward.RateLimits.
func (e *limitEnforcer) Permit(ctx context.Context, instance registry.Instance, needs ratelimit.PermitNeeds) error {
	if !e.limits.Any() {
		return nil
	}
	incarnation, startedAt := instance.Incarnation(), e.node.now()
	permitRequest, issuer, isLimited := e.limits.RequestPermit(startedAt, incarnation, instance.Zone, needs)
	if !isLimited {
		return nil
	}
	response, err := e.requestPermit(ctx, issuer, permitRequest)
	now := e.node.now()
	if err != nil {
		permitsUnanswered.Inc()
		e.limits.RecordNoResponse(now, incarnation)
		return fmt.Errorf("%w: the holder %q of %s gave no answer: %w", forward.ErrNoPermit, issuer, incarnation, err)
	}
	e.record("holder", e.limits.RecordResponse(now, incarnation, response)...)
	if !response.IsGranted {
		if _, isStillLimited := e.limits.Headroom(now, incarnation); !isStillLimited {
			return nil
		}
		permitsDenied.Inc()
		return fmt.Errorf("%w: the holder %s of %s has one in %d ms", forward.ErrNoPermit, issuer, incarnation, response.FreeMS)
	}
	if !pause.For(ctx, time.Duration(response.DelayMS)*time.Millisecond) {
		return context.Cause(ctx)
	}
	if e.node.now()-startedAt > needs.MaximumWait()+ratelimit.PermitLifetime {
		permitsStale.Inc()
		return fmt.Errorf("%w: the permit for %s arrived too late", forward.ErrNoPermit, incarnation)
	}
	permitsUsed.Inc()
	permitSeconds.Update((e.node.now() - startedAt).Seconds())
	return nil
}

var errNoIssuer = errors.New("gateway: no node issues permits for the instance")

// requestPermit requests a permit from the issuer.
func (e *limitEnforcer) requestPermit(ctx context.Context, issuer string, permitRequest ratelimit.PermitRequest) (ratelimit.PermitResponse, error) {
	switch issuer {
	case "":
		return ratelimit.PermitResponse{}, errNoIssuer
	case e.node.address:
		return e.grant(issuer, permitRequest), nil
	}
	ctx, cancel := context.WithTimeout(ctx, permitRequest.MaximumWait()+issuerTimeout)
	defer cancel()
	return peer.Invoke[ratelimit.PermitResponse](ctx, e.node.calls, issuer, peer.MethodPermit, permitRequest)
}

// grant responds to a node's request for a permit.
func (e *limitEnforcer) grant(from string, permitRequest ratelimit.PermitRequest) ratelimit.PermitResponse {
	response := e.limits.Grant(e.node.now(), from, permitRequest)
	if response.IsGranted {
		permitsIssued.Inc()
	}
	return response
}

// summarize logs how the limits were used since the last call, and how many lines on limits were
// omitted.
func (e *limitEnforcer) summarize() {
	now := e.node.now()
	for _, use := range e.limits.TakeUse(now) {
		if e.lines.Take() {
			e.node.log.Info().Str("event", "instance_limit_use").Stringer("life", use.Incarnation).Float64("per_second", use.PerSecond).
				Int("granted", use.Granted).Int("denied", use.Denied).Int64("free_in_ms", use.Wait.Milliseconds()).Send()
		}
	}
	if omitted := e.lines.TakeOmitted(); omitted > 0 {
		e.node.log.Info().Str("event", "instance_limits").Int("lines_left_out", omitted).Int("in_force", len(e.limits.List(now))).Send()
	}
}
