package document

import (
	"sort"
	"strings"
)

// Index answers the questions that a request asks of a document.
type Index struct {
	Document *Document
	routes   map[string][]*Route
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
		// The longest prefix comes first.
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

// Route returns the route with the longest prefix of a path, or nil. The host
// may carry a port.
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

// Service returns a service, or nil.
func (i *Index) Service(name string) *Service { return i.services[name] }

// TenantOfKey returns the tenant that holds a key, or nil.
func (i *Index) TenantOfKey(key string) *Tenant { return i.keys[key] }

// Tenant returns a tenant by its name, or nil.
func (i *Index) Tenant(name string) *Tenant { return i.tenants[name] }
