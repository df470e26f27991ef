package admission

import (
	"cmp"
	"math/bits"
	"slices"
	"time"
)

// class orders the waiters of one priority.
type class int8

const (
	// planned waiters start early enough to meet their soft deadline, or have none.
	planned class = iota
	// displaced waiters could meet their soft deadline if they started now, but others of their priority go first.
	displaced
	// late waiters can't meet their soft deadline any more.
	late
)

// maxPlannedWaiters bounds the work of a plan: in longer queues, no request is displaced.
const maxPlannedWaiters = 64

// plan classifies the waiters, and extra if it is not nil, which is a request that has not been queued yet. free holds for each
// slot the expected time until a new request can start in it; its values are changed.
//
// It answers a load beyond the capacity within one priority: in order of soft deadlines alone, each request then starts just
// too late. As many requests as possible are planned to meet their soft deadlines: in order of these, and as soon as one would
// miss it, the one of those planned so far that yields first is displaced, which is the one with the most work, unless tenants
// or kinds have got unequal shares (Moore and Hodgson's rule, applied to several slots). While all can meet their soft
// deadlines, the order is that of these deadlines.
func (q *queue) plan(extra *waiter, free []time.Duration, now time.Time) {
	waiters := append(q.scratch[:0], q.waiters...)
	if extra != nil {
		extra.sequence = q.lastSequence + 1
		waiters = append(waiters, extra)
	}
	slices.SortFunc(waiters, compareSoftDeadlines)
	for first := 0; first < len(waiters); {
		end := first + 1
		for end < len(waiters) && waiters[end].Priority == waiters[first].Priority {
			end++
		}
		q.planPriority(waiters[first:end], free, now, len(waiters) <= maxPlannedWaiters)
		first = end
	}
	clear(waiters)
	q.scratch = waiters[:0]
}

func compareSoftDeadlines(a, b *waiter) int {
	switch {
	case a.Priority != b.Priority:
		return cmp.Compare(a.Priority, b.Priority)
	case a.SoftDeadline.IsZero() != b.SoftDeadline.IsZero():
		if a.SoftDeadline.IsZero() {
			return 1
		}
		return -1
	case !a.SoftDeadline.Equal(b.SoftDeadline):
		return a.SoftDeadline.Compare(b.SoftDeadline)
	}
	return cmp.Compare(a.sequence, b.sequence)
}

// planPriority classifies the waiters of one priority, which are in order of their soft deadlines, and adds their work to
// free. Without displace, each is classified on its own.
func (q *queue) planPriority(waiters []*waiter, free []time.Duration, now time.Time, displace bool) {
	before := append(q.freeScratch[:0], free...)
	q.freeScratch = before
	for i, w := range waiters {
		switch {
		case w.late(now):
			w.class = late
		case !displace || w.occupy(free, now):
			w.class = planned
		default:
			w.class = displaced
			q.displaceFor(w, waiters[:i], before, free, now)
		}
	}
	for _, w := range waiters {
		if w.class != planned {
			w.start = occupySlot(free, w.typicalTime)
		}
	}
}

// displaceFor plans w in place of the one of the waiters ahead that yields first, if that lets w meet its soft deadline.
func (q *queue) displaceFor(w *waiter, ahead []*waiter, before, free []time.Duration, now time.Time) {
	victim := w
	for _, other := range ahead {
		if other.class == planned && other.yieldsTo(victim) {
			victim = other
		}
	}
	if victim == w {
		return
	}
	victim.class = displaced
	occupyAll(ahead, before, free)
	if w.occupy(free, now) {
		w.class = planned
		return
	}
	victim.class = planned
	occupyAll(ahead, before, free)
}

// occupyAll sets free to its values before the waiters, and adds the work of those that are planned.
func occupyAll(waiters []*waiter, before, free []time.Duration) {
	copy(free, before)
	for _, w := range waiters {
		if w.class == planned {
			w.start = occupySlot(free, w.typicalTime)
		}
	}
}

// occupy adds the waiter's work to the slot that is free first, if it meets its soft deadline then, and reports that.
func (w *waiter) occupy(free []time.Duration, now time.Time) bool {
	if !w.SoftDeadline.IsZero() && now.Add(slices.Min(free)+w.typicalTime).After(w.SoftDeadline) {
		return false
	}
	w.start = occupySlot(free, w.typicalTime)
	return true
}

// occupySlot adds work to the slot that is free first and returns the time until it starts.
func occupySlot(free []time.Duration, work time.Duration) time.Duration {
	first := 0
	for i, until := range free {
		if until < free[first] {
			first = i
		}
	}
	start := free[first]
	free[first] += work
	return start
}

// yieldsTo reports whether w is displaced rather than other if only one of them can meet its soft deadline: a request of
// a tenant that has got more than it is due before others, one of a kind that has got too little after others, and else
// the one with more work.
func (w *waiter) yieldsTo(other *waiter) bool {
	switch {
	case w.overserved != other.overserved:
		return w.overserved
	case w.underserved != other.underserved:
		return other.underserved
	}
	return w.typicalTime > other.typicalTime
}

// placement says what becomes of a request that can't start at once.
type placement int8

const (
	enqueue  placement = iota // it waits
	replace                   // it waits in place of the request that evictIndex returns
	turnAway                  // it is refused, because the queue is full of requests that stay before it
)

// place decides about a request that was planned with the queue, which may hold length requests.
func (q *queue) place(w *waiter, length int, now time.Time) placement {
	if w.Exclusive || len(q.waiters) < length {
		return enqueue
	}
	w.sequence = q.lastSequence + 1
	if first := q.evictIndex(now); first >= 0 && w.staysBefore(q.waiters[first], now) {
		return replace
	}
	return turnAway
}

// staysBefore reports whether other is refused rather than w if the queue is full. While callers stall, streamed requests are
// refused first. Of one priority, requests that are late are
// refused first, then those of tenants that have got more than they are due, then those of kinds that have not got too little,
// then the long ones, each of which takes the time of several others, and then those that the plan displaced: they would wait
// and be late.
func (w *waiter) staysBefore(other *waiter, now time.Time) bool {
	late, otherLate := w.late(now), other.late(now)
	switch {
	case w.yields != other.yields || w.starved != other.starved || w.Priority != other.Priority:
		return w.before(other, now)
	case late != otherLate:
		return otherLate
	case w.overserved != other.overserved:
		return other.overserved
	case w.underserved != other.underserved:
		return w.underserved
	case w.workClass() != other.workClass():
		return w.workClass() < other.workClass()
	}
	return w.before(other, now)
}

// workClass returns the binary logarithm of the work in milliseconds, so that kinds of nearly the same work count as equal.
func (w *waiter) workClass() int { return bits.Len64(uint64(w.typicalTime / time.Millisecond)) }

// evictIndex returns the index of the waiter that is refused first if the queue is full, or -1 if there is none. Requests
// for exclusive use are not considered.
func (q *queue) evictIndex(now time.Time) int {
	first := -1
	for i, w := range q.waiters {
		if !w.Exclusive && (first < 0 || q.waiters[first].staysBefore(w, now)) {
			first = i
		}
	}
	return first
}

// triesAnother reports whether a request that was planned with the queue of a target with the given slots goes on to another
// target of its region instead of waiting: it would miss its soft deadline here, or leave the region. That costs one hop, so
// only its first target sends it on. It answers short requests of which a few meet at one target while others have free slots.
func (q *queue) triesAnother(w *waiter, slots int, now time.Time) bool {
	if w.Sends != 1 || !w.HasAlternative || w.Exclusive || w.Overflow {
		return false
	}
	return w.class == displaced || w.CanOverflow && q.leavesRegion(w, slots, now)
}

const (
	// movesPerRequest is the part of the requests of a target that may be sent on to another one. Each such hop costs processor
	// time, which is short when targets are.
	movesPerRequest = 0.1
	// maxSavedMoves is the number of requests that may be sent on at once.
	maxSavedMoves = 10
)

// moveBudget bounds the requests that a target sends on to others; see queue.triesAnother.
type moveBudget struct{ moves float64 }

// earn counts a request of the target.
func (b *moveBudget) earn() { b.moves = min(b.moves+movesPerRequest, maxSavedMoves) }

// spend takes one move from the budget and reports whether there was one.
func (b *moveBudget) spend() bool {
	if b.moves < 1 {
		return false
	}
	b.moves--
	return true
}

// homeSlackDivisor is the part of its slack that a request may be planned to wait in its own region without leaving it. Plans
// are estimates: beyond that, too many requests miss their soft deadlines.
const homeSlackDivisor = 2

// atRisk reports whether a request that was planned may miss its soft deadline.
func (w *waiter) atRisk(now time.Time) bool {
	return w.class != planned || homeSlackDivisor*w.start > w.SoftDeadline.Sub(now)-w.typicalTime
}

// leavesRegion reports whether a request that was planned with the queue of a target with the given slots is better served in
// another region, over a link that is billed: requests wait for half a service time, it or one that waits is at risk to miss its
// soft deadline, and it has the slack to meet its own there. While the service time is unknown, a long queue suffices.
func (q *queue) leavesRegion(w *waiter, slots int, now time.Time) bool {
	if backlog := 2*len(q.waiters) >= slots; !backlog || !w.hasOverflowSlack(now) {
		return false
	}
	return w.typicalTime == 0 || w.atRisk(now) ||
		slices.ContainsFunc(q.waiters, func(other *waiter) bool { return other.class == displaced })
}
