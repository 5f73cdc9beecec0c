package peer

import "fmt"

// Dialect tells how a node reads messages. Each node tells its own with its hellos; one
// that has not said hello yet, or whose build knows no dialects, is DialectStrict.
type Dialect uint8

const (
	// DialectStrict nodes read a struct that is written as a map by its keys, and pass
	// over keys that they don't know; a struct that is written as an array they refuse
	// unless it has just their number of fields.
	DialectStrict Dialect = iota
	// DialectTolerant nodes also read arrays of fewer and of more fields than their own:
	// what is missing is zero, what is more is passed over. So a field that a struct gets
	// behind its last one needs no new dialect.
	DialectTolerant
	// DialectSums nodes compare InstancesSum of hellos, and know of rollouts.
	DialectSums
	// DialectPermits nodes give out permits for the limits that instances name.
	DialectPermits
	// dialectEnd is behind the newest dialect.
	dialectEnd
)

// OwnDialect is that of this build.
const OwnDialect = dialectEnd - 1

// Message is a message on its way to one or more nodes: encoded when it is first needed,
// and at most once in each form. It is not safe for concurrent use, and its body may
// not be changed any more.
type Message struct {
	kind  Kind
	body  any
	array []byte
	named []byte
}

// NewMessage makes a message.
func NewMessage(kind Kind, body any) *Message { return &Message{kind: kind, body: body} }

// Kind is what the body is.
func (m *Message) Kind() Kind { return m.kind }

// Frame returns the frame for a reader: with arrays, the shorter form by a third to a
// half for lists, if the reader takes them from builds with other fields; otherwise with
// field names. A hello is the first word between two nodes, who may have been given
// another build meanwhile, and always has names.
func (m *Message) Frame(reader Dialect) ([]byte, error) {
	if reader >= DialectTolerant && m.kind != KindHello {
		return m.encodedOnce(&m.array, marshalArrays)
	}
	return m.encodedOnce(&m.named, marshalNamed)
}

func (m *Message) encodedOnce(frame *[]byte, marshal func(any) ([]byte, error)) ([]byte, error) {
	if *frame != nil {
		return *frame, nil
	}
	body, err := marshal(m.body)
	if err != nil {
		return nil, fmt.Errorf("encoding a peer message of kind %s: %w", m.kind, err)
	}
	// The envelope never gets another field, so that each build reads it.
	*frame, err = marshalArrays(&Envelope{Kind: m.kind, Body: body})
	if err != nil {
		return nil, fmt.Errorf("encoding a peer envelope of kind %s: %w", m.kind, err)
	}
	return *frame, nil
}
