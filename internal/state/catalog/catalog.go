// Package catalog holds the objects that operators configure: tenants, budgets,
// services, routes and back ends, each with the revision that last changed it.
//
// A change names its base revision. It is refused as a conflict if an object that
// it changes was changed after the base, so exactly one of two concurrent changes
// of an object with the same base succeeds. Revisions only increase, and a follower
// never applies a lower one.
package catalog

import (
	"fmt"
	"sort"

	"google.golang.org/protobuf/proto"

	ravenwayv1 "github.com/ravenway/ravenway/api/ravenway/v1"
)

// Kinds of objects, as used in keys and references.
const (
	KindTenant  = "tenant"
	KindBudget  = "budget"
	KindService = "service"
	KindRoute   = "route"
	KindBackend = "backend"
)

// maximumRecentChanges bounds the recent changes that are kept for followers. A follower
// that lacks more than these receives the whole catalog.
const maximumRecentChanges = 4096

// Key identifies one object.
type Key struct {
	Kind string `msgpack:"k"`
	Name string `msgpack:"n"`
}

// String returns "kind/name".
func (k Key) String() string { return k.Kind + "/" + k.Name }

// Change is one object at a revision. Data is its encoded
// ravenwayv1.CatalogObject, empty if the object was deleted.
type Change struct {
	Key      Key    `msgpack:"k"`
	Revision uint64 `msgpack:"r"`
	Data     []byte `msgpack:"d"`
}

// Delta holds the changes that bring a follower from revision From to revision To.
type Delta struct {
	From    uint64   `msgpack:"f"`
	To      uint64   `msgpack:"t"`
	Changes []Change `msgpack:"c"`
}

// Conflict describes the earlier change that a refused proposal conflicts with. Key and
// OperationID are empty if the proposal's base revision is above the catalog's revision.
type Conflict struct {
	Key         Key
	Revision    uint64
	OperationID string
}

// entry is the newest change of one object, including a deletion.
type entry struct {
	change      Change
	object      *ravenwayv1.CatalogObject
	operationID string
}

// Catalog is a set of objects at a revision.
type Catalog struct {
	revision uint64
	entries  map[Key]*entry
	// recent holds the newest changes in the order of their revisions.
	recent []Change
	// recentBase is the revision before the oldest of recent.
	recentBase uint64
}

// New returns an empty catalog at revision 0.
func New() *Catalog { return &Catalog{entries: map[Key]*entry{}} }

// Revision returns the current revision.
func (c *Catalog) Revision() uint64 { return c.revision }

// Object returns one object, or nil.
func (c *Catalog) Object(key Key) *ravenwayv1.CatalogObject {
	if found := c.entries[key]; found != nil {
		return found.object
	}
	return nil
}

// Budget returns the configuration of a budget, or nil.
func (c *Catalog) Budget(name string) *ravenwayv1.Budget {
	return c.Object(Key{Kind: KindBudget, Name: name}).GetBudget()
}

// Backend returns a back end, or nil.
func (c *Catalog) Backend(name string) *ravenwayv1.Backend {
	return c.Object(Key{Kind: KindBackend, Name: name}).GetBackend()
}

// Proposal is a change that an operator requests.
type Proposal struct {
	// OperationID identifies the operator's request, so that a conflict can name it.
	OperationID string
	// BaseRevision is the revision that the change is based on. AnyRevision applies the
	// change regardless of it.
	BaseRevision uint64
	AnyRevision  bool
	// Put holds the objects to create or replace, Delete the keys of those to delete.
	Put    *ravenwayv1.CatalogDocument
	Delete []Key
}

// Outcome is the result of a Proposal: exactly one of a conflict, findings or a
// new revision.
type Outcome struct {
	Revision uint64
	Conflict *Conflict
	Findings []*ravenwayv1.Finding
}

// Apply applies a proposal as a whole, or changes nothing and returns the reasons.
func (c *Catalog) Apply(proposal Proposal) Outcome {
	objects, findings := Objects(proposal.Put)
	findings = append(findings, c.checkDeletes(proposal.Delete)...)
	if len(findings) > 0 {
		return Outcome{Revision: c.revision, Findings: findings}
	}
	if conflict := c.conflict(proposal, objects); conflict != nil {
		return Outcome{Revision: c.revision, Conflict: conflict}
	}
	if findings := c.checkResult(objects, proposal.Delete); len(findings) > 0 {
		return Outcome{Revision: c.revision, Findings: findings}
	}
	c.revision++
	for _, object := range objects {
		c.put(object.Key, object.Object, c.revision, proposal.OperationID)
	}
	for _, key := range proposal.Delete {
		c.put(key, nil, c.revision, proposal.OperationID)
	}
	return Outcome{Revision: c.revision}
}

func (c *Catalog) conflict(proposal Proposal, objects []NamedObject) *Conflict {
	if proposal.AnyRevision {
		return nil
	}
	keys := append([]Key(nil), proposal.Delete...)
	for _, object := range objects {
		keys = append(keys, object.Key)
	}
	for _, key := range keys {
		if known := c.entries[key]; known != nil && known.change.Revision > proposal.BaseRevision {
			return &Conflict{Key: key, Revision: known.change.Revision, OperationID: known.operationID}
		}
	}
	if proposal.BaseRevision > c.revision {
		return &Conflict{Revision: c.revision}
	}
	return nil
}

func (c *Catalog) put(key Key, object *ravenwayv1.CatalogObject, revision uint64, operationID string) {
	var data []byte
	if object != nil {
		var err error
		if data, err = (proto.MarshalOptions{Deterministic: true}).Marshal(object); err != nil {
			panic(fmt.Sprintf("catalog: encoding %s: %v", key, err))
		}
	}
	change := Change{Key: key, Revision: revision, Data: data}
	c.entries[key] = &entry{change: change, object: object, operationID: operationID}
	c.appendRecent(change)
}

func (c *Catalog) appendRecent(change Change) {
	c.recent = append(c.recent, change)
	if excess := len(c.recent) - maximumRecentChanges; excess > 0 {
		c.recentBase = c.recent[excess-1].Revision
		c.recent = append([]Change(nil), c.recent[excess:]...)
	}
}

// DeltaSince returns the changes that a follower at a revision lacks and reports whether there
// are any. A follower that is too far behind receives every object.
func (c *Catalog) DeltaSince(revision uint64) (Delta, bool) {
	if revision >= c.revision {
		return Delta{}, false
	}
	delta := Delta{From: revision, To: c.revision}
	if revision < c.recentBase || revision == 0 {
		delta.From = 0
		delta.Changes = c.all()
		return delta, true
	}
	first := sort.Search(len(c.recent), func(i int) bool { return c.recent[i].Revision > revision })
	delta.Changes = append(delta.Changes, c.recent[first:]...)
	return delta, true
}

// all returns the newest change of each object, deletions included, oldest change first.
func (c *Catalog) all() []Change {
	changes := make([]Change, 0, len(c.entries))
	for _, known := range c.entries {
		changes = append(changes, known.change)
	}
	sort.Slice(changes, func(i, j int) bool {
		if changes[i].Revision != changes[j].Revision {
			return changes[i].Revision < changes[j].Revision
		}
		return changes[i].Key.String() < changes[j].Key.String()
	})
	return changes
}

// ApplyDelta applies a delta from another node and reports whether anything changed.
// A delta that starts after this catalog's revision would leave a gap and is
// refused. One that ends at or before it is ignored, so the revision never decreases.
func (c *Catalog) ApplyDelta(delta Delta) (bool, error) {
	if delta.To <= c.revision {
		return false, nil
	}
	if delta.From > c.revision {
		return false, fmt.Errorf("a delta that starts at revision %d can't be applied to revision %d", delta.From, c.revision)
	}
	decoded := make([]*ravenwayv1.CatalogObject, len(delta.Changes))
	for position, change := range delta.Changes {
		if len(change.Data) == 0 {
			continue
		}
		object := &ravenwayv1.CatalogObject{}
		if err := proto.Unmarshal(change.Data, object); err != nil {
			return false, fmt.Errorf("decoding %s at revision %d: %w", change.Key, change.Revision, err)
		}
		decoded[position] = object
	}
	for position, change := range delta.Changes {
		if known := c.entries[change.Key]; known != nil && known.change.Revision >= change.Revision {
			continue
		}
		c.entries[change.Key] = &entry{change: change, object: decoded[position]}
		c.appendRecent(change)
	}
	c.revision = delta.To
	return true, nil
}

// Document returns all objects, those of each kind sorted by name.
func (c *Catalog) Document() *ravenwayv1.CatalogDocument {
	document := &ravenwayv1.CatalogDocument{}
	for _, key := range c.sortedKeys() {
		switch object := c.entries[key].object.GetObject().(type) {
		case *ravenwayv1.CatalogObject_Tenant:
			document.Tenants = append(document.Tenants, object.Tenant)
		case *ravenwayv1.CatalogObject_Budget:
			document.Budgets = append(document.Budgets, object.Budget)
		case *ravenwayv1.CatalogObject_Service:
			document.Services = append(document.Services, object.Service)
		case *ravenwayv1.CatalogObject_Route:
			document.Routes = append(document.Routes, object.Route)
		case *ravenwayv1.CatalogObject_Backend:
			document.Backends = append(document.Backends, object.Backend)
		}
	}
	return document
}

func (c *Catalog) sortedKeys() []Key {
	keys := make([]Key, 0, len(c.entries))
	for key := range c.entries {
		keys = append(keys, key)
	}
	sort.Slice(keys, func(i, j int) bool {
		if keys[i].Kind != keys[j].Kind {
			return keys[i].Kind < keys[j].Kind
		}
		return keys[i].Name < keys[j].Name
	})
	return keys
}
