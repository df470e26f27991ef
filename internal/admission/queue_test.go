package admission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func newWaiter(priority int, softDeadline, serviceTime time.Duration) *waiter {
	w := &waiter{Request: Request{Priority: priority, Deadline: start.Add(time.Hour)},
		serviceTime: serviceTime, typicalTime: serviceTime}
	if softDeadline != 0 {
		w.SoftDeadline = start.Add(softDeadline)
	}
	return w
}

// Guards against calls on behalf of running requests that wait behind new requests of lower priority.
func TestQueueOrdersByPriorityThenSoftDeadline(t *testing.T) {
	var q queue
	late := newWaiter(2, 100*time.Millisecond, 200*time.Millisecond)
	distant := newWaiter(2, 900*time.Millisecond, 200*time.Millisecond)
	near := newWaiter(2, 500*time.Millisecond, 200*time.Millisecond)
	inner := newWaiter(1, 50*time.Millisecond, 60*time.Millisecond) // late as well, but of higher priority
	for _, w := range []*waiter{late, distant, near, inner} {
		q.add(w)
	}
	assert.Equal(t, q.waiters[q.evictIndex(start)], late)
	for _, want := range []*waiter{inner, near, distant, late} {
		assert.Equal(t, q.remove(q.nextIndex(start)), want)
	}
	assert.Equal(t, q.nextIndex(start), -1)
}

// Guards against an order that is not strict, with which nextIndex would depend on the order of arrival.
func TestQueueOrderIsStrict(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ms := func(name string, low, high int) time.Duration {
			return time.Duration(rapid.IntRange(low, high).Draw(t, name)) * time.Millisecond
		}
		var q queue
		for range rapid.IntRange(1, 12).Draw(t, "waiters") {
			q.add(newWaiter(rapid.IntRange(0, 2).Draw(t, "priority"), ms("aim", 0, 400), ms("takes", 0, 300)))
		}
		now := start.Add(ms("now", 0, 400))
		for _, w := range q.waiters {
			w.overserved, w.underserved = rapid.Bool().Draw(t, "overserved"), rapid.Bool().Draw(t, "underserved")
		}
		q.plan(nil, []time.Duration{ms("free", 0, 300), ms("free", 0, 300)}, now)
		for i, a := range q.waiters {
			for j, b := range q.waiters {
				if i != j {
					assert.Assert(t, a.before(b, now) != b.before(a, now))
					assert.Assert(t, a.staysBefore(b, now) != b.staysBefore(a, now))
				}
			}
		}
		first, last := q.nextIndex(now), q.evictIndex(now)
		for i, w := range q.waiters {
			assert.Assert(t, i == first || q.waiters[first].before(w, now))
			assert.Assert(t, i == last || w.staysBefore(q.waiters[last], now))
		}
	})
}

// workload is a kind of request taken from a recording: the interval between arrivals, the service time, the soft
// deadline after the arrival, and the priority.
type workload struct {
	every, service, softDeadline time.Duration
	priority                     int
}

// replay simulates one target with the given slots under the workloads and returns the number of answers in time
// for each of them. nextIndex selects the waiter that gets the next slot.
func replay(slots int, workloads []workload, length time.Duration, nextIndex func(q *queue, now time.Time) int) []int {
	const step = time.Millisecond
	inTime := make([]int, len(workloads))
	workloadIndex := map[*waiter]int{}
	type running struct {
		w   *waiter
		end time.Time
	}
	var inService []running
	var q queue
	for now := start; now.Before(start.Add(length)); now = now.Add(step) {
		kept := inService[:0]
		for _, r := range inService {
			switch {
			case now.Before(r.end):
				kept = append(kept, r)
			case !now.After(r.w.SoftDeadline):
				inTime[workloadIndex[r.w]]++
			}
		}
		inService = kept
		for i, l := range workloads {
			if now.Sub(start)%l.every == 0 {
				w := &waiter{Request: Request{Priority: l.priority,
					SoftDeadline: now.Add(l.softDeadline), Deadline: now.Add(3 * l.softDeadline)},
					serviceTime: l.service, typicalTime: l.service}
				workloadIndex[w] = i
				q.add(w)
			}
		}
		for len(inService) < slots && len(q.waiters) > 0 {
			w := q.remove(nextIndex(&q, now))
			if !now.Add(w.serviceTime).After(w.Deadline) {
				inService = append(inService, running{w, now.Add(w.serviceTime)})
			}
		}
	}
	return inTime
}

// Guards against a burst on a service with long lookups that other services call for short checks: at 1.5 times the
// capacity, an order by arrival makes nearly all answers late. The checks must not be lost, and not all lookups may
// be late while half of them could be in time.
func TestQueueKeepsAnswersInTimeUnderBurst(t *testing.T) {
	workloads := []workload{
		{every: 25 * time.Millisecond, service: 55 * time.Millisecond, softDeadline: 150 * time.Millisecond, priority: 1},
		{every: 80 * time.Millisecond, service: 550 * time.Millisecond, softDeadline: 1500 * time.Millisecond, priority: 2},
		{every: 160 * time.Millisecond, service: 880 * time.Millisecond, softDeadline: 2000 * time.Millisecond, priority: 2},
	}
	const slots, length = 9, 20 * time.Second
	byArrival := replay(slots, workloads, length, func(*queue, time.Time) int { return 0 })
	ordered := replay(slots, workloads, length, (*queue).nextIndex)
	t.Logf("in time by arrival %v, ordered %v", byArrival, ordered)
	checks := int(length / workloads[0].every)
	assert.Assert(t, ordered[0] >= checks*9/10, "checks in time: %d of %d", ordered[0], checks)
	assert.Assert(t, ordered[1]+ordered[2] > byArrival[1]+byArrival[2])
	assert.Assert(t, byArrival[0] < checks/2, "the simulated load must be one that an order by arrival can't serve")
}
