package gateway

import (
	"slices"
	"sync"

	"github.com/ravenway/ravenway/internal/protocol/peer"
)

// peerDialects holds how the other nodes read messages. While a fleet is given another
// build, nodes of two builds run side by side; what a node may be sent is decided here
// alone. It is used by all duties.
type peerDialects struct {
	mutex sync.RWMutex
	of    map[string]peer.ProtocolVersion
}

func newPeerDialects() *peerDialects { return &peerDialects{of: map[string]peer.ProtocolVersion{}} }

// reader is how a node reads. Of an unknown node the strictest is assumed, which all read.
func (d *peerDialects) reader(address string) peer.ProtocolVersion {
	d.mutex.RLock()
	defer d.mutex.RUnlock()
	return d.of[address]
}

// note takes what a hello tells of its sender, and a control node's of the nodes that it
// lists: entry nodes hear no hellos of each other. A control node whose build knows no
// dialects can't tell, so the nodes that it lists are taken to be strict until another
// one tells.
func (d *peerDialects) note(hello peer.Hello) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.of[hello.Address] = hello.ProtocolVersion
	for _, listed := range slices.Concat(hello.Nodes, hello.Joined) {
		if listed.Control {
			// Control nodes tell their own to all.
			continue
		}
		dialect, isOlder := hello.OlderNodeProtocols[listed.Address]
		if !isOlder {
			dialect = hello.ProtocolVersion
		}
		d.of[listed.Address] = dialect
	}
}

// older returns those of some nodes that have not this build's dialect, with their own;
// nil if there are none.
func (d *peerDialects) older(nodes []peer.NodeEntry) map[string]peer.ProtocolVersion {
	d.mutex.RLock()
	defer d.mutex.RUnlock()
	var older map[string]peer.ProtocolVersion
	for _, node := range nodes {
		if dialect := d.of[node.Address]; dialect != peer.OwnProtocol && !node.Control {
			if older == nil {
				older = map[string]peer.ProtocolVersion{}
			}
			older[node.Address] = dialect
		}
	}
	return older
}

func (d *peerDialects) forget(address string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	delete(d.of, address)
}
