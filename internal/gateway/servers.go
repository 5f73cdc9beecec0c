package gateway

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/pprof"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gorilla/mux"
	"github.com/rs/zerolog"

	"github.com/ravenway/ravenway/internal/state/document"
	"github.com/ravenway/ravenway/internal/transport"
)

const (
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 15 * time.Second
	defaultHeaderBytes   = 16 << 10
	controlHeaderTimeout = 3 * time.Second
	controlIdleTimeout   = 30 * time.Second
	readyTimeout         = 2 * time.Second
	// callerWriteTimeout is how long a caller may leave data unread. Until then its connections, to this
	// node and to the engine, are held, at a cost of some 50 KB for a stream. Callers give up a stream
	// after 2 to 7 s without an event, so holding it longer serves no caller.
	callerWriteTimeout = 8 * time.Second
)

// server serves one open listener until it is closed.
type server interface {
	close()
}

// plainServer serves one listener with fixed limits.
type plainServer struct{ http *http.Server }

func (p *plainServer) close() { _ = p.http.Close() }

func (n *Node) startServers(duties *sync.WaitGroup) []server {
	var servers []server
	plain := func(listener net.Listener, handler http.Handler, idle time.Duration) {
		if listener == nil {
			return
		}
		one := &http.Server{Handler: handler, ReadHeaderTimeout: controlHeaderTimeout, IdleTimeout: idle, MaxHeaderBytes: defaultHeaderBytes}
		servers = append(servers, &plainServer{http: one})
		duties.Go(func() {
			if err := one.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				n.log.Error().Str("event", "listener_failed").Str("address", listener.Addr().String()).Err(err).Send()
			}
		})
	}
	listeners := n.options.Listeners
	if n.pipeline != nil {
		servers = append(servers, n.callers)
		duties.Go(n.callers.run)
		plain(listeners.Ready, n.readyHandler(), readyTimeout)
	}
	if n.replica != nil {
		plain(listeners.Control, n.options.Dialect.ControlHandler(n), controlIdleTimeout)
	}
	plain(listeners.Operators, n.operatorHandler(), controlIdleTimeout)
	plain(listeners.Health, n.healthHandler(), controlIdleTimeout)
	plain(listeners.Debug, debugHandler(), controlIdleTimeout)
	return servers
}

// debugHandler serves profiles of the process.
func debugHandler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/debug/pprof/profile", pprof.Profile)
	router.HandleFunc("/debug/pprof/trace", pprof.Trace)
	router.PathPrefix("/debug/pprof/").HandlerFunc(pprof.Index)
	return router
}

// healthHandler serves /healthz and /metrics.
func (n *Node) healthHandler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/healthz", func(writer http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintln(writer, "ok")
	})
	router.HandleFunc("/metrics", func(writer http.ResponseWriter, _ *http.Request) {
		metrics.WriteGaugeUint64(writer, "ravenway_document_version", n.documents.version())
		metrics.WriteGaugeUint64(writer, "ravenway_instances", uint64(n.fleet.instanceCount.Load()))
		if n.pipeline != nil {
			metrics.WriteGaugeUint64(writer, "ravenway_requests_active", uint64(n.pipeline.Active()))
			n.meters.updateMetrics()
		}
		metrics.WritePrometheus(writer, true)
	})
	return router
}

// callerServer serves callers with the limits of the document in effect. An http.Server's limits
// can't change while it serves, so each change starts another server for the connections accepted
// after it.
type callerServer struct {
	listener net.Listener
	handler  http.Handler
	// meter counts the bytes of the connections.
	meter     *transport.Meter
	admission callerAdmission
	// open is the number of open connections.
	open atomic.Int64
	// acceptFailedAt is when a failure to accept a connection was last logged.
	acceptFailedAt time.Time

	mutex   sync.Mutex
	limits  document.Limits
	current *limitedServer
	servers []*limitedServer
	closed  bool
}

// callerAdmission decides which of callers' new connections are served; the others are closed unread.
type callerAdmission struct {
	// accepts reports whether a new connection is served.
	accepts func() bool
	// maximumConnections is the maximum number of open connections; 0 means no limit. A process without file
	// descriptors could neither accept connections nor reach engines for those that it has.
	maximumConnections int64
	log                zerolog.Logger
}

// acceptFailureInterval is the minimum time between log lines of connections that could not be accepted.
const acceptFailureInterval = time.Second

// limitedServer is an http.Server that receives its connections through a channel.
type limitedServer struct {
	http        *http.Server
	connections chan net.Conn
	closed      chan struct{}
	once        sync.Once
	address     net.Addr
}

func newCallerServer(listener net.Listener, handler http.Handler, meter *transport.Meter, admission callerAdmission) *callerServer {
	callers := &callerServer{listener: listener, handler: handler, meter: meter, admission: admission}
	callers.startServer(document.Limits{})
	return callers
}

// applyLimits applies the limits of a document that has come into effect.
func (c *callerServer) applyLimits(index *document.Index) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if index.Document.Limits != c.limits && !c.closed {
		c.startServer(index.Document.Limits)
	}
}

func (c *callerServer) startServer(limits document.Limits) {
	c.limits = limits
	started := &limitedServer{
		http: &http.Server{
			Handler: c.handler, ReadHeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout,
			MaxHeaderBytes: defaultHeaderBytes, DisableGeneralOptionsHandler: true, ConnState: c.connectionChanged,
		},
		connections: make(chan net.Conn), closed: make(chan struct{}), address: c.listener.Addr(),
	}
	if limits.HeaderTimeout > 0 {
		started.http.ReadHeaderTimeout = limits.HeaderTimeout
	}
	if limits.IdleTimeout > 0 {
		started.http.IdleTimeout = limits.IdleTimeout
	}
	if limits.MaximumHeaderBytes > 0 {
		started.http.MaxHeaderBytes = limits.MaximumHeaderBytes
	}
	c.current = started
	c.servers = append(c.servers, started)
	go func() { _ = started.http.Serve(started) }()
}

// run accepts connections and passes them to the server with the current limits.
func (c *callerServer) run() {
	for {
		connection, err := c.listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			c.logAcceptFailure(err)
			time.Sleep(time.Millisecond)
			continue
		}
		if !c.admits() {
			_ = connection.Close()
			continue
		}
		c.mutex.Lock()
		current := c.current
		c.mutex.Unlock()
		c.open.Add(1)
		select {
		case current.connections <- c.meter.Wrap(transport.WithWriteTimeout(connection, unreadTimeout)):
		case <-current.closed:
			c.open.Add(-1)
			_ = connection.Close()
		}
	}
}

// unreadTimeout is the write timeout of callers' connections.
func unreadTimeout() time.Duration { return callerWriteTimeout }

// admits reports whether a new connection is served.
func (c *callerServer) admits() bool {
	if maximum := c.admission.maximumConnections; maximum > 0 && c.open.Load() >= maximum {
		connectionsRefused.Inc()
		return false
	}
	return c.admission.accepts()
}

// connectionChanged implements http.Server's ConnState.
func (c *callerServer) connectionChanged(_ net.Conn, state http.ConnState) {
	if state == http.StateClosed || state == http.StateHijacked {
		c.open.Add(-1)
	}
}

func (c *callerServer) logAcceptFailure(err error) {
	if time.Since(c.acceptFailedAt) < acceptFailureInterval {
		return
	}
	c.acceptFailedAt = time.Now()
	c.admission.log.Error().Str("event", "accept_failed").Int64("open", c.open.Load()).Err(err).Send()
}

// shutdown stops accepting connections, closes idle ones, and waits for the requests in flight.
func (c *callerServer) shutdown(ctx context.Context) {
	c.mutex.Lock()
	c.closed = true
	all := c.servers
	c.mutex.Unlock()
	_ = c.listener.Close()
	for _, one := range all {
		_ = one.http.Shutdown(ctx)
	}
}

func (c *callerServer) close() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.closed = true
	_ = c.listener.Close()
	for _, one := range c.servers {
		_ = one.http.Close()
	}
}

// Accept implements net.Listener.
func (l *limitedServer) Accept() (net.Conn, error) {
	select {
	case connection := <-l.connections:
		return connection, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *limitedServer) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *limitedServer) Addr() net.Addr { return l.address }
