// Package entry is the callers' side of a node: it chooses a target for each call, sends attempts to the target's
// node, repeats them where that is safe, and tells the caller what became of a call that gets no answer.
package entry

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/acacialock/acacialock/internal/balance"
	"github.com/acacialock/acacialock/internal/cluster"
	"github.com/acacialock/acacialock/internal/failure"
	"github.com/acacialock/acacialock/internal/forward"
	"github.com/acacialock/acacialock/internal/framing"
	"github.com/acacialock/acacialock/internal/keys"
	"github.com/acacialock/acacialock/internal/rpc"
	"github.com/acacialock/acacialock/internal/telemetry"
	"github.com/acacialock/acacialock/internal/wire"
)

// Config configures a Handler. All fields are required except Keys.
type Config struct {
	View      *cluster.View
	Transport *forward.Transport
	// Policies gives the balancer and the budgets of a service.
	Policies *Policies
	// Attempts returns a client that asks the node at a peer address on a new connection.
	Attempts func(peerAddr string) rpc.Attempts
	// Keys claims Idempotency-Keys; nil refuses calls that carry one.
	Keys    *keys.Client
	Metrics *telemetry.Registry
	// RequestID is the header that names a caller's request in logs; empty: requests are logged without a name.
	RequestID string
	// Refuse writes a failure's header in the callers' form and returns the status; nil uses the product's own form.
	Refuse func(header http.Header, failed *failure.Error) int
}

// Handler serves callers on the entry listener. Safe for concurrent use.
type Handler struct {
	config    Config
	latencies *latencies
	// stopped ends when calls must have their answer because the node stops; stopBy is set before.
	stopped context.Context
	stop    context.CancelFunc
	stopBy  atomic.Pointer[time.Time]
}

// New returns a handler.
func New(config Config) *Handler {
	stopped, stop := context.WithCancel(context.Background())
	return &Handler{config: config, latencies: newLatencies(), stopped: stopped, stop: stop}
}

// CallerLimits are those of the service list in force, for the listener of callers.
func (h *Handler) CallerLimits() framing.Limits {
	list := h.config.View.Load().List
	if list == nil {
		return framing.Limits{}
	}
	return framing.Limits{
		HeaderBytes: list.CallerLimits.MaxHeaderBytes,
		HeaderTime:  list.CallerLimits.HeaderTimeout,
		IdleTime:    list.CallerLimits.IdleTimeout,
	}
}

// RefuseHeader answers a request with a faulty header.
func (h *Handler) RefuseHeader(w http.ResponseWriter, request *http.Request, fault framing.Fault) {
	failed := failure.New(failure.BadRequest, failure.NotRun, "the request has Content-Length and Transfer-Encoding")
	if fault == framing.HeaderTooLarge {
		failed = failure.New(failure.HeaderTooLarge, failure.NotRun, "the header is longer than the service list allows")
	}
	h.logRefusal(request, failed)
	h.refuse(w, failed)
}

// StopBy gives every call an answer by that time: later calls get an earlier deadline, and calls that still run then end
// with a failure. Otherwise the node's end would close their connections without an answer.
func (h *Handler) StopBy(at time.Time) {
	h.stopBy.Store(&at)
	time.AfterFunc(time.Until(at), h.stop)
}

// ServeHTTP serves one caller's request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	h.serve(w, request, true)
}

// ServeRelay serves a keyed call that an entry node of another region passed on, under wire.RelayPath.
func (h *Handler) ServeRelay(w http.ResponseWriter, request *http.Request) {
	request.URL.Path = strings.TrimPrefix(request.URL.Path, wire.RelayPath)
	request.URL.RawPath = strings.TrimPrefix(request.URL.RawPath, wire.RelayPath)
	h.serve(w, request, false)
}

func (h *Handler) serve(w http.ResponseWriter, request *http.Request, mayRelay bool) {
	h.config.Metrics.Counter("entry.calls").Inc(1)
	c, failed := h.newCall(request)
	if failed != nil {
		h.logRefusal(request, failed)
		if failed.Reason == failure.NoServiceList && request.Header.Get(wire.IdempotencyKey) != "" {
			failed = undecided(failed)
		}
		h.refuse(w, failed)
		return
	}
	ctx, cancel := c.withDeadline()
	defer cancel()
	defer context.AfterFunc(h.stopped, cancel)()
	h.answer(w, c, h.dispatch(ctx, c, mayRelay))
}

// dispatch takes the way that the kind of call allows.
func (h *Handler) dispatch(ctx context.Context, c *call, mayRelay bool) result {
	switch {
	case c.key == "":
		return h.send(ctx, c)
	case h.config.Keys == nil || c.service.HomeRegion == "":
		return result{failed: failure.New(failure.BadKey, failure.NotRun, "service %q has no home_region and takes no %s", c.service.Name, wire.IdempotencyKey)}
	case c.service.HomeRegion != c.snapshot.Self.Region && mayRelay:
		return h.relay(ctx, c)
	default:
		return h.sendKeyed(ctx, c)
	}
}

func (h *Handler) answer(w http.ResponseWriter, c *call, final result) {
	switch {
	case final.failed != nil:
		if err := c.body.broken(); err != nil && c.request.Context().Err() == nil {
			final.failed = failure.Wrap(err, failure.BadRequest, final.failed.Outcome, "the request body can't be read")
			w.Header().Set("Connection", "close") // what follows on the connection can't be told from the body
		}
		h.logFailure(c, final.failed)
		h.refuse(w, final.failed)
	case final.kept != nil:
		replay(w, final.kept)
	default:
		stop := context.AfterFunc(c.request.Context(), func() { _ = final.response.Body.Close() })
		defer stop()
		h.logAnswer(c, final)
		h.stream(w, final.response)
	}
}

// observed reports an attempt's end to the balancer and to the latency tracker.
func (h *Handler) observed(c *call, pick balance.Pick, ended result) result {
	if ended.response != nil {
		h.latencies.route(c.route()).record(ended.latency, time.Now())
	}
	if ended.response != nil {
		h.config.Metrics.Observe("latency.entry."+c.service.Name+".us", ended.latency)
	}
	report := balance.Result{Sample: ended.sample, Latency: ended.latency, Current: ended.current}
	if ended.failed != nil {
		h.logAttempt(c, pick, ended.failed)
		report.Class, report.Reason = classify(ended.failed), ended.failed.Reason
	}
	pick.Done(report)
	ended.member = pick.Member.ID
	return ended
}

// classify tells the balancer what a failure says about the target.
func classify(failed *failure.Error) balance.Class {
	switch failed.Reason {
	case failure.CallerGone, failure.DuplicateAttempt, failure.Quarantined:
		return balance.Cancelled
	case failure.ConnectFailed, failure.ConnectionLost, failure.ConnectionSilent, failure.NodeUnreachable,
		failure.DeadlineExceeded, failure.TargetBroke, failure.TargetUnreachable:
		return balance.Failed
	default:
		return balance.Refused
	}
}
