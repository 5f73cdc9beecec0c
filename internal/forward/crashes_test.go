package forward

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ravenway/ravenway/internal/coordination/quarantine"
	"github.com/ravenway/ravenway/internal/coordination/ratelimit"
	"github.com/ravenway/ravenway/internal/coordination/registry"
)

var fingerprintText = regexp.MustCompile(`fingerprint ([0-9a-f]{48})`)

// Two retries of one request have different ids. Only the fingerprint shows that they are the
// same request, and the log shows how far each came before it was interrupted.
func TestDecisionsOnAnInterruptedRunNameTheFingerprint(t *testing.T) {
	engine := newEngine(t, func(connection net.Conn, _ *bufio.Reader, request received) {
		_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nId: "+request.Header.Get("Id")+"\r\nContent-Length: 9\r\n\r\n")
		_ = connection.Close()
	})
	h := newHarness(t, engine)
	loggedFingerprint := func(id, body string) string {
		_ = h.send(t, http.MethodPost, "/stream/x", id, body)
		text := strings.Join(h.log.Explain(id), "\n")
		assert.Assert(t, strings.Contains(text, "its answer had begun"), text)
		found := fingerprintText.FindStringSubmatch(text)
		assert.Equal(t, len(found), 2, text)
		return found[1]
	}
	first := loggedFingerprint("r1", "body")
	assert.Equal(t, loggedFingerprint("r2", "body"), first)
	assert.Assert(t, loggedFingerprint("r3", "another") != first)
}

// crashingEngine sends the head of a stream and then closes its connection; with closesListener it also
// closes its listener, like a process that crashes.
func crashingEngine(t *testing.T, closesListener bool) *scriptedEngine {
	t.Helper()
	var engine *scriptedEngine
	engine = newEngine(t, func(connection net.Conn, _ *bufio.Reader, request received) {
		_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nId: "+request.Header.Get("Id")+"\r\nContent-Length: 9\r\n\r\n")
		if closesListener {
			_ = engine.listener.Close()
		}
		_ = connection.Close()
	})
	return engine
}

// withTracker gives the harness's pipeline a guard backed by a tracker.
func (h *harness) withTracker() *trackerSink {
	sink := &trackerSink{tracker: quarantine.NewTracker(quarantine.Options{}), began: time.Now()}
	sink.guard = quarantine.NewGuard(sink)
	h.pipeline.options.Guard = sink.guard
	return sink
}

// fingerprint returns the fingerprint of a request of the harness's tenant.
func (h *harness) fingerprint(path, body string) quarantine.Fingerprint {
	return quarantine.FingerprintOf(quarantine.ScopeOf(strings.TrimPrefix(h.server.URL, "http://")+path, "t"), []byte(body))
}

// trackerSink is the quarantine of a single node.
type trackerSink struct {
	mutex   sync.Mutex
	tracker *quarantine.Tracker
	guard   *quarantine.Guard
	began   time.Time
	reports int
}

func (s *trackerSink) EnginesCrashed(crashReports []quarantine.CrashReport) {
	s.change(func(now time.Duration) {
		for _, one := range crashReports {
			s.reports++
			s.tracker.Report(now, one)
		}
	})
}

func (s *trackerSink) RequestCompleted(fingerprint quarantine.Fingerprint) {
	s.change(func(now time.Duration) { s.tracker.Clear(now, fingerprint) })
}

func (s *trackerSink) PartWritten(fingerprint quarantine.Fingerprint) {
	s.RequestCompleted(fingerprint)
}

func (s *trackerSink) change(change func(now time.Duration)) {
	s.guard.SetView(time.Since(s.began), s.changedView(change))
}

func (s *trackerSink) changedView(change func(now time.Duration)) *quarantine.View {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	change(time.Since(s.began))
	// One second later every crash counts.
	s.tracker.Decide(time.Since(s.began) + time.Second)
	return s.tracker.View()
}

func (s *trackerSink) reported() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.reports
}

// waitForReports waits until a number of crash reports has arrived.
func (s *trackerSink) waitForReports(t *testing.T, reports int) {
	t.Helper()
	for began := time.Now(); s.reported() < reports; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Since(began) < 3*time.Second, "%d of %d crashes were reported", s.reported(), reports)
	}
}

func TestRequestThatCrashedThreeEnginesIsRefusedAsNotRun(t *testing.T) {
	engines := []*scriptedEngine{crashingEngine(t, true), crashingEngine(t, true), crashingEngine(t, true), crashingEngine(t, true)}
	h := newHarness(t, engines...)
	sink := h.withTracker()
	for number := range 3 {
		assert.Assert(t, h.send(t, http.MethodPost, "/stream/x", fmt.Sprintf("r%d", number), "poison").err != nil)
		sink.waitForReports(t, number+1)
	}
	refused := h.send(t, http.MethodPost, "/stream/x", "r3", "poison")
	assert.Equal(t, refused.status, http.StatusServiceUnavailable)
	assert.Assert(t, strings.Contains(refused.body, `"not_run":true`), refused.body)
	assert.Equal(t, refused.header.Get("Retry-After"), "")
	assert.Equal(t, h.environment.settled.Load(), int64(100), "the third attempt is charged the prompt, the fourth nothing")
	// Another body is another request, and reaches the last engine.
	assert.Assert(t, h.send(t, http.MethodPost, "/stream/x", "r4", "another").err != nil)
	requests := 0
	for _, engine := range engines {
		requests += len(strings.Fields(engine.ids()))
	}
	assert.Equal(t, requests, 4)
}

// An engine that resets connections or breaks off responses still accepts new connections, so it
// has not crashed.
func TestInterruptedRunsAtALiveEngineAreNotReported(t *testing.T) {
	h := newHarness(t, crashingEngine(t, false))
	sink := h.withTracker()
	for number := range 5 {
		assert.Assert(t, h.send(t, http.MethodPost, "/stream/x", fmt.Sprintf("r%d", number), "innocent").err != nil)
		time.Sleep(2 * aliveCheckTime)
	}
	assert.Equal(t, sink.reported(), 0)
	h.pipeline.crashes.mutex.Lock()
	defer h.pipeline.crashes.mutex.Unlock()
	assert.Equal(t, len(h.pipeline.crashes.engines), 0)
}

// The end of an engine that announced it leaves is not a crash.
func TestRunsAtALeavingEngineAreNotReported(t *testing.T) {
	engine := crashingEngine(t, true)
	h := newHarness(t, engine)
	sink := h.withTracker()
	engine.script = func(connection net.Conn, _ *bufio.Reader, request received) {
		h.pipeline.options.Table.Apply([]registry.Instance{{
			ID: "i-0", Service: "s", Address: engine.listener.Addr().String(), Zone: "a", State: registry.Draining, Slots: 4,
		}})
		_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nId: "+request.Header.Get("Id")+"\r\nContent-Length: 9\r\n\r\n")
		_ = engine.listener.Close()
		_ = connection.Close()
	}
	assert.Assert(t, h.send(t, http.MethodPost, "/stream/x", "r1", "innocent").err != nil)
	time.Sleep(2 * aliveCheckTime)
	assert.Equal(t, sink.reported(), 0)
}

// A run that is interrupted because its caller leaves does not indicate a crash.
func TestRunThatItsCallerLeftIsNotReported(t *testing.T) {
	left := make(chan struct{})
	var engine *scriptedEngine
	engine = newEngine(t, func(_ net.Conn, reader *bufio.Reader, _ received) {
		close(left)
		// The caller leaves; the engine notices, and then ends for a reason of its own.
		_, _ = reader.ReadByte()
		_ = engine.listener.Close()
	})
	h := newHarness(t, engine)
	sink := h.withTracker()
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-left
		cancel()
	}()
	assert.Assert(t, h.do(h.request(t, http.MethodPost, "/stream/x", "r1", "innocent").WithContext(ctx)).err != nil)
	time.Sleep(2 * aliveCheckTime)
	assert.Equal(t, sink.reported(), 0)
}

// After an engine has crashed during a suspected request, the node does not send the request to
// another engine; only the caller may retry it.
func TestSuspectedRequestIsNotResumedAtAnotherEngine(t *testing.T) {
	engines := []*scriptedEngine{crashingEngine(t, true), crashingEngine(t, true), crashingEngine(t, true)}
	h := newHarness(t, engines...)
	sink := h.withTracker()
	suspect := h.fingerprint("/resumable/x", "suspect")
	for number := range 2 {
		sink.EnginesCrashed([]quarantine.CrashReport{{
			Fingerprint: suspect, Incarnation: registry.Incarnation{ID: fmt.Sprintf("before-%d", number)}, Suspicion: quarantine.Likely,
		}})
	}
	assert.Assert(t, h.send(t, http.MethodPost, "/resumable/x", "r1", "suspect").err != nil)
	requests := 0
	for _, engine := range engines {
		requests += len(strings.Fields(engine.ids()))
	}
	assert.Equal(t, requests, 1)
}

// Guards against further crashes after the verdict: when a poison request crashed its third engine,
// several retries of it had been waiting at other engines for up to two seconds. Such requests are
// canceled before they begin.
func TestQuarantinedRequestThatWaitsAtAnEngineIsCanceled(t *testing.T) {
	arrived, closed := make(chan struct{}), make(chan struct{})
	engine := newEngine(t, func(_ net.Conn, reader *bufio.Reader, _ received) {
		close(arrived)
		_, _ = reader.ReadByte()
		close(closed)
	})
	h := newHarness(t, engine)
	sink := h.withTracker()
	results := make(chan result, 1)
	go func() { results <- h.send(t, http.MethodPost, "/resumable/x", "r1", "poison") }()
	<-arrived
	h.pipeline.CancelQuarantined(quarantine.FingerprintOf(quarantine.ScopeOf("elsewhere/resumable/x", "t"), []byte("poison")))
	h.pipeline.CancelQuarantined(h.fingerprint("/resumable/x", "poison"))
	select {
	case <-closed:
	case <-time.After(2 * time.Second):
		t.Fatal("the engine still has the request")
	}
	got := <-results
	assert.Equal(t, got.status, http.StatusBadGateway, "the engine may have begun it")
	assert.Assert(t, strings.Contains(got.body, "quarantined"), got.body)
	assert.Equal(t, engine.ids(), "r1")
	assert.Equal(t, sink.reported(), 0)
}

// Guards against engines that crash after the verdict on a part: requests with it that wait at engines are
// canceled like a poison request, those with its other parts are not.
func TestRequestWithAQuarantinedPartThatWaitsAtAnEngineIsCanceled(t *testing.T) {
	arrived, goOn := make(chan string, 2), make(chan struct{})
	engine := newEngine(t, func(connection net.Conn, reader *bufio.Reader, request received) {
		arrived <- request.Header.Get("Id")
		if request.Header.Get("Id") == "with" {
			_, _ = reader.ReadByte()
			close(goOn)
			return
		}
		<-goOn
		_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nId: without\r\nContent-Length: 15\r\n\r\nid: 1\ndata: x\n\n")
	})
	h := newHarness(t, engine)
	h.withTracker()
	send := func(id, parts string) <-chan result {
		request, results := h.request(t, http.MethodPost, "/resumable/x", id, "body of "+id), make(chan result, 1)
		request.Header.Set("Parts", parts)
		go func() { results <- h.do(request) }()
		return results
	}
	with, without := send("with", "common crashing own"), send("without", "common own")
	<-arrived
	<-arrived
	h.pipeline.CancelQuarantined(quarantine.PartFingerprintOf(quarantine.PartScopeOf("", "another tenant"), "crashing"))
	h.pipeline.CancelQuarantined(quarantine.PartFingerprintOf(quarantine.PartScopeOf("", "t"), "crashing"))
	select {
	case <-goOn:
	case <-time.After(2 * time.Second):
		t.Fatal("the engine still has the request")
	}
	assert.Assert(t, strings.Contains((<-with).body, "quarantined"))
	assert.Equal(t, (<-without).status, http.StatusOK)
}

// verdictDuringPermit is a rate limit whose second permit is granted only after a verdict on the request.
type verdictDuringPermit struct {
	noRateLimits
	permits atomic.Int64
	verdict func()
}

func (l *verdictDuringPermit) Permit(context.Context, registry.Instance, ratelimit.PermitNeeds) error {
	if l.permits.Add(1) == 2 {
		l.verdict()
	}
	return nil
}

// Guards against a verdict that misses a request which waits for the permit of its next engine: a stream that
// is resumed is not among the requests that a verdict withdraws, because its response has begun.
func TestRequestThatWaitsForAPermitWhenTheVerdictComesIsNotSent(t *testing.T) {
	for name, head := range map[string]string{
		"resumed stream": "HTTP/1.1 200 OK\r\nId: r1\r\nTransfer-Encoding: chunked\r\n\r\ne\r\nid: 1\ndata: x\n\n\r\n",
		"retry":          "",
	} {
		t.Run(name, func(t *testing.T) {
			script := func(connection net.Conn, _ *bufio.Reader, _ received) {
				_, _ = io.WriteString(connection, head)
				_ = connection.Close()
			}
			engines := []*scriptedEngine{newEngine(t, script), newEngine(t, script)}
			h := newHarness(t, engines...)
			sink := h.withTracker()
			poison := h.fingerprint("/resumable/x", "poison")
			h.pipeline.options.RateLimits = &verdictDuringPermit{verdict: func() {
				for number := range 3 {
					sink.EnginesCrashed([]quarantine.CrashReport{{
						Fingerprint: poison, Incarnation: registry.Incarnation{ID: fmt.Sprintf("before-%d", number)}, Suspicion: quarantine.Likely,
					}})
				}
			}}
			got := h.send(t, http.MethodPost, "/resumable/x", "r1", "poison")
			assert.Assert(t, got.err != nil || got.status != http.StatusOK)
			requests := 0
			for _, engine := range engines {
				requests += len(strings.Fields(engine.ids()))
			}
			assert.Equal(t, requests, 1)
		})
	}
}
