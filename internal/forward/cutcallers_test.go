package forward

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ravenway/ravenway/internal/coordination/backoff"
	"github.com/ravenway/ravenway/internal/coordination/enginepath"
	"github.com/ravenway/ravenway/internal/coordination/registry"
	"github.com/ravenway/ravenway/internal/transport"
)

// relayOnlyPaths opens all connections to engines through a relay in the same process.
type relayOnlyPaths struct{ noEnginePaths }

func (relayOnlyPaths) Plan(string) enginepath.Plan { return enginepath.Plan{WithoutDirect: true} }

func (relayOnlyPaths) OpenRelayed(ctx context.Context, address string, _ registry.Incarnation) (RelayedConnection, error) {
	network, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return localRelay{transport.WithConfirmedEnd(network)}, nil
}

// localRelay is a relayed connection whose relay is this process.
type localRelay struct{ transport.EndConfirmer }

func (localRelay) Relay() string { return "relay" }

func (localRelay) ReportSignal(string, backoff.Signal) {}

func (localRelay) ReportSilence() {}

// looksCut reports whether a response that a caller reads from its connection does not look complete. begun is closed once
// its first byte has arrived.
func looksCut(connection net.Conn, begun chan<- struct{}) (bool, string) {
	reader := bufio.NewReader(connection)
	_, err := reader.Peek(1)
	close(begun)
	if err != nil {
		return true, "no response"
	}
	response, err := http.ReadResponse(reader, &http.Request{Method: http.MethodPost})
	if err != nil {
		return true, ""
	}
	body, err := io.ReadAll(response.Body)
	return err != nil && response.StatusCode == http.StatusOK, fmt.Sprintf("status %d with %d bytes", response.StatusCode, len(body))
}

// Guards against a response that is cut after its relay to the caller has begun, and that looks complete to some callers.
func TestCutResponseLooksCutToEachCaller(t *testing.T) {
	cutBody := longPart + "id: 2\ndata: "
	for name, head := range map[string]string{
		"length": "HTTP/1.1 200 OK\r\nContent-Length: 400000\r\n", "chunks": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n", "close": "HTTP/1.1 200 OK\r\nConnection: close\r\n",
	} {
		for _, path := range []string{"/safe/x", "/once/x", "/stream/x"} {
			for _, isRelayed := range []bool{false, true} {
				for caller, line := range map[string]string{
					"kept": "HTTP/1.1\r\nHost: 127.0.0.1", "closing": "HTTP/1.1\r\nHost: 127.0.0.1\r\nConnection: close",
					"HTTP/1.0": "HTTP/1.0\r\nHost: 127.0.0.1", "HTTP/1.0 kept": "HTTP/1.0\r\nHost: 127.0.0.1\r\nConnection: keep-alive",
				} {
					t.Run(fmt.Sprintf("%s%s/%v/%s", name, path, isRelayed, caller), func(t *testing.T) {
						t.Parallel()
						begun := make(chan struct{})
						engine := newEarlyEngine(t, func(connection *net.TCPConn, request *http.Request) {
							text := cutBody
							if name == "chunks" {
								text = fmt.Sprintf("%x\r\n%s\r\n", len(cutBody), cutBody)
							}
							_, _ = io.WriteString(connection, head+"Id: "+request.Header.Get("Id")+"\r\n\r\n"+text)
							_, _ = io.Copy(io.Discard, request.Body)
							<-begun
							_ = connection.SetLinger(0)
						})
						h := newHarness(t, engine)
						if isRelayed {
							h.pipeline.pool.paths = relayOnlyPaths{}
						}
						connection, err := net.Dial("tcp", h.server.Listener.Addr().String())
						assert.NilError(t, err)
						defer connection.Close()
						upload := strings.Repeat("u", 64<<10)
						_, err = fmt.Fprintf(connection, "POST %s %s\r\nId: r1\r\nKey: k\r\nContent-Length: %d\r\n\r\n%s", path, line, len(upload), upload)
						assert.NilError(t, err)
						_ = connection.SetReadDeadline(time.Now().Add(5 * time.Second))
						isCut, seen := looksCut(connection, begun)
						assert.Assert(t, isCut, "%s looks complete", seen)
						// The connection carries no further response.
						_, err = connection.Read(make([]byte, 1))
						assert.Assert(t, err != nil && !isTimeout(err), "the connection was kept: %v", err)
					})
				}
			}
		}
	}
}

// Guards against HEAD requests whose cut response looks complete: the engine's connection ends within the head.
func TestCutHeadOfAResponseToHEADIsNotComplete(t *testing.T) {
	engine := newEarlyEngine(t, func(connection *net.TCPConn, request *http.Request) {
		_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nId: "+request.Header.Get("Id")+"\r\nContent-Length: 4\r\n")
		_ = connection.SetLinger(0)
	})
	h := newHarness(t, engine)
	got := h.send(t, http.MethodHead, "/once/x", "r1", "")
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusBadGateway)
}
