package node

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	ravenwayv1 "github.com/ravenway/ravenway/api/ravenway/v1"
	"github.com/ravenway/ravenway/internal/coordination/backoff"
	"github.com/ravenway/ravenway/internal/coordination/membership"
	"github.com/ravenway/ravenway/internal/coordination/queueing"
	"github.com/ravenway/ravenway/internal/coordination/routing"
	"github.com/ravenway/ravenway/internal/duty"
)

const (
	backendsTick = 20 * time.Millisecond
	// reportInterval is the time between two load polls of each back end, platformInterval the time
	// between two reads of the platform's machine list. Both are well under 2 s, the time within
	// which a leaving back end must stop receiving new requests.
	reportInterval   = 500 * time.Millisecond
	platformInterval = 500 * time.Millisecond
	pollTimeout      = time.Second
	// maximumConcurrentPolls is the maximum number of back ends that are polled at the same time.
	maximumConcurrentPolls = 32
	defaultMaximumQueue    = 1000
)

// errDeadlinePassed indicates that a request reached its deadline while it was queued.
var errDeadlinePassed = errors.New("its deadline passed while it waited")

// backendPauses counts the responses in which a back end requested a pause.
var backendPauses = metrics.GetOrCreateCounter("ravenway_backend_pauses_total")

// pausedError indicates that all back ends of a service have requested pauses that last beyond the
// deadline of the request. wait is the time until the first of them ends.
type pausedError struct{ wait time.Duration }

// Error implements error.
func (e *pausedError) Error() string {
	return fmt.Sprintf("all back ends have asked for a pause, the first ends in %d ms", e.wait.Milliseconds())
}

// placementRequest is a request that waits in the queue of its service for a back end.
type placementRequest struct {
	requestID string
	tenant    string
	// weight is the tenant's relative share of the back ends.
	weight uint32
	class  queueing.Class
	// cost is the maximum number of tokens that the request can use; 1 for a plain service.
	cost  uint64
	route routing.Request
	// done is called once, with the chosen back end or an error.
	done func(placementResult)
}

// placementResult is the result of a placement: the chosen back end and the time spent queued, or
// an error.
type placementResult struct {
	backend routing.Backend
	choice  routing.Choice
	wait    time.Duration
	err     error
}

// backendsDuty owns the routing table of the back ends and one queue of waiting requests per
// service. maximumQueues holds the maximum length of each service's queue.
type backendsDuty struct {
	node          *Node
	duty          *duty.Duty
	table         *routing.Table
	queues        map[string]*queueing.Queue[*placementRequest]
	maximumQueues map[string]int

	// catalogBackends are the back ends of the active catalog and kinds the kinds of their services.
	// mutex guards both, since pollers and requests read them from their own goroutines.
	mutex           sync.RWMutex
	catalogBackends []routing.Backend
	kinds           map[string]ravenwayv1.ServiceKind
}

func newBackendsDuty(node *Node) *backendsDuty {
	owner := &backendsDuty{
		node: node, duty: duty.New("backends", backendsTick), table: routing.NewTable(node.zone, nodesInZone(node.acceptors), newRandom()),
		queues: map[string]*queueing.Queue[*placementRequest]{}, maximumQueues: map[string]int{}, kinds: map[string]ravenwayv1.ServiceKind{},
	}
	owner.duty.Tick = owner.expire
	owner.duty.Flush = owner.place
	return owner
}

func nodesInZone(acceptors *membership.AcceptorSet) map[string]int {
	counts := map[string]int{}
	for _, zone := range acceptors.Zones() {
		counts[zone] = len(acceptors.InZone(zone))
	}
	return counts
}

// setCatalog replaces the back ends and services by those of a new catalog revision.
func (b *backendsDuty) setCatalog(view *catalogView) {
	var backends []routing.Backend
	for _, backend := range view.backends {
		backends = append(backends, routing.Backend{
			Name: backend.GetName(), Service: backend.GetService(), Zone: backend.GetZone(),
			Address: backend.GetAddress(), Capacity: int(backend.GetCapacity()), Draining: backend.GetDraining(),
		})
	}
	kinds := map[string]ravenwayv1.ServiceKind{}
	limits := map[string]int{}
	for name, service := range view.services {
		kinds[name] = service.GetKind()
		limits[name] = cmp.Or(int(service.GetMaxQueue()), defaultMaximumQueue)
	}
	b.mutex.Lock()
	b.catalogBackends, b.kinds = backends, kinds
	b.mutex.Unlock()
	_ = b.duty.Do(context.Background(), func() {
		b.table.SetBackends(backends)
		b.maximumQueues = limits
	})
}

// acquire queues a request and waits until it has a back end. On success, the caller must call
// release.
func (b *backendsDuty) acquire(ctx context.Context, request placementRequest) (placementResult, error) {
	results := make(chan placementResult, 1)
	request.done = func(placement placementResult) { results <- placement }
	deadline := b.node.now() + 24*time.Hour
	if contextDeadline, found := ctx.Deadline(); found {
		deadline = b.node.now() + time.Until(contextDeadline)
	}
	item := &queueing.Item[*placementRequest]{
		ID: request.requestID, Tenant: request.tenant, Weight: request.weight, Class: request.class, Cost: request.cost,
		Arrived: b.node.now(), Deadline: deadline, Value: &request,
	}
	if err := b.duty.Do(ctx, func() { b.enqueue(item) }); err != nil {
		return placementResult{}, err
	}
	select {
	case placement := <-results:
		return placement, placement.err
	case <-ctx.Done():
	}
	// The caller is gone, so its request leaves the queue immediately. If it was placed just before,
	// its place at the back end is freed.
	_ = b.duty.Do(context.Background(), func() {
		if b.queue(request.route.Service).Remove(item) {
			return
		}
		select {
		case placement := <-results:
			if placement.err == nil {
				b.table.End(b.node.now(), placement.backend.Name, routing.Neutral)
			}
		default:
		}
	})
	return placementResult{}, context.Cause(ctx)
}

func (b *backendsDuty) queue(service string) *queueing.Queue[*placementRequest] {
	queue := b.queues[service]
	if queue == nil {
		queue = queueing.New[*placementRequest](cmp.Or(b.maximumQueues[service], defaultMaximumQueue), queueing.DefaultAgeing)
		b.queues[service] = queue
	}
	return queue
}

func (b *backendsDuty) enqueue(item *queueing.Item[*placementRequest]) {
	now := b.node.now()
	if firstPauseEnd, areAllPaused := b.table.FirstPauseEnd(now, item.Value.route.Service); areAllPaused && firstPauseEnd >= item.Deadline {
		item.Value.done(placementResult{err: &pausedError{wait: firstPauseEnd - now}})
		return
	}
	if err := b.queue(item.Value.route.Service).Push(item); err != nil {
		item.Value.done(placementResult{err: err})
	}
}

// place assigns queued requests to back ends that have capacity now.
func (b *backendsDuty) place() {
	now := b.node.now()
	for _, queue := range b.queues {
		for b.placeOne(now, queue) {
		}
	}
}

// placeOne assigns the first queued request for which a back end has capacity, and reports whether
// there was one.
func (b *backendsDuty) placeOne(now time.Duration, queue *queueing.Queue[*placementRequest]) bool {
	for _, item := range queue.Candidates(now) {
		choice, found := b.table.Choose(now, item.Value.route)
		if !found {
			continue
		}
		queue.Take(item)
		b.table.Begin(now, choice.Backend.Name, item.Value.route.Blocks)
		item.Value.done(placementResult{backend: choice.Backend, choice: choice, wait: now - item.Arrived})
		return true
	}
	return false
}

// expire fails the queued requests whose deadline has passed.
func (b *backendsDuty) expire() {
	for _, queue := range b.queues {
		for _, item := range queue.Expire(b.node.now()) {
			item.Value.done(placementResult{err: errDeadlinePassed})
		}
	}
}

// release records how a request ended at its back end, and frees its place there.
func (b *backendsDuty) release(name string, result routing.Result) {
	_ = b.duty.Do(context.Background(), func() { b.table.End(b.node.now(), name, result) })
}

// recordPause records the pause that a back end requests by a status 503 with a Retry-After header.
// If that leaves all back ends of the service paused, the queued requests whose deadline comes
// before the first pause ends are failed.
func (b *backendsDuty) recordPause(name string, status int, retryAfter []string) {
	if status != http.StatusServiceUnavailable || len(retryAfter) == 0 {
		return
	}
	signal := backoff.ReadPause(retryAfter)
	b.node.log.Info().Str("event", "backend_pause").Str("backend", name).Int64("asked_ms", signal.Pause.Milliseconds()).AnErr("error", signal.Fault).Send()
	backendPauses.Inc()
	_ = b.duty.Do(context.Background(), func() {
		now := b.node.now()
		b.table.Pause(now, name, signal.Pause)
		known, found := b.table.Backend(name)
		if !found {
			return
		}
		if firstPauseEnd, areAllPaused := b.table.FirstPauseEnd(now, known.Service); areAllPaused {
			for _, item := range b.queue(known.Service).Expire(firstPauseEnd) {
				item.Value.done(placementResult{err: &pausedError{wait: firstPauseEnd - now}})
			}
		}
	})
}

// pausedBackends returns the back ends that are in a pause they requested.
func (b *backendsDuty) pausedBackends(ctx context.Context) ([]routing.PausedBackend, error) {
	return duty.Call(ctx, b.duty, func(reply func([]routing.PausedBackend)) { reply(b.table.Paused(b.node.now())) })
}

// markLeaving records that a back end reported in a response that it is leaving.
func (b *backendsDuty) markLeaving(name string) {
	_ = b.duty.Do(context.Background(), func() { b.table.MarkLeaving(name) })
}

// checkUsable reports whether a back end can still be used at the moment of dispatch, since it may
// have begun to leave after the request was placed. The text is the reason if it can't.
func (b *backendsDuty) checkUsable(ctx context.Context, name string) (bool, string) {
	type usability struct {
		usable bool
		reason string
	}
	found, err := duty.Call(ctx, b.duty, func(reply func(usability)) {
		usable, reason := b.table.Usable(b.node.now(), name)
		// "full" is no obstacle: the request itself may have taken the last place.
		reply(usability{usable: usable || reason == "full", reason: reason})
	})
	return err == nil && found.usable, found.reason
}

// backend returns a back end of the active catalog.
func (b *backendsDuty) backend(name string) (routing.Backend, bool) {
	b.mutex.RLock()
	defer b.mutex.RUnlock()
	for _, target := range b.catalogBackends {
		if target.Name == name {
			return target, true
		}
	}
	return routing.Backend{}, false
}

func (b *backendsDuty) engines() []routing.Backend {
	b.mutex.RLock()
	defer b.mutex.RUnlock()
	var engines []routing.Backend
	for _, target := range b.catalogBackends {
		if b.kinds[target.Service] == ravenwayv1.ServiceKind_SERVICE_KIND_ENGINE {
			engines = append(engines, target)
		}
	}
	return engines
}
