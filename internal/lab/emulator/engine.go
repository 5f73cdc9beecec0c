package emulator

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/ravenway/ravenway/internal/lab/pausecheck"
	"github.com/ravenway/ravenway/internal/protocol/engine"
)

const (
	// bytesPerToken is the token size of the emulated tokenizer.
	bytesPerToken = 4
	// blockTokens is the size of a cached block in tokens.
	blockTokens = engine.PrefixBlockBytes / bytesPerToken
	// maximumRetainedRequests is the maximum number of ended requests kept for resuming.
	maximumRetainedRequests = 4096
	// prefillChunk is the maximum number of prompt tokens that one step processes per sequence.
	prefillChunk = 2048
)

// EngineOptions configure an Engine.
type EngineOptions struct {
	Name  string
	Model string
	// Capacity is the maximum number of sequences in a batch; twice as many may wait.
	Capacity int
	// A step takes StepBase, plus StepPerSequence for each running sequence, plus
	// StepPerPrefillToken for each prompt token that it processes.
	StepBase            time.Duration
	StepPerSequence     time.Duration
	StepPerPrefillToken time.Duration
	// CacheBlocks is the capacity of the prefix cache in blocks.
	CacheBlocks int
	// EventLag delays cache events and load reports. One cache event in EventGap is lost; 0 loses
	// none.
	EventLag time.Duration
	EventGap uint64
	// ChecksFence makes the engine refuse orders whose fence, a number that grows with each order, is
	// lower than the current order's.
	ChecksFence bool
	// LoadTime is how long an order takes while no other engine loads from the weight store.
	LoadTime time.Duration
	Weights  *WeightStore
	Truth    *GroundTruth
}

// withDefaults sets missing options to those of a mid-sized engine.
func (o EngineOptions) withDefaults() EngineOptions {
	o.Capacity = cmp.Or(o.Capacity, 16)
	o.StepBase = cmp.Or(o.StepBase, 8*time.Millisecond)
	o.StepPerSequence = cmp.Or(o.StepPerSequence, 400*time.Microsecond)
	o.StepPerPrefillToken = cmp.Or(o.StepPerPrefillToken, 10*time.Microsecond)
	o.CacheBlocks = cmp.Or(o.CacheBlocks, 4096)
	o.EventLag = cmp.Or(o.EventLag, 500*time.Millisecond)
	o.LoadTime = cmp.Or(o.LoadTime, 500*time.Millisecond)
	return o
}

// sequence is one request in the engine.
type sequence struct {
	request engine.GenerateRequest
	state   engine.RequestState
	// arrival is its number in the order of arrival.
	arrival         uint64
	promptTokens    uint64
	cachedTokens    uint64
	prefilledTokens uint64
	outputTokens    uint64
	targetTokens    uint64
	// isLost indicates that the process ended with the request: its stream breaks and has no end mark.
	isLost bool
	// progress is closed and replaced at each change.
	progress chan struct{}
}

func (s *sequence) hasEnded() bool {
	return s.state == engine.StateFinished || s.state == engine.StateCancelled
}

func (s *sequence) usage() engine.Usage {
	return engine.Usage{Prompt: s.promptTokens, Cached: s.cachedTokens, Completion: s.outputTokens}
}

func (s *sequence) status() engine.RequestStatus {
	return engine.RequestStatus{RequestID: s.request.RequestID, State: s.state, Usage: s.usage()}
}

// Engine batches continuously: each step advances every running sequence by
// one token or one chunk of its prompt.
type Engine struct {
	options EngineOptions

	mutex     sync.Mutex
	sequences map[string]*sequence
	// waiting and running are in order of arrival. endedIDs holds the ids of ended requests; the
	// oldest are dropped first.
	waiting  []*sequence
	running  []*sequence
	endedIDs []string
	arrivals uint64
	wake     chan struct{}
	cache    *prefixCache
	// loads are samples of the load, the oldest first.
	loads []timedLoad
	// order is the current order, whose weights are loaded at loadedAt.
	order    engine.OrderState
	loadedAt time.Time
	// isLeaving makes the engine refuse new requests.
	isLeaving bool
	// slowdown multiplies step times; 1 is healthy.
	slowdown int
	// pause is the requested pause while the engine rejects requests; 0 if it accepts them. pauses
	// records the pauses requested of each node, in time since pausesStartedAt.
	pause           time.Duration
	pauses          map[string]*pausecheck.Record
	pausesStartedAt time.Time
}

type timedLoad struct {
	at   time.Time
	load engine.Load
}

// NewEngine makes an engine; Run drives it.
func NewEngine(options EngineOptions) *Engine {
	options = options.withDefaults()
	return &Engine{
		options: options, sequences: map[string]*sequence{}, wake: make(chan struct{}, 1),
		cache: newPrefixCache(options), slowdown: 1,
	}
}

// Run steps the engine until the context ends.
func (e *Engine) Run(ctx context.Context) {
	for {
		duration := e.planStep()
		if duration == 0 {
			select {
			case <-ctx.Done():
				return
			case <-e.wake:
				continue
			}
		}
		timer := time.NewTimer(duration)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
			e.completeStep()
		}
	}
}

// planStep plans the next batch and returns its duration, or 0 if the engine is idle.
func (e *Engine) planStep() time.Duration {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.admit()
	e.sampleLoad()
	if len(e.running) == 0 {
		return 0
	}
	duration := e.options.StepBase + time.Duration(len(e.running))*e.options.StepPerSequence
	for _, one := range e.running {
		duration += time.Duration(one.nextPrefill()) * e.options.StepPerPrefillToken
	}
	return duration * time.Duration(e.slowdown)
}

func (s *sequence) nextPrefill() uint64 {
	return min(s.promptTokens-s.prefilledTokens, prefillChunk)
}

// completeStep applies the step that was planned.
func (e *Engine) completeStep() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for _, one := range e.running {
		if chunk := one.nextPrefill(); chunk > 0 {
			one.prefilledTokens += chunk
		} else {
			one.outputTokens++
		}
		if one.prefilledTokens == one.promptTokens && one.outputTokens >= one.targetTokens {
			e.endSequence(one, engine.StateFinished)
		}
		one.signalProgress()
	}
	e.running = slices.DeleteFunc(e.running, (*sequence).hasEnded)
}

func (s *sequence) signalProgress() {
	close(s.progress)
	s.progress = make(chan struct{})
}

// admit moves waiting sequences into the batch, higher priorities first.
func (e *Engine) admit() {
	slices.SortStableFunc(e.waiting, func(a, b *sequence) int {
		if a.request.Priority != b.request.Priority {
			return cmp.Compare(b.request.Priority, a.request.Priority)
		}
		return cmp.Compare(a.arrival, b.arrival)
	})
	for len(e.waiting) > 0 && len(e.running) < e.options.Capacity {
		next := e.waiting[0]
		e.waiting = e.waiting[1:]
		next.state = engine.StateRunning
		next.cachedTokens = min(e.cache.lookupAndInsert(next.request.Prompt)*blockTokens, next.promptTokens)
		next.prefilledTokens = next.cachedTokens
		e.running = append(e.running, next)
	}
}

func (e *Engine) endSequence(ended *sequence, state engine.RequestState) {
	ended.state = state
	kind := EventFinished
	if state == engine.StateCancelled {
		kind = EventCancelled
	}
	e.options.Truth.Add(GroundTruthEvent{
		Backend: e.options.Name, RequestID: ended.request.RequestID, Tenant: ended.request.Tenant,
		Kind: kind, Tokens: ended.usage().Total(),
	})
	e.endedIDs = append(e.endedIDs, ended.request.RequestID)
	if len(e.endedIDs) > maximumRetainedRequests {
		delete(e.sequences, e.endedIDs[0])
		e.endedIDs = e.endedIDs[1:]
	}
}

// CountTokens returns the number of tokens of a text, as the emulated tokenizer counts them.
func CountTokens(text string) uint64 {
	return uint64((len(text) + bytesPerToken - 1) / bytesPerToken)
}

// OutputTokens returns the number of tokens in the response to a request: between half of its
// maximum and the maximum, determined by the request's id.
func OutputTokens(requestID string, maximum uint64) uint64 {
	half := maximum / 2
	return max(1, half+xxhash.Sum64String(requestID)%(maximum-half+1))
}

// TokenText returns one token of a response. It depends only on the request's id and the position,
// so that a check detects a response that belongs to another request.
func TokenText(requestID string, position uint64) string {
	return fmt.Sprintf("%06x ", xxhash.Sum64String(fmt.Sprintf("%s#%d", requestID, position))&0xffffff)
}

// submitError is the reason why the engine refused a request.
type submitError struct {
	code string
}

func (s *submitError) Error() string { return s.code }

// submit queues a request. If a request with the same id is known, it returns the sequence of that
// request.
func (e *Engine) submit(request engine.GenerateRequest) (*sequence, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if existing := e.sequences[request.RequestID]; existing != nil {
		return existing, nil
	}
	if e.isLeaving {
		return nil, &submitError{code: "leaving"}
	}
	if len(e.waiting) >= 2*e.options.Capacity {
		return nil, &submitError{code: "overloaded"}
	}
	e.arrivals++
	queued := &sequence{
		request: request, state: engine.StateQueued, arrival: e.arrivals, promptTokens: CountTokens(request.Prompt),
		targetTokens: OutputTokens(request.RequestID, request.MaxTokens), progress: make(chan struct{}),
	}
	e.sequences[request.RequestID] = queued
	e.waiting = append(e.waiting, queued)
	e.wakeUp()
	return queued, nil
}

func (e *Engine) wakeUp() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

func (e *Engine) find(requestID string) *sequence {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.sequences[requestID]
}

// cancel cancels a request that has not ended. It returns the request's status and whether the
// request is known.
func (e *Engine) cancel(requestID string) (engine.RequestStatus, bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	found := e.sequences[requestID]
	if found == nil {
		return engine.RequestStatus{}, false
	}
	if !found.hasEnded() {
		if found.state == engine.StateQueued {
			// No token of the prompt was processed.
			found.promptTokens = 0
		} else {
			found.promptTokens = found.prefilledTokens
		}
		e.endSequence(found, engine.StateCancelled)
		found.signalProgress()
		e.waiting = slices.DeleteFunc(e.waiting, (*sequence).hasEnded)
		e.running = slices.DeleteFunc(e.running, (*sequence).hasEnded)
	}
	return found.status(), true
}

// sampleLoad samples the current load, at most four times per event lag, to report it with that
// lag.
func (e *Engine) sampleLoad() {
	now := time.Now()
	if count := len(e.loads); count > 0 && now.Sub(e.loads[count-1].at) < e.options.EventLag/4 {
		return
	}
	load := engine.Load{
		Running: len(e.running), Queued: len(e.waiting), Capacity: e.options.Capacity, Leaving: e.isLeaving,
		AtMillis: now.UnixMilli(), Model: e.options.Model, CacheUsed: uint64(e.cache.length() * blockTokens),
	}
	e.loads = append(e.loads, timedLoad{at: now, load: load})
}

// reportedLoad returns the load as it was one event lag ago.
func (e *Engine) reportedLoad() engine.Load {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.sampleLoad()
	limit := time.Now().Add(-e.options.EventLag)
	for len(e.loads) > 1 && !e.loads[1].at.After(limit) {
		e.loads = e.loads[1:]
	}
	return e.loads[0].load
}

// SetLeaving makes the engine refuse new requests if leaving is set, and accept them otherwise.
func (e *Engine) SetLeaving(leaving bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.isLeaving = leaving
}

// SetPause makes the engine reject new requests and request a pause of their senders; 0 ends that.
func (e *Engine) SetPause(pause time.Duration) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.pauses == nil {
		e.pauses, e.pausesStartedAt = map[string]*pausecheck.Record{}, time.Now()
	}
	e.pause = pause
}

// RequestsInPause returns the maximum number of requests that any node sent in a pause requested of
// it, and the number of pauses requested.
func (e *Engine) RequestsInPause() (maximum, pauses int) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for _, record := range e.pauses {
		maximum, pauses = max(maximum, record.MaximumRequests()), pauses+record.PauseCount()
	}
	return maximum, pauses
}

// recordAndPause records a request of a node, and returns the pause to request of the node; 0 if
// the engine accepts the request.
func (e *Engine) recordAndPause(node string) time.Duration {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.pauses == nil {
		return 0
	}
	record := e.pauses[node]
	if record == nil {
		record = &pausecheck.Record{}
		e.pauses[node] = record
	}
	now := time.Since(e.pausesStartedAt)
	record.AddArrival(now)
	if e.pause > 0 {
		record.AddPause(now, e.pause)
	}
	return e.pause
}

// SetSlowdown sets the factor by which each step takes longer; factors below 1 count as 1.
func (e *Engine) SetSlowdown(factor int) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.slowdown = max(1, factor)
}

// acceptOrder starts an order and reports whether the engine accepts it. An engine that checks
// fences refuses an order with a lower fence.
func (e *Engine) acceptOrder(order engine.Order) (engine.OrderState, bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.options.ChecksFence && order.Fence < e.order.Fence {
		return e.order, false
	}
	if order.Fence != e.order.Fence {
		e.options.Truth.Add(GroundTruthEvent{Backend: e.options.Name, Kind: EventOrder, Fence: order.Fence, Path: order.Kind + " " + order.Target})
		e.order = engine.OrderState{Fence: order.Fence, Kind: order.Kind, Target: order.Target, Version: order.Version}
		e.loadedAt = time.Now().Add(e.options.Weights.reserve(e.options.LoadTime))
	}
	return e.orderState(), true
}

// orderState returns the state of the current order. The caller holds the mutex.
func (e *Engine) orderState() engine.OrderState {
	state := e.order
	state.Loaded = state.Fence != 0 && !time.Now().Before(e.loadedAt)
	return state
}

// ActiveRequests returns the number of waiting and running requests.
func (e *Engine) ActiveRequests() int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return len(e.waiting) + len(e.running)
}

// Restart replaces the engine's process: it loses all requests, also those that have ended.
func (e *Engine) Restart() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for _, lost := range slices.Concat(e.waiting, e.running) {
		lost.promptTokens, lost.isLost = lost.prefilledTokens, true
		e.endSequence(lost, engine.StateCancelled)
		lost.signalProgress()
	}
	e.waiting, e.running, e.endedIDs = nil, nil, nil
	clear(e.sequences)
}
