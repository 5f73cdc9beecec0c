package operator

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"
)

func TestOnlyRequestsWithTheTokenAreServed(t *testing.T) {
	next := http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(http.StatusOK) })
	for _, test := range []struct {
		token, header string
		status        int
	}{
		{"secret", "Bearer secret", http.StatusOK}, {"secret", "Bearer secret2", http.StatusUnauthorized},
		{"secret", "", http.StatusUnauthorized}, {"secret", "Bearer ", http.StatusUnauthorized}, {"", "", http.StatusOK},
	} {
		recorder := httptest.NewRecorder()
		request := httptest.NewRequest(http.MethodPost, "/", nil)
		if test.header != "" {
			request.Header.Set("Authorization", test.header)
		}
		RequireToken([]byte(test.token), next).ServeHTTP(recorder, request)
		assert.Equal(t, recorder.Code, test.status, "%+v", test)
	}
}
