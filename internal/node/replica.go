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
	// electionTicks is the minimum election timeout in ticks; the timeout is 1 to 2 seconds.
	electionTicks = 20
	// heartbeatTicks is the interval of the leader's heartbeats in ticks: 200 milliseconds.
	heartbeatTicks = 4
	// proposeTimeout is the timeout of a proposal with all its attempts, attemptTimeout that of one
	// attempt. An election takes longer than one attempt, so a dead leader costs only one attempt.
	proposeTimeout = 10 * time.Second
	attemptTimeout = 1500 * time.Millisecond
	retryDelay     = 100 * time.Millisecond
)

// replicaDuty owns the node's replica of the replicated log, the state machine that the log feeds,
// and the root of the budgets (the leader's side of the escrow).
type replicaDuty struct {
	node    *Node
	duty    *duty.Duty
	replica *consensus.Replica
	machine *machine.Machine
	root    *escrow.Root
	id      consensus.ReplicaID
	// publishedRevision is the catalog revision last passed to the catalog duty.
	publishedRevision uint64
	// wasLeader is the role at the last flush, by which a change of leadership is detected.
	wasLeader bool
	// view is the part of the state that other goroutines may read.
	view atomic.Pointer[replicaView]
}

// replicaView is an immutable summary of the replica's state for other goroutines.
type replicaView struct {
	leader  string
	leading bool
	term    uint64
	commit  uint64
	// quorumAge is the time since the last contact with a quorum.
	quorumAge     time.Duration
	configuration consensus.Configuration
	// hasGroup indicates that the replica belongs to a control group.
	hasGroup bool
	// caughtUpVoters is the number of reachable voters that hold every committed entry on disk, as the
	// leader knows it.
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
	owner.updateView()
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

// send sends a message to the node of the replica that it is addressed to.
func (r *replicaDuty) send(message consensus.Message) {
	if member, found := r.replica.Core().Configuration().Member(message.To); found {
		r.node.send(member.Node, peer.KindConsensus, &message)
		return
	}
	// The addressee is not a member in the configuration that this replica knows. It may be a new
	// leader whose configuration has not arrived yet. Heartbeats name each node's replica.
	for _, status := range r.node.fleet.allStatuses() {
		if status.Replica == uint64(message.To) {
			r.node.send(status.Node, peer.KindConsensus, &message)
		}
	}
}

func (r *replicaDuty) handleMessage(message consensus.Message) {
	r.duty.Offer(func() { r.replica.Step(message) })
}

func (r *replicaDuty) handleReport(message escrow.ReportMessage) {
	r.duty.Offer(func() {
		if r.leading() {
			r.root.HandleReport(message)
		}
	})
}

func (r *replicaDuty) leading() bool { return r.replica.Core().Role() == consensus.Leader }

// flush persists, sends and applies the replica's pending work, and publishes what has changed.
func (r *replicaDuty) flush() {
	if r.leading() != r.wasLeader {
		r.wasLeader = r.leading()
		r.root = escrow.NewRoot(r.rootOptions())
		r.node.log.Info().Str("event", "leadership").Bool("leading", r.wasLeader).Uint64("term", r.replica.Core().Term()).Send()
	}
	r.proposeReports()
	if err := r.replica.Flush(); err != nil {
		r.node.fail(fmt.Errorf("writing the replica to disk: %w", err))
		return
	}
	r.publishCatalog()
	r.updateView()
}

func (r *replicaDuty) rootOptions() escrow.RootOptions {
	node := r.node
	return escrow.RootOptions{
		HoldersOf: r.holdersOf,
		Respond: func(to string, message escrow.ResponseMessage) {
			node.send(to, peer.KindAccounts, &escrow.AccountsMessage{Response: &message})
		},
		Recall: func(to string, message escrow.RecallMessage) {
			node.send(to, peer.KindAccounts, &escrow.AccountsMessage{Recall: &message})
		},
	}
}

// proposeReports proposes the holders' waiting reports as one command.
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
			// Holders resend a report that got no response.
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

// publishCatalog passes catalog changes to the catalog duty.
func (r *replicaDuty) publishCatalog() {
	delta, changed := r.machine.Catalog().DeltaSince(r.publishedRevision)
	if !changed {
		return
	}
	r.publishedRevision = delta.To
	r.node.catalog.handleDelta(r.node.name, delta)
}

func (r *replicaDuty) updateView() {
	core := r.replica.Core()
	view := &replicaView{
		leading: r.leading(), term: core.Term(), commit: core.Commit(), configuration: core.Configuration(),
		quorumAge: time.Duration(core.TicksSinceQuorum()) * replicaTick,
		hasGroup:  len(core.Configuration().Members) > 0,
	}
	for _, voter := range core.Configuration().Voters() {
		// A voter without contact for longer than the election timeout may be gone, regardless of what
		// its disk held.
		if core.ConfigurationCommitted() && core.CaughtUp(voter) && core.TicksSinceContact(voter) <= electionTicks {
			view.caughtUpVoters++
		}
	}
	if member, found := core.Configuration().Member(core.Leader()); found {
		view.leader = member.Node
	}
	r.view.Store(view)
}

// describe fills in the replica's fields of the node's heartbeat.
func (r *replicaDuty) describe(status *peer.Status) {
	view := r.view.Load()
	status.Replica = uint64(r.id)
	status.HasGroup = view.hasGroup
	status.Leader = view.leader
	status.Term = view.term
}

func (r *replicaDuty) close() error { return r.replica.Close() }

// proposeRequest requests that the leader commit an encoded command.
type proposeRequest struct {
	Command []byte `msgpack:"c"`
}

// proposalResult is the result of a proposal.
type proposalResult struct {
	result machine.Result
	err    error
}

// proposeLocally commits a command if this node leads.
func (n *Node) proposeLocally(ctx context.Context, command []byte) (machine.Result, error) {
	if n.replica == nil {
		return machine.Result{}, consensus.ErrNotLeader
	}
	proposed, err := duty.Call(ctx, n.replica.duty, func(reply func(proposalResult)) {
		n.replica.replica.Propose(command, func(result any, err error) {
			if err != nil {
				reply(proposalResult{err: err})
				return
			}
			reply(proposalResult{result: result.(machine.Result)})
		})
	})
	if err != nil {
		return machine.Result{}, err
	}
	return proposed.result, proposed.err
}

// propose commits a command through the leader, which may be another node. A command with an
// operation id is resent when its outcome is unknown; that is safe, since an operation is applied
// only once. A command without one is resent only if it was certainly not committed.
func (n *Node) propose(ctx context.Context, command machine.Command) (machine.Result, error) {
	encoded, err := machine.Encode(command)
	if err != nil {
		return machine.Result{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	lastErr := errNoLeader
	for {
		result, err := n.proposeOnce(ctx, encoded)
		if err == nil {
			return result, nil
		}
		if ctx.Err() == nil {
			lastErr = err
		}
		notCommitted := errors.Is(err, consensus.ErrNotLeader) || errors.Is(err, errNoLeader) || hasCode(err, peer.CodeNotLeader)
		if !notCommitted && command.OperationID == "" {
			return machine.Result{}, err
		}
		if !pause.For(ctx, retryDelay) {
			return machine.Result{}, fmt.Errorf("committing a change: %w", lastErr)
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
		return n.proposeLocally(attempt, command)
	}
	return callNode[machine.Result](attempt, n, leader, peer.MethodPropose, &proposeRequest{Command: command})
}

// leader returns the control node that leads, as far as this node knows, or "".
func (n *Node) leader() string {
	if n.replica != nil {
		if leader := n.replica.view.Load().leader; leader != "" {
			return leader
		}
	}
	return n.fleet.leader()
}

func hasCode(err error, code peer.ErrorCode) bool {
	var reply *peer.ReplyError
	return errors.As(err, &reply) && reply.Code == code
}

// readCommitted runs work on the replica's duty once the state includes everything that was
// committed at the time of the call. It fails on nodes that don't lead.
func readCommitted[T any](ctx context.Context, n *Node, work func(*machine.Machine) T) (T, error) {
	type readResult struct {
		value T
		err   error
	}
	var zero T
	if n.replica == nil {
		return zero, consensus.ErrNotLeader
	}
	result, err := duty.Call(ctx, n.replica.duty, func(reply func(readResult)) {
		n.replica.replica.Read(func(err error) {
			if err != nil {
				reply(readResult{err: err})
				return
			}
			reply(readResult{value: work(n.replica.machine)})
		})
	})
	if err != nil {
		return zero, err
	}
	return result.value, result.err
}
