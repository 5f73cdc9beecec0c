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
	// maximumKeyLength bounds a caller's idempotency key.
	maximumKeyLength = 256
	// defaultOutputTokens is the bound of a request that names none.
	defaultOutputTokens = 256
	// defaultMaxOutput is the largest output of a service that names none.
	defaultMaxOutput = 4096
	bearerPrefix     = "Bearer "
	// Retry-After of refusals by their cause, in whole seconds.
	retrySoon = 1 * time.Second
	retryLong = 5 * time.Second
)

// streamTracker counts the requests in progress.
type streamTracker struct{ active atomic.Int64 }

// refusal is an answer that ends a request.
type refusal struct {
	status     int
	code       caller.Code
	notRun     bool
	retryAfter time.Duration
	detail     string
}

// Error implements error.
func (r *refusal) Error() string { return fmt.Sprintf("%s: %s", r.code, r.detail) }

// refuseNotRun is a refusal of a request that no back end was offered.
func refuseNotRun(status int, code caller.Code, retryAfter time.Duration, format string, arguments ...any) *refusal {
	return &refusal{status: status, code: code, notRun: true, retryAfter: retryAfter, detail: fmt.Sprintf(format, arguments...)}
}

// request is one caller's request as the flow needs it.
type request struct {
	id       string
	tenant   *ravenwayv1.Tenant
	service  *ravenwayv1.Service
	class    queueing.Class
	deadline time.Duration
	// key is the claim's, minted or from the caller.
	key           claims.Key
	callerKey     bool
	notRepeatable bool
	fingerprint   uint64
	budget        *ravenwayv1.Budget
}

// callerHandler serves tenants.
func (n *Node) callerHandler() http.Handler {
	router := mux.NewRouter().SkipClean(true)
	router.HandleFunc("/v1/chat/completions", n.admit(func(w http.ResponseWriter, r *http.Request, q *request) {
		n.serveCompletion(w, r, q, true)
	})).Methods(http.MethodPost)
	router.HandleFunc("/v1/completions", n.admit(func(w http.ResponseWriter, r *http.Request, q *request) {
		n.serveCompletion(w, r, q, false)
	})).Methods(http.MethodPost)
	router.PathPrefix("/").HandlerFunc(n.admit(n.servePlain))
	return router
}

// admit checks what all requests have in common: room, the tenant, headers.
func (n *Node) admit(serve func(http.ResponseWriter, *http.Request, *request)) http.HandlerFunc {
	return func(writer http.ResponseWriter, httpRequest *http.Request) {
		accepted := &request{id: uuid.NewString()}
		writer.Header().Set(caller.HeaderRequestID, accepted.id)
		writer.Header().Set(caller.HeaderNode, n.name)
		if n.stopping.Load() {
			// Served all the same: the balancer lags. Only the connection ends.
			writer.Header().Set("Connection", "close")
		}
		active := n.streams.active.Add(1)
		defer n.streams.active.Add(-1)
		if active > int64(n.settings.Limits.MaximumStreams) {
			n.refuse(writer, accepted, refuseNotRun(http.StatusServiceUnavailable, caller.CodeQueueFull, retrySoon,
				"this node serves as many requests as it may"))
			return
		}
		if err := n.readHeaders(httpRequest, accepted); err != nil {
			n.refuse(writer, accepted, err)
			return
		}
		serve(writer, httpRequest, accepted)
	}
}

func (n *Node) readHeaders(httpRequest *http.Request, accepted *request) *refusal {
	if n.view.Load().revision == 0 {
		return refuseNotRun(http.StatusServiceUnavailable, caller.CodeStarting, retrySoon, "this node has no catalog yet")
	}
	key, found := strings.CutPrefix(httpRequest.Header.Get("Authorization"), bearerPrefix)
	if !found || key == "" {
		return refuseNotRun(http.StatusUnauthorized, caller.CodeUnauthorized, 0, "an API key is needed: Authorization: Bearer KEY")
	}
	digest := sha256.Sum256([]byte(key))
	accepted.tenant = n.view.Load().tenants[hex.EncodeToString(digest[:])]
	if accepted.tenant == nil {
		return refuseNotRun(http.StatusUnauthorized, caller.CodeUnauthorized, 0, "the API key is not known")
	}
	if err := n.readClass(httpRequest, accepted); err != nil {
		return err
	}
	accepted.deadline = n.settings.Limits.RequestDeadline
	if text := httpRequest.Header.Get(caller.HeaderDeadline); text != "" {
		deadline, err := time.ParseDuration(text)
		if err != nil || deadline <= 0 {
			return badRequest("%s: %q is not a duration above 0 such as 30s", caller.HeaderDeadline, text)
		}
		accepted.deadline = deadline
	}
	if text := httpRequest.Header.Get(caller.HeaderNotRepeatable); text != "" {
		notRepeatable, err := strconv.ParseBool(text)
		if err != nil {
			return badRequest("%s: %q is neither true nor false", caller.HeaderNotRepeatable, text)
		}
		accepted.notRepeatable = notRepeatable
	}
	return n.readKey(httpRequest, accepted)
}

func (n *Node) readClass(httpRequest *http.Request, accepted *request) *refusal {
	name := httpRequest.Header.Get(caller.HeaderPriority)
	if name == "" {
		name = catalog.PriorityNormal
	}
	position := slices.Index(catalog.Priorities, name)
	if position < 0 {
		return badRequest("%s: %q is none of %s", caller.HeaderPriority, name, strings.Join(catalog.Priorities, ", "))
	}
	accepted.class = queueing.Class(position)
	if highest := accepted.tenant.GetMaxPriority(); highest != "" {
		accepted.class = max(accepted.class, queueing.Class(slices.Index(catalog.Priorities, highest)))
	}
	return nil
}

// readKey takes the caller's key, or mints one.
func (n *Node) readKey(httpRequest *http.Request, accepted *request) *refusal {
	key := httpRequest.Header.Get(caller.HeaderIdempotencyKey)
	if len(key) > maximumKeyLength {
		return badRequest("%s: has %d characters; at most %d are allowed", caller.HeaderIdempotencyKey, len(key), maximumKeyLength)
	}
	accepted.callerKey = key != ""
	if accepted.callerKey {
		accepted.key = claims.NewKey(accepted.tenant.GetName(), key)
		return nil
	}
	accepted.key = n.mintKey(accepted)
	return nil
}

// maximumMints bounds the keys tried for one request.
const maximumMints = 64

// mintKey makes up a key, if possible one that this node holds itself: its
// claim then needs one other node only.
func (n *Node) mintKey(accepted *request) claims.Key {
	var key claims.Key
	for attempt := range maximumMints {
		key = claims.NewKey(accepted.tenant.GetName(), fmt.Sprintf("%s minted %d", accepted.id, attempt))
		if slices.Contains(n.pool.Holders(n.zone, string(key[:])), n.name) {
			return key
		}
	}
	return key
}

// scope is where the claim's holders lie. A repeatable request's are in its
// key's home zone, so that retries through any zone find it; a minted key's
// are in this zone; a non-repeatable request's lie one to a zone.
func (n *Node) scope(of *request) string {
	switch {
	case of.notRepeatable && of.callerKey:
		return membership.ScopeGlobal
	case of.callerKey:
		if home := n.homeZone(of.key); n.claims.reachedLately(home) {
			return home
		}
	}
	return n.zone
}

// homeZone is where a caller's key is claimed while that zone can be reached.
func (n *Node) homeZone(key claims.Key) string {
	return n.pool.ZonesFor(string(key[:]))[0]
}

func badRequest(format string, arguments ...any) *refusal {
	return refuseNotRun(http.StatusBadRequest, caller.CodeBadRequest, 0, format, arguments...)
}

// refuse answers with a typed error, at once.
func (n *Node) refuse(writer http.ResponseWriter, of *request, cause *refusal) {
	tenant := ""
	if of.tenant != nil {
		tenant = of.tenant.GetName()
	}
	n.log.Info().Str("event", "refused").Str("request", of.id).Str("tenant", tenant).Str("code", string(cause.code)).
		Bool("not_run", cause.notRun).Str("why", cause.detail).Send()
	countRefusal(cause.code)
	if cause.retryAfter > 0 {
		seconds := int(math.Ceil(cause.retryAfter.Seconds()))
		writer.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(cause.status)
	_ = json.NewEncoder(writer).Encode(caller.ErrorBody{Error: caller.ErrorDetail{
		Code: cause.code, Message: cause.detail, NotRun: cause.notRun, RequestID: of.id,
	}})
}

// readBody reads a whole body within bounds of size and time.
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

// chooseBudget finds the budget to charge.
func (n *Node) chooseBudget(httpRequest *http.Request, of *request) *refusal {
	view := n.view.Load()
	name := httpRequest.Header.Get(caller.HeaderBudget)
	if name == "" {
		name = of.tenant.GetDefaultBudget()
	}
	of.budget = view.budgets[name]
	if of.budget == nil || of.budget.GetTenant() != of.tenant.GetName() {
		return refuseNotRun(http.StatusForbidden, caller.CodeUnknownBudget, 0, "tenant %q has no budget %q", of.tenant.GetName(), name)
	}
	return nil
}

// reserve sets the worst case of a request aside.
func (n *Node) reserve(ctx context.Context, of *request, amount uint64) (reserved, *refusal) {
	policy := escrow.Policy{Horizon: time.Duration(of.budget.GetGrantHorizonSeconds()) * time.Second}
	held, err := n.escrow.reserve(ctx, of.budget.GetName(), amount, policy)
	if errors.Is(err, escrow.ErrClosed) {
		// The node has just taken a new life: once more under that.
		held, err = n.escrow.reserve(ctx, of.budget.GetName(), amount, policy)
	}
	switch {
	case err == nil:
		return held, nil
	case errors.Is(err, escrow.ErrExhausted):
		return held, refuseNotRun(http.StatusPaymentRequired, caller.CodeBudgetSpent, 0,
			"budget %q does not hold the %d tokens that the request may use", of.budget.GetName(), amount)
	case errors.Is(err, escrow.ErrUnknownBudget):
		return held, refuseNotRun(http.StatusForbidden, caller.CodeUnknownBudget, retrySoon, "budget %q has no account yet", of.budget.GetName())
	}
	return held, refuseNotRun(http.StatusServiceUnavailable, caller.CodeBudgetUnreachable, retryLong,
		"not enough of budget %q can be reached from zone %q", of.budget.GetName(), n.zone)
}

func fingerprint(parts ...string) uint64 {
	digest := xxhash.New()
	for _, part := range parts {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	return digest.Sum64()
}
