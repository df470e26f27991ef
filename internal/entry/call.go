package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/acacialock/acacialock/internal/callermem"
	"github.com/acacialock/acacialock/internal/cluster"
	"github.com/acacialock/acacialock/internal/failure"
	"github.com/acacialock/acacialock/internal/servicelist"
	"github.com/acacialock/acacialock/internal/wire"
)

// maxKeyBytes is the greatest length of an Idempotency-Key.
const maxKeyBytes = 255

// maxMoves is the greatest number of targets that a call moves away from because they are slow or failing. With a third
// of the targets slow, one call in 30 reaches another slow target after that many moves, and waits there.
const maxMoves = 3

// maxSends is the greatest number of sends of one call, counted over all layers of nested calls.
const maxSends = 6

// answerMemory is implemented by the response writers of a server that bounds the memory of answers.
type answerMemory interface {
	// ReserveAnswer counts bytes of the answer that are kept until the request ends, and reports whether they may be kept.
	ReserveAnswer(bytes int) bool
}

// call is the state of one caller's request while the entry node handles it.
type call struct {
	request      *http.Request
	path         string // the request's path as it is sent on, not decoded
	snapshot     *cluster.Snapshot
	rule         *servicelist.Rule   // nil when the host names the service
	tenant       *servicelist.Tenant // whose API key the caller gave; nil: the list has no tenants or the rule is public
	allotted     bool                // the call was taken from its tenant's allotment
	regions      []string            // regions that the call may be sent to; nil: all
	service      *servicelist.Service
	body         *requestBody
	answers      answerMemory // counts answers that are read ahead; nil: they are not counted
	idempotent   bool
	key          string
	deadline     time.Time
	softDeadline time.Time    // when the rule's target latency is used up; zero: the rule sets none
	depth        int          // number of calls above this one; see wire.Depth
	sends        int          // sends so far, over all layers of nested calls
	reached      int          // sends that may have reached a target
	tried        []string     // ids of the members that an attempt was sent to
	movedFrom    []string     // ids of the members that refused because their target is slow or failing, one per move
	brokenAt     []string     // ids of the members where a connection broke before an answer, one per retry
	pinned       bool         // the next node must not refuse the call because its target is slow or failing
	overflows    int          // members of other regions that the call was sent to after its own region refused it
	localRefusal *result      // refusal by the own region before the first overflow; nil: none
	retried      bool         // a failed attempt was followed by another
	retryDenial  denialReason // why the last failed attempt was not followed by another
}

// newCall checks the request against the service list in force and returns its call, or the failure with which it is
// refused. A small request body of known length is read at once. peer is true for calls relayed by another node.
func (h *Handler) newCall(request *http.Request, peer bool) (*call, *failure.Error) {
	listAge := h.listAge()
	snapshot := h.config.View.Load()
	if snapshot.List == nil {
		return nil, failure.New(failure.NoServiceList, failure.NotRun, "the node knows no accepted service list yet")
	}
	h.config.Policies.Update(snapshot)
	path, ok := wire.RequestPath(request.RequestURI)
	if !ok {
		return nil, failure.New(failure.BadRequest, failure.NotRun, "the path of %q can't be forwarded unchanged", request.RequestURI)
	}
	c := &call{request: request, path: path, snapshot: snapshot}
	if failed := h.routeCall(c, listAge, peer); failed != nil {
		return nil, failed
	}
	if failed := c.readHeaders(); failed != nil {
		return nil, failed
	}
	if failed := c.checkAccess(); failed != nil {
		return nil, failed
	}
	if failed := c.checkBodySize(); failed != nil {
		return nil, failed
	}
	if failed := c.restrictRegions(); failed != nil {
		return nil, failed
	}
	if !peer { // the other node has taken the call from the allotment
		if failed := h.takeAllotment(c); failed != nil {
			return nil, failed
		}
	}
	return h.prepareCall(c)
}

// routeCall sets the rule, the tenant and the service. The service comes after the key, so that a request that is refused
// takes no place in a split.
func (h *Handler) routeCall(c *call, listAge time.Duration, peer bool) *failure.Error {
	if failed := c.findRule(); failed != nil {
		return failed
	}
	if failed := h.identify(c, listAge, peer); failed != nil {
		return failed
	}
	return c.findService()
}

// prepareCall applies the node's stop to the deadline and reads a small body.
func (h *Handler) prepareCall(c *call) (*call, *failure.Error) {
	if stopTime := h.endCallsBy.Load(); stopTime != nil && stopTime.Before(c.deadline) {
		c.deadline = *stopTime
	}
	ctx := c.request.Context()
	if readsAhead(c.request) {
		bounded, cancel := c.withDeadline()
		defer cancel()
		defer context.AfterFunc(h.stopped, cancel)()
		ctx = bounded
	}
	body, err := newRequestBody(ctx, c.request)
	if err != nil {
		failed := h.bodyFailure(ctx, err)
		h.returnAllotment(c, failed)
		return nil, failed
	}
	if limit := c.snapshot.List.CallerLimits.MaxBodyBytes; limit > 0 {
		body.limit(limit)
	}
	c.body = body
	return c, nil
}

// bodyFailure returns the failure of a request whose body could not be read before its first send.
func (h *Handler) bodyFailure(ctx context.Context, err error) *failure.Error {
	switch {
	case errors.Is(err, callermem.ErrFull):
		return failure.Wrap(err, failure.CallerMemoryFull, failure.NotRun, "the request body can't be kept")
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return failure.New(failure.DeadlineExceeded, failure.NotRun, "the request body did not arrive in time")
	case h.stopped.Err() != nil:
		return failure.New(failure.Draining, failure.NotRun, "this node stops before the request body has arrived")
	default:
		return failure.Wrap(err, failure.BadRequest, failure.NotRun, "the request body ended early")
	}
}

// checkBodySize refuses a body whose length is known to be above the limit.
func (c *call) checkBodySize() *failure.Error {
	limit := c.snapshot.List.CallerLimits.MaxBodyBytes
	if limit > 0 && c.request.ContentLength > limit {
		return failure.New(failure.BodyTooLarge, failure.NotRun, "the body has %d bytes, %d are allowed", c.request.ContentLength, limit)
	}
	return nil
}

// findRule sets the rule that matches the request's host and path. In a list without rules the host names the service.
func (c *call) findRule() *failure.Error {
	list, host := c.snapshot.List, hostName(c.request.Host)
	if list.Rules.Len() == 0 {
		return c.setService(host)
	}
	if c.rule = list.Rules.Match(host, c.path); c.rule == nil {
		return failure.New(failure.UnknownRoute, failure.NotRun, "no rule of list %d matches host %q and path %q", list.Version, host, c.path)
	}
	return nil
}

// findService sets the service that the rule selects for the request.
func (c *call) findService() *failure.Error {
	if c.rule == nil {
		return nil
	}
	return c.setService(c.rule.Service())
}

func (c *call) setService(name string) *failure.Error {
	if c.service = c.snapshot.Service(name); c.service == nil {
		return failure.New(failure.UnknownService, failure.NotRun, "the service list has no service %q", name)
	}
	return nil
}

// route returns the key under which latencies are tracked: the service, and the rule's name or else the method.
func (c *call) route() (service, kind string) {
	if c.rule != nil {
		return c.service.Name, c.rule.Name
	}
	return c.service.Name, c.request.Method
}

// maxReached returns the greatest number of targets that the call may reach.
func (c *call) maxReached() int {
	if c.rule != nil {
		return c.rule.MaxAttempts
	}
	return maxSends
}

// readHeaders sets the deadlines, the depth, the number of earlier sends, idempotency and the key from the request's
// headers, the rule and the service. The rule's timeout bounds the one that the request or the service sets.
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
			c.softDeadline = time.Now().Add(c.rule.TargetLatency)
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
		c.idempotent = c.service.IsIdempotent(c.request.Method, c.path)
	}
	keys := c.request.Header.Values(wire.IdempotencyKey)
	if len(keys) > 1 || (len(keys) == 1 && (keys[0] == "" || len(keys[0]) > maxKeyBytes)) {
		return failure.New(failure.BadIdempotencyKey, failure.NotRun, "%s must be given once and hold 1 to %d bytes", wire.IdempotencyKey, maxKeyBytes)
	}
	if len(keys) == 1 && !c.idempotent {
		c.key = wire.ScopedKey(c.tenantName(), keys[0])
	}
	return nil
}

// checkAccess refuses a nested call to a service that the own service doesn't list in depends_on.
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

// tenantName returns the name of the call's tenant, or "".
func (c *call) tenantName() string {
	if c.tenant == nil {
		return ""
	}
	return c.tenant.Name
}

// remaining returns the time until the deadline; it is negative after that.
func (c *call) remaining() time.Duration { return time.Until(c.deadline) }

// softRemaining returns the time until the soft deadline, or 0 if it has passed. Without a target latency an answer keeps
// its full value until the deadline.
func (c *call) softRemaining() time.Duration {
	if c.softDeadline.IsZero() {
		return max(0, c.remaining())
	}
	return max(0, time.Until(c.softDeadline))
}

// withDeadline returns a context that ends at the deadline or when the caller disconnects.
func (c *call) withDeadline() (context.Context, context.CancelFunc) {
	return context.WithDeadline(c.request.Context(), c.deadline)
}

// hostName returns the host in lower case and without a port.
func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}
