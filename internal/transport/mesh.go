// Package transport carries frames between ravenway's own processes. It uses TCP
// connections, length-prefixed frames, and authentication by a shared key, inside
// mutual TLS if the settings name certificates.
//
// Each node dials the peers that it sends to; a connection carries frames in one
// direction only. Frames that can't be sent in time are dropped: the protocols above
// treat the network as lossy.
package transport

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/ravenway/ravenway/internal/pause"
	"github.com/ravenway/ravenway/internal/ring"
)

const (
	// outgoingCapacity bounds the frames queued for one peer; a full queue drops the oldest.
	outgoingCapacity = 4096
	// A saturated link takes over a second in each direction, and a new connection needs
	// three passes over it: one to be opened and two for the handshake.
	handshakeTimeout = 4 * time.Second
	dialTimeout      = 2500 * time.Millisecond
	// initialAttemptDelay is the delay before the second concurrent attempt to connect; it doubles
	// with each attempt. While a machine is off or partitioned, the packet that opens a
	// connection is lost, and is sent again only after a second. After a power loss of all
	// machines, a delay of 700 ms left nodes without connections for 0.9 s after their start.
	initialAttemptDelay = 150 * time.Millisecond
	writeTimeout        = 2 * time.Second
	userTimeout         = 1500 * time.Millisecond
	minimumBackoff      = 50 * time.Millisecond
	maximumBackoff      = 300 * time.Millisecond
	// The buffers are small, since a node has a connection to each of hundreds of others.
	// Frames larger than a buffer bypass it.
	writeBufferBytes = 8 << 10
	readBufferBytes  = 4 << 10
	// maximumFrameAge is the maximum time that a frame waits for its connection. Without
	// it, all nodes would send each other the whole backlog after a partition.
	maximumFrameAge = time.Second
	// maximumUnauthenticated bounds the number of incoming connections in their handshake.
	maximumUnauthenticated = 256
)

// Options configures a Mesh.
type Options struct {
	// Self is this node's name.
	Self string
	// Peers holds the addresses (host:port) of the other nodes by name.
	Peers map[string]string
	// OpenMembership makes a node's address its name: any node that holds the key may
	// connect, and links are created when they are first used.
	OpenMembership bool
	// Key is the shared peer key.
	Key []byte
	// TLS is the configuration of mutual TLS; nil means plain TCP.
	TLS *tls.Config
	// Listener accepts the connections of peers. Run closes it.
	Listener net.Listener
	// Dial opens a connection; nil means TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Handle is called with each authenticated frame. It must not block for long, since it
	// runs on the connection's reading goroutine.
	Handle func(from string, frame []byte)
	// HandleStream is called with each stream that a peer opens and the peer's request; nil means
	// that none is accepted. It sends the response, and the stream is closed when it returns.
	HandleStream func(from string, request []byte, stream *Stream)
	// StreamMeter counts the bytes of streams; nil means that they are not counted.
	StreamMeter *Meter
	// Dropped is called with each frame that is dropped because it waited too long for
	// its connection; nil means no call. It must not block.
	Dropped func(to string, frame []byte, waited time.Duration)
	Logger  zerolog.Logger
}

// Mesh holds all connections of a node to and from its peers.
type Mesh struct {
	options            Options
	refusedConnections *metrics.Counter
	receivedFrames     *metrics.Counter

	mutex sync.Mutex
	// links are the links to peers by name, connections the open connections in both directions.
	links       map[string]*outgoingLink
	connections map[net.Conn]struct{}
	// incoming is the newest incoming connection for frames of each peer.
	incoming map[string]*incomingConnection
	// handshakeSlots holds one element for each incoming connection in its handshake.
	handshakeSlots chan struct{}
	// runContext is the context of Run, nil before Run.
	runContext context.Context
	goroutines sync.WaitGroup
}

// outgoingLink is the queue of frames for one peer, which is sent over one connection at a time.
type outgoingLink struct {
	name    string
	address string
	frames  *ring.Growing[outgoingFrame]
	// ended is closed to end the link.
	ended chan struct{}
}

// outgoingFrame is a frame with the time at which it was queued.
type outgoingFrame struct {
	payload []byte
	queued  time.Time
}

// waited returns the time that the frame has been queued.
func (f outgoingFrame) waited() time.Duration { return time.Since(f.queued) }

func newLink(name, address string) *outgoingLink {
	return &outgoingLink{
		name: name, address: address, ended: make(chan struct{}),
		frames: ring.NewGrowing[outgoingFrame]("peer_outgoing", outgoingCapacity),
	}
}

// NewMesh returns a mesh, which Run starts.
func NewMesh(options Options) *Mesh {
	if options.Dial == nil {
		dialer := &net.Dialer{Control: SetUserTimeout(userTimeout)}
		options.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		}
	}
	if options.StreamMeter == nil {
		options.StreamMeter = &Meter{}
	}
	if options.Dropped == nil {
		options.Dropped = func(string, []byte, time.Duration) {}
	}
	mesh := &Mesh{
		options:            options,
		links:              map[string]*outgoingLink{},
		connections:        map[net.Conn]struct{}{},
		incoming:           map[string]*incomingConnection{},
		handshakeSlots:     make(chan struct{}, maximumUnauthenticated),
		refusedConnections: metrics.GetOrCreateCounter("ravenway_peer_connections_refused_total"),
		receivedFrames:     metrics.GetOrCreateCounter("ravenway_peer_frames_received_total"),
	}
	for name, address := range options.Peers {
		if name != options.Self {
			mesh.links[name] = newLink(name, address)
		}
	}
	return mesh
}

// Send queues a frame for a peer. A full queue drops its oldest frame.
func (m *Mesh) Send(to string, frame []byte) {
	if link := m.link(to); link != nil {
		link.frames.Displace(outgoingFrame{payload: frame, queued: time.Now()})
	}
}

// link returns the link to a peer and creates it if membership is open; nil means that there is
// none.
func (m *Mesh) link(to string) *outgoingLink {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	link := m.links[to]
	if link != nil || !m.options.OpenMembership || to == m.options.Self || to == "" {
		return link
	}
	link = newLink(to, to)
	m.links[to] = link
	if m.runContext != nil && m.runContext.Err() == nil {
		m.goroutines.Go(func() { m.runLink(m.runContext, link) })
	}
	return link
}

// RemoveLink ends the link to a peer that is gone and drops its queued frames. It has an effect only
// with open membership.
func (m *Mesh) RemoveLink(name string) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if link := m.links[name]; link != nil && m.options.OpenMembership {
		delete(m.links, name)
		close(link.ended)
	}
}

// Run sends and receives frames until the context ends.
func (m *Mesh) Run(ctx context.Context) {
	m.mutex.Lock()
	m.runContext = ctx
	for _, link := range m.links {
		m.goroutines.Go(func() { m.runLink(ctx, link) })
	}
	m.mutex.Unlock()
	m.goroutines.Go(func() { m.accept(ctx) })
	<-ctx.Done()
	_ = m.options.Listener.Close()
	m.closeConnections()
	m.goroutines.Wait()
}

func (m *Mesh) accept(ctx context.Context) {
	for {
		connection, err := m.options.Listener.Accept()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		select {
		case m.handshakeSlots <- struct{}{}:
		default:
			m.refusedConnections.Inc()
			_ = connection.Close()
			continue
		}
		m.goroutines.Go(func() { m.serve(ctx, connection) })
	}
}

// serve authenticates an incoming connection and handles its frames.
func (m *Mesh) serve(ctx context.Context, connection net.Conn) {
	if m.options.TLS != nil {
		connection = tls.Server(connection, m.options.TLS)
	}
	if !m.track(ctx, connection) {
		<-m.handshakeSlots
		return
	}
	defer m.untrack(connection)
	_ = connection.SetDeadline(time.Now().Add(handshakeTimeout))
	from, keys, err := acceptHandshake(connection, m.options.Key, m.options.Self, m.isKnown)
	<-m.handshakeSlots
	if err == nil && keys.isStream {
		err = m.serveStream(connection, from, keys)
		if err == nil {
			return
		}
	}
	if err != nil {
		m.reportRefusal(connection, err)
		return
	}
	_ = connection.SetDeadline(time.Time{})
	current := m.replaceIncoming(from, connection)
	defer m.removeIncoming(from, current)
	reader := bufio.NewReaderSize(connection, readBufferBytes)
	for {
		frame, err := keys.incoming.read(reader)
		if current.isReplaced.Load() {
			return
		}
		if err != nil {
			if !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) {
				m.reportRefusal(connection, err)
			}
			return
		}
		m.receivedFrames.Inc()
		m.options.Handle(from, frame)
	}
}

// incomingConnection is a connection on which a peer sends frames.
type incomingConnection struct {
	net.Conn
	isReplaced atomic.Bool
}

// replaceIncoming records the newest connection of a peer and closes the one before. What a network partition
// holds back of a process that has ended must not arrive after the messages of its successor.
func (m *Mesh) replaceIncoming(from string, connection net.Conn) *incomingConnection {
	current := &incomingConnection{Conn: connection}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if earlier := m.incoming[from]; earlier != nil {
		earlier.isReplaced.Store(true)
		_ = earlier.Close()
	}
	m.incoming[from] = current
	return current
}

// removeIncoming forgets a connection that has ended.
func (m *Mesh) removeIncoming(from string, ended *incomingConnection) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.incoming[from] == ended {
		delete(m.incoming, from)
	}
}

func (m *Mesh) isKnown(name string) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	_, found := m.links[name]
	return found || m.options.OpenMembership
}

func (m *Mesh) reportRefusal(connection net.Conn, err error) {
	m.refusedConnections.Inc()
	m.options.Logger.Warn().Str("event", "peer_connection_refused").
		Str("remote", connection.RemoteAddr().String()).Err(err).Send()
}

// runLink connects to one peer when there are frames to send, and reconnects after errors with a
// growing delay.
func (m *Mesh) runLink(ctx context.Context, link *outgoingLink) {
	backoff := minimumBackoff
	for {
		first, found := m.awaitFrame(ctx, link)
		if !found {
			return
		}
		err := m.sendFrames(ctx, link, first)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			backoff = minimumBackoff
			continue
		}
		if errors.Is(err, errConnectionLost) {
			backoff = minimumBackoff
		}
		m.options.Logger.Debug().Str("event", "peer_link_down").Str("peer", link.name).Err(err).Send()
		if !pause.For(ctx, backoff+rand.N(backoff)) {
			return
		}
		backoff = min(2*backoff, maximumBackoff)
	}
}

// awaitFrame waits for the next frame for a peer; false means that the link has ended.
func (m *Mesh) awaitFrame(ctx context.Context, link *outgoingLink) (outgoingFrame, bool) {
	for {
		select {
		case <-link.ended:
			return outgoingFrame{}, false
		default:
		}
		if frame, found := link.frames.Take(); found {
			return frame, true
		}
		select {
		case <-ctx.Done():
			return outgoingFrame{}, false
		case <-link.ended:
			return outgoingFrame{}, false
		case <-link.frames.Ready():
		}
	}
}

// errConnectionLost marks errors that occurred after a successful handshake.
var errConnectionLost = errors.New("transport: connection lost")

// sendFrames opens a connection and writes frames until the connection fails or the link ends.
func (m *Mesh) sendFrames(ctx context.Context, link *outgoingLink, frame outgoingFrame) error {
	connection, err := m.dial(ctx, link.address)
	if err != nil {
		return err
	}
	if m.options.TLS != nil {
		settings := m.options.TLS.Clone()
		settings.ServerName = link.name
		connection = tls.Client(connection, settings)
	}
	if !m.track(ctx, connection) {
		return ctx.Err()
	}
	defer m.untrack(connection)
	_ = connection.SetDeadline(time.Now().Add(handshakeTimeout))
	keys, err := dialHandshake(connection, m.options.Key, m.options.Self, link.name, forFrames)
	if err != nil {
		return err
	}
	_ = connection.SetDeadline(time.Time{})
	closed := make(chan struct{})
	go watchClose(connection, closed)
	writer := bufio.NewWriterSize(connection, writeBufferBytes)
	for found := true; ; frame, found = link.frames.Take() {
		if found {
			if err := m.writeBatch(connection, writer, keys.outgoing, link, frame); err != nil {
				return fmt.Errorf("%w: %w", errConnectionLost, err)
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-link.ended:
			return nil
		case <-closed:
			return errConnectionLost
		case <-link.frames.Ready():
		}
	}
}

func (m *Mesh) dial(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	return dialStaggered(ctx, initialAttemptDelay, func(ctx context.Context) (net.Conn, error) { return m.options.Dial(ctx, address) })
}

// watchClose closes a channel once the other side has closed a one-way connection, so that
// the next frame is not written to it and lost.
func watchClose(connection net.Conn, closed chan<- struct{}) {
	_, _ = connection.Read(make([]byte, 1))
	close(closed)
}

// writeBatch writes a frame and all queued ones with one flush. It drops frames that waited longer
// than maximumFrameAge.
func (m *Mesh) writeBatch(connection net.Conn, writer *bufio.Writer, authenticator *frameAuthenticator, link *outgoingLink, frame outgoingFrame) error {
	_ = connection.SetWriteDeadline(time.Now().Add(writeTimeout))
	for found := true; found; frame, found = link.frames.Take() {
		if waited := frame.waited(); waited > maximumFrameAge {
			m.options.Dropped(link.name, frame.payload, waited)
		} else if err := authenticator.write(writer, frame.payload); err != nil {
			return err
		}
	}
	return writer.Flush()
}

func (m *Mesh) track(ctx context.Context, connection net.Conn) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if ctx.Err() != nil {
		_ = connection.Close()
		return false
	}
	m.connections[connection] = struct{}{}
	return true
}

func (m *Mesh) untrack(connection net.Conn) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	delete(m.connections, connection)
	_ = connection.Close()
}

func (m *Mesh) closeConnections() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for connection := range m.connections {
		_ = connection.Close()
	}
}
