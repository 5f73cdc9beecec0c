package node

import (
	"bytes"
	"net/http"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
)

// Guards against a panic of a handler that is logged without the request's id.
func TestPanicOfAHandlerIsLoggedWithItsRequest(t *testing.T) {
	var logged bytes.Buffer
	node := &Node{log: zerolog.New(&logged)}
	handle := func(cause any) (passed any) {
		defer func() { passed = recover() }()
		defer node.logPanic(&callerRequest{id: "r1"})
		panic(cause)
	}
	assert.Equal(t, handle(http.ErrAbortHandler), http.ErrAbortHandler)
	assert.Equal(t, logged.Len(), 0)
	assert.Equal(t, handle("a fault"), http.ErrAbortHandler)
	assert.Assert(t, strings.Contains(logged.String(), `"request":"r1"`) && strings.Contains(logged.String(), "a fault"), logged.String())
}
