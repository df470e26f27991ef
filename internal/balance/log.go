package balance

import (
	"time"

	"k8s.io/klog/v2"
)

// updateReachability applies update to the member's reachability, and counts and logs transitions between lost and
// reachable. cause names the event that triggered the update. The caller holds the pool's lock.
func (p *Pool) updateReachability(state *memberState, cause string, update func()) {
	wasLost := state.reachability.lost
	update()
	switch {
	case state.reachability.lost && !wasLost:
		p.countEvent("lost")
		klog.InfoS("member lost", "member", state.id(), "service", p.config.Service, "cause", cause,
			"in_flight", state.inFlight, "sample_age", p.sampleAge(state))
	case wasLost && !state.reachability.lost:
		p.countEvent("reached-again")
		klog.InfoS("member reached again", "member", state.id(), "service", p.config.Service, "cause", cause)
	}
}

// logEjection logs an ejection with the values that led to it.
func (p *Pool) logEjection(state *memberState) {
	baseline, _ := p.medianHealth(state)
	klog.InfoS("member ejected", "member", state.id(), "service", p.config.Service, "for", state.ejection.duration,
		"answers", state.health.results, "latency", seconds(state.health.latency), "failures", state.health.failures,
		"usual_latency", seconds(baseline.latency), "usual_failures", baseline.failures, "sample_age", p.sampleAge(state))
}

// logReturn logs that an ejected member may be selected again.
func (p *Pool) logReturn(state *memberState, cause string) {
	klog.InfoS("member returned", "member", state.id(), "service", p.config.Service, "cause", cause)
}

// sampleAge is the age of the member's latest load sample as text, or "none".
func (p *Pool) sampleAge(state *memberState) string {
	if !state.sample.known {
		return "none"
	}
	return p.config.Clock().Sub(state.sample.receivedAt).Round(time.Millisecond).String()
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second)).Round(time.Microsecond)
}
