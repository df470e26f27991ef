package inbound

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/acacialock/acacialock/internal/failure"
)

// applyWarmUp applies what a response states about the warm-up of the target. A response of the health path that states none
// shows that the target is warm if nothing is known about that.
func (h *Handler) applyWarmUp(report *TargetReport, source string) {
	switch {
	case report.WarmUpErr != nil:
	case report.WarmUpStated:
		h.logWarmUp(h.limiter.ReportWarmUp(report.WarmUp), source)
	case source == fromHealth:
		h.logWarmUp(h.limiter.ReportNoWarmUp(), source)
	}
}

// ApplyAnnouncement applies the remaining warm-up of a later check-in of the target.
func (h *Handler) ApplyAnnouncement(remainingWarmUp time.Duration) {
	h.logWarmUp(h.limiter.AnnounceWarmUp(remainingWarmUp), fromCheckIn)
}

// assumeRestarted makes the target count as cold after it refused or closed a connection, until it states whether it is.
func (h *Handler) assumeRestarted(source string) { h.logWarmUp(h.limiter.AssumeCold(), source) }

// logWarmUp logs and counts a change between cold and warm.
func (h *Handler) logWarmUp(changed bool, source string) {
	if !changed {
		return
	}
	if !h.limiter.IsCold() {
		klog.InfoS("target is warm", "member", h.config.Self.ID, "source", source)
		return
	}
	klog.InfoS("target is cold", "member", h.config.Self.ID, "source", source, "for", h.limiter.ColdFor())
	h.config.Metrics.Counter("target.cold").Inc(1)
}

// ColdFor returns the time for which the target still warms up, as far as it is known.
func (h *Handler) ColdFor() time.Duration { return h.limiter.ColdFor() }

// EndBoot refuses the requests that wait for the target, because it was started again. A new start may have the same id, so
// that the id in the requests does not keep them from it, and it is cold.
func (h *Handler) EndBoot() {
	h.limiter.BeginDrain()
	h.limiter.RefuseQueued(func() *failure.Error { return notRun(failure.Draining, "the target was started again") })
}
