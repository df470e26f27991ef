package entry

import (
	"context"
	"slices"
	"time"

	"github.com/acacialock/acacialock/internal/balance"
	"github.com/acacialock/acacialock/internal/failure"
	"github.com/acacialock/acacialock/internal/wire"
)

// maxParallel is the greatest number of attempts of one call in flight at once: one attempt and one hedge.
const maxParallel = 2

// send runs a call without a key: attempts one after another, and a hedge in parallel with a slow idempotent attempt. It
// returns the first result that is not a failure. When no attempt is left it returns the failure chosen by finalResult.
func (h *Handler) send(ctx context.Context, c *call) result {
	policy := h.config.Policies.For(c.service)
	policy.retry.RecordFirstAttempt()
	policy.hedge.RecordFirstAttempt()
	ctx, cancelLosers := context.WithCancel(ctx)
	defer cancelLosers()
	results := make(chan result, maxParallel+1)
	if failed := h.launch(ctx, c, policy, results); failed != nil {
		return result{failed: failed}
	}
	pending := 1
	hedge := h.hedgeTimer(c)
	defer hedge.Stop()
	for {
		select {
		case <-hedge.C:
			if h.launchHedge(ctx, c, policy, results) {
				pending++
			}
		case res := <-results:
			pending--
			if res.failed == nil {
				discardLosers(results, pending)
				return res
			}
			c.readmit(res)
			if h.retryOrOverflow(ctx, c, policy, res, results) {
				pending++
			}
			if pending == 0 {
				return c.finalResult(res)
			}
		}
	}
}

// retryOrOverflow starts another attempt after a failed one: a retry, or else an overflow to another region. A call whose
// own region is busy but has not refused it overflows first, and returns to its region if it is refused there. It returns
// false when no attempt is allowed or no member is left.
func (h *Handler) retryOrOverflow(ctx context.Context, c *call, policy *Policy, res result, results chan<- result) bool {
	if res.overflow && c.localRefusal == nil && res.failed.Outcome == failure.NotRun {
		c.sends--
		return h.launchRetry(ctx, c, policy, results) == nil
	}
	if !res.endsInRegion() && h.allowRetry(c, policy, res) {
		if h.launchElsewhere(ctx, c, policy, res, results) {
			return true
		}
		if h.launchRetry(ctx, c, policy, results) == nil {
			return true
		}
		c.retryDenial = deniedNoMember
	}
	return h.allowOverflow(c, res) && h.launchOverflow(ctx, c, policy, results) == nil
}

// launchElsewhere starts the next attempt of a call that its target would answer too late, and reports whether it did: in
// another region if the target said that its region is busy, and at another target first if it only sent the call on.
func (h *Handler) launchElsewhere(ctx context.Context, c *call, policy *Policy, res result, results chan<- result) bool {
	switch res.failed.Reason {
	case failure.TargetBusy:
		return h.launchOverflow(ctx, c, policy, results) == nil
	case failure.WaitTooLong:
		return h.launch(ctx, c, policy, results) == nil ||
			h.canOverflowEarly(c, policy) && h.launchOverflow(ctx, c, policy, results) == nil
	}
	return false
}

// endsInRegion reports whether no member of the region admits the call: the one that accepts the next request refused it by
// its target's limit. A further try there would only repeat the refusal.
func (r *result) endsInRegion() bool {
	return r.allLimited && !r.overflow && r.failed.Reason == failure.TargetLimited
}

// discardLosers closes the responses of the pending attempts, after another attempt has won.
func discardLosers(results chan result, pending int) {
	if pending == 0 {
		return
	}
	go func() {
		for range pending {
			if late := <-results; late.response != nil {
				_ = late.response.Body.Close()
			}
		}
	}()
}

// launch picks a member that was not tried yet and starts an attempt in the background, which sends its result to results.
func (h *Handler) launch(ctx context.Context, c *call, policy *Policy, results chan<- result) *failure.Error {
	return h.launchWith(ctx, c, policy, balance.Request{Exclude: c.tried, Regions: c.regions}, results)
}

// launchWith is launch with the restrictions of request.
func (h *Handler) launchWith(ctx context.Context, c *call, policy *Policy, request balance.Request, results chan<- result) *failure.Error {
	pick, err := policy.balancer.Pick(request)
	if err != nil {
		return asFailure(err)
	}
	a := h.newAttempt(c, pick)
	a.overflow = request.Overflow
	a.pinned = a.pinned || pick.Limited
	a.canOverflow = !a.overflow && h.canOverflowEarly(c, policy)
	go func() {
		res := h.reportResult(c, pick, a.sends, a.runRecovered(ctx))
		res.overflow, res.pinned, res.allLimited = a.overflow, a.pinned, pick.Limited
		results <- res
	}()
	return nil
}

// launchRetry is launch after a failed attempt. When only members are left that the call moved away from, or whose connection
// broke, it returns to one of them, which then must not refuse the call because its target is slow or failing.
func (h *Handler) launchRetry(ctx context.Context, c *call, policy *Policy, results chan<- result) *failure.Error {
	failed := h.launch(ctx, c, policy, results)
	if failed == nil || len(c.movedFrom)+len(c.brokenAt) == 0 {
		return failed
	}
	c.pinned = true
	c.tried = slices.DeleteFunc(c.tried, func(id string) bool {
		return slices.Contains(c.movedFrom, id) || slices.Contains(c.brokenAt, id)
	})
	return h.launch(ctx, c, policy, results)
}

// launchHedge starts a hedge when the body can be replayed and the hedge budget allows it, and reports whether it did.
func (h *Handler) launchHedge(ctx context.Context, c *call, policy *Policy, results chan<- result) bool {
	if !c.body.replayable() || !policy.hedge.TrySpend() {
		h.config.Metrics.Counter("hedge.denied").Inc(1)
		return false
	}
	if h.launch(ctx, c, policy, results) != nil {
		policy.hedge.Refund()
		return false
	}
	h.config.Metrics.Counter("hedge.sent").Inc(1)
	h.logHedge(c)
	return true
}

// hedgeTimer returns a timer that fires when an idempotent call is slower than usual. Nested calls are not hedged: hedges
// at each of ten layers would multiply. A streamed body can't be sent twice at once.
func (h *Handler) hedgeTimer(c *call) *time.Timer {
	delay := h.latencies.route(c.route()).hedgeDelay()
	timer := time.NewTimer(delay)
	if delay == 0 || !c.idempotent || c.depth > 0 || c.body.streamed() {
		timer.Stop()
	}
	return timer
}

// newAttempt returns the next attempt of a call and counts its send. Only the call's own goroutine may call it.
func (h *Handler) newAttempt(c *call, pick balance.Pick) *attempt {
	c.tried = append(c.tried, pick.Member.ID)
	c.sends++
	pinned := c.pinned || c.key != "" || len(c.movedFrom) >= maxMoves
	return &attempt{handler: h, call: c, id: wire.NewAttemptID(), member: pick.Member, reportUnresponsive: pick.ReportUnresponsive, sends: c.sends, pinned: pinned}
}

// allowRetry reports whether a failed attempt may be followed by another, and charges the retry budget for it.
func (h *Handler) allowRetry(c *call, policy *Policy, res result) bool {
	failed := res.failed
	if failed.Reason.IsMove() && !(res.pinned && failed.Reason == failure.TargetLimited) {
		return h.allowMove(c, res)
	}
	if failed.Outcome != failure.NotRun || failed.Reason == failure.TargetShed {
		c.reached++
	}
	c.retryDenial = h.chargeRetry(c, policy, failed)
	if c.retryDenial != "" {
		h.config.Metrics.Counter("retry.denied." + string(c.retryDenial)).Inc(1)
		return false
	}
	if failed.Reason == failure.TargetConnectionBroke || failed.Reason == failure.ConnectionLost {
		c.brokenAt = append(c.brokenAt, res.memberID)
	}
	c.retried = true
	h.config.Metrics.CountRetry(failed.Reason)
	return true
}

// denialReason is why a failed attempt is not followed by another; empty: it may be. It is a log value and the last part
// of a metric's name.
type denialReason string

const (
	deniedStopping denialReason = "stopping"            // this node is stopping
	deniedUnsafe   denialReason = "not-repeatable"      // a retry is unsafe or useless; see retryable
	deniedSends    denialReason = "max-sends"           // maxSends is used up
	deniedAttempts denialReason = "max-attempts"        // the call may have reached as many targets as the rule allows
	deniedDeadline denialReason = "deadline"            // the deadline has passed
	deniedBody     denialReason = "body-not-replayable" // more of a streamed body was read than is buffered
	deniedBudget   denialReason = "budget"              // the service's retry budget is used up
	deniedNoMember denialReason = "no-member"           // no member is left to choose from
)

// chargeRetry charges the retry budget for another attempt, or returns why there may be none.
func (h *Handler) chargeRetry(c *call, policy *Policy, failed *failure.Error) denialReason {
	switch {
	case h.stopped.Err() != nil:
		return deniedStopping
	case !retryable(c, failed):
		return deniedUnsafe
	case c.sends >= maxSends:
		return deniedSends
	case c.reached >= c.maxReached():
		return deniedAttempts
	case c.remaining() <= 0:
		return deniedDeadline
	case !c.body.replayable():
		return deniedBody
	case !reachedNoTarget(failed) && !policy.retry.TrySpend():
		return deniedBudget
	}
	return ""
}

// allowMove reports whether a call may move away from a target that is slow or failing. The target did not run the call,
// so the next send is neither charged as a retry nor, with one exception, counted.
func (h *Handler) allowMove(c *call, res result) bool {
	if res.failed.Reason != failure.WaitTooLong { // counted, so that only the first target sends a call on for this reason
		c.sends--
	}
	c.movedFrom = append(c.movedFrom, res.memberID)
	if h.stopped.Err() != nil || c.remaining() <= 0 || !c.body.replayable() {
		return false
	}
	h.config.Metrics.Counter("move." + string(res.failed.Reason)).Inc(1)
	return true
}

// readmit allows a member to be picked again after a silent connection, because the next send uses a new connection, and
// after its node reported the id of a restarted member. Otherwise a stall of the connections to all targets, or a restart
// of all nodes, would leave no member to choose from.
func (c *call) readmit(res result) {
	if res.failed.Reason == failure.ConnectionSilent || res.currentID != "" {
		c.tried = slices.DeleteFunc(c.tried, func(id string) bool { return id == res.memberID })
	}
}

// reachedNoTarget reports whether a failed attempt put no load on any target, so that the next send is no extra load.
// Such sends are not charged to the retry budget, because a stall of all connections or a restart would exhaust it at
// once. maxSends bounds them.
func reachedNoTarget(failed *failure.Error) bool {
	switch failed.Reason {
	case failure.ConnectFailed, failure.ConnectionSilent, failure.NoLocalTarget, failure.TargetLimited, failure.ZoneEvacuated:
		return true
	case failure.Draining, failure.Starting, failure.WrongIncarnation, failure.WrongService, failure.WrongTarget, failure.TargetUnreachable:
		return failed.Outcome == failure.NotRun
	default:
		return false
	}
}

// retryable reports whether another send is safe and may succeed. Nested calls are retried only when the attempt did not
// run, so that failures with an unknown outcome are retried by one layer only.
func retryable(c *call, failed *failure.Error) bool {
	switch failed.Reason {
	case failure.Quarantined, failure.BadRequest, failure.DeadlineExceeded, failure.CallerGone,
		failure.DuplicateAttempt, failure.BadIdempotencyKey, failure.KeyReused, failure.NoTarget, failure.CallerStalled:
		return false
	}
	if failed.Outcome == failure.NotRun {
		return true
	}
	return c.idempotent && c.depth == 0 && failed.Outcome == failure.Unknown
}

// asFailure returns the typed failure inside err, or wraps err as one with reason NoTarget.
func asFailure(err error) *failure.Error {
	if failed := failure.As(err); failed != nil {
		return failed
	}
	return failure.Wrap(err, failure.NoTarget, failure.NotRun, "no target can be chosen")
}
