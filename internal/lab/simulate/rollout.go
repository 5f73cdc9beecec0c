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

// Harm is how a new version is worse than the old one.
type Harm struct {
	// Failing is the part of answers that fail, Slow the part that takes SlowBy times as
	// long.
	Failing, Slow, SlowBy float64
	// From is when it begins to be so, after the order.
	From time.Duration
	// OneRoute tells that only the first of the routes is harmed, UnderLoad that only
	// instances are that have more under way than half of an old one's mean.
	OneRoute, UnderLoad bool
}

// RolloutFault is a fault beside a rollout.
type RolloutFault string

// Faults beside a rollout.
const (
	NoRolloutFault RolloutFault = "none"
	// EnginesCrash: a seventh of the instances of both versions end for three seconds.
	EnginesCrash RolloutFault = "engines_crash"
	// EnginesIll: a seventh of the instances of both versions fail two of five answers.
	EnginesIll RolloutFault = "engines_ill"
	// EnginesSlow: all instances of both versions take three times as long for three
	// seconds, as in a burst.
	EnginesSlow RolloutFault = "engines_slow"
	// NodeFreezes: a tenth of the nodes stand still for two seconds.
	NodeFreezes RolloutFault = "node_freezes"
	// LeaderLost: a new leader judges from what the nodes tell it.
	LeaderLost RolloutFault = "leader_lost"
)

// RolloutFaults are all faults beside a rollout.
func RolloutFaults() []RolloutFault {
	return []RolloutFault{NoRolloutFault, EnginesCrash, EnginesIll, EnginesSlow, NodeFreezes, LeaderLost}
}

// RolloutOptions set up a run.
type RolloutOptions struct {
	Seed  uint64
	Harm  Harm
	Fault RolloutFault
	// Duration is the time from the order to the deadline.
	Duration time.Duration
	// Rate is the requests a second of all nodes.
	Rate float64
	// Share is the part of requests that the canary gets.
	Share float64
}

// RolloutResult is what a run came to.
type RolloutResult struct {
	Stage  state.Stage
	Reason string
	// VerdictAt is when the rollout was rolled back or began to move, EndedAt when it ended.
	VerdictAt, EndedAt time.Duration
	// Requests are all requests until the deadline, ToNew those of them that reached the
	// new version, BadAnswers the new version's bad answers.
	Requests, ToNew, BadAnswers int
	// Fiftieth is when the new version gave its 50th bad answer, LastToNew when the last
	// request was sent there; 0 if never.
	Fiftieth, LastToNew time.Duration
}

// The modelled deployment is the smallest of the users' grown ones with rollouts: 74 entry
// nodes, 70 instances of either version, of which 7 get the canary's requests.
const (
	rolloutNodes     = 74
	rolloutInstances = 70
	rolloutCanaries  = 7
	rolloutRoutes    = 5
	rolloutRate      = 590
	rolloutShare     = 0.08
	shortestRollout  = 12 * time.Second
	// Usual answers: the logarithm of their times has this deviation, and a few fail.
	usualDeviation = 0.4
	usualFailures  = 0.004
	// failingRoute is a route on which many answers fail by their nature.
	failingRoute, failingRouteShare = 3, 0.14
	rolloutStep                     = 20 * time.Millisecond
	evidenceSteps                   = 13
	// verdictDelay is the way of a verdict: the log and a hello.
	verdictDelay    = 60 * time.Millisecond
	rolloutFrom     = time.Second
	faultLasts      = 3 * time.Second
	illPart         = 1.0 / 7
	illFails        = 0.4
	slowedBy        = 3.0
	frozenPart      = 0.1
	frozenFor       = 2 * time.Second
	earlierSecond   = 4
	usualAnswerTime = 120 * time.Millisecond
)

// rolloutWorld is a run.
type rolloutWorld struct {
	options   RolloutOptions
	random    *rand.Rand
	recorders []*rollout.Recorder
	credits   []float64
	ill       map[string]bool
	frozen    []bool
	faultAt   time.Duration
	judge     *rollout.Analyzer
	stage     state.Stage
	// inForce is the stage that the nodes keep to, changesAt when the decided one is.
	inForce   state.Stage
	changesAt time.Duration
	result    RolloutResult
}

// RunRollouts runs a kind of version beside a fault over some seeds, side by side, in the
// modelled deployment with its requests and the users' shortest rollout.
func RunRollouts(harm Harm, fault RolloutFault, seeds int) []RolloutResult {
	results := make([]RolloutResult, seeds)
	places := make(chan struct{}, runtime.GOMAXPROCS(0))
	var playing sync.WaitGroup
	for seed := range seeds {
		places <- struct{}{}
		playing.Go(func() {
			results[seed] = RunRollout(RolloutOptions{
				Seed: uint64(seed), Harm: harm, Fault: fault, Duration: shortestRollout, Rate: rolloutRate, Share: rolloutShare,
			})
			<-places
		})
	}
	playing.Wait()
	return results
}

// RunRollout runs one seed.
func RunRollout(options RolloutOptions) RolloutResult {
	w := &rolloutWorld{
		options: options, random: rand.New(rand.NewPCG(options.Seed, 41)), credits: make([]float64, rolloutNodes), frozen: make([]bool, rolloutNodes),
		ill: map[string]bool{}, judge: rollout.NewAnalyzer(options.Duration), stage: state.Canary, inForce: state.Canary,
	}
	w.faultAt = rolloutFrom + time.Duration(w.random.Int64N(int64(options.Duration/2)))
	for node := range rolloutNodes {
		w.recorders = append(w.recorders, rollout.NewRecorder())
		w.credits[node] = w.random.Float64() * 0.25
		w.frozen[node] = w.random.Float64() < frozenPart
	}
	for number := range rolloutInstances {
		for _, version := range []string{"v1", "v2"} {
			w.ill[fmt.Sprint(version, "-", number)] = w.random.Float64() < illPart
		}
	}
	// What is usual is known from before the order.
	for at := -earlierSecond * time.Second; at < 0; at += rolloutStep {
		w.sendAll(at, false)
	}
	w.watch()
	for step := 0; time.Duration(step)*rolloutStep < options.Duration; step++ {
		w.step(time.Duration(step)*rolloutStep, step)
	}
	w.result.Stage = w.stage
	return w.result
}

func (w *rolloutWorld) watch() {
	running := []state.Rollout{{Order: state.Order{Service: "s", Version: "v2", Duration: w.options.Duration}, Revision: 1, Stage: w.inForce}}
	for _, recorder := range w.recorders {
		recorder.Watch(running)
	}
}

func (w *rolloutWorld) step(now time.Duration, step int) {
	if w.inForce != w.stage && now >= w.changesAt {
		w.inForce = w.stage
		w.watch()
	}
	w.sendAll(now, now >= rolloutFrom)
	if !w.stage.IsRunning() {
		return
	}
	if w.options.Fault == LeaderLost && now >= w.faultAt && now < w.faultAt+rolloutStep {
		w.judge = rollout.NewAnalyzer(w.options.Duration)
	}
	for node, recorder := range w.recorders {
		if step%evidenceSteps == node%evidenceSteps && !w.isFrozen(node, now) {
			for _, evidence := range recorder.Samples() {
				w.judge.SetSamples(fmt.Sprint(node), evidence)
			}
		}
	}
	decision := w.judge.Step(now, w.stage, nil)
	if decision.Stage == w.stage {
		return
	}
	w.stage, w.changesAt = decision.Stage, now+verdictDelay
	if w.result.VerdictAt == 0 {
		w.result.VerdictAt, w.result.Reason = now, decision.Reason
	}
	if !w.stage.IsRunning() {
		w.result.EndedAt, w.result.Reason = now, decision.Reason
	}
}

func (w *rolloutWorld) isFrozen(node int, now time.Duration) bool {
	return w.options.Fault == NodeFreezes && w.frozen[node] && now >= w.faultAt && now < w.faultAt+frozenFor
}

// sendAll sends the requests of one step.
func (w *rolloutWorld) sendAll(now time.Duration, newRuns bool) {
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
				w.result.ToNew++
				w.result.LastToNew = now
			}
		}
		w.answer(now, node, isNew)
	}
}

func (w *rolloutWorld) goesToNew(node int) bool {
	switch w.inForce {
	case state.Moving, state.Done:
		return true
	case state.RolledBack:
		return false
	}
	w.credits[node] += w.options.Share
	if w.credits[node] < 1 {
		return false
	}
	w.credits[node]--
	return true
}

// answer has an instance answer a request.
func (w *rolloutWorld) answer(now time.Duration, node int, isNew bool) {
	version, among := "v1", rolloutInstances
	if isNew {
		version = "v2"
		if w.inForce == state.Canary {
			among = rolloutCanaries
		}
	}
	route := w.random.IntN(rolloutRoutes)
	one := rollout.Response{
		Service: "s", Version: version, Instance: fmt.Sprint(version, "-", w.random.IntN(among)), Route: fmt.Sprint("route-", route),
		FirstEvent: time.Duration(float64(usualAnswerTime) * math.Exp(usualDeviation*w.random.NormFloat64())), Tokens: 1000 * route,
	}
	one.FirstEvent = time.Duration(float64(one.FirstEvent) * float64(one.Tokens+1500) / 1500)
	natural := usualFailures
	if route == failingRoute {
		natural = failingRouteShare
	}
	one.IsFailed = w.random.Float64() < natural
	inFault := now >= w.faultAt && now < w.faultAt+faultLasts
	switch {
	case inFault && w.options.Fault == EnginesIll && w.ill[one.Instance]:
		one.IsFailed = one.IsFailed || w.random.Float64() < illFails
	case inFault && w.options.Fault == EnginesSlow:
		one.FirstEvent = time.Duration(float64(one.FirstEvent) * slowedBy)
	case w.options.Fault == EnginesCrash && w.ill[one.Instance] && inFault:
		// What was under way is broken off; the node then leaves the instance alone.
		if now-w.faultAt > 100*time.Millisecond {
			return
		}
		one.IsFailed = true
	}
	if isNew && w.harmed(now, route) {
		w.noteHarm(now, &one)
	}
	w.recorders[node].Record(one)
}

func (w *rolloutWorld) harmed(now time.Duration, route int) bool {
	harm := w.options.Harm
	if now < harm.From || harm.OneRoute && route != 0 {
		return false
	}
	return !harm.UnderLoad || w.random.Float64() < 0.7
}

func (w *rolloutWorld) noteHarm(now time.Duration, one *rollout.Response) {
	harm := w.options.Harm
	isBad := false
	if w.random.Float64() < harm.Failing {
		one.IsFailed, isBad = true, true
	}
	if w.random.Float64() < harm.Slow {
		one.FirstEvent, isBad = time.Duration(float64(one.FirstEvent)*harm.SlowBy), true
	}
	if !isBad {
		return
	}
	w.result.BadAnswers++
	if w.result.BadAnswers == 50 {
		w.result.Fiftieth = now
	}
}
