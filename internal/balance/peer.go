package balance

import (
	"time"

	"github.com/acacialock/acacialock/internal/cluster"
	"github.com/acacialock/acacialock/internal/wire"
)

// peer is what a pool knows about one member. The pool's lock guards all fields.
type peer struct {
	member   cluster.Member
	distance distance
	inFlight int // attempts of this node
	probing  bool

	sample   sample
	health   health
	ejection ejection
	start    slowStart

	// avoidUntil is set by refusals and failed connections.
	avoidUntil time.Time
	// draining is set when the member's node says so before the member set does.
	draining bool
}

// sample is the latest load sample of a member. The zero value holds none.
type sample struct {
	known   bool
	load    int           // requests at the target and in its queue
	latency time.Duration // estimate of the target's node
	at      time.Time     // when it arrived
	uses    int           // picks based on it
	sends   int           // own sends since it arrived
}

const (
	// maxSampleUses is from the design: a sample is used at most twice.
	maxSampleUses = 2
	// maxSampleAge bounds the age of a sample that a pick may be based on.
	maxSampleAge = time.Second
)

// usable reports whether a pick may be based on the sample.
func (s *sample) usable(now time.Time) bool {
	return s.known && s.uses < maxSampleUses && now.Sub(s.at) <= maxSampleAge
}

// inFlight is the estimated number of requests at the target now.
func (s *sample) inFlight() int { return s.load + s.sends }

// observe keeps the sample unless a newer one is known.
func (p *peer) observe(reported wire.LoadSample, at time.Time) {
	if p.sample.known && at.Before(p.sample.at) {
		return
	}
	p.sample = sample{
		known:   true,
		load:    reported.InFlight + reported.Queued,
		latency: reported.Latency,
		at:      at,
	}
	p.draining = reported.Draining
}

// sent counts a pick of the member and reports whether it is the trial of an ejected one.
func (p *peer) sent(now time.Time) bool {
	p.inFlight++
	p.sample.uses++
	p.sample.sends++
	return p.ejection.beginTrial(now)
}
