package framing

import (
	"net/http"
	"sync/atomic"
)

// CloseWhile asks callers to close their connection after each answer while draining is set. Closing idle connections at
// once would cut requests that are on their way.
func CloseWhile(draining *atomic.Bool, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if draining.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}
