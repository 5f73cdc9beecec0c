package gateway

import (
	"slices"
	"sync"

	"github.com/ravenway/ravenway/internal/protocol/peer"
)

// peerProtocols holds the protocol version that each other node reads. During a fleet's upgrade
// nodes of two builds run side by side, and only this type decides what a node may be sent. All
// duties use it.
type peerProtocols struct {
	mutex    sync.RWMutex
	versions map[string]peer.ProtocolVersion
}

func newPeerProtocols() *peerProtocols {
	return &peerProtocols{versions: map[string]peer.ProtocolVersion{}}
}

// versionOf returns the protocol version that a node reads. For an unknown node it is the oldest
// one, whose decoding is strict and which all builds read.
func (p *peerProtocols) versionOf(address string) peer.ProtocolVersion {
	p.mutex.RLock()
	defer p.mutex.RUnlock()
	return p.versions[address]
}

// record records the protocol version of a hello's sender, and from a control node's hello also
// those of the nodes that it lists, since entry nodes receive no hellos from each other. A control
// node whose build has no protocol versions can't report them, so the nodes that it lists are
// assumed to decode strictly until another control node reports them.
func (p *peerProtocols) record(hello peer.Hello) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.versions[hello.Address] = hello.ProtocolVersion
	for _, listed := range slices.Concat(hello.Nodes, hello.Joined) {
		if listed.Control {
			// Control nodes report their own version to all nodes.
			continue
		}
		version, isOlder := hello.OlderNodeProtocols[listed.Address]
		if !isOlder {
			version = hello.ProtocolVersion
		}
		p.versions[listed.Address] = version
	}
}

// olderVersions returns the protocol versions of those entry nodes that do not run this build's
// version, by address; nil if there are none.
func (p *peerProtocols) olderVersions(nodes []peer.NodeEntry) map[string]peer.ProtocolVersion {
	p.mutex.RLock()
	defer p.mutex.RUnlock()
	var older map[string]peer.ProtocolVersion
	for _, node := range nodes {
		if version := p.versions[node.Address]; version != peer.OwnProtocol && !node.Control {
			if older == nil {
				older = map[string]peer.ProtocolVersion{}
			}
			older[node.Address] = version
		}
	}
	return older
}

func (p *peerProtocols) forget(address string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.versions, address)
}
