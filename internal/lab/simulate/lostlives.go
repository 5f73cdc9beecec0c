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

// LostLivesDefect is a deliberate defect that the simulation must notice.
type LostLivesDefect int

// Defects of RunLostLives.
const (
	// NoLostLivesDefect is the product as it is.
	NoLostLivesDefect LostLivesDefect = iota
	// SilenceIgnored charges a life that is over its allowance only.
	SilenceIgnored
	// ClocksBelieved takes one control node's time of day for true.
	ClocksBelieved
)

// LostLivesOptions set up a run.
type LostLivesOptions struct {
	Seed   uint64
	Defect LostLivesDefect
	// WholeGrants is the policy before allowances: a life that is over is charged all
	// that it held.
	WholeGrants bool
	// Sudden brings about losses after which all come back soon, and cuts, and
	// leaves the clocks alone: what happens on most days.
	Sudden bool
	// Suspended also has machines stand still for seconds that their steady clocks don't
	// count, the leader's among them: it goes on leading, or leads again later.
	Suspended bool
	// Pooled has the nodes leave budgets to pool holders, see escrow.
	Pooled bool
	// Length of the run; 0 means lostLivesTime.
	Length time.Duration
}

// LostLivesResult is what a run came to, in requests and tokens.
type LostLivesResult struct {
	World                     *World
	Requests, Served, Refused int
	// Used is what ran, Wasted what lives that are over were charged beyond it.
	Used, Wasted uint64
}

const (
	lostLivesTime = 20 * time.Second
	// lostLivesTokens is each budget's limit, in tokens a second of the run: more
	// than is asked for, so that what is charged in vain matters late in it.
	lostLivesTokens = 10_000
	lostLivesRate   = 40.0
	lostLivesWait   = 100 * time.Millisecond
	holderTick      = 40 * time.Millisecond
	rootTick        = 10 * time.Millisecond
	// helloAge is how old a control node's word on its clock may be.
	helloAge = 600 * time.Millisecond
)

// spender is one entry node: it dies without a word and comes back as another.
type spender struct {
	name, zone string
	holder     *escrow.Holder
	life       uint64
	clock      machineClock
	down       bool
	heardRoot  time.Duration
}

// rootProcess is a process that leads, or did and may lead again.
type rootProcess struct {
	// name is that of its steady clock.
	name  uint64
	clock machineClock
}

// wallClock is a control node's time of day, which may jump.
type wallClock struct {
	offset time.Duration
	jumps  []clockJump
}

type clockJump struct{ at, by time.Duration }

// read is what the clock shows at a moment, in milliseconds.
func (c *wallClock) read(at time.Duration) int64 {
	shown := 1000*time.Hour + at + c.offset
	for _, jump := range c.jumps {
		if jump.at <= at {
			shown += jump.by
		}
	}
	return shown.Milliseconds()
}

// lostLives has entry nodes draw on budgets while they and the root's leader
// are killed, all at once or one before the other, cut off and late.
type lostLives struct {
	options  LostLivesOptions
	result   LostLivesResult
	world    *World
	network  *Network
	accounts *accounts.Accounts
	index    uint64
	budgets  []string
	spenders []*spender
	// root is nil while no leader runs, process is the one that leads or led last, and
	// processes is the number of all.
	root      *escrow.Root
	process   *rootProcess
	processes uint64
	walls     []*wallClock
	// dead are the holders of lives that are over and not closed.
	dead map[accounts.HolderID]*escrow.Holder
	used map[string]uint64
}

// RunLostLives runs one seed.
func RunLostLives(options LostLivesOptions) LostLivesResult {
	s := &lostLives{
		options: options, world: NewWorld(options.Seed), accounts: accounts.New(), budgets: []string{"one", "other"},
		dead: map[accounts.HolderID]*escrow.Holder{}, used: map[string]uint64{},
	}
	s.result.World = s.world
	length := cmp.Or(options.Length, lostLivesTime)
	s.network = NewNetwork(s.world)
	for _, budget := range s.budgets {
		s.accounts.SetLimit(budget, uint64(lostLivesTokens*length.Seconds()))
	}
	for range 3 {
		s.walls = append(s.walls, &wallClock{offset: s.world.Between(-20*time.Millisecond, 20*time.Millisecond)})
	}
	for number := range 7 {
		s.spenders = append(s.spenders, &spender{name: fmt.Sprintf("n%d", number), zone: string(rune('a' + number%3)), down: true})
	}
	s.bootRoot(nil)
	for _, one := range s.spenders {
		s.boot(one)
	}
	s.world.After(time.Second, s.arrive)
	s.world.After(3*time.Second, s.injectFault)
	s.world.RunUntil(length)
	for _, budget := range s.budgets {
		s.result.Used += s.used[budget]
	}
	return s.result
}

// send delivers a message, at times late; one that meets a cut is lost, or held
// up until the cut is over.
func (s *lostLives) send(from, to string, deliver func()) {
	late := time.Duration(0)
	if s.world.Chance(0.02) {
		late = s.world.Between(0, 4*time.Second)
	}
	s.world.After(late, func() { s.deliver(from, to, deliver) })
}

func (s *lostLives) deliver(from, to string, deliver func()) {
	if s.network.Reachable(from, to) {
		s.network.Send(from, to, deliver)
		return
	}
	if s.world.Chance(0.995) {
		s.world.After(holderTick, func() { s.deliver(from, to, deliver) })
	}
}

func (s *lostLives) boot(one *spender) {
	if !one.down {
		return
	}
	one.life++
	one.down, one.clock = false, machineClock{bootedAt: s.world.Now}
	life := one.life
	var lenders []string
	for _, other := range s.spenders {
		if other != one {
			lenders = append(lenders, other.name)
		}
	}
	options := escrow.HolderOptions{
		ID: accounts.HolderID{Node: fmt.Sprintf("%s#%d", one.name, life), Incarnation: 1}, ResponseTimeout: 50 * time.Millisecond,
		Lenders: lenders, RootReachable: func() bool { return s.world.Now-one.heardRoot < time.Second }, Allowances: !s.options.WholeGrants,
	}
	if s.options.Pooled {
		options.Pool = func(budget string) []string { return s.poolBefore(one, budget) }
		options.RemotePools = func(budget string) []string { return s.poolHolders(budget, one)[:1] }
	}
	one.holder = escrow.NewHolder(options)
	s.world.Every(holderTick, func() bool {
		if one.life != life || one.down {
			return false
		}
		if s.stands(one) {
			return true
		}
		one.holder.Tick(s.sinceBoot(one))
		s.flush(one)
		return true
	})
}

// sinceBoot is the node's own steady clock.
func (s *lostLives) sinceBoot(one *spender) time.Duration { return one.clock.read(s.world.Now) }

func (s *lostLives) stands(one *spender) bool { return one.clock.stands(s.world.Now) }

// atNode does something at a node, once it goes on if it stands still.
func (s *lostLives) atNode(one *spender, act func()) {
	if s.stands(one) {
		s.world.After(one.clock.standsUntil-s.world.Now, func() { s.atNode(one, act) })
		return
	}
	act()
}

func (s *lostLives) flush(one *spender) {
	now := s.sinceBoot(one)
	if report, due := one.holder.Report(now); due {
		s.send(one.name, rootName, func() {
			if s.root != nil {
				s.root.TakeReport(report)
			}
		})
	}
	for _, pool := range one.holder.TakeOutgoingPools() {
		other := s.named(pool.To)
		s.send(one.name, pool.To, func() { s.atNode(other, func() { s.takePool(other, pool.Message) }) })
	}
	for _, loan := range one.holder.TakeOutgoingLoans() {
		other := s.named(loan.To)
		s.send(one.name, loan.To, func() { s.atNode(other, func() { s.takeLend(other, loan.Message) }) })
	}
}

func (s *lostLives) named(name string) *spender {
	for _, one := range s.spenders {
		if len(name) >= len(one.name) && name[:len(one.name)] == one.name {
			return one
		}
	}
	return nil
}

// poolHolders are two nodes that hold a budget for all, but for one node.
func (s *lostLives) poolHolders(budget string, but *spender) []string {
	var holders []string
	for step := range s.spenders {
		if one := s.spenders[(step+len(budget))%len(s.spenders)]; one != but && len(holders) < 2 {
			holders = append(holders, one.name)
		}
	}
	return holders
}

// poolBefore are the pool holders that come before a node.
func (s *lostLives) poolBefore(one *spender, budget string) []string {
	holders := s.poolHolders(budget, nil)
	if place := slices.Index(holders, one.name); place >= 0 {
		return holders[:place]
	}
	return holders
}

func (s *lostLives) takePool(one *spender, message escrow.PoolMessage) {
	if one.down {
		return
	}
	one.holder.TakePool(s.sinceBoot(one), message)
	s.flush(one)
}

// takeLend is the part of a node that hands loans to its holder.
func (s *lostLives) takeLend(one *spender, message escrow.LoanMessage) {
	if one.down {
		return
	}
	takeLend(one.holder, s.sinceBoot(one), message)
	s.flush(one)
}

// takeLend is one step of a loan whose agreement needs no register.
func takeLend(holder *escrow.Holder, now time.Duration, message escrow.LoanMessage) {
	neverFenced := func(accounts.HolderID) bool { return false }
	switch {
	case message.Request != nil:
		if loan, given := holder.Lend(*message.Request, neverFenced); given {
			holder.LoanAgreed(now, loan)
		}
	case message.Loan != nil:
		holder.TakeLoan(now, *message.Loan, neverFenced)
	case message.Confirmed != nil:
		holder.LoanConfirmed(*message.Confirmed)
	}
}

// bootRoot has a process lead: one that led before, or nil for a new one.
func (s *lostLives) bootRoot(process *rootProcess) {
	if process == nil {
		s.processes++
		process = &rootProcess{name: s.processes, clock: machineClock{bootedAt: s.world.Now}}
	}
	s.process = process
	leadsSince := s.world.Now
	leader := s.world.Random.IntN(len(s.walls))
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
			s.toHolder(to, func(one *spender) { one.holder.TakeResponse(s.sinceBoot(one), message) })
		},
		Recall: func(to string, message escrow.RecallMessage) {
			s.toHolder(to, func(one *spender) { one.holder.Recall(message) })
		},
		RecallInterval: 500 * time.Millisecond,
		SummaryOf:      func(budget string) escrow.BudgetSummary { return escrow.SummaryOf(s.accounts.Budget(budget)) },
		SendSummaries: func(to string, message escrow.SummariesMessage) {
			s.toHolder(to, func(one *spender) { one.holder.TakeSummaries(message) })
		},
	}
	if !s.options.WholeGrants {
		options.Contact = func() accounts.Contact { return s.readClocks(leader).Contact() }
	}
	root := escrow.NewRoot(options)
	s.root = root
	s.world.Every(rootTick, func() bool {
		if s.root != root {
			return false
		}
		if process.clock.stands(s.world.Now) {
			return true
		}
		root.Tick(s.world.Now)
		s.propose(root)
		s.closeLives(leader, leadsSince)
		return true
	})
}

func (s *lostLives) toHolder(to string, act func(*spender)) {
	one := s.named(to)
	s.send(rootName, one.name, func() {
		s.atNode(one, func() {
			if one.down {
				return
			}
			one.heardRoot = s.world.Now
			act(one)
			s.flush(one)
		})
	})
}

// readClocks reads the leader's clocks and what it last heard of the others'.
func (s *lostLives) readClocks(leader int) clocks.Reading {
	reading := clocks.Reading{Clock: s.process.name, Monotonic: s.process.clock.read(s.world.Now)}
	var others []int64
	for number, wall := range s.walls {
		if number != leader {
			age := s.world.Between(0, helloAge)
			others = append(others, wall.read(s.world.Now-age)+age.Milliseconds())
		}
	}
	own := s.walls[leader].read(s.world.Now)
	if s.options.Defect == ClocksBelieved || clocks.Agree(own, others, len(s.walls)) {
		reading.WallMS = own
	}
	return reading
}

// propose commits waiting reports a moment later, as the replicated log does. A
// leader that is gone by then may have had them committed or not.
func (s *lostLives) propose(root *escrow.Root) {
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
		result := takeReports(s.accounts, batch.Command, contact)
		for _, budget := range s.budgets {
			s.world.Check(s.accounts.Budget(budget).Check())
		}
		if s.root == root {
			root.Applied(s.world.Now, batch, result)
		}
	})
}

// takeReports applies a command's reports, as the state machine does.
func takeReports(root *accounts.Accounts, command machine.Command, contact accounts.Contact) machine.Result {
	result := machine.Result{Contact: contact}
	for _, reports := range command.Reports {
		if reports.Allowances {
			root.RecordContact(reports.Holder, reports.LastContact, contact)
		}
		var answers []accounts.Response
		for _, report := range reports.Reports {
			answers = append(answers, root.ApplyReport(reports.Holder, report, 0))
		}
		result.Responses = append(result.Responses, answers)
	}
	return result
}

// closeLives ends the accounts of lives whose node runs another one.
func (s *lostLives) closeLives(leader int, leadsSince time.Duration) {
	ids := slices.SortedFunc(maps.Keys(s.dead), accounts.HolderID.Compare)
	for _, id := range ids {
		holder := s.dead[id]
		successor := s.named(id.Node)
		if successor.down || !s.network.Reachable(successor.name, rootName) || s.accounts.Closed(id) {
			continue
		}
		reading := s.readClocks(leader)
		age := max(0, s.sinceBoot(successor)-s.world.Between(0, helloAge))
		silence, known := clocks.TimeSinceContact(s.accounts.LastContact(id), reading, age)
		if !known && s.world.Now-leadsSince < 3*time.Second {
			continue
		}
		if s.options.Defect == SilenceIgnored {
			silence = 0
		}
		s.end(id, holder, silence)
	}
}

// end closes a life and checks that it is charged all that it used.
func (s *lostLives) end(id accounts.HolderID, holder *escrow.Holder, silence time.Duration) {
	charged := map[string]uint64{}
	for _, budget := range s.budgets {
		charged[budget] = s.accounts.Budget(budget).ClosedSettled
	}
	s.accounts.CloseCrashed(id, silence)
	delete(s.dead, id)
	for _, budget := range s.budgets {
		charge := s.accounts.Budget(budget).ClosedSettled - charged[budget]
		use := holder.OwnUse(budget)
		if charge < use {
			s.world.Check(fmt.Errorf("%s is charged %d tokens of %q, it used %d", id, charge, budget, use))
			return
		}
		s.world.Check(nil)
		s.result.Wasted += charge - use
	}
}

// arrive lets one request arrive at a random node; large ones are as large as
// many small ones together.
func (s *lostLives) arrive() {
	s.world.After(time.Duration(s.world.Random.ExpFloat64()/lostLivesRate*float64(time.Second)), s.arrive)
	one := s.spenders[s.world.Random.IntN(len(s.spenders))]
	if one.down || s.stands(one) {
		return
	}
	amount := 50 + s.world.Random.Uint64N(200)
	if s.world.Chance(0.1) {
		amount *= 20
	}
	budget := s.budgets[s.world.Random.IntN(len(s.budgets))]
	life, holder, now := one.life, one.holder, s.sinceBoot(one)
	s.result.Requests++
	holder.Reserve(now, now+lostLivesWait, budget, amount, escrow.Policy{}, func(held escrow.Reservation, err error) {
		if err != nil {
			s.result.Refused++
			return
		}
		s.result.Served++
		s.run(held, func(used uint64) {
			s.atNode(one, func() {
				if one.life == life && !one.down {
					holder.Settle(s.sinceBoot(one), held, used)
					s.flush(one)
				}
			})
		})
	})
	s.flush(one)
}

// run lets a reserved request use a part of its bound; it goes on when its node
// dies.
func (s *lostLives) run(held escrow.Reservation, ended func(used uint64)) {
	s.used[held.Budget] += held.Amount
	if used, limit := s.used[held.Budget], s.accounts.Budget(held.Budget).Limit; used > limit {
		s.world.Check(fmt.Errorf("%d tokens of %q ran or run, the limit is %d", used, held.Budget, limit))
	}
	used := held.Amount/2 + s.world.Random.Uint64N(held.Amount-held.Amount/2+1)
	s.world.After(s.world.Between(50*time.Millisecond, 2*time.Second), func() {
		s.used[held.Budget] -= held.Amount - used
		ended(used)
	})
}
