// Package admission limits the number of concurrent requests at the local target. Requests wait for a slot in a short
// queue that is ordered by priority and by whether an answer can still be in time. A request whose deadline cannot be
// met is refused before it is queued, or removed from the queue.
package admission

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/acacialock/acacialock/internal/failure"
	"github.com/acacialock/acacialock/internal/wire"
)

// Default limits. New and SetLimits apply DefaultSlots if Slots is 0 or less, but no default for Queue: a Queue of 0 is a
// valid limit. DefaultQueueLength is applied by inbound.New, until the handler has the limits of its service.
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

// Limiter limits the concurrent requests at the target and queues the requests that wait for a slot. It is safe for
// concurrent use.
type Limiter struct {
	mu            sync.Mutex
	limits        Limits
	inFlight      int
	exclusive     bool            // the request in flight has exclusive use of the target
	running       []*Slot         // in no particular order
	free          []time.Duration // scratch buffer of planQueue
	queue         queue
	shares        shares
	moves         moveBudget
	times         estimator
	saturation    saturationDetector
	agreedLimit   int       // limit chosen by most targets of the service; 0: none
	reportedLimit int       // limit that LearnedLimit returned last; 0: none
	warmUpUntil   time.Time // until then service times are not used to learn the limit
	draining      bool
	idle          chan struct{} // closed when nothing is in flight or queued; nil when no drain waits

	demand            int       // requests that found no free slot since the last check of the running ones
	stallCheckPending bool      // a check is scheduled
	stalledAt         time.Time // a request was cut off last; see cautious

	breaker         breaker
	rate            rateLimit
	cold            coldLimit
	grantScheduled  bool      // a timer for the next request that rate admits runs
	heardTarget     time.Time // when the last report of the target itself was applied
	pace            paceTracker
	readPace        func() (factor float64, ok bool) // nil: requests start whatever the pace
	paceReadPending bool                             // a read is running or scheduled
}

// result ends the wait of a queued request: it holds either a slot or the reason for the refusal.
type result struct {
	slot    *Slot
	refusal *failure.Error
}

// Slot is the permission for one request to run at the target. Releases after the first have no effect.
type Slot struct {
	limiter   *Limiter
	exclusive bool
	kind      string
	expected  time.Duration // service time of most requests of its kind when it started
	load      int           // requests at the target when this one started, itself included
	started   time.Time
	slow      bool // the target was in a slow period when the request started
	streamed  bool
	caller    Caller      // nil: the request is not cut off
	stall     stallRecord // guarded by the mutex of limiter
	released  bool        // guarded by the mutex of limiter
}

// New returns a limiter with the given limits. A Queue of 0 disables queueing.
func New(limits Limits) *Limiter {
	return &Limiter{limits: withDefaults(limits), cold: coldLimit{assumed: true}}
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
func (l *Limiter) SetLimits(limits Limits) {
	limits = withDefaults(limits)
	l.mu.Lock()
	defer l.mu.Unlock()
	if limits == l.limits {
		return
	}
	l.limits = limits
	l.grantQueued()
}

// SetAgreedLimit sets the limit for concurrent requests that most targets of the service have chosen; 0: none. While it
// is set and not above Limits.Slots, it replaces the limit that this limiter has learned.
func (l *Limiter) SetAgreedLimit(limit int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.agreedLimit != limit {
		l.agreedLimit = limit
		l.grantQueued()
	}
}

// LearnedLimit returns the number of concurrent requests up to which the target was last found not to slow down, or 0
// if that is not known yet. The boolean is true if the number is new since the last call.
func (l *Limiter) LearnedLimit() (int, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.saturation.settled || l.saturation.upper == l.reportedLimit {
		return l.reportedLimit, false
	}
	l.reportedLimit = l.saturation.upper
	return l.reportedLimit, true
}

// SetWarmUp marks the target as warming up for the remaining time. Until then service times are not used to learn the
// concurrency limit.
func (l *Limiter) SetWarmUp(remaining time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.warmUpUntil = time.Now().Add(remaining)
}

// AcquireByDeadline waits for a slot until the deadline can no longer be met. The outcome of an error is always
// not-run; its reason is draining, queue-full, deadline-unreachable, deadline-exceeded or caller-gone.
func (l *Limiter) AcquireByDeadline(ctx context.Context, deadline time.Time) (*Slot, *failure.Error) {
	return l.Acquire(ctx, Request{Deadline: deadline})
}

// AcquireExclusive waits at most ExclusiveWait for a slot with no other request at the target. Requests that arrive
// later queue behind it. A second request for exclusive use is refused while the first one waits or runs.
func (l *Limiter) AcquireExclusive(ctx context.Context, deadline time.Time) (*Slot, *failure.Error) {
	return l.Acquire(ctx, Request{Deadline: deadline, Exclusive: true})
}

// Acquire waits for a slot like AcquireByDeadline or, if request.Exclusive is set, like AcquireExclusive. If the queue
// is full, a request of higher rank replaces the one of lowest rank in it. Besides the reasons of AcquireByDeadline, an
// error can have the reasons target-slow, target-failing and wait-too-long if request.HasAlternative is set, target-busy if
// request.CanOverflow is set, and target-limited if the limit that the target names does not admit the request now or, for
// one without an alternative, in time; see limitAdmitsInTime.
func (l *Limiter) Acquire(ctx context.Context, request Request) (*Slot, *failure.Error) {
	now := time.Now()
	w := &waiter{Request: request, result: make(chan result, 1)}
	l.mu.Lock()
	l.moves.earn()
	l.noteDemand()
	w.yields = w.Streamed && l.cautious(now)
	w.serviceTime = l.times.estimate(request.Kind, l.slotLimit())
	w.typicalTime = l.times.typical(request.Kind, l.slotLimit())
	l.rate.refill(now)
	w.starved = l.rate.isStarved(w.Kind) && !l.queue.hasStarved(w.Kind)
	if len(l.queue.waiters) > 0 || !l.canStart(w.Exclusive) {
		l.planQueue(w, now)
	}
	if refusal := l.checkAdmission(now, w); refusal != nil {
		l.shares.refuse(&w.Request, now)
		l.mu.Unlock()
		return nil, refusal
	}
	if w.HasAlternative && !w.Exclusive && l.breaker.rejects(now) {
		l.mu.Unlock()
		return nil, targetFailingError()
	}
	if wait := l.limitWait(l.queue.countAhead(w, now), now); wait > 0 && (w.HasAlternative || w.Overflow) && !w.Exclusive {
		refusal := l.limitRefusal(wait)
		l.mu.Unlock()
		return nil, refusal
	}
	held := l.heldByPace(w, now)
	if !l.queue.goesBefore(w) && l.canStart(w.Exclusive) && !held && !l.holdsBack(w, now) {
		slot := l.grantSlot(w, now)
		l.mu.Unlock()
		return slot, nil
	}
	if w.Overflow && !held {
		refusal := l.withRetryAfter(
			failure.New(failure.QueueFull, failure.NotRun, "no slot is free for a request of another region"))
		l.mu.Unlock()
		return nil, refusal
	}
	// A request that waits for a slot, and not only for a better pace, stays: other targets are just as full.
	w.refuseIfSlow = w.HasAlternative && !w.Exclusive && held
	if w.refuseIfSlow && !l.pace.isStale(now) { // the reading is recent, so the target is slow
		refusal := targetSlowError(l.pace.factor)
		l.mu.Unlock()
		return nil, refusal
	}
	if !held && l.queue.triesAnother(w, l.slotLimit(), now) && l.moves.spend() {
		refusal := l.withRetryAfter(
			failure.New(failure.WaitTooLong, failure.NotRun, "%d requests run and %d wait%s", l.inFlight, len(l.queue.waiters), w.shareNote()))
		l.mu.Unlock()
		return nil, refusal
	}
	if w.CanOverflow && !w.Exclusive && !held && (l.queue.leavesRegion(w, l.slotLimit(), now) || l.limitDelays(w, now)) {
		refusal := failure.New(failure.TargetBusy, failure.NotRun, "%d requests run and %d wait", l.inFlight, len(l.queue.waiters))
		l.mu.Unlock()
		return nil, refusal
	}
	if l.queue.place(w, l.queueLength(now), now) == replace {
		l.evict(now)
	}
	l.queue.add(w)
	if held {
		l.schedulePaceRead(now)
	}
	l.refuseUnreachable(now)
	l.scheduleGrant(now)
	maxWait := l.maxWait(now, w)
	l.mu.Unlock()
	return l.wait(ctx, w, maxWait)
}

// evict refuses the waiter that is refused first for another request. The mutex is held.
func (l *Limiter) evict(now time.Time) {
	i := l.queue.evictIndex(now)
	if i < 0 {
		return
	}
	evicted := l.queue.remove(i)
	l.shares.refuse(&evicted.Request, now)
	refusal := failure.New(failure.QueueFull, failure.NotRun, "a request that ranks before took the place%s", evicted.shareNote())
	evicted.result <- result{refusal: l.withRetryAfter(refusal)}
}

// shareNote returns a part of the detail of a refusal.
func (w *waiter) shareNote() string {
	if w.overserved {
		return fmt.Sprintf("; tenant %q has got more than it is due", w.Tenant)
	}
	return ""
}

// RefuseQueued refuses all queued requests with what refusal returns for each; nil lets it wait on.
func (l *Limiter) RefuseQueued(refusal func() *failure.Error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := 0; i < len(l.queue.waiters); {
		refused := refusal()
		if refused == nil {
			i++
			continue
		}
		w := l.queue.remove(i)
		w.result <- result{refusal: refused}
	}
	l.grantQueued()
}

// checkAdmission returns the reason why a request can be neither started nor queued, or nil.
func (l *Limiter) checkAdmission(now time.Time, w *waiter) *failure.Error {
	remaining := w.Deadline.Sub(now)
	switch {
	case l.draining:
		return failure.New(failure.Draining, failure.NotRun, "the target is draining")
	case remaining <= 0:
		return failure.New(failure.DeadlineExceeded, failure.NotRun, "the deadline has passed")
	case w.Exclusive && l.exclusiveClaimed():
		return failure.New(failure.QueueFull, failure.NotRun, "another request waits to run alone or does")
	case !l.queue.goesBefore(w) && l.canStart(w.Exclusive):
		return nil
	case l.queue.place(w, l.queueLength(now), now) == turnAway:
		return l.withRetryAfter(
			failure.New(failure.QueueFull, failure.NotRun, "%d requests wait for a slot%s", len(l.queue.waiters), w.shareNote()))
	}
	ahead := l.queue.countAhead(w, now)
	if !l.limitAdmitsInTime(w, ahead, now) {
		return l.limitRefusal(l.limitWait(len(l.queue.waiters), now))
	}
	if need := l.expectedLatency(ahead, w.serviceTime); remaining < need {
		return l.withRetryAfter(
			failure.New(failure.DeadlineUnreachable, failure.NotRun, "%v are left, %v are needed", remaining, need))
	}
	return nil
}

// exclusiveClaimed reports whether a request with exclusive use is in flight or queued. The mutex is held.
func (l *Limiter) exclusiveClaimed() bool {
	return l.exclusive || slices.ContainsFunc(l.queue.waiters, func(w *waiter) bool { return w.Exclusive })
}

// queueLength returns the number of requests that may wait. Those for which slots are free, and that wait only for the
// target's pace, are not counted: requests that reach a new target together all wait for its first reading.
func (l *Limiter) queueLength(now time.Time) int {
	if l.readPace != nil && l.canStart(false) && l.pace.mustWait(0, now) {
		return l.limits.Queue + l.slotLimit() - l.inFlight
	}
	return l.limits.Queue
}

// planQueue plans the queue, with extra if it is not nil. The mutex is held.
func (l *Limiter) planQueue(extra *waiter, now time.Time) {
	l.shares.assess(l.queue.waiters, extra, now)
	l.free = l.free[:0]
	for _, slot := range l.running {
		l.free = append(l.free, slot.expectedEnd(now))
	}
	for len(l.free) < l.slotLimit() {
		l.free = append(l.free, 0)
	}
	if surplus := len(l.free) - l.slotLimit(); surplus > 0 { // the limit was lowered: the first ends free no slot
		slices.Sort(l.free)
		l.free = l.free[surplus:]
	}
	l.queue.plan(extra, l.free, now)
}

// expectedEnd returns the expected time until the request has ended. One that has outlasted the usual time is expected to
// run half of that again.
func (s *Slot) expectedEnd(now time.Time) time.Duration {
	return max(s.expected-now.Sub(s.started), s.expected/2)
}

// withRetryAfter sets RetryAfter to the estimated time until all requests queued now have started, and returns refusal.
func (l *Limiter) withRetryAfter(refusal *failure.Error) *failure.Error {
	waiting := len(l.queue.waiters)
	refusal.RetryAfter = max(l.expectedLatency(waiting, 0), l.limitWait(waiting, time.Now()))
	return refusal
}

// canStart reports whether the number of requests in flight and the limit that the target names allow another one to start
// now.
func (l *Limiter) canStart(exclusive bool) bool {
	if now := time.Now(); l.limited(now) && l.limitWait(0, now) > 0 {
		return false
	}
	if exclusive {
		return l.inFlight == 0
	}
	return !l.exclusive && l.inFlight < l.slotLimit()
}

// slotLimit returns the number of requests that may be at the target concurrently.
func (l *Limiter) slotLimit() int {
	if l.agreedLimit > 0 && l.agreedLimit <= l.limits.Slots {
		return l.agreedLimit
	}
	return l.saturation.limit(l.limits.Slots)
}

// expectedLatency returns the estimated time until the end of the answer for a request with the given service time
// behind the given number of queued requests.
func (l *Limiter) expectedLatency(ahead int, serviceTime time.Duration) time.Duration {
	typical := l.times.averageNear(l.slotLimit())
	return serviceTime + typical*time.Duration(ahead+1)/time.Duration(l.slotLimit())
}

// maxWait returns the time after which a queued request can no longer be answered before its deadline, or for a
// request for exclusive use at most ExclusiveWait.
func (l *Limiter) maxWait(now time.Time, w *waiter) time.Duration {
	remaining := w.Deadline.Sub(now) - w.serviceTime
	if w.Exclusive {
		remaining = min(remaining, ExclusiveWait)
	}
	return remaining
}

// grantSlot counts a request as in flight and returns its slot. The mutex is held.
func (l *Limiter) grantSlot(w *waiter, now time.Time) *Slot {
	l.inFlight++
	l.rate.take(w.Kind)
	l.cold.take(now)
	l.refreshWarmUp(now)
	l.exclusive = w.Exclusive
	slot := &Slot{limiter: l, exclusive: w.Exclusive, kind: w.Kind, expected: w.typicalTime, load: l.inFlight, started: now,
		slow: l.pace.isSlow(now), streamed: w.Streamed, caller: w.Caller}
	l.running = append(l.running, slot)
	return slot
}

// wait blocks until the waiter gets a slot or is refused, maxWait has passed, or the context is done.
func (l *Limiter) wait(ctx context.Context, w *waiter, maxWait time.Duration) (*Slot, *failure.Error) {
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	var refusal *failure.Error
	select {
	case v := <-w.result:
		return v.slot, v.refusal
	case <-timer.C:
		refusal = deadlineUnreachableError()
		l.countRefusal(w)
	case <-ctx.Done():
		refusal = failure.Wrap(ctx.Err(), failure.CallerGone, failure.NotRun, "the caller left the queue")
	}
	if l.abandon(w) {
		return nil, refusal
	}
	v := <-w.result
	return v.slot, v.refusal
}

// countRefusal counts a request whose deadline became unreachable in the queue.
func (l *Limiter) countRefusal(w *waiter) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.shares.refuse(&w.Request, time.Now())
}

func deadlineUnreachableError() *failure.Error {
	return failure.New(failure.DeadlineUnreachable, failure.NotRun, "no slot became free in time")
}

// abandon removes the waiter from the queue. It returns false if the waiter already has a result.
func (l *Limiter) abandon(w *waiter) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.queue.removeWaiter(w) {
		return false
	}
	l.grantQueued()
	return true
}

// grantQueued starts queued requests while slots are free, and refuses those whose deadline can't be met any more. The
// mutex is held.
func (l *Limiter) grantQueued() {
	now := time.Now()
	if len(l.queue.waiters) > 1 {
		l.planQueue(nil, now)
	}
	for next := l.queue.nextIndex(now); next >= 0 && l.canStart(l.queue.waiters[next].Exclusive); next = l.queue.nextIndex(now) {
		if l.heldByPace(l.queue.waiters[next], now) {
			l.schedulePaceRead(now)
			break
		}
		if l.holdsBack(l.queue.waiters[next], now) {
			l.scheduleStallCheck() // which tries again, since no release may follow
			break
		}
		w := l.queue.remove(next)
		w.result <- l.grantOrRefuse(w, now)
	}
	l.scheduleGrant(now)
	if l.idle != nil && l.inFlight == 0 && len(l.queue.waiters) == 0 {
		close(l.idle)
		l.idle = nil
	}
}

// grantOrRefuse starts a request that is first in the queue, unless its deadline became unreachable meanwhile.
func (l *Limiter) grantOrRefuse(w *waiter, now time.Time) result {
	w.serviceTime = l.times.estimate(w.Kind, l.slotLimit())
	if w.Deadline.Sub(now) < w.serviceTime {
		l.shares.refuse(&w.Request, now)
		return result{refusal: deadlineUnreachableError()}
	}
	l.shares.grant(&w.Request, now)
	return result{slot: l.grantSlot(w, now)}
}

// Age returns the time since the slot was granted.
func (s *Slot) Age() time.Duration { return time.Since(s.started) }

// Release frees the slot. The service time of a completed request updates the estimates, unless the target was in a slow
// period when the request started.
func (s *Slot) Release(completed bool) {
	l := s.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	if s.released {
		return // a slot may be released by a timer, whose panic would end the process
	}
	s.released = true
	// A request that was cut off after more than the usual time is recorded with the time that it ran. Otherwise only
	// the fastest requests of an overloaded target would be measured.
	now := time.Now()
	outlastedEstimate := now.Sub(s.started) >= l.times.estimate(s.kind, s.load)
	if (completed || outlastedEstimate) && !s.slow && s.kind != "" && now.After(l.warmUpUntil) {
		l.saturation.record(s.kind, s.load, now.Sub(s.started), l.limits.Slots, now)
	}
	l.inFlight--
	l.running = removeSlot(l.running, s)
	if s.exclusive {
		l.exclusive = false
	}
	if completed && !s.slow {
		l.times.record(s.kind, s.load, time.Since(s.started))
	}
	l.grantQueued()
}

func removeSlot(running []*Slot, ended *Slot) []*Slot {
	i, last := slices.Index(running, ended), len(running)-1
	running[i], running[last] = running[last], nil
	return running[:last]
}

// LoadSample returns the current load, with the estimated latency of a request that arrives now.
func (l *Limiter) LoadSample() wire.LoadSample {
	l.mu.Lock()
	defer l.mu.Unlock()
	latency := l.times.averageNear(l.inFlight + 1)
	queued := len(l.queue.waiters)
	limitWait := l.limitWait(queued, time.Now())
	if l.inFlight >= l.slotLimit() || queued > 0 || l.exclusive {
		latency = l.expectedLatency(queued, l.times.averageNear(l.slotLimit()))
	}
	if limitWait > 0 {
		latency = max(latency, limitWait+l.times.averageNear(l.inFlight+1))
	}
	return wire.LoadSample{InFlight: l.inFlight, Queued: queued, Latency: latency, Draining: l.draining}
}
