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

// request is a drawn request; times are in steps. No two requests arrive at the same time.
type request struct {
	arrives, service, deadline, leaves int
	exclusive                          bool
}

// plan is a drawn test run. The limits change and the drain begins at the given steps; 0 means never.
type plan struct {
	before, after      Limits
	changesAt, drainAt int
	requests           []request
}

func drawPlan(t *rapid.T) plan {
	pick := func(name string, values ...int) int { return rapid.SampledFrom(values).Draw(t, name) }
	limits := func(name string) Limits {
		return Limits{Slots: pick(name, 1, 2, 4), Queue: pick(name+" queue", 0, 1, 5)}
	}
	p := plan{
		before:    limits("before"),
		after:     limits("after"),
		changesAt: pick("changes at", 0, 3, 50, 250),
		drainAt:   pick("drain at", 0, 10, 90, 400),
	}
	at := 0
	for range rapid.IntRange(10, 60).Draw(t, "requests") {
		at += pick("gap", 1, 3, 20)
		p.requests = append(p.requests, request{
			arrives:   at,
			service:   pick("service", 1, 10, 60, 400, 2500),
			deadline:  pick("deadline", 5, 50, 300, 2000, 20000),
			leaves:    pick("leaves", 40, 1500, 20000),
			exclusive: pick("alone", 0, 0, 0, 0, 0, 1) == 1,
		})
	}
	return p
}

// runner executes a plan in a synctest bubble and collects the violations of the limiter's rules.
type runner struct {
	plan    plan
	limiter *Limiter
	start   time.Time

	mu         sync.Mutex
	slots      int
	inFlight   int
	exclusive  bool
	granted    map[int]time.Duration
	lastEnd    time.Duration
	violations []string
}

func (r *runner) elapsed() time.Duration { return time.Since(r.start) }

// fail records a violation. The mutex is held.
func (r *runner) fail(format string, args ...any) {
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

func (r *runner) serve(i int, req request) {
	time.Sleep(time.Duration(req.arrives)*step + time.Duration(i)*time.Microsecond)
	deadline := time.Now().Add(time.Duration(req.deadline) * step)
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(req.leaves)*step)
	defer cancel()
	arrived := r.elapsed()
	acquire := r.limiter.AcquireByDeadline
	if req.exclusive {
		acquire = r.limiter.AcquireExclusive
	}
	slot, refusal := acquire(ctx, deadline)
	r.checkResult(i, req, arrived, deadline, slot, refusal)
	if slot == nil {
		return
	}
	time.Sleep(time.Duration(req.service) * step)
	r.mu.Lock()
	r.inFlight--
	r.exclusive = false
	r.lastEnd = r.elapsed()
	r.mu.Unlock()
	slot.Release(true)
}

func (r *runner) checkResult(
	i int, req request, arrived time.Duration, deadline time.Time, slot *Slot, refusal *failure.Error,
) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.elapsed()
	draining := r.plan.drainAt > 0 && arrived > time.Duration(r.plan.drainAt)*step
	if time.Now().After(deadline) {
		r.fail("request %d waited beyond its deadline", i)
	}
	if req.exclusive && now-arrived > ExclusiveWait {
		r.fail("request %d waited %v for exclusive use", i, now-arrived)
	}
	if slot == nil {
		if refusal.Outcome != failure.NotRun || draining && refusal.Reason != failure.Draining {
			r.fail("request %d: %v", i, refusal)
		}
		return
	}
	if draining || r.plan.drainAt > 0 && now > time.Duration(r.plan.drainAt)*step+drainGrace {
		r.fail("request %d started during the drain", i)
	}
	if r.exclusive || req.exclusive && r.inFlight > 0 || r.inFlight >= r.slots {
		r.fail("request %d started with %d requests in flight and %d slots", i, r.inFlight, r.slots)
	}
	r.inFlight++
	r.exclusive = req.exclusive
	r.granted[i] = now
}

func (r *runner) run() {
	r.start = time.Now()
	r.limiter = New(r.plan.before)
	var wg sync.WaitGroup
	for i, req := range r.plan.requests {
		wg.Go(func() { r.serve(i, req) })
	}
	if r.plan.changesAt > 0 {
		wg.Go(r.changeLimits)
	}
	if r.plan.drainAt > 0 {
		wg.Go(r.drain)
	}
	wg.Wait()
	r.checkEnd()
}

func (r *runner) changeLimits() {
	time.Sleep(time.Duration(r.plan.changesAt)*step - 500*time.Nanosecond)
	r.mu.Lock()
	r.slots = r.plan.after.Slots
	r.mu.Unlock()
	r.limiter.SetLimits(r.plan.after)
}

func (r *runner) drain() {
	time.Sleep(time.Duration(r.plan.drainAt) * step)
	started := r.elapsed()
	err := r.limiter.Drain(context.Background())
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil || r.inFlight > 0 || r.elapsed() > max(started, r.lastEnd)+drainGrace {
		r.fail("drain ended at %v with %d requests in flight, last request ended at %v: %v",
			r.elapsed(), r.inFlight, r.lastEnd, err)
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
	if sample := r.limiter.LoadSample(); sample.InFlight != 0 || sample.Queued != 0 || r.limiter.exclusiveClaimed() {
		r.fail("requests left at the end: %+v", sample)
	}
}

// Guards against more requests at the target than slots, a request that runs beside one with exclusive use, a request
// that is overtaken, a wait beyond a deadline, a start during a drain, a drain that ends early or never, and slots that
// are not freed.
func TestLimiterInvariants(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		r := &runner{plan: drawPlan(rt), granted: map[int]time.Duration{}}
		r.slots = r.plan.before.Slots
		synctest.Test(t, func(*testing.T) { r.run() })
		if len(r.violations) > 0 {
			rt.Fatalf("%v", r.violations)
		}
	})
}

// Guards against three faults: a request is queued that can't be answered in time; a request stays queued although its
// deadline became unreachable; an estimate from a slow request causes all later requests to be refused forever.
func TestLimiterRefusesUnreachableDeadlines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limiter := New(Limits{Slots: 1, Queue: 5})
		ctx := context.Background()
		after := func(d time.Duration) time.Time { return time.Now().Add(d) }
		slot, refusal := limiter.AcquireByDeadline(ctx, after(time.Second))
		assert.Assert(t, refusal == nil)
		time.Sleep(100 * time.Millisecond)
		slot.Release(true)

		slot, refusal = limiter.AcquireByDeadline(ctx, after(time.Second))
		assert.Assert(t, refusal == nil)
		started := time.Now()
		_, refusal = limiter.AcquireByDeadline(ctx, after(150*time.Millisecond))
		assert.Equal(t, refusal.Reason, failure.DeadlineUnreachable)
		assert.Equal(t, time.Since(started), time.Duration(0))
		_, refusal = limiter.AcquireByDeadline(ctx, after(250*time.Millisecond))
		assert.Equal(t, refusal.Reason, failure.DeadlineUnreachable)
		assert.Equal(t, time.Since(started), 150*time.Millisecond)
		slot.Release(true)

		slot, refusal = limiter.AcquireByDeadline(ctx, after(10*time.Second))
		assert.Assert(t, refusal == nil)
		time.AfterFunc(time.Second, func() { slot.Release(true) }) // raises the estimate to about 200 ms
		_, refusal = limiter.AcquireByDeadline(ctx, after(1150*time.Millisecond))
		assert.Equal(t, refusal.Reason, failure.DeadlineUnreachable, "150 ms are left when the slot becomes free")

		slot, refusal = limiter.AcquireByDeadline(ctx, after(10*time.Millisecond))
		assert.Assert(t, refusal == nil, "a request gets a free slot whatever the estimate, which corrects it")
		slot.Release(true)
	})
}

// Guards against a slot that is released twice: the second release ended the process if a timer made it.
func TestSecondReleaseHasNoEffect(t *testing.T) {
	limiter := New(Limits{Slots: 2, Queue: 1})
	first, refusal := limiter.AcquireByDeadline(context.Background(), time.Now().Add(time.Minute))
	assert.Assert(t, refusal == nil)
	second, refusal := limiter.AcquireByDeadline(context.Background(), time.Now().Add(time.Minute))
	assert.Assert(t, refusal == nil)
	first.Release(true)
	first.Release(true)
	assert.Equal(t, limiter.LoadSample().InFlight, 1)
	second.Release(true)
	assert.Equal(t, limiter.LoadSample().InFlight, 0)
}
