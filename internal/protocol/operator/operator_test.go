package operator

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"
)

func TestOnlyTheTokenOpens(t *testing.T) {
	open := http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(http.StatusOK) })
	for _, one := range []struct {
		token, header string
		status        int
	}{
		{"secret", "Bearer secret", http.StatusOK}, {"secret", "Bearer secret2", http.StatusUnauthorized},
		{"secret", "", http.StatusUnauthorized}, {"secret", "Bearer ", http.StatusUnauthorized}, {"", "", http.StatusOK},
	} {
		recorder := httptest.NewRecorder()
		request := httptest.NewRequest(http.MethodPost, "/", nil)
		if one.header != "" {
			request.Header.Set("Authorization", one.header)
		}
		RequireToken([]byte(one.token), open).ServeHTTP(recorder, request)
		assert.Equal(t, recorder.Code, one.status, "%+v", one)
	}
}
