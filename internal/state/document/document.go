// Package document holds a whole configuration at one version, as an operator
// submitted it: routes, services, limits on callers, and tenants.
//
// A document is replaced as a whole. The highest version is active; a version at
// or below the active one changes nothing. The submitted bytes are kept, so that
// the document can be read back exactly as it was sent.
package document

import (
	"fmt"
	"strings"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// RouteKind determines whether a route's requests may be retried and how they are answered.
type RouteKind uint8

const (
	// Repeatable requests may run more than once.
	Repeatable RouteKind = iota
	// NotRepeatable requests run at most once for each request of a caller, so they are not retried.
	NotRepeatable
	// Stream requests are answered with a stream of events. They run at most once unless
	// the route is Resumable.
	Stream
)

// Document is one whole configuration.
type Document struct {
	Version  uint64    `msgpack:"v"`
	Routes   []Route   `msgpack:"r"`
	Services []Service `msgpack:"s"`
	Limits   Limits    `msgpack:"l"`
	Tenants  []Tenant  `msgpack:"t"`
}

// Route sends requests of one host and path prefix to services.
type Route struct {
	Name string `msgpack:"n"`
	Host string `msgpack:"h"`
	// Prefix begins and ends with a slash.
	Prefix string    `msgpack:"p"`
	Kind   RouteKind `msgpack:"k"`
	// Targets are the services that serve the route, with their weights.
	Targets []Target `msgpack:"t"`
	// Timeout is the time from the arrival of a request to its deadline.
	Timeout time.Duration `msgpack:"o"`
	// Objective is the target for the time to the response, or to a stream's first event.
	Objective time.Duration `msgpack:"a"`
	// EventGap is the maximum time between two events of a stream that meets the objective.
	EventGap time.Duration `msgpack:"g"`
	// Priority is the route's priority; 0 is the most urgent.
	Priority int `msgpack:"u"`
	// MaximumAttempts is the maximum number of engines that one request is sent to.
	MaximumAttempts int `msgpack:"m"`
	// Public routes need no key.
	Public bool `msgpack:"b"`
	// Sticky indicates that the route's requests name the parts of their prompts that they
	// share with other requests.
	Sticky bool `msgpack:"y"`
	// Resumable streams may be continued by another engine.
	Resumable bool `msgpack:"e"`
	// Regions are the regions in which requests may be served; empty means any.
	Regions []string `msgpack:"ar,omitempty"`
}

// Idempotent reports whether a request may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == Repeatable || r.Kind == Stream && r.Resumable
}

// Target is one service of a route with its share of the requests.
type Target struct {
	Service string `msgpack:"s"`
	Weight  int    `msgpack:"w"`
}

// Service is a set of engines that do the same work.
type Service struct {
	Name string `msgpack:"n"`
	// MaximumConnections is the maximum number of connections that one engine accepts from all
	// callers together.
	MaximumConnections int `msgpack:"c"`
	// EventTokens is the number of tokens in an event of a stream; 0 means one.
	EventTokens int `msgpack:"e"`
	// Slots is the number of requests that a model engine processes concurrently; 0
	// for a plain service, whose instances are not model engines.
	Slots int `msgpack:"l"`
	// CacheTokens is the size of a model engine's cache, in tokens.
	CacheTokens uint64 `msgpack:"k"`
	// An instance counts as cold for ColdTime after its start. ColdRate is the number of
	// requests a second that a cold instance can handle from all nodes together, 0 if cold
	// instances need no limit.
	ColdRate float64       `msgpack:"cr"`
	ColdTime time.Duration `msgpack:"ct"`
}

// Limits bound the size of a caller's requests, the time for their headers and the time that a
// connection may be idle.
type Limits struct {
	MaximumHeaderBytes int           `msgpack:"h"`
	MaximumBodyBytes   int64         `msgpack:"b"`
	HeaderTimeout      time.Duration `msgpack:"t"`
	IdleTimeout        time.Duration `msgpack:"i"`
}

// Tenant is a customer with its API keys.
type Tenant struct {
	Name string   `msgpack:"n"`
	Keys []string `msgpack:"k"`
	// Priority overrides the route's priority if HasPriority is set.
	Priority    int  `msgpack:"u"`
	HasPriority bool `msgpack:"q"`
	// Prepaid is the number of tokens that the tenant may use if HasPrepaid is
	// set.
	Prepaid    uint64 `msgpack:"p"`
	HasPrepaid bool   `msgpack:"r"`
	// Regions are the regions in which the tenant's requests may be served; empty
	// means any.
	Regions []string `msgpack:"ar,omitempty"`
}

// Finding is one problem of a document with its position, such as "routes[0]".
type Finding struct {
	Place   string
	Problem string
}

// Findings are all problems of a document.
type Findings []Finding

// Error implements error; each finding is one line.
func (f Findings) Error() string {
	lines := make([]string, len(f))
	for position, finding := range f {
		lines[position] = finding.Place + ": " + finding.Problem
	}
	return strings.Join(lines, "\n")
}

// Check returns all problems that make the document invalid; it is valid if there are none.
func (d *Document) Check() Findings {
	checker := &checker{services: map[string]bool{}, places: map[string]string{}, keys: map[string]string{}}
	for position, service := range d.Services {
		place := fmt.Sprintf("services[%d]", position)
		if service.Name == "" {
			checker.addFinding(place, "has no name")
		}
		if checker.services[service.Name] {
			checker.addFinding(place, "the service %q stands twice", service.Name)
		}
		checker.services[service.Name] = true
		if service.ColdRate < 0 || service.ColdTime < 0 {
			checker.addFinding(place, "a cold instance's rate and time can't be below 0")
		}
	}
	for position := range d.Routes {
		checker.checkRoute(fmt.Sprintf("routes[%d]", position), &d.Routes[position])
	}
	tenants := map[string]bool{}
	for position, tenant := range d.Tenants {
		place := fmt.Sprintf("tenants[%d]", position)
		if tenant.Name == "" || tenants[tenant.Name] {
			checker.addFinding(place, "the name %q is empty or stands twice", tenant.Name)
		}
		tenants[tenant.Name] = true
		checker.checkTenantKeys(place, tenant)
		checker.checkRegions(place, tenant.Regions)
	}
	return checker.findings
}

// checker collects the findings of one document.
type checker struct {
	// services are the names of the document's services.
	services map[string]bool
	// places holds the place of the route with each host and prefix.
	places map[string]string
	// keys holds the tenant of each API key.
	keys     map[string]string
	findings Findings
}

func (c *checker) addFinding(place, format string, arguments ...any) {
	c.findings = append(c.findings, Finding{Place: place, Problem: fmt.Sprintf(format, arguments...)})
}

func (c *checker) checkRoute(place string, route *Route) {
	if route.Host == "" {
		c.addFinding(place, "has no host")
	}
	if !strings.HasPrefix(route.Prefix, "/") || !strings.HasSuffix(route.Prefix, "/") {
		c.addFinding(place, "the prefix %q does not begin and end with a slash", route.Prefix)
	}
	key := strings.ToLower(route.Host) + " " + route.Prefix
	if other, duplicate := c.places[key]; duplicate {
		c.addFinding(place, "host %q and prefix %q stand at %s already", route.Host, route.Prefix, other)
	}
	c.places[key] = place
	if route.Timeout <= 0 {
		c.addFinding(place, "the timeout must be above 0")
	}
	total := 0
	for _, target := range route.Targets {
		if !c.services[target.Service] {
			c.addFinding(place, "the service %q is not known", target.Service)
		}
		if target.Weight < 0 {
			c.addFinding(place, "the weight of service %q is below 0", target.Service)
		}
		total += target.Weight
	}
	if total <= 0 {
		c.addFinding(place, "the weights add up to 0")
	}
	c.checkRegions(place, route.Regions)
}

// checkRegions reports empty names of regions: with one in the list, requests could be restricted
// to a region that does not exist.
func (c *checker) checkRegions(place string, names []string) {
	for position, name := range names {
		if name == "" {
			c.addFinding(fmt.Sprintf("%s.regions[%d]", place, position), "the region has no name")
		}
	}
}

func (c *checker) checkTenantKeys(place string, tenant Tenant) {
	for _, key := range tenant.Keys {
		if key == "" {
			c.addFinding(place, "a key is empty")
			continue
		}
		if other, duplicate := c.keys[key]; duplicate && other != tenant.Name {
			c.addFinding(place, "one of its keys is also of tenant %q", other)
		}
		c.keys[key] = tenant.Name
	}
}

// Encode returns the encoded and compressed document for the log and for peers.
func (d *Document) Encode() ([]byte, error) {
	data, err := msgpack.Marshal(d)
	if err != nil {
		return nil, fmt.Errorf("encoding a configuration document: %w", err)
	}
	return Compress(data)
}

// Decode decodes a document that Encode encoded.
func Decode(data []byte) (*Document, error) {
	decoded := &Document{}
	data, err := Decompress(data)
	if err != nil {
		return nil, err
	}
	if err := msgpack.Unmarshal(data, decoded); err != nil {
		return nil, fmt.Errorf("decoding a configuration document: %w", err)
	}
	return decoded, nil
}
