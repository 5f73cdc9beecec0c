package quarantine

import (
	"maps"
	"time"

	"github.com/ravenway/ravenway/internal/coordination/registry"
)

const (
	// partSettleTime is how long after its report a crash begins to count against a part. Until then
	// any node that has seen an engine write a response on the part clears it: crash reports, shared
	// records and the clearing each take a message between zones.
	partSettleTime = 250 * time.Millisecond
	// minimumCauses is the number of narrower suspects, such as requests, that it would take to explain a
	// part's crashes in its place.
	minimumCauses = 3
	// maximumPartRetention bounds how long crashes count against a part. It is shorter than for a request,
	// because a part that is in quarantine by mistake stops many requests.
	maximumPartRetention = time.Minute
	// maximumPartCrashes bounds the crashes recorded of one part. It is larger than for a request: a part is
	// in many requests, so some of the crashes at which it was present may have another cause.
	maximumPartCrashes = 24
	// maximumPartBytes bounds the ID of a part in records.
	maximumPartBytes = 64
)

// settleTime returns how long after its report a crash begins to count against a suspect.
func (s *suspect) settleTime() time.Duration {
	switch {
	case s.isOnProbation:
		return 0
	case s.IsPart():
		return partSettleTime
	}
	return settleTime
}

// maximumCrashes returns the maximum number of crashes that are recorded of a suspect.
func (s *suspect) maximumCrashes() int {
	if s.IsPart() {
		return maximumPartCrashes
	}
	return maximumCrashes
}

// retentionOf returns how long crashes count against a suspect.
func (t *Tracker) retentionOf(fingerprint Fingerprint) time.Duration {
	if fingerprint.IsPart() {
		return min(t.options.Retention, maximumPartRetention)
	}
	return t.options.Retention
}

func (s *suspect) describePart(id string, depth uint16) {
	if !s.IsPart() {
		return
	}
	if s.part == "" {
		s.part = id[:min(len(id), maximumPartBytes)]
	}
	s.depth = max(s.depth, depth)
}

// narrowness orders suspects that explain the same crashes: the one that the fewest other requests
// contain is preferred. If it is the wrong one, the next crash, of a request without it, shows so. Nothing
// would show that a part that more requests contain is the wrong one, since these are refused.
func (s *suspect) narrowness() int {
	if !s.IsPart() {
		return maximumDepth + 1
	}
	return int(s.depth)
}

// maximumDepth is the largest depth of a part.
const maximumDepth = 1<<16 - 1

// isInSameRequest reports whether two suspects were in one request at a crash: two parts of it, or the
// request and its part.
func (s *suspect) isInSameRequest(other *suspect, incarnation registry.Incarnation) bool {
	if !s.IsPart() && !other.IsPart() {
		return false
	}
	return s.requestAt(incarnation) == other.requestAt(incarnation)
}

// requestAt returns the hash of the fingerprint of the request that the suspect is, or was in at a crash.
func (s *suspect) requestAt(incarnation registry.Incarnation) uint64 {
	if s.IsPart() {
		return s.crashes[incarnation].request
	}
	return s.hash()
}

// mayBeCause reports whether a suspect's crashes can be its own. Those of a part must not be explained by
// fewer than minimumCauses narrower suspects that were there: a part that requests of several causes share
// would otherwise explain them all.
func (d *derivation) mayBeCause(one *suspect) bool {
	if !one.IsPart() {
		return true
	}
	left := maps.Clone(one.crashes)
	for causes := 0; len(left) > 0; causes++ {
		if causes+1 >= minimumCauses {
			return true
		}
		d.removeExplained(one, left)
	}
	return false
}

// removeExplained removes from a part's crashes those that the narrower suspect with the most of them
// explains.
func (d *derivation) removeExplained(one *suspect, left map[registry.Incarnation]crash) {
	byCause := map[uint64][]registry.Incarnation{}
	var best uint64
	for _, incarnation := range one.incarnations() {
		recorded, isLeft := left[incarnation]
		if !isLeft {
			continue
		}
		// The request that the part was in explains the crash, whether it is recorded or not.
		causes := []uint64{recorded.request}
		for _, other := range d.present[incarnation] {
			if other.narrowness() > one.narrowness() && other.crashes[incarnation].suspicion >= recorded.suspicion && other.hash() != recorded.request {
				causes = append(causes, other.hash())
			}
		}
		for _, cause := range causes {
			byCause[cause] = append(byCause[cause], incarnation)
			// Of causes that explain equally many, all nodes must take the same one.
			if more := len(byCause[cause]) - len(byCause[best]); more > 0 || more == 0 && cause < best {
				best = cause
			}
		}
	}
	for _, incarnation := range byCause[best] {
		delete(left, incarnation)
	}
}

// quarantineProvenElsewhere puts a part into quarantine at its first crash if the same part of another
// caller, or for another model, is in quarantine.
func (d *derivation) quarantineProvenElsewhere(suspects map[Fingerprint]*suspect) {
	proven := map[uint64]bool{}
	for _, one := range suspects {
		if one.IsPart() && one.isQuarantined {
			proven[one.Body] = true
		}
	}
	for _, one := range suspects {
		if !one.IsPart() || one.isQuarantined || !proven[one.Body] {
			continue
		}
		one.isQuarantined = d.hasUnexplainedCrash(one)
		one.wasShared = one.wasShared || one.isQuarantined
	}
}

// hasUnexplainedCrash reports whether a part was among the most suspicious at a crash that no quarantined
// suspect explains, settled or not.
func (d *derivation) hasUnexplainedCrash(one *suspect) bool {
	for incarnation, recorded := range one.crashes {
		if !d.explained[incarnation] && d.isMostSuspicious(incarnation, recorded) {
			return true
		}
	}
	return false
}
