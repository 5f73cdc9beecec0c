package gateway

import (
	"sync"

	"github.com/ravenway/ravenway/internal/coordination/follow"
	"github.com/ravenway/ravenway/internal/coordination/roster"
	"github.com/ravenway/ravenway/internal/protocol/peer"
)

// documentPublisher brings the document in force at a control node to the entry
// nodes. It is used by several duties.
type documentPublisher struct {
	node      *Node
	mutex     sync.Mutex
	publisher *follow.Publisher
}

func newDocumentPublisher(node *Node) *documentPublisher {
	return &documentPublisher{node: node, publisher: follow.NewPublisher()}
}

// publish sends the document in force to the entry nodes that are this node's
// to send to, and tells all others its version.
func (p *documentPublisher) publish() {
	held := p.node.documents.held()
	alive := p.node.fleet.view.Load().alive
	controls := p.controls(alive)
	notice := peer.NewMessage(peer.KindDocumentNotice, &peer.DocumentNotice{Version: held.Version})
	whole := peer.NewMessage(peer.KindDocument, &held)
	sent, told := 0, 0
	for _, known := range alive {
		if !known.Entry {
			continue
		}
		if !p.isSender(known.Hello, controls) {
			told++
			p.node.sendMessage(known.Address, notice)
			continue
		}
		if p.due(known.Address, known.Incarnation, known.Version, held) {
			sent++
			p.node.sendMessage(known.Address, whole)
		}
	}
	p.node.log.Info().Str("event", "document_published").Uint64("version", held.Version).Int("bytes", len(held.Encoded)).
		Int("sent", sent).Int("told", told).Send()
}

// due notes what an entry node has and tells whether the document is to be sent
// to it now. An empty life is that which is known.
func (p *documentPublisher) due(address, life string, has uint64, held peer.DocumentData) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.publisher.Has(address, life, has)
	return p.publisher.Due(p.node.now(), address, held.Version, len(held.Encoded))
}

// controls are the control nodes that may send documents, this one included.
func (p *documentPublisher) controls(alive []*roster.Heard) []follow.Node {
	var controls []follow.Node
	if !p.node.isStopping() {
		controls = append(controls, follow.Node{Address: p.node.address, Zone: p.node.settings.Load().Node.Zone})
	}
	for _, known := range alive {
		if known.Control && !known.Stopping {
			controls = append(controls, follow.Node{Address: known.Address, Zone: known.Zone})
		}
	}
	return controls
}

func (p *documentPublisher) isSender(entry peer.Hello, controls []follow.Node) bool {
	return follow.ChooseSender(follow.Node{Address: entry.Address, Zone: entry.Zone}, controls) == p.node.address
}

// hear looks whether an entry node lacks what it should have been sent: it was
// not heard then, or what was sent did not come.
func (p *documentPublisher) hear(hello peer.Hello) {
	if !hello.Entry || hello.Version >= p.node.documents.version() {
		return
	}
	if !p.isSender(hello, p.controls(p.node.fleet.view.Load().alive)) {
		return
	}
	p.sendIfDue(hello.Address, hello.Incarnation, hello.Version, "hello")
}

// answer sends the document in force to an entry node that asks for a newer one
// than it has, or notes that it took one.
func (p *documentPublisher) answer(from string, fetch peer.DocumentFetch) {
	if fetch.Confirms {
		p.sendIfDue(from, "", fetch.Have, "confirmation")
		return
	}
	held := p.node.documents.held()
	p.node.log.Info().Str("event", "document_asked_for").Str("peer", from).Uint64("their_version", fetch.Have).
		Uint64("version", held.Version).Int("bytes", len(held.Encoded)).Send()
	if held.Version > fetch.Have {
		p.node.send(from, peer.KindDocument, &held)
	}
}

func (p *documentPublisher) sendIfDue(address, life string, has uint64, reason string) {
	held := p.node.documents.held()
	if held.Version == 0 || !p.due(address, life, has, held) {
		return
	}
	p.node.log.Info().Str("event", "document_sent").Str("peer", address).Str("reason", reason).
		Uint64("their_version", has).Uint64("version", held.Version).Int("bytes", len(held.Encoded)).Send()
	p.node.send(address, peer.KindDocument, &held)
}

// forget drops what is known of a node that is gone.
func (p *documentPublisher) forget(address string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.publisher.Forget(address)
}
