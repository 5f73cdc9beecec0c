package simulate

import (
	"fmt"
	"time"

	"github.com/ravenway/ravenway/internal/coordination/escrow"
	"github.com/ravenway/ravenway/internal/state/accounts"
	"github.com/ravenway/ravenway/internal/state/machine"
)

// BudgetPolicy is the way in which several nodes share one budget.
type BudgetPolicy int

// Policies: that of the product, the baselines that it is compared with, and a deliberate defect.
const (
	// PolicyEscrow is the policy of the product, see package escrow.
	PolicyEscrow BudgetPolicy = iota
	// PolicyStaticSplit gives each node an equal, fixed part of the budget.
	PolicyStaticSplit
	// PolicyCentralCheck checks the budget at the root before each request.
	PolicyCentralCheck
	// PolicyNoRecall is the escrow without recalls of unused grants.
	PolicyNoRecall
	// PolicyGrantOnTimeout is a deliberate defect: the grant of an unreachable holder counts as
	// unspent after a timeout.
	PolicyGrantOnTimeout
)

// BudgetOptions configures a run of RunBudgets.
type BudgetOptions struct {
	Seed   uint64
	Policy BudgetPolicy
	// Limit is the initial limit of the one budget that all zones draw on, in tokens.
	Limit uint64
	// TopUp is added in the middle of the run, in two concurrent parts, in tokens.
	TopUp uint64
	// Faults injects partitions, restarts, and lost and duplicated messages.
	Faults bool
	// Rate is the number of requests a second in the whole fleet.
	Rate float64
	// LargeRequests makes requests need up to a twentieth of the limit each.
	LargeRequests bool
}

// BudgetResult is the result of RunBudgets.
type BudgetResult struct {
	World    *World
	Requests int
	Served   int
	// Used is the number of tokens that ran, Limit the final limit.
	Used, Limit uint64
	// FalseRefusals counts refusals although the budget held enough. FalseRefusalsInFaults counts apart
	// those during a partition of the node's zone, or shortly after a fault.
	FalseRefusals, FalseRefusalsInFaults int
	TrueRefusals                         int
	Messages                             int
}

const (
	budgetName        = "prepaid"
	budgetRunTime     = 60 * time.Second
	budgetSettleTime  = 90 * time.Second
	budgetTick        = 50 * time.Millisecond
	budgetMaximumWait = 5 * time.Second
	rootName          = "root"
)

// budgetNode is one simulated entry node.
type budgetNode struct {
	name string
	zone string
	// holder holds the part of the budget that the root has granted to the node.
	holder      *escrow.Holder
	incarnation int
	isDown      bool
	// running are the requests that the node's reservations pay for, by sequence number.
	running map[uint64]*runningRequest
	// staticPart is what is left of the node's part of a static split, in tokens.
	staticPart uint64
}

// runningRequest runs at an engine, and continues if its node is killed.
type runningRequest struct {
	reservation escrow.Reservation
	used        uint64
	ended       bool
}

// crashedIncarnation is an incarnation that crashed and whose accounts have to be closed.
type crashedIncarnation struct {
	id      accounts.HolderID
	running map[uint64]*runningRequest
}

// BudgetSimulation lets 8 nodes in three zones draw on one budget.
type BudgetSimulation struct {
	options  BudgetOptions
	result   BudgetResult
	world    *World
	network  *Network
	accounts *accounts.Accounts
	// root is the leader's side of the escrow: it grants parts of the budget to the holders.
	root            *escrow.Root
	nodes           map[string]*budgetNode
	names           []string
	crashed         []crashedIncarnation
	partitionedZone string
	// disturbedUntil is the time until which a refusal may be due to a recent fault.
	disturbedUntil time.Duration
	// reserved is the number of tokens that running requests have reserved, centrallyReserved that of
	// the tokens reserved or used under PolicyCentralCheck.
	reserved          uint64
	centrallyReserved uint64
	isSettling        bool
	// registered holds the total of each loan in the claim registers.
	registered map[registeredLoan]uint64
	pending    map[*pendingRequest]struct{}
}

// registeredLoan is the key of a loan's register.
type registeredLoan struct{ pair accounts.LoanPair }

// pendingRequest is a request that waits for its reservation.
type pendingRequest struct {
	node   *budgetNode
	amount uint64
	// wasShort reports whether the whole budget was insufficient at any moment of the wait.
	wasShort bool
}

// RunBudgets simulates nodes that draw on one budget through the escrow or through a baseline. It
// runs one seed.
func RunBudgets(options BudgetOptions) BudgetResult {
	s := &BudgetSimulation{options: options, world: NewWorld(options.Seed), accounts: accounts.New(), nodes: map[string]*budgetNode{},
		registered: map[registeredLoan]uint64{}, pending: map[*pendingRequest]struct{}{}}
	s.result.World = s.world
	s.network = NewNetwork(s.world)
	if options.Faults {
		s.network.Loss, s.network.Duplication = 0.02, 0.02
	}
	s.accounts.Ensure(budgetName)
	s.check(s.accounts.TopUp(budgetName, options.Limit))
	s.startRoot()
	for zone, count := range map[string]int{"a": 3, "b": 3, "c": 2} {
		for number := range count {
			name := fmt.Sprintf("%s-%d", zone, number+1)
			s.names = append(s.names, name)
			s.nodes[name] = &budgetNode{name: name, zone: zone, staticPart: options.Limit / 8}
		}
	}
	sortNames(s.names)
	for _, name := range s.names {
		s.boot(s.nodes[name])
	}
	s.world.After(time.Second, s.generateRequest)
	if options.Faults {
		s.world.After(5*time.Second, s.injectFault)
	}
	if options.TopUp > 0 {
		for range 2 {
			s.world.After(budgetRunTime/2, func() { s.check(s.accounts.TopUp(budgetName, options.TopUp/2)) })
		}
	}
	s.world.RunUntil(budgetRunTime)
	s.settle()
	s.world.RunUntil(budgetRunTime + budgetSettleTime)
	s.checkSettled()
	s.result.Limit = s.accounts.Budget(budgetName).Limit
	s.result.Messages = s.network.Messages
	return s.result
}

func (s *BudgetSimulation) check(err error) { s.world.Check(err) }

// checkConservation checks that the tokens that ran, those that nodes may still spend, those that
// requests of crashed incarnations may still use, and those that the root can still grant never
// sum up to more than the limit. Messages in flight only lower the sum.
func (s *BudgetSimulation) checkConservation(after string) {
	if s.options.Policy != PolicyEscrow && s.options.Policy != PolicyNoRecall {
		return
	}
	budget := s.accounts.Budget(budgetName)
	sum := s.result.Used + budget.Remaining()
	for _, name := range s.names {
		if node := s.nodes[name]; !node.isDown {
			sum += node.holder.Held(budgetName)
		}
	}
	for _, crashed := range s.crashed {
		for _, request := range crashed.running {
			if !request.ended {
				sum += request.reservation.Amount
			}
		}
	}
	if sum > budget.Limit {
		s.check(fmt.Errorf("after %s: %d tokens ran or may still be spent, the limit is %d", after, sum, budget.Limit))
	}
	s.check(nil)
}

func (s *BudgetSimulation) startRoot() {
	s.root = escrow.NewRoot(escrow.RootOptions{
		HoldersOf: func(budget string) []accounts.Holder {
			var holders []accounts.Holder
			for _, holder := range s.accounts.Budget(budget).OpenHolders() {
				if holder.Outstanding() > 0 && !s.accounts.Fenced(holder.ID) {
					holders = append(holders, *holder)
				}
			}
			return holders
		},
		Respond: func(to string, message escrow.ResponseMessage) {
			s.network.Send(rootName, to, func() { s.withHolder(to, func(holder *escrow.Holder) { holder.HandleResponse(s.world.Now, message) }) })
		},
		Recall: func(to string, message escrow.RecallMessage) {
			s.network.Send(rootName, to, func() { s.withHolder(to, func(holder *escrow.Holder) { holder.Recall(message) }) })
		},
		WithoutRecall: s.options.Policy == PolicyNoRecall,
	})
	s.world.Every(10*time.Millisecond, func() bool {
		s.root.Tick(s.world.Now)
		s.commit()
		s.closeCrashed()
		return true
	})
}

// commit applies the waiting reports, as the replicated log does.
func (s *BudgetSimulation) commit() {
	batch, found := s.root.Batch()
	if !found {
		return
	}
	responses := make([][]accounts.Response, len(batch.Command.Reports))
	for position, reports := range batch.Command.Reports {
		for _, report := range reports.Reports {
			responses[position] = append(responses[position], s.accounts.ApplyReport(reports.Holder, report, 0))
		}
	}
	s.check(s.accounts.Budget(budgetName).Check())
	s.checkConservation("a commit")
	s.root.Applied(s.world.Now, batch, machine.Result{Responses: responses})
}

func (s *BudgetSimulation) withHolder(name string, act func(*escrow.Holder)) {
	node := s.nodes[name]
	if node.isDown {
		return
	}
	act(node.holder)
	s.checkConservation("a message to " + name)
	s.flush(node)
}

func (s *BudgetSimulation) boot(node *budgetNode) {
	node.incarnation++
	incarnation := node.incarnation
	node.isDown = false
	node.running = map[uint64]*runningRequest{}
	var lenders []string
	for _, name := range s.names {
		if name != node.name && s.nodes[name].zone == node.zone {
			lenders = append(lenders, name)
		}
	}
	node.holder = escrow.NewHolder(escrow.HolderOptions{
		ID: accounts.HolderID{Node: node.name, Incarnation: uint64(s.world.Now) + 1}, Lenders: lenders,
	})
	s.world.Every(budgetTick, func() bool {
		if node.incarnation != incarnation {
			return false
		}
		node.holder.Tick(s.world.Now)
		s.flush(node)
		return true
	})
}

// flush sends the due report and the loan messages of a node's holder.
func (s *BudgetSimulation) flush(node *budgetNode) {
	if report, due := node.holder.Report(s.world.Now); due {
		s.network.Send(node.name, rootName, func() { s.root.HandleReport(report) })
	}
	for _, loan := range node.holder.TakeOutgoingLoans() {
		s.sendLoanMessage(node.name, loan.To, loan.Message)
	}
}

func (s *BudgetSimulation) sendLoanMessage(from, to string, message escrow.LoanMessage) {
	s.network.Send(from, to, func() {
		s.withHolder(to, func(holder *escrow.Holder) {
			switch {
			case message.Request != nil:
				if loan, given := holder.Lend(*message.Request, s.accounts.Fenced); given {
					s.agreeLoan(to, loan)
				}
			case message.Loan != nil:
				s.world.Fault("loan")
				holder.HandleLoan(s.world.Now, *message.Loan, s.accounts.Fenced)
			case message.Confirmed != nil:
				holder.LoanConfirmed(*message.Confirmed)
			}
		})
	})
}

// agreeLoan writes a loan into its register after a delay, or never if the lender is fenced by
// then. That the registers hold under faults is checked by RunClaims.
func (s *BudgetSimulation) agreeLoan(lender string, loan accounts.Loan) {
	s.world.After(s.world.Between(time.Millisecond, 20*time.Millisecond), func() {
		if s.accounts.Fenced(loan.Lender) {
			return
		}
		key := registeredLoan{pair: loan.Pair()}
		s.registered[key] = max(s.registered[key], loan.Total)
		s.withHolder(lender, func(holder *escrow.Holder) { holder.LoanAgreed(s.world.Now, loan) })
	})
}

// loansOf lists the registered loans from and to an incarnation.
func (s *BudgetSimulation) loansOf(id accounts.HolderID) []accounts.Loan {
	var loans []accounts.Loan
	for key, total := range s.registered {
		if key.pair.Lender == id || key.pair.Borrower == id {
			loans = append(loans, accounts.Loan{Lender: key.pair.Lender, Borrower: key.pair.Borrower, Budget: budgetName, Total: total})
		}
	}
	return loans
}

// generateRequest generates one request at a random node and schedules the next one.
func (s *BudgetSimulation) generateRequest() {
	if s.isSettling {
		return
	}
	s.world.After(time.Duration(s.world.Random.ExpFloat64()/s.options.Rate*float64(time.Second)), s.generateRequest)
	node := s.nodes[s.names[s.world.Random.IntN(len(s.names))]]
	if node.isDown {
		return
	}
	amount := 200 + s.world.Random.Uint64N(800)
	if s.options.LargeRequests {
		amount = 1 + s.world.Random.Uint64N(s.options.Limit/20)
	}
	s.result.Requests++
	request := &pendingRequest{node: node, amount: amount}
	s.pending[request] = struct{}{}
	s.markShort()
	s.reserve(request)
}

// markShort marks the waiting requests if the whole budget is currently insufficient for all of
// them: at least one of them must be refused then.
func (s *BudgetSimulation) markShort() {
	required := s.result.Used + s.reserved
	for request := range s.pending {
		required += request.amount
	}
	if required <= s.accounts.Budget(budgetName).Limit {
		return
	}
	for request := range s.pending {
		request.wasShort = true
	}
}

func (s *BudgetSimulation) reserve(request *pendingRequest) {
	node, amount := request.node, request.amount
	switch s.options.Policy {
	case PolicyStaticSplit:
		if node.staticPart < amount {
			s.refused(request)
			return
		}
		node.staticPart -= amount
		s.run(request, func(used uint64) { node.staticPart += amount - used })
	case PolicyCentralCheck:
		limit := s.accounts.Budget(budgetName).Limit
		if s.partitionedZone == node.zone || s.centrallyReserved+amount > limit {
			s.refused(request)
			return
		}
		s.centrallyReserved += amount
		s.run(request, func(used uint64) { s.centrallyReserved -= amount - used })
	default:
		s.reserveFromEscrow(request)
	}
}

func (s *BudgetSimulation) reserveFromEscrow(pending *pendingRequest) {
	node, incarnation := pending.node, pending.node.incarnation
	node.holder.Reserve(s.world.Now, s.world.Now+budgetMaximumWait, budgetName, pending.amount, escrow.Policy{}, func(reservation escrow.Reservation, err error) {
		if err != nil {
			s.refused(pending)
			return
		}
		request := &runningRequest{reservation: reservation}
		node.running[reservation.Sequence] = request
		s.run(pending, func(used uint64) {
			request.used, request.ended = used, true
			if node.incarnation == incarnation && !node.isDown {
				node.holder.Settle(s.world.Now, reservation, used)
				s.flush(node)
			}
		})
	})
	s.flush(node)
}

// run executes a reserved request at an engine, where it uses at least half of the reserved tokens.
func (s *BudgetSimulation) run(request *pendingRequest, onEnd func(used uint64)) {
	amount := request.amount
	delete(s.pending, request)
	s.result.Served++
	s.reserved += amount
	s.markShort()
	used := amount/2 + s.world.Random.Uint64N(amount-amount/2+1)
	s.world.After(s.world.Between(100*time.Millisecond, 3*time.Second), func() {
		s.reserved -= amount
		s.result.Used += used
		if limit := s.accounts.Budget(budgetName).Limit; s.result.Used > limit {
			s.check(fmt.Errorf("overspent: %d tokens ran, the limit is %d", s.result.Used, limit))
		}
		onEnd(used)
	})
}

// refused counts a refusal as false if the whole budget was sufficient for the whole time that
// the request waited.
func (s *BudgetSimulation) refused(request *pendingRequest) {
	delete(s.pending, request)
	switch {
	case request.wasShort:
		s.result.TrueRefusals++
	case s.partitionedZone == request.node.zone:
		s.result.FalseRefusalsInFaults++
	case s.world.Now < s.disturbedUntil || len(s.crashed) > 0:
		// A crashed or partitioned node holds a part of the budget, which is unreachable.
		s.result.FalseRefusalsInFaults++
	default:
		s.result.FalseRefusals++
	}
}

// settle stops the load, heals all partitions and starts the nodes that are down.
func (s *BudgetSimulation) settle() {
	s.isSettling = true
	s.healPartition()
	s.network.Loss = 0
	for _, name := range s.names {
		if s.nodes[name].isDown {
			s.boot(s.nodes[name])
		}
	}
}

// checkSettled checks that all tokens that ran are billed exactly once, and that no grant is stuck.
func (s *BudgetSimulation) checkSettled() {
	if s.world.Violation != nil || (s.options.Policy != PolicyEscrow && s.options.Policy != PolicyNoRecall) {
		return
	}
	budget := s.accounts.Budget(budgetName)
	if budget.Settled() != s.result.Used {
		s.check(fmt.Errorf("%d tokens ran, %d are billed", s.result.Used, budget.Settled()))
	}
	if budget.Outstanding() > budget.Limit/100 {
		s.check(fmt.Errorf("%d tokens are still granted long after the load ended", budget.Outstanding()))
	}
	s.check(budget.Check())
}
