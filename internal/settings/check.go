package settings

import (
	"cmp"
	"fmt"
	"net"
	"os"
	"slices"
	"strings"
)

const maximumPort = 65535

// minimumPeerKeyBytes is the minimum length of the key that all daemons share.
const minimumPeerKeyBytes = 32

var (
	allRoles    = []string{RoleEntry, RoleControl}
	allProfiles = []string{ProfileDevelopment, ProfileProduction}
	allLevels   = []string{"debug", "info", "warn", "error"}
)

func (s *Settings) setDefaults() {
	s.Node.Profile = cmp.Or(s.Node.Profile, ProfileDevelopment)
	s.Log.Level = cmp.Or(s.Log.Level, "info")
	s.Control.DeadAfter = cmp.Or(s.Control.DeadAfter, DefaultDeadAfter)
	s.Limits.MaximumBodyBytes = cmp.Or(s.Limits.MaximumBodyBytes, DefaultMaximumBodyBytes)
	s.Limits.BodyTimeout = cmp.Or(s.Limits.BodyTimeout, DefaultBodyTimeout)
	s.Limits.MaximumStreams = cmp.Or(s.Limits.MaximumStreams, DefaultMaximumStreams)
	s.Limits.ResponseStoreBytes = cmp.Or(s.Limits.ResponseStoreBytes, DefaultResponseStoreBytes)
	s.Limits.RequestDeadline = cmp.Or(s.Limits.RequestDeadline, DefaultRequestDeadline)
	s.Limits.StopTimeout = cmp.Or(s.Limits.StopTimeout, DefaultStopTimeout)
	s.Bounds.StopGrace = cmp.Or(s.Bounds.StopGrace, DefaultStopGrace)
	s.Bounds.RetryWindow = cmp.Or(s.Bounds.RetryWindow, DefaultRetryWindow)
	s.Bounds.ExposureShare = cmp.Or(s.Bounds.ExposureShare, DefaultExposureShare)
	s.Fleet.UpgradeSettling = cmp.Or(s.Fleet.UpgradeSettling, DefaultUpgradeSettling)
	s.Fleet.PromptReservationsFromEntries = cmp.Or(s.Fleet.PromptReservationsFromEntries, DefaultPromptReservationsFromEntries)
	s.Quarantine.Retention = cmp.Or(s.Quarantine.Retention, DefaultQuarantineRetention)
	s.Quarantine.MaximumRequests = cmp.Or(s.Quarantine.MaximumRequests, DefaultQuarantineMaximumRequests)
}

// check validates values and the relations between settings, which the types can't express.
func (p *parser) check(s *Settings) {
	p.checkNode(s)
	p.checkControl(s)
	if s.UsesDiscovery() {
		p.checkDiscovery(s)
	} else {
		p.checkListen(s)
		p.checkPeers(s)
	}
	p.checkSecurity(s)
	p.checkLimits(s)
	p.checkOneOf("log.level", s.Log.Level, allLevels)
}

func (p *parser) require(key, value string) bool {
	if value == "" {
		p.addFinding(key, "is missing")
		return false
	}
	return true
}

func (p *parser) checkOneOf(key, value string, allowed []string) {
	if !slices.Contains(allowed, value) {
		p.addFinding(key, "%q is none of %s", value, strings.Join(allowed, ", "))
	}
}

func (p *parser) checkNode(s *Settings) {
	p.require("node.name", s.Node.Name)
	p.require("node.zone", s.Node.Zone)
	p.checkOneOf("node.profile", s.Node.Profile, allProfiles)
	if len(s.Node.Roles) == 0 {
		p.addFinding("node.roles", "is missing; allowed: %s", strings.Join(allRoles, ", "))
	}
	for _, role := range s.Node.Roles {
		p.checkOneOf("node.roles", role, allRoles)
	}
}

func (p *parser) checkListen(s *Settings) {
	if s.HasRole(RoleEntry) {
		p.require("listen.callers", s.Listen.Callers)
	}
	p.require("listen.operators", s.Listen.Operators)
	p.require("listen.peers", s.Listen.Peers)
	p.require("listen.health", s.Listen.Health)
	p.checkAddress("listen.callers", s.Listen.Callers)
	p.checkAddress("listen.operators", s.Listen.Operators)
	p.checkAddress("listen.peers", s.Listen.Peers)
	p.checkAddress("listen.health", s.Listen.Health)
	if s.Node.Profile != ProfileProduction {
		return
	}
	if !isLoopback(s.Listen.Operators) && s.Security.OperatorTokenFile == "" {
		p.addFinding("listen.operators", "profile production needs security.operator_token_file for an address that is not loopback")
	}
	if !isLoopback(s.Listen.Peers) && s.Security.TLSCertificateFile == "" {
		p.addFinding("listen.peers", "profile production needs security.tls_certificate_file for an address that is not loopback")
	}
}

func (p *parser) checkAddress(key, address string) {
	if address == "" {
		return
	}
	host, port, err := net.SplitHostPort(address)
	if err != nil || port == "" {
		p.addFinding(key, "%q is not host:port", address)
		return
	}
	if net.ParseIP(host) == nil {
		p.addFinding(key, "%q: the host must be an IP number", address)
	}
}

func isLoopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	ip := net.ParseIP(host)
	return ip != nil && ip.IsLoopback()
}

func (p *parser) checkControl(s *Settings) {
	if s.HasRole(RoleControl) {
		p.require("control.data_dir", s.Control.DataDir)
		return
	}
	if s.Control.DataDir != "" || s.Control.Bootstrap {
		p.addFinding("control", "is only for role %q", RoleControl)
	}
}

func (p *parser) checkPeers(s *Settings) {
	positions := map[string]int{}
	controlNodes := 0
	for position, peer := range s.Peers {
		key := fmt.Sprintf("peers[%d]", position)
		p.require(key+".name", peer.Name)
		p.require(key+".zone", peer.Zone)
		if p.require(key+".address", peer.Address) {
			p.checkAddress(key+".address", peer.Address)
		}
		if first, isDuplicate := positions[peer.Name]; isDuplicate && peer.Name != "" {
			p.addFinding(key+".name", "%q is listed at peers[%d] already", peer.Name, first)
		}
		positions[peer.Name] = position
		if peer.Control {
			controlNodes++
		}
		p.checkSelf(s, key, peer)
	}
	if _, found := positions[s.Node.Name]; !found {
		p.addFinding("peers", "does not list this node, %q", s.Node.Name)
	}
	if controlNodes == 0 {
		p.addFinding("peers", "lists no control node")
	}
}

// checkDiscovery validates the settings of a node that discovers the others from seeds.
func (p *parser) checkDiscovery(s *Settings) {
	p.require("listen.peers", s.Listen.Peers)
	if s.HasRole(RoleEntry) {
		p.require("listen.callers", s.Listen.Callers)
		p.require("listen.ready", s.Listen.Ready)
	}
	if s.HasRole(RoleControl) {
		p.require("listen.control", s.Listen.Control)
	}
	for key, address := range map[string]string{
		"listen.peers": s.Listen.Peers, "listen.peers_bind": s.Listen.PeersBind, "listen.callers": s.Listen.Callers, "listen.ready": s.Listen.Ready, "listen.debug": s.Listen.Debug,
		"listen.control": s.Listen.Control, "listen.health": s.Listen.Health, "listen.operators": s.Listen.Operators,
	} {
		p.checkAddress(key, address)
	}
	if s.Listen.Debug != "" && !isLoopback(s.Listen.Debug) {
		p.addFinding("listen.debug", "%q is not a loopback address; profiles expose the contents of the process's memory", s.Listen.Debug)
	}
	if s.Listen.Operators != "" && !isLoopback(s.Listen.Operators) && s.Security.OperatorTokenFile == "" {
		p.addFinding("listen.operators", "needs security.operator_token_file for an address that is not loopback")
	}
	if len(s.Fleet.Seeds) == 0 {
		p.addFinding("fleet.seeds", "is missing")
	}
	for position, seed := range s.Fleet.Seeds {
		p.checkAddress(fmt.Sprintf("fleet.seeds[%d]", position), seed)
	}
	if s.Fleet.PeerPort < 1 || s.Fleet.PeerPort > maximumPort {
		p.addFinding("fleet.peer_port", "must be a port from 1 to %d", maximumPort)
	}
	if len(s.Peers) > 0 {
		p.addFinding("peers", "can't be given together with fleet.dialect")
	}
	if s.Bounds.ExposureShare < 0 || s.Bounds.ExposureShare > 1 {
		p.addFinding("bounds.exposure_share", "must be from 0 to 1, not %v", s.Bounds.ExposureShare)
	}
	if s.Bounds.RetryRatio < 0 || s.Bounds.RetrySlack < 0 {
		p.addFinding("bounds", "retry_ratio and retry_slack can't be below 0")
	}
	if entries := s.Fleet.PromptReservationsFromEntries; entries < 1 || entries > MaximumPromptReservationsFromEntries {
		p.addFinding("fleet.prompt_reservations_from_entries", "must be from 1 to %d, not %d", MaximumPromptReservationsFromEntries, entries)
	}
	if s.Quarantine.Retention < 0 {
		p.addFinding("quarantine.memory", "must be above 0")
	}
	if s.Quarantine.MaximumRequests < 0 {
		p.addFinding("quarantine.requests", "must be above 0")
	}
}

// checkSelf checks that this node's own entry in peers agrees with the other settings.
func (p *parser) checkSelf(s *Settings, key string, peer Peer) {
	if peer.Name != s.Node.Name {
		return
	}
	if peer.Zone != s.Node.Zone {
		p.addFinding(key+".zone", "%q is not node.zone, %q", peer.Zone, s.Node.Zone)
	}
	if peer.Control != s.HasRole(RoleControl) {
		p.addFinding(key+".control", "%v contradicts node.roles", peer.Control)
	}
}

func (p *parser) checkSecurity(s *Settings) {
	if p.require("security.peer_key_file", s.Security.PeerKeyFile) {
		p.checkSecret("security.peer_key_file", s.Security.PeerKeyFile, minimumPeerKeyBytes)
	}
	if s.Security.OperatorTokenFile != "" {
		p.checkSecret("security.operator_token_file", s.Security.OperatorTokenFile, 1)
	}
	files := []string{s.Security.TLSCertificateFile, s.Security.TLSKeyFile, s.Security.TLSAuthorityFile}
	if slices.Contains(files, "") && strings.Join(files, "") != "" {
		p.addFinding("security", "tls_certificate_file, tls_key_file and tls_authority_file are needed together")
	}
}

func (p *parser) checkSecret(key, path string, minimum int) {
	secret, err := ReadSecret(path)
	if err != nil {
		p.addFinding(key, "%v", err)
		return
	}
	if len(secret) < minimum {
		p.addFinding(key, "the secret in %s has %d bytes; at least %d are needed", path, len(secret), minimum)
	}
	if info, err := os.Stat(path); err == nil && info.Mode().Perm()&0o077 != 0 && p.isProduction {
		p.addFinding(key, "%s can be read by others; its mode must be 0600", path)
	}
}

func (p *parser) checkLimits(s *Settings) {
	if s.Limits.MaximumBodyBytes < 0 {
		p.addFinding("limits.max_body_bytes", "must be above 0")
	}
	if s.Limits.MemoryMB < 0 {
		p.addFinding("limits.memory_mb", "can't be below 0")
	}
	if s.Limits.LinkMbps < 0 {
		p.addFinding("limits.link_mbps", "can't be below 0")
	}
	if s.Limits.MaximumStreams < 0 {
		p.addFinding("limits.max_streams", "must be above 0")
	}
	if s.Limits.ResponseStoreBytes < 0 {
		p.addFinding("limits.answer_store_bytes", "must be above 0")
	}
}
