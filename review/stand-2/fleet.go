package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Ports of a daemon and of an engine; each has a loopback address of its own.
const (
	peerPort      = 7340
	operatorsPort = 7341
	healthPort    = 7355
	readyPort     = 8220
	callersPort   = 8227
	controlPort   = 8229
	enginePort    = 8080
)

const (
	daemonProgram = "target/ravenwayd"
	controlCount  = 3
	// controlWait is how long a caller of control waits for an answer before it moves to another node.
	controlWait  = time.Second
	startTimeout = 20 * time.Second
)

// Bounds of a small deployment, as its sheet states them.
const (
	contactTime = 3 * time.Second
	drainTime   = 2 * time.Second
	configTime  = 2 * time.Second
	// heartbeatTime is the time between two heartbeats of an engine.
	heartbeatTime = 1200 * time.Millisecond
)

// zone is a zone with its region.
type zone struct{ name, region string }

// lahore are the zones of a small deployment in one region, sicily those of one in three.
var (
	lahore = []zone{{"lhr-a", "lhr"}, {"lhr-b", "lhr"}, {"lhr-c", "lhr"}}
	sicily = []zone{
		{"pa-ballaro", "palermo"}, {"ct-borgo", "catania"}, {"tp-mazara", "trapani"},
		{"pa-kalsa", "palermo"}, {"ct-sanberillo", "catania"}, {"tp-marsala", "trapani"},
	}
)

// machine is one machine of the system with its daemon.
type machine struct {
	name      string
	zone      zone
	ip        string
	isControl bool
	folder    string
	command   *exec.Cmd
	ended     chan struct{}
}

func (m *machine) address(port int) string { return net.JoinHostPort(m.ip, strconv.Itoa(port)) }

// fleet is a small deployment.
type fleet struct {
	record *record
	// network begins the loopback addresses of the run.
	network  string
	zones    []zone
	machines []*machine
	// shortIdle is how long engines keep idle connections, if it is set.
	shortIdle time.Duration
	// findsSenders makes engines find out from which machine a request comes, which takes time.
	findsSenders bool
	// exposureShare is the bound on what a bad version gets, if the deployment has one.
	exposureShare float64
	client        *http.Client
}

// newFleet makes the machines of a deployment: three of the core, and fronts.
func newFleet(stage *stage, zones []zone, fronts int) (*fleet, error) {
	made := &fleet{record: stage.record, zones: zones, client: &http.Client{Timeout: controlWait, Transport: &http.Transport{DisableKeepAlives: true}}}
	if _, err := os.Stat(daemonProgram); err != nil {
		return nil, fmt.Errorf("the daemon is not built: %w", err)
	}
	if err := made.findNetwork(); err != nil {
		return nil, err
	}
	for number := range controlCount + fronts {
		one := &machine{zone: zones[number%len(zones)], ip: fmt.Sprintf("%s.%d", made.network, number+1), isControl: number < controlCount}
		if !one.isControl {
			one.zone = zones[(number-controlCount)%len(zones)]
		}
		one.name = fmt.Sprintf("front-%s-%d", one.zone.name, number-controlCount+1)
		if one.isControl {
			one.name = fmt.Sprintf("core-%s-1", one.zone.name)
		}
		one.folder = filepath.Join(stage.folder, one.name)
		if err := os.MkdirAll(one.folder, 0o700); err != nil {
			return nil, err
		}
		made.machines = append(made.machines, one)
	}
	return made, nil
}

// findNetwork finds loopback addresses at which all ports are free.
func (f *fleet) findNetwork() error {
	for range 50 {
		f.network = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
		if f.isFree() {
			return nil
		}
	}
	return errors.New("no free loopback addresses")
}

func (f *fleet) isFree() bool {
	for number := range 60 {
		for _, port := range []int{peerPort, operatorsPort, healthPort, readyPort, callersPort, controlPort, enginePort} {
			listener, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", f.network, number+1, port))
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}
	return true
}

// engineAddress returns the address of an engine's place.
func (f *fleet) engineAddress(place int) string {
	return fmt.Sprintf("%s.%d:%d", f.network, 30+place, enginePort)
}

func (f *fleet) controls() []*machine { return f.machines[:controlCount] }

func (f *fleet) fronts() []*machine { return f.machines[controlCount:] }

// writeSettings fills the deploy file's template for one machine. The operators' listener, which the
// template has at 127.0.0.1, is at the machine's own address, since all machines share the real one.
func (f *fleet) writeSettings(one *machine, isFirst bool) (string, error) {
	var text strings.Builder
	role, memory := "entry", 134
	if one.isControl {
		role, memory = "control", 280
	}
	fmt.Fprintf(&text, "[node]\nname = %q\nzone = %q\nroles = [%q]\n\n[listen]\npeers = %q\nhealth = %q\noperators = %q\n", one.name, one.zone.name, role,
		one.address(peerPort), one.address(healthPort), one.address(operatorsPort))
	if one.isControl {
		fmt.Fprintf(&text, "control = %q\n\n[control]\ndata_dir = %q\n", one.address(controlPort), filepath.Join(one.folder, "data"))
	} else {
		fmt.Fprintf(&text, "callers = %q\nready = %q\n", one.address(callersPort), one.address(readyPort))
	}
	var seeds, zones []string
	for _, seed := range f.controls() {
		seeds = append(seeds, strconv.Quote(seed.address(controlPort)))
	}
	for _, known := range f.zones {
		zones = append(zones, strconv.Quote(known.name))
	}
	fmt.Fprintf(&text, "\n[fleet]\ndialect = \"platform\"\nseeds = [%s]\npeer_port = %d\nzones = [%s]\nfirst_start = %v\nretries_return = true\n[fleet.regions]\n",
		strings.Join(seeds, ","), peerPort, strings.Join(zones, ","), isFirst)
	for _, known := range f.zones {
		fmt.Fprintf(&text, "%q = %q\n", known.name, known.region)
	}
	fmt.Fprintf(&text, "\n[security]\npeer_key_file = \"deploy/peer.key\"\n\n[limits]\nmemory_mb = %d\nlink_mbps = 1000.0\n\n"+
		"[bounds]\nstop_grace = \"8s\"\nretry_window = \"10s\"\nretry_ratio = 0.2\nretry_slack = 54\n", memory)
	if f.exposureShare > 0 {
		fmt.Fprintf(&text, "exposure_share = %v\n", f.exposureShare)
	}
	path := filepath.Join(one.folder, "local.toml")
	return path, os.WriteFile(path, []byte(text.String()), 0o600)
}

// startAll starts all daemons.
func (f *fleet) startAll(isFirst bool) error {
	for _, one := range f.machines {
		if err := f.start(one, isFirst); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) start(one *machine, isFirst bool) error {
	path, err := f.writeSettings(one, isFirst)
	if err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(one.folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	one.command = exec.Command(daemonProgram, "run", path)
	one.command.Stdout, one.command.Stderr = log, log
	if err := one.command.Start(); err != nil {
		_ = log.Close()
		return fmt.Errorf("starting %s: %w", one.name, err)
	}
	f.record.linef("process", "%s starts at %s", one.name, one.ip)
	command, ended := one.command, make(chan struct{})
	one.ended = ended
	go func() {
		err := command.Wait()
		_ = log.Close()
		f.record.linef("process", "%s ends: %v", one.name, err)
		close(ended)
	}()
	return nil
}

// signal sends a signal to the daemons of some machines.
func (f *fleet) signal(machines []*machine, sent syscall.Signal) {
	for _, one := range machines {
		if one.command == nil || one.command.Process == nil {
			continue
		}
		f.record.linef("process", "%s gets %v", one.name, sent)
		_ = one.command.Process.Signal(sent)
	}
}

// kill ends daemons with SIGKILL and waits for their end.
func (f *fleet) kill(machines []*machine) {
	f.signal(machines, syscall.SIGKILL)
	for _, one := range machines {
		if one.ended != nil {
			<-one.ended
		}
	}
}

// stop ends all daemons. With KEEP_LOGS it copies their logs there.
func (f *fleet) stop() {
	f.kill(f.machines)
	if folder := os.Getenv("KEEP_LOGS"); folder != "" {
		for _, one := range f.machines {
			if content, err := os.ReadFile(filepath.Join(one.folder, "log")); err == nil {
				_ = os.WriteFile(filepath.Join(folder, one.name+".log"), content, 0o600)
			}
		}
	}
}

// isReady asks a front as the platform does.
func (f *fleet) isReady(ctx context.Context, one *machine) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+one.address(readyPort)+"/ravenway/ready", nil)
	if err != nil {
		return false
	}
	response, err := f.client.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// waitReady waits until all fronts are ready.
func (f *fleet) waitReady(ctx context.Context) error {
	deadline := time.Now().Add(startTimeout)
	for _, one := range f.fronts() {
		for !f.isReady(ctx, one) {
			if time.Now().After(deadline) || ctx.Err() != nil {
				return fmt.Errorf("%s does not become ready", one.name)
			}
			sleep(ctx, 50*time.Millisecond)
		}
	}
	return nil
}

// sleep waits for a time or for the context's end.
func sleep(ctx context.Context, lasting time.Duration) {
	timer := time.NewTimer(lasting)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
