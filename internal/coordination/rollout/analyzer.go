package rollout

import (
	"fmt"
	"math"
	"slices"
	"time"

	state "github.com/ravenway/ravenway/internal/state/rollout"
)

const (
	// minimumHarm is the additional share of bad responses that the test assumes of a bad version: it
	// is the share of the old version's good responses that are bad with the new one.
	minimumHarm = 0.08
	// rollbackThreshold is the cumulative log likelihood ratio from which a version counts as bad. A
	// good version reaches it by chance with a probability of at most e^-rollbackThreshold per
	// response.
	rollbackThreshold = 14.0
	// doubtThreshold is the cumulative log likelihood ratio from which a version is in doubt: it is
	// rolled back instead of moved to when the time to move has come. By chance, about one in a
	// hundred good versions reaches it.
	doubtThreshold = 6.0
	// The old version's share of bad responses is the higher one of two exponentially decayed
	// averages, with time constants longMemory and shortMemory. Each includes a constant prior of
	// priorResponses responses with a share of priorBadShare bad ones, and the result is at least
	// minimumBadShare. The short average reacts immediately to a fault that affects both versions.
	longMemory, shortMemory = 3 * time.Second, 300 * time.Millisecond
	priorResponses          = 20.0
	priorBadShare           = 0.01
	minimumBadShare         = 0.004
	// A rollback also requires that the log likelihood ratios of the new instances without the worst
	// third of them add up to remainingThreshold. An instance that crashes or is unhealthy indicates
	// little about its version, regardless of how many responses fail with it.
	worstInstanceShare = 1.0 / 3
	remainingThreshold = 4.0
	// doubtRemainingThreshold is the lower requirement for a version in doubt at the time to move:
	// a fault on one of many routes causes only few bad responses at each instance.
	doubtRemainingThreshold = 1.0
	// minimumResponses is the minimum number of responses of the new version before traffic moves
	// to it.
	minimumResponses = 10
	// The rollout moves in the last moveShare of its duration, for at least minimumMove and at most
	// maximumMove. The old requests then have ended before the old version may be stopped. The move
	// starts as late as that allows, because a version may turn bad at any time.
	moveShare                = 0.3
	minimumMove, maximumMove = 1500 * time.Millisecond, 5 * time.Second
	// doneMargin is how long before the deadline the rollout is done regardless of the requests in
	// flight. The decision has to be written to the disks of a quorum and to reach the nodes with a
	// hello.
	doneMargin = 700 * time.Millisecond
	// sampleWait is how long an analysis that starts late, such as that of a new leader, waits for
	// the samples of all nodes. Each node sends several reports in that time.
	sampleWait = 1500 * time.Millisecond
	// settleTime is how long after the start of the move a node's report of no requests in flight
	// is ignored, because it may date from before the move.
	settleTime = 700 * time.Millisecond
)

// Analyzer is the canary analysis of a rollout: it compares the responses of the new version with
// those of the old one and decides on the rollout's stage. It is not safe for concurrent use.
type Analyzer struct {
	duration time.Duration
	// samples holds the newest samples of each node incarnation. The key differs between
	// incarnations of a node, because each starts its counts from 0.
	samples map[string]Samples
	routes  map[string]*routeTest
	// total is the test of all routes together.
	total cusum
	// oldRates holds the old version's shares of bad responses on all routes together, and countedOld
	// the counts that they include.
	oldRates   rates
	countedOld Counts
	instances  map[string]*instanceTest
	// newCounts holds the counts of the new version on all routes together.
	newCounts Counts
	// lastStepAt is the time of the last step, and movingAt that of the first one in the moving stage,
	// both since the rollout was ordered.
	lastStepAt, movingAt time.Duration
	isMoving             bool
	// firstStepAt is the time of the first step since the rollout was ordered.
	firstStepAt time.Duration
	hasStepped  bool
}

// routeTest compares the versions on one route.
type routeTest struct {
	// counted holds the counts that the test includes.
	counted RouteCounts
	// old holds the old version's shares of bad responses, and new the new version's counts.
	old    rates
	new    Counts
	ratios cusum
}

// instanceTest compares one instance of the new version with the old version.
type instanceTest struct {
	// counted holds the counts that the test includes.
	counted Counts
	ratios  cusum
}

// rates holds the old version's shares of bad responses, decayed with the time constants longMemory
// and shortMemory.
type rates struct{ long, short decayed }

// decayed holds exponentially decayed counts of responses.
type decayed struct{ responses, bad float64 }

// cusum is a cumulative sum of log likelihood ratios that does not fall below 0 (a CUSUM test). A
// version that was good for some time therefore gains no credit against later failures.
type cusum struct{ sum float64 }

func (c *cusum) add(ratio float64) { c.sum = max(0, c.sum+ratio) }

// NewAnalyzer returns the canary analysis of a rollout with a duration.
func NewAnalyzer(duration time.Duration) *Analyzer {
	return &Analyzer{
		duration: duration, samples: map[string]Samples{}, routes: map[string]*routeTest{}, instances: map[string]*instanceTest{},
	}
}

// SetSamples replaces a node's samples. Older samples that arrive after newer ones are ignored.
func (a *Analyzer) SetSamples(node string, samples Samples) {
	if known, found := a.samples[node]; found && samples.responseCount() < known.responseCount() {
		return
	}
	a.samples[node] = samples
}

// Decision is the stage that a rollout should be in, and the reason.
type Decision struct {
	Stage  state.Stage
	Reason string
}

// Step analyses the samples received so far and returns the decision. elapsed is the time since the
// rollout was ordered, and live holds the names of the nodes that send requests now.
func (a *Analyzer) Step(elapsed time.Duration, stage state.Stage, live []string) Decision {
	bad := a.analyze(elapsed)
	if bad != "" {
		return Decision{Stage: state.RolledBack, Reason: bad}
	}
	if !a.hasStepped {
		a.hasStepped, a.firstStepAt = true, elapsed
	}
	if stage == state.Canary {
		return a.decideWhetherToMove(elapsed, live)
	}
	return a.decideWhetherDone(elapsed, live)
}

// decideWhetherToMove decides whether a canary that has shown no harm so far stays, moves or is
// rolled back.
func (a *Analyzer) decideWhetherToMove(elapsed time.Duration, live []string) Decision {
	move := min(max(time.Duration(moveShare*float64(a.duration)), minimumMove), maximumMove)
	if elapsed < a.duration-move {
		return Decision{Stage: state.Canary}
	}
	// After a change of leader, the samples of all nodes arrive within sampleWait. Where none has arrived at all,
	// nodes may not know the new leader yet.
	waitsForSamples := len(a.samples) == 0 || elapsed-a.firstStepAt < sampleWait && !a.hasSamplesOfAll(live)
	if waitsForSamples && elapsed < a.duration-doneMargin {
		return Decision{Stage: state.Canary}
	}
	text := fmt.Sprintf("%d answers, %d bad, evidence of harm %.1f", a.newCounts.Responses, a.newCounts.Bad, a.total.sum)
	switch {
	case a.newCounts.Responses < minimumResponses:
		return Decision{Stage: state.RolledBack, Reason: "too few answers to judge by: " + text}
	case a.highestSum() >= doubtThreshold && a.remainingSum() >= doubtRemainingThreshold:
		return Decision{Stage: state.RolledBack, Reason: "undecided at the time to move, and in doubt: " + text}
	}
	return Decision{Stage: state.Moving, Reason: "as good as the old version: " + text}
}

// hasSamplesOfAll reports whether samples of all live nodes were received.
func (a *Analyzer) hasSamplesOfAll(live []string) bool {
	return !slices.ContainsFunc(live, func(node string) bool {
		_, found := a.samples[node]
		return !found
	})
}

// decideWhetherDone decides whether a rollout that moves is done: either no request is in flight at
// the old version, or the deadline is near.
func (a *Analyzer) decideWhetherDone(elapsed time.Duration, live []string) Decision {
	if !a.isMoving {
		a.isMoving, a.movingAt = true, elapsed
	}
	inFlight, missing := 0, 0
	for _, node := range live {
		samples, found := a.samples[node]
		if !found || samples.Stage != state.Moving {
			missing++
			continue
		}
		inFlight += samples.OldInFlight
	}
	if elapsed >= a.duration-doneMargin {
		return Decision{Stage: state.Done, Reason: fmt.Sprintf("at its deadline: %d requests under way at the old version, %d nodes have not said so", inFlight, missing)}
	}
	if elapsed-a.movingAt >= settleTime && inFlight == 0 && missing == 0 {
		return Decision{Stage: state.Done, Reason: "nothing is under way at the old version"}
	}
	return Decision{Stage: state.Moving}
}

func (a *Analyzer) highestSum() float64 {
	highest := a.total.sum
	for _, test := range a.routes {
		highest = max(highest, test.ratios.sum)
	}
	return highest
}

// analyze adds the responses since the last step to the tests, and returns why the version is bad,
// or "" if it is not.
func (a *Analyzer) analyze(elapsed time.Duration) string {
	since := elapsed - a.lastStepAt
	a.lastStepAt = elapsed
	total, old := 0.0, Counts{}
	for route, counts := range a.routeTotals() {
		test := a.routes[route]
		if test == nil {
			test = &routeTest{}
			a.routes[route] = test
		}
		old.add(counts.Old)
		ratio, added := test.step(since, counts)
		a.newCounts.add(added)
		test.ratios.add(ratio)
		total += ratio
	}
	a.total.add(total)
	a.oldRates.add(since, old.since(a.countedOld))
	a.countedOld = old
	a.analyzeInstances()
	if a.highestSum() < rollbackThreshold || a.remainingSum() < remainingThreshold {
		return ""
	}
	return a.rollbackReason()
}

func (a *Analyzer) analyzeInstances() {
	for id, counts := range a.newInstanceTotals() {
		test := a.instances[id]
		if test == nil {
			test = &instanceTest{}
			a.instances[id] = test
		}
		test.ratios.add(a.oldRates.logLikelihoodRatio(counts.since(test.counted)))
		test.counted = counts
	}
}

// remainingSum returns the sum of the instances' cumulative log likelihood ratios without those of
// the worst instances.
func (a *Analyzer) remainingSum() float64 {
	sums := make([]float64, 0, len(a.instances))
	for _, test := range a.instances {
		sums = append(sums, test.ratios.sum)
	}
	slices.Sort(sums)
	excluded := int(math.Ceil(worstInstanceShare * float64(len(sums))))
	if len(sums) == 1 {
		excluded = 0
	}
	remaining := 0.0
	for _, sum := range sums[:len(sums)-excluded] {
		remaining += sum
	}
	return remaining
}

// rollbackReason returns the reason for a rollback.
func (a *Analyzer) rollbackReason() string {
	text := fmt.Sprintf("bad answers of the new version on all routes together: %d of %d", a.newCounts.Bad, a.newCounts.Responses)
	for route, test := range a.routes {
		if test.ratios.sum >= rollbackThreshold {
			text = fmt.Sprintf("bad answers of the new version on route %s: %d of %d, of the old one %.3f of late", route, test.new.Bad, test.new.Responses, test.old.rate())
		}
	}
	return fmt.Sprintf("%s; evidence %.1f, %.1f without the worst of %d instances", text, a.highestSum(), a.remainingSum(), len(a.instances))
}

// routeTotals sums the counts of all nodes by route.
func (a *Analyzer) routeTotals() map[string]RouteCounts {
	totals := map[string]RouteCounts{}
	for _, samples := range a.samples {
		for _, one := range samples.Routes {
			total := totals[one.Route]
			total.New.add(one.New)
			total.Old.add(one.Old)
			totals[one.Route] = total
		}
	}
	return totals
}

func (a *Analyzer) newInstanceTotals() map[string]Counts {
	totals := map[string]Counts{}
	for _, samples := range a.samples {
		for _, one := range samples.Instances {
			total := totals[one.Instance]
			total.add(one.Counts)
			totals[one.Instance] = total
		}
	}
	return totals
}

// since returns the difference to earlier counts.
func (c Counts) since(earlier Counts) Counts {
	return Counts{Responses: c.Responses - earlier.Responses, Bad: c.Bad - earlier.Bad}
}

// step returns the log likelihood ratio of the new version's responses since the last step, and the
// counts of these responses.
func (t *routeTest) step(since time.Duration, counts RouteCounts) (ratio float64, added Counts) {
	t.old.add(since, counts.Old.since(t.counted.Old))
	added = counts.New.since(t.counted.New)
	t.new.add(added)
	t.counted = counts
	return t.old.logLikelihoodRatio(added), added
}

// logLikelihoodRatio returns the log likelihood ratio of responses: the logarithm of how much more
// likely they are for a version that is worse by minimumHarm than for one that is as good as the old
// version.
func (r *rates) logLikelihoodRatio(added Counts) float64 {
	if added.Responses == 0 {
		return 0
	}
	good := r.rate()
	bad := good + minimumHarm*(1-good)
	return float64(added.Bad)*math.Log(bad/good) + float64(added.Responses-added.Bad)*math.Log((1-bad)/(1-good))
}

func (r *rates) add(since time.Duration, added Counts) {
	r.long.add(since, longMemory, added)
	r.short.add(since, shortMemory, added)
}

// rate returns the assumed share of bad responses.
func (r *rates) rate() float64 { return max(minimumBadShare, r.long.rate(), r.short.rate()) }

func (d *decayed) add(since, timeConstant time.Duration, added Counts) {
	kept := math.Exp(-since.Seconds() / timeConstant.Seconds())
	d.responses, d.bad = d.responses*kept+float64(added.Responses), d.bad*kept+float64(added.Bad)
}

func (d *decayed) rate() float64 {
	return (d.bad + priorBadShare*priorResponses) / (d.responses + priorResponses)
}
