package gateway

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ravenway/ravenway/internal/transport"
)

// relayStreams returns a mesh that opens streams, and the address of one that relays them to the engine at an address.
func relayStreams(t *testing.T, engine string) (opener *transport.Mesh, relay string) {
	t.Helper()
	run := func(handle func(string, []byte, *transport.Stream)) (*transport.Mesh, string) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		mesh := transport.NewMesh(transport.Options{
			Self: listener.Addr().String(), Listener: listener, Key: []byte("a key that all nodes share"), OpenMembership: true,
			Handle: func(string, []byte) {}, HandleStream: handle,
		})
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			mesh.Run(ctx)
		}()
		t.Cleanup(func() {
			cancel()
			<-ended
		})
		return mesh, listener.Addr().String()
	}
	_, relay = run(func(_ string, _ []byte, stream *transport.Stream) {
		network, err := net.Dial("tcp", engine)
		if err != nil || stream.Respond(nil) != nil {
			_ = stream.Close()
			return
		}
		defer network.Close()
		relayBytes(stream, transport.WithConfirmedEnd(network))
	})
	opener, _ = run(nil)
	return opener, relay
}

// exchangeThroughRelay sends a request of a size through a relay, and returns the response, which it reads after a
// delay, and how it ended.
func exchangeThroughRelay(t *testing.T, size int, delay time.Duration, engine func(connection *net.TCPConn)) ([]byte, error) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	go func() {
		if accepted, err := listener.Accept(); err == nil {
			engine(accepted.(*net.TCPConn))
			_ = accepted.Close()
		}
	}()
	mesh, relay := relayStreams(t, listener.Addr().String())
	var stream *transport.Stream
	for began := time.Now(); stream == nil; time.Sleep(time.Millisecond) {
		// The meshes may not run yet.
		stream, _, err = mesh.OpenStream(t.Context(), relay, nil)
		assert.Assert(t, stream != nil || time.Since(began) < 5*time.Second, err)
	}
	node, _ := newRelayingNode(t)
	connection := newRelayedConnection(stream, node.paths, relay)
	defer connection.Close()
	_ = connection.SetDeadline(time.Now().Add(5 * time.Second))
	written := make(chan error, 1)
	go func() {
		_, err := connection.Write(make([]byte, size))
		written <- err
	}()
	time.Sleep(delay)
	response, err := io.ReadAll(connection)
	if err == nil {
		err = errors.Join(<-written, connection.ConfirmEnd(t.Context()))
	}
	return response, err
}

// Guards against a reset at an engine that arrives through a relay as a regular end, and the reverse.
func TestRelayedEndIsThatOfTheEngine(t *testing.T) {
	const repetitions = 5
	takeAll := func(connection *net.TCPConn, size int) {
		_, _ = io.CopyN(io.Discard, connection, int64(size))
	}
	for name, row := range map[string]struct {
		engine  func(connection *net.TCPConn, size int)
		isWhole bool
	}{
		"closed after the request": {func(connection *net.TCPConn, size int) {
			takeAll(connection, size)
			_, _ = io.WriteString(connection, "response")
		}, true},
		"reset at once": {func(connection *net.TCPConn, _ int) {
			_, _ = io.WriteString(connection, "response")
			_ = connection.SetLinger(0)
		}, false},
		"reset later": {func(connection *net.TCPConn, _ int) {
			_, _ = io.WriteString(connection, "response")
			time.Sleep(100 * time.Millisecond)
			_ = connection.SetLinger(0)
		}, false},
		"reset after the request": {func(connection *net.TCPConn, size int) {
			takeAll(connection, size)
			_, _ = io.WriteString(connection, "response")
			time.Sleep(50 * time.Millisecond)
			_ = connection.SetLinger(0)
		}, false},
		"closed before the request": {func(connection *net.TCPConn, _ int) {
			_, _ = io.WriteString(connection, "response")
		}, false},
		"closed with a part of the request unread": {func(connection *net.TCPConn, size int) {
			takeAll(connection, size/2)
			_, _ = io.WriteString(connection, "response")
		}, false},
	} {
		for _, size := range []int{1000, 64 << 10, 4 << 20} {
			for range repetitions {
				response, err := exchangeThroughRelay(t, size, 0, func(connection *net.TCPConn) { row.engine(connection, size) })
				assert.Equal(t, err == nil, row.isWhole, "%s, %d bytes: %q, %v", name, size, response, err)
				assert.Assert(t, !row.isWhole || string(response) == "response", "%s, %d bytes: %q", name, size, response)
			}
		}
	}
}

// Guards against the end of a complete response that is lost because its relay resets the connection on which more of
// the request arrives.
func TestRelayDeliversWhatAnEngineSentBeforeAReset(t *testing.T) {
	const sent = 256 << 10
	for range 5 {
		response, err := exchangeThroughRelay(t, 4<<20, 100*time.Millisecond, func(connection *net.TCPConn) {
			_, _ = connection.Write(make([]byte, sent))
			time.Sleep(50 * time.Millisecond)
			_ = connection.SetLinger(0)
		})
		assert.Assert(t, err != nil)
		assert.Equal(t, len(response), sent)
	}
}
