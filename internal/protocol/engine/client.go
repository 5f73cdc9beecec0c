package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
)

const (
	// maximumEventBytes bounds one event of a stream, and the body of a refusal.
	maximumEventBytes = 1 << 20
	// maximumBodyBytes bounds the body of a response that is not a stream.
	maximumBodyBytes = 8 << 20
	eventPrefix      = "data: "
)

// ErrUnknownRequest means that the engine does not know the request.
var ErrUnknownRequest = errors.New("engine: unknown request")

// ErrTruncated means that a stream ended without the event that is marked as done.
var ErrTruncated = errors.New("engine: the stream ended without its end mark")

// Client is an HTTP client for engines.
type Client struct {
	http *http.Client
}

// NewClient returns a client. Each stream occupies a connection of its own while it lasts; the
// transport keeps idle connections for later requests.
func NewClient(transport http.RoundTripper) *Client {
	return &Client{http: &http.Client{Transport: transport}}
}

// Stream reads the events of a response as they arrive.
type Stream struct {
	requestID string
	// offset is the offset of the next event, in output tokens.
	offset  uint64
	body    io.ReadCloser
	lines   *bufio.Scanner
	onClose func()
}

// Generate starts a request and returns its stream. An error is a *RefusedError or a
// *TransportError.
func (c *Client) Generate(ctx context.Context, address string, request GenerateRequest) (*Stream, error) {
	response, err := c.post(ctx, address, PathGenerate, request)
	if err != nil {
		return nil, err
	}
	return newStream(request.RequestID, 0, response), nil
}

// Resume resumes a request's stream at an offset in output tokens, or fails with
// ErrUnknownRequest if the engine does not know the request.
func (c *Client) Resume(ctx context.Context, address, requestID string, offset uint64) (*Stream, error) {
	path := fmt.Sprintf("%s%s/stream?offset=%d", PathRequests, requestID, offset)
	response, err := c.do(ctx, http.MethodGet, address, path, nil)
	if err != nil {
		return nil, mapNotFound(err)
	}
	return newStream(requestID, offset, response), nil
}

// Status returns the engine's status of a request, or ErrUnknownRequest.
func (c *Client) Status(ctx context.Context, address, requestID string) (RequestStatus, error) {
	var status RequestStatus
	err := c.call(ctx, http.MethodGet, address, PathRequests+requestID, nil, &status)
	return status, mapNotFound(err)
}

// Cancel cancels a request and returns its status with the usage so far, or ErrUnknownRequest.
func (c *Client) Cancel(ctx context.Context, address, requestID string) (RequestStatus, error) {
	var status RequestStatus
	err := c.call(ctx, http.MethodDelete, address, PathRequests+requestID, nil, &status)
	return status, mapNotFound(err)
}

// Load returns the load that the engine reports.
func (c *Client) Load(ctx context.Context, address string) (Load, error) {
	var load Load
	err := c.call(ctx, http.MethodGet, address, PathLoad, nil, &load)
	return load, err
}

// CacheEvents returns the cache events from a sequence number on.
func (c *Client) CacheEvents(ctx context.Context, address string, from uint64) (CacheEvents, error) {
	var events CacheEvents
	err := c.call(ctx, http.MethodGet, address, fmt.Sprintf("%s?from=%d", PathCacheEvents, from), nil, &events)
	return events, err
}

// Count returns the exact number of tokens of a prompt.
func (c *Client) Count(ctx context.Context, address, prompt string) (uint64, error) {
	var reply CountReply
	err := c.call(ctx, http.MethodPost, address, PathCount, CountRequest{Prompt: prompt}, &reply)
	return reply.Tokens, err
}

// SendOrder sends an order to an engine and returns the engine's order state.
func (c *Client) SendOrder(ctx context.Context, address string, order Order) (OrderState, error) {
	var state OrderState
	err := c.call(ctx, http.MethodPost, address, PathOrders, order, &state)
	return state, err
}

// OrderState returns the state of the engine's newest order.
func (c *Client) OrderState(ctx context.Context, address string) (OrderState, error) {
	var state OrderState
	err := c.call(ctx, http.MethodGet, address, PathOrders, nil, &state)
	return state, err
}

// ExportKV returns the cached KV blocks of a prompt.
func (c *Client) ExportKV(ctx context.Context, address, prompt string) (KVBlocks, error) {
	var blocks KVBlocks
	err := c.call(ctx, http.MethodPost, address, PathKVExport, CountRequest{Prompt: prompt}, &blocks)
	return blocks, err
}

// ImportKV loads cached KV blocks into an engine.
func (c *Client) ImportKV(ctx context.Context, address string, blocks KVBlocks) error {
	return c.call(ctx, http.MethodPost, address, PathKVImport, blocks, nil)
}

// Next returns the next event. The event that is marked as done is the last one; after it, Next fails
// as if the stream had ended without that event: with a *TransportError that wraps ErrTruncated.
func (s *Stream) Next() (Event, error) {
	for s.lines.Scan() {
		payload, found := strings.CutPrefix(s.lines.Text(), eventPrefix)
		if !found {
			continue
		}
		var event Event
		if err := json.Unmarshal([]byte(payload), &event); err != nil {
			return Event{}, &TransportError{Offered: true, Err: fmt.Errorf("reading an event: %w", err)}
		}
		// The id and the offset are checked on each event, so that a stream never carries another
		// request's output and never has a gap.
		if event.RequestID != s.requestID || event.Offset != s.offset {
			return Event{}, &MisdirectedError{Expected: s.requestID, Got: event.RequestID, ExpectedOffset: s.offset, GotOffset: event.Offset}
		}
		s.offset += event.Tokens
		return event, nil
	}
	err := s.lines.Err()
	if err == nil {
		err = ErrTruncated
	}
	return Event{}, &TransportError{Offered: true, Err: err}
}

// Offset returns the offset of the next event: the number of output tokens before it.
func (s *Stream) Offset() uint64 { return s.offset }

// Close stops reading the stream; it does not cancel the request.
func (s *Stream) Close() {
	_ = s.body.Close()
	if s.onClose != nil {
		s.onClose()
	}
}

// OnClose registers a function that is called when the stream is closed.
func (s *Stream) OnClose(callback func()) { s.onClose = callback }

func newStream(requestID string, offset uint64, response *http.Response) *Stream {
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(make([]byte, 0, 4<<10), maximumEventBytes)
	return &Stream{requestID: requestID, offset: offset, body: response.Body, lines: lines}
}

func (c *Client) post(ctx context.Context, address, path string, message any) (*http.Response, error) {
	return c.do(ctx, http.MethodPost, address, path, message)
}

// do sends a request and returns a response with status 200. Any other status is returned as an
// error.
func (c *Client) do(ctx context.Context, method, address, path string, message any) (*http.Response, error) {
	var body io.Reader
	if message != nil {
		encoded, err := json.Marshal(message)
		if err != nil {
			return nil, &TransportError{Err: fmt.Errorf("encoding a request: %w", err)}
		}
		body = bytes.NewReader(encoded)
	}
	offered := &atomic.Bool{}
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { offered.Store(true) }}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, "http://"+address+path, body)
	if err != nil {
		return nil, &TransportError{Err: err}
	}
	if method == http.MethodPost {
		// Without GetBody, net/http never resends a body on another connection by itself.
		request.GetBody = nil
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, &TransportError{Offered: offered.Load(), Err: err}
	}
	if response.StatusCode != http.StatusOK {
		defer response.Body.Close()
		return nil, readRefusal(response)
	}
	return response, nil
}

func (c *Client) call(ctx context.Context, method, address, path string, message, reply any) error {
	response, err := c.do(ctx, method, address, path, message)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if reply == nil {
		return nil
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maximumBodyBytes)).Decode(reply); err != nil {
		return &TransportError{Offered: true, Err: fmt.Errorf("reading a reply: %w", err)}
	}
	return nil
}

func readRefusal(response *http.Response) error {
	refused := &RefusedError{Status: response.StatusCode, RetryAfter: response.Header.Values("Retry-After")}
	body, _ := io.ReadAll(io.LimitReader(response.Body, maximumEventBytes))
	if err := json.Unmarshal(body, &refused.Body); err != nil {
		// The body does not come from an engine, so it is not known what ran.
		refused.Body = ErrorBody{Code: "unreadable", Message: strings.TrimSpace(string(body))}
	}
	return refused
}

func mapNotFound(err error) error {
	var refused *RefusedError
	if errors.As(err, &refused) && refused.Status == http.StatusNotFound && refused.Body.Code == CodeUnknownRequest {
		return ErrUnknownRequest
	}
	return err
}

// CodeUnknownRequest is the error code of an engine that does not know a request.
const CodeUnknownRequest = "unknown_request"
