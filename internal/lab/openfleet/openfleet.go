// Package openfleet runs whole fleets of gateway nodes in one process: the daemon's own code (package
// gateway, whose members discover each other through seeds) over an in-memory network and simulated
// disks, with simulated engines. The engines record the ground truth that the fleet's guarantees are
// checked against. Inside a testing/synctest bubble the fleet runs in virtual time.
package openfleet

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/ravenway/ravenway/api/ravenway/v1/ravenwayv1connect"
	"github.com/ravenway/ravenway/internal/gateway"
	"github.com/ravenway/ravenway/internal/lab/fleet"
	"github.com/ravenway/ravenway/internal/lab/pausecheck"
	"github.com/ravenway/ravenway/internal/lab/wire"
	"github.com/ravenway/ravenway/internal/settings"
	"github.com/ravenway/ravenway/internal/state/disk"
	"github.com/ravenway/ravenway/internal/state/document"
)

const (
	// callerMachine is the machine of callers and operators; it is never partitioned.
	callerMachine = "caller"
	peerKey       = "open-fleet-peer-key-of-at-least-32-bytes"
	peerPort      = 7000
	controlPort   = 7001
	callersPort   = 7002
	readyPort     = 7003
	operatorsPort = 7004
	pollInterval  = 20 * time.Millisecond
	// bytesPerMegabit converts megabits to bytes.
	bytesPerMegabit = 1e6 / 8
)

// zones are assigned to the machines in turn.
var zones = []string{"a", "b", "c"}

// Machine is one node's machine.
type Machine struct {
	Name string
	Host string
	Zone string
	// IsControl marks the machine of a control node; the others are entry nodes.
	IsControl bool
	Disk      *disk.Simulated
	// process is nil before the first start.
	process atomic.Pointer[process]
}

// process is one run of a machine's node.
type process struct {
	node   *gateway.Node
	cancel context.CancelFunc
	// ended is closed once the node has stopped running.
	ended chan struct{}
}

// running returns the machine's node, or nil if it does not run.
func (m *Machine) running() *gateway.Node {
	current := m.process.Load()
	if current == nil || isClosed(current.ended) {
		return nil
	}
	return current.node
}

// Peer is the machine's peer address.
func (m *Machine) Peer() string { return fmt.Sprintf("%s:%d", m.Host, peerPort) }

// Fleet is a deployment in one process.
type Fleet struct {
	Network     *fleet.Network
	GroundTruth *GroundTruth
	Logger      zerolog.Logger
	// machinesMutex guards machines, order and lost: machines are added while requests are in flight.
	machinesMutex sync.RWMutex
	machines      map[string]*Machine
	// order lists the machines' names in the order in which they were added.
	order      []string
	engines    map[string]*Engine
	random     *rand.Rand
	callers    *http.Transport
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
	// enginesMutex guards engines and the state that their heartbeats report.
	enginesMutex sync.Mutex
	// hasStarted is set once all machines have started for the first time; until then nodes are
	// told that they may bootstrap the control group.
	hasStarted bool
	// reservesPrompts is whether the nodes reserve long prompts, regardless of the fleet's size.
	reservesPrompts bool
	// linkMbps is the bandwidth of the entry nodes' links in megabits per second; 0 means no limit.
	linkMbps float64
	// retriesReturn is the nodes' setting of that name.
	retriesReturn bool
	// lost are the machines that never start again; nodes booted later don't have them as seeds.
	lost map[string]bool
}

// New returns a fleet whose machines do not run yet.
func New(controls, entries int, random *rand.Rand) *Fleet {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Fleet{
		Network: fleet.NewNetwork(), GroundTruth: &GroundTruth{startedAt: time.Now(), received: map[string]uint64{}, arrivals: map[string][]time.Duration{}, pauses: map[instanceAndNode]*pausecheck.Record{}}, Logger: zerolog.Nop(),
		machines: map[string]*Machine{}, engines: map[string]*Engine{}, lost: map[string]bool{}, random: random, ctx: ctx, cancel: cancel,
		reservesPrompts: true,
	}
	f.callers = &http.Transport{DialContext: f.Network.Dialer(callerMachine), DisableKeepAlives: true}
	for number := range controls {
		f.AddMachine(fmt.Sprintf("control-%d", number), fmt.Sprintf("10.0.1.%d", number+1), zones[number%len(zones)], true)
	}
	for number := range entries {
		f.AddMachine(fmt.Sprintf("entry-%d", number), fmt.Sprintf("10.0.2.%d", number+1), zones[number%len(zones)], false)
	}
	return f
}

// AddMachine adds a machine that does not run yet.
func (f *Fleet) AddMachine(name, host, zone string, control bool) {
	f.machinesMutex.Lock()
	defer f.machinesMutex.Unlock()
	f.order = append(f.order, name)
	f.machines[name] = &Machine{
		Name: name, Host: host, Zone: zone, IsControl: control,
		Disk: disk.NewSimulated(rand.New(rand.NewPCG(f.random.Uint64(), 0))),
	}
}

// Machine returns a machine by its name.
func (f *Fleet) Machine(name string) *Machine {
	f.machinesMutex.RLock()
	defer f.machinesMutex.RUnlock()
	return f.machines[name]
}

// MachineNames returns the names of the control or the entry machines.
func (f *Fleet) MachineNames(control bool) []string {
	f.machinesMutex.RLock()
	defer f.machinesMutex.RUnlock()
	var names []string
	for _, name := range f.order {
		if f.machines[name].IsControl == control {
			names = append(names, name)
		}
	}
	return names
}

// Start boots all machines for the first time and begins to send the engines' heartbeats.
func (f *Fleet) Start() {
	for _, name := range f.order {
		f.Boot(name)
	}
	f.hasStarted = true
	f.goroutines.Go(f.heartbeats)
}

// Boot starts a machine's node with the current contents of its disk.
func (f *Fleet) Boot(name string) {
	machine := f.Machine(name)
	nodeSettings := &settings.Settings{
		Node:   settings.Node{Name: name, Zone: machine.Zone, Roles: []string{settings.RoleEntry}},
		Listen: settings.Listen{Peers: machine.Peer()},
		Fleet:  settings.Fleet{Dialect: "lab", PeerPort: peerPort, FirstStart: !f.hasStarted, PromptReservations: f.reservesPrompts, PromptReservationsFromEntries: 1, RetriesReturn: f.retriesReturn},
		Bounds: settings.Bounds{StopGrace: settings.DefaultStopGrace, RetryWindow: settings.DefaultRetryWindow, RetryRatio: 0.2, RetrySlack: 50, ExposureShare: settings.DefaultExposureShare},
	}
	nodeSettings.Fleet.Seeds = f.seeds()
	listen := func(port int) net.Listener {
		return f.Network.Listen(name, fmt.Sprintf("%s:%d", machine.Host, port))
	}
	options := gateway.Options{
		Settings: nodeSettings, PeerKey: []byte(peerKey), Dialect: wire.Dialect{}, Logger: f.Logger.With().Str("node", name).Logger(),
		Listeners: gateway.Listeners{Peers: listen(peerPort), Operators: listen(operatorsPort)},
		DialPeer:  f.dialer(name), DialEngine: f.dialer(name),
	}
	if machine.IsControl {
		nodeSettings.Node.Roles = []string{settings.RoleControl}
		options.FileSystem = machine.Disk
		options.Listeners.Control = listen(controlPort)
	} else {
		options.Listeners.Callers, options.Listeners.Ready = listen(callersPort), listen(readyPort)
		nodeSettings.Limits.LinkMbps = f.linkMbps
		if f.linkMbps > 0 {
			f.Network.SetBandwidth(name, f.linkMbps*bytesPerMegabit)
		}
	}
	started, err := gateway.New(options)
	if err != nil {
		panic(fmt.Sprintf("booting %s: %v", name, err))
	}
	ctx, cancel := context.WithCancel(f.ctx)
	current := &process{node: started, cancel: cancel, ended: make(chan struct{})}
	machine.process.Store(current)
	f.goroutines.Go(func() {
		defer close(current.ended)
		_ = started.Run(ctx)
	})
}

// seedCount is the maximum number of seeds in a node's settings.
const seedCount = 3

// seeds returns the control addresses of the newest control machines that are not lost, for the
// settings of a node that boots now.
func (f *Fleet) seeds() []string {
	var seeds []string
	for _, name := range f.MachineNames(true) {
		if !f.isLost(name) {
			seeds = append(seeds, fmt.Sprintf("%s:%d", f.Machine(name).Host, controlPort))
		}
	}
	return seeds[max(0, len(seeds)-seedCount):]
}

// MarkLost records that a machine never starts again.
func (f *Fleet) MarkLost(name string) {
	f.machinesMutex.Lock()
	defer f.machinesMutex.Unlock()
	f.lost[name] = true
}

func (f *Fleet) isLost(name string) bool {
	f.machinesMutex.RLock()
	defer f.machinesMutex.RUnlock()
	return f.lost[name]
}

func (f *Fleet) dialer(name string) func(context.Context, string) (net.Conn, error) {
	dial := f.Network.Dialer(name)
	return func(ctx context.Context, address string) (net.Conn, error) { return dial(ctx, "memory", address) }
}

// Kill ends a machine's process immediately; its files keep what was written.
func (f *Fleet) Kill(name string) {
	machine := f.Machine(name)
	f.Network.BreakMachine(name)
	machine.Disk.Kill()
	current := machine.process.Load()
	current.cancel()
	<-current.ended
	f.Network.BreakMachine(name)
}

// PowerOff cuts the power of a machine; its disk loses what was not synced.
func (f *Fleet) PowerOff(name string) {
	f.Kill(name)
	f.Machine(name).Disk.Crash()
}

// PowerOffAll cuts the power of all machines; BootAll starts them again.
func (f *Fleet) PowerOffAll() { f.forEachMachine(f.PowerOff) }

// BootAll boots all machines.
func (f *Fleet) BootAll() { f.forEachMachine(f.Boot) }

func (f *Fleet) forEachMachine(act func(name string)) {
	for _, name := range append(f.MachineNames(true), f.MachineNames(false)...) {
		act(name)
	}
}

// Wipe empties a stopped machine's disk.
func (f *Fleet) Wipe(name string) { f.Machine(name).Disk.Erase() }

// Stop shuts a machine's node down gracefully, as a signal would, and returns the number of requests
// that were interrupted.
func (f *Fleet) Stop(name string) int64 {
	machine := f.Machine(name)
	ctx, cancel := context.WithTimeout(f.ctx, settings.DefaultStopGrace)
	defer cancel()
	current := machine.process.Load()
	interrupted := current.node.Stop(ctx)
	current.cancel()
	<-current.ended
	f.Network.BreakMachine(name)
	return interrupted
}

// Close stops all machines and engines and waits until they have ended.
func (f *Fleet) Close() {
	f.Network.Heal()
	f.cancel()
	for _, name := range f.order {
		f.Network.BreakMachine(name)
	}
	for _, engine := range f.engines {
		f.Network.BreakMachine(engine.ID)
	}
	f.goroutines.Wait()
	f.callers.CloseIdleConnections()
}

func isClosed(channel chan struct{}) bool {
	select {
	case <-channel:
		return true
	default:
		return false
	}
}

// PutConfiguration sends a configuration until a control node acknowledges it or the time is up.
func (f *Fleet) PutConfiguration(sent *document.Document, maximumWait time.Duration) error {
	raw, err := sent.Encode()
	if err != nil {
		return err
	}
	return f.tryControls(maximumWait, func(ctx context.Context, node *gateway.Node) error {
		_, err := node.CommitDocument(ctx, sent, raw)
		return err
	})
}

// ReadConfiguration returns the newest configuration as one control node reads it, nil if there is none.
func (f *Fleet) ReadConfiguration(name string) (*document.Document, error) {
	raw, err := f.Machine(name).running().ReadDocument(f.ctx)
	if err != nil || raw == nil {
		return nil, err
	}
	return document.Decode(raw)
}

// ReadNewestConfiguration returns the newest configuration from the first control node that can confirm that it is
// the newest.
func (f *Fleet) ReadNewestConfiguration(maximumWait time.Duration) (*document.Document, error) {
	var read *document.Document
	err := f.tryControls(maximumWait, func(ctx context.Context, node *gateway.Node) error {
		raw, err := node.ReadDocument(ctx)
		if err != nil {
			return err
		}
		read, err = document.Decode(raw)
		return err
	})
	return read, err
}

// OrderZone evacuates or restores a zone; it retries until a control node acknowledges the order.
func (f *Fleet) OrderZone(zone string, evacuated bool, maximumWait time.Duration) error {
	return f.tryControls(maximumWait, func(ctx context.Context, node *gateway.Node) error {
		_, err := orderZoneAt(ctx, node, zone, evacuated)
		return err
	})
}

func (f *Fleet) tryControls(maximumWait time.Duration, try func(context.Context, *gateway.Node) error) error {
	err := errors.New("no control node runs")
	for start := time.Now(); time.Since(start) < maximumWait; time.Sleep(pollInterval) {
		for _, name := range f.MachineNames(true) {
			node := f.Machine(name).running()
			if node == nil {
				continue
			}
			if err = try(f.ctx, node); err == nil {
				return nil
			}
		}
	}
	return err
}

// WaitFor waits until a condition holds; what describes the condition in the error.
func (f *Fleet) WaitFor(maximumWait time.Duration, what string, condition func() bool) error {
	for start := time.Now(); time.Since(start) < maximumWait; time.Sleep(pollInterval) {
		if condition() {
			return nil
		}
	}
	return fmt.Errorf("timed out waiting for %s after %s", what, maximumWait)
}

// Ready reports whether an entry node's readiness endpoint accepts callers.
func (f *Fleet) Ready(name string) bool {
	response, err := f.get(fmt.Sprintf("http://%s:%d%s", f.Machine(name).Host, readyPort, wire.ReadyPath))
	return err == nil && response.Status == http.StatusOK
}

// OperatorClient returns a client of a node's operator listener.
func (f *Fleet) OperatorClient(name string) ravenwayv1connect.OperatorServiceClient {
	return ravenwayv1connect.NewOperatorServiceClient(&http.Client{Transport: f.callers}, fmt.Sprintf("http://%s:%d", f.Machine(name).Host, operatorsPort))
}
