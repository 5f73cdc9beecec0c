package transport

import (
	"bufio"
	"context"
	"crypto/hmac"
	"crypto/tls"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	// maximumPieceBytes bounds the data in one frame of a stream. Each end has a buffer of this size.
	maximumPieceBytes = 8 << 10
	// A stream whose other machine has crashed or is partitioned fails within about two seconds.
	streamUserTimeout   = 2 * time.Second
	streamProbeIdle     = time.Second
	streamProbeInterval = 400 * time.Millisecond
	streamProbeCount    = 3
)

// Errors of streams.
var (
	// ErrNoStreams is returned if a node accepts no streams.
	ErrNoStreams = errors.New("transport: the node accepts no streams")
	// ErrStreamFrame is returned for a frame that no stream contains.
	ErrStreamFrame = errors.New("transport: invalid frame of a stream")
)

// frameKind is the first byte of each frame of a stream.
type frameKind byte

const (
	// dataFrame carries a piece of the data.
	dataFrame frameKind = iota
	// endFrame marks the end of the sender's data: without it, the end of the connection is an error.
	endFrame
	// signalFrame carries a message beside the data.
	signalFrame
)

// Stream carries bytes in both directions between two nodes, over a connection of its own. It
// implements net.Conn. Its frames are authenticated, and a direction ends with io.EOF only if the
// other node has ended it: when a process is killed, its machine closes its connections as if they
// had ended regularly.
type Stream struct {
	connection net.Conn
	reader     *bufio.Reader
	incoming   *frameAuthenticator
	// unread is the rest of the last piece, and hasEnded is set after the other node's last one.
	unread   []byte
	hasEnded bool
	// onSignal handles the other node's signals.
	onSignal func(signal []byte)

	writing  sync.Mutex
	outgoing *frameAuthenticator
	frame    []byte
}

func newStream(connection net.Conn, incoming, outgoing *frameAuthenticator) *Stream {
	return &Stream{
		connection: connection, reader: bufio.NewReaderSize(connection, lengthBytes+1+maximumPieceBytes+frameMACBytes),
		incoming: incoming, outgoing: outgoing, onSignal: func([]byte) {},
	}
}

// OnSignal sets the function that is called with each signal of the other node, while Read runs. It
// must be set before the first Read.
func (s *Stream) OnSignal(handle func(signal []byte)) { s.onSignal = handle }

// Signal sends the other node a message beside the data.
func (s *Stream) Signal(signal []byte) error {
	if len(signal) > maximumPieceBytes {
		return fmt.Errorf("%w: a signal of %d bytes", ErrFrameTooLong, len(signal))
	}
	return s.writeFrame(signalFrame, signal)
}

// Write implements net.Conn.
func (s *Stream) Write(data []byte) (int, error) {
	written := 0
	for written < len(data) {
		piece := data[written:min(len(data), written+maximumPieceBytes)]
		if err := s.writeFrame(dataFrame, piece); err != nil {
			return written, err
		}
		written += len(piece)
	}
	return written, nil
}

// CloseWrite ends this node's data.
func (s *Stream) CloseWrite() error { return s.writeFrame(endFrame, nil) }

// AbortWrite ends this node's data so that it does not look complete: the other node reads all that was written before,
// and then an error.
func (s *Stream) AbortWrite() error {
	if one, canCloseWrite := s.connection.(closeWriter); canCloseWrite {
		return one.CloseWrite()
	}
	return s.connection.Close()
}

func (s *Stream) writeFrame(kind frameKind, data []byte) error {
	s.writing.Lock()
	defer s.writing.Unlock()
	s.frame = binary.BigEndian.AppendUint32(s.frame[:0], uint32(1+len(data)+frameMACBytes))
	s.frame = append(append(s.frame, byte(kind)), data...)
	s.frame = append(s.frame, s.outgoing.authenticationCode(s.frame[lengthBytes:])...)
	_, err := s.connection.Write(s.frame)
	return err
}

// Read implements net.Conn.
func (s *Stream) Read(into []byte) (int, error) {
	for len(s.unread) == 0 {
		if s.hasEnded {
			return 0, io.EOF
		}
		kind, data, err := s.readFrame()
		switch {
		case err != nil:
			return 0, err
		case kind == dataFrame:
			s.unread = data
		case kind == endFrame:
			s.hasEnded = true
		case kind == signalFrame:
			s.onSignal(data)
		default:
			return 0, fmt.Errorf("%w: kind %d", ErrStreamFrame, kind)
		}
	}
	read := copy(into, s.unread)
	s.unread = s.unread[read:]
	return read, nil
}

// readFrame reads a frame. Its data is valid until the next call. The frame is consumed only once
// all of it has arrived, so that a Read that times out can be repeated.
func (s *Stream) readFrame() (frameKind, []byte, error) {
	header, err := s.reader.Peek(lengthBytes)
	if err != nil {
		return 0, nil, unexpectedEnd(err)
	}
	length := int(binary.BigEndian.Uint32(header))
	if length < 1+frameMACBytes || length > 1+maximumPieceBytes+frameMACBytes {
		return 0, nil, fmt.Errorf("%w: %d bytes", ErrStreamFrame, length)
	}
	frame, err := s.reader.Peek(lengthBytes + length)
	if err != nil {
		return 0, nil, unexpectedEnd(err)
	}
	payload, code := frame[lengthBytes:lengthBytes+length-frameMACBytes], frame[lengthBytes+length-frameMACBytes:]
	if !hmac.Equal(code, s.incoming.authenticationCode(payload)) {
		return 0, nil, ErrFrameNotAuthentic
	}
	// The bytes stay in the reader's buffer until its next use.
	_, err = s.reader.Discard(lengthBytes + length)
	return frameKind(payload[0]), payload[1:], err
}

func unexpectedEnd(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// Close implements net.Conn. The other node's Read then returns an error, unless CloseWrite was
// called before.
func (s *Stream) Close() error { return s.connection.Close() }

// LocalAddr implements net.Conn.
func (s *Stream) LocalAddr() net.Addr { return s.connection.LocalAddr() }

// RemoteAddr implements net.Conn: the address of the other node.
func (s *Stream) RemoteAddr() net.Addr { return s.connection.RemoteAddr() }

// SetDeadline implements net.Conn.
func (s *Stream) SetDeadline(deadline time.Time) error { return s.connection.SetDeadline(deadline) }

// SetReadDeadline implements net.Conn.
func (s *Stream) SetReadDeadline(deadline time.Time) error {
	return s.connection.SetReadDeadline(deadline)
}

// SetWriteDeadline implements net.Conn.
func (s *Stream) SetWriteDeadline(deadline time.Time) error {
	return s.connection.SetWriteDeadline(deadline)
}

// NetConn returns the connection that carries the stream.
func (s *Stream) NetConn() net.Conn { return s.connection }

// OpenStream opens a stream to a peer with a request, and returns it with the peer's response to the
// request. The context bounds the opening only.
func (m *Mesh) OpenStream(ctx context.Context, to string, request []byte) (*Stream, []byte, error) {
	connection, err := m.options.Dial(ctx, m.addressOf(to))
	if err != nil {
		return nil, nil, err
	}
	detectLoss(connection)
	connection = m.options.StreamMeter.Wrap(connection)
	if m.options.TLS != nil {
		settings := m.options.TLS.Clone()
		settings.ServerName = to
		connection = tls.Client(connection, settings)
	}
	if !m.trackRunning(connection) {
		return nil, nil, net.ErrClosed
	}
	closeIfDone := context.AfterFunc(ctx, func() { _ = connection.Close() })
	stream, response, err := m.requestStream(connection, to, request)
	if !closeIfDone() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		m.untrack(connection)
		return nil, nil, err
	}
	return stream, response, nil
}

// requestStream performs the handshake and sends the request.
func (m *Mesh) requestStream(connection net.Conn, to string, request []byte) (*Stream, []byte, error) {
	keys, err := dialHandshake(connection, m.options.Key, m.options.Self, to, forStream)
	if err != nil {
		return nil, nil, err
	}
	stream := newStream(untrackedOnClose{connection, m}, keys.incoming, keys.outgoing)
	if err := stream.writeFrame(dataFrame, request); err != nil {
		return nil, nil, err
	}
	_, response, err := stream.readFrame()
	return stream, append([]byte(nil), response...), err
}

// serveStream handles a stream that a peer has opened.
func (m *Mesh) serveStream(connection net.Conn, from string, keys handshakeKeys) error {
	if m.options.HandleStream == nil {
		return ErrNoStreams
	}
	detectLoss(connection)
	stream := newStream(m.options.StreamMeter.Wrap(connection), keys.incoming, keys.outgoing)
	_, request, err := stream.readFrame()
	if err != nil {
		return err
	}
	_ = connection.SetDeadline(time.Time{})
	m.options.HandleStream(from, append([]byte(nil), request...), stream)
	return nil
}

// Respond sends the response to the request with which the other node has opened the stream.
func (s *Stream) Respond(response []byte) error { return s.writeFrame(dataFrame, response) }

// addressOf returns the address of a peer.
func (m *Mesh) addressOf(name string) string {
	if m.options.OpenMembership {
		return name
	}
	return m.options.Peers[name]
}

// trackRunning tracks a connection until it is closed; false means that the mesh does not run.
func (m *Mesh) trackRunning(connection net.Conn) bool {
	m.mutex.Lock()
	ctx := m.runContext
	m.mutex.Unlock()
	if ctx == nil {
		_ = connection.Close()
		return false
	}
	return m.track(ctx, connection)
}

// untrackedOnClose is a tracked connection that its user closes.
type untrackedOnClose struct {
	net.Conn
	mesh *Mesh
}

// Close implements net.Conn.
func (c untrackedOnClose) Close() error {
	c.mesh.untrack(c.Conn)
	return nil
}

// SyscallConn implements syscall.Conn.
func (c untrackedOnClose) SyscallConn() (syscall.RawConn, error) {
	if system, isSystem := c.Conn.(syscall.Conn); isSystem {
		return system.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}

// detectLoss makes a TCP connection fail soon after the other machine has become unreachable, also
// while this node only receives. It has no effect on other connections.
func detectLoss(connection net.Conn) {
	tcp, isTCP := connection.(*net.TCPConn)
	if !isTCP {
		return
	}
	_ = tcp.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: streamProbeIdle, Interval: streamProbeInterval, Count: streamProbeCount})
	if raw, err := tcp.SyscallConn(); err == nil {
		_ = SetUserTimeout(streamUserTimeout)("", "", raw)
	}
}
