package entry

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/acacialock/acacialock/internal/cluster"
	"github.com/acacialock/acacialock/internal/failure"
	"github.com/acacialock/acacialock/internal/servicelist"
	"github.com/acacialock/acacialock/internal/wire"
)

// maxKeyBytes bounds an Idempotency-Key.
const maxKeyBytes = 255

// maxMoves bounds the targets that a call leaves because they are slow at the moment. With a third of the targets slow, one
// call of 30 meets another slow one after that many, and waits there.
const maxMoves = 3

// maxSends bounds the sends of one call over all layers.
const maxSends = 6

// call is one caller's request on its way through the entry node.
type call struct {
	request    *http.Request
	snapshot   *cluster.Snapshot
	rule       *servicelist.Rule // nil when the host names the service
	service    *servicelist.Service
	body       *requestBody
	idempotent bool
	key        string
	deadline   time.Time
	aim        time.Time // until then an answer has its full worth; zero: unknown
	depth      int
	sends      int      // sends so far, over all layers
	reached    int      // sends that a target may have seen
	tried      []string // ids of members that were sent an attempt
	slow       []string // ids of those that refused because their target is slow or fails; len is the number of moves
	stay       bool     // the next target keeps the call also when it is slow or fails
	overflows  int      // members of other regions that were offered the call because its own refused it
	home       *result  // the refusal of the own region before that; nil: none
	repeated   bool     // a failed attempt was followed by another
	denied     denial   // why the last failed attempt was not
}

// newCall checks the request against the service list.
func (h *Handler) newCall(request *http.Request) (*call, *failure.Error) {
	snapshot := h.config.View.Load()
	if snapshot.List == nil {
		return nil, failure.New(failure.NoServiceList, failure.NotRun, "the node knows no accepted service list yet")
	}
	h.config.Policies.Update(snapshot)
	created := &call{request: request, snapshot: snapshot}
	if failed := created.findService(); failed != nil {
		return nil, failed
	}
	if failed := created.readHeaders(); failed != nil {
		return nil, failed
	}
	if failed := created.checkAccess(); failed != nil {
		return nil, failed
	}
	if limit := snapshot.List.CallerLimits.MaxBodyBytes; limit > 0 {
		if request.ContentLength > limit {
			return nil, failure.New(failure.BodyTooLarge, failure.NotRun, "the body has %d bytes, %d are allowed", request.ContentLength, limit)
		}
		if request.ContentLength < 0 {
			request.Body = http.MaxBytesReader(nil, request.Body, limit)
		}
	}
	body, err := newRequestBody(request)
	if err != nil {
		return nil, failure.Wrap(err, failure.BadRequest, failure.NotRun, "the request body ended early")
	}
	created.body = body
	if by := h.stopBy.Load(); by != nil && by.Before(created.deadline) {
		created.deadline = *by
	}
	return created, nil
}

// findService chooses the rule and the service of the request.
func (c *call) findService() *failure.Error {
	list, host := c.snapshot.List, hostName(c.request.Host)
	name := host
	if list.Rules.Len() > 0 {
		if c.rule = list.Rules.Match(host, c.request.URL.Path); c.rule == nil {
			return failure.New(failure.UnknownRoute, failure.NotRun, "no rule of list %d matches host %q and path %q", list.Version, host, c.request.URL.Path)
		}
		name = c.rule.Service()
	}
	if c.service = c.snapshot.Service(name); c.service == nil {
		return failure.New(failure.UnknownService, failure.NotRun, "the service list has no service %q", name)
	}
	return nil
}

// route names the kind of call under which latencies are tracked.
func (c *call) route() (service, kind string) {
	if c.rule != nil {
		return c.service.Name, c.rule.Name
	}
	return c.service.Name, c.request.Method
}

// maxReached bounds the targets that the call may reach.
func (c *call) maxReached() int {
	if c.rule != nil {
		return c.rule.MaxAttempts
	}
	return maxSends
}

func (c *call) readHeaders() *failure.Error {
	timeout, err := wire.ParseTimeout(c.request.Header)
	if err != nil {
		return failure.Wrap(err, failure.BadRequest, failure.NotRun, "invalid request")
	}
	if timeout == 0 {
		timeout = c.service.Timeout
	}
	if c.rule != nil {
		timeout = min(timeout, c.rule.Timeout)
		if c.rule.TargetLatency > 0 {
			c.aim = time.Now().Add(c.rule.TargetLatency)
		}
	}
	c.deadline = time.Now().Add(timeout)
	if c.depth, err = wire.ParseDepth(c.request.Header); err != nil {
		return failure.Wrap(err, failure.BadRequest, failure.NotRun, "invalid request")
	}
	if c.depth > wire.MaxDepth {
		return failure.New(failure.DepthExceeded, failure.NotRun, "calls may be %d deep", wire.MaxDepth)
	}
	if text := c.request.Header.Get(wire.Attempts); text != "" {
		if c.sends, err = strconv.Atoi(text); err != nil || c.sends < 0 {
			return failure.New(failure.BadRequest, failure.NotRun, "header %s: value %q is not a non-negative integer", wire.Attempts, text)
		}
	}
	if c.rule != nil {
		c.idempotent = c.rule.Idempotent
	} else {
		c.idempotent = c.service.IdempotentCall(c.request.Method, c.request.URL.Path)
	}
	keys := c.request.Header.Values(wire.IdempotencyKey)
	if len(keys) > 1 || (len(keys) == 1 && (keys[0] == "" || len(keys[0]) > maxKeyBytes)) {
		return failure.New(failure.BadKey, failure.NotRun, "%s must be given once and hold 1 to %d bytes", wire.IdempotencyKey, maxKeyBytes)
	}
	if len(keys) == 1 && !c.idempotent {
		c.key = keys[0]
	}
	return nil
}

// checkAccess refuses a nested call that the service list doesn't declare.
func (c *call) checkAccess() *failure.Error {
	if c.depth == 0 {
		return nil
	}
	own := c.snapshot.Service(c.snapshot.Self.Service)
	if own == nil || own.Name == c.service.Name {
		return nil
	}
	for _, name := range own.DependsOn {
		if name == c.service.Name {
			return nil
		}
	}
	return failure.New(failure.DependencyForbidden, failure.NotRun, "service %q doesn't list %q in depends_on", own.Name, c.service.Name)
}

// left is the time until the deadline.
func (c *call) left() time.Duration { return time.Until(c.deadline) }

// aimLeft is the time until which an answer has its full worth; 0: unknown or past.
func (c *call) aimLeft() time.Duration {
	if c.aim.IsZero() {
		return 0
	}
	return max(0, time.Until(c.aim))
}

// withDeadline returns a context that ends at the deadline or when the caller goes away.
func (c *call) withDeadline() (context.Context, context.CancelFunc) {
	return context.WithDeadline(c.request.Context(), c.deadline)
}

func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}
