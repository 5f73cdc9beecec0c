package simulate

import (
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"sync"
	"time"

	"github.com/ravenway/ravenway/internal/coordination/rollout"
	state "github.com/ravenway/ravenway/internal/state/rollout"
)

// Regression is how a new version behaves worse than the old one.
type Regression struct {
	// FailureShare is the share of responses that fail, SlowShare the share that takes SlowFactor times as
	// long.
	FailureShare, SlowShare, SlowFactor float64
	// From is the time from the operator's order for the rollout until the regression begins.
	From time.Duration
	// OneRoute limits the regression to the first of the routes, UnderLoad to loaded instances: those
	// with more requests in flight than half of the mean of the old version's instances.
	OneRoute, UnderLoad bool
}

// RolloutFault is a fault during a rollout.
type RolloutFault string

// Faults during a rollout.
const (
	NoRolloutFault RolloutFault = "none"
	// EnginesCrash: a seventh of the instances of both versions crash and are gone for three
	// seconds.
	EnginesCrash RolloutFault = "engines_crash"
	// EnginesUnhealthy: a seventh of the instances of both versions fail two of five responses.
	EnginesUnhealthy RolloutFault = "engines_ill"
	// EnginesSlow: all instances of both versions take three times as long for three
	// seconds, as in a burst.
	EnginesSlow RolloutFault = "engines_slow"
	// NodeFreezes: a tenth of the nodes are frozen for two seconds.
	NodeFreezes RolloutFault = "node_freezes"
	// LeaderLost: a new leader starts its canary analysis from the samples that nodes send it.
	LeaderLost RolloutFault = "leader_lost"
)

// RolloutFaults lists all faults during a rollout.
func RolloutFaults() []RolloutFault {
	return []RolloutFault{NoRolloutFault, EnginesCrash, EnginesUnhealthy, EnginesSlow, NodeFreezes, LeaderLost}
}

// RolloutOptions configures a run of RunRollout.
type RolloutOptions struct {
	Seed       uint64
	Regression Regression
	Fault      RolloutFault
	// Duration is the time from the order to the deadline.
	Duration time.Duration
	// Rate is the number of requests a second of all nodes.
	Rate float64
	// CanaryShare is the share of requests that the canary gets.
	CanaryShare float64
}

// RolloutResult is the result of RunRollout.
type RolloutResult struct {
	Stage  state.Stage
	Reason string
	// DecidedAt is when the decision to roll back or to move on was made, EndedAt when the rollout
	// ended.
	DecidedAt, EndedAt time.Duration
	// Requests counts all requests until the deadline, ToNewVersion those of them that reached the new
	// version, BadResponses the bad responses of the new version.
	Requests, ToNewVersion, BadResponses int
	// FiftiethBadAt is when the new version gave its 50th bad response, LastToNewVersionAt when the last request
	// was sent to it; 0 if never.
	FiftiethBadAt, LastToNewVersionAt time.Duration
}

// The modelled deployment is the smallest of the users' large deployments with rollouts: 74 entry
// nodes and 70 instances of each version, of which 7 get the canary's requests. Each node
// reports its samples every sampleSteps steps of rolloutStep.
const (
	rolloutNodes     = 74
	rolloutInstances = 70
	rolloutCanaries  = 7
	rolloutRoutes    = 5
	rolloutRate      = 590
	rolloutShare     = 0.08
	shortestRollout  = 12 * time.Second
	// Usual responses: the logarithm of their times has this standard deviation, and a few fail.
	usualDeviation = 0.4
	usualFailures  = 0.004
	// failingRoute is a route on which a large share of responses fails with either version.
	failingRoute, failingRouteShare = 3, 0.14
	rolloutStep                     = 20 * time.Millisecond
	sampleSteps                     = 13
	// decisionDelay is the time until a decision takes effect at the nodes, through the log and a
	// hello.
	decisionDelay         = 60 * time.Millisecond
	newVersionStart       = time.Second
	faultDuration         = 3 * time.Second
	unhealthyShare        = 1.0 / 7
	unhealthyFailureShare = 0.4
	slowdownFactor        = 3.0
	frozenShare           = 0.1
	freezeDuration        = 2 * time.Second
	baselineSeconds       = 4
	usualResponseTime     = 120 * time.Millisecond
)

// rolloutWorld is the state of one run.
type rolloutWorld struct {
	options   RolloutOptions
	random    *rand.Rand
	recorders []*rollout.Recorder
	// credits holds for each node the canary's share of its requests that has not yet been sent to
	// the new version; a node sends a request there once this reaches 1.
	credits []float64
	// unhealthy and frozen hold the instances and the nodes that the fault at faultAt affects, if it
	// affects only some.
	unhealthy map[string]bool
	frozen    []bool
	faultAt   time.Duration
	analyzer  *rollout.Analyzer
	stage     state.Stage
	// activeStage is the stage in effect at the nodes, stageChangesAt when the decided stage takes
	// effect.
	activeStage    state.Stage
	stageChangesAt time.Duration
	result         RolloutResult
}

// RunRollouts runs several seeds in parallel, with one kind of regression and fault, in the modelled
// deployment with its request rate and the users' shortest rollout.
func RunRollouts(regression Regression, fault RolloutFault, seeds int) []RolloutResult {
	results := make([]RolloutResult, seeds)
	slots := make(chan struct{}, runtime.GOMAXPROCS(0))
	var runs sync.WaitGroup
	for seed := range seeds {
		slots <- struct{}{}
		runs.Go(func() {
			results[seed] = RunRollout(RolloutOptions{
				Seed: uint64(seed), Regression: regression, Fault: fault, Duration: shortestRollout, Rate: rolloutRate, CanaryShare: rolloutShare,
			})
			<-slots
		})
	}
	runs.Wait()
	return results
}

// RunRollout simulates a rollout of a new version and its canary analysis. It runs one seed.
func RunRollout(options RolloutOptions) RolloutResult {
	w := &rolloutWorld{
		options: options, random: rand.New(rand.NewPCG(options.Seed, 41)), credits: make([]float64, rolloutNodes), frozen: make([]bool, rolloutNodes),
		unhealthy: map[string]bool{}, analyzer: rollout.NewAnalyzer(options.Duration), stage: state.Canary, activeStage: state.Canary,
	}
	w.faultAt = newVersionStart + time.Duration(w.random.Int64N(int64(options.Duration/2)))
	for node := range rolloutNodes {
		w.recorders = append(w.recorders, rollout.NewRecorder())
		w.credits[node] = w.random.Float64() * 0.25
		w.frozen[node] = w.random.Float64() < frozenShare
	}
	for number := range rolloutInstances {
		for _, version := range []string{"v1", "v2"} {
			w.unhealthy[fmt.Sprint(version, "-", number)] = w.random.Float64() < unhealthyShare
		}
	}
	// The usual behaviour of the old version is known from before the order.
	for at := -baselineSeconds * time.Second; at < 0; at += rolloutStep {
		w.sendRequests(at, false)
	}
	w.watch()
	for step := 0; time.Duration(step)*rolloutStep < options.Duration; step++ {
		w.step(time.Duration(step)*rolloutStep, step)
	}
	w.result.Stage = w.stage
	return w.result
}

func (w *rolloutWorld) watch() {
	running := []state.Rollout{{Order: state.Order{Service: "s", Version: "v2", Duration: w.options.Duration}, Revision: 1, Stage: w.activeStage}}
	for _, recorder := range w.recorders {
		recorder.Watch(running)
	}
}

func (w *rolloutWorld) step(now time.Duration, step int) {
	if w.activeStage != w.stage && now >= w.stageChangesAt {
		w.activeStage = w.stage
		w.watch()
	}
	w.sendRequests(now, now >= newVersionStart)
	if !w.stage.IsRunning() {
		return
	}
	if w.options.Fault == LeaderLost && now >= w.faultAt && now < w.faultAt+rolloutStep {
		w.analyzer = rollout.NewAnalyzer(w.options.Duration)
	}
	for node, recorder := range w.recorders {
		if step%sampleSteps == node%sampleSteps && !w.isFrozen(node, now) {
			for _, samples := range recorder.Samples() {
				w.analyzer.SetSamples(fmt.Sprint(node), samples)
			}
		}
	}
	decision := w.analyzer.Step(now, w.stage, nil)
	if decision.Stage == w.stage {
		return
	}
	w.stage, w.stageChangesAt = decision.Stage, now+decisionDelay
	if w.result.DecidedAt == 0 {
		w.result.DecidedAt, w.result.Reason = now, decision.Reason
	}
	if !w.stage.IsRunning() {
		w.result.EndedAt, w.result.Reason = now, decision.Reason
	}
}

func (w *rolloutWorld) isFrozen(node int, now time.Duration) bool {
	return w.options.Fault == NodeFreezes && w.frozen[node] && now >= w.faultAt && now < w.faultAt+freezeDuration
}

// sendRequests sends the requests of one step. newRuns reports whether the new version gets any.
func (w *rolloutWorld) sendRequests(now time.Duration, newRuns bool) {
	expected := w.options.Rate * rolloutStep.Seconds()
	count := int(expected)
	if w.random.Float64() < expected-float64(count) {
		count++
	}
	for range count {
		node := w.random.IntN(rolloutNodes)
		if w.isFrozen(node, now) {
			continue
		}
		isNew := newRuns && w.goesToNew(node)
		if now >= 0 {
			w.result.Requests++
			if isNew {
				w.result.ToNewVersion++
				w.result.LastToNewVersionAt = now
			}
		}
		w.respond(now, node, isNew)
	}
}

func (w *rolloutWorld) goesToNew(node int) bool {
	switch w.activeStage {
	case state.Moving, state.Done:
		return true
	case state.RolledBack:
		return false
	}
	w.credits[node] += w.options.CanaryShare
	if w.credits[node] < 1 {
		return false
	}
	w.credits[node]--
	return true
}

// respond simulates the response of an instance to a request.
func (w *rolloutWorld) respond(now time.Duration, node int, isNew bool) {
	version, instanceCount := "v1", rolloutInstances
	if isNew {
		version = "v2"
		if w.activeStage == state.Canary {
			instanceCount = rolloutCanaries
		}
	}
	route := w.random.IntN(rolloutRoutes)
	response := rollout.Response{
		Service: "s", Version: version, Instance: fmt.Sprint(version, "-", w.random.IntN(instanceCount)), Route: fmt.Sprint("route-", route),
		FirstEvent: time.Duration(float64(usualResponseTime) * math.Exp(usualDeviation*w.random.NormFloat64())), Tokens: 1000 * route,
	}
	response.FirstEvent = time.Duration(float64(response.FirstEvent) * float64(response.Tokens+1500) / 1500)
	failureShare := usualFailures
	if route == failingRoute {
		failureShare = failingRouteShare
	}
	response.IsFailed = w.random.Float64() < failureShare
	inFault := now >= w.faultAt && now < w.faultAt+faultDuration
	switch {
	case inFault && w.options.Fault == EnginesUnhealthy && w.unhealthy[response.Instance]:
		response.IsFailed = response.IsFailed || w.random.Float64() < unhealthyFailureShare
	case inFault && w.options.Fault == EnginesSlow:
		response.FirstEvent = time.Duration(float64(response.FirstEvent) * slowdownFactor)
	case w.options.Fault == EnginesCrash && w.unhealthy[response.Instance] && inFault:
		// Requests in flight fail; after that the nodes avoid the instance.
		if now-w.faultAt > 100*time.Millisecond {
			return
		}
		response.IsFailed = true
	}
	if isNew && w.hasRegressed(now, route) {
		w.applyRegression(now, &response)
	}
	w.recorders[node].Record(response)
}

func (w *rolloutWorld) hasRegressed(now time.Duration, route int) bool {
	regression := w.options.Regression
	if now < regression.From || regression.OneRoute && route != 0 {
		return false
	}
	return !regression.UnderLoad || w.random.Float64() < 0.7
}

func (w *rolloutWorld) applyRegression(now time.Duration, response *rollout.Response) {
	regression := w.options.Regression
	isBad := false
	if w.random.Float64() < regression.FailureShare {
		response.IsFailed, isBad = true, true
	}
	if w.random.Float64() < regression.SlowShare {
		response.FirstEvent, isBad = time.Duration(float64(response.FirstEvent)*regression.SlowFactor), true
	}
	if !isBad {
		return
	}
	w.result.BadResponses++
	if w.result.BadResponses == 50 {
		w.result.FiftiethBadAt = now
	}
}
