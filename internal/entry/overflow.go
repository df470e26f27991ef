package entry

import (
	"context"
	"time"

	"github.com/acacialock/acacialock/internal/balance"
	"github.com/acacialock/acacialock/internal/failure"
)

const (
	// maxOverflows bounds the members of other regions that are offered a call which its own region refused. A third of them
	// may be slow at the moment.
	maxOverflows = 2
	// overflowMargin is the shortest time left with which a call is sent to another region: the round trip of 60 ms and a
	// short run.
	overflowMargin = 120 * time.Millisecond
)

// mayOverflow decides whether a call that ends refused may be offered to another region. It ran nowhere and comes to free
// slots only, so that it is no load of retries; the balancer bounds how many cross.
func (h *Handler) mayOverflow(c *call, ended result) bool {
	failed := ended.failed
	switch {
	case h.stopped.Err() != nil || failed.Outcome != failure.NotRun || c.left() < overflowMargin:
		return false
	case c.overflows >= maxOverflows || c.sends >= maxSends || !c.body.replayable():
		return false
	}
	switch failed.Reason {
	case failure.QueueFull, failure.DeadlineUnreachable, failure.TargetSlow, failure.TargetFailing:
	default:
		return false
	}
	if c.home == nil {
		c.home = &ended
	}
	return true
}

func (h *Handler) launchOverflow(ctx context.Context, c *call, policy *Policy, ended chan<- result) *failure.Error {
	if failed := h.launchFor(ctx, c, policy, balance.Request{Exclude: c.tried, Overflow: true}, ended); failed != nil {
		return failed
	}
	c.overflows++
	c.repeated = true
	return nil
}

// refusedAtHome is how a call ends that other regions refused too: with the refusal of its own, whose time to come back is
// that of the targets which the next try meets first.
func (c *call) refusedAtHome(last result) result {
	if c.home == nil || last.failed.Outcome != failure.NotRun {
		return last
	}
	return *c.home
}
