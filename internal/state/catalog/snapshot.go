package catalog

import (
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
	"google.golang.org/protobuf/proto"

	ravenwayv1 "github.com/ravenway/ravenway/api/ravenway/v1"
)

// storedEntry is the snapshot form of one object.
type storedEntry struct {
	Change      Change `msgpack:"c"`
	OperationID string `msgpack:"o"`
}

// storedCatalog is the snapshot form of the catalog. It leaves out the recent changes:
// after a restore, each follower that is behind receives the whole catalog once.
type storedCatalog struct {
	Revision uint64        `msgpack:"r"`
	Entries  []storedEntry `msgpack:"e"`
}

// Encode returns the encoded catalog. The bytes depend on the catalog's content only.
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

// Decode restores a catalog from the bytes that Encode returned.
func Decode(data []byte) (*Catalog, error) {
	var stored storedCatalog
	if err := msgpack.Unmarshal(data, &stored); err != nil {
		return nil, fmt.Errorf("decoding the catalog: %w", err)
	}
	catalog := New()
	catalog.revision = stored.Revision
	catalog.recentBase = stored.Revision
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
