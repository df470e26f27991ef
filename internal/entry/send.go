package entry

import (
	"context"
	"slices"
	"time"

	"github.com/acacialock/acacialock/internal/balance"
	"github.com/acacialock/acacialock/internal/failure"
	"github.com/acacialock/acacialock/internal/wire"
)

// maxParallel bounds the attempts of one call in flight at once: the first and one hedge.
const maxParallel = 2

// send runs a call without a key: attempts one after another, and a hedge beside a slow idempotent one.
func (h *Handler) send(ctx context.Context, c *call) result {
	policy := h.config.Policies.For(c.service)
	policy.retry.First()
	policy.hedge.First()
	ctx, cancelLosers := context.WithCancel(ctx)
	defer cancelLosers()
	ended := make(chan result, maxParallel+1)
	if failed := h.launch(ctx, c, policy, ended); failed != nil {
		return result{failed: failed}
	}
	pending := 1
	hedge := h.hedgeTimer(c)
	defer hedge.Stop()
	for {
		select {
		case <-hedge.C:
			if h.launchHedge(ctx, c, policy, ended) {
				pending++
			}
		case one := <-ended:
			pending--
			if one.failed == nil {
				closeLate(ended, pending)
				return one
			}
			c.allowAgain(one)
			if h.again(ctx, c, policy, one, ended) {
				pending++
			}
			if pending == 0 {
				return c.refusedAtHome(one)
			}
		}
	}
}

// again follows a failed attempt by another, when one is allowed and can be sent.
func (h *Handler) again(ctx context.Context, c *call, policy *Policy, failed result, ended chan<- result) bool {
	if h.mayRepeat(c, policy, failed) {
		if h.relaunch(ctx, c, policy, ended) == nil {
			return true
		}
		c.denied = deniedNoMember
	}
	return h.mayOverflow(c, failed) && h.launchOverflow(ctx, c, policy, ended) == nil
}

// closeLate drops the answers of attempts that lost against the hedge or its first.
func closeLate(ended chan result, pending int) {
	if pending == 0 {
		return
	}
	go func() {
		for range pending {
			if late := <-ended; late.response != nil {
				_ = late.response.Body.Close()
			}
		}
	}()
}

// launch picks a target and starts an attempt in the background.
func (h *Handler) launch(ctx context.Context, c *call, policy *Policy, ended chan<- result) *failure.Error {
	return h.launchFor(ctx, c, policy, balance.Request{Exclude: c.tried}, ended)
}

func (h *Handler) launchFor(ctx context.Context, c *call, policy *Policy, request balance.Request, ended chan<- result) *failure.Error {
	pick, err := policy.balancer.Pick(request)
	if err != nil {
		return asFailure(err)
	}
	started := h.newAttempt(c, pick)
	started.overflow = request.Overflow
	go func() { ended <- h.observed(c, pick, started.run(ctx)) }()
	return nil
}

// relaunch is launch after a failure. When only members with slow targets are left, the call returns to one and waits.
func (h *Handler) relaunch(ctx context.Context, c *call, policy *Policy, ended chan<- result) *failure.Error {
	failed := h.launch(ctx, c, policy, ended)
	if failed == nil || len(c.slow) == 0 {
		return failed
	}
	c.stay = true
	c.tried = slices.DeleteFunc(c.tried, func(id string) bool { return slices.Contains(c.slow, id) })
	return h.launch(ctx, c, policy, ended)
}

func (h *Handler) launchHedge(ctx context.Context, c *call, policy *Policy, ended chan<- result) bool {
	if !c.body.replayable() || !policy.hedge.Spend() {
		h.config.Metrics.Counter("hedge.denied").Inc(1)
		return false
	}
	if h.launch(ctx, c, policy, ended) != nil {
		policy.hedge.Return()
		return false
	}
	h.config.Metrics.Counter("hedge.sent").Inc(1)
	h.logHedge(c)
	return true
}

// hedgeTimer fires when an idempotent call is slower than usual. Nested calls are not hedged: hedges at each of ten
// layers would multiply.
func (h *Handler) hedgeTimer(c *call) *time.Timer {
	after := h.latencies.route(c.route()).hedgeAfter()
	timer := time.NewTimer(after)
	if after == 0 || !c.idempotent || c.depth > 0 || c.body.streamed() {
		timer.Stop()
	}
	return timer
}

// newAttempt prepares a send; it is called by the call's own goroutine only.
func (h *Handler) newAttempt(c *call, pick balance.Pick) *attempt {
	c.tried = append(c.tried, pick.Member.ID)
	c.sends++
	stay := c.stay || c.key != "" || len(c.slow) >= maxMoves
	return &attempt{handler: h, call: c, id: wire.NewAttemptID(), member: pick.Member, doubt: pick.Doubt, sends: c.sends, stay: stay}
}

// mayRepeat decides whether a failed attempt is followed by another and takes it from the budget.
func (h *Handler) mayRepeat(c *call, policy *Policy, ended result) bool {
	failed := ended.failed
	if failed.Reason.Move() {
		return h.mayMove(c, ended)
	}
	if failed.Outcome != failure.NotRun || failed.Reason == failure.TargetShed {
		c.reached++
	}
	c.denied = h.repeatDenial(c, policy, failed)
	if c.denied != "" {
		h.config.Metrics.Counter("retry.denied." + string(c.denied)).Inc(1)
		return false
	}
	c.repeated = true
	h.config.Metrics.Retried(failed.Reason)
	return true
}

// denial is why a failed attempt is not followed by another; empty: it may be.
type denial string

const (
	deniedStopping denial = "stopping"            // this node stops
	deniedUnsafe   denial = "not-repeatable"      // the failure's outcome or the kind of call forbids it
	deniedSends    denial = "max-sends"           // maxSends is used up
	deniedAttempts denial = "max-attempts"        // as many targets as the rule allows may have run the call
	deniedDeadline denial = "deadline"            // no time is left
	deniedBody     denial = "body-not-replayable" // the body was streamed
	deniedBudget   denial = "budget"              // the service's retry budget is used up
	deniedNoMember denial = "no-member"           // no member is left to choose
)

// repeatDenial tells what keeps a failed attempt from being followed by another. It takes the other from the budget.
func (h *Handler) repeatDenial(c *call, policy *Policy, failed *failure.Error) denial {
	switch {
	case h.stopped.Err() != nil:
		return deniedStopping
	case !repeatable(c, failed):
		return deniedUnsafe
	case c.sends >= maxSends:
		return deniedSends
	case c.reached >= c.maxReached():
		return deniedAttempts
	case c.left() <= 0:
		return deniedDeadline
	case !c.body.replayable():
		return deniedBody
	case !reachedNoTarget(failed) && !policy.retry.Spend():
		return deniedBudget
	}
	return ""
}

// mayMove decides whether a call leaves a target that is slow or fails. It put no load on that target, so it is no retry.
func (h *Handler) mayMove(c *call, from result) bool {
	c.sends--
	c.slow = append(c.slow, from.member)
	if h.stopped.Err() != nil || c.left() <= 0 || !c.body.replayable() {
		return false
	}
	h.config.Metrics.Counter("move." + string(from.failed.Reason)).Inc(1)
	return true
}

// allowAgain lets a member be picked again after a silent connection, as the next send uses a new one, and after its node
// told the id that it has since a restart. Else a stall of the connections to all targets, or a restart of all nodes, would
// leave none to choose.
func (c *call) allowAgain(ended result) {
	if ended.failed.Reason == failure.ConnectionSilent || ended.current != "" {
		c.tried = slices.DeleteFunc(c.tried, func(id string) bool { return id == ended.member })
	}
}

// reachedNoTarget reports a failure that put no load on any target, so that the next send is no extra load. Such sends
// don't draw on the retry budget: a stall of all connections or a restart would else exhaust it at once. maxSends
// bounds them.
func reachedNoTarget(failed *failure.Error) bool {
	switch failed.Reason {
	case failure.ConnectFailed, failure.ConnectionSilent, failure.NoLocalTarget:
		return true
	case failure.Draining, failure.Starting, failure.WrongIncarnation, failure.WrongService, failure.WrongTarget, failure.TargetUnreachable:
		return failed.Outcome == failure.NotRun
	default:
		return false
	}
}

// repeatable reports whether another send is safe and may help. Of nested calls only refusals are repeated, so that
// one layer alone retries unclear failures.
func repeatable(c *call, failed *failure.Error) bool {
	switch failed.Reason {
	case failure.Quarantined, failure.BadRequest, failure.DeadlineExceeded, failure.CallerGone,
		failure.DuplicateAttempt, failure.BadKey, failure.KeyReused, failure.NoTarget:
		return false
	}
	if failed.Outcome == failure.NotRun {
		return true
	}
	return c.idempotent && c.depth == 0 && failed.Outcome == failure.Unknown
}

func asFailure(err error) *failure.Error {
	if failed := failure.As(err); failed != nil {
		return failed
	}
	return failure.Wrap(err, failure.NoTarget, failure.NotRun, "no target can be chosen")
}
