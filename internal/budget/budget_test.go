package budget

import (
	"flag"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestMain fixes the seed of property tests; -rapid.seed on the command line changes it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

type write struct {
	at    time.Time
	link  Link
	bytes int
}

// Guards against measurement traffic that exceeds the budget in a span of one second, wherever the span starts, and
// against counters that differ from the bytes written.
func TestBytesNeverExceedTheBudgetInAnySecond(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(100, 0)
		limits := Limits{rapid.IntRange(0, 5000).Draw(t, "region"), rapid.IntRange(0, 1000).Draw(t, "link")}
		budget := NewByteBudget(limits, func() time.Time { return now })
		var writes []write
		var total [numLinks]int64
		for range rapid.IntRange(1, 200).Draw(t, "writes") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200_000).Draw(t, "µs")) * time.Microsecond)
			link := Link(rapid.IntRange(0, int(numLinks)-1).Draw(t, "link"))
			class := Class(rapid.IntRange(0, int(numClasses)-1).Draw(t, "class"))
			n := rapid.IntRange(1, 800).Draw(t, "bytes")
			if budget.TrySpend(class, link, n) {
				writes = append(writes, write{now, link, n})
				total[link] += int64(n)
			}
		}
		for _, first := range writes {
			var sum [numLinks]int
			for _, other := range writes {
				if !other.at.Before(first.at) && other.at.Before(first.at.Add(time.Second)) {
					sum[other.link] += other.bytes
				}
			}
			assert.Assert(t, sum[Region] <= limits.RegionBytesPerSecond && sum[InterRegion] <= limits.LinkBytesPerSecond)
		}
		for link := range numLinks {
			written := int64(0)
			for class := range numClasses {
				written += budget.BytesWritten(class, link)
			}
			assert.Equal(t, written, total[link])
		}
	})
}

// Guards against classes that are cut in the wrong order, and against measurement traffic that uses the bytes reserved
// for heartbeats and configuration.
func TestBytesCutOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		used := rapid.IntRange(0, 1000).Draw(t, "bytes in use on each link")
		allowed := func(class Class, link Link) bool {
			now := time.Unix(100, 0)
			budget := NewByteBudget(Limits{1000, 1000}, func() time.Time { return now })
			assert.Assert(t, used == 0 || budget.TrySpend(Heartbeat, link, used))
			return budget.TrySpend(class, link, 1)
		}
		order := []bool{
			allowed(Probe, InterRegion), allowed(Probe, Region), allowed(Sample, InterRegion), allowed(Sample, Region),
			allowed(Configuration, InterRegion), allowed(Heartbeat, InterRegion),
		}
		for i := 1; i < len(order); i++ {
			assert.Assert(t, order[i] || !order[i-1], "the class at %d was cut before the one at %d", i, i-1)
		}
		assert.Equal(t, order[0], used < 400)
		assert.Equal(t, order[len(order)-1], used < 1000)
	})
}

// Guards against a bucket whose tokens are not returned.
func TestBytesAreReturnedAfterASecond(t *testing.T) {
	now := time.Unix(100, 0)
	budget := NewByteBudget(Limits{1000, 1000}, func() time.Time { return now })
	for range 100 {
		assert.Assert(t, budget.TrySpend(Heartbeat, InterRegion, 1000))
		assert.Assert(t, !budget.TrySpend(Heartbeat, InterRegion, 1))
		now = now.Add(time.Second + 2*slotLength)
	}
	assert.Equal(t, budget.BytesDenied(Heartbeat, InterRegion), int64(100))
}

// Guards against a retry storm, and against a service with few calls that can never retry.
func TestRetryBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(100, 0)
		percent := rapid.SampledFrom([]int{0, 5, 10}).Draw(t, "percent")
		budget := NewRetryBudget(percent, func() time.Time { return now })
		assert.Equal(t, budget.TrySpend(), percent > 0)
		first, extra, began := 0, 0, now
		for range rapid.IntRange(1, 2000).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "ms")) * time.Millisecond)
			if rapid.IntRange(0, 2).Draw(t, "first") > 0 {
				budget.RecordFirstAttempt()
				first++
			} else if budget.TrySpend() {
				extra++
			}
		}
		earned := float64(first)*float64(percent)/100 + now.Sub(began).Seconds()*floorPerSecond
		assert.Assert(t, float64(extra) <= earned+0.001, "%d extra for %d first", extra, first)
		now = now.Add(time.Duration(2 / floorPerSecond * float64(time.Second)))
		assert.Equal(t, budget.TrySpend(), percent > 0)
	})
}
