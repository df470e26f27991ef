// Package inbound is the target's side of a call: the HTTP handler of a target's node for forwarded requests. It passes
// each request through the ledger of attempts, the quarantine, the key gate and the admission to the local target.
package inbound

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/acacialock/acacialock/internal/admission"
	"github.com/acacialock/acacialock/internal/attempt"
	"github.com/acacialock/acacialock/internal/cluster"
	"github.com/acacialock/acacialock/internal/failure"
	"github.com/acacialock/acacialock/internal/quarantine"
	"github.com/acacialock/acacialock/internal/servicelist"
	"github.com/acacialock/acacialock/internal/telemetry"
	"github.com/acacialock/acacialock/internal/wire"
)

// role is the handler's part of counter names.
const role = "target"

// KeyGate decides whether this node may run a keyed attempt now.
type KeyGate interface {
	// Check is called before the wait for a slot and at the moment of dispatch. The authority ends at notAfter; an
	// error's outcome is not-run.
	Check(service, key, owner string, rosterVersion uint64) (notAfter time.Time, err *failure.Error)
}

// Config is what a handler needs.
type Config struct {
	Self       cluster.Member
	View       *cluster.View
	TargetAddr string              // host:port of the local target
	Metrics    *telemetry.Registry // required
	Gate       KeyGate             // nil: keyed attempts are refused
	Peers      quarantine.Peers    // nil: suspects of a crash are not shared
	HealthPath string              // path that WatchHealth asks; empty: none
	// MaySample charges a load sample to the budget of measuring and reports whether the answer may carry it; nil:
	// every answer does.
	MaySample func(crossesLink bool) bool
	// Protocol adapts requests to the target and judges its answers; nil: the product's own headers.
	Protocol TargetProtocol
	// RequestID is the header that names a request in logs; empty: requests are logged without a name.
	RequestID string
	// Slots is the number of requests that the target serves at once, as it says itself; 0: as the service list says.
	Slots int
	// OnFullSpeed is called when the number of requests at once up to which the target does not slow down is found; nil:
	// it is not shared.
	OnFullSpeed func(requests int)
	// OnWrongTarget is called when another target answered in place of the one of the handler; nil: nothing is.
	OnWrongTarget func()
	// Cold is how much longer the target is slow after its start.
	Cold time.Duration
	// ReadAhead is the size up to which an answer is read whole before its header is passed on, so that a broken answer is
	// a failure that may be repeated; 0: answers are passed on as they come.
	ReadAhead int
	// MaxAttempts and MaxAnswerBytes bound the ledger; 0 takes its defaults.
	MaxAttempts    int
	MaxAnswerBytes int
}

// TargetProtocol adapts requests and answers to what the targets of a platform speak.
type TargetProtocol interface {
	// Prepare completes the header of a request; left is the time until its deadline.
	Prepare(header http.Header, left time.Duration)
	// Check judges an answer by its header. A failure with the outcome not-run means that the target proved that it did
	// not run the request; with unknown, that the answer can't be used. nil passes the answer on.
	Check(request *http.Request, answer *http.Response) *failure.Error
	// Pace reads the factor by which work takes longer than usual at the target now (1: as usual) from an answer of it, also
	// from one of its health path; false when the answer tells none.
	Pace(header http.Header) (factor float64, ok bool)
}

// Handler serves wire.ForwardPath, rpc.Load, rpc.Attempts and rpc.Quarantine. It must be called without http.ServeMux,
// which redirects requests whose path is not clean. Safe for concurrent use.
type Handler struct {
	config  Config
	gate    *admission.Gate
	ledger  *attempt.Ledger
	guard   *quarantine.Guard
	seen    atomic.Pointer[cluster.Snapshot]
	service atomic.Pointer[servicelist.Service] // whose limits are in force
	target  atomic.Pointer[target]
	probes  *http.Transport // of questions about the target's pace
	hint    atomic.Int64    // Unix nanoseconds of the target's last hint that it drains; 0: none
}

// New returns a handler for the local target.
func New(config Config) *Handler {
	h := &Handler{
		config: config,
		gate:   admission.New(admission.Limits{Queue: admission.DefaultQueue}),
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
	h.probes = newProbes()
	h.gate.OnPaceNeeded(h.readPace)
	h.gate.SetCold(config.Cold)
	h.target.Store(newTarget(config.TargetAddr, h.guard.Dial, DefaultConnections))
	return h
}

// TakeOverSuspects learns the suspects of crashes that other nodes know. It is called at the start, once the view shows
// members of the service and before requests are served.
func (h *Handler) TakeOverSuspects(ctx context.Context) { h.guard.TakeOver(ctx) }

// Close closes the idle connections to the target.
func (h *Handler) Close() {
	h.guard.Close()
	h.probes.CloseIdleConnections()
	h.target.Load().transport.CloseIdleConnections()
}

// Sample returns the current load.
func (h *Handler) Sample() wire.LoadSample { return h.gate.Sample() }

// Drain refuses new requests at once and waits for those in flight. The server's Shutdown comes after it, since an
// answer's last bytes are written after its slot was given back.
func (h *Handler) Drain(ctx context.Context) error { return h.gate.Drain(ctx) }

// BeginDrain refuses new requests from its return on. Requests in flight go on.
func (h *Handler) BeginDrain() { h.gate.BeginDrain() }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.applyLimits()
	if refused := h.serve(w, r); refused != nil {
		h.refuse(w, r, refused)
	}
}

// serve returns a failure that is to be answered, or nil when an answer was sent.
func (h *Handler) serve(w http.ResponseWriter, r *http.Request) *failure.Error {
	body := newRequestBody(w, r)
	defer body.finish(w.Header())
	in, refused := h.parse(r)
	if refused != nil {
		return refused
	}
	recorded, refused := h.ledger.Begin(in.call)
	if refused != nil {
		return refused
	}
	return newExchange(h, w, r, in, recorded, body).run()
}

// votes are what the service's members found about their targets.
func (h *Handler) votes(snapshot *cluster.Snapshot) []int {
	var votes []int
	for _, member := range snapshot.Members[h.config.Self.Service] {
		votes = append(votes, member.FullSpeed)
	}
	return votes
}

// shareFullSpeed reports a new finding about the target.
func (h *Handler) shareFullSpeed() {
	if h.config.OnFullSpeed == nil {
		return
	}
	if requests, found := h.gate.Decided(); found {
		h.config.OnFullSpeed(requests)
	}
}

// applyLimits takes over changed limits of the service list.
func (h *Handler) applyLimits() {
	snapshot := h.config.View.Load()
	if h.seen.Swap(snapshot) != snapshot {
		h.gate.SetAgreed(admission.Agreed(h.votes(snapshot)))
	}
	service := snapshot.Service(h.config.Self.Service)
	known := h.service.Load()
	if service == nil || service == known || !h.service.CompareAndSwap(known, service) {
		return
	}
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
	h.gate.SetLimits(admission.Limits{Slots: slots, Queue: limits.Queue})
	old := h.target.Load()
	if old.connections == connections {
		return
	}
	h.target.Store(newTarget(h.config.TargetAddr, h.guard.Dial, connections))
	old.transport.CloseIdleConnections()
}

// refuse answers with a failure.
func (h *Handler) refuse(w http.ResponseWriter, r *http.Request, failed *failure.Error) {
	h.config.Metrics.Refused(role, failed.Reason)
	h.logRefusal(r, failed)
	h.addSample(w.Header(), r)
	if failed.Reason == failure.WrongIncarnation {
		w.Header().Set(wire.CurrentMember, h.config.Self.ID)
	}
	WriteRefusal(w, failed)
}

// WriteRefusal answers another node's forwarded request with a failure.
func WriteRefusal(w http.ResponseWriter, failed *failure.Error) {
	header := w.Header()
	header.Set(wire.Reason, string(failed.Reason))
	header.Set(wire.Outcome, string(failed.Outcome))
	header.Set("Content-Type", "text/plain; charset=utf-8")
	if failed.RetryAfter > 0 {
		header.Set(wire.RetryAfterMS, strconv.FormatInt(failed.RetryAfter.Milliseconds(), 10))
	}
	w.WriteHeader(failed.Status())
	_, _ = w.Write([]byte(failed.Detail + "\n")) // the entry node may have gone away
}

// addSample adds the load sample to an answer when the budget of measuring has room for it.
func (h *Handler) addSample(header http.Header, r *http.Request) {
	if h.config.MaySample == nil || h.config.MaySample(r.Header.Get(wire.Link) != "") {
		header.Set(wire.Load, h.gate.Sample().String())
	}
}
