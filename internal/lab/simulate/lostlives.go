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

// LostLivesDefect is a deliberate defect that the simulation must detect.
type LostLivesDefect int

// Defects of RunLostLives.
const (
	// NoLostLivesDefect runs the real code.
	NoLostLivesDefect LostLivesDefect = iota
	// SilenceIgnored takes the time since an incarnation's last contact with the root for 0, so
	// that a crashed incarnation is charged only its allowance.
	SilenceIgnored
	// ClocksBelieved trusts the wall clock of a single control node.
	ClocksBelieved
)

// LostLivesOptions configures a run of RunLostLives.
type LostLivesOptions struct {
	Seed   uint64
	Defect LostLivesDefect
	// WholeGrants is the policy before allowances were introduced: a crashed incarnation is charged
	// all that it held.
	WholeGrants bool
	// Sudden injects only the most usual faults: crashes after which all nodes restart soon, and
	// partitions, without clock jumps.
	Sudden bool
	// Suspended also suspends machines for seconds that their monotonic clocks don't count, the
	// leader's among them: it continues to lead, or leads again later.
	Suspended bool
	// Pooled lets nodes leave budgets to pool holders, see package escrow.
	Pooled bool
	// Length is the duration of the run; 0 means lostLivesTime.
	Length time.Duration
}

// LostLivesResult is the result of RunLostLives, in requests and tokens.
type LostLivesResult struct {
	World                     *World
	Requests, Served, Refused int
	// Used is the tokens that ran, Wasted those that crashed incarnations were charged beyond
	// their own use.
	Used, Wasted uint64
}

const (
	lostLivesTime = 20 * time.Second
	// lostLivesTokens is each budget's limit, in tokens a second of the run. It exceeds the
	// demand, so that wasted charges matter only late in the run.
	lostLivesTokens = 10_000
	lostLivesRate   = 40.0
	lostLivesWait   = 100 * time.Millisecond
	holderTick      = 40 * time.Millisecond
	rootTick        = 10 * time.Millisecond
	// helloAge is the maximum age of the clock reading in a control node's last hello.
	helloAge = 600 * time.Millisecond
)

// spender is one entry node: it crashes without a final report, and restarts as another
// incarnation.
type spender struct {
	name, zone string
	holder     *escrow.Holder
	life       uint64
	clock      machineClock
	down       bool
	heardRoot  time.Duration
}

// rootProcess is a control node's process that leads, or has led and may lead again.
type rootProcess struct {
	// name identifies its monotonic clock.
	name  uint64
	clock machineClock
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

// lostLives lets entry nodes draw on budgets while they and the root's leader are killed, together
// or one before the other, partitioned, and delayed.
type lostLives struct {
	options  LostLivesOptions
	result   LostLivesResult
	world    *World
	network  *Network
	accounts *accounts.Accounts
	index    uint64
	budgets  []string
	spenders []*spender
	// root is nil while no leader runs. process is the one that leads or led last, processes the
	// number of all processes so far.
	root      *escrow.Root
	process   *rootProcess
	processes uint64
	walls     []*wallClock
	// dead holds the holders of crashed incarnations whose accounts are not yet closed.
	dead map[accounts.HolderID]*escrow.Holder
	used map[string]uint64
}

// RunLostLives simulates entry nodes and leaders that crash, and the accounts that are closed for
// crashed incarnations. It runs one seed.
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

// send delivers a message, sometimes late. Under a partition the message is retried until it is
// lost or the partition ends.
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
		ID: accounts.HolderID{Node: fmt.Sprintf("%s#%d", one.name, life), Incarnation: 1}, AnswerTimeout: 50 * time.Millisecond,
		Lenders: lenders, RootReachable: func() bool { return s.world.Now-one.heardRoot < time.Second }, Allowances: !s.options.WholeGrants,
	}
	if s.options.Pooled {
		options.Pool = func(budget string) []string { return s.poolBefore(one, budget) }
		options.FarPools = func(budget string) []string { return s.poolHolders(budget, one)[:1] }
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

// sinceBoot returns the time of the node's own monotonic clock.
func (s *lostLives) sinceBoot(one *spender) time.Duration { return one.clock.read(s.world.Now) }

func (s *lostLives) stands(one *spender) bool { return one.clock.stands(s.world.Now) }

// atNode runs an action at a node, or once the node has resumed if it is paused.
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
				s.root.Take(report)
			}
		})
	}
	for _, pool := range one.holder.Pools() {
		other := s.named(pool.To)
		s.send(one.name, pool.To, func() { s.atNode(other, func() { s.takePool(other, pool.Message) }) })
	}
	for _, loan := range one.holder.Loans() {
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

// poolHolders lists the two nodes that hold a budget for all, without the given node.
func (s *lostLives) poolHolders(budget string, but *spender) []string {
	var holders []string
	for step := range s.spenders {
		if one := s.spenders[(step+len(budget))%len(s.spenders)]; one != but && len(holders) < 2 {
			holders = append(holders, one.name)
		}
	}
	return holders
}

// poolBefore lists the pool holders that rank before a node.
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

// takeLend passes a loan message to a node's holder.
func (s *lostLives) takeLend(one *spender, message escrow.LendMessage) {
	if one.down {
		return
	}
	takeLend(one.holder, s.sinceBoot(one), message)
	s.flush(one)
}

// takeLend performs one step of a loan that needs no register to be agreed on.
func takeLend(holder *escrow.Holder, now time.Duration, message escrow.LendMessage) {
	neverFenced := func(accounts.HolderID) bool { return false }
	switch {
	case message.Request != nil:
		if loan, given := holder.Lend(*message.Request, neverFenced); given {
			holder.Agreed(now, loan)
		}
	case message.Given != nil:
		holder.TakeLoan(now, *message.Given, neverFenced)
	case message.Taken != nil:
		holder.LoanTaken(*message.Taken)
	}
}

// bootRoot makes a process the leader: one that led before, or a new one if process is nil.
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
		Reply: func(to string, message escrow.AnswerMessage) {
			s.toHolder(to, func(one *spender) { one.holder.Take(s.sinceBoot(one), message) })
		},
		Recall: func(to string, message escrow.RecallMessage) {
			s.toHolder(to, func(one *spender) { one.holder.Recall(message) })
		},
		RecallPause: 500 * time.Millisecond,
		StandingOf:  func(budget string) escrow.Standing { return escrow.StandingOf(s.accounts.Budget(budget)) },
		Tell: func(to string, message escrow.StandingsMessage) {
			s.toHolder(to, func(one *spender) { one.holder.TakeStandings(message) })
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

// readClocks reads the leader's clocks and compares its wall clock with those in the last hellos
// of the others.
func (s *lostLives) readClocks(leader int) clocks.Reading {
	reading := clocks.Reading{Clock: s.process.name, Steady: s.process.clock.read(s.world.Now)}
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

// propose commits the waiting reports after a delay, as the replicated log does. If the leader is
// gone by then, they may be committed or not.
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
			root.Hear(reports.Holder, reports.Heard, contact)
		}
		var answers []accounts.Answer
		for _, report := range reports.Reports {
			answers = append(answers, root.Take(reports.Holder, report, 0))
		}
		result.Answers = append(result.Answers, answers)
	}
	return result
}

// closeLives closes the accounts of crashed incarnations whose node runs a new one.
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
		silence, known := clocks.Silence(s.accounts.LastContact(id), reading, age)
		if !known && s.world.Now-leadsSince < 3*time.Second {
			continue
		}
		if s.options.Defect == SilenceIgnored {
			silence = 0
		}
		s.end(id, holder, silence)
	}
}

// end closes the accounts of an incarnation and checks that it is charged at least what it used.
func (s *lostLives) end(id accounts.HolderID, holder *escrow.Holder, silence time.Duration) {
	charged := map[string]uint64{}
	for _, budget := range s.budgets {
		charged[budget] = s.accounts.Budget(budget).ClosedSettled
	}
	s.accounts.End(id, silence)
	delete(s.dead, id)
	for _, budget := range s.budgets {
		charge := s.accounts.Budget(budget).ClosedSettled - charged[budget]
		use := holder.OwnUse(budget)
		if charge < use {
			s.world.Check(fmt.Errorf("%s is charged %d tokens of %q, but used %d", id, charge, budget, use))
			return
		}
		s.world.Check(nil)
		s.result.Wasted += charge - use
	}
}

// arrive generates one request at a random node and schedules the next one. One in ten needs 20
// times as many tokens as the others.
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

// run executes a reserved request, which uses at least half of its bound. It continues if its node
// is killed.
func (s *lostLives) run(held escrow.Reservation, ended func(used uint64)) {
	s.used[held.Budget] += held.Amount
	if used, limit := s.used[held.Budget], s.accounts.Budget(held.Budget).Limit; used > limit {
		s.world.Check(fmt.Errorf("%d tokens of %q ran or are reserved by running requests, the limit is %d", used, held.Budget, limit))
	}
	used := held.Amount/2 + s.world.Random.Uint64N(held.Amount-held.Amount/2+1)
	s.world.After(s.world.Between(50*time.Millisecond, 2*time.Second), func() {
		s.used[held.Budget] -= held.Amount - used
		ended(used)
	})
}
