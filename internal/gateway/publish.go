package gateway

import (
	"sync"

	"github.com/ravenway/ravenway/internal/coordination/follow"
	"github.com/ravenway/ravenway/internal/coordination/roster"
	"github.com/ravenway/ravenway/internal/protocol/peer"
)

// documentPublisher distributes the document in effect at a control node to the entry nodes.
// Several duties use it.
type documentPublisher struct {
	node      *Node
	mutex     sync.Mutex
	publisher *follow.Publisher
}

func newDocumentPublisher(node *Node) *documentPublisher {
	return &documentPublisher{node: node, publisher: follow.NewPublisher()}
}

// publish sends the document in effect to the entry nodes that this node is responsible for, and
// sends its version to all other entry nodes.
func (p *documentPublisher) publish() {
	document := p.node.documents.held()
	alive := p.node.fleet.view.Load().alive
	controls := p.controls(alive)
	notice := peer.NewMessage(peer.KindDocumentNotice, &peer.DocumentNotice{Version: document.Version})
	whole := peer.NewMessage(peer.KindDocument, &document)
	sent, notified := 0, 0
	for _, known := range alive {
		if !known.Entry {
			continue
		}
		if !p.isSender(known.Hello, controls) {
			notified++
			p.node.sendMessage(known.Address, notice)
			continue
		}
		if p.isDue(known.Address, known.Incarnation, known.Version, document) {
			sent++
			p.node.sendMessage(known.Address, whole)
		}
	}
	p.node.log.Info().Str("event", "document_published").Uint64("version", document.Version).Int("bytes", len(document.Encoded)).
		Int("sent", sent).Int("told", notified).Send()
}

// isDue records the version that an entry node has and reports whether the document is to be sent
// to it now. An empty incarnation stands for the known one.
func (p *documentPublisher) isDue(address, incarnation string, has uint64, document peer.DocumentData) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.publisher.RecordVersion(address, incarnation, has)
	return p.publisher.TakeDue(p.node.now(), address, document.Version, len(document.Encoded))
}

// controls are the control nodes that may send documents, this one included.
func (p *documentPublisher) controls(alive []*roster.Peer) []follow.Node {
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

// handleHello checks whether an entry node lacks the document that it should have been sent: it was
// unknown then, or the document was lost.
func (p *documentPublisher) handleHello(hello peer.Hello) {
	if !hello.Entry || hello.Version >= p.node.documents.version() {
		return
	}
	if !p.isSender(hello, p.controls(p.node.fleet.view.Load().alive)) {
		return
	}
	p.sendIfDue(hello.Address, hello.Incarnation, hello.Version, "hello")
}

// handleFetch sends the document in effect to an entry node that requests a newer one than it has,
// or records that the node has applied one.
func (p *documentPublisher) handleFetch(from string, fetch peer.DocumentFetch) {
	if fetch.Confirms {
		p.sendIfDue(from, "", fetch.Have, "confirmation")
		return
	}
	document := p.node.documents.held()
	p.node.log.Info().Str("event", "document_asked_for").Str("peer", from).Uint64("their_version", fetch.Have).
		Uint64("version", document.Version).Int("bytes", len(document.Encoded)).Send()
	if document.Version > fetch.Have {
		p.node.send(from, peer.KindDocument, &document)
	}
}

func (p *documentPublisher) sendIfDue(address, incarnation string, has uint64, reason string) {
	document := p.node.documents.held()
	if document.Version == 0 || !p.isDue(address, incarnation, has, document) {
		return
	}
	p.node.log.Info().Str("event", "document_sent").Str("peer", address).Str("reason", reason).
		Uint64("their_version", has).Uint64("version", document.Version).Int("bytes", len(document.Encoded)).Send()
	p.node.send(address, peer.KindDocument, &document)
}

// forget drops the state of a node that is gone.
func (p *documentPublisher) forget(address string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.publisher.Forget(address)
}
