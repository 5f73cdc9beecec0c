package forward

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/ravenway/ravenway/internal/coordination/backoff"
	"github.com/ravenway/ravenway/internal/coordination/balance"
	"github.com/ravenway/ravenway/internal/coordination/ratelimit"
	"github.com/ravenway/ravenway/internal/coordination/registry"
	"github.com/ravenway/ravenway/internal/coordination/streamversion"
	"github.com/ravenway/ravenway/internal/state/document"
	"github.com/ravenway/ravenway/internal/transport"
)

// testDialect is a minimal HTTP interface.
type testDialect struct{}

func (testDialect) ReadCall(request *http.Request) (*Call, error) {
	call := &Call{ID: request.Header.Get("Id"), Key: request.Header.Get("Key"), LastEvent: request.Header.Get("After"), Resumes: request.Header.Get("Resumes"), Header: request.Header}
	if call.ID == "" {
		return nil, errors.New("no id")
	}
	for _, part := range strings.Fields(request.Header.Get("Parts")) {
		call.Parts = append(call.Parts, PromptPart{ID: part})
	}
	if request.Header.Get("Tokens") != "" {
		call.TokensIn, call.TokensOut, call.HasTokens = 100, 50, true
	}
	return call, nil
}

func (testDialect) EngineHeader(attempt Attempt) http.Header {
	header := EndToEndHeader(attempt.Call.Header)
	delete(header, "After")
	if attempt.LastEvent != "" {
		header.Set("After", attempt.LastEvent)
	}
	return header
}

func (testDialect) ReadResponse(_ int, header http.Header) ResponseHead {
	return ResponseHead{
		ID: header.Get("Id"), NotRun: header.Get("Not-Run") != "", RateLimit: ratelimit.Read(header.Values("Limit")),
		Backoff: backoff.ReadPause(header.Values("Pause")).WithLeaving(header.Values("Leaving")),
	}
}

func (testDialect) KnowsResponseHeader(name string) bool {
	return IsHTTPResponseHeader(name) || slices.Contains([]string{"Id", "Not-Run", "Limit", "Pause", "Leaving"}, name)
}

// testEnvironment is a node with one document, which records reservations and charges.
type testEnvironment struct {
	index     *document.Index
	hasNewest bool
	// newestVersion is the highest version known to be in effect at some node.
	newestVersion uint64
	began         time.Time
	stop          StopState
	// stopNow replaces stop while requests are in progress.
	stopNow     atomic.Pointer[StopState]
	linkDelay   time.Duration
	shedding    bool
	overloaded  bool
	settled     atomic.Int64
	maximumWait atomic.Int64
	refusal     error
	// tokensAvailable ends the wait for tokens; nil means that there is no wait.
	tokensAvailable chan struct{}
}

func (e *testEnvironment) Configuration() *document.Index       { return e.index }
func (e *testEnvironment) HasNewestConfiguration() bool         { return e.hasNewest }
func (e *testEnvironment) NewestKnown() (uint64, time.Duration) { return e.newestVersion, time.Second }
func (e *testEnvironment) LinkDelay() time.Duration             { return e.linkDelay }
func (e *testEnvironment) EntryNodes() int                      { return 1 }
func (e *testEnvironment) Stop() StopState {
	if changed := e.stopNow.Load(); changed != nil {
		return *changed
	}
	return e.stop
}
func (e *testEnvironment) Shedding() bool { return e.shedding }
func (e *testEnvironment) Admit(_ string, _ int64, mustServe bool) bool {
	return !e.overloaded || mustServe
}
func (e *testEnvironment) Now() time.Duration { return time.Since(e.began) }
func (e *testEnvironment) RetryPolicy() balance.RetryPolicy {
	return balance.RetryPolicy{Window: 10 * time.Second, Ratio: 0.2, Slack: 100, Nodes: 1}
}

func (e *testEnvironment) Reserve(ctx context.Context, _ string, _ uint64, maximumWait time.Duration) (Reservation, error) {
	e.maximumWait.Store(int64(maximumWait))
	if e.tokensAvailable != nil {
		select {
		case <-e.tokensAvailable:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	if e.refusal != nil {
		return nil, e.refusal
	}
	return settleFunc(func(used uint64) { e.settled.Store(int64(used)) }), nil
}

type settleFunc func(uint64)

func (s settleFunc) Settle(used uint64) { s(used) }

// received is a request as an engine read it.
type received struct {
	*http.Request
	body string
}

// scriptedEngine sends the exact bytes that a test scripts.
type scriptedEngine struct {
	listener    net.Listener
	script      func(connection net.Conn, reader *bufio.Reader, request received)
	mutex       sync.Mutex
	requests    []received
	connections atomic.Int64
	// open are the connections that were accepted.
	open []net.Conn
}

// crash closes the listener and all connections, as the end of a process does.
func (e *scriptedEngine) crash() {
	_ = e.listener.Close()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for _, connection := range e.open {
		_ = connection.Close()
	}
}

func newEngine(t *testing.T, script func(connection net.Conn, reader *bufio.Reader, request received)) *scriptedEngine {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	engine := &scriptedEngine{listener: listener, script: script}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			engine.connections.Add(1)
			engine.mutex.Lock()
			engine.open = append(engine.open, connection)
			engine.mutex.Unlock()
			go engine.serve(connection)
		}
	}()
	return engine
}

func (e *scriptedEngine) serve(connection net.Conn) {
	defer connection.Close()
	reader := bufio.NewReader(connection)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(request.Body)
		got := received{Request: request, body: string(body)}
		e.mutex.Lock()
		e.requests = append(e.requests, got)
		e.mutex.Unlock()
		e.script(connection, reader, got)
	}
}

func (e *scriptedEngine) ids() string {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	var ids []string
	for _, request := range e.requests {
		ids = append(ids, request.Header.Get("Id"))
	}
	return strings.Join(ids, " ")
}

func responseOf(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// harness is a pipeline with some engines, served over HTTP.
type harness struct {
	environment *testEnvironment
	log         *DecisionLog
	pipeline    *Pipeline
	table       *balance.Table
	streams     *testStreamVersions
	server      *httptest.Server
	client      *http.Client
	// unreadTimeout is how long callers may leave data unread, a time.Duration.
	unreadTimeout atomic.Int64
}

// timedListener limits how long callers may leave data unread, as a node does.
type timedListener struct {
	net.Listener
	timeout func() time.Duration
}

func (l *timedListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return transport.WithWriteTimeout(accepted, l.timeout), nil
}

// newIndex returns a document with a route of each kind to one service, and a tenant.
func newIndex() *document.Index {
	route := func(name string, kind document.RouteKind) document.Route {
		return document.Route{
			Name: name, Host: "127.0.0.1", Prefix: "/" + name + "/", Kind: kind, Timeout: 3 * time.Second, Objective: 100 * time.Millisecond,
			MaximumAttempts: 2, Targets: []document.Target{{Service: "s", Weight: 1}},
		}
	}
	resumable := route("resumable", document.Stream)
	resumable.Resumable = true
	once := route("once", document.NotRepeatable)
	return document.NewIndex(&document.Document{
		Version: 1, Services: []document.Service{{Name: "s", EventTokens: 3}}, Limits: document.Limits{MaximumBodyBytes: 1 << 20},
		Routes:  []document.Route{route("safe", document.Repeatable), once, route("stream", document.Stream), resumable},
		Tenants: []document.Tenant{{Name: "t", Keys: []string{"k"}, HasPrepaid: true, Prepaid: 1000}},
	})
}

func newHarness(t *testing.T, engines ...*scriptedEngine) *harness {
	t.Helper()
	made := &harness{environment: &testEnvironment{index: newIndex(), hasNewest: true, began: time.Now()}, log: NewDecisionLog(zerolog.Nop())}
	table := balance.NewTable("a")
	made.table, made.streams = table, &testStreamVersions{records: map[streamversion.Key]streamversion.Record{}}
	var instances []registry.Instance
	for number, engine := range engines {
		instances = append(instances, registry.Instance{
			ID: fmt.Sprintf("i-%d", number), Service: "s", Address: engine.listener.Addr().String(), Zone: "a", State: registry.Ready, Slots: 4,
		})
	}
	table.Apply(instances)
	made.pipeline = New(Options{Dialect: testDialect{}, Environment: made.environment, Table: table, Log: made.log, StreamVersions: made.streams})
	made.unreadTimeout.Store(int64(time.Minute))
	made.server = httptest.NewUnstartedServer(made.pipeline)
	made.server.Listener = &timedListener{Listener: made.server.Listener, timeout: func() time.Duration { return time.Duration(made.unreadTimeout.Load()) }}
	made.server.Start()
	t.Cleanup(made.server.Close)
	made.client = &http.Client{Transport: &http.Transport{DisableCompression: true, DisableKeepAlives: true, ExpectContinueTimeout: 5 * time.Second}}
	return made
}

type result struct {
	status int
	body   string
	header http.Header
	// closes indicates that the connection is closed after the response.
	closes bool
	err    error
}

func (h *harness) send(t *testing.T, method, path, id, body string) result {
	t.Helper()
	return h.do(h.request(t, method, path, id, body))
}

func (h *harness) request(t *testing.T, method, path, id, body string) *http.Request {
	t.Helper()
	request, err := http.NewRequest(method, h.server.URL+path, strings.NewReader(body))
	assert.NilError(t, err)
	request.Header.Set("Id", id)
	request.Header.Set("Key", "k")
	request.Header.Set("Tokens", "yes")
	return request
}

// sendAfterContinue sends the body only after "100 Continue": a refusal that arrives while a body
// is being sent may be lost with the connection.
func (h *harness) sendAfterContinue(t *testing.T, path, id, body string) result {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, h.server.URL+path, strings.NewReader(body))
	assert.NilError(t, err)
	request.Header.Set("Id", id)
	request.Header.Set("Key", "k")
	request.Header.Set("Expect", "100-continue")
	return h.do(request)
}

func (h *harness) do(request *http.Request) result {
	response, err := h.client.Do(request)
	if err != nil {
		return result{err: err}
	}
	defer response.Body.Close()
	read, err := io.ReadAll(response.Body)
	return result{status: response.StatusCode, body: string(read), header: response.Header, closes: response.Close, err: err}
}
