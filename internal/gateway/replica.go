package gateway

import (
	"cmp"
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"github.com/ravenway/ravenway/internal/coordination/consensus"
	"github.com/ravenway/ravenway/internal/coordination/escrow"
	"github.com/ravenway/ravenway/internal/coordination/logversion"
	"github.com/ravenway/ravenway/internal/coordination/replicaset"
	"github.com/ravenway/ravenway/internal/duty"
	"github.com/ravenway/ravenway/internal/protocol/peer"
	"github.com/ravenway/ravenway/internal/state/accounts"
	"github.com/ravenway/ravenway/internal/state/journal"
	"github.com/ravenway/ravenway/internal/state/machine"
)

const (
	replicaTick = 50 * time.Millisecond
	// electionTicks make an election timeout of 0.5 to 1 second.
	electionTicks = 10
	// startTicks make an election timeout of 0.1 to 0.2 seconds after a start:
	// about as long as the machines' processes differ in their start.
	startTicks = 2
	// heartbeatTicks make a heartbeat of 150 milliseconds.
	heartbeatTicks = 3
	// lostTicks is the silence, 2.5 seconds, after which a learner may take a
	// voter's place.
	lostTicks = 50
	// manageTicks is the number of ticks between looks at the members, closeTicks
	// between looks at lives that are over.
	manageTicks = 4
	closeTicks  = 6
	// accountTicks is the number of ticks between lines on the accounts,
	// accountLines the most lines then.
	accountTicks = 100
	accountLines = 16
	// recallPause is how long a budget that was recalled in vain is left alone.
	recallPause = 500 * time.Millisecond
	// reopenPause is the time between tries to use a disk that failed.
	reopenPause = 300 * time.Millisecond
	// journalSegmentBytes keeps segments small: the disks are.
	journalSegmentBytes = 1 << 20
)

// replicaDuty owns the node's replica of the durable state.
type replicaDuty struct {
	node    *Node
	duty    *duty.Duty
	replica *consensus.Replica
	machine *machine.Machine
	root    *escrow.Root
	id      consensus.ReplicaID
	ticks   int
	// failedAt is when the disk failed last; the replica is nil until it works
	// again.
	failedAt  time.Duration
	published uint64
	// committedBefore is the last committed entry at the leader's last look at
	// the members; 0 before the first.
	committedBefore uint64
	wasLeader       bool
	// leadsSince is when this node became the leader.
	leadsSince time.Duration
	// nodeHeard tells that a node was heard that runs a new life. The life before may hold
	// tokens that nobody can be granted until it is closed, and a control node's clock may
	// be the one that was lacking for that.
	nodeHeard atomic.Bool
	// founding is since when this node waits for the others to found a group.
	founding time.Duration
	raise    logversion.Raise
	shared   atomic.Pointer[replicaView]
}

// replicaView is the replica's state as others may read it.
type replicaView struct {
	leader        string
	leading       bool
	term          uint64
	quorumSilence time.Duration
	hasGroup      bool
	replica       consensus.ReplicaID
	// voters and caughtUpVoters are known to the leader only: its group's
	// voters, and those that hold every committed entry on disk.
	voters, caughtUpVoters int
	// logVersion is that of the applied log; waitsFor are the control nodes for which its
	// raise waits.
	logVersion machine.LogVersion
	waitsFor   []string
}

func newReplicaDuty(node *Node) *replicaDuty {
	owner := &replicaDuty{node: node, duty: duty.New("replica", replicaTick)}
	owner.shared.Store(&replicaView{quorumSilence: time.Hour})
	owner.duty.Tick = owner.tick
	owner.duty.Flush = owner.flush
	owner.reopen()
	return owner
}

// reopen starts from what is on the disk, as after a crash. A disk that refuses
// to be written is tried again later.
func (r *replicaDuty) reopen() {
	r.failedAt = r.node.now()
	r.machine = machine.New()
	id, err := journal.LoadIdentity(r.node.options.FileSystem)
	if err == nil {
		r.id = consensus.ReplicaID(id)
		r.replica, err = r.open(nil)
	}
	if err == nil {
		if err = checkLogVersion(r.machine); err != nil {
			err = errors.Join(err, r.replica.Close())
		}
	}
	if err != nil {
		r.replica = nil
		r.node.log.Error().Str("event", "disk_unusable").Err(err).Send()
		r.share()
		return
	}
	r.root = escrow.NewRoot(r.rootOptions())
	r.wasLeader = false
	r.raise = logversion.New(r.node.settings.Load().Fleet.FirstStart && !r.hasGroup())
	r.node.log.Info().Str("event", "replica_opened").Uint64("replica", id).Uint64("applied", r.replica.Applied()).
		Uint64("version", r.machine.Document().Version).Int("records_read", r.replica.RecoveredRecords).
		Int("torn_bytes", r.replica.TornBytes).Send()
	r.node.rollouts.put(r.node.address, r.machine.Rollouts(), true)
	r.publish()
	r.share()
}

func (r *replicaDuty) open(founders []consensus.Member) (*consensus.Replica, error) {
	return consensus.OpenReplica(consensus.ReplicaOptions{
		ID: r.id, ElectionTicks: electionTicks, HeartbeatTicks: heartbeatTicks, StartTicks: startTicks, Random: newRandom(),
		FileSystem: r.node.options.FileSystem, SegmentBytes: journalSegmentBytes, Machine: r.machine,
		Send: r.send, Bootstrap: founders,
	})
}

// fail gives the replica up until the disk works: nothing that is not on it
// may count, so all that was not acknowledged is forgotten.
func (r *replicaDuty) fail(err error) {
	r.node.log.Error().Str("event", "disk_failed").Err(err).Send()
	_ = r.replica.Close()
	r.replica = nil
	r.failedAt = r.node.now()
	r.share()
}

// send finds the node that holds a replica.
func (r *replicaDuty) send(message consensus.Message) {
	if r.replica != nil {
		if member, found := r.replica.Core().Configuration().Member(message.To); found {
			r.node.send(member.Node, peer.KindConsensus, &message)
			return
		}
	}
	// Not a member as this replica knows it: a new leader that it has not
	// heard the configuration of. Its node says who it is in its hellos.
	if address := r.node.nodeOfReplica(message.To); address != "" {
		r.node.send(address, peer.KindConsensus, &message)
	}
}

func (r *replicaDuty) take(message consensus.Message) {
	r.duty.Offer(func() {
		if r.replica != nil {
			r.replica.Step(message)
		}
	})
}

func (r *replicaDuty) takeReport(message escrow.ReportMessage) {
	r.duty.Offer(func() {
		if r.leading() {
			r.root.Take(message)
		}
	})
}

func (r *replicaDuty) leading() bool {
	return r.replica != nil && r.replica.Core().Role() == consensus.Leader
}

func (r *replicaDuty) tick() {
	r.ticks++
	if r.replica == nil {
		if r.node.now()-r.failedAt >= reopenPause {
			r.reopen()
		}
		return
	}
	r.replica.Tick()
	r.root.Tick(r.node.now())
	if !r.hasGroup() {
		r.foundIfFirst()
		return
	}
	if r.ticks%manageTicks == 0 {
		r.lookAtLogVersion()
	}
	if !r.leading() {
		return
	}
	if r.ticks%manageTicks == 0 {
		r.manageMembers()
		r.raiseLogVersion()
	}
	if r.nodeHeard.Swap(false) || r.ticks%closeTicks == 0 {
		r.closeLives()
	}
	if r.ticks%accountTicks == 0 {
		r.logAccounts()
	}
}

func (r *replicaDuty) hasGroup() bool { return len(r.replica.Core().Configuration().Members) > 0 }

// flush persists, sends and applies, and passes on what has changed.
func (r *replicaDuty) flush() {
	if r.replica == nil {
		return
	}
	if r.leading() != r.wasLeader {
		r.wasLeader, r.committedBefore, r.leadsSince = r.leading(), 0, r.node.now()
		r.root = escrow.NewRoot(r.rootOptions())
		r.node.log.Info().Str("event", "leadership").Bool("leading", r.wasLeader).Uint64("term", r.replica.Core().Term()).Send()
	}
	r.proposeReports()
	err := r.replica.Flush()
	if err == nil {
		err = checkLogVersion(r.machine)
	}
	if err != nil {
		r.fail(err)
		return
	}
	r.publish()
	r.share()
}

func (r *replicaDuty) rootOptions() escrow.RootOptions {
	return escrow.RootOptions{
		HoldersOf: r.holdersOf,
		Reply: func(to string, message escrow.AnswerMessage) {
			address, _ := holderAddress(to)
			r.node.send(address, peer.KindAccounts, &escrow.AccountsMessage{Answer: &message})
		},
		Recall: func(to string, message escrow.RecallMessage) {
			address, _ := holderAddress(to)
			r.node.send(address, peer.KindAccounts, &escrow.AccountsMessage{Recall: &message})
		},
		RecallPause: recallPause, Contact: func() accounts.Contact { return r.readClocks().Contact() },
		StandingOf: r.standingOf,
		Tell: func(to string, message escrow.StandingsMessage) {
			address, _ := holderAddress(to)
			r.node.send(address, peer.KindAccounts, &escrow.AccountsMessage{Standings: &message})
		},
	}
}

func (r *replicaDuty) standingOf(budget string) escrow.Standing {
	found := r.machine.Accounts().Budget(budget)
	if found == nil {
		return escrow.Standing{Budget: budget}
	}
	return escrow.StandingOf(found)
}

func (r *replicaDuty) holdersOf(budget string) []accounts.Holder {
	found := r.machine.Accounts().Budget(budget)
	if found == nil {
		return nil
	}
	var holders []accounts.Holder
	for _, holder := range found.OpenHolders() {
		if holder.Outstanding() > 0 {
			holders = append(holders, *holder)
		}
	}
	return holders
}

// proposeReports turns the waiting reports of holders into one command.
func (r *replicaDuty) proposeReports() {
	batch, found := r.root.Batch()
	if !found {
		return
	}
	root := r.root
	r.propose(batch.Command, func(result machine.Result, err error) {
		if err == nil {
			root.Applied(r.node.now(), batch, result)
		}
		// Holders repeat what was not answered.
	})
}

// propose appends a command; done is called once.
func (r *replicaDuty) propose(command machine.Command, done func(machine.Result, error)) {
	if r.replica == nil {
		done(machine.Result{}, consensus.ErrNotLeader)
		return
	}
	encoded, err := machine.Encode(command)
	if err != nil {
		done(machine.Result{}, err)
		return
	}
	r.replica.Propose(encoded, func(result any, err error) {
		if err != nil {
			done(machine.Result{}, err)
			return
		}
		done(result.(machine.Result), nil)
	})
}

// logAccounts writes how the prepaid tokens stand, of the tenants with the
// least left to grant.
func (r *replicaDuty) logAccounts() {
	var budgets []*accounts.Budget
	for _, name := range r.machine.Accounts().Names() {
		budgets = append(budgets, r.machine.Accounts().Budget(name))
	}
	slices.SortStableFunc(budgets, func(a, b *accounts.Budget) int { return cmp.Compare(a.Remaining(), b.Remaining()) })
	for _, budget := range budgets[:min(len(budgets), accountLines)] {
		r.node.log.Info().Str("event", "account").Str("tenant", budget.Name).Uint64("limit", budget.Limit).
			Uint64("spent", budget.Spent()).Int64("forfeited", budget.Forfeited).
			Int64("ended_allowed", budget.CrashCharges.Allowed).Int64("ended_paced", budget.CrashCharges.Paced).Int64("ended_whole", budget.CrashCharges.WholeGrants).
			Uint64("outstanding", budget.Outstanding()).Uint64("left", budget.Remaining()).Int("holders", len(budget.Holders)).Send()
	}
}

// publish puts the zones, the rollouts and the document of the applied log in force here
// and tells all.
func (r *replicaDuty) publish() {
	r.node.zones.put(r.node.address, r.machine.Evacuated())
	r.node.rollouts.put(r.node.address, r.machine.Rollouts(), false)
	held := r.machine.Document()
	if held.Version <= r.published {
		return
	}
	r.published = held.Version
	if r.node.documents.put(r.node.address, held.Version, held.Encoded) {
		r.node.publisher.publish()
	}
}

func (r *replicaDuty) share() {
	view := &replicaView{quorumSilence: time.Hour}
	if r.replica != nil {
		core := r.replica.Core()
		view.leading, view.term, view.replica = r.leading(), core.Term(), r.id
		view.quorumSilence = time.Duration(core.QuorumSilence()) * replicaTick
		view.hasGroup = r.hasGroup()
		view.logVersion, view.waitsFor = r.machine.LogVersion(), r.raise.WaitsFor()
		if member, found := core.Configuration().Member(core.Leader()); found {
			view.leader = member.Node
		}
		if view.leading {
			view.voters, view.caughtUpVoters = countVoters(core)
		}
	}
	r.shared.Store(view)
}

func countVoters(core *consensus.Core) (voters, caughtUp int) {
	for _, voter := range core.Configuration().Voters() {
		voters++
		if core.ConfigurationCommitted() && core.CaughtUp(voter) && core.SilentTicks(voter) <= electionTicks {
			caughtUp++
		}
	}
	return voters, caughtUp
}

// describe adds the replica to the node's hello.
func (r *replicaDuty) describe(hello *peer.Hello) {
	view := r.shared.Load()
	hello.Replica, hello.HasGroup = uint64(view.replica), view.hasGroup
	hello.Leader, hello.Term = view.leader, view.term
	hello.TimeSinceQuorumMS = uint64(view.quorumSilence.Milliseconds())
	hello.WallMS = time.Now().UnixMilli()
	hello.LogVersion = uint32(machine.OwnLogVersion)
}

func (r *replicaDuty) manageMembers() {
	core := r.replica.Core()
	committedBefore := r.committedBefore
	r.committedBefore = core.Commit()
	state := replicaset.State{
		Members: core.Configuration().Members, Self: r.id,
		CaughtUp: func(id consensus.ReplicaID) bool { return committedBefore > 0 && core.Holds(id, committedBefore) },
		Lost:     func(id consensus.ReplicaID) bool { return core.SilentTicks(id) > lostTicks },
		Controls: []replicaset.Control{{Node: r.node.address, Replica: r.id}},
	}
	for _, known := range r.node.fleet.view.Load().alive {
		if known.Control && !known.Stopping {
			state.Controls = append(state.Controls, replicaset.Control{Node: known.Address, Replica: consensus.ReplicaID(known.Replica)})
		}
	}
	change := replicaset.Next(state)
	var err error
	switch change.Kind {
	case replicaset.Nothing:
		return
	case replicaset.AddLearner:
		err = core.AddLearner(change.Member)
	case replicaset.Promote:
		err = core.Promote(change.Member.ID)
	case replicaset.Remove:
		err = core.RemoveMember(change.Member.ID)
	}
	if errors.Is(err, consensus.ErrChangePending) {
		return
	}
	r.node.log.Info().Str("event", "member_change").Stringer("change", change.Kind).Str("member", change.Member.Node).
		Uint64("replica", uint64(change.Member.ID)).Str("reason", change.Reason).AnErr("error", err).Send()
}
