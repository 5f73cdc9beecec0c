// Package gateway runs a node of a fleet whose members find each other from
// seeds, whose configuration is one document at an outside version, and whose
// engines register themselves.
//
// An entry node serves callers. A control node holds a replica of the durable
// state, takes configurations and registrations, and tells all entry nodes.
// Each duty is a goroutine that owns its state: the fleet (who is there, which
// instances), the replica, and the prepaid tokens held here.
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
	"github.com/ravenway/ravenway/internal/forward"
	"github.com/ravenway/ravenway/internal/protocol/peer"
	"github.com/ravenway/ravenway/internal/settings"
	"github.com/ravenway/ravenway/internal/state/disk"
	"github.com/ravenway/ravenway/internal/state/document"
	"github.com/ravenway/ravenway/internal/state/evacuation"
	"github.com/ravenway/ravenway/internal/state/rollout"
	"github.com/ravenway/ravenway/internal/transport"
)

// Dialect is a wire interface to callers, engines and operators.
type Dialect interface {
	forward.Dialect
	// ControlHandler serves engines and operators on control nodes.
	ControlHandler(control Control) http.Handler
	// ReadyHandler tells the platform whether an entry node should get callers.
	ReadyHandler(ready func() bool) http.Handler
}

// Control is what a Dialect's control handler needs.
type Control interface {
	// Heartbeat takes an instance's word; nil acknowledges it.
	Heartbeat(ctx context.Context, instance registry.Instance) error
	// HeartbeatRefused notes a heartbeat that can't be used, and why.
	HeartbeatRefused(id string, err error)
	// Leave takes an instance's word that a life of it ends; without Born it is the
	// one known.
	Leave(ctx context.Context, life registry.Life) error
	// TakeDocument makes a checked configuration last. It returns the version
	// held afterwards, which is higher if a higher one was there.
	TakeDocument(ctx context.Context, taken *document.Document, raw []byte) (held uint64, err error)
	// ReadDocument returns the newest configuration as it was sent; nil if
	// there is none yet.
	ReadDocument(ctx context.Context) (raw []byte, err error)
	// OrderRollout has a service's work move to instances of a version, and returns once the
	// order is committed. The errors are ErrUnknownService, ErrRolloutUnderWay,
	// ErrOtherRollout, ErrVersionRuns, ErrRolloutDuration and ErrUnavailable.
	OrderRollout(ctx context.Context, service, version string, duration time.Duration) error
	// Rollout returns a service's newest rollout. ErrNoRollout says that there is none.
	Rollout(ctx context.Context, service string) (rollout.Rollout, error)
	// OrderZone evacuates a zone, or restores it, and returns the evacuated zones
	// once the order is committed. ErrUnknownZone says that there is no such zone.
	OrderZone(ctx context.Context, zone string, evacuated bool) (evacuation.Zones, error)
}

// ErrUnavailable says that a control node can't tell or do what it was asked;
// another one may.
var ErrUnavailable = errors.New("gateway: not possible here now")

// Listeners are a node's open listeners; those of a role that it does not have
// are nil.
type Listeners struct {
	Callers net.Listener
	Ready   net.Listener
	Control net.Listener
	Peers   net.Listener
	Health  net.Listener
	// Operators is for the command line, Debug for profiles; nil means that they are
	// not served.
	Operators net.Listener
	Debug     net.Listener
}

// Options set up a Node.
type Options struct {
	Settings *settings.Settings
	PeerKey  []byte
	// OperatorToken is needed from operators unless it is empty.
	OperatorToken []byte
	Dialect       Dialect
	Listeners     Listeners
	// FileSystem is the data folder; needed by the control role.
	FileSystem disk.FileSystem
	// DialPeer and DialEngine open connections; nil means TCP.
	DialPeer   func(ctx context.Context, address string) (net.Conn, error)
	DialEngine func(ctx context.Context, address string) (net.Conn, error)
	Logger     zerolog.Logger
	// Build is the commit that the program was built from, "" if it is not known.
	Build string
}

// Node is one daemon.
type Node struct {
	options  Options
	settings atomic.Pointer[settings.Settings]
	address  string
	life     string
	started  time.Time
	log      zerolog.Logger

	mesh      *transport.Mesh
	calls     *peer.Calls
	fleet     *fleetDuty
	documents *documentStore
	publisher *documentPublisher
	zones     *zoneStore
	rollouts  *rolloutStore
	// judging reports on rollouts, or judges them.
	judging *rolloutsDuty
	// quarantine holds the requests that end their engines.
	quarantine *quarantineDuty
	link       *linkWatch
	gate       *callerGate
	table      *balance.Table
	replica    *replicaDuty
	tokens     *tokensDuty
	loads      *loadsDuty
	limits     *limitKeeper
	backoff    *backoffKeeper
	pipeline   *forward.Pipeline
	decisions  *forward.DecisionLog
	callers    *callerServer
	sent       *traffic
	received   *traffic
	stale      *staleFrames
	dialects   *peerDialects
	refused    refusedHeartbeats

	// stop is nil until a planned stop begins.
	stop atomic.Pointer[plannedStop]
}

// New makes a node. Its listeners are served by Run.
func New(options Options) (*Node, error) {
	node := &Node{
		options: options, address: options.Settings.Listen.Peers, life: newLife(), started: time.Now(), log: options.Logger,
		table: balance.NewTable(options.Settings.Node.Zone), sent: newTraffic("sent"), received: newTraffic("received"),
		dialects: newPeerDialects(),
	}
	node.settings.Store(options.Settings)
	node.table.SetRegions(options.Settings.Fleet.Regions)
	node.stale = newStaleFrames(node)
	node.mesh = transport.NewMesh(transport.Options{
		Self: node.address, Key: options.PeerKey, OpenMembership: true, Listener: options.Listeners.Peers,
		Dial: options.DialPeer, Handle: node.handleFrame, Dropped: node.stale.note, Logger: node.log,
	})
	node.calls = peer.NewCalls(node.send)
	node.documents, node.publisher = newDocumentStore(node), newDocumentPublisher(node)
	node.zones = newZoneStore(node)
	node.rollouts, node.judging = newRolloutStore(node), newRolloutsDuty(node)
	node.quarantine = newQuarantineDuty(node)
	node.link, node.gate = &linkWatch{node: node}, newCallerGate(node)
	node.fleet = newFleetDuty(node)
	if options.Settings.HasRole(settings.RoleControl) {
		node.replica = newReplicaDuty(node)
	}
	if options.Settings.HasRole(settings.RoleEntry) {
		node.tokens = newTokensDuty(node)
		node.loads = newLoadsDuty(node)
		node.limits = newLimitKeeper(node)
		node.table.SetLimits(node.limits.limits)
		node.backoff = newBackoffKeeper(node)
		node.table.SetBackoff(node.backoff.tracker)
		node.decisions = forward.NewDecisionLog(node.log)
		node.pipeline = forward.New(forward.Options{
			Dialect: options.Dialect, Environment: &entryEnvironment{node}, Table: node.table,
			Log: node.decisions, Dial: options.DialEngine, BufferedBytes: bodyBytes(options.Settings.Limits.MemoryMB),
			Guard: node.quarantine.guard, Recorder: node.rollouts.recorder, RateLimits: node.limits, Backoff: node.backoff,
		})
		node.callers = newCallerServer(options.Listeners.Callers, node.pipeline)
		node.documents.changed = node.callers.adopt
	}
	return node, nil
}

const (
	// bodiesShare is the part of the process's memory that callers' bodies may take:
	// each is there twice while it is written to an engine, and the heap is kept
	// below 0.7 of the memory.
	bodiesShare = 0.12
	bytesPerMB  = 1 << 20
)

// bodyBytes bounds the bodies in memory; 0 where the memory is not known.
func bodyBytes(memoryMB int) int64 { return int64(bodiesShare * float64(memoryMB) * bytesPerMB) }

// newLife names this run of the process.
func newLife() string {
	var drawn [8]byte
	// crypto/rand.Read never fails: it ends the process instead.
	_, _ = rand.Read(drawn[:])
	return hex.EncodeToString(drawn[:])
}

// newRandom makes a random source for one duty.
func newRandom() *mathrand.Rand {
	var seed [16]byte
	_, _ = rand.Read(seed[:])
	return mathrand.New(mathrand.NewPCG(binary.BigEndian.Uint64(seed[:8]), binary.BigEndian.Uint64(seed[8:])))
}

// isControlRole tells whether the settings make this node a control node.
func (n *Node) isControlRole() bool { return n.settings.Load().HasRole(settings.RoleControl) }

// now is the time since the node started, the clock of all duties. The time of
// day may jump; only readClocks uses it, where control nodes agree on it.
func (n *Node) now() time.Duration { return time.Since(n.started) }

// at is a moment on the clock of now; 0 for the zero time.
func (n *Node) at(moment time.Time) time.Duration {
	if moment.IsZero() {
		return 0
	}
	return moment.Sub(n.started)
}

// Run serves until the context ends. Use Stop for a planned stop before that.
func (n *Node) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var duties sync.WaitGroup
	duties.Go(func() { n.mesh.Run(ctx) })
	duties.Go(func() { n.fleet.duty.Run(ctx) })
	duties.Go(func() { n.quarantine.duty.Run(ctx) })
	duties.Go(func() { n.judging.duty.Run(ctx) })
	if n.replica != nil {
		duties.Go(func() { n.replica.duty.Run(ctx) })
		duties.Go(func() { n.fleet.remembered.run(ctx) })
		duties.Go(func() { n.quarantine.remembered.run(ctx) })
	}
	if n.tokens != nil {
		duties.Go(func() { n.tokens.duty.Run(ctx) })
		duties.Go(func() { n.loads.duty.Run(ctx) })
	}
	duties.Go(func() { n.runUpkeep(ctx) })
	servers := n.startServers(&duties)
	current := n.settings.Load()
	n.log.Info().Str("event", "started").Str("address", n.address).Str("zone", current.Node.Zone).
		Strs("roles", current.Node.Roles).Str("life", n.life).Strs("seeds", current.Fleet.Seeds).
		Bool("first_start", current.Fleet.FirstStart).Send()
	<-ctx.Done()
	for _, server := range servers {
		server.close()
	}
	duties.Wait()
	n.log.Info().Str("event", "ended").Send()
	return nil
}

const upkeepInterval = 2 * time.Second

// runUpkeep does what has no event of its own.
func (n *Node) runUpkeep(ctx context.Context) {
	ticker := time.NewTicker(upkeepInterval)
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
			}
			n.stale.summarize()
			n.logLoad()
		}
	}
}

// logLoad writes what the process holds in memory, to explain one that ends for
// lack of it, and the bytes to and from other nodes since the last line.
func (n *Node) logLoad() {
	samples := []metrics.Sample{
		{Name: "/memory/classes/heap/objects:bytes"}, {Name: "/memory/classes/total:bytes"},
		{Name: "/memory/classes/heap/stacks:bytes"}, {Name: "/memory/classes/heap/released:bytes"},
		{Name: "/sched/goroutines:goroutines"},
	}
	metrics.Read(samples)
	n.log.Info().Str("event", "load").Ints64("control_delay_ms", n.fleet.controlFreshness(n.now()).delays).Uint64("heap_bytes", samples[0].Value.Uint64()).
		Uint64("mapped_bytes", samples[1].Value.Uint64()-samples[3].Value.Uint64()).Uint64("stack_bytes", samples[2].Value.Uint64()).
		Uint64("goroutines", samples[4].Value.Uint64()).Dict("sent", n.sent.describe()).Dict("received", n.received.describe()).Send()
}

// Version is the version of the configuration in force here, 0 before the first.
func (n *Node) Version() uint64 { return n.documents.version() }

// Reload takes changed settings: the seeds. Others hold until a restart.
func (n *Node) Reload(changed *settings.Settings) {
	n.settings.Store(changed)
	n.fleet.setSeeds(seedAddresses(changed))
	n.log.Info().Str("event", "reloaded").Strs("seeds", changed.Fleet.Seeds).Send()
}

// Refuse notes that changed settings were not taken; those in force stay.
func (n *Node) Refuse(err error) {
	n.log.Warn().Str("event", "reload_refused").Err(err).Send()
}

// seedAddresses are the peer listeners of the seeds: a seed names a control
// node's listener of another kind, on the same machine.
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

// send sends a body to another node, or handles it here.
func (n *Node) send(to string, kind peer.Kind, body any) {
	n.sendMessage(to, peer.NewMessage(kind, body))
}

// sendAll sends one message to several nodes: encoding it for each of hundreds
// would be most of its cost.
func (n *Node) sendAll(receivers []string, message *peer.Message) {
	for _, receiver := range receivers {
		n.sendMessage(receiver, message)
	}
}

// sendMessage sends a message as the receiver reads it.
func (n *Node) sendMessage(to string, message *peer.Message) {
	reader := peer.OwnProtocol
	if to != n.address {
		reader = n.dialects.reader(to)
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
	n.sent.note(message.Kind(), len(frame))
	n.mesh.Send(to, frame)
}

// handleFrame hands a frame to the duty that it is for.
func (n *Node) handleFrame(from string, frame []byte) {
	envelope, err := peer.Decode(frame)
	if err == nil {
		n.received.note(envelope.Kind, len(frame))
		err = n.dispatch(from, envelope)
	}
	if err != nil {
		n.log.Warn().Str("event", "peer_message_refused").Str("peer", from).Err(err).Send()
	}
}

func (n *Node) dispatch(from string, envelope peer.Envelope) error {
	switch envelope.Kind {
	case peer.KindHello:
		return peer.Dispatch(envelope, func(hello peer.Hello) { n.fleet.takeHello(from, hello) })
	case peer.KindInstances:
		return peer.Dispatch(envelope, func(message instancesMessage) { n.fleet.takeInstances(from, message) })
	case peer.KindInstanceContacts:
		return peer.Dispatch(envelope, n.fleet.takeHeard)
	case peer.KindDocumentNotice:
		return peer.Dispatch(envelope, func(notice peer.DocumentNotice) { n.documents.takeNotice(from, notice.Version) })
	case peer.KindDocumentFetch:
		return peer.Dispatch(envelope, func(fetch peer.DocumentFetch) { n.publisher.answer(from, fetch) })
	case peer.KindDocument:
		return peer.Dispatch(envelope, func(data peer.DocumentData) { n.documents.take(from, data) })
	case peer.KindConsensus:
		if n.replica == nil {
			return nil
		}
		return peer.Dispatch(envelope, n.replica.take)
	case peer.KindAccounts:
		return peer.Dispatch(envelope, n.takeAccounts)
	case peer.KindLend:
		if n.tokens == nil {
			return nil
		}
		return peer.Dispatch(envelope, n.tokens.takeLend)
	case peer.KindPool:
		if n.tokens == nil {
			return nil
		}
		return peer.Dispatch(envelope, n.tokens.takePool)
	case peer.KindQuarantine:
		return peer.Dispatch(envelope, func(message quarantineMessage) { n.quarantine.take(from, message) })
	case peer.KindRollouts:
		return peer.Dispatch(envelope, func(message evidenceMessage) { n.judging.take(from, message) })
	case peer.KindLoads:
		if n.loads == nil {
			return nil
		}
		return peer.Dispatch(envelope, func(report balance.LoadReport) { n.loads.take(from, report) })
	case peer.KindCall:
		return peer.Dispatch(envelope, func(call peer.Call) { go n.serveCall(from, call) })
	case peer.KindReply:
		return peer.Dispatch(envelope, n.calls.Deliver)
	}
	return fmt.Errorf("kind %s has no duty here", envelope.Kind)
}

func (n *Node) takeAccounts(message escrow.AccountsMessage) {
	switch {
	case message.Report != nil && n.replica != nil:
		n.replica.takeReport(*message.Report)
	case message.Answer != nil && n.tokens != nil:
		n.tokens.takeAnswer(*message.Answer)
	case message.Recall != nil && n.tokens != nil:
		n.tokens.takeRecall(*message.Recall)
	case message.Standings != nil && n.tokens != nil:
		n.tokens.takeStandings(*message.Standings)
	}
}

// holderName names a node's life as a holder of tokens; holderAddress finds the
// node's address in it.
func holderName(address, life string) string { return address + "#" + life }

func holderAddress(name string) (address, life string) {
	address, life, _ = strings.Cut(name, "#")
	return address, life
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

// hearsRoot tells whether a control node that has a quorum was heard lately.
func (n *Node) hearsRoot() bool {
	return n.now() < n.fleet.view.Load().rootHeardAt+rootSilence
}

// startTime is how long a node may look for the root after its start.
const startTime = 3 * time.Second

// rootMayComeBack tells whether the root's silence is probably a short one: all
// nodes may have started together, and the root is elected. A longer silence
// is a cut; a caller that comes back at once would be refused once more.
func (n *Node) rootMayComeBack() bool { return n.now() < startTime }

// nodeOfReplica finds the node that holds a replica identity.
func (n *Node) nodeOfReplica(id consensus.ReplicaID) string {
	for _, node := range n.fleet.view.Load().alive {
		if node.Replica == uint64(id) {
			return node.Address
		}
	}
	return ""
}
