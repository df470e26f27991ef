package entry

import (
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"github.com/acacialock/acacialock/internal/balance"
	"github.com/acacialock/acacialock/internal/failure"
	"github.com/acacialock/acacialock/internal/telemetry"
)

// logAnswer writes that a request got a target's answer: for a sample of the requests, and for those with a line about a
// failed attempt, whose end is else not told.
func (h *Handler) logAnswer(c *call, final result) {
	id := c.request.Header.Get(h.config.RequestID)
	if !telemetry.Sampled(id) && !c.repeated {
		return
	}
	klog.InfoS("request answered", "request", id, "service", c.service.Name, "list", c.snapshot.List.Version,
		"member", final.member, "sends", c.sends, "moves", len(c.slow), "overflows", c.overflows,
		"status", final.response.StatusCode,
		"first_byte_after", final.latency.Round(time.Millisecond), "left", c.left().Round(time.Millisecond))
}

// logRefusal writes why a request was refused before a service was chosen.
func (h *Handler) logRefusal(request *http.Request, failed *failure.Error) {
	klog.InfoS("request refused", "request", request.Header.Get(h.config.RequestID), "reason", failed.Reason,
		"outcome", failed.Outcome, "detail", failed.Detail)
}

// logAttempt writes how a send failed. A move to another target is plain: a third of all sends may be one.
func (h *Handler) logAttempt(c *call, pick balance.Pick, failed *failure.Error) {
	id := c.request.Header.Get(h.config.RequestID)
	if failed.Reason.Move() && !telemetry.Sampled(id) {
		return
	}
	klog.InfoS("attempt failed", "request", id, "member", pick.Member.ID,
		"send", c.sends, "reason", failed.Reason, "outcome", failed.Outcome, "detail", failed.Detail,
		"left", c.left().Round(time.Millisecond))
}

// logFailure writes the failure that the caller gets.
func (h *Handler) logFailure(c *call, failed *failure.Error) {
	klog.InfoS("request failed", "request", c.request.Header.Get(h.config.RequestID), "service", c.service.Name,
		"list", c.snapshot.List.Version, "members", len(c.snapshot.Members[c.service.Name]), "sends", c.sends,
		"moves", len(c.slow), "overflows", c.overflows, "reached", c.reached, "not_repeated", c.denied,
		"reason", failed.Reason, "outcome", failed.Outcome, "detail", failed.Detail,
		"left", c.left().Round(time.Millisecond))
}

// logHedge writes that a slow call is sent to a second member too.
func (h *Handler) logHedge(c *call) {
	klog.InfoS("hedge sent", "request", c.request.Header.Get(h.config.RequestID), "service", c.service.Name,
		"list", c.snapshot.List.Version, "members", c.tried, "left", c.left().Round(time.Millisecond))
}
