package quarantine

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/acacialock/acacialock/internal/cluster"
	"github.com/acacialock/acacialock/internal/failure"
	"github.com/acacialock/acacialock/internal/rpc"
	"github.com/acacialock/acacialock/internal/telemetry"
	"github.com/acacialock/acacialock/internal/timing"
)

const (
	// isolationWait limits how long a suspect waits until it may run in isolation.
	isolationWait = time.Second
	// isolationPollInterval is the time between two attempts to isolate a suspect.
	isolationPollInterval = 20 * time.Millisecond
	// maxWaitingSuspects limits the number of waiting suspects, each with up to MaxBodyPrefix bytes in memory.
	maxWaitingSuspects = 32
	// permitMargin is added to the remaining time of a request when a permit is requested. It covers the wait for a slot
	// and the sharing of suspects.
	permitMargin = 3 * time.Second
)

// Peers communicates with the other nodes of the service.
type Peers interface {
	// Share sends suspects to all of them. It returns when all have responded or after a short timeout.
	Share(ctx context.Context, suspects []*rpc.Suspect)
	// FetchSuspects returns the suspects known to some of them.
	FetchSuspects(ctx context.Context) []*rpc.Suspect
	// Permit sends a permit request to a coordinator.
	Permit(ctx context.Context, coordinator cluster.Member, request *rpc.PermitRequest) (*rpc.PermitResponse, error)
}

// Config configures a Guard.
type Config struct {
	Self       cluster.Member
	View       *cluster.View
	TargetAddr string
	Peers      Peers // nil: there are no other nodes
	Metrics    *telemetry.Registry
}

// Guard admits the requests to one target and tracks them until their end. It is safe for concurrent use.
type Guard struct {
	config          Config
	store           *Store
	monitor         *monitor
	isolating       atomic.Bool // a suspect runs in isolation at this node, or is about to
	waitingSuspects atomic.Int32
}

// NewGuard returns a guard without suspects.
func NewGuard(config Config) *Guard {
	return &Guard{
		config:  config,
		store:   NewStore(config.Self.ID, time.Now),
		monitor: newMonitor(config.TargetAddr),
	}
}

// FetchSuspects merges the suspects known to other nodes. A node calls it at its start, once it knows members of its
// service.
func (g *Guard) FetchSuspects(ctx context.Context) {
	if g.config.Peers != nil {
		g.store.Merge(g.config.Peers.FetchSuspects(ctx))
	}
}

// Close closes the sentinel connection to the target.
func (g *Guard) Close() { g.monitor.sentinel.close() }

// Store returns the store of the suspects known to this node.
func (g *Guard) Store() *Store { return g.store }

// Dial opens a connection to the target, a *Conn. The network and address arguments are ignored.
func (g *Guard) Dial(ctx context.Context, _, _ string) (net.Conn, error) { return g.monitor.dial(ctx) }

// Body provides the start of a request body.
type Body interface {
	// Prefix reads up to MaxBodyPrefix bytes and buffers them, so that they are still sent to the target.
	Prefix() ([]byte, error)
}

// Pass is the permission for one request to run. Release must be called.
type Pass struct {
	guard    *Guard
	isolated bool
	matched  []Fingerprint
	revision uint64 // of the store, before the verdict was reached
}

// Isolated reports whether the request must be the only one at the target while it runs.
func (p *Pass) Isolated() bool { return p.isolated }

// Admit returns a pass for a request. The error is quarantined for a request that crashed targets before, queue-full
// for a suspect that could not run in isolation in time, or caller-gone if the body could not be read or the caller
// disconnected. Its outcome is not-run.
func (g *Guard) Admit(ctx context.Context, deadline time.Time, digest *Digest, body Body) (*Pass, *failure.Error) {
	pass := &Pass{guard: g, revision: g.store.Revision()}
	if !g.store.hasSuspect(digest.head) {
		return pass, nil
	}
	defer g.waitingSuspects.Add(-1)
	if g.waitingSuspects.Add(1) > maxWaitingSuspects {
		return nil, isolationFailure()
	}
	prefix, err := body.Prefix()
	if err != nil {
		return nil, failure.Wrap(err, failure.CallerGone, failure.NotRun, "the body could not be read")
	}
	return g.awaitIsolation(ctx, deadline, pass, digest.head, prefix)
}

// StillValid reports whether the verdict still holds after a wait. If not, the pass must be released and the request
// admitted again.
func (p *Pass) StillValid(digest *Digest, body Body) bool {
	store := p.guard.store
	if store.Revision() == p.revision || !store.hasSuspect(digest.head) {
		return true
	}
	prefix, err := body.Prefix()
	if err != nil {
		return false
	}
	verdict, _ := store.evaluate(digest.head, prefix)
	return verdict == Unrestricted || verdict == Isolated && p.isolated
}

// awaitIsolation waits up to isolationWait until the request is no longer a suspect or may run in isolation.
func (g *Guard) awaitIsolation(
	ctx context.Context, deadline time.Time, pass *Pass, head Head, prefix []byte,
) (*Pass, *failure.Error) {
	for giveUpAt := time.Now().Add(isolationWait); ; {
		pass.revision = g.store.Revision()
		verdict, matched := g.store.evaluate(head, prefix)
		switch verdict {
		case Unrestricted:
			return pass, nil
		case Refused:
			return nil, quarantinedFailure()
		}
		granted, refused := g.isolate(ctx, matched[0], deadline)
		switch {
		case refused:
			return nil, quarantinedFailure()
		case granted:
			pass.isolated, pass.matched = true, matched
			return pass, nil
		case time.Now().After(giveUpAt):
			return nil, isolationFailure()
		}
		if err := timing.Sleep(ctx, isolationPollInterval); err != nil {
			return nil, failure.Wrap(err, failure.CallerGone, failure.NotRun, "the caller left")
		}
	}
}

func quarantinedFailure() *failure.Error {
	failed := failure.New(failure.Quarantined, failure.NotRun, "the request was running when targets crashed")
	failed.RetryAfter = Duration
	return failed
}

func isolationFailure() *failure.Error {
	return failure.New(failure.QueueFull, failure.NotRun, "a suspect of a crash did not get its turn to run alone")
}

// isolate acquires the right to run the only isolated request of this node, then a permit from the coordinator. refused
// reports that the request is quarantined.
func (g *Guard) isolate(ctx context.Context, fingerprint Fingerprint, deadline time.Time) (granted, refused bool) {
	if !g.isolating.CompareAndSwap(false, true) {
		return false, false
	}
	response := g.requestPermit(ctx, fingerprint, time.Until(deadline)+permitMargin)
	if !response.GetGranted() {
		g.isolating.Store(false)
	}
	return response.GetGranted(), response.GetRefused()
}

// Release releases the permit at the coordinator, if the request has one. It must be called after the end of the
// request, and after TrackedRequest.Finish if the request was tracked.
func (p *Pass) Release(ctx context.Context) {
	if !p.isolated {
		return
	}
	p.guard.requestPermit(ctx, p.matched[0], 0)
	p.guard.isolating.Store(false)
}

// requestPermit requests a permit from the coordinator, or releases it if valid is 0.
func (g *Guard) requestPermit(ctx context.Context, fingerprint Fingerprint, valid time.Duration) *rpc.PermitResponse {
	request := &rpc.PermitRequest{
		Service:     g.config.Self.Service,
		Fingerprint: fingerprint[:],
		Requester:   g.config.Self.ID,
		ValidMs:     uint32(max(0, min(valid, MaxPermitDuration)).Milliseconds()),
		Ended:       valid <= 0,
	}
	members := g.config.View.Load().Members[g.config.Self.Service]
	chosen := coordinator(members, g.config.Self, fingerprint)
	if chosen.ID == g.config.Self.ID || g.config.Peers == nil {
		return g.store.Permit(request)
	}
	response, err := g.config.Peers.Permit(context.WithoutCancel(ctx), chosen, request)
	if err != nil {
		klog.V(1).InfoS("no answer about a permit", "coordinator", chosen.ID, "err", err)
		return &rpc.PermitResponse{}
	}
	return response
}

// recordCrash records the requests of a crash as suspects and shares them with the other nodes.
func (g *Guard) recordCrash(ctx context.Context, requests []*TrackedRequest) {
	var fingerprints []Fingerprint
	for _, tracked := range requests {
		// A fingerprint taken before the first block of the body matches all requests with the same path. Recording it
		// blocked an entire route after two crashes that the request did not cause (seed 17 of the soak).
		if fingerprint := tracked.fingerprint(); !fingerprint.matchesAnyBody() {
			fingerprints = append(fingerprints, fingerprint)
		}
	}
	suspects := g.store.RecordCrash(fingerprints)
	g.config.Metrics.Counter("quarantine.crashes").Inc(1)
	klog.InfoS("target died", "requests", len(requests), "suspects", len(suspects))
	g.shareSuspects(ctx, suspects)
}

// clearSuspects removes suspects that completed in isolation, here and at the other nodes.
func (g *Guard) clearSuspects(ctx context.Context, fingerprints []Fingerprint) {
	g.config.Metrics.Counter("quarantine.cleared").Inc(1)
	g.shareSuspects(ctx, g.store.Clear(fingerprints))
}

func (g *Guard) shareSuspects(ctx context.Context, suspects []*rpc.Suspect) {
	if g.config.Peers != nil {
		g.config.Peers.Share(context.WithoutCancel(ctx), suspects)
	}
}
