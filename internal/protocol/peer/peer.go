// Package peer defines the messages that ravenway's own processes exchange and
// their codec: msgpack inside length-prefixed TCP frames (see transport).
//
// A frame carries one Envelope. Its body is encoded separately, so that a
// receiver decodes only the bodies that it has a handler for.
package peer

import (
	"bytes"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
)

// HandshakeVersion is the version of the handshake between nodes. Nodes with different ones refuse
// each other's connections.
const HandshakeVersion = 1

// Kind is the kind of an envelope's body.
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
	// KindClaims carries a batch of messages about claims: the replicated records of which
	// node owns a request and what the request used.
	KindClaims
	// KindCatalog carries a catalog delta.
	KindCatalog
	// KindCatalogFollow subscribes the sender to catalog deltas.
	KindCatalogFollow
	// KindAccounts carries a holder's reports on its budgets, or the responses to them.
	KindAccounts
	// KindLend carries loans between holders.
	KindLend
	// KindFence carries requests to fence an incarnation of a holder, which stop its
	// spending, and the responses to them.
	KindFence
	// KindReports carries back ends' load reports to the nodes of a zone.
	KindReports
	// KindHello carries a Hello of a node with open membership.
	KindHello
	// KindDocumentNotice announces the version of the active configuration document.
	KindDocumentNotice
	// KindDocumentFetch requests the active document.
	KindDocumentFetch
	// KindDocument carries a configuration document.
	KindDocument
	// KindInstances carries changes of the instance registry.
	KindInstances
	// KindInstanceContacts names the instances that a control node received heartbeats from.
	KindInstanceContacts
	// KindLoads carries the entry nodes' requests in flight at the instances.
	KindLoads
	// KindPool carries requests to a zone's pool holders, which hold budgets for the whole
	// zone, and their refusals.
	KindPool
	// KindQuarantine carries the nodes' records of requests that crash their engines.
	KindQuarantine
	// KindRollouts carries to the leader the nodes' reports on the responses of the old and
	// the new version of a service.
	KindRollouts
	// KindRelease ends the reservation of a prompt at an instance.
	KindRelease
	// KindSlotEnd ends the lease of a slot at a brittle instance.
	KindSlotEnd
	// KindStreamVersions carries the versions on which streams began to the holders of these records.
	KindStreamVersions
	// kindEnd is one above the last kind.
	kindEnd
)

// String returns the kind's name, which is used in metrics.
func (k Kind) String() string {
	names := [...]string{"none", "consensus", "call", "reply", "status", "claims", "catalog", "follow", "accounts", "lend", "fence", "reports",
		"hello", "document_notice", "document_fetch", "document", "instances", "instances_heard", "loads", "pool", "quarantine", "rollouts", "release", "slot_end", "stream_versions",
	}
	if int(k) < len(names) {
		return names[k]
	}
	return fmt.Sprintf("kind %d", uint8(k))
}

// Kinds returns all kinds.
func Kinds() []Kind {
	var kinds []Kind
	for kind := KindConsensus; kind < kindEnd; kind++ {
		kinds = append(kinds, kind)
	}
	return kinds
}

// Envelope is the content of one frame.
type Envelope struct {
	Kind Kind               `msgpack:"k"`
	Body msgpack.RawMessage `msgpack:"b"`
}

// Encode returns the frame of a body for nodes that read this build's version of the format.
func Encode(kind Kind, body any) ([]byte, error) { return NewMessage(kind, body).Frame(OwnProtocol) }

// marshalArrays encodes structs as arrays: field names would be most of a small message.
func marshalArrays(message any) ([]byte, error) { return marshal(message, true) }

// marshalNamed encodes structs as maps with field names.
func marshalNamed(message any) ([]byte, error) { return marshal(message, false) }

func marshal(message any, asArrays bool) ([]byte, error) {
	var buffer bytes.Buffer
	encoder := msgpack.NewEncoder(&buffer)
	encoder.UseArrayEncodedStructs(asArrays)
	encoder.UseCompactInts(true)
	err := encoder.Encode(message)
	return buffer.Bytes(), err
}

// Decode decodes a frame's envelope.
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

// DecodeBody decodes an envelope's body into a message.
func DecodeBody[T any](envelope Envelope) (T, error) {
	var message T
	if err := unmarshal(envelope.Body, &message); err != nil {
		return message, fmt.Errorf("decoding a peer message of kind %d: %w", envelope.Kind, err)
	}
	return message, nil
}

// Method is the method of a call.
type Method string

// Methods of calls.
const (
	// MethodPropose makes the leader commit a command.
	MethodPropose Method = "propose"
	// MethodRead reads committed state from the leader.
	MethodRead Method = "read"
	// MethodExplain reads a node's decisions about a request.
	MethodExplain Method = "explain"
	// MethodReadResponse reads a stored response of a finished request from a node.
	MethodReadResponse Method = "answer"
	// MethodRecall makes a holder return its unused grant.
	MethodRecall Method = "recall"
	// MethodLend makes a holder lend a part of its unused grant.
	MethodLend Method = "lend"
	// MethodSubmitDocument submits a configuration document to the leader.
	MethodSubmitDocument Method = "take_document"
	// MethodReadDocument reads the active document from the leader.
	MethodReadDocument Method = "read_document"
	// MethodOrderZone makes the leader evacuate or restore a zone.
	MethodOrderZone Method = "order_zone"
	// MethodOrderRollout makes the leader start a rollout, MethodReadRollout reads one from it.
	MethodOrderRollout Method = "order_rollout"
	MethodReadRollout  Method = "read_rollout"
	// MethodPermit requests a permit for one request from the node that issues the permits
	// for an instance's rate limit.
	MethodPermit Method = "permit"
	// MethodReserve requests the reservation of a prompt from the coordinator of an instance.
	MethodReserve Method = "reserve"
	// MethodAcquireSlot leases a slot of a brittle instance from its issuer.
	MethodAcquireSlot Method = "acquire_slot"
	// MethodFindStream asks for the version on which a stream began.
	MethodFindStream Method = "find_stream"
	// MethodFence makes a claim acceptor fence an incarnation of a holder.
	MethodFence Method = "fence"
)

// Call is a request to another node.
type Call struct {
	ID     uint64             `msgpack:"i"`
	Method Method             `msgpack:"m"`
	Body   msgpack.RawMessage `msgpack:"b"`
}

// Reply is the reply to a Call.
type Reply struct {
	ID uint64 `msgpack:"i"`
	// Code classifies an error, so that callers know whether to retry; empty if there was none.
	Code   ErrorCode          `msgpack:"c,omitempty"`
	Detail string             `msgpack:"d,omitempty"`
	Body   msgpack.RawMessage `msgpack:"b,omitempty"`
}

// ErrorCode classifies a failed call.
type ErrorCode string

// Codes of failed calls.
const (
	// CodeNotLeader: the receiver is not the leader and did nothing; the call must be sent to
	// another node.
	CodeNotLeader ErrorCode = "not_leader"
	// CodeUnknownOutcome: the call may or may not have taken effect.
	CodeUnknownOutcome ErrorCode = "unknown_outcome"
	// CodeRefused: the call had no effect, and retrying it is useless.
	CodeRefused ErrorCode = "refused"
)

// ReplyError is the error of a call that the other node refused or failed to execute.
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
	// OwnerIncarnation is the incarnation under which the node spends and claims. It
	// is later than Incarnation if the node was fenced while it was running.
	OwnerIncarnation uint64 `msgpack:"o"`
	// Revision is the sender's current catalog revision.
	Revision uint64 `msgpack:"r"`
	Stopping bool   `msgpack:"s,omitempty"`
	// Replica is the node's replica identity, 0 if it holds none.
	Replica uint64 `msgpack:"p,omitempty"`
	// HasGroup reports whether the replica belongs to a group of replicas of one log.
	HasGroup bool `msgpack:"g,omitempty"`
	// Leader is the control node that the sender considers the leader, Term its term.
	Leader string `msgpack:"l,omitempty"`
	Term   uint64 `msgpack:"t,omitempty"`
}

// BackendReport is a back end's report on its own load, forwarded by the node
// that queried it.
type BackendReport struct {
	Backend string `msgpack:"b"`
	Running int    `msgpack:"r"`
	Queued  int    `msgpack:"q,omitempty"`
	Leaving bool   `msgpack:"l,omitempty"`
}

// BackendReports are the reports of one round of queries.
type BackendReports struct {
	Reports []BackendReport `msgpack:"r"`
}

// CatalogFollow requests all catalog changes after Revision, including future ones.
type CatalogFollow struct {
	Revision uint64 `msgpack:"r"`
}
