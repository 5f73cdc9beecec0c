package forward

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/ravenway/ravenway/internal/coordination/backoff"
	"github.com/ravenway/ravenway/internal/coordination/ratelimit"
	"github.com/ravenway/ravenway/internal/coordination/registry"
)

// sendState tells how far a request came.
type sendState uint8

const (
	// notSent: no byte reached the engine.
	notSent sendState = iota
	// sent: the engine may have run it.
	sent
	// answered: the head of its answer is there.
	answered
)

// errOtherAnswer says that an answer belongs to another request.
var errOtherAnswer = errors.New("forward: the engine's answer belongs to another request")

// exchange is one request on its way to one engine, and its answer.
type exchange struct {
	pool       *pool
	address    string
	life       registry.Incarnation
	connection *connection
	response   *http.Response
	head       AnswerHead
	sentAt     time.Time
	// answeredAt is when the head of the answer came: an engine sends it as it begins
	// to run a stream, and at the end of any other request.
	answeredAt time.Time
	// failure is the whole body of an answer that is a failure.
	failure []byte
	// written is closed when the whole request is written.
	written  chan struct{}
	writeErr error
	// isLong tells that the body is written while the answer is awaited.
	isLong bool
	stop   func() bool
}

// outgoing is a request as it is written.
type outgoing struct {
	id     string
	method string
	// target is the path and query as the caller sent them.
	target string
	host   string
	header http.Header
	body   []byte
	// life is the life of the engine that it is for.
	life registry.Incarnation
	// admit tells whether the request may be written now; it waits where the engine's limit
	// has room in a moment.
	admit func(ctx context.Context) error
	// learn takes what the head of an answer says of the engine; the zero time stands for a
	// request before this one.
	learn func(answer *exchange, writtenAt time.Time)
}

// asynchronousBytes is the size from which a body is written while the answer
// is awaited: an engine may answer before it has read a long one.
const asynchronousBytes = 4 << 10

// send sends a request and reads the head of its answer. The state tells what
// the engine may have done when there is an error.
func (p *pool) send(ctx context.Context, dialect Dialect, address string, request outgoing) (*exchange, sendState, error) {
	opened, err := p.get(ctx, address)
	if err != nil {
		return nil, notSent, fmt.Errorf("connecting to %s: %w", address, err)
	}
	if ctx.Err() != nil {
		// The caller left, or the time ended, while the connection came up.
		opened.close()
		return nil, notSent, context.Cause(ctx)
	}
	// The last before it is written: nothing of the request waits any more.
	if err := request.admit(ctx); err != nil {
		p.giveBack(address, opened)
		return nil, notSent, err
	}
	if deadline, found := ctx.Deadline(); found {
		_ = opened.network.SetDeadline(deadline)
	}
	sending := &exchange{pool: p, address: address, life: request.life, connection: opened, sentAt: time.Now(), written: make(chan struct{})}
	// A caller that leaves, or a time that is over, frees the engine at once.
	sending.stop = context.AfterFunc(ctx, opened.close)
	p.begin(sending)
	if err := sending.write(request); err != nil {
		sending.abort()
		return nil, sent, fmt.Errorf("writing to %s: %w", address, err)
	}
	if err := sending.readHead(dialect, request); err != nil {
		sending.abort()
		return nil, sent, fmt.Errorf("reading the answer of %s: %w", address, err)
	}
	return sending, answered, nil
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
	head.Write(request.body)
	if head.Len() < asynchronousBytes {
		_, err := e.connection.network.Write(head.Bytes())
		close(e.written)
		return err
	}
	e.isLong = true
	go func() {
		_, e.writeErr = e.connection.network.Write(head.Bytes())
		close(e.written)
	}()
	return nil
}

// readHead reads the head of the answer. One that belongs to the request
// before is passed over: the engine sent it late, and ours comes behind it.
func (e *exchange) readHead(dialect Dialect, request outgoing) error {
	for {
		response, err := http.ReadResponse(e.connection.reader, &http.Request{Method: request.method})
		if err != nil {
			return err
		}
		if response.StatusCode >= 100 && response.StatusCode < 200 {
			continue
		}
		e.response, e.answeredAt = response, time.Now()
		e.head = dialect.ReadAnswer(response.StatusCode, response.Header)
		isOwn := e.head.ID == request.id || e.head.ID == "" && (e.head.NotRun || e.head.OtherInstance)
		switch {
		case e.head.OtherInstance:
			// It speaks of the other one.
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
			return errOtherAnswer
		}
		if _, err := drain(response.Body); err != nil {
			return err
		}
		// Only one answer can be surplus.
		e.connection.previousID = ""
	}
}

// hasRun tells that the engine took the request and did not fail it.
func (e *exchange) hasRun() bool {
	return !e.head.NotRun && e.response.StatusCode < http.StatusInternalServerError
}

// limitSaid is what the answer says of the engine's limit.
func (e *exchange) limitSaid() ratelimit.Signal {
	said := e.head.RateLimit
	said.IsFailure = !e.hasRun()
	return said
}

// backoffSaid is what the engine asks for.
func (e *exchange) backoffSaid() backoff.Signal {
	said := e.head.Backoff
	said.HasRun = e.hasRun()
	return said
}

// finish ends an exchange whose answer was read whole, and keeps the
// connection if it can serve another request.
func (e *exchange) finish(id string) {
	e.pool.end(e)
	if !e.stop() {
		return
	}
	isWritten := false
	select {
	case <-e.written:
		isWritten = e.writeErr == nil
	default:
		// The rest of the body would stand where the next request is due.
	}
	// A long body that was turned down may lie unread before the next request,
	// also when the network has taken all of it.
	mayBeUnread := e.isLong && !e.isSuccess()
	if !isWritten || mayBeUnread || e.response.Close || !e.response.ProtoAtLeast(1, 1) || e.response.ContentLength < 0 && !isChunked(e.response) {
		e.connection.close()
		return
	}
	e.connection.previousID = id
	e.pool.put(e.address, e.connection, e.response.Header)
}

// isSuccess tells whether the engine did what it was asked.
func (e *exchange) isSuccess() bool { return e.response.StatusCode < http.StatusMultipleChoices }

// abort closes the connection: the engine drops the request.
func (e *exchange) abort() {
	e.pool.end(e)
	e.stop()
	e.connection.close()
}

func isChunked(response *http.Response) bool {
	return len(response.TransferEncoding) > 0 && response.TransferEncoding[0] == "chunked"
}
