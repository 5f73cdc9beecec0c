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

// clockReaders are the functions of package time that read a clock or wait for one.
var clockReaders = map[string]bool{
	"Now": true, "Since": true, "Until": true, "Sleep": true, "After": true, "AfterFunc": true, "Tick": true, "NewTimer": true, "NewTicker": true,
}

// Coordination and state are told the time: whoever looks for what a machine that stood still
// believes about time has to read the layers that drive them only.
func TestCoordinationAndStateReadNoClock(t *testing.T) {
	files := token.NewFileSet()
	seen := 0
	for _, layer := range []string{"coordination", "state"} {
		err := filepath.WalkDir(layer, func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			parsed, err := parser.ParseFile(files, path, nil, 0)
			assert.NilError(t, err)
			ast.Inspect(parsed, func(node ast.Node) bool {
				if selector, isSelector := node.(*ast.SelectorExpr); isSelector && readsClock(selector) {
					t.Errorf("%s reads a clock: time.%s", files.Position(selector.Pos()), selector.Sel.Name)
				}
				return true
			})
			seen++
			return nil
		})
		assert.NilError(t, err)
	}
	assert.Assert(t, seen > 50, "only %d files were read", seen)
}

func readsClock(selector *ast.SelectorExpr) bool {
	from, isName := selector.X.(*ast.Ident)
	return isName && from.Name == "time" && clockReaders[selector.Sel.Name]
}
