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
	// HolderPermits lets one node issue permits, as ratelimit.Limits does.
	HolderPermits LimitPolicy = "holder_permits"
)

// LimitOptions configures a run of RunLimits.
type LimitOptions struct {
	Seed   uint64
	Policy LimitPolicy
	Nodes  int
	// PerSecond is the limit that each engine names, in requests a second.
	PerSecond float64
	// IsOneSided sends four of five requests to an eighth of the nodes.
	IsOneSided bool
	Faults     bool
	// IsUnsettled lets engines change and end their limits, restart, and fail requests without
	// naming a limit, and delays and loses messages between nodes.
	IsUnsettled bool
}

// LimitResult is the result of RunLimits.
type LimitResult struct {
	*World
	// Worst is the number of requests that one engine received in its fullest 4 s, Allowed the
	// number that it may receive.
	Worst, Allowed int
	// Got is the number of requests that reached the engines, Room the number that their limits
	// allowed.
	Got  int
	Room float64
	// Messages and Bytes count the messages between nodes and their size.
	Messages, Bytes int
	// Waits are the times that the requests with a permit waited before they were sent.
	Waits []time.Duration
}

// Used returns the share of the limits that was used.
func (r LimitResult) Used() float64 { return float64(r.Got) / r.Room }

const (
	limitZones   = 3
	limitEngines = 4
	// limitWarmUp is the time that the nodes have to learn of each other before the engines name
	// limits.
	limitWarmUp = 5 * time.Second
	limitLength = 60 * time.Second
	// limitDemand is the demand as a multiple of the limits.
	limitDemand = 3
	// limitPatience is how long a request waits for a permit, limitTimeout how long a node waits
	// for a response of the issuer.
	limitPatience, limitTimeout = 100 * time.Millisecond, 300 * time.Millisecond
	limitHello                  = 600 * time.Millisecond
	limitAliveFor               = 2500 * time.Millisecond
	limitFaultEvery             = 5 * time.Second
	// Sizes of messages with their frames, in bytes.
	limitAskBytes, limitAnswerBytes, limitWordBytes = 110, 60, 45
)

type limitWorld struct {
	*World
	options LimitOptions
	result  *LimitResult
	nodes   []*limitNode
	engines []*limitEngine
	byName  map[string]*limitNode
	// lists are the live nodes that the control nodes of each side of a partition report.
	lists [2][]ratelimit.Node
	heard [2]map[string]time.Duration
	// isZoneCut reports whether the nodes of zone 0 are partitioned from the others, isCoreCut
	// whether all nodes are partitioned from the control nodes.
	isZoneCut, isCoreCut bool
}

// limitNode is an entry node.
type limitNode struct {
	world  *limitWorld
	number int
	name   string
	zone   string
	limits *ratelimit.Limits
	// process counts its starts; isUp reports whether it runs.
	process int
	isUp    bool
	clock   machineClock
	// isCut reports whether it is partitioned from all nodes and control nodes. It still reaches
	// the engines.
	isCut  bool
	toldAt time.Duration
	told   []ratelimit.Node
	next   map[registry.Life]time.Duration
	isTold map[registry.Life]bool
	// olderLives are the incarnations that the node knows of engines that have restarted since.
	olderLives map[*limitEngine]registry.Life
}

// RunLimits simulates entry nodes that respect the rate limits of engines. It runs one seed.
func RunLimits(options LimitOptions) LimitResult {
	world := NewWorld(options.Seed)
	result := &LimitResult{World: world}
	w := &limitWorld{World: world, options: options, result: result, byName: map[string]*limitNode{}}
	for side := range w.heard {
		w.heard[side] = map[string]time.Duration{}
	}
	for number := range options.Nodes {
		node := &limitNode{world: w, number: number, name: fmt.Sprintf("entry-%d", number), zone: fmt.Sprintf("zone-%d", number%limitZones)}
		w.nodes, w.byName[node.name] = append(w.nodes, node), node
		node.start()
	}
	for number := range limitEngines {
		engine := &limitEngine{
			life: registry.Life{ID: fmt.Sprintf("engine-%d-%d", number, options.Seed)}, zone: fmt.Sprintf("zone-%d", number%limitZones),
			perSecond: options.PerSecond,
		}
		engine.begin(w.Now)
		w.engines = append(w.engines, engine)
		w.After(limitWarmUp, func() {
			engine.isNamed = true
			engine.record().Name(w.Now, engine.perSecond)
			if options.IsUnsettled {
				w.unsettle(engine)
			}
		})
	}
	w.Every(limitHello/6, func() bool { w.listLive(); return true })
	w.After(limitWarmUp, w.beginRequests)
	if options.Faults {
		w.After(limitWarmUp+limitFaultEvery, w.disturb)
	}
	w.RunUntil(limitWarmUp + limitLength)
	w.judge()
	return *result
}

// start starts a new process of the node, which knows of no limits and no nodes.
func (n *limitNode) start() {
	w := n.world
	n.process++
	n.isUp, n.clock, n.told, n.toldAt = true, machineClock{bootedAt: w.Now}, nil, w.Now
	n.limits = ratelimit.New(n.name)
	n.next, n.isTold, n.olderLives = map[registry.Life]time.Duration{}, map[registry.Life]bool{}, map[*limitEngine]registry.Life{}
	process := n.process
	w.After(w.Between(0, limitHello), func() {
		w.Every(limitHello, func() bool {
			if n.process != process {
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
	process := n.process
	var attempt func()
	attempt = func() {
		switch {
		case !n.isUp || n.process != process:
		case n.clock.stands(n.world.Now):
			n.world.After(n.clock.standsUntil-n.world.Now+n.world.Between(0, time.Millisecond), attempt)
		default:
			action()
		}
	}
	attempt()
}

// after runs an action of the node's current process after a delay.
func (n *limitNode) after(delay time.Duration, action func()) {
	process := n.process
	n.world.After(delay, func() {
		if n.process == process {
			n.run(action)
		}
	})
}

func (n *limitNode) side() int {
	if n.world.isZoneCut && n.zone == "zone-0" {
		return 1
	}
	return 0
}

// reaches reports whether a message from this node reaches another one now.
func (n *limitNode) reaches(other *limitNode) bool {
	return n == other || !n.isCut && !other.isCut && n.side() == other.side() && other.isUp
}

// hello reports the node to the control nodes of its side, and receives the list of live nodes.
func (n *limitNode) hello() {
	w, side := n.world, n.side()
	if n.isCut || w.isCoreCut {
		if w.Now-n.toldAt > limitAliveFor {
			n.limits.SetSure(n.now(), false)
		}
		return
	}
	w.heard[side][n.name] = w.Now
	list := w.lists[side]
	n.toldAt = w.Now
	if n.told == nil {
		n.greet(list)
	}
	if len(list) != len(n.told) || len(list) > 0 && &list[0] != &n.told[0] {
		n.told = list
		n.limits.SetNodes(n.now(), list)
	}
	n.limits.SetSure(n.now(), slices.ContainsFunc(list, func(live ratelimit.Node) bool { return live.Address == n.name }))
}

// greet performs the initial exchange of a node that has started: the first node of its zone that
// it reaches sends it the limits in effect.
func (n *limitNode) greet(list []ratelimit.Node) {
	for _, live := range list {
		other := n.world.byName[live.Address]
		if other == n || other.zone != n.zone || !n.reaches(other) {
			continue
		}
		n.after(n.world.Between(100*time.Millisecond, 400*time.Millisecond), func() {
			other.run(func() {
				words := ratelimit.ForSending(other.now(), other.limits.InForce())
				known := maps.Clone(other.isTold)
				other.message(n, limitWordBytes*len(words), func() {
					n.limits.Hear(n.now(), ratelimit.Received(n.now(), words))
					maps.Copy(n.isTold, known)
				})
			})
		})
		return
	}
}

// listLive updates the lists of live nodes that have changed.
func (w *limitWorld) listLive() {
	for side := range w.lists {
		var live []ratelimit.Node
		for _, node := range w.nodes {
			if at, isHeard := w.heard[side][node.name]; isHeard && w.Now-at <= limitAliveFor {
				live = append(live, ratelimit.Node{Address: node.name, Zone: node.zone})
			}
		}
		if !slices.Equal(live, w.lists[side]) {
			w.lists[side] = live
		}
	}
}

func (w *limitWorld) beginRequests() {
	for _, engine := range w.engines {
		var next func()
		next = func() {
			node := w.drawNode()
			node.run(func() { node.want(engine) })
			w.After(w.pause(), next)
		}
		w.After(w.pause(), next)
	}
}

func (w *limitWorld) pause() time.Duration {
	return time.Duration(w.Random.ExpFloat64() / (limitDemand * w.options.PerSecond) * float64(time.Second))
}

func (w *limitWorld) drawNode() *limitNode {
	if w.options.IsOneSided && w.Chance(0.8) {
		return w.nodes[w.Random.IntN(max(1, len(w.nodes)/8))]
	}
	return w.nodes[w.Random.IntN(len(w.nodes))]
}

// want sends a request to an engine if the policy permits.
func (n *limitNode) want(engine *limitEngine) {
	if n.world.options.Policy == HolderPermits {
		n.askFor(engine)
		return
	}
	rate, between, life := n.world.options.PerSecond, time.Duration(0), n.lifeOf(engine)
	switch live := addresses(n.told); {
	case !n.isTold[life]:
		n.send(engine, life)
		return
	case n.world.options.Policy == EachForItself:
	case n.world.options.Policy == EqualParts:
		rate /= float64(max(1, len(live)))
	case n.world.options.Policy == FewSenders:
		senders := min(max(1, len(live)), max(1, int(rate)))
		if rank := slices.Index(membership.Rank(life.ID, live), n.name); rank < 0 || rank >= senders {
			return
		}
		rate /= float64(senders)
	}
	between = time.Duration(float64(time.Second) / rate)
	if n.now() < n.next[life] {
		return
	}
	n.next[life] = n.now() + between
	n.send(engine, life)
}

func addresses(nodes []ratelimit.Node) []string {
	names := make([]string, 0, len(nodes))
	for _, node := range nodes {
		names = append(names, node.Address)
	}
	return names
}

// askFor requests a permit from the issuer of the engine's permits, and sends the request once the
// permit is granted.
func (n *limitNode) askFor(engine *limitEngine) {
	began, life := n.now(), n.lifeOf(engine)
	ask, holderName, isLimited := n.limits.Ask(began, life, engine.zone, ratelimit.Need{PatienceMS: uint64(limitPatience.Milliseconds())})
	if !isLimited {
		n.send(engine, life)
		return
	}
	if room, _ := n.limits.Room(began, life); room.Wait > limitPatience {
		return
	}
	holder := n.world.byName[holderName]
	if holder == nil {
		n.limits.Unanswered(began, life)
		return
	}
	answered := false
	n.message(holder, limitAskBytes, func() {
		answer := holder.limits.Grant(holder.now(), n.name, ask)
		holder.message(n, limitAnswerBytes, func() {
			if !answered {
				answered = true
				n.take(engine, life, answer, began)
			}
		})
	})
	n.after(limitTimeout, func() {
		if !answered {
			answered = true
			n.limits.Unanswered(n.now(), life)
		}
	})
}

// take handles an issuer's response, and sends the request if a permit was granted in time.
func (n *limitNode) take(engine *limitEngine, life registry.Life, answer ratelimit.Answer, began time.Duration) {
	n.limits.Answered(n.now(), life, answer)
	if !answer.IsGranted {
		return
	}
	n.after(time.Duration(answer.DelayMS)*time.Millisecond, func() {
		if n.now()-began <= limitPatience+ratelimit.PermitLife {
			n.world.result.Waits = append(n.world.result.Waits, n.now()-began)
			n.send(engine, life)
		}
	})
}

// message runs an action at another node, if the message reaches it.
func (n *limitNode) message(to *limitNode, size int, deliver func()) {
	w := n.world
	if n == to {
		deliver()
		return
	}
	w.result.Messages++
	w.result.Bytes += size
	process := to.process
	delay, isDelivered := w.delay(time.Millisecond, 5*time.Millisecond)
	if !isDelivered {
		return
	}
	w.After(delay, func() {
		if n.reaches(to) && to.process == process {
			to.run(deliver)
		}
	})
}

// send sends a request to an incarnation of an engine, and learns the limit from its response.
func (n *limitNode) send(engine *limitEngine, life registry.Life) {
	w := n.world
	said := w.answer(engine, n, w.Now+time.Millisecond)
	written := n.now()
	n.after(w.Between(20*time.Millisecond, 200*time.Millisecond), func() {
		n.isTold[life] = said.IsNamed
		n.limits.Learn(n.now(), life, said, written)
		if words := n.limits.TakeNews(); len(words) > 0 {
			n.tell(words)
		}
	})
}

// tell sends updates to all reachable nodes, as the load exchange does.
func (n *limitNode) tell(words []ratelimit.Word) {
	w := n.world
	for position := range words {
		words[position].AgeMS = uint64((n.now() - words[position].At).Milliseconds())
	}
	for _, other := range w.nodes {
		if other == n {
			continue
		}
		delay, isDelivered := w.delay(100*time.Millisecond, 400*time.Millisecond)
		if !isDelivered {
			continue
		}
		process := other.process
		w.result.Messages++
		w.result.Bytes += limitWordBytes * len(words)
		w.After(delay, func() {
			if n.reaches(other) && other.process == process {
				other.run(func() {
					other.limits.Hear(other.now(), ratelimit.Received(other.now(), slices.Clone(words)))
					for _, word := range words {
						other.isTold[word.Life] = true
					}
				})
			}
		})
	}
}

// disturb injects one fault and schedules the next one.
func (w *limitWorld) disturb() {
	w.After(w.Between(limitFaultEvery/2, limitFaultEvery*3/2), w.disturb)
	node := w.nodes[w.Random.IntN(len(w.nodes))]
	lasting := w.Between(time.Second, 8*time.Second)
	kinds := []func(){
		func() { w.endNode(node, lasting) },
		func() {
			w.Fault("freeze")
			node.clock.freeze(w.Now, lasting)
		},
		func() {
			w.Fault("suspend")
			node.clock.suspend(w.Now, lasting)
		},
		func() {
			w.Fault("node_cut")
			node.isCut = true
			w.After(lasting, func() { node.isCut = false })
		},
		func() {
			w.Fault("zone_cut")
			w.isZoneCut = true
			w.After(lasting, func() { w.isZoneCut = false })
		},
		func() {
			w.Fault("core_cut")
			w.isCoreCut = true
			w.After(lasting, func() { w.isCoreCut = false })
		},
	}
	kinds[w.Random.IntN(len(kinds))]()
}

// endNode ends a node's process, and starts a new one later.
func (w *limitWorld) endNode(node *limitNode, lasting time.Duration) {
	if !node.isUp {
		return
	}
	w.Fault("end")
	node.isUp = false
	node.process++
	w.After(lasting, node.start)
}

// judge checks the requests that each incarnation of each engine received against its limits.
func (w *limitWorld) judge() {
	fullest := limitcheck.Use{}
	for _, engine := range w.engines {
		for _, record := range engine.records {
			use := record.Use(w.Now)
			w.result.Got += use.Arrived
			w.result.Room += use.Room
			if use.Arrived > 0 {
				fullest.Note(use.Got, use.Allowed)
			}
			if use.Got > use.Allowed {
				w.Check(fmt.Errorf("an engine received %d requests in %s, its limit allowed %d", use.Got, limitcheck.Window, use.Allowed))
			}
		}
	}
	w.result.Worst, w.result.Allowed = fullest.Got, fullest.Allowed
}

// LongestWait returns the quantile of Waits for the given part, which is between 0 and 1.
func (r LimitResult) LongestWait(part float64) time.Duration {
	if len(r.Waits) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(r.Waits))
	return sorted[min(len(sorted)-1, int(math.Floor(part*float64(len(sorted)))))]
}
