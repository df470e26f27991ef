// Package inbound is the target side of a call: the HTTP handler with which a target's node receives forwarded
// requests. Each request passes the attempt ledger, the quarantine, the key gate and the admission limiter on its way
// to the local target.
package inbound

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/acacialock/acacialock/internal/admission"
	"github.com/acacialock/acacialock/internal/attempt"
	"github.com/acacialock/acacialock/internal/callermem"
	"github.com/acacialock/acacialock/internal/cluster"
	"github.com/acacialock/acacialock/internal/failure"
	"github.com/acacialock/acacialock/internal/quarantine"
	"github.com/acacialock/acacialock/internal/servicelist"
	"github.com/acacialock/acacialock/internal/telemetry"
	"github.com/acacialock/acacialock/internal/wire"
)

// role identifies the target side in the names of refusal counters.
const role = "target"

// KeyGate decides whether this node may run a keyed attempt now.
type KeyGate interface {
	// Check is called before the wait for a slot and again at dispatch. The authority ends at notAfter. The outcome of
	// an error is not-run.
	Check(service, key, owner string, rosterVersion uint64) (notAfter time.Time, err *failure.Error)
}

// Config configures a Handler.
type Config struct {
	Self       cluster.Member
	View       *cluster.View
	TargetAddr string              // host:port of the local target
	Metrics    *telemetry.Registry // required
	KeyGate    KeyGate             // nil: keyed attempts are refused
	Peers      quarantine.Peers    // nil: crash suspects are not shared with other nodes
	HealthPath string              // path that WatchHealth polls; empty: WatchHealth does nothing
	// AllowLoadSample charges a load sample to the measuring budget and reports whether the response may carry it;
	// crossesLink reports whether the response crosses the link between regions. nil: every response carries a sample.
	AllowLoadSample func(crossesLink bool) bool
	// Protocol adapts requests to the target and validates its responses; nil: acacialock's own headers are used.
	Protocol TargetProtocol
	// RequestIDHeader is the name of the header that identifies a request in logs; empty: requests are logged without an
	// id.
	RequestIDHeader string
	// Slots is the number of requests that the target serves concurrently, as announced by the target; 0: the value of
	// the service list.
	Slots int
	// OnFullSpeedConcurrency is called with the number of concurrent requests up to which the target does not slow down,
	// once that has been determined; nil: it is not shared.
	OnFullSpeedConcurrency func(requests int)
	// TargetID is the id of the target, with which its reports are compared; empty: every report is the target's.
	TargetID string
	// TargetBoot identifies the start of the target in the statements that nodes pass on to each other, see
	// wire.BootDigest; empty: none are adopted from other nodes.
	TargetBoot string
	// OnLeaving is called for each report in which the target states that it leaves; nil: no call. It must be fast.
	OnLeaving func(source string)
	// OnOtherReport is called for a report of another target, which now has the address; nil: no call.
	OnOtherReport func(report TargetReport)
	// OnWrongTarget is called when a response came from a target other than the expected one; nil: no call.
	OnWrongTarget func()
	// RemainingWarmUp is the remaining duration of the warm-up after the start of the target. WarmUpKnown is false if that is
	// not known; the target then counts as cold until it states the duration.
	RemainingWarmUp time.Duration
	WarmUpKnown     bool
	// ReadAheadBytes is the size in bytes up to which a response body is buffered before its header is forwarded, so that
	// a truncated response becomes a failure that can be retried; 0: responses are streamed.
	ReadAheadBytes int
	// Memory counts the heads of requests in progress; nil: they are not counted.
	Memory *callermem.Account
	// MaxAttempts and MaxAnswerBytes limit the size of the ledger; 0: the defaults of package attempt.
	MaxAttempts    int
	MaxAnswerBytes int
}

// TargetProtocol adapts requests and responses to the protocol of a platform's targets.
type TargetProtocol interface {
	// PrepareHeader adds the platform's headers to a request; remaining is the time until its deadline.
	PrepareHeader(header http.Header, remaining time.Duration)
	// ValidateResponse validates a response by its header. A failure with outcome not-run means that the target proved
	// that it did not run the request, one with outcome unknown that the response can't be used. nil: the response is
	// forwarded.
	ValidateResponse(request *http.Request, response *http.Response) *failure.Error
	// ParseReport returns what the target states about itself in the header of a response, including those of the health
	// path and those that refuse a request.
	ParseReport(header http.Header) TargetReport
}

// Handler serves wire.ForwardPath, rpc.Load, rpc.Attempts and rpc.Quarantine. It must not be mounted on an
// http.ServeMux, which redirects requests whose path is not clean. It is safe for concurrent use.
type Handler struct {
	config          Config
	limiter         *admission.Limiter
	ledger          *attempt.Ledger
	guard           *quarantine.Guard
	lastSnapshot    atomic.Pointer[cluster.Snapshot]
	limitsMu        sync.Mutex                          // held while limits are applied
	service         atomic.Pointer[servicelist.Service] // service whose limits are applied
	target          atomic.Pointer[targetTransport]
	healthTransport *http.Transport // for queries of the target's pace
	drainHint       atomic.Int64    // time of the target's last drain hint in Unix nanoseconds; 0: none
	reports         reportLog
	leavingHeardAt  atomic.Int64 // when the target last stated that it leaves, in Unix nanoseconds; 0: never
	stayingHeardAt  atomic.Int64 // when the target last answered without that statement, in Unix nanoseconds; 0: never
}

// New returns a handler for the local target.
func New(config Config) *Handler {
	h := &Handler{
		config:  config,
		limiter: admission.New(admission.Limits{Queue: admission.DefaultQueueLength}),
		ledger: attempt.New(attempt.Config{
			Self:           config.Self.ID,
			MaxEntries:     config.MaxAttempts,
			MaxAnswerBytes: config.MaxAnswerBytes,
		}),
		guard: quarantine.NewGuard(quarantine.Config{
			Self:       config.Self,
			View:       config.View,
			TargetAddr: config.TargetAddr,
			Peers:      config.Peers,
			Metrics:    config.Metrics,
		}),
	}
	h.healthTransport = NewHealthTransport()
	h.limiter.SetPaceReader(h.queryPace)
	h.limiter.SetWarmUp(config.RemainingWarmUp)
	if config.WarmUpKnown {
		h.limiter.AnnounceWarmUp(config.RemainingWarmUp)
	}
	h.target.Store(newTargetTransport(config.TargetAddr, h.guard.Dial, DefaultConnections))
	return h
}

// FetchSuspects fetches the crash suspects that other nodes know. It is called at the start, once the view holds
// members of the service and before requests are served.
func (h *Handler) FetchSuspects(ctx context.Context) { h.guard.FetchSuspects(ctx) }

// Close closes the idle connections to the target.
func (h *Handler) Close() {
	h.guard.Close()
	h.healthTransport.CloseIdleConnections()
	h.target.Load().transport.CloseIdleConnections()
}

// LoadSample returns the current load of the target.
func (h *Handler) LoadSample() wire.LoadSample { return h.limiter.LoadSample() }

// Drain refuses new requests and waits for those in flight. The server's Shutdown must be called after it, because the
// last bytes of a response are written after its slot was released.
func (h *Handler) Drain(ctx context.Context) error { return h.limiter.Drain(ctx) }

// BeginDrain refuses new requests from its return on and does not wait. Requests in flight continue.
func (h *Handler) BeginDrain() { h.limiter.BeginDrain() }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.applyLimits()
	h.adoptState(r)
	if refused := h.serve(w, r); refused != nil {
		h.refuse(w, r, refused)
	}
}

// serve processes the request. It returns a failure to be sent to the caller, or nil if a response was sent.
func (h *Handler) serve(w http.ResponseWriter, r *http.Request) *failure.Error {
	body := newRequestBody(w, r)
	defer body.finish(w.Header())
	forwarded, refused := h.parse(r)
	if refused != nil {
		return refused
	}
	if h.lacksColdRate() {
		return notRun(failure.Starting, "the target warms up, and the node does not know yet how many requests it bears")
	}
	if h.config.Memory != nil {
		size := int64(callermem.ForwardedSize(r.Header))
		if !h.config.Memory.Reserve(callermem.Forwarded, size) {
			return notRun(failure.CallerMemoryFull, "the requests of callers take all memory that they may use")
		}
		defer h.config.Memory.Release(callermem.Forwarded, size)
	}
	recorded, refused := h.ledger.Begin(forwarded.call)
	if refused != nil {
		return refused
	}
	return newExchange(h, w, r, forwarded, recorded, body).run()
}

// lacksColdRate reports whether the target may be cold while the service list, which holds the rate that it bears then, is not known
// yet. It answers machines that come back together while the store is slow: the members are read before the list, and the
// requests of all nodes meet the target at once.
func (h *Handler) lacksColdRate() bool {
	isWarm := h.config.WarmUpKnown && h.config.RemainingWarmUp <= 0
	return h.config.Protocol != nil && !isWarm && h.service.Load() == nil
}

// memberFullSpeedConcurrencies returns the full-speed concurrency that each member of the service found for its target.
func (h *Handler) memberFullSpeedConcurrencies(snapshot *cluster.Snapshot) []int {
	var concurrencies []int
	for _, member := range snapshot.Members[h.config.Self.Service] {
		concurrencies = append(concurrencies, member.FullSpeed)
	}
	return concurrencies
}

// shareFullSpeedConcurrency calls OnFullSpeedConcurrency if the limiter has newly determined the full-speed concurrency
// of the target.
func (h *Handler) shareFullSpeedConcurrency() {
	if h.config.OnFullSpeedConcurrency == nil {
		return
	}
	if requests, found := h.limiter.LearnedLimit(); found {
		h.config.OnFullSpeedConcurrency(requests)
	}
}

// applyLimits applies changes of the members' full-speed concurrency and of the service's limits since the last call.
func (h *Handler) applyLimits() {
	snapshot := h.config.View.Load()
	if h.lastSnapshot.Swap(snapshot) != snapshot {
		if h.zoneEvacuated() {
			h.limiter.RefuseQueued(h.checkEvacuation)
		}
		h.limiter.SetAgreedLimit(admission.MajorityLimit(h.memberFullSpeedConcurrencies(snapshot)))
	}
	service := snapshot.Service(h.config.Self.Service)
	if service == nil || service == h.service.Load() {
		return
	}
	h.limitsMu.Lock()
	defer h.limitsMu.Unlock()
	if service == h.service.Load() {
		return
	}
	defer h.service.Store(service) // other requests go on only once the limits are in force
	limits := service.Limits
	connections := limits.Connections
	if connections <= 0 {
		connections = DefaultConnections
	}
	slots := limits.Slots
	if h.config.Slots > 0 {
		slots = h.config.Slots
	}
	if slots <= 0 {
		slots = admission.DefaultSlots
	}
	slots = min(slots, requestConnections(connections))
	h.limiter.SetLimits(admission.Limits{Slots: slots, Queue: limits.Queue})
	h.limiter.SetColdRate(service.ColdRate)
	old := h.target.Load()
	if old.connections == connections {
		return
	}
	h.target.Store(newTargetTransport(h.config.TargetAddr, h.guard.Dial, connections))
	old.transport.CloseIdleConnections()
}

// zoneEvacuated reports whether the operators have ordered that targets in this node's zone get no requests.
func (h *Handler) zoneEvacuated() bool {
	return h.config.View.Load().EvacuatedZones[h.config.Self.Zone]
}

// checkEvacuation returns the refusal of a request that has not started while this node's zone is evacuated, or nil.
func (h *Handler) checkEvacuation() *failure.Error {
	if !h.zoneEvacuated() {
		return nil
	}
	return notRun(failure.ZoneEvacuated, "zone %s is evacuated", h.config.Self.Zone)
}

// refuse counts, logs and sends a failure to the caller.
func (h *Handler) refuse(w http.ResponseWriter, r *http.Request, failed *failure.Error) {
	h.config.Metrics.CountRefusal(role, failed.Reason)
	h.logRefusal(r, failed)
	h.addLoadSample(w.Header(), r)
	if failed.Reason == failure.WrongIncarnation {
		w.Header().Set(wire.CurrentMember, h.config.Self.ID)
	}
	WriteRefusal(w, failed)
}

// WriteRefusal writes a failure as the response to a request forwarded by another node.
func WriteRefusal(w http.ResponseWriter, failed *failure.Error) {
	header := w.Header()
	header.Set(wire.Reason, string(failed.Reason))
	header.Set(wire.Outcome, string(failed.Outcome))
	header.Set("Content-Type", "text/plain; charset=utf-8")
	if failed.RetryAfter > 0 {
		header.Set(wire.RetryAfterMS, strconv.FormatInt(failed.RetryAfter.Milliseconds(), 10))
	}
	w.WriteHeader(failed.Status())
	_, _ = w.Write([]byte(failed.Detail + "\n")) // the entry node may have disconnected
}

// addLoadSample adds what the target states about itself to a response header and, if the measuring budget allows it, the
// load sample.
func (h *Handler) addLoadSample(header http.Header, r *http.Request) {
	if state := h.targetState(); !state.IsZero() {
		header.Set(wire.TargetStatus, state.String())
	}
	if cold := h.limiter.ColdFor(); cold > 0 {
		header.Set(wire.TargetCold, strconv.FormatInt(cold.Milliseconds(), 10))
	}
	if h.config.AllowLoadSample == nil || h.config.AllowLoadSample(r.Header.Get(wire.Link) != "") {
		header.Set(wire.Load, h.limiter.LoadSample().String())
	}
}
