package admission

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/acacialock/acacialock/internal/failure"
)

// Guards against memory that grows with the tenants and kinds that a target is asked for, and against shares that outlast them.
func TestSharesAreBounded(t *testing.T) {
	var s shares
	now := start
	for i := range 10 * maxShares {
		now = now.Add(time.Millisecond)
		s.refuse(&Request{Tenant: fmt.Sprint("t", i), Kind: fmt.Sprint("k", i)}, now)
		assert.Assert(t, len(s.tenants) <= maxShares && len(s.kinds) <= maxShares)
	}
	s.grant(&Request{Tenant: "last"}, now.Add(time.Minute))
	assert.Equal(t, len(s.tenants), 1)
	assert.Equal(t, len(s.kinds), 0)
}

// Guards against requests without a tenant and tenants without a weight that yield: nothing tells what they are due.
func TestUnknownSharesDoNotYield(t *testing.T) {
	var s shares
	for range 20 {
		s.grant(&Request{}, start)
		s.grant(&Request{Tenant: "unlimited"}, start)
	}
	s.grant(&Request{Tenant: "limited", TenantWeight: 10}, start)
	assert.Assert(t, !s.isOverserved("unlimited", total(s.tenants)))
	assert.Assert(t, !s.isOverserved("", total(s.tenants)))
}

// Guards against a plan by which fewer requests of a priority meet their soft deadlines than in order of these deadlines, and
// against one that counts a slot twice.
func TestPlanServesNoFewerThanDeadlineOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string) time.Duration {
			return time.Duration(rapid.IntRange(1, 400).Draw(t, name)) * time.Millisecond
		}
		var q queue
		for range rapid.IntRange(1, 15).Draw(t, "waiters") {
			q.add(newWaiter(1, draw("soft"), draw("work")))
		}
		free := []time.Duration{draw("free"), draw("free")}
		byDeadline, inOrder := 0, append([]time.Duration{}, free...)
		ordered := append([]*waiter{}, q.waiters...)
		slices.SortFunc(ordered, compareSoftDeadlines)
		for _, w := range ordered {
			if w.occupy(inOrder, start) {
				byDeadline++
			}
		}
		q.plan(nil, append([]time.Duration{}, free...), start)
		plannedInTime := 0
		for _, w := range ordered {
			if w.class == planned {
				end := start.Add(occupySlot(free, w.typicalTime) + w.typicalTime)
				assert.Assert(t, !end.After(w.SoftDeadline))
				plannedInTime++
			}
		}
		assert.Assert(t, plannedInTime >= byDeadline, "%d planned, %d in order of deadlines", plannedInTime, byDeadline)
	})
}

// Guards against a request that is displaced for another one which is late all the same.
func TestPlanDisplacesOnlyIfItHelps(t *testing.T) {
	var q queue
	yields, long := newWaiter(1, 300*ms, 10*ms), newWaiter(1, 310*ms, 250*ms)
	yields.overserved = true
	q.add(yields)
	q.plan(long, []time.Duration{100 * ms}, start)
	assert.Equal(t, yields.class, planned)
	assert.Equal(t, long.class, displaced)
	q.plan(long, []time.Duration{55 * ms}, start)
	assert.Equal(t, yields.class, displaced)
	assert.Equal(t, long.class, planned)
}

// Guards against a full queue whose places one tenant holds: a request of another tenant takes one of them, and the refused
// one is told why and when to come back.
func TestOverservedTenantYieldsItsPlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limiter := New(Limits{Slots: 1, Queue: 2})
		request := func(tenant string) Request {
			now := time.Now()
			return Request{Kind: "k", Tenant: tenant, TenantWeight: 1, SoftDeadline: now.Add(5 * time.Second), Deadline: now.Add(time.Minute)}
		}
		serve := func(tenant string) *failure.Error {
			slot, refusal := limiter.Acquire(context.Background(), request(tenant))
			if refusal != nil {
				return refusal
			}
			time.Sleep(100 * time.Millisecond)
			slot.Release(true)
			return nil
		}
		refusals := make(chan *failure.Error, 12)
		for range 12 { // more than the queue holds, for a while
			go func() { refusals <- serve("large") }()
			time.Sleep(40 * time.Millisecond)
		}
		assert.Assert(t, serve("small") == nil)
		var last *failure.Error
		for range cap(refusals) {
			if refusal := <-refusals; refusal != nil {
				last = refusal
			}
		}
		assert.Equal(t, last.Reason, failure.QueueFull)
		assert.ErrorContains(t, last, `tenant "large" has got more than it is due`)
		assert.Assert(t, last.RetryAfter > 0)
	})
}

// Guards against a request that waits although it will be late and another target may be free; and against one that is sent
// on twice, without another target, or while too many are: each hop costs processor time.
func TestFirstTargetSendsLateRequestsOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limiter := New(Limits{Slots: 1, Queue: 9})
		request := func(sends int, hasAlternative bool) Request {
			now := time.Now()
			return Request{Kind: "k", Sends: sends, HasAlternative: hasAlternative, SoftDeadline: now.Add(110 * ms), Deadline: now.Add(time.Minute)}
		}
		for range 30 { // earn moves and learn the service time
			slot, refusal := limiter.Acquire(context.Background(), request(1, true))
			assert.Assert(t, refusal == nil)
			time.Sleep(100 * ms)
			slot.Release(true)
		}
		busy, refusal := limiter.Acquire(context.Background(), request(1, true))
		assert.Assert(t, refusal == nil)
		for range 3 {
			_, refusal := limiter.Acquire(context.Background(), request(1, true))
			assert.Equal(t, refusal.Reason, failure.WaitTooLong)
			assert.Equal(t, refusal.Outcome, failure.NotRun)
			assert.Assert(t, refusal.RetryAfter > 0)
		}
		waiting := make(chan *failure.Error)
		for _, r := range []Request{request(2, true), request(1, false), request(1, true)} { // the last one exceeds the budget
			go func() {
				slot, refusal := limiter.Acquire(context.Background(), r)
				if slot != nil {
					slot.Release(false)
				}
				waiting <- refusal
			}()
			synctest.Wait()
		}
		assert.Equal(t, limiter.LoadSample().Queued, 3)
		busy.Release(true)
		for range 3 {
			assert.Assert(t, <-waiting == nil)
		}
	})
}

// BenchmarkPlan measures a plan of a full queue beyond the capacity.
func BenchmarkPlan(b *testing.B) {
	var q queue
	for i := range 24 {
		q.add(newWaiter(i%3, time.Duration(100+7*i)*time.Millisecond, time.Duration(20+13*(i%7))*time.Millisecond))
	}
	free := make([]time.Duration, 12)
	for b.Loop() {
		for i := range free {
			free[i] = time.Duration(i) * 20 * time.Millisecond
		}
		q.plan(nil, free, start)
	}
}
