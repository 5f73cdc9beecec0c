package forward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ravenway/ravenway/internal/coordination/quarantine"
	"github.com/ravenway/ravenway/internal/transport"
)

// framing is how a response tells its end.
type framing string

const (
	byLength framing = "length"
	byChunks framing = "chunks"
	byClose  framing = "close"
)

// responseEnd is how the first response to a request ends.
type responseEnd string

const (
	endsComplete      responseEnd = "complete"
	endsBeforeBody    responseEnd = "closed before the body"
	endsInside        responseEnd = "closed inside the body or an event"
	endsBetween       responseEnd = "closed between events"
	endsReset         responseEnd = "reset inside the body or an event"
	endsWithCrash     responseEnd = "crash inside the body or between events"
	completeThenCrash responseEnd = "complete, then a crash"
)

// endOutcome is what a response's end leads to.
type endOutcome struct {
	// seen is what the caller sees: "complete", "broken", "short" if a part looks complete, or a status.
	seen string
	// charged is the tokens that the caller is charged, and attempts the number of engines that got the request.
	charged  int64
	attempts int
	// completed counts the reports that clear the request, and accused those of crashes.
	completed, accused int
}

// crashReportDelay is when the report of a crash takes effect: after the decision whether the request is sent again. A
// request with an earlier crash is not, once the second one is known, which may be before or after that decision.
const crashReportDelay = 300 * time.Millisecond

// unsettled is the charge of a request that has not been settled.
const unsettled = -1

const twoEvents = "id: 1\ndata: x\n\nid: 2\ndata: y\n\n"

// writeEnding writes a response from an event on, of which only a part is sent.
func writeEnding(connection net.Conn, id, whole string, sent int, how framing) {
	header := map[framing]string{
		byLength: fmt.Sprintf("Content-Length: %d", len(whole)), byChunks: "Transfer-Encoding: chunked", byClose: "Connection: close",
	}[how]
	_, _ = fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nId: %s\r\n%s\r\n\r\n", id, header)
	switch {
	case how != byChunks:
		_, _ = io.WriteString(connection, whole[:sent])
	case sent == len(whole):
		_, _ = fmt.Fprintf(connection, "%x\r\n%s\r\n0\r\n\r\n", sent, whole)
	case sent > 0:
		_, _ = fmt.Fprintf(connection, "%x\r\n%s\r\n", sent, whole[:sent])
	}
}

// endOf sends a request whose first response ends in some way, while another engine would answer it whole. It
// returns a function that reads the outcome so far.
func endOf(t *testing.T, path string, how framing, end responseEnd) func() endOutcome {
	t.Helper()
	var requests atomic.Int64
	whole := twoEvents
	if path == "/safe/x" || path == "/once/x" {
		whole = "the whole body"
	}
	sent := map[responseEnd]int{
		endsComplete: len(whole), endsInside: 7, endsBetween: len(whole) / 2, endsReset: 7, endsWithCrash: len(whole) / 2, completeThenCrash: len(whole),
	}[end]
	var engines []*scriptedEngine
	for number := range 2 {
		engines = append(engines, newEngine(t, func(connection net.Conn, _ *bufio.Reader, request received) {
			id := request.Header.Get("Id")
			if requests.Add(1) > 1 {
				rest := whole
				if after, err := strconv.Atoi(request.Header.Get("After")); err == nil {
					rest = whole[after*len(whole)/2:]
				}
				writeEnding(connection, id, rest, len(rest), byLength)
				return
			}
			writeEnding(connection, id, whole, sent, how)
			switch end {
			case endsReset:
				// Bytes that have not been read are lost in a reset.
				time.Sleep(100 * time.Millisecond)
				_ = connection.(*net.TCPConn).SetLinger(0)
			case endsWithCrash, completeThenCrash:
				engines[number].crash()
			}
			_ = connection.Close()
		}))
	}
	h := newHarness(t, engines...)
	sink := &completionSink{trackerSink: h.withTracker()}
	sink.guard = quarantine.NewGuard(sink)
	h.pipeline.options.Guard = sink.guard
	sink.trackerSink.EnginesCrashed([]quarantine.CrashReport{{Fingerprint: h.fingerprint(path, "body"), Suspicion: quarantine.Likely}})
	sink.delay = crashReportDelay
	h.environment.settled.Store(unsettled)
	got := h.send(t, http.MethodPost, path, "r1", "body")
	seen := strconv.Itoa(got.status)
	switch {
	case got.err != nil:
		seen = "broken"
	case got.status == http.StatusOK && got.body == whole:
		seen = "complete"
	case got.status == http.StatusOK:
		seen = "short"
	}
	time.Sleep(3*aliveCheckTime + crashReportDelay)
	return func() endOutcome {
		sink.mutex.Lock()
		defer sink.mutex.Unlock()
		return endOutcome{seen: seen, charged: h.environment.settled.Load(), attempts: int(requests.Load()), completed: sink.completed, accused: sink.reports - 1}
	}
}

// Guards against a response whose end is taken for another one: what its caller sees and is charged, whether the
// request is sent again, and what clears or accuses it. By its connection's end alone a response that was cut
// can't be told from a complete one while its engine lives, unless it is a stream that was cut inside an event.
func TestEndsOfResponsesByRouteAndFraming(t *testing.T) {
	complete, again := endOutcome{"complete", 150, 1, 1, 0}, endOutcome{"complete", 150, 2, 1, 0}
	for _, one := range []struct {
		path string
		end  responseEnd
		// want is the outcome with a length or chunks, and wantByClose that without, if it is another one.
		want, wantByClose endOutcome
	}{
		{"/safe/x", endsComplete, complete, complete},
		{"/safe/x", endsBeforeBody, again, endOutcome{"short", 150, 1, 0, 0}},
		{"/safe/x", endsInside, again, endOutcome{"short", 150, 1, 1, 0}},
		{"/safe/x", endsReset, again, again},
		{"/safe/x", endsWithCrash, endOutcome{"complete", 150, 2, 1, 1}, endOutcome{"complete", 150, 2, 1, 1}},
		{"/safe/x", completeThenCrash, complete, endOutcome{"complete", 150, 2, 1, 1}},
		{"/once/x", endsComplete, complete, complete},
		{"/once/x", endsBeforeBody, endOutcome{"502", 0, 1, 0, 0}, endOutcome{"short", 150, 1, 0, 0}},
		{"/once/x", endsInside, endOutcome{"502", 0, 1, 0, 0}, endOutcome{"short", 150, 1, 1, 0}},
		{"/once/x", endsReset, endOutcome{"502", 0, 1, 0, 0}, endOutcome{"502", 0, 1, 0, 0}},
		{"/once/x", endsWithCrash, endOutcome{"502", 0, 1, 0, 1}, endOutcome{"502", 0, 1, 0, 1}},
		{"/once/x", completeThenCrash, complete, endOutcome{"502", 0, 1, 0, 1}},
		{"/stream/x", endsComplete, endOutcome{"complete", 106, 1, 1, 0}, endOutcome{"complete", 106, 1, 1, 0}},
		{"/stream/x", endsBeforeBody, endOutcome{"broken", 100, 1, 0, 0}, endOutcome{"broken", 100, 1, 0, 0}},
		{"/stream/x", endsInside, endOutcome{"broken", 100, 1, 0, 0}, endOutcome{"broken", 100, 1, 0, 0}},
		{"/stream/x", endsBetween, endOutcome{"broken", 103, 1, 0, 0}, endOutcome{"short", 103, 1, 1, 0}},
		{"/stream/x", endsReset, endOutcome{"broken", 100, 1, 0, 0}, endOutcome{"broken", 100, 1, 0, 0}},
		{"/stream/x", endsWithCrash, endOutcome{"broken", 103, 1, 0, 1}, endOutcome{"broken", 103, 1, 0, 1}},
		{"/stream/x", completeThenCrash, endOutcome{"complete", 106, 1, 1, 0}, endOutcome{"broken", 106, 1, 0, 1}},
		{"/resumable/x", endsComplete, endOutcome{"complete", 106, 1, 1, 0}, endOutcome{"complete", 106, 1, 1, 0}},
		{"/resumable/x", endsBeforeBody, endOutcome{"complete", 106, 2, 1, 0}, endOutcome{"complete", 106, 2, 1, 0}},
		{"/resumable/x", endsInside, endOutcome{"complete", 106, 2, 1, 0}, endOutcome{"complete", 106, 2, 1, 0}},
		{"/resumable/x", endsBetween, endOutcome{"complete", 106, 2, 1, 0}, endOutcome{"short", 103, 1, 1, 0}},
		{"/resumable/x", endsReset, endOutcome{"complete", 106, 2, 1, 0}, endOutcome{"complete", 106, 2, 1, 0}},
		{"/resumable/x", endsWithCrash, endOutcome{"complete", 106, 2, 1, 1}, endOutcome{"complete", 106, 2, 1, 1}},
		{"/resumable/x", completeThenCrash, endOutcome{"complete", 106, 1, 1, 0}, endOutcome{"complete", 106, 2, 1, 1}},
	} {
		for how, want := range map[framing]endOutcome{byLength: one.want, byChunks: one.want, byClose: one.wantByClose} {
			t.Run(fmt.Sprintf("%s/%s/%s", one.path, one.end, how), func(t *testing.T) {
				t.Parallel()
				outcome := endOf(t, one.path, how, one.end)
				for began := time.Now(); outcome() != want && time.Since(began) < 3*time.Second; time.Sleep(time.Millisecond) {
				}
				assert.Equal(t, outcome(), want)
			})
		}
	}
}

const fuzzedHead = "HTTP/1.1 200 OK\r\nId: r1\r\n"

// fuzzedResponses are valid responses, and others that are not.
var fuzzedResponses = []string{
	fuzzedHead + "Content-Length: 4\r\n\r\nbody", fuzzedHead + "Content-Length: 5\r\n\r\nbody", fuzzedHead + "Content-Length: +4\r\n\r\nbody",
	fuzzedHead + "Content-Length: 4\r\nContent-Length: 4\r\n\r\nbody", fuzzedHead + "Content-Length: 4\r\nContent-Length: 5\r\n\r\nbody!",
	fuzzedHead + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", fuzzedHead + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n",
	fuzzedHead + "Transfer-Encoding: chunked\r\n\r\n4;x=y\r\nbody\r\n0\r\nTrailer: z\r\n\r\n", fuzzedHead + "Transfer-Encoding: chunked\r\n\r\nffffffffffffffffff\r\nbody",
	fuzzedHead + "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n4\r\nbody\r\n0\r\n\r\n", fuzzedHead + "Transfer-Encoding: gzip\r\n\r\nbody",
	fuzzedHead + "Connection: close\r\n\r\n" + twoEvents, fuzzedHead + "\r\n", fuzzedHead + "Connection: close\r\n\r\nid: 1\ndata:", "HTTP/1.0 200 OK\r\nId: r1\r\n\r\nbody",
	"HTTP/1.1 000 OK\r\nId: r1\r\nContent-Length: 4\r\n\r\nbody", "HTTP/1.1 999 OK\r\nId: r1\r\nContent-Length: 4\r\n\r\nbody", fuzzedHead + "Content-Length : 2\r\n\r\nbody",
	fuzzedHead + "Transfer-Encoding : chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", fuzzedHead + "Bad Name: x\r\nContent-Length: 4\r\n\r\nbody", fuzzedHead + "A: b\nContent-Length: 4\r\n\r\nbody",
	"HTTP/1.1 103 Early Hints\r\nBad Name: x\r\n\r\n" + fuzzedHead + "Content-Length: 4\r\n\r\nbody", fuzzedHead + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nBad Name: x\r\n\r\n",
	"HTTP/1.0 200 OK\r\nId: r1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", "HTTP/2.0 200 OK\r\nId: r1\r\nContent-Length: 4\r\n\r\nbody",
	"HTTP/1.1 100 Continue\r\n\r\n" + fuzzedHead + "Content-Length: 0\r\n\r\n", "HTTP/1.1 204 None\r\nId: r1\r\n\r\n", "",
}

// Guards against a response that is passed on as complete, or with another body, where it is neither by HTTP's
// rules.
func FuzzResponseIsCompleteOnlyByTheRulesOfHTTP(f *testing.F) {
	for _, response := range fuzzedResponses {
		f.Add(response, false)
		f.Add(response, true)
	}
	f.Fuzz(func(t *testing.T, response string, isStream bool) {
		h := newHarness(t, newEngine(t, func(connection net.Conn, _ *bufio.Reader, _ received) {
			_, _ = io.WriteString(connection, response)
			_ = connection.Close()
		}))
		path := "/once/x"
		if isStream {
			path = "/stream/x"
		}
		got := h.send(t, http.MethodPost, path, "r1", "body")
		if got.err != nil || got.status != http.StatusOK {
			return
		}
		body, err := referenceBody(response)
		assert.NilError(t, err, "%q looks complete, with the body %q", response, got.body)
		assert.Equal(t, got.body, body, "%q", response)
	})
}

// Guards against a reader of responses that is more lenient than HTTP's rules.
func FuzzResponsesAreReadByTheRulesOfHTTP(f *testing.F) {
	for _, response := range fuzzedResponses {
		f.Add(response)
	}
	f.Fuzz(func(t *testing.T, response string) {
		sending := &exchange{connection: newConnection(transport.WithConfirmedEnd(&bytesConnection{source: strings.NewReader(response)}))}
		var body []byte
		head, err := sending.readFinalHead(http.MethodPost)
		if err == nil {
			body, err = io.ReadAll(head.Body)
		}
		want, wantErr := referenceBody(response)
		if err == nil {
			assert.NilError(t, wantErr, "%q is read as %q", response, body)
			assert.Equal(t, string(body), want, "%q", response)
		}
	})
}
