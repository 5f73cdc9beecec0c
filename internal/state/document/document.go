// Package document holds a whole configuration that came from outside at one
// version: routes, services, limits on callers, and tenants.
//
// A document is replaced as a whole. The highest version holds; a version at
// or below the one held changes nothing. The bytes it came in are kept, so
// that it is read back exactly as it was sent.
package document

import (
	"fmt"
	"strings"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// RouteKind tells what may be done with a route's requests.
type RouteKind uint8

const (
	// Repeatable requests may run more than once.
	Repeatable RouteKind = iota
	// NotRepeatable requests run at most once for each request of a caller.
	NotRepeatable
	// Stream answers are series of events; they run at most once unless the
	// route says that they may be resumed.
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
	// Targets are the services with their weights.
	Targets []Target `msgpack:"t"`
	// Timeout is the longest time that a request is held.
	Timeout time.Duration `msgpack:"o"`
	// Objective is the time to the answer, or to a stream's first event.
	Objective time.Duration `msgpack:"a"`
	// EventGap is the longest pause between events that meets the objective.
	EventGap time.Duration `msgpack:"g"`
	// Priority ranks the route; 0 is the most urgent.
	Priority int `msgpack:"u"`
	// MaxAttempts is the largest number of engines that one request is sent to.
	MaxAttempts int `msgpack:"m"`
	// Public routes need no key.
	Public bool `msgpack:"b"`
	// Sticky routes' requests name shared prompt parts.
	Sticky bool `msgpack:"y"`
	// Resumable streams may go on at another engine.
	Resumable bool `msgpack:"e"`
	// Regions are the only ones in which requests may be served; empty means any.
	Regions []string `msgpack:"ar,omitempty"`
}

// Idempotent tells whether a request may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == Repeatable || r.Kind == Stream && r.Resumable
}

// Target is one service of a route.
type Target struct {
	Service string `msgpack:"s"`
	Weight  int    `msgpack:"w"`
}

// Service is a set of engines that do the same work.
type Service struct {
	Name string `msgpack:"n"`
	// MaxConnections is what one engine takes from all callers together.
	MaxConnections int `msgpack:"c"`
	// EventTokens is the number of tokens in an event of a stream; 0 means one.
	EventTokens int `msgpack:"e"`
	// Slots is the number of requests that a model engine works on at once; 0
	// for a plain service.
	Slots int `msgpack:"l"`
	// CacheTokens is a model engine's memory in tokens.
	CacheTokens uint64 `msgpack:"k"`
	// ColdRate is the requests a second that a cold instance bears from all nodes
	// together, 0 if being cold makes no difference; ColdTime how long it is cold
	// after its start.
	ColdRate float64       `msgpack:"cr"`
	ColdTime time.Duration `msgpack:"ct"`
}

// Limits bound what a caller may send, and how long it may take or rest.
type Limits struct {
	MaxHeaderBytes int           `msgpack:"h"`
	MaxBodyBytes   int64         `msgpack:"b"`
	HeaderTimeout  time.Duration `msgpack:"t"`
	IdleTimeout    time.Duration `msgpack:"i"`
}

// Tenant is a payer with its keys.
type Tenant struct {
	Name string   `msgpack:"n"`
	Keys []string `msgpack:"k"`
	// Priority goes before the route's if HasPriority is set.
	Priority    int  `msgpack:"u"`
	HasPriority bool `msgpack:"q"`
	// Prepaid is the number of tokens that the tenant may use if HasPrepaid is
	// set.
	Prepaid    uint64 `msgpack:"p"`
	HasPrepaid bool   `msgpack:"r"`
	// Regions are the only ones in which the tenant's requests may be served; empty
	// means any.
	Regions []string `msgpack:"ar,omitempty"`
}

// Finding is one thing wrong with a document, with its place.
type Finding struct {
	Place   string
	Problem string
}

// Findings are all that is wrong with a document.
type Findings []Finding

// Error implements error: one line a finding.
func (f Findings) Error() string {
	lines := make([]string, len(f))
	for position, finding := range f {
		lines[position] = finding.Place + ": " + finding.Problem
	}
	return strings.Join(lines, "\n")
}

// Check returns everything that makes a document invalid.
func (d *Document) Check() Findings {
	checker := &checker{services: map[string]bool{}, places: map[string]string{}, keys: map[string]string{}}
	for position, service := range d.Services {
		place := fmt.Sprintf("services[%d]", position)
		if service.Name == "" {
			checker.find(place, "has no name")
		}
		if checker.services[service.Name] {
			checker.find(place, "the service %q stands twice", service.Name)
		}
		checker.services[service.Name] = true
		if service.ColdRate < 0 || service.ColdTime < 0 {
			checker.find(place, "a cold instance's rate and time can't be below 0")
		}
	}
	for position := range d.Routes {
		checker.route(fmt.Sprintf("routes[%d]", position), &d.Routes[position])
	}
	tenants := map[string]bool{}
	for position, tenant := range d.Tenants {
		place := fmt.Sprintf("tenants[%d]", position)
		if tenant.Name == "" || tenants[tenant.Name] {
			checker.find(place, "the name %q is empty or stands twice", tenant.Name)
		}
		tenants[tenant.Name] = true
		checker.tenantKeys(place, tenant)
		checker.regions(place, tenant.Regions)
	}
	return checker.findings
}

type checker struct {
	services map[string]bool
	places   map[string]string
	keys     map[string]string
	findings Findings
}

func (c *checker) find(place, format string, arguments ...any) {
	c.findings = append(c.findings, Finding{Place: place, Problem: fmt.Sprintf(format, arguments...)})
}

func (c *checker) route(place string, route *Route) {
	if route.Host == "" {
		c.find(place, "has no host")
	}
	if !strings.HasPrefix(route.Prefix, "/") || !strings.HasSuffix(route.Prefix, "/") {
		c.find(place, "the prefix %q does not begin and end with a slash", route.Prefix)
	}
	key := strings.ToLower(route.Host) + " " + route.Prefix
	if other, doubled := c.places[key]; doubled {
		c.find(place, "host %q and prefix %q stand at %s already", route.Host, route.Prefix, other)
	}
	c.places[key] = place
	if route.Timeout <= 0 {
		c.find(place, "the timeout must be above 0")
	}
	total := 0
	for _, target := range route.Targets {
		if !c.services[target.Service] {
			c.find(place, "the service %q is not known", target.Service)
		}
		if target.Weight < 0 {
			c.find(place, "the weight of service %q is below 0", target.Service)
		}
		total += target.Weight
	}
	if total <= 0 {
		c.find(place, "the weights add up to 0")
	}
	c.regions(place, route.Regions)
}

// regions looks for names that are none: a list with one would bind requests to nowhere.
func (c *checker) regions(place string, names []string) {
	for position, name := range names {
		if name == "" {
			c.find(fmt.Sprintf("%s.regions[%d]", place, position), "the region has no name")
		}
	}
}

func (c *checker) tenantKeys(place string, tenant Tenant) {
	for _, key := range tenant.Keys {
		if key == "" {
			c.find(place, "a key is empty")
			continue
		}
		if other, doubled := c.keys[key]; doubled && other != tenant.Name {
			c.find(place, "one of its keys is also of tenant %q", other)
		}
		c.keys[key] = tenant.Name
	}
}

// Encode returns the document's bytes for the log and for peers.
func (d *Document) Encode() ([]byte, error) {
	data, err := msgpack.Marshal(d)
	if err != nil {
		return nil, fmt.Errorf("encoding a configuration document: %w", err)
	}
	return Pack(data)
}

// Decode reads what Encode wrote.
func Decode(data []byte) (*Document, error) {
	decoded := &Document{}
	data, err := Unpack(data)
	if err != nil {
		return nil, err
	}
	if err := msgpack.Unmarshal(data, decoded); err != nil {
		return nil, fmt.Errorf("decoding a configuration document: %w", err)
	}
	return decoded, nil
}
