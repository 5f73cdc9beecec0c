package forward

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ravenway/ravenway/internal/coordination/backoff"
	"github.com/ravenway/ravenway/internal/coordination/balance"
	"github.com/ravenway/ravenway/internal/coordination/ratelimit"
	"github.com/ravenway/ravenway/internal/coordination/registry"
)

// trackedBackoff passes the signals of responses to a tracker of pauses.
type trackedBackoff struct {
	*backoff.Tracker
	environment *testEnvironment
}

func (b trackedBackoff) Learn(instance registry.Instance, request string, signal backoff.Signal, writtenAt time.Time) {
	now, written := b.environment.Now(), backoff.Request{ID: request}
	if !writtenAt.IsZero() {
		written.WrittenAt = now - time.Since(writtenAt)
	}
	b.Tracker.Learn(now, instance.Incarnation(), written, signal)
}

// exactResume ends pauses at exactly the requested time.
var exactResume = backoff.RecoveryPolicy{InitialTrials: 1, RecoveredTrials: 4, MaximumTrialTime: time.Minute}

// newBackoffHarness is newHarness with a tracker of pauses.
func newBackoffHarness(t *testing.T, engines ...*scriptedEngine) (*harness, *backoff.Tracker) {
	t.Helper()
	h := newHarness(t, engines...)
	tracker := backoff.NewTracker(exactResume)
	h.pipeline.options.Table.SetBackoff(tracker)
	h.pipeline.options.Backoff = trackedBackoff{Tracker: tracker, environment: h.environment}
	return h, tracker
}

// newEngineWithHead responds to each request with a head in which "ID" is replaced by the request's
// id.
func newEngineWithHead(t *testing.T, head string) *scriptedEngine {
	t.Helper()
	return newEngine(t, func(connection net.Conn, _ *bufio.Reader, request received) {
		_, _ = io.WriteString(connection, strings.ReplaceAll(head, "ID", request.Header.Get("Id"))+"Content-Length: 0\r\n\r\n")
	})
}

// assertOneRequestOnly checks for a route of each kind that an engine that responds with the head
// receives one request, and that the next request is refused.
func assertOneRequestOnly(t *testing.T, head string) {
	t.Helper()
	for _, path := range []string{"/safe/x", "/once/x", "/stream/x", "/resumable/x"} {
		engine := newEngineWithHead(t, head)
		h, tracker := newBackoffHarness(t, engine)
		h.send(t, http.MethodPost, path, "r1", "b")
		got := h.send(t, http.MethodPost, path, "r2", "b")
		assert.Equal(t, engine.ids(), "r1", path)
		assert.Equal(t, got.status, http.StatusServiceUnavailable, path)
		assert.Equal(t, tracker.Count(), int64(1), path)
	}
}

const pauseHead = "HTTP/1.1 503 Busy\r\nId: ID\r\nNot-Run: 1\r\nPause: 3\r\n"

// Guards against pauses that are read from some kinds of response only.
func TestPauseIsReadFromEveryResponse(t *testing.T) {
	for name, head := range map[string]string{
		"rejected":                 pauseHead,
		"without not run":          "HTTP/1.1 503 Busy\r\nId: ID\r\nPause: 3\r\n",
		"without an id":            "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nPause: 3\r\n",
		"of another request":       "HTTP/1.1 503 Busy\r\nId: stranger\r\nNot-Run: 1\r\nPause: 3\r\n",
		"with a closed connection": "HTTP/1.1 503 Busy\r\nId: ID\r\nConnection: close\r\nNot-Run: 1\r\nPause: 3\r\n",
	} {
		t.Run(name, func(t *testing.T) { assertOneRequestOnly(t, head) })
	}
}

// Guards against a pause that is missed because it is in a surplus response that arrives ahead of
// the next one.
func TestPauseIsReadFromASurplusResponse(t *testing.T) {
	engine := newEngine(t, func(connection net.Conn, _ *bufio.Reader, request received) {
		id := request.Header.Get("Id")
		if id == "r2" {
			_, _ = io.WriteString(connection, strings.ReplaceAll(pauseHead, "ID", "r1")+"Content-Length: 0\r\n\r\n")
		}
		_, _ = io.WriteString(connection, responseOf(id, "done"))
	})
	h, _ := newBackoffHarness(t, engine)
	for _, id := range []string{"r1", "r2", "r3"} {
		h.send(t, http.MethodPost, "/once/x", id, "b")
	}
	assert.Equal(t, engine.ids(), "r1 r2")
}

// Guards against requests that are waiting for something when a pause is requested, and are
// written during the pause.
func TestRequestThatWaitedIsNotWrittenDuringAPause(t *testing.T) {
	requested := make(chan struct{})
	waits := map[string]func(h *harness){
		"for a connection": func(h *harness) {
			h.pipeline.pool.dial = func(_ context.Context, address string) (net.Conn, error) {
				<-requested
				return net.Dial("tcp", address)
			}
		},
		"for a permit": func(h *harness) { h.pipeline.options.RateLimits = waitingLimits{until: requested} },
		"for tokens":   func(h *harness) { h.environment.tokensAvailable = requested },
	}
	for name, wait := range waits {
		for _, path := range []string{"/safe/x", "/once/x", "/resumable/x"} {
			t.Run(name+" "+path, func(t *testing.T) {
				requested = make(chan struct{})
				engine := newEngineWithHead(t, "HTTP/1.1 200 OK\r\nId: ID\r\n")
				h, tracker := newBackoffHarness(t, engine)
				wait(h)
				results := make(chan result, 1)
				go func() { results <- h.send(t, http.MethodPost, path, "r1", "b") }()
				time.Sleep(50 * time.Millisecond)
				tracker.Learn(h.environment.Now(), registry.Incarnation{ID: "i-0"}, backoff.Request{ID: "r0"}, backoff.Signal{Pause: 3 * time.Second})
				close(requested)
				got := <-results
				assert.Equal(t, engine.ids(), "")
				assert.Equal(t, got.status, http.StatusServiceUnavailable)
				assert.Assert(t, strings.Contains(got.body, string(ReasonPaused)), got.body)
			})
		}
	}
}

// waitingLimits grants permits once a channel is closed.
type waitingLimits struct {
	noRateLimits
	until chan struct{}
}

func (l waitingLimits) Permit(context.Context, registry.Instance, ratelimit.PermitNeeds) error {
	<-l.until
	return nil
}

// Guards against callers that are kept waiting, or told to retry too early, while all instances
// have requested a pause.
func TestRequestIsRefusedWithTheEndOfThePauseWhenAllInstancesArePaused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		environment := &testEnvironment{index: newIndex(), hasNewest: true, began: time.Now()}
		heads := map[string]string{"engine-0": pauseHead, "engine-1": strings.ReplaceAll(pauseHead, "Pause: 3", "Pause: 20")}
		table, tracker := balance.NewTable("a"), backoff.NewTracker(exactResume)
		table.SetBackoff(tracker)
		for address := range heads {
			table.Apply([]registry.Instance{{ID: address, Service: "s", Address: address, Zone: "a", State: registry.Ready, Slots: 4}})
		}
		dials := 0
		pipeline := New(Options{
			Dialect: testDialect{}, Environment: environment, Table: table, Backoff: trackedBackoff{Tracker: tracker, environment: environment},
			Dial: func(_ context.Context, address string) (net.Conn, error) {
				dials++
				return dialEngineWithHead(heads[address]), nil
			},
		})
		// The first request learns of both pauses, the others reach no instance.
		for number := range 4 {
			request := httptest.NewRequest(http.MethodPost, "/once/x", strings.NewReader("b"))
			request.Host, request.Header = "127.0.0.1", http.Header{"Id": {fmt.Sprint("r", number)}, "Key": {"k"}, "Tokens": {"yes"}}
			sent, response := time.Now(), httptest.NewRecorder()
			pipeline.ServeHTTP(response, request)
			assert.Equal(t, response.Code, http.StatusServiceUnavailable)
			assert.Assert(t, strings.Contains(response.Body.String(), string(ReasonPaused)), response.Body.String())
			assert.Equal(t, time.Since(sent), time.Duration(0))
			assert.Equal(t, dials, len(heads))
			retryAfter, err := strconv.ParseFloat(response.Header().Get("Retry-After"), 64)
			assert.NilError(t, err)
			assert.Assert(t, retryAfter > 2.5 && retryAfter < 4, "%g", retryAfter)
		}
	})
}

// dialEngineWithHead returns a connection to an engine that responds to one request with a head in which
// "ID" is replaced by the request's id, and closes the connection.
func dialEngineWithHead(head string) net.Conn {
	local, remote := net.Pipe()
	go func() {
		defer remote.Close()
		if request, err := http.ReadRequest(bufio.NewReader(remote)); err == nil {
			_, _ = io.Copy(io.Discard, request.Body)
			_, _ = io.WriteString(remote, strings.ReplaceAll(head, "ID", request.Header.Get("Id"))+"Connection: close\r\nContent-Length: 0\r\n\r\n")
		}
	}()
	return local
}

// Guards against requests that are sent to an engine after any of its responses has announced
// that it leaves.
func TestLeavingIsReadFromEveryResponse(t *testing.T) {
	for name, head := range map[string]string{
		"served":    "HTTP/1.1 200 OK\r\nId: ID\r\nLeaving: 1\r\n",
		"not found": "HTTP/1.1 404 Not Found\r\nId: ID\r\nLeaving: 1\r\n",
		"failed":    "HTTP/1.1 500 Failed\r\nId: ID\r\nLeaving: 1\r\n",
		"rejected":  "HTTP/1.1 503 Busy\r\nId: ID\r\nNot-Run: 1\r\nLeaving: 1\r\n",
	} {
		t.Run(name, func(t *testing.T) { assertOneRequestOnly(t, head) })
	}
}
