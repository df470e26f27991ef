package balance

import (
	"slices"
	"time"
)

// choose returns the member for the request, or nil, and the time in seconds that its answer is expected to take.
func (p *Pool) choose(request *Request, now time.Time) (*peer, float64) {
	if request.Overflow {
		return p.chooseOverflow(request, now)
	}
	p.survey(now)
	allowed := p.allowed[:0]
	healthy := p.healthy[:0]
	stay := p.config.StayInRegion && p.regionAnswers(now)
	reachable := 0
	for _, candidate := range p.peers {
		if !request.allows(&candidate.member, candidate.id()) || candidate.draining || stay && candidate.distance == otherRegion {
			continue
		}
		allowed = append(allowed, candidate)
		if !candidate.reach.lost {
			reachable++
		}
	}
	if reachable > 0 && reachable < len(allowed) {
		// Lost members are tried only when no other is left: a check may be wrong.
		allowed = slices.DeleteFunc(allowed, func(candidate *peer) bool { return candidate.reach.lost })
	}
	for _, candidate := range allowed {
		if p.looksHealthy(candidate, now) {
			healthy = append(healthy, candidate)
		}
	}
	p.allowed, p.healthy = allowed, healthy
	if len(allowed) == 0 {
		return nil, 0
	}
	if len(healthy) == 0 || 2*len(healthy) < len(allowed) {
		p.count("spread")
		return p.spread(allowed, now)
	}
	if ready := p.ready(healthy, now); len(ready) > 0 {
		healthy = ready
	}
	return p.nearest(p.keepRegion(healthy, allowed, now), now)
}

// regionAnswers reports whether a member of the own region looks alive, be it full or already tried for the call.
func (p *Pool) regionAnswers(now time.Time) bool {
	for _, candidate := range p.peers {
		if candidate.distance != otherRegion && !candidate.gone() && !candidate.reach.lost && !now.Before(candidate.failedUntil) {
			return true
		}
	}
	return false
}

func (p *Pool) looksHealthy(candidate *peer, now time.Time) bool {
	return !now.Before(candidate.failedUntil) && !now.Before(candidate.refusedUntil) && candidate.ejection.admits(now)
}

// keepRegion adds the region's members that only refused a moment ago when no other member of the region is left. A full
// queue drains in less time than the link's delay.
func (p *Pool) keepRegion(healthy, allowed []*peer, now time.Time) []*peer {
	for _, candidate := range healthy {
		if candidate.distance != otherRegion {
			return healthy
		}
	}
	for _, candidate := range allowed {
		refusedOnly := !now.Before(candidate.failedUntil) && candidate.ejection.admits(now)
		if candidate.distance != otherRegion && refusedOnly {
			healthy = append(healthy, candidate)
		}
	}
	return healthy
}

// spread is used when most members look bad: the estimates are then more likely wrong than the members. It chooses by
// the own count only. Choosing by cost here doubled the failed calls under short overload.
func (p *Pool) spread(allowed []*peer, now time.Time) (*peer, float64) {
	offset := p.random.IntN(len(allowed))
	best := allowed[offset]
	for i := range allowed {
		other := allowed[(offset+i)%len(allowed)]
		if other.inFlight < best.inFlight {
			best = other
		}
	}
	return best, p.answerTime(best, now)
}

// ready drops the members whose slow start allows no pick now. It reuses the slice.
func (p *Pool) ready(healthy []*peer, now time.Time) []*peer {
	ready := p.starting[:0]
	for _, candidate := range healthy {
		if candidate.start.ready(now) {
			ready = append(ready, candidate)
		}
	}
	p.starting = ready
	return ready
}

// nearest returns the member with the lowest cost. The network's share of the cost prefers the own zone, then the
// region. The other region is used only when the wait saved exceeds its delay and the link has room.
func (p *Pool) nearest(candidates []*peer, now time.Time) (*peer, float64) {
	near := p.cheapest(candidates, now, false)
	far := p.cheapest(candidates, now, true)
	switch {
	case near == nil:
		return far, p.answerTime(far, now)
	case far == nil || !p.config.LinkRoom():
		return near, p.answerTime(near, now)
	}
	// Neither the risk of a refusal nor an overdue attempt counts here: a refusal in the region costs far less than the
	// link's delay, and single slow calls sent 30% more calls across the link without fewer late answers.
	nearTime, farTime := p.answerTime(near, now), p.answerTime(far, now)
	if farTime < nearTime/p.overdue(near, now) {
		return far, farTime
	}
	return near, nearTime
}

// cheapest compares the members on one side of the link, starting at a random one so that equals are chosen equally.
func (p *Pool) cheapest(candidates []*peer, now time.Time, acrossLink bool) *peer {
	var best *peer
	least := 0.0
	offset := p.random.IntN(len(candidates))
	for i := range candidates {
		candidate := candidates[(offset+i)%len(candidates)]
		if (candidate.distance == otherRegion) != acrossLink {
			continue
		}
		if cost := p.cost(candidate, now); best == nil || cost < least {
			best, least = candidate, cost
		}
	}
	return best
}
