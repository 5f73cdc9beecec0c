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
	// MiddleTokens is the work of a request of middle size, in tokens.
	MiddleTokens = 8000
	// blindFactor is how much more than its own a node takes to be under way at
	// an instance while it does not hear from the others.
	blindFactor = 2
	// tokensOverSlots is what each request beyond an instance's slots counts for.
	tokensOverSlots = 4000
	// tokensPerFarByte is what a byte of a body to another zone counts for.
	tokensPerFarByte = 0.15
	// scatterTokens is the most that is drawn on top for an instance that holds
	// nothing of the request: nodes with the same knowledge would else all choose
	// the same one.
	scatterTokens = 600
	// rereadWeight is what a shared token counts for, beyond its reading, where it
	// would be read again though another instance holds it: that takes time and
	// memory from all other requests too.
	rereadWeight = 1.5
	// otherZonePenalty is how many more requests in flight the own zone's
	// instances may have before a request without a part leaves the zone.
	otherZonePenalty = 2.0
)

// Request is what a choice is made for.
type Request struct {
	Service string
	// Part is the shared prompt part, or "".
	Part string
	// Cost is the work in requests of middle size.
	Cost float64
	// Tokens is the prompt, SharedTokens the part of it that lives at the part's
	// home; 0 if they are not known.
	Tokens, SharedTokens int
	// Gap is the longest pause between events.
	Gap time.Duration
	// Bytes is the length of the body.
	Bytes int
	// Exclude are instances that were tried already.
	Exclude []string
	// MaxInFlight is the most requests that this node may have at one
	// instance; 0 means no bound.
	MaxInFlight int
	// Cold is what the service's instances bear while they are cold.
	Cold ColdPolicy
	// Regions are where the request may be served.
	Regions Regions
	// PermitPatience is how long the request may wait for a permit of an instance that
	// names a limit.
	PermitPatience time.Duration
	// IsLastAttempt tells that the request can't go on to another instance.
	IsLastAttempt bool
}

// Choice is a chosen instance.
type Choice struct {
	registry.Instance
	// pending are the tokens that the instance has to read first.
	pending int
	// isTrial tells that it counts as one of those that show that a pause is really over.
	isTrial bool
	// Candidates is the number of instances that could have been chosen.
	Candidates int
	// Spilled tells that the part's home was too busy.
	Spilled bool
	// Ahead are the tokens of other requests that are expected to be read first,
	// Unread those of this one, and AheadKnown tells that other nodes' requests
	// are among them.
	Ahead, Unread int
	AheadKnown    bool
	// Reread is the weight of shared tokens read again, Far that of bytes to
	// another zone, in tokens. Streams are the requests under way there.
	Reread, Far, Streams int
	// Paused is the weight of the streams there that the prompt's reading would
	// hold up, in tokens.
	Paused int
	// Permit is the weight of the permit that the instance's limit asks for, in tokens.
	Permit int
}

// Choose picks an instance and counts the request as in flight there until
// Done. It returns false if there is none.
func (t *Table) Choose(now time.Duration, request Request) (Choice, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	candidates := t.allCandidates(now, request)
	if len(candidates.open) == 0 {
		return Choice{}, false
	}
	var chosen *member
	spilled := false
	choice := Choice{Candidates: len(candidates.open)}
	if request.Part != "" {
		chosen, spilled = t.chooseSoonest(now, candidates, request, &choice)
	} else {
		chosen = t.chooseLeastBusy(candidates.open)
	}
	if state := t.zones[chosen.Zone]; state != nil && now < state.pausedUntil {
		state.probedAt = now
	}
	chosen.noteSentCold(now, request.Cold)
	choice.isTrial = t.backoff.BeginTrial(now, chosen.Life())
	chosen.inFlight++
	chosen.pending += choice.Unread
	choice.Instance, choice.Spilled, choice.pending = chosen.Instance, spilled, choice.Unread
	return choice, true
}

// candidateSet are the instances that a choice is made among.
type candidateSet struct {
	// open may be chosen now.
	open []*member
	// limited have no permit for the request soon enough. They keep the prompt parts that
	// live there: their limits have room again in a moment.
	limited []*member
}

// all goes through both kinds.
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

// add puts an instance where it belongs.
func (s *candidateSet) add(one *member, isLimited bool) {
	if isLimited {
		s.limited = append(s.limited, one)
		return
	}
	s.open = append(s.open, one)
}

// allCandidates returns the instances that may be chosen.
func (t *Table) allCandidates(now time.Duration, request Request) candidateSet {
	if running := t.rollouts[request.Service]; running != nil {
		return t.candidatesInRollout(now, request, running)
	}
	return t.candidates(now, request, anyMember)
}

func anyMember(*member) bool { return true }

// candidates returns those of some instances that may be chosen: the healthy ones, or if
// there is none, all that were not tried. None is in an evacuated zone, in a region that
// the request is not allowed in, has asked for a pause that lasts, leaves, or bears no
// request of this node now, whatever that leaves.
func (t *Table) candidates(now time.Duration, request Request, isAmong func(*member) bool) candidateSet {
	healthy, others := t.sortCandidates(now, request, isAmong)
	if len(healthy.open) > 0 {
		return healthy
	}
	return others
}

func (t *Table) sortCandidates(now time.Duration, request Request, isAmong func(*member) bool) (healthy, others candidateSet) {
	average := t.averageFailures(request.Service)
	for _, one := range t.byService[request.Service] {
		if !isAmong(one) || !t.mayServe(one, request) || request.MaxInFlight > 0 && one.inFlight >= request.MaxInFlight || !t.bears(now, one, request.Cold) {
			continue
		}
		standing := t.backoff.Status(now, one.Life())
		if standing.Phase == backoff.Paused || standing.Phase == backoff.Leaving {
			continue
		}
		isLimited := t.weighPermit(now, one, request.PermitPatience)
		if isTried(standing, request) && one.isHealthy(now, average) && t.zoneIsOpen(now, one.Zone) {
			healthy.add(one, isLimited)
			continue
		}
		others.add(one, isLimited)
	}
	return healthy, others
}

// mayServe tells whether a request may go to an instance that it was not offered to yet, as
// far as the instance's place matters.
func (t *Table) mayServe(one *member, request Request) bool {
	return !slices.Contains(request.Exclude, one.ID) && t.isAllowed(one, request)
}

// isAllowed tells whether a request may go to where an instance stands.
func (t *Table) isAllowed(one *member, request Request) bool {
	return !t.evacuated.Contains(one.Zone) && request.Regions.Contains(t.regionOfZone[one.Zone])
}

// expected is what a choice weighs for one instance, in tokens.
type expected struct {
	ahead, unread, requests      int
	reread, far, scatter, paused float64
	// permit is the weight of the permit that the instance's limit asks for.
	permit float64
}

func (e expected) total() float64 {
	return float64(e.ahead+e.unread) + e.reread + e.far + e.scatter + e.paused + e.permit
}

// chooseSoonest takes the instance at which the first token is expected first.
func (t *Table) chooseSoonest(now time.Duration, candidates candidateSet, request Request, choice *Choice) (*member, bool) {
	home := homeOf(candidates, request.Part)
	var chosen *member
	var best expected
	for _, one := range candidates.open {
		expects := t.expect(now, one, request, one == home)
		if chosen == nil || expects.total() < best.total() {
			chosen, best = one, expects
		}
	}
	choice.Ahead, choice.Unread, choice.AheadKnown = best.ahead, best.unread, t.others != nil
	choice.Reread, choice.Far, choice.Streams = int(best.reread), int(best.far), best.requests
	choice.Paused, choice.Permit = int(best.paused), int(best.permit)
	part := keyOfPart(request.Part)
	chosen.hold(now, part)
	if chosen != home && request.SharedTokens > 0 {
		t.spilled = appendParts(t.spilled, []HeldPart{{Part: part, Instance: chosen.key}})
	}
	return chosen, chosen != home
}

func (t *Table) expect(now time.Duration, one *member, request Request, isHome bool) expected {
	expects := expected{ahead: one.pending, unread: request.Tokens, permit: one.permitTokens}
	requests := one.inFlight
	if request.Tokens == 0 {
		expects.unread = int(request.Cost * MiddleTokens)
	}
	if t.others != nil {
		others := t.others[one.key]
		expects.ahead += others.Tokens
		requests += others.Requests
	} else {
		expects.ahead *= blindFactor
		requests *= blindFactor
	}
	expects.requests = requests
	if one.Slots > 0 {
		expects.ahead += max(0, requests+1-one.Slots) * tokensOverSlots
	}
	if isHome || one.holds(now, keyOfPart(request.Part)) {
		expects.unread = max(0, expects.unread-request.SharedTokens)
	} else {
		expects.reread = rereadWeight * float64(request.SharedTokens)
		expects.scatter = t.random() * scatterTokens
	}
	expects.paused = t.speedOf(one.Service).pausedTokens(requests, expects.ahead, expects.unread, request.Gap)
	if one.Zone != t.zone {
		expects.far = float64(request.Bytes) * tokensPerFarByte
	}
	return expects
}

// homeOf returns the instance at which a part lives: all nodes name the same.
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

func (t *Table) chooseLeastBusy(candidates []*member) *member {
	var best *member
	bestScore := math.Inf(1)
	for _, one := range candidates {
		score := float64(one.inFlight) / float64(max(1, one.Slots)) * 8
		if one.Zone != t.zone {
			score += otherZonePenalty
		}
		score += one.permitTokens / tokensOverSlots
		if score < bestScore {
			best, bestScore = one, score
		}
	}
	return best
}
