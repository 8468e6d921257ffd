// Package authorizer checks the bearer token of HTTP requests.
package authorizer

import (
	"crypto/subtle"
	"net/http"
	"strings"

	"knapweedspur/internal/fault/verdict"
)

// Authorizer passes on requests that have the token and rejects all others.
type Authorizer struct {
	// Token is the required token; if it is empty, all requests pass.
	Token string
}

// Wrap returns a handler that answers requests without the token with status 401
// and the verdict unrun.
func (a *Authorizer) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
		if a.Token != "" && subtle.ConstantTimeCompare([]byte(token), []byte(a.Token)) != 1 {
			w.Header().Set(verdict.Header, verdict.Unrun.String())
			http.Error(w, "the token is missing or wrong; set --token or KNAPWEEDSPUR_TOKEN", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}
