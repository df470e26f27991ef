package admission

import (
	"context"
	"math"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/acacialock/acacialock/internal/failure"
)

// Guards against more requests in a sliding window than the limit and its burst admit, for any load and any limit, also one
// that is confirmed, raised, lowered and ended between requests.
func TestRateLimitBoundsEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Now()
		now := start
		highest := rapid.Float64Range(0, 300).Draw(t, "highest limit")
		var limit rateLimit
		limit.report(highest, true, now)
		var started []time.Time
		for range rapid.IntRange(1, 2000).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.Float64Range(0, 20).Draw(t, "gap in ms") * float64(time.Millisecond)))
			limit.report(rapid.Float64Range(0, 1).Draw(t, "part")*highest, true, now)
			for range rapid.IntRange(0, 4).Draw(t, "requests") {
				if limit.wait(0, now) == 0 {
					limit.take("lookup")
					started = append(started, now)
				}
			}
		}
		rate := max(highest, minRate)
		const window = 4.0
		allowed := rate*window + max(1, rate*burstTime.Seconds()) + 1e-6
		for i, first := range started {
			count := 0
			for _, at := range started[i:] {
				if at.Sub(first).Seconds() <= window {
					count++
				}
			}
			assert.Assert(t, float64(count) <= allowed, "%d requests in %vs, %.1f allowed", count, window, allowed)
		}
	})
}

// Guards against a target that alternates between two limits, or names one on every second response only, and gets the
// higher rate; and against a limit that never ends or ends with all its load at once.
func TestRateLimitEnds(t *testing.T) {
	now := time.Now()
	var limit rateLimit
	for i := range 100 {
		limit.report([]float64{50, 5, 0}[i%3], i%3 != 2, now)
		now = now.Add(20 * time.Millisecond)
	}
	assert.Equal(t, limit.rate, 5.0)
	assert.Assert(t, limit.inForce())
	now = now.Add(raiseDelay)
	limit.report(50, true, now)
	assert.Equal(t, limit.rate, 50.0)
	limit.report(0, false, now.Add(raiseDelay/2))
	assert.Assert(t, limit.inForce(), "a response without the limit overtook one with it")
	now = now.Add(raiseDelay)
	limit.report(0, false, now)
	assert.Assert(t, limit.active() && !limit.inForce())
	assert.Equal(t, limit.currentRate(now), 50.0)
	assert.Equal(t, limit.currentRate(now.Add(rampDoubling)), 100.0)
	limit.refill(now.Add(rampDuration))
	assert.Assert(t, !limit.active())
}

// Guards against a target that is lost for good because its limit is zero, or because it is never heard again.
func TestRateLimitExpires(t *testing.T) {
	now := time.Now()
	var limit rateLimit
	limit.report(0, true, now)
	assert.Equal(t, limit.wait(0, now), time.Duration(math.Ceil(float64(time.Second)/minRate)))
	limit.refill(now.Add(maxRateLimitAge - time.Millisecond))
	assert.Assert(t, limit.inForce())
	limit.refill(now.Add(maxRateLimitAge))
	assert.Assert(t, limit.active() && !limit.inForce())
	limit.refill(now.Add(maxRateLimitAge + rampDuration))
	assert.Assert(t, !limit.active())
	limit.report(1e300, true, now)
	assert.Equal(t, limit.rate, maxRate)
}

// limitedLoad offers requests of both kinds to a limiter under a limit for ten seconds, in virtual time, and returns how many
// of each ran.
func limitedLoad(t *testing.T, rate float64, purchases, lookups time.Duration) (ran map[string]int) {
	t.Helper()
	ran = map[string]int{}
	limiter := New(Limits{Slots: 9, Queue: 9})
	limiter.ReportLimit(rate, true)
	results := make(chan string, 10_000)
	var requests sync.WaitGroup
	offer := func(kind string, priority int, interval time.Duration) {
		for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(interval) {
			requests.Go(func() {
				slot, refused := limiter.Acquire(context.Background(), Request{
					Kind: kind, Priority: priority, Deadline: time.Now().Add(time.Second), SoftDeadline: time.Now().Add(400 * time.Millisecond),
				})
				if refused == nil {
					time.Sleep(20 * time.Millisecond)
					slot.Release(true)
					results <- kind
				}
			})
		}
	}
	var callers sync.WaitGroup
	callers.Go(func() { offer("purchase", 1, purchases) })
	callers.Go(func() { offer("lookup", 2, lookups) })
	callers.Wait()
	requests.Wait()
	close(results)
	for kind := range results {
		ran[kind]++
	}
	return ran
}

// Guards against lookups that take the requests of a limited target from purchases, and against purchases that take all.
func TestLimitServesPurchasesFirstAndStarvesNoKind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ran := limitedLoad(t, 12, 50*time.Millisecond, 11*time.Millisecond) // 20 purchases and 90 lookups a second
		total := ran["purchase"] + ran["lookup"]
		assert.Assert(t, total >= 110 && total <= 127, "%v", ran)
		assert.Assert(t, ran["purchase"] >= 2*ran["lookup"] && ran["lookup"]*fairShareGrants*3/2 >= total, "%v", ran)
		ran = limitedLoad(t, 12, 200*time.Millisecond, 11*time.Millisecond) // 5 purchases a second
		assert.Assert(t, ran["purchase"] >= 49, "%v", ran)
	})
}

// Guards against a request that waits for a target whose limit can't admit it in time, and against a wrong time to return.
func TestLimitRefusesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limiter := New(Limits{Slots: 9, Queue: 9})
		limiter.ReportLimit(0.5, true)
		began := time.Now()
		request := Request{Kind: "lookup", Deadline: began.Add(time.Second)}
		_, refused := limiter.Acquire(context.Background(), request)
		assert.Equal(t, refused.Reason, failure.TargetLimited)
		assert.Equal(t, refused.Outcome, failure.NotRun)
		assert.Equal(t, refused.RetryAfter, 2*time.Second)
		assert.Equal(t, time.Since(began), time.Duration(0))
		time.Sleep(refused.RetryAfter)
		request.Deadline = time.Now().Add(time.Second)
		slot, refused := limiter.Acquire(context.Background(), request)
		assert.Assert(t, refused == nil)
		slot.Release(true)
		time.Sleep(1200 * time.Millisecond)
		moves := request
		moves.HasAlternative, moves.Deadline = true, time.Now().Add(4*time.Second)
		_, refused = limiter.Acquire(context.Background(), moves)
		assert.Equal(t, refused.Reason, failure.TargetLimited, "another target may have room")
		waits := moves
		waits.HasAlternative = false
		began = time.Now()
		slot, refused = limiter.Acquire(context.Background(), waits)
		assert.Assert(t, refused == nil && time.Since(began) == 800*time.Millisecond, "%v", time.Since(began))
		slot.Release(true)
	})
}

// Guards against a limiter without a limit that refuses for one: inner calls with little time left were refused so.
func TestNoLimitNoLimitRefusal(t *testing.T) {
	limiter := New(Limits{Slots: 1, Queue: 9})
	limiter.times.record("call", 1, 50*time.Millisecond)
	slot, _ := limiter.Acquire(context.Background(), Request{Kind: "call", Deadline: time.Now().Add(time.Second)})
	defer slot.Release(false)
	_, refused := limiter.Acquire(context.Background(), Request{Kind: "call", Deadline: time.Now().Add(20 * time.Millisecond)})
	assert.Equal(t, refused.Reason, failure.DeadlineUnreachable)
}

// Guards against health reads that a target in need gets at the pace of one without a limit.
func TestLimitBoundsHealthReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limiter := New(Limits{Slots: 9, Queue: 9})
		var reads atomic.Int64
		limiter.SetPaceReader(func() (float64, bool) { reads.Add(1); return 1, true })
		limiter.ReportLimit(2, true)
		for range 400 {
			if slot, refused := limiter.Acquire(context.Background(), Request{Deadline: time.Now().Add(5 * time.Millisecond)}); refused == nil {
				slot.Release(true)
			}
			time.Sleep(10 * time.Millisecond)
		}
		count := reads.Load()
		assert.Assert(t, count >= 4 && count <= 2*healthReadsPerRequest*4+1, "%d reads in 4 s", count)
	})
}

// Guards against a request that starts in a slow period of a limited target, because the next read of its pace is delayed, and
// against one that such a reading holds for long.
func TestSlowReadingHoldsUnderLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limiter := New(Limits{Slots: 9, Queue: 9})
		limiter.times.record("purchase", 1, 100*time.Millisecond)
		var pace atomic.Int64
		pace.Store(1)
		limiter.SetPaceReader(func() (float64, bool) { return float64(pace.Load()), true })
		limiter.ReportLimit(10, true) // a read every 50 ms
		time.Sleep(time.Second)
		start := func() time.Duration {
			began := time.Now()
			slot, refused := limiter.Acquire(context.Background(), Request{Kind: "purchase", Deadline: began.Add(time.Second)})
			assert.Assert(t, refused == nil)
			slot.Release(false)
			return time.Since(began)
		}
		assert.Equal(t, start(), time.Duration(0))
		time.Sleep(50 * time.Millisecond)
		pace.Store(5)
		time.AfterFunc(40*time.Millisecond, func() { pace.Store(1) })
		assert.Equal(t, start(), 50*time.Millisecond, "until the next read shows the usual pace")
		limiter.ReportLimit(0.5, true) // a read every second
		time.Sleep(2 * time.Second)
		pace.Store(5)
		held := start()
		assert.Assert(t, held >= slowReadingLifetime && held <= slowReadingLifetime+2*time.Millisecond, "%v", held)
	})
}

// Guards against a limit that an earlier process knew, other nodes still know and this one has not heard; and against one that
// outlives what the target itself said since.
func TestAdoptLimit(t *testing.T) {
	limiter := New(Limits{})
	assert.Assert(t, !limiter.AdoptLimit(5, time.Now().Add(-maxRateLimitAge)), "too old")
	assert.Assert(t, limiter.AdoptLimit(5, time.Now().Add(-time.Second)))
	assert.Equal(t, limiter.RateLimit().Rate, 5.0)
	limiter = New(Limits{})
	limiter.ReportLimit(0, false)
	assert.Assert(t, !limiter.AdoptLimit(5, time.Now().Add(-time.Second)))
	assert.Equal(t, limiter.RateLimit(), RateLimit{})
}
