package peer

import (
	"context"
	"fmt"
	"sync"

	"github.com/vmihailenco/msgpack/v5"
)

// Calls sends calls to other nodes and matches the replies to them.
type Calls struct {
	// send passes a message to the transport; the message may be lost.
	send    func(to string, kind Kind, body any)
	mutex   sync.Mutex
	next    uint64
	waiting map[uint64]chan Reply
}

// NewCalls returns a table without pending calls.
func NewCalls(send func(to string, kind Kind, body any)) *Calls {
	return &Calls{send: send, waiting: map[uint64]chan Reply{}}
}

func (c *Calls) begin() (uint64, chan Reply) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.next++
	answer := make(chan Reply, 1)
	c.waiting[c.next] = answer
	return c.next, answer
}

func (c *Calls) end(id uint64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.waiting, id)
}

// Answered delivers a reply to its pending call. A reply without one is dropped.
func (c *Calls) Answered(reply Reply) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if answer := c.waiting[reply.ID]; answer != nil {
		delete(c.waiting, reply.ID)
		answer <- reply
	}
}

// Answer sends the reply to a call, with a response or an error; codeOf classifies the error.
func (c *Calls) Answer(to string, call Call, answer any, err error, codeOf func(error) ErrorCode) {
	reply := Reply{ID: call.ID}
	if err == nil {
		reply.Body, err = msgpack.Marshal(answer)
	}
	if err != nil {
		reply.Code, reply.Detail = codeOf(err), err.Error()
	}
	c.send(to, KindReply, &reply)
}

// Execute decodes a call's request and executes it.
func Execute[T any](call Call, execute func(T) (any, error)) (any, error) {
	var question T
	if err := unmarshal(call.Body, &question); err != nil {
		return nil, fmt.Errorf("decoding call %s: %w", call.Method, err)
	}
	return execute(question)
}

// Invoke calls a method of another node and decodes the response. The error is a
// *ReplyError if the other node replied with an error.
func Invoke[T any](ctx context.Context, calls *Calls, to string, method Method, question any) (T, error) {
	var answer T
	body, err := msgpack.Marshal(question)
	if err != nil {
		return answer, fmt.Errorf("encoding call %s: %w", method, err)
	}
	id, replies := calls.begin()
	defer calls.end(id)
	calls.send(to, KindCall, &Call{ID: id, Method: method, Body: body})
	select {
	case <-ctx.Done():
		return answer, fmt.Errorf("calling %s on %s: %w", method, to, context.Cause(ctx))
	case reply := <-replies:
		if reply.Code != "" {
			return answer, &ReplyError{Code: reply.Code, Detail: reply.Detail}
		}
		if err := unmarshal(reply.Body, &answer); err != nil {
			return answer, fmt.Errorf("decoding the answer to call %s: %w", method, err)
		}
		return answer, nil
	}
}

// Dispatch decodes an envelope's body and passes it to take.
func Dispatch[T any](envelope Envelope, take func(T)) error {
	message, err := DecodeBody[T](envelope)
	if err != nil {
		return err
	}
	take(message)
	return nil
}
