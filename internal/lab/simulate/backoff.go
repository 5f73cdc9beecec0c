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

// BackoffPolicy is what nodes make of the pauses that engines ask for.
type BackoffPolicy string

// Policies.
const (
	// PausesIgnored: nothing, the engine is chosen as before.
	PausesIgnored BackoffPolicy = "ignored"
	// HardEnd: all goes on once the pause is over.
	HardEnd BackoffPolicy = "hard_end"
	// SpreadEnd: each node adds a drawn part of the pause.
	SpreadEnd BackoffPolicy = "spread_end"
	// RankedEnd: nodes agree by rendezvous hashing on who comes back first.
	RankedEnd BackoffPolicy = "ranked_end"
	// Trials: few requests at a time until some have run, as backoff.Tracker does.
	Trials BackoffPolicy = "trials"
	// SpreadTrials: both.
	SpreadTrials BackoffPolicy = "spread_trials"
	// SharedTrials: nodes that were not asked try an engine with few requests too.
	SharedTrials BackoffPolicy = "shared_trials"
)

// BackoffScenario is who asks for pauses.
type BackoffScenario string

// Scenarios.
const (
	// ThirdIll: a third of the engines at once.
	ThirdIll BackoffScenario = "third"
	// ZoneIll: all of a zone.
	ZoneIll BackoffScenario = "zone"
	// AllIll: all of the service.
	AllIll BackoffScenario = "all"
	// Wave: one after the other.
	Wave BackoffScenario = "wave"
)

// BackoffOptions set up a run.
type BackoffOptions struct {
	Seed     uint64
	Policy   BackoffPolicy
	Scenario BackoffScenario
	Nodes    int
	// Pause is what engines ask for.
	Pause time.Duration
	// Load is the offered load as a share of what all engines bear.
	Load   float64
	Faults bool
	// Return is how requests come back in the policies that don't say so.
	Return backoff.RecoveryPolicy
	// AsksWhenFull has an engine that is full ask for a pause too, and not only turn
	// requests away.
	AsksWhenFull bool
}

// BackoffResult is what a run came to.
type BackoffResult struct {
	*World
	// Asked are the pauses that nodes were asked for, Later those after the engines were well
	// again, when only too many requests at once bring one about.
	Asked, Later int
	// InPause is the most that came from one node in one pause.
	InPause int
	// Burst is the most that came to one engine in half a second after it was well again,
	// relative to its part of the load.
	Burst float64
	// Sent are the callers' requests from the first pause on, InTime those that were served
	// within their objective from the caller's first try, Refused those that never were.
	Sent, InTime, Refused int
	// FullUse is how long after they were well the engines have their part of the load again.
	FullUse time.Duration
}

const (
	backoffZones = 3
	backoffSlots = 8
	// backoffQueue is what an engine queues before it turns requests away.
	backoffQueue = 8
	// Work of a request at an engine.
	backoffWorkLeast, backoffWorkMost = 200 * time.Millisecond, 600 * time.Millisecond
	backoffObjective                  = 800 * time.Millisecond
	backoffDeadline                   = 4 * time.Second
	backoffTries                      = 3
	backoffWarmUp                     = 3 * time.Second
	backoffIll                        = 8 * time.Second
	backoffAfter                      = 12 * time.Second
	backoffBurstWindow                = 500 * time.Millisecond
	backoffLoadsEvery                 = 200 * time.Millisecond
	// backoffSlowDial is the share of requests whose connection takes up to a while.
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
	// wellFrom is when no engine is ill any more.
	wellFrom time.Duration
}

// backoffCall is one caller's request with all its tries.
type backoffCall struct {
	first    time.Duration
	tries    int
	attempts int
	part     string
	tried    []string
}

// RunBackoff runs one seed.
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

// try has a call come to a drawn node.
func (w *backoffWorld) try(call *backoffCall) {
	call.tries++
	call.tried = nil
	node := w.nodes[w.Random.IntN(len(w.nodes))]
	node.after(w.Between(time.Millisecond, 5*time.Millisecond), func() {
		node.retries.RecordRequest(node.now(), "s", node.retryPolicy())
		node.forward(call)
	})
}

func (w *backoffWorld) isJudged(call *backoffCall) bool {
	return call.first >= backoffWarmUp && call.first < w.end()-backoffDeadline
}

// refuse answers a call with the time at which it may come back. Its caller does so within
// a third of the time that it has left.
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

// exchangeLoads tells each node what the others have under way.
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

// disturb has a node start again, stand still, be suspended or cut off.
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
			w.result.InPause = max(w.result.InPause, record.MaximumRequests())
		}
		wellFrom := engine.illFrom + engine.illFor
		if engine.illFor == 0 {
			continue
		}
		well := slices.DeleteFunc(slices.Clone(engine.arrivals), func(at time.Duration) bool { return at < wellFrom })
		w.result.Burst = max(w.result.Burst, float64(limitcheck.MaximumWithin(well, backoffBurstWindow))/fair)
		w.result.FullUse = max(w.result.FullUse, w.fullUse(well, wellFrom))
	}
	if w.options.Policy == PausesIgnored {
		return
	}
	var broken error
	if w.result.InPause > pausecheck.MaximumInPause {
		broken = fmt.Errorf("%d requests of a node came in a pause, allowed %d", w.result.InPause, pausecheck.MaximumInPause)
	}
	w.Check(broken)
}

// fullUse is the time until an engine has had four fifths of its part of the load in a
// second.
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
