package internal_test

import (
	"go/ast"
	"go/token"
	"testing"
)

// clockReaders are the functions of package time that read a clock or wait for time to pass.
var clockReaders = map[string]bool{
	"Now": true, "Since": true, "Until": true, "Sleep": true, "After": true, "AfterFunc": true, "Tick": true, "NewTimer": true, "NewTicker": true,
}

// Coordination and state get the time from their callers. Errors about time after a machine was
// suspended can therefore come only from the layers that call them.
func TestCoordinationAndStateReadNoClock(t *testing.T) {
	visitSources(t, []string{"coordination", "state"}, 0, func(files *token.FileSet, _ string, parsed *ast.File) {
		ast.Inspect(parsed, func(node ast.Node) bool {
			if selector, isSelector := node.(*ast.SelectorExpr); isSelector && readsClock(selector) {
				t.Errorf("%s reads a clock: time.%s", files.Position(selector.Pos()), selector.Sel.Name)
			}
			return true
		})
	})
}

func readsClock(selector *ast.SelectorExpr) bool {
	packageName, isIdentifier := selector.X.(*ast.Ident)
	return isIdentifier && packageName.Name == "time" && clockReaders[selector.Sel.Name]
}
