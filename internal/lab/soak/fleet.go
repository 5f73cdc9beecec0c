package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/ravenway/ravenway/internal/coordination/registry"
	"github.com/ravenway/ravenway/internal/pause"
	"github.com/ravenway/ravenway/internal/state/document"

	"github.com/ravenway/ravenway/internal/lab/standin"
)

const (
	serviceModel      = "model"
	servicePlain      = "plain"
	callHost          = "soak.example"
	controlCount      = 3
	modelEngines      = 3
	heartbeatInterval = 400 * time.Millisecond
	callTimeout       = 5 * time.Second
	controlWait       = time.Second
	tenantCount       = 3
	firstPrepaid      = 40_000
	prepaidIncrement  = 15_000
	fileMode          = 0o600
	directoryMode     = 0o700
	peerKeyLength     = 48
	firstLane         = 10
)

var zones = []string{"a", "b", "c"}

// fleet is the whole deployment: machines, engines, and the state of the operator and of the
// engines.
type fleet struct {
	// lane is added to firstLane for the second number of the run's loopback addresses.
	lane   int
	wire   standin.Wire
	random *rand.Rand
	truth  *GroundTruth
	client *http.Client
	seeds  []string
	// members are the machines of all nodes, those of the control nodes first.
	members []*machine

	mutex sync.Mutex
	// engines are the running engines, by the name of their place. A place has a fixed address and
	// zone, and at most one engine runs there at a time.
	engines          map[string]*engine
	incarnationCount int
	// allIncarnations holds all incarnations of engines since the start of the run.
	allIncarnations []*engine
	// plainVersion is the version of new engines of the plain service.
	plainVersion string
	// modelVersion is the version of new engines of the model service.
	modelVersion string
	// startedAt is the start of the run; crashSpans are the spans in which poison requests crashed
	// engines.
	startedAt  time.Time
	crashSpans []span
	// modelsAreBrittle and modelRoom apply to new engines of the model service; brittleCrashes counts
	// those that crashed for want of room.
	modelsAreBrittle bool
	modelRoom        int
	brittleCrashes   int
	// isClosed prevents further starts of engines; firstError is the error of the first failed
	// start.
	isClosed   bool
	firstError error
	// desired is the newest configuration that the operator sends or is to send.
	desired *document.Document
	// acknowledged is the highest acknowledged version of the configuration.
	acknowledged uint64
	// prepaid is the highest prepaid budget, in tokens, that was ever sent for each tenant.
	prepaid map[string]uint64
}

// newFleet writes the folders and starts nothing. The loopback addresses contain the run's lane, so
// that several runs can share a machine.
func newFleet(options Options) (*fleet, error) {
	made := &fleet{
		lane: options.Lane, wire: options.Wire, random: rand.New(rand.NewPCG(options.Seed, 1)), truth: newTruth(),
		client:  &http.Client{Timeout: controlWait, Transport: &http.Transport{DisableKeepAlives: true}},
		engines: map[string]*engine{}, plainVersion: oldVersion, modelVersion: oldVersion, prepaid: map[string]uint64{},
	}
	key := make([]byte, peerKeyLength)
	for position := range key {
		key[position] = byte('a' + made.random.IntN(26))
	}
	if err := os.WriteFile(filepath.Join(options.Folder, "peer.key"), key, fileMode); err != nil {
		return nil, err
	}
	for number := range controlCount + options.Entries {
		one := &machine{name: fmt.Sprintf("entry-%d", number-controlCount), zone: zones[number%len(zones)], isControl: number < controlCount}
		if one.isControl {
			one.name = fmt.Sprintf("control-%d", number)
		}
		one.host = fmt.Sprintf("127.%d.1.%d", firstLane+options.Lane, number+1)
		one.folder = filepath.Join(options.Folder, one.name)
		one.newestDaemon = options.Daemon
		if one.daemon = options.Daemon; options.EarlierDaemon != "" {
			one.daemon = options.EarlierDaemon
		}
		if err := os.MkdirAll(one.folder, directoryMode); err != nil {
			return nil, err
		}
		if one.isControl {
			made.seeds = append(made.seeds, one.address(controlPort))
		}
		made.members = append(made.members, one)
	}
	made.desired = firstConfiguration()
	return made, nil
}

func firstConfiguration() *document.Document {
	route := func(name, service string, kind document.RouteKind, resumable bool) document.Route {
		return document.Route{
			Name: name, Host: callHost, Prefix: "/" + name + "/", Kind: kind, Timeout: callTimeout, Objective: 300 * time.Millisecond,
			EventGap: 400 * time.Millisecond, MaximumAttempts: 2, Resumable: resumable, Targets: []document.Target{{Service: service, Weight: 1}},
		}
	}
	patient := route(hangRoute, servicePlain, document.NotRepeatable, false)
	patient.Timeout = hangTimeout
	desired := &document.Document{
		Version: 1, Limits: document.Limits{MaximumHeaderBytes: 16 << 10, MaximumBodyBytes: 2 * cutUploadBytes, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
		Routes: []document.Route{
			route("safe", servicePlain, document.Repeatable, false), route("once", servicePlain, document.NotRepeatable, false),
			route("stream", serviceModel, document.Stream, false), route("resumable", serviceModel, document.Stream, true),
			patient,
		},
		Services: []document.Service{
			{Name: servicePlain, MaximumConnections: 200}, {Name: serviceModel, MaximumConnections: 200, Slots: 64, CacheTokens: 1 << 20, EventTokens: eventTokens},
		},
	}
	for number := range tenantCount {
		name := fmt.Sprintf("tenant-%d", number)
		desired.Tenants = append(desired.Tenants, document.Tenant{Name: name, Keys: []string{keyPrefix + name}, Prepaid: firstPrepaid, HasPrepaid: true})
	}
	return desired
}

// start opens the relays, starts all daemons and engines, and sends the first configuration.
func (f *fleet) start(ctx context.Context) error {
	for _, one := range f.members {
		var err error
		if one.relay, err = startRelay(one.address(peerPort), one.address(peerBindPort)); err != nil {
			return err
		}
	}
	for _, one := range f.members {
		if err := one.start(f.wire, f.seeds, true); err != nil {
			return err
		}
	}
	for number := range 6 {
		service := serviceModel
		if number >= modelEngines {
			service = servicePlain
		}
		if err := f.addEngine(service, number, ""); err != nil {
			return err
		}
	}
	return f.waitFor(ctx, 20*time.Second, "the first configuration and ready entries", func() bool {
		return f.sendConfiguration(ctx) && f.allReady()
	})
}

// addEngine starts a new incarnation of an engine at a place, under a given instance id, or under a
// newly generated one if id is "".
func (f *fleet) addEngine(service string, place int, id string) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	version := f.modelVersion
	if service == servicePlain {
		version = f.plainVersion
	}
	return f.startEngineLocked(service, version, place, id, false)
}

// addEngineOfVersion starts an engine of a version, which fails all plain calls if fails is set.
func (f *fleet) addEngineOfVersion(service, version string, place int, fails bool) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.startEngineLocked(service, version, place, "", fails)
}

// startEngineLocked starts an engine. The caller holds the mutex.
func (f *fleet) startEngineLocked(service, version string, place int, id string, fails bool) error {
	if f.isClosed {
		return nil
	}
	f.incarnationCount++
	name := placeName(place)
	if id == "" {
		id = fmt.Sprintf("i-%d-%d", place, f.incarnationCount)
	}
	host := fmt.Sprintf("127.%d.2.%d", firstLane+f.lane, place+1)
	started, err := startEngine(registry.Instance{
		ID: id, StartedAt: time.Now().UnixMilli(), Service: service, Address: net.JoinHostPort(host, fmt.Sprint(enginePort)),
		Zone: zones[place%len(zones)], Version: version, Slots: 64,
	}, f.wire, f.truth, fails, func(ended *engine, body string) { f.crashByPoison(ended, place, body) })
	if err != nil {
		return err
	}
	started.onWantOfRoom(func(ended *engine) { f.crashForWantOfRoom(ended, place) })
	if service == serviceModel {
		started.setBrittle(f.modelsAreBrittle, f.modelRoom)
	}
	f.engines[name] = started
	f.allIncarnations = append(f.allIncarnations, started)
	return nil
}

// sendHeartbeats sends the heartbeats of all engines, each to the first control node that accepts
// it.
func (f *fleet) sendHeartbeats(ctx context.Context) {
	for ctx.Err() == nil {
		f.mutex.Lock()
		var heartbeats []registry.Instance
		for _, one := range f.engines {
			heartbeats = append(heartbeats, one.heartbeat())
		}
		f.mutex.Unlock()
		for _, instance := range heartbeats {
			path, body := f.wire.Heartbeat(instance)
			go f.callControl(ctx, http.MethodPut, path, body)
		}
		pause.For(ctx, heartbeatInterval)
	}
}

// callControl calls the control nodes in a random order until one responds with status 200. Each
// of the calls may take controlWait.
func (f *fleet) callControl(ctx context.Context, method, path string, body []byte) ([]byte, bool) {
	for _, position := range rand.Perm(controlCount) {
		received, status := f.callControlNode(ctx, f.members[position], method, path, body)
		if status == http.StatusOK {
			return received, true
		}
	}
	return nil, false
}

func (f *fleet) callControlNode(ctx context.Context, one *machine, method, path string, body []byte) ([]byte, int) {
	return f.callAddress(ctx, one.address(controlPort), method, path, body)
}

// callAddress sends a call, which may take controlWait, and returns the response; status 0 means that there
// was none.
func (f *fleet) callAddress(ctx context.Context, address, method, path string, body []byte) ([]byte, int) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, 0
	}
	response, err := f.client.Do(request)
	if err != nil {
		return nil, 0
	}
	defer response.Body.Close()
	received, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, 0
	}
	return received, response.StatusCode
}

// changeConfiguration makes a new version of the configuration with prepaidIncrement more prepaid
// tokens for one tenant.
func (f *fleet) changeConfiguration(number int) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	changed := *f.desired
	changed.Version += 1 + uint64(number%3)
	changed.Tenants = append([]document.Tenant(nil), changed.Tenants...)
	changed.Tenants[number%len(changed.Tenants)].Prepaid += prepaidIncrement
	f.desired = &changed
}

// sendConfiguration sends the newest configuration and reports whether it was acknowledged.
func (f *fleet) sendConfiguration(ctx context.Context) bool {
	f.mutex.Lock()
	desired := f.desired
	for _, tenant := range desired.Tenants {
		f.prepaid[tenant.Name] = max(f.prepaid[tenant.Name], tenant.Prepaid)
	}
	f.mutex.Unlock()
	path, body := f.wire.Configuration(desired)
	if _, accepted := f.callControl(ctx, http.MethodPut, path, body); !accepted {
		return false
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.acknowledged = max(f.acknowledged, desired.Version)
	return true
}

// checkConfiguration reads the configuration and returns what is wrong with it, or "".
func (f *fleet) checkConfiguration(ctx context.Context) string {
	f.mutex.Lock()
	desired, acknowledged := f.desired, f.acknowledged
	f.mutex.Unlock()
	path, sent := f.wire.Configuration(desired)
	read, found := f.callControl(ctx, http.MethodGet, path, nil)
	switch {
	case !found:
		return "no control node returned the configuration"
	case acknowledged == desired.Version && !bytes.Equal(read, sent):
		return fmt.Sprintf("version %d was acknowledged, but the configuration that was read differs: %.80s", acknowledged, read)
	}
	return ""
}

func (f *fleet) allReady() bool {
	for _, one := range f.members {
		if !one.isControl && !f.isReady(one) {
			return false
		}
	}
	return true
}

// isReady reports whether an entry node is ready for callers.
func (f *fleet) isReady(one *machine) bool {
	response, err := f.client.Get("http://" + one.address(readyPort) + f.wire.ReadyPath())
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// isInService reports whether a machine is in service: an entry node is ready, a control node
// returns the configuration.
func (f *fleet) isInService(ctx context.Context, one *machine) bool {
	if !one.isControl {
		return f.isReady(one)
	}
	f.mutex.Lock()
	desired := f.desired
	f.mutex.Unlock()
	path, _ := f.wire.Configuration(desired)
	_, status := f.callControlNode(ctx, one, http.MethodGet, path, nil)
	return status == http.StatusOK
}

func (f *fleet) waitFor(ctx context.Context, timeout time.Duration, what string, condition func() bool) error {
	deadline := time.Now().Add(timeout)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		if condition() {
			return nil
		}
		pause.For(ctx, 50*time.Millisecond)
	}
	return fmt.Errorf("timed out after %s waiting for %s", timeout, what)
}

// close ends all processes, relays and engines of this run, and only by the handles that the run
// holds.
func (f *fleet) close() {
	for _, one := range f.members {
		one.kill()
		if one.relay != nil {
			one.relay.close()
		}
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.isClosed = true
	for _, one := range f.engines {
		one.crash()
	}
}

// recordError records the first failed start of an engine outside the fault series.
func (f *fleet) recordError(err error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.firstError == nil {
		f.firstError = err
	}
}
