package balance

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/acacialock/acacialock/internal/cluster"
	"github.com/acacialock/acacialock/internal/failure"
	"github.com/acacialock/acacialock/internal/wire"
)

// regionSim simulates load on the targets of two regions in virtual time: calls take 50 to 150 ms in one of nine
// slots, and up to nine more wait in the queue.
type regionSim struct {
	events  eventHeap
	now     time.Time
	random  *rand.Rand
	targets map[string]*regionSimTarget
	pools   map[string]*Pool // one entry node per region
	// The counts are by the region in which a call originated.
	served, refused, crossed, offered map[string]int
}

type regionSimTarget struct {
	running int
	queue   []func(*wire.LoadSample)
}

const regionSimServiceTime = 100 * time.Millisecond

func newRegionSim(sizes map[string]int) *regionSim {
	r := &regionSim{
		now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(5, 5)),
		targets: map[string]*regionSimTarget{}, pools: map[string]*Pool{},
		served: map[string]int{}, refused: map[string]int{}, crossed: map[string]int{}, offered: map[string]int{},
	}
	var members []cluster.Member
	for region, count := range sizes {
		for i := range count {
			r.targets[fmt.Sprintf("%s%d@1", region, i)] = &regionSimTarget{}
			members = append(members, cluster.Member{ID: fmt.Sprintf("%s%d@1", region, i), Zone: region, Region: region})
		}
	}
	for region := range sizes {
		pool := NewPool(Config{
			Service: "shop", Self: cluster.Member{ID: "entry@1", Zone: region, Region: region}, Seed: 1, StayInRegion: true,
			Clock: func() time.Time { return r.now },
		})
		pool.Update(members)
		r.pools[region] = pool
	}
	return r
}

func (r *regionSim) schedule(d time.Duration, run func()) {
	heap.Push(&r.events, event{r.now.Add(d), len(r.events), run})
}

// run sends calls for the given duration at the rate of each region, in calls per second. With overflow set, calls
// refused by their region are offered to the other one.
func (r *regionSim) run(rates map[string]float64, duration time.Duration, overflow bool) {
	for _, region := range []string{"north", "south"} {
		for at := time.Duration(0); at < duration; at += time.Duration(r.random.ExpFloat64() / rates[region] * 1e9) {
			r.schedule(at, func() { r.call(region, overflow) })
		}
	}
	for len(r.events) > 0 {
		next := heap.Pop(&r.events).(event)
		r.now = next.at
		next.run()
	}
}

func (r *regionSim) call(region string, overflow bool) {
	request := Request{}
	for {
		pick, err := r.pools[region].Pick(request)
		if err != nil {
			if request.Overflow || !overflow {
				r.refused[region]++
				return
			}
			request.Overflow = true
			continue // matches internal/entry
		}
		id := pick.Member.ID
		if request.Overflow {
			r.offered[region]++
		}
		target := r.targets[id]
		if target.accept(r, request.Overflow, func(sample *wire.LoadSample) {
			pick.Done(Result{Class: OK, Sample: sample, Latency: regionSimServiceTime})
		}) {
			r.served[region]++
			if request.Overflow {
				r.crossed[region]++
			}
			return
		}
		pick.Done(Result{Class: Refused, Reason: failure.QueueFull, Sample: target.sample()})
		request.Exclude = append(request.Exclude, id)
	}
}

// accept starts or queues a call and reports false if it refuses it.
func (t *regionSimTarget) accept(r *regionSim, overflow bool, done func(*wire.LoadSample)) bool {
	if t.running < simSlots {
		t.start(r, done)
		return true
	}
	if overflow || len(t.queue) >= simQueue {
		return false
	}
	t.queue = append(t.queue, done)
	return true
}

func (t *regionSimTarget) start(r *regionSim, done func(*wire.LoadSample)) {
	t.running++
	r.schedule(time.Duration((0.5+r.random.Float64())*float64(regionSimServiceTime)), func() {
		t.running--
		done(t.sample())
		if len(t.queue) > 0 {
			next := t.queue[0]
			t.queue = t.queue[1:]
			t.start(r, next)
		}
	})
}

func (t *regionSimTarget) sample() *wire.LoadSample {
	return &wire.LoadSample{InFlight: t.running, Queued: len(t.queue), Latency: regionSimServiceTime}
}

func (r *regionSim) refusedShare(region string) float64 {
	return float64(r.refused[region]) / float64(r.refused[region]+r.served[region])
}

// Guards against refusing calls in the region with fewer targets while the other region has free slots: two of five
// targets and half of the callers, as in both deployments.
func TestOverflowUsesFreeSlotsOfTheOtherRegion(t *testing.T) {
	rates := map[string]float64{"north": 200, "south": 200} // capacity is 270 and 180 per second
	withoutOverflow, withOverflow := newRegionSim(map[string]int{"north": 3, "south": 2}),
		newRegionSim(map[string]int{"north": 3, "south": 2})
	withoutOverflow.run(rates, time.Minute, false)
	withOverflow.run(rates, time.Minute, true)
	assert.Assert(t, withoutOverflow.refusedShare("south") > 0.1, "%.3f", withoutOverflow.refusedShare("south"))
	assert.Assert(t, withOverflow.refusedShare("south") < 0.5*withoutOverflow.refusedShare("south"),
		"refused share %.3f, without overflow %.3f", withOverflow.refusedShare("south"), withoutOverflow.refusedShare("south"))
	assert.Assert(t, withOverflow.refusedShare("north") < 0.05,
		"%.3f of the other region's own calls are refused", withOverflow.refusedShare("north"))
}

// Guards against a burst in all regions that sends calls back and forth over the link between regions.
func TestOverflowStopsWhileAllRegionsAreFull(t *testing.T) {
	r := newRegionSim(map[string]int{"north": 3, "south": 2})
	r.run(map[string]float64{"north": 540, "south": 360}, time.Minute, true) // twice the capacity
	for region, refused := range r.refused {
		refusedAcrossLink := r.offered[region] - r.crossed[region]
		assert.Assert(t, refused > 5000, "%s: %d calls were refused", region, refused)
		assert.Assert(t, refusedAcrossLink < refused/20,
			"%s: %d of %d refused calls crossed the link", region, refusedAcrossLink, refused)
	}
}

// Guards against overflow that stays blocked after the other region has capacity again, and against a trial interval
// that admits more than one call.
func TestOverflowBreaker(t *testing.T) {
	now := time.Unix(1000, 0)
	breaker := overflowBreaker{}
	full := Result{Class: Refused, Reason: failure.QueueFull}
	assert.Assert(t, breaker.admit(now))
	breaker.recordResult(full, now)
	assert.Assert(t, breaker.admit(now), "one full target may be the only one")
	for range 3 { // sent before the breaker tripped: the backoff must not grow
		breaker.recordResult(full, now)
	}
	for _, backoff := range []time.Duration{100, 200, 400, 800, 1600, 2000, 2000} {
		assert.Assert(t, !breaker.admit(now.Add(backoff*time.Millisecond-1)))
		now = now.Add(backoff * time.Millisecond)
		assert.Assert(t, breaker.admit(now))
		assert.Assert(t, !breaker.admit(now), "only one trial call per backoff")
		now = now.Add(breaker.backoff) // the refusal of the trial arrives late
		breaker.recordResult(full, now)
	}
	breaker.recordResult(Result{Class: OK}, now)
	for range 2 {
		assert.Assert(t, breaker.admit(now), "a successful call unblocks overflow")
	}
	for range 3 {
		breaker.recordResult(Result{Class: Refused, Reason: failure.TargetSlow}, now)
	}
	assert.Assert(t, breaker.admit(now), "a slow target says nothing about the others")
}
