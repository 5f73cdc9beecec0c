package quarantine

import (
	"slices"
	"time"

	"github.com/ravenway/ravenway/internal/coordination/registry"
)

// Verdict says that a request has come into quarantine, or out of it.
type Verdict struct {
	Record
	// IsQuarantined tells which, Counted is how many ends are held against it.
	IsQuarantined bool
	Counted       int
	// Beside is how many other requests were at those ends.
	Beside int
}

// IsDue tells whether there is anything to decide on.
func (t *Tracker) IsDue(now time.Duration) bool {
	t.expire(now)
	return t.isOutdated || t.settles != 0 && now >= t.settles
}

// Decide derives who is in quarantine, and returns what has changed.
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

// weighing is one derivation.
type weighing struct {
	// present are the requests at each end, strongest the highest suspicion there.
	present   map[registry.Incarnation][]*suspect
	strongest map[registry.Incarnation]Suspicion
	// explained are the ends that a quarantined request was at.
	explained map[registry.Incarnation]bool
	settled   func(end) bool
}

// weigh puts requests into quarantine one after the other, the most certain first: what
// it explains counts against nobody else.
func (t *Tracker) weigh(now time.Duration) *weighing {
	found := &weighing{
		present: map[registry.Incarnation][]*suspect{}, strongest: map[registry.Incarnation]Suspicion{}, explained: map[registry.Incarnation]bool{},
		settled: func(held end) bool { return held.at+settleTime <= now },
	}
	t.settles = 0
	// open are those that may be guilty. Most of what is held are requests that were at
	// one end only, which need no count: no rival of a guilty one has so few.
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

// counted are the ends that count against a request: nobody there was more suspicious,
// and nothing explains them.
func (w *weighing) counted(one *suspect) []registry.Incarnation {
	var lives []registry.Incarnation
	for life, held := range one.ends {
		if w.settled(held) && !w.explained[life] && w.isStrongest(life, held) {
			lives = append(lives, life)
		}
	}
	return lives
}

// mostCertain returns the place of the request that is to be quarantined next, or -1 if
// there is none: of those at certainEnds the one at the most ends, else the one that
// most ends count against. At certainEnds no other request is an explanation any more for
// one that was likeliest each time: two that end engines side by side would else take
// turns in each other's excuse.
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

// isStrongest tells whether nobody at an end was more suspicious, and there is any
// suspicion at all.
func (w *weighing) isStrongest(life registry.Incarnation, held end) bool {
	return held.suspicion > Excused && held.suspicion == w.strongest[life]
}

// isProven tells whether enough ends count against a request alone. Invariant: a request
// at fewer than provenEnds ends is never in quarantine.
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

// unexplained is how many ends the request was at that nothing explains. Those at which
// it was Excused count once they are as many as are held of a request.
func (w *weighing) unexplained(one *suspect) int {
	ends := w.count(one, func(life registry.Incarnation, _ end) bool { return !w.explained[life] })
	if ends >= endsKept {
		return ends
	}
	return w.count(one, func(life registry.Incarnation, held end) bool { return !w.explained[life] && held.suspicion > Excused })
}

// likeliest is at how many ends nobody was more suspicious than the request.
func (w *weighing) likeliest(one *suspect) int {
	return w.count(one, func(life registry.Incarnation, held end) bool { return w.isStrongest(life, held) })
}

// count counts the ends of a request that have settled and meet a condition.
func (w *weighing) count(one *suspect, meets func(registry.Incarnation, end) bool) int {
	count := 0
	for life, held := range one.ends {
		if w.settled(held) && meets(life, held) {
			count++
		}
	}
	return count
}

// hasRival tells whether another request that counts at an end has as many ends against
// it: which of the two it was the next end will tell.
func (w *weighing) hasRival(one *suspect, life registry.Incarnation) bool {
	return slices.ContainsFunc(w.present[life], func(other *suspect) bool {
		return other != one && !other.isQuarantined && other.counted >= one.counted && other.ends[life].suspicion == w.strongest[life]
	})
}

// beside is how many other requests were at a request's ends.
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
