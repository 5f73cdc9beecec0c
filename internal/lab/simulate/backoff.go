package simulate

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/ravenway/ravenway/internal/coordination/backoff"
	"github.com/ravenway/ravenway/internal/coordination/balance"
	"github.com/ravenway/ravenway/internal/coordination/membership"
	"github.com/ravenway/ravenway/internal/coordination/registry"
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
	Return backoff.ReturnPolicy
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

// backoffEngine bears as many requests as it has slots, and queues a few.
type backoffEngine struct {
	instance        registry.Instance
	illFrom, illFor time.Duration
	running, queued int
	waiting         []func()
	arrivals        []time.Duration
	records         map[*backoffNode]*pausecheck.Record
}

func (e *backoffEngine) isIll(now time.Duration) bool {
	return now >= e.illFrom && now < e.illFrom+e.illFor
}

// backoffNode is an entry node.
type backoffNode struct {
	world   *backoffWorld
	number  int
	process int
	clock   machineClock
	// isCut tells that it reaches no engine.
	isCut   bool
	table   *balance.Table
	tracker *backoff.Tracker
	retries *balance.RetryBudget
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

// engineCount grows with the nodes, slower than they do.
func (w *backoffWorld) engineCount() int {
	return 12 * int(math.Ceil(math.Sqrt(float64(w.options.Nodes)/8)))
}

func (w *backoffWorld) addEngines() {
	count := w.engineCount()
	for number := range count {
		engine := &backoffEngine{records: map[*backoffNode]*pausecheck.Record{}, instance: registry.Instance{
			ID: fmt.Sprintf("engine-%d-%d", w.options.Seed, number), Service: "s", Zone: fmt.Sprintf("zone-%d", number%backoffZones),
			Slots: backoffSlots, State: registry.Ready, Sequence: 1,
		}}
		w.engines[engine.instance.ID], w.order = engine, append(w.order, engine)
		engine.illFrom = backoffWarmUp
		switch w.options.Scenario {
		case ThirdIll:
			engine.illFor = ifTrue(number < count/3, backoffIll)
		case ZoneIll:
			engine.illFor = ifTrue(number%backoffZones == 0, backoffIll)
		case AllIll:
			engine.illFor = backoffIll / 2
		case Wave:
			engine.illFrom += time.Duration(number) * backoffIll / time.Duration(count)
			engine.illFor = backoffIll / 4
		}
		w.wellFrom = max(w.wellFrom, engine.illFrom+engine.illFor)
	}
}

func ifTrue(condition bool, value time.Duration) time.Duration {
	if condition {
		return value
	}
	return 0
}

// start starts a node's process, which knows nothing of pauses.
func (n *backoffNode) start() {
	n.process++
	n.clock = machineClock{bootedAt: n.world.Now}
	n.table = balance.NewTable(fmt.Sprintf("zone-%d", n.number%backoffZones))
	n.tracker = backoff.NewTracker(n.world.returnPolicy())
	if n.world.options.Policy != PausesIgnored {
		n.table.SetBackoff(n.tracker)
	}
	n.retries = balance.NewRetryBudget()
	instances := make([]registry.Instance, 0, len(n.world.order))
	for _, engine := range n.world.order {
		instances = append(instances, engine.instance)
		engine.records[n] = &pausecheck.Record{}
	}
	n.table.Apply(instances)
}

// now is the node's steady clock.
func (n *backoffNode) now() time.Duration { return time.Minute + n.clock.read(n.world.Now) }

// after runs an action of the node's present process after a time, later if it stands still
// then.
func (n *backoffNode) after(delay time.Duration, action func()) {
	process := n.process
	var attempt func()
	attempt = func() {
		switch {
		case n.process != process:
		case n.clock.stands(n.world.Now):
			n.world.After(n.clock.standsUntil-n.world.Now+n.world.Between(0, time.Millisecond), attempt)
		default:
			action()
		}
	}
	n.world.After(delay, attempt)
}

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
		node.retries.Request(node.now(), "s", node.retryPolicy())
		node.forward(call)
	})
}

func (n *backoffNode) retryPolicy() balance.RetryPolicy {
	return balance.RetryPolicy{Window: 10 * time.Second, Ratio: 0.2, Slack: 54, Nodes: n.world.options.Nodes}
}

func (n *backoffNode) request(call *backoffCall) balance.Request {
	return balance.Request{
		Service: "s", Part: call.part, Cost: 1, Tokens: 1000, SharedTokens: 600, Exclude: call.tried,
		IsLastAttempt: len(call.tried)+1 >= call.attempts,
	}
}

// forward chooses an engine for a call and sends it there, if that still takes it once its
// connection is up.
func (n *backoffNode) forward(call *backoffCall) {
	w := n.world
	choice, found := n.table.Choose(n.now(), n.request(call))
	if !found {
		n.refuse(call)
		return
	}
	dial := w.Between(500*time.Microsecond, 3*time.Millisecond)
	if w.Chance(backoffSlowDial) {
		dial = w.Between(0, backoffSlowDialMost)
	}
	n.after(dial, func() {
		if w.options.Policy != PausesIgnored && n.table.Admit(n.now(), choice) != nil {
			n.table.Done(n.now(), choice, balance.Abandoned)
			n.forward(call)
			return
		}
		if n.isCut {
			n.after(dial+backoffSlowDialMost, func() {
				n.table.Done(n.now(), choice, balance.Unreachable)
				n.refuse(call)
			})
			return
		}
		n.send(call, choice)
	})
}

// send has a call arrive at an engine, which answers.
func (n *backoffNode) send(call *backoffCall, choice balance.Choice) {
	w, engine, process := n.world, n.world.engines[choice.ID], n.process
	call.tried = append(call.tried, choice.ID)
	way := w.Between(500*time.Microsecond, 3*time.Millisecond)
	w.After(way, func() {
		engine.arrivals = append(engine.arrivals, w.Now)
		engine.records[n].Arrive(w.Now)
		if engine.isIll(w.Now) || engine.running == backoffSlots && engine.queued == backoffQueue {
			asks := engine.isIll(w.Now) || w.options.AsksWhenFull
			if asks && n.process == process && !n.isCut {
				engine.records[n].Ask(w.Now, w.options.Pause)
				w.noteAsked(engine)
			}
			n.after(way, func() { n.turnedAway(call, choice, asks) })
			return
		}
		engine.take(w, func() { n.after(way, func() { n.answered(call, &choice) }) }, func() {
			n.after(way, func() { n.table.Done(n.now(), choice, balance.Served) })
		})
	})
}

func (w *backoffWorld) noteAsked(engine *backoffEngine) {
	w.result.Asked++
	if !engine.isIll(w.Now) {
		w.result.Later++
	}
}

// take runs a request once there is a slot.
func (e *backoffEngine) take(w *backoffWorld, begun, ended func()) {
	if e.running == backoffSlots {
		e.queued++
		e.waiting = append(e.waiting, func() { e.queued--; e.take(w, begun, ended) })
		return
	}
	e.running++
	begun()
	w.After(w.Between(backoffWorkLeast, backoffWorkMost), func() {
		e.running--
		ended()
		if len(e.waiting) > 0 {
			next := e.waiting[0]
			e.waiting = e.waiting[1:]
			next()
		}
	})
}

// turnedAway takes an engine's word that it ran nothing, and perhaps wants a pause.
func (n *backoffNode) turnedAway(call *backoffCall, choice balance.Choice, asks bool) {
	n.table.Done(n.now(), choice, balance.Full)
	if asks {
		n.tracker.Learn(n.now(), choice.Life(), "", backoff.Said{Pause: n.world.options.Pause + n.rankDelay(choice.ID)})
	}
	if asks && n.world.options.Policy == SharedTrials {
		n.warnOthers(choice.Life())
	}
	if len(call.tried) >= call.attempts || !n.retries.Take(n.now(), "s", n.retryPolicy()) {
		n.refuse(call)
		return
	}
	n.forward(call)
}

// rankDelay is by how much the node keeps a pause longer where nodes agree on an order.
func (n *backoffNode) rankDelay(engine string) time.Duration {
	if n.world.options.Policy != RankedEnd {
		return 0
	}
	rank := slices.Index(membership.Rank(engine, n.world.names), n.name())
	return time.Duration(float64(rank) / float64(len(n.world.names)) * backoff.DefaultReturn.Spread * float64(n.world.options.Pause))
}

func (n *backoffNode) name() string { return fmt.Sprintf("entry-%d", n.number) }

// returnPolicy is the part of the node's own policy that the options' has.
func (w *backoffWorld) returnPolicy() backoff.ReturnPolicy {
	policy, none := w.options.Return, backoff.ReturnPolicy{}
	switch w.options.Policy {
	case PausesIgnored, HardEnd, RankedEnd:
		return none
	case SpreadEnd:
		policy.LongestTrials = 0
	case Trials, SharedTrials:
		policy.Spread = 0
	case SpreadTrials:
	}
	return policy
}

// warnOthers tells the other nodes, with their loads, that an engine asked for a pause.
func (n *backoffNode) warnOthers(life registry.Life) {
	for _, other := range n.world.nodes {
		if other != n && !other.isCut {
			other.after(n.world.Between(50*time.Millisecond, 300*time.Millisecond), func() {
				if other.tracker.Standing(other.now(), life).Phase == backoff.Open {
					other.tracker.Learn(other.now(), life, "", backoff.Said{Pause: 1})
				}
			})
		}
	}
}

func (n *backoffNode) answered(call *backoffCall, choice *balance.Choice) {
	n.tracker.Learn(n.now(), choice.Life(), "", backoff.Said{HasRun: true})
	n.table.Started(choice, 0)
	w := n.world
	if w.isJudged(call) && w.Now-call.first <= backoffObjective {
		w.result.InTime++
	}
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
	if back, isKeptAway := n.table.Return(n.now(), n.request(call)); isKeptAway {
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

// excuse forgets the pauses that the node was asked for: it could not hear of all.
func (n *backoffNode) excuse() {
	for _, engine := range n.world.order {
		engine.records[n] = &pausecheck.Record{}
	}
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
		w.result.Burst = max(w.result.Burst, float64(mostWithin(well, backoffBurstWindow))/fair)
		w.result.FullUse = max(w.result.FullUse, w.fullUse(well, wellFrom))
	}
	if w.options.Policy != PausesIgnored && w.result.InPause > pausecheck.Allowed {
		w.Check(fmt.Errorf("%d requests of a node came in a pause, allowed %d", w.result.InPause, pausecheck.Allowed))
	}
}

// mostWithin is the highest number of arrivals, in order, in any window.
func mostWithin(arrivals []time.Duration, window time.Duration) int {
	most, first := 0, 0
	for last := range arrivals {
		for arrivals[last]-arrivals[first] > window {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
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
