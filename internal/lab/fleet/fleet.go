package fleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/rs/zerolog"

	ravenwayv1 "github.com/ravenway/ravenway/api/ravenway/v1"
	"github.com/ravenway/ravenway/api/ravenway/v1/ravenwayv1connect"
	"github.com/ravenway/ravenway/internal/lab/deployment"
	"github.com/ravenway/ravenway/internal/lab/emulator"
	"github.com/ravenway/ravenway/internal/lab/load"
	"github.com/ravenway/ravenway/internal/node"
	"github.com/ravenway/ravenway/internal/settings"
	"github.com/ravenway/ravenway/internal/state/disk"
)

const (
	// callerMachine is the machine of callers and operators; it is never partitioned.
	callerMachine = "caller"
	peerKey       = "fleet-peer-key-of-at-least-32-bytes"
)

// Machine is one node's machine.
type Machine struct {
	deployment.Node
	disk   *disk.Simulated
	node   *node.Node
	cancel context.CancelFunc
	// ended is closed once the node has stopped running.
	ended chan struct{}
	// transport carries the node's requests to back ends.
	transport *http.Transport
}

// Fleet is a deployment in one process.
type Fleet struct {
	Plan     deployment.Plan
	Network  *Network
	Emulator *emulator.World
	Logger   zerolog.Logger
	machines map[string]*Machine
	// MachineNames lists the machines' names in the order of the deployment's plan.
	MachineNames []string
	ctx          context.Context
	cancel       context.CancelFunc
	goroutines   sync.WaitGroup
	callers      *http.Transport
	operators    map[string]ravenwayv1connect.OperatorServiceClient
	// DeadAfter is the time since the last contact with a node after which its grants are reclaimed.
	DeadAfter time.Duration
}

// New returns a fleet whose machines do not run yet.
func New(plan deployment.Plan, random *rand.Rand, engines emulator.EngineOptions) *Fleet {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Fleet{
		Plan: plan, Network: NewNetwork(), Emulator: emulator.NewWorld(plan.Catalog(), engines, emulator.NewGroundTruth(nil)),
		Logger: zerolog.Nop(), machines: map[string]*Machine{}, ctx: ctx, cancel: cancel,
		operators: map[string]ravenwayv1connect.OperatorServiceClient{}, DeadAfter: 8 * time.Second,
	}
	f.callers = &http.Transport{DialContext: f.Network.Dialer(callerMachine), MaxIdleConnsPerHost: 64}
	for _, planned := range plan.Nodes() {
		f.MachineNames = append(f.MachineNames, planned.Name)
		f.machines[planned.Name] = &Machine{Node: planned, disk: disk.NewSimulated(rand.New(rand.NewPCG(random.Uint64(), 0)))}
		client := &http.Client{Transport: f.callers, Timeout: 20 * time.Second}
		f.operators[planned.Name] = ravenwayv1connect.NewOperatorServiceClient(client, "http://"+planned.Address(deployment.OperatorsPort))
	}
	return f
}

// zoneMachine returns the name of the machine that all back ends of a zone run on.
func zoneMachine(zone string) string { return "backends-" + zone }

// Start starts the emulator and all nodes, and waits for a leader with all control nodes as voters.
func (f *Fleet) Start() error {
	f.goroutines.Go(func() { f.Emulator.RunEngines(f.ctx) })
	for _, backend := range f.Plan.Catalog().GetBackends() {
		handler := f.Emulator.Handlers()[backend.GetAddress()]
		f.serve(zoneMachine(backend.GetZone()), backend.GetAddress(), handler)
	}
	f.serve("platform", f.Plan.AdminAddress(), f.Emulator.AdminHandler())
	for _, name := range f.MachineNames {
		if err := f.Boot(name); err != nil {
			return err
		}
	}
	return f.WaitFor(30*time.Second, "a leader with all voters", f.HasAllVoters)
}

func (f *Fleet) serve(machine, address string, handler http.Handler) {
	server := &http.Server{Handler: handler}
	listener := f.Network.Listen(machine, address)
	f.goroutines.Go(func() { _ = server.Serve(listener) })
	f.goroutines.Go(func() {
		<-f.ctx.Done()
		_ = server.Close()
	})
}

// Boot starts a machine's node with the current contents of its disk.
func (f *Fleet) Boot(name string) error {
	machine := f.machines[name]
	machine.transport = &http.Transport{DialContext: f.Network.Dialer(name), MaxIdleConnsPerHost: 16, IdleConnTimeout: 10 * time.Second}
	dial := f.Network.Dialer(name)
	nodeSettings := f.settings(machine.Node)
	options := node.Options{
		Settings: nodeSettings, PeerKey: []byte(peerKey), FileSystem: machine.disk, Logger: f.Logger.With().Str("node", name).Logger(),
		BackendTransport: machine.transport,
		DialPeer: func(ctx context.Context, address string) (net.Conn, error) {
			return dial(ctx, "memory", address)
		},
		Listeners: node.Listeners{
			Callers:   f.Network.Listen(name, machine.Address(deployment.CallersPort)),
			Operators: f.Network.Listen(name, machine.Address(deployment.OperatorsPort)),
			Peers:     f.Network.Listen(name, machine.Address(deployment.PeersPort)),
			Health:    f.Network.Listen(name, machine.Address(deployment.HealthPort)),
		},
	}
	started, err := node.New(options)
	if err != nil {
		return fmt.Errorf("booting %s: %w", name, err)
	}
	ctx, cancel := context.WithCancel(f.ctx)
	machine.node, machine.cancel, machine.ended = started, cancel, make(chan struct{})
	ended := machine.ended
	f.goroutines.Go(func() {
		defer close(ended)
		_ = started.Run(ctx)
	})
	return nil
}

func (f *Fleet) settings(planned deployment.Node) *settings.Settings {
	roles := []string{settings.RoleEntry}
	if planned.IsControl {
		roles = append(roles, settings.RoleControl)
	}
	nodeSettings := &settings.Settings{
		Node:     settings.Node{Name: planned.Name, Zone: planned.Zone, Roles: roles},
		Control:  settings.Control{Bootstrap: planned.Name == f.MachineNames[0], DeadAfter: f.DeadAfter},
		Platform: settings.Platform{MachinesURL: "http://" + f.Plan.AdminAddress()},
		Limits: settings.Limits{
			MaximumBodyBytes: settings.DefaultMaximumBodyBytes, BodyTimeout: settings.DefaultBodyTimeout, MaximumStreams: settings.DefaultMaximumStreams,
			ResponseStoreBytes: settings.DefaultResponseStoreBytes, RequestDeadline: settings.DefaultRequestDeadline,
		},
	}
	for _, other := range f.Plan.Nodes() {
		nodeSettings.Peers = append(nodeSettings.Peers, settings.Peer{
			Name: other.Name, Zone: other.Zone, Address: other.Address(deployment.PeersPort), Control: other.IsControl,
		})
	}
	return nodeSettings
}

// Kill crashes a machine: its connections break, and its disk loses what was not synced.
func (f *Fleet) Kill(name string) {
	machine := f.machines[name]
	f.Network.BreakMachine(name)
	machine.disk.Crash()
	machine.cancel()
	<-machine.ended
	machine.transport.CloseIdleConnections()
	f.Network.BreakMachine(name)
}

// EraseDisk empties a killed machine's disk.
func (f *Fleet) EraseDisk(name string) { f.machines[name].disk.Erase() }

// StopGracefully shuts a node down gracefully, as a signal would, and returns the number of streams that
// were interrupted.
func (f *Fleet) StopGracefully(ctx context.Context, name string) int64 {
	machine := f.machines[name]
	interrupted := machine.node.Stop(ctx)
	machine.cancel()
	<-machine.ended
	machine.transport.CloseIdleConnections()
	f.Network.BreakMachine(name)
	return interrupted
}

// Close stops all nodes and the emulator and waits until they have ended.
func (f *Fleet) Close() {
	f.Network.Heal()
	f.cancel()
	f.callers.CloseIdleConnections()
	for _, name := range f.MachineNames {
		f.machines[name].transport.CloseIdleConnections()
		f.Network.BreakMachine(name)
	}
	f.goroutines.Wait()
	f.callers.CloseIdleConnections()
}

// ZoneMachines returns the names of a zone's nodes and of its machine for back ends.
func (f *Fleet) ZoneMachines(zone string) []string {
	names := []string{zoneMachine(zone)}
	for _, name := range f.MachineNames {
		if f.machines[name].Zone == zone {
			names = append(names, name)
		}
	}
	return names
}

// PartitionZone partitions a zone's machines from all others except the callers' machine.
func (f *Fleet) PartitionZone(zone string) {
	var others []string
	for _, other := range f.Plan.Zones {
		if other != zone {
			others = append(others, f.ZoneMachines(other)...)
		}
	}
	f.Network.PartitionBetween(f.ZoneMachines(zone), append(others, "platform"))
}

// WaitFor waits until a condition holds; what describes the condition in the error.
func (f *Fleet) WaitFor(maximumWait time.Duration, what string, condition func() bool) error {
	for deadline := time.Now().Add(maximumWait); time.Now().Before(deadline); {
		if condition() {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("timed out waiting for %s after %v", what, maximumWait)
}

// Status requests the status of the fleet as one node sees it.
func (f *Fleet) Status(name string) (*ravenwayv1.GetStatusResponse, error) {
	response, err := f.operators[name].GetStatus(f.ctx, connect.NewRequest(&ravenwayv1.GetStatusRequest{}))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

// OperatorClient returns a client of one node's operator listener.
func (f *Fleet) OperatorClient(name string) ravenwayv1connect.OperatorServiceClient {
	return f.operators[name]
}

// Provision applies the catalog, fills the budgets and waits until the catalog is in effect at all nodes.
func (f *Fleet) Provision() error {
	operator := f.operators[f.MachineNames[0]]
	applied, err := operator.Apply(f.ctx, connect.NewRequest(&ravenwayv1.ApplyRequest{Put: f.Plan.Catalog()}))
	if err != nil {
		return fmt.Errorf("applying the catalog: %w", err)
	}
	if len(applied.Msg.GetFindings()) > 0 {
		return fmt.Errorf("applying the catalog: %v", applied.Msg.GetFindings())
	}
	for _, tenant := range f.Plan.TenantNames() {
		request := &ravenwayv1.TopUpBudgetRequest{Budget: deployment.BudgetName(tenant), Tokens: f.Plan.TenantLimit(tenant)}
		if _, err := operator.TopUpBudget(f.ctx, connect.NewRequest(request)); err != nil {
			return fmt.Errorf("filling the budget of %s: %w", tenant, err)
		}
	}
	return f.WaitInEffect(applied.Msg.GetRevision(), f.MachineNames)
}

// WaitInEffect waits until a revision or a newer one is in effect at the given nodes.
func (f *Fleet) WaitInEffect(revision uint64, names []string) error {
	return f.WaitFor(20*time.Second, fmt.Sprintf("revision %d to be in effect", revision), func() bool {
		for _, name := range names {
			status, err := f.Status(name)
			if err != nil || status.GetRevision() < revision {
				return false
			}
		}
		return true
	})
}

// LoadClient returns a client that sends load from the callers' machine.
func (f *Fleet) LoadClient() *load.Client {
	return &load.Client{HTTP: &http.Client{Transport: f.callers}}
}

// EntryAddress returns a node's address for callers.
func (f *Fleet) EntryAddress(name string) string {
	return f.machines[name].Address(deployment.CallersPort)
}

// EntryAddresses returns the addresses for callers of the given nodes.
func (f *Fleet) EntryAddresses(names ...string) []string {
	var entries []string
	for _, name := range names {
		entries = append(entries, f.EntryAddress(name))
	}
	return entries
}

// Mix returns the deployment's load: large tenants send five times as many requests as others.
func (f *Fleet) Mix(seed uint64) load.Mix {
	var tenants []load.Tenant
	for _, name := range f.Plan.TenantNames() {
		share := 1
		if f.Plan.IsLarge(name) {
			share = 5
		}
		tenants = append(tenants, load.Tenant{Name: name, APIKey: f.Plan.APIKey(name), Share: share})
	}
	return load.NewMix(tenants, f.Plan.Model, f.Plan.PlainPrefix, rand.New(rand.NewPCG(seed, 1)))
}

// Budgets returns the state of all budgets by tenant.
func (f *Fleet) Budgets() (map[string]*ravenwayv1.BudgetStatus, error) {
	for _, name := range f.MachineNames {
		response, err := f.operators[name].GetBudgets(f.ctx, connect.NewRequest(&ravenwayv1.GetBudgetsRequest{}))
		if err != nil {
			continue
		}
		budgets := map[string]*ravenwayv1.BudgetStatus{}
		for _, budget := range response.Msg.GetBudgets() {
			budgets[budget.GetTenant()] = budget
		}
		return budgets, nil
	}
	return nil, fmt.Errorf("no node returned the budgets")
}

// HasAllVoters reports whether the leader has as many voters as there are control nodes.
func (f *Fleet) HasAllVoters() bool {
	controls := 0
	for _, planned := range f.Plan.Nodes() {
		if planned.IsControl {
			controls++
		}
	}
	for _, name := range f.MachineNames {
		if machine := f.machines[name]; machine.IsControl && machine.node.CaughtUpVoters() == controls {
			return true
		}
	}
	return false
}

// TopUp adds tokens to a tenant's budget through one node.
func (f *Fleet) TopUp(through, tenant string, tokens uint64, operationID string) error {
	response, err := f.operators[through].TopUpBudget(f.ctx, connect.NewRequest(&ravenwayv1.TopUpBudgetRequest{
		OperationId: operationID, Budget: deployment.BudgetName(tenant), Tokens: tokens,
	}))
	if err != nil {
		return err
	}
	if refused := response.Msg.GetRefused(); refused != "" {
		return fmt.Errorf("top-up was refused: %s", refused)
	}
	return nil
}
