package forward

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/ravenway/ravenway/internal/coordination/balance"
	"github.com/ravenway/ravenway/internal/coordination/quarantine"
	"github.com/ravenway/ravenway/internal/coordination/ratelimit"
	"github.com/ravenway/ravenway/internal/coordination/rollout"
	"github.com/ravenway/ravenway/internal/state/document"
	"github.com/ravenway/ravenway/internal/transport"
)

// Environment is the pipeline's interface to its node.
type Environment interface {
	// Configuration returns the document in effect, or nil before the first one is known.
	Configuration() *document.Index
	// HasNewestConfiguration reports whether the document in effect is known to be the newest.
	HasNewestConfiguration() bool
	// NewestKnown returns the highest document version known to be in effect at some node, and the
	// time since this node first learned of it.
	NewestKnown() (version uint64, since time.Duration)
	// Reserve reserves tokens of a tenant before a request is sent. It waits for them no longer
	// than maximumWait.
	Reserve(ctx context.Context, tenant string, tokens uint64, maximumWait time.Duration) (Reservation, error)
	// RetryPolicy returns the limits on retries.
	RetryPolicy() balance.RetryPolicy
	// EntryNodes is the number of live nodes that send requests.
	EntryNodes() int
	// Stop returns the state of a planned stop.
	Stop() StopState
	// LinkDelay returns how long incoming traffic is queued before this node's link.
	LinkDelay() time.Duration
	// Shedding reports whether callers are being moved to other nodes for a while.
	Shedding() bool
	// Admit counts a caller's request with a body of bodyBytes, and reports whether it is served
	// here. A request with mustServe set is always served.
	Admit(caller string, bodyBytes int64, mustServe bool) bool
	// Now returns the time of a monotonic clock.
	Now() time.Duration
}

// StopState is the state of a planned stop.
type StopState struct {
	Begun bool
	// Since is the time since the stop began, Left the time until requests in progress are
	// aborted.
	Since, Left time.Duration
}

// acceptsAllPeriod is how long after the beginning of a stop requests of any length are accepted:
// callers may not know of the stop for that long.
const acceptsAllPeriod = 2800 * time.Millisecond

// accepts reports whether a request that may take up to the given time is accepted. Later in a
// stop, a request that might be aborted is refused before it has run.
func (s StopState) accepts(longest time.Duration) bool {
	return !s.Begun || s.Since < acceptsAllPeriod || longest < s.Left
}

// Options configure a Pipeline.
type Options struct {
	Dialect     Dialect
	Environment Environment
	Table       *balance.Table
	Log         *DecisionLog
	// Dial opens connections to engines; nil means TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// BufferedBytes bounds the request bodies and responses in memory.
	BufferedBytes int64
	// Guard knows the requests that crash engines; nil means a guard that receives no verdicts.
	Guard *quarantine.Guard
	// Recorder records how instances respond; nil means that the records are not used.
	Recorder *rollout.Recorder
	// RateLimits enforces the rate limits that instances name; nil means that they are not
	// enforced.
	RateLimits RateLimits
	// Backoff keeps the pauses that instances request; nil means that they are ignored.
	Backoff Backoff
	// EngineMeter counts the bytes of the connections to engines; nil means that they are not
	// counted.
	EngineMeter *transport.Meter
	// PromptReservations reserves prompts before they are sent; nil means that none are.
	PromptReservations PromptReservations
	// Slots bounds the requests in flight at brittle instances; nil means that nothing does.
	Slots Slots
	// StreamVersions keeps on which version each resumable stream began; nil means that nothing does.
	StreamVersions StreamVersions
	// EnginePaths decides how connections to engines are opened; nil means directly.
	EnginePaths EnginePaths
}

// Pipeline serves callers' requests. It implements http.Handler.
type Pipeline struct {
	options Options
	pool    *pool
	crashes *crashDetector
	// witnesses watch engines whose responses end with their connection.
	witnesses *endWitnesses
	// waiting are the requests whose response has not begun.
	waiting waitingRequests
	// headers detects unknown response headers.
	headers    *unknownHeaderDetector
	retries    *balance.RetryBudget
	retryTimes *ratelimit.Retries
	// buffered is the memory that bodies and responses take, in bytes.
	buffered atomic.Int64
	// active is the number of requests in progress.
	active atomic.Int64
	// received is the number of bytes received in callers' bodies.
	received atomic.Int64
}

// Time of each request from its arrival to the end of its response, of each wait for prepaid
// tokens, and from the arrival of a request to the head of its response.
var (
	requestSeconds = metrics.GetOrCreateHistogram("ravenway_forward_request_seconds")
	reserveSeconds = metrics.GetOrCreateHistogram("ravenway_forward_reserve_seconds")
	headSeconds    = metrics.GetOrCreateHistogram("ravenway_forward_head_seconds")
)

// DefaultBufferedBytes bounds the request bodies and responses in memory where the process's
// memory limit is not known.
const DefaultBufferedBytes = 32 << 20

// New returns a pipeline with defaults for the options that are not set.
func New(options Options) *Pipeline {
	if options.BufferedBytes == 0 {
		options.BufferedBytes = DefaultBufferedBytes
	}
	if options.Log == nil {
		options.Log = NewDecisionLog(zerolog.Nop())
	}
	if options.Guard == nil {
		options.Guard = quarantine.NewGuard(nil)
	}
	if options.Recorder == nil {
		options.Recorder = rollout.NewRecorder()
	}
	if options.RateLimits == nil {
		options.RateLimits = noRateLimits{}
	}
	if options.Backoff == nil {
		options.Backoff = noBackoff{}
	}
	if options.PromptReservations == nil {
		options.PromptReservations = noPromptReservations{}
	}
	if options.Slots == nil {
		options.Slots = noSlots{}
	}
	if options.StreamVersions == nil {
		options.StreamVersions = noStreamVersions{}
	}
	if options.EnginePaths == nil {
		options.EnginePaths = noEnginePaths{}
	}
	created := &Pipeline{options: options, retryTimes: ratelimit.NewRetries(), headers: newUnknownHeaderDetector(), pool: newPool(options.Dial, options.Environment.LinkDelay, options.EnginePaths), retries: balance.NewRetryBudget()}
	if options.EngineMeter != nil {
		created.pool.meter = options.EngineMeter
	}
	created.crashes = newCrashDetector(created)
	created.witnesses = newEndWitnesses(created.pool)
	return created
}

// Active returns the number of requests in progress.
func (p *Pipeline) Active() int64 { return p.active.Load() }

// ReceivedBytes returns the bytes received in callers' bodies since the start, including those of
// requests that were redirected to other nodes.
func (p *Pipeline) ReceivedBytes() int64 { return p.received.Load() }

// Tick closes idle connections that have expired.
func (p *Pipeline) Tick() { p.pool.prune(time.Now()) }

// request is one caller's request in progress.
type request struct {
	pipeline *Pipeline
	writer   http.ResponseWriter
	// controller flushes the writer when no further complete event is buffered, and at the end of
	// a response.
	controller *http.ResponseController
	incoming   *http.Request
	index      *document.Index
	route      *document.Route
	tenant     *document.Tenant
	call       *Call
	body       []byte
	// bodyReserved is the memory that is reserved for the body, in bytes.
	bodyReserved int64
	arrived      time.Time
	deadline     time.Time
	// tried are the instances that the request was offered to, instancesReached is how many of
	// them it reached.
	tried            []string
	instancesReached int
	// permitsRefused counts the instances for which the request was refused a permit.
	permitsRefused int
	// relayNode is the address of the node that relayed the last attempt, "" for a direct one.
	relayNode string
	// prompt is the reservation of the request's prompt.
	prompt promptState
	// retryTime is the time after which the caller should retry a request that pauses or rate
	// limits exclude from all instances.
	retryTime time.Duration
	// mayHaveRun indicates that an engine may have begun to run the request.
	mayHaveRun  bool
	reservation Reservation
	// events counts the events relayed to the caller.
	events uint64
	// stream is the version that a stream is bound to.
	stream streamBound
	// sending is the last exchange with an engine.
	sending *exchange
	// hasBegun indicates that the head of the caller's response was written.
	hasBegun bool
	// isResponding indicates that a response is being relayed, isComplete that it was relayed to
	// its end.
	isResponding, isComplete bool
	// isEndCertain indicates that the end of the response shows that its engine ran the request to
	// completion.
	isEndCertain bool
	// hasFinished indicates that the caller's whole response was written, with the error writeErr.
	hasFinished bool
	writeErr    error
	// tokenWait is how long the request waited for its tokens.
	tokenWait time.Duration
	// pace records when a stream's events arrived.
	pace eventPace
	// scope is part of the request's identity, and parts are those of its prompt that other requests may
	// share. scope is 0 until both are first computed, see content.
	scope uint64
	parts []quarantine.Part
}

// ServeHTTP implements http.Handler.
func (p *Pipeline) ServeHTTP(writer http.ResponseWriter, incoming *http.Request) {
	p.active.Add(1)
	defer p.active.Add(-1)
	if p.options.Environment.Stop().Begun || p.options.Environment.Shedding() {
		// Makes the caller open a new connection for its next request, which then reaches another
		// node.
		writer.Header().Set("Connection", "close")
	}
	current := &request{pipeline: p, writer: writer, controller: http.NewResponseController(writer), incoming: incoming, arrived: time.Now()}
	// Runs last, so that the caller has its response only once all else is done.
	defer current.confirmSent()
	defer current.recoverPanic()
	defer requestSeconds.UpdateDuration(current.arrived)
	defer current.releaseBody()
	if refused := current.admit(); refused != nil {
		current.refuse(*refused)
		return
	}
	ctx, cancel := context.WithDeadline(incoming.Context(), current.deadline)
	defer cancel()
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	p.waiting.add(current, end)
	defer p.waiting.remove(current)
	if refused := current.findStream(ctx); refused != nil {
		current.refuse(*refused)
		return
	}
	if refused := current.reserve(ctx); refused != nil {
		current.refuse(*refused)
		return
	}
	defer current.settle()
	current.serve(ctx)
}

// admit decides whether the request is allowed, and reads its body.
func (r *request) admit() *Refusal {
	environment := r.pipeline.options.Environment
	if r.index = environment.Configuration(); r.index == nil {
		return refuse(http.StatusServiceUnavailable, ReasonNoConfiguration)
	}
	path, _, _ := strings.Cut(r.incoming.RequestURI, "?")
	if !strings.HasPrefix(path, "/") {
		return refuse(http.StatusBadRequest, ReasonMalformed)
	}
	if r.route = r.index.Route(r.incoming.Host, path); r.route == nil {
		return r.refuseUnknown(http.StatusNotFound, ReasonNoRoute)
	}
	call, err := r.pipeline.options.Dialect.ReadCall(r.incoming)
	if err != nil {
		refused := refuse(http.StatusBadRequest, ReasonMalformed)
		refused.Detail = err.Error()
		return refused
	}
	r.call = call
	r.noteBehind()
	if len(r.index.Document.Tenants) > 0 && !r.route.Public {
		if r.tenant = r.index.TenantOfKey(call.Key); r.tenant == nil {
			return r.refuseUnknown(http.StatusUnauthorized, ReasonUnknownKey)
		}
	}
	r.deadline = r.arrived.Add(r.route.Timeout)
	if call.Wait > 0 && call.Wait < r.route.Timeout {
		r.deadline = r.arrived.Add(call.Wait)
	}
	if !r.endsBeforeStop() {
		return refuse(http.StatusServiceUnavailable, ReasonStopping)
	}
	if !environment.Admit(r.callerName(), r.incoming.ContentLength, r.route.Objective < minimumRedirectObjective) {
		// The body is received over the link even though the request is refused.
		r.pipeline.received.Add(max(0, r.incoming.ContentLength))
		return refuse(http.StatusServiceUnavailable, ReasonOverloaded)
	}
	if refused := r.readBody(); refused != nil {
		return refused
	}
	if !r.endsBeforeStop() {
		return refuse(http.StatusServiceUnavailable, ReasonStopping)
	}
	if r.quarantineStatus() == quarantine.Quarantined {
		return refuse(http.StatusServiceUnavailable, ReasonQuarantined)
	}
	return nil
}

// endsBeforeStop reports whether the request may be sent to an engine now: in a planned stop, a request that might be
// aborted is refused before.
func (r *request) endsBeforeStop() bool {
	return r.pipeline.options.Environment.Stop().accepts(time.Until(r.deadline))
}

// callerName returns the name under which the request is counted: the tenant's, regardless of the
// machine, or the machine's address without a tenant.
func (r *request) callerName() string {
	if r.tenant != nil {
		return r.tenant.Name
	}
	host, _, err := net.SplitHostPort(r.incoming.RemoteAddr)
	if err != nil {
		return r.incoming.RemoteAddr
	}
	return host
}

// requestsBehind counts requests that were handled under an older document than the newest known
// to the node.
var requestsBehind = metrics.GetOrCreateCounter("ravenway_requests_behind_total")

// noteBehind records that the request is handled under an older document than the newest that
// this node knows to be in effect somewhere.
func (r *request) noteBehind() {
	newest, since := r.pipeline.options.Environment.NewestKnown()
	if newest <= r.index.Document.Version {
		return
	}
	requestsBehind.Inc()
	r.pipeline.options.Log.OutdatedConfiguration(r, newest, since)
}

// refuseUnknown refuses a request for something that the document in effect does not contain. A
// node that may lack the newest document can't be certain of that.
func (r *request) refuseUnknown(status int, reason Reason) *Refusal {
	if !r.pipeline.options.Environment.HasNewestConfiguration() {
		return refuse(http.StatusServiceUnavailable, ReasonNotCertain)
	}
	return refuse(status, reason)
}

// tokenMaximumWait is the maximum wait for a request's tokens, regardless of its objective. The
// root responds within 10 to 25 ms. If it is unreachable, neighbours are queried after 50 ms, and
// two rounds of 40 ms find nearly all that they have. A caller that retries at another node is
// served sooner than by a longer wait.
const tokenMaximumWait = 120 * time.Millisecond

// affinityPartID returns the ID of the part of the prompt by which an instance is chosen: the last
// one that other requests share. The last part of a prompt is the request's own, so it is chosen
// only if there is no other.
func (c *Call) affinityPartID() string {
	switch count := len(c.Parts); count {
	case 0:
		return ""
	case 1:
		return c.Parts[0].ID
	default:
		return c.Parts[count-2].ID
	}
}

// sharedTokens returns the number of tokens in the parts that other requests share: all but the
// last.
func (c *Call) sharedTokens() int {
	shared := uint64(0)
	for _, part := range c.Parts[:max(0, len(c.Parts)-1)] {
		shared += part.Tokens
	}
	return int(shared)
}

// cost returns the request's work, in units of a medium-sized request. An output token counts as 10
// input tokens.
func (c *Call) cost() float64 {
	if !c.HasTokens {
		return 1
	}
	return (float64(c.TokensIn) + 10*float64(c.TokensOut)) / balance.TypicalRequestTokens
}
