package daemon

import (
	"encoding/json"
	"net/http"

	"github.com/acacialock/acacialock/internal/control"
)

// status is the JSON response of /status.
type status struct {
	Control    control.Status
	OwnMembers int // number of known members of the node's own service, this node included
	Draining   bool
}

// adminHandler returns the handler of /metrics, /healthz, /readyz and /status.
func (d *Daemon) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", d.metrics)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !d.ready.Load() || d.draining.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) {
		current := status{
			Control:    d.control.Status(),
			OwnMembers: len(d.view.Load().Members[d.self.Service]),
			Draining:   d.draining.Load(),
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(current) // the client may have disconnected
	})
	return mux
}
