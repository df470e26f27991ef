package node

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/twitchtv/twirp"
	"k8s.io/klog/v2"

	"github.com/acacialock/acacialock/internal/cluster"
	"github.com/acacialock/acacialock/internal/failure"
	"github.com/acacialock/acacialock/internal/inbound"
	"github.com/acacialock/acacialock/internal/membership"
	"github.com/acacialock/acacialock/internal/rpc"
)

// readAheadBytes is the response size up to which both nodes on its way read the whole body before they pass it on. The
// largest usual responses have 30 KB.
const readAheadBytes = 128 << 10

// localTarget holds the handlers of the target's current boot and of the one before, whose attempts other nodes may
// still query. It implements Registrar, http.Handler for forwarded requests, and the RPC services for the target.
type localTarget struct {
	node *Node

	mu            sync.Mutex // held while a check-in or departure is applied
	state         targetState
	pending       *CheckIn // check-in of the current boot that was applied last before the members were loaded
	membersLoaded bool
	fullSpeed     int // see cluster.Member; 0: unknown
	bootCount     int // number of handlers started by this process

	current  atomic.Pointer[boot]
	previous atomic.Pointer[boot]
}

// boot is one start of the target and the handler that serves it.
type boot struct {
	member  cluster.Member
	handler *inbound.Handler
	// resumed is true while the boot is known only from the row that an earlier process stored. Guarded by the mutex of
	// localTarget.
	resumed bool
}

// CheckIn implements Registrar.
func (t *localTarget) CheckIn(checkIn CheckIn) error {
	set := t.node.settings
	if checkIn.Service != set.Service {
		return &CheckInError{Field: "service", Value: checkIn.Service, Want: set.Service}
	}
	if checkIn.Addr != set.TargetAddr {
		return &CheckInError{Field: "address", Value: checkIn.Addr, Want: set.TargetAddr}
	}
	if t.handleCheckIn(&checkIn) {
		t.waitForStoredRow()
	}
	return nil
}

// drainStoreTimeout is the longest time for which the acknowledgement of a drain waits until the row is stored. If the node is
// killed, the next process reads the drain from that row. A healthy store answers within 20 ms.
const drainStoreTimeout = 300 * time.Millisecond

// waitForStoredRow waits until the row that announces a drain is stored, for drainStoreTimeout at most.
func (t *localTarget) waitForStoredRow() {
	for end := time.Now().Add(drainStoreTimeout); !t.node.directory.OwnRowStored() && time.Now().Before(end); {
		time.Sleep(drainStoreTimeout / 100)
	}
}

// handleCheckIn applies a check-in and reports whether the target began to drain with it. Before the members are loaded
// it updates the state only; restore starts the boot.
func (t *localTarget) handleCheckIn(checkIn *CheckIn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.membersLoaded {
		t.state.applyCheckIn(checkIn, time.Now())
		accepted := t.state.boot() == checkIn.boot() && t.state.sequence == checkIn.Sequence
		if accepted {
			t.pending = checkIn
		}
		klog.InfoS("check-in before the members are loaded", "target", checkIn.TargetID, "born", checkIn.StartedAt,
			"sequence", checkIn.Sequence, "draining", checkIn.Draining, "accepted", accepted, "gone", t.state.departed)
		return false
	}
	wasDraining := t.state.draining
	t.applyCheckIn(checkIn)
	return t.state.draining && !wasDraining
}

// Deregister implements Registrar.
func (t *localTarget) Deregister(targetID string, startedAt int64) {
	if t.handleDeparture(targetID, startedAt) {
		t.waitForStoredRow()
	}
}

// handleDeparture applies a departure and reports whether it concerns the current boot.
func (t *localTarget) handleDeparture(targetID string, startedAt int64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.state.applyDeparture(targetID, startedAt, time.Now()) {
		klog.InfoS("departure of an unknown target", "target", targetID, "born", startedAt, "known", t.state.targetID,
			"known_born", t.state.startedAt, "members_loaded", t.membersLoaded)
		return false
	}
	klog.InfoS("target left", "target", targetID, "born", t.state.startedAt, "members_loaded", t.membersLoaded)
	if !t.membersLoaded {
		return false
	}
	t.beginDrain()
	t.publishRow()
	return true
}

// recordLeaving drains the target after it stated on a response that it leaves, whether or not a check-in says so.
func (t *localTarget) recordLeaving(boot bootID, source string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if boot != (bootID{t.state.targetID, t.state.startedAt}) || !t.state.applyLeaving(time.Now()) {
		return
	}
	klog.InfoS("target states that it leaves", "target", boot.targetID, "born", boot.startedAt, "source", source)
	t.node.metrics.Counter("target.leaving").Inc(1)
	t.beginDrain()
	t.publishRow()
}

// checkWithdrawal serves the target again if its health path shows that it serves and no longer states that it leaves. A
// target without a health path shows it by the response to its next request.
func (t *localTarget) checkWithdrawal(checkIn *CheckIn) {
	report, serving := t.checkServing(context.Background(), checkIn.TargetID)
	if service := t.node.view.Load().Service(t.node.settings.Service); service != nil && service.HealthPath == "" {
		serving = true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if checkIn.TargetID != t.state.targetID || checkIn.StartedAt != t.state.startedAt || !t.state.mayHaveWithdrawn(time.Now()) {
		return
	}
	if !serving {
		t.state.leavingHeardAt = time.Now() // asked again after leavingWithdrawalDelay
		return
	}
	klog.InfoS("target no longer states that it leaves", "target", checkIn.TargetID, "born", checkIn.StartedAt)
	t.state.leaving = false
	t.startBoot(checkIn)
	t.current.Load().handler.ApplyServing(report)
	t.publishRow()
}

// applyOtherReport applies a report that came in response to a request for an earlier target of the same address.
func (t *localTarget) applyOtherReport(report inbound.TargetReport) {
	t.mu.Lock()
	current, known := t.current.Load(), t.state.targetID == report.TargetID
	t.mu.Unlock()
	if current != nil && known {
		current.handler.ApplyResponse(report)
	}
}

// dropResumedBoot stops serving a resumed boot after another target responded at its address. The next check-in
// identifies that target.
func (t *localTarget) dropResumedBoot(targetID string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	current := t.current.Load()
	if current == nil || !current.resumed || t.state.targetID != targetID {
		return
	}
	klog.InfoS("resumed target is gone", "target", targetID)
	current.handler.BeginDrain()
	t.current.Store(nil)
}

// applyCheckIn applies a check-in to the state and starts or drains a boot accordingly. t.mu must be held.
func (t *localTarget) applyCheckIn(checkIn *CheckIn) {
	changed := t.state.applyCheckIn(checkIn, time.Now())
	if current := t.current.Load(); current != nil && changed != changeNewBoot && checkIn.TargetID == t.state.targetID {
		current.resumed = false
		if t.state.boot() == checkIn.boot() && t.state.sequence == checkIn.Sequence {
			current.handler.ApplyAnnouncement(checkIn.RemainingWarmUp)
		}
	}
	notServed := t.current.Load() == nil && !t.state.departed && t.state.boot() == checkIn.boot()
	switch {
	case changed != changeNewBoot && notServed && t.state.needsConfirmation():
		klog.InfoS("target of an earlier process checks in", "target", checkIn.TargetID, "born", checkIn.StartedAt, "sequence", checkIn.Sequence)
		go t.startIfServing(context.Background(), checkIn) // ends after resumeTimeout
		return
	case changed == changeNewBoot || notServed:
		t.startBoot(checkIn)
	case changed == changeNone && checkIn.TargetID == t.state.targetID && t.state.mayHaveWithdrawn(time.Now()):
		go t.checkWithdrawal(checkIn)
		return
	case changed == changeDraining:
		klog.InfoS("target drains", "target", t.state.targetID, "sequence", checkIn.Sequence)
		t.beginDrain()
	default:
		return
	}
	t.publishRow()
}

// startBoot starts the handler of a new boot of the target. t.mu must be held.
func (t *localTarget) startBoot(checkIn *CheckIn) {
	t.bootCount++
	member := t.node.self
	member.ID += "." + strconv.Itoa(t.bootCount)
	next := &boot{member: member, handler: t.node.newHandler(member, checkIn)}
	klog.InfoS("target serves", "member", member.ID, "target", t.state.targetID, "born", t.state.startedAt,
		"slots", checkIn.Slots, "draining", t.state.isDraining(), "cold", checkIn.RemainingWarmUp)
	if t.state.isDraining() {
		next.handler.BeginDrain()
	}
	go next.handler.FetchSuspects(context.Background()) // queries other nodes for a short time; see quarantine.NewPeers
	old := t.current.Swap(next)
	if old != nil {
		old.handler.EndBoot()
		if older := t.previous.Swap(old); older != nil {
			older.handler.Close()
		}
	}
}

// beginDrain stops sending new requests to the target. t.mu must be held.
func (t *localTarget) beginDrain() {
	if current := t.current.Load(); current != nil {
		current.handler.BeginDrain()
	}
}

// setFullSpeed publishes the number of concurrent requests up to which the target does not slow down.
func (t *localTarget) setFullSpeed(requests int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	klog.InfoS("target's load at full speed found", "target", t.state.targetID, "requests", requests)
	t.fullSpeed = requests
	t.publishRow()
}

// publishRow publishes the target's state to the other nodes. t.mu must be held.
func (t *localTarget) publishRow() {
	member := t.node.self
	if current := t.current.Load(); current != nil {
		member = current.member
	}
	member.Draining = t.state.isDraining()
	member.FullSpeed = t.fullSpeed
	t.node.directory.Announce(membership.Row{
		Member:   member,
		Target:   membership.TargetStart{ID: t.state.targetID, StartedAt: t.state.startedAt, Sequence: t.state.sequence, Slots: t.state.slots},
		Departed: t.state.departed,
		Leaving:  t.state.leaving && !t.state.draining,
	})
}

// paceAge returns the age of the last pace reading from the target, or -1 ms if there is none.
func (t *localTarget) paceAge() time.Duration {
	if current := t.current.Load(); current != nil {
		return current.handler.PaceAge()
	}
	return -time.Millisecond
}

// departed reports whether the target has left permanently.
func (t *localTarget) departed() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state.departed
}

// stopServing drains the target because the node is shutting down.
func (t *localTarget) stopServing() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.beginDrain()
}

func (t *localTarget) close() {
	for _, b := range []*boot{t.current.Load(), t.previous.Load()} {
		if b != nil {
			b.handler.Close()
		}
	}
}

// ServeHTTP passes a forwarded request to the handler of the current boot.
func (t *localTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	current := t.current.Load()
	if current == nil {
		refused := failure.New(failure.NoLocalTarget, failure.NotRun, "the target has not announced itself")
		inbound.WriteRefusal(w, refused)
		t.node.metrics.CountRefusal("target", refused.Reason)
		return
	}
	current.handler.ServeHTTP(w, r)
}

// handlerFor returns the handler of the boot with the given member id, or nil.
func (t *localTarget) handlerFor(memberID string) *inbound.Handler {
	for _, b := range []*boot{t.current.Load(), t.previous.Load()} {
		if b != nil && b.member.ID == memberID {
			return b.handler
		}
	}
	return nil
}

// Fence implements rpc.Attempts. Attempts for a member id that this process never used are unknown.
func (t *localTarget) Fence(ctx context.Context, request *rpc.FenceRequest) (*rpc.FenceResponse, error) {
	handler := t.handlerFor(request.GetMemberId())
	if handler == nil {
		return &rpc.FenceResponse{State: rpc.AttemptState_ATTEMPT_UNKNOWN}, nil
	}
	return handler.Fence(ctx, request)
}

// FetchAnswer implements rpc.Attempts.
func (t *localTarget) FetchAnswer(ctx context.Context, request *rpc.FetchAnswerRequest) (*rpc.FetchAnswerResponse, error) {
	handler := t.handlerFor(request.GetMemberId())
	if handler == nil {
		return &rpc.FetchAnswerResponse{State: rpc.AttemptState_ATTEMPT_UNKNOWN}, nil
	}
	return handler.FetchAnswer(ctx, request)
}

var errNoTarget = twirp.Unavailable.Error("the target has not announced itself")

// Probe implements rpc.Load.
func (t *localTarget) Probe(ctx context.Context, request *rpc.ProbeRequest) (*rpc.ProbeResponse, error) {
	if current := t.current.Load(); current != nil {
		return current.handler.Probe(ctx, request)
	}
	return nil, errNoTarget
}

// Share implements rpc.Quarantine.
func (t *localTarget) Share(ctx context.Context, request *rpc.ShareRequest) (*rpc.ShareResponse, error) {
	if current := t.current.Load(); current != nil {
		return current.handler.Share(ctx, request)
	}
	return nil, errNoTarget
}

// Permit implements rpc.Quarantine.
func (t *localTarget) Permit(ctx context.Context, request *rpc.PermitRequest) (*rpc.PermitResponse, error) {
	if current := t.current.Load(); current != nil {
		return current.handler.Permit(ctx, request)
	}
	return nil, errNoTarget
}
