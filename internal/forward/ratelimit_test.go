package forward

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ravenway/ravenway/internal/coordination/ratelimit"
	"github.com/ravenway/ravenway/internal/coordination/registry"
)

// learningLimits learns from responses, and grants every permit.
type learningLimits struct {
	*ratelimit.Limits
	began time.Time
	// changes are the effects of the responses on the limits.
	changes chan ratelimit.Change
}

func (l *learningLimits) Permit(context.Context, registry.Instance, ratelimit.PermitNeeds) error {
	return nil
}

func (l *learningLimits) Learn(instance registry.Instance, signal ratelimit.Signal, writtenAt time.Time) {
	l.changes <- l.Limits.Learn(time.Since(l.began), instance.Incarnation(), signal, writtenAt.Sub(l.began))
}

// Guards against a rate limit that is dropped too early: an engine with a limit received more
// than that from all nodes together, while it rejected every second request, because a rejection
// that named no limit was taken for its end and broadcast to all nodes.
func TestRefusalsAndFailuresWithoutALimitDoNotEndIt(t *testing.T) {
	responses := map[string]string{
		"names the limit": "HTTP/1.1 200 OK\r\nId: %s\r\nLimit: 2\r\nContent-Length: 0\r\n\r\n",
		"rejects":         "HTTP/1.1 503 Service Unavailable\r\nId: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"fails":           "HTTP/1.1 500 Internal Server Error\r\nId: %s\r\nContent-Length: 0\r\n\r\n",
		"is unreadable":   "HTTP/1.1 200 OK\r\nId: %s\r\nLimit: many\r\nContent-Length: 0\r\n\r\n",
		"finds none":      "HTTP/1.1 404 Not Found\r\nId: %s\r\nContent-Length: 0\r\n\r\n",
		"serves well":     "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 0\r\n\r\n",
	}
	h := newHarness(t, newEngine(t, func(connection net.Conn, _ *bufio.Reader, request received) {
		_, _ = fmt.Fprintf(connection, responses[request.body], request.Header.Get("Id"))
	}))
	limits := &learningLimits{Limits: ratelimit.New("node"), began: time.Now(), changes: make(chan ratelimit.Change, 1)}
	h.pipeline.options.RateLimits = limits
	for number, step := range []struct {
		body string
		kind ratelimit.ChangeKind
	}{
		{"names the limit", ratelimit.Began}, {"rejects", ratelimit.Unchanged}, {"fails", ratelimit.Unchanged},
		{"is unreadable", ratelimit.Unreadable}, {"serves well", ratelimit.Ended},
		{"names the limit", ratelimit.Began}, {"finds none", ratelimit.Ended},
	} {
		h.send(t, http.MethodPost, "/once/x", fmt.Sprint("r", number), step.body)
		kind := (<-limits.changes).Kind
		assert.Equal(t, kind, step.kind, "a response that %s: %s", step.body, kind)
	}
}

// Guards against requests that an engine rejected and that nevertheless use up the retry times
// that rate limits assign to callers.
func TestRejectedRequestUsesNoRetryTimeOfALimit(t *testing.T) {
	h := newHarness(t, newEngine(t, func(connection net.Conn, _ *bufio.Reader, request received) {
		_, _ = fmt.Fprintf(connection, "HTTP/1.1 503 Busy\r\nId: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", request.Header.Get("Id"))
	}), newEngine(t, func(net.Conn, *bufio.Reader, received) {}))
	limits := ratelimit.New("node")
	h.pipeline.options.Table.SetLimits(limits)
	limited := registry.Incarnation{ID: "i-1"}
	limits.Learn(h.environment.Now(), limited, ratelimit.Signal{IsNamed: true, PerSecond: 0.1}, 0)
	limits.RecordResponse(h.environment.Now(), limited, ratelimit.PermitResponse{FreeMS: 2000})
	route := h.environment.index.Document.Routes
	for position := range route {
		route[position].MaximumAttempts = 1
	}
	for number := range 5 {
		got := h.send(t, http.MethodPost, "/once/x", fmt.Sprint("r", number), "b")
		assert.Equal(t, got.status, http.StatusServiceUnavailable)
		assert.Assert(t, strings.Contains(got.body, string(ReasonRejected)), got.body)
	}
	next := h.pipeline.retryTimes.Next(h.environment.Now(), "s", 0, 0.1)
	assert.Assert(t, next < time.Second, "the next retry time is %s away", next)
}
