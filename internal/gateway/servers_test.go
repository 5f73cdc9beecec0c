package gateway

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ravenway/ravenway/internal/transport"
)

func TestDebugListenerServesProfiles(t *testing.T) {
	server := httptest.NewServer(debugHandler())
	defer server.Close()
	for path, status := range map[string]int{
		"/debug/pprof/goroutine?debug=1": http.StatusOK, "/debug/pprof/heap": http.StatusOK,
		"/debug/pprof/profile?seconds=1": http.StatusOK, "/": http.StatusNotFound,
	} {
		response, err := http.Get(server.URL + path)
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
		assert.Equal(t, response.StatusCode, status, path)
	}
}

// Guards against reading a request that the node can't serve: a refused connection is closed before a byte of
// it is read, and connections that are open go on.
func TestRefusedConnectionIsClosedUnreadAndOpenOnesAreServed(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	var served, refuses atomic.Int64
	handler := http.HandlerFunc(func(http.ResponseWriter, *http.Request) { served.Add(1) })
	meter := &transport.Meter{}
	callers := newCallerServer(listener, handler, meter, func() bool { return refuses.Load() == 0 })
	go callers.run()
	defer callers.close()
	send := func(connection net.Conn) string {
		_, _ = io.WriteString(connection, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
		var answer [12]byte
		read, _ := io.ReadFull(connection, answer[:])
		return string(answer[:read])
	}
	open, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	defer open.Close()
	assert.Equal(t, send(open), "HTTP/1.1 200")
	refuses.Store(1)
	read := meter.Received()
	refused, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	defer refused.Close()
	assert.Equal(t, send(refused), "")
	assert.Equal(t, meter.Received(), read)
	_, _ = io.WriteString(open, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	_, err = open.Read(make([]byte, 4096))
	assert.NilError(t, err)
}
