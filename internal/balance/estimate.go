package balance

import (
	"math"
	"slices"
	"time"
)

// fleet is what a pool expects of a member that it knows nothing recent about.
type fleet struct {
	load    float64 // mean sampled load
	service float64 // median service time in seconds
	own     float64 // mean number of own attempts in flight
}

const (
	// loadMemory and serviceMemory are the ages, in service times, at which a sample's load and service time have lost
	// 63% of their weight against the fleet's. Queues change within a service time. A slow member has to be tried
	// again soon: with a memory of 20 service times, recovered stragglers idled while the others refused calls.
	loadMemory    = 0.8
	serviceMemory = 2.0
	// ownWeight scales the member's own attempts in flight above the mean when the sample is old. The regression of a
	// target's load on the count of one of many equal entry nodes gives 1 to 1.2 for any number of nodes; stragglers
	// make it steeper. 1 to 8 gave the same p99 within 3%.
	ownWeight = 2.0
	// serviceDeadZone is the factor within which service times count as equal. Smaller differences are mostly noise,
	// and following them makes all entry nodes choose the same target; 1.0 to 1.3 raised the median by 20%.
	serviceDeadZone = 2.0
	// loadError is the standard deviation of a load estimate. It makes the expected wait rise smoothly before all
	// slots are taken; 1 to 4 gave the same p99 within 3%.
	loadError = 2.0
	// refusalCost is the cost of a refusal in service times. It makes a full target the last choice even when the others
	// look slow; without it twice as many calls failed under short overload.
	refusalCost = 10.0
	// unknownService is used until a sample is known.
	unknownService = 0.025
)

// survey updates the fleet's figures from the members' samples.
func (p *Pool) survey(now time.Time) {
	p.fleet = fleet{service: unknownService}
	services := p.scratch[:0]
	sampled := 0.0
	for _, member := range p.peers {
		p.fleet.own += float64(member.inFlight)
		if member.sample.known && now.Sub(member.sample.at) <= maxSampleAge {
			p.fleet.load += float64(member.sample.load)
			sampled++
			services = append(services, p.sampledService(&member.sample))
		}
	}
	p.scratch = services
	if len(p.peers) > 0 {
		p.fleet.own /= float64(len(p.peers))
	}
	if sampled == 0 {
		p.fleet.load = p.fleet.own
		return
	}
	p.fleet.load /= sampled
	slices.Sort(services)
	p.fleet.service = max(services[len(services)/2], minService)
}

// minService keeps ratios finite for targets that report no latency.
const minService = 1e-6

// sampledService is the time in seconds that the target needs for a request once it runs. The sampled latency
// includes the wait at the sampled load.
func (p *Pool) sampledService(s *sample) float64 {
	return s.latency.Seconds() / max(1, float64(s.load+1)/float64(p.config.Slots))
}

// cost is the expected time in seconds to the answer, with the risk of a refusal and the price of another zone.
func (p *Pool) cost(of *peer, now time.Time) float64 {
	full := float64(p.config.Slots + p.config.Queue)
	refusal := sigmoid((p.expectedLoad(of, now) + 1 - full) / loadError)
	cost := p.answerTime(of, now) + refusalCost*p.fleet.service*refusal
	if of.distance == sameRegion {
		cost += p.config.ZoneCost.Seconds()
	}
	return cost
}

// answerTime is the expected time in seconds from the send to the answer when the target accepts the request.
func (p *Pool) answerTime(of *peer, now time.Time) float64 {
	slots := float64(p.config.Slots)
	queued := p.expectedLoad(of, now) + 1 - slots
	wait := loadError * softplus(queued/loadError) / slots
	return p.config.roundTrip(of.distance).Seconds() + p.expectedService(of, now)*(1+wait)
}

// softplus is max(0, x) with the corner smoothed.
func softplus(x float64) float64 {
	if x > 30 {
		return x
	}
	return math.Log1p(math.Exp(x))
}

func sigmoid(x float64) float64 { return 1 / (1 + math.Exp(-x)) }

// expectedLoad blends the sample with what the own attempts in flight say about it.
func (p *Pool) expectedLoad(of *peer, now time.Time) float64 {
	byOwn := p.fleet.load + ownWeight*(float64(of.inFlight)-p.fleet.own)
	if !of.sample.known {
		return max(0, byOwn)
	}
	above := float64(of.sample.load) - p.fleet.load
	if above < 0 && of.sample.uses >= maxSampleUses {
		above = 0
	}
	bySample := p.fleet.load + above + float64(min(of.sample.sends, of.inFlight))
	weight := p.recency(of, now, loadMemory)
	return max(0, weight*bySample+(1-weight)*byOwn)
}

// expectedService is the member's service time in seconds, raised while an own attempt is overdue there.
func (p *Pool) expectedService(of *peer, now time.Time) float64 {
	service := p.fleet.service
	if of.sample.known {
		sampled := p.sampledService(&of.sample)
		if sampled > service*serviceDeadZone || sampled < service/serviceDeadZone {
			service += p.recency(of, now, serviceMemory) * (sampled - service)
		}
	}
	return service * p.overdue(of, now)
}

// recency is the weight of the member's sample, with a memory in service times.
func (p *Pool) recency(of *peer, now time.Time, memory float64) float64 {
	age := max(0, now.Sub(of.sample.at).Seconds())
	return math.Exp(-age / (memory * p.fleet.service))
}
