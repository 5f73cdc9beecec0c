package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Ports of every machine, as offsets from the deployment's first port. All machines use alike ports.
const (
	peerPort = iota
	healthPort
	callersPort
	readyPort
	controlPort
	portCount
)

// zones are the zones of the deployment.
var zones = []string{"zone-a", "zone-b", "zone-c"}

// deployment is a small deployment of the project's own daemons on loopback addresses.
type deployment struct {
	record *record
	folder string
	binary string
	// network is the first three numbers of the machines' addresses, port the first port.
	network  string
	port     int
	memoryMB int
	machines []*machine
	// first is whether the whole system starts for the first time.
	first bool
	// isClosed is set once no process may start any more.
	isClosed atomic.Bool
}

// machine is one machine of the deployment with its one process.
type machine struct {
	deployment *deployment
	name, zone string
	isCore     bool
	ip         string

	mutex   sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	starts  int
	// isOut is whether the platform hands the machine no new connections.
	isOut atomic.Bool
}

// newDeployment lays out a deployment with some core machines and some front machines in each zone.
func newDeployment(log *record, cores, frontsPerZone int) (*deployment, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	created := &deployment{record: log, folder: folder, binary: "target/ravenwayd", memoryMB: 134, first: true}
	if _, err := os.Stat(created.binary); err != nil {
		return nil, fmt.Errorf("the project is not built: %w", err)
	}
	created.network = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
	for number := range cores {
		created.machines = append(created.machines, &machine{deployment: created, name: fmt.Sprintf("core-%d", number+1), zone: zones[number%len(zones)], isCore: true, ip: fmt.Sprintf("%s.%d", created.network, 10+number)})
	}
	for number := range frontsPerZone * len(zones) {
		created.machines = append(created.machines, &machine{deployment: created, name: fmt.Sprintf("front-%d", number+1), zone: zones[number%len(zones)], ip: fmt.Sprintf("%s.%d", created.network, 40+number)})
	}
	for range 50 {
		created.port = 20000 + 10*rand.IntN(1200)
		if created.portsAreFree() {
			return created, nil
		}
	}
	_ = os.RemoveAll(folder)
	return nil, errNoPorts
}

// startAll starts all machines within 0.3 s of each other and checks that their processes keep running.
func (d *deployment) startAll() error {
	for _, one := range d.machines {
		if err := one.start(); err != nil {
			return err
		}
	}
	time.Sleep(150 * time.Millisecond)
	for _, one := range d.machines {
		if !one.isRunning() {
			return fmt.Errorf("%s ended at its start: %s", one.name, one.log())
		}
	}
	return nil
}

var errNoPorts = errors.New("no free ports")

func (d *deployment) portsAreFree() bool {
	for _, one := range d.machines {
		addresses := []string{fmt.Sprintf("127.0.0.1:%d", one.operatorPort())}
		for port := range portCount {
			addresses = append(addresses, one.address(port))
		}
		for _, address := range addresses {
			listener, err := net.Listen("tcp", address)
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}
	return true
}

func (d *deployment) cores() []*machine {
	var found []*machine
	for _, one := range d.machines {
		if one.isCore {
			found = append(found, one)
		}
	}
	return found
}

func (d *deployment) fronts() []*machine {
	var found []*machine
	for _, one := range d.machines {
		if !one.isCore {
			found = append(found, one)
		}
	}
	return found
}

// close ends all processes and removes the folder.
func (d *deployment) close() {
	d.isClosed.Store(true)
	for _, one := range d.machines {
		one.signal(syscall.SIGCONT)
		one.kill()
	}
	_ = os.RemoveAll(d.folder)
}

func (m *machine) address(port int) string { return fmt.Sprintf("%s:%d", m.ip, m.deployment.port+port) }

// settings returns the filled deploy/settings.toml.template.
func (m *machine) settings() string {
	d := m.deployment
	role, listen, control := "entry", "", ""
	if m.isCore {
		role = "control"
		listen = fmt.Sprintf("control = %q\n", m.address(controlPort))
		control = fmt.Sprintf("[control]\ndata_dir = %q\n", filepath.Join(d.folder, m.name))
	} else {
		listen = fmt.Sprintf("callers = %q\nready = %q\n", m.address(callersPort), m.address(readyPort))
	}
	var seeds, zoneNames []string
	var regions strings.Builder
	for _, core := range d.cores()[:min(3, len(d.cores()))] {
		seeds = append(seeds, fmt.Sprintf("%q", core.address(controlPort)))
	}
	for _, zone := range zones {
		zoneNames = append(zoneNames, fmt.Sprintf("%q", zone))
		fmt.Fprintf(&regions, "%q = \"region\"\n", zone)
	}
	return fmt.Sprintf(`[node]
name = %q
zone = %q
roles = [%q]

[listen]
peers = %q
health = %q
operators = "127.0.0.1:%d"
%s
%s
[fleet]
dialect = "platform"
seeds = [%s]
peer_port = %d
zones = [%s]
first_start = %v
retries_return = true
[fleet.regions]
%s
[security]
peer_key_file = "deploy/peer.key"

[limits]
memory_mb = %d
link_mbps = 1000.0

[bounds]
stop_grace = "8s"
retry_window = "10s"
retry_ratio = 0.2
retry_slack = 54
`, m.name, m.zone, role, m.address(peerPort), m.address(healthPort), m.operatorPort(), listen, control, strings.Join(seeds, ","), d.port+peerPort,
		strings.Join(zoneNames, ","), d.first, regions.String(), m.memoryMB())
}

// operatorPort is a port of 127.0.0.1, which all machines share here and not on the platform.
func (m *machine) operatorPort() int {
	var last int
	_, _ = fmt.Sscanf(m.ip[strings.LastIndexByte(m.ip, '.')+1:], "%d", &last)
	return m.deployment.port + 100 + last
}

func (m *machine) memoryMB() int {
	if m.isCore {
		return 280
	}
	return m.deployment.memoryMB
}

// errClosed means that the deployment has ended.
var errClosed = errors.New("the deployment has ended")

// start starts the machine's process with the command of the deploy file.
func (m *machine) start() error {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.deployment.isClosed.Load() {
		return errClosed
	}
	path := filepath.Join(m.deployment.folder, m.name+".toml")
	if err := os.WriteFile(path, []byte(m.settings()), 0o600); err != nil {
		return err
	}
	output, err := os.OpenFile(filepath.Join(m.deployment.folder, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer output.Close()
	command := exec.Command(m.deployment.binary, "run", path)
	command.Stdout, command.Stderr = output, output
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() {
		_ = command.Wait()
		close(ended)
	}()
	m.command, m.ended = command, ended
	m.starts++
	m.deployment.record.event("machine %s starts, process %d, first_start %v", m.name, m.starts, m.deployment.first)
	return nil
}

func (m *machine) signal(signal syscall.Signal) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.command != nil && m.isRunning() {
		_ = m.command.Process.Signal(signal)
	}
}

func (m *machine) isRunning() bool {
	if m.ended == nil {
		return false
	}
	select {
	case <-m.ended:
		return false
	default:
		return true
	}
}

// kill ends the process with SIGKILL and waits for its end.
func (m *machine) kill() {
	m.signal(syscall.SIGKILL)
	m.mutex.Lock()
	ended := m.ended
	m.mutex.Unlock()
	if ended != nil {
		<-ended
	}
}

// log returns what the machine's process wrote.
func (m *machine) log() string {
	data, _ := os.ReadFile(filepath.Join(m.deployment.folder, m.name+".log"))
	return string(data)
}

// call sends one call to the control interface and follows the rules of its callers: up to two 307.
func call(ctx context.Context, method, address, path string, body []byte) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := controlClient.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	read, err := io.ReadAll(response.Body)
	return response.StatusCode, read, err
}

// maximumRedirects is how often callers of the control interface follow a 307.
const maximumRedirects = 2

var controlClient = &http.Client{
	Transport: &http.Transport{DisableKeepAlives: true},
	CheckRedirect: func(_ *http.Request, via []*http.Request) error {
		if len(via) > maximumRedirects {
			return http.ErrUseLastResponse
		}
		return nil
	},
}

// errNotAcknowledged means that an order got no clear answer in time.
var errNotAcknowledged = errors.New("the order was not acknowledged")

// tryOrder sends an order once, to one machine.
func (d *deployment) tryOrder(to *machine, method, path string, body []byte) bool {
	status, answer, err := call(context.Background(), method, to.address(controlPort), path, body)
	d.record.event("operator: %s %s to %s: %d %s %v", method, path, to.name, status, answer, err)
	return err == nil && status/100 == 2
}

// order sends an order of the operator to one core machine after the other, beginning with the given one, with a
// growing backoff, until it is acknowledged or the time is over.
func (d *deployment) order(first *machine, method, path string, body []byte, limit time.Duration) error {
	cores := d.cores()
	wait := 50 * time.Millisecond
	to := first
	for began := time.Now(); time.Since(began) < limit; wait = min(2*wait, 400*time.Millisecond) {
		if d.tryOrder(to, method, path, body) {
			return nil
		}
		time.Sleep(wait)
		for next := to; next == to; {
			to = cores[rand.IntN(len(cores))]
		}
	}
	return errNotAcknowledged
}

// configure sends the configuration until it is taken.
func (d *deployment) configure() error {
	return d.order(d.cores()[0], http.MethodPut, "/ravenway/config", configuration(1), 20*time.Second)
}
