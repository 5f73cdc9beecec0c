package consensus

import (
	"fmt"
	"slices"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/ravenway/ravenway/internal/state/journal"
)

// ReplicaID is the identity in a replica's data folder; 0 means none.
type ReplicaID uint64

// Role is a replica's role in its current term.
type Role uint8

const (
	// Follower replicates a leader's log.
	Follower Role = iota
	// PreCandidate checks whether it could win an election, without starting a new term.
	PreCandidate
	// Candidate requests votes in a new term.
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
	// Node is the name of the node that runs the replica.
	Node string `msgpack:"n"`
	// Learner is set for a replica that stores the log but has no vote.
	Learner bool `msgpack:"l"`
}

// Configuration is the group's membership. It takes effect when it is appended to the log, not when it
// is committed.
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

// DecodeConfiguration decodes the bytes of EncodeConfiguration.
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

// Quorum returns the number of voters that form a majority.
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

// MessageKind is the kind of a Message: a request or the response to one.
type MessageKind uint8

const (
	// MessagePreVote requests a pre-vote: whether the receiver would vote for the sender.
	MessagePreVote MessageKind = iota + 1
	// MessagePreVoteResponse is the response to MessagePreVote.
	MessagePreVoteResponse
	// MessageVote requests a vote.
	MessageVote
	// MessageVoteResponse is the response to MessageVote.
	MessageVoteResponse
	// MessageAppend carries entries from the leader.
	MessageAppend
	// MessageAppendResponse acknowledges entries on disk, or rejects them.
	MessageAppendResponse
	// MessageHeartbeat keeps followers from starting elections, and confirms reads.
	MessageHeartbeat
	// MessageHeartbeatResponse is the response to MessageHeartbeat.
	MessageHeartbeatResponse
	// MessageSnapshot replaces the log of a replica that is too far behind for appends.
	MessageSnapshot
	// MessageTimeoutNow makes the receiver start an election immediately.
	MessageTimeoutNow
)

// Message is a message between two replicas.
type Message struct {
	Kind MessageKind `msgpack:"k"`
	From ReplicaID   `msgpack:"f"`
	To   ReplicaID   `msgpack:"o"`
	Term uint64      `msgpack:"t"`
	// Index and LogTerm identify the entry before Entries (appends) or the last entry (votes). In
	// append responses Index is the last acknowledged entry, or the refused Index of the append.
	Index   uint64          `msgpack:"i,omitempty"`
	LogTerm uint64          `msgpack:"g,omitempty"`
	Commit  uint64          `msgpack:"c,omitempty"`
	Entries []journal.Entry `msgpack:"e,omitempty"`
	// Reject reports that a vote or an append is refused. For an append, Hint is then the last
	// index that may match; the leader tries again with the entry after it.
	Reject bool   `msgpack:"r,omitempty"`
	Hint   uint64 `msgpack:"h,omitempty"`
	// ReadSequence is the leader's newest read round, echoed by followers.
	ReadSequence uint64 `msgpack:"s,omitempty"`
	// Transfer marks an election that the old leader requested by a leadership transfer. Receivers
	// accept it although they have a live leader.
	Transfer bool              `msgpack:"x,omitempty"`
	Snapshot *journal.Snapshot `msgpack:"p,omitempty"`
}

// Ready is what a replica must do before the next step: persist, then send,
// then apply.
type Ready struct {
	// HardState is the state to persist, nil if unchanged.
	HardState *journal.HardState
	// Entries are to be appended; they replace entries with the same index.
	Entries []journal.Entry
	// Snapshot replaces the log and the state machine's content.
	Snapshot *journal.Snapshot
	// Messages may be sent once HardState, Entries and Snapshot are synced.
	Messages []Message
	// Committed entries are to be applied in order.
	Committed []journal.Entry
	// Reads may be served once the entry at their Index is applied.
	Reads []ReadReady
}

// ReadReady is a read that a quorum has confirmed.
type ReadReady struct {
	// Context is the argument of RequestRead.
	Context uint64
	// Index must be applied before the read is served.
	Index uint64
	// Failed reports that leadership was lost; the read must be requested again.
	Failed bool
}
