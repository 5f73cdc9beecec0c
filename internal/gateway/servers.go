package gateway

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/pprof"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gorilla/mux"

	"github.com/ravenway/ravenway/internal/state/document"
)

const (
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 15 * time.Second
	defaultHeaderBytes   = 16 << 10
	controlHeaderTimeout = 3 * time.Second
	controlIdleTimeout   = 30 * time.Second
	readyTimeout         = 2 * time.Second
)

// server is one open listener with what serves it.
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
		one := &http.Server{Handler: handler, ReadHeaderTimeout: controlHeaderTimeout, IdleTimeout: idle}
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
		plain(listeners.Ready, n.options.Dialect.ReadyHandler(n.ready), readyTimeout)
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
		metrics.WriteGaugeUint64(writer, "ravenway_instances", uint64(n.fleet.instances.Load()))
		if n.pipeline != nil {
			metrics.WriteGaugeUint64(writer, "ravenway_requests_active", uint64(n.pipeline.Active()))
		}
		metrics.WritePrometheus(writer, true)
	})
	return router
}

// callerServer serves callers under the limits of the document in force. An
// http.Server's limits can't change while it serves, so each change of them
// begins another one for the connections that come after it.
type callerServer struct {
	listener net.Listener
	handler  http.Handler

	mutex   sync.Mutex
	limits  document.Limits
	current *limitedServer
	all     []*limitedServer
	closed  bool
}

// limitedServer is an http.Server that is handed its connections.
type limitedServer struct {
	http        *http.Server
	connections chan net.Conn
	closed      chan struct{}
	once        sync.Once
	address     net.Addr
}

func newCallerServer(listener net.Listener, handler http.Handler) *callerServer {
	callers := &callerServer{listener: listener, handler: handler}
	callers.begin(document.Limits{})
	return callers
}

// adopt takes the limits of a new document in force.
func (c *callerServer) adopt(index *document.Index) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if index.Document.Limits != c.limits && !c.closed {
		c.begin(index.Document.Limits)
	}
}

func (c *callerServer) begin(limits document.Limits) {
	c.limits = limits
	begun := &limitedServer{
		http: &http.Server{
			Handler: c.handler, ReadHeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout,
			MaxHeaderBytes: defaultHeaderBytes, DisableGeneralOptionsHandler: true,
		},
		connections: make(chan net.Conn), closed: make(chan struct{}), address: c.listener.Addr(),
	}
	if limits.HeaderTimeout > 0 {
		begun.http.ReadHeaderTimeout = limits.HeaderTimeout
	}
	if limits.IdleTimeout > 0 {
		begun.http.IdleTimeout = limits.IdleTimeout
	}
	if limits.MaximumHeaderBytes > 0 {
		begun.http.MaxHeaderBytes = limits.MaximumHeaderBytes
	}
	c.current = begun
	c.all = append(c.all, begun)
	go func() { _ = begun.http.Serve(begun) }()
}

// run hands new connections to the server under the limits in force.
func (c *callerServer) run() {
	for {
		connection, err := c.listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(time.Millisecond)
			continue
		}
		c.mutex.Lock()
		current := c.current
		c.mutex.Unlock()
		select {
		case current.connections <- connection:
		case <-current.closed:
			_ = connection.Close()
		}
	}
}

// shutdown takes no more connections, closes those at rest, and waits for the
// requests in progress.
func (c *callerServer) shutdown(ctx context.Context) {
	c.mutex.Lock()
	c.closed = true
	all := c.all
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
	for _, one := range c.all {
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
