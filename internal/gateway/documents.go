package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/ravenway/ravenway/internal/coordination/follow"
	"github.com/ravenway/ravenway/internal/protocol/peer"
	"github.com/ravenway/ravenway/internal/state/document"
)

// documentStore holds the document in force at this node. A lower version
// never replaces a higher one. A control node has its documents from the log,
// an entry node from the control nodes.
type documentStore struct {
	node  *Node
	index atomic.Pointer[document.Index]
	// changed is told of a new document in force.
	changed func(*document.Index)
	// newest is the highest version heard of; each request reads it.
	newest atomic.Pointer[heardVersion]

	mutex   sync.Mutex
	encoded []byte
	// follower decides whom to ask for what did not come.
	follower *follow.Follower
	// isWaiting tells that a look at the follower is due at a later time.
	isWaiting bool
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
	store := &documentStore{
		node: node, changed: func(*document.Index) {}, follower: follow.NewFollower(node.settings.Load().Node.Zone),
	}
	store.newest.Store(&heardVersion{})
	return store
}

func (d *documentStore) version() uint64 {
	if index := d.index.Load(); index != nil {
		return index.Document.Version
	}
	return 0
}

// held returns the document in force as it is sent to others.
func (d *documentStore) held() peer.DocumentData {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return peer.DocumentData{Version: d.version(), Encoded: d.encoded}
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
	index, newest, asks := document.NewIndex(decoded), d.newest.Load(), d.follower.Asks()
	d.encoded = encoded
	d.index.Store(index)
	d.changed(index)
	d.follower.Took(began, version)
	d.node.log.Info().Str("event", "document_in_force").Uint64("version", version).Int("routes", len(decoded.Routes)).
		Int("tenants", len(decoded.Tenants)).Int("bytes", len(encoded)).Str("from", from).Int("asks", asks).
		Uint64("newest", newest.version).Int64("newest_heard_ms", (began-newest.at).Milliseconds()).
		Int64("taking_ms", (d.node.now() - began).Milliseconds()).Send()
	if version >= newest.version {
		documentSeconds.Update((d.node.now() - newest.at).Seconds())
	}
	return true
}

// hear takes a control node's word of its version.
func (d *documentStore) hear(from follow.Node, version uint64) {
	if d.node.replica != nil {
		return
	}
	d.mutex.Lock()
	d.noteHeard(version)
	d.follower.Heard(d.node.now(), from, version)
	d.mutex.Unlock()
	d.ask()
}

// takeNotice takes a control node's word of its version, of which the sender's
// zone is known by its hellos.
func (d *documentStore) takeNotice(from string, version uint64) {
	node := follow.Node{Address: from}
	for _, known := range d.node.fleet.view.Load().alive {
		if known.Address == from {
			node.Zone = known.Zone
		}
	}
	d.hear(node, version)
}

// ask asks for what did not come by itself, and looks again when there may be
// another question.
func (d *documentStore) ask() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := d.node.now()
	from, wait := d.follower.Next(now)
	if from != "" {
		d.logAsk(now, from)
		d.node.send(from, peer.KindDocumentFetch, &peer.DocumentFetch{Have: d.version()})
		_, wait = d.follower.Next(now)
	}
	if wait > 0 && !d.isWaiting {
		d.isWaiting = true
		time.AfterFunc(wait, func() {
			d.mutex.Lock()
			d.isWaiting = false
			d.mutex.Unlock()
			d.ask()
		})
	}
}

func (d *documentStore) logAsk(now time.Duration, from string) {
	newest, freshness := d.newest.Load(), d.node.fleet.controlFreshness(now)
	d.node.log.Info().Str("event", "document_asked").Uint64("version", newest.version).Str("from", from).
		Uint64("have", d.version()).Int("asks", d.follower.Asks()).Int64("newest_heard_ms", (now-newest.at).Milliseconds()).
		Ints64("control_silence_ms", freshness.silences).Ints64("control_delay_ms", freshness.delays).Send()
}

// take takes a document that a control node sent, and tells it what is in force
// now: it sends no more until then.
func (d *documentStore) take(from string, data peer.DocumentData) {
	if d.node.replica != nil {
		return
	}
	d.put(from, data.Version, data.Encoded)
	d.node.send(from, peer.KindDocumentFetch, &peer.DocumentFetch{Have: d.version(), Confirms: true})
}
