package gateway

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"
)

func TestDebugListenerServesProfiles(t *testing.T) {
	server := httptest.NewServer(debugHandler())
	defer server.Close()
	for path, status := range map[string]int{
		"/debug/pprof/goroutine?debug=1": http.StatusOK, "/debug/pprof/heap": http.StatusOK,
		"/debug/pprof/profile?seconds=1": http.StatusOK, "/": http.StatusNotFound,
	} {
		response, err := http.Get(server.URL + path)
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
		assert.Equal(t, response.StatusCode, status, path)
	}
}
