package node

import (
	"context"
	"errors"
	"net/http"

	"github.com/ravenway/ravenway/internal/coordination/claims"
	"github.com/ravenway/ravenway/internal/coordination/routing"
	"github.com/ravenway/ravenway/internal/pause"
	"github.com/ravenway/ravenway/internal/protocol/caller"
	"github.com/ravenway/ravenway/internal/protocol/engine"
)

// settle writes the result and the tokens used to this run's claim, then releases the reservation.
// It runs in the background, so that the caller need not wait for it.
func (r *billedRun) settle(result claims.Result, used uint64) {
	n := r.node
	n.background.start(func() {
		change := func(current *claims.Claim) *claims.Claim {
			if !r.owns(current) || current.State == claims.Settled {
				return nil
			}
			current.State, current.Result, current.Used = claims.Settled, result, used
			return current
		}
		claim, err := r.changeUntilDone(change)
		if err == nil && r.owns(claim) && n.needsMerge(r.scope, r.completion.key, claim) {
			claim, err = r.mergeUntilDone(claim)
		}
		r.release(claim, err)
	})
}

// mergeUntilDone retries until the home zone of the key decides whether the tokens used by this run
// are charged. It returns nil if they are not. Meanwhile, only these tokens stay reserved.
func (r *billedRun) mergeUntilDone(claim *claims.Claim) (*claims.Claim, error) {
	r.node.escrow.shrink(r.held, claim.Used)
	for {
		charged, err := r.node.mergeWithHome(r.node.runContext, r.completion.key, claim)
		switch {
		case err == nil && charged:
			return claim, nil
		case err == nil:
			return nil, nil
		}
		if !pause.For(r.node.runContext, settleRetryDelay) {
			return nil, err
		}
	}
}

// settleNotRun settles the claim of a request that was not run. It is also called when the claim was
// not written, or when it is unknown whether it was.
func (r *billedRun) settleNotRun() { r.settle(claims.NotRun, 0) }

// owns reports whether a claim is paid from this run's reservation.
func (r *billedRun) owns(claim *claims.Claim) bool {
	return claim != nil && claim.Owner == r.held.owner && claim.Budget == r.held.reservation.Budget &&
		claim.Sequence == r.held.reservation.Sequence
}

// changeUntilDone retries a change while the acceptors are unreachable. The tokens stay reserved
// until the settlement is written.
func (r *billedRun) changeUntilDone(change claims.Change) (*claims.Claim, error) {
	for {
		outcome, err := r.node.claims.change(r.node.runContext, r.scope, r.completion.key, change)
		if !errors.Is(err, claims.ErrUnreachable) || !pause.For(r.node.runContext, settleRetryDelay) {
			return outcome.Claim, err
		}
	}
}

// release settles the reservation with the number of used tokens in the settled claim, which frees
// the remainder.
// After ErrFenced it does nothing: the leader that fenced the incarnation settles its reservations.
func (r *billedRun) release(claim *claims.Claim, err error) {
	if errors.Is(err, claims.ErrFenced) || r.node.runContext.Err() != nil {
		return
	}
	var used uint64
	if r.owns(claim) {
		used = claim.Used
	}
	r.node.log.Info().Str("event", "settled").Str("request", r.completion.id).Stringer("key", r.completion.key).Str("tenant", r.completion.tenant.GetName()).
		Str("budget", r.held.reservation.Budget).Uint64("tokens", used).AnErr("error", err).Send()
	countSettled(r.completion.tenant.GetName(), used)
	r.node.escrow.settle(r.held, used)
}

// settleLater determines the outcome of a request in the background and settles it.
func (r *billedRun) settleLater(backend, requestID string) {
	r.node.background.start(func() {
		result, used := r.node.findOutcome(r.node.runContext, backend, requestID, r.held.reservation.Amount)
		if result != 0 {
			r.settle(result, used)
		}
	})
}

// findOutcome polls an engine until it reports the outcome of a request, and returns the result and
// the tokens used; both are 0 if the context ends first. A back end that was removed can't report:
// the whole reservation is charged then, since the request may have run to its limit.
func (n *Node) findOutcome(ctx context.Context, backend, requestID string, reservedTokens uint64) (claims.Result, uint64) {
	for {
		target, found := n.backends.backend(backend)
		if !found {
			n.log.Warn().Str("event", "outcome_unknown").Str("backend", backend).Str("engine_request", requestID).Send()
			return claims.OutcomeUnknown, reservedTokens
		}
		pollCtx, cancel := context.WithTimeout(ctx, pollTimeout)
		status, err := n.engines.Status(pollCtx, target.Address, requestID)
		cancel()
		switch {
		case errors.Is(err, engine.ErrUnknownRequest):
			return claims.NotRun, 0
		case err == nil && status.State == engine.StateFinished:
			return claims.Completed, status.Usage.Total()
		case err == nil && status.State == engine.StateCancelled:
			return claims.Cancelled, status.Usage.Total()
		}
		if !pause.For(ctx, settleRetryDelay) {
			return 0, 0
		}
	}
}

// joinExisting answers a request whose key is already claimed: the caller gets the same response
// and is not billed again.
func (r *billedRun) joinExisting(ctx context.Context, claim *claims.Claim) *refusal {
	n := r.node
	if claim.Fingerprint != r.completion.fingerprint {
		r.node.escrow.settle(r.held, 0)
		return refuseNotRun(http.StatusUnprocessableEntity, caller.CodeKeyReused, 0, "%s was used for another request", caller.HeaderIdempotencyKey)
	}
	n.decisions.add(decision{RequestID: r.completion.id, Tenant: r.completion.tenant.GetName(), Service: r.completion.service.GetName(), Kind: "join",
		Backend: claim.Backend, Detail: "claimed by " + claim.Owner.String() + ", " + claim.State.String()})
	for {
		refused, retry := r.join(ctx, claim)
		if !retry {
			return refused
		}
		outcome, err := n.claims.read(ctx, r.scope, r.completion.key)
		if err != nil {
			n.escrow.settle(r.held, 0)
			return r.refuseClaim(err)
		}
		if outcome.Claim == nil || outcome.Claim.Result == claims.NotRun {
			// The claimed request was not run, so this one runs it.
			return r.attempt(ctx)
		}
		claim = outcome.Claim
	}
}

// join resumes the stream of the claimed request from its start. retry indicates that joinExisting
// should read the claim again and join again.
func (r *billedRun) join(ctx context.Context, claim *claims.Claim) (refused *refusal, retry bool) {
	n := r.node
	target, found := n.backends.backend(claim.Backend)
	if !found {
		n.escrow.settle(r.held, 0)
		return outcomeUnknown("its back end %q was removed", claim.Backend), false
	}
	streamCtx := context.WithoutCancel(ctx)
	stream, err := n.resume(streamCtx, target.Address, claim.RequestID, 0)
	if errors.Is(err, engine.ErrUnknownRequest) {
		return r.joinUnknown(ctx, claim, target)
	}
	if err != nil {
		if ctx.Err() != nil || !pause.For(ctx, joinDelay) {
			n.escrow.settle(r.held, 0)
			return outcomeUnknown("its back end %q does not answer", claim.Backend), false
		}
		return nil, true
	}
	n.escrow.settle(r.held, 0)
	r.writer.setBackendRequestID(claim.RequestID)
	final, err := r.relayEvents(streamCtx, target.Address, claim.RequestID, stream)
	switch {
	case errors.Is(err, errCallerGone):
		return nil, false
	case err != nil:
		return outcomeUnknown("its stream broke: %v", err), false
	}
	r.settleForOwner(claim, final)
	return nil, false
}

func outcomeUnknown(format string, arguments ...any) *refusal {
	cause := refuseNotRun(http.StatusConflict, caller.CodeOutcomeUnknown, retryLong, "the request was offered to a back end before; "+format, arguments...)
	cause.notRun = false
	return cause
}

// joinUnknown handles a claimed request that its engine does not know. The engine may have finished
// and discarded it, its owner may not have reached the engine yet, or its owner crashed before
// that.
func (r *billedRun) joinUnknown(ctx context.Context, claim *claims.Claim, target routing.Backend) (*refusal, bool) {
	n := r.node
	if claim.State == claims.Settled {
		n.escrow.settle(r.held, 0)
		return &refusal{status: http.StatusConflict, code: caller.CodeAlreadyDone, detail: "the request was done and billed; its answer is no longer kept"}, false
	}
	status, age, found := n.fleet.lastStatus(claim.Owner.Node)
	alive := claim.Owner.Node == n.name || (found && age < heartbeatTimeout && status.OwnerIncarnation <= claim.Owner.Incarnation)
	if alive {
		if !pause.For(ctx, joinDelay) {
			n.escrow.settle(r.held, 0)
			return &refusal{status: http.StatusConflict, code: caller.CodeInProgress, retryAfter: retrySoon, detail: "the request is in progress through another node"}, false
		}
		return nil, true
	}
	if claim.NotRepeatable {
		n.escrow.settle(r.held, 0)
		return outcomeUnknown("it may not be repeated"), false
	}
	return r.takeOver(ctx, claim, target)
}

// takeOver runs the request of a crashed owner under the same request id at the same engine, so
// that even a late request of the old owner joins this run there.
func (r *billedRun) takeOver(ctx context.Context, claim *claims.Claim, target routing.Backend) (*refusal, bool) {
	n := r.node
	ownClaim := *claim
	ownClaim.Owner, ownClaim.Sequence, ownClaim.Reserved = r.held.owner, r.held.reservation.Sequence, r.held.reservation.Amount
	ownClaim.Budget = r.held.reservation.Budget
	outcome, err := n.claims.change(ctx, r.scope, r.completion.key, func(current *claims.Claim) *claims.Claim {
		if current == nil || *current != *claim {
			return nil
		}
		return &ownClaim
	})
	if err != nil {
		r.settleNotRun()
		return r.refuseClaim(err), false
	}
	if !outcome.Changed {
		return nil, true
	}
	n.decisions.add(decision{RequestID: r.completion.id, Tenant: r.completion.tenant.GetName(), Service: r.completion.service.GetName(), Kind: "take over",
		Backend: claim.Backend, Detail: "owner " + claim.Owner.String() + " is gone and the engine does not know the request"})
	done, refused := r.generate(ctx, placementResult{backend: target}, &ownClaim)
	if !done {
		r.tried = append(r.tried, target.Name)
		return r.attempt(ctx), false
	}
	return refused, false
}

// settleForOwner settles a claim whose owner may have crashed. An owner that is alive settles it
// with the same number of tokens.
func (r *billedRun) settleForOwner(claim *claims.Claim, final engine.Event) {
	if claim.State == claims.Settled {
		return
	}
	n := r.node
	n.background.start(func() {
		change := func(current *claims.Claim) *claims.Claim {
			if current == nil || current.State == claims.Settled || current.RequestID != claim.RequestID {
				return nil
			}
			current.State, current.Result, current.Used = claims.Settled, claims.Completed, final.Usage.Total()
			return current
		}
		if _, err := n.claims.change(n.runContext, r.scope, r.completion.key, change); err != nil {
			n.log.Info().Str("event", "settle_left_to_owner").Str("request", r.completion.id).Err(err).Send()
		}
	})
}
