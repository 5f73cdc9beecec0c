package node

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	ravenwayv1 "github.com/ravenway/ravenway/api/ravenway/v1"
	"github.com/ravenway/ravenway/internal/coordination/claims"
	"github.com/ravenway/ravenway/internal/coordination/routing"
	"github.com/ravenway/ravenway/internal/pause"
	"github.com/ravenway/ravenway/internal/protocol/caller"
	"github.com/ravenway/ravenway/internal/protocol/peer"
	"github.com/ravenway/ravenway/internal/state/accounts"
)

// maximumStoredAnswer bounds one answer kept for a retry.
const maximumStoredAnswer = 1 << 20

// plainHopHeaders are not passed on: they concern one connection, or are
// ravenway's own.
var plainHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Authorization",
}

// plainRun is one request to a plain service.
type plainRun struct {
	node  *Node
	of    *request
	http  *http.Request
	body  []byte
	scope string
	owner accounts.HolderID
}

// servePlain routes a request by its path's prefix.
func (n *Node) servePlain(writer http.ResponseWriter, httpRequest *http.Request, of *request) {
	route := n.view.Load().route(httpRequest.URL.Path)
	if route == nil {
		n.refuse(writer, of, refuseNotRun(http.StatusNotFound, caller.CodeUnknownRoute, 0, "no route has a prefix of %q", httpRequest.URL.Path))
		return
	}
	of.service = n.view.Load().services[route.GetService()]
	if of.service.GetKind() != ravenwayv1.ServiceKind_SERVICE_KIND_PLAIN {
		n.refuse(writer, of, refuseNotRun(http.StatusNotFound, caller.CodeUnknownRoute, 0, "service %q is not a plain one", route.GetService()))
		return
	}
	if slices.Contains(route.GetNotRepeatableMethods(), httpRequest.Method) {
		of.notRepeatable = true
	}
	maximum := n.settings.Limits.MaximumBodyBytes
	if own := of.service.GetMaxBodyBytes(); own > 0 {
		maximum = min(maximum, int64(own))
	}
	// The body is read whole first: a call that breaks off while its body
	// arrives has then certainly not run.
	body, refused := n.readBody(writer, httpRequest, maximum)
	if refused != nil {
		n.refuse(writer, of, refused)
		return
	}
	of.fingerprint = fingerprint(httpRequest.Method, httpRequest.URL.RequestURI(), string(body))
	ctx, cancel := context.WithTimeout(httpRequest.Context(), of.deadline)
	defer cancel()
	run := &plainRun{node: n, of: of, http: httpRequest, body: body, scope: n.scope(of), owner: *n.escrow.id.Load()}
	if refused := run.serve(ctx, writer); refused != nil {
		n.refuse(writer, of, refused)
	}
}

// serve claims a keyed request first; others need no claim and are served by a
// lone node too.
func (p *plainRun) serve(ctx context.Context, writer http.ResponseWriter) *refusal {
	var tried []string
	for range maximumAttempts {
		given, err := p.acquire(ctx, tried)
		if err != nil {
			return p.of.refusePlacement(err)
		}
		if p.of.callerKey {
			existing, refused := p.claim(ctx, given)
			if refused != nil || existing != nil {
				p.node.backends.release(given.backend.Name, routing.Neutral)
				if refused != nil {
					return refused
				}
				return p.replay(ctx, writer, existing)
			}
		}
		response, offered, err := p.call(ctx, given)
		if err == nil {
			p.node.backends.takePause(given.backend.Name, response.StatusCode, response.Header.Values("Retry-After"))
			return p.pass(ctx, writer, given, response)
		}
		p.node.backends.release(given.backend.Name, routing.Failed)
		if offered && (p.of.notRepeatable || !isRepeatable(p.http.Method, p.of.callerKey)) {
			return outcomeUnknown("it was lost: %v", err)
		}
		tried = append(tried, given.backend.Name)
	}
	p.settle(claims.NotRun)
	return refuseNotRun(http.StatusBadGateway, caller.CodeNoBackend, retrySoon, "no back end of service %q could be reached", p.of.service.GetName())
}

// isRepeatable follows HTTP: without a key, only idempotent methods are sent
// again.
func isRepeatable(method string, callerKey bool) bool {
	return callerKey || slices.Contains([]string{http.MethodGet, http.MethodHead, http.MethodPut, http.MethodDelete, http.MethodOptions}, method)
}

func (p *plainRun) acquire(ctx context.Context, tried []string) (placed, error) {
	given, err := p.node.place(ctx, p.of, 1, routing.Request{Exclude: tried})
	if err != nil {
		return given, err
	}
	if usable, _ := p.node.backends.stillUsable(ctx, given.backend.Name); !usable {
		p.node.backends.release(given.backend.Name, routing.Neutral)
		return p.acquire(ctx, append(tried, given.backend.Name))
	}
	return given, nil
}

// claim takes the request's claim, or returns the one that is there.
func (p *plainRun) claim(ctx context.Context, given placed) (existing *claims.Claim, refused *refusal) {
	mine := &claims.Claim{
		State: claims.Dispatched, Owner: p.owner, Backend: given.backend.Name, RequestID: p.of.id,
		Fingerprint: p.of.fingerprint, CallerKey: true, NotRepeatable: p.of.notRepeatable,
	}
	change := func(current *claims.Claim) *claims.Claim {
		if current == nil || current.Result == claims.NotRun || (current.RequestID == p.of.id && current.State == claims.Dispatched) {
			return mine
		}
		return nil
	}
	outcome, err := p.node.claims.change(ctx, p.scope, p.of.key, change)
	if errors.Is(err, claims.ErrUnreachable) && !p.of.notRepeatable && p.scope != p.node.zone {
		p.scope = p.node.zone
		outcome, err = p.node.claims.change(ctx, p.scope, p.of.key, change)
	}
	switch {
	case err != nil:
		p.settle(claims.NotRun)
		return nil, refuseNotRun(http.StatusServiceUnavailable, caller.CodeHoldersUnreached, retryLong,
			"too few of the nodes that guard against a repeated call can be reached: %v", err)
	case outcome.Changed:
		return nil, nil
	case outcome.Claim.Fingerprint != p.of.fingerprint:
		return nil, refuseNotRun(http.StatusUnprocessableEntity, caller.CodeKeyReused, 0, "%s was used for another request", caller.HeaderIdempotencyKey)
	}
	return outcome.Claim, nil
}

// call offers the request to a back end. offered tells whether any of it may
// have arrived.
func (p *plainRun) call(ctx context.Context, given placed) (response *http.Response, offered bool, err error) {
	reached := &atomic.Bool{}
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { reached.Store(true) }}
	url := "http://" + given.backend.Address + p.http.URL.RequestURI()
	outgoing, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), p.http.Method, url, bytes.NewReader(p.body))
	if err != nil {
		return nil, false, err
	}
	outgoing.GetBody = nil
	for name, values := range p.http.Header {
		if !slices.Contains(plainHopHeaders, name) && !strings.HasPrefix(name, "Ravenway-") {
			outgoing.Header[name] = values
		}
	}
	outgoing.Header.Set(caller.HeaderRequestID, p.of.id)
	outgoing.Header.Set("Ravenway-Tenant", p.of.tenant.GetName())
	if p.of.notRepeatable {
		// A connection of its own: one that the other side has just closed
		// would leave in doubt whether the call arrived.
		outgoing.Close = true
	}
	response, err = p.node.backendHTTP.RoundTrip(outgoing)
	return response, reached.Load(), err
}

// pass gives the answer to the caller, and keeps that of a keyed request.
func (p *plainRun) pass(ctx context.Context, writer http.ResponseWriter, given placed, response *http.Response) *refusal {
	defer response.Body.Close()
	var kept bytes.Buffer
	source := io.Reader(response.Body)
	if p.of.callerKey {
		source = io.TeeReader(source, &limitedBuffer{buffer: &kept, left: maximumStoredAnswer})
	}
	for name, values := range response.Header {
		if !slices.Contains(plainHopHeaders, name) {
			writer.Header()[name] = values
		}
	}
	writer.WriteHeader(response.StatusCode)
	_, err := io.Copy(flushingWriter{writer}, source)
	if err != nil && ctx.Err() == nil {
		p.node.backends.release(given.backend.Name, routing.Failed)
		p.settle(claims.OutcomeUnknown)
		p.node.log.Warn().Str("event", "stream_failed").Str("request", p.of.id).Err(err).Send()
		// The status is out: cutting the connection tells the caller that the
		// answer is not whole.
		panic(http.ErrAbortHandler)
	}
	p.node.backends.release(given.backend.Name, routing.Succeeded)
	if p.of.callerKey && kept.Len() < maximumStoredAnswer {
		p.node.answers.put(p.of.id, storedAnswer{
			Status: response.StatusCode, ContentType: response.Header.Get("Content-Type"), Body: kept.Bytes(),
		})
	}
	p.settle(claims.Completed)
	return nil
}

// settle ends the claim of a keyed request.
func (p *plainRun) settle(result claims.Result) {
	if !p.of.callerKey {
		return
	}
	n := p.node
	n.background.start(func() {
		change := func(current *claims.Claim) *claims.Claim {
			if current == nil || current.RequestID != p.of.id || current.State == claims.Settled {
				return nil
			}
			current.State, current.Result = claims.Settled, result
			return current
		}
		for {
			_, err := n.claims.change(n.life, p.scope, p.of.key, change)
			if !errors.Is(err, claims.ErrUnreachable) || !pause.For(n.life, settleRetry) {
				return
			}
		}
	})
}

// replay answers a retry of a keyed request that was claimed before: with the
// first answer if a node still has it.
func (p *plainRun) replay(ctx context.Context, writer http.ResponseWriter, claim *claims.Claim) *refusal {
	n := p.node
	for claim.State == claims.Dispatched {
		if !n.fleet.alive(claim.Owner.Node) {
			return outcomeUnknown("node %s, which sent it, is gone", claim.Owner.Node)
		}
		if !pause.For(ctx, joinPause) {
			return &refusal{status: http.StatusConflict, code: caller.CodeInProgress, retryAfter: retrySoon, detail: "the request is in progress through another node"}
		}
		outcome, err := n.claims.read(ctx, p.scope, p.of.key)
		if err != nil || outcome.Claim == nil {
			return outcomeUnknown("its claim can't be read now")
		}
		claim = outcome.Claim
	}
	answer := n.findAnswer(ctx, claim)
	switch {
	case answer.Found:
		writer.Header().Set("Content-Type", answer.ContentType)
		writer.WriteHeader(answer.Status)
		_, _ = writer.Write(answer.Body)
		return nil
	case claim.Result == claims.Completed:
		return &refusal{status: http.StatusConflict, code: caller.CodeAlreadyDone, detail: "the request was done; its answer is no longer kept"}
	case claim.Result == claims.NotRun:
		return refuseNotRun(http.StatusServiceUnavailable, caller.CodeNoBackend, retrySoon, "the request was not run; it may be sent again")
	}
	return outcomeUnknown("and nobody can tell whether it ran")
}

// findAnswer looks for a kept answer here and at the node that sent the call.
func (n *Node) findAnswer(ctx context.Context, claim *claims.Claim) storedAnswer {
	if answer := n.answers.find(claim.RequestID); answer.Found || claim.Owner.Node == n.name {
		return answer
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	answer, err := callNode[storedAnswer](ctx, n, claim.Owner.Node, peer.MethodAnswer, &answerQuestion{RequestID: claim.RequestID})
	if err != nil {
		return storedAnswer{}
	}
	return answer
}

// limitedBuffer keeps the first bytes written to it.
type limitedBuffer struct {
	buffer *bytes.Buffer
	left   int
}

func (l *limitedBuffer) Write(data []byte) (int, error) {
	take := min(l.left, len(data))
	l.left -= take
	l.buffer.Write(data[:take])
	return len(data), nil
}

// flushingWriter passes each part on as it comes.
type flushingWriter struct{ http.ResponseWriter }

func (f flushingWriter) Write(data []byte) (int, error) {
	written, err := f.ResponseWriter.Write(data)
	if err == nil {
		err = http.NewResponseController(f.ResponseWriter).Flush()
	}
	return written, err
}
