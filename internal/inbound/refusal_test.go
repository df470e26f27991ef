package inbound

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/testing/protocmp"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
	"gotest.tools/v3/poll"

	"github.com/acacialock/acacialock/internal/cluster"
	"github.com/acacialock/acacialock/internal/failure"
	"github.com/acacialock/acacialock/internal/quarantine"
	"github.com/acacialock/acacialock/internal/rpc"
	"github.com/acacialock/acacialock/internal/servicelist"
	"github.com/acacialock/acacialock/internal/telemetry"
	"github.com/acacialock/acacialock/internal/wire"
)

// fakeKeyGate allows keyed attempts to run until the check numbered refuseFrom.
type fakeKeyGate struct {
	checks     atomic.Int64
	refuseFrom int64 // 0: never
}

func (g *fakeKeyGate) Check(_, _, _ string, _ uint64) (time.Time, *failure.Error) {
	if checks := g.checks.Add(1); g.refuseFrom > 0 && checks >= g.refuseFrom {
		return time.Time{}, failure.New(failure.KeyAuthorityLapsed, failure.NotRun, "the authority lapsed")
	}
	return time.UnixMilli(4_000_000_000_000), nil
}

// Guards against running a request that is malformed or meant for another node, service or key owner, and against a
// refusal without its headers.
func TestInvalidRequestsAreRefused(t *testing.T) {
	var runs atomic.Int64
	addr := startTarget(t, func(http.ResponseWriter, *http.Request) { runs.Add(1) })
	node := startNode(t, addr, nil)
	for name, change := range map[string]struct {
		value  string
		reason failure.Reason
	}{
		wire.Service:        {"stock", failure.WrongService},
		wire.Incarnation:    {"node@0", failure.WrongIncarnation},
		wire.AttemptHeader:  {"7", failure.BadRequest},
		wire.TimeoutMS:      {"-1", failure.BadRequest},
		wire.KeyOwner:       {"owner@1", failure.BadIdempotencyKey},
		wire.IdempotencyKey: {"key", failure.BadRequest},
	} {
		// The node does not read the body; the connection must serve the next request or be closed.
		r := node.request(context.Background(), call{method: "POST", path: "/", body: strings.NewReader("lot")})
		r.Header.Set(name, change.value)
		r.GetBody = nil
		response, err := node.client.Transport.RoundTrip(r)
		assert.NilError(t, err)
		_, err = io.Copy(io.Discard, response.Body)
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
		assert.Assert(t, !response.Close)
		assert.Equal(t, response.Header.Get(wire.Reason), string(change.reason))
		assert.Equal(t, response.Header.Get(wire.Outcome), string(failure.NotRun))
		assert.Assert(t, response.Header.Get(wire.Load) != "")
	}
	keyed := node.send(context.Background(), call{method: "POST", path: "/", key: "key"})
	assert.Equal(t, keyed.reason(), failure.KeyOwnerNotReady, "no gate")
	assert.Equal(t, runs.Load(), int64(0))
}

// Guards against an attempt that runs although it was fenced while it was queued or before it arrived, one that runs
// twice, and one that was quarantined while it was queued, and against limits of the service list that are ignored.
func TestQueuedAttemptIsRefused(t *testing.T) {
	var runs atomic.Int64
	entered, release := make(chan struct{}), make(chan struct{})
	addr := startTarget(t, func(http.ResponseWriter, *http.Request) {
		runs.Add(1)
		entered <- struct{}{}
		<-release
	})
	node := startNode(t, addr, nil)
	node.view.Publish(&cluster.Snapshot{List: newServiceList(servicelist.Limits{Slots: 1, Connections: 260, Queue: 2})})
	ctx := context.Background()
	fence := func(id wire.AttemptID) rpc.AttemptState {
		fenced, err := node.Fence(ctx, &rpc.FenceRequest{Attempt: id[:], MemberId: node.self.ID})
		assert.NilError(t, err)
		return fenced.GetState()
	}
	running, queued, late := wire.NewAttemptID(), wire.NewAttemptID(), wire.NewAttemptID()
	var group sync.WaitGroup
	group.Go(func() { node.send(ctx, call{method: "POST", path: "/", attempt: running}) })
	<-entered
	group.Go(func() {
		refused := node.send(ctx, call{method: "POST", path: "/", attempt: queued})
		assert.Check(t, refused.reason() == failure.Fenced && refused.outcome() == failure.NotRun)
	})
	group.Go(func() {
		refused := node.send(ctx, call{method: "POST", path: "/bad", body: strings.NewReader("lot")})
		assert.Check(t, refused.reason() == failure.Quarantined)
	})
	poll.WaitOn(t, func(poll.LogT) poll.Result { return poll.Compare(cmp.Equal(node.LoadSample().Queued, 2)) })
	assert.Equal(t, node.send(ctx, call{method: "POST", path: "/"}).reason(), failure.QueueFull)
	assert.Equal(t, fence(running), rpc.AttemptState_ATTEMPT_RUNNING)
	assert.Equal(t, fence(queued), rpc.AttemptState_ATTEMPT_NOT_RUN)
	assert.Equal(t, fence(late), rpc.AttemptState_ATTEMPT_NOT_RUN)
	digest := quarantine.NewDigest(service, "POST", "/bad")
	digest.Write([]byte("lot"))
	digest.End()
	bad := digest.Fingerprint()
	_, err := node.Share(ctx, &rpc.ShareRequest{Service: service, Suspects: []*rpc.Suspect{
		{Fingerprint: bad[:], Crashes: 2, ExpiresMs: 60000, Origin: "other@1"},
	}})
	assert.NilError(t, err)
	close(release)
	group.Wait()
	again := node.send(ctx, call{method: "POST", path: "/", attempt: running})
	assert.Equal(t, again.reason(), failure.DuplicateAttempt)
	assert.Equal(t, again.outcome(), failure.Done)
	assert.Equal(t, node.send(ctx, call{method: "POST", path: "/", attempt: late}).outcome(), failure.NotRun)
	assert.Equal(t, runs.Load(), int64(1))
}

// Guards against a keyed attempt that runs although the authority lapsed while it waited, and against missing data for
// the handover and for the target.
func TestKeyedAttempt(t *testing.T) {
	var notAfter string
	addr := startTarget(t, func(w http.ResponseWriter, r *http.Request) {
		notAfter = r.Header.Get(wire.NotAfter)
		w.Header().Set("X-Lot", "7")
		w.WriteHeader(http.StatusCreated)
		fmt.Fprint(w, "sewn")
	})
	gate := &fakeKeyGate{refuseFrom: 4} // two checks per attempt: the second attempt is refused at its dispatch
	node := startNode(t, addr, func(c *Config) { c.KeyGate = gate })
	ctx := context.Background()
	done, lapsed := wire.NewAttemptID(), wire.NewAttemptID()
	assert.Equal(t, node.send(ctx, call{method: "POST", path: "/sew?x", key: "k1", attempt: done}).body, "sewn")
	assert.Equal(t, notAfter, strconv.Itoa(4_000_000_000_000))
	refused := node.send(ctx, call{method: "POST", path: "/sew", key: "k2", attempt: lapsed})
	assert.Equal(t, refused.reason(), failure.KeyAuthorityLapsed)

	listed := map[wire.AttemptID]KeyedAttempt{}
	for _, record := range node.KeyedAttempts() {
		record.Age = 0
		listed[record.Attempt] = record
	}
	assert.Equal(t, listed[lapsed].State, rpc.AttemptState_ATTEMPT_NOT_RUN)
	answer := listed[done].Answer
	assert.DeepEqual(t, listed[done], KeyedAttempt{
		Key: "k1", Fingerprint: wire.CallFingerprint("POST", "/sew"), Attempt: done, Owner: "owner@1",
		RosterVersion: 7, State: rpc.AttemptState_ATTEMPT_DONE, Answer: answer,
	}, protocmp.Transform())
	assert.Equal(t, answer.GetStatus(), uint32(http.StatusCreated))
	assert.Equal(t, string(answer.GetBody()), "sewn")
}

// Guards against a drain that aborts a request in flight, admits one after its start, or returns too early.
func TestDrainUnderLoadCompletesRequests(t *testing.T) {
	var inTarget, runs atomic.Int64
	addr := startTarget(t, func(w http.ResponseWriter, r *http.Request) {
		inTarget.Add(1)
		runs.Add(1)
		time.Sleep(3 * time.Millisecond)
		inTarget.Add(-1)
		fmt.Fprint(w, "hello")
	})
	node := startNode(t, addr, nil)
	var answered, drained atomic.Int64
	var group sync.WaitGroup
	for range 12 {
		group.Go(func() {
			for {
				response := node.send(context.Background(), call{method: "POST", path: "/"})
				switch {
				case response.err == nil && response.body == "hello":
					answered.Add(1)
				case response.reason() == failure.QueueFull:
				default:
					assert.Check(t, response.reason() == failure.Draining && response.outcome() == failure.NotRun,
						"%v %v", response.err, response.reason())
					drained.Add(1)
					return
				}
			}
		})
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		return poll.Compare(cmp.Equal(answered.Load() > 100, true))
	})
	assert.NilError(t, node.Drain(context.Background()))
	assert.Equal(t, inTarget.Load(), int64(0))
	group.Wait()
	assert.Equal(t, runs.Load(), answered.Load())
	assert.Equal(t, drained.Load(), int64(12))
	probe, err := node.Probe(context.Background(), &rpc.ProbeRequest{})
	assert.NilError(t, err)
	assert.Assert(t, probe.GetDraining())
}

// Guards against a node that ignores the target's announcement of a drain, or that stops serving because of it.
func TestTargetDrainHint(t *testing.T) {
	addr := startTarget(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/ok" {
			return
		}
		if r.URL.Path == "/leave" {
			w.Header().Set("Connection", "close")
			w.Header().Set(wire.TargetDraining, "1")
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	node := startNode(t, addr, func(c *Config) { c.HealthPath = "/health" })
	get := func(path string) int {
		return node.send(context.Background(), call{method: "GET", path: path, idempotent: true}).StatusCode
	}
	assert.Equal(t, get("/busy"), http.StatusServiceUnavailable)
	assert.Assert(t, node.DrainHint().IsZero())
	assert.Equal(t, get("/leave"), http.StatusServiceUnavailable)
	assert.Assert(t, !node.DrainHint().IsZero())
	first := node.DrainHint()
	ctx, cancel := context.WithCancel(context.Background())
	cancelled := time.AfterFunc(50*time.Millisecond, cancel)
	defer cancelled.Stop()
	node.WatchHealth(ctx)
	assert.Assert(t, node.DrainHint().After(first))
	assert.Assert(t, !node.LoadSample().Draining)
	assert.Equal(t, get("/ok"), http.StatusOK)
}

// Guards against requests that reach a new handler together and are refused as beyond its queue, because one of them was still
// applying the limits of the service: the others met the defaults, 9 slots and a queue of 9.
func TestFirstRequestsMeetTheLimitsOfTheService(t *testing.T) {
	const connections = DefaultConnections + 1
	snapshot := &cluster.Snapshot{List: newServiceList(servicelist.Limits{Slots: 20, Connections: connections, Queue: 9})}
	for range 300 {
		node := New(Config{Self: cluster.Member{ID: "n@1", Service: service}, Metrics: telemetry.New(), View: cluster.NewView(snapshot)})
		var running sync.WaitGroup
		var early atomic.Int64
		for range 8 {
			running.Go(func() {
				node.applyLimits()
				if node.target.Load().connections != connections { // applied after the slots
					early.Add(1)
				}
			})
		}
		running.Wait()
		node.Close()
		assert.Equal(t, early.Load(), int64(0), "requests that met the default limits")
	}
}

// Guards against requests that lose their tenant between the nodes, and so their part under shortage, and against a tenant that
// is not in the list in force and gets a part.
func TestTenantsWeightIsItsRate(t *testing.T) {
	list := newServiceList(servicelist.Limits{Slots: 9, Queue: 9})
	list.Tenants = servicelist.NewTenantSet(nil, []*servicelist.Tenant{{Name: "bank", Rate: 12}})
	node := New(Config{Self: cluster.Member{ID: "n@1", Service: service}, Metrics: telemetry.New(),
		View: cluster.NewView(&cluster.Snapshot{List: list})})
	defer node.Close()
	for name, weight := range map[string]float64{"bank": 12, "unknown": 0, "": 0} {
		request := httptest.NewRequest(http.MethodGet, wire.ForwardPath+"/", nil)
		request.Header.Set(wire.Service, service)
		request.Header.Set(wire.Incarnation, "n@1")
		request.Header.Set(wire.Idempotent, "1")
		request.Header.Set(wire.Attempts, "2")
		if name != "" {
			request.Header.Set(wire.TenantName, name)
		}
		forwarded, refused := node.parse(request)
		assert.Assert(t, refused == nil)
		assert.Equal(t, forwarded.rank.Tenant, name)
		assert.Equal(t, forwarded.rank.TenantWeight, weight)
		assert.Equal(t, forwarded.rank.Sends, 2)
	}
}
