// Package settings reads and validates a daemon's settings file. All errors in a file are reported
// together, each with its line and key, and with the allowed values.
package settings

import (
	"fmt"
	"os"
	"strings"
	"time"
)

// Roles of a daemon.
const (
	// RoleEntry accepts callers' requests, routes them and streams the responses.
	RoleEntry = "entry"
	// RoleControl holds a replica of the durable state. It needs a data folder.
	RoleControl = "control"
)

// Profiles of a daemon.
const (
	ProfileDevelopment = "development"
	// ProfileProduction refuses to start with an operator or peer listener that is on an address
	// other than loopback and is not secured by a token or by TLS.
	ProfileProduction = "production"
)

// Defaults of optional settings.
const (
	DefaultMaximumBodyBytes   = 8 << 20
	DefaultBodyTimeout        = 30 * time.Second
	DefaultMaximumStreams     = 10000
	DefaultResponseStoreBytes = 32 << 20
	DefaultDeadAfter          = 30 * time.Second
	DefaultRequestDeadline    = 60 * time.Second
	DefaultStopTimeout        = 10 * time.Minute
	DefaultStopGrace          = 8 * time.Second
	DefaultRetryWindow        = 10 * time.Second
	// DefaultUpgradeSettling is about the time that it takes to see that an upgraded fleet serves
	// requests.
	DefaultUpgradeSettling = 10 * time.Second
	// DefaultExposureShare is what the users' deployments allow.
	DefaultExposureShare = 0.1
	// DefaultQuarantineRetention limits a request that keeps crashing engines to one engine in
	// half an hour, 48 a day.
	DefaultQuarantineRetention       = 30 * time.Minute
	DefaultQuarantineMaximumRequests = 1024
	// DefaultPromptReservationsFromEntries is the number of other entry nodes from which on load
	// reports are sent less often.
	DefaultPromptReservationsFromEntries = 16
	// MaximumPromptReservationsFromEntries is the largest value allowed.
	MaximumPromptReservationsFromEntries = 10000
)

// Settings is the content of a daemon's settings file.
type Settings struct {
	Node    Node    `toml:"node"`
	Listen  Listen  `toml:"listen"`
	Control Control `toml:"control"`
	Peers   []Peer  `toml:"peers"`
	Fleet   Fleet   `toml:"fleet"`
	Bounds  Bounds  `toml:"bounds"`
	// Quarantine is optional.
	Quarantine Quarantine `toml:"quarantine"`
	Security   Security   `toml:"security"`
	Platform   Platform   `toml:"platform"`
	Limits     Limits     `toml:"limits"`
	Log        Log        `toml:"log"`
}

// Node identifies this daemon.
type Node struct {
	// Name is unique in the fleet and stays the same when the machine is
	// replaced.
	Name string `toml:"name"`
	// Zone is the zone of the machine.
	Zone string `toml:"zone"`
	// Roles are "entry", "control" or both.
	Roles []string `toml:"roles"`
	// Profile is "development" (default) or "production".
	Profile string `toml:"profile"`
}

// Listen holds the addresses (host:port) that the daemon serves.
type Listen struct {
	// Callers is for tenants' requests. The entry role requires it.
	Callers string `toml:"callers"`
	// Operators is for the command line and other tools.
	Operators string `toml:"operators"`
	// Peers is for the fleet's other daemons.
	Peers string `toml:"peers"`
	// PeersBind is the address that the peer listener binds to if the others dial a different
	// one: behind a relay or network address translation. Only with fleet.dialect.
	PeersBind string `toml:"peers_bind"`
	// Health is for health checks and metrics.
	Health string `toml:"health"`
	// Ready is for the platform's readiness probe: whether an entry node should get callers.
	// Only with fleet.dialect.
	Ready string `toml:"ready"`
	// Control is for engines and operators of a control node. Only with
	// fleet.dialect.
	Control string `toml:"control"`
	// Debug serves profiles of the process (Go's /debug/pprof), on a loopback address only. Empty
	// disables it. Only with fleet.dialect.
	Debug string `toml:"debug"`
}

// Fleet configures nodes that discover each other from seeds instead of from a list of peers.
type Fleet struct {
	// Dialect names the wire interface to callers, engines and operators. It enables discovery
	// and all other settings here.
	Dialect string `toml:"dialect"`
	// Seeds are listeners (host:port) of a few control nodes; they can be replaced while the node
	// runs.
	Seeds []string `toml:"seeds"`
	// PeerPort is the port of the seeds' peer listeners.
	PeerPort int `toml:"peer_port"`
	// Zones are all zones of the fleet; operators' orders for others are refused. If it is empty,
	// orders are accepted for any zone in which a node or an instance is known.
	Zones []string `toml:"zones"`
	// Regions maps each zone to its region. Requests that are restricted to regions are served
	// only in zones that are listed here.
	Regions map[string]string `toml:"regions"`
	// FirstStart indicates that the whole system starts for the first time, with empty disks: the
	// control group may be bootstrapped.
	FirstStart bool `toml:"first_start"`
	// UpgradeSettling is how long all control nodes must have run a newer build before entries
	// that the earlier build can't read are written to the replicated log. Until then the fleet
	// can be downgraded to the earlier build.
	UpgradeSettling time.Duration `toml:"upgrade_settling"`
	// RetriesReturn indicates that the platform's balancer sends a caller's retry to the same entry
	// node for as long as the node reports itself as ready. A node with a full link then refuses a
	// heavy caller's requests only once new connections go to other nodes: before that, a refused
	// request comes back and fills the link twice.
	RetriesReturn bool `toml:"retries_return"`
	// PromptReservations makes this node reserve prompts at the coordinators of the engines
	// that they go to, so that prompts of several nodes do not meet at one engine. The default is
	// true. It coordinates the reservations of other nodes in any case.
	PromptReservations bool `toml:"prompt_reservations"`
	// PromptReservationsFromEntries is the number of other entry nodes from which on prompts are
	// reserved: in smaller fleets the nodes learn of each other's prompts in time without.
	PromptReservationsFromEntries int `toml:"prompt_reservations_from_entries"`
}

// Bounds are the service guarantees given to the platform's users. Only with fleet.dialect.
type Bounds struct {
	// StopGrace is the time from the stop signal until the process is killed.
	StopGrace time.Duration `toml:"stop_grace"`
	// RetryWindow is the period of the retry budget: in each period the nodes together send at most
	// the fraction RetryRatio of a service's requests, plus RetrySlack requests, to a second
	// instance.
	RetryWindow time.Duration `toml:"retry_window"`
	RetryRatio  float64       `toml:"retry_ratio"`
	RetrySlack  float64       `toml:"retry_slack"`
	// ExposureShare is the maximum fraction of a service's requests, from 0 to 1, that a faulty
	// version of its engines may get.
	ExposureShare float64 `toml:"exposure_share"`
}

// Quarantine configures the quarantine of poison requests, which crash the engines that run them.
// Only with fleet.dialect.
type Quarantine struct {
	// Retention is how long an engine's crash counts against the requests that were in flight
	// there, and how long a quarantine lasts after the last crash.
	Retention time.Duration `toml:"memory"`
	// MaximumRequests is the maximum number of requests with recorded crashes, at some 300 bytes
	// each. Beyond it the requests with the fewest crashes are dropped first.
	MaximumRequests int `toml:"requests"`
}

// Control configures the replica of the durable state.
type Control struct {
	// DataDir is the only folder with durable data.
	DataDir string `toml:"data_dir"`
	// Bootstrap makes this node bootstrap the control group, once, when all control nodes are
	// reachable and all of their folders are empty. Exactly one node has it set.
	Bootstrap bool `toml:"bootstrap"`
	// DeadAfter is the time since a node's last contact after which its unused grants, the parts
	// of the budgets that it holds, are reclaimed.
	DeadAfter time.Duration `toml:"dead_after"`
}

// Peer is one daemon of the fleet, this one included.
type Peer struct {
	Name string `toml:"name"`
	Zone string `toml:"zone"`
	// Address (host:port) is the other daemon's peer listener.
	Address string `toml:"address"`
	// Control indicates that the daemon holds a replica.
	Control bool `toml:"control"`
}

// Security names the files that hold secrets; the secrets are never logged.
type Security struct {
	// PeerKeyFile holds the key that all daemons share, 32 bytes or more.
	PeerKeyFile string `toml:"peer_key_file"`
	// OperatorTokenFile holds the bearer token of operators.
	OperatorTokenFile string `toml:"operator_token_file"`
	// The TLS files secure the peer and operator listeners.
	TLSCertificateFile string `toml:"tls_certificate_file"`
	TLSKeyFile         string `toml:"tls_key_file"`
	TLSAuthorityFile   string `toml:"tls_authority_file"`
}

// Platform names the platform's services.
type Platform struct {
	// MachinesURL is the URL of the list of live and leaving machines.
	MachinesURL string `toml:"machines_url"`
}

// Limits bounds the resources that callers can use.
type Limits struct {
	// MaximumBodyBytes is the maximum size of a request's body; services can have lower limits.
	MaximumBodyBytes int64 `toml:"max_body_bytes"`
	// BodyTimeout is the maximum time for a request's body to arrive.
	BodyTimeout time.Duration `toml:"body_timeout"`
	// MaximumStreams is the maximum number of requests in flight.
	MaximumStreams int `toml:"max_streams"`
	// ResponseStoreBytes is the maximum size of the responses that are kept for retries.
	ResponseStoreBytes int64 `toml:"answer_store_bytes"`
	// RequestDeadline is the maximum wait for the first byte if the caller sets no deadline.
	RequestDeadline time.Duration `toml:"request_deadline"`
	// StopTimeout is the maximum time that a graceful stop waits for streams before it aborts
	// them.
	StopTimeout time.Duration `toml:"stop_timeout"`
	// MemoryMB is the memory that the process can use, in MiB; 0 means no limit. The garbage
	// collector runs more often as memory use approaches it.
	MemoryMB int `toml:"memory_mb"`
	// LinkMbps is the bandwidth of the machine's link in each direction, in megabits per second;
	// 0 means that it is not known.
	LinkMbps float64 `toml:"link_mbps"`
}

// Log configures the log.
type Log struct {
	// Level is "debug", "info" (default), "warn" or "error".
	Level string `toml:"level"`
}

// UsesDiscovery reports whether the node discovers the others from seeds.
func (s *Settings) UsesDiscovery() bool { return s.Fleet.Dialect != "" }

// HasRole reports whether the daemon has a role.
func (s *Settings) HasRole(role string) bool {
	for _, own := range s.Node.Roles {
		if own == role {
			return true
		}
	}
	return false
}

// Load reads and validates a file. The error is of type Findings if the file could be read but is
// invalid.
func Load(path string) (*Settings, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("reading the settings: %w", err)
	}
	return Parse(path, content)
}

// ReadSecret reads a secret from a file and trims surrounding white space.
func ReadSecret(path string) ([]byte, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("reading a secret: %w", err)
	}
	return []byte(strings.TrimSpace(string(content))), nil
}
