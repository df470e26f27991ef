package balance

import (
	"slices"
	"time"

	"github.com/acacialock/acacialock/internal/failure"
)

const (
	// minOverflowBackoff is about one service time, after which full targets may have capacity again.
	minOverflowBackoff = 100 * time.Millisecond
	// maxOverflowBackoff limits the backoff while the other regions stay full: one refused call per
	// interval then still crosses the link between regions.
	maxOverflowBackoff = 2 * time.Second
	// overflowRefusalThreshold is the number of consecutive refusals that block overflow. A single refusal may come
	// from the only full target among free ones.
	overflowRefusalThreshold = 2
)

// overflowBreaker is a circuit breaker for calls that all targets of the node's own region refused and that may be
// sent to another region. The pool's lock guards it.
//
// It handles load on regions of unequal size: one with two of five targets and half of the callers refuses calls
// while the other has free slots. Nothing is measured across the link between regions; the state of the other region is
// known only from the results of these calls. That region admits them into free slots only, so its own calls are not
// affected. After two consecutive refusals, one trial call is sent after each backoff, which doubles until a call
// succeeds: in a burst that hits all regions, almost no calls cross the link.
type overflowBreaker struct {
	blocked             bool
	consecutiveRefusals int
	trialInFlight       bool      // a trial call was sent while blocked and has not ended yet
	nextTrialAt         time.Time // earliest time of the next trial call while blocked
	backoff             time.Duration
}

// admit reports whether a call may be sent to another region now. While overflow is blocked it counts the call as a
// trial.
func (b *overflowBreaker) admit(now time.Time) bool {
	if !b.blocked {
		return true
	}
	if now.Before(b.nextTrialAt) {
		return false
	}
	b.trialInFlight, b.nextTrialAt = true, now.Add(b.backoff)
	return true
}

// recordResult updates the breaker with the result of a call sent to another region. A refusal by a temporarily slow
// target is ignored because it gives no information about the other targets.
func (b *overflowBreaker) recordResult(result Result, now time.Time) {
	switch {
	case result.Class == OK:
		*b = overflowBreaker{}
	case result.Class == Refused && (result.Reason == failure.QueueFull || result.Reason == failure.DeadlineUnreachable):
		b.consecutiveRefusals++
		// A call that ends while overflow is blocked without a trial in flight was sent before the breaker tripped.
		if b.consecutiveRefusals < overflowRefusalThreshold || b.blocked && !b.trialInFlight {
			return
		}
		b.backoff = min(max(minOverflowBackoff, 2*b.backoff), maxOverflowBackoff)
		b.blocked, b.trialInFlight, b.nextTrialAt = true, false, now.Add(b.backoff)
	}
}

// chooseOverflow returns a member of another region for a call that the node's own region refused, or nil.
func (p *Pool) chooseOverflow(request *Request, now time.Time) (*memberState, float64) {
	candidates := p.healthy[:0]
	for _, candidate := range p.states {
		if p.takesOverflow(candidate, now) && request.allows(&candidate.member, candidate.id()) {
			candidates = append(candidates, candidate)
		}
	}
	p.healthy = candidates
	if len(candidates) == 0 || !p.config.LinkHasCapacity() || !p.overflow.admit(now) {
		return nil, 0
	}
	p.updateFleetStats(now)
	chosen := p.lowestCost(candidates, now, true)
	p.countEvent("overflow")
	return chosen, p.expectedResponseTime(chosen, now)
}

// CanOverflow reports whether a pick with Request.Overflow and these Regions may succeed now. It does not change the circuit
// breaker.
func (p *Pool) CanOverflow(regions []string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.config.Clock()
	if p.overflow.blocked && now.Before(p.overflow.nextTrialAt) || !p.config.LinkHasCapacity() {
		return false
	}
	request := Request{Regions: regions}
	return slices.ContainsFunc(p.states, func(candidate *memberState) bool {
		return request.allowsRegion(candidate.member.Region) && p.takesOverflow(candidate, now)
	})
}

// takesOverflow reports whether a member is in another region and seems able to serve. A target that names a limit or
// warms up has little room, and none is left by the requests of its own region.
func (p *Pool) takesOverflow(candidate *memberState, now time.Time) bool {
	return candidate.distance == otherRegion && !candidate.isDraining() && !candidate.reachability.lost &&
		!now.Before(candidate.limitNamedUntil) && !now.Before(candidate.coldUntil) && p.isHealthy(candidate, now)
}
