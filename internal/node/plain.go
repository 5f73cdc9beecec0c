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

// maximumStoredResponse is the size limit, in bytes, of a response that is kept for retries.
const maximumStoredResponse = 1 << 20

// unforwardedHeaders lists headers that are not forwarded: hop-by-hop headers, and Authorization,
// which is the caller's key for ravenway.
var unforwardedHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Authorization",
}

// plainRun is the processing of one request to a plain service, which is not billed.
type plainRun struct {
	node        *Node
	request     *callerRequest
	httpRequest *http.Request
	body        []byte
	// scope determines where the acceptors of the claim are (see claimScope).
	scope string
	// owner is the incarnation of this node that claims the request.
	owner accounts.HolderID
}

// servePlain routes a request by the prefix of its path.
func (n *Node) servePlain(writer http.ResponseWriter, httpRequest *http.Request, request *callerRequest) {
	route := n.view.Load().route(httpRequest.URL.Path)
	if route == nil {
		n.refuse(writer, request, refuseNotRun(http.StatusNotFound, caller.CodeUnknownRoute, 0, "no route has a prefix of %q", httpRequest.URL.Path))
		return
	}
	request.service = n.view.Load().services[route.GetService()]
	if request.service.GetKind() != ravenwayv1.ServiceKind_SERVICE_KIND_PLAIN {
		n.refuse(writer, request, refuseNotRun(http.StatusNotFound, caller.CodeUnknownRoute, 0, "service %q is not a plain one", route.GetService()))
		return
	}
	if slices.Contains(route.GetNotRepeatableMethods(), httpRequest.Method) {
		request.notRepeatable = true
	}
	maximum := n.settings.Limits.MaximumBodyBytes
	if own := request.service.GetMaxBodyBytes(); own > 0 {
		maximum = min(maximum, int64(own))
	}
	// The whole body is read first, so that a request that breaks off while its body arrives has
	// certainly not run.
	body, refused := n.readBody(writer, httpRequest, maximum)
	if refused != nil {
		n.refuse(writer, request, refused)
		return
	}
	request.fingerprint = fingerprint(httpRequest.Method, httpRequest.URL.RequestURI(), string(body))
	ctx, cancel := context.WithTimeout(httpRequest.Context(), request.deadline)
	defer cancel()
	run := &plainRun{node: n, request: request, httpRequest: httpRequest, body: body, scope: n.claimScope(request), owner: *n.escrow.id.Load()}
	if refused := run.serve(ctx, writer); refused != nil {
		n.refuse(writer, request, refused)
	}
}

// serve runs the request at a back end. A request with an idempotency key is claimed first. Others
// need no claim, so a node that reaches no other node serves them too.
func (p *plainRun) serve(ctx context.Context, writer http.ResponseWriter) *refusal {
	var tried []string
	// mayHaveRun indicates that a back end may have got the request, and lastErr is why it has no response from it.
	mayHaveRun, lastErr := false, error(nil)
	for range maximumAttempts {
		placement, err := p.acquire(ctx, tried)
		if err != nil && mayHaveRun {
			break
		}
		if err != nil {
			return p.request.refusePlacement(err)
		}
		if p.request.callerKey {
			existing, refused := p.claim(ctx, placement)
			if refused != nil || existing != nil {
				p.node.backends.release(placement.backend.Name, routing.Neutral)
				if refused != nil {
					return refused
				}
				return p.replay(ctx, writer, existing)
			}
		}
		response, offered, err := p.call(ctx, placement)
		if err == nil {
			p.node.backends.recordPause(placement.backend.Name, response.StatusCode, response.Header.Values("Retry-After"))
			return p.relayResponse(ctx, writer, placement, response)
		}
		p.node.backends.release(placement.backend.Name, routing.Failed)
		if offered && (p.request.notRepeatable || !isRepeatable(p.httpRequest.Method, p.request.callerKey)) {
			return outcomeUnknown("it was lost: %v", err)
		}
		mayHaveRun, lastErr = mayHaveRun || offered, err
		tried = append(tried, placement.backend.Name)
	}
	if mayHaveRun {
		p.settle(claims.OutcomeUnknown)
		return outcomeUnknown("it was lost: %v", lastErr)
	}
	p.settle(claims.NotRun)
	return refuseNotRun(http.StatusBadGateway, caller.CodeNoBackend, retrySoon, "no back end of service %q could be reached", p.request.service.GetName())
}

// isRepeatable reports whether a request may be sent again. Without an idempotency key, only
// requests with methods that HTTP defines as idempotent may.
func isRepeatable(method string, callerKey bool) bool {
	return callerKey || slices.Contains([]string{http.MethodGet, http.MethodHead, http.MethodPut, http.MethodDelete, http.MethodOptions}, method)
}

func (p *plainRun) acquire(ctx context.Context, tried []string) (placementResult, error) {
	placement, err := p.node.place(ctx, p.request, 1, routing.Request{Exclude: tried})
	if err != nil {
		return placement, err
	}
	if usable, _ := p.node.backends.checkUsable(ctx, placement.backend.Name); !usable {
		p.node.backends.release(placement.backend.Name, routing.Neutral)
		return p.acquire(ctx, append(tried, placement.backend.Name))
	}
	return placement, nil
}

// claim claims the request, or returns the existing claim of its key.
func (p *plainRun) claim(ctx context.Context, placement placementResult) (existing *claims.Claim, refused *refusal) {
	ownClaim := &claims.Claim{
		State: claims.Dispatched, Owner: p.owner, Backend: placement.backend.Name, RequestID: p.request.id,
		Fingerprint: p.request.fingerprint, HasCallerKey: true, NotRepeatable: p.request.notRepeatable,
	}
	change := func(current *claims.Claim) *claims.Claim {
		if current == nil || current.Result == claims.NotRun || (current.RequestID == p.request.id && current.State == claims.Dispatched) {
			return ownClaim
		}
		return nil
	}
	outcome, err := p.node.claims.change(ctx, p.scope, p.request.key, change)
	if errors.Is(err, claims.ErrUnreachable) && !p.request.notRepeatable && p.scope != p.node.zone {
		p.scope = p.node.zone
		outcome, err = p.node.claims.change(ctx, p.scope, p.request.key, change)
	}
	switch {
	case err != nil:
		p.settle(claims.NotRun)
		return nil, refuseNotRun(http.StatusServiceUnavailable, caller.CodeAcceptorsUnreachable, retryLong,
			"too few of the nodes that guard against a repeated call can be reached: %v", err)
	case outcome.Changed:
		return nil, nil
	case outcome.Claim.Fingerprint != p.request.fingerprint:
		return nil, refuseNotRun(http.StatusUnprocessableEntity, caller.CodeKeyReused, 0, "%s was used for another request", caller.HeaderIdempotencyKey)
	}
	return outcome.Claim, nil
}

// call sends the request to a back end. offered reports whether any part of it may have arrived.
func (p *plainRun) call(ctx context.Context, placement placementResult) (response *http.Response, offered bool, err error) {
	reached := &atomic.Bool{}
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { reached.Store(true) }}
	url := "http://" + placement.backend.Address + p.httpRequest.URL.RequestURI()
	outgoing, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), p.httpRequest.Method, url, bytes.NewReader(p.body))
	if err != nil {
		return nil, false, err
	}
	outgoing.GetBody = nil
	for name, values := range p.httpRequest.Header {
		if !slices.Contains(unforwardedHeaders, name) && !strings.HasPrefix(name, "Ravenway-") {
			outgoing.Header[name] = values
		}
	}
	outgoing.Header.Set(caller.HeaderRequestID, p.request.id)
	outgoing.Header.Set("Ravenway-Tenant", p.request.tenant.GetName())
	if p.request.notRepeatable {
		// The request gets a connection of its own: on a reused one that the back end has just closed,
		// it would be unknown whether the request arrived.
		outgoing.Close = true
	}
	response, err = p.node.backendHTTP.RoundTrip(outgoing)
	return response, reached.Load(), err
}

// relayResponse relays the response to the caller, and stores it if the request has an idempotency
// key.
func (p *plainRun) relayResponse(ctx context.Context, writer http.ResponseWriter, placement placementResult, response *http.Response) *refusal {
	defer response.Body.Close()
	var kept bytes.Buffer
	source := io.Reader(response.Body)
	if p.request.callerKey {
		source = io.TeeReader(source, &limitedBuffer{buffer: &kept, remaining: maximumStoredResponse})
	}
	for name, values := range response.Header {
		if !slices.Contains(unforwardedHeaders, name) {
			writer.Header()[name] = values
		}
	}
	writer.WriteHeader(response.StatusCode)
	_, err := io.Copy(flushingWriter{writer}, source)
	if err != nil {
		result := routing.Failed
		if ctx.Err() != nil {
			// The caller left, or its deadline passed.
			result = routing.Neutral
		}
		p.node.backends.release(placement.backend.Name, result)
		p.settle(claims.OutcomeUnknown)
		p.node.log.Warn().Str("event", "stream_failed").Str("request", p.request.id).Err(err).Send()
		// The status code is already sent. Aborting the connection shows the caller that the response
		// is incomplete.
		panic(http.ErrAbortHandler)
	}
	p.node.backends.release(placement.backend.Name, routing.Succeeded)
	if p.request.callerKey && kept.Len() < maximumStoredResponse {
		p.node.responses.put(p.request.id, storedResponse{
			Status: response.StatusCode, ContentType: response.Header.Get("Content-Type"), Body: kept.Bytes(),
		})
	}
	p.settle(claims.Completed)
	return nil
}

// settle settles the claim of a request with an idempotency key, in the background.
func (p *plainRun) settle(result claims.Result) {
	if !p.request.callerKey {
		return
	}
	n := p.node
	n.background.start(func() {
		change := func(current *claims.Claim) *claims.Claim {
			if current == nil || current.RequestID != p.request.id || current.State == claims.Settled {
				return nil
			}
			current.State, current.Result = claims.Settled, result
			return current
		}
		for {
			_, err := n.claims.change(n.runContext, p.scope, p.request.key, change)
			if !errors.Is(err, claims.ErrUnreachable) || !pause.For(n.runContext, settleRetryDelay) {
				return
			}
		}
	})
}

// replay answers a retry of a request that is already claimed: with the stored response if a node
// still has it, otherwise with a refusal that names the outcome.
func (p *plainRun) replay(ctx context.Context, writer http.ResponseWriter, claim *claims.Claim) *refusal {
	n := p.node
	for claim.State == claims.Dispatched {
		if !n.fleet.isReachable(claim.Owner.Node) {
			return outcomeUnknown("node %s, which sent it, is gone", claim.Owner.Node)
		}
		if !pause.For(ctx, joinDelay) {
			return &refusal{status: http.StatusConflict, code: caller.CodeInProgress, retryAfter: retrySoon, detail: "the request is in progress through another node"}
		}
		outcome, err := n.claims.read(ctx, p.scope, p.request.key)
		if err != nil || outcome.Claim == nil {
			return outcomeUnknown("its claim can't be read now")
		}
		claim = outcome.Claim
	}
	stored := n.findResponse(ctx, claim)
	switch {
	case stored.Found:
		writer.Header().Set("Content-Type", stored.ContentType)
		writer.WriteHeader(stored.Status)
		_, _ = writer.Write(stored.Body)
		return nil
	case claim.Result == claims.Completed:
		return &refusal{status: http.StatusConflict, code: caller.CodeAlreadyDone, detail: "the request was done; its answer is no longer kept"}
	case claim.Result == claims.NotRun:
		return refuseNotRun(http.StatusServiceUnavailable, caller.CodeNoBackend, retrySoon, "the request was not run; it may be sent again")
	}
	return outcomeUnknown("and nobody can tell whether it ran")
}

// findResponse returns the stored response from this node or from the node that ran the request.
func (n *Node) findResponse(ctx context.Context, claim *claims.Claim) storedResponse {
	if response := n.responses.find(claim.RequestID); response.Found || claim.Owner.Node == n.name {
		return response
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	response, err := callNode[storedResponse](ctx, n, claim.Owner.Node, peer.MethodReadResponse, &storedResponseRequest{RequestID: claim.RequestID})
	if err != nil {
		return storedResponse{}
	}
	return response
}

// limitedBuffer keeps the first bytes written to it, up to a limit, and ignores the remainder.
type limitedBuffer struct {
	buffer    *bytes.Buffer
	remaining int
}

func (l *limitedBuffer) Write(data []byte) (int, error) {
	kept := min(l.remaining, len(data))
	l.remaining -= kept
	l.buffer.Write(data[:kept])
	return len(data), nil
}

// flushingWriter flushes after each write, so that the caller receives each part as it arrives.
type flushingWriter struct{ http.ResponseWriter }

func (f flushingWriter) Write(data []byte) (int, error) {
	written, err := f.ResponseWriter.Write(data)
	if err == nil {
		err = http.NewResponseController(f.ResponseWriter).Flush()
	}
	return written, err
}
