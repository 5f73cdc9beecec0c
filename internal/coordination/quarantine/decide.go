package quarantine

import (
	"slices"
	"time"

	"github.com/ravenway/ravenway/internal/coordination/registry"
)

// Verdict reports that a request has entered or left quarantine.
type Verdict struct {
	Record
	// IsQuarantined reports which of both; Counted is the number of crashes that count against
	// the request.
	IsQuarantined bool
	Counted       int
	// Beside is the number of other requests that were in flight at its crashes.
	Beside int
}

// IsDue reports whether Decide has anything to derive.
func (t *Tracker) IsDue(now time.Duration) bool {
	t.expire(now)
	return t.isOutdated || t.settles != 0 && now >= t.settles
}

// Decide derives which requests are in quarantine and returns the changes.
func (t *Tracker) Decide(now time.Duration) []Verdict {
	if !t.IsDue(now) {
		return nil
	}
	before := map[Fingerprint]bool{}
	for fingerprint, one := range t.suspects {
		before[fingerprint] = one.isQuarantined
	}
	found := t.weigh(now)
	t.isOutdated, t.isDigestKnown = false, false
	var verdicts []Verdict
	for _, one := range t.inOrder() {
		if one.isQuarantined == before[one.Fingerprint] {
			continue
		}
		verdicts = append(verdicts, Verdict{
			Record: one.record(now), IsQuarantined: one.isQuarantined, Counted: one.counted, Beside: found.beside(one),
		})
	}
	return verdicts
}

func (t *Tracker) inOrder() []*suspect {
	suspects := make([]*suspect, 0, len(t.suspects))
	for _, one := range t.suspects {
		suspects = append(suspects, one)
	}
	slices.SortFunc(suspects, func(a, b *suspect) int { return a.compare(b.Fingerprint) })
	return suspects
}

// weighing is the state of one derivation.
type weighing struct {
	// present are the requests in flight at each crash, strongest is the highest suspicion
	// there.
	present   map[registry.Life][]*suspect
	strongest map[registry.Life]Suspicion
	// explained are the crashes at which a quarantined request was in flight.
	explained map[registry.Life]bool
	settled   func(end) bool
}

// weigh puts requests into quarantine one after the other, the most certain first. The crashes
// that a quarantined request explains count against no other request.
func (t *Tracker) weigh(now time.Duration) *weighing {
	found := &weighing{
		present: map[registry.Life][]*suspect{}, strongest: map[registry.Life]Suspicion{}, explained: map[registry.Life]bool{},
		settled: func(held end) bool { return held.at+settleTime <= now },
	}
	t.settles = 0
	// open are the candidates for quarantine. Most recorded requests were in flight at one
	// crash only. They need no count: a rival of a candidate has more.
	var open []*suspect
	for _, one := range t.suspects {
		one.isQuarantined, one.counted = false, 0
		for life, held := range one.ends {
			found.present[life] = append(found.present[life], one)
			found.strongest[life] = max(found.strongest[life], held.suspicion)
			if due := held.at + settleTime; due > now && (t.settles == 0 || due < t.settles) {
				t.settles = due
			}
		}
		if len(one.ends) >= suspectEnds {
			open = append(open, one)
		}
	}
	slices.SortFunc(open, func(a, b *suspect) int { return a.compare(b.Fingerprint) })
	for {
		for _, one := range open {
			one.counted = len(found.counted(one))
		}
		position := found.mostCertain(open)
		if position < 0 {
			return found
		}
		guilty := open[position]
		guilty.isQuarantined = true
		for life := range guilty.ends {
			found.explained[life] = true
		}
		open = slices.Delete(open, position, position+1)
	}
}

// counted returns the crashes that count against a request: no other request there was more
// suspicious, and no quarantined request explains them.
func (w *weighing) counted(one *suspect) []registry.Life {
	var lives []registry.Life
	for life, held := range one.ends {
		if w.settled(held) && !w.explained[life] && w.isStrongest(life, held) {
			lives = append(lives, life)
		}
	}
	return lives
}

// mostCertain returns the index of the request that is to be quarantined next, or -1 if there
// is none. Requests with at least certainEnds crashes come first, the one with the most
// crashes leading; then the one that most crashes count against. From certainEnds crashes on,
// another request no longer explains the crashes of one that was the most suspicious each
// time. Otherwise two poison requests at the same engines would alternately explain each
// other's crashes.
func (w *weighing) mostCertain(open []*suspect) int {
	best, bestEnds, bestCounted := -1, 0, 0
	for position, one := range open {
		ends := max(w.unexplained(one), w.likeliest(one))
		if ends < certainEnds {
			ends = 0
		}
		if ends < bestEnds || ends == bestEnds && one.counted <= bestCounted || ends == 0 && !w.isProven(one) {
			continue
		}
		best, bestEnds, bestCounted = position, ends, one.counted
	}
	return best
}

// isStrongest reports whether no other request at a crash was more suspicious, and the request
// was suspicious at all.
func (w *weighing) isStrongest(life registry.Life, held end) bool {
	return held.suspicion > Excused && held.suspicion == w.strongest[life]
}

// isProven reports whether enough crashes count against a request alone. Invariant: a request
// with fewer than provenEnds crashes is never in quarantine.
func (w *weighing) isProven(one *suspect) bool {
	if one.counted < provenEnds {
		return false
	}
	alone := 0
	for _, life := range w.counted(one) {
		if !w.hasRival(one, life) {
			alone++
		}
	}
	return alone >= provenEnds
}

// unexplained returns the number of a request's crashes that no quarantined request explains.
// Those at which it was Excused count only if the number reaches endsKept.
func (w *weighing) unexplained(one *suspect) int {
	ends := w.count(one, func(life registry.Life, _ end) bool { return !w.explained[life] })
	if ends >= endsKept {
		return ends
	}
	return w.count(one, func(life registry.Life, held end) bool { return !w.explained[life] && held.suspicion > Excused })
}

// likeliest returns at how many crashes no other request was more suspicious.
func (w *weighing) likeliest(one *suspect) int {
	return w.count(one, func(life registry.Life, held end) bool { return w.isStrongest(life, held) })
}

// count returns the number of a request's settled crashes that meet a condition.
func (w *weighing) count(one *suspect, meets func(registry.Life, end) bool) int {
	count := 0
	for life, held := range one.ends {
		if w.settled(held) && meets(life, held) {
			count++
		}
	}
	return count
}

// hasRival reports whether another request that counts at a crash has at least as many crashes
// against it. Only a further crash can then distinguish the two.
func (w *weighing) hasRival(one *suspect, life registry.Life) bool {
	return slices.ContainsFunc(w.present[life], func(other *suspect) bool {
		return other != one && !other.isQuarantined && other.counted >= one.counted && other.ends[life].suspicion == w.strongest[life]
	})
}

// beside returns the number of other requests that were in flight at a request's crashes.
func (w *weighing) beside(one *suspect) int {
	others := map[Fingerprint]bool{}
	for life := range one.ends {
		for _, other := range w.present[life] {
			if other != one {
				others[other.Fingerprint] = true
			}
		}
	}
	return len(others)
}
