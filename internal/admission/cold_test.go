package admission

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/acacialock/acacialock/internal/failure"
)

// maxInOneSecond returns the greatest number of starts in one second.
func maxInOneSecond(starts []time.Time) int {
	most, first := 0, 0
	for i, at := range starts {
		for at.Sub(starts[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Guards against more requests in any second than a cold target bears, whatever is stated when: late announcements, repeated
// statements, restarts, and requests that start without permission are charged.
func TestColdLimitBoundsEverySecond(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		cold := coldLimit{rate: float64(rapid.IntRange(1, 40).Draw(t, "rate")), assumed: true}
		var starts []time.Time // since the target counts as cold without a break
		for range rapid.IntRange(50, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "ms")) * time.Millisecond)
			remaining := time.Duration(rapid.IntRange(0, 3).Draw(t, "seconds")) * time.Second
			switch rapid.IntRange(0, 30).Draw(t, "event") {
			case 0:
				cold.report(remaining, now)
			case 1:
				cold.announce(remaining, now)
			case 2:
				cold.assume(now)
			}
			if !cold.active(now) {
				starts = nil
				cold.refill(now)
				continue
			}
			for range rapid.IntRange(0, 5).Draw(t, "requests") {
				if cold.wait(0, now) == 0 {
					cold.take(now)
					starts = append(starts, now)
				}
			}
		}
		assert.Assert(t, float64(maxInOneSecond(starts)) <= 1.25*cold.rate+2, "%d starts in a second at %v", maxInOneSecond(starts), cold.rate)
	})
}

// Guards against a late announcement that ends a warm-up, and against one that outlasts it.
func TestLateAnnouncementDoesNotEndWarmUp(t *testing.T) {
	now := time.Unix(1000, 0)
	cold := coldLimit{rate: 12, assumed: true}
	cold.announce(0, now)
	assert.Assert(t, !cold.active(now), "the first announcement of a start is believed")
	cold.report(3*time.Second, now)
	cold.announce(0, now)
	assert.Assert(t, cold.active(now.Add(2999*time.Millisecond)) && !cold.active(now.Add(3*time.Second)))
	cold.assume(now)
	cold.announce(0, now)
	assert.Assert(t, cold.active(now.Add(4*time.Second)), "the announcement may be that of the start before")
	cold.announce(0, now.Add(checkInLateness))
	assert.Assert(t, !cold.active(now.Add(checkInLateness)))
	assert.Assert(t, (&coldLimit{assumed: true}).wait(9, now) == 0, "no bound")
}

// Replays a target that crashes and comes back cold at the same address under its full load, with a node that hears of it by
// a broken connection first: until the health path answers and as long as it states a warm-up, the requests beyond the rate
// must leave at once for other targets, and after it the full rate must start again.
func TestColdReturnUnderFullLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := New(Limits{Slots: 50, Queue: 20})
		l.SetColdRate(12)
		begin := time.Now()
		coldUntil := begin.Add(5 * time.Second)
		l.SetPaceReader(func() (float64, bool) {
			if time.Since(begin) > time.Second && time.Since(begin) < 2*time.Second {
				return 0, false // the target is down
			}
			if time.Since(begin) >= 2*time.Second {
				l.ReportWarmUp(max(0, time.Until(coldUntil)))
			}
			return 1, true
		})
		l.AnnounceWarmUp(0)
		var before, cold, after []time.Time
		for time.Since(begin) < 8*time.Second {
			time.Sleep(10 * time.Millisecond) // 100 requests/s
			elapsed := time.Since(begin)
			if elapsed > time.Second && elapsed < 1020*time.Millisecond {
				l.AssumeCold() // connections break
			}
			slot, refused := l.Acquire(context.Background(), Request{Deadline: time.Now().Add(time.Second), HasAlternative: true})
			if refused != nil {
				assert.Assert(t, refused.Reason == failure.TargetLimited && refused.RetryAfter > 0 && refused.RetryAfter <= 200*time.Millisecond, "%v", refused)
				continue
			}
			switch {
			case elapsed < time.Second:
				before = append(before, time.Now())
			case time.Now().Before(coldUntil):
				cold = append(cold, time.Now())
			default:
				after = append(after, time.Now())
			}
			go func() {
				time.Sleep(20 * time.Millisecond)
				slot.Release(true)
			}()
		}
		assert.Assert(t, len(before) > 95, "%d", len(before))
		assert.Assert(t, maxInOneSecond(cold) <= 12+4 && len(cold) >= 4*10, "%d, %d in a second", len(cold), maxInOneSecond(cold))
		assert.Assert(t, maxInOneSecond(after) > 95, "%d", maxInOneSecond(after))
		time.Sleep(time.Second)
	})
}

// Guards against a warm-up that lasts beyond the end that the target stated because a connection broke meanwhile and nothing
// asks the target again.
func TestBrokenConnectionDoesNotExtendWarmUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := New(Limits{Slots: 5, Queue: 5})
		l.SetColdRate(12)
		warmAt := time.Now().Add(3 * time.Second)
		l.SetPaceReader(func() (float64, bool) {
			l.ReportWarmUp(max(0, time.Until(warmAt)))
			return 1, true
		})
		l.ReportWarmUp(time.Until(warmAt))
		time.Sleep(2 * time.Second)
		l.AssumeCold()
		time.Sleep(time.Second)
		assert.Assert(t, !l.IsCold())
	})
}
