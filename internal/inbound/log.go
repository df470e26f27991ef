package inbound

import (
	"net/http"

	"k8s.io/klog/v2"

	"github.com/acacialock/acacialock/internal/failure"
	"github.com/acacialock/acacialock/internal/telemetry"
)

// logRefusal writes why a request was not served and the load at that time. That one moves on from a slow target is plain.
func (h *Handler) logRefusal(r *http.Request, failed *failure.Error) {
	id := r.Header.Get(h.config.RequestID)
	if failed.Reason.Move() && !telemetry.Sampled(id) {
		return
	}
	load := h.gate.Sample()
	klog.InfoS("target side refused", "request", id, "reason", failed.Reason,
		"outcome", failed.Outcome, "detail", failed.Detail, "in_flight", load.InFlight, "queued", load.Queued)
}

// logPaceUnread writes why a question about the target's pace failed. The gate asks no more for a second then.
func logPaceUnread(member string, err error) {
	klog.InfoS("pace of the target not known", "member", member, "err", err.Error())
}
