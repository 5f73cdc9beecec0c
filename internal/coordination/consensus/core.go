package consensus

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/ravenway/ravenway/internal/state/journal"
)

const (
	// DefaultElectionTicks is the minimum election timeout, in ticks. Each election draws a new random
	// timeout between once and twice this value.
	DefaultElectionTicks = 10
	// DefaultHeartbeatTicks is the time between heartbeats, in ticks.
	DefaultHeartbeatTicks = 2
	// maximumStartElections is the number of elections after a start for which a replica uses
	// Options.StartTicks. The first may fail because the other replicas are starting too.
	maximumStartElections = 4
	// maximumAppendBytes is the maximum data of one append message, in bytes.
	maximumAppendBytes = 1 << 20
	// maximumProbeBytes is that maximum while it is not known which entries a follower has, or
	// whether it accepts any.
	maximumProbeBytes = 64 << 10
	// maximumInFlight is the maximum number of unacknowledged append messages to one follower.
	maximumInFlight = 64
)

// Errors of proposals and membership changes.
var (
	// ErrNotLeader reports that this replica does not lead; the request belongs to the leader.
	ErrNotLeader = errors.New("consensus: not the leader")
	// ErrChangePending reports that the previous membership change is not committed yet, or that the
	// leader has committed nothing in its term.
	ErrChangePending = errors.New("consensus: a membership change is pending")
	// ErrNotCaughtUp reports that a learner does not have the whole log yet.
	ErrNotCaughtUp = errors.New("consensus: the learner has not caught up")
	// ErrUnknownMember reports that no member has the identity.
	ErrUnknownMember = errors.New("consensus: unknown member")
	// ErrLastVoter reports that the only voter can't be removed.
	ErrLastVoter = errors.New("consensus: the last voter can't be removed")
)

// Options set up a Core.
type Options struct {
	ID             ReplicaID
	ElectionTicks  int
	HeartbeatTicks int
	// StartTicks is the minimum election timeout after a start, until the replica has a leader or
	// maximumStartElections elections have failed; 0 means ElectionTicks. If all replicas start
	// together, there is no leader to wait for; if there is a live leader, the others do not grant
	// the pre-vote.
	StartTicks int
	// Random draws election timeouts.
	Random *rand.Rand
	// SnapshotForPeer returns the newest snapshot of the state machine, for a replica that is too far
	// behind for appends.
	SnapshotForPeer func() *journal.Snapshot
}

// progress is the leader's record of one follower.
type progress struct {
	// match is the last entry known to be on the follower's disk.
	match uint64
	// next is the first entry to send.
	next uint64
	// probing is set while match is not known; then only one append is in flight at a time.
	probing bool
	// inFlight counts appends without a response. inFlightAge counts the ticks since match last advanced, or
	// since the first append in flight was sent.
	inFlight    int
	inFlightAge int
	// maximumWait is the maximum wait in ticks for an acknowledgement before the appends in flight
	// count as lost. It doubles each time; otherwise a slow follower would receive the same entries
	// faster than it can handle them.
	maximumWait int
	// snapshotIndex is the index of the snapshot in transit, 0 if there is none.
	snapshotIndex uint64
	// snapshotAge counts the ticks since the snapshot was sent.
	snapshotAge int
	// active is set if a message was received since the last quorum check.
	active bool
	// readSequence is the newest read round the follower has confirmed.
	readSequence uint64
	// ticksSinceContact counts the ticks since the last message.
	ticksSinceContact int
}

// pendingRead is a read that waits for a quorum to confirm that the leader still leads.
type pendingRead struct {
	context  uint64
	sequence uint64
	index    uint64
}

// Core is one replica's protocol state.
type Core struct {
	options Options
	role    Role
	leader  ReplicaID

	hard          journal.HardState
	persistedHard journal.HardState
	log           raftLog

	configuration Configuration
	// configurationIndex is the index of the entry or snapshot that the configuration is from.
	// configurations holds it and the earlier ones, which become active again if their successor's
	// entry is overwritten.
	configurationIndex uint64
	configurations     []indexedConfiguration

	progress map[ReplicaID]*progress
	votes    map[ReplicaID]bool

	electionElapsed  int
	heartbeatElapsed int
	electionTimeout  int
	// remainingStartElections is the number of coming elections that use StartTicks.
	remainingStartElections int
	ticksSinceQuorum        int

	transferTarget ReplicaID
	readSequence   uint64
	reads          []pendingRead
	// termStart is the index of the leader's first entry of its term.
	termStart uint64

	messages        []Message
	readyReads      []ReadReady
	restoreSnapshot *journal.Snapshot
}

// indexedConfiguration is a configuration and the index of its entry.
type indexedConfiguration struct {
	index         uint64
	configuration Configuration
}

// NewCore returns a replica with the state that its journal recovered. A replica without a recovered
// configuration is not a member of any group: it only responds to messages.
func NewCore(options Options, hard journal.HardState, snapshot *journal.Snapshot, entries []journal.Entry) (*Core, error) {
	if options.ElectionTicks == 0 {
		options.ElectionTicks = DefaultElectionTicks
	}
	if options.HeartbeatTicks == 0 {
		options.HeartbeatTicks = DefaultHeartbeatTicks
	}
	core := &Core{options: options, hard: hard, persistedHard: hard, progress: map[ReplicaID]*progress{}}
	if options.StartTicks > 0 {
		core.remainingStartElections = maximumStartElections
	}
	if snapshot != nil {
		core.log.restore(snapshot.Index, snapshot.Term)
		configuration, err := DecodeConfiguration(snapshot.Configuration)
		if err != nil {
			return nil, fmt.Errorf("reading the snapshot at entry %d: %w", snapshot.Index, err)
		}
		core.setConfiguration(snapshot.Index, configuration)
	}
	core.log.entries = slices.Clone(entries)
	core.log.unstable = core.log.lastIndex() + 1
	core.log.committed = max(core.log.committed, min(hard.Commit, core.log.lastIndex()))
	core.hard.Commit = core.log.committed
	if err := core.activateConfigurations(entries); err != nil {
		return nil, err
	}
	core.resetElectionTimeout()
	return core, nil
}

// BootstrapSnapshot returns the first state of a new group whose voters are the given members. Only one
// of them may write it, and none of the others may have been a member of a group before.
func BootstrapSnapshot(members []Member, data []byte) journal.Snapshot {
	configuration := Configuration{}
	for _, member := range members {
		member.Learner = false
		configuration.Members = append(configuration.Members, member)
	}
	return journal.Snapshot{Index: 1, Term: 1, Configuration: EncodeConfiguration(configuration), Data: data}
}

// ID returns the replica's identity.
func (c *Core) ID() ReplicaID { return c.options.ID }

// Role returns the replica's role in its term.
func (c *Core) Role() Role { return c.role }

// Leader returns the last known leader of the term, or 0.
func (c *Core) Leader() ReplicaID { return c.leader }

// Term returns the current term.
func (c *Core) Term() uint64 { return c.hard.Term }

// Commit returns the index of the last committed entry.
func (c *Core) Commit() uint64 { return c.log.committed }

// LastIndex returns the index of the last entry in the log.
func (c *Core) LastIndex() uint64 { return c.log.lastIndex() }

// Configuration returns the membership in effect.
func (c *Core) Configuration() Configuration { return c.configuration }

// ConfigurationCommitted reports whether the membership in effect is committed. One that is only
// appended may be lost with the leader, so repairs must not rely on it.
func (c *Core) ConfigurationCommitted() bool { return c.configurationIndex <= c.log.committed }

// ConfigurationAt returns the membership as of a committed entry, for a snapshot at that entry.
func (c *Core) ConfigurationAt(index uint64) Configuration {
	configuration := Configuration{}
	for _, earlier := range c.configurations {
		if earlier.index <= index {
			configuration = earlier.configuration
		}
	}
	return configuration
}

// TicksSinceQuorum returns the ticks since the last contact with a quorum: for a leader, since a check
// found responses from one; for other replicas, since a message from the leader.
func (c *Core) TicksSinceQuorum() int { return c.ticksSinceQuorum }

// EntryTerm returns the term of an entry still in memory.
func (c *Core) EntryTerm(index uint64) (uint64, bool) { return c.log.term(index) }

// Holds reports whether a member's disk is known to hold an entry.
func (c *Core) Holds(id ReplicaID, index uint64) bool {
	follower, found := c.progress[id]
	return found && follower.match >= index
}

// CaughtUp reports whether a member's disk is known to hold every committed entry.
func (c *Core) CaughtUp(id ReplicaID) bool {
	if id == c.options.ID {
		return true
	}
	return c.role == Leader && c.Holds(id, c.log.committed)
}

// TicksSinceContact returns the ticks since the leader received a message from a member.
func (c *Core) TicksSinceContact(id ReplicaID) int {
	if follower, found := c.progress[id]; found && id != c.options.ID {
		return follower.ticksSinceContact
	}
	return 0
}

// Compact drops log entries up to index from memory. A snapshot of the state machine at that index or
// later must be on disk.
func (c *Core) Compact(index uint64) {
	c.log.compact(index)
	for len(c.configurations) > 1 && c.configurations[1].index <= c.log.snapshotIndex {
		c.configurations = c.configurations[1:]
	}
}

// Ready returns the work that is due: persist first, then send, then apply. The next call of any method
// assumes that it is done.
func (c *Core) Ready() Ready {
	ready := Ready{Messages: c.messages, Reads: c.readyReads, Snapshot: c.restoreSnapshot}
	c.messages, c.readyReads, c.restoreSnapshot = nil, nil, nil
	if c.log.unstable <= c.log.lastIndex() {
		first := c.log.unstable - c.log.snapshotIndex - 1
		ready.Entries = slices.Clone(c.log.entries[first:])
		c.log.unstable = c.log.lastIndex() + 1
	}
	if c.hard != c.persistedHard {
		hard := c.hard
		ready.HardState = &hard
		c.persistedHard = hard
	}
	if c.log.returned < c.log.committed {
		ready.Committed = c.log.committedFrom(c.log.returned + 1)
		c.log.returned = c.log.committed
	}
	return ready
}

// Persisted reports to the core that entries up to index are synced. Only then does the leader count
// its own copy towards the quorum.
func (c *Core) Persisted(index uint64) {
	if c.role != Leader {
		return
	}
	if own := c.progress[c.options.ID]; own != nil && index > own.match {
		own.match = index
		c.advanceCommit()
	}
}

// Tick advances the replica's time by one tick.
func (c *Core) Tick() {
	c.electionElapsed++
	c.ticksSinceQuorum++
	if c.role == Leader {
		c.tickLeader()
		return
	}
	if c.electionElapsed >= c.electionTimeout && c.isVoter() {
		c.campaign(PreCandidate, false)
	}
}

// Propose appends a command and returns its index and term. The command is committed only if a Ready
// returns an entry with that index and term as committed.
func (c *Core) Propose(data []byte) (index, term uint64, err error) {
	if c.role != Leader || c.transferTarget != 0 {
		return 0, 0, ErrNotLeader
	}
	c.appendEntry(journal.EntryCommand, data)
	c.broadcastAppend()
	return c.log.lastIndex(), c.hard.Term, nil
}

// RequestRead requests a linearizable read. A later Ready returns a ReadReady with the same context,
// possibly marked as failed.
func (c *Core) RequestRead(context uint64) error {
	if c.role != Leader {
		return ErrNotLeader
	}
	// Until an entry of its own term is committed, a new leader does not know which of its
	// predecessors' entries are committed.
	index := max(c.log.committed, c.termStart)
	c.readSequence++
	c.reads = append(c.reads, pendingRead{context: context, sequence: c.readSequence, index: index})
	c.broadcastHeartbeat()
	c.releaseReads()
	return nil
}

// TransferLeadership makes a voter start an election once it has caught up. Proposals are refused until
// it has taken over or an election timeout has passed.
func (c *Core) TransferLeadership(target ReplicaID) error {
	if c.role != Leader {
		return ErrNotLeader
	}
	member, found := c.configuration.Member(target)
	if !found || member.Learner || target == c.options.ID {
		return ErrUnknownMember
	}
	c.transferTarget = target
	c.electionElapsed = 0
	c.sendTimeoutNowIfCaughtUp()
	return nil
}

// AddLearner adds a replica without a vote.
func (c *Core) AddLearner(member Member) error {
	if _, found := c.configuration.Member(member.ID); found {
		return nil
	}
	member.Learner = true
	return c.changeConfiguration(c.configuration.with(member))
}

// Promote makes a learner a voter, if its disk holds every committed entry.
func (c *Core) Promote(id ReplicaID) error {
	member, found := c.configuration.Member(id)
	if !found {
		return ErrUnknownMember
	}
	if !member.Learner {
		return nil
	}
	if c.role == Leader && !c.CaughtUp(id) {
		return ErrNotCaughtUp
	}
	member.Learner = false
	return c.changeConfiguration(c.configuration.with(member))
}

// RemoveMember removes a replica.
func (c *Core) RemoveMember(id ReplicaID) error {
	member, found := c.configuration.Member(id)
	if !found {
		return nil
	}
	if !member.Learner && len(c.configuration.Voters()) == 1 {
		return ErrLastVoter
	}
	return c.changeConfiguration(c.configuration.without(id))
}

func (c *Core) changeConfiguration(changed Configuration) error {
	if c.role != Leader || c.transferTarget != 0 {
		return ErrNotLeader
	}
	// One change at a time, and none before an entry of the leader's own term is committed: two changes
	// in progress may have quorums that do not overlap.
	if c.configurationIndex > c.log.committed || c.log.committed < c.termStart {
		return ErrChangePending
	}
	c.appendEntry(journal.EntryConfiguration, EncodeConfiguration(changed))
	c.setConfiguration(c.log.lastIndex(), changed)
	c.syncProgress()
	c.broadcastAppend()
	return nil
}

func (c *Core) appendEntry(kind journal.EntryKind, data []byte) {
	c.log.appendOwn(journal.Entry{Index: c.log.lastIndex() + 1, Term: c.hard.Term, Kind: kind, Data: data})
}

func (c *Core) setConfiguration(index uint64, configuration Configuration) {
	c.configuration = configuration
	c.configurationIndex = index
	c.configurations = append(c.configurations, indexedConfiguration{index: index, configuration: configuration})
}

// activateConfigurations makes configurations active when their entries are appended.
func (c *Core) activateConfigurations(entries []journal.Entry) error {
	for _, entry := range entries {
		if entry.Kind != journal.EntryConfiguration {
			continue
		}
		configuration, err := DecodeConfiguration(entry.Data)
		if err != nil {
			return fmt.Errorf("reading entry %d: %w", entry.Index, err)
		}
		c.setConfiguration(entry.Index, configuration)
	}
	return nil
}

// rebuildConfigurations restores the configurations from the remaining entries, after some were
// overwritten.
func (c *Core) rebuildConfigurations() {
	kept := c.configurations[:0:0]
	for _, earlier := range c.configurations {
		if earlier.index <= c.log.snapshotIndex {
			kept = append(kept, earlier)
		}
	}
	c.configurations = kept
	c.configuration, c.configurationIndex = Configuration{}, 0
	if count := len(kept); count > 0 {
		c.configuration, c.configurationIndex = kept[count-1].configuration, kept[count-1].index
	}
	if err := c.activateConfigurations(c.log.entries); err != nil {
		panic(fmt.Sprintf("consensus: an entry accepted before can't be read: %v", err))
	}
}

func (c *Core) isVoter() bool {
	member, found := c.configuration.Member(c.options.ID)
	return found && !member.Learner
}

func (c *Core) resetElectionTimeout() {
	c.electionElapsed = 0
	shortest := c.options.ElectionTicks
	if c.remainingStartElections > 0 {
		shortest = c.options.StartTicks
	}
	c.electionTimeout = shortest + c.options.Random.IntN(shortest)
}

func (c *Core) send(message Message) {
	message.From = c.options.ID
	if message.Term == 0 {
		message.Term = c.hard.Term
	}
	c.messages = append(c.messages, message)
}

func (l *raftLog) committedFrom(first uint64) []journal.Entry {
	from := first - l.snapshotIndex - 1
	return slices.Clone(l.entries[from : l.committed-l.snapshotIndex])
}
