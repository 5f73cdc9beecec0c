// Package balance chooses the instance that a request goes to.
//
// A request with a prompt goes where its first token is expected soonest: at
// each instance the prompt tokens that are yet to be read before it, as far as
// this node knows them, and those of its own that the instance does not hold.
// Nodes agree without any talk on where a shared prompt part lives: rendezvous
// hashing of the part over the instances names its home. Bytes to another zone
// count as some tokens. Requests without a prompt go to the least busy
// instance, the node's own zone first. Health is the node's own experience.
package balance

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/ravenway/ravenway/internal/coordination/registry"
	"github.com/ravenway/ravenway/internal/state/evacuation"
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
	// The pause after a failure to connect doubles from the first to the last.
	firstPause = 250 * time.Millisecond
	lastPause  = 2 * time.Second
	// A zone with this many instances that can't be reached within zoneWindow is
	// taken for cut off: its other instances get a request each zoneProbe only,
	// until one of them answers.
	zoneInstances = 2
	zoneWindow    = 1500 * time.Millisecond
	zonePause     = 3 * time.Second
	zoneProbe     = 400 * time.Millisecond
	// failureWeight is the weight of one outcome in the smoothed failure rate.
	failureWeight = 0.15
	// failureMargin is how far above the others' rate an instance is avoided.
	failureMargin = 0.3
	// probeEvery lets an avoided instance have a request now and then.
	probeEvery = 1500 * time.Millisecond
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
}

// Choice is a chosen instance.
type Choice struct {
	registry.Instance
	// pending are the tokens that the instance has to read first.
	pending int
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
}

// Outcome is how an attempt ended.
type Outcome uint8

const (
	// Served: the instance answered as it should.
	Served Outcome = iota
	// Unreachable: no connection came up.
	Unreachable
	// Failed: it answered with a failure of its own, or broke off.
	Failed
	// Full: it turned the request away.
	Full
	// Replaced: another instance has its address now, so it is gone for good.
	Replaced
	// Abandoned says nothing about the instance.
	Abandoned
)

type member struct {
	registry.Instance
	inFlight int
	// pending are the prompt tokens of this node's requests that the instance
	// has yet to read.
	pending int
	key     InstanceKey
	// held is when each part was last sent here by this node, or by another one
	// that told of it.
	held map[PartKey]time.Duration
	// failures is the smoothed rate of failed requests.
	failures float64
	// pause is the current pause after failures to connect, until its end.
	pause       time.Duration
	pausedUntil time.Duration
	probedAt    time.Duration
	// replaced tells that the instance is gone for good, though the registry
	// may not know yet.
	replaced bool
	// isOffered tells that it is among its service's members that take new work.
	isOffered bool
	// hasEnded tells that the registry knows it to have ended; it is forgotten once no
	// request is at it.
	hasEnded bool
	// restoredAt is when its zone was last restored, if isRestored is set.
	restoredAt time.Duration
	isRestored bool
	// sentColdAt is when this node last sent it a request while it was cold, if
	// wasSentCold is set.
	sentColdAt  time.Duration
	wasSentCold bool
}

// zoneState is what this node knows of its way to a zone.
type zoneState struct {
	// unreachable holds when instances could not be reached since one answered.
	unreachable map[string]time.Duration
	pausedUntil time.Duration
	probedAt    time.Duration
}

// Table is safe for concurrent use. Times are those of a steady clock.
type Table struct {
	zone    string
	mutex   sync.Mutex
	members map[string]*member
	// byService are the members that take new work.
	byService map[string][]*member
	zones     map[string]*zoneState
	// regionOfZone is the region in which each zone stands, where that is known.
	regionOfZone map[string]string
	// speeds are how fast the services' instances were seen to read.
	speeds map[string]*readSpeed
	// spilled are the parts sent elsewhere than to their homes and not told yet.
	spilled []HeldPart
	// others are the loads of the other nodes; nil means that they are not heard.
	others Loads
	// evacuated are the zones whose instances get nothing new.
	evacuated evacuation.Zones
	// rollouts are the services' versions that replace others, by service.
	rollouts map[string]*serviceRollout
	// senders tells which cold instances this node may send to.
	senders coldSenders
	// over are the latest lives that newer ones have replaced.
	over []overLife
}

// overLife is a life of an instance that is over, and whether it had said before that it
// leaves.
type overLife struct {
	registry.Life
	wasLeaving bool
}

// overKept bounds the former lives that are remembered: the requests that were at their
// ends ask for them within moments.
const overKept = 128

// NewTable makes a table for a node in a zone.
func NewTable(zone string) *Table {
	return &Table{zone: zone, members: map[string]*member{}, byService: map[string][]*member{}, zones: map[string]*zoneState{}, speeds: map[string]*readSpeed{}}
}

// Update replaces the instances by what the registry holds.
func (t *Table) Update(instances []registry.Instance) (replaced []registry.Instance) {
	ended := t.endedBut(instances)
	return t.Apply(append(ended, instances...))
}

// endedBut returns all known instances but some, as ended.
func (t *Table) endedBut(instances []registry.Instance) []registry.Instance {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	kept := map[string]bool{}
	for _, instance := range instances {
		kept[instance.ID] = true
	}
	var ended []registry.Instance
	for id, known := range t.members {
		if !kept[id] {
			gone := known.Instance
			gone.State = registry.Gone
			ended = append(ended, gone)
		}
	}
	return ended
}

// Apply takes changes of the registry. It returns the instances whose lives newer ones
// have replaced: nothing that was known of them holds any more.
func (t *Table) Apply(changes []registry.Instance) (replaced []registry.Instance) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, instance := range changes {
		known := t.members[instance.ID]
		if known != nil && known.Life() != instance.Life() {
			replaced = append(replaced, known.Instance)
			t.noteOver(known)
			t.forget(known)
			known = nil
		}
		if instance.HasEnded() {
			t.end(known)
			continue
		}
		t.take(known, instance)
	}
	if len(t.rollouts) > 0 {
		t.chooseCanaries()
	}
	return replaced
}

// take notes a live instance's state.
func (t *Table) take(known *member, instance registry.Instance) {
	if known == nil {
		known = &member{key: KeyOf(instance.Life()), held: map[PartKey]time.Duration{}}
		t.members[instance.ID] = known
	}
	wasOffered := known.isOffered
	if wasOffered && (known.Service != instance.Service || !instance.TakesWork()) {
		t.withdraw(known)
		wasOffered = false
	}
	known.Instance, known.hasEnded = instance, false
	if !wasOffered && instance.TakesWork() && !known.replaced {
		t.offer(known)
	}
}

// end notes that an instance has ended; nil is one that was never known.
func (t *Table) end(known *member) {
	if known == nil {
		return
	}
	t.withdraw(known)
	known.hasEnded = true
	if known.inFlight == 0 {
		delete(t.members, known.ID)
	}
}

func (t *Table) forget(known *member) {
	t.withdraw(known)
	delete(t.members, known.ID)
}

// offer lets new work go to an instance; withdraw ends that. A service's instances are in
// order, so that all nodes see them alike.
func (t *Table) offer(one *member) {
	members := t.byService[one.Service]
	place, _ := slices.BinarySearchFunc(members, one.ID, compareID)
	t.byService[one.Service] = slices.Insert(members, place, one)
	one.isOffered = true
}

func (t *Table) withdraw(one *member) {
	if !one.isOffered {
		return
	}
	members := t.byService[one.Service]
	if place, found := slices.BinarySearchFunc(members, one.ID, compareID); found {
		t.byService[one.Service] = slices.Delete(members, place, place+1)
	}
	one.isOffered = false
}

func compareID(one *member, id string) int { return cmp.Compare(one.ID, id) }

func (t *Table) noteOver(one *member) {
	t.over = append(t.over, overLife{Life: one.Life(), wasLeaving: !one.TakesWork()})
	t.over = t.over[max(0, len(t.over)-overKept):]
}

// member returns what is known of a life, nil if it is over or was never heard of.
func (t *Table) member(life registry.Life) *member {
	known := t.members[life.ID]
	if known == nil || known.Life() != life {
		return nil
	}
	return known
}

// HasZone tells whether an instance stands in a zone.
func (t *Table) HasZone(zone string) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, one := range t.members {
		if one.Zone == zone {
			return true
		}
	}
	return false
}

// Size returns the number of instances of a service that take new work.
func (t *Table) Size(service string) int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return len(t.byService[service])
}

// Choose picks an instance and counts the request as in flight there until
// Done. It returns false if there is none.
func (t *Table) Choose(now time.Duration, request Request) (Choice, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	candidates := t.allCandidates(now, request)
	if len(candidates) == 0 {
		return Choice{}, false
	}
	var chosen *member
	spilled := false
	choice := Choice{Candidates: len(candidates)}
	if request.Part != "" {
		chosen, spilled = t.chooseSoonest(now, candidates, request, &choice)
	} else {
		chosen = t.chooseLeastBusy(candidates)
	}
	if state := t.zones[chosen.Zone]; state != nil && now < state.pausedUntil {
		state.probedAt = now
	}
	chosen.noteSentCold(now, request.Cold)
	chosen.inFlight++
	chosen.pending += choice.Unread
	choice.Instance, choice.Spilled, choice.pending = chosen.Instance, spilled, choice.Unread
	return choice, true
}

// Started notes that an instance has read a request's prompt, in a time since it
// was sent there.
func (t *Table) Started(choice *Choice, took time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if choice.Ahead == 0 && choice.AheadKnown && choice.pending > 0 {
		t.speedOf(choice.Service).observeRead(choice.pending, took)
	}
	if known := t.member(choice.Life()); known != nil {
		known.pending -= choice.pending
	}
	choice.pending = 0
}

// OwnLoads are this node's requests under way.
func (t *Table) OwnLoads() Loads {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	loads := Loads{}
	for _, one := range t.members {
		if one.inFlight > 0 {
			loads[one.key] = Load{Tokens: one.pending, Requests: one.inFlight}
		}
	}
	return loads
}

// SetOthersLoads replaces what the other nodes have under way; nil means that
// it is not known.
func (t *Table) SetOthersLoads(others Loads) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.others = others
}

// SetEvacuated replaces the zones whose instances get nothing new. What they have
// under way ends there; those of a zone that is restored are taken for cold.
func (t *Table) SetEvacuated(now time.Duration, zones evacuation.Zones) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, one := range t.members {
		if t.evacuated.Contains(one.Zone) && !zones.Contains(one.Zone) {
			one.restoredAt, one.isRestored = now, true
		}
	}
	t.evacuated = zones
}

// allCandidates returns the instances that may be chosen.
func (t *Table) allCandidates(now time.Duration, request Request) []*member {
	if running := t.rollouts[request.Service]; running != nil {
		return t.candidatesInRollout(now, request, running)
	}
	return t.candidates(now, request, anyMember)
}

func anyMember(*member) bool { return true }

// candidates returns those of some instances that may be chosen: the healthy ones, or if
// there is none, all that were not tried. None is in an evacuated zone, in a region that
// the request is not allowed in, or bears no request of this node now, whatever that leaves.
func (t *Table) candidates(now time.Duration, request Request, isAmong func(*member) bool) []*member {
	healthy, others := t.sortCandidates(now, request, isAmong)
	if len(healthy) > 0 {
		return healthy
	}
	return others
}

func (t *Table) sortCandidates(now time.Duration, request Request, isAmong func(*member) bool) (healthy, others []*member) {
	average := t.averageFailures(request.Service)
	for _, one := range t.byService[request.Service] {
		if !isAmong(one) || slices.Contains(request.Exclude, one.ID) || request.MaxInFlight > 0 && one.inFlight >= request.MaxInFlight {
			continue
		}
		if t.evacuated.Contains(one.Zone) || !request.Regions.Contains(t.regionOfZone[one.Zone]) || !t.bears(now, one, request.Cold) {
			continue
		}
		if one.isHealthy(now, average) && t.zoneIsOpen(now, one.Zone) {
			healthy = append(healthy, one)
			continue
		}
		others = append(others, one)
	}
	return healthy, others
}

// zoneIsOpen tells whether a zone's instances may be chosen. A zone that is
// taken for cut off is open for a moment now and then, to be probed.
func (t *Table) zoneIsOpen(now time.Duration, zone string) bool {
	state := t.zones[zone]
	return state == nil || now >= state.pausedUntil || now-state.probedAt >= zoneProbe
}

// noteZone learns from an outcome of one of a zone's instances.
func (t *Table) noteZone(now time.Duration, of registry.Instance, outcome Outcome) {
	switch outcome {
	case Served, Full, Replaced:
		delete(t.zones, of.Zone)
	case Unreachable:
		state := t.zones[of.Zone]
		if state == nil {
			state = &zoneState{unreachable: map[string]time.Duration{}}
			t.zones[of.Zone] = state
		}
		state.unreachable[of.ID] = now
		for id, at := range state.unreachable {
			if now-at > zoneWindow {
				delete(state.unreachable, id)
			}
		}
		if len(state.unreachable) >= zoneInstances || now < state.pausedUntil {
			state.pausedUntil = now + zonePause
		}
	case Failed, Abandoned:
	}
}

func (t *Table) averageFailures(service string) float64 {
	members := t.byService[service]
	if len(members) == 0 {
		return 0
	}
	total := 0.0
	for _, one := range members {
		total += one.failures
	}
	return total / float64(len(members))
}

func (m *member) isHealthy(now time.Duration, average float64) bool {
	if now < m.pausedUntil {
		return false
	}
	if m.failures <= average+failureMargin {
		return true
	}
	if now-m.probedAt >= probeEvery {
		m.probedAt = now
		return true
	}
	return false
}

// expected is what a choice weighs for one instance, in tokens.
type expected struct {
	ahead, unread, requests      int
	reread, far, scatter, paused float64
}

func (e expected) total() float64 {
	return float64(e.ahead+e.unread) + e.reread + e.far + e.scatter + e.paused
}

// chooseSoonest takes the instance at which the first token is expected first.
func (t *Table) chooseSoonest(now time.Duration, candidates []*member, request Request, choice *Choice) (*member, bool) {
	home := homeOf(candidates, request.Part)
	var chosen *member
	var best expected
	for _, one := range candidates {
		expects := t.expect(now, one, request, one == home)
		if chosen == nil || expects.total() < best.total() {
			chosen, best = one, expects
		}
	}
	choice.Ahead, choice.Unread, choice.AheadKnown = best.ahead, best.unread, t.others != nil
	choice.Reread, choice.Far, choice.Streams = int(best.reread), int(best.far), best.requests
	choice.Paused = int(best.paused)
	part := keyOfPart(request.Part)
	chosen.hold(now, part)
	if chosen != home && request.SharedTokens > 0 {
		t.spilled = appendParts(t.spilled, []HeldPart{{Part: part, Instance: chosen.key}})
	}
	return chosen, chosen != home
}

func (t *Table) expect(now time.Duration, one *member, request Request, isHome bool) expected {
	expects := expected{ahead: one.pending, unread: request.Tokens}
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
		expects.scatter = rand.Float64() * scatterTokens
	}
	expects.paused = t.speedOf(one.Service).pausedTokens(requests, expects.ahead, expects.unread, request.Gap)
	if one.Zone != t.zone {
		expects.far = float64(request.Bytes) * tokensPerFarByte
	}
	return expects
}

// Ended notes that a life of an instance was seen to have ended. The instance may come
// back under the same id, so it is paused and not forgotten.
func (t *Table) Ended(now time.Duration, life registry.Life) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if known := t.member(life); known != nil {
		known.pause = lastPause
		known.pausedUntil = now + lastPause
	}
}

// IsLeaving tells whether a life of an instance had said that it leaves, or is not known.
func (t *Table) IsLeaving(life registry.Life) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if known := t.member(life); known != nil {
		return !known.TakesWork()
	}
	for _, one := range t.over {
		if one.Life == life {
			return one.wasLeaving
		}
	}
	return true
}

// homeOf returns the instance at which a part lives: all nodes name the same.
func homeOf(candidates []*member, part string) *member {
	var home *member
	var homeWeight uint64
	for _, one := range candidates {
		if weight := rendezvous(part, one.ID); home == nil || weight > homeWeight {
			home, homeWeight = one, weight
		}
	}
	return home
}

func rendezvous(part, id string) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(part)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(id)
	return digest.Sum64()
}

func (t *Table) chooseLeastBusy(candidates []*member) *member {
	var best *member
	bestScore := math.Inf(1)
	for _, one := range candidates {
		score := float64(one.inFlight) / float64(max(1, one.Slots)) * 8
		if one.Zone != t.zone {
			score += otherZonePenalty
		}
		if score < bestScore {
			best, bestScore = one, score
		}
	}
	return best
}

// Done ends what Choose began.
func (t *Table) Done(now time.Duration, choice Choice, outcome Outcome) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known := t.member(choice.Life())
	if known == nil {
		return
	}
	t.noteZone(now, known.Instance, outcome)
	known.inFlight--
	known.pending -= choice.pending
	if known.hasEnded && known.inFlight == 0 {
		delete(t.members, known.ID)
	}
	switch outcome {
	case Served:
		known.pause = 0
		known.failures -= known.failures * failureWeight
	case Failed:
		known.failures += (1 - known.failures) * failureWeight
	case Unreachable:
		known.pause = min(max(2*known.pause, firstPause), lastPause)
		known.pausedUntil = now + known.pause
	case Replaced:
		known.replaced = true
		t.withdraw(known)
	case Full, Abandoned:
	}
}
