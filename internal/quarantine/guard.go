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
	// turnWait bounds the time that a suspect waits for its turn to run alone.
	turnWait = time.Second
	// turnPoll is the time between two attempts to get the turn.
	turnPoll = 20 * time.Millisecond
	// maxWaiting bounds the suspects that wait for their turn, each with up to MaxBody bytes in memory.
	maxWaiting = 32
	// permitMargin is added to the time left of a request for its permit: for the wait for the slot and the share.
	permitMargin = 3 * time.Second
)

// Peers reaches the other nodes of the service.
type Peers interface {
	// Share sends suspects to all of them and returns when they answered, after a short time at the latest.
	Share(ctx context.Context, suspects []*rpc.Suspect)
	// Known asks some of them for their suspects.
	Known(ctx context.Context) []*rpc.Suspect
	// Permit asks a coordinator.
	Permit(ctx context.Context, coordinator cluster.Member, request *rpc.PermitRequest) (*rpc.PermitResponse, error)
}

// Config is what a guard needs.
type Config struct {
	Self       cluster.Member
	View       *cluster.View
	TargetAddr string
	Peers      Peers // nil: this node is the only one
	Metrics    *telemetry.Registry
}

// Guard judges the requests to one target and watches them. Safe for concurrent use.
type Guard struct {
	config  Config
	store   *Store
	monitor *monitor
	turn    atomic.Bool // a suspect runs alone here, or has the permit to
	waiting atomic.Int32
}

// NewGuard returns a guard that knows no suspect.
func NewGuard(config Config) *Guard {
	return &Guard{
		config:  config,
		store:   NewStore(config.Self.ID, time.Now),
		monitor: newMonitor(config.TargetAddr),
	}
}

// TakeOver learns the suspects of other nodes. A node calls it when it starts, once it knows members of its service.
func (g *Guard) TakeOver(ctx context.Context) {
	if g.config.Peers != nil {
		g.store.Merge(g.config.Peers.Known(ctx))
	}
}

// Close ends the watch over the target.
func (g *Guard) Close() { g.monitor.sentinel.close() }

// Store holds the suspects that the node knows.
func (g *Guard) Store() *Store { return g.store }

// Dial opens a watched connection to the target.
func (g *Guard) Dial(ctx context.Context, _, _ string) (net.Conn, error) { return g.monitor.dial(ctx) }

// Body gives the start of a request's body for a verdict.
type Body interface {
	// Prefix reads up to MaxBody bytes and keeps them for the target.
	Prefix() ([]byte, error)
}

// Pass lets a request run. Leave must be called.
type Pass struct {
	guard   *Guard
	alone   bool
	matched []Fingerprint
	changes uint64 // of the store, before the verdict
}

// Alone reports whether no other request may be at the target meanwhile.
func (p *Pass) Alone() bool { return p.alone }

// Judge returns a pass, or quarantined for a request that crashed targets before, or queue-full for a suspect that could
// not get its turn; both are not-run.
func (g *Guard) Judge(ctx context.Context, deadline time.Time, digest *Digest, body Body) (*Pass, *failure.Error) {
	pass := &Pass{guard: g, changes: g.store.Changes()}
	if !g.store.suspected(digest.head) {
		return pass, nil
	}
	defer g.waiting.Add(-1)
	if g.waiting.Add(1) > maxWaiting {
		return nil, noTurn()
	}
	prefix, err := body.Prefix()
	if err != nil {
		return nil, failure.Wrap(err, failure.CallerGone, failure.NotRun, "the body could not be read")
	}
	return g.awaitTurn(ctx, deadline, pass, digest.head, prefix)
}

// Current reports whether the verdict still holds after a wait; when not, the request must be judged again.
func (p *Pass) Current(digest *Digest, body Body) bool {
	store := p.guard.store
	if store.Changes() == p.changes || !store.suspected(digest.head) {
		return true
	}
	prefix, err := body.Prefix()
	if err != nil {
		return false
	}
	verdict, _ := store.judge(digest.head, prefix)
	return verdict == Free || verdict == Alone && p.alone
}

func (g *Guard) awaitTurn(
	ctx context.Context, deadline time.Time, pass *Pass, head Head, prefix []byte,
) (*Pass, *failure.Error) {
	for until := time.Now().Add(turnWait); ; {
		pass.changes = g.store.Changes()
		verdict, matched := g.store.judge(head, prefix)
		switch verdict {
		case Free:
			return pass, nil
		case Refused:
			return nil, quarantined()
		}
		granted, refused := g.takeTurn(ctx, matched[0], deadline)
		switch {
		case refused:
			return nil, quarantined()
		case granted:
			pass.alone, pass.matched = true, matched
			return pass, nil
		case time.Now().After(until):
			return nil, noTurn()
		}
		if err := timing.Sleep(ctx, turnPoll); err != nil {
			return nil, failure.Wrap(err, failure.CallerGone, failure.NotRun, "the caller left")
		}
	}
}

func quarantined() *failure.Error {
	failed := failure.New(failure.Quarantined, failure.NotRun, "the request was running when targets crashed")
	failed.RetryAfter = Duration
	return failed
}

func noTurn() *failure.Error {
	return failure.New(failure.QueueFull, failure.NotRun, "a suspect of a crash did not get its turn to run alone")
}

// takeTurn gets the only turn of this node and then the permit of the coordinator.
func (g *Guard) takeTurn(ctx context.Context, fingerprint Fingerprint, deadline time.Time) (granted, refused bool) {
	if !g.turn.CompareAndSwap(false, true) {
		return false, false
	}
	answer := g.permit(ctx, fingerprint, time.Until(deadline)+permitMargin)
	if !answer.GetGranted() {
		g.turn.Store(false)
	}
	return answer.GetGranted(), answer.GetRefused()
}

// Leave gives the permit back. It is called after the request's end, and after Run.End if it ran.
func (p *Pass) Leave(ctx context.Context) {
	if !p.alone {
		return
	}
	p.guard.permit(ctx, p.matched[0], 0)
	p.guard.turn.Store(false)
}

// permit asks the coordinator for a permit, or gives it back when valid is 0.
func (g *Guard) permit(ctx context.Context, fingerprint Fingerprint, valid time.Duration) *rpc.PermitResponse {
	request := &rpc.PermitRequest{
		Service:     g.config.Self.Service,
		Fingerprint: fingerprint[:],
		Requester:   g.config.Self.ID,
		ValidMs:     uint32(max(0, min(valid, MaxPermit)).Milliseconds()),
		Ended:       valid <= 0,
	}
	members := g.config.View.Load().Members[g.config.Self.Service]
	chosen := coordinator(members, g.config.Self, fingerprint)
	if chosen.ID == g.config.Self.ID || g.config.Peers == nil {
		return g.store.Permit(request)
	}
	answer, err := g.config.Peers.Permit(context.WithoutCancel(ctx), chosen, request)
	if err != nil {
		klog.V(1).InfoS("no answer about a permit", "coordinator", chosen.ID, "err", err)
		return &rpc.PermitResponse{}
	}
	return answer
}

// crashed marks the requests of a crash as suspects and shares them.
func (g *Guard) crashed(ctx context.Context, runs []*Run) {
	var fingerprints []Fingerprint
	for _, run := range runs {
		// A request of whose body nothing was passed on has the fingerprint of all requests with its path: after two crashes
		// that it has no part in, a whole route was refused (seed 17 of the soak).
		if fingerprint := run.fingerprint(); !fingerprint.coversAllBodies() {
			fingerprints = append(fingerprints, fingerprint)
		}
	}
	suspects := g.store.Mark(fingerprints)
	g.config.Metrics.Counter("quarantine.crashes").Inc(1)
	klog.InfoS("target died", "requests", len(runs), "suspects", len(suspects))
	g.share(ctx, suspects)
}

func (g *Guard) clear(ctx context.Context, fingerprints []Fingerprint) {
	g.config.Metrics.Counter("quarantine.cleared").Inc(1)
	g.share(ctx, g.store.Clear(fingerprints))
}

func (g *Guard) share(ctx context.Context, suspects []*rpc.Suspect) {
	if g.config.Peers != nil {
		g.config.Peers.Share(context.WithoutCancel(ctx), suspects)
	}
}
