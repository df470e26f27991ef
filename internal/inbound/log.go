package inbound

import (
	"net/http"

	"k8s.io/klog/v2"

	"github.com/acacialock/acacialock/internal/failure"
	"github.com/acacialock/acacialock/internal/telemetry"
)

// logRefusal logs why a request was not served, with the current load. Moves to another target are routine
// and are logged only for sampled requests.
func (h *Handler) logRefusal(r *http.Request, failed *failure.Error) {
	id := r.Header.Get(h.config.RequestIDHeader)
	if failed.Reason.IsMove() && !telemetry.Sampled(id) {
		return
	}
	load := h.limiter.LoadSample()
	klog.InfoS("target side refused", "request", id, "reason", failed.Reason,
		"outcome", failed.Outcome, "detail", failed.Detail, "in_flight", load.InFlight, "queued", load.Queued)
}

// logPaceError logs why a query of the target's pace failed. After a failure the limiter does not query again for a
// second.
func logPaceError(member string, err error) {
	klog.InfoS("pace of the target not known", "member", member, "err", err.Error())
}
