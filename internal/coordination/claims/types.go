package claims

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/ravenway/ravenway/internal/state/accounts"
)

// Key names a request: a hash of its tenant and its idempotency key.
type Key [16]byte

// NewKey makes the key of a tenant's request.
func NewKey(tenant, idempotencyKey string) Key {
	digest := sha256.New()
	digest.Write([]byte(tenant))
	digest.Write([]byte{0})
	digest.Write([]byte(idempotencyKey))
	return Key(digest.Sum(nil)[:len(Key{})])
}

// String returns the key in hex.
func (k Key) String() string { return hex.EncodeToString(k[:]) }

// Register names one register: the same key may be claimed in more than one
// scope while zones are cut off from each other.
type Register struct {
	Scope string
	Key   Key
}

// Ballot orders proposals for one key. Promises are given for a round and its
// proposer; within them the proposer numbers its values by Step, so that one
// ballot never stands for two values.
type Ballot struct {
	Round    uint64            `msgpack:"r"`
	Proposer accounts.HolderID `msgpack:"p"`
	Step     uint32            `msgpack:"s,omitempty"`
}

// Less orders ballots.
func (b Ballot) Less(other Ballot) bool {
	if b.Round != other.Round {
		return b.Round < other.Round
	}
	if b.Proposer != other.Proposer {
		return b.Proposer.Less(other.Proposer)
	}
	return b.Step < other.Step
}

// State is how far a claimed request has come.
type State uint8

const (
	// Dispatched: it may have been offered to the back end.
	Dispatched State = iota + 1
	// Settled: it ended, and its use is known.
	Settled
	// Lent: not a request, but what the owner has lent the borrower in all of
	// a budget (in Reserved). It is kept until both lives are over.
	Lent
)

// String returns the state's name.
func (s State) String() string {
	names := [...]string{"none", "dispatched", "settled", "lent"}
	if int(s) < len(names) {
		return names[s]
	}
	return "unknown"
}

// Result is how a settled request ended.
type Result uint8

const (
	// Completed: the back end gave its whole answer.
	Completed Result = iota + 1
	// Cancelled: the caller went away; what ran is billed.
	Cancelled
	// Failed: the back end ended it with an error.
	Failed
	// NotRun: the back end never ran it.
	NotRun
	// OutcomeUnknown: nobody can tell any more. It is never run again.
	OutcomeUnknown
)

// Claim is the value of a register.
type Claim struct {
	State State `msgpack:"s"`
	// Owner is the life of the node whose grant pays, and Sequence its
	// reservation's number in the budget.
	Owner    accounts.HolderID `msgpack:"o"`
	Budget   string            `msgpack:"b,omitempty"`
	Sequence uint64            `msgpack:"q,omitempty"`
	// Reserved is the most that it can use, in tokens.
	Reserved uint64 `msgpack:"v,omitempty"`
	// Backend runs it under RequestID.
	Backend   string `msgpack:"e"`
	RequestID string `msgpack:"i"`
	// Fingerprint is a hash of the request, so that a key used for another
	// request is noticed.
	Fingerprint uint64 `msgpack:"f"`
	// CallerKey tells that the key was the caller's and not minted by a node.
	CallerKey     bool `msgpack:"c,omitempty"`
	NotRepeatable bool `msgpack:"n,omitempty"`
	// Borrower is the other side of a loan.
	Borrower accounts.HolderID `msgpack:"w,omitempty"`
	// Used and Result are known once it is settled, Used in tokens.
	Used   uint64 `msgpack:"u,omitempty"`
	Result Result `msgpack:"t,omitempty"`
}

// MessageKind tells what a Message asks or answers.
type MessageKind uint8

const (
	// MessagePrepare asks for a promise.
	MessagePrepare MessageKind = iota + 1
	// MessagePromise answers it.
	MessagePromise
	// MessageAccept asks to accept a value.
	MessageAccept
	// MessageAccepted answers it.
	MessageAccepted
	// MessageRecover asks for what concerns a restarted holder.
	MessageRecover
	// MessageRecovered answers it.
	MessageRecovered
	// MessageWatermark says up to which reservation an owner's settlements are
	// in the root account, so that their claims may be forgotten.
	MessageWatermark
)

// Vector is a view of nodes' incarnations.
type Vector map[string]uint64

// Message is what proposers and holders send each other.
type Message struct {
	Kind MessageKind `msgpack:"k"`
	From string      `msgpack:"f"`
	// Incarnation is the sender's.
	Incarnation uint64 `msgpack:"n"`
	// Vector is the sender's view of the key's holders.
	Vector Vector `msgpack:"v,omitempty"`
	// Operation matches answers to questions, together with the life of the
	// proposer that asked.
	Operation uint64 `msgpack:"o,omitempty"`
	Proposer  uint64 `msgpack:"p,omitempty"`
	Key       Key    `msgpack:"y"`
	Scope     string `msgpack:"s,omitempty"`
	Ballot    Ballot `msgpack:"b"`
	// Accepted and Claim are the newest accepted value (promises) or the value
	// to accept.
	Accepted Ballot `msgpack:"a"`
	Claim    *Claim `msgpack:"c,omitempty"`
	// Refusal says why a holder refused; Ballot is then the one it promised.
	Refusal Refusal `msgpack:"r,omitempty"`
	// Records and Fences answer a recovery.
	Records []Record    `msgpack:"d,omitempty"`
	Fences  Vector      `msgpack:"e,omitempty"`
	Marks   []Watermark `msgpack:"m,omitempty"`
}

// Refusal is why a holder refused.
type Refusal uint8

const (
	// RefusedBallot: a higher ballot was promised.
	RefusedBallot Refusal = iota + 1
	// RefusedFenced: the proposer's life is fenced.
	RefusedFenced
	// RefusedStale: the promises were collected from an earlier incarnation.
	RefusedStale
	// RefusedRecovering: the holder restarted and does not know the key yet.
	RefusedRecovering
	// RefusedForgotten: the claim is settled, accounted for and forgotten.
	RefusedForgotten
)

// Record is a register as one holder knows it.
type Record struct {
	Key      Key    `msgpack:"y"`
	Scope    string `msgpack:"s"`
	Promised Ballot `msgpack:"p"`
	Accepted Ballot `msgpack:"a"`
	Claim    *Claim `msgpack:"c,omitempty"`
}

// Watermark says that an owner's reservations in a budget up to Sequence are
// settled in the root account.
type Watermark struct {
	Owner    accounts.HolderID `msgpack:"o"`
	Budget   string            `msgpack:"b"`
	Sequence uint64            `msgpack:"q"`
}

// Outgoing is a message and its receiver.
type Outgoing struct {
	To      string
	Message Message
}
