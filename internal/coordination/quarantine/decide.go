package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/ravenway/ravenway/internal/coordination/registry"
)

// Verdict reports that a request has entered or left quarantine.
type Verdict struct {
	Record
	// IsQuarantined reports whether it has entered; Counted is the number of crashes that count
	// against the request.
	IsQuarantined bool
	Counted       int
	// OtherRequests is the number of other requests that were in flight at its crashes.
	OtherRequests int
}

// IsDue reports whether Decide has anything to derive.
func (t *Tracker) IsDue(now time.Duration) bool {
	t.expire(now)
	return t.isOutdated || t.settlesAt != 0 && now >= t.settlesAt
}

// Decide derives which requests are in quarantine and returns the changes.
func (t *Tracker) Decide(now time.Duration) []Verdict {
	if !t.IsDue(now) {
		return nil
	}
	before := t.quarantined()
	found := t.derive(now)
	t.isOutdated, t.isDigestKnown = false, false
	changed := slices.DeleteFunc(t.quarantined(), func(one *suspect) bool { return slices.Contains(before, one) })
	changed = append(changed, slices.DeleteFunc(before, func(one *suspect) bool { return one.isQuarantined })...)
	slices.SortFunc(changed, func(a, b *suspect) int { return a.compare(b.Fingerprint) })
	var verdicts []Verdict
	for _, one := range changed {
		verdicts = append(verdicts, Verdict{
			Record: one.record(now), IsQuarantined: one.isQuarantined, Counted: one.counted, OtherRequests: found.countOthers(one),
		})
	}
	return verdicts
}

// quarantined returns the suspects in quarantine.
func (t *Tracker) quarantined() []*suspect {
	var suspects []*suspect
	for _, one := range t.suspects {
		if one.isQuarantined {
			suspects = append(suspects, one)
		}
	}
	return suspects
}

// derivation is the state of one derivation.
type derivation struct {
	// present are the requests in flight at each crash, highestSuspicion is the highest of their
	// suspicions.
	present          map[registry.Incarnation][]*suspect
	highestSuspicion map[registry.Incarnation]Suspicion
	// explained are the crashes at which a quarantined request was in flight.
	explained map[registry.Incarnation]bool
	now       time.Duration
}

// settled reports whether a crash counts against a suspect yet.
func (d *derivation) settled(one *suspect, recorded crash) bool {
	return recorded.at+one.settleTime() <= d.now
}

// derive puts requests into quarantine one after the other, the most certain first. The crashes
// that a quarantined request explains count against no other request.
func (t *Tracker) derive(now time.Duration) *derivation {
	found := &derivation{
		present: map[registry.Incarnation][]*suspect{}, highestSuspicion: map[registry.Incarnation]Suspicion{}, explained: map[registry.Incarnation]bool{}, now: now,
	}
	t.settlesAt = 0
	// candidates are the suspects that may be quarantined. Most recorded requests were in flight
	// at only one crash. They need no count, because a rival of a candidate has more crashes.
	var candidates []*suspect
	for _, one := range t.suspects {
		one.isQuarantined, one.counted = false, 0
		for incarnation, recorded := range one.crashes {
			found.present[incarnation] = append(found.present[incarnation], one)
			found.highestSuspicion[incarnation] = max(found.highestSuspicion[incarnation], recorded.suspicion)
			if due := recorded.at + one.settleTime(); due > now && (t.settlesAt == 0 || due < t.settlesAt) {
				t.settlesAt = due
			}
		}
		if len(one.crashes) >= suspectCrashes {
			candidates = append(candidates, one)
		}
	}
	candidates = slices.DeleteFunc(candidates, func(one *suspect) bool { return !found.mayBeCause(one) })
	slices.SortFunc(candidates, func(a, b *suspect) int { return a.compare(b.Fingerprint) })
	for {
		for _, one := range candidates {
			one.counted = len(found.counted(one))
		}
		position := found.mostCertain(candidates)
		if position < 0 {
			found.quarantineProvenElsewhere(t.suspects)
			return found
		}
		chosen := candidates[position]
		chosen.isQuarantined = true
		for incarnation := range chosen.crashes {
			found.explained[incarnation] = true
		}
		candidates = slices.Delete(candidates, position, position+1)
	}
}

// counted returns the crashes that count against a request: no other request there was more
// suspicious, and no quarantined request explains them.
func (d *derivation) counted(one *suspect) []registry.Incarnation {
	var incarnations []registry.Incarnation
	for incarnation, recorded := range one.crashes {
		if d.settled(one, recorded) && !d.explained[incarnation] && d.isMostSuspicious(incarnation, recorded) {
			incarnations = append(incarnations, incarnation)
		}
	}
	return incarnations
}

// mostCertain returns the index of the request that is to be quarantined next, or -1 if there
// is none. Requests with at least certainCrashes crashes come first, those with more crashes
// before others; then the proven ones, those that more crashes count against before others. The
// crashes of a request that was the most suspicious at each of at least certainCrashes crashes are
// not explained by other requests. Otherwise two poison requests at the same engines would
// alternately explain each other's crashes. Of suspects with equally many the narrowest comes first.
func (d *derivation) mostCertain(candidates []*suspect) int {
	best := -1
	var bestRank certainty
	for position, one := range candidates {
		rank := certainty{crashes: max(d.countUnexplained(one), d.countMostSuspicious(one)), counted: one.counted, narrowness: one.narrowness()}
		if rank.crashes < certainCrashes {
			rank.crashes = 0
		}
		if best >= 0 && rank.compare(bestRank) <= 0 || rank.crashes == 0 && !d.isProven(one) {
			continue
		}
		best, bestRank = position, rank
	}
	return best
}

// certainty is how certain it is that a suspect caused its crashes.
type certainty struct{ crashes, counted, narrowness int }

func (c certainty) compare(other certainty) int {
	return cmp.Or(cmp.Compare(c.crashes, other.crashes), cmp.Compare(c.counted, other.counted), cmp.Compare(c.narrowness, other.narrowness))
}

// isMostSuspicious reports whether no other request at a crash was more suspicious, and the request
// was suspicious at all.
func (d *derivation) isMostSuspicious(incarnation registry.Incarnation, recorded crash) bool {
	return recorded.suspicion > Excused && recorded.suspicion == d.highestSuspicion[incarnation]
}

// isProven reports whether enough crashes count against a request alone. Invariant: a request
// with fewer than provenCrashes crashes is never in quarantine.
func (d *derivation) isProven(one *suspect) bool {
	if one.counted < provenCrashes {
		return false
	}
	unrivalled := 0
	for _, incarnation := range d.counted(one) {
		if !d.hasRival(one, incarnation) {
			unrivalled++
		}
	}
	return unrivalled >= provenCrashes
}

// countUnexplained returns the number of a request's crashes that no quarantined request explains.
// Those at which it was Excused count only if the number with them reaches maximumCrashes.
func (d *derivation) countUnexplained(one *suspect) int {
	crashes := d.count(one, func(incarnation registry.Incarnation, _ crash) bool { return !d.explained[incarnation] })
	if crashes >= maximumCrashes {
		return crashes
	}
	return d.count(one, func(incarnation registry.Incarnation, recorded crash) bool {
		return !d.explained[incarnation] && recorded.suspicion > Excused
	})
}

// countMostSuspicious returns at how many crashes no other request was more suspicious. What was in the same
// request as a quarantined suspect does not count.
func (d *derivation) countMostSuspicious(one *suspect) int {
	return d.count(one, func(incarnation registry.Incarnation, recorded crash) bool {
		return d.isMostSuspicious(incarnation, recorded) && !slices.ContainsFunc(d.present[incarnation], func(other *suspect) bool {
			return other.isQuarantined && other != one && one.isInSameRequest(other, incarnation)
		})
	})
}

// count returns the number of a request's settled crashes that meet a condition.
func (d *derivation) count(one *suspect, meets func(registry.Incarnation, crash) bool) int {
	count := 0
	for incarnation, recorded := range one.crashes {
		if d.settled(one, recorded) && meets(incarnation, recorded) {
			count++
		}
	}
	return count
}

// hasRival reports whether another request, not in quarantine, that was among the most suspicious at
// a crash has at least as many crashes counted against it. Only a further crash can then distinguish
// the two. A part and its request are not rivals, nor are two parts of one request: the narrowest of them
// is chosen.
func (d *derivation) hasRival(one *suspect, incarnation registry.Incarnation) bool {
	return slices.ContainsFunc(d.present[incarnation], func(other *suspect) bool {
		return other != one && !other.isQuarantined && !one.isInSameRequest(other, incarnation) && other.counted >= one.counted && other.crashes[incarnation].suspicion == d.highestSuspicion[incarnation]
	})
}

// countOthers returns the number of other requests that were in flight at a request's crashes.
func (d *derivation) countOthers(one *suspect) int {
	others := map[Fingerprint]bool{}
	for incarnation := range one.crashes {
		for _, other := range d.present[incarnation] {
			if other != one {
				others[other.Fingerprint] = true
			}
		}
	}
	return len(others)
}
