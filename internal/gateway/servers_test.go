package gateway

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

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
	callers := newCallerServer(listener, handler, meter, callerAdmission{accepts: func() bool { return refuses.Load() == 0 }})
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

// Guards against a node that has accepted connections until no file descriptor is left to reach an engine: those
// beyond a limit are closed unread, and accepted again once others have ended.
func TestConnectionsBeyondTheFileDescriptorsAreClosedUnread(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	const maximum = 3
	callers := newCallerServer(listener, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), &transport.Meter{}, callerAdmission{
		accepts: func() bool { return true }, maximumConnections: maximum,
	})
	go callers.run()
	defer callers.close()
	isServed := func() (net.Conn, bool) {
		connection, err := net.Dial("tcp", listener.Addr().String())
		assert.NilError(t, err)
		_, _ = io.WriteString(connection, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
		var answer [12]byte
		_, err = io.ReadFull(connection, answer[:])
		return connection, err == nil
	}
	var open []net.Conn
	for range maximum {
		connection, served := isServed()
		assert.Assert(t, served)
		open = append(open, connection)
	}
	refused, served := isServed()
	assert.Assert(t, !served)
	assert.NilError(t, refused.Close())
	assert.NilError(t, open[0].Close())
	for began := time.Now(); callers.open.Load() == maximum; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Since(began) < 3*time.Second, "a connection that has ended still counts")
	}
	again, served := isServed()
	assert.Assert(t, served)
	for _, connection := range append(open[1:], again) {
		assert.NilError(t, connection.Close())
	}
	assert.Equal(t, maximumCallerConnections(0), int64(0))
	assert.Equal(t, maximumCallerConnections(4100), int64(1845))
}

// Guards against new connections that are lost because many arrive at once.
func TestThousandConnectionsAtOnceAreServed(t *testing.T) {
	const connections = 1000
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	callers := newCallerServer(listener, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), &transport.Meter{}, callerAdmission{
		accepts: func() bool { return true },
	})
	go callers.run()
	defer callers.close()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	var sending sync.WaitGroup
	for range connections {
		sending.Go(func() {
			response, err := client.Get("http://" + listener.Addr().String())
			assert.Check(t, err)
			if err == nil {
				assert.Check(t, response.Body.Close())
			}
		})
	}
	sending.Wait()
	for began := time.Now(); callers.open.Load() > 0; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Since(began) < 3*time.Second, "%d connections still count", callers.open.Load())
	}
}
