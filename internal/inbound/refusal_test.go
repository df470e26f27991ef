package inbound

import (
	"context"
	"fmt"
	"io"
	"net/http"
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
	"github.com/acacialock/acacialock/internal/wire"
)

// openGate lets every keyed attempt run until the given number of checks was made.
type openGate struct {
	checks   atomic.Int64
	closesAt int64 // 0: never
}

func (g *openGate) Check(_, _, _ string, _ uint64) (time.Time, *failure.Error) {
	if checks := g.checks.Add(1); g.closesAt > 0 && checks >= g.closesAt {
		return time.Time{}, failure.New(failure.KeyAuthorityLapsed, failure.NotRun, "the authority lapsed")
	}
	return time.UnixMilli(4_000_000_000_000), nil
}

// Guards against a request for another node, service or key owner that runs here, and against a refusal without its
// headers.
func TestWrongRequestsAreRefused(t *testing.T) {
	var runs atomic.Int64
	addr := startTarget(t, func(http.ResponseWriter, *http.Request) { runs.Add(1) })
	one := startNode(t, addr, nil)
	for name, change := range map[string]struct {
		value  string
		reason failure.Reason
	}{
		wire.Service:        {"stock", failure.WrongService},
		wire.Incarnation:    {"node@0", failure.WrongIncarnation},
		wire.AttemptHeader:  {"7", failure.BadRequest},
		wire.TimeoutMS:      {"-1", failure.BadRequest},
		wire.KeyOwner:       {"owner@1", failure.BadKey},
		wire.IdempotencyKey: {"key", failure.BadRequest},
	} {
		// The body is not read; the connection must serve the next request, or be closed.
		r := one.request(context.Background(), call{method: "POST", path: "/", body: strings.NewReader("lot")})
		r.Header.Set(name, change.value)
		r.GetBody = nil
		answer, err := one.client.Transport.RoundTrip(r)
		assert.NilError(t, err)
		_, err = io.Copy(io.Discard, answer.Body)
		assert.NilError(t, err)
		assert.NilError(t, answer.Body.Close())
		assert.Assert(t, !answer.Close)
		assert.Equal(t, answer.Header.Get(wire.Reason), string(change.reason))
		assert.Equal(t, answer.Header.Get(wire.Outcome), string(failure.NotRun))
		assert.Assert(t, answer.Header.Get(wire.Load) != "")
	}
	keyed := one.send(context.Background(), call{method: "POST", path: "/", key: "key"})
	assert.Equal(t, keyed.reason(), failure.KeyOwnerNotReady, "no gate")
	assert.Equal(t, runs.Load(), int64(0))
}

// Guards against an attempt that runs after it was fenced while it waited for a slot or on its way, against one that
// runs twice, against one that crashed targets while it waited, and against limits of the list that are not followed.
func TestWaitingAttemptMayBeStopped(t *testing.T) {
	var runs atomic.Int64
	entered, release := make(chan struct{}), make(chan struct{})
	addr := startTarget(t, func(http.ResponseWriter, *http.Request) {
		runs.Add(1)
		entered <- struct{}{}
		<-release
	})
	one := startNode(t, addr, nil)
	one.view.Publish(&cluster.Snapshot{List: newList(servicelist.Limits{Slots: 1, Connections: 260, Queue: 2})})
	ctx := context.Background()
	fence := func(id wire.AttemptID) rpc.AttemptState {
		fenced, err := one.Fence(ctx, &rpc.FenceRequest{Attempt: id[:], MemberId: one.self.ID})
		assert.NilError(t, err)
		return fenced.GetState()
	}
	running, queued, late := wire.NewAttemptID(), wire.NewAttemptID(), wire.NewAttemptID()
	var group sync.WaitGroup
	group.Go(func() { one.send(ctx, call{method: "POST", path: "/", attempt: running}) })
	<-entered
	group.Go(func() {
		refused := one.send(ctx, call{method: "POST", path: "/", attempt: queued})
		assert.Check(t, refused.reason() == failure.Fenced && refused.outcome() == failure.NotRun)
	})
	group.Go(func() {
		refused := one.send(ctx, call{method: "POST", path: "/bad", body: strings.NewReader("lot")})
		assert.Check(t, refused.reason() == failure.Quarantined)
	})
	poll.WaitOn(t, func(poll.LogT) poll.Result { return poll.Compare(cmp.Equal(one.Sample().Queued, 2)) })
	assert.Equal(t, one.send(ctx, call{method: "POST", path: "/"}).reason(), failure.QueueFull)
	assert.Equal(t, fence(running), rpc.AttemptState_ATTEMPT_RUNNING)
	assert.Equal(t, fence(queued), rpc.AttemptState_ATTEMPT_NOT_RUN)
	assert.Equal(t, fence(late), rpc.AttemptState_ATTEMPT_NOT_RUN)
	digest := quarantine.NewDigest(service, "POST", "/bad")
	digest.Write([]byte("lot"))
	digest.End()
	bad := digest.Fingerprint()
	_, err := one.Share(ctx, &rpc.ShareRequest{Service: service, Suspects: []*rpc.Suspect{
		{Fingerprint: bad[:], Crashes: 2, ExpiresMs: 60000, Origin: "other@1"},
	}})
	assert.NilError(t, err)
	close(release)
	group.Wait()
	again := one.send(ctx, call{method: "POST", path: "/", attempt: running})
	assert.Equal(t, again.reason(), failure.DuplicateAttempt)
	assert.Equal(t, again.outcome(), failure.Done)
	assert.Equal(t, one.send(ctx, call{method: "POST", path: "/", attempt: late}).outcome(), failure.NotRun)
	assert.Equal(t, runs.Load(), int64(1))
}

// Guards against a keyed attempt that runs after the authority lapsed while it waited, and against records that lack
// what the handover and the target need.
func TestKeyedAttempt(t *testing.T) {
	var notAfter string
	addr := startTarget(t, func(w http.ResponseWriter, r *http.Request) {
		notAfter = r.Header.Get(wire.NotAfter)
		w.Header().Set("X-Lot", "7")
		w.WriteHeader(http.StatusCreated)
		fmt.Fprint(w, "sewn")
	})
	gate := &openGate{closesAt: 4} // two checks for the first attempt, the last one at the second's dispatch
	one := startNode(t, addr, func(c *Config) { c.Gate = gate })
	ctx := context.Background()
	done, lapsed := wire.NewAttemptID(), wire.NewAttemptID()
	assert.Equal(t, one.send(ctx, call{method: "POST", path: "/sew?x", key: "k1", attempt: done}).body, "sewn")
	assert.Equal(t, notAfter, strconv.Itoa(4_000_000_000_000))
	refused := one.send(ctx, call{method: "POST", path: "/sew", key: "k2", attempt: lapsed})
	assert.Equal(t, refused.reason(), failure.KeyAuthorityLapsed)

	listed := map[wire.AttemptID]KeyedAttempt{}
	for _, record := range one.KeyedAttempts() {
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

// Guards against a drain that cuts a request off, lets one start after it, or reports its end too early.
func TestDrainUnderLoadCutsNothing(t *testing.T) {
	var inTarget, runs atomic.Int64
	addr := startTarget(t, func(w http.ResponseWriter, r *http.Request) {
		inTarget.Add(1)
		runs.Add(1)
		time.Sleep(3 * time.Millisecond)
		inTarget.Add(-1)
		fmt.Fprint(w, "hello")
	})
	one := startNode(t, addr, nil)
	var answered, drained atomic.Int64
	var group sync.WaitGroup
	for range 12 {
		group.Go(func() {
			for {
				answer := one.send(context.Background(), call{method: "POST", path: "/"})
				switch {
				case answer.err == nil && answer.body == "hello":
					answered.Add(1)
				case answer.reason() == failure.QueueFull:
				default:
					assert.Check(t, answer.reason() == failure.Draining && answer.outcome() == failure.NotRun,
						"%v %v", answer.err, answer.reason())
					drained.Add(1)
					return
				}
			}
		})
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		return poll.Compare(cmp.Equal(answered.Load() > 100, true))
	})
	assert.NilError(t, one.Drain(context.Background()))
	assert.Equal(t, inTarget.Load(), int64(0))
	group.Wait()
	assert.Equal(t, runs.Load(), answered.Load())
	assert.Equal(t, drained.Load(), int64(12))
	probe, err := one.Probe(context.Background(), &rpc.ProbeRequest{})
	assert.NilError(t, err)
	assert.Assert(t, probe.GetDraining())
}

// Guards against a target's announcement of a drain that is lost, or taken for more than a hint.
func TestTargetsHintOfDrain(t *testing.T) {
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
	one := startNode(t, addr, func(c *Config) { c.HealthPath = "/health" })
	get := func(path string) int {
		return one.send(context.Background(), call{method: "GET", path: path, idempotent: true}).StatusCode
	}
	assert.Equal(t, get("/busy"), http.StatusServiceUnavailable)
	assert.Assert(t, one.DrainHint().IsZero())
	assert.Equal(t, get("/leave"), http.StatusServiceUnavailable)
	assert.Assert(t, !one.DrainHint().IsZero())
	first := one.DrainHint()
	ctx, cancel := context.WithCancel(context.Background())
	cancelled := time.AfterFunc(50*time.Millisecond, cancel)
	defer cancelled.Stop()
	one.WatchHealth(ctx)
	assert.Assert(t, one.DrainHint().After(first))
	assert.Assert(t, !one.Sample().Draining)
	assert.Equal(t, get("/ok"), http.StatusOK)
}
