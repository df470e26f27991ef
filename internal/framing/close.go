package framing

import (
	"net/http"
	"sync/atomic"
)

// CloseConnectionsWhile sets "Connection: close" on responses while draining is set, so that callers close their
// connections. Closing idle connections immediately would break requests that are already on their way.
func CloseConnectionsWhile(draining *atomic.Bool, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if draining.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}
