// Package admission grants the slots of the local target. A short queue, ordered by what is still worth serving, holds
// requests while no slot is free; requests whose deadline can't be met are refused before they are queued, or dropped from
// the queue.
package admission

import (
	"context"
	"sync"
	"time"

	"github.com/acacialock/acacialock/internal/failure"
	"github.com/acacialock/acacialock/internal/wire"
)

// Defaults for limits that are zero.
const (
	DefaultSlots = 9
	DefaultQueue = 9
)

// AloneWait bounds the time that a request waits to run alone, and with it the time in which it holds up others.
const AloneWait = time.Second

// drainGrace is the time in which queued requests may still start after a drain began. A target that is being returned
// must get no new work after 2 s.
const drainGrace = time.Second

// Limits bound the requests at the target and in the queue.
type Limits struct {
	Slots int // requests at the target at once
	Queue int // requests waiting for a slot
}

// Gate grants slots. Safe for concurrent use.
type Gate struct {
	mu       sync.Mutex
	limits   Limits
	inFlight int
	alone    bool // the request in flight runs alone
	aloneHas bool // a request runs alone or waits to
	queue    queue
	times    estimator
	full     saturation
	agreed   int       // limit that the service's targets agree on; 0: none
	decided  int       // the own decision that was reported last; 0: none
	coldTill time.Time // until then service times say nothing about the load
	draining bool
	idle     chan struct{} // closed when nothing is in flight or queued; nil when nobody waits

	failing     failing
	pace        pace
	readPace    func() (factor float64, ok bool) // nil: requests start at any pace
	readingPace bool                             // a reading is under way or due
}

// verdict ends the wait of a queued request.
type verdict struct {
	slot    *Slot
	refused *failure.Error
}

// Slot is a granted slot. It must be released once.
type Slot struct {
	gate    *Gate
	alone   bool
	kind    string
	load    int // requests at the target including this one, at the start
	started time.Time
	slow    bool // the target was slow at the start
}

// New returns a gate; limits that are zero take their defaults.
func New(limits Limits) *Gate {
	return &Gate{limits: withDefaults(limits)}
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

// SetLimits changes the limits. Requests in flight or queued beyond lower limits are not cut off.
func (g *Gate) SetLimits(limits Limits) {
	limits = withDefaults(limits)
	g.mu.Lock()
	defer g.mu.Unlock()
	if limits == g.limits {
		return
	}
	g.limits = limits
	g.grant()
}

// SetAgreed sets the number of requests at the target at once that the targets of its service agree on; 0: none.
func (g *Gate) SetAgreed(limit int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.agreed != limit {
		g.agreed = limit
		g.grant()
	}
}

// Decided returns the number of requests at once up to which the target is found not to slow down, and true when that is
// new since the last call.
func (g *Gate) Decided() (int, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.full.settled || g.full.upper == g.decided {
		return g.decided, false
	}
	g.decided = g.full.upper
	return g.decided, true
}

// SetCold tells that the target is slow for a while after its start.
func (g *Gate) SetCold(remaining time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.coldTill = time.Now().Add(remaining)
}

// Acquire waits for a slot until the deadline can no longer be met. The error's outcome is always not-run; its reason is
// draining, queue-full, deadline-unreachable, deadline-exceeded or caller-gone.
func (g *Gate) Acquire(ctx context.Context, deadline time.Time) (*Slot, *failure.Error) {
	return g.Enter(ctx, Request{Deadline: deadline})
}

// AcquireAlone waits at most AloneWait for a slot with no other request at the target. Requests that arrive later wait
// behind it; a second request that must run alone is refused while one waits or runs.
func (g *Gate) AcquireAlone(ctx context.Context, deadline time.Time) (*Slot, *failure.Error) {
	return g.Enter(ctx, Request{Deadline: deadline, Alone: true})
}

// Enter waits for a slot like Acquire or, for a request that must run alone, like AcquireAlone. When the queue is full, a
// request that ranks before the last one in it takes its place.
func (g *Gate) Enter(ctx context.Context, request Request) (*Slot, *failure.Error) {
	now := time.Now()
	w := &waiter{Request: request, verdict: make(chan verdict, 1)}
	g.mu.Lock()
	w.takes = g.times.of(request.Kind, g.slots())
	if refused := g.refuse(now, w); refused != nil {
		g.mu.Unlock()
		return nil, refused
	}
	if w.Movable && !w.Alone && g.failing.refuses(now) {
		g.mu.Unlock()
		return nil, failsNow()
	}
	g.aloneHas = g.aloneHas || w.Alone
	held := g.heldByPace(w, now)
	if len(g.queue.waiters) == 0 && g.free(w.Alone) && !held {
		slot := g.start(w, now)
		g.mu.Unlock()
		return slot, nil
	}
	if w.Overflow && !held {
		refused := g.comeBack(failure.New(failure.QueueFull, failure.NotRun, "no slot is free for a request of another region"))
		g.mu.Unlock()
		return nil, refused
	}
	// A request that waits for a slot stays: the targets elsewhere are as full.
	w.movable = w.Movable && !w.Alone && held
	if w.movable && !g.pace.stale(now) { // so it is slow
		refused := slowNow(g.pace.factor)
		g.mu.Unlock()
		return nil, refused
	}
	if len(g.queue.waiters) >= g.limits.Queue && !w.Alone {
		g.displace(now)
	}
	g.queue.add(w)
	if held {
		g.wantPace(now)
	}
	patience := g.patience(now, w)
	g.mu.Unlock()
	return g.wait(ctx, w, patience)
}

// displace refuses the waiter that would get a slot last. The mutex is held.
func (g *Gate) displace(now time.Time) {
	if last := g.queue.last(now); last >= 0 {
		out := g.queue.remove(last)
		refused := failure.New(failure.QueueFull, failure.NotRun, "a request that ranks before took the place")
		out.verdict <- verdict{refused: g.comeBack(refused)}
	}
}

// refuse tells why a request can't be queued or started.
func (g *Gate) refuse(now time.Time, w *waiter) *failure.Error {
	left := w.Deadline.Sub(now)
	switch {
	case g.draining:
		return failure.New(failure.Draining, failure.NotRun, "the target is draining")
	case left <= 0:
		return failure.New(failure.DeadlineExceeded, failure.NotRun, "the deadline has passed")
	case w.Alone && g.aloneHas:
		return failure.New(failure.QueueFull, failure.NotRun, "another request waits to run alone or does")
	case len(g.queue.waiters) == 0 && g.free(w.Alone):
		return nil
	case len(g.queue.waiters) >= g.limits.Queue && !w.Alone && !g.outranksLast(w, now):
		return g.comeBack(failure.New(failure.QueueFull, failure.NotRun, "%d requests wait for a slot", len(g.queue.waiters)))
	}
	if need := g.expected(g.queue.ahead(w, now), w.takes); left < need {
		return g.comeBack(failure.New(failure.DeadlineUnreachable, failure.NotRun, "%v are left, %v are needed", left, need))
	}
	return nil
}

// comeBack adds the time after which the requests that wait now will have started.
func (g *Gate) comeBack(refused *failure.Error) *failure.Error {
	refused.RetryAfter = g.expected(len(g.queue.waiters), 0)
	return refused
}

// outranksLast reports whether w may take the place of the waiter that would get a slot last.
func (g *Gate) outranksLast(w *waiter, now time.Time) bool {
	last := g.queue.last(now)
	if last < 0 {
		return false
	}
	w.arrival = g.queue.arrivals + 1
	return w.before(g.queue.waiters[last], now)
}

// free reports whether a request may start now.
func (g *Gate) free(alone bool) bool {
	if alone {
		return g.inFlight == 0
	}
	return !g.alone && g.inFlight < g.slots()
}

// slots is the number of requests that may be at the target at once.
func (g *Gate) slots() int {
	if g.agreed > 0 && g.agreed <= g.limits.Slots {
		return g.agreed
	}
	return g.full.allowed(g.limits.Slots)
}

// expected is the estimated time to the answer's end for a request that takes the given time once it runs, behind the
// given number of queued ones.
func (g *Gate) expected(ahead int, takes time.Duration) time.Duration {
	typical := g.times.at(g.slots())
	return takes + typical*time.Duration(ahead+1)/time.Duration(g.slots())
}

// patience is the time after which a queued request can no longer be answered in time.
func (g *Gate) patience(now time.Time, w *waiter) time.Duration {
	left := w.Deadline.Sub(now) - w.takes
	if w.Alone {
		left = min(left, AloneWait)
	}
	return left
}

func (g *Gate) start(w *waiter, now time.Time) *Slot {
	g.inFlight++
	g.alone = w.Alone
	return &Slot{gate: g, alone: w.Alone, kind: w.Kind, load: g.inFlight, started: now, slow: g.pace.slow(now)}
}

// wait blocks until the waiter gets a slot, runs out of patience or is dropped.
func (g *Gate) wait(ctx context.Context, w *waiter, patience time.Duration) (*Slot, *failure.Error) {
	timer := time.NewTimer(patience)
	defer timer.Stop()
	var refused *failure.Error
	select {
	case v := <-w.verdict:
		return v.slot, v.refused
	case <-timer.C:
		refused = unreachable()
	case <-ctx.Done():
		refused = failure.Wrap(ctx.Err(), failure.CallerGone, failure.NotRun, "the caller left the queue")
	}
	if g.leave(w) {
		return nil, refused
	}
	v := <-w.verdict
	return v.slot, v.refused
}

func unreachable() *failure.Error {
	return failure.New(failure.DeadlineUnreachable, failure.NotRun, "no slot became free in time")
}

// leave takes the waiter out of the queue; false when it was granted or dropped before.
func (g *Gate) leave(w *waiter) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.queue.leave(w) {
		return false
	}
	g.aloneHas = g.aloneHas && !w.Alone
	g.grant()
	return true
}

// grant starts queued requests while slots are free, and drops those that are too late.
func (g *Gate) grant() {
	now := time.Now()
	for next := g.queue.next(now); next >= 0 && g.free(g.queue.waiters[next].Alone); next = g.queue.next(now) {
		if g.heldByPace(g.queue.waiters[next], now) {
			g.wantPace(now)
			break
		}
		w := g.queue.remove(next)
		w.verdict <- g.decide(w, now)
	}
	if g.idle != nil && g.inFlight == 0 && len(g.queue.waiters) == 0 {
		close(g.idle)
		g.idle = nil
	}
}

// decide starts a request that came to its turn, unless its deadline became unreachable meanwhile.
func (g *Gate) decide(w *waiter, now time.Time) verdict {
	w.takes = g.times.of(w.Kind, g.slots())
	if w.Deadline.Sub(now) < w.takes {
		g.aloneHas = g.aloneHas && !w.Alone
		return verdict{refused: unreachable()}
	}
	return verdict{slot: g.start(w, now)}
}

// Age is the time since the slot was granted.
func (s *Slot) Age() time.Duration { return time.Since(s.started) }

// Release gives the slot back. A completed request adds to the estimate of service times.
func (s *Slot) Release(completed bool) {
	g := s.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	// A request that was cut after more than the usual time counts with the time that it ran: without these, the times of an
	// overloaded target are those of its fastest requests.
	now := time.Now()
	long := now.Sub(s.started) >= g.times.of(s.kind, s.load)
	if (completed || long) && !s.slow && s.kind != "" && now.After(g.coldTill) {
		g.full.record(s.kind, s.load, now.Sub(s.started), g.limits.Slots, now)
	}
	g.inFlight--
	if s.alone {
		g.alone = false
		g.aloneHas = false
	}
	if completed && !s.slow {
		g.times.record(s.kind, s.load, time.Since(s.started))
	}
	g.grant()
}

// Sample returns the current load.
func (g *Gate) Sample() wire.LoadSample {
	g.mu.Lock()
	defer g.mu.Unlock()
	latency := g.times.at(g.inFlight + 1)
	queued := len(g.queue.waiters)
	if g.inFlight >= g.slots() || queued > 0 || g.alone {
		latency = g.expected(queued, g.times.at(g.slots()))
	}
	return wire.LoadSample{InFlight: g.inFlight, Queued: queued, Latency: latency, Draining: g.draining}
}
