// Package settings reads and checks a daemon's settings file. Everything wrong
// with a file is found and reported at once, each with its line and key, and
// with what is allowed there.
package settings

import (
	"fmt"
	"os"
	"strings"
	"time"
)

// Roles of a daemon.
const (
	// RoleEntry takes callers, routes and streams.
	RoleEntry = "entry"
	// RoleControl holds a replica of the durable state. It needs a data folder.
	RoleControl = "control"
)

// Profiles of a daemon.
const (
	ProfileDevelopment = "development"
	// ProfileProduction refuses to start with an open operator or peer listener
	// on an address that is not loopback.
	ProfileProduction = "production"
)

// Defaults of optional settings.
const (
	DefaultMaxBodyBytes     = 8 << 20
	DefaultBodyTimeout      = 30 * time.Second
	DefaultMaxStreams       = 10000
	DefaultAnswerStoreBytes = 32 << 20
	DefaultDeadAfter        = 30 * time.Second
	DefaultRequestDeadline  = 60 * time.Second
	DefaultStopTimeout      = 10 * time.Minute
	DefaultStopGrace        = 8 * time.Second
	DefaultRetryWindow      = 10 * time.Second
	// DefaultUpgradeSettling is about as long as it takes to see that a fleet serves.
	DefaultUpgradeSettling = 10 * time.Second
	// DefaultExposureShare is what the users' deployments allow.
	DefaultExposureShare = 0.1
	// DefaultQuarantineMemory makes a request that goes on ending engines cost one of
	// them in half an hour, 48 a day.
	DefaultQuarantineMemory   = 30 * time.Minute
	DefaultQuarantineRequests = 1024
)

// Settings is a daemon's settings file.
type Settings struct {
	Node    Node    `toml:"node"`
	Listen  Listen  `toml:"listen"`
	Control Control `toml:"control"`
	Peers   []Peer  `toml:"peers"`
	Fleet   Fleet   `toml:"fleet"`
	Bounds  Bounds  `toml:"bounds"`
	// Quarantine may be left out.
	Quarantine Quarantine `toml:"quarantine"`
	Security   Security   `toml:"security"`
	Platform   Platform   `toml:"platform"`
	Limits     Limits     `toml:"limits"`
	Log        Log        `toml:"log"`
}

// Node says who this daemon is.
type Node struct {
	// Name is unique in the fleet and stays the same when the machine is
	// replaced.
	Name string `toml:"name"`
	// Zone is where the machine stands.
	Zone string `toml:"zone"`
	// Roles are "entry", "control" or both.
	Roles []string `toml:"roles"`
	// Profile is "development" (default) or "production".
	Profile string `toml:"profile"`
}

// Listen holds the addresses (host:port) that the daemon serves.
type Listen struct {
	// Callers is for tenants' requests. Needed by the entry role.
	Callers string `toml:"callers"`
	// Operators is for the command line and other tools.
	Operators string `toml:"operators"`
	// Peers is for the fleet's other daemons.
	Peers string `toml:"peers"`
	// PeersBind is where the peer listener is opened if that is not the address
	// that the others dial: behind a relay or a translation of addresses. Only
	// with fleet.dialect.
	PeersBind string `toml:"peers_bind"`
	// Health is for health checks and metrics.
	Health string `toml:"health"`
	// Ready is where the platform asks whether an entry node should get
	// callers. Only with fleet.dialect.
	Ready string `toml:"ready"`
	// Control is for engines and operators of a control node. Only with
	// fleet.dialect.
	Control string `toml:"control"`
	// Debug serves profiles of the process (Go's /debug/pprof), on a loopback address
	// only. It is off if it is empty. Only with fleet.dialect.
	Debug string `toml:"debug"`
}

// Fleet is for nodes that find each other from seeds, in place of peers.
type Fleet struct {
	// Dialect names the wire interface to callers, engines and operators. It
	// turns on everything else here.
	Dialect string `toml:"dialect"`
	// Seeds are listeners (host:port) of a few control nodes; they may be
	// exchanged while the node runs.
	Seeds []string `toml:"seeds"`
	// PeerPort is the port of the seeds' peer listeners.
	PeerPort int `toml:"peer_port"`
	// Zones are all zones of the fleet; operators' orders for others are refused.
	// Without them an order is for any zone in which a node or an instance was heard.
	Zones []string `toml:"zones"`
	// Regions are the regions in which the zones stand, by zone. Requests that are bound
	// to regions are served in zones that stand here only.
	Regions map[string]string `toml:"regions"`
	// FirstStart tells that the whole system starts for the first time, with
	// empty disks: the control group may be founded.
	FirstStart bool `toml:"first_start"`
	// UpgradeSettling is how long all control nodes must have run a newer build before the
	// replicated log holds what the earlier one can't read. Until then the fleet may be
	// given the earlier build again.
	UpgradeSettling time.Duration `toml:"upgrade_settling"`
}

// Bounds are the promises that the platform's users were given. Only with
// fleet.dialect.
type Bounds struct {
	// StopGrace is the time from the signal to stop until the process is killed.
	StopGrace time.Duration `toml:"stop_grace"`
	// In each RetryWindow the nodes together send at most RetryRatio of a
	// service's requests, plus RetrySlack, to a second instance.
	RetryWindow time.Duration `toml:"retry_window"`
	RetryRatio  float64       `toml:"retry_ratio"`
	RetrySlack  float64       `toml:"retry_slack"`
	// ExposureShare is the most of a service's requests that a version of its engines may
	// get that turns out to be bad.
	ExposureShare float64 `toml:"exposure_share"`
}

// Quarantine is for requests that end the engines which run them. Only with
// fleet.dialect.
type Quarantine struct {
	// Memory is how long an engine's end counts against the requests that were there,
	// and how long a quarantine lasts after the last one.
	Memory time.Duration `toml:"memory"`
	// Requests is the most requests that something is held against, at some 300 bytes
	// each. Beyond it those at the fewest ends are forgotten first.
	Requests int `toml:"requests"`
}

// Control configures the replica of the durable state.
type Control struct {
	// DataDir is the one folder that holds everything that must survive.
	DataDir string `toml:"data_dir"`
	// Bootstrap makes this node found the group, once, when all control nodes
	// are reached and all of their folders are empty. Exactly one node has it.
	Bootstrap bool `toml:"bootstrap"`
	// DeadAfter is the silence after which a node's unused grants are reclaimed.
	DeadAfter time.Duration `toml:"dead_after"`
}

// Peer is one daemon of the fleet, this one included.
type Peer struct {
	Name string `toml:"name"`
	Zone string `toml:"zone"`
	// Address (host:port) is the other daemon's peer listener.
	Address string `toml:"address"`
	// Control tells that it holds a replica.
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
	// MachinesURL is where the list of live and leaving machines is served.
	MachinesURL string `toml:"machines_url"`
}

// Limits bounds what callers can take up.
type Limits struct {
	// MaxBodyBytes of a request; services may have lower ones.
	MaxBodyBytes int64 `toml:"max_body_bytes"`
	// BodyTimeout is how long a request's body may take to arrive.
	BodyTimeout time.Duration `toml:"body_timeout"`
	// MaxStreams is the most requests in progress.
	MaxStreams int `toml:"max_streams"`
	// AnswerStoreBytes bounds the answers kept for retries.
	AnswerStoreBytes int64 `toml:"answer_store_bytes"`
	// RequestDeadline is the wait for the first byte if the caller names none.
	RequestDeadline time.Duration `toml:"request_deadline"`
	// StopTimeout is how long a planned stop waits for streams before it says
	// what it would cut.
	StopTimeout time.Duration `toml:"stop_timeout"`
	// MemoryMB is what the process may use, in MiB; 0 means that it is not
	// bounded. The garbage collector works harder as its use comes near.
	MemoryMB int `toml:"memory_mb"`
	// LinkMbps is what the machine's link carries in each direction, in megabits
	// a second; 0 means that it is not known.
	LinkMbps float64 `toml:"link_mbps"`
}

// Log configures the log.
type Log struct {
	// Level is "debug", "info" (default), "warn" or "error".
	Level string `toml:"level"`
}

// IsOpenFleet tells whether the node finds the others from seeds.
func (s *Settings) IsOpenFleet() bool { return s.Fleet.Dialect != "" }

// HasRole tells whether the daemon has a role.
func (s *Settings) HasRole(role string) bool {
	for _, own := range s.Node.Roles {
		if own == role {
			return true
		}
	}
	return false
}

// Load reads and checks a file. The error is Findings if the file could be
// read but is wrong.
func Load(path string) (*Settings, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("reading the settings: %w", err)
	}
	return Parse(path, content)
}

// ReadSecret reads a secret's file without surrounding white space.
func ReadSecret(path string) ([]byte, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("reading a secret: %w", err)
	}
	return []byte(strings.TrimSpace(string(content))), nil
}
