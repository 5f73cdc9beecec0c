package forward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// uploadCut is how an engine responds that ends the connection before it has read the request's body.
type uploadCut struct {
	path string
	// head is the status line and the header that frames the response.
	head string
	// sent is the part of the body that is sent.
	sent string
	// wait is the time from the response to the end of the connection.
	wait time.Duration
	// isClosed indicates that the connection is closed and not reset, which resets it when more of the body arrives.
	isClosed bool
	upload   int
}

const (
	// shortUpload fits into a socket's buffer, longUpload and hugeUpload do not.
	shortUpload, longUpload, hugeUpload = 64 << 10, 4 << 20, 24 << 20
	// cutRepetitions is how often a case runs, since its outcome depends on which call notices the reset first.
	cutRepetitions = 3
	// firstEvent and secondEvent are those of twoEvents.
	firstEvent, secondEvent = "id: 1\ndata: x\n\n", "id: 2\ndata: y\n\n"
)

// longPart is longer than what is buffered of a response before its relay begins.
var longPart = strings.Repeat("id: 1\ndata: "+strings.Repeat("x", 1000)+"\n\n", 300)

// heads of a response whose end is the end of its connection, and of responses that tell their length.
var (
	headsByClose = []string{"HTTP/1.1 200 OK\r\nConnection: close\r\n", "HTTP/1.1 200 OK\r\n", "HTTP/1.0 200 OK\r\n"}
	headsByRules = []string{"HTTP/1.1 200 OK\r\nContent-Length: 400000\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"}
)

// newEarlyEngine returns an engine that calls respond once it has read the head of a request.
func newEarlyEngine(t *testing.T, respond func(connection *net.TCPConn, request *http.Request)) *scriptedEngine {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer connection.Close()
				if request, err := http.ReadRequest(bufio.NewReader(connection)); err == nil {
					respond(connection.(*net.TCPConn), request)
				}
			}()
		}
	}()
	return &scriptedEngine{listener: listener}
}

// run sends a request that is answered so once, and whole by any later engine.
func (c uploadCut) run(t *testing.T) result {
	t.Helper()
	var requests atomic.Int64
	respond := func(connection *net.TCPConn, request *http.Request) {
		id := request.Header.Get("Id")
		if requests.Add(1) > 1 {
			_, _ = io.Copy(io.Discard, request.Body)
			rest := twoEvents
			if request.Header.Get("After") != "" {
				rest = secondEvent
			}
			_, _ = io.WriteString(connection, responseOf(id, rest))
			return
		}
		_, _ = io.WriteString(connection, c.head+"Id: "+id+"\r\n\r\n"+c.body())
		time.Sleep(c.wait)
		if !c.isClosed {
			_ = connection.SetLinger(0)
		}
		_ = connection.Close()
	}
	h := newHarness(t, newEarlyEngine(t, respond), newEarlyEngine(t, respond))
	h.environment.index.Document.Limits.MaximumBodyBytes = hugeUpload
	for position := range h.environment.index.Document.Routes {
		// The wait for an attempt's response must not end it first.
		h.environment.index.Document.Routes[position].Objective = time.Second
	}
	return h.send(t, http.MethodPost, c.path, "r1", strings.Repeat("u", c.upload))
}

// isResumed reports whether a body is the complete events that arrived before the cut, and the rest of the stream.
func (c uploadCut) isResumed(body string) bool {
	begin, hasRest := strings.CutSuffix(body, secondEvent)
	return c.path == "/resumable/x" && hasRest && strings.HasPrefix(c.sent, begin) && strings.HasSuffix(begin, "\n\n")
}

// body returns what is sent behind the head.
func (c uploadCut) body() string {
	if strings.Contains(c.head, "chunked") && c.sent != "" {
		return fmt.Sprintf("%x\r\n%s\r\n", len(c.sent), c.sent)
	}
	return c.sent
}

// cuts returns all combinations of routes, framings, parts, times and uploads.
func cuts() []uploadCut {
	var all []uploadCut
	for _, path := range []string{"/safe/x", "/once/x", "/stream/x", "/resumable/x"} {
		for _, head := range append(headsByRules, headsByClose...) {
			for _, sent := range []string{"", "i", firstEvent, longPart} {
				for _, wait := range []time.Duration{0, 300 * time.Millisecond} {
					for _, upload := range []int{shortUpload, longUpload, hugeUpload} {
						if upload == hugeUpload && wait > 0 {
							continue
						}
						all = append(all, uploadCut{path: path, head: head, sent: sent, wait: wait, upload: upload}, uploadCut{path: path, head: head, sent: sent, wait: wait, upload: upload, isClosed: true})
					}
				}
			}
		}
	}
	return all
}

// Guards against a part of a response that passes as complete because the write of the request has taken the error of
// the reset, so that the read sees a regular end.
func TestResponseThatIsCutDuringAnUploadIsNotComplete(t *testing.T) {
	for _, cut := range cuts() {
		t.Run(fmt.Sprintf("%s/%.40q/%d bytes after %d/%s/closed %v", cut.path, cut.head, len(cut.sent), cut.upload, cut.wait, cut.isClosed), func(t *testing.T) {
			t.Parallel()
			repetitions := cutRepetitions
			if cut.wait > 0 || cut.upload == hugeUpload {
				repetitions = 1
			}
			for range repetitions {
				got := cut.run(t)
				isWhole := got.err == nil && got.status == http.StatusOK && (got.body == twoEvents || cut.isResumed(got.body))
				isFailure := got.err != nil || got.status >= http.StatusInternalServerError
				assert.Assert(t, isWhole || isFailure, "status %d with %d bytes looks complete", got.status, len(got.body))
				if cut.path == "/safe/x" && len(cut.sent) < maximumBufferedResponse {
					assert.Assert(t, isWhole, "status %d: %v", got.status, got.err)
				}
			}
		})
	}
}

// Guards against a complete response that counts as cut: the engine reads the upload to its end, or tells the length of
// its response, or ends only its own direction of the connection.
func TestResponseToAnUploadThatIsNotCutStaysComplete(t *testing.T) {
	readAll := func(request *http.Request) { _, _ = io.Copy(io.Discard, request.Body) }
	for name, respond := range map[string]func(connection *net.TCPConn, request *http.Request, head string){
		"closed after the upload": func(connection *net.TCPConn, request *http.Request, head string) {
			readAll(request)
			_, _ = io.WriteString(connection, head+"Connection: close\r\n\r\n"+twoEvents)
		},
		"HTTP/1.0": func(connection *net.TCPConn, request *http.Request, head string) {
			readAll(request)
			_, _ = io.WriteString(connection, strings.Replace(head, "1.1", "1.0", 1)+"\r\n"+twoEvents)
		},
		"one direction ended before the upload": func(connection *net.TCPConn, request *http.Request, head string) {
			_, _ = io.WriteString(connection, head+"Connection: close\r\n\r\n"+twoEvents)
			_ = connection.CloseWrite()
			readAll(request)
		},
		"reset behind a length": func(connection *net.TCPConn, _ *http.Request, head string) {
			_, _ = io.WriteString(connection, head+fmt.Sprintf("Content-Length: %d\r\n\r\n", len(twoEvents))+twoEvents)
			time.Sleep(20 * time.Millisecond)
			_ = connection.SetLinger(0)
		},
		"reset behind chunks": func(connection *net.TCPConn, _ *http.Request, head string) {
			_, _ = io.WriteString(connection, head+fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(twoEvents), twoEvents))
			time.Sleep(20 * time.Millisecond)
			_ = connection.SetLinger(0)
		},
	} {
		for _, path := range []string{"/safe/x", "/once/x", "/stream/x", "/resumable/x"} {
			t.Run(name+path, func(t *testing.T) {
				t.Parallel()
				var requests atomic.Int64
				h := newHarness(t, newEarlyEngine(t, func(connection *net.TCPConn, request *http.Request) {
					requests.Add(1)
					respond(connection, request, "HTTP/1.1 200 OK\r\nId: "+request.Header.Get("Id")+"\r\n")
				}))
				h.environment.index.Document.Limits.MaximumBodyBytes = hugeUpload
				for position := range h.environment.index.Document.Routes {
					h.environment.index.Document.Routes[position].Objective = time.Second
				}
				got := h.send(t, http.MethodPost, path, "r1", strings.Repeat("u", hugeUpload))
				assert.NilError(t, got.err)
				assert.Equal(t, got.status, http.StatusOK)
				assert.Equal(t, got.body, twoEvents)
				assert.Equal(t, requests.Load(), int64(1))
			})
		}
	}
}
