package node

import (
	"slices"
	"strings"
	"time"

	ravenwayv1 "github.com/ravenway/ravenway/api/ravenway/v1"
	"github.com/ravenway/ravenway/internal/duty"
	"github.com/ravenway/ravenway/internal/protocol/peer"
	"github.com/ravenway/ravenway/internal/state/catalog"
)

const (
	// followInterval is the time between requests to the node followed.
	followInterval = time.Second
	// followerSilence is the silence after which a follower is forgotten.
	followerSilence = 5 * time.Second
	// relaysPerZone are the nodes of a zone that follow control nodes; the
	// zone's others follow them.
	relaysPerZone = 2
)

// catalogView is the catalog in force, indexed for requests. It does not change.
type catalogView struct {
	revision uint64
	// tenants is by API key hash.
	tenants  map[string]*ravenwayv1.Tenant
	budgets  map[string]*ravenwayv1.Budget
	services map[string]*ravenwayv1.Service
	// models is the engine service of each model.
	models map[string]*ravenwayv1.Service
	// routes have the longest prefixes first.
	routes   []*ravenwayv1.Route
	backends []*ravenwayv1.Backend
}

func emptyView() *catalogView { return newView(catalog.New()) }

func newView(source *catalog.Catalog) *catalogView {
	view := &catalogView{
		revision: source.Revision(), tenants: map[string]*ravenwayv1.Tenant{},
		budgets: map[string]*ravenwayv1.Budget{}, services: map[string]*ravenwayv1.Service{},
		models: map[string]*ravenwayv1.Service{},
	}
	document := source.Document()
	for _, tenant := range document.Tenants {
		for _, hash := range tenant.GetApiKeyHashes() {
			view.tenants[strings.ToLower(hash)] = tenant
		}
	}
	for _, budget := range document.Budgets {
		view.budgets[budget.GetName()] = budget
	}
	for _, service := range document.Services {
		view.services[service.GetName()] = service
		for _, model := range service.GetModels() {
			view.models[model] = service
		}
	}
	view.routes = document.Routes
	slices.SortStableFunc(view.routes, func(a, b *ravenwayv1.Route) int {
		return len(b.GetPathPrefix()) - len(a.GetPathPrefix())
	})
	view.backends = document.Backends
	return view
}

// route returns the route of a path, or nil.
func (v *catalogView) route(path string) *ravenwayv1.Route {
	for _, route := range v.routes {
		if strings.HasPrefix(path, route.GetPathPrefix()) {
			return route
		}
	}
	return nil
}

// catalogDuty follows the catalog and passes it on to the nodes that follow
// this one. A node takes deltas from any node and never applies a lower
// revision, so it is in no danger from a source that is behind.
type catalogDuty struct {
	node      *Node
	duty      *duty.Duty
	catalog   *catalog.Catalog
	followers map[string]time.Time
	// sent is the revision last sent to each follower.
	sent       map[string]uint64
	nextFollow time.Time
	// behindFor counts the requests since a newer revision was heard of.
	behindFor int
}

func newCatalogDuty(node *Node) *catalogDuty {
	owner := &catalogDuty{
		node: node, duty: duty.New("catalog", 100*time.Millisecond), catalog: catalog.New(),
		followers: map[string]time.Time{}, sent: map[string]uint64{},
	}
	owner.duty.Tick = owner.follow
	owner.duty.Flush = owner.push
	return owner
}

func (c *catalogDuty) takeDelta(from string, delta catalog.Delta) {
	c.duty.Offer(func() {
		changed, err := c.catalog.ApplyDelta(delta)
		if err != nil {
			c.node.log.Warn().Str("event", "catalog_delta_refused").Str("peer", from).Err(err).Send()
			return
		}
		if changed {
			c.node.log.Info().Str("event", "catalog_in_force").Uint64("revision", delta.To).Str("from", from).
				Int("changes", len(delta.Changes)).Send()
			c.putInForce()
		}
	})
}

func (c *catalogDuty) putInForce() {
	view := newView(c.catalog)
	c.node.view.Store(view)
	c.node.backends.setCatalog(view)
}

func (c *catalogDuty) takeFollow(from string, follow peer.CatalogFollow) {
	c.duty.Offer(func() {
		c.followers[from] = time.Now()
		c.sent[from] = follow.Revision
	})
}

// push sends followers what they lack.
func (c *catalogDuty) push() {
	for name, heard := range c.followers {
		if time.Since(heard) > followerSilence {
			delete(c.followers, name)
			delete(c.sent, name)
			continue
		}
		if delta, lacks := c.catalog.DeltaSince(c.sent[name]); lacks {
			c.sent[name] = delta.To
			c.node.send(name, peer.KindCatalog, &delta)
		}
	}
}

// follow asks one source for what comes. Control nodes have their replica, but
// one that is cut off or far behind follows its zone as well.
func (c *catalogDuty) follow() {
	if time.Now().Before(c.nextFollow) {
		return
	}
	c.nextFollow = time.Now().Add(followInterval)
	if source := c.chooseSource(); source != "" {
		c.node.send(source, peer.KindCatalogFollow, &peer.CatalogFollow{Revision: c.catalog.Revision()})
	}
}

// chooseSource prefers, among the nodes heard from lately: a control node of
// the zone, the zone's relays, other control nodes, the zone's others. A
// source that stays behind the newest revision heard of is passed over.
func (c *catalogDuty) chooseSource() string {
	newest := c.newestHeard()
	if newest <= c.catalog.Revision() {
		c.behindFor = 0
	} else {
		c.behindFor++
	}
	for _, name := range c.sources() {
		status, age, found := c.node.fleet.heard(name)
		if !found || age > silentAfter {
			continue
		}
		if c.behindFor > 2 && status.Revision < newest {
			continue
		}
		return name
	}
	return ""
}

func (c *catalogDuty) newestHeard() uint64 {
	var newest uint64
	for _, status := range c.node.fleet.all() {
		if time.Since(status.at) < silentAfter {
			newest = max(newest, status.Revision)
		}
	}
	return newest
}

func (c *catalogDuty) sources() []string {
	zone := c.node.pool.InZone(c.node.zone)
	relays := zone[:min(relaysPerZone, len(zone))]
	isRelay := slices.Contains(relays, c.node.name)
	var nearControl, nearRelays, farControl, others []string
	for _, member := range c.node.pool.Nodes() {
		name := member.Name
		other := c.node.peers[name]
		switch {
		case name == c.node.name:
		case other.Control && other.Zone == c.node.zone:
			nearControl = append(nearControl, name)
		case other.Control:
			farControl = append(farControl, name)
		case !isRelay && slices.Contains(relays, name):
			nearRelays = append(nearRelays, name)
		case other.Zone == c.node.zone:
			others = append(others, name)
		}
	}
	return slices.Concat(nearControl, nearRelays, farControl, others)
}
