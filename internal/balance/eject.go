package balance

import (
	"slices"
	"time"
)

// health is this node's view of the results of attempts to a member.
type health struct {
	results  int     // successes and failures since the last reset
	latency  float64 // smoothed, in seconds, excluding the network round trip
	failures float64 // smoothed fraction of failed attempts
}

const (
	// healthWeight is the weight of a new result in the moving averages, which cover about the last ten results.
	healthWeight = 0.1
	// minResults is the number of results needed before a member can be ejected or count towards the baseline.
	minResults = 10
)

func (h *health) recordSuccess(latency time.Duration) {
	if h.results == 0 {
		h.latency = latency.Seconds()
	}
	h.results++
	h.latency += healthWeight * (latency.Seconds() - h.latency)
	h.failures -= healthWeight * h.failures
}

func (h *health) recordFailure() {
	h.results++
	h.failures += healthWeight * (1 - h.failures)
}

// ejection excludes a member from selection for a duration that doubles with each repeated ejection.
type ejection struct {
	ejected       bool
	until         time.Time // afterwards one trial attempt at a time is admitted
	trialInFlight bool      // a trial attempt has not ended yet
	duration      time.Duration
	endedAt       time.Time // end of the last ejection
}

const (
	minEjection = 200 * time.Millisecond
	maxEjection = 30 * time.Second
	// ejectionResetTime is the time without an ejection after which the duration starts again at minEjection.
	ejectionResetTime = 10 * time.Second
	// ejectLatencyRatio and ejectFailures are compared with the median of the other members: a member is ejected when
	// its latency exceeds ejectLatencyRatio times the median, or its failure rate exceeds the median by more than
	// ejectFailures.
	ejectLatencyRatio = 4.0
	ejectFailures     = 0.4
)

// admits reports whether the member may be selected.
func (e *ejection) admits(now time.Time) bool {
	if !e.ejected {
		return true
	}
	return !e.trialInFlight && !now.Before(e.until)
}

func (e *ejection) begin(now time.Time) {
	switch {
	case e.duration == 0 || (!e.ejected && now.Sub(e.endedAt) > ejectionResetTime):
		e.duration = minEjection
	default:
		e.duration = min(2*e.duration, maxEjection)
	}
	e.ejected = true
	e.trialInFlight = false
	e.until = now.Add(e.duration)
}

func (e *ejection) beginTrial(now time.Time) bool {
	if !e.ejected || e.trialInFlight || now.Before(e.until) {
		return false
	}
	e.trialInFlight = true
	return true
}

func (e *ejection) end(now time.Time) {
	e.ejected = false
	e.trialInFlight = false
	e.endedAt = now
}

// endTrial ends the ejection if the trial attempt succeeded and was not an outlier compared with the other members.
// Otherwise it ejects the member again, unless the trial was refused or cancelled, which permits another trial.
func (p *Pool) endTrial(state *memberState, result Result, now time.Time) {
	if !state.ejection.trialInFlight {
		return
	}
	state.ejection.trialInFlight = false
	switch result.Class {
	case Cancelled, Refused:
		return
	case OK:
		state.health = health{}
		state.health.recordSuccess(p.serviceTime(state, result))
		if baseline, known := p.medianHealth(state); !known || !state.health.isOutlier(baseline) {
			state.ejection.end(now)
			p.countEvent("returned")
			p.logReturn(state, "trial")
			return
		}
	}
	p.eject(state, "ejected-again", now)
}

// eject excludes the member from selection for the next ejection duration.
func (p *Pool) eject(state *memberState, event string, now time.Time) {
	state.ejection.begin(now)
	p.countEvent(event)
	p.logEjection(state)
}

// ejectIfOutlier ejects the member if it is much worse than the others, unless more than a third of the members would
// then be ejected.
func (p *Pool) ejectIfOutlier(state *memberState, now time.Time) {
	if state.ejection.ejected {
		return
	}
	if state.health.results < minResults {
		return
	}
	if baseline, known := p.medianHealth(state); !known || !state.health.isOutlier(baseline) {
		return
	}
	if ejected, members := p.countEjected(); 3*(ejected+1) > members {
		p.countEvent("ejection-limit")
		return
	}
	p.eject(state, "ejected", now)
}

// medianHealth returns the median health of the other members that are not ejected. It reports false if none of them
// has enough results.
func (p *Pool) medianHealth(state *memberState) (health, bool) {
	var latencies, failures []float64
	for _, other := range p.states {
		if other != state && !other.ejection.ejected && other.health.results >= minResults {
			latencies = append(latencies, other.health.latency)
			failures = append(failures, other.health.failures)
		}
	}
	if len(latencies) == 0 {
		return health{}, false
	}
	return health{latency: median(latencies), failures: median(failures)}, true
}

// isOutlier reports whether the member is much slower than the baseline or fails much more often.
func (h *health) isOutlier(baseline health) bool {
	return h.latency > ejectLatencyRatio*baseline.latency || h.failures > baseline.failures+ejectFailures
}

// countEjected returns the number of ejected members and the number of all members, both without draining members.
func (p *Pool) countEjected() (ejected, members int) {
	for _, state := range p.states {
		if state.isDraining() {
			continue
		}
		members++
		if state.ejection.ejected {
			ejected++
		}
	}
	return ejected, members
}

// limitEjections ends ejections while more than a third of the members are ejected, which happens when members leave
// the set or drain.
func (p *Pool) limitEjections(now time.Time) {
	for _, state := range p.states {
		ejected, members := p.countEjected()
		if 3*ejected <= members {
			return
		}
		if state.ejection.ejected && !state.isDraining() {
			state.ejection.end(now)
			p.countEvent("ejection-limit")
			p.logReturn(state, "too many ejected")
		}
	}
}

func median(values []float64) float64 {
	slices.Sort(values)
	return values[len(values)/2]
}

func (p *Pool) countEvent(event string) {
	p.config.Metrics.Counter("balance." + p.config.Service + "." + event).Inc(1)
}
