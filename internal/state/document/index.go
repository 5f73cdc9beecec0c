package document

import (
	"sort"
	"strings"
)

// Index finds the routes, services and tenants of a document that a request needs.
type Index struct {
	Document *Document
	// routes are the routes of each host in lower case, longest prefix first.
	routes map[string][]*Route
	// services and tenants are indexed by name, keys by API key.
	services map[string]*Service
	keys     map[string]*Tenant
	tenants  map[string]*Tenant
}

// NewIndex indexes a document. The document must not change afterwards.
func NewIndex(document *Document) *Index {
	index := &Index{
		Document: document, routes: map[string][]*Route{}, services: map[string]*Service{},
		keys: map[string]*Tenant{}, tenants: map[string]*Tenant{},
	}
	for position := range document.Routes {
		route := &document.Routes[position]
		host := strings.ToLower(route.Host)
		index.routes[host] = append(index.routes[host], route)
	}
	for _, routes := range index.routes {
		// The longest prefix comes first, so that the first match is the longest.
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	for position := range document.Services {
		index.services[document.Services[position].Name] = &document.Services[position]
	}
	for position := range document.Tenants {
		tenant := &document.Tenants[position]
		index.tenants[tenant.Name] = tenant
		for _, key := range tenant.Keys {
			index.keys[key] = tenant
		}
	}
	return index
}

// Route returns the route of the host with the longest prefix that matches the path, or
// nil. The host may include a port.
func (i *Index) Route(host, path string) *Route {
	for _, route := range i.routes[hostName(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

func hostName(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	return strings.ToLower(host)
}

// Service returns a service by its name, or nil.
func (i *Index) Service(name string) *Service { return i.services[name] }

// TenantOfKey returns the tenant with an API key, or nil.
func (i *Index) TenantOfKey(key string) *Tenant { return i.keys[key] }

// Tenant returns a tenant by its name, or nil.
func (i *Index) Tenant(name string) *Tenant { return i.tenants[name] }
