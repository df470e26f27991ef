package balance

import (
	"math"
	"slices"
	"time"
)

// fleetStats holds the averages assumed for a member without a recent sample.
type fleetStats struct {
	meanLoad          float64 // mean sampled load, in requests
	medianServiceTime float64 // median service time in seconds
	meanInFlight      float64 // mean number of this node's attempts in flight
}

const (
	// loadDecayTime and serviceDecayTime are the ages, in service times, at which a sample's load and service time
	// have lost 63% of their weight relative to the fleet averages. Queues change within a service time. A slow
	// member must be retried soon: with a decay time of 20 service times, recovered stragglers idled while the others
	// refused calls.
	loadDecayTime    = 0.8
	serviceDecayTime = 2.0
	// inFlightWeight scales the member's attempts in flight above the mean when the sample is old. The regression of
	// a target's load on the in-flight count of one of many equal entry nodes gives 1 to 1.2 for any number of nodes;
	// stragglers make it steeper. Values from 1 to 8 gave the same p99 within 3%.
	inFlightWeight = 2.0
	// serviceDeadZone is the factor within which service times are considered equal. Smaller differences are mostly
	// noise, and following them makes all entry nodes select the same target; values from 1.0 to 1.3 raised the
	// median latency by 20%.
	serviceDeadZone = 2.0
	// loadStdDev is the standard deviation of a load estimate. It makes the expected wait rise smoothly before all
	// slots are taken; values from 1 to 4 gave the same p99 within 3%.
	loadStdDev = 2.0
	// refusalCost is the cost of a refusal in service times. It makes a full target the last choice even when the
	// others look slow; without it twice as many calls failed under short overload.
	refusalCost = 10.0
	// coldSlowdown is the factor by which a target that warms up takes longer. It is stated, as the dead zone hides it: warm
	// targets with a free slot come first, and a cold one before a warm one with a queue of its own length.
	coldSlowdown = 2.0
	// defaultServiceTime is used, in seconds, until a sample is known.
	defaultServiceTime = 0.025
)

// updateFleetStats recomputes the fleet averages from the samples of the members.
func (p *Pool) updateFleetStats(now time.Time) {
	p.fleet = fleetStats{medianServiceTime: defaultServiceTime}
	serviceTimes := p.serviceTimes[:0]
	sampled := 0.0
	for _, state := range p.states {
		p.fleet.meanInFlight += float64(state.inFlight)
		if state.sample.known && now.Sub(state.sample.receivedAt) <= maxSampleAge {
			p.fleet.meanLoad += float64(state.sample.load)
			sampled++
			serviceTimes = append(serviceTimes, p.sampledServiceTime(&state.sample))
		}
	}
	p.serviceTimes = serviceTimes
	if len(p.states) > 0 {
		p.fleet.meanInFlight /= float64(len(p.states))
	}
	if sampled == 0 {
		p.fleet.meanLoad = p.fleet.meanInFlight
		return
	}
	p.fleet.meanLoad /= sampled
	slices.Sort(serviceTimes)
	p.fleet.medianServiceTime = max(serviceTimes[len(serviceTimes)/2], minServiceTime)
}

// minServiceTime, in seconds, keeps ratios finite for targets that report no latency.
const minServiceTime = 1e-6

// sampledServiceTime is the time in seconds that the target needs to serve a request once it has a slot. The sampled
// latency includes the wait at the sampled load, which is divided out.
func (p *Pool) sampledServiceTime(s *sample) float64 {
	return s.latency.Seconds() / max(1, float64(s.load+1)/float64(p.config.Slots))
}

// expectedCost is the expected response time in seconds plus the risk of a refusal and the cost of leaving the zone.
func (p *Pool) expectedCost(state *memberState, now time.Time) float64 {
	capacity := float64(p.config.Slots + p.config.Queue)
	refusalProbability := sigmoid((p.expectedLoad(state, now) + 1 - capacity) / loadStdDev)
	cost := p.expectedResponseTime(state, now) + refusalCost*p.fleet.medianServiceTime*refusalProbability
	if state.distance == sameRegion {
		cost += p.config.ZoneCost.Seconds()
	}
	return cost
}

// expectedResponseTime is the expected time in seconds from sending a request to its response, provided that the
// target accepts it.
func (p *Pool) expectedResponseTime(state *memberState, now time.Time) float64 {
	slots := float64(p.config.Slots)
	queued := p.expectedLoad(state, now) + 1 - slots
	wait := loadStdDev * softplus(queued/loadStdDev) / slots
	return p.config.roundTrip(state.distance).Seconds() + p.expectedServiceTime(state, now)*(1+wait)
}

// softplus is a smooth approximation of max(0, x).
func softplus(x float64) float64 {
	if x > 30 {
		return x
	}
	return math.Log1p(math.Exp(x))
}

func sigmoid(x float64) float64 { return 1 / (1 + math.Exp(-x)) }

// expectedLoad combines the member's sample with an estimate from this node's attempts in flight. The weight of the
// sample decays with its age.
func (p *Pool) expectedLoad(state *memberState, now time.Time) float64 {
	fromInFlight := p.fleet.meanLoad + inFlightWeight*(float64(state.inFlight)-p.fleet.meanInFlight)
	if !state.sample.known {
		return max(0, fromInFlight)
	}
	aboveMean := float64(state.sample.load) - p.fleet.meanLoad
	if aboveMean < 0 && state.sample.picks >= maxSamplePicks {
		aboveMean = 0
	}
	fromSample := p.fleet.meanLoad + aboveMean + float64(min(state.sample.sends, state.inFlight))
	weight := p.sampleWeight(state, now, loadDecayTime)
	return max(0, weight*fromSample+(1-weight)*fromInFlight)
}

// expectedServiceTime is the member's service time in seconds, scaled up while an attempt of this node to it is
// overdue.
func (p *Pool) expectedServiceTime(state *memberState, now time.Time) float64 {
	serviceTime := p.fleet.medianServiceTime
	if state.sample.known {
		sampled := p.sampledServiceTime(&state.sample)
		if sampled > serviceTime*serviceDeadZone || sampled < serviceTime/serviceDeadZone {
			serviceTime += p.sampleWeight(state, now, serviceDecayTime) * (sampled - serviceTime)
		}
	}
	if now.Before(state.coldUntil) {
		serviceTime = max(serviceTime, coldSlowdown*p.fleet.medianServiceTime)
	}
	return serviceTime * p.overdueFactor(state, now)
}

// sampleWeight is the weight of the member's sample, which decays exponentially with the sample's age; decayTime is
// in service times.
func (p *Pool) sampleWeight(state *memberState, now time.Time, decayTime float64) float64 {
	age := max(0, now.Sub(state.sample.receivedAt).Seconds())
	return math.Exp(-age / (decayTime * p.fleet.medianServiceTime))
}
