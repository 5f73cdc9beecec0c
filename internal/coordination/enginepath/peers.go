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
	PeerBusy: 250 * time.Millisecond, PeerLost: time.Second, PeerSilent: time.Second, PeerStopping: 5 * time.Second,
}

// ownZoneAttempts is the number of peers of the node's own zone that are asked for one connection
// before those of other zones: a whole zone may have lost its path.
const ownZoneAttempts = 2

// Peers chooses the peers that relay this node's connections: those of its own zone first, so that
// no bytes cross zones twice, and among them those that relay the fewest of its connections. It is
// safe for concurrent use.
type Peers struct {
	mutex sync.Mutex
	zone  string
	nodes []Peer
	// avoidedUntil and relaying hold, by address, until when a peer is not asked, and the number of
	// this node's connections that it relays.
	avoidedUntil map[string]time.Duration
	relaying     map[string]int
	// avoidedFor holds until when a peer is not asked for one engine.
	avoidedFor map[peerAndEngine]time.Duration
	// random returns a number in [0, n).
	random func(n int) int
}

// peerAndEngine identifies a peer's way to an engine by their addresses.
type peerAndEngine struct{ peer, engine string }

// maximumAvoidedFor bounds the ways of peers to single engines that are remembered.
const maximumAvoidedFor = 4096

// NewPeers returns an empty set for a node in a zone.
func NewPeers(zone string) *Peers {
	return &Peers{zone: zone, avoidedUntil: map[string]time.Duration{}, relaying: map[string]int{}, avoidedFor: map[peerAndEngine]time.Duration{}, random: rand.IntN}
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
}

// Choose picks the next peer to ask for a connection to an engine for which those in asked were asked
// before, and counts the connection as relayed there until Release. It returns false if there is none.
func (p *Peers) Choose(now time.Duration, engine string, asked []string) (string, bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var ownZone, others []string
	for _, node := range p.nodes {
		if now < p.avoidedUntil[node.Address] || now < p.avoidedFor[peerAndEngine{node.Address, engine}] || slices.Contains(asked, node.Address) {
			continue
		}
		if node.Zone == p.zone {
			ownZone = append(ownZone, node.Address)
			continue
		}
		others = append(others, node.Address)
	}
	eligible := ownZone
	if len(ownZone) == 0 || len(asked) >= ownZoneAttempts && len(others) > 0 {
		eligible = others
	}
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
}

// AvoidFor records that a peer does not reach an engine now.
func (p *Peers) AvoidFor(now time.Duration, address, engine string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if len(p.avoidedFor) >= maximumAvoidedFor {
		clear(p.avoidedFor)
	}
	p.avoidedFor[peerAndEngine{address, engine}] = now + avoidTimes[PeerLost]
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
