package limitcheck

import (
	"slices"
	"time"
)

// Record holds the rate limits that one incarnation of an engine named, and the requests that it
// received. Times are since an origin that the caller chooses; they must not decrease.
type Record struct {
	steps    []step
	arrivals []time.Duration
}

// step is a change of the limit, from the first response that named it. Without isNamed there is no
// limit from then on.
type step struct {
	at        time.Duration
	isNamed   bool
	perSecond float64
}

// Arrive records a request.
func (r *Record) Arrive(at time.Duration) { r.arrivals = append(r.arrivals, at) }

// Name records a response that names a limit, in requests per second.
func (r *Record) Name(at time.Duration, perSecond float64) {
	last := len(r.steps) - 1
	if last < 0 || !r.steps[last].isNamed || r.steps[last].perSecond != perSecond {
		r.steps = append(r.steps, step{at: at, isNamed: true, perSecond: perSecond})
	}
}

// End records that responses name no limit from now on.
func (r *Record) End(at time.Duration) {
	if len(r.steps) > 0 {
		r.steps = append(r.steps, step{at: at})
	}
}

// Use summarizes the requests that an engine received under its limits. Got and Allowed describe
// the Window that was fullest in relation to its limit.
type Use struct {
	// Got is the number of requests received in that window, Allowed the number allowed.
	Got, Allowed int
	// Arrived is the number of requests while nodes had to respect a limit, Room the number that
	// the limits allowed in that time.
	Arrived int
	Room    float64
}

// Note records a window with its requests received and allowed, if it is fuller than the last one
// recorded.
func (u *Use) Note(got, allowed int) {
	if u.Allowed == 0 || got*u.Allowed > u.Got*allowed {
		u.Got, u.Allowed = got, allowed
	}
}

// Use evaluates the windows of each limit between Contact after its first response and its end.
func (r *Record) Use(end time.Duration) Use {
	use := Use{}
	for position, one := range r.steps {
		if !one.isNamed || position > 0 && r.steps[position-1].isNamed {
			continue
		}
		until := end
		following := r.steps[position:]
		if place := slices.IndexFunc(following, func(one step) bool { return !one.isNamed }); place >= 0 {
			until = following[place].at
			following = following[:place]
		}
		r.judge(&use, following, one.at+Contact, until)
	}
	return use
}

// judge evaluates the windows of one limit with its changes.
func (r *Record) judge(use *Use, steps []step, from, until time.Duration) {
	for first, begin := range r.arrivals {
		if begin < from || begin > until {
			continue
		}
		use.Arrived++
		count := 0
		for _, arrival := range r.arrivals[first:] {
			if arrival-begin > Window || arrival > until {
				break
			}
			count++
		}
		use.Note(count, Allowed(highestRate(steps, begin-Contact, begin+Window)))
	}
	for position, one := range steps {
		ended := until
		if position+1 < len(steps) {
			ended = steps[position+1].at
		}
		if began := max(one.at, from); began < ended {
			use.Room += one.perSecond * (ended - began).Seconds()
		}
	}
}

// highestRate returns the highest limit that was in effect within a span.
func highestRate(steps []step, from, until time.Duration) float64 {
	highest := 0.0
	for position, one := range steps {
		isOver := position+1 < len(steps) && steps[position+1].at < from
		if !isOver && one.at <= until {
			highest = max(highest, one.perSecond)
		}
	}
	return highest
}
