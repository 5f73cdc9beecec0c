// Package operator holds the code that all listeners for operators share.
package operator

import (
	"crypto/subtle"
	"net/http"
	"strings"
)

// bearerPrefix precedes the token in the Authorization header.
const bearerPrefix = "Bearer "

// RequireToken returns a handler that passes only requests with the bearer token to next
// and answers others with status 401. With an empty token it passes all requests.
func RequireToken(token []byte, next http.Handler) http.Handler {
	if len(token) == 0 {
		return next
	}
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		given := strings.TrimPrefix(request.Header.Get("Authorization"), bearerPrefix)
		if subtle.ConstantTimeCompare([]byte(given), token) != 1 {
			http.Error(writer, "an operator token is needed", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(writer, request)
	})
}
