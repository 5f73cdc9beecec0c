// Package routing chooses the back end for a request from what a node knows of the back ends: its
// own requests in flight there, their delayed load reports, the prompt prefixes that they have
// cached, their zone, and whether they are leaving.
//
// The table has no clock and does no I/O. Choose may be called again at the time of dispatch, so
// that a back end that began to leave while a request waited receives no new request.
package routing

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// reportHalfLife is the age at which a load report has half its weight.
	reportHalfLife = 2 * time.Second
	// maximumReportAge is the age above which a load report is ignored.
	maximumReportAge = 10 * time.Second
	// sampleAbove is the number of candidates above which only a sample is scored: randomSamples
	// random ones, in addition to those that have a prefix of the prompt cached.
	sampleAbove   = 16
	randomSamples = 2
	// otherZoneCost is the cost of a back end in another zone, in milliseconds.
	otherZoneCost = 40
	// prefillCost is the cost of a prompt token that is not cached, and occupancyCost that of a
	// full batch, both in milliseconds.
	prefillCost   = 0.01
	occupancyCost = 100.0
	// defaultCapacity is the capacity of a back end for which the catalog gives none.
	defaultCapacity = 16
	// ownWeight and reportWeight blend two estimates of a back end's load. One is this node's own
	// requests there times the number of nodes that share it, which is current but covers only one
	// node. The other is the last report, which covers all nodes but is old. With a higher weight of
	// the reports, all nodes would choose the same back end (docs/MEASUREMENTS.md).
	ownWeight    = 0.9
	reportWeight = 0.1
	// queueAllowance is the share of its capacity by which a back end may be filled beyond it, so
	// that a free batch slot never waits for the network.
	queueAllowance = 0.125
)

// Backend is the catalog's entry of a back end.
type Backend struct {
	Name     string
	Service  string
	Zone     string
	Address  string
	Capacity int
	Draining bool
}

// Request describes the request that a back end is chosen for.
type Request struct {
	Service string
	// Blocks holds the chained hashes of the prompt's prefix blocks.
	Blocks []uint64
	// PromptTokens is an upper bound of the prompt's length in tokens.
	PromptTokens uint64
	// Exclude holds the names of the back ends that were already tried.
	Exclude []string
}

// Score is the cost of one candidate, in milliseconds of expected delay. Cached is the number of
// the prompt's leading blocks that it has cached.
type Score struct {
	Backend string
	Cost    float64
	Cached  int
}

// Choice is a chosen back end and the candidates that it was chosen from.
type Choice struct {
	Backend    Backend
	Candidates []Score
	// Considered is the number of back ends of the service, usable or not.
	Considered int
}

// Report is a back end's own report of its load.
type Report struct {
	Running int
	Queued  int
	Leaving bool
	// OwnInFlight is the number of this node's requests in flight there at the time of the report.
	OwnInFlight int
}

// Result is the outcome of a request at a back end.
type Result int

const (
	// Succeeded means that the response was complete.
	Succeeded Result = iota
	// Overloaded means that the back end rejected the request for lack of capacity.
	Overloaded
	// Failed means that the back end was unreachable or broke off the response.
	Failed
	// Neutral means that the outcome indicates nothing about the back end, for example because the
	// caller closed the connection.
	Neutral
)

// Table is a node's view of all back ends. It is not safe for concurrent use.
type Table struct {
	zone string
	// nodesInZone is the number of nodes in each zone.
	nodesInZone map[string]int
	random      *rand.Rand
	backends    map[string]*backendState
	byService   map[string][]*backendState
	prefixes    *prefixIndex
}

type backendState struct {
	Backend
	inFlight int
	// sharers is the number of nodes in its zone, which send it most of its work.
	sharers    int
	report     Report
	reportedAt time.Duration
	// listedLeaving reports whether the platform lists the back end as leaving. The back end's own
	// report is in report.Leaving.
	listedLeaving bool
	// pausedUntil is the end of the pause that it requested.
	pausedUntil time.Duration
	limit       limiter
	breaker     breaker
	cache       cacheCursor
}

// NewTable returns an empty table for a node in a zone.
func NewTable(zone string, nodesInZone map[string]int, random *rand.Rand) *Table {
	return &Table{
		zone: zone, nodesInZone: nodesInZone, random: random, backends: map[string]*backendState{},
		byService: map[string][]*backendState{}, prefixes: newPrefixIndex(),
	}
}

// SetBackends replaces the back ends by those of the catalog. It keeps the state of those that stay
// at the same address.
func (t *Table) SetBackends(backends []Backend) {
	known := t.backends
	t.backends = map[string]*backendState{}
	t.byService = map[string][]*backendState{}
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
		t.byService[backend.Service] = append(t.byService[backend.Service], state)
	}
	for name := range known {
		t.prefixes.removeBackend(name)
	}
}

// Backend returns the catalog's entry of a back end.
func (t *Table) Backend(name string) (Backend, bool) {
	state := t.backends[name]
	if state == nil {
		return Backend{}, false
	}
	return state.Backend, true
}

// SetLeaving replaces the platform's list of leaving back ends.
func (t *Table) SetLeaving(names []string) {
	for name, state := range t.backends {
		state.listedLeaving = slices.Contains(names, name)
	}
}

// SetReport replaces a back end's load report.
func (t *Table) SetReport(now time.Duration, name string, report Report) {
	if state := t.backends[name]; state != nil {
		state.report, state.reportedAt = report, now
	}
}

// MarkLeaving records that a back end signalled in a response that it is leaving.
func (t *Table) MarkLeaving(name string) {
	if state := t.backends[name]; state != nil {
		state.report.Leaving = true
	}
}

// Pause records that a back end requested a pause. It never shortens a pause in progress.
func (t *Table) Pause(now time.Duration, name string, duration time.Duration) {
	if state := t.backends[name]; state != nil {
		state.pausedUntil = max(state.pausedUntil, now+duration)
	}
}

// PausedBackend is a back end in a pause that it requested. Left is the remaining time, and
// InFlight is the number of this node's requests in flight there.
type PausedBackend struct {
	Backend
	Left     time.Duration
	InFlight int
}

// Paused returns the paused back ends, ordered from the longest remaining time to the shortest.
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

// FirstPauseEnd returns when the first pause of a service's back ends ends, if all of them that are
// not leaving are paused. It returns false if one of them is not paused.
func (t *Table) FirstPauseEnd(now time.Duration, service string) (opensAt time.Duration, areAllPaused bool) {
	for _, state := range t.byService[service] {
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

// Usable reports whether a back end may receive new work now, and if not, the reason.
func (t *Table) Usable(now time.Duration, name string) (bool, string) {
	state := t.backends[name]
	if state == nil {
		return false, "removed"
	}
	return state.isUsable(now)
}

func (s *backendState) isUsable(now time.Duration) (bool, string) {
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

// expectedRequests returns the expected number of requests at the back end.
func (s *backendState) expectedRequests(now time.Duration) float64 {
	return ownWeight*float64(s.inFlight*s.sharers) + reportWeight*s.reportedRequests(now)
}

// reportedRequests returns the number of this node's own requests in flight plus that of others
// according to the last report, discounted by its age.
func (s *backendState) reportedRequests(now time.Duration) float64 {
	others := float64(s.report.Running + s.report.Queued - s.report.OwnInFlight)
	age := now - s.reportedAt
	if others <= 0 || age > maximumReportAge {
		return float64(s.inFlight)
	}
	return float64(s.inFlight) + others*halfPower(float64(age)/float64(reportHalfLife))
}

// Choose picks the back end with the lowest expected delay, or returns false if none can accept the
// request now.
func (t *Table) Choose(now time.Duration, request Request) (Choice, bool) {
	all := t.byService[request.Service]
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

// candidates returns the usable back ends, or a sample of them if there are more than sampleAbove.
func (t *Table) candidates(now time.Duration, all []*backendState, request Request, cached map[string]int) []*backendState {
	if len(all) <= sampleAbove {
		return t.usableBackends(now, all, request)
	}
	sampled := make([]*backendState, 0, len(cached)+randomSamples)
	for name := range cached {
		if state := t.backends[name]; state != nil && state.Service == request.Service {
			sampled = append(sampled, state)
		}
	}
	sampled = t.usableBackends(now, sampled, request)
	slices.SortFunc(sampled, func(a, b *backendState) int { return cmp.Compare(a.Name, b.Name) })
	// Stepping from a random start finds usable back ends in few steps, unless nearly all are
	// unusable. As the stride is coprime to the length, it visits all of them if necessary.
	start, wanted := t.random.IntN(len(all)), len(sampled)+randomSamples
	stride := coprimeStride(t.random, len(all))
	for step := 0; step < len(all) && len(sampled) < wanted; step++ {
		state := all[(start+step*stride)%len(all)]
		if usable, _ := state.isUsable(now); usable && !slices.Contains(request.Exclude, state.Name) && !slices.Contains(sampled, state) {
			sampled = append(sampled, state)
		}
	}
	return sampled
}

func (t *Table) usableBackends(now time.Duration, all []*backendState, request Request) []*backendState {
	var usable []*backendState
	for _, state := range all {
		if allowed, _ := state.isUsable(now); allowed && !slices.Contains(request.Exclude, state.Name) {
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
	cost := uncached*prefillCost + occupancyCost*state.expectedRequests(now)/float64(state.Capacity)
	if state.Zone != t.zone {
		cost += otherZoneCost
	}
	return Score{Backend: state.Name, Cost: cost, Cached: cachedBlocks}
}

// Begin records the dispatch of a request to a back end.
func (t *Table) Begin(now time.Duration, name string, blocks []uint64) {
	state := t.backends[name]
	if state == nil {
		return
	}
	state.inFlight++
	state.breaker.begin(now)
	t.prefixes.add(name, blocks)
}

// End records the outcome of a dispatched request.
func (t *Table) End(now time.Duration, name string, result Result) {
	state := t.backends[name]
	if state == nil {
		return
	}
	state.inFlight = max(0, state.inFlight-1)
	state.breaker.end(now, result)
	state.limit.end(now, result)
}

// InFlight returns the number of this node's requests in flight at a back end.
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
