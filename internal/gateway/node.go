// Package gateway runs one node of a fleet. The members discover each other through seed addresses,
// the configuration is one document whose version is set from outside, and engines register
// themselves.
//
// An entry node serves callers. A control node holds a replica of the durable state, accepts
// configurations and registrations, and distributes them to all entry nodes. Each duty is a
// goroutine that owns its state: the fleet (known nodes and instances), the replica, and the
// prepaid tokens that are held here. An incarnation is one run of a process between its start and
// its end. The root is the leader's side of the escrow: it grants prepaid tokens to holders, which
// are incarnations of entry nodes. A hello is the periodic message in which a node describes itself
// to other nodes.
package gateway

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"runtime/metrics"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/ravenway/ravenway/internal/coordination/balance"
	"github.com/ravenway/ravenway/internal/coordination/consensus"
	"github.com/ravenway/ravenway/internal/coordination/escrow"
	"github.com/ravenway/ravenway/internal/coordination/registry"
	"github.com/ravenway/ravenway/internal/coordination/slotlease"
	"github.com/ravenway/ravenway/internal/coordination/streamversion"
	"github.com/ravenway/ravenway/internal/forward"
	"github.com/ravenway/ravenway/internal/protocol/peer"
	"github.com/ravenway/ravenway/internal/settings"
	"github.com/ravenway/ravenway/internal/state/disk"
	"github.com/ravenway/ravenway/internal/state/document"
	"github.com/ravenway/ravenway/internal/state/evacuation"
	"github.com/ravenway/ravenway/internal/state/rollout"
	"github.com/ravenway/ravenway/internal/transport"
)

// Dialect adapts one HTTP interface to callers, engines and operators.
type Dialect interface {
	forward.Dialect
	// ControlHandler serves engines and operators on control nodes.
	ControlHandler(control Control) http.Handler
	// ReadyHandler reports to the platform whether callers should be sent to an entry node.
	ReadyHandler(ready func() bool) http.Handler
}

// Control is what a Dialect's control handler needs.
type Control interface {
	// Heartbeat accepts an instance's heartbeat; nil acknowledges it.
	Heartbeat(ctx context.Context, instance registry.Instance) error
	// HeartbeatRefused records a heartbeat that can't be used, and the reason.
	HeartbeatRefused(id string, err error)
	// Leave accepts an instance's notice that one of its incarnations is ending; if the start time
	// is missing, the notice applies to the known incarnation.
	Leave(ctx context.Context, incarnation registry.Incarnation) error
	// CommitDocument commits a validated configuration to the log. It returns the version held
	// afterwards, which is higher than the given one if a higher one was already committed.
	CommitDocument(ctx context.Context, submitted *document.Document, raw []byte) (held uint64, err error)
	// ReadDocument returns the newest configuration in the form in which it was received; nil if
	// there is none yet.
	ReadDocument(ctx context.Context) (raw []byte, err error)
	// OrderRollout orders that a service's requests move to instances of a version, and returns
	// once the order is committed. The errors are ErrUnknownService, ErrRolloutInProgress,
	// ErrOtherRollout, ErrVersionAlreadyRunning, ErrRolloutDuration, ErrUnavailable and
	// ConditionError.
	OrderRollout(ctx context.Context, order RolloutOrder) error
	// Rollout returns a service's newest rollout. It returns ErrNoRollout if there is none.
	Rollout(ctx context.Context, service string) (rollout.Rollout, error)
	// OrderZone evacuates a zone, or restores it, and returns the evacuated zones once the order is
	// committed. It returns ErrUnknownZone if there is no such zone, and a ConditionError if the
	// order would change the zone and does not name its last order.
	OrderZone(ctx context.Context, order ZoneOrder) (evacuation.Zones, error)
}

// ErrUnavailable means that a control node can't serve a request at the moment; another control node
// may be able to.
var ErrUnavailable = errors.New("gateway: not possible here now")

// Listeners are a node's open listeners; the listeners of a role that it does not have are nil.
type Listeners struct {
	Callers net.Listener
	Ready   net.Listener
	Control net.Listener
	Peers   net.Listener
	Health  net.Listener
	// Operators serves the command line tool and Debug serves profiles; nil means not served.
	Operators net.Listener
	Debug     net.Listener
}

// Options configure a Node.
type Options struct {
	Settings *settings.Settings
	PeerKey  []byte
	// OperatorToken is required from operators unless it is empty.
	OperatorToken []byte
	Dialect       Dialect
	Listeners     Listeners
	// FileSystem is the data folder; required by the control role.
	FileSystem disk.FileSystem
	// DialPeer and DialEngine open connections; nil means TCP.
	DialPeer   func(ctx context.Context, address string) (net.Conn, error)
	DialEngine func(ctx context.Context, address string) (net.Conn, error)
	Logger     zerolog.Logger
	// Build is the commit that the program was built from, "" if it is not known.
	Build string
	// FileDescriptors is the number of file descriptors that the process may open; 0 if it is not known.
	FileDescriptors uint64
}

// Node is one process of the fleet, with the duties of its roles.
type Node struct {
	options     Options
	settings    atomic.Pointer[settings.Settings]
	address     string
	incarnation string
	started     time.Time
	log         zerolog.Logger

	mesh      *transport.Mesh
	calls     *peer.Calls
	fleet     *fleetDuty
	documents *documentStore
	publisher *documentPublisher
	zones     *zoneStore
	rollouts  *rolloutStore
	// canary reports samples of rollouts to the leader, or runs the canary analysis if this node
	// leads.
	canary *canaryDuty
	// quarantine holds the requests that crash their engines.
	quarantine *quarantineDuty
	link       *linkMonitor
	gate       *callerGate
	meters     linkMeters
	polls      readinessPolls
	table      *balance.Table
	replica    *replicaDuty
	tokens     *tokensDuty
	loads      *loadsDuty
	limits     *limitEnforcer
	backoff    *pauseRecorder
	paths      *enginePaths
	relays     *relayServer
	prompts    *promptCoordinator
	slots      *slotManager
	streams    *streamVersions
	pipeline   *forward.Pipeline
	decisions  *forward.DecisionLog
	callers    *callerServer
	sent       *traffic
	received   *traffic
	stale      *staleFrames
	protocols  *peerProtocols
	refused    refusedHeartbeats

	// stop is nil until a planned stop begins.
	stop atomic.Pointer[plannedStop]
}

// New creates a node. Run serves its listeners.
func New(options Options) (*Node, error) {
	node := &Node{
		options: options, address: options.Settings.Listen.Peers, incarnation: newIncarnation(), started: time.Now(), log: options.Logger,
		table: balance.NewTable(options.Settings.Node.Zone), sent: newTraffic("sent"), received: newTraffic("received"),
		protocols: newPeerProtocols(),
	}
	node.settings.Store(options.Settings)
	node.table.SetRegions(options.Settings.Fleet.Regions)
	node.stale = newStaleFrames(node)
	node.mesh = transport.NewMesh(transport.Options{
		Self: node.address, Key: options.PeerKey, OpenMembership: true, Listener: options.Listeners.Peers,
		Dial: options.DialPeer, Handle: node.handleFrame, HandleStream: node.handleStream, StreamMeter: &node.meters.relays, Dropped: node.stale.record, Logger: node.log,
	})
	node.calls = peer.NewCalls(node.send)
	node.documents, node.publisher = newDocumentStore(node), newDocumentPublisher(node)
	node.zones = newZoneStore(node)
	node.rollouts, node.canary = newRolloutStore(node), newCanaryDuty(node)
	node.quarantine = newQuarantineDuty(node)
	node.link, node.gate = &linkMonitor{node: node}, newCallerGate(node)
	node.streams = newStreamVersions(node)
	node.fleet = newFleetDuty(node)
	if options.Settings.HasRole(settings.RoleControl) {
		node.replica = newReplicaDuty(node)
	}
	if options.Settings.HasRole(settings.RoleEntry) {
		node.tokens = newTokensDuty(node)
		node.loads = newLoadsDuty(node)
		node.limits = newLimitEnforcer(node)
		node.table.SetLimits(node.limits.limits)
		node.backoff = newPauseRecorder(node)
		node.table.SetBackoff(node.backoff.tracker)
		node.slots = newSlotManager(node)
		node.table.SetSlots(node.slots.tracker)
		node.paths, node.relays = newEnginePaths(node), newRelayServer(node)
		node.prompts = newPromptCoordinator(node)
		node.decisions = forward.NewDecisionLog(node.log)
		node.pipeline = forward.New(forward.Options{
			Dialect: options.Dialect, Environment: &entryEnvironment{node}, Table: node.table,
			Log: node.decisions, Dial: options.DialEngine, BufferedBytes: maximumBodyBytes(options.Settings.Limits.MemoryMB),
			Guard: node.quarantine.guard, Recorder: node.rollouts.recorder, RateLimits: node.limits, Backoff: node.backoff,
			EngineMeter:        &node.meters.engines,
			PromptReservations: node.prompts, EnginePaths: node.paths, Slots: node.slots, StreamVersions: node.streams,
		})
		node.callers = newCallerServer(options.Listeners.Callers, node.pipeline, &node.meters.callers, callerAdmission{
			accepts: node.gate.acceptsConnection, maximumConnections: maximumCallerConnections(options.FileDescriptors), log: node.log,
		})
		node.documents.onChange = node.callers.applyLimits
	}
	return node, nil
}

const (
	// bodyMemoryShare is the share of the process's memory that callers' request bodies may occupy. The
	// heap is kept below 0.7 of the memory, and the buffers that bodies have grown out of are part of it
	// until they are collected.
	bodyMemoryShare = 0.45
	bytesPerMB      = 1 << 20
)

// maximumBodyBytes is the maximum size in bytes of all request bodies in memory; 0 if the size of
// the memory is not known.
func maximumBodyBytes(memoryMB int) int64 {
	return int64(bodyMemoryShare * float64(memoryMB) * bytesPerMB)
}

// newIncarnation returns a random identifier for this run of the process, its incarnation.
func newIncarnation() string {
	var drawn [8]byte
	// crypto/rand.Read never returns an error: it aborts the process instead.
	_, _ = rand.Read(drawn[:])
	return hex.EncodeToString(drawn[:])
}

// newRandom returns a randomly seeded source for one duty.
func newRandom() *mathrand.Rand {
	var seed [16]byte
	_, _ = rand.Read(seed[:])
	return mathrand.New(mathrand.NewPCG(binary.BigEndian.Uint64(seed[:8]), binary.BigEndian.Uint64(seed[8:])))
}

// isControlRole reports whether the settings give this node the control role.
func (n *Node) isControlRole() bool { return n.settings.Load().HasRole(settings.RoleControl) }

// now is the time since the node started on the monotonic clock, which all duties use. The wall
// clock may jump, so decisions about time do not rest on it except in readClocks, where control
// nodes agree on it, and for the age of a rollout that is restored from the log.
func (n *Node) now() time.Duration { return time.Since(n.started) }

// monotonicTime converts a moment to the clock of now; 0 for the zero time.
func (n *Node) monotonicTime(moment time.Time) time.Duration {
	if moment.IsZero() {
		return 0
	}
	return moment.Sub(n.started)
}

// Run serves until the context ends. Call Stop before that for a planned stop.
func (n *Node) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var duties sync.WaitGroup
	duties.Go(func() { n.mesh.Run(ctx) })
	duties.Go(func() { n.fleet.duty.Run(ctx) })
	duties.Go(func() { n.quarantine.duty.Run(ctx) })
	duties.Go(func() { n.canary.duty.Run(ctx) })
	duties.Go(func() { n.streams.duty.Run(ctx) })
	if n.replica != nil {
		duties.Go(func() { n.replica.duty.Run(ctx) })
		duties.Go(func() { n.fleet.hints.run(ctx) })
		duties.Go(func() { n.quarantine.hints.run(ctx) })
	}
	if n.tokens != nil {
		duties.Go(func() { n.tokens.duty.Run(ctx) })
		duties.Go(func() { n.loads.duty.Run(ctx) })
	}
	duties.Go(func() { n.runMaintenance(ctx) })
	servers := n.startServers(&duties)
	current := n.settings.Load()
	n.log.Info().Str("event", "started").Str("address", n.address).Str("zone", current.Node.Zone).
		Strs("roles", current.Node.Roles).Str("life", n.incarnation).Strs("seeds", current.Fleet.Seeds).
		Bool("first_start", current.Fleet.FirstStart).Send()
	<-ctx.Done()
	for _, server := range servers {
		server.close()
	}
	duties.Wait()
	n.log.Info().Str("event", "ended").Send()
	return nil
}

const maintenanceInterval = 2 * time.Second

// runMaintenance does periodic work that no event triggers: pipeline ticks and log summaries.
func (n *Node) runMaintenance(ctx context.Context) {
	ticker := time.NewTicker(maintenanceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if n.pipeline != nil {
				n.pipeline.Tick()
				n.decisions.Summarize()
				n.limits.summarize()
				n.backoff.summarize()
				n.prompts.summarize()
			}
			n.stale.summarize()
			n.logLoad()
		}
	}
}

// logLoad logs the process's memory use, to explain a process that is killed for lack of memory,
// and the bytes exchanged with other nodes since the last such line.
func (n *Node) logLoad() {
	samples := []metrics.Sample{
		{Name: "/memory/classes/heap/objects:bytes"}, {Name: "/memory/classes/total:bytes"},
		{Name: "/memory/classes/heap/stacks:bytes"}, {Name: "/memory/classes/heap/released:bytes"},
		{Name: "/sched/goroutines:goroutines"},
	}
	metrics.Read(samples)
	n.log.Info().Str("event", "load").Ints64("control_delay_ms", n.fleet.controlFreshness(n.now()).delays).Uint64("heap_bytes", samples[0].Value.Uint64()).
		Uint64("mapped_bytes", samples[1].Value.Uint64()-samples[3].Value.Uint64()).Uint64("stack_bytes", samples[2].Value.Uint64()).
		Uint64("goroutines", samples[4].Value.Uint64()).Dict("sent", n.sent.describe()).Dict("received", n.received.describe()).
		Dict("link", n.meters.describe()).Send()
}

// Version is the version of the configuration in effect on this node, 0 before the first.
func (n *Node) Version() uint64 { return n.documents.version() }

// Reload applies changed settings. Seeds and the settings that are read at each use, such as bounds
// and those of prompt reservations, take effect immediately; the others at the next start.
func (n *Node) Reload(changed *settings.Settings) {
	n.settings.Store(changed)
	n.fleet.setSeeds(seedAddresses(changed))
	n.log.Info().Str("event", "reloaded").Strs("seeds", changed.Fleet.Seeds).Send()
}

// ReloadRefused logs that changed settings were not applied; the current ones stay in effect.
func (n *Node) ReloadRefused(err error) {
	n.log.Warn().Str("event", "reload_refused").Err(err).Send()
}

// seedAddresses are the addresses of the seeds' peer listeners: a seed names another listener of a
// control node on the same machine.
func seedAddresses(current *settings.Settings) []string {
	var addresses []string
	for _, seed := range current.Fleet.Seeds {
		host, _, err := net.SplitHostPort(seed)
		if err != nil {
			continue
		}
		addresses = append(addresses, net.JoinHostPort(host, strconv.Itoa(current.Fleet.PeerPort)))
	}
	return addresses
}

// send encodes a body and sends it to a node; a message to this node is handled directly.
func (n *Node) send(to string, kind peer.Kind, body any) {
	n.sendMessage(to, peer.NewMessage(kind, body))
}

// sendAll sends one message to several nodes. The encoded message is shared, since encoding it for
// each of hundreds of receivers would be most of the cost.
func (n *Node) sendAll(receivers []string, message *peer.Message) {
	for _, receiver := range receivers {
		n.sendMessage(receiver, message)
	}
}

// sendMessage sends a message in the protocol version that the receiver reads.
func (n *Node) sendMessage(to string, message *peer.Message) {
	reader := peer.OwnProtocol
	if to != n.address {
		reader = n.protocols.versionOf(to)
	}
	frame, err := message.Frame(reader)
	if err != nil {
		n.log.Error().Str("event", "peer_encode_failed").Stringer("kind", message.Kind()).Err(err).Send()
		return
	}
	if to == n.address {
		n.handleFrame(n.address, frame)
		return
	}
	n.sent.record(message.Kind(), len(frame))
	n.mesh.Send(to, frame)
}

// handleFrame decodes a frame and passes it to the duty that handles its kind.
func (n *Node) handleFrame(from string, frame []byte) {
	envelope, err := peer.Decode(frame)
	if err == nil {
		n.received.record(envelope.Kind, len(frame))
		err = n.dispatch(from, envelope)
	}
	if err != nil {
		n.log.Warn().Str("event", "peer_message_refused").Str("peer", from).Err(err).Send()
	}
}

// handleStream serves a stream that another node has opened. Only entry nodes relay connections.
func (n *Node) handleStream(from string, request []byte, stream *transport.Stream) {
	if n.relays != nil {
		n.relays.handle(from, request, stream)
	}
}

func (n *Node) dispatch(from string, envelope peer.Envelope) error {
	switch envelope.Kind {
	case peer.KindHello:
		return peer.Dispatch(envelope, func(hello peer.Hello) { n.fleet.handleHello(from, hello) })
	case peer.KindInstances:
		return peer.Dispatch(envelope, func(message instancesMessage) { n.fleet.handleInstances(from, message) })
	case peer.KindInstanceContacts:
		return peer.Dispatch(envelope, n.fleet.handleInstanceContacts)
	case peer.KindDocumentNotice:
		return peer.Dispatch(envelope, func(notice peer.DocumentNotice) { n.documents.handleNotice(from, notice.Version) })
	case peer.KindDocumentFetch:
		return peer.Dispatch(envelope, func(fetch peer.DocumentFetch) { n.publisher.handleFetch(from, fetch) })
	case peer.KindDocument:
		return peer.Dispatch(envelope, func(data peer.DocumentData) { n.documents.handleDocument(from, data) })
	case peer.KindConsensus:
		if n.replica == nil {
			return nil
		}
		return peer.Dispatch(envelope, n.replica.handleMessage)
	case peer.KindAccounts:
		return peer.Dispatch(envelope, n.handleAccounts)
	case peer.KindLend:
		if n.tokens == nil {
			return nil
		}
		return peer.Dispatch(envelope, n.tokens.handleLend)
	case peer.KindPool:
		if n.tokens == nil {
			return nil
		}
		return peer.Dispatch(envelope, n.tokens.handlePool)
	case peer.KindQuarantine:
		return peer.Dispatch(envelope, func(message quarantineMessage) { n.quarantine.handleMessage(from, message) })
	case peer.KindRollouts:
		return peer.Dispatch(envelope, func(message samplesMessage) { n.canary.handleSamples(from, message) })
	case peer.KindLoads:
		if n.loads == nil {
			return nil
		}
		return peer.Dispatch(envelope, func(report balance.LoadReport) { n.loads.handleReport(from, report) })
	case peer.KindRelease:
		if n.prompts == nil {
			return nil
		}
		return n.prompts.handleRelease(from, envelope)
	case peer.KindSlotEnd:
		if n.slots == nil {
			return nil
		}
		return peer.Dispatch(envelope, func(end slotlease.End) { n.slots.handleEnd(from, end) })
	case peer.KindStreamVersions:
		return peer.Dispatch(envelope, func(batch streamversion.Batch) { n.streams.handleRecords(from, batch) })
	case peer.KindCall:
		return peer.Dispatch(envelope, func(call peer.Call) { n.startCall(from, call) })
	case peer.KindReply:
		return peer.Dispatch(envelope, n.calls.Deliver)
	}
	return fmt.Errorf("no duty on this node handles messages of kind %s", envelope.Kind)
}

func (n *Node) handleAccounts(message escrow.AccountsMessage) {
	switch {
	case message.Report != nil && n.replica != nil:
		n.replica.handleReport(*message.Report)
	case message.Response != nil && n.tokens != nil:
		n.tokens.handleResponse(*message.Response)
	case message.Recall != nil && n.tokens != nil:
		n.tokens.handleRecall(*message.Recall)
	case message.Summaries != nil && n.tokens != nil:
		n.tokens.handleSummaries(*message.Summaries)
	}
}

// holderName is the name of a node's incarnation as a holder of tokens; holderAddress splits it
// into the node's address and the incarnation.
func holderName(address, incarnation string) string { return address + "#" + incarnation }

func holderAddress(name string) (address, incarnation string) {
	address, incarnation, _ = strings.Cut(name, "#")
	return address, incarnation
}

// leader returns the leading control node as this node knows it, or "".
func (n *Node) leader() string {
	if n.replica != nil {
		if leader := n.replica.shared.Load().leader; leader != "" {
			return leader
		}
	}
	return n.fleet.view.Load().leader
}

// isRootReachable reports whether a control node that has a quorum was in contact recently.
func (n *Node) isRootReachable() bool {
	return n.now() < n.fleet.view.Load().rootContactAt+rootContactTimeout
}

// startGrace is how long after its start a node assumes that the root is still being elected.
const startGrace = 3 * time.Second

// expectsRootSoon reports whether an unreachable root will probably be reachable soon: all nodes
// may have started together, so that the root is still being elected. A longer outage means a
// partition, in which a caller that retries immediately would be refused again.
func (n *Node) expectsRootSoon() bool { return n.now() < startGrace }

// nodeOfReplica returns the address of the node that holds a replica, or "" if it is not known.
func (n *Node) nodeOfReplica(id consensus.ReplicaID) string {
	for _, node := range n.fleet.view.Load().alive {
		if node.Replica == uint64(id) {
			return node.Address
		}
	}
	return ""
}
