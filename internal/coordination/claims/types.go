package claims

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/ravenway/ravenway/internal/state/accounts"
)

// Key identifies a request: a hash of its tenant and its idempotency key.
type Key [16]byte

// NewKey returns the key of a tenant's request.
func NewKey(tenant, idempotencyKey string) Key {
	digest := sha256.New()
	digest.Write([]byte(tenant))
	digest.Write([]byte{0})
	digest.Write([]byte(idempotencyKey))
	return Key(digest.Sum(nil)[:len(Key{})])
}

// String returns the key in hex.
func (k Key) String() string { return hex.EncodeToString(k[:]) }

// Register identifies one register. Its scope determines its acceptors: it is the name of a zone or
// membership.ScopeGlobal. The same key may be claimed in more than one scope while zones are
// partitioned from each other.
type Register struct {
	Scope string
	Key   Key
}

// Ballot orders proposals for one key. A promise covers a Round of one Proposer; within it the proposer
// numbers its values by Step, so that one ballot never stands for two values.
type Ballot struct {
	Round    uint64            `msgpack:"r"`
	Proposer accounts.HolderID `msgpack:"p"`
	Step     uint32            `msgpack:"s,omitempty"`
}

// Less reports whether b is lower than other.
func (b Ballot) Less(other Ballot) bool {
	if b.Round != other.Round {
		return b.Round < other.Round
	}
	if b.Proposer != other.Proposer {
		return b.Proposer.Less(other.Proposer)
	}
	return b.Step < other.Step
}

// State is the progress of a claimed request.
type State uint8

const (
	// Dispatched requests may have been sent to the back end.
	Dispatched State = iota + 1
	// Settled requests have ended, and their use is known.
	Settled
	// Lent claims are not requests. They record the cumulative tokens of a budget that the owner
	// has lent to the borrower (in Reserved), and are kept until both incarnations have ended.
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
	// Completed requests received the back end's whole response.
	Completed Result = iota + 1
	// Cancelled requests were given up by the caller; what ran is billed.
	Cancelled
	// Failed requests were ended by the back end with an error.
	Failed
	// NotRun requests never ran at the back end.
	NotRun
	// OutcomeUnknown requests have an outcome that can't be determined any more. They never run again.
	OutcomeUnknown
)

// Claim is the value of a register.
type Claim struct {
	State State `msgpack:"s"`
	// Owner is the incarnation of the node whose grant pays, and Sequence is the number of its
	// reservation in the budget.
	Owner    accounts.HolderID `msgpack:"o"`
	Budget   string            `msgpack:"b,omitempty"`
	Sequence uint64            `msgpack:"q,omitempty"`
	// Reserved is the maximum that the request can use, in tokens.
	Reserved uint64 `msgpack:"v,omitempty"`
	// Backend runs the request under RequestID.
	Backend   string `msgpack:"e"`
	RequestID string `msgpack:"i"`
	// Fingerprint is a hash of the request. It detects a key that is reused for another request.
	Fingerprint uint64 `msgpack:"f"`
	// HasCallerKey reports whether the caller sent the key; otherwise a node generated it.
	HasCallerKey  bool `msgpack:"c,omitempty"`
	NotRepeatable bool `msgpack:"n,omitempty"`
	// Borrower is the other side of a loan.
	Borrower accounts.HolderID `msgpack:"w,omitempty"`
	// Used (in tokens) and Result are set once the request is settled.
	Used   uint64 `msgpack:"u,omitempty"`
	Result Result `msgpack:"t,omitempty"`
}

// MessageKind is the kind of a Message: a request or the response to one.
type MessageKind uint8

const (
	// MessagePrepare requests a promise.
	MessagePrepare MessageKind = iota + 1
	// MessagePromise is the response to MessagePrepare.
	MessagePromise
	// MessageAccept requests that a value be accepted.
	MessageAccept
	// MessageAccepted is the response to MessageAccept.
	MessageAccepted
	// MessageRecover requests the records that concern a restarted acceptor.
	MessageRecover
	// MessageRecovered is the response to MessageRecover.
	MessageRecovered
	// MessageWatermark carries watermarks: the reservations up to which an owner's settlements are
	// in the root account of a budget, so that their claims may be forgotten. It has no response.
	MessageWatermark
)

// Vector is a view of nodes' incarnations.
type Vector map[string]uint64

// Message is a message between a proposer and an acceptor, or between two acceptors.
type Message struct {
	Kind MessageKind `msgpack:"k"`
	From string      `msgpack:"f"`
	// Incarnation is the sender's incarnation.
	Incarnation uint64 `msgpack:"n"`
	// Vector is the sender's view of the incarnations of the key's acceptors.
	Vector Vector `msgpack:"v,omitempty"`
	// Operation matches responses to requests, together with Proposer, the incarnation of the proposer
	// that sent the request.
	Operation uint64 `msgpack:"o,omitempty"`
	Proposer  uint64 `msgpack:"p,omitempty"`
	Key       Key    `msgpack:"y"`
	Scope     string `msgpack:"s,omitempty"`
	Ballot    Ballot `msgpack:"b"`
	// In a promise, Accepted and Claim are the newest accepted ballot and value. In MessageAccept,
	// Claim is the value to accept.
	Accepted Ballot `msgpack:"a"`
	Claim    *Claim `msgpack:"c,omitempty"`
	// Refusal is why an acceptor refused. For RefusedBallot, Ballot is the one that it has promised.
	Refusal Refusal `msgpack:"r,omitempty"`
	// Records, Fences and Watermarks are the content of MessageRecovered; Watermarks is also that of
	// MessageWatermark.
	Records    []Record    `msgpack:"d,omitempty"`
	Fences     Vector      `msgpack:"e,omitempty"`
	Watermarks []Watermark `msgpack:"m,omitempty"`
}

// Refusal is why an acceptor refused a proposal.
type Refusal uint8

const (
	// RefusedBallot means that a higher ballot was promised.
	RefusedBallot Refusal = iota + 1
	// RefusedFenced means that the proposer's incarnation is fenced.
	RefusedFenced
	// RefusedStale means that the promises were collected from an earlier incarnation of the acceptor.
	RefusedStale
	// RefusedRecovering means that the acceptor has restarted and has not recovered the key yet.
	RefusedRecovering
	// RefusedForgotten means that the claim is settled, accounted for and forgotten.
	RefusedForgotten
)

// Record is the state of a register at one acceptor.
type Record struct {
	Key      Key    `msgpack:"y"`
	Scope    string `msgpack:"s"`
	Promised Ballot `msgpack:"p"`
	Accepted Ballot `msgpack:"a"`
	Claim    *Claim `msgpack:"c,omitempty"`
}

// Watermark reports that an owner's reservations in a budget up to Sequence are settled in the
// budget's root account.
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
