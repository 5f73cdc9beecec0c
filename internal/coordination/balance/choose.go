package balance

import (
	"math"
	"slices"
	"time"

	"github.com/ravenway/ravenway/internal/coordination/backoff"
	"github.com/ravenway/ravenway/internal/coordination/registry"
	"github.com/ravenway/ravenway/internal/pairhash"
)

const (
	// TypicalRequestTokens is the work of a medium-sized request, in tokens.
	TypicalRequestTokens = 8000
	// unknownLoadFactor scales a node's own load at an instance to an estimate of the total load
	// there while the loads of the other nodes are unknown.
	unknownLoadFactor = 2
	// tokensPerExcessRequest is the cost of each request beyond an instance's slots, in tokens.
	tokensPerExcessRequest = 4000
	// tokensPerCrossZoneByte is the cost of each body byte that is sent to another zone, in tokens.
	tokensPerCrossZoneByte = 0.15
	// scatterTokens is the maximum random cost, in tokens, that is added to an instance that does not
	// hold the request's prompt part. Without it, nodes with the same data would all choose the same
	// instance.
	scatterTokens = 600
	// rereadWeight is the extra cost, beyond reading it, of a shared token that would be read again
	// although another instance holds it. Reading it again takes time and memory from all other
	// requests at the instance.
	rereadWeight = 1.5
	// otherZonePenalty is the difference in load score up to which a request without a prompt part
	// stays in the node's own zone. The score is requests in flight per 8 slots.
	otherZonePenalty = 2.0
)

// Request describes the request that an instance is chosen for.
type Request struct {
	Service string
	// PromptPart identifies the shared prompt part; "" if there is none. Its home is the instance that
	// homeOf selects.
	PromptPart string
	// Cost is the work in units of a medium-sized request.
	Cost float64
	// Tokens is the length of the prompt in tokens, and SharedTokens that of its shared part, which
	// is cached at the part's home; 0 if not known.
	Tokens, SharedTokens int
	// MaximumEventGap is the maximum time between two events of the response stream.
	MaximumEventGap time.Duration
	// Bytes is the length of the request body.
	Bytes int
	// Exclude holds the IDs of the instances that were already tried.
	Exclude []string
	// Connections bounds the requests that this node may have in flight at one instance.
	Connections ConnectionLimit
	// Cold limits the requests to the service's cold instances.
	Cold ColdPolicy
	// Regions are the regions in which the request may be served.
	Regions Regions
	// Version is the version that the request is bound to, if it is.
	Version VersionBound
	// MaximumPermitWait is the maximum time that the request may wait for a permit of an instance
	// with a rate limit.
	MaximumPermitWait time.Duration
	// IsLastAttempt reports whether the request can't be retried at another instance.
	IsLastAttempt bool
}

// Choice is a chosen instance.
type Choice struct {
	registry.Instance
	// pendingTokens is the number of prompt tokens that the instance has to read for this request.
	pendingTokens int
	// isTrial reports whether the request counts as a trial that probes whether the instance has
	// recovered from its pause.
	isTrial bool
	// isDraining reports whether the instance was draining when it was chosen.
	isDraining bool
	// Candidates is the number of instances that could have been chosen.
	Candidates int
	// Spilled reports whether the request goes to an instance other than the part's home, because
	// the home was too busy.
	Spilled bool
	// Ahead is the number of tokens of other requests that the instance is expected to read first,
	// and Unread that of this request. AheadKnown reports whether Ahead includes the requests of
	// other nodes.
	Ahead, Unread int
	AheadKnown    bool
	// RereadCost is the cost of shared tokens that are read again, and CrossZoneCost that of bytes sent to
	// another zone, both in tokens. RequestsInFlight is the number of requests in flight at the instance.
	RereadCost, CrossZoneCost, RequestsInFlight int
	// StallCost is the cost of the streams there that reading the prompt would stall, in tokens.
	StallCost int
	// PermitCost is the cost of the permit that the instance's rate limit requires, in tokens.
	PermitCost int
	// ReadTime is the expected time to read the Unread tokens at the service's observed read rate.
	// It is 0 for a request without a prompt part.
	ReadTime time.Duration
	// MaximumAhead is the most tokens of other requests that may be ahead at the instance before
	// the second best choice is better; UnlimitedAhead if there is no other. It includes Ahead. It
	// is 0 for a request without a prompt part.
	MaximumAhead int
	// number is the number of the choice among those of the table.
	number uint64
	// before is what Withdraw restores.
	before beforeChoice
}

// Choose picks an instance and counts the request as in flight there until Done. It returns false
// if no instance can be chosen.
func (t *Table) Choose(now time.Duration, request Request) (Choice, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.latest = max(t.latest, now)
	candidates := t.allCandidates(now, request)
	if len(candidates.open) == 0 {
		return Choice{}, false
	}
	var chosen *member
	spilled := false
	choice := Choice{Candidates: len(candidates.open)}
	if request.PromptPart != "" {
		chosen, spilled = t.chooseEarliestFirstToken(now, candidates, request, &choice)
	} else {
		chosen = t.chooseLeastLoaded(candidates.open)
	}
	if request.PromptPart == "" {
		choice.before = t.stateBefore(now, chosen, "")
	}
	if state := t.zones[chosen.Zone]; state != nil && now < state.avoidedUntil {
		state.probedAt = now
	}
	chosen.noteColdRequest(now, request.Cold)
	t.choices++
	choice.number = t.choices
	t.noteSent(now, chosen, choice.Unread)
	choice.isTrial = t.backoff.BeginTrial(now, chosen.Incarnation())
	chosen.inFlight++
	chosen.pendingTokens += choice.Unread
	choice.isDraining = !chosen.isOffered
	choice.Instance, choice.Spilled, choice.pendingTokens = chosen.Instance, spilled, choice.Unread
	return choice, true
}

// candidateSet holds the instances that a choice is made among.
type candidateSet struct {
	// open are the instances that may be chosen now.
	open []*member
	// limited are the instances whose rate limit grants no permit within the request's maximum
	// wait. They stay the homes of their prompt parts, because their limits have headroom again
	// shortly.
	limited []*member
}

// all iterates over the open and the limited instances.
func (s candidateSet) all(yield func(*member) bool) {
	for _, one := range s.open {
		if !yield(one) {
			return
		}
	}
	for _, one := range s.limited {
		if !yield(one) {
			return
		}
	}
}

// add adds an instance to the limited or to the open ones.
func (s *candidateSet) add(one *member, isLimited bool) {
	if isLimited {
		s.limited = append(s.limited, one)
		return
	}
	s.open = append(s.open, one)
}

// allCandidates returns the instances that may be chosen, according to the request's version if it is
// bound to one, or to the service's rollout if there is one.
func (t *Table) allCandidates(now time.Duration, request Request) candidateSet {
	if request.Version.IsBound {
		return t.candidatesOfVersion(now, request)
	}
	if running := t.rollouts[request.Service]; running != nil {
		return t.candidatesInRollout(now, request, running)
	}
	return t.candidates(now, request, anyMember)
}

func anyMember(*member) bool { return true }

// candidates returns those instances among isAmong that may be chosen: the healthy ones, or if
// there is none, all that were not tried. Instances are always excluded if they are in an evacuated
// zone or in a region that is not allowed for the request, have the maximum number of this node's
// requests in flight, are paused or leaving, or are cold and accept no request from this node now,
// even if no candidate remains.
func (t *Table) candidates(now time.Duration, request Request, isAmong func(*member) bool) candidateSet {
	healthy, others := t.classifyCandidates(now, request, isAmong)
	if len(healthy.open) > 0 {
		return healthy
	}
	return others
}

func (t *Table) classifyCandidates(now time.Duration, request Request, isAmong func(*member) bool) (healthy, others candidateSet) {
	average := t.averageFailureRate(request.Service)
	for _, one := range t.byService[request.Service] {
		if !isAmong(one) || !t.mayServe(one, request) || request.Connections.isReached(one.inFlight, t.others[one.key], t.others != nil) || !t.acceptsWhileCold(now, one, request.Cold) {
			continue
		}
		status := t.backoff.Status(now, one.Incarnation())
		if status.Phase == backoff.Paused || status.Phase == backoff.Leaving || t.slots.FullFor(now, one.Incarnation()) > 0 {
			continue
		}
		isLimited := t.weighPermit(now, one, request.MaximumPermitWait)
		if isTrialAllowed(status, request) && one.isHealthy(now, average) && t.isZoneOpen(now, one.Zone) {
			healthy.add(one, isLimited)
			continue
		}
		others.add(one, isLimited)
	}
	return healthy, others
}

// mayServe reports whether a request may go to an instance: it was not yet tried there, and the
// instance's zone, region and version are allowed.
func (t *Table) mayServe(one *member, request Request) bool {
	return !slices.Contains(request.Exclude, one.ID) && t.isPlacementAllowed(one, request)
}

// isPlacementAllowed reports whether a request may go to the zone, the region and the version of an
// instance.
func (t *Table) isPlacementAllowed(one *member, request Request) bool {
	return request.Version.Allows(one.Version) && !t.evacuated.Contains(one.Zone) && request.Regions.Contains(t.regionOfZone[one.Zone])
}

// expectedCost holds the expected cost of a request at one instance, in tokens. Its fields
// correspond to those of Choice; scatter is the random cost, see scatterTokens.
type expectedCost struct {
	// requests is the number of requests in flight there, which total does not include. excess is
	// the part of ahead that stands for requests beyond the instance's slots.
	ahead, unread, requests, excess    int
	reread, crossZone, scatter, stalls float64
	// permit is the cost of the permit that the instance's rate limit requires.
	permit float64
}

func (e expectedCost) total() float64 {
	return float64(e.ahead+e.unread) + e.reread + e.crossZone + e.scatter + e.stalls + e.permit
}

// chooseEarliestFirstToken picks the instance at which the first token is expected earliest.
func (t *Table) chooseEarliestFirstToken(now time.Duration, candidates candidateSet, request Request, choice *Choice) (*member, bool) {
	home := homeOf(candidates, request.PromptPart)
	var chosen *member
	var best expectedCost
	var totals alternatives
	for _, one := range candidates.open {
		cost := t.expect(now, one, request, one == home)
		if totals.add(cost.total()) {
			chosen, best = one, cost
		}
	}
	choice.Ahead, choice.Unread, choice.AheadKnown = best.ahead, best.unread, t.others != nil
	choice.RereadCost, choice.CrossZoneCost, choice.RequestsInFlight = int(best.reread), int(best.crossZone), best.requests
	choice.StallCost, choice.PermitCost = int(best.stalls), int(best.permit)
	choice.ReadTime = t.speedOf(request.Service).readTime(best.unread)
	choice.MaximumAhead = totals.maximumAhead(best.ahead - best.excess)
	choice.before = t.stateBefore(now, chosen, request.PromptPart)
	part := keyOfPart(request.PromptPart)
	chosen.noteHeld(now, part)
	if chosen != home && request.SharedTokens > 0 {
		choice.before.isSpillNoted = true
		t.spilled = appendParts(t.spilled, []HeldPart{{Part: part, Instance: chosen.key}})
	}
	return chosen, chosen != home
}

func (t *Table) expect(now time.Duration, one *member, request Request, isHome bool) expectedCost {
	cost := expectedCost{ahead: one.pendingTokens, unread: request.Tokens, permit: one.permitTokens}
	requests := one.inFlight
	if request.Tokens == 0 {
		cost.unread = int(request.Cost * TypicalRequestTokens)
	}
	if t.others != nil {
		others := t.others[one.key]
		cost.ahead += others.Tokens
		requests += others.Requests
	} else {
		cost.ahead *= unknownLoadFactor
		requests *= unknownLoadFactor
	}
	cost.ahead = t.knownAhead(now, one, cost.ahead)
	cost.requests = requests
	if one.Slots > 0 {
		cost.excess = max(0, requests+1-one.Slots) * tokensPerExcessRequest
		cost.ahead += cost.excess
	}
	if isHome || one.holds(now, keyOfPart(request.PromptPart)) {
		cost.unread = max(0, cost.unread-request.SharedTokens)
	} else {
		cost.reread = rereadWeight * float64(request.SharedTokens)
		cost.scatter = t.random() * scatterTokens
	}
	cost.stalls = t.speedOf(one.Service).stallCost(requests, cost.ahead, cost.unread, request.MaximumEventGap)
	if one.Zone != t.zone {
		cost.crossZone = float64(request.Bytes) * tokensPerCrossZoneByte
	}
	return cost
}

// homeOf returns the home of a prompt part: the instance that rendezvous hashing of the part over
// the candidates selects. All nodes with the same candidates select the same one.
func homeOf(candidates candidateSet, part string) *member {
	var home *member
	var homeWeight uint64
	for one := range candidates.all {
		if weight := pairhash.Of(part, one.ID); home == nil || weight > homeWeight {
			home, homeWeight = one, weight
		}
	}
	return home
}

func (t *Table) chooseLeastLoaded(candidates []*member) *member {
	var best *member
	bestScore := math.Inf(1)
	for _, one := range candidates {
		score := float64(one.inFlight) / float64(max(1, one.Slots)) * 8
		if one.Zone != t.zone {
			score += otherZonePenalty
		}
		score += one.permitTokens / tokensPerExcessRequest
		if score < bestScore {
			best, bestScore = one, score
		}
	}
	return best
}
