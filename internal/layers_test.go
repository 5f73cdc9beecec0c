// Package internal_test checks the import directions between the layers.
package internal_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const module = "github.com/ravenway/ravenway/"

// allowedImports lists, for each layer, the path prefixes within the module that it can import.
var allowedImports = map[string][]string{
	"state":        {"api/", "internal/state"},
	"protocol":     {"api/", "internal/protocol", "internal/state"},
	"bounded":      {},
	"pairhash":     {},
	"pause":        {},
	"ring":         {},
	"httpcheck":    {},
	"duty":         {"internal/pause", "internal/ring"},
	"transport":    {"internal/pause", "internal/protocol", "internal/ring"},
	"coordination": {"api/", "internal/bounded", "internal/coordination", "internal/pairhash", "internal/protocol", "internal/state"},
	"settings":     {},
	"node":         {"api/", "internal/coordination", "internal/duty", "internal/httpcheck", "internal/pause", "internal/protocol", "internal/ring", "internal/settings", "internal/state", "internal/transport"},
	"forward":      {"internal/bounded", "internal/coordination", "internal/httpcheck", "internal/state", "internal/transport"},
	"gateway":      {"api/", "internal/coordination", "internal/duty", "internal/forward", "internal/pause", "internal/protocol", "internal/settings", "internal/state", "internal/transport"},
	"daemon":       {"internal/gateway", "internal/node", "internal/protocol", "internal/ring", "internal/settings", "internal/state"},
	"logs":         {},
	"operatorcli":  {"api/", "internal/httpcheck", "internal/logs"},
	"lab":          {"api/", "internal/"},
}

// forbiddenImports lists, for each layer, standard library packages that it can't import: they
// access the operating system or the network, or start processes.
var forbiddenImports = map[string][]string{
	"state":        {"net", "net/http", "os/exec"},
	"coordination": {"net", "net/http", "os", "os/exec"},
	"node":         {"os/exec", "net/http/httputil"},
	"forward":      {"os/exec", "net/http/httputil"},
	"gateway":      {"os/exec", "net/http/httputil"},
	"daemon":       {"os/exec", "net/http/httputil"},
	"transport":    {"os/exec", "net/http", "net/http/httputil"},
}

func TestLayersImportOnlyDownwards(t *testing.T) {
	visitSources(t, []string{"."}, parser.ImportsOnly, func(_ *token.FileSet, path string, parsed *ast.File) {
		layer, _, _ := strings.Cut(filepath.ToSlash(path), "/")
		permitted, known := allowedImports[layer]
		assert.Assert(t, known, "%s belongs to no known layer", path)
		for _, imported := range parsed.Imports {
			checkImport(t, path, layer, strings.Trim(imported.Path.Value, `"`), permitted)
		}
	})
}

// visitSources parses the Go files below the root folders, except tests. It fails if there are 50 or
// fewer, which indicates that files were missed.
func visitSources(t *testing.T, roots []string, mode parser.Mode, visit func(files *token.FileSet, path string, parsed *ast.File)) {
	t.Helper()
	files := token.NewFileSet()
	parsedFiles := 0
	for _, root := range roots {
		err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			parsed, err := parser.ParseFile(files, path, nil, mode)
			assert.NilError(t, err)
			visit(files, path, parsed)
			parsedFiles++
			return nil
		})
		assert.NilError(t, err)
	}
	assert.Assert(t, parsedFiles > 50, "only %d files were parsed", parsedFiles)
}

func checkImport(t *testing.T, path, layer, imported string, permitted []string) {
	t.Helper()
	for _, forbiddenPath := range forbiddenImports[layer] {
		assert.Assert(t, imported != forbiddenPath, "%s imports %s", path, imported)
	}
	modulePath, isInModule := strings.CutPrefix(imported, module)
	if !isInModule {
		return
	}
	for _, prefix := range permitted {
		if strings.HasPrefix(modulePath, prefix) {
			return
		}
	}
	t.Errorf("%s imports %s, which layer %q can't import", path, modulePath, layer)
}
