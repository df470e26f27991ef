package admission

import (
	"context"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
	"gotest.tools/v3/poll"

	"github.com/acacialock/acacialock/internal/failure"
)

// Guards against spillover requests of another region that queue at a target and delay the requests of its own region.
func TestOverflowTakesFreeSlotsOnly(t *testing.T) {
	limiter := New(Limits{Slots: 2, Queue: 4})
	request := Request{Deadline: time.Now().Add(time.Minute), Overflow: true}
	var slots []*Slot
	for range 2 {
		slot, refusal := limiter.Acquire(context.Background(), request)
		assert.Assert(t, refusal == nil)
		slots = append(slots, slot)
	}
	_, refusal := limiter.Acquire(context.Background(), request)
	assert.Equal(t, refusal.Reason, failure.QueueFull)
	assert.Equal(t, refusal.Outcome, failure.NotRun)
	assert.Equal(t, limiter.LoadSample().Queued, 0)
	slots[0].Release(true)
	slot, refusal := limiter.Acquire(context.Background(), request)
	assert.Assert(t, refusal == nil)
	slot.Release(true)
	slots[1].Release(true)
}

// Guards against a claim to run alone that stays when its request is refused as an overflow: all later ones were refused.
func TestRefusedOverflowLeavesNoClaim(t *testing.T) {
	limiter := New(Limits{Slots: 2, Queue: 4})
	request := Request{Deadline: time.Now().Add(time.Minute)}
	running, refusal := limiter.Acquire(context.Background(), request)
	assert.Assert(t, refusal == nil)
	request.Exclusive, request.Overflow = true, true
	_, refusal = limiter.Acquire(context.Background(), request)
	assert.Equal(t, refusal.Reason, failure.QueueFull)
	running.Release(true)
	request.Overflow = false
	alone, refusal := limiter.Acquire(context.Background(), request)
	assert.Assert(t, refusal == nil, "%v", refusal)
	alone.Release(true)
}

// Guards against requests that wait behind a backlog although another region can answer them in time, and against requests
// that leave without need: with a short queue, with too little slack, or without another region.
func TestRequestsWithSlackLeaveABusyTarget(t *testing.T) {
	limiter := New(Limits{Slots: 2, Queue: 4})
	request := func(softDeadline time.Duration, canOverflow bool) Request {
		now := time.Now()
		return Request{Deadline: now.Add(time.Minute), SoftDeadline: now.Add(softDeadline), CanOverflow: canOverflow}
	}
	var slots []*Slot
	for range 2 {
		slot, refusal := limiter.Acquire(context.Background(), request(time.Hour, true))
		assert.Assert(t, refusal == nil)
		slots = append(slots, slot)
	}
	queued := make(chan *Slot)
	enqueue := func(r Request) {
		before := limiter.LoadSample().Queued
		go func() {
			slot, _ := limiter.Acquire(context.Background(), r)
			queued <- slot
		}()
		poll.WaitOn(t, func(poll.LogT) poll.Result { return poll.Compare(cmp.Equal(limiter.LoadSample().Queued, before+1)) })
	}
	enqueue(request(time.Hour, true)) // no backlog yet
	_, refusal := limiter.Acquire(context.Background(), request(time.Hour, true))
	assert.Equal(t, refusal.Reason, failure.TargetBusy)
	assert.Equal(t, refusal.Outcome, failure.NotRun)
	enqueue(request(overflowTime-time.Millisecond, true)) // too little slack
	enqueue(request(time.Hour, false))                    // no other region
	for range 3 {
		slots[0].Release(true)
		slots = append(slots[1:], <-queued)
	}
	for _, slot := range slots {
		slot.Release(true)
	}
}

// Guards against callers of a short region who get far fewer answers in time while another region has free slots: one
// region has a third of the slots and half of the requests. Its callers must get 0.9 of what those of the other region get.
func TestOverflowBySlackServesUnequalRegions(t *testing.T) {
	kinds := []workload{
		{every: 40 * time.Millisecond, service: 42 * time.Millisecond, softDeadline: 150 * time.Millisecond, priority: 0},
		{every: 90 * time.Millisecond, service: 240 * time.Millisecond, softDeadline: 600 * time.Millisecond, priority: 2},
	}
	const length = 20 * time.Second
	byLength := func(q *queue, w *waiter, slots int, now time.Time) bool {
		return 2*len(q.waiters) >= slots && w.hasOverflowSlack(now)
	}
	stay, _ := replayRegions([]int{3, 9}, kinds, length, func(*queue, *waiter, int, time.Time) bool { return false })
	former, formerlyLeft := replayRegions([]int{3, 9}, kinds, length, byLength)
	leave, left := replayRegions([]int{3, 9}, kinds, length, (*queue).leavesRegion)
	t.Logf("in time by region and kind: all stay %v, by queue length %v, at risk %v; %d and %d left", stay, former, leave, formerlyLeft, left)
	assert.Assert(t, left < formerlyLeft, "requests that the link is billed for")
	for kind := range kinds {
		assert.Assert(t, 10*leave[0][kind] >= 9*leave[1][kind], "kind %d", kind)
		assert.Assert(t, leave[1][kind] >= stay[1][kind], "kind %d of the region with free slots", kind)
	}
	assert.Assert(t, 10*stay[0][1] < 9*stay[1][1], "the simulated load must be one that the short region can't serve alone")
}

// Guards against requests that cross the billed link because of a queue that they can wait for, and against requests at risk
// that stay.
func TestRequestsLeaveRegionOnlyAtRisk(t *testing.T) {
	const slots, work = 4, 200 * time.Millisecond
	for _, c := range []struct {
		softDeadline time.Duration
		waiting      int
		want         bool
	}{
		{2 * time.Second, 1, false},
		{2 * time.Second, 4, false},
		{2 * time.Second, 17, true},
		{700 * time.Millisecond, 1, false}, // no backlog
		{700 * time.Millisecond, 4, true},
		{350 * time.Millisecond, 4, false}, // too late in the other region as well
	} {
		var q queue
		for range c.waiting {
			q.add(newWaiter(0, time.Hour, work))
		}
		for _, w := range q.waiters {
			w.SoftDeadline = start.Add(c.softDeadline - 1)
		}
		free := []time.Duration{work, work, work, work}
		w := newWaiter(0, c.softDeadline, work)
		q.plan(w, free, start)
		assert.Equal(t, q.leavesRegion(w, slots, start), c.want, "%+v", c)
	}
}

// replayRegions simulates one target for each region with the given slots. Each region gets all workloads. Requests for which
// leaves returns true leave their region for a free slot of another one; the way there and back takes 60 ms. It returns the
// answers in time by region of the caller and by workload, and the number of requests that left.
func replayRegions(slots []int, workloads []workload, length time.Duration, leaves func(*queue, *waiter, int, time.Time) bool) (answers [][]int, left int) {
	const step, roundTrip = time.Millisecond, 60 * time.Millisecond
	type job struct {
		w      *waiter
		region int // of the caller
		kind   int
		end    time.Time // in service
	}
	inTime := make([][]int, len(slots))
	for r := range slots {
		inTime[r] = make([]int, len(workloads))
	}
	jobs := map[*waiter]*job{}
	queues := make([]queue, len(slots))
	inService := make([][]*job, len(slots))
	for now := start; now.Before(start.Add(length)); now = now.Add(step) {
		for r := range slots {
			inService[r] = slices.DeleteFunc(inService[r], func(j *job) bool {
				if now.Before(j.end) {
					return false
				}
				if !j.end.After(j.w.SoftDeadline) {
					inTime[j.region][j.kind]++
				}
				return true
			})
		}
		for r := range slots {
			for kind, load := range workloads {
				if now.Sub(start)%load.every != 0 {
					continue
				}
				w := &waiter{Request: Request{Priority: load.priority, SoftDeadline: now.Add(load.softDeadline)}, serviceTime: load.service, typicalTime: load.service}
				jobs[w] = &job{w: w, region: r, kind: kind}
				other := (r + 1) % len(slots)
				var running []time.Duration
				for _, j := range inService[r] {
					running = append(running, j.end.Sub(now))
				}
				queues[r].plan(w, append(running, make([]time.Duration, slots[r]-len(running))...), now)
				free := len(inService[other]) < slots[other] && len(queues[other].waiters) == 0
				if free && leaves(&queues[r], w, slots[r], now) {
					left++
					jobs[w].end = now.Add(load.service + roundTrip)
					inService[other] = append(inService[other], jobs[w])
					continue
				}
				queues[r].add(w)
			}
			for len(inService[r]) < slots[r] && len(queues[r].waiters) > 0 {
				w := queues[r].remove(queues[r].nextIndex(now))
				if now.Sub(w.SoftDeadline) > 2*time.Second {
					continue // the caller has left
				}
				jobs[w].end = now.Add(w.serviceTime)
				inService[r] = append(inService[r], jobs[w])
			}
		}
	}
	return inTime, left
}
