package balance

import (
	"time"

	"github.com/acacialock/acacialock/internal/cluster"
	"github.com/acacialock/acacialock/internal/wire"
)

// memberState is what a pool knows about one member. The pool's lock guards all fields.
type memberState struct {
	member    cluster.Member
	currentID string // id since the member's node restarted; empty means member.ID
	distance  distance
	inFlight  int       // attempts of this node; equals len(attempts)
	attempts  []attempt // oldest first
	probing   bool

	sample       sample
	health       health
	ejection     ejection
	reachability reachability
	slowStart    slowStart

	refusedUntil time.Time // avoided after a refusal because the target is full, slow or failing
	// limitedUntil is the time until which the member's target accepts no request, by its own limit.
	limitedUntil time.Time
	// limitNamedUntil is the time until which the member's target is assumed to name a limit.
	limitNamedUntil time.Time
	coldUntil       time.Time // time until which the target is assumed to warm up
	// failedUntil is the time until which the member is avoided after a failed attempt, or after a refusal because its
	// target can't be connected to or the member no longer exists.
	failedUntil time.Time
	// draining is set when the member's node reports that it drains, which may be before the member set shows it.
	draining bool
}

// sample is the latest load sample of a member. The zero value means that there is none.
type sample struct {
	known      bool
	load       int           // requests running and queued at the target
	latency    time.Duration // latency estimated by the target's node
	receivedAt time.Time     // arrival time
	picks      int           // picks since it arrived
	sends      int           // attempts since it arrived, without those that ended without a sample
}

const (
	// maxSamplePicks is the number of picks that a sample with a load below the mean may attract.
	maxSamplePicks = 2
	// maxSampleAge limits the age of the samples included in the fleet averages.
	maxSampleAge = time.Second
)

// id returns the current id of the member's node.
func (s *memberState) id() string {
	if s.currentID != "" {
		return s.currentID
	}
	return s.member.ID
}

// isDraining reports whether the member drains according to the member set or its own node.
func (s *memberState) isDraining() bool { return s.draining || s.member.Draining }

// recordSample stores the sample unless a newer one is known.
func (s *memberState) recordSample(reported wire.LoadSample, at time.Time) {
	if s.sample.known && at.Before(s.sample.receivedAt) {
		return
	}
	s.sample = sample{
		known:      true,
		load:       reported.InFlight + reported.Queued,
		latency:    reported.Latency,
		receivedAt: at,
	}
	s.draining = reported.Draining
}

// startAttempt records an attempt to the member and reports whether it is the trial of an ejected member.
func (s *memberState) startAttempt(now time.Time, expectedSeconds float64) bool {
	s.attempts = append(s.attempts, attempt{now, expectedSeconds})
	s.inFlight = len(s.attempts)
	s.sample.picks++
	s.sample.sends++
	return s.ejection.beginTrial(now)
}
