package operatorcli

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"github.com/pelletier/go-toml/v2"
	"google.golang.org/protobuf/encoding/protojson"

	ravenwayv1 "github.com/ravenway/ravenway/api/ravenway/v1"
)

// ReadDocument reads a catalog file, whose keys are the field names of the schema. A file with the
// extension .json is JSON, any other file TOML.
func ReadDocument(path string) (*ravenwayv1.CatalogDocument, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("reading the catalog: %w", err)
	}
	if filepath.Ext(path) != ".json" {
		var raw map[string]any
		if err := toml.Unmarshal(content, &raw); err != nil {
			return nil, fmt.Errorf("reading the catalog %s: %w", path, err)
		}
		if content, err = json.Marshal(raw); err != nil {
			return nil, fmt.Errorf("reading the catalog %s: %w", path, err)
		}
	}
	document := &ravenwayv1.CatalogDocument{}
	if err := protojson.Unmarshal(content, document); err != nil {
		return nil, fmt.Errorf("reading the catalog %s: %w", path, err)
	}
	return document, nil
}
