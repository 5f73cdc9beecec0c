package simulate

import (
	"fmt"
	"slices"
	"time"

	"github.com/ravenway/ravenway/internal/coordination/backoff"
	"github.com/ravenway/ravenway/internal/coordination/balance"
	"github.com/ravenway/ravenway/internal/lab/limitcheck"
	"github.com/ravenway/ravenway/internal/lab/pausecheck"
)

// BackoffPolicy is how entry nodes respond to the pauses that engines request.
type BackoffPolicy string

// Policies of RunBackoff.
const (
	// PausesIgnored keeps choosing the engine as if it had not requested a pause.
	PausesIgnored BackoffPolicy = "ignored"
	// HardEnd resumes all requests as soon as the pause has expired.
	HardEnd BackoffPolicy = "hard_end"
	// SpreadEnd extends the pause at each node by a random part of its length.
	SpreadEnd BackoffPolicy = "spread_end"
	// RankedEnd orders the nodes by rendezvous hashing, and they resume in that order.
	RankedEnd BackoffPolicy = "ranked_end"
	// Trials sends few requests at a time after a pause until some have run, as backoff.Tracker
	// does.
	Trials BackoffPolicy = "trials"
	// SpreadTrials combines SpreadEnd and Trials.
	SpreadTrials BackoffPolicy = "spread_trials"
	// SharedTrials is Trials, where a node also notifies the others of a pause: they limit their
	// requests to the engine too.
	SharedTrials BackoffPolicy = "shared_trials"
)

// BackoffScenario determines which engines are overloaded and request pauses.
type BackoffScenario string

// Scenarios of RunBackoff.
const (
	// ThirdOverloaded: a third of the engines at the same time.
	ThirdOverloaded BackoffScenario = "third"
	// ZoneOverloaded: all engines of one zone.
	ZoneOverloaded BackoffScenario = "zone"
	// AllOverloaded: all engines of the service.
	AllOverloaded BackoffScenario = "all"
	// Wave: one engine after the other.
	Wave BackoffScenario = "wave"
)

// BackoffOptions configures a run of RunBackoff.
type BackoffOptions struct {
	Seed     uint64
	Policy   BackoffPolicy
	Scenario BackoffScenario
	Nodes    int
	// Pause is the length of the pauses that engines request.
	Pause time.Duration
	// Load is the offered load as a share of the capacity of all engines.
	Load float64
	// Faults restarts, freezes, suspends and partitions nodes.
	Faults bool
	// Recovery is the recovery policy after a pause, of which Policy may disable parts.
	Recovery backoff.RecoveryPolicy
	// PausesWhenFull makes an engine with a full queue request a pause too, instead of only
	// rejecting requests.
	PausesWhenFull bool
}

// BackoffResult is the result of RunBackoff.
type BackoffResult struct {
	*World
	// Pauses counts the pauses that engines requested, PausesAfterRecovery those requested after the engines
	// recovered, which only too many simultaneous requests cause.
	Pauses, PausesAfterRecovery int
	// MaximumInPause is the maximum number of requests from one node during one pause.
	MaximumInPause int
	// Burst is the maximum number of requests that reached one engine in half a second after it
	// recovered, relative to its share of the load.
	Burst float64
	// Sent counts the callers' requests from the first pause on, InTime those that were served
	// within the objective, counted from the caller's first try, and Refused those that were
	// refused for good.
	Sent, InTime, Refused int
	// RecoveryTime is the time from the recovery of an engine until it gets four fifths of its share
	// of the load again, the maximum over the engines.
	RecoveryTime time.Duration
}

const (
	backoffZones = 3
	backoffSlots = 8
	// backoffQueueLength is how many requests an engine queues before it rejects further ones.
	backoffQueueLength = 8
	// Bounds of the time that a request runs at an engine.
	backoffMinimumWork, backoffMaximumWork = 200 * time.Millisecond, 600 * time.Millisecond
	backoffObjective                       = 800 * time.Millisecond
	backoffDeadline                        = 4 * time.Second
	backoffMaximumTries                    = 3
	backoffWarmUp                          = 3 * time.Second
	backoffOverloadTime                    = 8 * time.Second
	backoffRecoveryTime                    = 12 * time.Second
	backoffBurstWindow                     = 500 * time.Millisecond
	backoffLoadInterval                    = 200 * time.Millisecond
	// backoffSlowDialShare is the share of requests whose connection takes up to
	// backoffMaximumSlowDial.
	backoffSlowDialShare, backoffMaximumSlowDial = 0.05, 250 * time.Millisecond
	backoffFaultInterval                         = 1500 * time.Millisecond
)

type backoffWorld struct {
	*World
	options    BackoffOptions
	result     *BackoffResult
	nodes      []*backoffNode
	names      []string
	engines    map[string]*backoffEngine
	engineList []*backoffEngine
	// recoveredAt is when all engines have recovered.
	recoveredAt time.Duration
}

// backoffCall is one caller's request with all its tries. A try at a node may make several
// attempts at engines.
type backoffCall struct {
	firstTryAt      time.Duration
	tries           int
	maximumAttempts int
	// part identifies the part of the prompt that the call shares with others.
	part  string
	tried []string
}

// RunBackoff simulates entry nodes that send requests to engines which request pauses. It runs
// one seed.
func RunBackoff(options BackoffOptions) BackoffResult {
	world := NewWorld(options.Seed)
	w := &backoffWorld{World: world, options: options, result: &BackoffResult{World: world}, engines: map[string]*backoffEngine{}}
	w.addEngines()
	for number := range options.Nodes {
		node := &backoffNode{world: w, number: number}
		w.nodes, w.names = append(w.nodes, node), append(w.names, node.name())
		node.start()
	}
	w.Every(backoffLoadInterval, func() bool { w.exchangeLoads(); return true })
	w.After(0, w.generateCall)
	if options.Faults {
		w.After(backoffWarmUp+options.Pause/2, w.injectFault)
	}
	w.RunUntil(w.end())
	w.summarize()
	return *w.result
}

func (w *backoffWorld) end() time.Duration {
	return w.recoveredAt + w.options.Pause + backoffRecoveryTime
}

func (w *backoffWorld) requestRate() float64 {
	work := (backoffMinimumWork + backoffMaximumWork).Seconds() / 2
	return w.options.Load * float64(len(w.engineList)*backoffSlots) / work
}

func (w *backoffWorld) generateCall() {
	call := &backoffCall{firstTryAt: w.Now, part: fmt.Sprint("part-", w.Random.IntN(200)), maximumAttempts: 1 + w.Random.IntN(2)}
	if w.Now >= backoffWarmUp && w.Now < w.end()-backoffDeadline {
		w.result.Sent++
	}
	w.try(call)
	w.After(time.Duration(w.Random.ExpFloat64()/w.requestRate()*float64(time.Second)), w.generateCall)
}

// try sends a call to a random node.
func (w *backoffWorld) try(call *backoffCall) {
	call.tries++
	call.tried = nil
	node := w.nodes[w.Random.IntN(len(w.nodes))]
	node.after(w.Between(time.Millisecond, 5*time.Millisecond), func() {
		node.retries.RecordRequest(node.now(), "s", node.retryPolicy())
		node.forward(call)
	})
}

func (w *backoffWorld) isCounted(call *backoffCall) bool {
	return call.firstTryAt >= backoffWarmUp && call.firstTryAt < w.end()-backoffDeadline
}

// refuse answers a call with its retry time. The caller retries within a third of the time that
// it has left.
func (n *backoffNode) refuse(call *backoffCall) {
	w := n.world
	left := call.firstTryAt + backoffDeadline - w.Now
	retryAfter := w.Between(200*time.Millisecond, 700*time.Millisecond)
	if available, isPaused := n.table.NextAvailable(n.now(), n.request(call)); isPaused {
		retryAfter = available.Wait + w.Between(0, max(200*time.Millisecond, available.Wait/4))
	}
	if retryAfter > left || call.tries >= backoffMaximumTries {
		if w.isCounted(call) {
			w.result.Refused++
		}
		return
	}
	w.After(min(retryAfter, left/3), func() { w.try(call) })
}

// exchangeLoads gives each node the load that the other nodes have in flight.
func (w *backoffWorld) exchangeLoads() {
	ownLoads := make([]balance.Loads, len(w.nodes))
	total := balance.Loads{}
	for position, node := range w.nodes {
		ownLoads[position] = node.table.OwnLoads()
		for key, load := range ownLoads[position] {
			sum := total[key]
			total[key] = balance.Load{Tokens: sum.Tokens + load.Tokens, Requests: sum.Requests + load.Requests}
		}
	}
	for position, node := range w.nodes {
		others := make(balance.Loads, len(total))
		for key, load := range total {
			ownLoad := ownLoads[position][key]
			others[key] = balance.Load{Tokens: load.Tokens - ownLoad.Tokens, Requests: load.Requests - ownLoad.Requests}
		}
		node.table.SetOthersLoads(others)
	}
}

// injectFault restarts, freezes, suspends or partitions a random node, and schedules the next
// fault.
func (w *backoffWorld) injectFault() {
	node := w.nodes[w.Random.IntN(len(w.nodes))]
	duration := w.Between(500*time.Millisecond, 3*time.Second)
	switch w.Random.IntN(4) {
	case 0:
		w.Fault("restarted")
		node.start()
	case 1:
		w.Fault("frozen")
		node.clock.freeze(w.Now, duration)
		w.After(duration, node.discardPauseRecords)
	case 2:
		w.Fault("suspended")
		node.clock.suspend(w.Now, duration)
		w.After(duration, node.discardPauseRecords)
	case 3:
		w.Fault("cut")
		node.isPartitioned = true
		w.After(duration, func() { node.isPartitioned = false; node.discardPauseRecords() })
	}
	w.After(backoffFaultInterval, w.injectFault)
}

func (w *backoffWorld) summarize() {
	fairShare := w.requestRate() / float64(len(w.engineList)) * backoffBurstWindow.Seconds()
	for _, engine := range w.engineList {
		for _, record := range engine.records {
			w.result.MaximumInPause = max(w.result.MaximumInPause, record.MaximumRequests())
		}
		recoveredAt := engine.overloadedFrom + engine.overloadedFor
		if engine.overloadedFor == 0 {
			continue
		}
		afterRecovery := slices.DeleteFunc(slices.Clone(engine.arrivals), func(at time.Duration) bool { return at < recoveredAt })
		w.result.Burst = max(w.result.Burst, float64(limitcheck.MaximumWithin(afterRecovery, backoffBurstWindow))/fairShare)
		w.result.RecoveryTime = max(w.result.RecoveryTime, w.timeToFullLoad(afterRecovery, recoveredAt))
	}
	if w.options.Policy == PausesIgnored {
		return
	}
	var broken error
	if w.result.MaximumInPause > pausecheck.MaximumInPause {
		broken = fmt.Errorf("%d requests of one node arrived during a pause, allowed %d", w.result.MaximumInPause, pausecheck.MaximumInPause)
	}
	w.Check(broken)
}

// timeToFullLoad returns the time until an engine has received four fifths of its share of the load
// within one second.
func (w *backoffWorld) timeToFullLoad(arrivals []time.Duration, from time.Duration) time.Duration {
	needed := int(0.8 * w.requestRate() / float64(len(w.engineList)))
	for first := range arrivals {
		last := first + needed - 1
		if last < len(arrivals) && arrivals[last]-arrivals[first] <= time.Second {
			return arrivals[last] - from
		}
	}
	return w.Now - from
}
