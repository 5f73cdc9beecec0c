package forward

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// engineFreedWithin is the maximum time until an engine is freed of a caller that left.
const engineFreedWithin = 100 * time.Millisecond

// leaveAfter sends a request whose caller leaves after the given time, and returns when it left.
func (h *harness) leaveAfter(t *testing.T, after time.Duration, path string) time.Time {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), after)
	defer cancel()
	assert.ErrorIs(t, h.do(h.request(t, http.MethodPost, path, "r1", "b").WithContext(ctx)).err, context.DeadlineExceeded)
	return time.Now()
}

// A caller leaves while an engine works on its request: before the head of the response, between
// the head and the first event, or during the stream.
func TestEngineIsFreedOfACallerThatLeft(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nId: r1\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, response := range map[string]string{
		"before the response": "", "before the first event": head, "in the stream": head + "f\r\nid: 1\ndata: a\n\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			freed := make(chan time.Time, 1)
			h := newHarness(t, newEngine(t, func(connection net.Conn, reader *bufio.Reader, _ received) {
				_, _ = io.WriteString(connection, response)
				_, _ = reader.ReadByte()
				freed <- time.Now()
			}))
			left := h.leaveAfter(t, 100*time.Millisecond, "/stream/x")
			select {
			case at := <-freed:
				assert.Assert(t, at.Sub(left) < engineFreedWithin, "after %s", at.Sub(left))
			case <-time.After(2 * time.Second):
				t.Fatal("the engine was not freed")
			}
		})
	}
}

// A caller leaves while its request waits: no engine receives the request afterwards.
func TestRequestOfACallerThatLeftReachesNoFurtherEngine(t *testing.T) {
	respond := func(connection net.Conn, _ *bufio.Reader, request received) {
		_, _ = io.WriteString(connection, responseOf(request.Header.Get("Id"), "done"))
	}
	t.Run("for tokens", func(t *testing.T) {
		engine := newEngine(t, respond)
		h := newHarness(t, engine)
		h.environment.tokensAvailable = make(chan struct{})
		h.leaveAfter(t, 50*time.Millisecond, "/stream/x")
		// The node notices shortly after the caller has closed its connection.
		time.Sleep(engineFreedWithin)
		close(h.environment.tokensAvailable)
		time.Sleep(engineFreedWithin)
		assert.Equal(t, engine.ids(), "")
	})
	t.Run("for a connection", func(t *testing.T) {
		engine := newEngine(t, respond)
		h := newHarness(t, engine)
		h.pipeline.pool.dial = func(_ context.Context, address string) (net.Conn, error) {
			// The connection is opened though no request waits for it any more.
			time.Sleep(150 * time.Millisecond)
			return net.Dial("tcp", address)
		}
		h.leaveAfter(t, 50*time.Millisecond, "/stream/x")
		time.Sleep(150*time.Millisecond + engineFreedWithin)
		assert.Equal(t, engine.ids(), "")
	})
	t.Run("for another attempt", func(t *testing.T) {
		full := func(connection net.Conn, _ *bufio.Reader, request received) {
			time.Sleep(100 * time.Millisecond)
			_, _ = fmt.Fprintf(connection, "HTTP/1.1 503 Full\r\nId: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", request.Header.Get("Id"))
		}
		first, second := newEngine(t, full), newEngine(t, full)
		newHarness(t, first, second).leaveAfter(t, 50*time.Millisecond, "/safe/x")
		time.Sleep(100*time.Millisecond + engineFreedWithin)
		assert.Equal(t, first.ids()+second.ids(), "r1")
	})
}
