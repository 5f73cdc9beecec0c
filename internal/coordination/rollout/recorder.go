// Package rollout implements the canary analysis that decides whether a service's requests move to
// a new version of its instances. Entry nodes record the responses of the instances of both
// versions. The leading control node analyses these samples.
//
// The old and the new version are compared at the same time and route by route, so that a fault
// that affects both, such as a partition, a burst or an unhealthy zone, does not count against the
// new one. A response is bad if the instance failed it, or if it was slow in comparison with those
// that the same node received from the old version on the same route.
package rollout

import (
	"math"
	"sync"
	"time"

	state "github.com/ravenway/ravenway/internal/state/rollout"
)

const (
	// baselineWeight is the minimum weight of one response in a node's baseline of a route. The
	// baseline covers about 30 responses.
	baselineWeight = 1.0 / 30
	// minimumBaselineResponses is the number of responses that a baseline must include before a
	// response can count as slow.
	minimumBaselineResponses = 10
	// A response is slow if it took more than slowRatio times the baseline, and more than
	// slowDeviations standard deviations of the logarithm above it. Bad versions are several times
	// slower.
	slowRatio      = 1.8
	slowDeviations = 2.5
	// minimumDeviation is the minimum standard deviation assumed for the logarithm of a time.
	minimumDeviation = 0.15
	// maximumBaselines bounds the number of baselines, at about 100 bytes each. Routes are added
	// and removed with changes of the configuration.
	maximumBaselines = 4096
	// baseTokens is added to the tokens that an instance has to read before a response. It accounts
	// for the time of a response for which nothing has to be read.
	baseTokens = 1500
)

// Response describes the response of an instance to one request.
type Response struct {
	Service, Version, Instance, Route string
	// IsFailed reports whether the instance failed the request or broke off the response.
	IsFailed bool
	// FirstEvent is the time from the sending of the request to the first event of a stream, or to
	// a whole response. EventInterval is the mean time between events. 0 means that there was none.
	FirstEvent, EventInterval time.Duration
	// Tokens is the number of tokens that were expected to be read before the first event.
	Tokens int
}

// Counts holds the number of responses, and of those that were bad.
type Counts struct {
	Responses uint32 `msgpack:"a"`
	Bad       uint32 `msgpack:"b"`
}

func (c *Counts) add(other Counts) {
	c.Responses += other.Responses
	c.Bad += other.Bad
}

func (c *Counts) note(isBad bool) {
	c.Responses++
	if isBad {
		c.Bad++
	}
}

// RouteCounts holds the counts of the responses on one route by version.
type RouteCounts struct {
	Route string `msgpack:"r"`
	New   Counts `msgpack:"n"`
	Old   Counts `msgpack:"o"`
}

// InstanceCounts holds the counts of the responses of one instance of the new version.
type InstanceCounts struct {
	Instance string `msgpack:"i"`
	Counts   Counts `msgpack:"c"`
}

// Samples holds all samples that one node has recorded of one rollout since it learned of it.
type Samples struct {
	Service string `msgpack:"s"`
	// Revision is the revision of the rollout.
	Revision uint64        `msgpack:"r"`
	Routes   []RouteCounts `msgpack:"o"`
	// Instances holds the counts of each instance of the new version.
	Instances []InstanceCounts `msgpack:"i"`
	// Stage is the stage that the node applies. OldInFlight is the number of its requests in flight
	// at instances of the old version.
	Stage       state.Stage `msgpack:"g"`
	OldInFlight int         `msgpack:"u"`
}

// responseCount returns the total number of responses, which never decreases.
func (e *Samples) responseCount() uint32 {
	total := uint32(0)
	for _, one := range e.Routes {
		total += one.New.Responses + one.Old.Responses
	}
	return total
}

// Recorder records the responses of instances to one node's requests. It is safe for concurrent
// use.
type Recorder struct {
	mutex     sync.Mutex
	baselines map[string]*routeBaseline
	watched   map[string]*watchedRollout
}

// watchedRollout holds the counts of a running rollout.
type watchedRollout struct {
	state.Rollout
	routes    map[string]*RouteCounts
	instances map[string]*InstanceCounts
}

// routeBaseline is what a node expects of a response on a route, learned from the old version's
// responses: of the time to the first event, and of the interval between events.
type routeBaseline struct{ firstEvent, eventInterval timeBaseline }

// timeBaseline holds the moving mean and variance of the logarithms of times.
type timeBaseline struct {
	count          int
	mean, variance float64
}

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder {
	return &Recorder{baselines: map[string]*routeBaseline{}, watched: map[string]*watchedRollout{}}
}

// Watch replaces the rollouts that are recorded. A rollout with an unchanged revision keeps its
// counts.
func (r *Recorder) Watch(rollouts []state.Rollout) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	kept := map[string]*watchedRollout{}
	for _, one := range rollouts {
		if !one.Stage.IsRunning() {
			continue
		}
		known := r.watched[one.Service]
		if known == nil || known.Revision != one.Revision {
			known = &watchedRollout{routes: map[string]*RouteCounts{}, instances: map[string]*InstanceCounts{}}
		}
		known.Rollout = one
		kept[one.Service] = known
	}
	r.watched = kept
}

// Record records a response.
func (r *Recorder) Record(response Response) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	baseline := r.baselines[response.Route]
	if baseline == nil {
		if len(r.baselines) >= maximumBaselines {
			clear(r.baselines)
		}
		baseline = &routeBaseline{}
		r.baselines[response.Route] = baseline
	}
	running := r.watched[response.Service]
	isNew := running != nil && response.Version == running.Version
	// While all work moves, the new version has a different load than the old one had, so slower
	// responses indicate nothing.
	isMoving := running != nil && running.Stage == state.Moving
	isBad := response.IsFailed || !isMoving && baseline.isSlow(response)
	if !response.IsFailed && !isNew {
		baseline.learn(response)
	}
	if running != nil {
		running.note(response, isNew, isBad)
	}
}

func (w *watchedRollout) note(response Response, isNew, isBad bool) {
	route := w.routes[response.Route]
	if route == nil {
		route = &RouteCounts{Route: response.Route}
		w.routes[response.Route] = route
	}
	if isNew {
		route.New.note(isBad)
	} else {
		route.Old.note(isBad)
	}
	if !isNew {
		return
	}
	instance := w.instances[response.Instance]
	if instance == nil {
		instance = &InstanceCounts{Instance: response.Instance}
		w.instances[response.Instance] = instance
	}
	instance.Counts.note(isBad)
}

// Samples returns the samples of all running rollouts.
func (r *Recorder) Samples() []Samples {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var all []Samples
	for _, one := range r.watched {
		samples := Samples{Service: one.Service, Revision: one.Revision, Stage: one.Stage}
		for _, route := range one.routes {
			samples.Routes = append(samples.Routes, *route)
		}
		for _, instance := range one.instances {
			samples.Instances = append(samples.Instances, *instance)
		}
		all = append(all, samples)
	}
	return all
}

// firstEventLog returns the logarithm of the time to a response's first event per token to be read.
// An instance whose cache is cold reads more tokens, and does not count as slower for that.
func firstEventLog(response Response) float64 {
	return math.Log(float64(response.FirstEvent)) - math.Log(float64(response.Tokens+baseTokens))
}

func (b *routeBaseline) isSlow(response Response) bool {
	return response.FirstEvent > 0 && b.firstEvent.isSlow(firstEventLog(response)) || response.EventInterval > 0 && b.eventInterval.isSlow(math.Log(float64(response.EventInterval)))
}

func (b *routeBaseline) learn(response Response) {
	if response.FirstEvent > 0 {
		b.firstEvent.learn(firstEventLog(response))
	}
	if response.EventInterval > 0 {
		b.eventInterval.learn(math.Log(float64(response.EventInterval)))
	}
}

func (t *timeBaseline) isSlow(value float64) bool {
	if t.count < minimumBaselineResponses {
		return false
	}
	deviation := max(minimumDeviation, math.Sqrt(t.variance))
	return value > t.mean+max(math.Log(slowRatio), slowDeviations*deviation)
}

func (t *timeBaseline) learn(value float64) {
	t.count++
	if t.count == 1 {
		t.mean = value
		return
	}
	weight := max(baselineWeight, 1/float64(t.count))
	difference := value - t.mean
	t.mean += weight * difference
	t.variance += weight * (difference*difference - t.variance)
}
