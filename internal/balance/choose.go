package balance

import (
	"slices"
	"time"
)

// choose returns the member for the request, or nil if there is none, and the expected response time in seconds.
func (p *Pool) choose(request *Request, now time.Time) (*memberState, float64) {
	if request.Overflow {
		return p.chooseOverflow(request, now)
	}
	p.updateFleetStats(now)
	allowed := p.allowed[:0]
	healthy := p.healthy[:0]
	stayInRegion := p.config.StayInRegion && request.allowsRegion(p.config.Self.Region) && p.ownRegionAvailable(now)
	reachable := 0
	for _, candidate := range p.states {
		if !request.allows(&candidate.member, candidate.id()) || candidate.draining ||
			stayInRegion && candidate.distance == otherRegion {
			continue
		}
		allowed = append(allowed, candidate)
		if !candidate.reachability.lost {
			reachable++
		}
	}
	if reachable > 0 && reachable < len(allowed) {
		// Reachability checks can be wrong, so lost members are still tried when no other member is left.
		allowed = slices.DeleteFunc(allowed, func(candidate *memberState) bool { return candidate.reachability.lost })
	}
	allowed, limited := withRoom(allowed, now)
	if limited {
		p.allowed = allowed
		return allowed[0], p.expectedResponseTime(allowed[0], now)
	}
	for _, candidate := range allowed {
		if p.isHealthy(candidate, now) {
			healthy = append(healthy, candidate)
		}
	}
	p.allowed, p.healthy = allowed, healthy
	if len(allowed) == 0 {
		return nil, 0
	}
	if len(healthy) == 0 || 2*len(healthy) < len(allowed) {
		p.countEvent("spread")
		return p.chooseLeastInFlight(allowed, now)
	}
	if admitted := p.filterSlowStart(healthy, now); len(admitted) > 0 {
		healthy = admitted
	}
	return p.chooseByLocality(p.addRefusedInRegion(healthy, allowed, now), now)
}

// withRoom removes the members whose targets accept no request now, by their own limits. If that leaves none, it returns
// true and only the member that accepts the next request. It answers limits on most targets of a service: the others would
// otherwise share the requests with targets that refuse them.
func withRoom(allowed []*memberState, now time.Time) ([]*memberState, bool) {
	var next *memberState
	unlimited := 0
	for _, candidate := range allowed {
		if !now.Before(candidate.limitedUntil) {
			unlimited++
		} else if next == nil || candidate.limitedUntil.Before(next.limitedUntil) {
			next = candidate
		}
	}
	switch {
	case next == nil:
		return allowed, false
	case unlimited == 0:
		return append(allowed[:0], next), true
	}
	return slices.DeleteFunc(allowed, func(candidate *memberState) bool { return now.Before(candidate.limitedUntil) }), false
}

// ownRegionAvailable reports whether a member of the node's own region is reachable, not draining and without a
// recent failure. Members that are full or were already tried for the call count as well.
func (p *Pool) ownRegionAvailable(now time.Time) bool {
	for _, candidate := range p.states {
		if candidate.distance != otherRegion && !candidate.isDraining() && !candidate.reachability.lost &&
			!now.Before(candidate.failedUntil) {
			return true
		}
	}
	return false
}

func (p *Pool) isHealthy(candidate *memberState, now time.Time) bool {
	return !now.Before(candidate.failedUntil) && !now.Before(candidate.refusedUntil) && candidate.ejection.admits(now)
}

// addRefusedInRegion appends the members of the node's own region that are excluded only because of a recent refusal,
// if healthy contains no member of that region. A full queue drains in less time than the delay of the link between
// regions.
func (p *Pool) addRefusedInRegion(healthy, allowed []*memberState, now time.Time) []*memberState {
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

// chooseLeastInFlight selects by this node's attempts in flight alone. It is the fallback when most members look
// unhealthy, because the estimates are then more likely wrong than the members. Selecting by cost here doubled the
// failed calls under short overload.
func (p *Pool) chooseLeastInFlight(allowed []*memberState, now time.Time) (*memberState, float64) {
	offset := p.random.IntN(len(allowed))
	best := allowed[offset]
	for i := range allowed {
		other := allowed[(offset+i)%len(allowed)]
		if other.inFlight < best.inFlight {
			best = other
		}
	}
	return best, p.expectedResponseTime(best, now)
}

// filterSlowStart returns the members whose slow start admits a pick now. The result shares a buffer of the pool.
func (p *Pool) filterSlowStart(healthy []*memberState, now time.Time) []*memberState {
	admitted := p.slowStartAdmitted[:0]
	for _, candidate := range healthy {
		if candidate.slowStart.admits(now) {
			admitted = append(admitted, candidate)
		}
	}
	p.slowStartAdmitted = admitted
	return admitted
}

// chooseByLocality returns the member with the lowest cost. The network time included in the cost prefers the node's
// own zone, then its region. Another region is used only when the saved wait exceeds the delay of the link and the
// link has capacity.
func (p *Pool) chooseByLocality(candidates []*memberState, now time.Time) (*memberState, float64) {
	inRegion := p.lowestCost(candidates, now, false)
	acrossLink := p.lowestCost(candidates, now, true)
	switch {
	case inRegion == nil:
		return acrossLink, p.expectedResponseTime(acrossLink, now)
	case acrossLink == nil || !p.config.LinkHasCapacity():
		return inRegion, p.expectedResponseTime(inRegion, now)
	}
	// This comparison excludes both the refusal risk and the overdue factor of the near member: a refusal in the own
	// region costs far less than the link's delay, and reacting to single slow calls sent 30% more calls across the
	// link without reducing late responses.
	inRegionTime, acrossLinkTime := p.expectedResponseTime(inRegion, now), p.expectedResponseTime(acrossLink, now)
	if acrossLinkTime < inRegionTime/p.overdueFactor(inRegion, now) {
		return acrossLink, acrossLinkTime
	}
	return inRegion, inRegionTime
}

// lowestCost compares the members on one side of the link between regions. It starts at a random member so that
// members of equal cost are selected equally often.
func (p *Pool) lowestCost(candidates []*memberState, now time.Time, acrossLink bool) *memberState {
	var best *memberState
	leastCost := 0.0
	offset := p.random.IntN(len(candidates))
	for i := range candidates {
		candidate := candidates[(offset+i)%len(candidates)]
		if (candidate.distance == otherRegion) != acrossLink {
			continue
		}
		if cost := p.expectedCost(candidate, now); best == nil || cost < leastCost {
			best, leastCost = candidate, cost
		}
	}
	return best
}
