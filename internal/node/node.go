// Package node assembles a daemon of a fleet whose nodes are all listed in the settings: its
// duties, its listeners and its links to the other daemons.
//
// A duty is a goroutine that owns one part of the state and executes the functions that arrive in
// its bounded mailbox. Each caller's request runs in its own goroutine and calls the duties. They
// own:
//   - the replica, on control nodes: a copy of the replicated log, the fleet's durable state;
//   - the catalog: a copy of the operators' configuration of tenants, budgets, services, routes and
//     back ends, and its distribution to other nodes;
//   - the escrow: the part of the prepaid token budgets that is granted to this node;
//   - the claims: this node's share of the records of which run of a request may be billed;
//   - the back ends: the choice of a back end for each request, and the queues of waiting requests.
package node

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/binary"
	"errors"
	"fmt"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/ravenway/ravenway/internal/coordination/membership"
	"github.com/ravenway/ravenway/internal/httpcheck"
	"github.com/ravenway/ravenway/internal/protocol/engine"
	"github.com/ravenway/ravenway/internal/protocol/peer"
	"github.com/ravenway/ravenway/internal/settings"
	"github.com/ravenway/ravenway/internal/state/disk"
	"github.com/ravenway/ravenway/internal/transport"
)

// Listeners holds the open listeners of a daemon. Callers may be nil in a daemon without the entry
// role.
type Listeners struct {
	Callers   net.Listener
	Operators net.Listener
	Peers     net.Listener
	Health    net.Listener
}

// Options configures a Node.
type Options struct {
	Settings      *settings.Settings
	PeerKey       []byte
	OperatorToken []byte
	// PeerTLS and OperatorTLS are the TLS configurations of the two listeners; nil means plain TCP.
	PeerTLS     *tls.Config
	OperatorTLS *tls.Config
	Listeners   Listeners
	// DialPeer opens a connection to another node; nil means TCP.
	DialPeer func(ctx context.Context, address string) (net.Conn, error)
	// BackendTransport carries the requests to back ends; nil means HTTP over TCP.
	BackendTransport http.RoundTripper
	// FileSystem is the data folder. The control role requires it.
	FileSystem disk.FileSystem
	Logger     zerolog.Logger
}

// Node is one daemon of the fleet: an entry node, a control node, or both.
type Node struct {
	options  Options
	settings *settings.Settings
	name     string
	zone     string
	started  time.Time
	// incarnation identifies this run of the process: its start time in nanoseconds since 1970.
	incarnation uint64
	// acceptors selects the acceptors of claims, the nodes that store a claim and vote on its changes.
	acceptors *membership.AcceptorSet
	// peers holds the nodes of the settings by name, this one included.
	peers       map[string]settings.Peer
	log         zerolog.Logger
	engines     *engine.Client
	backendHTTP http.RoundTripper

	mesh      *transport.Mesh
	calls     *peer.Calls
	fleet     *fleetView
	catalog   *catalogDuty
	replica   *replicaDuty
	escrow    *escrowDuty
	claims    *claimsDuty
	backends  *backendsDuty
	decisions *decisionLog
	responses *responseStore

	// view is the active catalog, indexed for requests.
	view     atomic.Pointer[catalogView]
	stopping atomic.Bool
	streams  streamTracker
	// answersDue ends when requests in progress have to be answered because the node stops, which endAnswers causes.
	answersDue context.Context
	endAnswers context.CancelFunc
	// callers is the HTTP server of the callers' listener; nil without such a listener.
	callers atomic.Pointer[http.Server]
	// runContext is canceled when Run ends. Work that outlives its request runs under it.
	runContext context.Context
	cancelRun  context.CancelCauseFunc
	// background counts the settlements that run after their request has ended.
	background *background
	// failure receives the error that makes Run end.
	failure chan error
}

// New returns a node. Run serves its listeners.
func New(options Options) (*Node, error) {
	node := &Node{
		options: options, settings: options.Settings,
		name: options.Settings.Node.Name, zone: options.Settings.Node.Zone,
		started: time.Now(), incarnation: uint64(time.Now().UnixNano()),
		peers: map[string]settings.Peer{}, log: options.Logger, failure: make(chan error, 1), background: newBackground(),
	}
	node.runContext, node.cancelRun = context.WithCancelCause(context.Background())
	node.answersDue, node.endAnswers = context.WithCancel(context.Background())
	node.backendHTTP = options.BackendTransport
	if node.backendHTTP == nil {
		node.backendHTTP = newBackendTransport()
	}
	node.backendHTTP = httpcheck.NewTransport(node.backendHTTP)
	node.engines = engine.NewClient(node.backendHTTP)
	members := make([]membership.Node, 0, len(node.settings.Peers))
	addresses := map[string]string{}
	for _, peer := range node.settings.Peers {
		node.peers[peer.Name] = peer
		addresses[peer.Name] = peer.Address
		members = append(members, membership.Node{Name: peer.Name, Zone: peer.Zone})
	}
	node.acceptors = membership.NewAcceptorSet(members)
	node.mesh = transport.NewMesh(transport.Options{
		Self: node.name, Peers: addresses, Key: options.PeerKey, TLS: options.PeerTLS,
		Listener: options.Listeners.Peers, Dial: options.DialPeer, Handle: node.handleFrame, Logger: node.log,
	})
	node.calls = peer.NewCalls(node.send)
	node.fleet = newFleetView(node)
	node.decisions = newDecisionLog(node.log)
	node.responses = newResponseStore(node.settings.Limits.ResponseStoreBytes)
	node.catalog = newCatalogDuty(node)
	node.escrow = newEscrowDuty(node)
	node.claims = newClaimsDuty(node)
	node.backends = newBackendsDuty(node)
	node.view.Store(emptyView())
	if node.settings.HasRole(settings.RoleControl) {
		replica, err := newReplicaDuty(node)
		if err != nil {
			return nil, err
		}
		node.replica = replica
	}
	return node, nil
}

// newBackendTransport returns an HTTP transport that keeps enough idle connections for an engine
// under load.
func newBackendTransport() http.RoundTripper {
	return &http.Transport{
		DialContext:         dialBackend,
		MaxIdleConnsPerHost: 64,
		IdleConnTimeout:     90 * time.Second,
		DisableCompression:  true,
		// net/http reads 10 MB by default. Engines' heads take less than 2 KB.
		MaxResponseHeaderBytes: maximumHeaderBytes,
	}
}

// dialBackend opens a connection to a back end. net/http takes any end of it for that of a response without a length.
func dialBackend(ctx context.Context, network, address string) (net.Conn, error) {
	opened, err := (&net.Dialer{Timeout: backendDialTimeout}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return transport.WithConfirmedReads(opened), nil
}

// errStopped is the cancellation cause of the work that still runs when the node stops.
var errStopped = errors.New("the node has stopped")

const backendDialTimeout = time.Second

// now returns the time since the node started, which is the clock of all duties.
func (n *Node) now() time.Duration { return time.Since(n.started) }

// newRandom returns a random source for one duty, seeded from the operating system.
func newRandom() *mathrand.Rand {
	var seed [16]byte
	// crypto/rand.Read returns no error: it ends the process instead.
	_, _ = rand.Read(seed[:])
	return mathrand.New(mathrand.NewPCG(binary.BigEndian.Uint64(seed[:8]), binary.BigEndian.Uint64(seed[8:])))
}

// Run serves until the context is canceled or the node fails. For a graceful stop, call Stop first.
func (n *Node) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var duties sync.WaitGroup
	duties.Go(func() { n.mesh.Run(ctx) })
	duties.Go(func() { n.catalog.duty.Run(ctx) })
	duties.Go(func() { n.escrow.duty.Run(ctx) })
	duties.Go(func() { n.claims.duty.Run(ctx) })
	duties.Go(func() { n.backends.duty.Run(ctx) })
	duties.Go(func() { n.backends.pollReports(ctx) })
	duties.Go(func() { n.backends.pollPlatform(ctx) })
	duties.Go(func() { n.runHeartbeats(ctx) })
	if n.replica != nil {
		duties.Go(func() { n.replica.duty.Run(ctx) })
		duties.Go(func() { n.runMembership(ctx) })
		duties.Go(func() { n.runReclaim(ctx) })
		duties.Go(func() { n.runOrders(ctx) })
	}
	servers := n.serve(&duties)
	n.log.Info().Str("event", "started").Str("node", n.name).Str("zone", n.zone).
		Strs("roles", n.settings.Node.Roles).Uint64("incarnation", n.incarnation).Send()
	var failure error
	select {
	case <-ctx.Done():
	case failure = <-n.failure:
		n.log.Error().Str("event", "failed").Err(failure).Send()
	}
	cancel(failure)
	n.cancelRun(errStopped)
	for _, server := range servers {
		_ = server.Close()
	}
	duties.Wait()
	n.background.wait()
	if n.replica != nil {
		failure = errors.Join(failure, n.replica.close())
	}
	return failure
}

// fail makes Run end with an error, for faults after which the node can't keep its guarantees. Only
// the first error counts.
func (n *Node) fail(err error) {
	select {
	case n.failure <- err:
	default:
	}
}

// serve starts the HTTP servers of the open listeners and returns them.
func (n *Node) serve(duties *sync.WaitGroup) []*http.Server {
	var servers []*http.Server
	start := func(listener net.Listener, handler http.Handler, tlsConfig *tls.Config) {
		if listener == nil {
			return
		}
		server := newServer(handler)
		if tlsConfig != nil {
			listener = tls.NewListener(listener, tlsConfig)
		}
		servers = append(servers, server)
		duties.Go(func() {
			if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				n.fail(fmt.Errorf("serving %s: %w", listener.Addr(), err))
			}
		})
	}
	start(n.options.Listeners.Callers, n.callerHandler(), nil)
	if len(servers) > 0 {
		n.callers.Store(servers[0])
	}
	start(n.options.Listeners.Operators, n.operatorHandler(), n.options.OperatorTLS)
	start(n.options.Listeners.Health, n.healthHandler(), nil)
	return servers
}

const (
	headerTimeout      = 10 * time.Second
	idleTimeout        = 2 * time.Minute
	maximumHeaderBytes = 64 << 10
)

func newServer(handler http.Handler) *http.Server {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	protocols.SetHTTP2(true)
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maximumHeaderBytes, Protocols: protocols,
	}
}
