package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/ravenway/ravenway/internal/protocol/peer"
	"github.com/ravenway/ravenway/internal/state/document"
)

const (
	// An unanswered fetch is repeated after firstFetchPause, then after twice
	// that and so on up to lastFetchPause: a control node that all ask at once
	// must not be asked ever more.
	firstFetchPause = 200 * time.Millisecond
	lastFetchPause  = 1600 * time.Millisecond
	// ownZoneWait is how long the own zone's control node may take to have a
	// version that another zone's has: bytes between zones are dear.
	ownZoneWait = 500 * time.Millisecond
)

// documentStore holds the document in force at this node. A lower version
// never replaces a higher one.
type documentStore struct {
	node  *Node
	index atomic.Pointer[document.Index]
	// changed is told of a new document in force.
	changed func(*document.Index)

	mutex   sync.Mutex
	encoded []byte
	// wanted is the highest version heard of, fetchedAt when it was last
	// asked for.
	wanted    uint64
	fetchedAt time.Duration
	hasAsked  bool
	// fetchPause is the pause before the next fetch of the wanted version.
	fetchPause time.Duration
}

func newDocumentStore(node *Node) *documentStore {
	return &documentStore{node: node, changed: func(*document.Index) {}}
}

func (d *documentStore) version() uint64 {
	if index := d.index.Load(); index != nil {
		return index.Document.Version
	}
	return 0
}

// put takes a document, and tells whether it is in force now.
func (d *documentStore) put(version uint64, encoded []byte) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if version <= d.version() {
		return false
	}
	decoded, err := document.Decode(encoded)
	if err != nil {
		d.node.log.Error().Str("event", "document_unreadable").Uint64("version", version).Err(err).Send()
		return false
	}
	index := document.NewIndex(decoded)
	d.encoded = encoded
	d.index.Store(index)
	d.changed(index)
	d.node.log.Info().Str("event", "document_in_force").Uint64("version", version).Int("routes", len(decoded.Routes)).
		Int("tenants", len(decoded.Tenants)).Int("bytes", len(encoded)).Send()
	return true
}

// takeHello looks for a higher version in a control node's hello.
func (d *documentStore) takeHello(hello peer.Hello) { d.takeNotice(hello.Address, hello.Version) }

// takeNotice fetches a higher version from the node that has it.
func (d *documentStore) takeNotice(from string, version uint64) {
	if d.node.replica != nil || version <= d.version() {
		// A control node has its documents from the log.
		return
	}
	if d.isNear(from) || !d.hasNear() || d.version() == 0 {
		d.fetch(from, version)
		return
	}
	time.AfterFunc(ownZoneWait, func() {
		if version > d.version() {
			d.fetch(from, version)
		}
	})
}

func (d *documentStore) isNear(address string) bool {
	for _, known := range d.node.fleet.view.Load().alive {
		if known.Address == address {
			return known.Zone == d.node.settings.Load().Node.Zone
		}
	}
	return false
}

func (d *documentStore) hasNear() bool {
	for _, known := range d.node.fleet.view.Load().alive {
		if known.Control && known.Zone == d.node.settings.Load().Node.Zone {
			return true
		}
	}
	return false
}

func (d *documentStore) fetch(from string, version uint64) {
	d.mutex.Lock()
	now := d.node.now()
	if d.hasAsked && version <= d.wanted && now-d.fetchedAt < d.fetchPause {
		d.mutex.Unlock()
		return
	}
	if !d.hasAsked || version > d.wanted {
		d.fetchPause = firstFetchPause / 2
	}
	d.fetchPause = min(2*d.fetchPause, lastFetchPause)
	d.wanted, d.fetchedAt, d.hasAsked = max(d.wanted, version), now, true
	d.mutex.Unlock()
	d.node.send(from, peer.KindDocumentFetch, &peer.DocumentFetch{Have: d.version()})
}

func (d *documentStore) serveFetch(from string, fetch peer.DocumentFetch) {
	d.mutex.Lock()
	version, encoded := d.version(), d.encoded
	d.mutex.Unlock()
	if version > fetch.Have {
		d.node.send(from, peer.KindDocument, &peer.DocumentData{Version: version, Encoded: encoded})
	}
}

func (d *documentStore) take(data peer.DocumentData) {
	if d.node.replica != nil {
		return
	}
	d.put(data.Version, data.Encoded)
}
