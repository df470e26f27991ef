// Package entry implements the caller-facing side of a node. It chooses a target for each call, sends attempts to the
// target's node, retries them where that is safe, and reports the outcome of calls that get no answer.
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

// Config configures a Handler. All fields are required except Keys, ReadAheadBytes, RequestIDHeader and
// WriteRefusal.
type Config struct {
	View      *cluster.View
	Transport *forward.Transport
	// Policies provides the balancer and the budgets of each service.
	Policies *Policies
	// Attempts returns a client that contacts the node at a peer address on a new connection.
	Attempts func(peerAddr string) rpc.Attempts
	// Keys claims Idempotency-Keys; nil refuses calls that carry one.
	Keys    *keys.Client
	Metrics *telemetry.Registry
	// ReadAheadBytes is the size in bytes up to which the body of an answer is read before its header is sent to the caller,
	// so that an answer that does not arrive whole becomes a failure that can be retried; 0: answers are streamed.
	ReadAheadBytes int
	// RequestIDHeader is the name of the header whose value identifies a caller's request in logs; empty: requests are
	// logged without an id.
	RequestIDHeader string
	// Allotments enforces the rates of tenants; nil: they are not enforced.
	Allotments Allotments
	// ListConfirmed returns the time since which the list in force is not known to be the newest one: the age of the last
	// proof of that. It must also grow while the machine is suspended. It is called only with a KeyWithdrawalBound. nil: the
	// list counts as confirmed.
	ListConfirmed func() time.Duration
	// KeyWithdrawalBound is the time after which a withdrawn API key must not be accepted any more. Requests with a key are
	// refused while ListConfirmed is not below it; 0: no bound.
	KeyWithdrawalBound time.Duration
	// WriteRefusal sets the response headers for a failure in a format of the callers' own and returns the HTTP status;
	// nil: the failure is sent with wire.Reason, wire.Outcome and a text body.
	WriteRefusal func(header http.Header, failed *failure.Error) int
}

// Handler serves callers on the entry listener. It is safe for concurrent use.
type Handler struct {
	config    Config
	latencies *latencies
	states    targetStates
	// stopped is cancelled at endCallsBy, when all remaining calls must end because the node stops. endCallsBy is set
	// before.
	stopped    context.Context
	stop       context.CancelFunc
	endCallsBy atomic.Pointer[time.Time]
}

// New returns a handler.
func New(config Config) *Handler {
	stopped, stop := context.WithCancel(context.Background())
	return &Handler{config: config, latencies: newLatencies(), stopped: stopped, stop: stop}
}

// CallerLimits returns the limits for the entry listener from the service list in force; without a list it returns the
// zero value.
func (h *Handler) CallerLimits() framing.Limits {
	list := h.config.View.Load().List
	if list == nil {
		return framing.Limits{}
	}
	return framing.Limits{
		MaxHeaderBytes: list.CallerLimits.MaxHeaderBytes,
		HeaderTimeout:  list.CallerLimits.HeaderTimeout,
		IdleTimeout:    list.CallerLimits.IdleTimeout,
	}
}

// RefuseHeader responds to a request whose header has a fault.
func (h *Handler) RefuseHeader(w http.ResponseWriter, request *http.Request, fault framing.Fault) {
	var failed *failure.Error
	switch fault {
	case framing.HeaderTooLarge:
		failed = failure.New(failure.HeaderTooLarge, failure.NotRun, "the header is longer than the service list allows")
	case framing.NoMemory:
		failed = failure.New(failure.CallerMemoryFull, failure.NotRun, "the requests of callers take all memory that they may use")
		mayHaveKey := request.Header.Get(wire.IdempotencyKey) != "" || len(request.Header) == 0 // the lines were not parsed
		if h.config.Keys != nil && mayHaveKey {
			failed = withUnknownOutcome(failed)
		}
	case framing.ConflictingLengths:
		failed = failure.New(failure.BadRequest, failure.NotRun, "the request has Content-Length and Transfer-Encoding")
	default:
		failed = failure.New(failure.BadRequest, failure.NotRun, "the header is malformed")
	}
	h.logRefusal(request, failed)
	h.refuse(w, failed)
}

// MayOverlap reports whether the request may be started before those ahead of it on its connection are answered: the list in
// force says that it may be run more than once.
func (h *Handler) MayOverlap(request *http.Request) bool {
	snapshot := h.config.View.Load()
	if snapshot.List == nil {
		return false
	}
	path, ok := wire.RequestPath(request.RequestURI)
	if !ok {
		return false
	}
	host := hostName(request.Host)
	if snapshot.List.Rules.Len() > 0 {
		rule := snapshot.List.Rules.Match(host, path)
		return rule != nil && rule.Idempotent
	}
	service := snapshot.Service(host)
	return service != nil && service.IsIdempotent(request.Method, path)
}

// EndCallsBy makes every call end at the given time at the latest: calls that arrive from now on get no later deadline,
// and calls still running then fail. Otherwise the node's exit would close their connections without a response.
func (h *Handler) EndCallsBy(at time.Time) {
	h.endCallsBy.Store(&at)
	time.AfterFunc(time.Until(at), h.stop)
}

// ServeHTTP implements http.Handler. It serves a request of a caller.
func (h *Handler) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	h.serve(w, request, true)
}

// ServeRelay serves a keyed call that an entry node of another region relayed under wire.RelayPath.
func (h *Handler) ServeRelay(w http.ResponseWriter, request *http.Request) {
	request.RequestURI = strings.TrimPrefix(request.RequestURI, wire.RelayPath)
	h.serve(w, request, false)
}

// serve handles one request. A keyed call may be relayed to the service's home region only if mayRelay is set.
func (h *Handler) serve(w http.ResponseWriter, request *http.Request, mayRelay bool) {
	h.config.Metrics.Counter("entry.calls").Inc(1)
	c, failed := h.newCall(request, !mayRelay)
	if failed != nil {
		h.logRefusal(request, failed)
		if precedesKey(failed.Reason) && request.Header.Get(wire.IdempotencyKey) != "" {
			failed = withUnknownOutcome(failed)
		}
		h.refuse(w, failed)
		return
	}
	c.answers, _ = w.(answerMemory)
	ctx, cancel := c.withDeadline()
	defer cancel()
	defer context.AfterFunc(h.stopped, cancel)()
	final := h.dispatch(ctx, c, mayRelay)
	h.returnAllotment(c, final.failed)
	h.respond(ctx, w, c, final)
}

// precedesKey reports whether a call is refused for this reason although an earlier call with the same Idempotency-Key may
// have run: the refusal depends on the time, not on the call.
func precedesKey(reason failure.Reason) bool {
	switch reason {
	case failure.NoServiceList, failure.KeysUnconfirmed, failure.UnknownKey, failure.AllotmentExceeded, failure.RegionNotAllowed,
		failure.CallerMemoryFull, failure.DeadlineExceeded, failure.Draining: // the last two while the body is read
		return true
	}
	return false
}

// dispatch runs a call without a key from this node. A keyed call runs in the service's home region, to which it is
// relayed if mayRelay is set.
func (h *Handler) dispatch(ctx context.Context, c *call, mayRelay bool) result {
	switch {
	case c.key == "":
		return h.send(ctx, c)
	case h.config.Keys == nil || c.service.HomeRegion == "":
		return result{failed: failure.New(failure.BadIdempotencyKey, failure.NotRun, "service %q has no home_region and takes no %s", c.service.Name, wire.IdempotencyKey)}
	case c.service.HomeRegion != c.snapshot.Self.Region && mayRelay:
		return h.relay(ctx, c)
	default:
		return h.sendKeyed(ctx, c)
	}
}

// respond sends the call's result to the caller and logs it. The end of ctx also ends an answer that has begun.
func (h *Handler) respond(ctx context.Context, w http.ResponseWriter, c *call, final result) {
	switch {
	case final.failed != nil:
		h.respondFailure(w, c, final.failed)
	case final.stored != nil:
		writeStoredAnswer(w, final.stored)
	default:
		if failed := h.stream(ctx, w, c, final); failed != nil {
			h.respondFailure(w, c, failed)
		}
	}
}

// respondFailure refuses the call and logs why.
func (h *Handler) respondFailure(w http.ResponseWriter, c *call, failed *failure.Error) {
	if err := c.body.readError(); err != nil && c.request.Context().Err() == nil {
		failed = failure.Wrap(err, failure.BadRequest, failed.Outcome, "the request body can't be read")
		w.Header().Set("Connection", "close") // the start of the next request on the connection is unknown
	}
	h.logFailure(c, failed)
	h.refuse(w, failed)
}

// reportResult reports an attempt's result to the balancer, the latency tracker and the metrics, logs a failure, and
// returns the result with the member's id. send is the number of the attempt's send.
func (h *Handler) reportResult(c *call, pick balance.Pick, send int, res result) result {
	if res.response != nil {
		h.latencies.route(c.route()).record(res.latency, time.Now())
	}
	if res.response != nil {
		h.config.Metrics.ObserveDuration("latency.entry."+c.service.Name+".us", res.latency)
	}
	report := balance.Result{Sample: res.sample, Latency: res.latency, CurrentID: res.currentID, LimitNamed: res.limitNamed, ColdFor: res.coldFor}
	if res.failed != nil {
		h.logAttempt(c, pick, send, res.failed)
		report.Class, report.Reason, report.RetryAfter = classify(res.failed), res.failed.Reason, res.failed.RetryAfter
	}
	pick.Done(report)
	res.memberID = pick.Member.ID
	return res
}

// classify returns the class under which the balancer counts a failure.
func classify(failed *failure.Error) balance.Class {
	switch failed.Reason {
	case failure.CallerGone, failure.CallerStalled, failure.DuplicateAttempt, failure.Quarantined:
		return balance.Cancelled
	case failure.ConnectFailed, failure.ConnectionLost, failure.ConnectionSilent, failure.NodeUnreachable,
		failure.DeadlineExceeded, failure.TargetConnectionBroke, failure.TargetUnreachable:
		return balance.Failed
	default:
		return balance.Refused
	}
}
