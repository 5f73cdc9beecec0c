package forward

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

var fingerprintText = regexp.MustCompile(`fingerprint ([0-9a-f]{48})`)

// Two returns of one request have two ids; only what they are can tell that they
// are the same one, and how far each came when it broke.
func TestDecisionsOnABrokenRunNameTheRequestBeyondItsID(t *testing.T) {
	engine := newEngine(t, func(connection net.Conn, _ *bufio.Reader, request received) {
		_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nId: "+request.Header.Get("Id")+"\r\nContent-Length: 9\r\n\r\n")
		_ = connection.Close()
	})
	h := newHarness(t, engine)
	named := func(id, body string) string {
		_ = h.ask(t, http.MethodPost, "/stream/x", id, body)
		text := strings.Join(h.log.Explain(id), "\n")
		assert.Assert(t, strings.Contains(text, "its answer had begun"), text)
		found := fingerprintText.FindStringSubmatch(text)
		assert.Equal(t, len(found), 2, text)
		return found[1]
	}
	first := named("r1", "body")
	assert.Equal(t, named("r2", "body"), first)
	assert.Assert(t, named("r3", "another") != first)
}
