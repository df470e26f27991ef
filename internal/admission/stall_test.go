package admission

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// simCaller is the caller of a request at a simulated target.
type simCaller struct {
	waiting atomic.Bool
	moved   atomic.Int64
	cut     chan struct{}
	cuts    atomic.Int64
}

func newSimCaller() *simCaller { return &simCaller{cut: make(chan struct{})} }

func (c *simCaller) Progress() Progress { return Progress{c.waiting.Load(), c.moved.Load()} }

func (c *simCaller) CutOff() {
	if c.cuts.Add(1) == 1 {
		close(c.cut)
	}
}

// upload takes a slot and moves bytes every interval until its body of size bytes is whole, or until it is cut off. A caller that
// moves nothing stalls for as long as it may.
func upload(l *Limiter, c *simCaller, size, perInterval int64, interval time.Duration) (cutOff, refused bool) {
	slot, refusal := l.Acquire(context.Background(), Request{Deadline: time.Now().Add(time.Hour), Streamed: true, Caller: c})
	if refusal != nil {
		return false, true
	}
	defer slot.Release(false)
	c.waiting.Store(true)
	for c.moved.Load() < size {
		select {
		case <-c.cut:
			return true, false
		case <-time.After(interval):
			c.moved.Add(perInterval)
		}
	}
	c.waiting.Store(false)
	return false, false
}

// Guards against a crowd that stalls in streamed bodies and takes every place at a target: replays 300 callers that send a part of
// a body, stop, and come again when they are refused or cut off, beside 20 ordinary requests a second.
func TestCallersThatStallYieldToOrdinaryOnes(t *testing.T) {
	for _, drip := range []int64{0, 100} { // bytes that each of the crowd sends in 100 ms
		synctest.Test(t, func(t *testing.T) {
			const crowd, ordinary, lasts = 300, 20, 30 * time.Second
			l := New(Limits{Slots: 9, Queue: 9})
			ends := time.Now().Add(lasts)
			for range crowd {
				go func() {
					for time.Now().Before(ends) {
						upload(l, newSimCaller(), 1<<40, drip, 100*time.Millisecond)
						time.Sleep(200 * time.Millisecond)
					}
				}()
			}
			synctest.Wait()
			const settled = 3 * time.Second // the first checks find the crowd, then it is held back
			began := time.Now()
			var served, refused atomic.Int64
			for time.Now().Before(ends) {
				time.Sleep(time.Second / ordinary)
				at := time.Since(began)
				go func() {
					slot, refusal := l.Acquire(context.Background(), Request{Deadline: time.Now().Add(3 * time.Second), Caller: newSimCaller()})
					if refusal != nil {
						if at > settled {
							refused.Add(1)
						}
						return
					}
					time.Sleep(15 * time.Millisecond)
					slot.Release(true)
					served.Add(1)
				}()
			}
			time.Sleep(lasts / 10)
			t.Logf("drip %d: %d served, %d refused", drip, served.Load(), refused.Load())
			assert.Equal(t, refused.Load(), int64(0))
			assert.Assert(t, served.Load() >= int64((lasts-settled).Seconds()*ordinary))
			for l.LoadSample().InFlight > 0 || l.LoadSample().Queued > 0 { // the crowd waits for its deadline
				l.RefuseQueued(deadlineUnreachableError)
				for _, slot := range l.runningSlots() {
					slot.caller.CutOff()
				}
				time.Sleep(time.Second)
			}
		})
	}
}

// runningSlots returns the slots that are held now.
func (l *Limiter) runningSlots() []*Slot {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]*Slot(nil), l.running...)
}

// Guards against requests that are cut off although nobody wants their slot, although they move, or although it is the target that is
// slow.
func TestCallersThatMoveAreNotCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := New(Limits{Slots: 3, Queue: 9})
		alone := newSimCaller()
		go func() { _, _ = upload(l, alone, 1000, 1, time.Second) }() // over a quarter of an hour, with slots free
		time.Sleep(10 * time.Minute)
		assert.Equal(t, alone.cuts.Load(), int64(0))
		alone.CutOff()
		synctest.Wait()

		steady, working, pausing := newSimCaller(), newSimCaller(), newSimCaller()
		for _, c := range []*simCaller{steady, pausing} {
			perInterval := int64(2 * minMovedBytes)
			interval := stallCheckInterval
			if c == pausing { // a lost packet is sent again
				interval, perInterval = (maxStalledChecks-1)*stallCheckInterval, 64<<10
			}
			go func() { _, _ = upload(l, c, 100*perInterval, perInterval, interval) }()
		}
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			slot, refusal := l.Acquire(ctx, Request{Deadline: time.Now().Add(time.Hour), Caller: working})
			assert.Check(t, refusal == nil)
			<-ctx.Done()
			slot.Release(false)
		}()
		synctest.Wait()
		for range 60 { // requests that want a slot
			go func() {
				if slot, refusal := l.Acquire(ctx, Request{Deadline: time.Now().Add(5 * time.Second)}); refusal == nil {
					slot.Release(true)
				}
			}()
			time.Sleep(100 * time.Millisecond)
		}
		for _, c := range []*simCaller{steady, working, pausing} {
			assert.Equal(t, c.cuts.Load(), int64(0))
		}
		cancel()
		time.Sleep(10 * time.Minute)
	})
}

// Guards against more requests that are cut off than others want slots, and against the choice of one that has stalled for a
// shorter time.
func TestLongestStalledGoFirst(t *testing.T) {
	var running []*Slot
	for checks := range 10 {
		running = append(running, &Slot{stall: stallRecord{checks: checks}})
	}
	assert.DeepEqual(t, stallChecks(stalledSlots(running, 2)), []int{9, 8})
	assert.DeepEqual(t, stallChecks(stalledSlots(running, 100)), []int{9, 8, 7, 6, 5, 4})
	running[9].stall.cutOff = true // its slot is about to become free
	assert.DeepEqual(t, stallChecks(stalledSlots(running, 2)), []int{8})
	assert.DeepEqual(t, stallChecks(stalledSlots(running, 1)), []int(nil))
}

func stallChecks(slots []*Slot) (checks []int) {
	for _, slot := range slots {
		checks = append(checks, slot.stall.checks)
	}
	return checks
}
