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

// learntLimits keeps what answers say, and grants every permit.
type learntLimits struct {
	*ratelimit.Limits
	began time.Time
	// changes are what the answers changed.
	changes chan ratelimit.Change
}

func (l *learntLimits) Permit(context.Context, registry.Instance, ratelimit.Need) error { return nil }

func (l *learntLimits) Learn(instance registry.Instance, said ratelimit.Said, writtenAt time.Time) {
	l.changes <- l.Limits.Learn(time.Since(l.began), instance.Life(), said, writtenAt.Sub(l.began))
}

// Seen: an engine with a limit got more than that from all nodes together, while it turned
// every second request away. Cause: a refusal that named no limit was taken for its end, and
// all nodes were told. Proved by the changes that each answer brings about here.
func TestRefusalsAndFailuresWithoutAWordOfTheLimitDoNotEndIt(t *testing.T) {
	answers := map[string]string{
		"names it":    "HTTP/1.1 200 OK\r\nId: %s\r\nLimit: 2\r\nContent-Length: 0\r\n\r\n",
		"turns away":  "HTTP/1.1 503 Service Unavailable\r\nId: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"fails":       "HTTP/1.1 500 Internal Server Error\r\nId: %s\r\nContent-Length: 0\r\n\r\n",
		"can't say":   "HTTP/1.1 200 OK\r\nId: %s\r\nLimit: many\r\nContent-Length: 0\r\n\r\n",
		"finds none":  "HTTP/1.1 404 Not Found\r\nId: %s\r\nContent-Length: 0\r\n\r\n",
		"serves well": "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 0\r\n\r\n",
	}
	h := newHarness(t, newEngine(t, func(connection net.Conn, _ *bufio.Reader, request received) {
		_, _ = fmt.Fprintf(connection, answers[request.body], request.Header.Get("Id"))
	}))
	limits := &learntLimits{Limits: ratelimit.New("node"), began: time.Now(), changes: make(chan ratelimit.Change, 1)}
	h.pipeline.options.RateLimits = limits
	for number, step := range []struct {
		body string
		kind ratelimit.ChangeKind
	}{
		{"names it", ratelimit.Began}, {"turns away", ratelimit.Unchanged}, {"fails", ratelimit.Unchanged},
		{"can't say", ratelimit.Unreadable}, {"serves well", ratelimit.Ended},
		{"names it", ratelimit.Began}, {"finds none", ratelimit.Ended},
	} {
		h.ask(t, http.MethodPost, "/once/x", fmt.Sprint("r", number), step.body)
		kind := (<-limits.changes).Kind
		assert.Equal(t, kind, step.kind, "an answer that %s: %s", step.body, kind)
	}
}

// Guards against requests that an engine turned away and that use up the moments at which
// limits let callers come back.
func TestRefusedRequestTakesNoReturnOfALimit(t *testing.T) {
	h := newHarness(t, newEngine(t, func(connection net.Conn, _ *bufio.Reader, request received) {
		_, _ = fmt.Fprintf(connection, "HTTP/1.1 503 Busy\r\nId: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", request.Header.Get("Id"))
	}), newEngine(t, func(net.Conn, *bufio.Reader, received) {}))
	limits := ratelimit.New("node")
	h.pipeline.options.Table.SetLimits(limits)
	limited := registry.Life{ID: "i-1"}
	limits.Learn(h.environment.Now(), limited, ratelimit.Said{IsNamed: true, PerSecond: 0.1}, 0)
	limits.Answered(h.environment.Now(), limited, ratelimit.Answer{FreeMS: 2000})
	route := h.environment.index.Document.Routes
	for position := range route {
		route[position].MaximumAttempts = 1
	}
	for number := range 5 {
		got := h.ask(t, http.MethodPost, "/once/x", fmt.Sprint("r", number), "b")
		assert.Equal(t, got.status, http.StatusServiceUnavailable)
		assert.Assert(t, strings.Contains(got.body, string(ReasonTurnedAway)), got.body)
	}
	next := h.pipeline.returns.Next(h.environment.Now(), "s", 0, 0.1)
	assert.Assert(t, next < time.Second, "the next return is %s away", next)
}
