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

// documentStore holds the document in effect at this node. A lower version never replaces a higher
// one. A control node reads its documents from the log, an entry node receives them from the
// control nodes.
type documentStore struct {
	node  *Node
	index atomic.Pointer[document.Index]
	// onChange is called with each document that comes into effect.
	onChange func(*document.Index)
	// newest is the highest version known to exist; each request reads it.
	newest atomic.Pointer[knownVersion]

	mutex   sync.Mutex
	encoded []byte
	// follower decides from which node to request a document that did not arrive.
	follower *follow.Follower
	// isWaiting is set while a later check of the follower is scheduled.
	isWaiting bool
}

// knownVersion is a version that is in effect at some node, and when this node first learnt of it.
type knownVersion struct {
	version uint64
	at      time.Duration
}

// documentSeconds is the time from when this node first learnt of a version until the version is in
// effect here, for the newest known version.
var documentSeconds = metrics.GetOrCreateHistogram("ravenway_document_wait_seconds")

func newDocumentStore(node *Node) *documentStore {
	store := &documentStore{
		node: node, onChange: func(*document.Index) {}, follower: follow.NewFollower(node.settings.Load().Node.Zone),
	}
	store.newest.Store(&knownVersion{})
	return store
}

func (d *documentStore) version() uint64 {
	if index := d.index.Load(); index != nil {
		return index.Document.Version
	}
	return 0
}

// held returns the document in effect in the form that is sent to other nodes.
func (d *documentStore) held() peer.DocumentData {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return peer.DocumentData{Version: d.version(), Encoded: d.encoded}
}

// newestKnown returns the highest version known to exist, and how long ago this node first learnt
// of it. It is the version in effect unless this node is behind.
func (d *documentStore) newestKnown() (version uint64, since time.Duration) {
	newest := d.newest.Load()
	return newest.version, d.node.now() - newest.at
}

// recordVersion records when this node first learnt of a version. The caller holds the mutex.
func (d *documentStore) recordVersion(version uint64) {
	if version > d.newest.Load().version {
		d.newest.Store(&knownVersion{version: version, at: d.node.now()})
	}
}

// put applies a document from another node or from this node's own log, and reports whether it has
// come into effect.
func (d *documentStore) put(from string, version uint64, encoded []byte) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if version <= d.version() {
		return false
	}
	d.recordVersion(version)
	startedAt := d.node.now()
	decoded, err := document.Decode(encoded)
	if err != nil {
		d.node.log.Error().Str("event", "document_unreadable").Uint64("version", version).Err(err).Send()
		return false
	}
	index, newest, requests := document.NewIndex(decoded), d.newest.Load(), d.follower.RequestCount()
	d.encoded = encoded
	d.index.Store(index)
	d.onChange(index)
	d.follower.RecordApplied(startedAt, version)
	d.node.log.Info().Str("event", "document_in_force").Uint64("version", version).Int("routes", len(decoded.Routes)).
		Int("tenants", len(decoded.Tenants)).Int("bytes", len(encoded)).Str("from", from).Int("asks", requests).
		Uint64("newest", newest.version).Int64("newest_heard_ms", (startedAt-newest.at).Milliseconds()).
		Int64("taking_ms", (d.node.now() - startedAt).Milliseconds()).Send()
	if version >= newest.version {
		documentSeconds.Update((d.node.now() - newest.at).Seconds())
	}
	return true
}

// handleVersion records the version that a control node reports, and requests the document if it is
// due.
func (d *documentStore) handleVersion(from follow.Node, version uint64) {
	if d.node.replica != nil {
		return
	}
	d.mutex.Lock()
	d.recordVersion(version)
	d.follower.RecordAnnouncement(d.node.now(), from, version)
	d.mutex.Unlock()
	d.requestMissing()
}

// handleNotice handles a control node's notice of its version. The sender's zone is known from its
// hellos.
func (d *documentStore) handleNotice(from string, version uint64) {
	node := follow.Node{Address: from}
	for _, known := range d.node.fleet.view.Load().alive {
		if known.Address == from {
			node.Zone = known.Zone
		}
	}
	d.handleVersion(node, version)
}

// requestMissing requests a document that did not arrive unrequested, and schedules a check for
// when another request may be due.
func (d *documentStore) requestMissing() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := d.node.now()
	from, wait := d.follower.Next(now)
	if from != "" {
		d.logRequest(now, from)
		d.node.send(from, peer.KindDocumentFetch, &peer.DocumentFetch{Have: d.version()})
		_, wait = d.follower.Next(now)
	}
	if wait > 0 && !d.isWaiting {
		d.isWaiting = true
		time.AfterFunc(wait, func() {
			d.mutex.Lock()
			d.isWaiting = false
			d.mutex.Unlock()
			d.requestMissing()
		})
	}
}

func (d *documentStore) logRequest(now time.Duration, from string) {
	newest, freshness := d.newest.Load(), d.node.fleet.controlFreshness(now)
	d.node.log.Info().Str("event", "document_asked").Uint64("version", newest.version).Str("from", from).
		Uint64("have", d.version()).Int("asks", d.follower.RequestCount()).Int64("newest_heard_ms", (now-newest.at).Milliseconds()).
		Ints64("control_silence_ms", freshness.contactAges).Ints64("control_delay_ms", freshness.delays).Send()
}

// handleDocument applies a document that a control node sent, and reports the version now in effect
// to it: the control node sends no further document before this confirmation.
func (d *documentStore) handleDocument(from string, data peer.DocumentData) {
	if d.node.replica != nil {
		return
	}
	d.put(from, data.Version, data.Encoded)
	d.node.send(from, peer.KindDocumentFetch, &peer.DocumentFetch{Have: d.version(), Confirms: true})
}
