// Package admission limits the number of concurrent requests at the local target. Requests wait for a slot in a short
// queue that is ordered by priority and by whether an answer can still be in time. A request whose deadline cannot be
// met is refused before it is queued, or removed from the queue.
package admission

import (
	"context"
	"sync"
	"time"

	"github.com/acacialock/acacialock/internal/failure"
	"github.com/acacialock/acacialock/internal/wire"
)

// Default limits. New and SetLimits replace only a zero Slots: a Queue of 0 is a valid limit.
const (
	DefaultSlots       = 9
	DefaultQueueLength = 9
)

// ExclusiveWait is the longest time that a request waits for exclusive use of the target. Requests that arrive later
// queue behind it, so it also bounds the delay that it causes for them.
const ExclusiveWait = time.Second

// drainGrace is the time for which queued requests may still start after a drain has begun. A target whose instance is
// being returned must get no new work after 2 s.
const drainGrace = time.Second

// Limits holds the limits for requests at the target and in the queue.
type Limits struct {
	Slots int // concurrent requests at the target; 0 or less: DefaultSlots
	Queue int // requests waiting for a slot; less than 0 counts as 0
}

// Gate limits the concurrent requests at the target and queues the requests that wait for a slot. It is safe for
// concurrent use.
type Limiter struct {
	mu               sync.Mutex
	limits           Limits
	inFlight         int
	exclusive        bool // the request in flight has exclusive use of the target
	exclusiveClaimed bool // a request with exclusive use is in flight or queued
	queue            queue
	times            estimator
	saturation       saturationDetector
	agreedLimit      int       // limit chosen by most targets of the service; 0: none
	reportedLimit    int       // limit that Decided returned last; 0: none
	coldUntil        time.Time // until then service times are not used to learn the limit
	draining         bool
	idle             chan struct{} // closed when nothing is in flight or queued; nil when no drain waits

	breaker         breaker
	pace            paceTracker
	readPace        func() (factor float64, ok bool) // nil: requests start whatever the pace
	paceReadPending bool                             // a read is running or scheduled
}

// result ends the wait of a queued request: it holds either a slot or the reason for the refusal.
type result struct {
	slot    *Slot
	refusal *failure.Error
}

// Slot is the permission for one request to run at the target. It must be released exactly once.
type Slot struct {
	gate      *Limiter
	exclusive bool
	kind      string
	load      int // requests at the target when this one started, itself included
	started   time.Time
	slow      bool // the target was in a slow period when the request started
}

// New returns a gate with the given limits. Slots takes its default if it is 0; a Queue of 0 disables queueing.
func New(limits Limits) *Limiter {
	return &Limiter{limits: withDefaults(limits)}
}

func withDefaults(limits Limits) Limits {
	if limits.Slots <= 0 {
		limits.Slots = DefaultSlots
	}
	if limits.Queue < 0 {
		limits.Queue = 0
	}
	return limits
}

// SetLimits changes the limits. When they are lowered, requests that are already in flight or queued stay.
func (g *Limiter) SetLimits(limits Limits) {
	limits = withDefaults(limits)
	g.mu.Lock()
	defer g.mu.Unlock()
	if limits == g.limits {
		return
	}
	g.limits = limits
	g.grantQueued()
}

// SetAgreed sets the limit for concurrent requests that most targets of the service have chosen; 0: none. While it is
// set and not above Limits.Slots, it replaces the limit that this gate has learned.
func (g *Limiter) SetAgreedLimit(limit int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.agreedLimit != limit {
		g.agreedLimit = limit
		g.grantQueued()
	}
}

// Decided returns the number of concurrent requests up to which the target was last found not to slow down, or 0 if that
// is not known yet. The boolean is true if the number is new since the last call.
func (g *Limiter) LearnedLimit() (int, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.saturation.settled || g.saturation.upper == g.reportedLimit {
		return g.reportedLimit, false
	}
	g.reportedLimit = g.saturation.upper
	return g.reportedLimit, true
}

// SetCold marks the target as warming up for the remaining time. Until then service times are not used to learn the
// concurrency limit.
func (g *Limiter) SetWarmUp(remaining time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.coldUntil = time.Now().Add(remaining)
}

// Acquire waits for a slot until the deadline can no longer be met. The outcome of an error is always not-run; its
// reason is draining, queue-full, deadline-unreachable, deadline-exceeded or caller-gone.
func (g *Limiter) AcquireByDeadline(ctx context.Context, deadline time.Time) (*Slot, *failure.Error) {
	return g.Acquire(ctx, Request{Deadline: deadline})
}

// AcquireExclusive waits at most ExclusiveWait for a slot with no other request at the target. Requests that arrive
// later queue behind it. A second request for exclusive use is refused while the first one waits or runs.
func (g *Limiter) AcquireExclusive(ctx context.Context, deadline time.Time) (*Slot, *failure.Error) {
	return g.Acquire(ctx, Request{Deadline: deadline, Exclusive: true})
}

// Enter waits for a slot like Acquire or, if request.Alone is set, like AcquireExclusive. If the queue is full, a
// request of higher rank replaces the one of lowest rank in it. Besides the reasons of Acquire, an error can have the
// reasons target-slow and target-failing if request.Movable is set.
func (g *Limiter) Acquire(ctx context.Context, request Request) (*Slot, *failure.Error) {
	now := time.Now()
	w := &waiter{Request: request, result: make(chan result, 1)}
	g.mu.Lock()
	w.serviceTime = g.times.estimate(request.Kind, g.slotLimit())
	if refusal := g.checkAdmission(now, w); refusal != nil {
		g.mu.Unlock()
		return nil, refusal
	}
	if w.HasAlternative && !w.Exclusive && g.breaker.rejects(now) {
		g.mu.Unlock()
		return nil, targetFailingError()
	}
	g.exclusiveClaimed = g.exclusiveClaimed || w.Exclusive
	held := g.heldByPace(w, now)
	if len(g.queue.waiters) == 0 && g.canStart(w.Exclusive) && !held {
		slot := g.grantSlot(w, now)
		g.mu.Unlock()
		return slot, nil
	}
	if w.Overflow && !held {
		refusal := g.withRetryAfter(
			failure.New(failure.QueueFull, failure.NotRun, "no slot is free for a request of another region"))
		g.mu.Unlock()
		return nil, refusal
	}
	// A request that waits for a slot, and not only for a better pace, stays: other targets are just as full.
	w.refuseIfSlow = w.HasAlternative && !w.Exclusive && held
	if w.refuseIfSlow && !g.pace.isStale(now) { // the reading is recent, so the target is slow
		refusal := targetSlowError(g.pace.factor)
		g.mu.Unlock()
		return nil, refusal
	}
	if len(g.queue.waiters) >= g.limits.Queue && !w.Exclusive {
		g.evictLast(now)
	}
	g.queue.add(w)
	if held {
		g.schedulePaceRead(now)
	}
	maxWait := g.maxWait(now, w)
	g.mu.Unlock()
	return g.wait(ctx, w, maxWait)
}

// evictLast refuses the waiter that would get a slot last. The mutex is held.
func (g *Limiter) evictLast(now time.Time) {
	if last := g.queue.lastIndex(now); last >= 0 {
		out := g.queue.remove(last)
		refusal := failure.New(failure.QueueFull, failure.NotRun, "a request that ranks before took the place")
		out.result <- result{refusal: g.withRetryAfter(refusal)}
	}
}

// checkAdmission returns the reason why a request can be neither started nor queued, or nil.
func (g *Limiter) checkAdmission(now time.Time, w *waiter) *failure.Error {
	left := w.Deadline.Sub(now)
	switch {
	case g.draining:
		return failure.New(failure.Draining, failure.NotRun, "the target is draining")
	case left <= 0:
		return failure.New(failure.DeadlineExceeded, failure.NotRun, "the deadline has passed")
	case w.Exclusive && g.exclusiveClaimed:
		return failure.New(failure.QueueFull, failure.NotRun, "another request waits to run alone or does")
	case len(g.queue.waiters) == 0 && g.canStart(w.Exclusive):
		return nil
	case len(g.queue.waiters) >= g.limits.Queue && !w.Exclusive && !g.outranksLast(w, now):
		return g.withRetryAfter(
			failure.New(failure.QueueFull, failure.NotRun, "%d requests wait for a slot", len(g.queue.waiters)))
	}
	if need := g.expectedLatency(g.queue.countAhead(w, now), w.serviceTime); left < need {
		return g.withRetryAfter(
			failure.New(failure.DeadlineUnreachable, failure.NotRun, "%v are left, %v are needed", left, need))
	}
	return nil
}

// withRetryAfter sets RetryAfter to the estimated time until all requests queued now have started, and returns refusal.
func (g *Limiter) withRetryAfter(refusal *failure.Error) *failure.Error {
	refusal.RetryAfter = g.expectedLatency(len(g.queue.waiters), 0)
	return refusal
}

// outranksLast reports whether w may replace the waiter that would get a slot last.
func (g *Limiter) outranksLast(w *waiter, now time.Time) bool {
	last := g.queue.lastIndex(now)
	if last < 0 {
		return false
	}
	w.sequence = g.queue.lastSequence + 1
	return w.before(g.queue.waiters[last], now)
}

// canStart reports whether the number of requests in flight allows another one to start now.
func (g *Limiter) canStart(exclusive bool) bool {
	if exclusive {
		return g.inFlight == 0
	}
	return !g.exclusive && g.inFlight < g.slotLimit()
}

// slotLimit returns the number of requests that may be at the target concurrently.
func (g *Limiter) slotLimit() int {
	if g.agreedLimit > 0 && g.agreedLimit <= g.limits.Slots {
		return g.agreedLimit
	}
	return g.saturation.limit(g.limits.Slots)
}

// expectedLatency returns the estimated time until the end of the answer for a request with the given service time
// behind the given number of queued requests.
func (g *Limiter) expectedLatency(ahead int, serviceTime time.Duration) time.Duration {
	typical := g.times.averageNear(g.slotLimit())
	return serviceTime + typical*time.Duration(ahead+1)/time.Duration(g.slotLimit())
}

// maxWait returns the time after which a queued request can no longer be answered before its deadline, or for a
// request for exclusive use at most ExclusiveWait.
func (g *Limiter) maxWait(now time.Time, w *waiter) time.Duration {
	left := w.Deadline.Sub(now) - w.serviceTime
	if w.Exclusive {
		left = min(left, ExclusiveWait)
	}
	return left
}

// grantSlot counts a request as in flight and returns its slot. The mutex is held.
func (g *Limiter) grantSlot(w *waiter, now time.Time) *Slot {
	g.inFlight++
	g.exclusive = w.Exclusive
	return &Slot{gate: g, exclusive: w.Exclusive, kind: w.Kind, load: g.inFlight, started: now, slow: g.pace.isSlow(now)}
}

// wait blocks until the waiter gets a slot or is refused, maxWait has passed, or the context is done.
func (g *Limiter) wait(ctx context.Context, w *waiter, maxWait time.Duration) (*Slot, *failure.Error) {
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	var refusal *failure.Error
	select {
	case v := <-w.result:
		return v.slot, v.refusal
	case <-timer.C:
		refusal = deadlineUnreachableError()
	case <-ctx.Done():
		refusal = failure.Wrap(ctx.Err(), failure.CallerGone, failure.NotRun, "the caller left the queue")
	}
	if g.abandon(w) {
		return nil, refusal
	}
	v := <-w.result
	return v.slot, v.refusal
}

func deadlineUnreachableError() *failure.Error {
	return failure.New(failure.DeadlineUnreachable, failure.NotRun, "no slot became free in time")
}

// abandon removes the waiter from the queue. It returns false if the waiter already has a result.
func (g *Limiter) abandon(w *waiter) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.queue.removeWaiter(w) {
		return false
	}
	g.exclusiveClaimed = g.exclusiveClaimed && !w.Exclusive
	g.grantQueued()
	return true
}

// grantQueued starts queued requests while slots are free, and refuses those whose deadline can't be met any more. The
// mutex is held.
func (g *Limiter) grantQueued() {
	now := time.Now()
	for next := g.queue.nextIndex(now); next >= 0 && g.canStart(g.queue.waiters[next].Exclusive); next = g.queue.nextIndex(now) {
		if g.heldByPace(g.queue.waiters[next], now) {
			g.schedulePaceRead(now)
			break
		}
		w := g.queue.remove(next)
		w.result <- g.grantOrRefuse(w, now)
	}
	if g.idle != nil && g.inFlight == 0 && len(g.queue.waiters) == 0 {
		close(g.idle)
		g.idle = nil
	}
}

// grantOrRefuse starts a request that is first in the queue, unless its deadline became unreachable meanwhile.
func (g *Limiter) grantOrRefuse(w *waiter, now time.Time) result {
	w.serviceTime = g.times.estimate(w.Kind, g.slotLimit())
	if w.Deadline.Sub(now) < w.serviceTime {
		g.exclusiveClaimed = g.exclusiveClaimed && !w.Exclusive
		return result{refusal: deadlineUnreachableError()}
	}
	return result{slot: g.grantSlot(w, now)}
}

// Age returns the time since the slot was granted.
func (s *Slot) Age() time.Duration { return time.Since(s.started) }

// Release frees the slot. The service time of a completed request updates the estimates, unless the target was in a slow
// period when the request started.
func (s *Slot) Release(completed bool) {
	g := s.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	// A request that was cut off after more than the usual time is recorded with the time that it ran. Otherwise only
	// the fastest requests of an overloaded target would be measured.
	now := time.Now()
	outlastedEstimate := now.Sub(s.started) >= g.times.estimate(s.kind, s.load)
	if (completed || outlastedEstimate) && !s.slow && s.kind != "" && now.After(g.coldUntil) {
		g.saturation.record(s.kind, s.load, now.Sub(s.started), g.limits.Slots, now)
	}
	g.inFlight--
	if s.exclusive {
		g.exclusive = false
		g.exclusiveClaimed = false
	}
	if completed && !s.slow {
		g.times.record(s.kind, s.load, time.Since(s.started))
	}
	g.grantQueued()
}

// Sample returns the current load, with the estimated latency of a request that arrives now.
func (g *Limiter) LoadSample() wire.LoadSample {
	g.mu.Lock()
	defer g.mu.Unlock()
	latency := g.times.averageNear(g.inFlight + 1)
	queued := len(g.queue.waiters)
	if g.inFlight >= g.slotLimit() || queued > 0 || g.exclusive {
		latency = g.expectedLatency(queued, g.times.averageNear(g.slotLimit()))
	}
	return wire.LoadSample{InFlight: g.inFlight, Queued: queued, Latency: latency, Draining: g.draining}
}
