package node

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/ravenway/ravenway/internal/coordination/claims"
	"github.com/ravenway/ravenway/internal/coordination/queueing"
	"github.com/ravenway/ravenway/internal/coordination/routing"
	"github.com/ravenway/ravenway/internal/pause"
	"github.com/ravenway/ravenway/internal/protocol/caller"
	"github.com/ravenway/ravenway/internal/protocol/engine"
)

const (
	// maximumAttempts is the maximum number of back ends tried for one request.
	maximumAttempts = 4
	// maximumResumeFailures is the maximum number of failures of one stream, resumeDelay the delay
	// after a failed attempt to resume it.
	maximumResumeFailures = 10
	resumeDelay           = 200 * time.Millisecond
	// settleRetryDelay is the delay before a settlement is retried.
	settleRetryDelay = time.Second
	// stallTimeout is the time without an event after which the connection of a stream is closed and
	// the stream resumed. It is needed because a network partition does not close connections.
	stallTimeout = 15 * time.Second
	// joinDelay is the delay between two reads of the claim of a request that is in progress through
	// another node.
	joinDelay = 200 * time.Millisecond
)

// billedRun is the processing of one billed request.
type billedRun struct {
	node       *Node
	completion *completionRequest
	// held is the reservation that pays for the request.
	held heldReservation
	// scope determines where the acceptors of the claim are (see claimScope).
	scope string
	// writer writes the events to the caller; callerGone is canceled when the caller disconnects.
	writer     *completionWriter
	callerGone context.Context
	// tried holds the back ends that did not run the request.
	tried []string
	// attempts counts the failed attempts except that of a takeover. It is part of the engine's
	// request id.
	attempts int
	// delivered is the number of tokens delivered to the caller.
	delivered uint64
}

// runCompletion serves a completion: it reserves tokens, claims the request, dispatches it, streams
// the response and settles the tokens used. ctx ends at the deadline for the first byte.
func (n *Node) runCompletion(ctx, callerGone context.Context, completion *completionRequest, responseWriter *completionWriter) *refusal {
	amount, refused := n.maximumTokens(ctx, completion)
	if refused != nil {
		return refused
	}
	held, refused := n.reserve(ctx, completion.callerRequest, amount)
	if refused != nil {
		return refused
	}
	run := &billedRun{node: n, completion: completion, held: held, scope: n.claimScope(completion.callerRequest), writer: responseWriter, callerGone: callerGone}
	return run.attempt(ctx)
}

// maximumTokens returns the maximum number of tokens that a request can use. A token has at least
// one byte, so the bytes of the prompt bound its tokens.
func (n *Node) maximumTokens(ctx context.Context, completion *completionRequest) (uint64, *refusal) {
	bound := uint64(len(completion.prompt)) + completion.maximumOutput
	if !completion.budget.GetExactCount() {
		return bound, nil
	}
	// The budget requires exact counts, so an engine counts the tokens of the prompt. If no engine
	// responds, the bound in bytes applies.
	for _, backend := range n.backends.engines() {
		if backend.Service != completion.service.GetName() {
			continue
		}
		if tokens, err := n.engines.Count(ctx, backend.Address, completion.prompt); err == nil {
			return tokens + completion.maximumOutput, nil
		}
	}
	return bound, nil
}

// attempt tries back ends until one runs the request, none is available, or maximumAttempts have
// refused it. Every exit settles the reservation.
func (r *billedRun) attempt(ctx context.Context) *refusal {
	for {
		placement, err := r.acquire(ctx)
		if err != nil {
			r.settleNotRun()
			return r.completion.refusePlacement(err)
		}
		done, refused := r.dispatch(ctx, placement)
		if done {
			return refused
		}
		r.tried = append(r.tried, placement.backend.Name)
		r.attempts++
		if r.attempts >= maximumAttempts {
			r.settleNotRun()
			return refuseNotRun(http.StatusServiceUnavailable, caller.CodeNoBackend, retrySoon, "%d back ends refused the request", r.attempts)
		}
	}
}

func (r *billedRun) acquire(ctx context.Context) (placementResult, error) {
	return r.node.place(ctx, r.completion.callerRequest, r.held.reservation.Amount, routing.Request{
		Blocks: engine.PrefixBlocks(r.completion.prompt), PromptTokens: r.held.reservation.Amount - r.completion.maximumOutput, Exclude: r.tried,
	})
}

// place waits for a back end for a request and records the decision.
func (n *Node) place(ctx context.Context, request *callerRequest, cost uint64, route routing.Request) (placementResult, error) {
	route.Service = request.service.GetName()
	placement, err := n.backends.acquire(ctx, placementRequest{
		requestID: request.id, tenant: request.tenant.GetName(), weight: request.tenant.GetWeight(), class: request.class, cost: cost, route: route,
	})
	record := decision{
		RequestID: request.id, Tenant: request.tenant.GetName(), Service: route.Service, Kind: "dispatch",
		Backend: placement.backend.Name, Candidates: placement.choice.Candidates, Wait: placement.wait,
	}
	if err != nil {
		record.Kind, record.Detail = "give up", err.Error()
	}
	n.decisions.add(record)
	return placement, err
}

// refusePlacement returns the refusal for a request that was assigned no back end.
func (request *callerRequest) refusePlacement(err error) *refusal {
	var paused *pausedError
	switch {
	case errors.As(err, &paused):
		return refuseNotRun(http.StatusServiceUnavailable, caller.CodeNoBackend, paused.wait, "service %q: %v", request.service.GetName(), paused)
	case errors.Is(err, queueing.ErrFull):
		return refuseNotRun(http.StatusTooManyRequests, caller.CodeQueueFull, retrySoon, "the queue of service %q is full", request.service.GetName())
	case errors.Is(err, errDeadlinePassed), errors.Is(err, context.DeadlineExceeded):
		return refuseNotRun(http.StatusServiceUnavailable, caller.CodeDeadline, retryLong, "no back end was free before the deadline")
	}
	return refuseNotRun(http.StatusServiceUnavailable, caller.CodeNoBackend, retrySoon, "%v", err)
}

// requestID returns the id under which an engine runs the request. It stays the same when another
// node takes the claim over, so that an engine runs the request only once.
func (r *billedRun) requestID() string {
	return fmt.Sprintf("%s-%d", r.completion.key, r.attempts)
}

// dispatch claims the request for a back end and runs it there. done is false if another back end
// should be tried.
func (r *billedRun) dispatch(ctx context.Context, placement placementResult) (done bool, refused *refusal) {
	n := r.node
	ownClaim := &claims.Claim{
		State: claims.Dispatched, Owner: r.held.owner, Budget: r.completion.budget.GetName(), Sequence: r.held.reservation.Sequence,
		Reserved: r.held.reservation.Amount, Backend: placement.backend.Name, RequestID: r.requestID(),
		Fingerprint: r.completion.fingerprint, HasCallerKey: r.completion.callerKey, NotRepeatable: r.completion.notRepeatable,
	}
	outcome, err := r.claim(ctx, ownClaim)
	if errors.Is(err, claims.ErrUnreachable) && r.fallBackToOwnZone() {
		outcome, err = n.claims.change(ctx, r.scope, r.completion.key, r.claimChange(ownClaim))
	}
	if err != nil {
		n.backends.release(placement.backend.Name, routing.Neutral)
		r.settleNotRun()
		return true, r.refuseClaim(err)
	}
	if !outcome.Changed {
		n.backends.release(placement.backend.Name, routing.Neutral)
		return true, r.joinExisting(ctx, outcome.Claim)
	}
	// The back end may have begun to leave since the placement; it must then receive nothing new.
	if usable, reason := n.backends.checkUsable(ctx, placement.backend.Name); !usable {
		n.backends.release(placement.backend.Name, routing.Neutral)
		n.decisions.add(decision{RequestID: r.completion.id, Tenant: r.completion.tenant.GetName(), Service: r.completion.service.GetName(),
			Kind: "place again", Backend: placement.backend.Name, Detail: reason})
		return false, nil
	}
	return r.generate(ctx, placement, ownClaim)
}

// claim writes the claim. The first claim of a generated key needs only one round of messages.
func (r *billedRun) claim(ctx context.Context, ownClaim *claims.Claim) (claims.Outcome, error) {
	if !r.completion.callerKey && r.attempts == 0 {
		return r.node.claims.changeGenerated(ctx, r.completion.key, r.claimChange(ownClaim))
	}
	return r.node.claims.change(ctx, r.scope, r.completion.key, r.claimChange(ownClaim))
}

// fallBackToOwnZone moves the claim of a request whose home zone is unreachable into this zone, and
// reports whether it did. It does not for requests that are not repeatable, nor for claims that are
// already in this zone.
func (r *billedRun) fallBackToOwnZone() bool {
	if r.completion.notRepeatable || r.scope == r.node.zone {
		return false
	}
	r.scope = r.node.zone
	r.node.log.Info().Str("event", "claim_fallback").Str("request", r.completion.id).Str("zone", r.scope).Send()
	return true
}

// claimChange returns the change that takes the claim if there is none, if the claimed request was
// not run, or if the claim is this run's own from an earlier attempt.
func (r *billedRun) claimChange(ownClaim *claims.Claim) claims.Change {
	return func(current *claims.Claim) *claims.Claim {
		free := current == nil || (current.State == claims.Settled && current.Result == claims.NotRun)
		own := current != nil && current.State == claims.Dispatched && current.Owner == ownClaim.Owner &&
			current.Sequence == ownClaim.Sequence && current.Budget == ownClaim.Budget
		if free || own {
			return ownClaim
		}
		return nil
	}
}

func (r *billedRun) refuseClaim(err error) *refusal {
	if errors.Is(err, claims.ErrForgotten) {
		return &refusal{status: http.StatusConflict, code: caller.CodeAlreadyDone, detail: "the request was done and billed long ago"}
	}
	return refuseNotRun(http.StatusServiceUnavailable, caller.CodeAcceptorsUnreachable, retryLong,
		"too few of the nodes that guard against double billing can be reached: %v", err)
}

// generate sends the request to the engine and streams the response. done is false if the request
// certainly did not run, so that another back end can be tried.
func (r *billedRun) generate(ctx context.Context, placement placementResult, ownClaim *claims.Claim) (done bool, refused *refusal) {
	n := r.node
	// The engine's work continues after the caller's deadline, which is for the first byte only.
	streamCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	request := engine.GenerateRequest{
		RequestID: ownClaim.RequestID, Model: r.completion.body.Model, Prompt: r.completion.prompt, MaxTokens: r.completion.maximumOutput,
		Priority: engine.Priority(queueing.Batch - r.completion.class), Tenant: r.completion.tenant.GetName(),
	}
	stream, err := openStream(streamCtx, stallTimeout, func(ctx context.Context) (*engine.Stream, error) {
		return n.engines.Generate(ctx, placement.backend.Address, request)
	})
	if err != nil {
		if r.certainlyNotRun(streamCtx, placement, ownClaim, err) {
			return false, nil
		}
		stream = nil
	}
	return true, r.relayAndSettle(streamCtx, placement, ownClaim, stream)
}

// certainlyNotRun reports whether a request that failed at an engine certainly did not run, so that
// another back end can be tried. If so, it releases the back end.
func (r *billedRun) certainlyNotRun(ctx context.Context, placement placementResult, ownClaim *claims.Claim, err error) bool {
	n := r.node
	var refused *engine.RefusedError
	if errors.As(err, &refused) {
		n.backends.recordPause(placement.backend.Name, refused.Status, refused.RetryAfter)
	}
	if refused != nil && refused.Body.NotRun {
		n.backends.release(placement.backend.Name, routing.Overloaded)
		if refused.Body.Code == "leaving" {
			n.backends.markLeaving(placement.backend.Name)
		}
		return true
	}
	var transportErr *engine.TransportError
	if errors.As(err, &transportErr) && !transportErr.Offered {
		n.backends.release(placement.backend.Name, routing.Failed)
		return true
	}
	// The request may have arrived, so the engine's own status decides.
	pollCtx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	if _, statusErr := n.engines.Status(pollCtx, placement.backend.Address, ownClaim.RequestID); errors.Is(statusErr, engine.ErrUnknownRequest) {
		n.backends.release(placement.backend.Name, routing.Failed)
		return true
	}
	return false
}

// relayAndSettle relays the stream to the caller until it ends, resumes it where it breaks, and
// settles the tokens used. A nil stream is resumed from its start.
func (r *billedRun) relayAndSettle(ctx context.Context, placement placementResult, ownClaim *claims.Claim, stream *engine.Stream) *refusal {
	r.writer.setBackendRequestID(ownClaim.RequestID)
	final, err := r.relayEvents(ctx, placement.backend.Address, ownClaim.RequestID, stream)
	switch {
	case err == nil:
		r.node.backends.release(placement.backend.Name, routing.Succeeded)
		r.settle(claims.Completed, final.Usage.Total())
		return nil
	case errors.Is(err, errCallerGone):
		r.node.backends.release(placement.backend.Name, routing.Neutral)
		r.handleCallerGone(placement, ownClaim)
		return nil
	}
	r.node.backends.release(placement.backend.Name, routing.Failed)
	r.settleLater(placement.backend.Name, ownClaim.RequestID)
	return &refusal{status: http.StatusBadGateway, code: caller.CodeOutcomeUnknown, retryAfter: retrySoon,
		detail: fmt.Sprintf("the back end was lost: %v; the same %s gets the answer once it is back", err, caller.HeaderIdempotencyKey)}
}

// errCallerGone indicates that the caller disconnected.
var errCallerGone = errors.New("the caller disconnected")

// relayEvents relays events to the caller until the final one, which it returns, and resumes the
// stream where it breaks.
func (r *billedRun) relayEvents(ctx context.Context, address, requestID string, stream *engine.Stream) (engine.Event, error) {
	failures := 0
	for {
		if stream == nil {
			resumed, err := r.node.resume(ctx, address, requestID, r.delivered)
			if err != nil {
				if failures++; failures > maximumResumeFailures || errors.Is(err, engine.ErrUnknownRequest) {
					return engine.Event{}, err
				}
				if !pause.For(r.callerGone, resumeDelay) {
					return engine.Event{}, errCallerGone
				}
				continue
			}
			stream = resumed
		}
		final, err := r.relayStream(stream)
		stream.Close()
		stream = nil
		if err == nil || errors.Is(err, errCallerGone) {
			return final, err
		}
		if failures++; failures > maximumResumeFailures {
			return engine.Event{}, err
		}
		r.node.log.Info().Str("event", "stream_resumed").Str("request", r.completion.id).Uint64("offset", r.delivered).Err(err).Send()
	}
}

// resume opens the stream of a request at an engine again, from an offset in tokens.
func (n *Node) resume(ctx context.Context, address, requestID string, offset uint64) (*engine.Stream, error) {
	return openStream(ctx, pollTimeout, func(ctx context.Context) (*engine.Stream, error) {
		return n.engines.Resume(ctx, address, requestID, offset)
	})
}

// openStream opens a stream and fails if no response begins within the given time. It needs a
// timeout of its own because a network partition does not close connections.
func openStream(ctx context.Context, maximumWait time.Duration, open func(context.Context) (*engine.Stream, error)) (*engine.Stream, error) {
	ctx, cancel := context.WithCancel(ctx)
	stalled := time.AfterFunc(maximumWait, cancel)
	stream, err := open(ctx)
	if !stalled.Stop() && err == nil {
		stream.Close()
		err = &engine.TransportError{Offered: true, Err: context.DeadlineExceeded}
	}
	if err != nil {
		cancel()
		return nil, err
	}
	stream.OnClose(cancel)
	return stream, nil
}

// relayStream relays the events of one stream until its final event or a failure.
func (r *billedRun) relayStream(stream *engine.Stream) (engine.Event, error) {
	stopWatching := context.AfterFunc(r.callerGone, stream.Close)
	defer stopWatching()
	stalled := time.AfterFunc(stallTimeout, stream.Close)
	defer stalled.Stop()
	for {
		event, err := stream.Next()
		stalled.Reset(stallTimeout)
		if r.callerGone.Err() != nil {
			return engine.Event{}, errCallerGone
		}
		if err != nil {
			return engine.Event{}, err
		}
		if err := r.writer.writeEvent(event); err != nil {
			return engine.Event{}, errCallerGone
		}
		r.delivered = stream.Offset()
		if event.Done {
			return event, nil
		}
	}
}

// handleCallerGone ends a request whose caller disconnected. A request with an idempotency key runs
// on, so that a retry gets its response. Any other is cancelled at the engine and billed for what
// ran.
func (r *billedRun) handleCallerGone(placement placementResult, ownClaim *claims.Claim) {
	if r.completion.callerKey {
		r.settleLater(placement.backend.Name, ownClaim.RequestID)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	status, err := r.node.engines.Cancel(ctx, placement.backend.Address, ownClaim.RequestID)
	if err != nil {
		r.settleLater(placement.backend.Name, ownClaim.RequestID)
		return
	}
	r.settle(claims.Cancelled, status.Usage.Total())
}
