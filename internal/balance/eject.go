package balance

import (
	"slices"
	"time"
)

// health is the node's own view of a member's answers.
type health struct {
	answers  int     // since the last reset, capped
	latency  float64 // smoothed, in seconds, without the network
	failures float64 // smoothed share of failed attempts
}

const (
	// healthWeight is the weight of a new answer; the view follows about the last ten.
	healthWeight = 0.1
	// minAnswers are needed before a member is judged or serves as a comparison.
	minAnswers = 10
)

func (h *health) answered(latency time.Duration) {
	if h.answers == 0 {
		h.latency = latency.Seconds()
	}
	h.answers++
	h.latency += healthWeight * (latency.Seconds() - h.latency)
	h.failures -= healthWeight * h.failures
}

func (h *health) failed() {
	h.answers++
	h.failures += healthWeight * (1 - h.failures)
}

// ejection keeps a member out of the choice for a time that grows when it is ejected again.
type ejection struct {
	ejected bool
	until   time.Time // after it, one trial attempt at a time is admitted
	trial   bool      // a trial is under way
	length  time.Duration
	endedAt time.Time // end of the last ejection
}

const (
	minEjection = 200 * time.Millisecond
	maxEjection = 30 * time.Second
	// ejectionMemory is the time without ejection after which the length starts anew.
	ejectionMemory = 10 * time.Second
	// ejectLatencyRatio and ejectFailures are compared with the median of the other members.
	ejectLatencyRatio = 4.0
	ejectFailures     = 0.4
)

// admits reports whether the member may be chosen.
func (e *ejection) admits(now time.Time) bool {
	if !e.ejected {
		return true
	}
	return !e.trial && !now.Before(e.until)
}

func (e *ejection) begin(now time.Time) {
	switch {
	case e.length == 0 || (!e.ejected && now.Sub(e.endedAt) > ejectionMemory):
		e.length = minEjection
	default:
		e.length = min(2*e.length, maxEjection)
	}
	e.ejected = true
	e.trial = false
	e.until = now.Add(e.length)
}

func (e *ejection) beginTrial(now time.Time) bool {
	if !e.ejected || e.trial || now.Before(e.until) {
		return false
	}
	e.trial = true
	return true
}

func (e *ejection) end(now time.Time) {
	e.ejected = false
	e.trial = false
	e.endedAt = now
}

// endTrial returns an ejected member to use when its trial answered about as fast as its peers.
func (p *Pool) endTrial(of *peer, result Result, now time.Time) {
	if !of.ejection.trial {
		return
	}
	of.ejection.trial = false
	switch result.Class {
	case Cancelled, Refused:
		return
	case OK:
		of.health = health{}
		of.health.answered(p.serviceTime(of, result))
		if usual, known := p.usual(of); !known || !of.health.worseThan(usual) {
			of.ejection.end(now)
			p.count("returned")
			p.logReturn(of, "trial")
			return
		}
	}
	p.eject(of, "ejected-again", now)
}

// eject leaves the member out of the choice for some time.
func (p *Pool) eject(of *peer, event string, now time.Time) {
	of.ejection.begin(now)
	p.count(event)
	p.logEjection(of)
}

// review ejects the member when it is much worse than its peers.
func (p *Pool) review(of *peer, now time.Time) {
	if of.ejection.ejected {
		return
	}
	if of.health.answers < minAnswers {
		return
	}
	if usual, known := p.usual(of); !known || !of.health.worseThan(usual) {
		return
	}
	if ejected, members := p.ejected(); 3*(ejected+1) > members {
		p.count("ejection-limit")
		return
	}
	p.eject(of, "ejected", now)
}

// usual is the median health of the other members that are in use. It reports false while none has enough answers.
func (p *Pool) usual(of *peer) (health, bool) {
	var latencies, failures []float64
	for _, other := range p.peers {
		if other != of && !other.ejection.ejected && other.health.answers >= minAnswers {
			latencies = append(latencies, other.health.latency)
			failures = append(failures, other.health.failures)
		}
	}
	if len(latencies) == 0 {
		return health{}, false
	}
	return health{latency: median(latencies), failures: median(failures)}, true
}

// worseThan reports whether the member is much slower than usual or fails much more often.
func (h *health) worseThan(usual health) bool {
	return h.latency > ejectLatencyRatio*usual.latency || h.failures > usual.failures+ejectFailures
}

// ejected counts the ejected members and those that don't drain.
func (p *Pool) ejected() (ejected, members int) {
	for _, member := range p.peers {
		if member.gone() {
			continue
		}
		members++
		if member.ejection.ejected {
			ejected++
		}
	}
	return ejected, members
}

// limitEjections ends ejections when members left and the ejected ones are more than a third of the rest.
func (p *Pool) limitEjections(now time.Time) {
	for _, member := range p.peers {
		ejected, members := p.ejected()
		if 3*ejected <= members {
			return
		}
		if member.ejection.ejected && !member.gone() {
			member.ejection.end(now)
			p.count("ejection-limit")
			p.logReturn(member, "too many ejected")
		}
	}
}

func median(values []float64) float64 {
	slices.Sort(values)
	return values[len(values)/2]
}

func (p *Pool) count(event string) {
	p.config.Metrics.Counter("balance." + p.config.Service + "." + event).Inc(1)
}
