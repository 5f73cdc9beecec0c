package forward

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ravenway/ravenway/internal/coordination/ratelimit"
	"github.com/ravenway/ravenway/internal/coordination/registry"
	"github.com/ravenway/ravenway/internal/coordination/slotlease"
)

// earlyInStop is a moment of a planned stop at which all requests are accepted, and lateInStop one at which those that
// could not end in time are not.
var (
	earlyInStop = StopState{Begun: true, Since: acceptsAllPeriod - 100*time.Millisecond, Left: time.Second}
	lateInStop  = StopState{Begun: true, Since: acceptsAllPeriod + 100*time.Millisecond, Left: 800 * time.Millisecond}
)

// gate is what a request waits for: the wait begins when begun is closed and ends with opened.
type gate struct {
	once          sync.Once
	begun, opened chan struct{}
}

func newGate() *gate { return &gate{begun: make(chan struct{}), opened: make(chan struct{})} }

func (g *gate) wait() {
	g.once.Do(func() { close(g.begun) })
	<-g.opened
}

type gatedPermits struct {
	noRateLimits
	gate *gate
}

func (p gatedPermits) Permit(context.Context, registry.Instance, ratelimit.PermitNeeds) error {
	p.gate.wait()
	return nil
}

type gatedSlots struct {
	noSlots
	gate *gate
}

func (s gatedSlots) Acquire(context.Context, registry.Instance, time.Duration) (Slot, error) {
	s.gate.wait()
	return nil, nil
}

func (gatedSlots) Learn(registry.Instance, slotlease.Signal) {}

// Guards against a request that is accepted early in a planned stop, waits, and is passed on when it can no longer end
// before the node does.
func TestRequestThatWaitsUntilLateInAStopIsNotPassedOn(t *testing.T) {
	for name, waitFor := range map[string]func(h *harness, gate *gate){
		"a permit": func(h *harness, gate *gate) { h.pipeline.options.RateLimits = gatedPermits{gate: gate} },
		"a slot":   func(h *harness, gate *gate) { h.pipeline.options.Slots = gatedSlots{gate: gate} },
		"tokens":   func(h *harness, gate *gate) { h.environment.tokensAvailable = gate.opened },
		"a connection": func(h *harness, gate *gate) {
			dial := h.pipeline.pool.dial
			h.pipeline.pool.dial = func(ctx context.Context, address string) (net.Conn, error) {
				gate.wait()
				return dial(ctx, address)
			}
		},
	} {
		for _, path := range []string{"/safe/x", "/once/x", "/stream/x", "/resumable/x"} {
			t.Run(name+path, func(t *testing.T) {
				engine := newEngine(t, func(connection net.Conn, _ *bufio.Reader, request received) {
					_, _ = io.WriteString(connection, responseOf(request.Header.Get("Id"), "whole"))
				})
				h := newHarness(t, engine)
				gate := newGate()
				waitFor(h, gate)
				h.environment.stopNow.Store(&earlyInStop)
				ended := make(chan result, 1)
				go func() { ended <- h.send(t, http.MethodPost, path, "r1", "body") }()
				if name == "tokens" {
					waitUntil(t, "the request waits for tokens", func() bool { return h.environment.maximumWait.Load() > 0 })
				} else {
					<-gate.begun
				}
				h.environment.stopNow.Store(&lateInStop)
				close(gate.opened)
				got := <-ended
				assert.NilError(t, got.err)
				assert.Equal(t, got.status, http.StatusServiceUnavailable, "%s", got.body)
				assert.Assert(t, strings.Contains(got.body, string(ReasonStopping)) && strings.Contains(got.body, `"not_run":true`), got.body)
				assert.Equal(t, engine.ids(), "")
			})
		}
	}
}

// Guards against a request whose head arrives early in a planned stop and whose body arrives late.
func TestRequestWhoseBodyArrivesLateInAStopIsNotPassedOn(t *testing.T) {
	for _, framing := range []string{"Content-Length: 4\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n"} {
		engine := newEngine(t, func(connection net.Conn, _ *bufio.Reader, request received) {
			_, _ = io.WriteString(connection, responseOf(request.Header.Get("Id"), "whole"))
		})
		h := newHarness(t, engine)
		h.environment.stopNow.Store(&earlyInStop)
		connection, err := net.Dial("tcp", h.server.Listener.Addr().String())
		assert.NilError(t, err)
		defer connection.Close()
		_, err = fmt.Fprintf(connection, "POST /once/x HTTP/1.1\r\nHost: 127.0.0.1\r\nId: r1\r\nKey: k\r\n%s", framing)
		assert.NilError(t, err)
		waitUntil(t, "the head has arrived", func() bool { return h.pipeline.Active() == 1 })
		// The body is awaited from here on.
		time.Sleep(50 * time.Millisecond)
		h.environment.stopNow.Store(&lateInStop)
		body := "body"
		if strings.Contains(framing, "chunked") {
			body = "4\r\nbody\r\n0\r\n\r\n"
		}
		_, err = io.WriteString(connection, body)
		assert.NilError(t, err)
		response, err := http.ReadResponse(bufio.NewReader(connection), nil)
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
		assert.Equal(t, engine.ids(), "")
	}
}

// Guards against a request that was passed on and gets no answer before its connection ends with the node.
func TestRequestsThatAreAtEnginesAtTheEndOfAStopAreAnswered(t *testing.T) {
	engine := newEngine(t, func(connection net.Conn, _ *bufio.Reader, request received) {
		if request.Header.Get("Id") == "begun" {
			_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nId: begun\r\nContent-Length: 30\r\n\r\n"+firstEvent)
			time.Sleep(300 * time.Millisecond)
			_, _ = io.WriteString(connection, secondEvent)
			return
		}
		time.Sleep(2 * time.Second)
	})
	h := newHarness(t, engine)
	for position := range h.environment.index.Document.Routes {
		h.environment.index.Document.Routes[position].Objective = time.Second
	}
	begun := make(chan result, 1)
	go func() { begun <- h.send(t, http.MethodPost, "/stream/x", "begun", "body") }()
	paths := []string{"/safe/x", "/once/x", "/stream/x", "/resumable/x"}
	ended := make(chan result, len(paths))
	for _, path := range paths {
		go func() { ended <- h.send(t, http.MethodPost, path, "waits"+strings.ReplaceAll(path, "/", "-"), "body") }()
	}
	waitUntil(t, "all are at the engine", func() bool { return len(strings.Fields(engine.ids())) == len(paths)+1 })
	time.Sleep(50 * time.Millisecond)
	canceledAt := time.Now()
	h.pipeline.CancelWaiting()
	for range paths {
		got := <-ended
		assert.NilError(t, got.err)
		assert.Equal(t, got.status, http.StatusBadGateway, "%s", got.body)
		assert.Assert(t, strings.Contains(got.body, `"not_run":false`), got.body)
	}
	assert.Assert(t, time.Since(canceledAt) < 200*time.Millisecond)
	assert.Equal(t, (<-begun).body, twoEvents)
}
