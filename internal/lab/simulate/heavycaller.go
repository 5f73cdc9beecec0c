package simulate

import (
	"fmt"
	"time"

	"github.com/ravenway/ravenway/internal/coordination/overload"
)

// HeavyCallerPolicy is how an overloaded entry node sheds load.
type HeavyCallerPolicy int

// Policies of RunHeavyCaller.
const (
	// ServeAll serves all requests.
	ServeAll HeavyCallerPolicy = iota
	// ShedByReadiness reports the node as not ready for further callers while its link is full,
	// see overload.Shedder.
	ShedByReadiness
	// RefuseHeavy refuses requests of heavy callers, see overload.Gate.
	RefuseHeavy
	// RefuseHeavyAndShed does both.
	RefuseHeavyAndShed
)

// HeavyCallerOptions configures a run of RunHeavyCaller: a zone of small entry nodes, callers that
// a hash spreads over them, and one caller with a large share of all requests.
type HeavyCallerOptions struct {
	Seed   uint64
	Policy HeavyCallerPolicy
	// HeavyShare is the heavy caller's share of the requests.
	HeavyShare float64
	Length     time.Duration
	// Load is the zone and its load; the zero value means ProcessorLoad.
	Load HeavyCallerLoad
	// JudgesBodies has the gate judge the link by callers' bodies, which count as full from
	// fullBodies on, instead of by all incoming bytes.
	JudgesBodies bool
	// Tells has the nodes of the zone tell each other of their links and heavy callers.
	Tells bool
	// RefusesIfListed has a node refuse requests while the balancer sends their retries back to it.
	RefusesIfListed bool
	// AsksForNoMore has a node report itself as not ready while it is busy, see
	// overload.Shedder.Busy.
	AsksForNoMore bool
}

// HeavyCallerLoad is the size and load of a zone.
type HeavyCallerLoad struct {
	Nodes, Callers int
	// Rate is the number of requests a second in the zone.
	Rate float64
	// StageWork is a node's processor time for one of the stages of a request.
	StageWork time.Duration
	// BodyBytes is the mean size of a body, and ResponseBytes the size of an engine's response;
	// both arrive over the node's link.
	BodyBytes, ResponseBytes float64
	// SmallShare is the share of light callers' requests that are small, with smallObjective. They
	// are never refused.
	SmallShare float64
	Retries    RetryTarget
}

// RetryTarget is where the retry of a refused request is sent.
type RetryTarget int

// Retry targets.
const (
	// RetryAnywhere is a random other node.
	RetryAnywhere RetryTarget = iota
	// RetryAtNext is the next node in the order of the caller's hash.
	RetryAtNext
	// RetryByHash is the node that the caller's hash chooses: the same one, as long as it is listed.
	RetryByHash
)

// ProcessorLoad is the load of a zone in which the heavy caller takes up its node's processor. On a
// fifth of a core, all stages of a request together take about 9 ms at a saturated node with 95
// requests a second.
var ProcessorLoad = HeavyCallerLoad{Nodes: 62, Callers: 103, Rate: 172, StageWork: 1500 * time.Microsecond, BodyBytes: 6200}

// LinkLoad is the load of a zone of the given number of nodes in which the heavy caller's bodies
// fill most of its node's link, and the engines' responses the rest.
func LinkLoad(nodes int, retries RetryTarget) HeavyCallerLoad {
	return HeavyCallerLoad{
		Nodes: nodes, Callers: 2 * nodes, Rate: 250, StageWork: 100 * time.Microsecond, BodyBytes: 4800, ResponseBytes: 4000,
		SmallShare: 0.3, Retries: retries,
	}
}

// HeavyCallerResult counts requests. Late ones were served, but not within the objective, counted
// from their first try.
type HeavyCallerResult struct {
	Requests, InTime, Late, Refused int
	// LightLate counts the late requests of the other callers, LightRequests all of theirs.
	LightLate, LightRequests int
	// TurnedAway counts first tries that were refused and retried at another node, Moves how often
	// the heavy caller was assigned another entry node.
	TurnedAway, Moves int
	// LowestShare is the lowest share of a caller's requests that were served in time, of callers
	// with at least minimumRequests.
	LowestShare float64
	// MostWaiting is the maximum number of requests at one node at a time.
	MostWaiting int
}

const (
	stages      = 6
	engineStage = 4
	engineTime  = 150 * time.Millisecond
	// heavyLinkRate is the capacity of a node's link in bytes a second.
	heavyLinkRate      = 1_250_000.0
	heavyLongBodyBytes = 40_000.0
	heavyObjective     = 600 * time.Millisecond
	smallObjective     = 150 * time.Millisecond
	smallEngineTime    = 30 * time.Millisecond
	smallBodyBytes     = 600
	smallResponseBytes = 800
	// fullBodies is the share of the link from which it counts as full by bodies alone.
	fullBodies = 0.3
	// minimumRequests is the number of requests from which a caller's share in time is counted.
	minimumRequests = 10
	// Bounds of the time after which a refused caller retries.
	minimumRetryDelay, maximumRetryDelay = 50 * time.Millisecond, 150 * time.Millisecond
	gateInterval                         = 50 * time.Millisecond
	shedInterval                         = 300 * time.Millisecond
	readinessInterval                    = time.Second
	// maximumMisses is the number of successive polls that a node that is not ready stays listed.
	maximumMisses = 2
	tellInterval  = 200 * time.Millisecond
)

// entryMachine is one node: a processor and a link that each serve in order of arrival.
type entryMachine struct {
	processorFreeAt, linkFreeAt time.Duration
	gate                        *overload.Gate
	shedder                     overload.Shedder
	// received counts the bytes of request bodies since the start, and incoming all bytes that
	// have arrived.
	received, incoming int64
	// waiting is the number of requests at the node.
	waiting int
	// isListed reports whether the platform sends callers here.
	isListed bool
	// misses is the number of successive polls at which the node was not ready.
	misses int
}

type heavyCallerSimulation struct {
	options  HeavyCallerOptions
	world    *World
	result   HeavyCallerResult
	machines []*entryMachine
	// heavyHome is the number of the heavy caller's entry node, or -1 before its first request.
	heavyHome int
	// requests and inTime count requests by caller.
	requests, inTime map[int]int
}

// callerRequest is one request in flight.
type callerRequest struct {
	// caller is the number of the caller; 0 is the heavy caller.
	caller     int
	isSmall    bool
	bytes      int64
	firstTryAt time.Duration
	retries    int
}

// RunHeavyCaller simulates a zone of entry nodes with one heavy caller. It runs one seed.
func RunHeavyCaller(options HeavyCallerOptions) HeavyCallerResult {
	if options.Load == (HeavyCallerLoad{}) {
		options.Load = ProcessorLoad
	}
	s := &heavyCallerSimulation{options: options, world: NewWorld(options.Seed), heavyHome: -1, requests: map[int]int{}, inTime: map[int]int{}}
	for range options.Load.Nodes {
		s.machines = append(s.machines, &entryMachine{gate: overload.NewGate(), isListed: true})
	}
	s.world.After(0, s.generateRequest)
	s.world.Every(gateInterval, s.stepGates)
	s.world.Every(shedInterval, s.stepShedders)
	s.world.Every(readinessInterval, s.pollReadiness)
	if options.Tells {
		s.world.Every(tellInterval, s.tell)
	}
	s.world.RunUntil(options.Length)
	s.result.LowestShare = 1
	for caller, count := range s.requests {
		if count >= minimumRequests {
			s.result.LowestShare = min(s.result.LowestShare, float64(s.inTime[caller])/float64(count))
		}
	}
	return s.result
}

// generateRequest generates one request and schedules the next one.
func (s *heavyCallerSimulation) generateRequest() {
	request := &callerRequest{caller: 1 + s.world.Random.IntN(s.options.Load.Callers-1), firstTryAt: s.world.Now}
	if s.world.Chance(s.options.HeavyShare) {
		request.caller = 0
	}
	request.bytes = int64(s.world.Random.ExpFloat64() * s.options.Load.BodyBytes)
	if s.world.Chance(0.02) {
		request.bytes += heavyLongBodyBytes
	}
	if load := s.options.Load; request.caller != 0 && load.SmallShare > 0 && s.world.Chance(load.SmallShare) {
		request.isSmall, request.bytes = true, smallBodyBytes
	}
	s.result.Requests++
	s.requests[request.caller]++
	if request.caller != 0 {
		s.result.LightRequests++
	}
	s.transfer(s.homeOf(request.caller), request)
	s.world.After(time.Duration(s.world.Random.ExpFloat64()/s.options.Load.Rate*float64(time.Second)), s.generateRequest)
}

// homeOf returns the number of the listed machine that a caller's hash chooses.
func (s *heavyCallerSimulation) homeOf(caller int) int {
	chosen := s.chooseByHash(caller, -1)
	if caller == 0 && chosen != s.heavyHome {
		if s.heavyHome >= 0 {
			s.result.Moves++
		}
		s.heavyHome = chosen
	}
	return chosen
}

// chooseByHash returns the number of the listed machine that a caller's hash chooses, other than
// the excluded one.
func (s *heavyCallerSimulation) chooseByHash(caller, excluded int) int {
	best, chosen := uint64(0), 0
	for number, machine := range s.machines {
		if !machine.isListed || number == excluded {
			continue
		}
		hash := hashNumber(uint64(caller)<<32 | uint64(number) ^ s.options.Seed<<16)
		if hash >= best {
			best, chosen = hash, number
		}
	}
	return chosen
}

// hashNumber returns a hash of a number.
func hashNumber(value uint64) uint64 {
	value = (value ^ value>>30) * 0xbf58476d1ce4e5b9
	value = (value ^ value>>27) * 0x94d049bb133111eb
	return value ^ value>>31
}

// transfer sends a request to a machine over the machine's link.
func (s *heavyCallerSimulation) transfer(number int, request *callerRequest) {
	machine := s.machines[number]
	machine.received += request.bytes
	machine.waiting++
	s.result.MostWaiting = max(s.result.MostWaiting, machine.waiting)
	s.carry(machine, request.bytes, func() { s.admit(number, request) })
}

// carry has bytes arrive over a machine's link, after those before them.
func (s *heavyCallerSimulation) carry(machine *entryMachine, bytes int64, done func()) {
	machine.linkFreeAt = max(machine.linkFreeAt, s.world.Now) + time.Duration(float64(bytes)/heavyLinkRate*float64(time.Second))
	s.world.After(machine.linkFreeAt-s.world.Now, func() {
		machine.incoming += bytes
		done()
	})
}

func (s *heavyCallerSimulation) admit(number int, request *callerRequest) {
	machine := s.machines[number]
	usesGate := s.options.Policy == RefuseHeavy || s.options.Policy == RefuseHeavyAndShed
	if !machine.gate.Admits(s.world.Now, fmt.Sprint(request.caller), request.bytes, !usesGate || request.isSmall) {
		s.queueStage(machine, func() { s.refuse(number, request) })
		return
	}
	s.runStages(number, request, 0)
}

// refuse answers a request with a refusal. The caller retries once, at another machine.
func (s *heavyCallerSimulation) refuse(number int, request *callerRequest) {
	s.machines[number].waiting--
	if request.retries > 0 {
		s.result.Refused++
		return
	}
	request.retries++
	s.result.TurnedAway++
	s.world.After(s.world.Between(minimumRetryDelay, maximumRetryDelay), func() {
		s.transfer(s.retryAt(number, request), request)
	})
}

// retryAt returns the number of the machine at which a request that one machine refused is retried.
func (s *heavyCallerSimulation) retryAt(refusedAt int, request *callerRequest) int {
	switch s.options.Load.Retries {
	case RetryAtNext:
		return s.chooseByHash(request.caller, refusedAt)
	case RetryByHash:
		return s.chooseByHash(request.caller, -1)
	}
	other := s.world.Random.IntN(len(s.machines) - 1)
	if other >= refusedAt {
		other++
	}
	return other
}

// queueStage queues one stage of work at a machine's processor.
func (s *heavyCallerSimulation) queueStage(machine *entryMachine, done func()) {
	machine.processorFreeAt = max(machine.processorFreeAt, s.world.Now) + s.options.Load.StageWork
	s.world.After(machine.processorFreeAt-s.world.Now, done)
}

// runStages runs the remaining stages of a request at a machine. Each stage waits for the processor;
// the transfer to the engine and the engine's own time precede one of them.
func (s *heavyCallerSimulation) runStages(number int, request *callerRequest, done int) {
	machine := s.machines[number]
	if done == stages {
		machine.waiting--
		s.recordServed(request)
		return
	}
	next := func() { s.queueStage(machine, func() { s.runStages(number, request, done+1) }) }
	if done == engineStage {
		response, time := int64(s.options.Load.ResponseBytes), engineTime
		if request.isSmall {
			response, time = smallResponseBytes, smallEngineTime
		}
		s.world.After(time, func() { s.carry(machine, response, next) })
		return
	}
	next()
}

func (s *heavyCallerSimulation) recordServed(request *callerRequest) {
	objective := heavyObjective
	if request.isSmall {
		objective = smallObjective
	}
	if s.world.Now-request.firstTryAt <= objective {
		s.result.InTime++
		s.inTime[request.caller]++
		return
	}
	s.result.Late++
	if request.caller != 0 {
		s.result.LightLate++
	}
}

func (s *heavyCallerSimulation) stepGates() bool {
	for _, machine := range s.machines {
		bytes := machine.incoming
		if s.options.JudgesBodies {
			bytes = int64(float64(machine.received) * overload.FullUtilization / fullBodies)
		}
		machine.gate.Step(s.world.Now, overload.Pressure{
			Lag: max(0, machine.processorFreeAt-s.world.Now), FrameDelay: max(0, machine.linkFreeAt-s.world.Now),
			IncomingBytes: bytes, LinkBytes: heavyLinkRate,
			RetriesReturn: s.options.Load.Retries == RetryByHash && machine.isListed && !s.options.RefusesIfListed,
		})
	}
	return true
}

// tell has the machines' states reach all of them one interval later.
func (s *heavyCallerSimulation) tell() bool {
	var zone overload.ZoneState
	for number, machine := range s.machines {
		zone.Add(overload.Key(number), machine.gate.State(s.world.Now))
	}
	s.world.After(tellInterval, func() {
		for number, machine := range s.machines {
			machine.gate.SetZone(overload.Key(number), zone)
		}
	})
	return true
}

func (s *heavyCallerSimulation) stepShedders() bool {
	if s.options.Policy != ShedByReadiness && s.options.Policy != RefuseHeavyAndShed {
		return false
	}
	for _, machine := range s.machines {
		// Frames from other nodes wait for the link and for the processor.
		delay := max(0, machine.linkFreeAt-s.world.Now) + max(0, machine.processorFreeAt-s.world.Now)
		machine.shedder.Step(s.world.Now, overload.Reading{
			Delay: delay, DelayKnown: true, CallerBytes: machine.received, LinkBytes: heavyLinkRate, Others: len(s.machines) - 1,
		})
	}
	return true
}

func (s *heavyCallerSimulation) pollReadiness() bool {
	for _, machine := range s.machines {
		machine.misses++
		if isBusy := s.options.AsksForNoMore && machine.shedder.Busy(); !isBusy && !machine.shedder.Shedding() {
			machine.misses = 0
		}
		machine.isListed = machine.misses < maximumMisses
	}
	return true
}
