// Package balance chooses the instance that a request goes to.
//
// Requests that share a prompt part go to the same instance without any talk
// between nodes: rendezvous hashing of the part over the instances gives each
// part an order of them, and the first one in good health takes it unless it is
// much busier than the next. Requests without a part go to the least busy
// instance, the node's own zone first. Health is the node's own experience.
package balance

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/ravenway/ravenway/internal/coordination/registry"
)

const (
	// spillAfter is how much more work than the next instance, in requests of
	// middle size that this node has in flight, makes a part spill over.
	spillAfter = 8.0
	// farSpillAfter is the same against the least busy instance.
	farSpillAfter = 16.0
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
	// Exclude are instances that were tried already.
	Exclude []string
	// MaxInFlight is the most requests that this node may have at one
	// instance; 0 means no bound.
	MaxInFlight int
}

// Choice is a chosen instance.
type Choice struct {
	registry.Instance
	cost float64
	// Candidates is the number of instances that could have been chosen.
	Candidates int
	// Spilled tells that the part's first instance was too busy.
	Spilled bool
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
	// Abandoned says nothing about the instance.
	Abandoned
)

type member struct {
	registry.Instance
	inFlight int
	work     float64
	// failures is the smoothed rate of failed requests.
	failures float64
	// pause is the current pause after failures to connect, until its end.
	pause       time.Duration
	pausedUntil time.Duration
	probedAt    time.Duration
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
}

// NewTable makes a table for a node in a zone.
func NewTable(zone string) *Table {
	return &Table{zone: zone, members: map[string]*member{}, byService: map[string][]*member{}, zones: map[string]*zoneState{}}
}

// Update replaces the instances by what the registry holds.
func (t *Table) Update(instances []registry.Instance) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	seen := map[string]bool{}
	t.byService = map[string][]*member{}
	for _, instance := range instances {
		known := t.members[instance.ID]
		if known == nil {
			known = &member{}
			t.members[instance.ID] = known
		}
		known.Instance = instance
		seen[instance.ID] = true
		if instance.TakesWork() {
			t.byService[instance.Service] = append(t.byService[instance.Service], known)
		}
	}
	for id, known := range t.members {
		if !seen[id] && known.inFlight == 0 {
			delete(t.members, id)
		}
	}
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
	candidates := t.candidates(now, request)
	if len(candidates) == 0 {
		return Choice{}, false
	}
	var chosen *member
	spilled := false
	if request.Part != "" {
		chosen, spilled = choosePart(candidates, request.Part)
	} else {
		chosen = t.chooseLeastBusy(candidates)
	}
	if state := t.zones[chosen.Zone]; state != nil && now < state.pausedUntil {
		state.probedAt = now
	}
	chosen.inFlight++
	chosen.work += request.Cost
	return Choice{Instance: chosen.Instance, cost: request.Cost, Candidates: len(candidates), Spilled: spilled}, true
}

// candidates returns the instances that may be chosen: the healthy ones, or if
// there is none, all that were not tried.
func (t *Table) candidates(now time.Duration, request Request) []*member {
	var healthy, others []*member
	average := t.averageFailures(request.Service)
	for _, one := range t.byService[request.Service] {
		if slices.Contains(request.Exclude, one.ID) || request.MaxInFlight > 0 && one.inFlight >= request.MaxInFlight {
			continue
		}
		if one.isHealthy(now, average) && t.zoneIsOpen(now, one.Zone) {
			healthy = append(healthy, one)
			continue
		}
		others = append(others, one)
	}
	if len(healthy) > 0 {
		return healthy
	}
	return others
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
	case Served, Full:
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

// choosePart takes the first instance in the part's order, the second if the
// first is much busier, and the least busy if both are.
func choosePart(candidates []*member, part string) (*member, bool) {
	var first, second *member
	var firstWeight, secondWeight uint64
	least := candidates[0]
	for _, one := range candidates {
		weight := rendezvous(part, one.ID)
		switch {
		case first == nil || weight > firstWeight:
			second, secondWeight = first, firstWeight
			first, firstWeight = one, weight
		case second == nil || weight > secondWeight:
			second, secondWeight = one, weight
		}
		if one.work < least.work {
			least = one
		}
	}
	chosen := first
	if second != nil && first.work > second.work+spillAfter {
		chosen = second
	}
	if chosen.work > least.work+farSpillAfter {
		chosen = least
	}
	return chosen, chosen != first
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
	known := t.members[choice.ID]
	if known == nil {
		return
	}
	t.noteZone(now, known.Instance, outcome)
	known.inFlight--
	known.work = max(0, known.work-choice.cost)
	switch outcome {
	case Served:
		known.pause = 0
		known.failures -= known.failures * failureWeight
	case Failed:
		known.failures += (1 - known.failures) * failureWeight
	case Unreachable:
		known.pause = min(max(2*known.pause, firstPause), lastPause)
		known.pausedUntil = now + known.pause
	case Full, Abandoned:
	}
}
