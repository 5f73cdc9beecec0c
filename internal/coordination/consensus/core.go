package consensus

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/ravenway/ravenway/internal/state/journal"
)

const (
	// DefaultElectionTicks is the shortest election timeout, in ticks. The
	// timeout is drawn anew for each election from one to two times this.
	DefaultElectionTicks = 10
	// DefaultHeartbeatTicks is the time between heartbeats, in ticks.
	DefaultHeartbeatTicks = 2
	// startElections is the number of elections after a start that a replica with
	// StartTicks begins early: the first may fail because the others start too.
	startElections = 4
	// maximumAppendBytes bounds the entries of one append message.
	maximumAppendBytes = 1 << 20
	// maximumProbeBytes bounds them while it is not known what a follower has,
	// or whether it takes anything at all.
	maximumProbeBytes = 64 << 10
	// maximumInFlight bounds unacknowledged append messages to one follower.
	maximumInFlight = 64
)

// Errors of proposals and membership changes.
var (
	// ErrNotLeader says that another replica must be asked.
	ErrNotLeader = errors.New("consensus: not the leader")
	// ErrChangePending says that the previous membership change is not yet
	// committed, or that the leader has committed nothing in its term.
	ErrChangePending = errors.New("consensus: a membership change is pending")
	// ErrNotCaughtUp says that a learner does not hold the log yet.
	ErrNotCaughtUp = errors.New("consensus: the learner has not caught up")
	// ErrUnknownMember says that no member has the identity.
	ErrUnknownMember = errors.New("consensus: unknown member")
	// ErrLastVoter says that the only voter can't be removed.
	ErrLastVoter = errors.New("consensus: the last voter can't be removed")
)

// Options set up a Core.
type Options struct {
	ID             ReplicaID
	ElectionTicks  int
	HeartbeatTicks int
	// StartTicks is the shortest election timeout after a start, until a leader
	// is heard or some elections have failed; 0 means ElectionTicks. Where all
	// replicas start at once there is nobody to wait for; where a leader lives,
	// the others do not grant the pre-vote.
	StartTicks int
	// Random draws election timeouts.
	Random *rand.Rand
	// SnapshotForPeer returns the newest snapshot of the state machine, to
	// bring a far-behind replica up to date.
	SnapshotForPeer func() *journal.Snapshot
}

// progress is what the leader knows of one follower.
type progress struct {
	// match is the last entry known to be on the follower's disk.
	match uint64
	// next is the first entry to send.
	next uint64
	// probing: match is not known yet; one append at a time.
	probing bool
	// inFlight counts appends without an answer; flightAge counts the ticks
	// since the last answer, or since the first of them was sent.
	inFlight  int
	flightAge int
	// patience is how many ticks an answer may take before what was sent counts
	// as lost. It doubles each time, or a follower that is only slow is sent the
	// same entries faster than it can take them.
	patience int
	// snapshotIndex is not 0 while a snapshot is on its way.
	snapshotIndex uint64
	// snapshotAge counts ticks since it was sent.
	snapshotAge int
	// active: heard from since the last check of the quorum.
	active bool
	// readSequence is the newest read round the follower has confirmed.
	readSequence uint64
	// silentTicks since the last message.
	silentTicks int
}

// pendingRead waits for a quorum to confirm that the leader still leads.
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
	// configurationIndex is the entry (or snapshot) that the configuration is
	// from; configurations holds the earlier ones that an overwritten entry
	// may bring back.
	configurationIndex uint64
	configurations     []indexedConfiguration

	progress map[ReplicaID]*progress
	votes    map[ReplicaID]bool

	electionElapsed  int
	heartbeatElapsed int
	electionTimeout  int
	// startElections is how many elections are yet to begin early.
	startElections int
	quorumSilence  int

	transferTarget ReplicaID
	readSequence   uint64
	reads          []pendingRead
	// termStart is the index of the leader's first entry of its term.
	termStart uint64

	messages        []Message
	readyReads      []ReadReady
	restoreSnapshot *journal.Snapshot
}

// indexedConfiguration is a configuration and the entry that it came with.
type indexedConfiguration struct {
	index         uint64
	configuration Configuration
}

// NewCore makes a replica from what its journal recovered. A replica that
// recovered no configuration is not a member of any group: it only answers.
func NewCore(options Options, hard journal.HardState, snapshot *journal.Snapshot, entries []journal.Entry) (*Core, error) {
	if options.ElectionTicks == 0 {
		options.ElectionTicks = DefaultElectionTicks
	}
	if options.HeartbeatTicks == 0 {
		options.HeartbeatTicks = DefaultHeartbeatTicks
	}
	core := &Core{options: options, hard: hard, persistedHard: hard, progress: map[ReplicaID]*progress{}}
	if options.StartTicks > 0 {
		core.startElections = startElections
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
	if err := core.adoptConfigurations(entries); err != nil {
		return nil, err
	}
	core.resetElectionTimeout()
	return core, nil
}

// BootstrapSnapshot is the first state of a new group whose voters are the
// given members. Only one of them may write it, and none of the others may
// have been a member of a group before.
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

// Role returns what the replica does in its term.
func (c *Core) Role() Role { return c.role }

// Leader returns the leader as last known, or 0.
func (c *Core) Leader() ReplicaID { return c.leader }

// Term returns the current term.
func (c *Core) Term() uint64 { return c.hard.Term }

// Commit returns the index of the last committed entry.
func (c *Core) Commit() uint64 { return c.log.committed }

// LastIndex returns the index of the last entry in the log.
func (c *Core) LastIndex() uint64 { return c.log.lastIndex() }

// Configuration returns the membership in force.
func (c *Core) Configuration() Configuration { return c.configuration }

// ConfigurationCommitted tells whether the membership in force is committed. One
// that is only appended is lost with the leader: it counts for no repair.
func (c *Core) ConfigurationCommitted() bool { return c.configurationIndex <= c.log.committed }

// ConfigurationAt returns the membership as of a committed entry, for a
// snapshot of that entry.
func (c *Core) ConfigurationAt(index uint64) Configuration {
	configuration := Configuration{}
	for _, earlier := range c.configurations {
		if earlier.index <= index {
			configuration = earlier.configuration
		}
	}
	return configuration
}

// QuorumSilence returns the ticks since the replica last had word of a quorum:
// for a leader, answers from one; for others, a message from the leader.
func (c *Core) QuorumSilence() int { return c.quorumSilence }

// EntryTerm returns the term of an entry still in memory.
func (c *Core) EntryTerm(index uint64) (uint64, bool) { return c.log.term(index) }

// Holds tells whether a member's disk is known to hold an entry.
func (c *Core) Holds(id ReplicaID, index uint64) bool {
	follower, found := c.progress[id]
	return found && follower.match >= index
}

// CaughtUp tells whether a member's disk holds every committed entry.
func (c *Core) CaughtUp(id ReplicaID) bool {
	if id == c.options.ID {
		return true
	}
	return c.role == Leader && c.Holds(id, c.log.committed)
}

// SilentTicks returns the ticks since the leader heard from a member.
func (c *Core) SilentTicks(id ReplicaID) int {
	if follower, found := c.progress[id]; found && id != c.options.ID {
		return follower.silentTicks
	}
	return 0
}

// Compact drops log entries up to index from memory, once a snapshot of the
// state machine at that index or later is on disk.
func (c *Core) Compact(index uint64) {
	c.log.compact(index)
	for len(c.configurations) > 1 && c.configurations[1].index <= c.log.snapshotIndex {
		c.configurations = c.configurations[1:]
	}
}

// Ready returns what is to be done now. Its content is taken as done by the
// next call of any method: persist first, then send, then apply.
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
	if c.log.handedOut < c.log.committed {
		ready.Committed = c.log.committedFrom(c.log.handedOut + 1)
		c.log.handedOut = c.log.committed
	}
	return ready
}

// Persisted tells the core that a Ready's entries up to index are synced: the
// leader counts its own copy only then.
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
	c.quorumSilence++
	if c.role == Leader {
		c.tickLeader()
		return
	}
	if c.electionElapsed >= c.electionTimeout && c.isVoter() {
		c.campaign(PreCandidate, false)
	}
}

// Propose appends a command and returns its index and term. It is committed
// only if an entry with that index and term is handed out as committed.
func (c *Core) Propose(data []byte) (index, term uint64, err error) {
	if c.role != Leader || c.transferTarget != 0 {
		return 0, 0, ErrNotLeader
	}
	c.appendEntry(journal.EntryCommand, data)
	c.broadcastAppend()
	return c.log.lastIndex(), c.hard.Term, nil
}

// RequestRead asks for a linearizable read. A ReadReady with the same context
// follows, possibly marked failed.
func (c *Core) RequestRead(context uint64) error {
	if c.role != Leader {
		return ErrNotLeader
	}
	// Until an entry of its own term is committed, a new leader does not know
	// which of its predecessors' entries are.
	index := max(c.log.committed, c.termStart)
	c.readSequence++
	c.reads = append(c.reads, pendingRead{context: context, sequence: c.readSequence, index: index})
	c.broadcastHeartbeat()
	c.releaseReads()
	return nil
}

// TransferLeadership asks a caught-up voter to take over. Proposals are
// refused until it has, or an election timeout has passed.
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

// Promote gives a learner its vote, once its disk holds the log.
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
	// One change at a time, and none before an entry of the leader's own term
	// is committed: two changes in flight may have quorums that do not overlap.
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

// adoptConfigurations puts configurations in force as their entries arrive.
func (c *Core) adoptConfigurations(entries []journal.Entry) error {
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

// rebuildConfigurations goes back to what the remaining entries say, after
// some were overwritten.
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
	if err := c.adoptConfigurations(c.log.entries); err != nil {
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
	if c.startElections > 0 {
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
