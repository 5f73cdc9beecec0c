package httpcheck

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ravenway/ravenway/internal/transport"
)

// newServer returns the address of a server that calls respond once it has read the head of a request.
func newServer(t *testing.T, respond func(connection *net.TCPConn, request *http.Request)) string {
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
	return listener.Addr().String()
}

// post sends a body to a server, and returns the status and the body of the response.
func post(t *testing.T, address, body string) (int, string, error) {
	t.Helper()
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		opened, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return transport.WithConfirmedReads(opened), nil
	}
	next := &http.Transport{DialContext: dial}
	defer next.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/", strings.NewReader(body))
	assert.NilError(t, err)
	response, err := NewTransport(next).RoundTrip(request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	read, err := io.ReadAll(response.Body)
	return response.StatusCode, string(read), err
}

// Guards against responses that net/http's client accepts although they are not valid HTTP.
func TestTransportRefusesResponsesThatAreNotValidHTTP(t *testing.T) {
	const end = "Content-Length: 4\r\n\r\nbody"
	for text, want := range map[string]Part{
		"HTTP/1.1 000 OK\r\n" + end: Status, "HTTP/1.1 099 OK\r\n" + end: Status, "HTTP/1.1 600 OK\r\n" + end: Status, "HTTP/1.1 999 OK\r\n" + end: Status,
		"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n": Status, "HTTP/2.0 200 OK\r\n" + end: StatusLine,
		"HTTP/1.1 200 OK\r\nBad Name: x\r\n" + end: FieldName, "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nbody": FieldName,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n": FieldName, "HTTP/1.1 200 OK\r\nA: b\x01\r\n" + end: FieldValue,
		"HTTP/1.1 103 Early Hints\r\nBad Name: x\r\n\r\nHTTP/1.1 200 OK\r\n" + end:                   FieldName,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nBad Name: x\r\n\r\n": Trailer,
	} {
		address := newServer(t, func(connection *net.TCPConn, _ *http.Request) { _, _ = io.WriteString(connection, text) })
		status, body, err := post(t, address, "")
		var invalid *InvalidError
		assert.Assert(t, errors.As(err, &invalid) || err != nil && want == FieldValue, "%q: status %d, body %q, error %v", text, status, body, err)
		assert.Assert(t, invalid == nil || invalid.Part == want, "%q: %v", text, err)
	}
}

// Guards against a part of a response that net/http's client takes for a whole one: it has neither a length nor chunks,
// and its connection ends while the request is being written.
func TestTransportRefusesResponsesThatAreCutDuringAnUpload(t *testing.T) {
	for _, head := range []string{"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.0 200 OK\r\n\r\n"} {
		for _, sent := range []string{"", "b", strings.Repeat("b", 100<<10)} {
			for _, wait := range []time.Duration{0, 50 * time.Millisecond} {
				for _, size := range []int{64 << 10, 4 << 20} {
					for _, isReset := range []bool{false, true} {
						t.Run(fmt.Sprintf("%.30q/%d/%s/%d/%v", head, len(sent), wait, size, isReset), func(t *testing.T) {
							t.Parallel()
							address := newServer(t, func(connection *net.TCPConn, _ *http.Request) {
								_, _ = io.WriteString(connection, head+sent)
								time.Sleep(wait)
								if isReset {
									_ = connection.SetLinger(0)
								}
							})
							for range 3 {
								status, body, err := post(t, address, strings.Repeat("u", size))
								assert.Assert(t, err != nil, "status %d with %d bytes looks complete", status, len(body))
							}
						})
					}
				}
			}
		}
	}
}

// Guards against complete responses that are refused.
func TestTransportPassesCompleteResponses(t *testing.T) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nbody", "HTTP/1.0 200 OK\r\n\r\nbody",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nA: b\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
	} {
		for _, size := range []int{0, 64 << 10, 24 << 20} {
			address := newServer(t, func(connection *net.TCPConn, request *http.Request) {
				_, _ = io.Copy(io.Discard, request.Body)
				_, _ = io.WriteString(connection, text)
			})
			status, body, err := post(t, address, strings.Repeat("u", size))
			assert.NilError(t, err, "%q", text)
			assert.Equal(t, status, http.StatusOK)
			assert.Equal(t, body, "body")
		}
	}
}
