package main

import (
	"sync"
	"time"

	"github.com/acacialock/acacialock/internal/balance"
	"github.com/acacialock/acacialock/internal/cluster"
	"github.com/acacialock/acacialock/internal/failure"
	"github.com/acacialock/acacialock/internal/testnet"
)

// perfect is a bound: at each pick it knows, without delay, the number of calls at or on the way to every target
// from all entry nodes, and each target's speed at that moment. It does not know the work of calls or future speeds.
// All entry nodes of a service share one lock, so two picks never choose on the same state. With queuesOnly it does
// not know speeds either.
type perfect struct {
	queuesOnly bool
	lock       *sync.Mutex
	from       testnet.Place
	targets    func(id string) *target
	members    []cluster.Member
}

// Update implements balance.Balancer.
func (p *perfect) Update(members []cluster.Member) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.members = members
}

// Pick implements balance.Balancer.
func (p *perfect) Pick(request balance.Request) (balance.Pick, error) {
	p.lock.Lock()
	defer p.lock.Unlock()
	var best *target
	var least time.Duration
	for _, member := range p.members {
		if member.Draining || excluded(request, member.ID) {
			continue
		}
		candidate := p.targets(member.ID)
		if cost := p.cost(candidate); best == nil || cost < least {
			best, least = candidate, cost
		}
	}
	if best == nil {
		return balance.Pick{}, failure.New(failure.NoTarget, failure.NotRun, "all members were tried")
	}
	best.sending.Add(1)
	return balance.NewPick(best.member, func(balance.Result) {}), nil
}

func excluded(request balance.Request, id string) bool {
	for _, tried := range request.Exclude {
		if tried == id {
			return true
		}
	}
	return false
}

// cost is the expected time to the answer.
func (p *perfect) cost(t *target) time.Duration {
	now := time.Since(t.began)
	mean, speed := float64(t.mean), 1.0
	if !p.queuesOnly {
		mean, speed = mean*t.acts.slow(now), t.acts.speed(now)
	}
	ahead := int(t.sending.Load())
	cost := 2 * testnet.Delay(p.from, t.place)
	if ahead < targetSlots && !p.queuesOnly {
		return cost + time.Duration(mean*speed)
	}
	waits := float64(ahead+1-targetSlots) / targetSlots
	return cost + time.Duration(mean*(1+waits))
}
