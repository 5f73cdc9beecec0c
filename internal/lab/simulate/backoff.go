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
	// Trials sends few requests at a time until some have run, as backoff.Tracker does.
	Trials BackoffPolicy = "trials"
	// SpreadTrials combines SpreadEnd and Trials.
	SpreadTrials BackoffPolicy = "spread_trials"
	// SharedTrials is Trials, which also limits the nodes of which no pause was requested.
	SharedTrials BackoffPolicy = "shared_trials"
)

// BackoffScenario is which engines are overloaded and request pauses.
type BackoffScenario string

// Scenarios of RunBackoff.
const (
	// ThirdIll: a third of the engines at the same time.
	ThirdIll BackoffScenario = "third"
	// ZoneIll: all engines of one zone.
	ZoneIll BackoffScenario = "zone"
	// AllIll: all engines of the service.
	AllIll BackoffScenario = "all"
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
	Load   float64
	Faults bool
	// Return is how requests resume after a pause, where the policy does not determine it.
	Return backoff.ReturnPolicy
	// AsksWhenFull makes an engine with a full queue request a pause too, instead of only
	// rejecting requests.
	AsksWhenFull bool
}

// BackoffResult is the result of RunBackoff.
type BackoffResult struct {
	*World
	// Asked counts the pauses that engines requested, Later those requested after the engines
	// recovered, which only too many simultaneous requests cause.
	Asked, Later int
	// InPause is the maximum number of requests from one node during one pause.
	InPause int
	// Burst is the maximum number of requests that reached one engine in half a second after it
	// recovered, relative to its share of the load.
	Burst float64
	// Sent counts the callers' requests from the first pause on, InTime those that were served
	// within the objective, counted from the caller's first try, and Refused those that were
	// refused for good.
	Sent, InTime, Refused int
	// FullUse is the time from the recovery of an engine until it gets its share of the load
	// again, the maximum over the engines.
	FullUse time.Duration
}

const (
	backoffZones = 3
	backoffSlots = 8
	// backoffQueue is how many requests an engine queues before it rejects further ones.
	backoffQueue = 8
	// Bounds of the time that a request runs at an engine.
	backoffWorkLeast, backoffWorkMost = 200 * time.Millisecond, 600 * time.Millisecond
	backoffObjective                  = 800 * time.Millisecond
	backoffDeadline                   = 4 * time.Second
	backoffTries                      = 3
	backoffWarmUp                     = 3 * time.Second
	backoffIll                        = 8 * time.Second
	backoffAfter                      = 12 * time.Second
	backoffBurstWindow                = 500 * time.Millisecond
	backoffLoadsEvery                 = 200 * time.Millisecond
	// backoffSlowDial is the share of requests whose connection takes up to backoffSlowDialMost.
	backoffSlowDial, backoffSlowDialMost = 0.05, 250 * time.Millisecond
	backoffFaultEvery                    = 1500 * time.Millisecond
)

type backoffWorld struct {
	*World
	options BackoffOptions
	result  *BackoffResult
	nodes   []*backoffNode
	names   []string
	engines map[string]*backoffEngine
	order   []*backoffEngine
	// wellFrom is when all engines have recovered.
	wellFrom time.Duration
}

// backoffCall is one caller's request with all its tries. A try at a node may make several
// attempts at engines.
type backoffCall struct {
	first    time.Duration
	tries    int
	attempts int
	part     string
	tried    []string
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
	w.Every(backoffLoadsEvery, func() bool { w.exchangeLoads(); return true })
	w.After(0, w.nextCall)
	if options.Faults {
		w.After(backoffWarmUp+options.Pause/2, w.disturb)
	}
	w.RunUntil(w.end())
	w.judge()
	return *w.result
}

func (w *backoffWorld) end() time.Duration { return w.wellFrom + w.options.Pause + backoffAfter }

func (w *backoffWorld) perSecond() float64 {
	work := (backoffWorkLeast + backoffWorkMost).Seconds() / 2
	return w.options.Load * float64(len(w.order)*backoffSlots) / work
}

func (w *backoffWorld) nextCall() {
	call := &backoffCall{first: w.Now, part: fmt.Sprint("part-", w.Random.IntN(200)), attempts: 1 + w.Random.IntN(2)}
	if w.Now >= backoffWarmUp && w.Now < w.end()-backoffDeadline {
		w.result.Sent++
	}
	w.try(call)
	w.After(time.Duration(w.Random.ExpFloat64()/w.perSecond()*float64(time.Second)), w.nextCall)
}

// try sends a call to a random node.
func (w *backoffWorld) try(call *backoffCall) {
	call.tries++
	call.tried = nil
	node := w.nodes[w.Random.IntN(len(w.nodes))]
	node.after(w.Between(time.Millisecond, 5*time.Millisecond), func() {
		node.retries.Request(node.now(), "s", node.retryPolicy())
		node.forward(call)
	})
}

func (w *backoffWorld) isJudged(call *backoffCall) bool {
	return call.first >= backoffWarmUp && call.first < w.end()-backoffDeadline
}

// refuse answers a call with its retry time. The caller retries within a third of the time that
// it has left.
func (n *backoffNode) refuse(call *backoffCall) {
	w := n.world
	left := call.first + backoffDeadline - w.Now
	comeBack := w.Between(200*time.Millisecond, 700*time.Millisecond)
	if back, isKeptAway := n.table.NextAvailable(n.now(), n.request(call)); isKeptAway {
		comeBack = back.Wait + w.Between(0, max(200*time.Millisecond, back.Wait/4))
	}
	if comeBack > left || call.tries >= backoffTries {
		if w.isJudged(call) {
			w.result.Refused++
		}
		return
	}
	w.After(min(comeBack, left/3), func() { w.try(call) })
}

// exchangeLoads gives each node the load that the other nodes have in flight.
func (w *backoffWorld) exchangeLoads() {
	own := make([]balance.Loads, len(w.nodes))
	total := balance.Loads{}
	for position, node := range w.nodes {
		own[position] = node.table.OwnLoads()
		for key, load := range own[position] {
			sum := total[key]
			total[key] = balance.Load{Tokens: sum.Tokens + load.Tokens, Requests: sum.Requests + load.Requests}
		}
	}
	for position, node := range w.nodes {
		others := make(balance.Loads, len(total))
		for key, load := range total {
			mine := own[position][key]
			others[key] = balance.Load{Tokens: load.Tokens - mine.Tokens, Requests: load.Requests - mine.Requests}
		}
		node.table.SetOthersLoads(others)
	}
}

// disturb restarts, freezes, suspends or partitions a random node, again and again.
func (w *backoffWorld) disturb() {
	node := w.nodes[w.Random.IntN(len(w.nodes))]
	lasting := w.Between(500*time.Millisecond, 3*time.Second)
	switch w.Random.IntN(4) {
	case 0:
		w.Fault("restarted")
		node.start()
	case 1:
		w.Fault("frozen")
		node.clock.freeze(w.Now, lasting)
		w.After(lasting, node.excuse)
	case 2:
		w.Fault("suspended")
		node.clock.suspend(w.Now, lasting)
		w.After(lasting, node.excuse)
	case 3:
		w.Fault("cut")
		node.isCut = true
		w.After(lasting, func() { node.isCut = false; node.excuse() })
	}
	w.After(backoffFaultEvery, w.disturb)
}

func (w *backoffWorld) judge() {
	fair := w.perSecond() / float64(len(w.order)) * backoffBurstWindow.Seconds()
	for _, engine := range w.order {
		for _, record := range engine.records {
			w.result.InPause = max(w.result.InPause, record.Most())
		}
		wellFrom := engine.illFrom + engine.illFor
		if engine.illFor == 0 {
			continue
		}
		well := slices.DeleteFunc(slices.Clone(engine.arrivals), func(at time.Duration) bool { return at < wellFrom })
		w.result.Burst = max(w.result.Burst, float64(limitcheck.MostWithin(well, backoffBurstWindow))/fair)
		w.result.FullUse = max(w.result.FullUse, w.fullUse(well, wellFrom))
	}
	if w.options.Policy == PausesIgnored {
		return
	}
	var broken error
	if w.result.InPause > pausecheck.Allowed {
		broken = fmt.Errorf("%d requests of one node arrived during a pause, allowed %d", w.result.InPause, pausecheck.Allowed)
	}
	w.Check(broken)
}

// fullUse returns the time until an engine has received four fifths of its share of the load
// within one second.
func (w *backoffWorld) fullUse(arrivals []time.Duration, from time.Duration) time.Duration {
	needed := int(0.8 * w.perSecond() / float64(len(w.order)))
	for first := range arrivals {
		last := first + needed - 1
		if last < len(arrivals) && arrivals[last]-arrivals[first] <= time.Second {
			return arrivals[last] - from
		}
	}
	return w.Now - from
}
