package gateway

import (
	"slices"
	"sync"

	"github.com/ravenway/ravenway/internal/protocol/peer"
)

// peerDialects holds the protocol version that each other node reads. During a fleet's upgrade
// nodes of two builds run side by side, and only this type decides what a node may be sent. All
// duties use it.
type peerDialects struct {
	mutex sync.RWMutex
	of    map[string]peer.Dialect
}

func newPeerDialects() *peerDialects { return &peerDialects{of: map[string]peer.Dialect{}} }

// reader returns the protocol version that a node reads. For an unknown node it is the oldest one,
// whose decoding is strict and which all builds read.
func (d *peerDialects) reader(address string) peer.Dialect {
	d.mutex.RLock()
	defer d.mutex.RUnlock()
	return d.of[address]
}

// note records the protocol version of a hello's sender, and from a control node's hello also those
// of the nodes that it lists, since entry nodes receive no hellos from each other. A control node
// whose build has no protocol versions can't report them, so the nodes that it lists are assumed to
// decode strictly until another control node reports them.
func (d *peerDialects) note(hello peer.Hello) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.of[hello.Address] = hello.Dialect
	for _, listed := range slices.Concat(hello.Nodes, hello.Joined) {
		if listed.Control {
			// Control nodes report their own version to all nodes.
			continue
		}
		dialect, isOlder := hello.OlderNodes[listed.Address]
		if !isOlder {
			dialect = hello.Dialect
		}
		d.of[listed.Address] = dialect
	}
}

// older returns the protocol versions of those entry nodes that do not run this build's version, by
// address; nil if there are none.
func (d *peerDialects) older(nodes []peer.NodeEntry) map[string]peer.Dialect {
	d.mutex.RLock()
	defer d.mutex.RUnlock()
	var older map[string]peer.Dialect
	for _, node := range nodes {
		if dialect := d.of[node.Address]; dialect != peer.OwnDialect && !node.Control {
			if older == nil {
				older = map[string]peer.Dialect{}
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
