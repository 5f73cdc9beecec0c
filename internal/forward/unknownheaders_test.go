package forward

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
)

func isTestHeader(name string) bool { return name == "Id" }

// Guards against unknown signals from engines that are ignored without a log line.
func TestUnknownResponseHeaderIsReportedOncePerService(t *testing.T) {
	detector := newUnknownHeaderDetector()
	header := http.Header{"Id": {"r1"}, "Server-Mood": {"bad"}, "A-New-One": {"1"}}
	assert.DeepEqual(t, detector.takeNew("s", header, isTestHeader), []string{"A-New-One", "Server-Mood"})
	assert.Equal(t, len(detector.takeNew("s", header, isTestHeader)), 0)
	assert.Equal(t, len(detector.takeNew("other", header, isTestHeader)), 2)
}

func TestUnknownHeadersAreRememberedWithinBounds(t *testing.T) {
	detector := newUnknownHeaderDetector()
	for number := range 2 * maximumUnknownHeaders {
		detector.takeNew("s", http.Header{fmt.Sprintf("X-%d", number): {"1"}}, isTestHeader)
	}
	assert.Equal(t, detector.seen.Len(), maximumUnknownHeaders)
	assert.Equal(t, len(detector.takeNew("s", http.Header{"X-New": {"1"}}, isTestHeader)), 0)
}

func BenchmarkResponseHeaders(b *testing.B) {
	detector := newUnknownHeaderDetector()
	header := http.Header{"Id": {"r1"}, "Server-Mood": {"bad"}, "Content-Length": {"1"}, "Date": {"today"}}
	for b.Loop() {
		detector.takeNew("s", header, isTestHeader)
	}
}

func TestUnknownHeaderIsLoggedWithItsServiceOnce(t *testing.T) {
	h := newHarness(t, newEngine(t, func(connection net.Conn, _ *bufio.Reader, request received) {
		_, _ = fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nId: %s\r\nServer-Mood: bad\r\nContent-Length: 0\r\n\r\n", request.Header.Get("Id"))
	}))
	var lines bytes.Buffer
	h.pipeline.options.Log = NewDecisionLog(zerolog.New(&lines))
	for number := range 3 {
		h.send(t, http.MethodPost, "/once/x", fmt.Sprint("r", number), "b")
	}
	assert.Equal(t, strings.Count(lines.String(), "answer_headers_unknown"), 1, lines.String())
	assert.Assert(t, strings.Contains(lines.String(), `"service":"s"`) && strings.Contains(lines.String(), `"Server-Mood"`), lines.String())
}
