package simulate

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"time"

	"github.com/ravenway/ravenway/internal/coordination/balance"
	"github.com/ravenway/ravenway/internal/coordination/registry"
	"github.com/ravenway/ravenway/internal/coordination/reservation"
)

// PromptOptions configures a run of RunPrompts.
type PromptOptions struct {
	Seed  uint64
	Nodes int
	// Rate is the number of requests a second.
	Rate float64
	// ReportAge is how old the nodes' knowledge of each other's loads becomes.
	ReportAge time.Duration
	// UsesReservations makes nodes reserve long prompts at coordinators. AreCoordinatorsGone lets
	// none of these respond.
	UsesReservations, AreCoordinatorsGone bool
	// SlowInterval is the mean time between two moments at which an engine becomes slow; 0 means
	// slowInterval.
	SlowInterval time.Duration
	Length       time.Duration
}

// PromptResult counts requests of RunPrompts.
type PromptResult struct {
	Requests int
	// Late counts first tokens after promptObjective, and Stalled the streams with a time between
	// two events above promptEventGap.
	Late, Stalled int
	// Tokens counts the prompt tokens of all requests, and Reread those of shared parts that an
	// engine read although another one holds them.
	Tokens, Reread int
	// Reservations counts requests for a reservation, and Refused those that were not granted.
	Reservations, Refused int
	// Violation is the first violated invariant, or nil.
	Violation error
}

const (
	promptEngines   = 90
	promptSlots     = 64
	promptObjective = time.Second
	promptEventGap  = 400 * time.Millisecond
	// promptReadRate is an engine's read rate in tokens a millisecond, and promptPiece how many
	// tokens it reads at a time.
	promptReadRate = 55.0
	promptPiece    = 2048
	// An engine is promptSlowdown times slower for slowTime, on average each slowInterval.
	promptSlowdown = 2.5
	slowTime       = 600 * time.Millisecond
	slowInterval   = 20 * time.Second
	// promptClump is the number of requests that arrive together, at any nodes.
	promptClump = 3
	// sharedShare of the prompts begin with one of promptParts shared parts of sharedTokens. All
	// have an exponentially distributed rest with a mean of restTokens.
	sharedShare              = 0.5
	promptParts              = 300
	sharedTokens             = 4000
	restTokens               = 6000
	minimumRest, maximumRest = 200, 40_000
	// Bounds of a stream's length.
	shortestStream, longestStream = time.Second, 4 * time.Second
	// reservationLease covers a prompt that reaches its first token in time, with a margin for one
	// that is read after it was late.
	reservationLease = 2 * promptObjective
	// maximumRefusals is the number of refusals after which a request reserves at the best instance
	// regardless of its backlog.
	maximumRefusals = 4
	// coordinatorTimeout is how long a node waits for a coordinator, and coordinatorAvoidTime how
	// long it sends requests to none afterwards.
	coordinatorTimeout   = 20 * time.Millisecond
	coordinatorAvoidTime = time.Second
	lostReleases         = 0.01
)

// simulatedPrompt is one request and then its stream.
type simulatedPrompt struct {
	balance.Request
	node, refusals               int
	number                       uint64
	choice                       balance.Choice
	arrivedAt, sentAt, startedAt time.Duration
	// unread is the number of prompt tokens that the engine has yet to read, and length that of the
	// stream.
	unread    int
	length    time.Duration
	isStalled bool
}

// readingEngine reads one prompt at a time, in order of arrival, while its streams wait.
type readingEngine struct {
	waiting                 []*simulatedPrompt
	streams                 map[*simulatedPrompt]struct{}
	heldParts               map[string]bool
	readingSince, slowUntil time.Duration
}

// promptSimulation lets entry nodes send long prompts to engines.
type promptSimulation struct {
	options PromptOptions
	world   *World
	// arrivals draws the requests and the slow engines, so that they are the same whatever the
	// nodes choose.
	arrivals *rand.Rand
	network  *Network
	tables   []*balance.Table
	engines  map[string]*readingEngine
	names    []string
	// ledger stands for those of all coordinators: each instance has one coordinator.
	ledger *reservation.Ledger
	// avoidedUntil is when each node sends requests to coordinators again.
	avoidedUntil []time.Duration
	// reported holds the nodes' loads and spilled parts as of the last report.
	reported      []balance.Loads
	reportedParts []balance.HeldPart
	// readParts are the shared parts that any engine has read.
	readParts map[string]bool
	result    PromptResult
}

// RunPrompts simulates the reading of prompts by engines that several nodes choose. It runs one
// seed.
func RunPrompts(options PromptOptions) PromptResult {
	s := &promptSimulation{
		options: options, world: NewWorld(options.Seed), arrivals: rand.New(rand.NewPCG(options.Seed, 1)), engines: map[string]*readingEngine{}, ledger: reservation.NewLedger(),
		avoidedUntil: make([]time.Duration, options.Nodes), readParts: map[string]bool{},
	}
	s.network = NewNetwork(s.world)
	var instances []registry.Instance
	for number := range promptEngines {
		one := registry.Instance{ID: fmt.Sprintf("engine-%02d", number), Service: "s", Zone: "z", Slots: promptSlots, State: registry.Ready}
		instances = append(instances, one)
		s.names = append(s.names, one.ID)
		s.engines[one.ID] = &readingEngine{streams: map[*simulatedPrompt]struct{}{}, heldParts: map[string]bool{}}
	}
	for range options.Nodes {
		table := balance.NewTable("z")
		table.SetRandom(s.world.Random.Float64)
		table.Apply(instances)
		s.tables = append(s.tables, table)
	}
	s.world.After(0, s.generate)
	s.world.Every(cmp.Or(options.SlowInterval, slowInterval)/promptEngines, s.slowOne)
	s.world.Every(options.ReportAge/2, s.report)
	s.world.RunUntil(options.Length)
	s.ledger.Prune(s.world.Now + reservationLease)
	if left := s.ledger.Count(); left > 0 && s.world.Violation == nil {
		s.world.Violation = fmt.Errorf("%d reservations outlive their leases", left)
	}
	s.result.Violation = s.world.Violation
	return s.result
}

// slowOne makes one engine slow for a while.
func (s *promptSimulation) slowOne() bool {
	s.engines[s.names[s.arrivals.IntN(promptEngines)]].slowUntil = s.world.Now + slowTime
	return true
}

// report tells all nodes the loads as of the previous report, as the load exchange does with its two
// steps.
func (s *promptSimulation) report() bool {
	total := balance.Loads{}
	for _, loads := range s.reported {
		addLoads(total, loads, 1)
	}
	var loads []balance.Loads
	var parts []balance.HeldPart
	for node, table := range s.tables {
		if s.reported != nil {
			others := maps.Clone(total)
			addLoads(others, s.reported[node], -1)
			table.SetOthersLoads(others)
		}
		table.RecordHeldParts(s.world.Now, s.reportedParts)
		loads = append(loads, table.OwnLoads())
		parts = append(parts, table.TakeSpilled()...)
	}
	s.reported, s.reportedParts = loads, parts
	return s.world.Now < s.options.Length
}

// addLoads adds loads to a sum, or subtracts them if the sign is -1.
func addLoads(sum, loads balance.Loads, sign int) {
	for key, load := range loads {
		one := sum[key]
		sum[key] = balance.Load{Tokens: one.Tokens + sign*load.Tokens, Requests: one.Requests + sign*load.Requests}
	}
}

// generate generates a clump of requests and schedules the next one.
func (s *promptSimulation) generate() {
	perClump := promptClump / s.options.Rate * float64(time.Second)
	s.world.After(time.Duration(s.arrivals.ExpFloat64()*perClump), s.generate)
	for range promptClump {
		rest := min(maximumRest, minimumRest+int(s.arrivals.ExpFloat64()*restTokens))
		s.result.Requests++
		prompt := &simulatedPrompt{node: s.arrivals.IntN(s.options.Nodes), number: uint64(s.result.Requests), arrivedAt: s.world.Now}
		prompt.Request = balance.Request{Service: "s", PromptPart: fmt.Sprint("own-", s.result.Requests), Tokens: rest, MaximumEventGap: promptEventGap}
		if s.arrivals.Float64() < sharedShare {
			prompt.PromptPart, prompt.SharedTokens = fmt.Sprint("shared-", s.arrivals.IntN(promptParts)), sharedTokens
			prompt.Tokens += sharedTokens
		}
		prompt.length = shortestStream + time.Duration(s.arrivals.Int64N(int64(longestStream-shortestStream)))
		s.result.Tokens += prompt.Tokens
		s.place(prompt)
	}
}

// place chooses an engine for a prompt, and reserves long prompts there.
func (s *promptSimulation) place(prompt *simulatedPrompt) {
	prompt.choice, _ = s.tables[prompt.node].Choose(s.world.Now, prompt.Request)
	isLong := prompt.choice.ReadTime > promptEventGap/10
	if !s.options.UsesReservations || !isLong || s.world.Now < s.avoidedUntil[prompt.node] {
		s.send(prompt)
		return
	}
	if s.options.AreCoordinatorsGone {
		s.world.After(coordinatorTimeout, func() {
			s.avoidedUntil[prompt.node] = s.world.Now + coordinatorAvoidTime
			s.send(prompt)
		})
		return
	}
	request := reservation.Request{
		Incarnation: prompt.choice.Incarnation(), Number: prompt.number, Tokens: prompt.choice.Unread,
		MaximumAhead: prompt.choice.MaximumAhead, LeaseMS: uint64(reservationLease.Milliseconds()),
	}
	if prompt.refusals == maximumRefusals {
		request.MaximumAhead = balance.UnlimitedAhead
	}
	s.network.Send("node", "coordinator", func() { s.reserve(prompt, request) })
}

func nodeName(node int) string { return fmt.Sprint("node-", node) }

// reserve lets the coordinator decide, and the node record the response.
func (s *promptSimulation) reserve(prompt *simulatedPrompt, request reservation.Request) {
	response := s.ledger.Reserve(s.world.Now, nodeName(prompt.node), request)
	s.result.Reservations++
	if response.IsGranted && response.Ahead > request.MaximumAhead {
		s.world.Check(fmt.Errorf("granted with %d tokens ahead, not %d", response.Ahead, request.MaximumAhead))
	}
	s.network.Send("coordinator", "node", func() {
		table := s.tables[prompt.node]
		table.RecordBacklog(s.world.Now, request.Incarnation, response.Backlog(request))
		if response.IsGranted {
			s.send(prompt)
			return
		}
		s.result.Refused++
		prompt.refusals++
		table.Withdraw(s.world.Now, prompt.choice)
		s.place(prompt)
	})
}

func (s *promptSimulation) send(prompt *simulatedPrompt) {
	prompt.sentAt = s.world.Now
	s.network.Send("node", "engine", func() { s.receive(s.engines[prompt.choice.ID], prompt) })
}

// receive appends a prompt to those that an engine has to read.
func (s *promptSimulation) receive(engine *readingEngine, prompt *simulatedPrompt) {
	prompt.unread = prompt.Tokens
	switch {
	case engine.heldParts[prompt.PromptPart]:
		prompt.unread -= prompt.SharedTokens
	case prompt.SharedTokens > 0 && s.readParts[prompt.PromptPart]:
		s.result.Reread += prompt.SharedTokens
	}
	if prompt.SharedTokens > 0 {
		engine.heldParts[prompt.PromptPart], s.readParts[prompt.PromptPart] = true, true
	}
	engine.waiting = append(engine.waiting, prompt)
	if len(engine.waiting) == 1 {
		engine.readingSince = s.world.Now
		s.read(engine)
	}
}

// read reads a piece of the first prompt that waits at an engine.
func (s *promptSimulation) read(engine *readingEngine) {
	prompt := engine.waiting[0]
	tokens := min(promptPiece, prompt.unread)
	took := float64(tokens) / promptReadRate * float64(time.Millisecond)
	if s.world.Now < engine.slowUntil {
		took *= promptSlowdown
	}
	s.world.After(time.Duration(took), func() {
		prompt.unread -= tokens
		for stream := range engine.streams {
			if s.world.Now-max(stream.startedAt, engine.readingSince) > promptEventGap {
				stream.isStalled = true
			}
		}
		if prompt.unread == 0 {
			engine.waiting = engine.waiting[1:]
			s.startStream(engine, prompt)
		}
		if len(engine.waiting) > 0 {
			s.read(engine)
		}
	})
}

// startStream begins the stream of a prompt that was read.
func (s *promptSimulation) startStream(engine *readingEngine, prompt *simulatedPrompt) {
	prompt.startedAt = s.world.Now
	engine.streams[prompt] = struct{}{}
	if s.world.Now-prompt.arrivedAt > promptObjective {
		s.result.Late++
	}
	table := s.tables[prompt.node]
	table.PromptRead(&prompt.choice, s.world.Now-prompt.sentAt)
	if s.options.UsesReservations && !s.world.Chance(lostReleases) {
		release := reservation.Release{Incarnation: prompt.choice.Incarnation(), Number: prompt.number}
		s.network.Send("node", "coordinator", func() { s.ledger.Release(s.world.Now, nodeName(prompt.node), release) })
	}
	s.world.After(prompt.length, func() {
		delete(engine.streams, prompt)
		if prompt.isStalled {
			s.result.Stalled++
		}
		table.StreamEnded("s", prompt.isStalled)
		table.Done(s.world.Now, prompt.choice, balance.Served)
	})
}
