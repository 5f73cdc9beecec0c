// Package peer holds the messages that ravenway's own processes exchange and
// their codec: msgpack inside length-prefixed TCP frames (see transport).
//
// A frame carries one Envelope. Its body is encoded separately, so that a
// receiver decodes only what it has a duty for.
package peer

import (
	"bytes"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
)

// Version is the version of the peer protocol.
const Version = 1

// Kind tells what an envelope's body is.
type Kind uint8

// Kinds of envelopes.
const (
	// KindConsensus carries a consensus message.
	KindConsensus Kind = iota + 1
	// KindCall carries a request that is answered by KindReply.
	KindCall
	// KindReply answers a KindCall.
	KindReply
	// KindStatus carries a node's heartbeat.
	KindStatus
	// KindClaims carries a batch of claim messages.
	KindClaims
	// KindCatalog carries a catalog delta.
	KindCatalog
	// KindCatalogFollow asks to be sent catalog deltas.
	KindCatalogFollow
	// KindAccounts carries a holder's reports or their answers.
	KindAccounts
	// KindLend carries loans between holders.
	KindLend
	// KindFence carries fence requests and answers.
	KindFence
	// KindReports carries back ends' load reports to the nodes of a zone.
	KindReports
	// KindHello carries what a node with open membership says of itself.
	KindHello
	// KindDocumentNotice tells that a configuration document is in force.
	KindDocumentNotice
	// KindDocumentFetch asks for the document in force.
	KindDocumentFetch
	// KindDocument carries it.
	KindDocument
	// KindInstances carries changes of the instance registry.
	KindInstances
	// KindInstancesHeard names the instances that a control node heard from.
	KindInstancesHeard
	// KindLoads carries what entry nodes have under way at the instances.
	KindLoads
	// KindPool carries requests to a zone's pool holders and their refusals.
	KindPool
	// KindQuarantine carries what nodes hold against requests that end their engines.
	KindQuarantine
	// KindRollouts carries how instances of old and new versions answer, to the leader.
	KindRollouts
	// kindEnd is behind the last kind.
	kindEnd
)

// String names the kind, for metrics.
func (k Kind) String() string {
	names := [...]string{"none", "consensus", "call", "reply", "status", "claims", "catalog", "follow", "accounts", "lend", "fence", "reports",
		"hello", "document_notice", "document_fetch", "document", "instances", "instances_heard", "loads", "pool", "quarantine", "rollouts",
	}
	if int(k) < len(names) {
		return names[k]
	}
	return fmt.Sprintf("kind %d", uint8(k))
}

// Kinds lists all kinds.
func Kinds() []Kind {
	var kinds []Kind
	for kind := KindConsensus; kind < kindEnd; kind++ {
		kinds = append(kinds, kind)
	}
	return kinds
}

// Envelope is one frame.
type Envelope struct {
	Kind Kind               `msgpack:"k"`
	Body msgpack.RawMessage `msgpack:"b"`
}

// Encode returns a frame for a body that only nodes of this build's fields read.
func Encode(kind Kind, body any) ([]byte, error) { return NewMessage(kind, body).Frame(OwnDialect) }

// marshalArrays writes structs as arrays: field names would be most of a small message.
func marshalArrays(message any) ([]byte, error) { return marshal(message, true) }

// marshalNamed writes structs as maps, whose fields are found by their names.
func marshalNamed(message any) ([]byte, error) { return marshal(message, false) }

func marshal(message any, asArrays bool) ([]byte, error) {
	var buffer bytes.Buffer
	encoder := msgpack.NewEncoder(&buffer)
	encoder.UseArrayEncodedStructs(asArrays)
	encoder.UseCompactInts(true)
	err := encoder.Encode(message)
	return buffer.Bytes(), err
}

// Decode reads a frame's envelope.
func Decode(frame []byte) (Envelope, error) {
	var envelope Envelope
	if err := msgpack.Unmarshal(frame, &envelope); err != nil {
		return Envelope{}, fmt.Errorf("decoding a peer envelope: %w", err)
	}
	if envelope.Kind == 0 || envelope.Kind >= kindEnd {
		return Envelope{}, fmt.Errorf("decoding a peer envelope: kind %d is not known", envelope.Kind)
	}
	return envelope, nil
}

// DecodeBody reads an envelope's body into a message.
func DecodeBody[T any](envelope Envelope) (T, error) {
	var message T
	if err := unmarshal(envelope.Body, &message); err != nil {
		return message, fmt.Errorf("decoding a peer message of kind %d: %w", envelope.Kind, err)
	}
	return message, nil
}

// Method names what a call asks for.
type Method string

// Methods of calls.
const (
	// MethodPropose asks the leader to commit a command.
	MethodPropose Method = "propose"
	// MethodRead asks the leader for committed state.
	MethodRead Method = "read"
	// MethodExplain asks a node for its decisions about a request.
	MethodExplain Method = "explain"
	// MethodAnswer asks a node for a settled answer that it keeps.
	MethodAnswer Method = "answer"
	// MethodRecall asks a holder to return its unused grant.
	MethodRecall Method = "recall"
	// MethodLend asks a holder to lend a part of its unused grant.
	MethodLend Method = "lend"
	// MethodTakeDocument asks the leader to take a configuration document.
	MethodTakeDocument Method = "take_document"
	// MethodReadDocument asks the leader for the document in force.
	MethodReadDocument Method = "read_document"
	// MethodOrderZone asks the leader to evacuate or restore a zone.
	MethodOrderZone Method = "order_zone"
	// MethodOrderRollout asks the leader to begin a rollout, MethodReadRollout for one.
	MethodOrderRollout Method = "order_rollout"
	MethodReadRollout  Method = "read_rollout"
	// MethodPermit asks the holder of an instance's limit for the leave to send one request.
	MethodPermit Method = "permit"
	// MethodFence asks a claim holder to fence a holder's life.
	MethodFence Method = "fence"
)

// Call is a request to another node.
type Call struct {
	ID     uint64             `msgpack:"i"`
	Method Method             `msgpack:"m"`
	Body   msgpack.RawMessage `msgpack:"b"`
}

// Reply answers a Call.
type Reply struct {
	ID uint64 `msgpack:"i"`
	// Code tells callers how to go on; empty if there was no error.
	Code   ErrorCode          `msgpack:"c,omitempty"`
	Detail string             `msgpack:"d,omitempty"`
	Body   msgpack.RawMessage `msgpack:"b,omitempty"`
}

// ErrorCode classifies a failed call.
type ErrorCode string

// Codes of failed calls.
const (
	// CodeNotLeader: another node must be asked; nothing was done.
	CodeNotLeader ErrorCode = "not_leader"
	// CodeUnknownOutcome: it may or may not have been done.
	CodeUnknownOutcome ErrorCode = "unknown_outcome"
	// CodeRefused: it was not done, and asking again is of no use.
	CodeRefused ErrorCode = "refused"
)

// ReplyError is a failed call as the asking side sees it.
type ReplyError struct {
	Code   ErrorCode
	Detail string
}

// Error implements error.
func (e *ReplyError) Error() string { return fmt.Sprintf("%s: %s", e.Code, e.Detail) }

// Status is a node's heartbeat to the control nodes and its zone.
type Status struct {
	Node        string `msgpack:"n"`
	Zone        string `msgpack:"z"`
	Incarnation uint64 `msgpack:"i"`
	// OwnerIncarnation is the life under which the node spends and claims. It
	// is later than Incarnation if the node was fenced while alive.
	OwnerIncarnation uint64 `msgpack:"o"`
	// Revision is the catalog revision in force there.
	Revision uint64 `msgpack:"r"`
	Stopping bool   `msgpack:"s,omitempty"`
	// Replica is the node's replica identity, 0 if it holds none.
	Replica uint64 `msgpack:"p,omitempty"`
	// HasGroup tells that the replica belongs to a group.
	HasGroup bool `msgpack:"g,omitempty"`
	// Leader is the control node that the sender takes for the leader.
	Leader string `msgpack:"l,omitempty"`
	Term   uint64 `msgpack:"t,omitempty"`
}

// BackendReport is a back end's own word on its load, passed on by the node
// that asked it.
type BackendReport struct {
	Backend string `msgpack:"b"`
	Running int    `msgpack:"r"`
	Queued  int    `msgpack:"q,omitempty"`
	Leaving bool   `msgpack:"l,omitempty"`
}

// BackendReports are the reports of one round.
type BackendReports struct {
	Reports []BackendReport `msgpack:"r"`
}

// CatalogFollow asks a node for what the sender lacks, now and as it comes.
type CatalogFollow struct {
	Revision uint64 `msgpack:"r"`
}
