package forward

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/ravenway/ravenway/internal/coordination/backoff"
	"github.com/ravenway/ravenway/internal/coordination/ratelimit"
	"github.com/ravenway/ravenway/internal/coordination/registry"
)

// sendState is how far the sending of a request got.
type sendState uint8

const (
	// notSent: no byte reached the engine.
	notSent sendState = iota
	// sent: the engine may have run the request.
	sent
	// responded: the head of the response has been read.
	responded
)

// errForeignResponse means that a response belongs to another request.
var errForeignResponse = errors.New("forward: the engine's response belongs to another request")

// exchange is one request sent to one engine, and its response.
type exchange struct {
	pool        *pool
	address     string
	incarnation registry.Incarnation
	connection  *connection
	response    *http.Response
	head        ResponseHead
	sentAt      time.Time
	// respondedAt is when the head of the response arrived: an engine sends it when it starts to
	// run a stream, and at the end of any other request.
	respondedAt time.Time
	// errorBody is the complete body of a server error.
	errorBody []byte
	// written is closed when the whole request is written.
	written  chan struct{}
	writeErr error
	// isLong indicates that the body is written while the response is awaited.
	isLong bool
	// slot is the slot that the request occupies at a brittle engine, or nil.
	slot Slot
	// watch watches the exchange's path until its end.
	watch *pathWatch
	// witness shows whether the engine's process ends, if the response ends with its connection.
	witness *endWitness
	// isOver is set when the exchange has ended, and its connection may serve another one.
	isOver bool
	// isReplaced is set once a newer incarnation of the instance is known.
	isReplaced atomic.Bool
	// stop keeps the end of the request's context from closing the connection; it returns false if
	// that has already begun.
	stop func() bool
}

// outgoing is a request as it is written to an engine.
type outgoing struct {
	id     string
	method string
	// target is the path and query as the caller sent them.
	target string
	host   string
	header http.Header
	body   []byte
	// incarnation is the engine's incarnation that the request is for.
	incarnation registry.Incarnation
	// admit returns an error unless the request may be written now, and the slot that it occupies at
	// a brittle engine. It waits for a permit if the engine's rate limit will have headroom shortly.
	admit func(ctx context.Context) (Slot, error)
	// opened is called with the connection before the request is written.
	opened func(connection *connection)
	// began is called with the exchange before the request is written.
	began func(sending *exchange)
	// mayRunAgain is whether the request may be sent again if this exchange fails.
	mayRunAgain bool
	// learn applies the signals in the head of a response; the zero time means that the response
	// belongs to an earlier request.
	learn func(response *exchange, writtenAt time.Time)
}

// asynchronousBytes is the request size from which a body is written while the response is
// awaited: an engine may respond before it has read a long body.
const asynchronousBytes = 4 << 10

// send sends a request and reads the head of its response. If there is an error, the state
// indicates what the engine may have done.
func (p *pool) send(ctx context.Context, dialect Dialect, address string, request outgoing) (*exchange, sendState, error) {
	opened, err := p.get(ctx, address, request.incarnation)
	if err != nil {
		return nil, notSent, fmt.Errorf("connecting to %s: %w", address, err)
	}
	if ctx.Err() != nil {
		// The caller left, or the deadline expired, while the connection was opened.
		opened.close()
		return nil, notSent, context.Cause(ctx)
	}
	request.opened(opened)
	// Admission is the last step before writing: the request waits for nothing after it.
	slot, err := request.admit(ctx)
	if err != nil {
		p.putUnused(address, opened)
		return nil, notSent, err
	}
	if deadline, found := ctx.Deadline(); found {
		_ = opened.network.SetDeadline(deadline)
	}
	sending := &exchange{pool: p, address: address, incarnation: request.incarnation, connection: opened, sentAt: time.Now(), written: make(chan struct{}), slot: slot}
	// If the caller leaves or the deadline expires, closing the connection frees the engine
	// immediately.
	sending.stop = context.AfterFunc(ctx, opened.close)
	p.track(sending)
	sending.watchPath(request.mayRunAgain)
	request.began(sending)
	if err := sending.write(request); err != nil {
		sending.abort()
		return nil, sent, fmt.Errorf("writing to %s: %w", address, err)
	}
	if err := sending.readHead(dialect, request); err != nil {
		sending.abort()
		return nil, sent, fmt.Errorf("reading the response of %s: %w", address, err)
	}
	return sending, responded, nil
}

func (e *exchange) write(request outgoing) error {
	var head bytes.Buffer
	head.Grow(1 << 10)
	head.WriteString(request.method + " " + request.target + " HTTP/1.1\r\nHost: " + request.host + "\r\n")
	_ = request.header.Write(&head)
	if len(request.body) > 0 || request.method == http.MethodPost || request.method == http.MethodPut || request.method == http.MethodPatch {
		head.WriteString("Content-Length: " + strconv.Itoa(len(request.body)) + "\r\n")
	}
	head.WriteString("\r\n")
	if head.Len()+len(request.body) < asynchronousBytes {
		head.Write(request.body)
		_, err := e.connection.network.Write(head.Bytes())
		close(e.written)
		return err
	}
	e.isLong = true
	go func() {
		// Not copied behind the head: a body may be as long as the memory for bodies.
		if _, e.writeErr = e.connection.network.Write(head.Bytes()); e.writeErr == nil && len(request.body) > 0 {
			_, e.writeErr = e.connection.network.Write(request.body)
		}
		close(e.written)
	}()
	return nil
}

// readHead reads the head of the response. A response to the previous request is skipped: the
// engine sent it late, and this request's response follows it.
func (e *exchange) readHead(dialect Dialect, request outgoing) error {
	for {
		response, err := e.readFinalHead(request.method)
		if err != nil {
			return err
		}
		e.response, e.respondedAt = response, time.Now()
		e.head = dialect.ReadResponse(response.StatusCode, response.Header)
		isOwn := e.head.ID == request.id || e.head.ID == "" && (e.head.NotRun || e.head.OtherInstance)
		switch {
		case e.head.OtherInstance:
			// The response comes from the other instance, so its signals don't apply to this one.
		case isOwn:
			request.learn(e, e.sentAt)
		default:
			request.learn(e, time.Time{})
		}
		if isOwn {
			return nil
		}
		surplus := e.head.ID != "" && e.head.ID == e.connection.previousID && response.ContentLength >= 0
		if !surplus {
			return errForeignResponse
		}
		if _, err := drain(response.Body); err != nil {
			return err
		}
		// At most one response can be surplus.
		e.connection.previousID = ""
	}
}

// readFinalHead reads a head that is not informational (1xx).
func (e *exchange) readFinalHead(method string) (*http.Response, error) {
	e.connection.source.beginHead()
	defer e.connection.source.endHead()
	for range maximumInformationalHeads + 1 {
		response, err := e.connection.readCheckedHead(method)
		if err != nil && e.connection.source.headLeft <= 0 {
			// The head was cut off, whatever its last line was taken for.
			return nil, errors.Join(errHeadTooLong, err)
		}
		if err != nil || response.StatusCode < 100 || response.StatusCode >= 200 {
			return response, err
		}
	}
	return nil, errTooManyInformational
}

// hasRun reports whether the engine accepted the request and did not respond with a server error.
func (e *exchange) hasRun() bool {
	return !e.head.NotRun && e.response.StatusCode < http.StatusInternalServerError
}

// rateLimitSignal returns the response's signal about the engine's rate limit.
func (e *exchange) rateLimitSignal() ratelimit.Signal {
	signal := e.head.RateLimit
	signal.IsFailure = !e.hasRun()
	return signal
}

// backoffSignal returns the response's signal about pauses.
func (e *exchange) backoffSignal() backoff.Signal {
	signal := e.head.Backoff
	signal.HasRun = e.hasRun()
	return signal
}

// finish ends an exchange whose response was read completely, and keeps the connection if it can
// serve another request.
func (e *exchange) finish(id string) {
	e.isOver = true
	e.pool.untrack(e)
	e.watch.stop()
	e.freeSlot()
	if !e.stop() {
		return
	}
	isWritten := false
	select {
	case <-e.written:
		isWritten = e.writeErr == nil
	default:
		// The remainder of the body would be read as the next request.
	}
	// If the engine rejected a long body, the body may still be unread ahead of the next request,
	// even if the network has accepted all of it.
	mayBeUnread := e.isLong && !e.isSuccess()
	if !isWritten || mayBeUnread || e.response.Close || !e.response.ProtoAtLeast(1, 1) || e.endsByClose() {
		e.connection.close()
		return
	}
	e.connection.previousID = id
	e.pool.put(e.address, e.connection, e.response.Header)
}

// isSuccess reports whether the status is below 300.
func (e *exchange) isSuccess() bool { return e.response.StatusCode < http.StatusMultipleChoices }

// abort closes the connection, which makes the engine drop the request.
func (e *exchange) abort() {
	e.isOver = true
	e.pool.untrack(e)
	e.watch.stop()
	e.freeSlot()
	e.stop()
	e.connection.close()
}

// endsByClose reports whether the response has neither a length nor chunks, so that it ends with its
// connection.
func (e *exchange) endsByClose() bool {
	return e.response.ContentLength < 0 && !isChunked(e.response)
}

func isChunked(response *http.Response) bool {
	return len(response.TransferEncoding) > 0 && response.TransferEncoding[0] == "chunked"
}
