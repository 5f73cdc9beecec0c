package node

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/ravenway/ravenway/internal/coordination/consensus"
	"github.com/ravenway/ravenway/internal/coordination/escrow"
	"github.com/ravenway/ravenway/internal/duty"
	"github.com/ravenway/ravenway/internal/pause"
	"github.com/ravenway/ravenway/internal/protocol/peer"
	"github.com/ravenway/ravenway/internal/state/accounts"
	"github.com/ravenway/ravenway/internal/state/journal"
	"github.com/ravenway/ravenway/internal/state/machine"
)

const (
	replicaTick = 50 * time.Millisecond
	// electionTicks make an election timeout of 1 to 2 seconds.
	electionTicks = 20
	// heartbeatTicks make a heartbeat of 200 milliseconds.
	heartbeatTicks = 4
	// proposeTimeout bounds a proposal with all its tries, attemptTimeout one
	// try: an election takes longer than that, so a dead leader costs one try.
	proposeTimeout = 10 * time.Second
	attemptTimeout = 1500 * time.Millisecond
	retryPause     = 100 * time.Millisecond
)

// replicaDuty owns the node's replica of the durable state.
type replicaDuty struct {
	node    *Node
	duty    *duty.Duty
	replica *consensus.Replica
	machine *machine.Machine
	root    *escrow.Root
	id      consensus.ReplicaID
	// published is the catalog revision last handed to the catalog duty.
	published uint64
	wasLeader bool
	// shared is what other goroutines may read.
	shared atomic.Pointer[replicaView]
}

// replicaView is the replica's state as others may read it.
type replicaView struct {
	leader        string
	leading       bool
	term          uint64
	commit        uint64
	quorumSilence time.Duration
	configuration consensus.Configuration
	hasGroup      bool
	// caughtUpVoters hold every committed entry on disk, as the leader knows.
	caughtUpVoters int
}

func newReplicaDuty(node *Node) (*replicaDuty, error) {
	id, err := journal.LoadIdentity(node.options.FileSystem)
	if err != nil {
		return nil, err
	}
	owner := &replicaDuty{node: node, duty: duty.New("replica", replicaTick), machine: machine.New(), id: consensus.ReplicaID(id)}
	owner.replica, err = owner.open(nil)
	if err != nil {
		return nil, err
	}
	owner.root = escrow.NewRoot(owner.rootOptions())
	owner.duty.Tick = func() {
		owner.replica.Tick()
		owner.root.Tick(node.now())
	}
	owner.duty.Flush = owner.flush
	owner.share()
	node.log.Info().Str("event", "replica_opened").Uint64("replica", id).
		Uint64("applied", owner.replica.Applied()).Int("records_read", owner.replica.RecoveredRecords).
		Int("torn_bytes", owner.replica.TornBytes).Send()
	return owner, nil
}

func (r *replicaDuty) open(bootstrap []consensus.Member) (*consensus.Replica, error) {
	return consensus.OpenReplica(consensus.ReplicaOptions{
		ID: r.id, ElectionTicks: electionTicks, HeartbeatTicks: heartbeatTicks, Random: newRandom(),
		FileSystem: r.node.options.FileSystem, Machine: r.machine, Send: r.send, Bootstrap: bootstrap,
	})
}

// send finds the node that holds a replica.
func (r *replicaDuty) send(message consensus.Message) {
	if member, found := r.replica.Core().Configuration().Member(message.To); found {
		r.node.send(member.Node, peer.KindConsensus, &message)
		return
	}
	// Not a member as this replica knows it: a new leader that it has not
	// heard the configuration of. Its node says who it is in its heartbeats.
	for _, status := range r.node.fleet.all() {
		if status.Replica == uint64(message.To) {
			r.node.send(status.Node, peer.KindConsensus, &message)
		}
	}
}

func (r *replicaDuty) take(message consensus.Message) {
	r.duty.Offer(func() { r.replica.Step(message) })
}

func (r *replicaDuty) takeReport(message escrow.ReportMessage) {
	r.duty.Offer(func() {
		if r.leading() {
			r.root.Take(message)
		}
	})
}

func (r *replicaDuty) leading() bool { return r.replica.Core().Role() == consensus.Leader }

// flush persists, sends and applies, and passes on what has changed.
func (r *replicaDuty) flush() {
	if r.leading() != r.wasLeader {
		r.wasLeader = r.leading()
		r.root = escrow.NewRoot(r.rootOptions())
		r.node.log.Info().Str("event", "leadership").Bool("leading", r.wasLeader).Uint64("term", r.replica.Core().Term()).Send()
	}
	r.proposeReports()
	if err := r.replica.Flush(); err != nil {
		r.node.fail(fmt.Errorf("the replica can't rely on its disk: %w", err))
		return
	}
	r.publish()
	r.share()
}

func (r *replicaDuty) rootOptions() escrow.RootOptions {
	node := r.node
	return escrow.RootOptions{
		HoldersOf: r.holdersOf,
		Reply: func(to string, message escrow.AnswerMessage) {
			node.send(to, peer.KindAccounts, &escrow.AccountsMessage{Answer: &message})
		},
		Recall: func(to string, message escrow.RecallMessage) {
			node.send(to, peer.KindAccounts, &escrow.AccountsMessage{Recall: &message})
		},
	}
}

// proposeReports turns the waiting reports of holders into one command.
func (r *replicaDuty) proposeReports() {
	batch, found := r.root.Batch()
	if !found {
		return
	}
	command, err := machine.Encode(batch.Command)
	if err != nil {
		r.node.log.Error().Str("event", "reports_not_encoded").Err(err).Send()
		return
	}
	root := r.root
	r.replica.Propose(command, func(result any, err error) {
		if err != nil {
			// Holders repeat what was not answered.
			return
		}
		root.Applied(r.node.now(), batch, result.(machine.Result))
	})
}

func (r *replicaDuty) holdersOf(budget string) []accounts.Holder {
	found := r.machine.Accounts().Budget(budget)
	if found == nil {
		return nil
	}
	var holders []accounts.Holder
	for _, holder := range found.OpenHolders() {
		if holder.Outstanding() > 0 && !r.machine.Accounts().Fenced(holder.ID) {
			holders = append(holders, *holder)
		}
	}
	return holders
}

// publish hands catalog changes to the catalog duty.
func (r *replicaDuty) publish() {
	delta, changed := r.machine.Catalog().Since(r.published)
	if !changed {
		return
	}
	r.published = delta.To
	r.node.catalog.takeDelta(r.node.name, delta)
}

func (r *replicaDuty) share() {
	core := r.replica.Core()
	view := &replicaView{
		leading: r.leading(), term: core.Term(), commit: core.Commit(), configuration: core.Configuration(),
		quorumSilence: time.Duration(core.QuorumSilence()) * replicaTick,
		hasGroup:      len(core.Configuration().Members) > 0,
	}
	for _, voter := range core.Configuration().Voters() {
		// A voter that is silent may be gone, whatever it once held.
		if core.ConfigurationCommitted() && core.CaughtUp(voter) && core.SilentTicks(voter) <= electionTicks {
			view.caughtUpVoters++
		}
	}
	if member, found := core.Configuration().Member(core.Leader()); found {
		view.leader = member.Node
	}
	r.shared.Store(view)
}

// describe adds the replica to the node's heartbeat.
func (r *replicaDuty) describe(status *peer.Status) {
	view := r.shared.Load()
	status.Replica = uint64(r.id)
	status.HasGroup = view.hasGroup
	status.Leader = view.leader
	status.Term = view.term
}

func (r *replicaDuty) close() error { return r.replica.Close() }

// proposeQuestion asks the leader to commit an encoded command.
type proposeQuestion struct {
	Command []byte `msgpack:"c"`
}

// proposal is the end of a proposal.
type proposal struct {
	result machine.Result
	err    error
}

// proposeHere commits a command if this node leads.
func (n *Node) proposeHere(ctx context.Context, command []byte) (machine.Result, error) {
	if n.replica == nil {
		return machine.Result{}, consensus.ErrNotLeader
	}
	ended, err := duty.Call(ctx, n.replica.duty, func(answer func(proposal)) {
		n.replica.replica.Propose(command, func(result any, err error) {
			if err != nil {
				answer(proposal{err: err})
				return
			}
			answer(proposal{result: result.(machine.Result)})
		})
	})
	if err != nil {
		return machine.Result{}, err
	}
	return ended.result, ended.err
}

// propose commits a command wherever the leader is. A command with an
// operation id is sent again after a lost answer, which is safe.
func (n *Node) propose(ctx context.Context, command machine.Command) (machine.Result, error) {
	encoded, err := machine.Encode(command)
	if err != nil {
		return machine.Result{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	last := errNoLeader
	for {
		result, err := n.proposeOnce(ctx, encoded)
		if err == nil {
			return result, nil
		}
		if ctx.Err() == nil {
			last = err
		}
		notDone := errors.Is(err, consensus.ErrNotLeader) || errors.Is(err, errNoLeader) || hasCode(err, peer.CodeNotLeader)
		if !notDone && command.OperationID == "" {
			return machine.Result{}, err
		}
		if !pause.For(ctx, retryPause) {
			return machine.Result{}, fmt.Errorf("committing a change: %w", last)
		}
	}
}

func (n *Node) proposeOnce(ctx context.Context, command []byte) (machine.Result, error) {
	leader := n.leader()
	if leader == "" {
		return machine.Result{}, errNoLeader
	}
	attempt, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	if leader == n.name {
		return n.proposeHere(attempt, command)
	}
	return callNode[machine.Result](attempt, n, leader, peer.MethodPropose, &proposeQuestion{Command: command})
}

// leader returns the leading control node as this node knows it, or "".
func (n *Node) leader() string {
	if n.replica != nil {
		if leader := n.replica.shared.Load().leader; leader != "" {
			return leader
		}
	}
	return n.fleet.leader()
}

func hasCode(err error, code peer.ErrorCode) bool {
	var reply *peer.ReplyError
	return errors.As(err, &reply) && reply.Code == code
}

// atLeader runs work on the replica's duty once the state holds everything
// that was committed when it was asked.
func atLeader[T any](ctx context.Context, n *Node, work func(*machine.Machine) T) (T, error) {
	type ended struct {
		value T
		err   error
	}
	var none T
	if n.replica == nil {
		return none, consensus.ErrNotLeader
	}
	answer, err := duty.Call(ctx, n.replica.duty, func(answer func(ended)) {
		n.replica.replica.Read(func(err error) {
			if err != nil {
				answer(ended{err: err})
				return
			}
			answer(ended{value: work(n.replica.machine)})
		})
	})
	if err != nil {
		return none, err
	}
	return answer.value, answer.err
}
