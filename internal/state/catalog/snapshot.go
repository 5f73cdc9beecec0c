package catalog

import (
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
	"google.golang.org/protobuf/proto"

	ravenwayv1 "github.com/ravenway/ravenway/api/ravenway/v1"
)

// storedEntry is one object as a snapshot holds it.
type storedEntry struct {
	Change      Change `msgpack:"c"`
	OperationID string `msgpack:"o"`
}

// storedCatalog is the whole of a snapshot. Recent changes are not part of it:
// after a restore, a follower gets everything once.
type storedCatalog struct {
	Revision uint64        `msgpack:"r"`
	Entries  []storedEntry `msgpack:"e"`
}

// Encode returns the catalog in an order that depends on its content only.
func (c *Catalog) Encode() ([]byte, error) {
	stored := storedCatalog{Revision: c.revision}
	for _, key := range c.sortedKeys() {
		known := c.entries[key]
		stored.Entries = append(stored.Entries, storedEntry{Change: known.change, OperationID: known.operationID})
	}
	data, err := msgpack.Marshal(&stored)
	if err != nil {
		return nil, fmt.Errorf("encoding the catalog: %w", err)
	}
	return data, nil
}

// Decode reads what Encode wrote.
func Decode(data []byte) (*Catalog, error) {
	var stored storedCatalog
	if err := msgpack.Unmarshal(data, &stored); err != nil {
		return nil, fmt.Errorf("decoding the catalog: %w", err)
	}
	catalog := New()
	catalog.revision = stored.Revision
	catalog.recentFrom = stored.Revision
	for _, known := range stored.Entries {
		restored := &entry{change: known.Change, operationID: known.OperationID}
		if len(known.Change.Data) > 0 {
			restored.object = &ravenwayv1.CatalogObject{}
			if err := proto.Unmarshal(known.Change.Data, restored.object); err != nil {
				return nil, fmt.Errorf("decoding %s: %w", known.Change.Key, err)
			}
		}
		catalog.entries[known.Change.Key] = restored
	}
	return catalog, nil
}
