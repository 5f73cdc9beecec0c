// Package routing chooses the back end for a request from what a node knows of
// them: its own work in flight, their lagging load reports, which prompt
// prefixes they have cached, their zone, and whether they are leaving.
//
// The table is a pure step: no clock, no network. Choose may be called again
// at the moment of dispatch, so that a back end that began to leave while a
// request waited gets nothing new.
package routing

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// reportHalfLife is the age at which a load report counts half.
	reportHalfLife = 2 * time.Second
	// maximumReportAge is the age at which a load report counts nothing.
	maximumReportAge = 10 * time.Second
	// sampleAbove is the number of candidates above which only a sample is
	// scored: two at random besides those that have the prefix cached.
	sampleAbove     = 16
	sampledAtRandom = 2
	// otherZoneCost is the cost of leaving the zone, in milliseconds.
	otherZoneCost = 40
	// prefillCost is the cost of a prompt token that is not cached, in
	// milliseconds; occupancyCost that of a full batch.
	prefillCost   = 0.01
	occupancyCost = 100.0
	// defaultCapacity of a back end that gives none.
	defaultCapacity = 16
	// ownWeight and reportWeight blend two estimates of a back end's work: this
	// node's own there times the nodes that share it, which is exact but small,
	// and the last report, which is whole but old. Reports that weigh more make
	// all nodes run to the same back end (docs/MEASUREMENTS.md).
	ownWeight    = 0.9
	reportWeight = 0.1
	// queueAllowance is how far beyond its capacity a back end may be filled,
	// as a share of it: its next batch slot never waits for the network.
	queueAllowance = 0.125
)

// Backend is what the catalog says of a back end.
type Backend struct {
	Name     string
	Service  string
	Zone     string
	Address  string
	Capacity int
	Draining bool
}

// Request is what a choice is made for.
type Request struct {
	Service string
	// Blocks are the chained hashes of the prompt's prefix blocks.
	Blocks []uint64
	// PromptTokens is a bound.
	PromptTokens uint64
	// Exclude are back ends already tried.
	Exclude []string
}

// Score is one candidate's cost, in milliseconds of expected delay.
type Score struct {
	Backend string
	Cost    float64
	Cached  int
}

// Choice is a chosen back end and what it was chosen from.
type Choice struct {
	Backend    Backend
	Candidates []Score
	// Considered counts the back ends of the service, usable or not.
	Considered int
}

// Report is a back end's own word on its load.
type Report struct {
	Running int
	Queued  int
	Leaving bool
	// OwnInFlight is this node's part at the time the report describes.
	OwnInFlight int
}

// Result is how a request ended at a back end.
type Result int

const (
	// Succeeded: a whole answer.
	Succeeded Result = iota
	// Overloaded: it refused for lack of room.
	Overloaded
	// Failed: it could not be reached or broke off.
	Failed
	// Neutral says nothing about the back end (the caller went away).
	Neutral
)

// Table is a node's view of all back ends. It is not safe for concurrent use.
type Table struct {
	zone string
	// nodesInZone counts the nodes of each zone.
	nodesInZone map[string]int
	random      *rand.Rand
	backends    map[string]*backendState
	services    map[string][]*backendState
	prefixes    *prefixIndex
}

type backendState struct {
	Backend
	inFlight int
	// sharers are the nodes that send it most of its work: those of its zone.
	sharers  int
	report   Report
	reportAt time.Duration
	// listedLeaving is the platform's word, reportedLeaving its own.
	listedLeaving bool
	// pausedUntil is the end of a pause that it asked for.
	pausedUntil time.Duration
	limit       limiter
	breaker     breaker
	cache       cacheView
}

// NewTable makes an empty table of a node in a zone.
func NewTable(zone string, nodesInZone map[string]int, random *rand.Rand) *Table {
	return &Table{
		zone: zone, nodesInZone: nodesInZone, random: random, backends: map[string]*backendState{},
		services: map[string][]*backendState{}, prefixes: newPrefixIndex(),
	}
}

// SetBackends takes over the catalog's back ends and keeps what is known of
// those that stay.
func (t *Table) SetBackends(backends []Backend) {
	known := t.backends
	t.backends = map[string]*backendState{}
	t.services = map[string][]*backendState{}
	for _, backend := range backends {
		backend.Capacity = cmp.Or(backend.Capacity, defaultCapacity)
		state := known[backend.Name]
		if state == nil || state.Address != backend.Address {
			state = &backendState{limit: newLimiter(backend.Capacity)}
		}
		delete(known, backend.Name)
		state.Backend = backend
		state.sharers = max(1, t.nodesInZone[backend.Zone])
		state.limit.setMaximum(backend.Capacity)
		t.backends[backend.Name] = state
		t.services[backend.Service] = append(t.services[backend.Service], state)
	}
	for name := range known {
		t.prefixes.removeBackend(name)
	}
}

// Backend returns a back end as the catalog has it.
func (t *Table) Backend(name string) (Backend, bool) {
	state := t.backends[name]
	if state == nil {
		return Backend{}, false
	}
	return state.Backend, true
}

// SetLeaving takes over the platform's list of leaving machines.
func (t *Table) SetLeaving(names []string) {
	for name, state := range t.backends {
		state.listedLeaving = slices.Contains(names, name)
	}
}

// TakeReport takes a back end's report of its load.
func (t *Table) TakeReport(now time.Duration, name string, report Report) {
	if state := t.backends[name]; state != nil {
		state.report, state.reportAt = report, now
	}
}

// MarkLeaving notes a back end's own answer that it is leaving.
func (t *Table) MarkLeaving(name string) {
	if state := t.backends[name]; state != nil {
		state.report.Leaving = true
	}
}

// Pause notes that a back end asked for a pause. None shortens one that lasts longer.
func (t *Table) Pause(now time.Duration, name string, lasting time.Duration) {
	if state := t.backends[name]; state != nil {
		state.pausedUntil = max(state.pausedUntil, now+lasting)
	}
}

// PausedBackend is a back end in a pause that it asked for.
type PausedBackend struct {
	Backend
	Left     time.Duration
	InFlight int
}

// Paused returns the back ends in a pause, the longest first.
func (t *Table) Paused(now time.Duration) []PausedBackend {
	var paused []PausedBackend
	for _, state := range t.backends {
		if now < state.pausedUntil {
			paused = append(paused, PausedBackend{Backend: state.Backend, Left: state.pausedUntil - now, InFlight: state.inFlight})
		}
	}
	slices.SortFunc(paused, func(one, other PausedBackend) int {
		return cmp.Or(cmp.Compare(other.Left, one.Left), cmp.Compare(one.Name, other.Name))
	})
	return paused
}

// OpensAt is when the first pause of a service's back ends ends, if all of them that take
// work have asked for one; false if one is open.
func (t *Table) OpensAt(now time.Duration, service string) (opensAt time.Duration, areAllPaused bool) {
	for _, state := range t.services[service] {
		switch {
		case state.Draining || state.listedLeaving || state.report.Leaving:
		case now >= state.pausedUntil:
			return 0, false
		case !areAllPaused || state.pausedUntil < opensAt:
			opensAt, areAllPaused = state.pausedUntil, true
		}
	}
	return opensAt, areAllPaused
}

// Usable tells whether a back end may be given new work now, and why not.
func (t *Table) Usable(now time.Duration, name string) (bool, string) {
	state := t.backends[name]
	if state == nil {
		return false, "removed"
	}
	return state.usable(now)
}

func (s *backendState) usable(now time.Duration) (bool, string) {
	switch {
	case s.Draining:
		return false, "draining"
	case s.listedLeaving || s.report.Leaving:
		return false, "leaving"
	case now < s.pausedUntil:
		return false, "paused"
	case !s.breaker.allows(now):
		return false, "breaker open"
	case float64(s.inFlight) >= s.limit.current()*(1+queueAllowance):
		return false, "full"
	}
	return true, ""
}

// occupancy is the expected number of requests there.
func (s *backendState) occupancy(now time.Duration) float64 {
	return ownWeight*float64(s.inFlight*s.sharers) + reportWeight*s.reported(now)
}

// reported is this node's own work plus what the last report says of others',
// discounted by its age.
func (s *backendState) reported(now time.Duration) float64 {
	others := float64(s.report.Running + s.report.Queued - s.report.OwnInFlight)
	age := now - s.reportAt
	if others <= 0 || age > maximumReportAge {
		return float64(s.inFlight)
	}
	return float64(s.inFlight) + others*halfPower(float64(age)/float64(reportHalfLife))
}

// Choose picks the back end with the lowest expected delay, or returns false
// if none can take the request now.
func (t *Table) Choose(now time.Duration, request Request) (Choice, bool) {
	all := t.services[request.Service]
	choice := Choice{Considered: len(all)}
	cached := t.prefixes.longestMatches(request.Blocks)
	best := Score{}
	for _, state := range t.candidates(now, all, request, cached) {
		score := t.score(now, state, request, cached[state.Name])
		choice.Candidates = append(choice.Candidates, score)
		if best.Backend == "" || score.Cost < best.Cost {
			best = score
			choice.Backend = state.Backend
		}
	}
	return choice, best.Backend != ""
}

// candidates returns the usable back ends, or a sample of many.
func (t *Table) candidates(now time.Duration, all []*backendState, request Request, cached map[string]int) []*backendState {
	if len(all) <= sampleAbove {
		return t.usableOf(now, all, request)
	}
	sampled := make([]*backendState, 0, len(cached)+sampledAtRandom)
	for name := range cached {
		if state := t.backends[name]; state != nil && state.Service == request.Service {
			sampled = append(sampled, state)
		}
	}
	sampled = t.usableOf(now, sampled, request)
	slices.SortFunc(sampled, func(a, b *backendState) int { return cmp.Compare(a.Name, b.Name) })
	// A walk from a random start finds usable ones in few steps unless nearly
	// all are unusable, and then still finds the rest.
	start, wanted := t.random.IntN(len(all)), len(sampled)+sampledAtRandom
	stride := coprimeStride(t.random, len(all))
	for step := 0; step < len(all) && len(sampled) < wanted; step++ {
		state := all[(start+step*stride)%len(all)]
		if usable, _ := state.usable(now); usable && !slices.Contains(request.Exclude, state.Name) && !slices.Contains(sampled, state) {
			sampled = append(sampled, state)
		}
	}
	return sampled
}

func (t *Table) usableOf(now time.Duration, all []*backendState, request Request) []*backendState {
	var usable []*backendState
	for _, state := range all {
		if allowed, _ := state.usable(now); allowed && !slices.Contains(request.Exclude, state.Name) {
			usable = append(usable, state)
		}
	}
	return usable
}

func (t *Table) score(now time.Duration, state *backendState, request Request, cachedBlocks int) Score {
	uncached := float64(request.PromptTokens)
	if count := len(request.Blocks); count > 0 {
		uncached *= 1 - float64(cachedBlocks)/float64(count)
	}
	cost := uncached*prefillCost + occupancyCost*state.occupancy(now)/float64(state.Capacity)
	if state.Zone != t.zone {
		cost += otherZoneCost
	}
	return Score{Backend: state.Name, Cost: cost, Cached: cachedBlocks}
}

// Begin notes a dispatch.
func (t *Table) Begin(now time.Duration, name string, blocks []uint64) {
	state := t.backends[name]
	if state == nil {
		return
	}
	state.inFlight++
	state.breaker.begin(now)
	t.prefixes.add(name, blocks)
}

// End notes how a dispatch ended.
func (t *Table) End(now time.Duration, name string, result Result) {
	state := t.backends[name]
	if state == nil {
		return
	}
	state.inFlight = max(0, state.inFlight-1)
	state.breaker.end(now, result)
	state.limit.end(now, result)
}

// InFlight is this node's work in flight at a back end.
func (t *Table) InFlight(name string) int {
	if state := t.backends[name]; state != nil {
		return state.inFlight
	}
	return 0
}

func coprimeStride(random *rand.Rand, length int) int {
	for {
		stride := 1 + random.IntN(length)
		if greatestCommonDivisor(stride, length) == 1 {
			return stride
		}
	}
}

func greatestCommonDivisor(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}
