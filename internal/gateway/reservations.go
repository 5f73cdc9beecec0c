package gateway

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	prompt "github.com/ravenway/ravenway/internal/coordination/reservation"
	"github.com/ravenway/ravenway/internal/forward"
	"github.com/ravenway/ravenway/internal/protocol/peer"
)

const (
	// coordinatorPause is how long a coordinator that did not respond in time is not asked again.
	coordinatorPause = time.Second
	// reservationLinesPerSecond limits the log lines on messages that are not valid. Omitted lines
	// are counted.
	reservationLinesPerSecond = 10
)

var (
	promptsGranted       = metrics.GetOrCreateCounter(`ravenway_prompt_reservations_total{result="granted"}`)
	promptsRefused       = metrics.GetOrCreateCounter(`ravenway_prompt_reservations_total{result="refused"}`)
	promptsUnanswered    = metrics.GetOrCreateCounter(`ravenway_prompt_reservations_total{result="no_answer"}`)
	promptsUncoordinated = metrics.GetOrCreateCounter(`ravenway_prompt_reservations_total{result="no_coordinator"}`)
	promptsPaused        = metrics.GetOrCreateCounter(`ravenway_prompt_reservations_total{result="coordinator_silent"}`)
	promptMessagesBad    = metrics.GetOrCreateCounter("ravenway_prompt_messages_invalid_total")
	promptSeconds        = metrics.GetOrCreateHistogram("ravenway_prompt_reservation_wait_seconds")
	promptsHeld          = metrics.GetOrCreateGauge("ravenway_prompt_reservations_held", nil)
)

// promptCoordinator is this entry node's part in the reservation of prompts. It keeps the ledger of
// the instances that this node coordinates, and requests reservations of the coordinators of
// others. The coordinator of an instance is the node that issues the permits for it.
type promptCoordinator struct {
	node   *Node
	ledger *prompt.Ledger
	// isEnabled reports whether this node reserves its own prompts.
	isEnabled atomic.Bool
	// lastNumber is the number of the last reservation of this node. It starts at random, so that a
	// restarted node does not reuse the numbers of its predecessor.
	lastNumber atomic.Uint64
	prunedAt   time.Duration
	lines      *forward.LineBudget

	mutex sync.Mutex
	// silentUntil is until when a coordinator that did not respond is not asked, by address.
	silentUntil map[string]time.Duration
}

func newPromptCoordinator(node *Node) *promptCoordinator {
	created := &promptCoordinator{
		node: node, ledger: prompt.NewLedger(), lines: forward.NewLineBudget(reservationLinesPerSecond), silentUntil: map[string]time.Duration{},
	}
	created.lastNumber.Store(newRandom().Uint64())
	return created
}

// tick updates whether prompts are reserved, and prunes the ledger. The loads duty calls it.
func (p *promptCoordinator) tick() {
	now, fleet := p.node.now(), p.node.settings.Load().Fleet
	others := len(p.node.fleet.view.Load().neighbours.nodes)
	p.isEnabled.Store(fleet.PromptReservations && others >= fleet.PromptReservationsFromEntries)
	if now-p.prunedAt >= pruneInterval {
		p.prunedAt = now
		p.ledger.Prune(now)
		p.forgetSilence(now)
	}
	promptsHeld.Set(float64(p.ledger.Count()))
}

// Reserve implements forward.PromptReservations.
func (p *promptCoordinator) Reserve(ctx context.Context, needs forward.PromptNeeds) forward.PromptReservation {
	if !p.isEnabled.Load() {
		return forward.PromptReservation{Result: forward.PromptNotAsked}
	}
	now, incarnation := p.node.now(), needs.Instance.Incarnation()
	coordinator := p.coordinatorOf(now, needs)
	if coordinator == "" {
		return forward.PromptReservation{Result: forward.PromptNotAsked}
	}
	request := prompt.Request{
		Incarnation: incarnation, Number: p.lastNumber.Add(1), Tokens: min(needs.Tokens, prompt.MaximumTokens),
		MaximumAhead: needs.MaximumAhead, LeaseMS: uint64(needs.Lease.Milliseconds()),
	}
	reserved := forward.PromptReservation{Coordinator: coordinator, Incarnation: incarnation, Number: request.Number}
	response, err := p.request(ctx, coordinator, request, needs.MaximumWait)
	promptSeconds.Update((p.node.now() - now).Seconds())
	if err != nil {
		p.recordSilence(ctx, coordinator)
		reserved.Result = forward.PromptNoAnswer
		return reserved
	}
	reserved.Ahead, reserved.Prompts, reserved.Backlog = response.Ahead, response.Prompts, response.Backlog(request)
	if !response.IsGranted {
		promptsRefused.Inc()
		reserved.Result = forward.PromptRefused
		return reserved
	}
	promptsGranted.Inc()
	reserved.Result = forward.PromptGranted
	return reserved
}

// coordinatorOf returns the address of an instance's coordinator, or "" if none can be asked now.
func (p *promptCoordinator) coordinatorOf(now time.Duration, needs forward.PromptNeeds) string {
	coordinator := p.node.limits.limits.Issuer(now, needs.Instance.ID, needs.Instance.Zone)
	switch {
	case coordinator == p.node.address:
	case coordinator == "" || p.node.protocols.versionOf(coordinator) < peer.ProtocolReservations:
		promptsUncoordinated.Inc()
		return ""
	case p.isSilent(now, coordinator):
		promptsPaused.Inc()
		return ""
	}
	return coordinator
}

func (p *promptCoordinator) request(ctx context.Context, coordinator string, request prompt.Request, maximumWait time.Duration) (prompt.Response, error) {
	if coordinator == p.node.address {
		return p.ledger.Reserve(p.node.now(), coordinator, request), nil
	}
	ctx, cancel := context.WithTimeout(ctx, maximumWait)
	defer cancel()
	return peer.Invoke[prompt.Response](ctx, p.node.calls, coordinator, peer.MethodReserve, request)
}

// Release implements forward.PromptReservations.
func (p *promptCoordinator) Release(reserved forward.PromptReservation) {
	release := prompt.Release{Incarnation: reserved.Incarnation, Number: reserved.Number}
	if reserved.Coordinator == p.node.address {
		p.ledger.Release(p.node.now(), reserved.Coordinator, release)
		return
	}
	if p.node.protocols.versionOf(reserved.Coordinator) >= peer.ProtocolReservations {
		p.node.send(reserved.Coordinator, peer.KindRelease, &release)
	}
}

// handleReserve decides on another node's request for a reservation.
func (p *promptCoordinator) handleReserve(from string, call peer.Call) (any, error) {
	response, err := peer.Execute(call, func(request prompt.Request) (any, error) {
		if err := request.Check(); err != nil {
			return nil, err
		}
		return p.ledger.Reserve(p.node.now(), from, request), nil
	})
	if err != nil {
		p.recordInvalid(from, err)
	}
	return response, err
}

// handleRelease ends a reservation of another node.
func (p *promptCoordinator) handleRelease(from string, envelope peer.Envelope) error {
	release, err := peer.DecodeBody[prompt.Release](envelope)
	if err == nil {
		err = release.Check()
	}
	if err != nil {
		p.recordInvalid(from, fmt.Errorf("release: %w", err))
		return nil
	}
	p.ledger.Release(p.node.now(), from, release)
	return nil
}

// recordInvalid counts and logs a message that is not valid. It has no effect.
func (p *promptCoordinator) recordInvalid(from string, err error) {
	promptMessagesBad.Inc()
	if p.lines.Take() {
		p.node.log.Warn().Str("event", "prompt_message_refused").Str("peer", from).Err(err).Send()
	}
}

// isSilent reports whether a coordinator did not respond a short while ago.
func (p *promptCoordinator) isSilent(now time.Duration, coordinator string) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return now < p.silentUntil[coordinator]
}

// recordSilence counts and records that a coordinator did not respond in time, unless the request itself ended
// before.
func (p *promptCoordinator) recordSilence(ctx context.Context, coordinator string) {
	if ctx.Err() != nil {
		return
	}
	promptsUnanswered.Inc()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.silentUntil[coordinator] = p.node.now() + coordinatorPause
}

func (p *promptCoordinator) forgetSilence(now time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for coordinator, until := range p.silentUntil {
		if now >= until {
			delete(p.silentUntil, coordinator)
		}
	}
}

// summarize logs how many lines were omitted since the last call.
func (p *promptCoordinator) summarize() {
	if omitted := p.lines.TakeOmitted(); omitted > 0 {
		p.node.log.Info().Str("event", "prompt_messages").Int("lines_left_out", omitted).Send()
	}
}
