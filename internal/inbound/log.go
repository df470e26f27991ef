package inbound

import (
	"net/http"

	"k8s.io/klog/v2"

	"github.com/acacialock/acacialock/internal/failure"
)

// logRefusal writes why a request was not served and the load at that time.
func (h *Handler) logRefusal(r *http.Request, failed *failure.Error) {
	load := h.gate.Sample()
	klog.InfoS("target side refused", "request", r.Header.Get(h.config.RequestID), "reason", failed.Reason,
		"outcome", failed.Outcome, "detail", failed.Detail, "in_flight", load.InFlight, "queued", load.Queued)
}
