package forward

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// endless streams events until its connection closes, and counts those that are open.
func endless(open *atomic.Int64) func(net.Conn, *bufio.Reader, received) {
	event := []byte("id: 1\ndata: " + strings.Repeat("x", 4000) + "\n\n")
	return func(connection net.Conn, _ *bufio.Reader, request received) {
		open.Add(1)
		defer open.Add(-1)
		_, err := fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n", request.Header.Get("Id"))
		for err == nil {
			_, err = connection.Write(event)
		}
	}
}

// unread sends a request whose caller reads nothing of the answer.
func (h *harness) unread(t *testing.T, path, id string) net.Conn {
	t.Helper()
	connection, err := net.Dial("tcp", h.server.Listener.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = connection.Close() })
	_ = connection.(*net.TCPConn).SetReadBuffer(4 << 10)
	_, err = fmt.Fprintf(connection, "POST %s HTTP/1.1\r\nHost: 127.0.0.1\r\nId: %s\r\nKey: k\r\nContent-Length: 0\r\n\r\n", path, id)
	assert.NilError(t, err)
	return connection
}

func waitUntil(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for began := time.Now(); !holds(); time.Sleep(5 * time.Millisecond) {
		assert.Assert(t, time.Since(began) < 20*time.Second, "waited in vain: %s", what)
	}
}

// setUnreadPatience sets how long callers may leave what they are sent unread. Their route's
// timeout, which frees their engines too, is beyond what a test waits.
func (h *harness) setUnreadPatience(patience time.Duration) {
	h.pipeline.options.UnreadPatience = patience
	routes := h.environment.index.Document.Routes
	for position := range routes {
		routes[position].Timeout = time.Minute
	}
}

// unreadStream sends the request of a stream whose caller reads the status of its answer and
// nothing else. While it is turned away, as one is whose engine's connection comes up slowly,
// it comes again.
func (h *harness) unreadStream(t *testing.T, id string) {
	t.Helper()
	const begun, turnedAway = "HTTP/1.1 200", "HTTP/1.1 503"
	waitUntil(t, id+" is at the engine", func() bool {
		status := make([]byte, len(begun))
		_, err := io.ReadFull(h.unread(t, "/stream/x", id), status)
		assert.NilError(t, err)
		assert.Assert(t, string(status) == begun || string(status) == turnedAway, "%s", status)
		return string(status) == begun
	})
}

func TestCallersThatDoNotReadTakeLittleMemory(t *testing.T) {
	const callers = 40
	var open atomic.Int64
	h := newHarness(t, newEngine(t, endless(&open)))
	// None is given up before all are there.
	h.setUnreadPatience(time.Minute)
	before := heapNow()
	for number := range callers {
		h.unreadStream(t, fmt.Sprint("unread-", number))
	}
	assert.Equal(t, open.Load(), int64(callers))
	each := (int64(heapNow()) - int64(before)) / callers
	t.Logf("%d bytes of heap a caller", each)
	assert.Assert(t, each < unreadHeapBytes, "%d bytes of heap for a caller that does not read", each)
}

// Callers that read nothing hold their engines for a time only, with whatever the engines
// would send.
func TestCallersThatDoNotReadAreGivenUp(t *testing.T) {
	const callers = 40
	var open atomic.Int64
	h := newHarness(t, newEngine(t, endless(&open)))
	h.setUnreadPatience(4 * time.Second)
	for number := range callers {
		h.unreadStream(t, fmt.Sprint("unread-", number))
	}
	waitUntil(t, "none is any more", func() bool { return open.Load() == 0 && h.pipeline.Active() == 0 })
}

// unreadHeapBytes is what a caller that does not read may take of the heap, with both ends
// of both its connections in this process: 2,000 of them then fit into a machine of 144 MB.
const unreadHeapBytes = 60 << 10

// heapNow is the live heap: what lies in a sync.Pool is dropped by the second collection.
func heapNow() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// Long answers that nobody reads don't take the memory for bodies: they are passed on at
// their callers' pace.
func TestLongUnreadAnswersTakeABoundedPartOfTheMemory(t *testing.T) {
	const callers, bound = 30, 1 << 20
	long := bytes.Repeat([]byte("y"), 8<<20)
	engine := newEngine(t, func(connection net.Conn, _ *bufio.Reader, request received) {
		id := request.Header.Get("Id")
		if id == "reads" {
			_, _ = io.WriteString(connection, answerOf(id, "short"))
			return
		}
		_, _ = fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n", id, len(long))
		_, _ = connection.Write(long)
	})
	h := newHarness(t, engine)
	h.pipeline.options.BufferedBytes, h.pipeline.options.UnreadPatience = bound, 2*time.Second
	for number := range callers {
		h.unread(t, "/safe/x", fmt.Sprint("unread-", number))
	}
	waitUntil(t, "all are at the engine", func() bool { return len(strings.Fields(engine.ids())) >= callers })
	assert.Assert(t, h.pipeline.buffered.Load() <= bound+callers*leastBufferedAnswer, "%d bytes", h.pipeline.buffered.Load())
	waitUntil(t, "all are given up", func() bool { return h.pipeline.Active() == 0 })
	assert.Equal(t, h.pipeline.buffered.Load(), int64(0))
	got := h.ask(t, http.MethodPost, "/once/x", "reads", "b")
	assert.Equal(t, got.status, http.StatusOK)
}

// The finding of CI: answers that came in the same moment each took their part of what was
// left before any of them, and together four times the memory that there is for all.
func TestAnswersThatComeTogetherKeepTheBoundOfMemory(t *testing.T) {
	const callers, bound = 30, 1 << 20
	bodies := make(chan struct{})
	long := bytes.Repeat([]byte("y"), bufferedAnswerBytes-1)
	engine := newEngine(t, func(connection net.Conn, _ *bufio.Reader, request received) {
		_, _ = fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n", request.Header.Get("Id"), len(long))
		<-bodies
		// Part of it comes, and no end: all that is read is held.
		_, _ = connection.Write(long[:len(long)-1])
	})
	h := newHarness(t, engine)
	h.pipeline.options.BufferedBytes, h.pipeline.options.UnreadPatience = bound, time.Second
	for number := range callers {
		h.unread(t, "/safe/x", fmt.Sprint("together-", number))
	}
	waitUntil(t, "all are at the engine", func() bool { return len(strings.Fields(engine.ids())) >= callers })
	// Their heads are read meanwhile.
	time.Sleep(200 * time.Millisecond)
	close(bodies)
	most := int64(0)
	waitUntil(t, "all are given up", func() bool {
		most = max(most, h.pipeline.buffered.Load())
		return h.pipeline.Active() == 0
	})
	assert.Assert(t, most <= bound+callers*leastBufferedAnswer, "%d bytes", most)
	assert.Assert(t, most > 0)
	assert.Equal(t, h.pipeline.buffered.Load(), int64(0))
}
