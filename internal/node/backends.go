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
	// reportInterval is the time between questions to each back end, and
	// platformInterval that between readings of the platform's list. Both are
	// well under the 2 s in which a leaving back end gets nothing new.
	reportInterval   = 500 * time.Millisecond
	platformInterval = 500 * time.Millisecond
	pollTimeout      = time.Second
	// pollLanes bounds the questions under way at once.
	pollLanes       = 32
	defaultMaxQueue = 1000
)

// errDeadline says that a request was given up on at its deadline.
var errDeadline = errors.New("its deadline passed while it waited")

// backendPauses counts the answers by which back ends asked for a pause.
var backendPauses = metrics.GetOrCreateCounter("ravenway_backend_pauses_total")

// pausedError says that all back ends have asked for pauses that last beyond the request's
// deadline.
type pausedError struct{ wait time.Duration }

// Error implements error.
func (e *pausedError) Error() string {
	return fmt.Sprintf("all back ends have asked for a pause, the first ends in %d ms", e.wait.Milliseconds())
}

// placement is what a request needs of a back end.
type placement struct {
	requestID string
	tenant    string
	weight    uint32
	class     queueing.Class
	cost      uint64
	route     routing.Request
	// answer is called once with the placed back end or an error.
	answer func(placed)
}

// placed is a back end given to a request.
type placed struct {
	backend routing.Backend
	choice  routing.Choice
	wait    time.Duration
	err     error
}

// backendsDuty owns the table of back ends and the queues before them.
type backendsDuty struct {
	node   *Node
	duty   *duty.Duty
	table  *routing.Table
	queues map[string]*queueing.Queue[*placement]
	limits map[string]int

	// targets is what the pollers ask, readable from their goroutines.
	mutex   sync.RWMutex
	targets []routing.Backend
	kinds   map[string]ravenwayv1.ServiceKind
}

func newBackendsDuty(node *Node) *backendsDuty {
	owner := &backendsDuty{
		node: node, duty: duty.New("backends", backendsTick), table: routing.NewTable(node.zone, nodesInZone(node.pool), newRandom()),
		queues: map[string]*queueing.Queue[*placement]{}, limits: map[string]int{}, kinds: map[string]ravenwayv1.ServiceKind{},
	}
	owner.duty.Tick = owner.expire
	owner.duty.Flush = owner.place
	return owner
}

func nodesInZone(pool *membership.Pool) map[string]int {
	counts := map[string]int{}
	for _, zone := range pool.Zones() {
		counts[zone] = len(pool.InZone(zone))
	}
	return counts
}

// setCatalog takes over the back ends and services of a new revision.
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
		limits[name] = cmp.Or(int(service.GetMaxQueue()), defaultMaxQueue)
	}
	b.mutex.Lock()
	b.targets, b.kinds = backends, kinds
	b.mutex.Unlock()
	_ = b.duty.Do(context.Background(), func() {
		b.table.SetBackends(backends)
		b.limits = limits
	})
}

// acquire waits for a back end. The caller must release what it was given.
func (b *backendsDuty) acquire(ctx context.Context, wanted placement) (placed, error) {
	answers := make(chan placed, 1)
	wanted.answer = func(given placed) { answers <- given }
	deadline := b.node.now() + 24*time.Hour
	if limit, found := ctx.Deadline(); found {
		deadline = b.node.now() + time.Until(limit)
	}
	item := &queueing.Item[*placement]{
		ID: wanted.requestID, Tenant: wanted.tenant, Weight: wanted.weight, Class: wanted.class, Cost: wanted.cost,
		Arrived: b.node.now(), Deadline: deadline, Value: &wanted,
	}
	if err := b.duty.Do(ctx, func() { b.enqueue(item) }); err != nil {
		return placed{}, err
	}
	select {
	case given := <-answers:
		return given, given.err
	case <-ctx.Done():
	}
	// The caller went away: its request leaves the queue at once. It may have
	// been placed just before; then it is given back.
	_ = b.duty.Do(context.Background(), func() {
		if b.queue(wanted.route.Service).Remove(item) {
			return
		}
		select {
		case given := <-answers:
			if given.err == nil {
				b.table.End(b.node.now(), given.backend.Name, routing.Neutral)
			}
		default:
		}
	})
	return placed{}, context.Cause(ctx)
}

func (b *backendsDuty) queue(service string) *queueing.Queue[*placement] {
	queue := b.queues[service]
	if queue == nil {
		queue = queueing.New[*placement](cmp.Or(b.limits[service], defaultMaxQueue), queueing.DefaultAgeing)
		b.queues[service] = queue
	}
	return queue
}

func (b *backendsDuty) enqueue(item *queueing.Item[*placement]) {
	now := b.node.now()
	if opensAt, areAllPaused := b.table.OpensAt(now, item.Value.route.Service); areAllPaused && opensAt >= item.Deadline {
		item.Value.answer(placed{err: &pausedError{wait: opensAt - now}})
		return
	}
	if err := b.queue(item.Value.route.Service).Push(item); err != nil {
		item.Value.answer(placed{err: err})
	}
}

// place gives waiting requests to back ends that can take them now.
func (b *backendsDuty) place() {
	now := b.node.now()
	for _, queue := range b.queues {
		for b.placeOne(now, queue) {
		}
	}
}

// placeOne places the first request that any back end can take.
func (b *backendsDuty) placeOne(now time.Duration, queue *queueing.Queue[*placement]) bool {
	for _, item := range queue.Candidates(now) {
		choice, found := b.table.Choose(now, item.Value.route)
		if !found {
			continue
		}
		queue.Take(item)
		b.table.Begin(now, choice.Backend.Name, item.Value.route.Blocks)
		item.Value.answer(placed{backend: choice.Backend, choice: choice, wait: now - item.Arrived})
		return true
	}
	return false
}

// expire gives up on requests whose deadline has passed, at that moment.
func (b *backendsDuty) expire() {
	for _, queue := range b.queues {
		for _, item := range queue.Expire(b.node.now()) {
			item.Value.answer(placed{err: errDeadline})
		}
	}
}

// release notes how a request ended at the back end that it was given.
func (b *backendsDuty) release(name string, result routing.Result) {
	_ = b.duty.Do(context.Background(), func() { b.table.End(b.node.now(), name, result) })
}

// takePause notes the pause that a back end asked for as it answered with a status. What
// waits for it and can't wait for the end is given up on.
func (b *backendsDuty) takePause(name string, status int, retryAfter []string) {
	if status != http.StatusServiceUnavailable || len(retryAfter) == 0 {
		return
	}
	said := backoff.ReadPause(retryAfter)
	b.node.log.Info().Str("event", "backend_pause").Str("backend", name).Int64("asked_ms", said.Pause.Milliseconds()).AnErr("error", said.Fault).Send()
	backendPauses.Inc()
	_ = b.duty.Do(context.Background(), func() {
		now := b.node.now()
		b.table.Pause(now, name, said.Pause)
		known, found := b.table.Backend(name)
		if !found {
			return
		}
		if opensAt, areAllPaused := b.table.OpensAt(now, known.Service); areAllPaused {
			for _, item := range b.queue(known.Service).Expire(opensAt) {
				item.Value.answer(placed{err: &pausedError{wait: opensAt - now}})
			}
		}
	})
}

// paused returns the back ends in a pause that they asked for.
func (b *backendsDuty) paused(ctx context.Context) ([]routing.PausedBackend, error) {
	return duty.Call(ctx, b.duty, func(answer func([]routing.PausedBackend)) { answer(b.table.Paused(b.node.now())) })
}

// markLeaving notes a back end's own answer that it is leaving.
func (b *backendsDuty) markLeaving(name string) {
	_ = b.duty.Do(context.Background(), func() { b.table.MarkLeaving(name) })
}

// stillUsable checks again at the moment of dispatch that a back end is not
// leaving.
func (b *backendsDuty) stillUsable(ctx context.Context, name string) (bool, string) {
	type verdict struct {
		usable bool
		why    string
	}
	found, err := duty.Call(ctx, b.duty, func(answer func(verdict)) {
		usable, why := b.table.Usable(b.node.now(), name)
		// The request itself may have made it full.
		answer(verdict{usable: usable || why == "full", why: why})
	})
	return err == nil && found.usable, found.why
}

// backend returns a back end of the catalog in force.
func (b *backendsDuty) backend(name string) (routing.Backend, bool) {
	b.mutex.RLock()
	defer b.mutex.RUnlock()
	for _, target := range b.targets {
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
	for _, target := range b.targets {
		if b.kinds[target.Service] == ravenwayv1.ServiceKind_SERVICE_KIND_ENGINE {
			engines = append(engines, target)
		}
	}
	return engines
}
