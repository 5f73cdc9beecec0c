package simulate

import (
	"fmt"
	"math"
	"time"

	"github.com/ravenway/ravenway/internal/coordination/escrow"
	"github.com/ravenway/ravenway/internal/coordination/membership"
	"github.com/ravenway/ravenway/internal/state/accounts"
)

// LendingPolicy is how entry nodes that are partitioned from the core, the control nodes, find
// tokens that other nodes hold.
type LendingPolicy int

// Policies of RunLending.
const (
	// SearchNeighbours requests loans from the neighbours in rounds, see package escrow.
	SearchNeighbours LendingPolicy = iota
	// PoolInZone lets two nodes of each zone hold a budget for all nodes that need little of it.
	PoolInZone
	// SingleHolder has a single holder of all budgets: the upper bound of what a policy can serve.
	SingleHolder
)

// LendingOptions configures a run of RunLending: zones of entry nodes, callers that a hash
// spreads over them, budgets that don't run out, and a partition of all nodes from the core.
type LendingOptions struct {
	Seed   uint64
	Policy LendingPolicy
	// NodesPerZone is the number of entry nodes in each of five zones.
	NodesPerZone int
}

// LendingResult counts the requests during the partition, and the messages.
type LendingResult struct {
	World *World
	// Requests and Refused count first tries, Retries the refused requests that were retried at
	// another node, and RetriesRefused those that were refused again there.
	Requests, Refused, Retries, RetriesRefused int
	// Messages counts the pool and loan messages of the whole run, Links the directed pairs of
	// nodes with any, and MaximumReceived is the maximum that one node received.
	Messages, Links, MaximumReceived int
	// RefusedWithFreeTokens counts the first tries that were refused although the nodes of the zone together
	// held enough free tokens.
	RefusedWithFreeTokens int
}

const (
	lendingZones       = 5
	lendingTenants     = 40
	callersPerZone     = 103
	requestsPerZone    = 172.0
	partitionStart     = 12 * time.Second
	partitionDuration  = 8 * time.Second
	lendingMaximumWait = 120 * time.Millisecond
	lendingRetryDelay  = 3 * time.Second
	messageDelay       = 1500 * time.Microsecond
	commitInterval     = 10 * time.Millisecond
)

// lendingNode is one entry node.
type lendingNode struct {
	number   int
	holder   *escrow.Holder
	received int
}

func (n *lendingNode) zone() int { return n.number % lendingZones }

func (n *lendingNode) name() string { return fmt.Sprintf("n%d", n.number) }

// lendingCaller is one caller: the node that its hash chooses, and its request rate relative to those
// of the other callers.
type lendingCaller struct {
	node *lendingNode
	rate float64
}

// zonePool is the key of a zone's pool of a budget.
type zonePool struct {
	zone   int
	budget string
}

type lendingSimulation struct {
	options   LendingOptions
	result    LendingResult
	world     *World
	nodes     []*lendingNode
	callers   []lendingCaller
	totalRate float64
	accounts  *accounts.Accounts
	root      *escrow.Root
	index     uint64
	links     map[link]bool
	pools     map[zonePool][]*lendingNode
}

// RunLending simulates lending between entry nodes that are partitioned from the core. It runs one
// seed.
func RunLending(options LendingOptions) LendingResult {
	s := &lendingSimulation{
		options: options, world: NewWorld(options.Seed), accounts: accounts.New(), links: map[link]bool{}, pools: map[zonePool][]*lendingNode{},
	}
	s.result.World = s.world
	s.bootNodes()
	s.drawCallers()
	s.bootRoot()
	s.world.After(0, s.generateRequest)
	s.world.RunUntil(partitionStart + partitionDuration)
	for _, node := range s.nodes {
		s.result.MaximumReceived = max(s.result.MaximumReceived, node.received)
	}
	s.result.Links = len(s.links)
	return s.result
}

func (s *lendingSimulation) isPartitioned() bool { return s.world.Now >= partitionStart }

func (s *lendingSimulation) bootNodes() {
	count := lendingZones * s.options.NodesPerZone
	if s.options.Policy == SingleHolder {
		count = 1
	}
	for number := range count {
		s.nodes = append(s.nodes, &lendingNode{number: number})
	}
	for _, node := range s.nodes {
		options := escrow.HolderOptions{
			ID: accounts.HolderID{Node: node.name(), Incarnation: 1}, ResponseTimeout: 50 * time.Millisecond,
			Lenders: s.lendersOf(node), RootReachable: func() bool { return s.world.Now < partitionStart+time.Second }, Allowances: true,
		}
		if s.options.Policy == PoolInZone {
			options.Pool = func(budget string) []string { return s.poolHoldersBefore(node, budget) }
			options.RemotePools = func(budget string) []string { return s.remotePools(node, budget) }
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
func (s *lendingSimulation) lendersOf(node *lendingNode) []string {
	var sameZone, remote []string
	for step := 1; step < len(s.nodes); step++ {
		other := s.nodes[(node.number+step)%len(s.nodes)]
		if other.zone() == node.zone() {
			sameZone = append(sameZone, other.name())
			continue
		}
		remote = append(remote, other.name())
	}
	return append(sameZone, remote...)
}

// drawCallers draws a node and a rate for each caller. Each caller sends for all tenants.
func (s *lendingSimulation) drawCallers() {
	for number := range lendingZones * callersPerZone {
		place := s.world.Random.IntN(s.options.NodesPerZone)*lendingZones + number%lendingZones
		caller := lendingCaller{rate: math.Exp(0.5 * s.world.Random.NormFloat64()), node: s.nodes[place%len(s.nodes)]}
		s.callers = append(s.callers, caller)
		s.totalRate += caller.rate
	}
}

// drawBudget draws the budget of a request's tenant. A few tenants are large.
func (s *lendingSimulation) drawBudget() string {
	return fmt.Sprint("tenant-", int(math.Pow(s.world.Random.Float64(), 2)*lendingTenants))
}

func (s *lendingSimulation) bootRoot() {
	for number := range lendingTenants {
		s.accounts.SetLimit(fmt.Sprint("tenant-", number), 1<<40)
	}
	s.root = escrow.NewRoot(escrow.RootOptions{
		HoldersOf: func(string) []accounts.Holder { return nil },
		Respond: func(to string, message escrow.ResponseMessage) {
			s.sendToNode(to, func(node *lendingNode) { node.holder.HandleResponse(s.world.Now, message) })
		},
		Recall:    func(string, escrow.RecallMessage) {},
		SummaryOf: func(budget string) escrow.BudgetSummary { return escrow.SummaryOf(s.accounts.Budget(budget)) },
		SendSummaries: func(to string, message escrow.SummariesMessage) {
			s.sendToNode(to, func(node *lendingNode) { node.holder.HandleSummaries(message) })
		},
		Contact: func() accounts.Contact {
			return accounts.Contact{Clock: 1, MonotonicMS: uint64(s.world.Now.Milliseconds())}
		},
	})
	s.world.Every(commitInterval, func() bool {
		s.root.Tick(s.world.Now)
		s.commit()
		return !s.isPartitioned()
	})
}

// sendToNode delivers a message of the root to a node, unless the nodes are partitioned by then.
func (s *lendingSimulation) sendToNode(to string, act func(*lendingNode)) {
	s.world.After(messageDelay, func() {
		if s.isPartitioned() {
			return
		}
		node := s.nodeNamed(to)
		act(node)
		s.flush(node)
	})
}

func (s *lendingSimulation) nodeNamed(name string) *lendingNode {
	var number int
	_, err := fmt.Sscanf(name, "n%d", &number)
	s.world.Check(err)
	return s.nodes[number]
}

func (s *lendingSimulation) commit() {
	batch, found := s.root.Batch()
	if !found {
		return
	}
	s.index++
	contact := batch.Command.Contact
	contact.Index = s.index
	s.root.Applied(s.world.Now, batch, applyReports(s.accounts, batch.Command, contact))
}

func (s *lendingSimulation) flush(node *lendingNode) {
	if report, due := node.holder.Report(s.world.Now); due && !s.isPartitioned() {
		s.world.After(messageDelay, func() {
			if !s.isPartitioned() {
				s.root.HandleReport(report)
			}
		})
	}
	for _, pooled := range node.holder.TakeOutgoingPools() {
		to := s.nodeNamed(pooled.To)
		s.result.Messages++
		s.links[link{node.name(), to.name()}] = true
		s.world.After(messageDelay, func() { s.receivePool(to, pooled.Message) })
	}
	for _, loan := range node.holder.TakeOutgoingLoans() {
		to := s.nodeNamed(loan.To)
		s.result.Messages++
		s.links[link{node.name(), to.name()}] = true
		s.world.After(messageDelay, func() { s.receiveLoanMessage(to, loan.Message) })
	}
}

func (s *lendingSimulation) receiveLoanMessage(node *lendingNode, message escrow.LoanMessage) {
	node.received++
	applyLoanMessage(node.holder, s.world.Now, message)
	s.flush(node)
}

// generateRequest generates one request of a random caller and schedules the next one.
func (s *lendingSimulation) generateRequest() {
	drawn := s.world.Random.Float64() * s.totalRate
	for _, caller := range s.callers {
		if drawn -= caller.rate; drawn < 0 {
			s.reserve(caller.node, s.drawBudget(), s.drawTokens(), true)
			break
		}
	}
	s.world.After(time.Duration(s.world.Random.ExpFloat64()/requestsPerZone/lendingZones*float64(time.Second)), s.generateRequest)
}

// drawTokens draws the tokens of a request: long documents, letters and short questions in the
// proportions of the large deployments, with long tails. A request with 0 needs no reservation.
func (s *lendingSimulation) drawTokens() uint64 {
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

func (s *lendingSimulation) reserve(node *lendingNode, budget string, tokens uint64, isFirst bool) {
	if tokens == 0 {
		return
	}
	counts := s.isPartitioned()
	now := s.world.Now
	node.holder.Reserve(now, now+lendingMaximumWait, budget, tokens, escrow.Policy{}, func(reservation escrow.Reservation, err error) {
		if counts {
			s.count(node, budget, tokens, isFirst, err != nil)
		}
		if err != nil {
			return
		}
		s.world.After(s.world.Between(200*time.Millisecond, 2*time.Second), func() {
			node.holder.Settle(s.world.Now, reservation, tokens-tokens/8)
			s.flush(node)
		})
	})
	s.flush(node)
}

func (s *lendingSimulation) count(node *lendingNode, budget string, tokens uint64, isFirst, isRefused bool) {
	if !isFirst {
		s.result.Retries++
		if isRefused {
			s.result.RetriesRefused++
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
		s.result.RefusedWithFreeTokens++
	}
	elsewhere := s.nodes[s.world.Random.IntN(len(s.nodes))]
	s.world.After(lendingRetryDelay, func() { s.reserve(elsewhere, budget, tokens, false) })
}

// poolHolders returns a zone's pool holders of a budget, chosen by rendezvous hashing.
func (s *lendingSimulation) poolHolders(zone int, budget string) []*lendingNode {
	key := zonePool{zone: zone, budget: budget}
	if s.pools[key] == nil {
		s.pools[key] = s.choosePoolHolders(zone, budget)
	}
	return s.pools[key]
}

func (s *lendingSimulation) choosePoolHolders(zone int, budget string) []*lendingNode {
	var names []string
	for number := zone; number < len(s.nodes); number += lendingZones {
		names = append(names, s.nodes[number].name())
	}
	var chosen []*lendingNode
	for _, name := range membership.Rank(budget, names)[:escrow.PoolHolders] {
		chosen = append(chosen, s.nodeNamed(name))
	}
	return chosen
}

// poolHoldersBefore lists the pool holders that rank before a node in its zone.
func (s *lendingSimulation) poolHoldersBefore(node *lendingNode, budget string) []string {
	var before []string
	for _, holder := range s.poolHolders(node.zone(), budget) {
		if holder == node {
			break
		}
		before = append(before, holder.name())
	}
	return before
}

func (s *lendingSimulation) remotePools(node *lendingNode, budget string) []string {
	var remote []string
	for zone := range lendingZones {
		if zone != node.zone() {
			remote = append(remote, s.poolHolders(zone, budget)[0].name())
		}
	}
	return remote
}

func (s *lendingSimulation) receivePool(node *lendingNode, message escrow.PoolMessage) {
	node.received++
	node.holder.HandlePoolMessage(s.world.Now, message)
	s.flush(node)
}
