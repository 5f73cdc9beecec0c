// Package rollout decides whether a service's work moves to a new version of its
// instances. Entry nodes record how the instances of both versions answer; the leading
// control node judges what they record.
//
// Old and new are compared at the same moment, route by route: what harms both, such as
// a cut, a burst or an ill zone, is no verdict on the new one. An answer counts as bad
// if the instance failed it, or if it was slow beside what the same node has from the
// old version on the same route.
package rollout

import (
	"math"
	"sync"
	"time"

	state "github.com/ravenway/ravenway/internal/state/rollout"
)

const (
	// baselineWeight is the weight of one answer in what a node takes for usual on a
	// route: some 30 answers are remembered.
	baselineWeight = 1.0 / 30
	// baselineAnswers are needed before an answer can be called slow.
	baselineAnswers = 10
	// An answer is slow if it took slowRatio times what is usual, and slowDeviations
	// standard deviations more, of the logarithm: bad versions are several times slower.
	slowRatio      = 1.8
	slowDeviations = 2.5
	// leastDeviation is the least standard deviation of the logarithm of a time that is
	// believed.
	leastDeviation = 0.15
	// routesKept bounds the routes of which it is known what is usual, at some 100 bytes each:
	// configurations come and go with their routes.
	routesKept = 4096
	// baseTokens are added to the tokens that an instance has to read before an answer:
	// what an answer takes that reads none.
	baseTokens = 1500
)

// Answer is how an instance answered one request.
type Answer struct {
	Service, Version, Instance, Route string
	// IsFailed tells that the instance failed it or broke it off.
	IsFailed bool
	// First is the time from the sending to a stream's first event, or to a whole answer;
	// Pace the mean time between events. 0 means that there was none.
	First, Pace time.Duration
	// Tokens were expected to be read before the first event.
	Tokens int
}

// Counts are answers, and those of them that were bad.
type Counts struct {
	Answers uint32 `msgpack:"a"`
	Bad     uint32 `msgpack:"b"`
}

func (c *Counts) add(other Counts) {
	c.Answers += other.Answers
	c.Bad += other.Bad
}

func (c *Counts) note(isBad bool) {
	c.Answers++
	if isBad {
		c.Bad++
	}
}

// RouteCounts are the answers on one route by version.
type RouteCounts struct {
	Route string `msgpack:"r"`
	New   Counts `msgpack:"n"`
	Old   Counts `msgpack:"o"`
}

// InstanceCounts are the answers of one instance of the new version.
type InstanceCounts struct {
	Instance string `msgpack:"i"`
	Counts   Counts `msgpack:"c"`
}

// Evidence is all that one node has recorded of one rollout since it heard of it.
type Evidence struct {
	Service string `msgpack:"s"`
	// Rollout is the revision of the rollout.
	Rollout uint64        `msgpack:"r"`
	Routes  []RouteCounts `msgpack:"o"`
	// Instances are those of the new version.
	Instances []InstanceCounts `msgpack:"i"`
	// Stage is the stage that the node keeps to, OldUnderWay the number of its requests at
	// instances of the old version.
	Stage       state.Stage `msgpack:"g"`
	OldUnderWay int         `msgpack:"u"`
}

// answers is the number of all answers that the evidence holds, which only rises.
func (e *Evidence) answers() uint32 {
	total := uint32(0)
	for _, one := range e.Routes {
		total += one.New.Answers + one.Old.Answers
	}
	return total
}

// Recorder records how instances answer one node's requests. It is safe for concurrent
// use.
type Recorder struct {
	mutex   sync.Mutex
	usual   map[string]*routeTimes
	watched map[string]*watched
}

// watched is what is recorded of a running rollout.
type watched struct {
	state.Rollout
	routes    map[string]*RouteCounts
	instances map[string]*InstanceCounts
}

// routeTimes is what is usual on a route, of the logarithms of times.
type routeTimes struct{ first, pace times }

type times struct {
	count                 int
	mean, squaredDeviance float64
}

// NewRecorder makes an empty recorder.
func NewRecorder() *Recorder {
	return &Recorder{usual: map[string]*routeTimes{}, watched: map[string]*watched{}}
}

// Watch replaces the rollouts that are recorded; of one that goes on nothing is lost.
func (r *Recorder) Watch(rollouts []state.Rollout) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	kept := map[string]*watched{}
	for _, one := range rollouts {
		if !one.Stage.IsRunning() {
			continue
		}
		known := r.watched[one.Service]
		if known == nil || known.Revision != one.Revision {
			known = &watched{routes: map[string]*RouteCounts{}, instances: map[string]*InstanceCounts{}}
		}
		known.Rollout = one
		kept[one.Service] = known
	}
	r.watched = kept
}

// Note records an answer.
func (r *Recorder) Note(answer Answer) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	usual := r.usual[answer.Route]
	if usual == nil {
		if len(r.usual) >= routesKept {
			clear(r.usual)
		}
		usual = &routeTimes{}
		r.usual[answer.Route] = usual
	}
	running := r.watched[answer.Service]
	isNew := running != nil && answer.Version == running.Version
	// While all work moves the new version has another load than the old one had: that it is
	// slower then says nothing.
	isMoving := running != nil && running.Stage == state.Moving
	isBad := answer.IsFailed || !isMoving && usual.isSlow(answer)
	if !answer.IsFailed && !isNew {
		usual.learn(answer)
	}
	if running != nil {
		running.note(answer, isNew, isBad)
	}
}

func (w *watched) note(answer Answer, isNew, isBad bool) {
	route := w.routes[answer.Route]
	if route == nil {
		route = &RouteCounts{Route: answer.Route}
		w.routes[answer.Route] = route
	}
	if isNew {
		route.New.note(isBad)
	} else {
		route.Old.note(isBad)
	}
	if !isNew {
		return
	}
	instance := w.instances[answer.Instance]
	if instance == nil {
		instance = &InstanceCounts{Instance: answer.Instance}
		w.instances[answer.Instance] = instance
	}
	instance.Counts.note(isBad)
}

// Evidence returns what was recorded of all running rollouts.
func (r *Recorder) Evidence() []Evidence {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var all []Evidence
	for _, one := range r.watched {
		evidence := Evidence{Service: one.Service, Rollout: one.Revision, Stage: one.Stage}
		for _, route := range one.routes {
			evidence.Routes = append(evidence.Routes, *route)
		}
		for _, instance := range one.instances {
			evidence.Instances = append(evidence.Instances, *instance)
		}
		all = append(all, evidence)
	}
	return all
}

// firstOf is the logarithm of the time to an answer's first event, for each token that
// was to be read: an instance whose cache is cold reads more and is not slower for that.
func firstOf(answer Answer) float64 {
	return math.Log(float64(answer.First)) - math.Log(float64(answer.Tokens+baseTokens))
}

func (u *routeTimes) isSlow(answer Answer) bool {
	return answer.First > 0 && u.first.isSlow(firstOf(answer)) || answer.Pace > 0 && u.pace.isSlow(math.Log(float64(answer.Pace)))
}

func (u *routeTimes) learn(answer Answer) {
	if answer.First > 0 {
		u.first.learn(firstOf(answer))
	}
	if answer.Pace > 0 {
		u.pace.learn(math.Log(float64(answer.Pace)))
	}
}

func (t *times) isSlow(value float64) bool {
	if t.count < baselineAnswers {
		return false
	}
	deviation := max(leastDeviation, math.Sqrt(t.squaredDeviance))
	return value > t.mean+max(math.Log(slowRatio), slowDeviations*deviation)
}

func (t *times) learn(value float64) {
	t.count++
	if t.count == 1 {
		t.mean = value
		return
	}
	weight := max(baselineWeight, 1/float64(t.count))
	difference := value - t.mean
	t.mean += weight * difference
	t.squaredDeviance += weight * (difference*difference - t.squaredDeviance)
}
