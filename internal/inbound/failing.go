package inbound

import (
	"net/http"

	"k8s.io/klog/v2"

	"github.com/acacialock/acacialock/internal/failure"
)

// recordStatus records a response of the target as success or failure; 5xx is a failure. 504 is ignored: a missed
// deadline may be caused by the load as well as by the target.
func (h *Handler) recordStatus(status int) {
	if status != http.StatusGatewayTimeout {
		h.recordResult(status >= http.StatusInternalServerError)
	}
}

// recordFailure records a request that got no usable response. Only a broken or unreachable target counts as a failure:
// a caller that disconnects, a missed deadline or a full target does not show that the target fails.
func (h *Handler) recordFailure(failed *failure.Error) {
	switch failed.Reason {
	case failure.TargetConnectionBroke, failure.TargetUnreachable:
		h.recordResult(true)
		h.assumeRestarted("request")
	}
}

// recordResult passes one result to the limiter and logs when the target starts or stops failing most requests.
func (h *Handler) recordResult(failed bool) {
	changed, fails := h.limiter.RecordResult(failed)
	if !changed {
		return
	}
	event := "target no longer fails"
	if fails {
		event = "target fails most requests"
		h.config.Metrics.Counter("target.failing").Inc(1)
	}
	sample := h.limiter.LoadSample()
	klog.InfoS(event, "member", h.config.Self.ID, "in_flight", sample.InFlight, "queued", sample.Queued)
}
