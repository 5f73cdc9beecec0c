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
	// electionTicks is the shortest election timeout in ticks; the timeout is randomized between
	// 0.5 and 1 second.
	electionTicks = 10
	// startElectionTicks is the shortest election timeout after a start; the timeout is randomized
	// between 0.1 and 0.2 seconds: about the difference between the start times of the processes on
	// the machines.
	startElectionTicks = 2
	// heartbeatTicks is the interval of the leader's heartbeats, 150 milliseconds.
	heartbeatTicks = 3
	// lostContactTicks is the time without contact, 2.5 seconds, after which a voter may be replaced
	// by a learner, a member of the group that receives the log but has no vote yet.
	lostContactTicks = 50
	// membershipTicks is the number of ticks between checks of the group's members, and
	// closeIncarnationsTicks between checks for ended incarnations.
	membershipTicks        = 4
	closeIncarnationsTicks = 6
	// accountLogTicks is the number of ticks between log lines on the accounts, and
	// maximumAccountLines the maximum number of lines each time.
	accountLogTicks     = 100
	maximumAccountLines = 16
	// recallRetryInterval is the time after an unsuccessful recall of a budget before it may be
	// recalled again. A recall asks the holders to return their unused grants of a spent budget.
	recallRetryInterval = 500 * time.Millisecond
	// reopenInterval is the time between attempts to reopen a disk that failed.
	reopenInterval = 300 * time.Millisecond
	// journalSegmentBytes is the size of a journal segment, kept small because the disks are small.
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
	// failedAt is when the disk last failed; the replica is nil until the disk works again.
	failedAt         time.Duration
	publishedVersion uint64
	// previousCommit is the index of the last committed entry at the leader's previous check of
	// the members; 0 before the first check.
	previousCommit uint64
	wasLeader      bool
	// leaderSince is when this node became the leader.
	leaderSince time.Duration
	// hasNewIncarnation is set when a node appears with a new incarnation. The previous incarnation
	// may hold tokens that can't be granted until its accounts are closed; if the node is a control
	// node, its clock may be the one that was missing for closing accounts.
	hasNewIncarnation atomic.Bool
	// bootstrapSince is when this node began to wait for the other seeds to bootstrap the group; 0
	// before.
	bootstrapSince time.Duration
	// raise tracks when the version of the log may be raised.
	raise logversion.Readiness
	// shared is the state that other goroutines may read.
	shared atomic.Pointer[replicaView]
}

// replicaView is an immutable snapshot of the replica's state for other goroutines.
type replicaView struct {
	leader    string
	leading   bool
	term      uint64
	quorumAge time.Duration
	hasGroup  bool
	replica   consensus.ReplicaID
	// voters is the number of the group's voters, and caughtUpVoters that of the voters that hold
	// every committed entry on disk. Only the leader knows them.
	voters, caughtUpVoters int
	// memberNodes are the addresses of the nodes of the group's members.
	memberNodes []string
	// logVersion is the version of the applied log. waitsFor are the control nodes that delay the
	// raise of the version.
	logVersion machine.LogVersion
	waitsFor   []string
}

func newReplicaDuty(node *Node) *replicaDuty {
	owner := &replicaDuty{node: node, duty: duty.New("replica", replicaTick)}
	owner.shared.Store(&replicaView{quorumAge: time.Hour})
	owner.duty.Tick = owner.tick
	owner.duty.Flush = owner.flush
	owner.reopen()
	return owner
}

// reopen recovers the replica from the disk, as after a crash. If the disk can't be written, it is
// tried again later.
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
		r.publishView()
		return
	}
	r.root = escrow.NewRoot(r.rootOptions())
	r.wasLeader = false
	r.raise = logversion.New(r.node.settings.Load().Fleet.FirstStart && !r.hasGroup())
	r.node.log.Info().Str("event", "replica_opened").Uint64("replica", id).Uint64("applied", r.replica.Applied()).
		Uint64("version", r.machine.Document().Version).Int("records_read", r.replica.RecoveredRecords).
		Int("torn_bytes", r.replica.TornBytes).Send()
	r.node.rollouts.put(r.node.address, r.machine.Rollouts(), true)
	r.publishState()
	r.publishView()
}

func (r *replicaDuty) open(bootstrapMembers []consensus.Member) (*consensus.Replica, error) {
	return consensus.OpenReplica(consensus.ReplicaOptions{
		ID: r.id, ElectionTicks: electionTicks, HeartbeatTicks: heartbeatTicks, StartTicks: startElectionTicks, Random: newRandom(),
		FileSystem: r.node.options.FileSystem, SegmentBytes: journalSegmentBytes, Machine: r.machine,
		Send: r.send, Bootstrap: bootstrapMembers,
	})
}

// fail closes the replica until the disk works again. Only what is on disk may count, so all
// unacknowledged state in memory is dropped.
func (r *replicaDuty) fail(err error) {
	r.node.log.Error().Str("event", "disk_failed").Err(err).Send()
	_ = r.replica.Close()
	r.replica = nil
	r.failedAt = r.node.now()
	r.publishView()
}

// send sends a message to the node that holds the receiving replica.
func (r *replicaDuty) send(message consensus.Message) {
	if r.replica != nil {
		if member, found := r.replica.Core().Configuration().Member(message.To); found {
			r.node.send(member.Node, peer.KindConsensus, &message)
			return
		}
	}
	// The receiver is not in the configuration that this replica knows, for example a new leader of
	// a later configuration. Hellos name the replica of each node.
	if address := r.node.nodeOfReplica(message.To); address != "" {
		r.node.send(address, peer.KindConsensus, &message)
	}
}

func (r *replicaDuty) handleMessage(message consensus.Message) {
	r.duty.Offer(func() {
		if r.replica != nil {
			r.replica.Step(message)
		}
	})
}

func (r *replicaDuty) handleReport(message escrow.ReportMessage) {
	r.duty.Offer(func() {
		if r.leading() {
			r.root.HandleReport(message)
		}
	})
}

func (r *replicaDuty) leading() bool {
	return r.replica != nil && r.replica.Core().Role() == consensus.Leader
}

func (r *replicaDuty) tick() {
	r.ticks++
	if r.replica == nil {
		if r.node.now()-r.failedAt >= reopenInterval {
			r.reopen()
		}
		return
	}
	r.replica.Tick()
	r.root.Tick(r.node.now())
	if !r.hasGroup() {
		r.bootstrapIfFirst()
		return
	}
	if r.ticks%membershipTicks == 0 {
		r.updateLogVersionRaise()
	}
	if !r.leading() {
		return
	}
	if r.ticks%membershipTicks == 0 {
		r.manageMembers()
		r.raiseLogVersion()
	}
	if r.hasNewIncarnation.Swap(false) || r.ticks%closeIncarnationsTicks == 0 {
		r.closeIncarnations()
	}
	if r.ticks%accountLogTicks == 0 {
		r.logAccounts()
	}
}

func (r *replicaDuty) hasGroup() bool { return len(r.replica.Core().Configuration().Members) > 0 }

// flush persists and sends messages, applies committed entries, and publishes the changes.
func (r *replicaDuty) flush() {
	if r.replica == nil {
		return
	}
	if r.leading() != r.wasLeader {
		r.wasLeader, r.previousCommit, r.leaderSince = r.leading(), 0, r.node.now()
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
	r.publishState()
	r.publishView()
}

func (r *replicaDuty) rootOptions() escrow.RootOptions {
	return escrow.RootOptions{
		HoldersOf: r.holdersOf,
		Respond: func(to string, message escrow.ResponseMessage) {
			address, _ := holderAddress(to)
			r.node.send(address, peer.KindAccounts, &escrow.AccountsMessage{Response: &message})
		},
		Recall: func(to string, message escrow.RecallMessage) {
			address, _ := holderAddress(to)
			r.node.send(address, peer.KindAccounts, &escrow.AccountsMessage{Recall: &message})
		},
		RecallInterval: recallRetryInterval, Contact: func() accounts.Contact { return r.readClocks().Contact() },
		SummaryOf: r.summaryOf,
		SendSummaries: func(to string, message escrow.SummariesMessage) {
			address, _ := holderAddress(to)
			r.node.send(address, peer.KindAccounts, &escrow.AccountsMessage{Summaries: &message})
		},
	}
}

func (r *replicaDuty) summaryOf(budget string) escrow.BudgetSummary {
	found := r.machine.Accounts().Budget(budget)
	if found == nil {
		return escrow.BudgetSummary{Budget: budget}
	}
	return escrow.SummaryOf(found)
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

// proposeReports proposes one command with all waiting reports of holders.
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
		// Holders repeat reports that received no response.
	})
}

// propose proposes a command to the log; done is called exactly once.
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

// logAccounts logs the accounts of the tenants with the fewest prepaid tokens left to grant.
func (r *replicaDuty) logAccounts() {
	var budgets []*accounts.Budget
	for _, name := range r.machine.Accounts().Names() {
		budgets = append(budgets, r.machine.Accounts().Budget(name))
	}
	slices.SortStableFunc(budgets, func(a, b *accounts.Budget) int { return cmp.Compare(a.Remaining(), b.Remaining()) })
	for _, budget := range budgets[:min(len(budgets), maximumAccountLines)] {
		r.node.log.Info().Str("event", "account").Str("tenant", budget.Name).Uint64("limit", budget.Limit).
			Uint64("spent", budget.Spent()).Int64("forfeited", budget.Forfeited).
			Int64("ended_allowed", budget.CrashCharges.Allowed).Int64("ended_paced", budget.CrashCharges.Paced).Int64("ended_whole", budget.CrashCharges.WholeGrants).
			Uint64("outstanding", budget.Outstanding()).Uint64("left", budget.Remaining()).Int("holders", len(budget.Holders)).Send()
	}
}

// publishState brings the evacuated zones, the rollouts and the document of the applied log into
// effect on this node and distributes them.
func (r *replicaDuty) publishState() {
	r.node.zones.put(r.node.address, r.machine.Evacuated())
	r.node.rollouts.put(r.node.address, r.machine.Rollouts(), false)
	held := r.machine.Document()
	if held.Version <= r.publishedVersion {
		return
	}
	r.publishedVersion = held.Version
	if r.node.documents.put(r.node.address, held.Version, held.Encoded) {
		r.node.publisher.publish()
	}
}

func (r *replicaDuty) publishView() {
	view := &replicaView{quorumAge: time.Hour}
	if r.replica != nil {
		core := r.replica.Core()
		view.leading, view.term, view.replica = r.leading(), core.Term(), r.id
		view.quorumAge = time.Duration(core.TicksSinceQuorum()) * replicaTick
		view.hasGroup = r.hasGroup()
		for _, member := range core.Configuration().Members {
			view.memberNodes = append(view.memberNodes, member.Node)
		}
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
		if core.ConfigurationCommitted() && core.CaughtUp(voter) && core.TicksSinceContact(voter) <= electionTicks {
			caughtUp++
		}
	}
	return voters, caughtUp
}

// addToHello adds the replica to the node's hello.
func (r *replicaDuty) addToHello(hello *peer.Hello) {
	view := r.shared.Load()
	hello.Replica, hello.HasGroup = uint64(view.replica), view.hasGroup
	hello.Leader, hello.Term = view.leader, view.term
	hello.TimeSinceQuorumMS = uint64(view.quorumAge.Milliseconds())
	hello.WallMS = time.Now().UnixMilli()
	hello.LogVersion = uint32(machine.OwnLogVersion)
}

func (r *replicaDuty) manageMembers() {
	core := r.replica.Core()
	committedBefore := r.previousCommit
	r.previousCommit = core.Commit()
	state := replicaset.State{
		Members: core.Configuration().Members, Self: r.id,
		CaughtUp:     func(id consensus.ReplicaID) bool { return committedBefore > 0 && core.Holds(id, committedBefore) },
		Lost:         func(id consensus.ReplicaID) bool { return core.TicksSinceContact(id) > lostContactTicks },
		ControlNodes: []replicaset.ControlNode{{Node: r.node.address, Replica: r.id}},
	}
	for _, known := range r.node.fleet.view.Load().alive {
		if known.Control && !known.Stopping {
			state.ControlNodes = append(state.ControlNodes, replicaset.ControlNode{Node: known.Address, Replica: consensus.ReplicaID(known.Replica)})
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
