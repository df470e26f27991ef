package entry

import (
	"context"
	"time"

	"github.com/acacialock/acacialock/internal/balance"
	"github.com/acacialock/acacialock/internal/failure"
)

const (
	// maxOverflows is the greatest number of members of other regions that a call is sent to after its own region refused
	// it. It is above one because a third of the members may be slow.
	maxOverflows = 2
	// minOverflowTime is the least time until the deadline, or until the soft deadline while the own region has not refused the
	// call, with which it is sent to another region: the round trip of 60 ms and a short service time.
	minOverflowTime = 120 * time.Millisecond
	// maxEarlyOverflowBytes is the length of the largest body that is sent to another region before the own region has refused
	// the call: the bytes between regions are billed.
	maxEarlyOverflowBytes = 32 << 10
)

// allowOverflow reports whether a call that its own region refused, or that has no target left there, may be sent to another
// region. The call has not run and may only take free slots there, so it is not charged to the retry budget; the balancer
// limits how many calls overflow.
func (h *Handler) allowOverflow(c *call, res result) bool {
	failed := res.failed
	switch {
	case h.stopped.Err() != nil || failed.Outcome != failure.NotRun || c.remaining() < minOverflowTime:
		return false
	case c.leavesRegion():
		return false // its region has not refused it, and the others were tried as ordinary targets
	case c.overflows >= maxOverflows || c.sends >= maxSends || !c.body.replayable():
		return false
	case !retryable(c, failed) || failed.Reason == failure.TargetShed || c.reached >= c.maxReached():
		return false // another attempt would be useless, or may be one target more than the rule allows
	}
	if c.localRefusal == nil {
		c.localRefusal = &res
	}
	return true
}

// launchOverflow starts an attempt at a member of another region, which must refuse it unless a slot is free.
func (h *Handler) launchOverflow(ctx context.Context, c *call, policy *Policy, results chan<- result) *failure.Error {
	if failed := h.launchWith(ctx, c, policy, balance.Request{Exclude: c.tried, Regions: c.regions, Overflow: true}, results); failed != nil {
		return failed
	}
	c.overflows++
	c.retried = true
	return nil
}

// finalResult returns the failure for the caller. For a call that other regions also refused it is the refusal by the own
// region: its retry-after time is that of the targets which the caller's next try reaches first.
func (c *call) finalResult(last result) result {
	if c.localRefusal == nil || last.failed.Outcome != failure.NotRun {
		return last
	}
	return *c.localRefusal
}

// canOverflowEarly reports whether a call may be offered to another region before its own region has refused it: it has a
// target latency that it can still meet there, and a short body.
func (h *Handler) canOverflowEarly(c *call, policy *Policy) bool {
	return c.overflows == 0 && !c.pinned && !c.leavesRegion() && c.key == "" && !c.softDeadline.IsZero() && c.softRemaining() >= minOverflowTime &&
		c.sends < maxSends && c.body.length >= 0 && c.body.length <= maxEarlyOverflowBytes && c.body.replayable() && policy.balancer.CanOverflow(c.regions)
}
