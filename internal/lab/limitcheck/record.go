package limitcheck

import (
	"slices"
	"time"
)

// Record is what one life of an engine named as its limit, and what it got. Times are those
// since a moment of the caller's, in order.
type Record struct {
	steps    []step
	arrivals []time.Duration
}

// step is a limit from the first answer that told of it; without isNamed there is none.
type step struct {
	at        time.Duration
	isNamed   bool
	perSecond float64
}

// Arrive notes a request.
func (r *Record) Arrive(at time.Duration) { r.arrivals = append(r.arrivals, at) }

// Name notes an answer that names a limit.
func (r *Record) Name(at time.Duration, perSecond float64) {
	last := len(r.steps) - 1
	if last < 0 || !r.steps[last].isNamed || r.steps[last].perSecond != perSecond {
		r.steps = append(r.steps, step{at: at, isNamed: true, perSecond: perSecond})
	}
}

// End notes that answers name no limit from now on.
func (r *Record) End(at time.Duration) {
	if len(r.steps) > 0 {
		r.steps = append(r.steps, step{at: at})
	}
}

// Use is the fullest Window of an engine's limits.
type Use struct {
	// Got is what came in it, Allowed what may come.
	Got, Allowed int
	// Arrived is what came in all while nodes had to keep a limit, Room what the limits had
	// room for.
	Arrived int
	Room    float64
}

// Note notes a window in which some requests came and some were allowed.
func (u *Use) Note(got, allowed int) {
	if u.Allowed == 0 || got*u.Allowed > u.Got*allowed {
		u.Got, u.Allowed = got, allowed
	}
}

// Use judges the windows that lie between a limit's first answer and Contact, and its end.
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

// judge judges the windows of one limit with its changes.
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

// highestRate is the highest of the limits that were named in a span.
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
