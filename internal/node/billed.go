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
	// resumeAttempts is the maximum number of failures of one stream, resumePause the delay after a
	// failed attempt to resume it.
	resumeAttempts = 10
	resumePause    = 200 * time.Millisecond
	// settleRetry is the delay before a settlement is retried.
	settleRetry = time.Second
	// stallTimeout is the time without an event after which the connection of a stream is closed and
	// the stream resumed. It is needed because a network partition does not close connections.
	stallTimeout = 15 * time.Second
	// joinPause is the delay before the claim of a request that another node runs is read again.
	joinPause = 200 * time.Millisecond
)

// run is the processing of one billed request.
type run struct {
	node *Node
	of   *completion
	// held is the reservation that pays for the request.
	held  reserved
	scope string
	// answer writes the events to the caller; callerGone is canceled when the caller disconnects.
	answer     *completionWriter
	callerGone context.Context
	tried      []string
	attempts   int
	// delivered is the number of tokens delivered to the caller.
	delivered uint64
}

// runCompletion serves a completion: it reserves tokens, claims the request, dispatches it, streams
// the response and settles the use. ctx ends at the deadline for the first byte.
func (n *Node) runCompletion(ctx, callerGone context.Context, of *completion, answer *completionWriter) *refusal {
	amount, refused := n.worstCase(ctx, of)
	if refused != nil {
		return refused
	}
	held, refused := n.reserve(ctx, of.request, amount)
	if refused != nil {
		return refused
	}
	started := &run{node: n, of: of, held: held, scope: n.scope(of.request), answer: answer, callerGone: callerGone}
	return started.attempt(ctx)
}

// worstCase returns the maximum number of tokens that a request can use. A token has at least one
// byte, so the bytes of the prompt bound its tokens.
func (n *Node) worstCase(ctx context.Context, of *completion) (uint64, *refusal) {
	bound := uint64(len(of.prompt)) + of.bound
	if !of.budget.GetExactCount() {
		return bound, nil
	}
	// The budget requires exact counts, so an engine counts the tokens of the prompt. If no engine
	// responds, the bound in bytes applies.
	for _, backend := range n.backends.engines() {
		if backend.Service != of.service.GetName() {
			continue
		}
		if tokens, err := n.engines.Count(ctx, backend.Address, of.prompt); err == nil {
			return tokens + of.bound, nil
		}
	}
	return bound, nil
}

// attempt tries back ends until one runs the request, none is available, or maximumAttempts have
// refused it. Every exit settles the reservation.
func (r *run) attempt(ctx context.Context) *refusal {
	for {
		given, err := r.acquire(ctx)
		if err != nil {
			r.abandon()
			return r.of.refusePlacement(err)
		}
		done, refused := r.dispatch(ctx, given)
		if done {
			return refused
		}
		r.tried = append(r.tried, given.backend.Name)
		r.attempts++
		if r.attempts >= maximumAttempts {
			r.abandon()
			return refuseNotRun(http.StatusServiceUnavailable, caller.CodeNoBackend, retrySoon, "%d back ends refused the request", r.attempts)
		}
	}
}

func (r *run) acquire(ctx context.Context) (placed, error) {
	return r.node.place(ctx, r.of.request, r.held.reservation.Amount, routing.Request{
		Blocks: engine.PrefixBlocks(r.of.prompt), PromptTokens: r.held.reservation.Amount - r.of.bound, Exclude: r.tried,
	})
}

// place waits for a back end for a request and records the decision.
func (n *Node) place(ctx context.Context, of *request, cost uint64, route routing.Request) (placed, error) {
	route.Service = of.service.GetName()
	given, err := n.backends.acquire(ctx, placement{
		requestID: of.id, tenant: of.tenant.GetName(), weight: of.tenant.GetWeight(), class: of.class, cost: cost, route: route,
	})
	made := decision{
		RequestID: of.id, Tenant: of.tenant.GetName(), Service: route.Service, Kind: "dispatch",
		Backend: given.backend.Name, Candidate: given.choice.Candidates, Wait: given.wait,
	}
	if err != nil {
		made.Kind, made.Detail = "give up", err.Error()
	}
	n.decisions.add(made)
	return given, err
}

// refusePlacement returns the refusal for a request that was assigned no back end.
func (of *request) refusePlacement(err error) *refusal {
	var paused *pausedError
	switch {
	case errors.As(err, &paused):
		return refuseNotRun(http.StatusServiceUnavailable, caller.CodeNoBackend, paused.wait, "service %q: %v", of.service.GetName(), paused)
	case errors.Is(err, queueing.ErrFull):
		return refuseNotRun(http.StatusTooManyRequests, caller.CodeQueueFull, retrySoon, "the queue of service %q is full", of.service.GetName())
	case errors.Is(err, errDeadline), errors.Is(err, context.DeadlineExceeded):
		return refuseNotRun(http.StatusServiceUnavailable, caller.CodeDeadline, retryLong, "no back end was free before the deadline")
	}
	return refuseNotRun(http.StatusServiceUnavailable, caller.CodeNoBackend, retrySoon, "%v", err)
}

// requestID returns the id under which an engine runs the request. It stays the same when another
// node takes the claim over, so that an engine runs the request only once.
func (r *run) requestID() string {
	return fmt.Sprintf("%s-%d", r.of.key, r.attempts)
}

// dispatch claims the request for a back end and runs it there. done is false if another back end
// should be tried.
func (r *run) dispatch(ctx context.Context, given placed) (done bool, refused *refusal) {
	n := r.node
	mine := &claims.Claim{
		State: claims.Dispatched, Owner: r.held.owner, Budget: r.of.budget.GetName(), Sequence: r.held.reservation.Sequence,
		Reserved: r.held.reservation.Amount, Backend: given.backend.Name, RequestID: r.requestID(),
		Fingerprint: r.of.fingerprint, CallerKey: r.of.callerKey, NotRepeatable: r.of.notRepeatable,
	}
	outcome, err := r.claim(ctx, mine)
	if errors.Is(err, claims.ErrUnreachable) && r.fallBack() {
		outcome, err = n.claims.change(ctx, r.scope, r.of.key, r.claimChange(mine))
	}
	if err != nil {
		n.backends.release(given.backend.Name, routing.Neutral)
		r.abandon()
		return true, r.refuseClaim(err)
	}
	if !outcome.Changed {
		n.backends.release(given.backend.Name, routing.Neutral)
		return true, r.existing(ctx, outcome.Claim)
	}
	// The back end may have begun to leave since the placement; it must then receive nothing new.
	if usable, why := n.backends.stillUsable(ctx, given.backend.Name); !usable {
		n.backends.release(given.backend.Name, routing.Neutral)
		n.decisions.add(decision{RequestID: r.of.id, Tenant: r.of.tenant.GetName(), Service: r.of.service.GetName(),
			Kind: "place again", Backend: given.backend.Name, Detail: why})
		return false, nil
	}
	return r.generate(ctx, given, mine)
}

// claim writes the claim. The first claim of a generated key needs only one round of messages.
func (r *run) claim(ctx context.Context, mine *claims.Claim) (claims.Outcome, error) {
	if !r.of.callerKey && r.attempts == 0 {
		return r.node.claims.changeMinted(ctx, r.of.key, r.claimChange(mine))
	}
	return r.node.claims.change(ctx, r.scope, r.of.key, r.claimChange(mine))
}

// fallBack moves the claim of a request whose home zone is unreachable into this zone, and reports
// whether it did. It does not for requests that are not repeatable, nor for claims that are already
// in this zone.
func (r *run) fallBack() bool {
	if r.of.notRepeatable || r.scope == r.node.zone {
		return false
	}
	r.scope = r.node.zone
	r.node.log.Info().Str("event", "claim_fallback").Str("request", r.of.id).Str("zone", r.scope).Send()
	return true
}

// claimChange returns the change that takes the claim if there is none, if the claimed request was
// not run, or if the claim is this run's own from an earlier attempt.
func (r *run) claimChange(mine *claims.Claim) claims.Change {
	return func(current *claims.Claim) *claims.Claim {
		free := current == nil || (current.State == claims.Settled && current.Result == claims.NotRun)
		own := current != nil && current.State == claims.Dispatched && current.Owner == mine.Owner &&
			current.Sequence == mine.Sequence && current.Budget == mine.Budget
		if free || own {
			return mine
		}
		return nil
	}
}

func (r *run) refuseClaim(err error) *refusal {
	if errors.Is(err, claims.ErrForgotten) {
		return &refusal{status: http.StatusConflict, code: caller.CodeAlreadyDone, detail: "the request was done and billed long ago"}
	}
	return refuseNotRun(http.StatusServiceUnavailable, caller.CodeHoldersUnreached, retryLong,
		"too few of the nodes that guard against double billing can be reached: %v", err)
}

// generate sends the request to the engine and streams the response. done is false if the request
// certainly did not run, so that another back end can be tried.
func (r *run) generate(ctx context.Context, given placed, mine *claims.Claim) (done bool, refused *refusal) {
	n := r.node
	// The engine's work continues after the caller's deadline, which is for the first byte only.
	streamCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	wanted := engine.GenerateRequest{
		RequestID: mine.RequestID, Model: r.of.body.Model, Prompt: r.of.prompt, MaxTokens: r.of.bound,
		Priority: engine.Priority(queueing.Batch - r.of.class), Tenant: r.of.tenant.GetName(),
	}
	stream, err := openStream(streamCtx, stallTimeout, func(ctx context.Context) (*engine.Stream, error) {
		return n.engines.Generate(ctx, given.backend.Address, wanted)
	})
	if err != nil {
		if r.notRun(streamCtx, given, mine, err) {
			return false, nil
		}
		stream = nil
	}
	return true, r.follow(streamCtx, given, mine, stream)
}

// notRun reports whether a request that failed at an engine certainly did not run, so that another
// back end can be tried. If so, it releases the back end.
func (r *run) notRun(ctx context.Context, given placed, mine *claims.Claim, err error) bool {
	n := r.node
	var refused *engine.RefusedError
	if errors.As(err, &refused) {
		n.backends.takePause(given.backend.Name, refused.Status, refused.RetryAfter)
	}
	if refused != nil && refused.Body.NotRun {
		n.backends.release(given.backend.Name, routing.Overloaded)
		if refused.Body.Code == "leaving" {
			n.backends.markLeaving(given.backend.Name)
		}
		return true
	}
	var lost *engine.TransportError
	if errors.As(err, &lost) && !lost.Offered {
		n.backends.release(given.backend.Name, routing.Failed)
		return true
	}
	// The request may have arrived, so the engine's own status decides.
	asking, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	if _, statusErr := n.engines.Status(asking, given.backend.Address, mine.RequestID); errors.Is(statusErr, engine.ErrUnknownRequest) {
		n.backends.release(given.backend.Name, routing.Failed)
		return true
	}
	return false
}

// follow relays the stream to the caller until it ends, resumes it where it breaks, and settles the
// use. A nil stream is resumed from its start.
func (r *run) follow(ctx context.Context, given placed, mine *claims.Claim, stream *engine.Stream) *refusal {
	r.answer.backendRequestID(mine.RequestID)
	final, err := r.deliver(ctx, given.backend.Address, mine.RequestID, stream)
	switch {
	case err == nil:
		r.node.backends.release(given.backend.Name, routing.Succeeded)
		r.settle(claims.Completed, final.Usage.Total())
		return nil
	case errors.Is(err, errCallerGone):
		r.node.backends.release(given.backend.Name, routing.Neutral)
		r.leave(given, mine)
		return nil
	}
	r.node.backends.release(given.backend.Name, routing.Failed)
	r.settleLater(given.backend.Name, mine.RequestID)
	return &refusal{status: http.StatusBadGateway, code: caller.CodeOutcomeUnknown, retryAfter: retrySoon,
		detail: fmt.Sprintf("the back end was lost: %v; the same %s gets the answer once it is back", err, caller.HeaderIdempotencyKey)}
}

// errCallerGone indicates that the caller disconnected.
var errCallerGone = errors.New("the caller disconnected")

// deliver relays events to the caller until the final one, which it returns, and resumes the stream
// where it breaks.
func (r *run) deliver(ctx context.Context, address, requestID string, stream *engine.Stream) (engine.Event, error) {
	failures := 0
	for {
		if stream == nil {
			resumed, err := r.node.resume(ctx, address, requestID, r.delivered)
			if err != nil {
				if failures++; failures > resumeAttempts || errors.Is(err, engine.ErrUnknownRequest) {
					return engine.Event{}, err
				}
				if !pause.For(r.callerGone, resumePause) {
					return engine.Event{}, errCallerGone
				}
				continue
			}
			stream = resumed
		}
		final, err := r.pump(stream)
		stream.Close()
		stream = nil
		if err == nil || errors.Is(err, errCallerGone) {
			return final, err
		}
		if failures++; failures > resumeAttempts {
			return engine.Event{}, err
		}
		r.node.log.Info().Str("event", "stream_resumed").Str("request", r.of.id).Uint64("offset", r.delivered).Err(err).Send()
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
func openStream(ctx context.Context, patience time.Duration, open func(context.Context) (*engine.Stream, error)) (*engine.Stream, error) {
	ctx, cancel := context.WithCancel(ctx)
	stalled := time.AfterFunc(patience, cancel)
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

// pump relays the events of one stream until its final event or a failure.
func (r *run) pump(stream *engine.Stream) (engine.Event, error) {
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
		if err := r.answer.event(event); err != nil {
			return engine.Event{}, errCallerGone
		}
		r.delivered = stream.Offset()
		if event.Done {
			return event, nil
		}
	}
}

// leave ends a request whose caller disconnected. A request with an idempotency key runs on, so
// that a retry gets its response. Any other is cancelled at the engine and billed for what ran.
func (r *run) leave(given placed, mine *claims.Claim) {
	if r.of.callerKey {
		r.settleLater(given.backend.Name, mine.RequestID)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	status, err := r.node.engines.Cancel(ctx, given.backend.Address, mine.RequestID)
	if err != nil {
		r.settleLater(given.backend.Name, mine.RequestID)
		return
	}
	r.settle(claims.Cancelled, status.Usage.Total())
}
