package entry

import (
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"github.com/acacialock/acacialock/internal/balance"
	"github.com/acacialock/acacialock/internal/failure"
	"github.com/acacialock/acacialock/internal/telemetry"
)

// logAnswer logs that a target answered a request. It does so for a sample of the requests, and for those with a logged
// failed attempt, so that their log also shows how they ended.
func (h *Handler) logAnswer(c *call, final result) {
	id := c.request.Header.Get(h.config.RequestIDHeader)
	if !telemetry.Sampled(id) && !c.retried {
		return
	}
	_, kind := c.route()
	klog.InfoS("request answered", c.withTenant("request", id, "service", c.service.Name, "kind", kind, "list", c.snapshot.List.Version,
		"member", final.memberID, "sends", c.sends, "moves", len(c.movedFrom), "overflows", c.overflows,
		"status", final.response.StatusCode,
		"first_byte_after", final.latency.Round(time.Millisecond), "left", c.remaining().Round(time.Millisecond))...)
}

// withTenant appends the name of the call's tenant, if it has one, to the fields of a log line.
func (c *call) withTenant(fields ...any) []any {
	if c.tenant != nil {
		fields = append(fields, "tenant", c.tenant.Name)
	}
	return fields
}

// logAbort logs that the caller's connection is closed because the rest of an answer did not arrive by the deadline, or because
// the caller left or does not read.
func (h *Handler) logAbort(c *call, final result, copying *answerCopy, err error) {
	klog.InfoS("answer broke off", "request", c.request.Header.Get(h.config.RequestIDHeader), "service", c.service.Name,
		"member", final.memberID, "status", final.response.StatusCode, "length", final.response.ContentLength, "copied", copying.copied, "waited_for", copying.waitedFor(),
		"caller_left", c.request.Context().Err() != nil, "err", err.Error(), "left", c.remaining().Round(time.Millisecond))
}

// logRefusal logs why a request was refused before any attempt.
func (h *Handler) logRefusal(request *http.Request, failed *failure.Error) {
	klog.InfoS("request refused", "request", request.Header.Get(h.config.RequestIDHeader), "reason", failed.Reason,
		"outcome", failed.Outcome, "detail", failed.Detail)
}

// logAttempt logs how a send failed. Moves to another target are logged for a sample of the requests only, because a
// third of all sends may be moves.
func (h *Handler) logAttempt(c *call, pick balance.Pick, send int, failed *failure.Error) {
	id := c.request.Header.Get(h.config.RequestIDHeader)
	if failed.Reason.IsMove() && !telemetry.Sampled(id) {
		return
	}
	klog.InfoS("attempt failed", "request", id, "member", pick.Member.ID,
		"send", send, "reason", failed.Reason, "outcome", failed.Outcome, "detail", failed.Detail,
		"left", c.remaining().Round(time.Millisecond))
}

// logFailure logs the failure that is returned to the caller.
func (h *Handler) logFailure(c *call, failed *failure.Error) {
	_, kind := c.route()
	klog.InfoS("request failed", c.withTenant("request", c.request.Header.Get(h.config.RequestIDHeader), "service", c.service.Name, "kind", kind,
		"list", c.snapshot.List.Version, "members", len(c.snapshot.Members[c.service.Name]), "sends", c.sends,
		"moves", len(c.movedFrom), "overflows", c.overflows, "reached", c.reached, "not_repeated", c.retryDenial,
		"reason", failed.Reason, "outcome", failed.Outcome, "detail", failed.Detail,
		"left", c.remaining().Round(time.Millisecond))...)
}

// logHedge logs that a slow call was also sent to a second member.
func (h *Handler) logHedge(c *call) {
	klog.InfoS("hedge sent", "request", c.request.Header.Get(h.config.RequestIDHeader), "service", c.service.Name,
		"list", c.snapshot.List.Version, "members", c.tried, "left", c.remaining().Round(time.Millisecond))
}
