package simulate

import (
	"container/list"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/ravenway/ravenway/internal/coordination/queueing"
	"github.com/ravenway/ravenway/internal/coordination/routing"
)

// RoutingPolicy is how nodes choose engines.
type RoutingPolicy string

// Policies of RunRouting: that of the product and two baselines.
const (
	RoutingOwn           RoutingPolicy = "own"
	RoutingRoundRobin    RoutingPolicy = "round robin"
	RoutingLeastInFlight RoutingPolicy = "least in flight"
)

// RoutingOptions configures a run of RunRouting.
type RoutingOptions struct {
	Seed   uint64
	Policy RoutingPolicy
	// Load is the offered load as a share of the engines' capacity.
	Load float64
	// SlowEngine makes one engine five times slower.
	SlowEngine bool
}

// RoutingResult is the result of RunRouting. Times are those to the first token.
type RoutingResult struct {
	Requests             int
	UrgentP50, UrgentP95 time.Duration
	BatchP50, BatchP95   time.Duration
	// CacheHits is the share of prompt blocks that were found cached.
	CacheHits float64
	// Tokens is the number of output tokens a second.
	Tokens float64
}

const (
	routingEngines  = 12
	routingSlots    = 16
	routingNodes    = 8
	routingRunTime  = 60 * time.Second
	routingCache    = 600
	routingDocument = 24
	// documents is the number of long documents, each of which is the shared prefix of many
	// prompts. A document has routingDocument blocks of 64 tokens.
	documents            = 60
	routingReportLag     = 500 * time.Millisecond
	routingStep          = 12 * time.Millisecond
	routingPrefill       = 2 * time.Millisecond
	routingTick          = 20 * time.Millisecond
	routingQueueCapacity = 100_000
)

// simulatedJob is one request.
type simulatedJob struct {
	class   queueing.Class
	blocks  []uint64
	output  int
	arrived time.Duration
	node    int
	engine  *simulatedEngine
}

// simulatedEngine runs up to routingSlots jobs at a time.
type simulatedEngine struct {
	name    string
	running int
	waiting []*simulatedJob
	// cache and recent hold the cached blocks, the most recent first.
	cache  map[uint64]*list.Element
	recent *list.List
	slow   time.Duration
	// reported is the load as it was routingReportLag ago, next the one that replaces it.
	reported, next routing.Report
}

// RoutingSimulation lets eight nodes send two classes of jobs to twelve engines.
type RoutingSimulation struct {
	options RoutingOptions
	world   *World
	engines []*simulatedEngine
	tables  []*routing.Table
	queues  []*queueing.Queue[*simulatedJob]
	turn    []int
	flights []map[*simulatedEngine]int
	first   map[queueing.Class][]time.Duration
	hits    int
	blocks  int
	tokens  int
	number  int
	result  RoutingResult
}

// RunRouting simulates the choice of engines under one policy. It runs one seed.
func RunRouting(options RoutingOptions) RoutingResult {
	s := &RoutingSimulation{options: options, world: NewWorld(options.Seed), first: map[queueing.Class][]time.Duration{}}
	var backends []routing.Backend
	for number := range routingEngines {
		one := &simulatedEngine{name: fmt.Sprintf("engine-%02d", number), cache: map[uint64]*list.Element{}, recent: list.New(), slow: 1}
		s.engines = append(s.engines, one)
		backends = append(backends, routing.Backend{Name: one.name, Service: "s", Zone: "z", Capacity: routingSlots})
	}
	if options.SlowEngine {
		s.engines[0].slow = 5
	}
	for number := range routingNodes {
		table := routing.NewTable("z", map[string]int{"z": routingNodes}, rand.New(rand.NewPCG(options.Seed, uint64(number))))
		table.SetBackends(backends)
		s.tables = append(s.tables, table)
		s.queues = append(s.queues, queueing.New[*simulatedJob](routingQueueCapacity, 0))
		s.turn = append(s.turn, number)
		s.flights = append(s.flights, map[*simulatedEngine]int{})
	}
	s.world.After(0, s.arrive)
	s.world.Every(routingReportLag, s.report)
	s.world.Every(routingTick, func() bool {
		for node := range s.queues {
			s.place(node)
		}
		return true
	})
	s.world.RunUntil(routingRunTime)
	return s.finish()
}

// meanSlotTime returns how long a job occupies a slot on average, without cache hits.
func meanSlotTime() time.Duration {
	long := routingDocument*routingPrefill + 200*routingStep
	short := 4*routingPrefill + 32*routingStep
	return long/3 + 2*short/3
}

func (s *RoutingSimulation) arrive() {
	rate := s.options.Load * routingEngines * routingSlots / meanSlotTime().Seconds()
	s.world.After(time.Duration(s.world.Random.ExpFloat64()/rate*float64(time.Second)), s.arrive)
	s.number++
	job := &simulatedJob{arrived: s.world.Now, node: s.world.Random.IntN(routingNodes), class: queueing.Urgent, output: 32}
	length, first := 4, s.world.Random.Uint64()|1<<63
	if s.world.Chance(1.0 / 3) {
		// Some documents are requested much more often than the others.
		popular := min(s.world.Random.IntN(documents), s.world.Random.IntN(documents))
		job.class, job.output, length, first = queueing.Batch, 200, routingDocument, uint64(popular+1)<<20
	}
	for block := range length {
		job.blocks = append(job.blocks, first+uint64(block))
	}
	if s.options.Policy != RoutingOwn {
		s.dispatch(job, s.baseline(job))
		return
	}
	item := &queueing.Item[*simulatedJob]{
		ID: fmt.Sprintf("%08d", s.number), Tenant: "t", Class: job.class, Cost: uint64(job.output),
		Arrived: s.world.Now, Deadline: routingRunTime * 2, Value: job,
	}
	if err := s.queues[job.node].Push(item); err == nil {
		s.place(job.node)
	}
}

// baseline chooses an engine under one of the baseline policies.
func (s *RoutingSimulation) baseline(job *simulatedJob) *simulatedEngine {
	s.turn[job.node]++
	best := s.engines[s.turn[job.node]%routingEngines]
	if s.options.Policy == RoutingRoundRobin {
		return best
	}
	for _, one := range s.engines {
		if s.flights[job.node][one] < s.flights[job.node][best] {
			best = one
		}
	}
	return best
}

// place dispatches jobs from a node's queue, as the daemon's backends duty does.
func (s *RoutingSimulation) place(node int) {
	for {
		placed := false
		for _, item := range s.queues[node].Candidates(s.world.Now) {
			request := routing.Request{Service: "s", Blocks: item.Value.blocks, PromptTokens: uint64(len(item.Value.blocks) * 64)}
			choice, found := s.tables[node].Choose(s.world.Now, request)
			if !found {
				continue
			}
			s.queues[node].Take(item)
			s.tables[node].Begin(s.world.Now, choice.Backend.Name, item.Value.blocks)
			index := slices.IndexFunc(s.engines, func(one *simulatedEngine) bool { return one.name == choice.Backend.Name })
			s.dispatch(item.Value, s.engines[index])
			placed = true
			break
		}
		if !placed {
			return
		}
	}
}

func (s *RoutingSimulation) dispatch(job *simulatedJob, target *simulatedEngine) {
	job.engine = target
	s.flights[job.node][target]++
	target.waiting = append(target.waiting, job)
	s.start(target)
}

// start fills an engine's free slots, urgent jobs first.
func (s *RoutingSimulation) start(target *simulatedEngine) {
	for target.running < routingSlots && len(target.waiting) > 0 {
		index := 0
		for position, job := range target.waiting {
			if job.class < target.waiting[index].class {
				index = position
			}
		}
		job := target.waiting[index]
		target.waiting = slices.Delete(target.waiting, index, index+1)
		target.running++
		missed := target.use(job.blocks)
		s.hits += len(job.blocks) - missed
		s.blocks += len(job.blocks)
		first := (time.Duration(missed)*routingPrefill + routingStep) * target.slow
		s.first[job.class] = append(s.first[job.class], s.world.Now+first-job.arrived)
		s.world.After(first+time.Duration(job.output)*routingStep*target.slow, func() { s.end(job) })
	}
}

func (s *RoutingSimulation) end(job *simulatedJob) {
	job.engine.running--
	s.tokens += job.output
	s.flights[job.node][job.engine]--
	s.tables[job.node].End(s.world.Now, job.engine.name, routing.Succeeded)
	s.start(job.engine)
	if s.options.Policy == RoutingOwn {
		s.place(job.node)
	}
}

// use returns how many of the blocks were not cached, and caches them.
func (e *simulatedEngine) use(blocks []uint64) int {
	missed := 0
	for _, block := range blocks {
		if element, cached := e.cache[block]; cached {
			e.recent.MoveToFront(element)
			continue
		}
		missed++
		e.cache[block] = e.recent.PushFront(block)
	}
	for e.recent.Len() > routingCache {
		delete(e.cache, e.recent.Remove(e.recent.Back()).(uint64))
	}
	return missed
}

// report sends each engine's load, as it was routingReportLag ago, to each node.
func (s *RoutingSimulation) report() bool {
	for _, one := range s.engines {
		one.reported, one.next = one.next, routing.Report{Running: one.running, Queued: len(one.waiting)}
		for node, table := range s.tables {
			report := one.reported
			report.OwnInFlight = min(s.flights[node][one], report.Running+report.Queued)
			table.TakeReport(s.world.Now, one.name, report)
		}
	}
	return true
}

func (s *RoutingSimulation) finish() RoutingResult {
	s.result.Requests = s.number
	s.result.UrgentP50, s.result.UrgentP95 = quantile(s.first[queueing.Urgent], 50), quantile(s.first[queueing.Urgent], 95)
	s.result.BatchP50, s.result.BatchP95 = quantile(s.first[queueing.Batch], 50), quantile(s.first[queueing.Batch], 95)
	s.result.CacheHits = float64(s.hits) / float64(max(1, s.blocks))
	s.result.Tokens = float64(s.tokens) / routingRunTime.Seconds()
	return s.result
}

func quantile(values []time.Duration, percent int) time.Duration {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[min(len(values)-1, len(values)*percent/100)]
}
