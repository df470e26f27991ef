package entry

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
	"gotest.tools/v3/poll"

	"github.com/acacialock/acacialock/internal/failure"
	"github.com/acacialock/acacialock/internal/servicelist"
	"github.com/acacialock/acacialock/internal/telemetry"
	"github.com/acacialock/acacialock/internal/wire"
)

// fill sends requests until all slots and the given number of queue places of the node in region r are occupied, and then
// the given number of slots in the other region. The returned function waits for the answers.
func (f *fixture) fill(t *testing.T, arrived <-chan struct{}, queued, otherRegion int) (wait func()) {
	t.Helper()
	const slots = 9
	answers := make(chan error)
	sent := 0
	send := func() {
		sent++
		go func() {
			_, _, err := f.call(http.MethodPost, "/", "", strings.NewReader("x"))
			answers <- err
		}()
	}
	for range slots {
		send()
		<-arrived
	}
	for range queued {
		send()
	}
	time.Sleep(100 * time.Millisecond) // until they are queued at the node
	for range otherRegion {
		send()
		<-arrived
	}
	return func() {
		for range sent {
			assert.NilError(t, <-answers)
		}
	}
}

// Guards against calls that are refused because their region is full while another region has free slots.
func TestRefusedCallsUseFreeSlotsOfOtherRegions(t *testing.T) {
	arrived, release := make(chan struct{}, 64), make(chan struct{})
	f := newFixtureIn(t, []string{"r", "other"}, func(_ http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Order") != "" {
			return
		}
		arrived <- struct{}{}
		<-release
	})
	wait := f.fill(t, arrived, 9, 0)
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		response, _, err := f.call(method, "/", method, strings.NewReader("x"))
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusOK)
		assert.Equal(t, f.runCount(method), int64(1))
	}
	assert.Equal(t, f.metrics.Counter("balance.orders.overflow").Count(), int64(2))
	close(release)
	wait()
}

// Guards against calls that are queued in another region, and against a refusal with the retry-after time of a region that
// the caller's next try does not reach first.
func TestOverflowedCallsAreNotQueued(t *testing.T) {
	arrived, release := make(chan struct{}, 64), make(chan struct{})
	f := newFixtureIn(t, []string{"r", "other"}, func(http.ResponseWriter, *http.Request) {
		arrived <- struct{}{}
		<-release
	})
	wait := f.fill(t, arrived, 9, 9)
	start := time.Now()
	response, _, err := f.call(http.MethodPost, "/", "o", strings.NewReader("x"))
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, response.Header.Get(wire.Reason), string(failure.QueueFull))
	assert.Equal(t, response.Header.Get(wire.Outcome), string(failure.NotRun))
	assert.Assert(t, time.Since(start) < 4*time.Second, "the call waited for its deadline")
	assert.Equal(t, f.runCount("o"), int64(0))
	close(release)
	wait()
}

// ordersRule is a rule for all paths of the service, with a target latency of one second.
func ordersRule() []*servicelist.Rule {
	return []*servicelist.Rule{{
		Name: "buy", Host: "orders", Prefix: "/", Timeout: 5 * time.Second, TargetLatency: time.Second, MaxAttempts: 2,
		Split: []servicelist.Share{{Service: "orders", Weight: 1}},
	}}
}

// Guards against calls that wait behind a backlog in their region while another region has free slots, and against calls
// that are refused although their own region would have queued them: a call that the other region refuses returns home.
func TestCallsLeaveABusyRegionEarly(t *testing.T) {
	for _, full := range []bool{false, true} {
		arrived, release := make(chan struct{}, 64), make(chan struct{})
		f := newFixtureWithRules(t, []string{"r", "other"}, ordersRule(), func(_ http.ResponseWriter, r *http.Request) {
			arrived <- struct{}{}
			if r.Header.Get("X-Order") == "" || full {
				<-release
			}
		})
		otherRegion := 0
		if full {
			otherRegion = 9
		}
		wait := f.fill(t, arrived, 5, otherRegion) // a backlog of half of the slots, rounded up
		overflows := f.metrics.Counter("balance.orders.overflow").Count()
		answered := make(chan int)
		go func() {
			response, _, err := f.call(http.MethodPost, "/", "o", strings.NewReader("x"))
			assert.Check(t, err == nil)
			answered <- response.StatusCode
		}()
		if !full {
			assert.Equal(t, <-answered, http.StatusOK) // while its own region is still occupied
			assert.Equal(t, f.metrics.Counter("balance.orders.overflow").Count(), overflows+1)
		}
		if full {
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				return poll.Compare(cmp.Equal(f.metrics.Counter("balance.orders.overflow").Count(), overflows+1))
			})
		}
		close(release)
		if full {
			assert.Equal(t, <-answered, http.StatusOK)
		}
		assert.Equal(t, f.runCount("o"), int64(1))
		wait()
	}
}

// Guards against an overflow that reaches one target more than the rule allows: a request that a target itself refused has
// reached that target.
func TestOverflowStaysWithinMaxAttempts(t *testing.T) {
	h := New(Config{Metrics: telemetry.New()})
	now := time.Now()
	for _, c := range []struct {
		reason  failure.Reason
		reached int
		want    bool
	}{
		{failure.QueueFull, 0, true},
		{failure.NoLocalTarget, 0, true},
		{failure.QueueFull, 2, false},
		{failure.TargetShed, 1, false},
		{failure.Quarantined, 0, false},
	} {
		call := &call{rule: ordersRule()[0], deadline: now.Add(time.Minute), body: &requestBody{}, reached: c.reached}
		failed := failure.New(c.reason, failure.NotRun, "refused")
		assert.Equal(t, h.allowOverflow(call, result{failed: failed}), c.want, "%+v", c)
	}
}

// Guards against calls that each target sends on because they would wait too long there: the next target must see that it is not
// the first. Moves for other reasons are bounded by maxMoves.
func TestMoveForWaitIsCountedAsSend(t *testing.T) {
	h := New(Config{Metrics: telemetry.New()})
	for reason, want := range map[failure.Reason]int{failure.WaitTooLong: 1, failure.TargetSlow: 0, failure.TargetBusy: 0} {
		c := &call{rule: ordersRule()[0], deadline: time.Now().Add(time.Minute), body: &requestBody{}, sends: 1}
		assert.Assert(t, h.allowMove(c, result{failed: failure.New(reason, failure.NotRun, "refused")}))
		assert.Equal(t, c.sends, want, string(reason))
		assert.Equal(t, c.reached, 0)
	}
}

// Guards against calls that try all full members of a service in a burst: a third one seldom has room, and the sends cost
// processor time that the other calls need. The retry budget limits such sends.
func TestRefusalsByFullQueuesAreCharged(t *testing.T) {
	for _, reason := range []failure.Reason{failure.QueueFull, failure.DeadlineUnreachable, failure.TargetShed} {
		assert.Assert(t, !reachedNoTarget(failure.New(reason, failure.NotRun, "refused")), reason)
	}
	assert.Assert(t, reachedNoTarget(failure.New(failure.NoLocalTarget, failure.NotRun, "refused")))
}
