package rollout

import (
	"fmt"
	"math"
	"slices"
	"time"

	state "github.com/ravenway/ravenway/internal/state/rollout"
)

const (
	// harm is the part of answers, beyond the old version's, from which a version is taken
	// for bad.
	harm = 0.08
	// verdictBar is the logarithm of the likelihood ratio from which a version is bad. Of
	// good ones at most e^-verdictBar for each answer reach it by chance.
	verdictBar = 14.0
	// doubtBar is that from which a version does not move on at the deadline: by chance one
	// of some hundred good ones is there.
	doubtBar = 6.0
	// The old version's part of bad answers is the higher one of that of the last seconds
	// and that of this moment, each with some answers of which few are bad: what harms both
	// versions shows in the old one's at once.
	memory, moment = 3 * time.Second, 300 * time.Millisecond
	priorAnswers   = 20.0
	priorBad       = 0.01
	leastBad       = 0.004
	// A verdict needs evidence, of a likelihood ratio with this logarithm, from what is left
	// without the worst third of the new instances: an instance that ends or is ill says
	// little of its version, however many answers it takes along.
	worstInstances = 1.0 / 3
	restBar        = 4.0
	// In doubt at the deadline less is enough: what harms one route of many is thin at each
	// instance.
	doubtRestBar = 1.0
	// leastAnswers of the new version are needed to move on.
	leastAnswers = 10
	// The rollout moves in the last part of its time: so that old requests have ended
	// before the old version may end, and as late as that allows, since a version may
	// turn bad at any time.
	moveShare           = 0.3
	leastMove, mostMove = 1500 * time.Millisecond, 5 * time.Second
	// doneMargin is how long before the deadline the rollout is done, whatever is under way:
	// the word of it takes a quorum's disks and a hello.
	doneMargin = 700 * time.Millisecond
	// hearTime is how long a judge that begins late, as a new leader's does, waits for nodes
	// to tell it what they have recorded: some reports of each.
	hearTime = 1500 * time.Millisecond
	// settleTime is how long after a move began no node's word counts that nothing is under
	// way: it may be from before.
	settleTime = 700 * time.Millisecond
)

// Judge weighs a rollout's evidence. It is not safe for concurrent use.
type Judge struct {
	duration time.Duration
	// nodes is the newest evidence of each node, by a name that is another one for each
	// life of the node: counts begin anew then.
	nodes  map[string]Evidence
	routes map[string]*routeTest
	all    cusum
	// old is how the old version answers on all routes.
	old                 rates
	seenOld             Counts
	instances           map[string]*instanceTest
	answers             Counts
	steppedAt, movingAt time.Duration
	isMoving            bool
	// begunAt is the time since the order at its first step.
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

// instanceTest holds one of the new instances against the old version.
type instanceTest struct {
	seen     Counts
	evidence cusum
}

// rates are the old version's parts of bad answers of late and at this moment.
type rates struct{ late, now decayed }

// decayed are counts of which older ones weigh less.
type decayed struct{ answers, bad float64 }

// cusum is a sum of log likelihood ratios that does not fall below 0: a version that was
// good for a time does not make up for what it does from then on.
type cusum struct{ sum float64 }

func (c *cusum) add(ratio float64) { c.sum = max(0, c.sum+ratio) }

// NewJudge makes a judge of a rollout of some duration.
func NewJudge(duration time.Duration) *Judge {
	return &Judge{
		duration: duration, nodes: map[string]Evidence{}, routes: map[string]*routeTest{}, instances: map[string]*instanceTest{},
	}
}

// Take takes a node's evidence. One that has overtaken a newer one changes nothing.
func (j *Judge) Take(node string, evidence Evidence) {
	if known, found := j.nodes[node]; found && evidence.answers() < known.answers() {
		return
	}
	j.nodes[node] = evidence
}

// Decision is the stage that a rollout is to be in, and why.
type Decision struct {
	Stage  state.Stage
	Reason string
}

// Step weighs what has come, some time after the order. live are the names of the nodes
// that send requests now.
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

// decideOnMove tells whether a canary that has shown no harm moves on.
func (j *Judge) decideOnMove(elapsed time.Duration, live []string) Decision {
	move := min(max(time.Duration(moveShare*float64(j.duration)), leastMove), mostMove)
	if elapsed < j.duration-move {
		return Decision{Stage: state.Canary}
	}
	if elapsed-j.begunAt < hearTime && elapsed < j.duration-doneMargin && !j.hasHeard(live) {
		// A new leader: nodes tell it what they have recorded within moments.
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

// hasHeard tells whether all nodes have told what they have recorded.
func (j *Judge) hasHeard(live []string) bool {
	return !slices.ContainsFunc(live, func(node string) bool {
		_, found := j.nodes[node]
		return !found
	})
}

// decideOnEnd tells whether a rollout that moves is done: nothing is under way at the old
// version, or there is no more time.
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

// weigh adds what is new in the evidence to the tests, and returns why the version is bad,
// or "".
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

// rest is the evidence without that of the worst instances.
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

// describe tells what a verdict rests on.
func (j *Judge) describe() string {
	text := fmt.Sprintf("bad answers of the new version on all routes together: %d of %d", j.answers.Bad, j.answers.Answers)
	for route, test := range j.routes {
		if test.evidence.sum >= verdictBar {
			text = fmt.Sprintf("bad answers of the new version on route %s: %d of %d, of the old one %.3f of late", route, test.new.Bad, test.new.Answers, test.old.rate())
		}
	}
	return fmt.Sprintf("%s; evidence %.1f, %.1f without the worst of %d instances", text, j.highest(), j.rest(), len(j.instances))
}

// routeTotals adds up what all nodes have recorded.
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

// since returns what came behind earlier counts.
func (c Counts) since(earlier Counts) Counts {
	return Counts{Answers: c.Answers - earlier.Answers, Bad: c.Bad - earlier.Bad}
}

// step returns the likelihood ratio of the new version's answers that have come, and these.
func (t *routeTest) step(since time.Duration, counts RouteCounts) (ratio float64, news Counts) {
	t.old.add(since, counts.Old.since(t.seen.Old))
	news = counts.New.since(t.seen.New)
	t.new.add(news)
	t.seen = counts
	return t.old.likelihoodRatio(news), news
}

// likelihoodRatio is the logarithm of how much more likely answers are of a version that is
// worse by harm than of one that is as good as the old one.
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

// rate is the part of bad answers that is believed.
func (r *rates) rate() float64 { return max(leastBad, r.late.rate(), r.now.rate()) }

func (d *decayed) add(since, remembered time.Duration, news Counts) {
	kept := math.Exp(-since.Seconds() / remembered.Seconds())
	d.answers, d.bad = d.answers*kept+float64(news.Answers), d.bad*kept+float64(news.Bad)
}

func (d *decayed) rate() float64 {
	return (d.bad + priorBad*priorAnswers) / (d.answers + priorAnswers)
}
