package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

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
	// asks counts the fetches since the document in force came.
	asks int
	// newest is the highest version heard of; each request reads it.
	newest atomic.Pointer[heardVersion]
}

// heardVersion is a version that some node has in force, and when this node
// first heard so.
type heardVersion struct {
	version uint64
	at      time.Duration
}

// documentSeconds is the time from the first word of a version to its being in
// force here, for the newest one heard of.
var documentSeconds = metrics.GetOrCreateHistogram("ravenway_document_wait_seconds")

func newDocumentStore(node *Node) *documentStore {
	store := &documentStore{node: node, changed: func(*document.Index) {}}
	store.newest.Store(&heardVersion{})
	return store
}

func (d *documentStore) version() uint64 {
	if index := d.index.Load(); index != nil {
		return index.Document.Version
	}
	return 0
}

// newestHeard is the highest version that was heard of, and how long ago the
// first word of it came. It is the version in force unless this node is behind.
func (d *documentStore) newestHeard() (version uint64, since time.Duration) {
	newest := d.newest.Load()
	return newest.version, d.node.now() - newest.at
}

// noteHeard remembers when a version was first heard of. The caller holds the
// mutex.
func (d *documentStore) noteHeard(version uint64) {
	if version > d.newest.Load().version {
		d.newest.Store(&heardVersion{version: version, at: d.node.now()})
	}
}

// put takes a document that a node sent, or this node's own log, and tells
// whether it is in force now.
func (d *documentStore) put(from string, version uint64, encoded []byte) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if version <= d.version() {
		return false
	}
	d.noteHeard(version)
	began := d.node.now()
	decoded, err := document.Decode(encoded)
	if err != nil {
		d.node.log.Error().Str("event", "document_unreadable").Uint64("version", version).Err(err).Send()
		return false
	}
	index, newest := document.NewIndex(decoded), d.newest.Load()
	d.encoded = encoded
	d.index.Store(index)
	d.changed(index)
	d.node.log.Info().Str("event", "document_in_force").Uint64("version", version).Int("routes", len(decoded.Routes)).
		Int("tenants", len(decoded.Tenants)).Int("bytes", len(encoded)).Str("from", from).Int("asks", d.asks).
		Uint64("newest", newest.version).Int64("newest_heard_ms", (began-newest.at).Milliseconds()).
		Int64("taking_ms", (d.node.now() - began).Milliseconds()).Send()
	d.asks = 0
	if version >= newest.version {
		documentSeconds.Update((d.node.now() - newest.at).Seconds())
	}
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
	d.mutex.Lock()
	d.noteHeard(version)
	d.mutex.Unlock()
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
		d.node.log.Info().Str("event", "document_not_asked").Uint64("version", version).Str("from", from).
			Uint64("have", d.version()).Int64("asked_ms", (now-d.fetchedAt).Milliseconds()).
			Int64("pause_ms", d.fetchPause.Milliseconds()).Int("asks", d.asks).Send()
		d.mutex.Unlock()
		return
	}
	if !d.hasAsked || version > d.wanted {
		d.fetchPause = firstFetchPause / 2
	}
	d.fetchPause = min(2*d.fetchPause, lastFetchPause)
	d.wanted, d.fetchedAt, d.hasAsked = max(d.wanted, version), now, true
	d.asks++
	word := d.node.fleet.controlWord(now)
	d.node.log.Info().Str("event", "document_asked").Uint64("version", version).Str("from", from).Uint64("have", d.version()).
		Bool("own_zone", d.isNear(from)).Int("asks", d.asks).Int64("newest_heard_ms", (now-d.newest.Load().at).Milliseconds()).
		Ints64("control_silence_ms", word.silences).Ints64("control_delay_ms", word.delays).Send()
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
	d.node.log.Info().Str("event", "document_asked_for").Str("peer", from).Uint64("their_version", fetch.Have).
		Uint64("version", version).Int("bytes", len(encoded)).Send()
}

func (d *documentStore) take(from string, data peer.DocumentData) {
	if d.node.replica != nil {
		return
	}
	d.put(from, data.Version, data.Encoded)
}
