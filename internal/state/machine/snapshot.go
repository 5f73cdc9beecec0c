package machine

import (
	"fmt"
	"sort"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/ravenway/ravenway/internal/state/accounts"
	"github.com/ravenway/ravenway/internal/state/catalog"
	"github.com/ravenway/ravenway/internal/state/evacuation"
	"github.com/ravenway/ravenway/internal/state/rollout"
)

// storedOperation is the snapshot form of one operation's result.
type storedOperation struct {
	ID     string `msgpack:"i"`
	Result Result `msgpack:"r"`
}

// storedMachine is the snapshot form of the whole state.
type storedMachine struct {
	Catalog    []byte            `msgpack:"c"`
	Accounts   []byte            `msgpack:"a"`
	Operations []storedOperation `msgpack:"o"`
	Nodes      []NodeRecord      `msgpack:"n"`
	Orders     []OrderRecord     `msgpack:"d"`
	Document   ActiveDocument    `msgpack:"m"`
	Evacuated  evacuation.Zones  `msgpack:"z"`
	Rollouts   rollout.Set       `msgpack:"l"`
	LogVersion LogVersion        `msgpack:"v,omitempty"`
	// LastZoneOrders are empty in logs before VersionConditions.
	LastZoneOrders evacuation.LastOrders `msgpack:"zl,omitempty"`
}

// Snapshot implements consensus.StateMachine. The bytes depend on the state only,
// so that the states of replicas can be compared by them.
func (m *Machine) Snapshot() ([]byte, error) {
	var stored storedMachine
	var err error
	if stored.Catalog, err = m.catalog.Encode(); err != nil {
		return nil, err
	}
	if stored.Accounts, err = m.accounts.Encode(); err != nil {
		return nil, err
	}
	for _, id := range m.operationOrder {
		stored.Operations = append(stored.Operations, storedOperation{ID: id, Result: m.operations[id]})
	}
	for _, record := range m.nodes {
		stored.Nodes = append(stored.Nodes, record)
	}
	sort.Slice(stored.Nodes, func(i, j int) bool { return stored.Nodes[i].Name < stored.Nodes[j].Name })
	stored.Orders = m.Orders()
	stored.Document, stored.Evacuated, stored.Rollouts = m.document, m.evacuated, m.rollouts
	stored.LogVersion, stored.LastZoneOrders = m.logVersion, m.lastZoneOrders
	data, err := msgpack.Marshal(&stored)
	if err != nil {
		return nil, fmt.Errorf("encoding the state: %w", err)
	}
	return data, nil
}

// Restore implements consensus.StateMachine.
func (m *Machine) Restore(data []byte) error {
	var stored storedMachine
	if err := msgpack.Unmarshal(data, &stored); err != nil {
		return fmt.Errorf("decoding the state: %w", err)
	}
	restored := New()
	var err error
	if restored.catalog, err = catalog.Decode(stored.Catalog); err != nil {
		return err
	}
	if restored.accounts, err = accounts.Decode(stored.Accounts); err != nil {
		return err
	}
	for _, operation := range stored.Operations {
		restored.storeOperation(operation.ID, operation.Result)
	}
	for _, record := range stored.Nodes {
		restored.nodes[record.Name] = record
	}
	for _, order := range stored.Orders {
		restored.orders[order.FencingToken] = &order
	}
	restored.document, restored.evacuated, restored.rollouts = stored.Document, stored.Evacuated, stored.Rollouts
	restored.logVersion, restored.lastZoneOrders = stored.LogVersion, stored.LastZoneOrders
	*m = *restored
	return nil
}
