package simulate

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/ravenway/ravenway/internal/coordination/membership"
	"github.com/ravenway/ravenway/internal/coordination/ratelimit"
	"github.com/ravenway/ravenway/internal/coordination/registry"
	"github.com/ravenway/ravenway/internal/lab/limitcheck"
)

// LimitPolicy is how nodes respect the rate limits that engines name.
type LimitPolicy string

// Policies of RunLimits.
const (
	// EachForItself lets each node use the whole limit.
	EachForItself LimitPolicy = "each_for_itself"
	// EqualParts divides the limit by the number of nodes that a node knows.
	EqualParts LimitPolicy = "equal_parts"
	// FewSenders lets as many nodes send as the limit allows requests a second, chosen by
	// rendezvous hashing, each with an equal part of the limit.
	FewSenders LimitPolicy = "few_senders"
	// IssuerPermits lets one node issue permits, as ratelimit.Limits does.
	IssuerPermits LimitPolicy = "holder_permits"
)

// LimitOptions configures a run of RunLimits.
type LimitOptions struct {
	Seed   uint64
	Policy LimitPolicy
	Nodes  int
	// RateLimit is the limit that each engine names, in requests a second.
	RateLimit float64
	// IsSkewed sends four of five requests to an eighth of the nodes.
	IsSkewed bool
	// Faults ends, freezes, suspends and partitions nodes.
	Faults bool
	// IsUnsettled lets engines change and end their limits, restart, and fail requests without
	// naming a limit, and delays and loses messages between nodes.
	IsUnsettled bool
}

// LimitResult is the result of RunLimits.
type LimitResult struct {
	*World
	// MaximumReceived is the number of requests that one engine received in its fullest 4 s, Allowed the
	// number that it may receive.
	MaximumReceived, Allowed int
	// Arrived is the number of requests that reached the engines, Capacity the number that their limits
	// allowed.
	Arrived  int
	Capacity float64
	// Messages and Bytes count the messages between nodes and their size.
	Messages, Bytes int
	// Waits are the times that the requests with a permit waited before they were sent.
	Waits []time.Duration
}

// Used returns the share of the limits that was used.
func (r LimitResult) Used() float64 { return float64(r.Arrived) / r.Capacity }

const (
	limitZones   = 3
	limitEngines = 4
	// limitWarmUp is the time that the nodes have to learn of each other before the engines name
	// limits.
	limitWarmUp = 5 * time.Second
	limitLength = 60 * time.Second
	// limitDemandFactor is the demand as a multiple of the limits.
	limitDemandFactor = 3
	// limitMaximumWait is how long a request waits for a permit, limitIssuerTimeout how long a node
	// waits for a response of the issuer.
	limitMaximumWait, limitIssuerTimeout = 100 * time.Millisecond, 300 * time.Millisecond
	limitHelloInterval                   = 600 * time.Millisecond
	limitLiveTimeout                     = 2500 * time.Millisecond
	limitFaultInterval                   = 5 * time.Second
	// Sizes of messages with their frames, in bytes.
	limitRequestBytes, limitResponseBytes, limitUpdateBytes = 110, 60, 45
)

type limitWorld struct {
	*World
	options LimitOptions
	result  *LimitResult
	nodes   []*limitNode
	engines []*limitEngine
	byName  map[string]*limitNode
	// liveNodes are the live nodes that the control nodes of each side of a partition report.
	liveNodes  [2][]ratelimit.Node
	lastHellos [2]map[string]time.Duration
	// isZonePartitioned reports whether the nodes of zone 0 are partitioned from the others,
	// isCorePartitioned whether all nodes are partitioned from the control nodes.
	isZonePartitioned, isCorePartitioned bool
}

// limitNode is an entry node.
type limitNode struct {
	world  *limitWorld
	number int
	name   string
	zone   string
	limits *ratelimit.Limits
	// incarnation counts its starts; isUp reports whether it runs.
	incarnation int
	isUp        bool
	clock       machineClock
	// isPartitioned reports whether it is partitioned from all nodes and control nodes. It still
	// reaches the engines.
	isPartitioned bool
	// lastListAt is when the node last received a list of live nodes, knownNodes that list.
	lastListAt time.Duration
	knownNodes []ratelimit.Node
	// nextSendAt is when the node may send an engine its next request under a policy without permits.
	nextSendAt   map[registry.Incarnation]time.Duration
	isLimitKnown map[registry.Incarnation]bool
	// staleIncarnations are the incarnations that the node knows of engines that have restarted
	// since.
	staleIncarnations map[*limitEngine]registry.Incarnation
}

// RunLimits simulates entry nodes that respect the rate limits of engines. It runs one seed.
func RunLimits(options LimitOptions) LimitResult {
	world := NewWorld(options.Seed)
	result := &LimitResult{World: world}
	w := &limitWorld{World: world, options: options, result: result, byName: map[string]*limitNode{}}
	for side := range w.lastHellos {
		w.lastHellos[side] = map[string]time.Duration{}
	}
	for number := range options.Nodes {
		node := &limitNode{world: w, number: number, name: fmt.Sprintf("entry-%d", number), zone: fmt.Sprintf("zone-%d", number%limitZones)}
		w.nodes, w.byName[node.name] = append(w.nodes, node), node
		node.start()
	}
	for number := range limitEngines {
		engine := &limitEngine{
			incarnation: registry.Incarnation{ID: fmt.Sprintf("engine-%d-%d", number, options.Seed)}, zone: fmt.Sprintf("zone-%d", number%limitZones),
			perSecond: options.RateLimit,
		}
		engine.startIncarnation(w.Now)
		w.engines = append(w.engines, engine)
		w.After(limitWarmUp, func() {
			engine.isNamed = true
			engine.record().AddLimit(w.Now, engine.perSecond)
			if options.IsUnsettled {
				w.changeEngine(engine)
			}
		})
	}
	w.Every(limitHelloInterval/6, func() bool { w.updateLiveNodes(); return true })
	w.After(limitWarmUp, w.startRequests)
	if options.Faults {
		w.After(limitWarmUp+limitFaultInterval, w.injectFault)
	}
	w.RunUntil(limitWarmUp + limitLength)
	w.summarize()
	return *result
}

// start starts a new process of the node, which knows of no limits and no nodes.
func (n *limitNode) start() {
	w := n.world
	n.incarnation++
	n.isUp, n.clock, n.knownNodes, n.lastListAt = true, machineClock{startedAt: w.Now}, nil, w.Now
	n.limits = ratelimit.New(n.name)
	n.nextSendAt, n.isLimitKnown, n.staleIncarnations = map[registry.Incarnation]time.Duration{}, map[registry.Incarnation]bool{}, map[*limitEngine]registry.Incarnation{}
	incarnation := n.incarnation
	w.After(w.Between(0, limitHelloInterval), func() {
		w.Every(limitHelloInterval, func() bool {
			if n.incarnation != incarnation {
				return false
			}
			n.run(n.hello)
			return true
		})
	})
}

// now returns the time of the node's monotonic clock.
func (n *limitNode) now() time.Duration { return time.Minute + n.clock.read(n.world.Now) }

// run runs an action of the node's process, or once the process has resumed if it is paused. The
// action is dropped if the process ends before.
func (n *limitNode) run(action func()) {
	incarnation := n.incarnation
	var attempt func()
	attempt = func() {
		switch {
		case !n.isUp || n.incarnation != incarnation:
		case n.clock.isPaused(n.world.Now):
			n.world.After(n.clock.pausedUntil-n.world.Now+n.world.Between(0, time.Millisecond), attempt)
		default:
			action()
		}
	}
	attempt()
}

// after runs an action of the node's current process after a delay.
func (n *limitNode) after(delay time.Duration, action func()) {
	incarnation := n.incarnation
	n.world.After(delay, func() {
		if n.incarnation == incarnation {
			n.run(action)
		}
	})
}

func (n *limitNode) side() int {
	if n.world.isZonePartitioned && n.zone == "zone-0" {
		return 1
	}
	return 0
}

// reaches reports whether a message from this node reaches another one now.
func (n *limitNode) reaches(other *limitNode) bool {
	return n == other || !n.isPartitioned && !other.isPartitioned && n.side() == other.side() && other.isUp
}

// hello reports the node to the control nodes of its side, and receives the list of live nodes.
func (n *limitNode) hello() {
	w, side := n.world, n.side()
	if n.isPartitioned || w.isCorePartitioned {
		if w.Now-n.lastListAt > limitLiveTimeout {
			n.limits.SetReliable(n.now(), false)
		}
		return
	}
	w.lastHellos[side][n.name] = w.Now
	list := w.liveNodes[side]
	n.lastListAt = w.Now
	if n.knownNodes == nil {
		n.initialExchange(list)
	}
	if len(list) != len(n.knownNodes) || len(list) > 0 && &list[0] != &n.knownNodes[0] {
		n.knownNodes = list
		n.limits.SetNodes(n.now(), list)
	}
	n.limits.SetReliable(n.now(), slices.ContainsFunc(list, func(live ratelimit.Node) bool { return live.Address == n.name }))
}

// initialExchange performs the initial exchange of a node that has started: the first node of its
// zone that it reaches sends it the limits in effect.
func (n *limitNode) initialExchange(list []ratelimit.Node) {
	for _, live := range list {
		other := n.world.byName[live.Address]
		if other == n || other.zone != n.zone || !n.reaches(other) {
			continue
		}
		n.after(n.world.Between(100*time.Millisecond, 400*time.Millisecond), func() {
			other.run(func() {
				updates := ratelimit.ForSending(other.now(), other.limits.ActiveUpdates())
				known := maps.Clone(other.isLimitKnown)
				other.sendMessage(n, limitUpdateBytes*len(updates), func() {
					n.limits.Receive(n.now(), ratelimit.Received(n.now(), updates))
					maps.Copy(n.isLimitKnown, known)
				})
			})
		})
		return
	}
}

// updateLiveNodes updates the lists of live nodes that have changed.
func (w *limitWorld) updateLiveNodes() {
	for side := range w.liveNodes {
		var live []ratelimit.Node
		for _, node := range w.nodes {
			if at, isKnown := w.lastHellos[side][node.name]; isKnown && w.Now-at <= limitLiveTimeout {
				live = append(live, ratelimit.Node{Address: node.name, Zone: node.zone})
			}
		}
		if !slices.Equal(live, w.liveNodes[side]) {
			w.liveNodes[side] = live
		}
	}
}

func (w *limitWorld) startRequests() {
	for _, engine := range w.engines {
		var next func()
		next = func() {
			node := w.drawNode()
			node.run(func() { node.sendIfAllowed(engine) })
			w.After(w.requestInterval(), next)
		}
		w.After(w.requestInterval(), next)
	}
}

func (w *limitWorld) requestInterval() time.Duration {
	return time.Duration(w.Random.ExpFloat64() / (limitDemandFactor * w.options.RateLimit) * float64(time.Second))
}

func (w *limitWorld) drawNode() *limitNode {
	if w.options.IsSkewed && w.Chance(0.8) {
		return w.nodes[w.Random.IntN(max(1, len(w.nodes)/8))]
	}
	return w.nodes[w.Random.IntN(len(w.nodes))]
}

// sendIfAllowed sends a request to an engine if the policy permits.
func (n *limitNode) sendIfAllowed(engine *limitEngine) {
	if n.world.options.Policy == IssuerPermits {
		n.requestPermit(engine)
		return
	}
	rate, interval, incarnation := n.world.options.RateLimit, time.Duration(0), n.knownIncarnation(engine)
	switch live := addresses(n.knownNodes); {
	case !n.isLimitKnown[incarnation]:
		n.send(engine, incarnation)
		return
	case n.world.options.Policy == EachForItself:
	case n.world.options.Policy == EqualParts:
		rate /= float64(max(1, len(live)))
	case n.world.options.Policy == FewSenders:
		senders := min(max(1, len(live)), max(1, int(rate)))
		if rank := slices.Index(membership.Rank(incarnation.ID, live), n.name); rank < 0 || rank >= senders {
			return
		}
		rate /= float64(senders)
	}
	interval = time.Duration(float64(time.Second) / rate)
	if n.now() < n.nextSendAt[incarnation] {
		return
	}
	n.nextSendAt[incarnation] = n.now() + interval
	n.send(engine, incarnation)
}

func addresses(nodes []ratelimit.Node) []string {
	names := make([]string, 0, len(nodes))
	for _, node := range nodes {
		names = append(names, node.Address)
	}
	return names
}

// requestPermit requests a permit from the issuer of the engine's permits, and sends the request
// once the permit is granted.
func (n *limitNode) requestPermit(engine *limitEngine) {
	startedAt, incarnation := n.now(), n.knownIncarnation(engine)
	request, issuerName, isLimited := n.limits.RequestPermit(startedAt, incarnation, engine.zone, ratelimit.PermitNeeds{MaximumWaitMS: uint64(limitMaximumWait.Milliseconds())})
	if !isLimited {
		n.send(engine, incarnation)
		return
	}
	if headroom, _ := n.limits.Headroom(startedAt, incarnation); headroom.Wait > limitMaximumWait {
		return
	}
	issuer := n.world.byName[issuerName]
	if issuer == nil {
		n.limits.RecordNoResponse(startedAt, incarnation)
		return
	}
	isDone := false
	n.sendMessage(issuer, limitRequestBytes, func() {
		response := issuer.limits.Grant(issuer.now(), n.name, request)
		issuer.sendMessage(n, limitResponseBytes, func() {
			if !isDone {
				isDone = true
				n.handlePermitResponse(engine, incarnation, response, startedAt)
			}
		})
	})
	n.after(limitIssuerTimeout, func() {
		if !isDone {
			isDone = true
			n.limits.RecordNoResponse(n.now(), incarnation)
		}
	})
}

// handlePermitResponse handles an issuer's response, and sends the request if a permit was granted
// in time.
func (n *limitNode) handlePermitResponse(engine *limitEngine, incarnation registry.Incarnation, response ratelimit.PermitResponse, startedAt time.Duration) {
	n.limits.RecordResponse(n.now(), incarnation, response)
	if !response.IsGranted {
		return
	}
	n.after(time.Duration(response.DelayMS)*time.Millisecond, func() {
		if n.now()-startedAt <= limitMaximumWait+ratelimit.PermitLifetime {
			n.world.result.Waits = append(n.world.result.Waits, n.now()-startedAt)
			n.send(engine, incarnation)
		}
	})
}

// sendMessage runs an action at another node, if the message reaches it.
func (n *limitNode) sendMessage(to *limitNode, size int, deliver func()) {
	w := n.world
	if n == to {
		deliver()
		return
	}
	w.result.Messages++
	w.result.Bytes += size
	incarnation := to.incarnation
	delay, isDelivered := w.delay(time.Millisecond, 5*time.Millisecond)
	if !isDelivered {
		return
	}
	w.After(delay, func() {
		if n.reaches(to) && to.incarnation == incarnation {
			to.run(deliver)
		}
	})
}

// send sends a request to an incarnation of an engine, and learns the limit from its response.
func (n *limitNode) send(engine *limitEngine, incarnation registry.Incarnation) {
	w := n.world
	signal := w.respond(engine, n, w.Now+time.Millisecond)
	writtenAt := n.now()
	n.after(w.Between(20*time.Millisecond, 200*time.Millisecond), func() {
		n.isLimitKnown[incarnation] = signal.IsNamed
		n.limits.Learn(n.now(), incarnation, signal, writtenAt)
		if updates := n.limits.TakeUpdates(); len(updates) > 0 {
			n.sendUpdates(updates)
		}
	})
}

// sendUpdates sends updates to all reachable nodes, as the load exchange does.
func (n *limitNode) sendUpdates(updates []ratelimit.Update) {
	w := n.world
	for position := range updates {
		updates[position].AgeMS = uint64((n.now() - updates[position].At).Milliseconds())
	}
	for _, other := range w.nodes {
		if other == n {
			continue
		}
		delay, isDelivered := w.delay(100*time.Millisecond, 400*time.Millisecond)
		if !isDelivered {
			continue
		}
		incarnation := other.incarnation
		w.result.Messages++
		w.result.Bytes += limitUpdateBytes * len(updates)
		w.After(delay, func() {
			if n.reaches(other) && other.incarnation == incarnation {
				other.run(func() {
					other.limits.Receive(other.now(), ratelimit.Received(other.now(), slices.Clone(updates)))
					for _, update := range updates {
						other.isLimitKnown[update.Incarnation] = true
					}
				})
			}
		})
	}
}

// injectFault injects one fault and schedules the next one.
func (w *limitWorld) injectFault() {
	w.After(w.Between(limitFaultInterval/2, limitFaultInterval*3/2), w.injectFault)
	node := w.nodes[w.Random.IntN(len(w.nodes))]
	duration := w.Between(time.Second, 8*time.Second)
	kinds := []func(){
		func() { w.stopNode(node, duration) },
		func() {
			w.Fault("freeze")
			node.clock.freeze(w.Now, duration)
		},
		func() {
			w.Fault("suspend")
			node.clock.suspend(w.Now, duration)
		},
		func() {
			w.Fault("node_cut")
			node.isPartitioned = true
			w.After(duration, func() { node.isPartitioned = false })
		},
		func() {
			w.Fault("zone_cut")
			w.isZonePartitioned = true
			w.After(duration, func() { w.isZonePartitioned = false })
		},
		func() {
			w.Fault("core_cut")
			w.isCorePartitioned = true
			w.After(duration, func() { w.isCorePartitioned = false })
		},
	}
	kinds[w.Random.IntN(len(kinds))]()
}

// stopNode ends a node's process, and starts a new one later.
func (w *limitWorld) stopNode(node *limitNode, duration time.Duration) {
	if !node.isUp {
		return
	}
	w.Fault("end")
	node.isUp = false
	node.incarnation++
	w.After(duration, node.start)
}

// summarize checks the requests that each incarnation of each engine received against its limits.
func (w *limitWorld) summarize() {
	fullest := limitcheck.Usage{}
	for _, engine := range w.engines {
		for _, record := range engine.records {
			use := record.Usage(w.Now)
			w.result.Arrived += use.Arrived
			w.result.Capacity += use.Capacity
			if use.Arrived > 0 {
				fullest.AddWindow(use.Received, use.Allowed)
			}
			if use.Received > use.Allowed {
				w.Check(fmt.Errorf("an engine received %d requests in %s, its limit allowed %d", use.Received, limitcheck.Window, use.Allowed))
			}
		}
	}
	w.result.MaximumReceived, w.result.Allowed = fullest.Received, fullest.Allowed
}

// WaitQuantile returns the quantile of Waits for the given part, which is between 0 and 1.
func (r LimitResult) WaitQuantile(part float64) time.Duration {
	if len(r.Waits) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(r.Waits))
	return sorted[min(len(sorted)-1, int(math.Floor(part*float64(len(sorted)))))]
}
