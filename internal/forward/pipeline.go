package forward

import (
	"context"
	"errors"
	"io"
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
)

// Errors of reservations, see Environment.Reserve.
var (
	// ErrSpent says that what is left of a tenant's prepaid tokens can't hold
	// the request; it is certain.
	ErrSpent = errors.New("forward: the tenant's prepaid tokens can't hold the request")
	// ErrNotReserved says that the tokens could not be reserved now.
	ErrNotReserved = errors.New("forward: the tokens could not be reserved now")
	// ErrNotReservedYet says that they probably can be in a moment.
	ErrNotReservedYet = errors.New("forward: the tokens could not be reserved yet")
)

// Reservation holds tokens for one request until it is settled.
type Reservation interface {
	// Settle ends the reservation with the tokens used. It is called once.
	Settle(used uint64)
}

// Environment is what the pipeline asks of its node.
type Environment interface {
	// Configuration returns the document in force, or nil before the first.
	Configuration() *document.Index
	// Certain tells whether the document in force is known to be the newest.
	Certain() bool
	// NewestHeard is the highest version that some node was heard to have in
	// force, and how long ago the first word of it came.
	NewestHeard() (version uint64, since time.Duration)
	// Reserve sets tokens of a tenant aside before a request is sent. It waits
	// for them no longer than the patience.
	Reserve(ctx context.Context, tenant string, tokens uint64, patience time.Duration) (Reservation, error)
	// RetryPolicy returns how often requests may be sent once more.
	RetryPolicy() balance.RetryPolicy
	// EntryNodes is the number of live nodes that send requests.
	EntryNodes() int
	// Stop tells of a planned stop.
	Stop() StopState
	// LinkDelay is how long what is sent to this node waits for its link.
	LinkDelay() time.Duration
	// Shedding tells that callers are to go to other nodes for a while.
	Shedding() bool
	// LetsIn notes a request of a caller, with a body of some bytes, and tells
	// whether it is served here. One that must be served always is.
	LetsIn(caller string, bodyBytes int64, mustServe bool) bool
	// Now is a steady clock.
	Now() time.Duration
}

// StopState tells of a planned stop.
type StopState struct {
	Begun bool
	// Since is the time since it began, Left the time until requests in
	// progress are cut.
	Since, Left time.Duration
}

// takesAll is how long after the beginning of a stop requests of any length
// are taken: so long callers may not know of it.
const takesAll = 2800 * time.Millisecond

// takes tells whether a request that may last for a time is taken. Later on, a
// request that might be cut is turned away: it has not run.
func (s StopState) takes(longest time.Duration) bool {
	return !s.Begun || s.Since < takesAll || longest < s.Left
}

// Options set up a Pipeline.
type Options struct {
	Dialect     Dialect
	Environment Environment
	Table       *balance.Table
	Log         *DecisionLog
	// Dial opens connections to engines; nil means TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// BufferedBytes bounds the bodies and the answers in memory.
	BufferedBytes int64
	// UnreadPatience is how long a caller may leave what it is sent unread; 0 means
	// DefaultUnreadPatience.
	UnreadPatience time.Duration
	// Guard knows the requests that end their engines; nil means one that is told of
	// nothing.
	Guard *quarantine.Guard
	// Recorder records how instances answer; nil means that nobody asks.
	Recorder *rollout.Recorder
	// RateLimits keeps the limits that instances name; nil means that they are not kept.
	RateLimits RateLimits
	// Backoff keeps the pauses that instances ask for; nil means that nobody is told.
	Backoff Backoff
}

// Pipeline serves callers.
type Pipeline struct {
	options Options
	pool    *pool
	ends    *endWatch
	// waiting are the requests of which no answer has begun yet.
	waiting waitingRequests
	// headers finds the headers of answers that are not known.
	headers  *headerWatch
	retries  *balance.RetryBudget
	returns  *ratelimit.Returns
	buffered atomic.Int64
	active   atomic.Int64
	received atomic.Int64
}

// Times of all requests from their arrival to the end of their answer, of the
// waits for prepaid tokens, and from the arrival to the head of an answer.
var (
	requestSeconds = metrics.GetOrCreateHistogram("ravenway_forward_request_seconds")
	reserveSeconds = metrics.GetOrCreateHistogram("ravenway_forward_reserve_seconds")
	headSeconds    = metrics.GetOrCreateHistogram("ravenway_forward_head_seconds")
)

// DefaultBufferedBytes bounds the request bodies in memory where the process's
// memory is not known.
const DefaultBufferedBytes = 32 << 20

// DefaultUnreadPatience is how long a caller may leave what it is sent unread. Until then
// its connections, here and to the engine, are held, some 50 KB for a stream; beyond, nobody
// waits for it any more: callers give a stream up after 2 to 7 s without an event.
const DefaultUnreadPatience = 8 * time.Second

// New makes a pipeline.
func New(options Options) *Pipeline {
	if options.UnreadPatience == 0 {
		options.UnreadPatience = DefaultUnreadPatience
	}
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
	made := &Pipeline{options: options, returns: ratelimit.NewReturns(), headers: newHeaderWatch(), pool: newPool(options.Dial, options.Environment.LinkDelay), retries: balance.NewRetryBudget()}
	made.ends = newEndWatch(made)
	return made
}

// Active is the number of requests in progress.
func (p *Pipeline) Active() int64 { return p.active.Load() }

// ReceivedBytes are the bytes of callers' bodies since the start, those of requests
// that were sent elsewhere included.
func (p *Pipeline) ReceivedBytes() int64 { return p.received.Load() }

// Tick closes kept connections that are past their time.
func (p *Pipeline) Tick() { p.pool.prune(time.Now()) }

// request is one caller's request on its way.
type request struct {
	pipeline *Pipeline
	writer   http.ResponseWriter
	// controller sets the writer's deadlines and flushes it, with each event of a stream.
	controller *http.ResponseController
	incoming   *http.Request
	index      *document.Index
	route      *document.Route
	tenant     *document.Tenant
	call       *Call
	body       []byte
	arrived    time.Time
	deadline   time.Time
	// tried are the instances that the request was offered to, arrivals how
	// many of them it reached.
	tried    []string
	arrivals int
	// permitsRefused counts the instances that had no permit for it.
	permitsRefused int
	// comeBack is when the pauses or limits that kept it from all instances let it in.
	comeBack time.Duration
	// mayHaveRun tells that an engine may have begun work on it.
	mayHaveRun  bool
	reservation Reservation
	// events are the events passed on to the caller.
	events uint64
	// answering tells that an answer is passed on, endedWhole that it was to its end.
	answering, endedWhole bool
	// tokenWait is how long it waited for its tokens.
	tokenWait time.Duration
	// pace is when a stream's events came.
	pace eventPace
	// scope is part of what the request is, 0 until it is asked for, see work.
	scope uint64
}

// ServeHTTP implements http.Handler.
func (p *Pipeline) ServeHTTP(writer http.ResponseWriter, incoming *http.Request) {
	p.active.Add(1)
	defer p.active.Add(-1)
	if p.options.Environment.Stop().Begun || p.options.Environment.Shedding() {
		// The next request of this caller goes over a new connection, elsewhere.
		writer.Header().Set("Connection", "close")
	}
	one := &request{pipeline: p, writer: writer, controller: http.NewResponseController(writer), incoming: incoming, arrived: time.Now()}
	one.awaitReader()
	defer requestSeconds.UpdateDuration(one.arrived)
	if refused := one.admit(); refused != nil {
		one.refuse(*refused)
		return
	}
	defer p.buffered.Add(-int64(len(one.body)))
	ctx, cancel := context.WithDeadline(incoming.Context(), one.deadline)
	defer cancel()
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	p.waiting.add(one, end)
	defer p.waiting.remove(one)
	if refused := one.reserve(ctx); refused != nil {
		one.refuse(*refused)
		return
	}
	defer one.settle()
	one.serve(ctx)
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
		return r.unknown(http.StatusNotFound, ReasonNoRoute)
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
			return r.unknown(http.StatusUnauthorized, ReasonUnknownKey)
		}
	}
	r.deadline = r.arrived.Add(r.route.Timeout)
	if call.Wait > 0 && call.Wait < r.route.Timeout {
		r.deadline = r.arrived.Add(call.Wait)
	}
	if !environment.Stop().takes(time.Until(r.deadline)) {
		return refuse(http.StatusServiceUnavailable, ReasonStopping)
	}
	if !environment.LetsIn(r.callerName(), r.incoming.ContentLength, r.route.Objective < leastObjectiveElsewhere) {
		// Its body comes over the link all the same.
		r.pipeline.received.Add(max(0, r.incoming.ContentLength))
		return refuse(http.StatusServiceUnavailable, ReasonOverloaded)
	}
	if refused := r.readBody(); refused != nil {
		return refused
	}
	if r.standing() == quarantine.Quarantined {
		r.pipeline.buffered.Add(-int64(len(r.body)))
		return refuse(http.StatusServiceUnavailable, ReasonQuarantined)
	}
	return nil
}

// callerName is whose requests this one is counted with: the tenant's, whatever
// machine they come from, or without a tenant the machine's.
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

// requestsBehind counts requests that were taken under an older document than
// the newest that the node had heard of.
var requestsBehind = metrics.GetOrCreateCounter("ravenway_requests_behind_total")

// noteBehind notes that the request is handled under an older document than
// the newest that this node knows to be in force somewhere.
func (r *request) noteBehind() {
	newest, since := r.pipeline.options.Environment.NewestHeard()
	if newest <= r.index.Document.Version {
		return
	}
	requestsBehind.Inc()
	r.pipeline.options.Log.Behind(r, newest, since)
}

// unknown refuses what the document in force does not have. A node that may
// lack the newest document is not sure of that.
func (r *request) unknown(status int, reason Reason) *Refusal {
	if !r.pipeline.options.Environment.Certain() {
		return refuse(http.StatusServiceUnavailable, ReasonNotCertain)
	}
	return refuse(status, reason)
}

// readBody reads the whole body: it is sent again if an engine turns the
// request away.
func (r *request) readBody() *Refusal {
	limit := r.index.Document.Limits.MaximumBodyBytes
	if limit > 0 && r.incoming.ContentLength > limit {
		return refuse(http.StatusRequestEntityTooLarge, ReasonTooLarge)
	}
	if r.incoming.Body == nil || r.incoming.ContentLength == 0 {
		return nil
	}
	if r.incoming.ContentLength > 0 {
		return r.readSizedBody(r.incoming.ContentLength)
	}
	reader := io.Reader(r.incoming.Body)
	if limit > 0 {
		reader = io.LimitReader(reader, limit+1)
	}
	body, err := io.ReadAll(reader)
	if err != nil {
		return refuse(http.StatusBadRequest, ReasonMalformed)
	}
	if limit > 0 && int64(len(body)) > limit {
		return refuse(http.StatusRequestEntityTooLarge, ReasonTooLarge)
	}
	return r.keepBody(body)
}

func (r *request) readSizedBody(length int64) *Refusal {
	if r.pipeline.buffered.Load()+length > r.pipeline.options.BufferedBytes {
		return refuse(http.StatusServiceUnavailable, ReasonNoMemory)
	}
	body := make([]byte, length)
	if _, err := io.ReadFull(r.incoming.Body, body); err != nil {
		return refuse(http.StatusBadRequest, ReasonMalformed)
	}
	return r.keepBody(body)
}

func (r *request) keepBody(body []byte) *Refusal {
	if r.pipeline.buffered.Add(int64(len(body))) > r.pipeline.options.BufferedBytes {
		r.pipeline.buffered.Add(-int64(len(body)))
		return refuse(http.StatusServiceUnavailable, ReasonNoMemory)
	}
	r.body = body
	r.pipeline.received.Add(int64(len(body)))
	return nil
}

// tokenPatience is the longest wait for a request's tokens, whatever its objective: the
// root's answer takes 10 to 25 ms; where it is silent, neighbours are asked after 50 ms,
// and two rounds of 40 ms find nearly all that they have. A caller that comes back
// elsewhere is served sooner than by a longer wait.
const tokenPatience = 120 * time.Millisecond

// reserve sets the request's tokens at their most aside.
func (r *request) reserve(ctx context.Context) *Refusal {
	if r.tenant == nil || !r.tenant.HasPrepaid || !r.call.HasTokens {
		return nil
	}
	began := time.Now()
	defer func() {
		r.tokenWait = time.Since(began)
		reserveSeconds.Update(r.tokenWait.Seconds())
	}()
	reservation, err := r.pipeline.options.Environment.Reserve(ctx, r.tenant.Name, r.call.TokensIn+r.call.TokensOut, tokenPatience)
	switch {
	case errors.Is(err, ErrSpent):
		return refuse(http.StatusPaymentRequired, ReasonSpent)
	case err != nil:
		refused := refuse(http.StatusTooManyRequests, ReasonNotReserved)
		if errors.Is(err, ErrNotReservedYet) {
			refused.Reason = ReasonNotReservedYet
		}
		refused.Detail = err.Error()
		return refused
	}
	r.reservation = reservation
	return nil
}

// settle charges what the caller was handed.
func (r *request) settle() {
	if r.reservation == nil {
		return
	}
	used := r.handedOut()
	r.reservation.Settle(used)
	noteCharged(r, used)
}

// handedOut is what the caller was handed, in tokens: the prompt once an answer has
// begun, and the events that were passed on. Work of an instance that no caller was
// handed anything of is not charged, whatever became of it: its answer was lost, or
// the caller left before it came. So the charge is known here for sure, and nothing
// is charged for want of knowing.
func (r *request) handedOut() uint64 {
	switch {
	case !r.answering:
		return 0
	case r.route.Kind != document.Stream:
		return r.call.TokensIn + r.call.TokensOut
	}
	eventTokens := uint64(1)
	for _, target := range r.route.Targets {
		if service := r.index.Service(target.Service); service != nil {
			eventTokens = max(eventTokens, uint64(service.EventTokens))
		}
	}
	return r.call.TokensIn + min(r.events*eventTokens, r.call.TokensOut)
}

// Tokens charged for answers that ended as they should, for those that did not, and
// the most that requests would have been charged of which the caller was handed
// nothing though an instance may have worked on them.
var (
	chargedWhole  = metrics.GetOrCreateCounter(`ravenway_tokens_total{outcome="whole"}`)
	chargedBroken = metrics.GetOrCreateCounter(`ravenway_tokens_total{outcome="broken_off"}`)
	notHandedOut  = metrics.GetOrCreateCounter(`ravenway_tokens_total{outcome="nothing_handed_out"}`)
)

func noteCharged(r *request, used uint64) {
	switch {
	case used > 0 && r.endedWhole:
		chargedWhole.AddInt64(int64(used))
	case used > 0:
		chargedBroken.AddInt64(int64(used))
	case r.mayHaveRun:
		notHandedOut.AddInt64(int64(r.call.TokensIn + r.call.TokensOut))
	}
}

// attemptKey is what choices of an instance go by: the last part of the prompt
// that other requests share.
func (c *Call) attemptKey() string {
	switch count := len(c.Parts); count {
	case 0:
		return ""
	case 1:
		return c.Parts[0].ID
	default:
		return c.Parts[count-2].ID
	}
}

// sharedTokens are the tokens up to the part that attemptKey names.
func (c *Call) sharedTokens() int {
	shared := uint64(0)
	for _, part := range c.Parts[:max(0, len(c.Parts)-1)] {
		shared += part.Tokens
	}
	return int(shared)
}

// cost is the request's work in requests of middle size.
func (c *Call) cost() float64 {
	if !c.HasTokens {
		return 1
	}
	return (float64(c.TokensIn) + 10*float64(c.TokensOut)) / balance.MiddleTokens
}
