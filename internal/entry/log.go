package entry

import (
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"github.com/acacialock/acacialock/internal/balance"
	"github.com/acacialock/acacialock/internal/failure"
)

// sampleShare is the number of plain requests of which one is logged. The choice is by the request's id, so that it is the
// same at every node.
const sampleShare = 64

// logAnswer writes that a request got a target's answer, for a sample of the requests.
func (h *Handler) logAnswer(c *call, final result) {
	id := c.request.Header.Get(h.config.RequestID)
	if id == "" || xxhash.Sum64String(id)%sampleShare != 0 {
		return
	}
	klog.InfoS("request answered", "request", id, "service", c.service.Name, "list", c.snapshot.List.Version,
		"member", final.member, "sends", c.sends, "status", final.response.StatusCode,
		"first_byte_after", final.latency.Round(time.Millisecond), "left", c.left().Round(time.Millisecond))
}

// logRefusal writes why a request was refused before a service was chosen.
func (h *Handler) logRefusal(request *http.Request, failed *failure.Error) {
	klog.InfoS("request refused", "request", request.Header.Get(h.config.RequestID), "reason", failed.Reason,
		"outcome", failed.Outcome, "detail", failed.Detail)
}

// logAttempt writes how a send failed.
func (h *Handler) logAttempt(c *call, pick balance.Pick, failed *failure.Error) {
	klog.InfoS("attempt failed", "request", c.request.Header.Get(h.config.RequestID), "member", pick.Member.ID,
		"send", c.sends, "reason", failed.Reason, "outcome", failed.Outcome, "detail", failed.Detail,
		"left", c.left().Round(time.Millisecond))
}

// logFailure writes the failure that the caller gets.
func (h *Handler) logFailure(c *call, failed *failure.Error) {
	klog.InfoS("request failed", "request", c.request.Header.Get(h.config.RequestID), "service", c.service.Name,
		"list", c.snapshot.List.Version, "members", len(c.snapshot.Members[c.service.Name]), "sends", c.sends,
		"reached", c.reached, "reason", failed.Reason, "outcome", failed.Outcome, "detail", failed.Detail,
		"left", c.left().Round(time.Millisecond))
}
