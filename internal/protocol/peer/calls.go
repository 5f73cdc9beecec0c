package peer

import (
	"context"
	"fmt"
	"sync"

	"github.com/vmihailenco/msgpack/v5"
)

// Calls sends calls to other nodes and matches their replies to the pending calls.
type Calls struct {
	// send passes a message to the transport; the message may be lost.
	send   func(to string, kind Kind, body any)
	mutex  sync.Mutex
	lastID uint64
	// pending holds the channel for the reply of each pending call by the call's ID.
	pending map[uint64]chan Reply
}

// NewCalls returns Calls that passes its messages to send and has no pending calls.
func NewCalls(send func(to string, kind Kind, body any)) *Calls {
	return &Calls{send: send, pending: map[uint64]chan Reply{}}
}

func (c *Calls) addPending() (uint64, chan Reply) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.lastID++
	replies := make(chan Reply, 1)
	c.pending[c.lastID] = replies
	return c.lastID, replies
}

func (c *Calls) removePending(id uint64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.pending, id)
}

// Deliver passes a reply to its pending call. A reply without a pending call is dropped.
func (c *Calls) Deliver(reply Reply) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if replies := c.pending[reply.ID]; replies != nil {
		delete(c.pending, reply.ID)
		replies <- reply
	}
}

// Reply sends the reply to a call, with a response or an error; codeOf classifies the error.
func (c *Calls) Reply(to string, call Call, response any, err error, codeOf func(error) ErrorCode) {
	reply := Reply{ID: call.ID}
	if err == nil {
		reply.Body, err = msgpack.Marshal(response)
	}
	if err != nil {
		reply.Code, reply.Detail = codeOf(err), err.Error()
	}
	c.send(to, KindReply, &reply)
}

// Execute decodes a call's request and executes it.
func Execute[T any](call Call, execute func(T) (any, error)) (any, error) {
	var request T
	if err := unmarshal(call.Body, &request); err != nil {
		return nil, fmt.Errorf("decoding call %s: %w", call.Method, err)
	}
	return execute(request)
}

// Invoke calls a method of another node and decodes the response. The error is a
// *ReplyError if the other node replied with an error.
func Invoke[T any](ctx context.Context, calls *Calls, to string, method Method, request any) (T, error) {
	var response T
	body, err := msgpack.Marshal(request)
	if err != nil {
		return response, fmt.Errorf("encoding call %s: %w", method, err)
	}
	id, replies := calls.addPending()
	defer calls.removePending(id)
	calls.send(to, KindCall, &Call{ID: id, Method: method, Body: body})
	select {
	case <-ctx.Done():
		return response, fmt.Errorf("calling %s on %s: %w", method, to, context.Cause(ctx))
	case reply := <-replies:
		if reply.Code != "" {
			return response, &ReplyError{Code: reply.Code, Detail: reply.Detail}
		}
		if err := unmarshal(reply.Body, &response); err != nil {
			return response, fmt.Errorf("decoding the answer to call %s: %w", method, err)
		}
		return response, nil
	}
}

// Dispatch decodes an envelope's body and passes it to handle.
func Dispatch[T any](envelope Envelope, handle func(T)) error {
	message, err := DecodeBody[T](envelope)
	if err != nil {
		return err
	}
	handle(message)
	return nil
}
