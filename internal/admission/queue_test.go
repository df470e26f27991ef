package admission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func waiting(priority int, aim, takes time.Duration) *waiter {
	w := &waiter{Request: Request{Priority: priority, Deadline: start.Add(time.Hour)}, takes: takes}
	if aim != 0 {
		w.Aim = start.Add(aim)
	}
	return w
}

// Guards against calls of running requests that wait behind new requests of lower priority.
func TestQueuePrefersPriorityThenWhatIsInTime(t *testing.T) {
	var q queue
	late := waiting(2, 100*time.Millisecond, 200*time.Millisecond)
	distant := waiting(2, 900*time.Millisecond, 200*time.Millisecond)
	near := waiting(2, 500*time.Millisecond, 200*time.Millisecond)
	inner := waiting(1, 50*time.Millisecond, 60*time.Millisecond) // late too, but of higher priority
	for _, w := range []*waiter{late, distant, near, inner} {
		q.add(w)
	}
	assert.Equal(t, q.waiters[q.last(start)], late)
	for _, want := range []*waiter{inner, near, distant, late} {
		assert.Equal(t, q.remove(q.next(start)), want)
	}
	assert.Equal(t, q.next(start), -1)
}

// Guards against an order that two waiters disagree about, which would let next depend on the order of arrival.
func TestQueueOrderIsStrict(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ms := func(name string, low, high int) time.Duration {
			return time.Duration(rapid.IntRange(low, high).Draw(t, name)) * time.Millisecond
		}
		var q queue
		for range rapid.IntRange(1, 12).Draw(t, "waiters") {
			q.add(waiting(rapid.IntRange(0, 2).Draw(t, "priority"), ms("aim", 0, 400), ms("takes", 0, 300)))
		}
		now := start.Add(ms("now", 0, 400))
		for i, a := range q.waiters {
			for j, b := range q.waiters {
				if i != j {
					assert.Assert(t, a.before(b, now) != b.before(a, now))
				}
			}
		}
		first, last := q.next(now), q.last(now)
		for i, w := range q.waiters {
			assert.Assert(t, i == first || q.waiters[first].before(w, now))
			assert.Assert(t, i == last || w.before(q.waiters[last], now))
		}
	})
}

// load is a recorded kind of request: its arrivals a second, its service time, aim and priority.
type load struct {
	every, service, aim time.Duration
	priority            int
}

// replay runs loads through one target with the given slots and returns the answers in time by load. byOrder chooses the
// next waiter.
func replay(slots int, loads []load, length time.Duration, byOrder func(q *queue, now time.Time) int) []int {
	const step = time.Millisecond
	inTime := make([]int, len(loads))
	owner := map[*waiter]int{}
	type running struct {
		w   *waiter
		end time.Time
	}
	var at []running
	var q queue
	for now := start; now.Before(start.Add(length)); now = now.Add(step) {
		kept := at[:0]
		for _, one := range at {
			switch {
			case now.Before(one.end):
				kept = append(kept, one)
			case !now.After(one.w.Aim):
				inTime[owner[one.w]]++
			}
		}
		at = kept
		for i, one := range loads {
			if now.Sub(start)%one.every == 0 {
				w := &waiter{Request: Request{Priority: one.priority, Aim: now.Add(one.aim), Deadline: now.Add(3 * one.aim)}, takes: one.service}
				owner[w] = i
				q.add(w)
			}
		}
		for len(at) < slots && len(q.waiters) > 0 {
			w := q.remove(byOrder(&q, now))
			if !now.Add(w.takes).After(w.Deadline) {
				at = append(at, running{w, now.Add(w.takes)})
			}
		}
	}
	return inTime
}

// Replays a burst on a service with long lookups that other services call for short checks: at 1.5 times the capacity,
// an order by arrival makes nearly all answers late. Guards against losing the checks, and against a queue in which all
// answers are late although half of them could be in time.
func TestQueueKeepsAnswersInTimeUnderBurst(t *testing.T) {
	loads := []load{
		{every: 25 * time.Millisecond, service: 55 * time.Millisecond, aim: 150 * time.Millisecond, priority: 1},
		{every: 80 * time.Millisecond, service: 550 * time.Millisecond, aim: 1500 * time.Millisecond, priority: 2},
		{every: 160 * time.Millisecond, service: 880 * time.Millisecond, aim: 2000 * time.Millisecond, priority: 2},
	}
	const slots, length = 9, 20 * time.Second
	byArrival := replay(slots, loads, length, func(*queue, time.Time) int { return 0 })
	ordered := replay(slots, loads, length, (*queue).next)
	t.Logf("in time by arrival %v, ordered %v", byArrival, ordered)
	checks := int(length / loads[0].every)
	assert.Assert(t, ordered[0] >= checks*9/10, "checks in time: %d of %d", ordered[0], checks)
	assert.Assert(t, ordered[1]+ordered[2] > byArrival[1]+byArrival[2])
	assert.Assert(t, byArrival[0] < checks/2, "the replayed load must be one that the order by arrival fails")
}
