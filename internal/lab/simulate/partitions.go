package simulate

import (
	"fmt"
	"slices"
	"time"

	"github.com/ravenway/ravenway/internal/coordination/enginepath"
)

// PartitionPolicy is how entry nodes that are partitioned from engines treat their callers.
type PartitionPolicy int

// Policies of RunPartitions.
const (
	// RelayConnections opens connections to engines through other entry nodes.
	RelayConnections PartitionPolicy = iota
	// MoveCallers reports the node as not ready and closes its callers' connections.
	MoveCallers
	// KeepTrying does neither.
	KeepTrying
)

// PartitionOptions configures a run of RunPartitions: entry nodes in zones that lose their ways to
// engines, callers behind a balancer that polls the nodes' readiness, and nodes that crash.
type PartitionOptions struct {
	Seed   uint64
	Policy PartitionPolicy
	// Zones, NodesPerZone and Engines are the size of the fleet, Rate the requests a second at each
	// node, KeptShare the share of callers that keep their connections.
	Zones, NodesPerZone, Engines int
	Rate                         float64
	KeptShare                    float64
	// NeverProbes is a deliberate defect: nodes do not try again to reach engines directly.
	NeverProbes bool
}

// PartitionResult counts the first attempts from partitionReaction after the beginning of the
// partition to its end, at the partitioned nodes and at the others.
type PartitionResult struct {
	Pattern                     string
	Sent, Served                int
	OtherSent, OtherServed      int
	Relayed, Probes             int
	MostRelayed, RelayingNodes  int
	SlowestRefusal, MeanOpening time.Duration
	// LateOpenings counts connections that were opened later than recoveryTime after the end, and
	// LateRelays those of them that were relayed.
	LateOpenings, LateRelays int
	Violation                error
}

const (
	partitionAt        = 5 * time.Second
	partitionEnd       = 15 * time.Second
	partitionRunEnd    = 22 * time.Second
	partitionReaction  = time.Second
	recoveryTime       = 3 * time.Second
	roundTrip          = 2 * time.Millisecond
	simulatedDial      = 250 * time.Millisecond
	simulatedHedge     = 100 * time.Millisecond
	simulatedRunTime   = 300 * time.Millisecond
	simulatedObjective = 600 * time.Millisecond
	maximumAsked       = 6
	maximumDialed      = 4
	ownTick            = 50 * time.Millisecond
	maximumLateShare   = 0.02
)

// pathNode is an entry node.
type pathNode struct {
	number, zone  int
	address       string
	tracker       *enginepath.Tracker
	peers         *enginepath.Peers
	isPartitioned bool
	// lost holds the engines that the node can't reach during the partition.
	lost     map[int]bool
	isDown   bool
	relaying int
	// misses counts successive polls that were not answered; isListed is the balancer's view.
	misses   int
	isListed bool
}

// partitionRun is one run.
type partitionRun struct {
	*World
	options PartitionOptions
	result  PartitionResult
	nodes   []*pathNode
	// byAddress holds the nodes by address.
	byAddress map[string]*pathNode
	engines   []string
	// isRefusing is set if lost ways refuse connections; otherwise they are silent.
	isRefusing bool
	isActive   bool
	openings   int
	openTime   time.Duration
}

// RunPartitions runs one simulation.
func RunPartitions(options PartitionOptions) PartitionResult {
	run := &partitionRun{World: NewWorld(options.Seed), options: options, byAddress: map[string]*pathNode{}}
	for number := range options.Engines {
		run.engines = append(run.engines, fmt.Sprintf("engine-%04d", number))
	}
	run.addNodes()
	run.planPartition()
	for _, node := range run.nodes {
		run.Every(ownTick, func() bool { return run.tick(node) })
		run.scheduleCaller(node.zone, nil)
	}
	run.Every(time.Second, run.poll)
	run.RunUntil(partitionRunEnd)
	run.finish()
	return run.result
}

func (r *partitionRun) addNodes() {
	for number := range r.options.Zones * r.options.NodesPerZone {
		zone := number % r.options.Zones
		node := &pathNode{
			number: number, zone: zone, address: fmt.Sprintf("node-%04d", number), tracker: enginepath.NewTracker(),
			peers: enginepath.NewPeers(fmt.Sprint(zone)), lost: map[int]bool{}, isListed: true,
		}
		node.tracker.SetRandom(r.Random.Float64)
		node.tracker.SetListed(r.options.Engines)
		node.peers.SetRandom(r.Random.IntN)
		r.nodes = append(r.nodes, node)
		r.byAddress[node.address] = node
	}
	for _, node := range r.nodes {
		var others []enginepath.Peer
		for _, other := range r.nodes {
			if other != node {
				others = append(others, enginepath.Peer{Address: other.address, Zone: fmt.Sprint(other.zone)})
			}
		}
		node.peers.SetNodes(others)
	}
}

// planPartition draws which nodes lose which engines, and how.
func (r *partitionRun) planPartition() {
	r.isRefusing = r.Chance(0.3)
	all := func(node *pathNode) {
		node.isPartitioned = true
		for engine := range r.engines {
			node.lost[engine] = true
		}
	}
	order := r.Random.Perm(len(r.nodes))
	switch pattern := r.Random.IntN(5); pattern {
	case 0:
		r.result.Pattern = "random share"
		for _, place := range order[:1+r.Random.IntN(len(order)-1)] {
			all(r.nodes[place])
		}
	case 1, 2:
		zones := min(pattern, r.options.Zones-1)
		r.result.Pattern = fmt.Sprintf("%d whole zones", zones)
		for _, node := range r.nodes {
			if node.zone < zones {
				all(node)
			}
		}
	case 3:
		r.result.Pattern = "half of each zone"
		for _, node := range r.nodes {
			if node.number/r.options.Zones%2 == 0 {
				all(node)
			}
		}
	case 4:
		r.result.Pattern = "each engine from some nodes"
		for engine := range r.engines {
			for _, node := range r.nodes {
				if r.Chance(0.6) {
					node.lost[engine], node.isPartitioned = true, true
				}
			}
		}
	}
	isFlapping := r.Chance(0.2)
	if isFlapping {
		r.result.Pattern += ", flapping"
	}
	r.After(partitionAt, func() { r.isActive = true })
	r.After(partitionEnd, func() { r.isActive = false })
	for at := partitionAt + time.Second; isFlapping && at < partitionEnd; at += time.Second {
		isActive := (at-partitionAt)/time.Second%2 == 0
		r.After(at, func() { r.isActive = isActive })
	}
	r.After(r.Between(partitionAt, partitionEnd-4*time.Second), func() { r.crash(r.nodes[r.Random.IntN(len(r.nodes))]) })
}

// crash takes a node down for a time, unless it is the only one that reaches all engines.
func (r *partitionRun) crash(node *pathNode) {
	whole := slices.DeleteFunc(slices.Clone(r.nodes), func(other *pathNode) bool { return other.isPartitioned || other == node })
	if len(whole) == 0 {
		return
	}
	node.isDown = true
	r.After(2*time.Second, func() { node.isDown = false })
}

// tick is the node's periodic work: its own probes.
func (r *partitionRun) tick(node *pathNode) bool {
	if node.isDown || r.options.NeverProbes {
		return true
	}
	for _, address := range node.tracker.TakeProbes(r.Now, func() []string { return r.engines }) {
		r.result.Probes++
		engine, _ := slices.BinarySearch(r.engines, address)
		r.dial(node, engine, func(bool) {})
	}
	return true
}

func (r *partitionRun) reaches(node *pathNode, engine int) bool {
	return !node.isDown && (!r.isActive || !node.lost[engine])
}

// dial makes a direct attempt to connect and records its result.
func (r *partitionRun) dial(node *pathNode, engine int, done func(opened bool)) {
	outcome, takes := enginepath.Connected, roundTrip
	switch {
	case r.reaches(node, engine):
	case r.isRefusing:
		outcome = enginepath.Refused
	default:
		outcome, takes = enginepath.Silent, simulatedDial
	}
	r.After(takes, func() {
		node.tracker.Record(r.Now, r.engines[engine], outcome, takes)
		done(outcome == enginepath.Connected)
	})
}

// relayTo asks peers, one after the other, to connect to an engine, until isOver.
func (r *partitionRun) relayTo(node *pathNode, engine int, asked []string, outcome enginepath.RelayOutcome, isOver func() bool, done func(relay *pathNode)) {
	if isOver() {
		done(nil)
		return
	}
	address, found := "", false
	if len(asked) < maximumAsked {
		address, found = node.peers.Choose(r.Now, r.engines[engine], asked)
	}
	if !found {
		node.tracker.RecordRelay(r.Now, r.engines[engine], outcome)
		done(nil)
		return
	}
	peer := r.byAddress[address]
	next := func(after time.Duration, result enginepath.RelayOutcome) {
		r.After(after, func() {
			node.peers.Release(address)
			r.relayTo(node, engine, append(asked, address), result, isOver, done)
		})
	}
	_, isLost := peer.tracker.Loss(r.Now)
	outcomeThere, age := peer.tracker.Unreachable(r.Now, r.engines[engine])
	switch {
	case peer.isDown:
		node.peers.Avoid(r.Now, address, enginepath.PeerSilent)
		next(simulatedHedge, outcome)
	case isLost:
		node.peers.Avoid(r.Now, address, enginepath.PeerLost)
		next(2*roundTrip, max(outcome, enginepath.PeersLost))
	case outcomeThere != enginepath.Connected && age < time.Second:
		node.peers.AvoidFor(r.Now, address, r.engines[engine])
		next(2*roundTrip, enginepath.EngineUnreachable)
	default:
		r.dial(peer, engine, func(opened bool) {
			if !opened {
				node.peers.AvoidFor(r.Now, address, r.engines[engine])
			}
		})
		if !r.reaches(peer, engine) {
			next(simulatedHedge, enginepath.EngineUnreachable)
			return
		}
		r.After(3*roundTrip, func() {
			if isOver() || peer.isDown {
				node.peers.Release(address)
				done(nil)
				return
			}
			node.peers.Prove(r.Now, address)
			node.tracker.RecordRelay(r.Now, r.engines[engine], enginepath.Relayed)
			r.noteRelayed(peer)
			done(peer)
			r.After(simulatedRunTime, func() {
				peer.relaying--
				node.peers.Release(address)
			})
		})
	}
}

func (r *partitionRun) noteRelayed(peer *pathNode) {
	r.result.Relayed++
	peer.relaying++
	r.result.MostRelayed = max(r.result.MostRelayed, peer.relaying)
	if r.Now > partitionEnd+recoveryTime {
		r.result.LateRelays++
	}
}

// open opens a connection to an engine, over whichever way is first.
func (r *partitionRun) open(node *pathNode, engine int, done func(opened bool)) {
	plan := node.tracker.Plan(r.Now, r.engines[engine])
	if r.options.Policy != RelayConnections {
		plan = enginepath.Plan{WithoutRelay: true}
	}
	if r.options.NeverProbes && plan.RelayDelay == 0 {
		plan.WithoutDirect = true
	}
	isDone, running := false, 0
	finish := func(opened bool) {
		running--
		if !isDone && (opened || running == 0) {
			isDone = true
			done(opened)
		}
	}
	if !plan.WithoutDirect {
		running++
		r.After(plan.DirectDelay, func() { r.dial(node, engine, finish) })
	}
	if !plan.WithoutRelay {
		running++
		r.After(plan.RelayDelay, func() {
			if isDone {
				running--
				return
			}
			r.relayTo(node, engine, nil, enginepath.NoRelay, func() bool { return isDone }, func(relay *pathNode) { finish(relay != nil) })
		})
	}
	if running == 0 {
		done(false)
	}
}

// scheduleCaller lets one caller of a zone send its next request, at the node to which its kept
// connection leads, or at a listed one.
func (r *partitionRun) scheduleCaller(zone int, kept *pathNode) {
	r.After(time.Duration(r.Random.ExpFloat64()/r.options.Rate*float64(time.Second)), func() {
		node := kept
		if node == nil || node.isDown {
			node = r.balance(zone)
		}
		r.serve(node, r.Now, maximumDialed, func(isServed bool) {
			keeps := r.Chance(r.options.KeptShare) && !node.isDown
			if _, isLost := node.tracker.Loss(r.Now); r.options.Policy == MoveCallers && isLost {
				keeps = false
			}
			if keeps {
				r.scheduleCaller(zone, node)
				return
			}
			r.scheduleCaller(zone, nil)
		})
	})
}

// balance picks a node as the platform's balancer does: a listed one of the zone, or any of the zone
// if fewer than half of them are listed.
func (r *partitionRun) balance(zone int) *pathNode {
	var ownZone, listed []*pathNode
	for _, node := range r.nodes {
		if node.zone == zone {
			ownZone = append(ownZone, node)
			if node.isListed {
				listed = append(listed, node)
			}
		}
	}
	if 2*len(listed) < len(ownZone) {
		listed = ownZone
	}
	return listed[r.Random.IntN(len(listed))]
}

// poll is the balancer's readiness check.
func (r *partitionRun) poll() bool {
	for _, node := range r.nodes {
		_, isLost := node.tracker.Loss(r.Now)
		if node.isDown || r.options.Policy == MoveCallers && isLost {
			node.misses++
		} else {
			node.misses = 0
		}
		node.isListed = node.misses < maximumMisses
	}
	return true
}

// serve tries one engine after the other until one is reached.
func (r *partitionRun) serve(node *pathNode, arrivedAt time.Duration, dials int, done func(isServed bool)) {
	if node.isDown {
		done(false)
		return
	}
	r.open(node, r.Random.IntN(len(r.engines)), func(opened bool) {
		if opened && r.Now > partitionEnd+recoveryTime {
			r.result.LateOpenings++
		}
		if _, isLost := node.tracker.Loss(r.Now); isLost && r.options.Policy != KeepTrying {
			dials = 1
		}
		if !opened && dials > 1 && r.Now-arrivedAt < simulatedObjective {
			r.serve(node, arrivedAt, dials-1, done)
			return
		}
		r.count(node, arrivedAt, opened)
		done(opened)
	})
}

// count counts a first attempt that has ended.
func (r *partitionRun) count(node *pathNode, arrivedAt time.Duration, isServed bool) {
	took := r.Now - arrivedAt
	if arrivedAt < partitionAt+partitionReaction || arrivedAt >= partitionEnd || node.isDown {
		return
	}
	isServed = isServed && took <= simulatedObjective
	if isServed {
		r.openings++
		r.openTime += took
	} else {
		r.result.SlowestRefusal = max(r.result.SlowestRefusal, took)
	}
	sent, served := &r.result.Sent, &r.result.Served
	if !node.isPartitioned {
		sent, served = &r.result.OtherSent, &r.result.OtherServed
	}
	*sent++
	if isServed {
		*served++
	}
}

func (r *partitionRun) finish() {
	if r.openings > 0 {
		r.result.MeanOpening = r.openTime / time.Duration(r.openings)
	}
	for _, node := range r.nodes {
		if !node.isPartitioned {
			r.result.RelayingNodes++
		}
	}
	// A connection that is opened while the first direct attempt is in progress is still relayed.
	if r.options.Policy == RelayConnections && float64(r.result.LateRelays) > maximumLateShare*float64(r.result.LateOpenings) {
		r.Check(fmt.Errorf("%d of %d connections were relayed later than %s after the end of the partition", r.result.LateRelays, r.result.LateOpenings, recoveryTime))
	}
	r.result.Violation = r.Violation
}
