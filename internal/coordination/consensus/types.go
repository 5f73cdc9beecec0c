package consensus

import (
	"fmt"
	"slices"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/ravenway/ravenway/internal/state/journal"
)

// ReplicaID is the identity in a replica's data folder; 0 means none.
type ReplicaID uint64

// Role is what a replica currently does in its term.
type Role uint8

const (
	// Follower replicates a leader's log.
	Follower Role = iota
	// PreCandidate asks whether an election could be won, in no new term.
	PreCandidate
	// Candidate asks for votes in a new term.
	Candidate
	// Leader appends to the log.
	Leader
)

// String returns the role's name.
func (r Role) String() string {
	names := [...]string{"follower", "pre-candidate", "candidate", "leader"}
	if int(r) < len(names) {
		return names[r]
	}
	return fmt.Sprintf("role %d", r)
}

// Member is one replica of the group.
type Member struct {
	ID ReplicaID `msgpack:"i"`
	// Node is the name of the node that holds the replica.
	Node string `msgpack:"n"`
	// Learner replicas hold the log but have no vote.
	Learner bool `msgpack:"l"`
}

// Configuration is the group's membership. It takes effect when it is
// appended, not when it is committed.
type Configuration struct {
	Members []Member `msgpack:"m"`
}

// EncodeConfiguration returns the bytes that a log entry or snapshot holds.
func EncodeConfiguration(configuration Configuration) []byte {
	data, err := msgpack.Marshal(&configuration)
	if err != nil {
		panic(fmt.Sprintf("consensus: encoding a configuration: %v", err))
	}
	return data
}

// DecodeConfiguration reads what EncodeConfiguration wrote.
func DecodeConfiguration(data []byte) (Configuration, error) {
	var configuration Configuration
	if err := msgpack.Unmarshal(data, &configuration); err != nil {
		return Configuration{}, fmt.Errorf("decoding a configuration: %w", err)
	}
	return configuration, nil
}

// Member returns the member with an identity.
func (c Configuration) Member(id ReplicaID) (Member, bool) {
	for _, member := range c.Members {
		if member.ID == id {
			return member, true
		}
	}
	return Member{}, false
}

// Voters returns the identities that have a vote.
func (c Configuration) Voters() []ReplicaID {
	var voters []ReplicaID
	for _, member := range c.Members {
		if !member.Learner {
			voters = append(voters, member.ID)
		}
	}
	return voters
}

// Quorum is the number of votes that decide.
func (c Configuration) Quorum() int {
	return len(c.Voters())/2 + 1
}

// with returns the configuration with one member added or replaced.
func (c Configuration) with(member Member) Configuration {
	changed := c.without(member.ID)
	changed.Members = append(changed.Members, member)
	return changed
}

// without returns the configuration without one member.
func (c Configuration) without(id ReplicaID) Configuration {
	members := slices.Clone(c.Members)
	members = slices.DeleteFunc(members, func(member Member) bool { return member.ID == id })
	return Configuration{Members: members}
}

// MessageKind tells what a Message asks or answers.
type MessageKind uint8

const (
	// MessagePreVote asks whether the sender could win an election.
	MessagePreVote MessageKind = iota + 1
	// MessagePreVoteReply answers it.
	MessagePreVoteReply
	// MessageVote asks for a vote.
	MessageVote
	// MessageVoteReply answers it.
	MessageVoteReply
	// MessageAppend carries entries from the leader.
	MessageAppend
	// MessageAppendReply acknowledges entries on disk, or rejects them.
	MessageAppendReply
	// MessageHeartbeat keeps followers from electing, and confirms reads.
	MessageHeartbeat
	// MessageHeartbeatReply answers it.
	MessageHeartbeatReply
	// MessageSnapshot replaces a far-behind replica's log.
	MessageSnapshot
	// MessageTimeoutNow makes the receiver start an election at once.
	MessageTimeoutNow
)

// Message is what replicas send each other.
type Message struct {
	Kind MessageKind `msgpack:"k"`
	From ReplicaID   `msgpack:"f"`
	To   ReplicaID   `msgpack:"o"`
	Term uint64      `msgpack:"t"`
	// Index and LogTerm name the entry before Entries (append), the last entry
	// (votes), or the last acknowledged entry (replies).
	Index   uint64          `msgpack:"i,omitempty"`
	LogTerm uint64          `msgpack:"g,omitempty"`
	Commit  uint64          `msgpack:"c,omitempty"`
	Entries []journal.Entry `msgpack:"e,omitempty"`
	// Reject says that a vote or an append is refused; Hint is then the index
	// from which the leader should try again.
	Reject bool   `msgpack:"r,omitempty"`
	Hint   uint64 `msgpack:"h,omitempty"`
	// ReadSequence is the leader's newest read round, echoed by followers.
	ReadSequence uint64 `msgpack:"s,omitempty"`
	// Transfer marks an election that the old leader asked for: receivers do
	// not defend their current leader against it.
	Transfer bool              `msgpack:"x,omitempty"`
	Snapshot *journal.Snapshot `msgpack:"p,omitempty"`
}

// Ready is what a replica must do before the next step: persist, then send,
// then apply.
type Ready struct {
	// HardState is nil if unchanged.
	HardState *journal.HardState
	// Entries are to be appended; they replace entries with the same index.
	Entries []journal.Entry
	// Snapshot replaces the log and the state machine's content.
	Snapshot *journal.Snapshot
	// Messages may be sent once the above is synced.
	Messages []Message
	// Committed entries are to be applied in order.
	Committed []journal.Entry
	// Reads may be answered once the entry at their Index is applied.
	Reads []ReadReady
}

// ReadReady is a read that a quorum has confirmed.
type ReadReady struct {
	// Context is what RequestRead was given.
	Context uint64
	// Index must be applied before the read is answered.
	Index uint64
	// Failed says that leadership was lost: the read must be asked again.
	Failed bool
}
