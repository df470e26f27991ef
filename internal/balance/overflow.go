package balance

import (
	"time"

	"github.com/acacialock/acacialock/internal/failure"
)

const (
	// firstOverflowPause is about one service time, after which full targets may have room again.
	firstOverflowPause = 100 * time.Millisecond
	// lastOverflowPause bounds the pause while the other regions stay full: a node then pays the link for one refused call in
	// that time.
	lastOverflowPause = 2 * time.Second
	// overflowStreak is the number of refusals in a row that close the path. One alone may come from the one full target among
	// free ones.
	overflowStreak = 2
)

// overflow decides whether a call that all targets of its own region refused may be sent to another region. The pool's lock
// guards it.
//
// It answers the load of regions of unequal size: one with two of five targets and half of the callers refuses calls while
// the other has free slots. Nothing is measured across the paid link; what the other region does with such calls is known
// from their ends alone. It takes them into free slots only, so its own calls lose nothing. After two refusals one call is
// sent after each pause, which doubles, until one is answered: in a burst in all regions next to nothing crosses.
type overflow struct {
	closed   bool
	refusals int       // in a row
	trial    bool      // a call was sent while closed, its end is not known
	nextAt   time.Time // of the next call while closed
	pause    time.Duration
}

// admit reports whether a call may cross now.
func (o *overflow) admit(now time.Time) bool {
	if !o.closed {
		return true
	}
	if now.Before(o.nextAt) {
		return false
	}
	o.trial, o.nextAt = true, now.Add(o.pause)
	return true
}

// ended takes over how a call that crossed ended. A target that is slow at the moment says nothing about the others.
func (o *overflow) ended(result Result, now time.Time) {
	switch {
	case result.Class == OK:
		*o = overflow{}
	case result.Class == Refused && (result.Reason == failure.QueueFull || result.Reason == failure.DeadlineUnreachable):
		o.refusals++
		if o.refusals < overflowStreak || o.closed && !o.trial { // the latter was sent before the path closed
			return
		}
		o.pause = min(max(firstOverflowPause, 2*o.pause), lastOverflowPause)
		o.closed, o.trial, o.nextAt = true, false, now.Add(o.pause)
	}
}

// chooseOverflow returns a member of another region for a call that its own region refused, or nil.
func (p *Pool) chooseOverflow(request *Request, now time.Time) (*peer, float64) {
	candidates := p.healthy[:0]
	for _, candidate := range p.peers {
		if candidate.distance == otherRegion && request.allows(&candidate.member, candidate.id()) && !candidate.gone() &&
			!candidate.reach.lost && p.looksHealthy(candidate, now) {
			candidates = append(candidates, candidate)
		}
	}
	p.healthy = candidates
	if len(candidates) == 0 || !p.config.LinkRoom() || !p.overflow.admit(now) {
		return nil, 0
	}
	p.survey(now)
	chosen := p.cheapest(candidates, now, true)
	p.count("overflow")
	return chosen, p.answerTime(chosen, now)
}
