package forward

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ravenway/ravenway/internal/coordination/enginepath"
	"github.com/ravenway/ravenway/internal/coordination/quarantine"
)

// closingEngine responds with neither a length nor chunks, and ends the response with its connection, or
// crashes at that moment.
func closingEngine(t *testing.T, body string, crashes bool) *scriptedEngine {
	t.Helper()
	var engine *scriptedEngine
	engine = newEngine(t, func(connection net.Conn, _ *bufio.Reader, request received) {
		_, _ = fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nId: %s\r\nConnection: close\r\n\r\n", request.Header.Get("Id"))
		_, _ = io.WriteString(connection, body)
		if crashes {
			engine.crash()
		}
		_ = connection.Close()
	})
	return engine
}

// completionSink counts the requests that are reported as completed.
type completionSink struct {
	*trackerSink
	completed int
	// delay is the time after which reports of crashes take effect.
	delay time.Duration
}

func (s *completionSink) EnginesCrashed(reports []quarantine.CrashReport) {
	if s.delay == 0 {
		s.trackerSink.EnginesCrashed(reports)
		return
	}
	time.AfterFunc(s.delay, func() { s.trackerSink.EnginesCrashed(reports) })
}

func (s *completionSink) RequestCompleted(fingerprint quarantine.Fingerprint) {
	s.mutex.Lock()
	s.completed++
	s.mutex.Unlock()
	s.trackerSink.RequestCompleted(fingerprint)
}

// Guards against a run that crashed its engine and counts as completed: the response had neither a length
// nor chunks, so the end of its connection looked like its end. It must neither clear what is recorded
// against the request nor look complete to the caller.
func TestResponseThatEndsWithACrashIsNotComplete(t *testing.T) {
	const completeEvent = "id: 1\ndata: x\n\n"
	for name, one := range map[string]struct{ path, body string }{
		"stream before the first event":  {"/stream/x", ""},
		"stream inside the first event":  {"/stream/x", "id: 1\ndata:"},
		"stream inside a later event":    {"/stream/x", completeEvent + "id: 2\n"},
		"stream after an event":          {"/stream/x", completeEvent},
		"plain without a body":           {"/safe/x", ""},
		"plain within the body":          {"/safe/x", "half of"},
		"not repeatable, without a body": {"/once/x", ""},
		"not repeatable, within it":      {"/once/x", "half of"},
		"resumable, before an event":     {"/resumable/x", ""},
		"resumable, after an event":      {"/resumable/x", completeEvent},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, closingEngine(t, one.body, true))
			sink := &completionSink{trackerSink: h.withTracker()}
			sink.guard = quarantine.NewGuard(sink)
			h.pipeline.options.Guard = sink.guard
			sink.EnginesCrashed([]quarantine.CrashReport{{Fingerprint: h.fingerprint(one.path, "body"), Suspicion: quarantine.Likely}})
			got := h.send(t, http.MethodPost, one.path, "r1", "body")
			assert.Assert(t, got.err != nil || got.status != http.StatusOK, "status %d, body %q", got.status, got.body)
			assert.Equal(t, sink.completed, 0)
		})
	}
}

// Guards against complete responses that are taken for broken ones because they have neither a length nor
// chunks.
func TestResponseThatEndsWithItsConnectionIsCompleteWhileItsEngineLives(t *testing.T) {
	for name, one := range map[string]struct{ path, body string }{
		"stream":         {"/stream/x", "id: 1\ndata: x\n\n"},
		"resumable":      {"/resumable/x", "id: 1\ndata: x\n\n"},
		"plain":          {"/safe/x", "whole"},
		"not repeatable": {"/once/x", "whole"},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, closingEngine(t, one.body, false))
			got := h.send(t, http.MethodPost, one.path, "r1", "body")
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, http.StatusOK)
			assert.Equal(t, got.body, one.body)
		})
	}
}

// Guards against taking the crash of an engine for the end of its response because another process listens
// at its address a moment later.
func TestResponseThatEndsWithACrashIsNotCompleteThoughTheEngineIsReplacedAtOnce(t *testing.T) {
	var engine *scriptedEngine
	engine = newEngine(t, func(connection net.Conn, _ *bufio.Reader, request received) {
		_, _ = fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nId: %s\r\nConnection: close\r\n\r\nid: 1\ndata: x\n\n", request.Header.Get("Id"))
		for engine.connections.Load() < 2 {
			time.Sleep(time.Millisecond)
		}
		engine.crash()
		replacement, err := net.Listen("tcp", engine.listener.Addr().String())
		if err == nil {
			t.Cleanup(func() { _ = replacement.Close() })
		}
	})
	h := newHarness(t, engine)
	got := h.send(t, http.MethodPost, "/stream/x", "r1", "body")
	assert.Assert(t, got.err != nil, "status %d, body %q", got.status, got.body)
}

// Guards against a complete response that is taken for a broken one because its engine was silent: the connection
// that shows whether its process ends could not be opened. It is broken if the engine has crashed by its end.
func TestResponseOfAnEngineThatWasSilentIsCompleteUnlessItCrashed(t *testing.T) {
	for name, crashes := range map[string]bool{"alive": false, "crashed": true} {
		for path, body := range map[string]string{"/once/x": "whole", "/stream/x": "id: 1\ndata: x\n\n"} {
			t.Run(name+path, func(t *testing.T) {
				t.Parallel()
				var engine *scriptedEngine
				engine = newEngine(t, func(connection net.Conn, _ *bufio.Reader, request received) {
					_, _ = fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nId: %s\r\nConnection: close\r\n\r\n", request.Header.Get("Id"))
					time.Sleep(DialTimeout + 100*time.Millisecond)
					_, _ = io.WriteString(connection, body)
					if crashes {
						engine.crash()
					}
					_ = connection.Close()
				})
				h := newHarness(t, engine)
				var dials atomic.Int64
				dial := h.pipeline.pool.dial
				h.pipeline.pool.dial = func(ctx context.Context, address string) (net.Conn, error) {
					if dials.Add(1) == 2 {
						<-ctx.Done()
						return nil, ctx.Err()
					}
					return dial(ctx, address)
				}
				got := h.send(t, http.MethodPost, path, "r1", "body")
				assert.Equal(t, got.err == nil && got.status == http.StatusOK, !crashes, "status %d, body %q, %v", got.status, got.body, got.err)
				assert.Assert(t, dials.Load() >= 2)
			})
		}
	}
}

// Guards against one connection for each response: the connection that shows whether an engine's process
// ends is shared, and serves the next request.
func TestConnectionsThatWatchAnEngineAreSharedAndUsedAgain(t *testing.T) {
	engine := closingEngine(t, "whole", false)
	h := newHarness(t, engine)
	for number := range 3 {
		got := h.send(t, http.MethodPost, "/safe/x", fmt.Sprint("r", number), "body")
		assert.NilError(t, got.err)
	}
	for began := time.Now(); h.pipeline.witnesses.count() > 0 && time.Since(began) < time.Second; time.Sleep(time.Millisecond) {
	}
	assert.Equal(t, h.pipeline.witnesses.count(), 0)
	assert.Assert(t, engine.connections.Load() <= 5, "%d connections for 3 responses", engine.connections.Load())
}

func (w *endWitnesses) count() int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return len(w.newest)
}

// Guards against a broken response that looks complete to a caller on HTTP/1.0, for which the end of the
// connection is the end of the response.
func TestBrokenResponseIsResetForACallerOnHTTP10(t *testing.T) {
	for name, isBroken := range map[string]bool{"complete": false, "broken": true} {
		t.Run(name, func(t *testing.T) {
			engine := newEngine(t, func(connection net.Conn, _ *bufio.Reader, request received) {
				event := "id: 1\ndata: x\n\n"
				_, _ = fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", request.Header.Get("Id"), len(event), event)
				if !isBroken {
					_, _ = io.WriteString(connection, "0\r\n\r\n")
				}
				_ = connection.Close()
			})
			h := newHarness(t, engine)
			caller, err := net.Dial("tcp", strings.TrimPrefix(h.server.URL, "http://"))
			assert.NilError(t, err)
			defer caller.Close()
			_, err = io.WriteString(caller, "POST /stream/x HTTP/1.0\r\nHost: "+strings.TrimPrefix(h.server.URL, "http://")+"\r\nId: r1\r\nKey: k\r\nTokens: yes\r\nContent-Length: 4\r\n\r\nbody")
			assert.NilError(t, err)
			text, err := io.ReadAll(caller)
			assert.Assert(t, strings.HasSuffix(string(text), "\r\n\r\nid: 1\ndata: x\n\n"), "%q", text)
			assert.Equal(t, errors.Is(err, syscall.ECONNRESET), isBroken, "%v", err)
		})
	}
}

// Guards against a response that looks complete although it was cut at any position: one with a length or
// chunks is complete only as a whole. Without both, a stream that was cut between two events can't be told
// from a complete one while its engine lives, but one that was cut inside an event, or before the first, can.
func TestResponseThatWasCutAnywhereIsNotComplete(t *testing.T) {
	events := "id: 1\ndata: x\n\nid: 2\ndata: y\n\n"
	chunk := func(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }
	head := func(framing string) string { return "HTTP/1.1 200 OK\r\nId: r1\r\n" + framing + "\r\n\r\n" }
	for name, whole := range map[string]string{
		"length": head(fmt.Sprintf("Content-Length: %d", len(events))) + events,
		"chunks": head("Transfer-Encoding: chunked") + chunk(events[:7]) + chunk(events[7:]) + "0\r\n\r\n",
		"close":  head("Connection: close") + events,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for length := 1; length <= len(whole); length++ {
				sent := whole[:length]
				h := newHarness(t, newEngine(t, func(connection net.Conn, _ *bufio.Reader, _ received) {
					_, _ = io.WriteString(connection, sent)
					_ = connection.Close()
				}))
				got := h.send(t, http.MethodPost, "/stream/x", "r1", "body")
				looksComplete := got.err == nil && got.status == http.StatusOK
				mayLookComplete := length == len(whole)
				if body, found := strings.CutPrefix(sent, head("Connection: close")); found {
					mayLookComplete = body != "" && strings.HasSuffix(body, "\n\n")
				}
				assert.Equal(t, looksComplete, mayLookComplete, "%q", sent)
			}
		})
	}
}

// lostPaths excludes both ways to engines once a request was sent, as after a silence of all engines.
type lostPaths struct {
	noEnginePaths
	opened atomic.Int64
}

func (p *lostPaths) Plan(string) enginepath.Plan {
	return enginepath.Plan{WithoutRelay: true, WithoutDirect: p.opened.Add(1) > 1}
}

// Guards against a complete response without a length that is cut because all engines were silent while it arrived: its
// witness could not be opened, and no further connection was attempted.
func TestResponseThatEndsAfterASilenceOfAllEnginesIsComplete(t *testing.T) {
	for _, path := range []string{"/safe/x", "/once/x", "/stream/x", "/resumable/x"} {
		for name, isCrashed := range map[string]bool{"lives": false, "crashed": true} {
			t.Run(path+name, func(t *testing.T) {
				h := newHarness(t, closingEngine(t, "id: 1\ndata: x\n\n", isCrashed))
				h.pipeline.pool.paths = &lostPaths{}
				got := h.send(t, http.MethodPost, path, "r1", "body")
				isWhole := got.err == nil && got.status == http.StatusOK
				assert.Equal(t, isWhole, !isCrashed, "status %d: %v\n%s", got.status, got.err, strings.Join(h.log.Explain("r1"), "\n"))
			})
		}
	}
}
