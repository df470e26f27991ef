package entry

import (
	"context"
	"slices"
	"time"

	"github.com/acacialock/acacialock/internal/balance"
	"github.com/acacialock/acacialock/internal/failure"
	"github.com/acacialock/acacialock/internal/keys"
	"github.com/acacialock/acacialock/internal/rpc"
	"github.com/acacialock/acacialock/internal/wire"
)

// arrivalPause is how long an attempt that was granted to another copy of the call may take to arrive.
const arrivalPause = 50 * time.Millisecond

// maxClaims bounds the claims of one call.
const maxClaims = 8

// sendKeyed runs a call with an Idempotency-Key: it claims the key at its owner for an attempt, and sends the attempt
// only when that was granted. A key that another attempt holds gets that attempt's answer.
func (h *Handler) sendKeyed(ctx context.Context, c *call) result {
	policy := h.config.Policies.For(c.service)
	policy.retry.First()
	state := keyedCall{handler: h, call: c, policy: policy}
	for range maxClaims {
		ended, final := state.claimOnce(ctx)
		if final {
			return ended
		}
	}
	return result{failed: state.last}
}

// keyedCall is a keyed call between its claims.
type keyedCall struct {
	handler  *Handler
	call     *call
	policy   *Policy
	replaces wire.AttemptID // attempt that holds the key and is proven not to have run
	last     *failure.Error
}

// claimOnce claims the key for one attempt and follows it. It reports false when another claim should be made.
func (k *keyedCall) claimOnce(ctx context.Context) (result, bool) {
	roster, err := k.handler.config.Keys.Roster(ctx, k.call.service.Name)
	if err != nil {
		return k.refusedClaim(asFailure(err)), true
	}
	pick, err := k.pick(roster)
	if err != nil {
		return k.noRunner(asFailure(err)), true
	}
	id := wire.NewAttemptID()
	grant, err := k.handler.config.Keys.Claim(ctx, keys.ClaimArgs{
		Service:     k.call.service.Name,
		Key:         k.call.key,
		Fingerprint: wire.CallFingerprint(k.call.request.Method, k.call.request.URL.EscapedPath()),
		Attempt:     id,
		Runner:      pick.Member.ID,
		Replaces:    k.replaces,
	})
	switch {
	case err != nil:
		pick.Done(balance.Result{Class: balance.Cancelled})
		return k.refusedClaim(asFailure(err)), true
	case grant.Granted && time.Now().After(grant.SendBefore):
		pick.Done(balance.Result{Class: balance.Cancelled})
		return k.lateGrant(id), false
	case grant.Granted:
		return k.run(ctx, pick, id, grant)
	default:
		pick.Done(balance.Result{Class: balance.Cancelled})
		return k.taken(ctx, grant.Taken)
	}
}

// pick chooses a runner among the roster's members. It is not the key's owner unless that is the only member, so that
// one crash can't lose both copies of the record.
func (k *keyedCall) pick(roster *keys.Roster) (balance.Pick, error) {
	exclude := slices.Clone(k.call.tried)
	allowed := map[string]bool{}
	for _, runner := range roster.Runners(k.call.key) {
		allowed[runner.ID] = true
	}
	for _, member := range k.call.snapshot.Members[k.call.service.Name] {
		if !allowed[member.ID] {
			exclude = append(exclude, member.ID)
		}
	}
	return k.policy.balancer.Pick(balance.Request{Exclude: exclude, Region: k.call.service.HomeRegion})
}

// refusedClaim answers a claim that was refused. Nothing of this call ran, but an earlier call with the same key may
// have, so the outcome is unknown unless the owner has looked the key up.
func (k *keyedCall) refusedClaim(failed *failure.Error) result {
	switch failed.Reason {
	case failure.KeyStoreFull, failure.KeyReused:
		return result{failed: failed}
	default:
		return result{failed: undecided(failed)}
	}
}

// noRunner answers a call for which no target can be chosen. Without an earlier grant the owner was not asked.
func (k *keyedCall) noRunner(failed *failure.Error) result {
	if k.last != nil {
		return result{failed: k.last}
	}
	return result{failed: undecided(failed)}
}

// undecided turns a refusal from before the key was looked up into one with the outcome unknown.
func undecided(failed *failure.Error) *failure.Error {
	return failure.Wrap(failed, failed.Reason, failure.Unknown, "the key's owner did not tell whether an earlier call with the key ran")
}

func (k *keyedCall) pause(ctx context.Context) {
	timer := time.NewTimer(arrivalPause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// lateGrant gives up a grant that reached this node, or was followed by a pause, too late to be used. The attempt was
// not sent, so another claim may replace it.
func (k *keyedCall) lateGrant(id wire.AttemptID) result {
	k.replaces = id
	k.last = failure.New(failure.DeadlineExceeded, failure.Unknown, "the grant for the key came too late")
	return result{}
}

// run sends a granted attempt.
func (k *keyedCall) run(ctx context.Context, pick balance.Pick, id wire.AttemptID, grant keys.Grant) (result, bool) {
	started := k.handler.newAttempt(k.call, pick)
	started.id = id
	started.grant = &grantHeaders{owner: grant.Owner, rosterVersion: grant.RosterVersion}
	ended := k.handler.observed(k.call, pick, started.run(ctx))
	if ended.failed == nil || ended.failed.Outcome != failure.NotRun {
		return ended, true
	}
	k.last = ended.failed
	k.replaces = id
	k.call.allowAgain(ended)
	if ended.failed.Reason == failure.Fenced {
		// Another copy of the call fenced this attempt and may have run the key since, so not-run can't be said
		// before the owner was asked again.
		k.last = failure.New(failure.KeyInProgress, failure.Unknown, "another call with the same key is in progress")
		return result{}, false
	}
	return ended, !k.handler.mayRepeat(k.call, k.policy, ended)
}

// taken gets the answer of the attempt that holds the key, or makes sure that it never runs.
func (k *keyedCall) taken(ctx context.Context, taken keys.Taken) (result, bool) {
	switch {
	case taken.Answer != nil:
		return result{kept: taken.Answer}, true
	case taken.State == rpc.AttemptState_ATTEMPT_DONE:
		return result{failed: notKept()}, true
	case taken.RunnerAddr == "":
		return result{failed: runnerGone(nil, taken)}, true
	}
	state, err := k.takenState(ctx, taken)
	if err != nil {
		return result{failed: runnerGone(err, taken)}, true
	}
	switch state {
	case rpc.AttemptState_ATTEMPT_NOT_RUN:
		k.replaces = taken.Attempt
		k.last = failure.New(failure.KeyInProgress, failure.Unknown, "another call with the same key is in progress")
		return result{}, false
	case rpc.AttemptState_ATTEMPT_RUNNING, rpc.AttemptState_ATTEMPT_DONE:
		return k.answerOf(ctx, taken), true
	default:
		return result{failed: runnerGone(nil, taken)}, true
	}
}

// takenState asks the runner about the attempt that holds the key. One that did not arrive yet gets a moment, since
// two copies of a call that fence each other's attempts would make no progress; then it is fenced.
func (k *keyedCall) takenState(ctx context.Context, taken keys.Taken) (rpc.AttemptState, error) {
	state, err := k.handler.fence(ctx, taken.RunnerAddr, taken.Runner, taken.Attempt[:], true)
	if err != nil || state != rpc.AttemptState_ATTEMPT_NEVER_SEEN {
		return state, err
	}
	k.pause(ctx)
	return k.handler.fence(ctx, taken.RunnerAddr, taken.Runner, taken.Attempt[:], false)
}

// answerOf waits for the answer of the attempt that runs or ran.
func (k *keyedCall) answerOf(ctx context.Context, taken keys.Taken) result {
	answer, state, err := k.handler.fetchAnswer(ctx, taken.RunnerAddr, taken.Runner, taken.Attempt[:], k.call.left())
	switch {
	case err != nil:
		return result{failed: runnerGone(err, taken)}
	case answer != nil:
		return result{kept: answer}
	case state == rpc.AttemptState_ATTEMPT_DONE:
		return result{failed: notKept()}
	case state == rpc.AttemptState_ATTEMPT_RUNNING:
		return result{failed: failure.New(failure.KeyInProgress, failure.Unknown, "the key's first request is still running")}
	default:
		return result{failed: failure.New(failure.TargetBroke, failure.Unknown, "the target broke while it ran the key's first call")}
	}
}

func notKept() *failure.Error {
	return failure.New(failure.AnswerNotKept, failure.Done, "the key's request ran, its answer was too large to keep")
}

func runnerGone(cause error, taken keys.Taken) *failure.Error {
	return failure.Wrap(cause, failure.KeyRunnerGone, failure.Unknown, "node %s can't tell whether it ran the key's first call", taken.Runner)
}
