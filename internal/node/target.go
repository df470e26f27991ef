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

// readAheadBytes is the size up to which answers are checked whole before they are passed on. The largest usual answers
// have 30 KB.
const readAheadBytes = 128 << 10

// localTarget holds the handler of the target's present boot and of the one before, whose attempts may still be asked
// for. It implements Registrar and the inner services of the target's side.
type localTarget struct {
	node *Node

	mu        sync.Mutex // held while an announcement is applied
	state     targetState
	pending   *CheckIn // newest check-in that came before the members were loaded
	loaded    bool
	fullSpeed int // see cluster.Member; 0: not known
	boots     int // handlers started by this process

	current  atomic.Pointer[boot]
	previous atomic.Pointer[boot]
}

// boot is one start of the target as this process serves it.
type boot struct {
	member  cluster.Member
	handler *inbound.Handler
	// resumed tells that the boot is known from the row of an earlier process only. The mutex of localTarget guards it.
	resumed bool
}

// CheckIn implements Registrar.
func (t *localTarget) CheckIn(announced CheckIn) error {
	set := t.node.settings
	if announced.Service != set.Service {
		return &CheckInError{Field: "service", Value: announced.Service, Want: set.Service}
	}
	if announced.Addr != set.TargetAddr {
		return &CheckInError{Field: "address", Value: announced.Addr, Want: set.TargetAddr}
	}
	if t.take(&announced) {
		t.awaitStored()
	}
	return nil
}

// awaitStored waits until the row that says of a drain is stored, for a short time at most.
func (t *localTarget) awaitStored() {
	for end := time.Now().Add(drainStored); !t.node.directory.Announced() && time.Now().Before(end); {
		time.Sleep(drainStored / 100)
	}
}

// take applies a check-in and reports whether it began a drain.
func (t *localTarget) take(announced *CheckIn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.loaded {
		if t.pending == nil || announced.Born > t.pending.Born || announced.Sequence > t.pending.Sequence {
			t.pending = announced
		}
		return false
	}
	drained := t.state.draining
	t.apply(announced)
	return t.state.draining && !drained
}

// Leave implements Registrar.
func (t *localTarget) Leave(id string, born int64) {
	if t.takeLeave(id, born) {
		t.awaitStored()
	}
}

// takeLeave applies a departure and reports whether it concerns the known boot.
func (t *localTarget) takeLeave(id string, born int64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.pending != nil && t.pending.TargetID == id {
		t.pending.Draining = true
	}
	if !t.state.leave(id, born, time.Now()) {
		klog.InfoS("departure of an unknown target", "target", id, "born", born, "known", t.state.id)
		return false
	}
	klog.InfoS("target left", "target", id, "born", t.state.born)
	t.drain()
	t.announce()
	return true
}

// load starts the use of check-ins, with what an earlier process of this node knew.
func (t *localTarget) load(earlier membership.Row) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.state.id == "" && earlier.Target.ID != "" {
		t.state = targetState{
			id:       earlier.Target.ID,
			born:     earlier.Target.Born,
			sequence: earlier.Target.Sequence,
			slots:    earlier.Target.Slots,
			draining: earlier.Member.Draining,
			gone:     earlier.Gone,
			heard:    time.Now(),
		}
	}
	t.fullSpeed = earlier.Member.FullSpeed
	t.loaded = true
	if t.pending != nil {
		t.apply(t.pending)
		t.pending = nil
	}
}

const (
	// resumeTimeout bounds the question to the target's health path after a start.
	resumeTimeout = 200 * time.Millisecond
	// drainStored is the longest time for which the acknowledgement of a drain waits for the row. With the row, a process that
	// is started after a kill knows the drain; a store that answers does so within 20 ms.
	drainStored = 300 * time.Millisecond
)

// resume serves the target that an earlier process of this node served, which goes on while the node restarts. Waiting for
// its next check-in, up to 1.5 s, left all requests without a target after many nodes were killed at once. The earlier
// process may have acknowledged a drain that its row does not show, so the target's health path must say that it serves.
// Each request names the target, so that one which has replaced it refuses.
func (t *localTarget) resume(ctx context.Context, earlier membership.Row) {
	if earlier.Target.ID == "" || earlier.Gone || earlier.Member.Draining || earlier.Target.Slots == 0 ||
		earlier.Member.Service != t.node.settings.Service || !t.serves(ctx, earlier.Target.ID) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.current.Load() != nil || t.state.id != earlier.Target.ID || t.state.born != earlier.Target.Born || t.state.draining {
		return // a check-in came first
	}
	t.start(&CheckIn{TargetID: t.state.id, Born: t.state.born, Slots: t.state.slots})
	t.current.Load().resumed = true
	t.announce()
}

// serves asks the target whether it is that one and goes on to serve.
func (t *localTarget) serves(ctx context.Context, id string) bool {
	service := t.node.view.Load().Service(t.node.settings.Service)
	if service == nil || service.HealthPath == "" {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, resumeTimeout)
	defer cancel()
	answer, err := inbound.AskHealth(ctx, &http.Transport{DisableKeepAlives: true}, t.node.settings.TargetAddr, service.HealthPath)
	if err != nil {
		klog.InfoS("target not resumed", "target", id, "err", err.Error())
		return false
	}
	if !t.node.platform.Serves(answer, id) {
		klog.InfoS("target not resumed", "target", id, "status", answer.StatusCode)
		return false
	}
	return true
}

// wrongTarget ends the use of a resumed boot: another one answered in its place. The next check-in tells which.
func (t *localTarget) wrongTarget(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	served := t.current.Load()
	if served == nil || !served.resumed || t.state.id != id {
		return
	}
	klog.InfoS("resumed target is gone", "target", id)
	served.handler.BeginDrain()
	t.current.Store(nil)
}

// apply acts on a check-in. The mutex is held.
func (t *localTarget) apply(announced *CheckIn) {
	changed := t.state.apply(announced, time.Now())
	if served := t.current.Load(); served != nil && changed != changeBoot && announced.TargetID == t.state.id {
		served.resumed = false
	}
	unserved := t.current.Load() == nil && !t.state.gone && t.state.id == announced.TargetID
	switch {
	case changed == changeBoot || unserved:
		t.start(announced)
	case changed == changeDrain:
		klog.InfoS("target drains", "target", t.state.id, "sequence", announced.Sequence)
		t.drain()
	default:
		return
	}
	t.announce()
}

// start serves a new boot of the target. The mutex is held.
func (t *localTarget) start(announced *CheckIn) {
	t.boots++
	member := t.node.self
	member.ID += "." + strconv.Itoa(t.boots)
	next := &boot{member: member, handler: t.node.newHandler(member, announced)}
	klog.InfoS("target serves", "member", member.ID, "target", t.state.id, "born", t.state.born,
		"slots", announced.Slots, "draining", t.state.draining, "cold", announced.Cold)
	if t.state.draining {
		next.handler.BeginDrain()
	}
	go next.handler.TakeOverSuspects(context.Background()) // asks for a short time; see quarantine.NewPeers
	old := t.current.Swap(next)
	if old != nil {
		old.handler.BeginDrain()
		if older := t.previous.Swap(old); older != nil {
			older.handler.Close()
		}
	}
}

// drain starts no new request at the target. The mutex is held.
func (t *localTarget) drain() {
	if served := t.current.Load(); served != nil {
		served.handler.BeginDrain()
	}
}

// foundFullSpeed tells the other nodes up to how many requests at once the target does not slow down.
func (t *localTarget) foundFullSpeed(requests int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	klog.InfoS("target's load at full speed found", "target", t.state.id, "requests", requests)
	t.fullSpeed = requests
	t.announce()
}

// announce tells the other nodes. The mutex is held.
func (t *localTarget) announce() {
	member := t.node.self
	if served := t.current.Load(); served != nil {
		member = served.member
	}
	member.Draining = t.state.draining
	member.FullSpeed = t.fullSpeed
	t.node.directory.Announce(membership.Row{
		Member: member,
		Target: membership.TargetBoot{ID: t.state.id, Born: t.state.born, Sequence: t.state.sequence, Slots: t.state.slots},
		Gone:   t.state.gone,
	})
}

// paceAge is the age of the last reading of the target's pace; -1 ms: none.
func (t *localTarget) paceAge() time.Duration {
	if served := t.current.Load(); served != nil {
		return served.handler.PaceAge()
	}
	return -time.Millisecond
}

// left reports whether the target left for good.
func (t *localTarget) left() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state.gone
}

// stop refuses new requests because the node ends.
func (t *localTarget) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.drain()
}

func (t *localTarget) close() {
	for _, one := range []*boot{t.current.Load(), t.previous.Load()} {
		if one != nil {
			one.handler.Close()
		}
	}
}

// ServeHTTP serves a forwarded request.
func (t *localTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	served := t.current.Load()
	if served == nil {
		refused := failure.New(failure.NoLocalTarget, failure.NotRun, "the target has not announced itself")
		inbound.WriteRefusal(w, refused)
		t.node.metrics.Refused("target", refused.Reason)
		return
	}
	served.handler.ServeHTTP(w, r)
}

// byMember returns the handler of the boot with that member id, or nil.
func (t *localTarget) byMember(id string) *inbound.Handler {
	for _, one := range []*boot{t.current.Load(), t.previous.Load()} {
		if one != nil && one.member.ID == id {
			return one.handler
		}
	}
	return nil
}

// Fence implements rpc.Attempts. An attempt for a member that this process never was is unknown.
func (t *localTarget) Fence(ctx context.Context, request *rpc.FenceRequest) (*rpc.FenceResponse, error) {
	handler := t.byMember(request.GetMemberId())
	if handler == nil {
		return &rpc.FenceResponse{State: rpc.AttemptState_ATTEMPT_UNKNOWN}, nil
	}
	return handler.Fence(ctx, request)
}

// FetchAnswer implements rpc.Attempts.
func (t *localTarget) FetchAnswer(ctx context.Context, request *rpc.FetchAnswerRequest) (*rpc.FetchAnswerResponse, error) {
	handler := t.byMember(request.GetMemberId())
	if handler == nil {
		return &rpc.FetchAnswerResponse{State: rpc.AttemptState_ATTEMPT_UNKNOWN}, nil
	}
	return handler.FetchAnswer(ctx, request)
}

var errNoTarget = twirp.Unavailable.Error("the target has not announced itself")

// Probe implements rpc.Load.
func (t *localTarget) Probe(ctx context.Context, request *rpc.ProbeRequest) (*rpc.ProbeResponse, error) {
	if served := t.current.Load(); served != nil {
		return served.handler.Probe(ctx, request)
	}
	return nil, errNoTarget
}

// Share implements rpc.Quarantine.
func (t *localTarget) Share(ctx context.Context, request *rpc.ShareRequest) (*rpc.ShareResponse, error) {
	if served := t.current.Load(); served != nil {
		return served.handler.Share(ctx, request)
	}
	return nil, errNoTarget
}

// Permit implements rpc.Quarantine.
func (t *localTarget) Permit(ctx context.Context, request *rpc.PermitRequest) (*rpc.PermitResponse, error) {
	if served := t.current.Load(); served != nil {
		return served.handler.Permit(ctx, request)
	}
	return nil, errNoTarget
}
