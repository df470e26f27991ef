package admission

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/acacialock/acacialock/internal/failure"
)

const step = time.Millisecond

// request is one drawn request; times are in steps. Requests arrive at different times.
type request struct {
	arrives, service, deadline, leaves int
	alone                              bool
}

// plan is a drawn run: the limits change and the drain begins at the given steps; 0 for never.
type plan struct {
	before, after      Limits
	changesAt, drainAt int
	requests           []request
}

func drawPlan(t *rapid.T) plan {
	one := func(name string, values ...int) int { return rapid.SampledFrom(values).Draw(t, name) }
	limits := func(name string) Limits {
		return Limits{Slots: one(name, 1, 2, 4), Queue: one(name+" queue", 0, 1, 5)}
	}
	p := plan{
		before:    limits("before"),
		after:     limits("after"),
		changesAt: one("changes at", 0, 3, 50, 250),
		drainAt:   one("drain at", 0, 10, 90, 400),
	}
	at := 0
	for range rapid.IntRange(10, 60).Draw(t, "requests") {
		at += one("gap", 1, 3, 20)
		p.requests = append(p.requests, request{
			arrives:  at,
			service:  one("service", 1, 10, 60, 400, 2500),
			deadline: one("deadline", 5, 50, 300, 2000, 20000),
			leaves:   one("leaves", 40, 1500, 20000),
			alone:    one("alone", 0, 0, 0, 0, 0, 1) == 1,
		})
	}
	return p
}

// runner executes a plan in a bubble of fake time and collects what was wrong.
type runner struct {
	plan  plan
	gate  *Gate
	start time.Time

	mu       sync.Mutex
	slots    int
	inFlight int
	alone    bool
	granted  map[int]time.Duration
	lastEnd  time.Duration
	wrong    []string
}

func (r *runner) since() time.Duration { return time.Since(r.start) }

// fail is called with the mutex held.
func (r *runner) fail(format string, args ...any) {
	r.wrong = append(r.wrong, fmt.Sprintf(format, args...))
}

func (r *runner) serve(i int, one request) {
	time.Sleep(time.Duration(one.arrives)*step + time.Duration(i)*time.Microsecond)
	deadline := time.Now().Add(time.Duration(one.deadline) * step)
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(one.leaves)*step)
	defer cancel()
	arrived := r.since()
	acquire := r.gate.Acquire
	if one.alone {
		acquire = r.gate.AcquireAlone
	}
	slot, refused := acquire(ctx, deadline)
	r.judge(i, one, arrived, deadline, slot, refused)
	if slot == nil {
		return
	}
	time.Sleep(time.Duration(one.service) * step)
	r.mu.Lock()
	r.inFlight--
	r.alone = false
	r.lastEnd = r.since()
	r.mu.Unlock()
	slot.Release(true)
}

func (r *runner) judge(
	i int, one request, arrived time.Duration, deadline time.Time, slot *Slot, refused *failure.Error,
) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.since()
	draining := r.plan.drainAt > 0 && arrived > time.Duration(r.plan.drainAt)*step
	if time.Now().After(deadline) {
		r.fail("request %d waited beyond its deadline", i)
	}
	if one.alone && now-arrived > AloneWait {
		r.fail("request %d waited %v to run alone", i, now-arrived)
	}
	if slot == nil {
		if refused.Outcome != failure.NotRun || draining && refused.Reason != failure.Draining {
			r.fail("request %d: %v", i, refused)
		}
		return
	}
	if draining || r.plan.drainAt > 0 && now > time.Duration(r.plan.drainAt)*step+drainGrace {
		r.fail("request %d started in the drain", i)
	}
	if r.alone || one.alone && r.inFlight > 0 || r.inFlight >= r.slots {
		r.fail("request %d started beside %d of %d", i, r.inFlight, r.slots)
	}
	r.inFlight++
	r.alone = one.alone
	r.granted[i] = now
}

func (r *runner) run() {
	r.start = time.Now()
	r.gate = New(r.plan.before)
	var group sync.WaitGroup
	for i, one := range r.plan.requests {
		group.Go(func() { r.serve(i, one) })
	}
	if r.plan.changesAt > 0 {
		group.Go(r.change)
	}
	if r.plan.drainAt > 0 {
		group.Go(r.drain)
	}
	group.Wait()
	r.checkEnd()
}

func (r *runner) change() {
	time.Sleep(time.Duration(r.plan.changesAt)*step - 500*time.Nanosecond)
	r.mu.Lock()
	r.slots = r.plan.after.Slots
	r.mu.Unlock()
	r.gate.SetLimits(r.plan.after)
}

func (r *runner) drain() {
	time.Sleep(time.Duration(r.plan.drainAt) * step)
	began := r.since()
	err := r.gate.Drain(context.Background())
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil || r.inFlight > 0 || r.since() > max(began, r.lastEnd)+drainGrace {
		r.fail("drain ended at %v with %d in flight after %v: %v", r.since(), r.inFlight, r.lastEnd, err)
	}
}

func (r *runner) checkEnd() {
	for i := range r.plan.requests {
		for j := range i {
			later, ok1 := r.granted[i]
			earlier, ok2 := r.granted[j]
			if ok1 && ok2 && earlier > later {
				r.fail("request %d started before request %d", i, j)
			}
		}
	}
	if sample := r.gate.Sample(); sample.InFlight != 0 || sample.Queued != 0 || r.gate.aloneHas {
		r.fail("left over: %+v", sample)
	}
}

// Guards against more requests at the target than slots, a request beside one that runs alone, an overtaken request, a
// wait beyond a deadline, a start in a drain, a drain that ends early or never, and slots that get lost.
func TestGateKeepsItsRules(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		r := &runner{plan: drawPlan(rt), granted: map[int]time.Duration{}}
		r.slots = r.plan.before.Slots
		synctest.Test(t, func(*testing.T) { r.run() })
		if len(r.wrong) > 0 {
			rt.Fatalf("%v", r.wrong)
		}
	})
}

// Guards against queueing a request that can't be answered in time, against keeping one whose deadline became
// unreachable in the queue, and against an estimate from a slow time that refuses everything for ever.
func TestGateUsesTheEstimate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate := New(Limits{Slots: 1, Queue: 5})
		ctx := context.Background()
		in := func(d time.Duration) time.Time { return time.Now().Add(d) }
		slot, refused := gate.Acquire(ctx, in(time.Second))
		assert.Assert(t, refused == nil)
		time.Sleep(100 * time.Millisecond)
		slot.Release(true)

		slot, refused = gate.Acquire(ctx, in(time.Second))
		assert.Assert(t, refused == nil)
		began := time.Now()
		_, refused = gate.Acquire(ctx, in(150*time.Millisecond))
		assert.Equal(t, refused.Reason, failure.DeadlineUnreachable)
		assert.Equal(t, time.Since(began), time.Duration(0))
		_, refused = gate.Acquire(ctx, in(250*time.Millisecond))
		assert.Equal(t, refused.Reason, failure.DeadlineUnreachable)
		assert.Equal(t, time.Since(began), 150*time.Millisecond)
		slot.Release(true)

		slot, refused = gate.Acquire(ctx, in(10*time.Second))
		assert.Assert(t, refused == nil)
		time.AfterFunc(time.Second, func() { slot.Release(true) }) // raises the estimate to about 200 ms
		_, refused = gate.Acquire(ctx, in(1150*time.Millisecond))
		assert.Equal(t, refused.Reason, failure.DeadlineUnreachable, "150 ms are left when the slot is free")

		slot, refused = gate.Acquire(ctx, in(10*time.Millisecond))
		assert.Assert(t, refused == nil, "a free slot teaches the estimate")
		slot.Release(true)
	})
}
