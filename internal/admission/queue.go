package admission

import (
	"time"
)

// Request describes a request that needs a slot.
type Request struct {
	Deadline time.Time
	// Priority ranks requests when not all can be served in time; 0 goes first.
	Priority int
	// Aim is the time until which an answer has its full worth; zero: unknown. A request that can't meet it any more
	// goes behind those of its priority that can.
	Aim time.Time
	// Kind names requests that take similar times; empty: unknown.
	Kind string
	// Alone asks for a slot with no other request at the target.
	Alone bool
	// Movable tells that the sender has other targets to try. Such a request is refused instead of waiting while the target
	// is slow, and instead of running while the target fails most requests.
	Movable bool
	// Overflow tells that the request comes from a region that has no room for it. It gets a slot that is free, and is refused
	// where it would wait.
	Overflow bool
}

// waiter is a queued request.
type waiter struct {
	Request
	arrival uint64        // rises with each queued request
	takes   time.Duration // expected time to the answer's end once it runs; 0: unknown
	movable bool          // it may be refused because the target is slow
	verdict chan verdict  // holds one value
}

// late reports whether a start now misses the aim.
func (w *waiter) late(now time.Time) bool {
	return !w.Aim.IsZero() && now.Add(w.takes).After(w.Aim)
}

// before reports whether w gets a slot before other. It answers the load of a burst on a service that other services call:
// without the order by priority, short calls of requests that already ran for long were refused behind long new requests,
// and the work of their callers was lost. Among equals that can still be in time, the earliest aim goes first, so that few
// miss theirs while the queue is short; those that are late already don't take slots from them when it is long.
func (w *waiter) before(other *waiter, now time.Time) bool {
	if w.Priority != other.Priority {
		return w.Priority < other.Priority
	}
	late, otherLate := w.late(now), other.late(now)
	if late != otherLate {
		return otherLate
	}
	if !late && !w.Aim.Equal(other.Aim) {
		return !w.Aim.IsZero() && (other.Aim.IsZero() || w.Aim.Before(other.Aim))
	}
	return w.arrival < other.arrival
}

// queue holds the waiters in order of their arrival. It is not safe for concurrent use and does no I/O.
type queue struct {
	waiters  []*waiter
	arrivals uint64
}

func (q *queue) add(w *waiter) {
	q.arrivals++
	w.arrival = q.arrivals
	q.waiters = append(q.waiters, w)
}

// next is the index of the waiter that gets the next slot, or -1. Requests that arrived after one that must run alone
// wait behind it.
func (q *queue) next(now time.Time) int {
	best := -1
	for i, w := range q.waiters {
		if best < 0 || w.before(q.waiters[best], now) {
			best = i
		}
		if w.Alone {
			break
		}
	}
	return best
}

// last is the index of the waiter that would get a slot last, or -1; one that must run alone never counts.
func (q *queue) last(now time.Time) int {
	worst := -1
	for i, w := range q.waiters {
		if !w.Alone && (worst < 0 || q.waiters[worst].before(w, now)) {
			worst = i
		}
	}
	return worst
}

// ahead counts the waiters that get a slot before w would.
func (q *queue) ahead(w *waiter, now time.Time) int {
	count := 0
	for _, other := range q.waiters {
		if other.Alone || other.before(w, now) {
			count++
		}
	}
	return count
}

func (q *queue) remove(i int) *waiter {
	w := q.waiters[i]
	q.waiters = append(q.waiters[:i], q.waiters[i+1:]...)
	return w
}

// leave removes a waiter; false when it is not queued any more.
func (q *queue) leave(w *waiter) bool {
	for i, queued := range q.waiters {
		if queued == w {
			q.remove(i)
			return true
		}
	}
	return false
}
