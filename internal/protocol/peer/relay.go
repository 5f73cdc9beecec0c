package peer

import (
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
)

// RelayRequest opens a stream that relays a connection to an engine: the receiver connects to the
// engine and copies the bytes in both directions.
type RelayRequest struct {
	// Instance and StartedAt identify the engine's incarnation, Address is its address (host:port).
	Instance  string `msgpack:"i"`
	StartedAt int64  `msgpack:"s"`
	Address   string `msgpack:"a"`
}

// RelayRefusal is why a node does not relay a connection.
type RelayRefusal string

// Refusals.
const (
	// RelayAccepted: the connection is open.
	RelayAccepted RelayRefusal = ""
	// RelayInvalid: the request can't be read.
	RelayInvalid RelayRefusal = "invalid"
	// RelayUnknownInstance: the node knows no such incarnation at this address.
	RelayUnknownInstance RelayRefusal = "unknown_instance"
	// RelayNoPath: the node has lost its own path to engines.
	RelayNoPath RelayRefusal = "no_path"
	// RelayUnreachable: the engine did not respond to the node.
	RelayUnreachable RelayRefusal = "unreachable"
	// RelayEngineRefused: the engine refused the node's connection.
	RelayEngineRefused RelayRefusal = "engine_refused"
	// RelayPaused: the engine has requested a pause of the node, or is leaving.
	RelayPaused RelayRefusal = "paused"
	// RelayBusy: the node relays as much as it can, or is overloaded.
	RelayBusy RelayRefusal = "busy"
	// RelayStopping: the node is stopping.
	RelayStopping RelayRefusal = "stopping"
)

// RelayResponse is the response to a RelayRequest.
type RelayResponse struct {
	Refusal RelayRefusal `msgpack:"r,omitempty"`
	// AgeMS is the age in milliseconds of what the refusal rests on; 0 for what was found out for
	// this request.
	AgeMS int64 `msgpack:"g,omitempty"`
}

// RelaySignal reports to the relaying node what the engine's response requested of the machine that
// the connection came from.
type RelaySignal struct {
	// Request is the ID of the request.
	Request string `msgpack:"q"`
	// PauseMS is the requested pause in milliseconds, 0 if none was requested.
	PauseMS int64 `msgpack:"p,omitempty"`
	// IsLeaving reports whether the engine is leaving, HasRun whether it ran the request.
	IsLeaving bool `msgpack:"l,omitempty"`
	HasRun    bool `msgpack:"h,omitempty"`
}

// RelayEnd reports to the node that opened a relayed connection that the engine has ended it. The relay sends it before
// the end of its data.
type RelayEnd struct {
	// Received is the number of bytes that the engine's machine received over the connection.
	Received int64 `msgpack:"r"`
}

// EncodeStreamMessage encodes a message of a stream with field names, so that builds with other
// fields can read it.
func EncodeStreamMessage(message any) ([]byte, error) {
	encoded, err := marshalNamed(message)
	if err != nil {
		return nil, fmt.Errorf("encoding a message of a stream: %w", err)
	}
	return encoded, nil
}

// DecodeStreamMessage decodes a message of a stream.
func DecodeStreamMessage[T any](encoded []byte) (T, error) {
	var message T
	if err := msgpack.Unmarshal(encoded, &message); err != nil {
		return message, fmt.Errorf("decoding a message of a stream: %w", err)
	}
	return message, nil
}
