package balance

import (
	"slices"
	"time"
)

// choose returns the member for the request, or nil.
func (p *Pool) choose(request *Request, now time.Time) *peer {
	allowed := make([]*peer, 0, len(p.peers))
	for _, candidate := range p.peers {
		if request.allows(&candidate.member) && !candidate.draining {
			allowed = append(allowed, candidate)
		}
	}
	healthy := make([]*peer, 0, len(allowed))
	for _, candidate := range allowed {
		if p.looksHealthy(candidate, now) {
			healthy = append(healthy, candidate)
		}
	}
	if len(healthy) == 0 || 2*len(healthy) < len(allowed) {
		return p.spread(allowed)
	}
	ready := make([]*peer, 0, len(healthy))
	for _, candidate := range healthy {
		if candidate.start.ready(now) {
			ready = append(ready, candidate)
		}
	}
	if len(ready) == 0 {
		ready = healthy
	}
	return p.nearest(ready, now)
}

func (p *Pool) looksHealthy(candidate *peer, now time.Time) bool {
	return !now.Before(candidate.avoidUntil) && candidate.ejection.admits(now)
}

// spread is used when most members look bad: the judgement is then more likely wrong than the members.
func (p *Pool) spread(allowed []*peer) *peer {
	if len(allowed) == 0 {
		return nil
	}
	offset := p.random.IntN(len(allowed))
	best := allowed[offset]
	for i := range allowed {
		other := allowed[(offset+i)%len(allowed)]
		if other.inFlight < best.inFlight {
			best = other
		}
	}
	return best
}

// nearest prefers the own zone while it has a target without a wait, then the region. The other region is used only
// when the wait saved exceeds the extra delay and the link has room.
func (p *Pool) nearest(ready []*peer, now time.Time) *peer {
	var tiers [otherRegion + 1][]*peer
	for _, candidate := range ready {
		tiers[candidate.distance] = append(tiers[candidate.distance], candidate)
	}
	near := p.byLoad(tiers[sameZone], now)
	if near != nil && p.wait(near) == 0 {
		return near
	}
	region := p.byLoad(append(tiers[sameZone], tiers[sameRegion]...), now)
	far := p.byLoad(tiers[otherRegion], now)
	if region == nil {
		return far
	}
	if far == nil || !p.config.LinkRoom() {
		return region
	}
	extra := p.config.roundTrip(otherRegion) - p.config.roundTrip(region.distance)
	if p.wait(region)-p.wait(far) > extra {
		return far
	}
	return region
}

// coldQuantile splits cold from hot candidates by their in-flight estimates.
const coldQuantile = 0.75

// byLoad applies the hot/cold rule: among the candidates below the in-flight quantile the one with the lowest latency,
// otherwise the one with the lowest in-flight estimate.
func (p *Pool) byLoad(candidates []*peer, now time.Time) *peer {
	sampled := make([]*peer, 0, len(candidates))
	for _, candidate := range candidates {
		if candidate.sample.usable(now) {
			sampled = append(sampled, candidate)
		}
	}
	if len(sampled) < 2 {
		return p.spread(candidates)
	}
	loads := make([]int, 0, len(sampled))
	for _, candidate := range sampled {
		loads = append(loads, candidate.sample.inFlight())
	}
	slices.Sort(loads)
	limit := loads[int(coldQuantile*float64(len(loads)-1))]
	return p.coldest(sampled, limit)
}

func (p *Pool) coldest(sampled []*peer, limit int) *peer {
	offset := p.random.IntN(len(sampled))
	var cold, least *peer
	for i := range sampled {
		candidate := sampled[(offset+i)%len(sampled)]
		if least == nil || candidate.sample.inFlight() < least.sample.inFlight() {
			least = candidate
		}
		isCold := candidate.sample.inFlight() < limit
		if isCold && (cold == nil || p.latency(candidate) < p.latency(cold)) {
			cold = candidate
		}
	}
	if cold != nil {
		return cold
	}
	return least
}

// sampledService is the time that the target needs for a request once it runs. The sampled latency includes the wait at
// the sampled load.
func (p *Pool) sampledService(s *sample) time.Duration {
	if s.load < p.config.Slots {
		return s.latency
	}
	return s.latency * time.Duration(p.config.Slots) / time.Duration(s.load+1)
}

// latency is the expected latency at the sampled load, with the network.
func (p *Pool) latency(of *peer) time.Duration {
	return of.sample.latency + p.config.roundTrip(of.distance)
}

// wait is the expected time in the queue of the member's target.
func (p *Pool) wait(of *peer) time.Duration {
	queued := of.sample.inFlight() + 1 - p.config.Slots
	if queued <= 0 {
		return 0
	}
	return p.sampledService(&of.sample) * time.Duration(queued) / time.Duration(p.config.Slots)
}
