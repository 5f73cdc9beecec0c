// Package deployment writes the files of a whole deployment on loopback: the
// settings of each daemon, the keys, and the catalog.
package deployment

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"google.golang.org/protobuf/encoding/protojson"

	ravenwayv1 "github.com/ravenway/ravenway/api/ravenway/v1"
)

const (
	// portsPerNode is the distance between the base ports of two daemons.
	portsPerNode        = 10
	maximumControlNodes = 3
)

// Plan describes a deployment.
type Plan struct {
	Name  string
	Zones []string
	// NodesPerZone are the numbers of nodes, in the order of Zones.
	NodesPerZone []int
	// EngineName and PlainName are the names of the two services: one of engines, and one of plain back
	// ends, which serve no model.
	EngineName    string
	Engines       int
	EngineSlots   uint32
	PlainName     string
	PlainBackends int
	PlainPrefix   string
	Model         string
	Tenants       int
	// Limit is the limit of each tenant's budget, in tokens. Large tenants get ten times as much.
	Limit    uint64
	BasePort int
	// BackendPort is the port of the first back end; 0 means BasePort + 500.
	BackendPort int
}

// ZameenHaq returns the plan of the first user's deployment at its current size.
func ZameenHaq() Plan {
	return Plan{
		Name: "zameen-haq", Zones: []string{"lhr-a", "lhr-b", "lhr-c"}, NodesPerZone: []int{3, 3, 2},
		EngineName: "qalam-llm", Engines: 12, EngineSlots: 16, PlainName: "daftar-app", PlainBackends: 3, PlainPrefix: "/daftar",
		Model: "qalam-1", Tenants: 10, Limit: 2_000_000, BasePort: 17100,
	}
}

// Drukwacht returns the plan of the second user's deployment at its current size.
func Drukwacht() Plan {
	return Plan{
		Name: "drukwacht", Zones: []string{"hall-a", "hall-b", "hall-c"}, NodesPerZone: []int{3, 2, 2},
		EngineName: "model-pool", Engines: 12, EngineSlots: 16, PlainName: "logger-portal", PlainBackends: 3, PlainPrefix: "/portal",
		Model: "transient-1", Tenants: 10, Limit: 500_000, BasePort: 18100,
	}
}

// ByName returns the plan with a name, or an error that lists the known names.
func ByName(name string) (Plan, error) {
	for _, plan := range []Plan{ZameenHaq(), Drukwacht()} {
		if plan.Name == name {
			return plan, nil
		}
	}
	return Plan{}, fmt.Errorf("unknown deployment %q; known deployments are zameen-haq and drukwacht", name)
}

// Node is one daemon of a plan.
type Node struct {
	Name      string
	Zone      string
	IsControl bool
	// Port is the base port, to which the offset of each listener is added.
	Port int
}

// Address returns the address of the node's listener at an offset from its port.
func (n Node) Address(offset int) string { return fmt.Sprintf("127.0.0.1:%d", n.Port+offset) }

// Offsets of a node's listeners from its port.
const (
	CallersPort   = 1
	OperatorsPort = 2
	PeersPort     = 3
	HealthPort    = 4
)

// Nodes lists the daemons. The first node of each of the first three zones is a control node and
// holds a replica of the log.
func (p Plan) Nodes() []Node {
	var nodes []Node
	for position, zone := range p.Zones {
		for number := range p.NodesPerZone[position] {
			nodes = append(nodes, Node{
				Name: fmt.Sprintf("%s-%d", zone, number+1), Zone: zone, IsControl: number == 0 && position < maximumControlNodes,
				Port: p.BasePort + portsPerNode*len(nodes),
			})
		}
	}
	return nodes
}

// AdminAddress returns the address at which the emulator serves the platform's list and the ground
// truth.
func (p Plan) AdminAddress() string { return fmt.Sprintf("127.0.0.1:%d", p.BasePort+900) }

// TenantNames lists the tenants; the first three are large.
func (p Plan) TenantNames() []string {
	var names []string
	for number := range p.Tenants {
		names = append(names, fmt.Sprintf("tenant-%02d", number+1))
	}
	return names
}

// largeTenantCount is the number of large tenants, which come first.
const largeTenantCount = 3

// IsLarge reports whether a tenant is one of the large ones.
func (p Plan) IsLarge(name string) bool {
	for _, large := range p.TenantNames()[:min(largeTenantCount, p.Tenants)] {
		if name == large {
			return true
		}
	}
	return false
}

// TenantLimit returns a tenant's prepaid limit, in tokens.
func (p Plan) TenantLimit(name string) uint64 {
	if p.IsLarge(name) {
		return 10 * p.Limit
	}
	return p.Limit
}

// APIKey returns a tenant's key in the demo, which is predictable. Real keys are random.
func (p Plan) APIKey(tenant string) string { return "demo-key-" + p.Name + "-" + tenant }

// BudgetName returns the name of a tenant's budget.
func BudgetName(tenant string) string { return tenant + "-prepaid" }

// Catalog returns the deployment's catalog.
func (p Plan) Catalog() *ravenwayv1.CatalogDocument {
	document := &ravenwayv1.CatalogDocument{
		Services: []*ravenwayv1.Service{
			{Name: p.EngineName, Kind: ravenwayv1.ServiceKind_SERVICE_KIND_ENGINE, Models: []string{p.Model}, MaxOutputTokens: 2048},
			{Name: p.PlainName, Kind: ravenwayv1.ServiceKind_SERVICE_KIND_PLAIN},
		},
		Routes: []*ravenwayv1.Route{{Name: p.PlainName, PathPrefix: p.PlainPrefix, Service: p.PlainName, NotRepeatableMethods: []string{"POST"}}},
	}
	for _, tenant := range p.TenantNames() {
		digest := sha256.Sum256([]byte(p.APIKey(tenant)))
		weight := uint32(1)
		if p.IsLarge(tenant) {
			weight = 4
		}
		document.Tenants = append(document.Tenants, &ravenwayv1.Tenant{
			Name: tenant, ApiKeyHashes: []string{hex.EncodeToString(digest[:])}, Weight: weight, DefaultBudget: BudgetName(tenant),
		})
		document.Budgets = append(document.Budgets, &ravenwayv1.Budget{Name: BudgetName(tenant), Tenant: tenant})
	}
	for number := range p.Engines {
		document.Backends = append(document.Backends, p.backend(p.EngineName, number, 0, p.EngineSlots))
	}
	for number := range p.PlainBackends {
		document.Backends = append(document.Backends, p.backend(p.PlainName, number, 100, 64))
	}
	return document
}

func (p Plan) backend(service string, number, portOffset int, capacity uint32) *ravenwayv1.Backend {
	return &ravenwayv1.Backend{
		Name: fmt.Sprintf("%s-%02d", service, number+1), Service: service, Zone: p.Zones[number%len(p.Zones)],
		Address: fmt.Sprintf("127.0.0.1:%d", cmp.Or(p.BackendPort, p.BasePort+500)+portOffset+number), Capacity: capacity, ChecksFence: number%2 == 0,
	}
}

// Settings returns the content of one daemon's settings file.
func (p Plan) Settings(node Node, folder string) string {
	var text strings.Builder
	roles := `["entry"]`
	if node.IsControl {
		roles = `["entry", "control"]`
	}
	fmt.Fprintf(&text, "[node]\nname = %q\nzone = %q\nroles = %s\n\n", node.Name, node.Zone, roles)
	fmt.Fprintf(&text, "[listen]\ncallers = %q\noperators = %q\npeers = %q\nhealth = %q\n\n",
		node.Address(CallersPort), node.Address(OperatorsPort), node.Address(PeersPort), node.Address(HealthPort))
	if node.IsControl {
		bootstrap := node.Name == p.Nodes()[0].Name
		fmt.Fprintf(&text, "[control]\ndata_dir = %q\nbootstrap = %v\n\n", filepath.Join(folder, node.Name), bootstrap)
	}
	fmt.Fprintf(&text, "[security]\npeer_key_file = %q\noperator_token_file = %q\n\n", filepath.Join(folder, "peer.key"), filepath.Join(folder, "operator.token"))
	fmt.Fprintf(&text, "[platform]\nmachines_url = %q\n", "http://"+p.AdminAddress())
	for _, peer := range p.Nodes() {
		fmt.Fprintf(&text, "\n[[peers]]\nname = %q\nzone = %q\naddress = %q\ncontrol = %v\n", peer.Name, peer.Zone, peer.Address(PeersPort), peer.IsControl)
	}
	return text.String()
}

// Write writes all files of the deployment into a folder.
func (p Plan) Write(folder, peerKey, operatorToken string) error {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return err
	}
	catalog, err := protojson.MarshalOptions{Multiline: true, UseProtoNames: true}.Marshal(p.Catalog())
	if err != nil {
		return err
	}
	files := map[string]string{"peer.key": peerKey, "operator.token": operatorToken, "catalog.json": string(catalog)}
	for _, node := range p.Nodes() {
		files[node.Name+".toml"] = p.Settings(node, folder)
	}
	for name, content := range files {
		if err := os.WriteFile(filepath.Join(folder, name), []byte(content), 0o600); err != nil {
			return err
		}
	}
	return nil
}
