package consensus

import (
	"errors"
	"fmt"
	"math/rand/v2"

	"github.com/ravenway/ravenway/internal/state/disk"
	"github.com/ravenway/ravenway/internal/state/journal"
)

const (
	// DefaultSnapshotEvery is the maximum number of applied entries between snapshots.
	DefaultSnapshotEvery = 1000
	// minimumSnapshotTail is the minimum number of applied entries between snapshots, because each
	// snapshot costs two syncs. From there a snapshot is due once the entries since the last one
	// have as many bytes as it has, so that what a start reads and applies is bounded by the
	// state's size.
	minimumSnapshotTail = 300
)

// ErrOutcomeUnknown reports that a proposal was appended by a leader that then lost its leadership: it
// may or may not be committed. Sending the same operation id again returns the outcome.
var ErrOutcomeUnknown = errors.New("consensus: leadership was lost, the outcome is unknown")

// StateMachine is the state that the log's committed commands change. It must be deterministic: the
// same commands lead to the same state.
type StateMachine interface {
	// Apply executes one committed command and returns its result.
	Apply(index uint64, command []byte) any
	// Snapshot returns the whole state.
	Snapshot() ([]byte, error)
	// Restore replaces the whole state.
	Restore(data []byte) error
}

// ReplicaOptions set up a Replica.
type ReplicaOptions struct {
	ID             ReplicaID
	ElectionTicks  int
	HeartbeatTicks int
	// StartTicks is Options.StartTicks.
	StartTicks   int
	Random       *rand.Rand
	FileSystem   disk.FileSystem
	SegmentBytes int
	// SnapshotEvery is the number of applied entries between snapshots.
	SnapshotEvery uint64
	Machine       StateMachine
	// Send passes a message to the transport; it may be lost.
	Send func(Message)
	// Bootstrap makes this replica create a group with these voters, itself among them, if its disk
	// holds no group yet.
	Bootstrap []Member
}

// Replica runs a Core with a journal and a state machine. It is not safe for concurrent use: one duty
// (a goroutine with a mailbox) owns it, passes it inputs, and calls Flush after each batch of them,
// which costs at most one sync.
type Replica struct {
	options   ReplicaOptions
	core      *Core
	journal   *journal.Journal
	applied   uint64
	proposals map[uint64]waitingProposal
	reads     map[uint64]func(error)
	nextRead  uint64
	// readable holds confirmed reads that wait for their index to be applied.
	readable []ReadReady
	// snapshotIndex is the index of the newest snapshot on disk.
	snapshotIndex  uint64
	newestSnapshot *journal.Snapshot
	// tailBytes is the size of the entries applied since that snapshot.
	tailBytes int
	// RecoveredRecords counts the records read at start-up.
	RecoveredRecords int
	// TornBytes is the number of bytes truncated from the journal's tail at start-up.
	TornBytes int
}

// waitingProposal is a proposal whose entry is not applied yet.
type waitingProposal struct {
	term uint64
	done func(result any, err error)
}

// OpenReplica recovers a replica from its data folder.
func OpenReplica(options ReplicaOptions) (*Replica, error) {
	if options.SnapshotEvery == 0 {
		options.SnapshotEvery = DefaultSnapshotEvery
	}
	opened, recovered, err := journal.Open(options.FileSystem, options.SegmentBytes)
	if err != nil {
		return nil, fmt.Errorf("opening the journal: %w", err)
	}
	replica := &Replica{
		options: options, journal: opened,
		proposals: map[uint64]waitingProposal{}, reads: map[uint64]func(error){},
		RecoveredRecords: recovered.RecordsRead, TornBytes: recovered.TornBytes,
	}
	if recovered.Snapshot == nil && len(recovered.Entries) == 0 && len(options.Bootstrap) > 0 {
		if recovered.Snapshot, err = replica.bootstrap(); err != nil {
			return nil, err
		}
		recovered.HardState = journal.HardState{Term: 1, Commit: 1}
	}
	if recovered.Snapshot != nil {
		if err := replica.restore(recovered.Snapshot); err != nil {
			return nil, err
		}
	}
	replica.core, err = NewCore(Options{
		ID: options.ID, ElectionTicks: options.ElectionTicks, HeartbeatTicks: options.HeartbeatTicks, StartTicks: options.StartTicks,
		Random: options.Random, SnapshotForPeer: replica.snapshotForPeer,
	}, recovered.HardState, recovered.Snapshot, recovered.Entries)
	if err != nil {
		return nil, err
	}
	return replica, replica.Flush()
}

// Core returns the protocol state, for reading.
func (r *Replica) Core() *Core { return r.core }

// Applied returns the index of the last applied entry.
func (r *Replica) Applied() uint64 { return r.applied }

// SnapshotIndex returns the index of the newest snapshot on disk.
func (r *Replica) SnapshotIndex() uint64 { return r.snapshotIndex }

// Step handles a message of another replica.
func (r *Replica) Step(message Message) { r.core.Step(message) }

// Tick advances the replica's time by one tick.
func (r *Replica) Tick() { r.core.Tick() }

// Propose appends a command; done is called once with its result or an error.
func (r *Replica) Propose(command []byte, done func(result any, err error)) {
	index, term, err := r.core.Propose(command)
	if err != nil {
		done(nil, err)
		return
	}
	r.failProposal(index)
	r.proposals[index] = waitingProposal{term: term, done: done}
}

// Read calls done once the state machine holds everything that was committed
// when Read was called.
func (r *Replica) Read(done func(error)) {
	r.nextRead++
	context := r.nextRead
	r.reads[context] = done
	if err := r.core.RequestRead(context); err != nil {
		delete(r.reads, context)
		done(err)
	}
}

// Flush persists, sends and applies the results of the inputs since the last Flush. After an error the
// disk can't be relied on, and the replica must stop.
func (r *Replica) Flush() error {
	for {
		ready := r.core.Ready()
		if ready.empty() {
			return nil
		}
		if err := r.persist(ready); err != nil {
			return err
		}
		for _, message := range ready.Messages {
			r.options.Send(message)
		}
		r.core.Persisted(r.core.LastIndex())
		r.apply(ready.Committed)
		r.readable = append(r.readable, ready.Reads...)
		r.serveReads()
		if r.snapshotDue() {
			if err := r.SaveSnapshot(); err != nil {
				return err
			}
		}
	}
}

func (r *Replica) snapshotDue() bool {
	tail := r.applied - r.snapshotIndex
	if tail >= r.options.SnapshotEvery {
		return true
	}
	return tail >= minimumSnapshotTail && r.newestSnapshot != nil && r.tailBytes >= len(r.newestSnapshot.Data)
}

// SaveSnapshot writes a snapshot of the applied state now.
func (r *Replica) SaveSnapshot() error {
	if r.applied == r.snapshotIndex {
		return nil
	}
	snapshot, err := r.currentSnapshot()
	if err != nil {
		return err
	}
	if err := r.journal.SaveSnapshot(*snapshot, false); err != nil {
		return err
	}
	r.snapshotIndex, r.newestSnapshot, r.tailBytes = snapshot.Index, snapshot, 0
	// Some entries stay in memory, so that a replica that is a little behind requires no snapshot.
	if keep := r.options.SnapshotEvery; snapshot.Index > keep {
		r.core.Compact(snapshot.Index - keep/2)
	}
	return nil
}

// Close closes the journal. Waiting proposals and reads fail.
func (r *Replica) Close() error {
	for index := range r.proposals {
		r.failProposal(index)
	}
	for context, done := range r.reads {
		delete(r.reads, context)
		done(ErrNotLeader)
	}
	return r.journal.Close()
}

func (ready Ready) empty() bool {
	return ready.HardState == nil && ready.Snapshot == nil && len(ready.Entries) == 0 &&
		len(ready.Messages) == 0 && len(ready.Committed) == 0 && len(ready.Reads) == 0
}

func (r *Replica) bootstrap() (*journal.Snapshot, error) {
	data, err := r.options.Machine.Snapshot()
	if err != nil {
		return nil, fmt.Errorf("taking the first snapshot: %w", err)
	}
	snapshot := BootstrapSnapshot(r.options.Bootstrap, data)
	if err := r.journal.SaveSnapshot(snapshot, true); err != nil {
		return nil, fmt.Errorf("writing the first snapshot: %w", err)
	}
	return &snapshot, nil
}

func (r *Replica) restore(snapshot *journal.Snapshot) error {
	if err := r.options.Machine.Restore(snapshot.Data); err != nil {
		return fmt.Errorf("restoring the snapshot at entry %d: %w", snapshot.Index, err)
	}
	r.applied, r.snapshotIndex, r.newestSnapshot, r.tailBytes = snapshot.Index, snapshot.Index, snapshot, 0
	return nil
}

func (r *Replica) persist(ready Ready) error {
	if ready.Snapshot != nil {
		if err := r.journal.SaveSnapshot(*ready.Snapshot, true); err != nil {
			return err
		}
		if err := r.restore(ready.Snapshot); err != nil {
			return err
		}
		r.failWaitingProposals()
	}
	if err := r.journal.Append(ready.HardState, ready.Entries); err != nil {
		return err
	}
	return r.journal.Sync()
}

func (r *Replica) apply(entries []journal.Entry) {
	for _, entry := range entries {
		var result any
		if entry.Kind == journal.EntryCommand {
			result = r.options.Machine.Apply(entry.Index, entry.Data)
		}
		r.applied = entry.Index
		r.tailBytes += len(entry.Data)
		proposal, found := r.proposals[entry.Index]
		if !found {
			continue
		}
		delete(r.proposals, entry.Index)
		if proposal.term != entry.Term {
			proposal.done(nil, ErrOutcomeUnknown)
			continue
		}
		proposal.done(result, nil)
	}
	if r.core.Role() != Leader && len(r.proposals) > 0 {
		r.failWaitingProposals()
	}
}

// failWaitingProposals fails all waiting proposals with ErrOutcomeUnknown, after leadership was
// lost or a snapshot replaced the log. Their entries may be overwritten or may still be committed,
// but no caller should wait for that.
func (r *Replica) failWaitingProposals() {
	for index := range r.proposals {
		r.failProposal(index)
	}
}

func (r *Replica) failProposal(index uint64) {
	if proposal, found := r.proposals[index]; found {
		delete(r.proposals, index)
		proposal.done(nil, ErrOutcomeUnknown)
	}
}

func (r *Replica) serveReads() {
	kept := r.readable[:0]
	for _, read := range r.readable {
		if !read.Failed && read.Index > r.applied {
			kept = append(kept, read)
			continue
		}
		done := r.reads[read.Context]
		delete(r.reads, read.Context)
		if done == nil {
			continue
		}
		if read.Failed {
			done(ErrNotLeader)
			continue
		}
		done(nil)
	}
	r.readable = kept
}

func (r *Replica) currentSnapshot() (*journal.Snapshot, error) {
	data, err := r.options.Machine.Snapshot()
	if err != nil {
		return nil, fmt.Errorf("taking a snapshot at entry %d: %w", r.applied, err)
	}
	term, found := r.core.EntryTerm(r.applied)
	if !found {
		return nil, fmt.Errorf("taking a snapshot at entry %d: its term is not in the log", r.applied)
	}
	configuration := EncodeConfiguration(r.core.ConfigurationAt(r.applied))
	return &journal.Snapshot{Index: r.applied, Term: term, Configuration: configuration, Data: data}, nil
}

// snapshotForPeer returns a snapshot of the current state, which saves the receiver the entries since
// the one on disk. If that fails, it returns the one on disk.
func (r *Replica) snapshotForPeer() *journal.Snapshot {
	snapshot, err := r.currentSnapshot()
	if err != nil {
		return r.newestSnapshot
	}
	return snapshot
}
