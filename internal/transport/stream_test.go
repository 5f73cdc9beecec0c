package transport

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// startStreamMesh starts a mesh that handles streams, and one that opens them.
func startStreamMesh(t *testing.T, handle func(from string, request []byte, stream *Stream)) *Mesh {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	run := func(options Options) *Mesh {
		options.Key, options.OpenMembership, options.Handle = sharedKey, true, func(string, []byte) {}
		mesh := NewMesh(options)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			mesh.Run(ctx)
		}()
		t.Cleanup(func() {
			cancel()
			<-done
		})
		return mesh
	}
	run(Options{Self: address, Listener: listener, HandleStream: handle})
	other, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	opener := run(Options{Self: other.Addr().String(), Listener: other})
	opener.options.Peers = map[string]string{"listening": address}
	for opener.currentRunContext() == nil {
		time.Sleep(time.Millisecond)
	}
	return opener
}

// currentRunContext returns the context of Run, nil before it has begun.
func (m *Mesh) currentRunContext() context.Context {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.runContext
}

func openStream(t *testing.T, opener *Mesh, request string) (*Stream, string) {
	t.Helper()
	stream, response, err := opener.OpenStream(t.Context(), opener.options.Peers["listening"], []byte(request))
	assert.NilError(t, err)
	t.Cleanup(func() { _ = stream.Close() })
	return stream, string(response)
}

func TestStreamCarriesBytesBothWaysAndEndsRegularly(t *testing.T) {
	opener := startStreamMesh(t, func(from string, request []byte, stream *Stream) {
		signals := 0
		stream.OnSignal(func([]byte) { signals++ })
		_ = stream.Respond(append([]byte("accepted "), request...))
		received, err := io.ReadAll(stream)
		if err == nil && signals == 1 {
			_, _ = stream.Write(received)
			_ = stream.CloseWrite()
		}
	})
	stream, response := openStream(t, opener, "an engine")
	assert.Equal(t, response, "accepted an engine")
	sent := bytes.Repeat([]byte("0123456789"), 10*maximumPieceBytes/10)
	_, err := stream.Write(sent)
	assert.NilError(t, err)
	assert.NilError(t, stream.Signal([]byte("pause")))
	assert.NilError(t, stream.CloseWrite())
	received, err := io.ReadAll(stream)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(received, sent))
	assert.Assert(t, opener.options.StreamMeter.Sent() > int64(len(sent)) && opener.options.StreamMeter.Received() > int64(len(sent)))
}

// Guards against a response without a length that looks complete although the node that relays it
// was killed: the machine of a killed process closes its connections regularly.
func TestStreamOfAKilledNodeDoesNotEndRegularly(t *testing.T) {
	opener := startStreamMesh(t, func(_ string, _ []byte, stream *Stream) {
		_ = stream.Respond(nil)
		_, _ = stream.Write([]byte("the first half"))
		_ = stream.Close()
	})
	stream, _ := openStream(t, opener, "")
	received, err := io.ReadAll(stream)
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	assert.Equal(t, string(received), "the first half")
}

func TestReadOfAStreamCanBeRepeatedAfterATimeoutWithinAFrame(t *testing.T) {
	local, remote := net.Pipe()
	defer local.Close()
	sender, receiver := newStream(remote, nil, newFrameAuthenticator(sharedKey)), newStream(local, newFrameAuthenticator(sharedKey), nil)
	var frame bytes.Buffer
	sender.connection = writeOnly{Writer: &frame}
	assert.NilError(t, sender.writeFrame(dataFrame, []byte("payload")))
	go func() { _, _ = remote.Write(frame.Bytes()[:9]) }()
	assert.NilError(t, receiver.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
	into := make([]byte, 32)
	_, err := receiver.Read(into)
	var timeout net.Error
	assert.Assert(t, errors.As(err, &timeout) && timeout.Timeout(), err)
	assert.NilError(t, receiver.SetReadDeadline(time.Time{}))
	go func() { _, _ = remote.Write(frame.Bytes()[9:]) }()
	read, err := receiver.Read(into)
	assert.NilError(t, err)
	assert.Equal(t, string(into[:read]), "payload")
}

// writeOnly is a connection of which only Write is used.
type writeOnly struct {
	net.Conn
	io.Writer
}

func (w writeOnly) Write(data []byte) (int, error) { return w.Writer.Write(data) }

func TestStreamIsRefusedWithoutTheKeyOrWithAChangedUse(t *testing.T) {
	_, address, _ := startMesh(t, "b", map[string]string{"a": "", "b": ""})
	connection, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer connection.Close()
	// A hello for frames that was turned into one for a stream on its way.
	changed := forFrames
	changed.isStream = true
	_, err = dialHandshake(connection, sharedKey, "a", "b", changed)
	assert.NilError(t, err)
	_, err = connection.Read(make([]byte, 1))
	assert.Assert(t, err != nil, "the connection was kept")

	opener := startStreamMesh(t, func(_ string, _ []byte, stream *Stream) { _ = stream.Respond([]byte("opened")) })
	opener.options.Key = bytes.Repeat([]byte("x"), 32)
	_, _, err = opener.OpenStream(t.Context(), opener.options.Peers["listening"], nil)
	assert.ErrorIs(t, err, ErrUnauthenticated)
}

func TestCorruptedFrameOfAStreamIsRefused(t *testing.T) {
	local, remote := net.Pipe()
	defer local.Close()
	receiver := newStream(local, newFrameAuthenticator(sharedKey), nil)
	frame := binary.BigEndian.AppendUint32(nil, 1+4+frameMACBytes)
	frame = append(frame, append([]byte{byte(dataFrame)}, "data0123456789abcdef"...)...)
	go func() { _, _ = remote.Write(frame) }()
	_, err := receiver.Read(make([]byte, 8))
	assert.ErrorIs(t, err, ErrFrameNotAuthentic)
}

func TestOpeningOfAStreamEndsWithItsContext(t *testing.T) {
	release := make(chan struct{})
	opener := startStreamMesh(t, func(string, []byte, *Stream) { <-release })
	defer close(release)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, _, err := opener.OpenStream(ctx, opener.options.Peers["listening"], nil)
	assert.Assert(t, err != nil)
	assert.Equal(t, len(opener.connections), 0)
}
