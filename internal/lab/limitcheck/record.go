package limitcheck

import (
	"slices"
	"time"
)

// Record holds the rate limits that one incarnation of an engine named, and the requests that it
// received. Times are since an origin that the caller chooses; they must not decrease.
type Record struct {
	changes  []limitChange
	arrivals []time.Duration
}

// limitChange is a change of the limit, at the first response that named the new one. If hasLimit is
// not set, there is no limit from then on.
type limitChange struct {
	startedAt time.Duration
	hasLimit  bool
	perSecond float64
}

// AddArrival records a request.
func (r *Record) AddArrival(at time.Duration) { r.arrivals = append(r.arrivals, at) }

// AddLimit records a response that names a limit, in requests per second.
func (r *Record) AddLimit(at time.Duration, perSecond float64) {
	last := len(r.changes) - 1
	if last < 0 || !r.changes[last].hasLimit || r.changes[last].perSecond != perSecond {
		r.changes = append(r.changes, limitChange{startedAt: at, hasLimit: true, perSecond: perSecond})
	}
}

// EndLimit records that responses name no limit from now on.
func (r *Record) EndLimit(at time.Duration) {
	if len(r.changes) > 0 {
		r.changes = append(r.changes, limitChange{startedAt: at})
	}
}

// Usage summarizes the requests that an engine received under its limits. Received and Allowed
// describe the Window that was fullest in relation to its limit.
type Usage struct {
	// Received is the number of requests received in that window, Allowed the number allowed.
	Received, Allowed int
	// Arrived is the number of requests while nodes had to respect a limit, Capacity the number
	// that the limits allowed in that time.
	Arrived  int
	Capacity float64
}

// AddWindow records a window with its requests received and allowed, if it is fuller in relation to
// its limit than the last one recorded.
func (u *Usage) AddWindow(received, allowed int) {
	if u.Allowed == 0 || received*u.Allowed > u.Received*allowed {
		u.Received, u.Allowed = received, allowed
	}
}

// Usage evaluates the windows of each limit between ReactionTime after its first response and its
// end.
func (r *Record) Usage(end time.Duration) Usage {
	use := Usage{}
	for position, one := range r.changes {
		if !one.hasLimit || position > 0 && r.changes[position-1].hasLimit {
			continue
		}
		until := end
		following := r.changes[position:]
		if place := slices.IndexFunc(following, func(one limitChange) bool { return !one.hasLimit }); place >= 0 {
			until = following[place].startedAt
			following = following[:place]
		}
		r.evaluate(&use, following, one.startedAt+ReactionTime, until)
	}
	return use
}

// evaluate evaluates the windows of one limit with its changes.
func (r *Record) evaluate(use *Usage, changes []limitChange, from, until time.Duration) {
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
		use.AddWindow(count, Allowed(highestRate(changes, begin-ReactionTime, begin+Window)))
	}
	for position, one := range changes {
		end := until
		if position+1 < len(changes) {
			end = changes[position+1].startedAt
		}
		if start := max(one.startedAt, from); start < end {
			use.Capacity += one.perSecond * (end - start).Seconds()
		}
	}
}

// highestRate returns the highest limit that was in effect within a span.
func highestRate(changes []limitChange, from, until time.Duration) float64 {
	highest := 0.0
	for position, one := range changes {
		hasEnded := position+1 < len(changes) && changes[position+1].startedAt < from
		if !hasEnded && one.startedAt <= until {
			highest = max(highest, one.perSecond)
		}
	}
	return highest
}
