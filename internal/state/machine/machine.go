// Package machine is the state machine of the replicated log. Its state is the
// catalog, the budget accounts, the nodes' incarnations, the orders to back ends,
// the configuration document, the evacuated zones, the rollouts, and the results
// of recent operations.
//
// It is deterministic: it reads no clock and draws no random numbers, so every
// replica that applied the same commands has the same state. A command with a
// known operation id changes nothing and returns the result of the first one.
// The results are part of the state, so this also holds after a change of leader
// and after restoring a snapshot.
package machine

import (
	"bytes"
	"fmt"
	"sort"

	"github.com/vmihailenco/msgpack/v5"
	"google.golang.org/protobuf/proto"

	ravenwayv1 "github.com/ravenway/ravenway/api/ravenway/v1"
	"github.com/ravenway/ravenway/internal/state/accounts"
	"github.com/ravenway/ravenway/internal/state/catalog"
	"github.com/ravenway/ravenway/internal/state/evacuation"
	"github.com/ravenway/ravenway/internal/state/rollout"
)

const (
	// maximumOperations bounds the stored results of operations. It covers two and a half
	// days at the 20,000 changes a day that the system is designed for.
	maximumOperations = 50000
	// maximumOrders bounds the stored orders; beyond it, finished ones are removed, oldest first.
	maximumOrders = 1000
)

// Command is one entry of the log: exactly one of its kinds is set, that is one of the pointers
// or Reports.
type Command struct {
	// OperationID makes the command safe to repeat; empty for commands that are
	// idempotent by themselves.
	OperationID string               `msgpack:"o,omitempty"`
	Catalog     *CatalogCommand      `msgpack:"c,omitempty"`
	Budget      *BudgetCommand       `msgpack:"b,omitempty"`
	Reports     []HolderReports      `msgpack:"r,omitempty"`
	Fence       *FenceCommand        `msgpack:"f,omitempty"`
	Close       *CloseCommand        `msgpack:"x,omitempty"`
	Node        *NodeRecord          `msgpack:"n,omitempty"`
	Order       *BackendOrderCommand `msgpack:"d,omitempty"`
	OrderResult *OrderResult         `msgpack:"e,omitempty"`
	// Document and CloseIncarnations are for fleets that are configured by one document.
	Document          *DocumentCommand          `msgpack:"m,omitempty"`
	CloseIncarnations *CloseIncarnationsCommand `msgpack:"z,omitempty"`
	// Contact is the time on the proposer's clocks, for Reports. Its index is set to that
	// of the log entry when the entry is applied.
	Contact accounts.Contact `msgpack:"k"`
	// Zone, Rollout and Version are encoded separately, see namedEntry.
	Zone    *ZoneCommand    `msgpack:"-"`
	Rollout *RolloutCommand `msgpack:"-"`
	Version *VersionCommand `msgpack:"-"`
}

// CatalogCommand changes the catalog.
type CatalogCommand struct {
	BaseRevision uint64 `msgpack:"b"`
	AnyRevision  bool   `msgpack:"a"`
	// Put is an encoded ravenwayv1.CatalogDocument.
	Put    []byte        `msgpack:"p"`
	Delete []catalog.Key `msgpack:"d"`
}

// BudgetCommand changes a limit. One of TopUp and Lower is not 0.
type BudgetCommand struct {
	Budget string `msgpack:"b"`
	TopUp  uint64 `msgpack:"t,omitempty"`
	Lower  uint64 `msgpack:"l,omitempty"`
}

// HolderReports are one holder's reports on its budgets.
type HolderReports struct {
	Holder  accounts.HolderID `msgpack:"h"`
	Reports []accounts.Report `msgpack:"r"`
	// LastContact is the newest contact that the holder has received; its index is 0 if the
	// holder uses no allowances.
	LastContact accounts.Contact `msgpack:"k"`
	// Allowances reports whether the holder keeps to allowances.
	Allowances bool `msgpack:"c"`
}

// FenceCommand stops a holder's accounts from accepting reports.
type FenceCommand struct {
	Holder accounts.HolderID `msgpack:"h"`
}

// CloseCommand closes a fenced holder's accounts.
type CloseCommand struct {
	Holder accounts.HolderID   `msgpack:"h"`
	Uses   []accounts.FinalUse `msgpack:"u"`
	Loans  []accounts.Loan     `msgpack:"l"`
	// Forfeit charges all tokens that the holder held.
	Forfeit bool `msgpack:"f"`
}

// NodeRecord is the newest known incarnation of a node.
type NodeRecord struct {
	Name        string `msgpack:"n"`
	Zone        string `msgpack:"z"`
	Incarnation uint64 `msgpack:"i"`
}

// BackendOrderCommand records the intent to send an order to a back end.
type BackendOrderCommand struct {
	Backend string               `msgpack:"b"`
	Kind    ravenwayv1.OrderKind `msgpack:"k"`
	Target  string               `msgpack:"t"`
	Version string               `msgpack:"v"`
}

// OrderState is the state of an order.
type OrderState string

// States of an order.
const (
	OrderPending    OrderState = "pending"
	OrderDone       OrderState = "done"
	OrderRefused    OrderState = "refused"
	OrderSuperseded OrderState = "superseded"
)

// OrderResult records the outcome of an order.
type OrderResult struct {
	FencingToken uint64     `msgpack:"f"`
	State        OrderState `msgpack:"s"`
	Detail       string     `msgpack:"d"`
}

// OrderRecord is one order. FencingToken is the index of the log entry that recorded the
// intent, so later orders have higher numbers.
type OrderRecord struct {
	FencingToken uint64              `msgpack:"f"`
	Order        BackendOrderCommand `msgpack:"o"`
	State        OrderState          `msgpack:"s"`
	Detail       string              `msgpack:"d"`
}

// BudgetStatus is the summary of one account in a result, in tokens.
type BudgetStatus struct {
	Budget      string `msgpack:"b"`
	Limit       uint64 `msgpack:"l"`
	Settled     uint64 `msgpack:"s"`
	Outstanding uint64 `msgpack:"o"`
}

// Result is the result of a command.
type Result struct {
	// Refused is the reason why the command was refused; empty if it was not.
	Refused string           `msgpack:"r,omitempty"`
	Catalog *catalog.Outcome `msgpack:"c,omitempty"`
	Budget  *BudgetStatus    `msgpack:"b,omitempty"`
	// Responses are the responses to the command's Reports, in the same order.
	Responses [][]accounts.Response `msgpack:"a,omitempty"`
	// Contact is the command's contact with the index of the log entry.
	Contact accounts.Contact `msgpack:"k"`
	Order   *OrderRecord     `msgpack:"o,omitempty"`
	// Document is the result of a DocumentCommand.
	Document *DocumentOutcome `msgpack:"d,omitempty"`
	// Zone is the result of a ZoneCommand, Rollout that of a RolloutCommand.
	Zone    *ZoneOutcome    `msgpack:"z,omitempty"`
	Rollout *RolloutOutcome `msgpack:"l,omitempty"`
}

// Machine is the state machine. It is not safe for concurrent use.
type Machine struct {
	catalog    *catalog.Catalog
	accounts   *accounts.Accounts
	operations map[string]Result
	// operationOrder holds the operation ids, oldest first.
	operationOrder []string
	nodes          map[string]NodeRecord
	orders         map[uint64]*OrderRecord
	document       ActiveDocument
	evacuated      evacuation.Zones
	lastZoneOrders evacuation.LastOrders
	rollouts       rollout.Set
	logVersion     LogVersion
}

// New returns a state machine with an empty state.
func New() *Machine {
	return &Machine{
		catalog: catalog.New(), accounts: accounts.New(), operations: map[string]Result{},
		nodes: map[string]NodeRecord{}, orders: map[uint64]*OrderRecord{},
	}
}

// Catalog returns the catalog, for reading only.
func (m *Machine) Catalog() *catalog.Catalog { return m.catalog }

// Accounts returns the accounts, for reading only.
func (m *Machine) Accounts() *accounts.Accounts { return m.accounts }

// Node returns the newest known incarnation of a node and reports whether there is one.
func (m *Machine) Node(name string) (NodeRecord, bool) {
	record, found := m.nodes[name]
	return record, found
}

// Orders returns all stored orders, sorted by fence number.
func (m *Machine) Orders() []OrderRecord {
	orders := make([]OrderRecord, 0, len(m.orders))
	for _, order := range m.orders {
		orders = append(orders, *order)
	}
	sort.Slice(orders, func(i, j int) bool { return orders[i].FencingToken < orders[j].FencingToken })
	return orders
}

// Encode returns a command as bytes for the log. Structs are encoded as arrays and
// integers in their shortest form, since each replica receives the whole log. Entries
// of earlier versions with field names can be decoded too. Entries with arrays can be
// decoded only as long as no struct in them has gained or lost a field.
func Encode(command Command) ([]byte, error) {
	if command.isNamed() {
		return encodeNamed(command)
	}
	var buffer bytes.Buffer
	encoder := msgpack.NewEncoder(&buffer)
	encoder.UseArrayEncodedStructs(true)
	encoder.UseCompactInts(true)
	if err := encoder.Encode(&command); err != nil {
		return nil, fmt.Errorf("encoding a command: %w", err)
	}
	return buffer.Bytes(), nil
}

// decode decodes a command that Encode encoded.
func decode(data []byte) (Command, error) {
	if named, found := decodeNamed(data); found {
		return named, nil
	}
	var command Command
	err := msgpack.Unmarshal(data, &command)
	return command, err
}

// Apply implements consensus.StateMachine; it returns a Result.
func (m *Machine) Apply(index uint64, data []byte) any {
	command, err := decode(data)
	if err != nil {
		// All replicas refuse it in the same way, so their states stay equal.
		return Result{Refused: fmt.Sprintf("entry %d is not a command: %v", index, err)}
	}
	if command.OperationID == "" {
		return m.execute(index, command)
	}
	if known, found := m.operations[command.OperationID]; found {
		return known
	}
	result := m.execute(index, command)
	m.storeOperation(command.OperationID, result)
	return result
}

func (m *Machine) execute(index uint64, command Command) Result {
	switch {
	case command.Catalog != nil:
		return m.applyCatalog(command.OperationID, command.Catalog)
	case command.Budget != nil:
		return m.applyBudget(command.Budget)
	case command.Reports != nil:
		return m.applyReports(index, command)
	case command.Fence != nil:
		m.accounts.Fence(command.Fence.Holder)
		return Result{}
	case command.Close != nil:
		return refusal(m.accounts.Close(command.Close.Holder, command.Close.Uses, command.Close.Loans, command.Close.Forfeit))
	case command.Node != nil:
		m.applyNode(*command.Node)
		return Result{}
	case command.Order != nil:
		return m.applyOrder(index, *command.Order)
	case command.OrderResult != nil:
		return m.applyOrderResult(*command.OrderResult)
	case command.Document != nil:
		return m.applyDocument(command.Document)
	case command.CloseIncarnations != nil:
		return m.applyCloseIncarnations(command.CloseIncarnations)
	case command.Zone != nil:
		return m.applyZone(index, command.Zone)
	case command.Rollout != nil:
		return m.applyRollout(index, command.Rollout)
	case command.Version != nil:
		return m.applyVersion(command.Version)
	}
	return Result{Refused: "the command is of a kind that this version does not know"}
}

func refusal(err error) Result {
	if err != nil {
		return Result{Refused: err.Error()}
	}
	return Result{}
}

func (m *Machine) storeOperation(id string, result Result) {
	m.operations[id] = result
	m.operationOrder = append(m.operationOrder, id)
	if len(m.operationOrder) > maximumOperations {
		delete(m.operations, m.operationOrder[0])
		m.operationOrder = m.operationOrder[1:]
	}
}

func (m *Machine) applyCatalog(operationID string, command *CatalogCommand) Result {
	document := &ravenwayv1.CatalogDocument{}
	if err := proto.Unmarshal(command.Put, document); err != nil {
		return Result{Refused: fmt.Sprintf("the catalog document can't be read: %v", err)}
	}
	outcome := m.catalog.Apply(catalog.Proposal{
		OperationID: operationID, BaseRevision: command.BaseRevision, AnyRevision: command.AnyRevision,
		Put: document, Delete: command.Delete,
	})
	for _, budget := range document.GetBudgets() {
		if m.catalog.Budget(budget.GetName()) != nil {
			m.accounts.Ensure(budget.GetName())
		}
	}
	return Result{Catalog: &outcome}
}

func (m *Machine) applyBudget(command *BudgetCommand) Result {
	var err error
	if command.TopUp > 0 {
		err = m.accounts.TopUp(command.Budget, command.TopUp)
	} else {
		err = m.accounts.Lower(command.Budget, command.Lower)
	}
	result := refusal(err)
	result.Budget = m.BudgetStatus(command.Budget)
	return result
}

// BudgetStatus returns the summary of a budget's account, or nil if there is none.
func (m *Machine) BudgetStatus(name string) *BudgetStatus {
	budget := m.accounts.Budget(name)
	if budget == nil {
		return nil
	}
	return &BudgetStatus{Budget: name, Limit: budget.Limit, Settled: budget.Settled(), Outstanding: budget.Outstanding()}
}

func (m *Machine) applyReports(index uint64, command Command) Result {
	result := Result{Responses: make([][]accounts.Response, 0, len(command.Reports)), Contact: command.Contact}
	result.Contact.Index = index
	for _, holder := range command.Reports {
		if holder.Allowances {
			m.accounts.RecordContact(holder.Holder, holder.LastContact, result.Contact)
		}
		responses := make([]accounts.Response, 0, len(holder.Reports))
		for _, report := range holder.Reports {
			share := m.catalog.Budget(report.Budget).GetGrantSharePercent()
			responses = append(responses, m.accounts.ApplyReport(holder.Holder, report, share))
		}
		result.Responses = append(result.Responses, responses)
	}
	return result
}

func (m *Machine) applyNode(record NodeRecord) {
	if known, found := m.nodes[record.Name]; found && known.Incarnation >= record.Incarnation {
		return
	}
	m.nodes[record.Name] = record
}

func (m *Machine) applyOrder(index uint64, command BackendOrderCommand) Result {
	if m.catalog.Backend(command.Backend) == nil {
		return Result{Refused: fmt.Sprintf("back end %q does not exist", command.Backend)}
	}
	for _, earlier := range m.orders {
		if earlier.State == OrderPending && earlier.Order.Backend == command.Backend && earlier.Order.Kind == command.Kind {
			earlier.State = OrderSuperseded
			earlier.Detail = fmt.Sprintf("order %d came after it", index)
		}
	}
	record := &OrderRecord{FencingToken: index, Order: command, State: OrderPending}
	m.orders[index] = record
	m.removeOldestFinishedOrder()
	copied := *record
	return Result{Order: &copied}
}

func (m *Machine) applyOrderResult(result OrderResult) Result {
	record := m.orders[result.FencingToken]
	if record == nil {
		return Result{Refused: fmt.Sprintf("order %d is not known", result.FencingToken)}
	}
	if record.State == OrderPending {
		record.State, record.Detail = result.State, result.Detail
	}
	copied := *record
	return Result{Order: &copied}
}

func (m *Machine) removeOldestFinishedOrder() {
	if len(m.orders) <= maximumOrders {
		return
	}
	for _, order := range m.Orders() {
		if order.State != OrderPending {
			delete(m.orders, order.FencingToken)
			return
		}
	}
}
