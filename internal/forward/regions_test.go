package forward

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ravenway/ravenway/internal/coordination/registry"
)

// A request that is restricted to regions is refused immediately if no engine is in them. It is
// sent nowhere else, even if the engines in its regions fail.
func TestRequestStaysInItsRegions(t *testing.T) {
	broken := newEngine(t, func(connection net.Conn, _ *bufio.Reader, _ received) { _ = connection.Close() })
	elsewhere := newEngine(t, func(connection net.Conn, _ *bufio.Reader, request received) {
		_, _ = io.WriteString(connection, responseOf(request.Header.Get("Id"), "ok"))
	})
	h := newHarness(t, broken, elsewhere)
	table := h.pipeline.options.Table
	instances := []registry.Instance{
		{ID: "i-0", Service: "s", Address: broken.listener.Addr().String(), Zone: "a", State: registry.Ready, Slots: 4},
		{ID: "i-1", Service: "s", Address: elsewhere.listener.Addr().String(), Zone: "b", State: registry.Ready, Slots: 4},
	}
	table.Apply(instances)
	table.SetRegions(map[string]string{"a": "north", "b": "south"})
	for position := range h.environment.index.Document.Routes {
		h.environment.index.Document.Routes[position].Regions = []string{"north", "west"}
	}
	tenant := h.environment.index.Tenant("t")
	assert.Equal(t, h.send(t, http.MethodPost, "/safe/x", "r1", "b").status, http.StatusBadGateway)
	assert.Equal(t, elsewhere.ids(), "")
	for _, regions := range [][]string{{"south"}, {"west"}} {
		tenant.Regions = regions
		got := h.send(t, http.MethodPost, "/safe/x", "r2", "b")
		assert.Equal(t, got.status, http.StatusServiceUnavailable)
		assert.Assert(t, strings.Contains(got.body, string(ReasonNoRegion)) && strings.Contains(got.body, `"not_run":true`), got.body)
	}
	assert.Equal(t, elsewhere.ids(), "")
	assert.Equal(t, broken.ids(), "r1")
	for position := range h.environment.index.Document.Routes {
		h.environment.index.Document.Routes[position].Regions = nil
	}
	tenant.Regions = []string{"south"}
	assert.Equal(t, h.send(t, http.MethodPost, "/safe/x", "r3", "b").status, http.StatusOK)
}
