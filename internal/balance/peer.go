package balance

import (
	"time"

	"github.com/acacialock/acacialock/internal/cluster"
	"github.com/acacialock/acacialock/internal/wire"
)

// peer is what a pool knows about one member. The pool's lock guards all fields.
type peer struct {
	member   cluster.Member
	current  string // id since the member's node restarted; empty: that of member
	distance distance
	inFlight int       // attempts of this node; the length of attempts
	attempts []attempt // oldest first
	probing  bool

	sample   sample
	health   health
	ejection ejection
	reach    reach
	start    slowStart

	refusedUntil time.Time // avoided after a refusal for lack of room
	failedUntil  time.Time // avoided after a failed connection or because the member is gone
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
	// maxSampleUses is the number of picks that a sample with less load than the mean may attract.
	maxSampleUses = 2
	// maxSampleAge bounds the age of the samples that make up the fleet's figures.
	maxSampleAge = time.Second
)

// id is the id by which the member's node knows itself.
func (p *peer) id() string {
	if p.current != "" {
		return p.current
	}
	return p.member.ID
}

// gone reports whether the member drains.
func (p *peer) gone() bool { return p.draining || p.member.Draining }

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
func (p *peer) sent(now time.Time, expect float64) bool {
	p.attempts = append(p.attempts, attempt{now, expect})
	p.inFlight = len(p.attempts)
	p.sample.uses++
	p.sample.sends++
	return p.ejection.beginTrial(now)
}
