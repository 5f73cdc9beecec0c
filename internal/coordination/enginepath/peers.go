package enginepath

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Peer is another entry node that can relay connections.
type Peer struct{ Address, Zone string }

// PeerState is why a peer is not asked to relay for a while.
type PeerState uint8

const (
	// PeerBusy: it is overloaded, or does not accept the engine now.
	PeerBusy PeerState = iota
	// PeerLost: it has lost its own path to engines.
	PeerLost
	// PeerSilent: it did not respond.
	PeerSilent
	// PeerStopping: it is stopping.
	PeerStopping
)

// avoidTimes is how long a peer in each state is not asked.
var avoidTimes = [...]time.Duration{
	PeerBusy: 250 * time.Millisecond, PeerLost: 2 * time.Second, PeerSilent: time.Second, PeerStopping: 5 * time.Second,
}

const (
	// provenMemory is how long a peer that has relayed a connection counts as proven. Where most nodes
	// have lost their paths, asking at random would find the few that have not too rarely.
	provenMemory = 3 * time.Second
	// explorationShare is the share of connections for which a peer that is not proven is asked
	// first, while fewer than provenPeers are: otherwise the first ones found would carry everything.
	explorationShare = 4
	provenPeers      = 8
)

// ownZoneAttempts is the number of peers of the node's own zone that are asked for one connection
// before those of other zones: a whole zone may have lost its path.
const ownZoneAttempts = 2

// Peers chooses the peers that relay this node's connections: those that have relayed one recently,
// of its own zone first, so that no bytes cross zones twice, and among them those that relay the
// fewest of its connections. It is safe for concurrent use.
type Peers struct {
	mutex sync.Mutex
	zone  string
	nodes []Peer
	// avoidedUntil and relaying hold, by address, until when a peer is not asked, and the number of
	// this node's connections that it relays.
	avoidedUntil map[string]time.Duration
	relaying     map[string]int
	// provenUntil holds until when a peer counts as proven.
	provenUntil map[string]time.Duration
	// avoidedFor holds until when a peer is not asked for one engine.
	avoidedFor map[peerAndEngine]time.Duration
	// random returns a number in [0, n).
	random func(n int) int
}

// peerAndEngine identifies a peer's way to an engine by their addresses.
type peerAndEngine struct{ peer, engine string }

// avoidForEngine is how long a peer is not asked for an engine that it does not reach.
const avoidForEngine = time.Second

// maximumAvoidedFor bounds the ways of peers to single engines that are remembered.
const maximumAvoidedFor = 4096

// NewPeers returns an empty set for a node in a zone.
func NewPeers(zone string) *Peers {
	return &Peers{zone: zone, avoidedUntil: map[string]time.Duration{}, relaying: map[string]int{}, provenUntil: map[string]time.Duration{}, avoidedFor: map[peerAndEngine]time.Duration{}, random: rand.IntN}
}

// SetRandom replaces the source of random numbers in [0, n). It must be called before the first use.
func (p *Peers) SetRandom(random func(n int) int) { p.random = random }

// SetNodes replaces the peers.
func (p *Peers) SetNodes(nodes []Peer) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.nodes = nodes
	for address := range p.avoidedUntil {
		if !slices.ContainsFunc(nodes, func(node Peer) bool { return node.Address == address }) {
			delete(p.avoidedUntil, address)
		}
	}
	for address := range p.provenUntil {
		if !slices.ContainsFunc(nodes, func(node Peer) bool { return node.Address == address }) {
			delete(p.provenUntil, address)
		}
	}
}

// Choose picks the next peer to ask for a connection to an engine for which those in asked were asked
// before, and counts the connection as relayed there until Release. It returns false if there is none.
func (p *Peers) Choose(now time.Duration, engine string, asked []string) (string, bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var candidates peerCandidates
	for _, node := range p.nodes {
		if now < p.avoidedUntil[node.Address] || now < p.avoidedFor[peerAndEngine{node.Address, engine}] || slices.Contains(asked, node.Address) {
			continue
		}
		candidates.add(node.Address, node.Zone == p.zone, now < p.provenUntil[node.Address])
	}
	eligible := candidates.eligible(len(asked), p.random(explorationShare) == 0)
	if len(eligible) == 0 {
		return "", false
	}
	chosen, other := eligible[p.random(len(eligible))], eligible[p.random(len(eligible))]
	if p.relaying[other] < p.relaying[chosen] {
		chosen = other
	}
	p.relaying[chosen]++
	return chosen, true
}

// peerCandidates are the peers that may be asked, by zone and by whether they are proven.
type peerCandidates struct{ provenOwn, provenOther, own, other []string }

func (c *peerCandidates) add(address string, isOwnZone, isProven bool) {
	group := &c.other
	switch {
	case isOwnZone && isProven:
		group = &c.provenOwn
	case isProven:
		group = &c.provenOther
	case isOwnZone:
		group = &c.own
	}
	*group = append(*group, address)
}

// eligible returns the peers of which one is asked next: proven ones, then up to ownZoneAttempts of
// the own zone, then those of other zones. If explores is set, one that is not proven is asked first.
func (c *peerCandidates) eligible(asked int, explores bool) []string {
	explores = explores && asked == 0 && len(c.provenOwn)+len(c.provenOther) < provenPeers
	if !explores && len(c.provenOwn) > 0 {
		return c.provenOwn
	}
	if !explores && len(c.provenOther) > 0 {
		return c.provenOther
	}
	if len(c.own) > 0 && (asked < ownZoneAttempts || len(c.other) == 0) {
		return c.own
	}
	if len(c.other) > 0 {
		return c.other
	}
	return append(c.provenOwn, c.provenOther...)
}

// Prove records that a peer has relayed a connection.
func (p *Peers) Prove(now time.Duration, address string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.provenUntil[address] = now + provenMemory
}

// Release ends a connection that Choose has counted.
func (p *Peers) Release(address string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.relaying[address]--; p.relaying[address] <= 0 {
		delete(p.relaying, address)
	}
}

// Avoid records that a peer does not relay now.
func (p *Peers) Avoid(now time.Duration, address string, state PeerState) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.avoidedUntil[address] = max(p.avoidedUntil[address], now+avoidTimes[state])
	delete(p.provenUntil, address)
}

// AvoidFor records that a peer does not reach an engine now.
func (p *Peers) AvoidFor(now time.Duration, address, engine string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if len(p.avoidedFor) >= maximumAvoidedFor {
		clear(p.avoidedFor)
	}
	p.avoidedFor[peerAndEngine{address, engine}] = now + avoidForEngine
}

// Total returns the number of this node's connections that peers relay.
func (p *Peers) Total() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	total := 0
	for _, count := range p.relaying {
		total += count
	}
	return total
}

// Relaying returns the number of this node's connections that each peer relays.
func (p *Peers) Relaying() map[string]int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	relaying := make(map[string]int, len(p.relaying))
	for address, count := range p.relaying {
		relaying[address] = count
	}
	return relaying
}
