package forward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"

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
	h := newVersionedHarness(t, []string{"v1", "v2"}, newVersionedEngine(t, "v1", 3), newVersionedEngine(t, "v2", 5))
	for number := range 6 {
		got := h.send(t, "POST", "/resumable/x", fmt.Sprintf("r-%d", number), "")
		assertOneVersion(t, got.body, "v1", "v2")
		assert.Assert(t, got.err != nil, "the response looks complete: %q", got.body)
	}
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
	assert.Check(t, strings.Contains(explained, `runs version "v1"; the stream began on "v1"`), explained)
}

// Guards against a stream that is bound to the version of an attempt that brought no event: it is a new
// one.
func TestAttemptWithoutAnEventDoesNotBindTheStream(t *testing.T) {
	breaksAtOnce := newEngine(t, func(connection net.Conn, _ *bufio.Reader, request received) {
		_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nId: "+request.Header.Get("Id")+"\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nid: 1")
		_ = connection.Close()
	})
	h := newVersionedHarness(t, []string{"v1", "v2"}, breaksAtOnce, newVersionedEngine(t, "v2", 0))
	for number := range 6 {
		got := h.send(t, "POST", "/resumable/x", fmt.Sprintf("r-%d", number), "")
		assert.NilError(t, got.err)
		assert.Equal(t, got.body, versionedStream("v2"))
	}
}

// Guards against a stream that is joined to an engine which restarted with another version under its id
// before a heartbeat said so: the version that began the stream is not known.
func TestStreamOfAnEngineThatRestartedWithAnotherVersionIsNotResumed(t *testing.T) {
	var h *harness
	restarts := newEngine(t, func(connection net.Conn, _ *bufio.Reader, request received) {
		event := versionedEvent("v1", 1)
		_, _ = fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", request.Header.Get("Id"), len(event), event)
		time.Sleep(30 * time.Millisecond)
		h.setVersion(0, "v2")
		_ = connection.Close()
	})
	h = newVersionedHarness(t, []string{"v1", "v1", "v2"}, restarts, newVersionedEngine(t, "v1", 0), newVersionedEngine(t, "v2", 0))
	for number := 0; h.isVersion(0, "v1"); number++ {
		got := h.send(t, "POST", "/resumable/x", fmt.Sprintf("r-%d", number), "")
		if !h.isVersion(0, "v1") {
			assert.Assert(t, got.err != nil, "the response looks complete: %q", got.body)
			assert.Equal(t, got.body, versionedEvent("v1", 1))
		}
	}
}

func (h *harness) isVersion(number int, version string) bool {
	instance, _ := h.table.InstanceWithID(fmt.Sprintf("i-%d", number))
	return instance.Version == version
}
