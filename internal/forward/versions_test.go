package forward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ravenway/ravenway/internal/coordination/registry"
)

// versionedStreamEvents is the length of the streams of versioned engines.
const versionedStreamEvents = 6

// versionedEvent is the event that an engine of a version sends at a position, counted from 1. The
// bytes of two versions differ, so that a join of both shows.
func versionedEvent(version string, number int) string {
	return fmt.Sprintf("id: %d\ndata: %s-%d\n\n", number, version, number)
}

func versionedStream(version string) string {
	text := ""
	for number := 1; number <= versionedStreamEvents; number++ {
		text += versionedEvent(version, number)
	}
	return text
}

// newVersionedEngine returns an engine that streams the events of a version after the last one that a
// request names. It breaks a stream off inside the event after breakAfter; 0 means never.
func newVersionedEngine(t *testing.T, version string, breakAfter int) *scriptedEngine {
	t.Helper()
	return newEngine(t, func(connection net.Conn, _ *bufio.Reader, request received) {
		_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nId: "+request.Header.Get("Id")+"\r\nTransfer-Encoding: chunked\r\n\r\n")
		after, _ := strconv.Atoi(request.Header.Get("After"))
		for number := after + 1; number <= versionedStreamEvents; number++ {
			event := versionedEvent(version, number)
			if breakAfter > 0 && number > breakAfter {
				_, _ = fmt.Fprintf(connection, "%x\r\n%s", len(event), event[:4])
				_ = connection.Close()
				return
			}
			_, _ = fmt.Fprintf(connection, "%x\r\n%s\r\n", len(event), event)
		}
		_, _ = io.WriteString(connection, "0\r\n\r\n")
	})
}

// newVersionedHarness returns a harness whose engines run the given versions, in order.
func newVersionedHarness(t *testing.T, versions []string, engines ...*scriptedEngine) *harness {
	t.Helper()
	h := newHarness(t, engines...)
	for number, version := range versions {
		h.setVersion(number, version)
	}
	return h
}

// setVersion changes the version that an engine's heartbeats name.
func (h *harness) setVersion(number int, version string) {
	instance, _ := h.table.InstanceWithID(fmt.Sprintf("i-%d", number))
	instance.Version = version
	h.table.Apply([]registry.Instance{instance})
}

// assertOneVersion checks that a response holds no events of two versions.
func assertOneVersion(t *testing.T, body string, versions ...string) {
	t.Helper()
	var found []string
	for _, version := range versions {
		if strings.Contains(body, "data: "+version+"-") {
			found = append(found, version)
		}
	}
	assert.Check(t, len(found) <= 1, "the response holds events of %v: %q", found, body)
}

// Guards against a stream that is resumed within its response at an engine of another version.
func TestStreamIsResumedOnTheVersionThatBeganIt(t *testing.T) {
	for number := range 8 {
		h := newVersionedHarness(t, []string{"v1", "v2", "v2", "v1"},
			newVersionedEngine(t, "v1", 3), newVersionedEngine(t, "v2", 0), newVersionedEngine(t, "v2", 0), newVersionedEngine(t, "v1", 0))
		got := h.send(t, "POST", "/resumable/x", fmt.Sprintf("r-%d", number), "")
		assertOneVersion(t, got.body, "v1", "v2")
		assert.NilError(t, got.err)
	}
}

// Guards against a stream that ends as if it were complete, or continues on another version, when no
// engine of its version is left.
func TestStreamWithoutAnEngineOfItsVersionEndsIncomplete(t *testing.T) {
	h := newVersionedHarness(t, []string{"v1", "v2"}, newVersionedEngine(t, "v1", 3), newVersionedEngine(t, "v2", 3))
	got := h.send(t, "POST", "/resumable/x", "r-1", "")
	assertOneVersion(t, got.body, "v1", "v2")
	assert.Assert(t, got.err != nil, "the response looks complete: %q", got.body)
}

// Guards against decisions on a resumed stream that don't tell a join of two versions from others.
func TestDecisionsOnAResumedStreamNameItsVersions(t *testing.T) {
	h := newVersionedHarness(t, []string{"v1", "v1"}, newVersionedEngine(t, "v1", 3), newVersionedEngine(t, "v1", 3))
	request := h.request(t, "POST", "/resumable/x", "r-1", "")
	request.Header.Set("After", "1")
	request.Header.Set("Resumes", "r-0")
	h.do(request)
	explained := strings.Join(h.log.Explain("r-1"), "\n")
	assert.Check(t, strings.Contains(explained, `takes up the stream of "r-0" after event 1 at i-`), explained)
	assert.Check(t, strings.Contains(explained, `runs version "v1", after the last instance ran "v1"`), explained)
}
