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

// maxSends bounds the sends of one call over all layers.
const maxSends = 6

// call is one caller's request on its way through the entry node.
type call struct {
	request    *http.Request
	snapshot   *cluster.Snapshot
	service    *servicelist.Service
	body       *requestBody
	idempotent bool
	key        string
	deadline   time.Time
	depth      int
	sends      int      // sends so far, over all layers
	tried      []string // ids of members that were sent an attempt
}

// newCall checks the request against the service list.
func (h *Handler) newCall(request *http.Request) (*call, *failure.Error) {
	snapshot := h.config.View.Load()
	if snapshot.List == nil {
		return nil, failure.New(failure.NoServiceList, failure.NotRun, "the node knows no accepted service list yet")
	}
	h.config.Policies.Update(snapshot)
	name := serviceName(request.Host)
	service := snapshot.Service(name)
	if service == nil {
		return nil, failure.New(failure.UnknownService, failure.NotRun, "the service list has no service %q", name)
	}
	created := &call{request: request, snapshot: snapshot, service: service}
	if failed := created.readHeaders(); failed != nil {
		return nil, failed
	}
	if failed := created.checkAccess(); failed != nil {
		return nil, failed
	}
	body, err := newRequestBody(request)
	if err != nil {
		return nil, failure.Wrap(err, failure.BadRequest, failure.NotRun, "the request body ended early")
	}
	created.body = body
	return created, nil
}

func (c *call) readHeaders() *failure.Error {
	timeout, err := wire.ParseTimeout(c.request.Header)
	if err != nil {
		return failure.Wrap(err, failure.BadRequest, failure.NotRun, "invalid request")
	}
	if timeout == 0 {
		timeout = c.service.Timeout
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
	c.idempotent = c.service.IdempotentCall(c.request.Method, c.request.URL.Path)
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

// withDeadline returns a context that ends at the deadline or when the caller goes away.
func (c *call) withDeadline() (context.Context, context.CancelFunc) {
	return context.WithDeadline(c.request.Context(), c.deadline)
}

func serviceName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}
