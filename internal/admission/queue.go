package admission

import (
	"slices"
	"time"
)

// Request describes a request that needs a slot.
type Request struct {
	// Deadline is the time at which the caller stops waiting for the answer.
	Deadline time.Time
	// Priority orders requests when not all can be served in time; lower values go first, 0 before all others.
	Priority int
	// SoftDeadline is the time until which an answer has its full value; zero: unknown. A request that can't
	// meet it any more is served after those of its priority that can.
	SoftDeadline time.Time
	// Kind groups requests with similar service times; empty: unknown.
	Kind string
	// Tenant is the name of the tenant that the request belongs to; empty: none. Under shortage, requests of tenants that have
	// got more than they are due yield to others of their priority.
	Tenant string
	// TenantWeight is the part that is due to the tenant, in proportion to that of others; 0: unknown.
	TenantWeight float64
	// Sends is the number of targets that the request was sent to so far, this one included; 0: unknown.
	Sends int
	// Exclusive requests exclusive use: a slot with no other request at the target.
	Exclusive bool
	// HasAlternative is true if the sender can try another target. Such a request is refused instead of queued while the
	// target is slow, and instead of run while the target fails most requests.
	HasAlternative bool
	// Overflow is true for spillover from a region without free capacity. Such a request gets a free slot or is
	// refused; it does not wait for one.
	Overflow bool
	// CanOverflow is true if the sender can offer the request to another region. If no slot is free, such a request is
	// refused instead of queued while it can still meet its soft deadline there.
	CanOverflow bool
	// Streamed is true if the caller's body is sent on while it arrives. While callers stall, such requests yield to others.
	Streamed bool
	// Caller tells whether the caller stalls; nil: the request is not cut off for that.
	Caller Caller
}

// waiter is a queued request.
type waiter struct {
	Request
	sequence     uint64        // sequence number in order of arrival
	serviceTime  time.Duration // expected service time, the mean of its kind; 0: unknown
	typicalTime  time.Duration // service time of most requests of its kind; see estimator.typical
	class        class         // by the last plan
	start        time.Duration // planned time until the request gets a slot
	overserved   bool          // its tenant has got more requests through than it is due
	underserved  bool          // its kind has got far fewer requests through than others
	refuseIfSlow bool          // may be refused while queued because the target is slow
	yields       bool          // it is streamed, and callers of others have stalled
	starved      bool          // the next request that the target's limit admits is this kind's; see rateLimit.isStarved
	result       chan result   // buffered, receives one value
}

// overflowTime is the time that a request may lose in another region: one round trip of 60 ms for a new connection, one for
// the request, and a short wait.
const overflowTime = 180 * time.Millisecond

// hasOverflowSlack reports whether the request can meet its soft deadline in another region. It answers load on regions of
// unequal size: while one has a queue and another free slots, requests with the most slack leave first, and those with too
// little keep the slots of their own region.
func (w *waiter) hasOverflowSlack(now time.Time) bool {
	return !w.SoftDeadline.IsZero() && w.SoftDeadline.Sub(now)-w.serviceTime >= overflowTime
}

// late reports whether the answer would miss the soft deadline if the request started now.
func (w *waiter) late(now time.Time) bool {
	return !w.SoftDeadline.IsZero() && now.Add(w.typicalTime).After(w.SoftDeadline)
}

// before reports whether w gets a slot before other. Priority comes first because of bursts on a service that other
// services call: without it, short calls on behalf of requests that had already run for long were refused behind long
// new requests, and the work of their callers was lost. Within a priority the classes of the last plan follow, so that as
// many requests as possible meet their soft deadlines, and within a class the earliest soft deadline, or the order of
// arrival for requests that are late already. While callers stall, streamed requests go last. Under a limit of the target, a kind that got none of the last requests goes
// first.
func (w *waiter) before(other *waiter, now time.Time) bool {
	if w.yields != other.yields {
		return other.yields
	}
	if w.starved != other.starved {
		return w.starved
	}
	if w.Priority != other.Priority {
		return w.Priority < other.Priority
	}
	class, otherClass := w.classAt(now), other.classAt(now)
	if class != otherClass {
		return class < otherClass
	}
	if class != late && !w.SoftDeadline.Equal(other.SoftDeadline) {
		return !w.SoftDeadline.IsZero() && (other.SoftDeadline.IsZero() || w.SoftDeadline.Before(other.SoftDeadline))
	}
	return w.sequence < other.sequence
}

// classAt returns the class of the last plan, or late if the soft deadline has become unreachable since.
func (w *waiter) classAt(now time.Time) class {
	if w.late(now) {
		return late
	}
	return w.class
}

// queue holds the waiters in order of arrival. It is not safe for concurrent use and does no I/O.
type queue struct {
	waiters      []*waiter
	lastSequence uint64

	// Scratch buffers of a plan.
	scratch     []*waiter
	freeScratch []time.Duration
}

func (q *queue) add(w *waiter) {
	q.lastSequence++
	w.sequence = q.lastSequence
	q.waiters = append(q.waiters, w)
}

// nextIndex returns the index of the waiter that gets the next slot, or -1 if there is none. Requests that arrived
// after a request for exclusive use wait behind it.
func (q *queue) nextIndex(now time.Time) int {
	best := -1
	for i, w := range q.waiters {
		if best < 0 || w.before(q.waiters[best], now) {
			best = i
		}
		if w.Exclusive {
			break
		}
	}
	return best
}

// goesBefore reports whether a request in the queue goes before w, which has just arrived. Streamed requests that are held back
// do not keep others from free slots.
func (q *queue) goesBefore(w *waiter) bool {
	return slices.ContainsFunc(q.waiters, func(other *waiter) bool { return other.Exclusive || !other.yields || w.yields })
}

// countAhead returns the number of waiters that would get a slot before w.
func (q *queue) countAhead(w *waiter, now time.Time) int {
	count := 0
	for _, other := range q.waiters {
		if other.Exclusive || other.before(w, now) {
			count++
		}
	}
	return count
}

// hasStarved reports whether a request of the kind waits that goes first because its kind got none of the last requests.
func (q *queue) hasStarved(kind string) bool {
	return slices.ContainsFunc(q.waiters, func(w *waiter) bool { return w.starved && w.Kind == kind })
}

func (q *queue) remove(i int) *waiter {
	w := q.waiters[i]
	q.waiters = append(q.waiters[:i], q.waiters[i+1:]...)
	return w
}

// removeWaiter removes w and reports whether it was still queued.
func (q *queue) removeWaiter(w *waiter) bool {
	for i, queued := range q.waiters {
		if queued == w {
			q.remove(i)
			return true
		}
	}
	return false
}
