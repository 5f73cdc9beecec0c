package rollout

import (
	"fmt"
	"math"
	"slices"
	"time"

	state "github.com/ravenway/ravenway/internal/state/rollout"
)

const (
	// harm is the share of bad responses, in excess of the old version's, that the test assumes of a
	// bad version.
	harm = 0.08
	// verdictBar is the log likelihood ratio from which a version counts as bad. A good version
	// reaches it by chance with a probability of at most e^-verdictBar per response.
	verdictBar = 14.0
	// doubtBar is the log likelihood ratio from which a version is not moved to when the time to
	// move has come. By chance, about one in a hundred good versions reaches it.
	doubtBar = 6.0
	// The old version's share of bad responses is the higher one of two exponentially decayed
	// averages, with time constants memory and moment. Each starts from priorAnswers responses, of
	// which priorBad are bad, and the result is at least leastBad. The short average reacts
	// immediately to a fault that affects both versions.
	memory, moment = 3 * time.Second, 300 * time.Millisecond
	priorAnswers   = 20.0
	priorBad       = 0.01
	leastBad       = 0.004
	// A rollback also requires a log likelihood ratio of restBar from the new instances without the
	// worst third of them. An instance that crashes or is unhealthy indicates little about its
	// version, regardless of how many responses fail with it.
	worstInstances = 1.0 / 3
	restBar        = 4.0
	// doubtRestBar is the lower requirement for a version in doubt at the time to move: a fault on
	// one of many routes causes only few bad responses at each instance.
	doubtRestBar = 1.0
	// leastAnswers is the minimum number of responses of the new version before traffic moves to it.
	leastAnswers = 10
	// The rollout moves in the last moveShare of its duration, for at least leastMove and at most
	// mostMove. The old requests then have ended before the old version may be stopped. The move
	// starts as late as that allows, because a version may turn bad at any time.
	moveShare           = 0.3
	leastMove, mostMove = 1500 * time.Millisecond, 5 * time.Second
	// doneMargin is how long before the deadline the rollout is done regardless of the requests in
	// flight. The decision has to be written to the disks of a quorum and to reach the nodes with a
	// hello.
	doneMargin = 700 * time.Millisecond
	// hearTime is how long an analysis that starts late, such as that of a new leader, waits for the
	// samples of all nodes. Each node sends several reports in that time.
	hearTime = 1500 * time.Millisecond
	// settleTime is how long after the start of the move a node's report of no requests in flight is
	// ignored, because it may date from before the move.
	settleTime = 700 * time.Millisecond
)

// Judge is the canary analysis of a rollout: it compares the responses of the new version with those
// of the old one and decides on the rollout's stage. It is not safe for concurrent use.
type Judge struct {
	duration time.Duration
	// nodes holds the newest samples of each node incarnation. The key differs between incarnations
	// of a node, because each starts its counts from 0.
	nodes  map[string]Evidence
	routes map[string]*routeTest
	all    cusum
	// old holds the old version's shares of bad responses on all routes together.
	old                 rates
	seenOld             Counts
	instances           map[string]*instanceTest
	answers             Counts
	steppedAt, movingAt time.Duration
	isMoving            bool
	// begunAt is the time of its first step, counted from the order.
	begunAt  time.Duration
	hasBegun bool
}

// routeTest compares the versions on one route.
type routeTest struct {
	seen     RouteCounts
	old      rates
	new      Counts
	evidence cusum
}

// instanceTest compares one instance of the new version with the old version.
type instanceTest struct {
	seen     Counts
	evidence cusum
}

// rates holds the old version's shares of bad responses: late decays with the time constant memory,
// and now with the time constant moment.
type rates struct{ late, now decayed }

// decayed holds exponentially decayed counts of responses.
type decayed struct{ answers, bad float64 }

// cusum is a cumulative sum of log likelihood ratios that does not fall below 0 (a CUSUM test). A
// version that was good for some time therefore gains no credit against later failures.
type cusum struct{ sum float64 }

func (c *cusum) add(ratio float64) { c.sum = max(0, c.sum+ratio) }

// NewJudge returns the canary analysis of a rollout with a duration.
func NewJudge(duration time.Duration) *Judge {
	return &Judge{
		duration: duration, nodes: map[string]Evidence{}, routes: map[string]*routeTest{}, instances: map[string]*instanceTest{},
	}
}

// Take replaces a node's samples. Older samples that arrive after newer ones are ignored.
func (j *Judge) Take(node string, evidence Evidence) {
	if known, found := j.nodes[node]; found && evidence.answers() < known.answers() {
		return
	}
	j.nodes[node] = evidence
}

// Decision is the stage that a rollout should be in, and the reason.
type Decision struct {
	Stage  state.Stage
	Reason string
}

// Step analyses the samples received so far and returns the decision. elapsed is the time since the
// order, and live holds the names of the nodes that send requests now.
func (j *Judge) Step(elapsed time.Duration, stage state.Stage, live []string) Decision {
	bad := j.weigh(elapsed)
	if bad != "" {
		return Decision{Stage: state.RolledBack, Reason: bad}
	}
	if !j.hasBegun {
		j.hasBegun, j.begunAt = true, elapsed
	}
	if stage == state.Canary {
		return j.decideOnMove(elapsed, live)
	}
	return j.decideOnEnd(elapsed, live)
}

// decideOnMove decides whether a canary that has shown no harm so far stays, moves or is rolled back.
func (j *Judge) decideOnMove(elapsed time.Duration, live []string) Decision {
	move := min(max(time.Duration(moveShare*float64(j.duration)), leastMove), mostMove)
	if elapsed < j.duration-move {
		return Decision{Stage: state.Canary}
	}
	if elapsed-j.begunAt < hearTime && elapsed < j.duration-doneMargin && !j.hasHeard(live) {
		// After a change of leader, the samples of all nodes arrive within hearTime.
		return Decision{Stage: state.Canary}
	}
	text := fmt.Sprintf("%d answers, %d bad, evidence of harm %.1f", j.answers.Answers, j.answers.Bad, j.all.sum)
	switch {
	case j.answers.Answers < leastAnswers:
		return Decision{Stage: state.RolledBack, Reason: "too few answers to judge by: " + text}
	case j.highest() >= doubtBar && j.rest() >= doubtRestBar:
		return Decision{Stage: state.RolledBack, Reason: "undecided at the time to move, and in doubt: " + text}
	}
	return Decision{Stage: state.Moving, Reason: "as good as the old version: " + text}
}

// hasHeard reports whether samples of all live nodes were received.
func (j *Judge) hasHeard(live []string) bool {
	return !slices.ContainsFunc(live, func(node string) bool {
		_, found := j.nodes[node]
		return !found
	})
}

// decideOnEnd decides whether a rollout that moves is done: either no request is in flight at the old
// version, or the deadline is near.
func (j *Judge) decideOnEnd(elapsed time.Duration, live []string) Decision {
	if !j.isMoving {
		j.isMoving, j.movingAt = true, elapsed
	}
	underWay, silent := 0, 0
	for _, node := range live {
		evidence, found := j.nodes[node]
		if !found || evidence.Stage != state.Moving {
			silent++
			continue
		}
		underWay += evidence.OldUnderWay
	}
	if elapsed >= j.duration-doneMargin {
		return Decision{Stage: state.Done, Reason: fmt.Sprintf("at its deadline: %d requests under way at the old version, %d nodes have not said so", underWay, silent)}
	}
	if elapsed-j.movingAt >= settleTime && underWay == 0 && silent == 0 {
		return Decision{Stage: state.Done, Reason: "nothing is under way at the old version"}
	}
	return Decision{Stage: state.Moving}
}

func (j *Judge) highest() float64 {
	highest := j.all.sum
	for _, test := range j.routes {
		highest = max(highest, test.evidence.sum)
	}
	return highest
}

// weigh adds the responses since the last step to the tests, and returns why the version is bad, or
// "" if it is not.
func (j *Judge) weigh(elapsed time.Duration) string {
	since := elapsed - j.steppedAt
	j.steppedAt = elapsed
	total, old := 0.0, Counts{}
	for route, counts := range j.routeTotals() {
		test := j.routes[route]
		if test == nil {
			test = &routeTest{}
			j.routes[route] = test
		}
		old.add(counts.Old)
		ratio, news := test.step(since, counts)
		j.answers.add(news)
		test.evidence.add(ratio)
		total += ratio
	}
	j.all.add(total)
	j.old.add(since, old.since(j.seenOld))
	j.seenOld = old
	j.weighInstances()
	if j.highest() < verdictBar || j.rest() < restBar {
		return ""
	}
	return j.describe()
}

func (j *Judge) weighInstances() {
	for id, counts := range j.newInstanceTotals() {
		test := j.instances[id]
		if test == nil {
			test = &instanceTest{}
			j.instances[id] = test
		}
		test.evidence.add(j.old.likelihoodRatio(counts.since(test.seen)))
		test.seen = counts
	}
}

// rest returns the sum of the instances' log likelihood ratios without those of the worst instances.
func (j *Judge) rest() float64 {
	sums := make([]float64, 0, len(j.instances))
	for _, test := range j.instances {
		sums = append(sums, test.evidence.sum)
	}
	slices.Sort(sums)
	without := int(math.Ceil(worstInstances * float64(len(sums))))
	if len(sums) == 1 {
		without = 0
	}
	rest := 0.0
	for _, sum := range sums[:len(sums)-without] {
		rest += sum
	}
	return rest
}

// describe returns the reason for a rollback.
func (j *Judge) describe() string {
	text := fmt.Sprintf("bad answers of the new version on all routes together: %d of %d", j.answers.Bad, j.answers.Answers)
	for route, test := range j.routes {
		if test.evidence.sum >= verdictBar {
			text = fmt.Sprintf("bad answers of the new version on route %s: %d of %d, of the old one %.3f of late", route, test.new.Bad, test.new.Answers, test.old.rate())
		}
	}
	return fmt.Sprintf("%s; evidence %.1f, %.1f without the worst of %d instances", text, j.highest(), j.rest(), len(j.instances))
}

// routeTotals sums the counts of all nodes by route.
func (j *Judge) routeTotals() map[string]RouteCounts {
	totals := map[string]RouteCounts{}
	for _, evidence := range j.nodes {
		for _, one := range evidence.Routes {
			total := totals[one.Route]
			total.New.add(one.New)
			total.Old.add(one.Old)
			totals[one.Route] = total
		}
	}
	return totals
}

func (j *Judge) newInstanceTotals() map[string]Counts {
	totals := map[string]Counts{}
	for _, evidence := range j.nodes {
		for _, one := range evidence.Instances {
			total := totals[one.Instance]
			total.add(one.Counts)
			totals[one.Instance] = total
		}
	}
	return totals
}

// since returns the difference to earlier counts.
func (c Counts) since(earlier Counts) Counts {
	return Counts{Answers: c.Answers - earlier.Answers, Bad: c.Bad - earlier.Bad}
}

// step returns the log likelihood ratio of the new version's responses since the last step, and the
// counts of these responses.
func (t *routeTest) step(since time.Duration, counts RouteCounts) (ratio float64, news Counts) {
	t.old.add(since, counts.Old.since(t.seen.Old))
	news = counts.New.since(t.seen.New)
	t.new.add(news)
	t.seen = counts
	return t.old.likelihoodRatio(news), news
}

// likelihoodRatio returns the log likelihood ratio of responses: how much more likely they are for a
// version that is worse by harm than for one that is as good as the old version.
func (r *rates) likelihoodRatio(news Counts) float64 {
	if news.Answers == 0 {
		return 0
	}
	good := r.rate()
	bad := good + harm*(1-good)
	return float64(news.Bad)*math.Log(bad/good) + float64(news.Answers-news.Bad)*math.Log((1-bad)/(1-good))
}

func (r *rates) add(since time.Duration, news Counts) {
	r.late.add(since, memory, news)
	r.now.add(since, moment, news)
}

// rate returns the assumed share of bad responses.
func (r *rates) rate() float64 { return max(leastBad, r.late.rate(), r.now.rate()) }

func (d *decayed) add(since, remembered time.Duration, news Counts) {
	kept := math.Exp(-since.Seconds() / remembered.Seconds())
	d.answers, d.bad = d.answers*kept+float64(news.Answers), d.bad*kept+float64(news.Bad)
}

func (d *decayed) rate() float64 {
	return (d.bad + priorBad*priorAnswers) / (d.answers + priorAnswers)
}
