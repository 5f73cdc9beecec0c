package gateway

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/ravenway/ravenway/internal/coordination/registry"
	"github.com/ravenway/ravenway/internal/coordination/slotlease"
	"github.com/ravenway/ravenway/internal/forward"
	"github.com/ravenway/ravenway/internal/protocol/peer"
)

const (
	// slotTimeout is how long an issuer's response is awaited: a round trip within a region takes some
	// milliseconds.
	slotTimeout = 100 * time.Millisecond
	// issuerFailurePause is how long an instance counts as full after its issuer has not responded and
	// this node's own share of its slots is in use.
	issuerFailurePause = 200 * time.Millisecond
	// slotLinesPerSecond limits the log lines on brittle services. Omitted lines are counted.
	slotLinesPerSecond = 10
)

var (
	slotsGranted    = metrics.GetOrCreateCounter(`ravenway_slots_total{result="granted"}`)
	slotsDenied     = metrics.GetOrCreateCounter(`ravenway_slots_total{result="denied"}`)
	slotsUnanswered = metrics.GetOrCreateCounter(`ravenway_slots_total{result="no_issuer"}`)
	slotsOwnShare   = metrics.GetOrCreateCounter(`ravenway_slots_total{result="own_share"}`)
	slotsRejected   = metrics.GetOrCreateCounter("ravenway_slots_rejected_total")
	slotsLeased     = metrics.GetOrCreateGauge("ravenway_slots_leased", nil)
	slotSeconds     = metrics.GetOrCreateHistogram("ravenway_slot_wait_seconds")
)

// slotManager is this entry node's part in bounding the requests in flight at brittle instances.
// The issuer of an instance's slots is the issuer of its permits.
type slotManager struct {
	node    *Node
	tracker *slotlease.Tracker
	ledger  *slotlease.Ledger
	// number is the number of this node's last lease.
	number   atomic.Uint64
	prunedAt time.Duration
	lines    *forward.LineBudget
}

func newSlotManager(node *Node) *slotManager {
	return &slotManager{node: node, tracker: slotlease.NewTracker(), ledger: slotlease.NewLedger(), lines: forward.NewLineBudget(slotLinesPerSecond)}
}

// tick drops what is out of date. The loads duty calls it.
func (s *slotManager) tick() {
	now := s.node.now()
	if now-s.prunedAt < pruneInterval {
		return
	}
	s.prunedAt = now
	s.ledger.Prune(now)
	slotsLeased.Set(float64(s.ledger.Count()))
	for _, service := range s.tracker.Prune(now) {
		s.log(service, slotlease.Ended, slotlease.Signal{}, "")
	}
}

// Learn implements forward.Slots.
func (s *slotManager) Learn(instance registry.Instance, signal slotlease.Signal) {
	if signal.Fault != nil && s.lines.Take() {
		s.node.log.Warn().Str("event", "brittle_unreadable").Str("service", instance.Service).Str("instance", instance.ID).Err(signal.Fault).Send()
	}
	if change := s.tracker.Learn(s.node.now(), instance.Service, signal); change != slotlease.Unchanged {
		s.log(instance.Service, change, signal, instance.ID)
	}
	if signal.IsBrittle && signal.IsRejected {
		// The request was sent before this node knew that the service is brittle.
		s.end(s.node.limits.limits.Issuer(s.node.now(), instance.ID, instance.Zone), slotlease.End{Incarnation: instance.Incarnation(), IsRejected: true})
	}
}

// end reports the end of a lease to the issuer.
func (s *slotManager) end(issuer string, end slotlease.End) {
	switch {
	case issuer == s.node.address:
		s.handleEnd(issuer, end)
	case issuer != "" && !s.isOlder(issuer):
		s.node.send(issuer, peer.KindSlotEnd, &end)
	}
}

func (s *slotManager) log(service string, change slotlease.ChangeKind, signal slotlease.Signal, instance string) {
	if s.lines.Take() {
		s.node.log.Warn().Str("event", "brittle").Str("service", service).Stringer("change", change).Int("tolerance", signal.Tolerance).
			Str("instance", instance).Int("lines_left_out", s.lines.TakeOmitted()).Send()
	}
}

// IsBrittle implements forward.Slots.
func (s *slotManager) IsBrittle(instance registry.Instance) bool {
	_, isBrittle := s.tracker.Tolerance(s.node.now(), instance.Service)
	return isBrittle
}

// Acquire implements forward.Slots.
func (s *slotManager) Acquire(ctx context.Context, instance registry.Instance, lease time.Duration) (forward.Slot, error) {
	now := s.node.now()
	tolerance, isBrittle := s.tracker.Tolerance(now, instance.Service)
	if !isBrittle {
		return nil, nil
	}
	request := slotlease.Request{
		Incarnation: instance.Incarnation(), Number: s.number.Add(1), Tolerance: tolerance, Slots: instance.Slots, LeaseMS: max(1, lease.Milliseconds()),
	}
	issuer := s.node.limits.limits.Issuer(now, instance.ID, instance.Zone)
	response, err := s.request(ctx, issuer, request)
	slotSeconds.Update((s.node.now() - now).Seconds())
	switch {
	case ctx.Err() != nil && err != nil:
		return nil, context.Cause(ctx)
	case err != nil:
		return s.useOwnShare(instance, request, err)
	case !response.IsGranted:
		slotsDenied.Inc()
		s.tracker.SetFull(s.node.now(), request.Incarnation, time.Duration(response.WaitMS)*time.Millisecond)
		return nil, fmt.Errorf("%w: the issuer %s has one of %s in %d ms", forward.ErrNoSlot, issuer, request.Incarnation, response.WaitMS)
	}
	slotsGranted.Inc()
	return &leasedSlot{manager: s, issuer: issuer, end: slotlease.End{Incarnation: request.Incarnation, Number: request.Number}}, nil
}

// request requests a slot from the issuer.
func (s *slotManager) request(ctx context.Context, issuer string, request slotlease.Request) (slotlease.Response, error) {
	switch {
	case issuer == s.node.address:
		return s.grant(issuer, request), nil
	case issuer == "" || s.isOlder(issuer):
		return slotlease.Response{}, errNoIssuer
	}
	ctx, cancel := context.WithTimeout(ctx, slotTimeout)
	defer cancel()
	return peer.Invoke[slotlease.Response](ctx, s.node.calls, issuer, peer.MethodAcquireSlot, request)
}

// isOlder reports whether a node is known to run an earlier build, which leases no slots.
func (s *slotManager) isOlder(node string) bool {
	version := s.node.protocols.versionOf(node)
	return version != peer.ProtocolStrict && version < peer.ProtocolSlots
}

// useOwnShare admits a request without the issuer while no more than this node's equal share of the
// instance's slots is in use.
func (s *slotManager) useOwnShare(instance registry.Instance, request slotlease.Request, failure error) (forward.Slot, error) {
	slotsUnanswered.Inc()
	share := instance.Slots / max(1, s.node.fleet.view.Load().entries)
	// The request itself is counted as in flight.
	if s.node.table.InFlight(request.Incarnation) <= share {
		slotsOwnShare.Inc()
		return &leasedSlot{manager: s, end: slotlease.End{Incarnation: request.Incarnation}}, nil
	}
	s.tracker.SetFull(s.node.now(), request.Incarnation, issuerFailurePause)
	return nil, fmt.Errorf("%w: the own share of %d slots is in use, and the issuer gave no answer: %w", forward.ErrNoSlot, share, failure)
}

// grant decides on a node's request for a slot.
func (s *slotManager) grant(from string, request slotlease.Request) slotlease.Response {
	// The request itself is counted as in flight at its node.
	inFlight := max(0, s.node.table.TotalInFlight(request.Incarnation)-1)
	return s.ledger.Acquire(s.node.now(), from, request, inFlight)
}

// handleAcquire decides on another node's request for a slot.
func (s *slotManager) handleAcquire(from string, call peer.Call) (any, error) {
	return peer.Execute(call, func(request slotlease.Request) (any, error) {
		if err := request.Check(); err != nil {
			return nil, err
		}
		return s.grant(from, request), nil
	})
}

// handleEnd ends another node's lease.
func (s *slotManager) handleEnd(from string, end slotlease.End) {
	if end.IsRejected {
		slotsRejected.Inc()
	}
	s.ledger.End(s.node.now(), from, end)
}

// leasedSlot is a slot that a request occupies. Without an issuer it is part of the node's own share.
type leasedSlot struct {
	manager *slotManager
	issuer  string
	end     slotlease.End
}

// Free implements forward.Slot.
func (l *leasedSlot) Free(isRejected bool) {
	l.end.IsRejected = isRejected
	if l.issuer == "" && isRejected {
		l.manager.tracker.SetFull(l.manager.node.now(), l.end.Incarnation, issuerFailurePause)
	}
	l.manager.end(l.issuer, l.end)
}
