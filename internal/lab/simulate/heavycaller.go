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
	// TakeAll serves all requests.
	TakeAll HeavyCallerPolicy = iota
	// ShedByReadiness reports the node as not ready for further callers while its link is full,
	// see overload.Shedder.
	ShedByReadiness
	// TurnAwayHeavy refuses requests of heavy callers, see overload.Gate.
	TurnAwayHeavy
	// TurnAwayAndShed does both.
	TurnAwayAndShed
)

// HeavyCallerOptions configures a run of RunHeavyCaller: a zone of small entry nodes, callers that
// a hash spreads over them, and one caller with a large share of all requests.
type HeavyCallerOptions struct {
	Seed   uint64
	Policy HeavyCallerPolicy
	// HeavyShare is the heavy caller's share of the requests.
	HeavyShare float64
	Length     time.Duration
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
	// MostWaiting is the maximum number of requests at one node at a time.
	MostWaiting int
}

// The size and load of a zone in the large deployments.
const (
	heavyNodes   = 62
	heavyCallers = 103
	// heavyRate is the number of requests a second in the zone.
	heavyRate = 172.0
	// stageWork is a node's processor time for one of the stages of a request. On a fifth of a
	// core, all stages together take some 9 ms, as measured at a saturated node with 95 requests
	// a second.
	stageWork   = 1500 * time.Microsecond
	stages      = 6
	engineStage = 4
	engineTime  = 150 * time.Millisecond
	// heavyLink is the capacity of a node's link in bytes a second.
	heavyLink      = 1_250_000.0
	heavyBody      = 6200.0
	heavyLongBody  = 40_000.0
	heavyObjective = 600 * time.Millisecond
	// Bounds of the time after which a refused caller retries.
	returnLeast, returnMost = 50 * time.Millisecond, 150 * time.Millisecond
	lagReading              = 50 * time.Millisecond
	shedReading             = 300 * time.Millisecond
	readinessPoll           = time.Second
)

// entryMachine is one node: a processor and a link that each serve in order of arrival.
type entryMachine struct {
	processorFree, linkFree time.Duration
	gate                    *overload.Gate
	shedder                 overload.Shedder
	// received counts the bytes of request bodies since the start.
	received int64
	waiting  int
	// isListed reports whether the platform sends callers here.
	isListed bool
}

type heavyCaller struct {
	options  HeavyCallerOptions
	world    *World
	result   HeavyCallerResult
	machines []*entryMachine
	// at is the number of the heavy caller's entry node, or -1 before its first request.
	at int
}

// callerRequest is one request in flight.
type callerRequest struct {
	caller  int
	bytes   int64
	first   time.Duration
	retries int
}

// RunHeavyCaller simulates a zone of entry nodes with one heavy caller. It runs one seed.
func RunHeavyCaller(options HeavyCallerOptions) HeavyCallerResult {
	s := &heavyCaller{options: options, world: NewWorld(options.Seed), at: -1}
	for range heavyNodes {
		s.machines = append(s.machines, &entryMachine{gate: overload.NewGate(), isListed: true})
	}
	s.world.After(0, s.arrive)
	s.world.Every(lagReading, s.readLag)
	s.world.Every(shedReading, s.readLinks)
	s.world.Every(readinessPoll, s.poll)
	s.world.RunUntil(options.Length)
	return s.result
}

// arrive generates one request and schedules the next one.
func (s *heavyCaller) arrive() {
	request := &callerRequest{caller: 1 + s.world.Random.IntN(heavyCallers-1), first: s.world.Now}
	if s.world.Chance(s.options.HeavyShare) {
		request.caller = 0
	}
	request.bytes = int64(s.world.Random.ExpFloat64() * heavyBody)
	if s.world.Chance(0.02) {
		request.bytes += heavyLongBody
	}
	s.result.Requests++
	if request.caller != 0 {
		s.result.LightRequests++
	}
	s.come(s.homeOf(request.caller), request)
	s.world.After(time.Duration(s.world.Random.ExpFloat64()/heavyRate*float64(time.Second)), s.arrive)
}

// homeOf returns the number of the listed machine that a caller's hash chooses.
func (s *heavyCaller) homeOf(caller int) int {
	best, chosen := uint64(0), 0
	for number, machine := range s.machines {
		if !machine.isListed {
			continue
		}
		hash := mix(uint64(caller)<<32 | uint64(number) ^ s.options.Seed<<16)
		if hash >= best {
			best, chosen = hash, number
		}
	}
	if caller == 0 && chosen != s.at {
		if s.at >= 0 {
			s.result.Moves++
		}
		s.at = chosen
	}
	return chosen
}

// mix hashes a number.
func mix(value uint64) uint64 {
	value = (value ^ value>>30) * 0xbf58476d1ce4e5b9
	value = (value ^ value>>27) * 0x94d049bb133111eb
	return value ^ value>>31
}

// come transfers a request to a machine over the machine's link.
func (s *heavyCaller) come(number int, request *callerRequest) {
	machine := s.machines[number]
	machine.received += request.bytes
	machine.waiting++
	s.result.MostWaiting = max(s.result.MostWaiting, machine.waiting)
	machine.linkFree = max(machine.linkFree, s.world.Now) + time.Duration(float64(request.bytes)/heavyLink*float64(time.Second))
	s.world.After(machine.linkFree-s.world.Now, func() { s.admit(number, request) })
}

func (s *heavyCaller) admit(number int, request *callerRequest) {
	machine := s.machines[number]
	usesGate := s.options.Policy == TurnAwayHeavy || s.options.Policy == TurnAwayAndShed
	if !machine.gate.LetsIn(s.world.Now, fmt.Sprint(request.caller), request.bytes, !usesGate) {
		s.work(machine, func() { s.turnAway(number, request) })
		return
	}
	s.stage(number, request, 0)
}

// turnAway refuses a request. The caller retries once, at another machine.
func (s *heavyCaller) turnAway(number int, request *callerRequest) {
	s.machines[number].waiting--
	if request.retries > 0 {
		s.result.Refused++
		return
	}
	request.retries++
	s.result.TurnedAway++
	s.world.After(s.world.Between(returnLeast, returnMost), func() {
		other := s.world.Random.IntN(len(s.machines) - 1)
		if other >= number {
			other++
		}
		s.come(other, request)
	})
}

// work queues one stage of work at a machine's processor.
func (s *heavyCaller) work(machine *entryMachine, done func()) {
	machine.processorFree = max(machine.processorFree, s.world.Now) + stageWork
	s.world.After(machine.processorFree-s.world.Now, done)
}

// stage runs the remaining stages of a request at a machine. Each stage waits for the processor;
// the transfer to the engine and the engine's own time precede one of them.
func (s *heavyCaller) stage(number int, request *callerRequest, done int) {
	machine := s.machines[number]
	if done == stages {
		machine.waiting--
		s.served(request)
		return
	}
	next := func() { s.work(machine, func() { s.stage(number, request, done+1) }) }
	if done == engineStage {
		s.world.After(engineTime, next)
		return
	}
	next()
}

func (s *heavyCaller) served(request *callerRequest) {
	if s.world.Now-request.first <= heavyObjective {
		s.result.InTime++
		return
	}
	s.result.Late++
	if request.caller != 0 {
		s.result.LightLate++
	}
}

func (s *heavyCaller) readLag() bool {
	for _, machine := range s.machines {
		machine.gate.Step(s.world.Now, overload.Pressure{
			Lag: max(0, machine.processorFree-s.world.Now), FrameDelay: max(0, machine.linkFree-s.world.Now),
			BodyBytes: machine.received, LinkBytes: heavyLink,
		})
	}
	return true
}

func (s *heavyCaller) readLinks() bool {
	if s.options.Policy != ShedByReadiness && s.options.Policy != TurnAwayAndShed {
		return false
	}
	for _, machine := range s.machines {
		// Frames from other nodes wait for the link and for the processor.
		delay := max(0, machine.linkFree-s.world.Now) + max(0, machine.processorFree-s.world.Now)
		machine.shedder.Step(s.world.Now, overload.Reading{
			Delay: delay, DelayKnown: true, CallerBytes: machine.received, LinkBytes: heavyLink, Others: len(s.machines) - 1,
		})
	}
	return true
}

func (s *heavyCaller) poll() bool {
	for _, machine := range s.machines {
		machine.isListed = !machine.shedder.Shedding()
	}
	return true
}
