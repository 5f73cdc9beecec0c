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

// Tokens charged beyond what callers received are lost to the tenant that paid for them: a stream
// is charged for the events that were relayed, whether or not it is complete.
func TestStreamIsChargedForTheEventsThatWereRelayed(t *testing.T) {
	for _, ending := range []struct {
		name    string
		last    string
		charged int64
	}{
		{name: "whole", last: "7\r\nid: 2\n\n\r\n0\r\n\r\n", charged: 100 + 2*3},
		{name: "interrupted", last: "", charged: 100 + 3},
	} {
		t.Run(ending.name, func(t *testing.T) {
			engine := newEngine(t, func(connection net.Conn, _ *bufio.Reader, request received) {
				_, _ = fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n7\r\nid: 1\n\n\r\n", request.Header.Get("Id"))
				time.Sleep(20 * time.Millisecond)
				_, _ = io.WriteString(connection, ending.last)
				_ = connection.Close()
			})
			h := newHarness(t, engine)
			h.send(t, http.MethodPost, "/stream/x", "r1", "b")
			h.waitForCharge(t, ending.charged)
		})
	}
}

// The caller receives nothing if an instance ran the request and its response is lost, or if the
// caller leaves before the response.
func TestRequestWhoseCallerReceivedNothingIsNotCharged(t *testing.T) {
	lost := newEngine(t, func(connection net.Conn, _ *bufio.Reader, _ received) { _ = connection.Close() })
	h := newHarness(t, lost)
	h.environment.settled.Store(notSettled)
	assert.Equal(t, h.send(t, http.MethodPost, "/stream/x", "r1", "b").status, http.StatusBadGateway)
	h.waitForCharge(t, 0)

	h = newHarness(t, newEngine(t, func(_ net.Conn, reader *bufio.Reader, _ received) { _, _ = reader.ReadByte() }))
	h.environment.settled.Store(notSettled)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	assert.ErrorIs(t, h.do(h.request(t, http.MethodPost, "/stream/x", "r2", "b").WithContext(ctx)).err, context.DeadlineExceeded)
	h.waitForCharge(t, 0)
}

// A response that is not a stream is charged at the maximum, because its length in tokens is not
// known.
func TestUnstreamedResponseIsChargedAtTheMaximum(t *testing.T) {
	engine := newEngine(t, func(connection net.Conn, _ *bufio.Reader, request received) {
		_, _ = fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 2\r\n\r\nok", request.Header.Get("Id"))
	})
	h := newHarness(t, engine)
	assert.Equal(t, h.send(t, http.MethodPost, "/once/x", "r1", "b").status, http.StatusOK)
	h.waitForCharge(t, 100+50)
}

// notSettled is the value before a charge is made.
const notSettled = -1

// waitForCharge waits until a request's charge is the expected one: it is settled after the
// caller has its response.
func (h *harness) waitForCharge(t *testing.T, charged int64) {
	t.Helper()
	for range 200 {
		if h.environment.settled.Load() == charged {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	assert.Equal(t, h.environment.settled.Load(), charged)
}
