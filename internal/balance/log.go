package balance

import (
	"time"

	"k8s.io/klog/v2"
)

// change applies a change to what is believed of a member's connection, and counts and logs when a member becomes lost or
// is reached again. cause names what told it. The pool's lock is held.
func (p *Pool) change(of *peer, cause string, apply func()) {
	wasLost := of.reach.lost
	apply()
	switch {
	case of.reach.lost && !wasLost:
		p.count("lost")
		klog.InfoS("member lost", "member", of.id(), "service", p.config.Service, "cause", cause,
			"in_flight", of.inFlight, "sample_age", p.sampleAge(of))
	case wasLost && !of.reach.lost:
		p.count("reached-again")
		klog.InfoS("member reached again", "member", of.id(), "service", p.config.Service, "cause", cause)
	}
}

// logEjection writes that a member is left out of the choice, and the figures that decided it.
func (p *Pool) logEjection(of *peer) {
	usual, _ := p.usual(of)
	klog.InfoS("member ejected", "member", of.id(), "service", p.config.Service, "for", of.ejection.length,
		"answers", of.health.answers, "latency", seconds(of.health.latency), "failures", of.health.failures,
		"usual_latency", seconds(usual.latency), "usual_failures", usual.failures, "sample_age", p.sampleAge(of))
}

// logReturn writes that an ejected member may be chosen again.
func (p *Pool) logReturn(of *peer, cause string) {
	klog.InfoS("member returned", "member", of.id(), "service", p.config.Service, "cause", cause)
}

// sampleAge is the age of the member's newest load sample, as text.
func (p *Pool) sampleAge(of *peer) string {
	if !of.sample.known {
		return "none"
	}
	return p.config.Clock().Sub(of.sample.at).Round(time.Millisecond).String()
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second)).Round(time.Microsecond)
}
