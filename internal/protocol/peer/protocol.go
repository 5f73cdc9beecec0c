package peer

import "fmt"

// ProtocolVersion is the version of the message format that a node's build reads. Each node sends
// its own in its hellos. A node that has not sent a hello yet, or whose build sends no
// version, counts as ProtocolStrict.
type ProtocolVersion uint8

const (
	// ProtocolStrict nodes decode a struct encoded as a map by its keys and ignore unknown
	// keys. They refuse a struct encoded as an array unless it has exactly as many fields
	// as their own.
	ProtocolStrict ProtocolVersion = iota
	// ProtocolTolerant nodes also decode arrays with fewer or more fields than their own:
	// missing fields are zero, additional ones are ignored. So a field that is appended to
	// a struct needs no new version.
	ProtocolTolerant
	// ProtocolSums nodes compare InstancesSum of hellos in place of InstancesDigest, and
	// support rollouts.
	ProtocolSums
	// ProtocolPermits nodes issue permits for the rate limits that instances name.
	ProtocolPermits
	// ProtocolReservations nodes coordinate the reservations of prompts.
	ProtocolReservations
	// ProtocolRelays nodes relay connections to engines.
	ProtocolRelays
	// ProtocolSlots nodes lease slots of brittle instances.
	ProtocolSlots
	// ProtocolStreamVersions nodes hold the versions on which streams began.
	ProtocolStreamVersions
	// ProtocolPromptParts nodes record crashes against parts of prompts.
	ProtocolPromptParts
	// protocolEnd is one above the newest version.
	protocolEnd
)

// OwnProtocol is the version of this build.
const OwnProtocol = protocolEnd - 1

// Message is an outgoing message to one or more nodes. It is encoded on first use, and at
// most once in each form. It is not safe for concurrent use, and its body must not be
// changed.
type Message struct {
	kind Kind
	body any
	// array is the frame with structs as arrays, named the one with field names; nil until used.
	array []byte
	named []byte
}

// NewMessage returns a message with a body of a kind.
func NewMessage(kind Kind, body any) *Message { return &Message{kind: kind, body: body} }

// Kind returns the kind of the body.
func (m *Message) Kind() Kind { return m.kind }

// Frame returns the frame for a node that reads a version. Structs are encoded as arrays if
// the node reads arrays of builds with other fields, and with field names otherwise; arrays
// make lists shorter by a third to a half. A hello always has field names: it is the first
// message between two nodes, and the other node's build may have changed since the last one.
func (m *Message) Frame(reader ProtocolVersion) ([]byte, error) {
	if reader >= ProtocolTolerant && m.kind != KindHello {
		return m.encodeOnce(&m.array, marshalArrays)
	}
	return m.encodeOnce(&m.named, marshalNamed)
}

func (m *Message) encodeOnce(frame *[]byte, marshal func(any) ([]byte, error)) ([]byte, error) {
	if *frame != nil {
		return *frame, nil
	}
	body, err := marshal(m.body)
	if err != nil {
		return nil, fmt.Errorf("encoding a peer message of kind %s: %w", m.kind, err)
	}
	// The envelope must never get another field, so that every build can read it.
	*frame, err = marshalArrays(&Envelope{Kind: m.kind, Body: body})
	if err != nil {
		return nil, fmt.Errorf("encoding a peer envelope of kind %s: %w", m.kind, err)
	}
	return *frame, nil
}
