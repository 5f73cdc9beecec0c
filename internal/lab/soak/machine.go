package soak

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/ravenway/ravenway/internal/lab/enginecut"
	"github.com/ravenway/ravenway/internal/lab/standin"
)

// Ports of each node and engine. Each of them has its own loopback address. Other nodes connect to
// peerPort, where the node's relay listens; the daemon listens behind it on peerBindPort.
const (
	peerPort      = 17400
	peerBindPort  = 17401
	callersPort   = 17402
	readyPort     = 17403
	controlPort   = 17404
	healthPort    = 17405
	operatorsPort = 17406
	enginePort    = 17407
)

// stopGrace is the time that a process has to exit after SIGTERM.
const stopGrace = 8 * time.Second

// machine is the host of one node: its address, its disk if it has one, and the process that runs
// there.
type machine struct {
	name      string
	host      string
	zone      string
	isControl bool
	folder    string
	relay     *relay
	// daemon is the program that starts here next. It is changed only while the machine is held, that
	// is reserved for one fault or replacement.
	daemon string
	// newestDaemon is the program of the build under test, whose settings may have keys that an earlier
	// build refuses.
	newestDaemon string

	mutex   sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	// epoch counts how often the process was started or resumed after a suspension.
	epoch atomic.Int64
	// isStopping reports whether a planned stop was requested.
	isStopping bool
}

// runsNewest reports whether the machine runs the build under test.
func (m *machine) runsNewest() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.daemon == m.newestDaemon
}

// setDaemon sets the program that starts next.
func (m *machine) setDaemon(daemon string) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.daemon = daemon
}

func (m *machine) address(port int) string { return net.JoinHostPort(m.host, strconv.Itoa(port)) }

// writeSettings writes the daemon's settings file.
func (m *machine) writeSettings(wire standin.Wire, seeds []string, firstStart bool) (string, error) {
	role, listeners := "entry", fmt.Sprintf("callers = %q\nready = %q\n", m.address(callersPort), m.address(readyPort))
	if m.isControl {
		role = "control"
		listeners = fmt.Sprintf("control = %q\n[control]\ndata_dir = %q\n", m.address(controlPort), filepath.Join(m.folder, "data"))
	}
	newestOnly := ""
	if m.daemon == m.newestDaemon {
		newestOnly = "prompt_reservations_from_entries = 1\n"
	}
	quoted := make([]string, 0, len(seeds))
	for _, seed := range seeds {
		quoted = append(quoted, strconv.Quote(seed))
	}
	text := fmt.Sprintf(`[node]
name = %q
zone = %q
roles = [%q]
[fleet]
dialect = %q
seeds = [%s]
peer_port = %d
first_start = %v
%s[security]
peer_key_file = %q
[bounds]
stop_grace = %q
retry_window = "10s"
retry_ratio = 0.2
retry_slack = 50.0
[listen]
peers = %q
peers_bind = %q
health = %q
operators = %q
%s`, m.name, m.zone, role, wire.Name(), strings.Join(quoted, ", "), peerPort, firstStart, newestOnly, filepath.Join(m.folder, "..", "peer.key"),
		stopGrace.String(), m.address(peerPort), m.address(peerBindPort), m.address(healthPort), m.address(operatorsPort), listeners)
	path := filepath.Join(m.folder, "settings.toml")
	return path, os.WriteFile(path, []byte(text), 0o600)
}

// start runs the daemon and appends its log to the machine's log file.
func (m *machine) start(wire standin.Wire, seeds []string, firstStart bool) error {
	path, err := m.writeSettings(wire, seeds, firstStart)
	if err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	m.epoch.Add(1)
	command := exec.Command(m.daemon, "run", path)
	command.Stdout, command.Stderr = log, log
	command.Env = append(os.Environ(), enginecut.Variable+"="+m.enginePathFile())
	if err := command.Start(); err != nil {
		_ = log.Close()
		return fmt.Errorf("starting %s: %w", m.name, err)
	}
	ended := make(chan struct{})
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(ended)
	}()
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.command, m.ended, m.isStopping = command, ended, false
	return nil
}

// enginePathFile is the file that tells the lab build of the daemon how it reaches engines.
func (m *machine) enginePathFile() string { return filepath.Join(m.folder, "engine-path") }

// signal sends a signal only to the process that this machine started itself.
func (m *machine) signal(signal syscall.Signal) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if signal == syscall.SIGCONT {
		m.epoch.Add(1)
	}
	if m.command != nil && m.isRunning() {
		m.isStopping = m.isStopping || signal == syscall.SIGTERM
		_ = m.command.Process.Signal(signal)
	}
}

func (m *machine) isRunning() bool {
	select {
	case <-m.ended:
		return false
	default:
		return true
	}
}

// kill sends SIGKILL and waits for the end of the process.
func (m *machine) kill() {
	m.signal(syscall.SIGCONT)
	m.signal(syscall.SIGKILL)
	m.waitForExit(time.Minute)
}

// waitForExit waits for the end of the process and reports whether it ended in time.
func (m *machine) waitForExit(timeout time.Duration) bool {
	m.mutex.Lock()
	ended := m.ended
	m.mutex.Unlock()
	if ended == nil {
		return true
	}
	select {
	case <-ended:
		return true
	case <-time.After(timeout):
		return false
	}
}

// wipeDisk empties the disk of a machine whose process has ended.
func (m *machine) wipeDisk() error { return os.RemoveAll(filepath.Join(m.folder, "data")) }
