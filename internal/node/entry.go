package node

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/gorilla/mux"

	ravenwayv1 "github.com/ravenway/ravenway/api/ravenway/v1"
	"github.com/ravenway/ravenway/internal/coordination/claims"
	"github.com/ravenway/ravenway/internal/coordination/escrow"
	"github.com/ravenway/ravenway/internal/coordination/membership"
	"github.com/ravenway/ravenway/internal/coordination/queueing"
	"github.com/ravenway/ravenway/internal/protocol/caller"
	"github.com/ravenway/ravenway/internal/state/catalog"
)

const (
	// maximumKeyLength is the maximum length of a caller's idempotency key, in bytes.
	maximumKeyLength = 256
	// defaultOutputTokens is the output limit of a request that sets none.
	defaultOutputTokens = 256
	// defaultMaximumOutput is the largest output limit, in tokens, of a service that sets none.
	defaultMaximumOutput = 4096
	bearerPrefix         = "Bearer "
	// retrySoon and retryLong are the Retry-After values of refusals, in whole seconds as the header
	// requires. retryLong is for causes that last longer, such as unreachable nodes.
	retrySoon = 1 * time.Second
	retryLong = 5 * time.Second
)

// streamTracker counts the requests in flight.
type streamTracker struct{ active atomic.Int64 }

// refusal is an error response that ends a request. notRun indicates that the request certainly did
// not run.
type refusal struct {
	status     int
	code       caller.Code
	notRun     bool
	retryAfter time.Duration
	detail     string
}

// Error implements error.
func (r *refusal) Error() string { return fmt.Sprintf("%s: %s", r.code, r.detail) }

// refuseNotRun returns a refusal of a request that certainly did not run.
func refuseNotRun(status int, code caller.Code, retryAfter time.Duration, format string, arguments ...any) *refusal {
	return &refusal{status: status, code: code, notRun: true, retryAfter: retryAfter, detail: fmt.Sprintf(format, arguments...)}
}

// callerRequest is one caller's request: its attributes, the service and budget it uses, and the
// key of its claim, the record of which run of the request may be billed.
type callerRequest struct {
	id       string
	tenant   *ravenwayv1.Tenant
	service  *ravenwayv1.Service
	class    queueing.Class
	deadline time.Duration
	// key is the key of the claim: derived from the caller's idempotency key if callerKey is set,
	// generated otherwise.
	key       claims.Key
	callerKey bool
	// notRepeatable indicates that the request must not be run twice.
	notRepeatable bool
	// fingerprint is a hash of the request's content. It shows that a key is reused for another
	// request.
	fingerprint uint64
	budget      *ravenwayv1.Budget
}

// callerHandler returns the HTTP handler for callers.
func (n *Node) callerHandler() http.Handler {
	router := mux.NewRouter().SkipClean(true)
	router.HandleFunc("/v1/chat/completions", n.admit(func(w http.ResponseWriter, r *http.Request, q *callerRequest) {
		n.serveCompletion(w, r, q, true)
	})).Methods(http.MethodPost)
	router.HandleFunc("/v1/completions", n.admit(func(w http.ResponseWriter, r *http.Request, q *callerRequest) {
		n.serveCompletion(w, r, q, false)
	})).Methods(http.MethodPost)
	router.PathPrefix("/").HandlerFunc(n.admit(n.servePlain))
	return router
}

// admit wraps a handler with the checks that all requests share: capacity, tenant and headers.
func (n *Node) admit(serve func(http.ResponseWriter, *http.Request, *callerRequest)) http.HandlerFunc {
	return func(writer http.ResponseWriter, httpRequest *http.Request) {
		request := &callerRequest{id: uuid.NewString()}
		defer n.logPanic(request)
		writer.Header().Set(caller.HeaderRequestID, request.id)
		writer.Header().Set(caller.HeaderNode, n.name)
		if n.stopping.Load() {
			// The request is still served, since the load balancer reacts with a delay. Only the
			// connection is closed.
			writer.Header().Set("Connection", "close")
		}
		active := n.streams.active.Add(1)
		defer n.streams.active.Add(-1)
		if active > int64(n.settings.Limits.MaximumStreams) {
			n.refuse(writer, request, refuseNotRun(http.StatusServiceUnavailable, caller.CodeQueueFull, retrySoon,
				"this node serves as many requests as it may"))
			return
		}
		if err := n.readHeaders(httpRequest, request); err != nil {
			n.refuse(writer, request, err)
			return
		}
		ctx, cancel := context.WithCancelCause(httpRequest.Context())
		defer cancel(nil)
		defer context.AfterFunc(n.answersDue, func() { cancel(errStopped) })()
		serve(writer, httpRequest.WithContext(ctx), request)
	}
}

func (n *Node) readHeaders(httpRequest *http.Request, request *callerRequest) *refusal {
	if n.view.Load().revision == 0 {
		return refuseNotRun(http.StatusServiceUnavailable, caller.CodeStarting, retrySoon, "this node has no catalog yet")
	}
	key, found := strings.CutPrefix(httpRequest.Header.Get("Authorization"), bearerPrefix)
	if !found || key == "" {
		return refuseNotRun(http.StatusUnauthorized, caller.CodeUnauthorized, 0, "an API key is needed: Authorization: Bearer KEY")
	}
	digest := sha256.Sum256([]byte(key))
	request.tenant = n.view.Load().tenants[hex.EncodeToString(digest[:])]
	if request.tenant == nil {
		return refuseNotRun(http.StatusUnauthorized, caller.CodeUnauthorized, 0, "the API key is not known")
	}
	if err := n.readClass(httpRequest, request); err != nil {
		return err
	}
	request.deadline = n.settings.Limits.RequestDeadline
	if text := httpRequest.Header.Get(caller.HeaderDeadline); text != "" {
		deadline, err := time.ParseDuration(text)
		if err != nil || deadline <= 0 {
			return badRequest("%s: %q is not a duration above 0 such as 30s", caller.HeaderDeadline, text)
		}
		request.deadline = deadline
	}
	if text := httpRequest.Header.Get(caller.HeaderNotRepeatable); text != "" {
		notRepeatable, err := strconv.ParseBool(text)
		if err != nil {
			return badRequest("%s: %q is neither true nor false", caller.HeaderNotRepeatable, text)
		}
		request.notRepeatable = notRepeatable
	}
	return n.readKey(httpRequest, request)
}

func (n *Node) readClass(httpRequest *http.Request, request *callerRequest) *refusal {
	name := httpRequest.Header.Get(caller.HeaderPriority)
	if name == "" {
		name = catalog.PriorityNormal
	}
	position := slices.Index(catalog.Priorities, name)
	if position < 0 {
		return badRequest("%s: %q is none of %s", caller.HeaderPriority, name, strings.Join(catalog.Priorities, ", "))
	}
	request.class = queueing.Class(position)
	if highest := request.tenant.GetMaxPriority(); highest != "" {
		request.class = max(request.class, queueing.Class(slices.Index(catalog.Priorities, highest)))
	}
	return nil
}

// readKey sets the claim key: from the caller's idempotency key, or a newly generated one.
func (n *Node) readKey(httpRequest *http.Request, request *callerRequest) *refusal {
	key := httpRequest.Header.Get(caller.HeaderIdempotencyKey)
	if len(key) > maximumKeyLength {
		return badRequest("%s: has %d characters; at most %d are allowed", caller.HeaderIdempotencyKey, len(key), maximumKeyLength)
	}
	request.callerKey = key != ""
	if request.callerKey {
		request.key = claims.NewKey(request.tenant.GetName(), key)
		return nil
	}
	request.key = n.generateKey(request)
	return nil
}

// maximumKeyAttempts is the maximum number of keys generated for one request.
const maximumKeyAttempts = 64

// generateKey generates a key, if possible one that has this node among its acceptors (the nodes
// that store a claim and vote on its changes): its claim then needs only one other node.
func (n *Node) generateKey(request *callerRequest) claims.Key {
	var key claims.Key
	for attempt := range maximumKeyAttempts {
		key = claims.NewKey(request.tenant.GetName(), fmt.Sprintf("%s minted %d", request.id, attempt))
		if slices.Contains(n.acceptors.For(n.zone, string(key[:])), n.name) {
			return key
		}
	}
	return key
}

// claimScope returns the scope of a request's claim, which determines where its acceptors are: the
// name of a zone, or ScopeGlobal. For a repeatable request with a caller's key, they are in the
// home zone of the key, so that retries through any zone find the claim. For a generated key, or
// while the home zone is unreachable, they are in this zone. For a non-repeatable request with a
// caller's key, each is in a different zone.
func (n *Node) claimScope(request *callerRequest) string {
	switch {
	case request.notRepeatable && request.callerKey:
		return membership.ScopeGlobal
	case request.callerKey:
		if home := n.homeZone(request.key); n.claims.isReachable(home) {
			return home
		}
	}
	return n.zone
}

// homeZone returns the zone whose acceptors store the claim of a caller's key while that zone is
// reachable.
func (n *Node) homeZone(key claims.Key) string {
	return n.acceptors.ZonesFor(string(key[:]))[0]
}

func badRequest(format string, arguments ...any) *refusal {
	return refuseNotRun(http.StatusBadRequest, caller.CodeBadRequest, 0, format, arguments...)
}

// refuse sends an error response with a code.
func (n *Node) refuse(writer http.ResponseWriter, request *callerRequest, cause *refusal) {
	tenant := ""
	if request.tenant != nil {
		tenant = request.tenant.GetName()
	}
	n.log.Info().Str("event", "refused").Str("request", request.id).Str("tenant", tenant).Str("code", string(cause.code)).
		Bool("not_run", cause.notRun).Str("why", cause.detail).Send()
	countRefusal(cause.code)
	if cause.retryAfter > 0 {
		seconds := int(math.Ceil(cause.retryAfter.Seconds()))
		writer.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(cause.status)
	_ = json.NewEncoder(writer).Encode(caller.ErrorBody{Error: caller.ErrorDetail{
		Code: cause.code, Message: cause.detail, NotRun: cause.notRun, RequestID: request.id,
	}})
}

// readBody reads a whole body within the limits of size and time.
func (n *Node) readBody(writer http.ResponseWriter, httpRequest *http.Request, maximum int64) ([]byte, *refusal) {
	controller := http.NewResponseController(writer)
	_ = controller.SetReadDeadline(time.Now().Add(n.settings.Limits.BodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(writer, httpRequest.Body, maximum))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, refuseNotRun(http.StatusRequestEntityTooLarge, caller.CodeTooLarge, 0, "the body has more than %d bytes", maximum)
	case err != nil:
		return nil, refuseNotRun(http.StatusRequestTimeout, caller.CodeBadRequest, 0, "the body did not arrive whole within %v", n.settings.Limits.BodyTimeout)
	}
	_ = controller.SetReadDeadline(time.Time{})
	return body, nil
}

// chooseBudget sets the budget to charge: the one that the caller's header names, or the tenant's
// default.
func (n *Node) chooseBudget(httpRequest *http.Request, request *callerRequest) *refusal {
	view := n.view.Load()
	name := httpRequest.Header.Get(caller.HeaderBudget)
	if name == "" {
		name = request.tenant.GetDefaultBudget()
	}
	request.budget = view.budgets[name]
	if request.budget == nil || request.budget.GetTenant() != request.tenant.GetName() {
		return refuseNotRun(http.StatusForbidden, caller.CodeUnknownBudget, 0, "tenant %q has no budget %q", request.tenant.GetName(), name)
	}
	return nil
}

// reserve reserves the maximum number of tokens that a request can use.
func (n *Node) reserve(ctx context.Context, request *callerRequest, amount uint64) (heldReservation, *refusal) {
	policy := escrow.Policy{Horizon: time.Duration(request.budget.GetGrantHorizonSeconds()) * time.Second}
	held, err := n.escrow.reserve(ctx, request.budget.GetName(), amount, policy)
	if errors.Is(err, escrow.ErrClosed) {
		// The holder's incarnation was fenced and has just been replaced: reserve again under the new
		// one.
		held, err = n.escrow.reserve(ctx, request.budget.GetName(), amount, policy)
	}
	switch {
	case err == nil:
		return held, nil
	case errors.Is(err, escrow.ErrExhausted):
		return held, refuseNotRun(http.StatusPaymentRequired, caller.CodeBudgetExhausted, 0,
			"budget %q does not hold the %d tokens that the request may use", request.budget.GetName(), amount)
	case errors.Is(err, escrow.ErrUnknownBudget):
		return held, refuseNotRun(http.StatusForbidden, caller.CodeUnknownBudget, retrySoon, "budget %q has no account yet", request.budget.GetName())
	}
	return held, refuseNotRun(http.StatusServiceUnavailable, caller.CodeBudgetUnreachable, retryLong,
		"not enough of budget %q can be reached from zone %q", request.budget.GetName(), n.zone)
}

func fingerprint(parts ...string) uint64 {
	digest := xxhash.New()
	for _, part := range parts {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	return digest.Sum64()
}
