package catalog

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"slices"
	"strings"

	ravenwayv1 "github.com/ravenway/ravenway/api/ravenway/v1"
)

const (
	// maximumNameLength bounds the length of object names, in bytes.
	maximumNameLength = 128
	// apiKeyHashLength is the length of a SHA-256 hash in hex.
	apiKeyHashLength = 64
)

// Priority classes, most urgent first.
const (
	PriorityUrgent = "urgent"
	PriorityNormal = "normal"
	PriorityBatch  = "batch"
)

// Priorities lists the classes, most urgent first.
var Priorities = []string{PriorityUrgent, PriorityNormal, PriorityBatch}

// NamedObject is one object with its key and its position in the document, such as "routes[0]".
type NamedObject struct {
	Key    Key
	Place  string
	Object *ravenwayv1.CatalogObject
}

// Objects returns a document's objects and the findings about each object by itself. References
// between objects are not checked.
func Objects(document *ravenwayv1.CatalogDocument) ([]NamedObject, []*ravenwayv1.Finding) {
	collector := objectCollector{seen: map[Key]string{}}
	for position, tenant := range document.GetTenants() {
		place := collector.add(KindTenant, tenant.GetName(), "tenants", position,
			&ravenwayv1.CatalogObject{Object: &ravenwayv1.CatalogObject_Tenant{Tenant: tenant}})
		collector.checkTenant(place, tenant)
	}
	for position, budget := range document.GetBudgets() {
		place := collector.add(KindBudget, budget.GetName(), "budgets", position,
			&ravenwayv1.CatalogObject{Object: &ravenwayv1.CatalogObject_Budget{Budget: budget}})
		if budget.GetGrantSharePercent() > 100 {
			collector.addFinding(place+".grant_share_percent", "%d is more than 100", budget.GetGrantSharePercent())
		}
	}
	for position, service := range document.GetServices() {
		place := collector.add(KindService, service.GetName(), "services", position,
			&ravenwayv1.CatalogObject{Object: &ravenwayv1.CatalogObject_Service{Service: service}})
		collector.checkService(place, service)
	}
	for position, route := range document.GetRoutes() {
		place := collector.add(KindRoute, route.GetName(), "routes", position,
			&ravenwayv1.CatalogObject{Object: &ravenwayv1.CatalogObject_Route{Route: route}})
		if !strings.HasPrefix(route.GetPathPrefix(), "/") {
			collector.addFinding(place+".path_prefix", "%q does not begin with /", route.GetPathPrefix())
		}
	}
	for position, backend := range document.GetBackends() {
		place := collector.add(KindBackend, backend.GetName(), "backends", position,
			&ravenwayv1.CatalogObject{Object: &ravenwayv1.CatalogObject_Backend{Backend: backend}})
		collector.checkBackend(place, backend)
	}
	return collector.objects, collector.findings
}

// objectCollector collects the objects of a document and the findings about them.
type objectCollector struct {
	objects  []NamedObject
	findings []*ravenwayv1.Finding
	// seen holds the place of each key's object.
	seen map[Key]string
}

func (o *objectCollector) addFinding(place, format string, arguments ...any) {
	o.findings = append(o.findings, &ravenwayv1.Finding{Place: place, Problem: fmt.Sprintf(format, arguments...)})
}

func (o *objectCollector) add(kind, name, list string, position int, object *ravenwayv1.CatalogObject) string {
	place := fmt.Sprintf("%s[%d]", list, position)
	key := Key{Kind: kind, Name: name}
	switch {
	case name == "":
		o.addFinding(place+".name", "is missing")
	case len(name) > maximumNameLength || strings.ContainsAny(name, " \t\r\n/\""):
		o.addFinding(place+".name", "%q must have at most %d characters and no spaces, slashes or quotes", name, maximumNameLength)
	case o.seen[key] != "":
		o.addFinding(place+".name", "%q stands at %s already", name, o.seen[key])
	}
	o.seen[key] = place
	o.objects = append(o.objects, NamedObject{Key: key, Place: place, Object: object})
	return place
}

func (o *objectCollector) checkTenant(place string, tenant *ravenwayv1.Tenant) {
	for position, hash := range tenant.GetApiKeyHashes() {
		if _, err := hex.DecodeString(hash); err != nil || len(hash) != apiKeyHashLength {
			o.addFinding(fmt.Sprintf("%s.api_key_hashes[%d]", place, position), "is not a SHA-256 hash in hex (see 'ravenway tenant key')")
		}
	}
	if priority := tenant.GetMaxPriority(); priority != "" && !slices.Contains(Priorities, priority) {
		o.addFinding(place+".max_priority", "%q is none of %s", priority, strings.Join(Priorities, ", "))
	}
}

func (o *objectCollector) checkService(place string, service *ravenwayv1.Service) {
	switch service.GetKind() {
	case ravenwayv1.ServiceKind_SERVICE_KIND_ENGINE:
		if len(service.GetModels()) == 0 {
			o.addFinding(place+".models", "an engine service needs at least one model")
		}
	case ravenwayv1.ServiceKind_SERVICE_KIND_PLAIN:
		if len(service.GetModels()) > 0 {
			o.addFinding(place+".models", "a plain service has no models")
		}
	default:
		o.addFinding(place+".kind", "must be SERVICE_KIND_ENGINE or SERVICE_KIND_PLAIN")
	}
}

func (o *objectCollector) checkBackend(place string, backend *ravenwayv1.Backend) {
	if backend.GetZone() == "" {
		o.addFinding(place+".zone", "is missing")
	}
	if _, err := netip.ParseAddrPort(backend.GetAddress()); err != nil {
		o.addFinding(place+".address", "%q is not an IP number and a port", backend.GetAddress())
	}
}

// checkDeletes returns a finding for each key without an object.
func (c *Catalog) checkDeletes(keys []Key) []*ravenwayv1.Finding {
	var findings []*ravenwayv1.Finding
	for position, key := range keys {
		if c.Object(key) == nil {
			findings = append(findings, &ravenwayv1.Finding{
				Place: fmt.Sprintf("delete[%d]", position), Problem: fmt.Sprintf("%s does not exist", key),
			})
		}
	}
	return findings
}

// checkResult returns a finding for each reference that would be dangling after a change.
func (c *Catalog) checkResult(put []NamedObject, deleted []Key) []*ravenwayv1.Finding {
	after := resultView{catalog: c, put: map[Key]*ravenwayv1.CatalogObject{}, deleted: deleted}
	for _, object := range put {
		after.put[object.Key] = object.Object
	}
	for _, object := range put {
		after.checkReferences(object.Place, object.Object)
	}
	if len(deleted) > 0 {
		for _, key := range c.sortedKeys() {
			if _, replaced := after.put[key]; !replaced && after.exists(key) {
				after.checkReferences(key.String(), c.entries[key].object)
			}
		}
	}
	return after.findings
}

// resultView is a view of the catalog as it would be after a change.
type resultView struct {
	catalog  *Catalog
	put      map[Key]*ravenwayv1.CatalogObject
	deleted  []Key
	findings []*ravenwayv1.Finding
}

func (v *resultView) exists(key Key) bool {
	if _, found := v.put[key]; found {
		return true
	}
	return v.catalog.Object(key) != nil && !slices.Contains(v.deleted, key)
}

func (v *resultView) require(place, kind, name string) {
	if name == "" || v.exists(Key{Kind: kind, Name: name}) {
		return
	}
	v.findings = append(v.findings, &ravenwayv1.Finding{Place: place, Problem: fmt.Sprintf("%s %q does not exist", kind, name)})
}

func (v *resultView) checkReferences(place string, object *ravenwayv1.CatalogObject) {
	switch object := object.GetObject().(type) {
	case *ravenwayv1.CatalogObject_Tenant:
		v.require(place+".default_budget", KindBudget, object.Tenant.GetDefaultBudget())
	case *ravenwayv1.CatalogObject_Budget:
		if object.Budget.GetTenant() == "" {
			v.findings = append(v.findings, &ravenwayv1.Finding{Place: place + ".tenant", Problem: "is missing"})
		}
		v.require(place+".tenant", KindTenant, object.Budget.GetTenant())
	case *ravenwayv1.CatalogObject_Route:
		v.require(place+".service", KindService, object.Route.GetService())
	case *ravenwayv1.CatalogObject_Backend:
		v.require(place+".service", KindService, object.Backend.GetService())
	}
}
