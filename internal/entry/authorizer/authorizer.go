// Package authorizer checks the token that a request must show.
package authorizer

import (
	"crypto/subtle"
	"net/http"
	"strings"

	"knapweedspur/internal/fault/verdict"
)

// Authorizer lets requests with the token through.
type Authorizer struct {
	// Token is what must be shown, empty to let all through.
	Token string
}

// Wrap refuses requests without the token as not run.
func (a *Authorizer) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		shown := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
		if a.Token != "" && subtle.ConstantTimeCompare([]byte(shown), []byte(a.Token)) != 1 {
			w.Header().Set(verdict.Header, verdict.Unrun.String())
			http.Error(w, "the token is missing or wrong; set --token or KNAPWEEDSPUR_TOKEN", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}
