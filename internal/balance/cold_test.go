package balance

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/acacialock/acacialock/internal/admission"
	"github.com/acacialock/acacialock/internal/cluster"
)

// coldReplay is a service whose targets are behind limiters, as at their nodes, and which some entry nodes call.
type coldReplay struct {
	limiters map[string]*admission.Limiter
	cold     map[string]bool // targets that warm up until coldEnd
	coldEnd  time.Time

	mu                              sync.Mutex
	starts                          map[string][]time.Time // by target
	sends, refusals, late, unserved int
}

func (r *coldReplay) count(counter *int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	*counter++
}

// call sends one call and moves it up to three times when a target's limit refuses it, as entry nodes do.
func (r *coldReplay) call(pool *Pool) {
	var tried []string
	begin := time.Now()
	for len(tried) < 4 {
		pick, err := pool.Pick(Request{Exclude: tried})
		if err != nil {
			break
		}
		id := pick.Member.ID
		tried = append(tried, id)
		r.count(&r.sends)
		slot, refused := r.limiters[id].Acquire(context.Background(), admission.Request{
			Deadline: begin.Add(time.Second), HasAlternative: !pick.Limited && len(tried) < 4, Kind: "k",
		})
		result := Result{ColdFor: r.limiters[id].ColdFor()}
		if refused == nil {
			r.run(id, slot)
			result.Latency = time.Since(begin)
		} else {
			result.Class, result.Reason, result.RetryAfter = Refused, refused.Reason, refused.RetryAfter
			r.count(&r.refusals)
		}
		sample := r.limiters[id].LoadSample()
		result.Sample = &sample
		pick.Done(result)
		if refused == nil {
			if time.Since(begin) > 400*time.Millisecond {
				r.count(&r.late)
			}
			return
		}
	}
	r.count(&r.unserved)
}

// run runs a request at a target, which takes twice as long while it is cold.
func (r *coldReplay) run(id string, slot *admission.Slot) {
	r.mu.Lock()
	r.starts[id] = append(r.starts[id], time.Now())
	r.mu.Unlock()
	work := 150 * time.Millisecond
	if r.cold[id] && time.Now().Before(r.coldEnd) {
		work *= 2
	}
	time.Sleep(work)
	slot.Release(true)
}

// mostInOneSecond returns the greatest number of requests that started at a cold target in one second while it was cold.
func (r *coldReplay) mostInOneSecond() int {
	most := 0
	for id := range r.cold {
		first := 0
		for i, at := range r.starts[id] {
			if !at.Before(r.coldEnd) {
				break
			}
			for at.Sub(r.starts[id][first]) >= time.Second {
				first++
			}
			most = max(most, i-first+1)
		}
	}
	return most
}

// Replays a quarter of a service that comes back cold for 3 s, with a load that the warm targets can just take over: no cold
// target may get more than it bears, calls must reach the warm ones without many wasted hops and in time, and the cold ones
// must serve what they bear.
func TestQuarterOfServiceComesBackCold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const targets, entries, coldTargets, coldRate = 20, 40, 5, 12
		r := &coldReplay{limiters: map[string]*admission.Limiter{}, starts: map[string][]time.Time{}, cold: map[string]bool{}, coldEnd: time.Now().Add(3 * time.Second)}
		members := sameZoneMembers(targets)
		for i, member := range members {
			limiter := admission.New(admission.Limits{Slots: 9, Queue: 9})
			limiter.SetColdRate(coldRate)
			if i < coldTargets {
				r.cold[member.ID] = true
				limiter.AnnounceWarmUp(time.Until(r.coldEnd))
			} else {
				limiter.AnnounceWarmUp(0)
			}
			r.limiters[member.ID] = limiter
		}
		var pools []*Pool
		for i := range entries {
			pool := NewPool(Config{Service: "s", Self: cluster.Member{ID: fmt.Sprint("e", i), Zone: members[0].Zone, Region: members[0].Region}, Seed: uint64(i + 1)})
			pool.Update(members)
			pools = append(pools, pool)
		}
		random := rand.New(rand.NewPCG(7, 7))
		var calls sync.WaitGroup
		for sent := 0; sent < 2400; sent++ { // 600 per second for 4 s: 30 per target, three quarters of what they can do
			time.Sleep(time.Duration(random.ExpFloat64() * float64(time.Second) / 600))
			pool := pools[random.IntN(entries)]
			calls.Go(func() { r.call(pool) })
		}
		calls.Wait()
		for _, pool := range pools {
			pool.Close()
		}
		coldServed := 0
		for id := range r.cold {
			for _, at := range r.starts[id] {
				if at.Before(r.coldEnd) {
					coldServed++
				}
			}
		}
		t.Logf("sends %d, refusals %d, late %d, unserved %d, most in a second %d, served cold %d", r.sends, r.refusals, r.late, r.unserved, r.mostInOneSecond(), coldServed)
		assert.Assert(t, r.mostInOneSecond() <= coldRate+4)
		assert.Equal(t, r.unserved, 0)
		assert.Assert(t, r.refusals < 2400/10, "%d wasted hops", r.refusals)
	})
}
