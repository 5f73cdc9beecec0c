package simulate

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/ravenway/ravenway/internal/coordination/clocks"
	"github.com/ravenway/ravenway/internal/coordination/escrow"
	"github.com/ravenway/ravenway/internal/state/accounts"
	"github.com/ravenway/ravenway/internal/state/machine"
)

// CrashDefect is a deliberate defect that the simulation must detect.
type CrashDefect int

// Defects of RunCrashes.
const (
	// CrashNoDefect runs the real code.
	CrashNoDefect CrashDefect = iota
	// LastContactIgnored takes the time since an incarnation's last contact with the root to be 0, so
	// that a crashed incarnation is charged only its allowance.
	LastContactIgnored
	// SingleClockTrusted trusts the wall clock of a single control node.
	SingleClockTrusted
)

// CrashOptions configures a run of RunCrashes.
type CrashOptions struct {
	Seed   uint64
	Defect CrashDefect
	// WithoutAllowances disables allowances, which limit how much of its grant an incarnation can have used
	// when it crashes: a crashed incarnation is charged all that it held.
	WithoutAllowances bool
	// OnlyUsualFaults injects only the most usual faults: crashes after which all nodes restart soon, and
	// partitions, without clock jumps.
	OnlyUsualFaults bool
	// Suspensions also suspends machines for seconds that their monotonic clocks don't count, the
	// leader's among them: it continues to lead, or leads again later.
	Suspensions bool
	// PooledBudgets lets nodes leave budgets to pool holders, see package escrow.
	PooledBudgets bool
	// Duration is the duration of the run; 0 means crashRunTime.
	Duration time.Duration
}

// CrashResult is the result of RunCrashes, in requests and tokens.
type CrashResult struct {
	World                     *World
	Requests, Served, Refused int
	// Used is the tokens that ran, Overcharged those that crashed incarnations were charged beyond
	// their own use.
	Used, Overcharged uint64
}

const (
	crashRunTime = 20 * time.Second
	// crashTokensPerSecond is each budget's limit, in tokens a second of the run. It exceeds the
	// demand, so that wasted charges matter only late in the run.
	crashTokensPerSecond = 10_000
	crashRequestRate     = 40.0
	crashMaximumWait     = 100 * time.Millisecond
	holderTick           = 40 * time.Millisecond
	rootTick             = 10 * time.Millisecond
	// maximumHelloAge is the maximum age of the clock reading in a control node's last hello.
	maximumHelloAge = 600 * time.Millisecond
)

// spendingNode is one entry node: it crashes without a final report, and restarts as another
// incarnation.
type spendingNode struct {
	name, zone  string
	holder      *escrow.Holder
	incarnation uint64
	clock       machineClock
	isDown      bool
	// rootContactAt is when the node last received a message of the root.
	rootContactAt time.Duration
}

// rootProcess is a control node's process that leads, or has led and may lead again.
type rootProcess struct {
	// clockID identifies its monotonic clock.
	clockID uint64
	clock   machineClock
}

// wallClock is the wall clock of a control node, which may jump.
type wallClock struct {
	offset time.Duration
	jumps  []clockJump
}

type clockJump struct{ at, by time.Duration }

// read returns the milliseconds that the clock shows at a moment.
func (c *wallClock) read(at time.Duration) int64 {
	shown := 1000*time.Hour + at + c.offset
	for _, jump := range c.jumps {
		if jump.at <= at {
			shown += jump.by
		}
	}
	return shown.Milliseconds()
}

// crashSimulation lets entry nodes draw on budgets while they and the root's leader are killed,
// together or one before the other, partitioned, and delayed.
type crashSimulation struct {
	options  CrashOptions
	result   CrashResult
	world    *World
	network  *Network
	accounts *accounts.Accounts
	// index is the log index of the last committed command.
	index   uint64
	budgets []string
	nodes   []*spendingNode
	// root is nil while no leader runs. process is the one that leads or led last, processCount
	// the number of all processes so far.
	root         *escrow.Root
	process      *rootProcess
	processCount uint64
	wallClocks   []*wallClock
	// crashed holds the holders of crashed incarnations whose accounts are not yet closed.
	crashed map[accounts.HolderID]*escrow.Holder
	// used holds for each budget the tokens that ran or are reserved by running requests.
	used map[string]uint64
}

// RunCrashes simulates entry nodes and leaders that crash, and the accounts that are closed for
// crashed incarnations. It runs one seed.
func RunCrashes(options CrashOptions) CrashResult {
	s := &crashSimulation{
		options: options, world: NewWorld(options.Seed), accounts: accounts.New(), budgets: []string{"one", "other"},
		crashed: map[accounts.HolderID]*escrow.Holder{}, used: map[string]uint64{},
	}
	s.result.World = s.world
	length := cmp.Or(options.Duration, crashRunTime)
	s.network = NewNetwork(s.world)
	for _, budget := range s.budgets {
		s.accounts.SetLimit(budget, uint64(crashTokensPerSecond*length.Seconds()))
	}
	for range 3 {
		s.wallClocks = append(s.wallClocks, &wallClock{offset: s.world.Between(-20*time.Millisecond, 20*time.Millisecond)})
	}
	for number := range 7 {
		s.nodes = append(s.nodes, &spendingNode{name: fmt.Sprintf("n%d", number), zone: string(rune('a' + number%3)), isDown: true})
	}
	s.startLeader(nil)
	for _, node := range s.nodes {
		s.boot(node)
	}
	s.world.After(time.Second, s.generateRequest)
	s.world.After(3*time.Second, s.injectFault)
	s.world.RunUntil(length)
	for _, budget := range s.budgets {
		s.result.Used += s.used[budget]
	}
	return s.result
}

// send delivers a message, sometimes late. Under a partition the message is retried until it is
// lost or the partition ends.
func (s *crashSimulation) send(from, to string, deliver func()) {
	late := time.Duration(0)
	if s.world.Chance(0.02) {
		late = s.world.Between(0, 4*time.Second)
	}
	s.world.After(late, func() { s.deliver(from, to, deliver) })
}

func (s *crashSimulation) deliver(from, to string, deliver func()) {
	if s.network.Reachable(from, to) {
		s.network.Send(from, to, deliver)
		return
	}
	if s.world.Chance(0.995) {
		s.world.After(holderTick, func() { s.deliver(from, to, deliver) })
	}
}

func (s *crashSimulation) boot(node *spendingNode) {
	if !node.isDown {
		return
	}
	node.incarnation++
	node.isDown, node.clock = false, machineClock{startedAt: s.world.Now}
	incarnation := node.incarnation
	var lenders []string
	for _, other := range s.nodes {
		if other != node {
			lenders = append(lenders, other.name)
		}
	}
	options := escrow.HolderOptions{
		ID: accounts.HolderID{Node: fmt.Sprintf("%s#%d", node.name, incarnation), Incarnation: 1}, ResponseTimeout: 50 * time.Millisecond,
		Lenders: lenders, RootReachable: func() bool { return s.world.Now-node.rootContactAt < time.Second }, Allowances: !s.options.WithoutAllowances,
	}
	if s.options.PooledBudgets {
		options.Pool = func(budget string) []string { return s.poolHoldersBefore(node, budget) }
		options.RemotePools = func(budget string) []string { return s.poolHolders(budget, node)[:1] }
	}
	node.holder = escrow.NewHolder(options)
	s.world.Every(holderTick, func() bool {
		if node.incarnation != incarnation || node.isDown {
			return false
		}
		if s.isPaused(node) {
			return true
		}
		node.holder.Tick(s.sinceBoot(node))
		s.flush(node)
		return true
	})
}

// sinceBoot returns the time of the node's own monotonic clock.
func (s *crashSimulation) sinceBoot(node *spendingNode) time.Duration {
	return node.clock.read(s.world.Now)
}

func (s *crashSimulation) isPaused(node *spendingNode) bool { return node.clock.isPaused(s.world.Now) }

// atNode runs an action at a node, or once the node has resumed if it is paused.
func (s *crashSimulation) atNode(node *spendingNode, act func()) {
	if s.isPaused(node) {
		s.world.After(node.clock.pausedUntil-s.world.Now, func() { s.atNode(node, act) })
		return
	}
	act()
}

func (s *crashSimulation) flush(node *spendingNode) {
	now := s.sinceBoot(node)
	if report, due := node.holder.Report(now); due {
		s.send(node.name, rootName, func() {
			if s.root != nil {
				s.root.HandleReport(report)
			}
		})
	}
	for _, pool := range node.holder.TakeOutgoingPools() {
		other := s.nodeNamed(pool.To)
		s.send(node.name, pool.To, func() { s.atNode(other, func() { s.receivePool(other, pool.Message) }) })
	}
	for _, loan := range node.holder.TakeOutgoingLoans() {
		other := s.nodeNamed(loan.To)
		s.send(node.name, loan.To, func() { s.atNode(other, func() { s.receiveLoanMessage(other, loan.Message) }) })
	}
}

func (s *crashSimulation) nodeNamed(name string) *spendingNode {
	for _, node := range s.nodes {
		if len(name) >= len(node.name) && name[:len(node.name)] == node.name {
			return node
		}
	}
	return nil
}

// poolHolders lists the two nodes that hold a budget for all, without the given node.
func (s *crashSimulation) poolHolders(budget string, excluded *spendingNode) []string {
	var holders []string
	for step := range s.nodes {
		if node := s.nodes[(step+len(budget))%len(s.nodes)]; node != excluded && len(holders) < 2 {
			holders = append(holders, node.name)
		}
	}
	return holders
}

// poolHoldersBefore lists the pool holders that rank before a node.
func (s *crashSimulation) poolHoldersBefore(node *spendingNode, budget string) []string {
	holders := s.poolHolders(budget, nil)
	if rank := slices.Index(holders, node.name); rank >= 0 {
		return holders[:rank]
	}
	return holders
}

func (s *crashSimulation) receivePool(node *spendingNode, message escrow.PoolMessage) {
	if node.isDown {
		return
	}
	node.holder.HandlePoolMessage(s.sinceBoot(node), message)
	s.flush(node)
}

// receiveLoanMessage passes a loan message to a node's holder.
func (s *crashSimulation) receiveLoanMessage(node *spendingNode, message escrow.LoanMessage) {
	if node.isDown {
		return
	}
	applyLoanMessage(node.holder, s.sinceBoot(node), message)
	s.flush(node)
}

// applyLoanMessage performs one step of a loan that needs no register to be agreed on.
func applyLoanMessage(holder *escrow.Holder, now time.Duration, message escrow.LoanMessage) {
	neverFenced := func(accounts.HolderID) bool { return false }
	switch {
	case message.Request != nil:
		if loan, given := holder.Lend(*message.Request, neverFenced); given {
			holder.LoanAgreed(now, loan)
		}
	case message.Loan != nil:
		holder.HandleLoan(now, *message.Loan, neverFenced)
	case message.Confirmed != nil:
		holder.LoanConfirmed(*message.Confirmed)
	}
}

// startLeader makes a process the leader: one that led before, or a new one if process is nil.
func (s *crashSimulation) startLeader(process *rootProcess) {
	if process == nil {
		s.processCount++
		process = &rootProcess{clockID: s.processCount, clock: machineClock{startedAt: s.world.Now}}
	}
	s.process = process
	leadsSince := s.world.Now
	leader := s.world.Random.IntN(len(s.wallClocks))
	options := escrow.RootOptions{
		HoldersOf: func(budget string) []accounts.Holder {
			var holders []accounts.Holder
			for _, holder := range s.accounts.Budget(budget).OpenHolders() {
				if holder.Outstanding() > 0 {
					holders = append(holders, *holder)
				}
			}
			return holders
		},
		Respond: func(to string, message escrow.ResponseMessage) {
			s.sendToHolder(to, func(node *spendingNode) { node.holder.HandleResponse(s.sinceBoot(node), message) })
		},
		Recall: func(to string, message escrow.RecallMessage) {
			s.sendToHolder(to, func(node *spendingNode) { node.holder.Recall(message) })
		},
		RecallInterval: 500 * time.Millisecond,
		SummaryOf:      func(budget string) escrow.BudgetSummary { return escrow.SummaryOf(s.accounts.Budget(budget)) },
		SendSummaries: func(to string, message escrow.SummariesMessage) {
			s.sendToHolder(to, func(node *spendingNode) { node.holder.HandleSummaries(message) })
		},
	}
	if !s.options.WithoutAllowances {
		options.Contact = func() accounts.Contact { return s.readClocks(leader).Contact() }
	}
	root := escrow.NewRoot(options)
	s.root = root
	s.world.Every(rootTick, func() bool {
		if s.root != root {
			return false
		}
		if process.clock.isPaused(s.world.Now) {
			return true
		}
		root.Tick(s.world.Now)
		s.propose(root)
		s.closeCrashed(leader, leadsSince)
		return true
	})
}

func (s *crashSimulation) sendToHolder(to string, act func(*spendingNode)) {
	node := s.nodeNamed(to)
	s.send(rootName, node.name, func() {
		s.atNode(node, func() {
			if node.isDown {
				return
			}
			node.rootContactAt = s.world.Now
			act(node)
			s.flush(node)
		})
	})
}

// readClocks reads the leader's clocks and compares its wall clock with those in the last hellos
// of the others.
func (s *crashSimulation) readClocks(leader int) clocks.Reading {
	reading := clocks.Reading{Clock: s.process.clockID, Monotonic: s.process.clock.read(s.world.Now)}
	var others []int64
	for number, wall := range s.wallClocks {
		if number != leader {
			age := s.world.Between(0, maximumHelloAge)
			others = append(others, wall.read(s.world.Now-age)+age.Milliseconds())
		}
	}
	ownWall := s.wallClocks[leader].read(s.world.Now)
	if s.options.Defect == SingleClockTrusted || clocks.Agree(ownWall, others, len(s.wallClocks)) {
		reading.WallMS = ownWall
	}
	return reading
}

// propose commits the waiting reports after a delay, as the replicated log does. If the leader is
// gone by then, they may be committed or not.
func (s *crashSimulation) propose(root *escrow.Root) {
	batch, found := root.Batch()
	if !found {
		return
	}
	s.world.After(s.world.Between(time.Millisecond, 25*time.Millisecond), func() {
		if s.root != root && s.world.Chance(0.5) {
			return
		}
		s.index++
		contact := batch.Command.Contact
		contact.Index = s.index
		result := applyReports(s.accounts, batch.Command, contact)
		for _, budget := range s.budgets {
			s.world.Check(s.accounts.Budget(budget).Check())
		}
		if s.root == root {
			root.Applied(s.world.Now, batch, result)
		}
	})
}

// applyReports applies a command's reports, as the state machine does.
func applyReports(root *accounts.Accounts, command machine.Command, contact accounts.Contact) machine.Result {
	result := machine.Result{Contact: contact}
	for _, reports := range command.Reports {
		if reports.Allowances {
			root.RecordContact(reports.Holder, reports.LastContact, contact)
		}
		var responses []accounts.Response
		for _, report := range reports.Reports {
			responses = append(responses, root.ApplyReport(reports.Holder, report, 0))
		}
		result.Responses = append(result.Responses, responses)
	}
	return result
}

// closeCrashed closes the accounts of crashed incarnations whose node runs a new one.
func (s *crashSimulation) closeCrashed(leader int, leadsSince time.Duration) {
	ids := slices.SortedFunc(maps.Keys(s.crashed), accounts.HolderID.Compare)
	for _, id := range ids {
		holder := s.crashed[id]
		successor := s.nodeNamed(id.Node)
		if successor.isDown || !s.network.Reachable(successor.name, rootName) || s.accounts.Closed(id) {
			continue
		}
		reading := s.readClocks(leader)
		age := max(0, s.sinceBoot(successor)-s.world.Between(0, maximumHelloAge))
		sinceContact, known := clocks.TimeSinceContact(s.accounts.LastContact(id), reading, age)
		if !known && s.world.Now-leadsSince < 3*time.Second {
			continue
		}
		if s.options.Defect == LastContactIgnored {
			sinceContact = 0
		}
		s.closeAccounts(id, holder, sinceContact)
	}
}

// closeAccounts closes the accounts of an incarnation and checks that it is charged at least what it
// used.
func (s *crashSimulation) closeAccounts(id accounts.HolderID, holder *escrow.Holder, sinceContact time.Duration) {
	charged := map[string]uint64{}
	for _, budget := range s.budgets {
		charged[budget] = s.accounts.Budget(budget).ClosedSettled
	}
	s.accounts.CloseCrashed(id, sinceContact)
	delete(s.crashed, id)
	for _, budget := range s.budgets {
		charge := s.accounts.Budget(budget).ClosedSettled - charged[budget]
		use := holder.OwnUse(budget)
		if charge < use {
			s.world.Check(fmt.Errorf("%s is charged %d tokens of %q, but used %d", id, charge, budget, use))
			return
		}
		s.world.Check(nil)
		s.result.Overcharged += charge - use
	}
}

// generateRequest generates one request at a random node and schedules the next one. One in ten
// needs 20 times as many tokens as the others.
func (s *crashSimulation) generateRequest() {
	s.world.After(time.Duration(s.world.Random.ExpFloat64()/crashRequestRate*float64(time.Second)), s.generateRequest)
	node := s.nodes[s.world.Random.IntN(len(s.nodes))]
	if node.isDown || s.isPaused(node) {
		return
	}
	amount := 50 + s.world.Random.Uint64N(200)
	if s.world.Chance(0.1) {
		amount *= 20
	}
	budget := s.budgets[s.world.Random.IntN(len(s.budgets))]
	incarnation, holder, now := node.incarnation, node.holder, s.sinceBoot(node)
	s.result.Requests++
	holder.Reserve(now, now+crashMaximumWait, budget, amount, escrow.Policy{}, func(reservation escrow.Reservation, err error) {
		if err != nil {
			s.result.Refused++
			return
		}
		s.result.Served++
		s.run(reservation, func(used uint64) {
			s.atNode(node, func() {
				if node.incarnation == incarnation && !node.isDown {
					holder.Settle(s.sinceBoot(node), reservation, used)
					s.flush(node)
				}
			})
		})
	})
	s.flush(node)
}

// run executes a reserved request, which uses at least half of the reserved tokens. It continues if
// its node is killed.
func (s *crashSimulation) run(reservation escrow.Reservation, onEnd func(used uint64)) {
	s.used[reservation.Budget] += reservation.Amount
	if used, limit := s.used[reservation.Budget], s.accounts.Budget(reservation.Budget).Limit; used > limit {
		s.world.Check(fmt.Errorf("%d tokens of %q ran or are reserved by running requests, the limit is %d", used, reservation.Budget, limit))
	}
	used := reservation.Amount/2 + s.world.Random.Uint64N(reservation.Amount-reservation.Amount/2+1)
	s.world.After(s.world.Between(50*time.Millisecond, 2*time.Second), func() {
		s.used[reservation.Budget] -= reservation.Amount - used
		onEnd(used)
	})
}
