// Package operator holds what all listeners for operators have in common.
package operator

import (
	"crypto/subtle"
	"net/http"
	"strings"
)

// bearerPrefix stands before a token in the Authorization header.
const bearerPrefix = "Bearer "

// RequireToken serves only requests that carry the token. An empty token lets
// all requests pass.
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
