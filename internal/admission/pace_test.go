package admission

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/acacialock/acacialock/internal/failure"
)

// sharedMachine simulates a target on a machine that is shared with others: its speed is drawn again in each period,
// and the speed at the start of a request decides how long it takes. The constants come from a recorded day
// (docs/measurements.md).
type sharedMachine struct {
	limiter *Limiter

	mu          sync.Mutex
	random      *rand.Rand
	began       time.Time
	slowPeriods []bool // whether each period since began is slow
}

const (
	period    = 150 * time.Millisecond
	slowShare = 0.35 // share of slow periods
	slowBy    = 5.0  // factor of the service time in a slow period
)

func newSharedMachine(seed uint64) *sharedMachine {
	return &sharedMachine{
		limiter: New(Limits{Slots: 9, Queue: 9}),
		random:  rand.New(rand.NewPCG(seed, 7)),
		began:   time.Now().Add(-time.Duration(seed) * 13 * time.Millisecond), // periods start at different times
	}
}

// factor returns the factor of the service time in the current period.
func (m *sharedMachine) factor() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	for n := int(time.Since(m.began) / period); len(m.slowPeriods) <= n; {
		m.slowPeriods = append(m.slowPeriods, m.random.Float64() < slowShare)
	}
	if m.slowPeriods[int(time.Since(m.began)/period)] {
		return slowBy
	}
	return 1
}

// serve runs a request with the given usual service time and returns the refusal, if any.
func (m *sharedMachine) serve(request Request, usual time.Duration) *failure.Error {
	slot, refusal := m.limiter.Acquire(context.Background(), request)
	if refusal != nil {
		return refusal
	}
	time.Sleep(time.Duration(float64(usual) * m.factor()))
	m.limiter.SetPace(m.factor())
	slot.Release(true)
	return nil
}

// followPace lets the limiter read the machine's pace.
func (m *sharedMachine) followPace() {
	m.limiter.SetPaceReader(func() (float64, bool) {
		time.Sleep(time.Millisecond)
		return m.factor(), true
	})
}

// simulateSharedMachines sends requests with exponentially distributed gaps to five machines and returns the share
// that was answered by its soft deadline. A refused request moves to another random machine, up to three times. With
// follow set, the limiters read the pace of their machines.
func simulateSharedMachines(requests int, gap, usual, softDeadline time.Duration, follow bool) float64 {
	random := rand.New(rand.NewPCG(11, 12))
	var machines []*sharedMachine
	for i := range 5 {
		machine := newSharedMachine(uint64(i + 1))
		if follow {
			machine.followPace()
		}
		machines = append(machines, machine)
	}
	inTime := make(chan bool, requests)
	for range requests {
		order := random.Perm(len(machines))
		go func() {
			began := time.Now()
			request := Request{Deadline: began.Add(1200 * time.Millisecond), SoftDeadline: began.Add(softDeadline), Kind: "order"}
			served := false
			for move := 0; move < 4 && !served; move++ {
				request.HasAlternative = move < 3
				served = machines[order[move]].serve(request, usual) == nil
			}
			inTime <- served && time.Since(began) <= softDeadline
		}()
		time.Sleep(time.Duration(random.ExpFloat64() * float64(gap)))
	}
	answered := 0
	for range requests {
		if <-inTime {
			answered++
		}
	}
	return float64(answered) / float64(requests)
}

// Guards against requests that start in a slow period of a shared machine: with slow periods for a third of the time, a
// third of the requests were late at a quarter of the load.
func TestSlowPeriodsAreAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		without := simulateSharedMachines(2000, 11*time.Millisecond, 120*time.Millisecond, 300*time.Millisecond, false)
		with := simulateSharedMachines(2000, 11*time.Millisecond, 120*time.Millisecond, 300*time.Millisecond, true)
		t.Logf("in time: %.3f without, %.3f with the target's pace", without, with)
		assert.Assert(t, without < 0.75)
		assert.Assert(t, with > 0.9)
	})
}

// Guards against the loss of capacity to slow starts under overload: a request that starts in a slow period occupies its
// slot for as long as five others.
func TestSlowPeriodsUnderOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		without := simulateSharedMachines(3000, 3*time.Millisecond, 120*time.Millisecond, 300*time.Millisecond, false)
		with := simulateSharedMachines(3000, 3*time.Millisecond, 120*time.Millisecond, 300*time.Millisecond, true)
		t.Logf("in time: %.3f without, %.3f with the target's pace", without, with)
		assert.Assert(t, with > without+0.1)
	})
}

// newPacedLimiter returns a limiter whose target reports the pace that the test stores in the returned value; 0 makes
// the read fail.
func newPacedLimiter(first int64) (*Limiter, *atomic.Int64) {
	limiter, factor := New(Limits{Slots: 2, Queue: 4}), &atomic.Int64{}
	factor.Store(first)
	limiter.SetPaceReader(func() (float64, bool) {
		time.Sleep(time.Millisecond)
		pace := factor.Load()
		return float64(pace), pace > 0
	})
	limiter.SetPace(1)
	limiter.SetPace(float64(first))
	return limiter, factor
}

// acquire requests a slot with a deadline after the given time.
func acquire(limiter *Limiter, within time.Duration, hasAlternative bool) (*Slot, *failure.Error) {
	return limiter.Acquire(context.Background(),
		Request{Deadline: time.Now().Add(within), Kind: "k", HasAlternative: hasAlternative})
}

// Guards against requests that wait at a slow target although they can go to another one.
func TestSlowTargetRefusesRequestsWithAlternative(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limiter, _ := newPacedLimiter(5)
		_, refusal := acquire(limiter, time.Second, true)
		assert.Equal(t, refusal.Reason, failure.TargetSlow)
		assert.Equal(t, refusal.Outcome, failure.NotRun)

		time.Sleep(time.Second) // the reading is stale now, so a new one comes before the refusal
		_, refusal = acquire(limiter, time.Second, true)
		assert.Equal(t, refusal.Reason, failure.TargetSlow)
	})
}

// Guards against requests without another target that are refused, or that start before the slow period ends.
func TestSlowTargetQueuesOtherRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limiter, factor := newPacedLimiter(5)
		time.AfterFunc(140*time.Millisecond, func() { factor.Store(1) })
		began := time.Now()
		slot, refusal := acquire(limiter, time.Second, false)
		assert.Assert(t, refusal == nil)
		waited := time.Since(began)
		assert.Assert(t, waited >= 140*time.Millisecond && waited < 170*time.Millisecond, "waited %v", waited)
		slot.Release(true)
	})
}

// Guards against requests that wait for a target which no longer reports its pace.
func TestFailedPaceReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limiter, factor := newPacedLimiter(5)
		factor.Store(0)
		time.Sleep(time.Second)
		for range 5 {
			began := time.Now()
			slot, refusal := acquire(limiter, time.Second, true)
			assert.Assert(t, refusal == nil)
			assert.Assert(t, time.Since(began) <= time.Millisecond)
			slot.Release(true)
		}
	})
}

// Guards against a target that gets no requests because it has become slower permanently.
func TestLastingSlownessBecomesBaseline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limiter, _ := newPacedLimiter(4)
		began := time.Now()
		slot, refusal := acquire(limiter, 5*time.Second, false)
		assert.Assert(t, refusal == nil)
		assert.Assert(t, time.Since(began) <= maxSlowPeriod+paceReadInterval+time.Millisecond)
		slot.Release(true)
		slot, refusal = acquire(limiter, 5*time.Second, true)
		assert.Assert(t, refusal == nil)
		slot.Release(true)
	})
}

// Guards against a target that gets no requests after its start, when all requests take twice as long, and ten times
// as long in slow periods. Seen after a loss of power on trouble-1 of hqbw-mesh.
func TestColdTargetGetsRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limiter, factor := New(Limits{Slots: 2, Queue: 4}), &atomic.Int64{}
		limiter.SetPaceReader(func() (float64, bool) { return float64(factor.Load()), true })
		limiter.SetPace(10)
		for range 50 { // 5 s in periods of 100 ms
			factor.Store(2)
			limiter.SetPace(2)
			began := time.Now()
			slot, refusal := acquire(limiter, time.Second, false)
			assert.Assert(t, refusal == nil)
			assert.Assert(t, time.Since(began) <= time.Millisecond)
			time.Sleep(50 * time.Millisecond)
			slot.Release(true)
			factor.Store(10)
			limiter.SetPace(10)
			_, refusal = acquire(limiter, time.Second, true)
			assert.Equal(t, refusal.Reason, failure.TargetSlow)
			time.Sleep(50 * time.Millisecond)
		}
		factor.Store(1) // the target is warm
		limiter.SetPace(1)
		factor.Store(2)
		time.Sleep(50 * time.Millisecond)
		_, refusal := acquire(limiter, time.Second, true)
		assert.Equal(t, refusal.Reason, failure.TargetSlow)
	})
}

// Guards against short requests that are sent to another target although the move costs more than a slow run.
func TestShortRequestsStartAtAnyPace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limiter, _ := newPacedLimiter(1)
		slot, refusal := acquire(limiter, time.Second, true)
		assert.Assert(t, refusal == nil)
		time.Sleep(2 * time.Millisecond)
		slot.Release(true)
		limiter.SetPace(5)
		slot, refusal = acquire(limiter, time.Second, true)
		assert.Assert(t, refusal == nil)
		slot.Release(true)
	})
}

// Guards against estimates that include the noise of shared machines: with them, requests were refused as unreachable
// that would have been answered in time.
func TestSlowStartsAreNotEstimated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var times estimator
		limiter := New(Limits{Slots: 2, Queue: 4})
		limiter.SetPace(1)
		limiter.SetPace(5) // no pace reader is set, so requests start at any pace
		slot, refusal := acquire(limiter, time.Second, true)
		assert.Assert(t, refusal == nil)
		time.Sleep(500 * time.Millisecond)
		slot.Release(true)
		assert.Equal(t, limiter.times.estimate("k", 1), times.estimate("k", 1))
	})
}

// Guards against a request that waits for a better pace and starts after the drain.
func TestDrainRefusesRequestsWaitingForPace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limiter, _ := newPacedLimiter(5)
		ended := make(chan *failure.Error, 1)
		go func() {
			_, refusal := acquire(limiter, 5*time.Second, false)
			ended <- refusal
		}()
		synctest.Wait()
		limiter.BeginDrain()
		assert.Equal(t, (<-ended).Reason, failure.Draining)
	})
}

// Guards against first requests at a target that has just started which begin in a slow period, because its pace is not
// known yet or its first reading is taken for the usual pace; and against a target that reports no pace and is asked for
// each request.
func TestFirstRequestWaitsForPace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limiter, reads := New(Limits{Slots: 2, Queue: 4}), 0
		began := time.Now()
		limiter.SetPaceReader(func() (float64, bool) {
			reads++
			if time.Since(began) < 100*time.Millisecond {
				return slowBy, true
			}
			return 1, true
		})
		_, refusal := acquire(limiter, time.Second, true)
		assert.Equal(t, refusal.Reason, failure.TargetSlow)
		slot, refusal := acquire(limiter, time.Second, false)
		assert.Assert(t, refusal == nil)
		assert.Assert(t, time.Since(began) >= 100*time.Millisecond && time.Since(began) < 200*time.Millisecond)
		slot.Release(true)

		silent, reads := New(Limits{Slots: 2, Queue: 4}), 0
		silent.SetPaceReader(func() (float64, bool) {
			reads++
			return 0, false
		})
		for range 5 {
			slot, refusal := acquire(silent, time.Second, true)
			assert.Assert(t, refusal == nil)
			slot.Release(true)
			time.Sleep(2 * time.Second)
		}
		assert.Equal(t, reads, 1)
	})
}

// Guards against requests that reach a new target together and are refused as beyond its queue although slots are free,
// because they all wait for the first reading of its pace. The queue beyond the free slots stays bounded.
func TestRequestsOfFreeSlotsWaitTogetherForPace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const slots, queue = 20, 9
		limiter := New(Limits{Slots: slots, Queue: queue})
		limiter.SetPaceReader(func() (float64, bool) {
			time.Sleep(5 * time.Millisecond)
			return 1, true
		})
		var served, refused atomic.Int64
		var running sync.WaitGroup
		for range slots + queue + 5 {
			running.Go(func() {
				slot, refusal := acquire(limiter, time.Minute, true)
				if refusal != nil {
					assert.Check(t, refusal.Reason == failure.QueueFull)
					refused.Add(1)
					return
				}
				served.Add(1)
				time.Sleep(50 * time.Millisecond)
				slot.Release(true)
			})
		}
		running.Wait()
		assert.Equal(t, served.Load(), int64(slots+queue))
		assert.Equal(t, refused.Load(), int64(5))
	})
}
