package reservation

import (
	"errors"
	"time"

	"github.com/ravenway/ravenway/internal/coordination/registry"
)

const (
	// MaximumLease bounds how long a reservation counts unless it is released. A prompt whose first
	// token takes longer than that has missed every objective.
	MaximumLease = 10 * time.Second
	// MaximumTokens bounds the prompt tokens of one reservation.
	MaximumTokens = 1 << 24
	// MaximumIDBytes bounds the ID of the instance.
	MaximumIDBytes = 1024
)

// Errors of requests and releases that are not valid.
var (
	ErrNoIncarnation = errors.New("reservation without an incarnation")
	ErrLongID        = errors.New("reservation with an instance ID that is too long")
	ErrTokens        = errors.New("prompt tokens out of range")
	ErrMaximumAhead  = errors.New("negative maximum of tokens ahead")
	ErrLease         = errors.New("lease out of range")
)

// Request is a request to the coordinator of an instance to reserve the reading of a prompt there.
type Request struct {
	Incarnation registry.Incarnation `msgpack:"i"`
	// Number identifies the reservation among those of the requesting node.
	Number uint64 `msgpack:"n"`
	// Tokens is the number of prompt tokens that the instance has to read.
	Tokens int `msgpack:"t"`
	// MaximumAhead is the most tokens of other prompts that may be ahead.
	MaximumAhead int `msgpack:"a"`
	// LeaseMS is how long the reservation counts unless it is released, in milliseconds.
	LeaseMS uint64 `msgpack:"l"`
}

// Check returns an error if the request is not valid: ErrNoIncarnation, ErrLongID, ErrTokens,
// ErrMaximumAhead or ErrLease.
func (r Request) Check() error {
	switch {
	case r.Incarnation.ID == "":
		return ErrNoIncarnation
	case len(r.Incarnation.ID) > MaximumIDBytes:
		return ErrLongID
	case r.Tokens < 0 || r.Tokens > MaximumTokens:
		return ErrTokens
	case r.MaximumAhead < 0:
		return ErrMaximumAhead
	case r.LeaseMS == 0 || r.LeaseMS > uint64(MaximumLease.Milliseconds()):
		return ErrLease
	}
	return nil
}

// lease returns how long the reservation counts unless it is released.
func (r Request) lease() time.Duration { return time.Duration(r.LeaseMS) * time.Millisecond }

// Response is the coordinator's response to a request.
type Response struct {
	IsGranted bool `msgpack:"g,omitempty"`
	// Ahead is the number of tokens, and Prompts that of prompts, that are ahead of the request,
	// without its own.
	Ahead   int `msgpack:"a,omitempty"`
	Prompts int `msgpack:"p,omitempty"`
}

// Backlog returns the prompt tokens that the instance has yet to read after the coordinator's
// decision: those ahead and, if the request was granted, its own.
func (r Response) Backlog(request Request) int {
	if r.IsGranted {
		return r.Ahead + request.Tokens
	}
	return r.Ahead
}

// Release tells the coordinator that the instance has read a prompt, or that it will not read it.
type Release struct {
	Incarnation registry.Incarnation `msgpack:"i"`
	// Number is that of the request.
	Number uint64 `msgpack:"n"`
}

// Check returns ErrNoIncarnation if the release names no incarnation.
func (r Release) Check() error {
	if r.Incarnation.ID == "" {
		return ErrNoIncarnation
	}
	return nil
}
