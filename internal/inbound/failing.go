package inbound

import (
	"net/http"

	"k8s.io/klog/v2"

	"github.com/acacialock/acacialock/internal/failure"
)

// noteStatus takes over whether the target answered with a failure of its own. 504 tells of a deadline, which says as much
// about the load as about the target.
func (h *Handler) noteStatus(status int) {
	if status != http.StatusGatewayTimeout {
		h.noteEnd(status >= http.StatusInternalServerError)
	}
}

// noteFailure takes over that a request got no usable answer. Ends by the caller, by the deadline or by a target that is full
// say nothing about whether the target fails.
func (h *Handler) noteFailure(failed *failure.Error) {
	switch failed.Reason {
	case failure.TargetBroke, failure.TargetUnreachable:
		h.noteEnd(true)
	}
}

func (h *Handler) noteEnd(failed bool) {
	changed, fails := h.gate.Ended(failed)
	if !changed {
		return
	}
	event := "target no longer fails"
	if fails {
		event = "target fails most requests"
		h.config.Metrics.Counter("target.failing").Inc(1)
	}
	sample := h.gate.Sample()
	klog.InfoS(event, "member", h.config.Self.ID, "in_flight", sample.InFlight, "queued", sample.Queued)
}
