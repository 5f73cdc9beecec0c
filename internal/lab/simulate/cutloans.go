package simulate

import (
	"fmt"
	"math"
	"time"

	"github.com/ravenway/ravenway/internal/coordination/escrow"
	"github.com/ravenway/ravenway/internal/coordination/membership"
	"github.com/ravenway/ravenway/internal/state/accounts"
)

// CutLoansPolicy is how entry nodes that are partitioned from the core find tokens that other
// nodes hold.
type CutLoansPolicy int

// Policies of RunCutLoans.
const (
	// SearchNeighbours requests loans from the neighbours in rounds, see package escrow.
	SearchNeighbours CutLoansPolicy = iota
	// PoolInZone lets two nodes of each zone hold a budget for all nodes that need little of it.
	PoolInZone
	// OneHolder has a single holder of all budgets: the upper bound of what a policy can serve.
	OneHolder
)

// CutLoansOptions configures a run of RunCutLoans: zones of entry nodes, callers that a hash
// spreads over them, prepaid tokens for twice the run, and a partition of all nodes from the core.
type CutLoansOptions struct {
	Seed   uint64
	Policy CutLoansPolicy
	// NodesAZone is the number of entry nodes in each of five zones.
	NodesAZone int
}

// CutLoansResult counts the requests and messages during the partition.
type CutLoansResult struct {
	World *World
	// Requests and Refused count first tries, Returns the refused requests that were retried at
	// another node, and ReturnsRefused those that were refused again there.
	Requests, Refused, Returns, ReturnsRefused int
	// Messages counts the pool and loan messages of the whole run, Links the directed pairs of
	// nodes with any, and MostReceived is the maximum that one node received.
	Messages, Links, MostReceived int
	// FreeInZone counts the first tries that were refused although the nodes of the zone together
	// held enough free tokens.
	FreeInZone int
}

const (
	cutZones      = 5
	cutTenants    = 40
	callersAZone  = 103
	requestsAZone = 172.0
	cutBegins     = 12 * time.Second
	cutLasts      = 8 * time.Second
	cutPatience   = 120 * time.Millisecond
	cutReturn     = 3 * time.Second
	nodeDelay     = 1500 * time.Microsecond
	logDelay      = 10 * time.Millisecond
)

// cutNode is one entry node.
type cutNode struct {
	number   int
	holder   *escrow.Holder
	received int
}

func (n *cutNode) zone() int { return n.number % cutZones }

func (n *cutNode) name() string { return fmt.Sprintf("n%d", n.number) }

// cutCaller is one caller: the node that its hash chooses, and its weight among the callers.
type cutCaller struct {
	node *cutNode
	rate float64
}

// zonePool is the key of a zone's pool of a budget.
type zonePool struct {
	zone   int
	budget string
}

type cutLoans struct {
	options  CutLoansOptions
	result   CutLoansResult
	world    *World
	nodes    []*cutNode
	callers  []cutCaller
	weights  float64
	accounts *accounts.Accounts
	root     *escrow.Root
	index    uint64
	links    map[link]bool
	pools    map[zonePool][]*cutNode
}

// RunCutLoans simulates lending between entry nodes that are partitioned from the core. It runs one
// seed.
func RunCutLoans(options CutLoansOptions) CutLoansResult {
	s := &cutLoans{
		options: options, world: NewWorld(options.Seed), accounts: accounts.New(), links: map[link]bool{}, pools: map[zonePool][]*cutNode{},
	}
	s.result.World = s.world
	s.bootNodes()
	s.drawCallers()
	s.bootRoot()
	s.world.After(0, s.arrive)
	s.world.RunUntil(cutBegins + cutLasts)
	for _, node := range s.nodes {
		s.result.MostReceived = max(s.result.MostReceived, node.received)
	}
	s.result.Links = len(s.links)
	return s.result
}

func (s *cutLoans) isCut() bool { return s.world.Now >= cutBegins }

func (s *cutLoans) bootNodes() {
	count := cutZones * s.options.NodesAZone
	if s.options.Policy == OneHolder {
		count = 1
	}
	for number := range count {
		s.nodes = append(s.nodes, &cutNode{number: number})
	}
	for _, node := range s.nodes {
		options := escrow.HolderOptions{
			ID: accounts.HolderID{Node: node.name(), Incarnation: 1}, AnswerTimeout: 50 * time.Millisecond,
			Lenders: s.lendersOf(node), RootReachable: func() bool { return s.world.Now < cutBegins+time.Second }, Allowances: true,
		}
		if s.options.Policy == PoolInZone {
			options.Pool = func(budget string) []string { return s.poolBefore(node, budget) }
			options.FarPools = func(budget string) []string { return s.farPools(node, budget) }
		}
		node.holder = escrow.NewHolder(options)
		s.world.Every(holderTick, func() bool {
			node.holder.Tick(s.world.Now)
			s.flush(node)
			return true
		})
	}
}

// lendersOf lists all other nodes, those of the same zone first.
func (s *cutLoans) lendersOf(node *cutNode) []string {
	var near, far []string
	for step := 1; step < len(s.nodes); step++ {
		other := s.nodes[(node.number+step)%len(s.nodes)]
		if other.zone() == node.zone() {
			near = append(near, other.name())
			continue
		}
		far = append(far, other.name())
	}
	return append(near, far...)
}

// drawCallers draws a node and a rate for each caller. Each caller sends for all tenants.
func (s *cutLoans) drawCallers() {
	for number := range cutZones * callersAZone {
		place := s.world.Random.IntN(s.options.NodesAZone)*cutZones + number%cutZones
		caller := cutCaller{rate: math.Exp(0.5 * s.world.Random.NormFloat64()), node: s.nodes[place%len(s.nodes)]}
		s.callers = append(s.callers, caller)
		s.weights += caller.rate
	}
}

// drawBudget draws the budget of a request's tenant. A few tenants are large.
func (s *cutLoans) drawBudget() string {
	return fmt.Sprint("tenant-", int(math.Pow(s.world.Random.Float64(), 2)*cutTenants))
}

func (s *cutLoans) bootRoot() {
	for number := range cutTenants {
		s.accounts.SetLimit(fmt.Sprint("tenant-", number), 1<<40)
	}
	s.root = escrow.NewRoot(escrow.RootOptions{
		HoldersOf: func(string) []accounts.Holder { return nil },
		Reply: func(to string, message escrow.AnswerMessage) {
			s.toNode(to, func(node *cutNode) { node.holder.Take(s.world.Now, message) })
		},
		Recall:     func(string, escrow.RecallMessage) {},
		StandingOf: func(budget string) escrow.Standing { return escrow.StandingOf(s.accounts.Budget(budget)) },
		Tell: func(to string, message escrow.StandingsMessage) {
			s.toNode(to, func(node *cutNode) { node.holder.TakeStandings(message) })
		},
		Contact: func() accounts.Contact {
			return accounts.Contact{Clock: 1, SteadyMS: uint64(s.world.Now.Milliseconds())}
		},
	})
	s.world.Every(logDelay, func() bool {
		s.root.Tick(s.world.Now)
		s.commit()
		return !s.isCut()
	})
}

// toNode delivers a message of the root to a node, unless the nodes are partitioned by then.
func (s *cutLoans) toNode(to string, act func(*cutNode)) {
	s.world.After(nodeDelay, func() {
		if s.isCut() {
			return
		}
		node := s.named(to)
		act(node)
		s.flush(node)
	})
}

func (s *cutLoans) named(name string) *cutNode {
	var number int
	_, err := fmt.Sscanf(name, "n%d", &number)
	s.world.Check(err)
	return s.nodes[number]
}

func (s *cutLoans) commit() {
	batch, found := s.root.Batch()
	if !found {
		return
	}
	s.index++
	contact := batch.Command.Contact
	contact.Index = s.index
	s.root.Applied(s.world.Now, batch, takeReports(s.accounts, batch.Command, contact))
}

func (s *cutLoans) flush(node *cutNode) {
	if report, due := node.holder.Report(s.world.Now); due && !s.isCut() {
		s.world.After(nodeDelay, func() {
			if !s.isCut() {
				s.root.Take(report)
			}
		})
	}
	for _, pooled := range node.holder.Pools() {
		to := s.named(pooled.To)
		s.result.Messages++
		s.links[link{node.name(), to.name()}] = true
		s.world.After(nodeDelay, func() { s.takePool(to, pooled.Message) })
	}
	for _, loan := range node.holder.Loans() {
		to := s.named(loan.To)
		s.result.Messages++
		s.links[link{node.name(), to.name()}] = true
		s.world.After(nodeDelay, func() { s.takeLend(to, loan.Message) })
	}
}

func (s *cutLoans) takeLend(node *cutNode, message escrow.LendMessage) {
	node.received++
	takeLend(node.holder, s.world.Now, message)
	s.flush(node)
}

// arrive generates one request of a random caller and schedules the next one.
func (s *cutLoans) arrive() {
	drawn := s.world.Random.Float64() * s.weights
	for _, caller := range s.callers {
		if drawn -= caller.rate; drawn < 0 {
			s.ask(caller.node, s.drawBudget(), s.drawTokens(), true)
			break
		}
	}
	s.world.After(time.Duration(s.world.Random.ExpFloat64()/requestsAZone/cutZones*float64(time.Second)), s.arrive)
}

// drawTokens draws the tokens of a request: long documents, letters and short questions in the
// proportions of the large deployments, with long tails. A request with 0 needs no reservation.
func (s *cutLoans) drawTokens() uint64 {
	tail := math.Exp(1.05*s.world.Random.NormFloat64() - 0.55)
	switch drawn := s.world.Random.Float64() * 825; {
	case drawn < 193:
		return uint64(min(13_300+3_720*tail, 60_000))
	case drawn < 340:
		return uint64(min(6_300+2_890*tail, 45_000))
	case drawn < 611:
		return uint64(min(350+1_110*tail, 5_000))
	}
	return 0
}

func (s *cutLoans) ask(node *cutNode, budget string, tokens uint64, isFirst bool) {
	if tokens == 0 {
		return
	}
	counts := s.isCut()
	now := s.world.Now
	node.holder.Reserve(now, now+cutPatience, budget, tokens, escrow.Policy{}, func(held escrow.Reservation, err error) {
		if counts {
			s.count(node, budget, tokens, isFirst, err != nil)
		}
		if err != nil {
			return
		}
		s.world.After(s.world.Between(200*time.Millisecond, 2*time.Second), func() {
			node.holder.Settle(s.world.Now, held, tokens-tokens/8)
			s.flush(node)
		})
	})
	s.flush(node)
}

func (s *cutLoans) count(node *cutNode, budget string, tokens uint64, isFirst, isRefused bool) {
	if !isFirst {
		s.result.Returns++
		if isRefused {
			s.result.ReturnsRefused++
		}
		return
	}
	s.result.Requests++
	if !isRefused {
		return
	}
	s.result.Refused++
	var free uint64
	for _, other := range s.nodes {
		if other.zone() == node.zone() {
			free += other.holder.Free(budget)
		}
	}
	if free >= tokens {
		s.result.FreeInZone++
	}
	elsewhere := s.nodes[s.world.Random.IntN(len(s.nodes))]
	s.world.After(cutReturn, func() { s.ask(elsewhere, budget, tokens, false) })
}

// pool returns a zone's pool holders of a budget, chosen by rendezvous hashing.
func (s *cutLoans) pool(zone int, budget string) []*cutNode {
	key := zonePool{zone: zone, budget: budget}
	if s.pools[key] == nil {
		s.pools[key] = s.choosePool(zone, budget)
	}
	return s.pools[key]
}

func (s *cutLoans) choosePool(zone int, budget string) []*cutNode {
	var names []string
	for number := zone; number < len(s.nodes); number += cutZones {
		names = append(names, s.nodes[number].name())
	}
	var chosen []*cutNode
	for _, name := range membership.Rank(budget, names)[:escrow.PoolHolders] {
		chosen = append(chosen, s.named(name))
	}
	return chosen
}

// poolBefore lists the pool holders that rank before a node in its zone.
func (s *cutLoans) poolBefore(node *cutNode, budget string) []string {
	var before []string
	for _, holder := range s.pool(node.zone(), budget) {
		if holder == node {
			break
		}
		before = append(before, holder.name())
	}
	return before
}

func (s *cutLoans) farPools(node *cutNode, budget string) []string {
	var far []string
	for zone := range cutZones {
		if zone != node.zone() {
			far = append(far, s.pool(zone, budget)[0].name())
		}
	}
	return far
}

func (s *cutLoans) takePool(node *cutNode, message escrow.PoolMessage) {
	node.received++
	node.holder.TakePool(s.world.Now, message)
	s.flush(node)
}
