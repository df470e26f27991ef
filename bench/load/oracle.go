package main

import (
	"sync"
	"time"

	"github.com/acacialock/acacialock/internal/balance"
	"github.com/acacialock/acacialock/internal/cluster"
	"github.com/acacialock/acacialock/internal/failure"
	"github.com/acacialock/acacialock/internal/testnet"
)

// oracle is a balancer with knowledge that no real balancer has; it gives a bound to compare policies with. At each pick
// it knows, without delay, the number of calls from all entry nodes that are at each target or on their way to it, and
// the current slowdown and jitter of each target. It knows neither the work of calls nor future slowdown and jitter. All
// entry nodes of a service share one lock, so that no two picks are based on the same state. With queuesOnly it doesn't
// know the current slowdown and jitter either.
type oracle struct {
	queuesOnly bool
	mu         *sync.Mutex
	place      testnet.Place
	findTarget func(id string) *target
	members    []cluster.Member
}

// Update implements balance.Balancer.
func (o *oracle) Update(members []cluster.Member) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.members = members
}

// Pick implements balance.Balancer.
func (o *oracle) Pick(request balance.Request) (balance.Pick, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	var chosen *target
	var lowestCost time.Duration
	for _, member := range o.members {
		if member.Draining || excluded(request, member.ID) {
			continue
		}
		candidate := o.findTarget(member.ID)
		if cost := o.expectedLatency(candidate); chosen == nil || cost < lowestCost {
			chosen, lowestCost = candidate, cost
		}
	}
	if chosen == nil {
		return balance.Pick{}, failure.New(failure.NoTarget, failure.NotRun, "all members were tried")
	}
	chosen.outstanding.Add(1)
	return balance.NewPick(chosen.member, func(balance.Result) {}), nil
}

func excluded(request balance.Request, id string) bool {
	for _, tried := range request.Exclude {
		if tried == id {
			return true
		}
	}
	return false
}

// expectedLatency returns the expected time until the response of a call sent to the target now.
func (o *oracle) expectedLatency(t *target) time.Duration {
	now := time.Since(t.sliceStart)
	mean, jitter := float64(t.meanService), 1.0
	if !o.queuesOnly {
		mean, jitter = mean*t.schedule.slowdown(now), t.schedule.jitter(now)
	}
	outstanding := int(t.outstanding.Load())
	cost := 2 * testnet.Delay(o.place, t.place)
	if outstanding < targetSlots && !o.queuesOnly {
		return cost + time.Duration(mean*jitter)
	}
	waitFactor := float64(outstanding+1-targetSlots) / targetSlots
	return cost + time.Duration(mean*(1+waitFactor))
}
