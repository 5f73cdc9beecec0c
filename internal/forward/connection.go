package forward

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/ravenway/ravenway/internal/coordination/registry"
	"github.com/ravenway/ravenway/internal/transport"
)

const (
	// DialTimeout bounds the opening of a connection: engines accept within milliseconds, and a
	// machine that is gone does not respond at all. Where this node's own link is congested, the
	// response is delayed as much as all other incoming traffic, so that delay is added, up to
	// maximumDialTimeout in all.
	DialTimeout        = 250 * time.Millisecond
	maximumDialTimeout = 1500 * time.Millisecond
	// engineUserTimeout closes connections whose data is not acknowledged.
	engineUserTimeout = 2 * time.Second
	// Keep-alive probes close a connection without incoming data within about two seconds.
	probeIdle     = time.Second
	probeInterval = 400 * time.Millisecond
	probeCount    = 3
	// defaultIdle is how long an idle connection is kept if the engine names no time.
	defaultIdle = 4 * time.Second
	// idleShare is the share of the engine's own idle timeout for which a connection is kept.
	idleShare       = 0.6
	readBufferBytes = 4 << 10
	// maximumIdle bounds the idle connections to one engine.
	maximumIdle = 16
)

var (
	connectionsOpened = metrics.GetOrCreateCounter("ravenway_engine_connections_opened_total")
	connectionsReused = metrics.GetOrCreateCounter("ravenway_engine_connections_reused_total")
	// connectionsRelayed counts connections that were opened through relays.
	connectionsRelayed = metrics.GetOrCreateCounter("ravenway_engine_connections_relayed_total")
)

// connection is one HTTP/1.1 connection to an engine. It serves one request at a time.
type connection struct {
	network transport.EndConfirmer
	reader  *bufio.Reader
	// source is what reader reads from.
	source *boundedSource
	// previousID is the id of the previous request on the connection.
	previousID string
	// keepUntil is when the engine may close the idle connection.
	keepUntil time.Time
	// lastRead is when bytes were last received, as time.Time's UnixNano.
	lastRead atomic.Int64
	// relayed is the connection through a relay, nil for a direct one. It serves one request, so
	// that the relay decides about each one.
	relayed RelayedConnection
}

// newConnection wraps a network connection to an engine.
func newConnection(network transport.EndConfirmer) *connection {
	opened := &connection{network: network}
	opened.source = &boundedSource{network: network, last: &opened.lastRead}
	opened.reader = bufio.NewReaderSize(opened.source, readBufferBytes)
	return opened
}

// boundedSource reads from a connection. It records when bytes are received, and bounds those of the heads of
// a response.
type boundedSource struct {
	network net.Conn
	last    *atomic.Int64
	// headLeft is how many more bytes may be read while isHead is set.
	headLeft int
	isHead   bool
}

// Read implements io.Reader.
func (s *boundedSource) Read(into []byte) (int, error) {
	if s.isHead && s.headLeft <= 0 {
		return 0, errHeadTooLong
	}
	if s.isHead {
		into = into[:min(len(into), s.headLeft)]
	}
	read, err := s.network.Read(into)
	if read > 0 {
		s.last.Store(time.Now().UnixNano())
	}
	s.headLeft -= read
	return read, err
}

// beginHead bounds the bytes that are read from now on, until endHead.
func (s *boundedSource) beginHead() { s.isHead, s.headLeft = true, maximumHeadBytes }

func (s *boundedSource) endHead() { s.isHead = false }

func (c *connection) close() { _ = c.network.Close() }

// isQuiet reports whether an idle connection is open and has no unread bytes. Unread bytes are a
// surplus response, which belongs to no request.
func (c *connection) isQuiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, isSystem := transport.RawConnection(c.network)
	if !isSystem {
		return true
	}
	quiet := false
	err := raw.Read(func(descriptor uintptr) bool {
		var probe [1]byte
		_, _, failure := syscall.Recvfrom(int(descriptor), probe[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(failure, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// pool keeps idle connections to engines by address.
type pool struct {
	dial func(ctx context.Context, address string) (net.Conn, error)
	// linkDelay returns how long incoming traffic is queued before this node's link.
	linkDelay func() time.Duration
	// paths decides how connections are opened.
	paths EnginePaths
	// meter counts the bytes of the connections.
	meter *transport.Meter

	mutex sync.Mutex
	idle  map[string][]*connection
	// active are the exchanges in flight with each incarnation of an engine.
	active map[registry.Incarnation]map[*exchange]struct{}
}

func newPool(dial func(ctx context.Context, address string) (net.Conn, error), linkDelay func() time.Duration, paths EnginePaths) *pool {
	if dial == nil {
		dialer := &net.Dialer{
			Control:         transport.SetUserTimeout(engineUserTimeout),
			KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount},
		}
		dial = func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		}
	}
	return &pool{dial: dial, linkDelay: linkDelay, paths: paths, meter: &transport.Meter{}, idle: map[string][]*connection{}, active: map[registry.Incarnation]map[*exchange]struct{}{}}
}

// get returns an idle connection or opens one.
func (p *pool) get(ctx context.Context, address string, incarnation registry.Incarnation) (*connection, error) {
	for {
		kept := p.takeIdle(address)
		if kept == nil {
			break
		}
		if time.Now().Before(kept.keepUntil) && !p.paths.IsDoubtful(address) && kept.isQuiet() {
			connectionsReused.Inc()
			return kept, nil
		}
		kept.close()
	}
	return p.open(ctx, address, incarnation)
}

// staysQuiet reports whether a connection without a request stays open and receives nothing for the
// given time.
func (c *connection) staysQuiet(lasting time.Duration) bool {
	_ = c.network.SetReadDeadline(time.Now().Add(lasting))
	_, err := c.reader.Peek(1)
	return errors.Is(err, os.ErrDeadlineExceeded)
}

// takeIdle removes and returns the most recently used idle connection, or nil.
func (p *pool) takeIdle(address string) *connection {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	kept := p.idle[address]
	if len(kept) == 0 {
		return nil
	}
	last := kept[len(kept)-1]
	p.idle[address] = kept[:len(kept)-1]
	return last
}

// put keeps a connection whose response was read completely.
func (p *pool) put(address string, done *connection, header http.Header) {
	keep := keepTime(header)
	if keep <= 0 || done.reader.Buffered() > 0 || done.relayed != nil {
		done.close()
		return
	}
	_ = done.network.SetDeadline(time.Time{})
	done.keepUntil = time.Now().Add(keep)
	p.keep(address, done)
}

// putUnused keeps a connection over which nothing was sent.
func (p *pool) putUnused(address string, unused *connection) {
	if unused.relayed != nil {
		unused.close()
		return
	}
	if unused.keepUntil.IsZero() {
		unused.keepUntil = time.Now().Add(defaultIdle)
	}
	p.keep(address, unused)
}

// keep adds an idle connection, or closes it if there are maximumIdle to its engine already.
func (p *pool) keep(address string, idle *connection) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if len(p.idle[address]) >= maximumIdle {
		idle.close()
		return
	}
	p.idle[address] = append(p.idle[address], idle)
}

// prune closes idle connections that have expired, and those on which bytes arrive that belong to no request: an
// engine that sends them without end would fill the socket's buffer.
func (p *pool) prune(now time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for address, kept := range p.idle {
		fresh := kept[:0]
		for _, unused := range kept {
			if now.Before(unused.keepUntil) && unused.isQuiet() {
				fresh = append(fresh, unused)
				continue
			}
			unused.close()
		}
		p.idle[address] = fresh
		if len(fresh) == 0 {
			delete(p.idle, address)
		}
	}
}

// keepTime returns how long an engine's connection may be kept idle; 0 means not at all.
func keepTime(header http.Header) time.Duration {
	if headerHasToken(header["Connection"], "close") {
		return 0
	}
	for _, field := range header["Keep-Alive"] {
		for parameter := range strings.SplitSeq(field, ",") {
			name, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
			if !strings.EqualFold(name, "timeout") {
				continue
			}
			if seconds, err := strconv.Atoi(value); err == nil {
				return time.Duration(float64(seconds) * idleShare * float64(time.Second))
			}
		}
	}
	return defaultIdle
}

func headerHasToken(values []string, token string) bool {
	for _, value := range values {
		for part := range strings.SplitSeq(value, ",") {
			if strings.EqualFold(strings.TrimSpace(part), token) {
				return true
			}
		}
	}
	return false
}
