package operatorcli

import (
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ravenway/ravenway/internal/state/catalog"
)

func TestExampleCatalogsAreValid(t *testing.T) {
	for _, name := range []string{"zameen-haq", "drukwacht"} {
		document, err := ReadDocument(filepath.Join("..", "..", "examples", name, "catalog.toml"))
		assert.NilError(t, err)
		outcome := catalog.New().Apply(catalog.Proposal{Put: document})
		assert.Equal(t, len(outcome.Findings), 0, "%v", outcome.Findings)
		assert.Equal(t, len(document.GetBackends()), 15)
	}
}

func TestUnknownFieldOfACatalogIsRefusedWithItsName(t *testing.T) {
	path := filepath.Join(t.TempDir(), "catalog.toml")
	assert.NilError(t, os.WriteFile(path, []byte("[[tenants]]\nname = \"a\"\nwieght = 3\n"), 0o600))
	_, err := ReadDocument(path)
	assert.ErrorContains(t, err, "wieght")
}
