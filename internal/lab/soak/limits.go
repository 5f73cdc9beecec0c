package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/ravenway/ravenway/internal/lab/limitcheck"
	"github.com/ravenway/ravenway/internal/pause"
)

const (
	// limitStream is the seed's stream that limits draw from.
	limitStream = 4000
	// A limit stands for a time, is changed at times, and the next ones come after a pause.
	limitLeast, limitMost = 5 * time.Second, 9 * time.Second
	limitPause            = 2 * time.Second
)

// engineLimit is what an engine in need names.
type engineLimit struct {
	value string
	// perSecond is what that means, if isReadable is set.
	perSecond  float64
	isReadable bool
}

// engineLimits are what engines name, unreadableLimits what nobody can read.
var (
	engineLimits     = []engineLimit{{"0", 0, true}, {"0.5", 0.5, true}, {"1", 1, true}, {"2.5", 2.5, true}, {"8", 8, true}}
	unreadableLimits = []engineLimit{{value: ""}, {value: "many"}, {value: "-1"}, {value: "NaN"}}
)

// limitStep is a limit that an engine names from a moment on; without IsNamed it names
// none.
type limitStep struct {
	at        time.Time
	isNamed   bool
	perSecond float64
}

// limitRecord is what one life of an engine named, and what it got.
type limitRecord struct {
	// named is what it names now, if isNamed is set.
	named   engineLimit
	isNamed bool
	// steps are the limits since the first answer that named each.
	steps    []limitStep
	arrivals []time.Time
}

// nameLimit has the engine name a limit in its answers.
func (e *engine) nameLimit(named engineLimit) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.limit.named, e.limit.isNamed = named, true
}

// endLimit has the engine name none any more.
func (e *engine) endLimit() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.limit.isNamed = false
	if len(e.limit.steps) > 0 {
		e.limit.steps = append(e.limit.steps, limitStep{at: time.Now()})
	}
}

// noteArrival notes a request, and writes the limit into the head of its answer. One in two
// failures names none.
func (e *engine) noteArrival(header http.Header, isFailure bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	now := time.Now()
	e.limit.arrivals = append(e.limit.arrivals, now)
	if !e.limit.isNamed || isFailure && rand.IntN(2) == 0 {
		return
	}
	named := e.limit.named
	for name, values := range e.wire.LimitHeader(named.value) {
		header[name] = values
	}
	if !named.isReadable {
		return
	}
	last := len(e.limit.steps) - 1
	if last < 0 || !e.limit.steps[last].isNamed || e.limit.steps[last].perSecond != named.perSecond {
		e.limit.steps = append(e.limit.steps, limitStep{at: now, isNamed: true, perSecond: named.perSecond})
	}
}

// limitUse is the fullest span of an engine's limits.
type limitUse struct {
	got, allowed int
	// arrived is what came in all while nodes had to keep a limit, room what the limits
	// had room for.
	arrived int
	room    float64
}

// noteSpan notes what came in one span and what was allowed there.
func (u *limitUse) noteSpan(got, allowed int) {
	if u.allowed == 0 || got*u.allowed > u.got*allowed {
		u.got, u.allowed = got, allowed
	}
}

// use judges the spans that lie between a limit's first answer and contact, and its end.
func (l *limitRecord) use(end time.Time) limitUse {
	use := limitUse{}
	for position, step := range l.steps {
		if !step.isNamed || position > 0 && l.steps[position-1].isNamed {
			continue
		}
		until := end
		following := l.steps[position:]
		if place := slices.IndexFunc(following, func(one limitStep) bool { return !one.isNamed }); place >= 0 {
			until = following[place].at
			following = following[:place]
		}
		l.judge(&use, following, step.at.Add(limitcheck.Contact), until)
	}
	return use
}

// judge judges the spans of one limit with its changes.
func (l *limitRecord) judge(use *limitUse, steps []limitStep, from, until time.Time) {
	for first, begin := range l.arrivals {
		if begin.Before(from) || begin.After(until) {
			continue
		}
		use.arrived++
		count := 0
		for _, arrival := range l.arrivals[first:] {
			if arrival.Sub(begin) <= limitcheck.Window && !arrival.After(until) {
				count++
			}
		}
		allowed := limitcheck.Allowed(highestRate(steps, begin.Add(-limitcheck.Contact), begin.Add(limitcheck.Window)))
		use.noteSpan(count, allowed)
	}
	for position, step := range steps {
		ended := until
		if position+1 < len(steps) {
			ended = steps[position+1].at
		}
		if began := latest(step.at, from); began.Before(ended) {
			use.room += step.perSecond * ended.Sub(began).Seconds()
		}
	}
}

func latest(one, other time.Time) time.Time {
	if one.After(other) {
		return one
	}
	return other
}

// highestRate is the highest of the limits that were named in a span.
func highestRate(steps []limitStep, from, until time.Time) float64 {
	highest := 0.0
	for position, step := range steps {
		isOver := position+1 < len(steps) && steps[position+1].at.Before(from)
		if !isOver && !step.at.After(until) {
			highest = max(highest, step.perSecond)
		}
	}
	return highest
}

// limitEngines has engines name limits, change and end them, several at once, while faults
// are played.
func (r *run) limitEngines(faulty context.Context, random *rand.Rand) {
	for faulty.Err() == nil {
		pause.For(faulty, time.Duration(random.Int64N(int64(limitPause))))
		limited := r.fleet.drawEngines(random)
		lasting := limitLeast + time.Duration(random.Int64N(int64(limitMost-limitLeast)))
		r.nameLimits(limited, random)
		pause.For(faulty, lasting/2)
		if random.IntN(2) == 0 {
			r.nameLimits(limited, random)
		}
		pause.For(faulty, lasting/2)
		for _, one := range limited {
			one.endLimit()
		}
	}
}

func (r *run) nameLimits(limited []*engine, random *rand.Rand) {
	for _, one := range limited {
		named := engineLimits[random.IntN(len(engineLimits))]
		if random.IntN(8) == 0 {
			named = unreadableLimits[random.IntN(len(unreadableLimits))]
		}
		r.note("engine %s names the limit %q", one.ID, named.value)
		one.nameLimit(named)
	}
}

// drawEngines draws one to all of the engines that run.
func (f *fleet) drawEngines(random *rand.Rand) []*engine {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var all []*engine
	for place := range firstNewPlace {
		if one := f.engines[placeName(place)]; one != nil {
			all = append(all, one)
		}
	}
	if len(all) == 0 {
		return nil
	}
	random.Shuffle(len(all), func(one, other int) { all[one], all[other] = all[other], all[one] })
	return all[:1+random.IntN(len(all))]
}

// checkLimits holds what engines got against the limits that they named.
func (r *run) checkLimits() {
	r.fleet.mutex.Lock()
	lives := slices.Clone(r.fleet.everyLife)
	r.fleet.mutex.Unlock()
	limited, arrived, room, worst := 0, 0, 0.0, limitUse{}
	for _, one := range lives {
		one.mutex.Lock()
		use := one.limit.use(time.Now())
		one.mutex.Unlock()
		if use.room == 0 && use.arrived == 0 {
			continue
		}
		limited, arrived, room = limited+1, arrived+use.arrived, room+use.room
		if use.arrived > 0 {
			worst.noteSpan(use.got, use.allowed)
		}
		if use.got > use.allowed {
			r.breaks("engine %s got %d requests in %s, its limit allowed %d", one.ID, use.got, limitcheck.Window, use.allowed)
		}
	}
	r.note("%d engines with limits got %d requests where those had room for %.0f; the fullest %s: %d, allowed %d",
		limited, arrived, room, limitcheck.Window, worst.got, worst.allowed)
}
