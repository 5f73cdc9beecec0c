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
	// limitRandomStream is the second seed of the random numbers for rate limits.
	limitRandomStream = 4000
	// Rate limits are in effect for minimumLimitTime to maximumLimitTime and may change halfway. The
	// next ones follow after up to maximumLimitInterval.
	minimumLimitTime, maximumLimitTime = 5 * time.Second, 9 * time.Second
	maximumLimitInterval               = 2 * time.Second
)

// engineLimit is the rate limit that an overloaded engine names in its responses.
type engineLimit struct {
	// value is the text of the limit, as responses carry it.
	value string
	// perSecond is the value in requests per second, if isValid is set.
	perSecond float64
	isValid   bool
}

// validLimits are valid values of the rate limit, malformedLimits are malformed ones.
var (
	validLimits     = []engineLimit{{"0", 0, true}, {"0.5", 0.5, true}, {"1", 1, true}, {"2.5", 2.5, true}, {"8", 8, true}}
	malformedLimits = []engineLimit{{value: ""}, {value: "many"}, {value: "-1"}, {value: "NaN"}}
)

// limitRecord holds the rate limits that one incarnation of an engine named, and the requests that
// it received.
type limitRecord struct {
	limitcheck.Record
	// startedAt is the start time of the incarnation.
	startedAt time.Time
	// current is the current limit, if hasCurrent is set.
	current    engineLimit
	hasCurrent bool
}

// nameLimit makes the engine name a rate limit in its responses.
func (e *engine) nameLimit(named engineLimit) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.limit.current, e.limit.hasCurrent = named, true
}

// endLimit makes the engine stop naming a rate limit.
func (e *engine) endLimit() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.limit.hasCurrent = false
	e.limit.EndLimit(time.Since(e.limit.startedAt))
}

// recordArrival records a request, and writes the rate limit into the response header. One in two
// failure responses omits it.
func (e *engine) recordArrival(header http.Header, isFailure bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	now := time.Since(e.limit.startedAt)
	e.limit.AddArrival(now)
	if !e.limit.hasCurrent || isFailure && rand.IntN(2) == 0 {
		return
	}
	named := e.limit.current
	for name, values := range e.wire.LimitHeader(named.value) {
		header[name] = values
	}
	if named.isValid {
		e.limit.AddLimit(now, named.perSecond)
	}
}

// limitEngines makes engines name, change and drop rate limits, several at the same time, while
// faults are injected.
func (r *run) limitEngines(faultContext context.Context, random *rand.Rand) {
	for faultContext.Err() == nil {
		pause.For(faultContext, time.Duration(random.Int64N(int64(maximumLimitInterval))))
		limited := r.fleet.drawEngines(random)
		lasting := minimumLimitTime + time.Duration(random.Int64N(int64(maximumLimitTime-minimumLimitTime)))
		r.nameLimits(limited, random)
		pause.For(faultContext, lasting/2)
		if random.IntN(2) == 0 {
			r.nameLimits(limited, random)
		}
		pause.For(faultContext, lasting/2)
		for _, one := range limited {
			one.endLimit()
		}
	}
}

func (r *run) nameLimits(limited []*engine, random *rand.Rand) {
	for _, one := range limited {
		named := validLimits[random.IntN(len(validLimits))]
		if random.IntN(8) == 0 {
			named = malformedLimits[random.IntN(len(malformedLimits))]
		}
		r.reportf("engine %s names the limit %q", one.ID, named.value)
		one.nameLimit(named)
	}
}

// drawEngines draws one or more of the running engines.
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

// checkLimits compares the requests that engines received with the rate limits that they named.
func (r *run) checkLimits() {
	r.fleet.mutex.Lock()
	incarnations := slices.Clone(r.fleet.allIncarnations)
	r.fleet.mutex.Unlock()
	limited, arrived, allowed, worst := 0, 0, 0.0, limitcheck.Usage{}
	for _, one := range incarnations {
		one.mutex.Lock()
		use := one.limit.Usage(time.Since(one.limit.startedAt))
		one.mutex.Unlock()
		if use.Capacity == 0 && use.Arrived == 0 {
			continue
		}
		limited, arrived, allowed = limited+1, arrived+use.Arrived, allowed+use.Capacity
		if use.Arrived > 0 {
			worst.AddWindow(use.Received, use.Allowed)
		}
		if use.Received > use.Allowed {
			r.violationf("engine %s got %d requests in %s, its limit allowed %d", one.ID, use.Received, limitcheck.Window, use.Allowed)
		}
	}
	r.reportf("%d engines with limits got %d requests where the limits allowed %.0f; in the %s window with the highest share of its limit: %d, allowed %d",
		limited, arrived, allowed, limitcheck.Window, worst.Received, worst.Allowed)
}
