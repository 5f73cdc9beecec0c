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
	// followInterval is the time between two requests to the node that this one follows.
	followInterval = time.Second
	// followerTimeout is the time since the last request of a follower after which it is removed.
	followerTimeout = 5 * time.Second
	// relaysPerZone is the number of nodes of a zone that follow control nodes. The zone's other nodes
	// follow these relays.
	relaysPerZone = 2
)

// catalogView is one revision of the catalog (the operators' configuration of tenants, budgets,
// services, routes and back ends), indexed for requests. It is immutable.
type catalogView struct {
	revision uint64
	// tenants holds the tenants by API key hash in lower-case hexadecimal.
	tenants  map[string]*ravenwayv1.Tenant
	budgets  map[string]*ravenwayv1.Budget
	services map[string]*ravenwayv1.Service
	// models maps each model to the engine service that serves it.
	models map[string]*ravenwayv1.Service
	// routes is sorted by descending length of the prefix.
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

// route returns the route with the longest prefix of a path, or nil.
func (v *catalogView) route(path string) *ravenwayv1.Route {
	for _, route := range v.routes {
		if strings.HasPrefix(path, route.GetPathPrefix()) {
			return route
		}
	}
	return nil
}

// catalogDuty receives catalog changes from another node, the source, and sends them to the nodes
// that follow this one. A node accepts deltas from any node and never applies a lower revision, so
// a source that is behind does no harm.
type catalogDuty struct {
	node    *Node
	duty    *duty.Duty
	catalog *catalog.Catalog
	// followers holds the time of the last request of each follower.
	followers map[string]time.Time
	// sent is the revision last sent to each follower.
	sent       map[string]uint64
	nextFollow time.Time
	// behindCount counts the follow requests since a heartbeat named a revision newer than this
	// node's.
	behindCount int
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

func (c *catalogDuty) handleDelta(from string, delta catalog.Delta) {
	c.duty.Offer(func() {
		changed, err := c.catalog.ApplyDelta(delta)
		if err != nil {
			c.node.log.Warn().Str("event", "catalog_delta_refused").Str("peer", from).Err(err).Send()
			return
		}
		if changed {
			c.node.log.Info().Str("event", "catalog_in_force").Uint64("revision", delta.To).Str("from", from).
				Int("changes", len(delta.Changes)).Send()
			c.activate()
		}
	})
}

func (c *catalogDuty) activate() {
	view := newView(c.catalog)
	c.node.view.Store(view)
	c.node.backends.setCatalog(view)
}

func (c *catalogDuty) handleFollow(from string, follow peer.CatalogFollow) {
	c.duty.Offer(func() {
		c.followers[from] = time.Now()
		c.sent[from] = follow.Revision
	})
}

// push sends each follower the changes that it lacks, and removes followers that have stopped
// requesting.
func (c *catalogDuty) push() {
	for name, lastRequest := range c.followers {
		if time.Since(lastRequest) > followerTimeout {
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

// follow requests catalog changes from one source. Control nodes do so in addition to reading their
// own replica, since that may be partitioned or far behind.
func (c *catalogDuty) follow() {
	if time.Now().Before(c.nextFollow) {
		return
	}
	c.nextFollow = time.Now().Add(followInterval)
	if source := c.chooseSource(); source != "" {
		c.node.send(source, peer.KindCatalogFollow, &peer.CatalogFollow{Revision: c.catalog.Revision()})
	}
}

// chooseSource returns the reachable node to follow, or "". It prefers, in this order: control
// nodes of the zone, the zone's relays (unless this node is one), other control nodes, the zone's
// other nodes. After more than two follow requests while a heartbeat names a newer revision than
// this node's, it skips nodes that don't have the newest one.
func (c *catalogDuty) chooseSource() string {
	newest := c.newestRevision()
	if newest <= c.catalog.Revision() {
		c.behindCount = 0
	} else {
		c.behindCount++
	}
	for _, name := range c.sources() {
		status, age, found := c.node.fleet.lastStatus(name)
		if !found || age > heartbeatTimeout {
			continue
		}
		if c.behindCount > 2 && status.Revision < newest {
			continue
		}
		return name
	}
	return ""
}

func (c *catalogDuty) newestRevision() uint64 {
	var newest uint64
	for _, status := range c.node.fleet.allStatuses() {
		if time.Since(status.receivedAt) < heartbeatTimeout {
			newest = max(newest, status.Revision)
		}
	}
	return newest
}

func (c *catalogDuty) sources() []string {
	zone := c.node.acceptors.InZone(c.node.zone)
	relays := zone[:min(relaysPerZone, len(zone))]
	isRelay := slices.Contains(relays, c.node.name)
	var zoneControl, zoneRelays, remoteControl, zoneOthers []string
	for _, member := range c.node.acceptors.Nodes() {
		name := member.Name
		other := c.node.peers[name]
		switch {
		case name == c.node.name:
		case other.Control && other.Zone == c.node.zone:
			zoneControl = append(zoneControl, name)
		case other.Control:
			remoteControl = append(remoteControl, name)
		case !isRelay && slices.Contains(relays, name):
			zoneRelays = append(zoneRelays, name)
		case other.Zone == c.node.zone:
			zoneOthers = append(zoneOthers, name)
		}
	}
	return slices.Concat(zoneControl, zoneRelays, remoteControl, zoneOthers)
}
