package forward

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ravenway/ravenway/internal/coordination/ratelimit"
	"github.com/ravenway/ravenway/internal/coordination/registry"
	"github.com/ravenway/ravenway/internal/httpcheck"
)

// badResponse is a response that is not valid HTTP; "ID" stands for the request's id.
type badResponse struct {
	part httpcheck.Part
	text string
}

const (
	// signals are what a sound head would teach the node.
	signals = "Id: ID\r\nLimit: 1\r\nPause: 5\r\nLeaving: 1\r\n"
	// badBody is a body with a length.
	badBody = "Content-Length: 15\r\n\r\n" + firstEvent
)

// badResponses returns responses of each kind.
func badResponses() []badResponse {
	var all []badResponse
	add := func(part httpcheck.Part, texts ...string) {
		for _, text := range texts {
			all = append(all, badResponse{part, text})
		}
	}
	statusLine := func(line string) string { return line + "\r\n" + signals + badBody }
	field := func(line string) string { return "HTTP/1.1 200 OK\r\n" + signals + line + "\r\n" + badBody }
	for _, status := range []string{"000", "001", "099", "+20", "-20", "600", "999", "20", "2000", "20x", "0x1", " 200"} {
		add(httpcheck.Status, statusLine("HTTP/1.1 "+status+" OK"))
	}
	add(httpcheck.StatusLine, statusLine("HTTP/2.0 200 OK"), statusLine("HTTP/0.9 200 OK"), statusLine("HTTP/1 200 OK"), statusLine("http/1.1 200 OK"),
		statusLine("HTTP/1.1\t200 OK"), statusLine("HTTP/1.10 200 OK"), statusLine("bytes that are no response"), statusLine(""))
	add(httpcheck.FieldValue, statusLine("HTTP/1.1 200 O\x00K"), statusLine("HTTP/1.1 200 O\rK"))
	for _, name := range []string{"Bad Name", "Name ", "Name\t", "Bad\x01Name", "Bad\x7fName", "Bad\xe4Name", "", "Bad(Name", "Content-Length ", "Transfer-Encoding "} {
		add(httpcheck.FieldName, field(name+": chunked"))
	}
	add(httpcheck.FieldName, field("no colon"), "HTTP/1.1 200 OK\r\n folded: first\r\n"+signals+badBody,
		"HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length : 2\r\n\r\n"+twoEvents, "HTTP/1.1 200 OK\r\nId: ID\r\nTransfer-Encoding : chunked\r\n\r\n1e\r\n"+twoEvents+"\r\n0\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\nBad Name: x\r\n\r\nHTTP/1.1 200 OK\r\n"+signals+badBody)
	add(httpcheck.FieldValue, field("A: b\x00"), field("A: b\rc"), field("A: b\x7f"), field("A: b\r\n c\x01"))
	add(httpcheck.Status, "HTTP/1.1 099 Early\r\n\r\nHTTP/1.1 200 OK\r\n"+signals+badBody)
	add(httpcheck.LineEnd, "HTTP/1.1 200 OK\n"+signals+badBody, "HTTP/1.1 200 OK\r\n"+signals+"A: b\n"+badBody, "HTTP/1.1 200 OK\r\n"+signals+"Content-Length: 15\r\n\n"+firstEvent)
	add(httpcheck.Framing, field("Content-Length: 16"), field("Content-Length: 15, 15"), field("Transfer-Encoding: chunked"), field("Transfer-Encoding: gzip"),
		"HTTP/1.0 200 OK\r\n"+signals+"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "HTTP/1.1 200 OK\r\n"+signals+"Content-Length: +15\r\n\r\n"+firstEvent,
		"HTTP/1.1 200 OK\r\n"+signals+"Content-Length: x\r\n\r\n"+firstEvent)
	for _, trailer := range []string{"Bad Name: x", "Name : x", "A: b\x01"} {
		add(httpcheck.Trailer, fmt.Sprintf("HTTP/1.1 200 OK\r\nId: ID\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n%s\r\n\r\n", len(firstEvent), firstEvent, trailer))
	}
	return all
}

// countedRateLimits counts the signals that are learnt.
type countedRateLimits struct {
	noRateLimits
	learnt atomic.Int64
}

func (c *countedRateLimits) Learn(_ registry.Instance, signal ratelimit.Signal, _ time.Time) {
	if signal.IsNamed {
		c.learnt.Add(1)
	}
}

// Guards against a response that is not valid HTTP and is passed on, with another body than the engine's, or whose status
// makes the handler panic. It must be answered by another engine, or with 502, and what it says must not be used.
func TestResponseThatIsNotValidHTTPIsNotUsed(t *testing.T) {
	for number, bad := range badResponses() {
		for _, path := range []string{"/safe/x", "/once/x", "/stream/x", "/resumable/x"} {
			t.Run(fmt.Sprintf("%d/%s/%.60q", number, path, bad.text), func(t *testing.T) {
				t.Parallel()
				bad.assertNotUsed(t, path)
			})
		}
	}
}

func (b badResponse) assertNotUsed(t *testing.T, path string) {
	t.Helper()
	var requests atomic.Int64
	closed := make(chan bool, 1)
	script := func(connection net.Conn, reader *bufio.Reader, request received) {
		id := request.Header.Get("Id")
		if requests.Add(1) > 1 {
			rest := twoEvents
			if request.Header.Get("After") != "" {
				rest = secondEvent
			}
			_, _ = io.WriteString(connection, responseOf(id, rest))
			return
		}
		_, _ = io.WriteString(connection, strings.ReplaceAll(b.text, "ID", id))
		_ = connection.SetReadDeadline(time.Now().Add(2 * time.Second))
		_, err := reader.ReadByte()
		closed <- err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
		_ = connection.Close()
	}
	h, pauses := newBackoffHarness(t, newEngine(t, script), newEngine(t, script))
	limits := &countedRateLimits{}
	h.pipeline.options.RateLimits = limits
	crashes := h.withTracker()
	got := h.send(t, http.MethodPost, path, "r1", "body")
	explained := strings.Join(h.log.Explain("r1"), "\n")
	assert.Assert(t, !strings.Contains(explained, "panicked"), explained)
	isBegun := b.part == httpcheck.Trailer && strings.HasPrefix(path, "/stream/")
	switch {
	case path == "/safe/x", path == "/resumable/x":
		assert.NilError(t, got.err, explained)
		assert.Equal(t, strconv.Itoa(got.status)+got.body, "200"+twoEvents, explained)
		assert.Equal(t, requests.Load(), int64(2))
	case isBegun:
		assert.Assert(t, got.err != nil, "looks complete: %q", got.body)
	default:
		assert.NilError(t, got.err, explained)
		assert.Equal(t, got.status, http.StatusBadGateway, explained)
		assert.Equal(t, requests.Load(), int64(1))
	}
	assert.Assert(t, strings.Contains(explained, "not valid HTTP: "+string(b.part)), explained)
	assert.Assert(t, <-closed, "the connection was kept")
	assert.Equal(t, limits.learnt.Load(), int64(0))
	assert.Equal(t, pauses.Count(), int64(0))
	assert.Equal(t, h.pipeline.crashes.count(), 0)
	crashes.mutex.Lock()
	defer crashes.mutex.Unlock()
	assert.Equal(t, crashes.reports, 0)
}

// Guards against sound heads that are refused, or waited for, because of how they arrive or how long they are.
func TestSoundHeadsAreReadHoweverTheyArrive(t *testing.T) {
	long := "Long: " + strings.Repeat("x", 7000) + "\r\n"
	for name, text := range map[string]string{
		"byte by byte":      "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 5\r\n\r\nwhole",
		"no reason":         "HTTP/1.1 200\r\nId: r1\r\nContent-Length: 5\r\n\r\nwhole",
		"empty reason":      "HTTP/1.1 200 \r\nId: r1\r\nContent-Length: 5\r\n\r\nwhole",
		"reason and values": "HTTP/1.1 200 Gr\xfc\xdf\tdich\r\nId: r1\r\nA:\tb\xff\r\nEmpty:\r\n!#$%&'*+-.^_`|~0aZ: token\r\nContent-Length:5 \r\n\r\nwhole",
		"continued line":    "HTTP/1.1 200 OK\r\nId: r1\r\nA: b\r\n  c\r\nContent-Length: 5\r\n\r\nwhole",
		"equal lengths":     "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 5\r\nContent-Length: 5\r\n\r\nwhole",
		"early hints":       "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 5\r\n\r\nwhole",
		"long head":         "HTTP/1.1 200 OK\r\nId: r1\r\n" + long + long + "Content-Length: 5\r\n\r\nwhole",
		"trailer":           "HTTP/1.1 200 OK\r\nId: r1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\nA: b\r\n\r\n",
		"later minor":       "HTTP/1.2 200 OK\r\nId: r1\r\nContent-Length: 5\r\n\r\nwhole",
	} {
		for _, piece := range []int{1, 3000, len(text)} {
			if piece == 1 && len(text) > 1000 {
				continue
			}
			t.Run(fmt.Sprintf("%s/%d", name, piece), func(t *testing.T) {
				t.Parallel()
				h := newHarness(t, newEngine(t, func(connection net.Conn, _ *bufio.Reader, _ received) {
					for rest := text; rest != ""; {
						length := min(piece, len(rest))
						_, _ = io.WriteString(connection, rest[:length])
						rest = rest[length:]
						if rest != "" {
							time.Sleep(100 * time.Microsecond)
						}
					}
				}))
				for range 2 {
					// The second one meets the buffer that the first one has enlarged.
					got := h.send(t, http.MethodPost, "/once/x", "r1", "body")
					assert.NilError(t, got.err)
					assert.Equal(t, strconv.Itoa(got.status)+got.body, "200whole", strings.Join(h.log.Explain("r1"), "\n"))
				}
			})
		}
	}
}

// panickingDialect panics when it reads the response to one request.
type panickingDialect struct{ testDialect }

func (d panickingDialect) ReadResponse(status int, header http.Header) ResponseHead {
	if header.Get("Id") == "panics" {
		panic("a fault of the dialect")
	}
	return d.testDialect.ReadResponse(status, header)
}

// Guards against a panic that costs its caller the response, occupies its engine, and is logged without the request's id.
func TestPanicOfAHandlerIsAnsweredAndLogged(t *testing.T) {
	engine := newEngine(t, func(connection net.Conn, _ *bufio.Reader, request received) {
		_, _ = io.WriteString(connection, responseOf(request.Header.Get("Id"), "whole"))
	})
	h := newHarness(t, engine)
	h.pipeline.options.Dialect = panickingDialect{}
	before := handlerPanics.Get()
	got := h.send(t, http.MethodPost, "/once/x", "panics", "body")
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusBadGateway)
	assert.Equal(t, handlerPanics.Get(), before+1)
	explained := strings.Join(h.log.Explain("panics"), "\n")
	assert.Assert(t, strings.Contains(explained, "a fault of the dialect"), explained)
	h.pipeline.pool.mutex.Lock()
	assert.Equal(t, len(h.pipeline.pool.active), 0)
	h.pipeline.pool.mutex.Unlock()
	assert.Equal(t, h.environment.settled.Load(), int64(0))
	got = h.send(t, http.MethodPost, "/once/x", "sound", "body")
	assert.Equal(t, got.body, "whole")
}

// Guards against a caller's head that engines would understand in another way: it is refused, and no engine gets it.
func TestCallersHeadThatIsNotValidReachesNoEngine(t *testing.T) {
	engine := newEngine(t, func(connection net.Conn, _ *bufio.Reader, request received) {
		_, _ = io.WriteString(connection, responseOf(request.Header.Get("Id"), "whole"))
	})
	h := newHarness(t, engine)
	head := func(line string) string {
		return "POST /once/x HTTP/1.1\r\nHost: 127.0.0.1\r\nId: r1\r\nKey: k\r\n" + line + "\r\n"
	}
	for _, text := range []string{
		head("Bad Name: x\r\nContent-Length: 0\r\n"), head("Content-Length : 4\r\n") + "body", head("Transfer-Encoding : chunked\r\n") + "4\r\nbody\r\n0\r\n\r\n",
		head("Bad\x01Name: x\r\nContent-Length: 0\r\n"), head("Bad\xe4Name: x\r\nContent-Length: 0\r\n"), head(": x\r\nContent-Length: 0\r\n"), head("no colon\r\nContent-Length: 0\r\n"),
		head("A: b\x00\r\nContent-Length: 0\r\n"), head("A: b\rc\r\nContent-Length: 0\r\n"), head("Content-Length: 4\r\nContent-Length: 5\r\n") + "body!",
		head("Content-Length: +4\r\n") + "body", head("Transfer-Encoding: gzip\r\n") + "body", "POST /once/x HTTP/2.0\r\nHost: 127.0.0.1\r\nId: r1\r\nKey: k\r\n\r\n",
		"POST /once/x\x01 HTTP/1.1\r\nHost: 127.0.0.1\r\nId: r1\r\nKey: k\r\n\r\n", "PO ST /once/x HTTP/1.1\r\nHost: 127.0.0.1\r\nId: r1\r\nKey: k\r\n\r\n",
		"POST /once/x HTTP/1.1\r\n Folded: first\r\nHost: 127.0.0.1\r\nId: r1\r\nKey: k\r\n\r\n",
	} {
		connection, err := net.Dial("tcp", h.server.Listener.Addr().String())
		assert.NilError(t, err)
		_, err = io.WriteString(connection, text)
		assert.NilError(t, err)
		_ = connection.SetReadDeadline(time.Now().Add(2 * time.Second))
		response, err := http.ReadResponse(bufio.NewReader(connection), nil)
		assert.NilError(t, err, "%q", text)
		assert.Assert(t, response.StatusCode >= 400, "%q: %d", text, response.StatusCode)
		_ = connection.Close()
	}
	assert.Equal(t, engine.ids(), "")
}
