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
	routingEngines        = 12
	routingSlots          = 16
	routingNodes          = 8
	routingRunTime        = 60 * time.Second
	routingCacheBlocks    = 600
	routingDocumentBlocks = 24
	// documents is the number of long documents, each of which is the shared prefix of many
	// prompts. A document has routingDocumentBlocks blocks of 64 tokens.
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

// simulatedEngine runs up to routingSlots jobs at a time. It takes routingPrefill for each prompt block
// that is not cached, and routingStep for each output token.
type simulatedEngine struct {
	name    string
	running int
	waiting []*simulatedJob
	// cache and recent hold the cached blocks, the most recent first.
	cache    map[uint64]*list.Element
	recent   *list.List
	slowdown time.Duration
	// reported is the load as it was routingReportLag ago, next the one that replaces it.
	reported, next routing.Report
}

// RoutingSimulation lets eight nodes send two classes of jobs to twelve engines.
type RoutingSimulation struct {
	options         RoutingOptions
	world           *World
	engines         []*simulatedEngine
	tables          []*routing.Table
	queues          []*queueing.Queue[*simulatedJob]
	roundRobin      []int
	inFlight        []map[*simulatedEngine]int
	firstTokenTimes map[queueing.Class][]time.Duration
	hits            int
	blocks          int
	tokens          int
	jobCount        int
	result          RoutingResult
}

// RunRouting simulates the choice of engines under one policy. It runs one seed.
func RunRouting(options RoutingOptions) RoutingResult {
	s := &RoutingSimulation{options: options, world: NewWorld(options.Seed), firstTokenTimes: map[queueing.Class][]time.Duration{}}
	var backends []routing.Backend
	for number := range routingEngines {
		engine := &simulatedEngine{name: fmt.Sprintf("engine-%02d", number), cache: map[uint64]*list.Element{}, recent: list.New(), slowdown: 1}
		s.engines = append(s.engines, engine)
		backends = append(backends, routing.Backend{Name: engine.name, Service: "s", Zone: "z", Capacity: routingSlots})
	}
	if options.SlowEngine {
		s.engines[0].slowdown = 5
	}
	for number := range routingNodes {
		table := routing.NewTable("z", map[string]int{"z": routingNodes}, rand.New(rand.NewPCG(options.Seed, uint64(number))))
		table.SetBackends(backends)
		s.tables = append(s.tables, table)
		s.queues = append(s.queues, queueing.New[*simulatedJob](routingQueueCapacity, 0))
		s.roundRobin = append(s.roundRobin, number)
		s.inFlight = append(s.inFlight, map[*simulatedEngine]int{})
	}
	s.world.After(0, s.generateJob)
	s.world.Every(routingReportLag, s.report)
	s.world.Every(routingTick, func() bool {
		for node := range s.queues {
			s.placeJobs(node)
		}
		return true
	})
	s.world.RunUntil(routingRunTime)
	return s.finish()
}

// meanSlotTime returns how long a job occupies a slot on average, without cache hits.
func meanSlotTime() time.Duration {
	long := routingDocumentBlocks*routingPrefill + 200*routingStep
	short := 4*routingPrefill + 32*routingStep
	return long/3 + 2*short/3
}

func (s *RoutingSimulation) generateJob() {
	rate := s.options.Load * routingEngines * routingSlots / meanSlotTime().Seconds()
	s.world.After(time.Duration(s.world.Random.ExpFloat64()/rate*float64(time.Second)), s.generateJob)
	s.jobCount++
	job := &simulatedJob{arrived: s.world.Now, node: s.world.Random.IntN(routingNodes), class: queueing.Urgent, output: 32}
	length, first := 4, s.world.Random.Uint64()|1<<63
	if s.world.Chance(1.0 / 3) {
		// Some documents are requested much more often than the others.
		popular := min(s.world.Random.IntN(documents), s.world.Random.IntN(documents))
		job.class, job.output, length, first = queueing.Batch, 200, routingDocumentBlocks, uint64(popular+1)<<20
	}
	for block := range length {
		job.blocks = append(job.blocks, first+uint64(block))
	}
	if s.options.Policy != RoutingOwn {
		s.dispatch(job, s.baseline(job))
		return
	}
	item := &queueing.Item[*simulatedJob]{
		ID: fmt.Sprintf("%08d", s.jobCount), Tenant: "t", Class: job.class, Cost: uint64(job.output),
		Arrived: s.world.Now, Deadline: routingRunTime * 2, Value: job,
	}
	if err := s.queues[job.node].Push(item); err == nil {
		s.placeJobs(job.node)
	}
}

// baseline chooses an engine under one of the baseline policies.
func (s *RoutingSimulation) baseline(job *simulatedJob) *simulatedEngine {
	s.roundRobin[job.node]++
	best := s.engines[s.roundRobin[job.node]%routingEngines]
	if s.options.Policy == RoutingRoundRobin {
		return best
	}
	for _, engine := range s.engines {
		if s.inFlight[job.node][engine] < s.inFlight[job.node][best] {
			best = engine
		}
	}
	return best
}

// placeJobs dispatches jobs from a node's queue, as the daemon's backends duty does.
func (s *RoutingSimulation) placeJobs(node int) {
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
			index := slices.IndexFunc(s.engines, func(engine *simulatedEngine) bool { return engine.name == choice.Backend.Name })
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
	s.inFlight[job.node][target]++
	target.waiting = append(target.waiting, job)
	s.startJobs(target)
}

// startJobs fills an engine's free slots, urgent jobs first.
func (s *RoutingSimulation) startJobs(target *simulatedEngine) {
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
		missed := target.useBlocks(job.blocks)
		s.hits += len(job.blocks) - missed
		s.blocks += len(job.blocks)
		first := (time.Duration(missed)*routingPrefill + routingStep) * target.slowdown
		s.firstTokenTimes[job.class] = append(s.firstTokenTimes[job.class], s.world.Now+first-job.arrived)
		s.world.After(first+time.Duration(job.output)*routingStep*target.slowdown, func() { s.finishJob(job) })
	}
}

func (s *RoutingSimulation) finishJob(job *simulatedJob) {
	job.engine.running--
	s.tokens += job.output
	s.inFlight[job.node][job.engine]--
	s.tables[job.node].End(s.world.Now, job.engine.name, routing.Succeeded)
	s.startJobs(job.engine)
	if s.options.Policy == RoutingOwn {
		s.placeJobs(job.node)
	}
}

// useBlocks returns how many of the blocks were not cached, and caches them.
func (e *simulatedEngine) useBlocks(blocks []uint64) int {
	missed := 0
	for _, block := range blocks {
		if element, cached := e.cache[block]; cached {
			e.recent.MoveToFront(element)
			continue
		}
		missed++
		e.cache[block] = e.recent.PushFront(block)
	}
	for e.recent.Len() > routingCacheBlocks {
		delete(e.cache, e.recent.Remove(e.recent.Back()).(uint64))
	}
	return missed
}

// report sends each engine's load, as it was routingReportLag ago, to each node.
func (s *RoutingSimulation) report() bool {
	for _, engine := range s.engines {
		engine.reported, engine.next = engine.next, routing.Report{Running: engine.running, Queued: len(engine.waiting)}
		for node, table := range s.tables {
			report := engine.reported
			report.OwnInFlight = min(s.inFlight[node][engine], report.Running+report.Queued)
			table.SetReport(s.world.Now, engine.name, report)
		}
	}
	return true
}

func (s *RoutingSimulation) finish() RoutingResult {
	s.result.Requests = s.jobCount
	s.result.UrgentP50, s.result.UrgentP95 = quantile(s.firstTokenTimes[queueing.Urgent], 50), quantile(s.firstTokenTimes[queueing.Urgent], 95)
	s.result.BatchP50, s.result.BatchP95 = quantile(s.firstTokenTimes[queueing.Batch], 50), quantile(s.firstTokenTimes[queueing.Batch], 95)
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
