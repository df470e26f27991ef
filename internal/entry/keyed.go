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

// arrivalGrace is how long an attempt that was granted to a concurrent call with the same key may take to arrive at its
// runner.
const arrivalGrace = 50 * time.Millisecond

// maxClaims is the greatest number of claims made for one call.
const maxClaims = 8

// sendKeyed runs a call with an Idempotency-Key: it claims the key at its owner for an attempt, and sends the attempt only
// when the claim is granted. When another attempt holds the key, the call gets the answer of that attempt.
func (h *Handler) sendKeyed(ctx context.Context, c *call) result {
	policy := h.config.Policies.For(c.service)
	policy.retry.RecordFirstAttempt()
	keyed := keyedCall{handler: h, call: c, policy: policy}
	for range maxClaims {
		res, final := keyed.claimOnce(ctx)
		if final {
			return res
		}
	}
	return result{failed: keyed.lastFailure}
}

// keyedCall is the state of a keyed call that lasts from one claim to the next.
type keyedCall struct {
	handler     *Handler
	call        *call
	policy      *Policy
	replaces    wire.AttemptID // attempt that holds the key and provably did not run; zero: none
	lastFailure *failure.Error // failure to return when no further claim is made; nil: none yet
}

// claimOnce claims the key for one attempt and runs it when granted. It returns false when another claim should be made.
func (k *keyedCall) claimOnce(ctx context.Context) (result, bool) {
	roster, err := k.handler.config.Keys.Roster(ctx, k.call.service.Name)
	if err != nil {
		return k.claimFailure(asFailure(err)), true
	}
	pick, err := k.pick(roster)
	if err != nil {
		return k.noRunnerFailure(asFailure(err)), true
	}
	id := wire.NewAttemptID()
	claimResult, err := k.handler.config.Keys.Claim(ctx, keys.ClaimArgs{
		Service:     k.call.service.Name,
		Key:         k.call.key,
		Fingerprint: wire.CallFingerprint(k.call.request.Method, k.call.path),
		Attempt:     id,
		Runner:      pick.Member.ID,
		Replaces:    k.replaces,
	})
	switch {
	case err != nil:
		pick.Done(balance.Result{Class: balance.Cancelled})
		return k.claimFailure(asFailure(err)), true
	case claimResult.Granted && time.Now().After(claimResult.SendBefore):
		pick.Done(balance.Result{Class: balance.Cancelled})
		return k.abandonLateGrant(id), false
	case claimResult.Granted:
		return k.run(ctx, pick, id, claimResult)
	default:
		pick.Done(balance.Result{Class: balance.Cancelled})
		return k.resolveHolder(ctx, claimResult.Conflict)
	}
}

// pick chooses a runner among the roster's members. The runner is not the key's owner unless that is the only member, so
// that one crash can't lose both copies of the record.
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
	return k.policy.balancer.Pick(balance.Request{Exclude: exclude, Region: k.call.service.HomeRegion, Regions: k.call.regions})
}

// claimFailure returns the result of a call whose claim was refused. This call did not run, but an earlier call with the
// same key may have, so the outcome is unknown unless the owner has looked up the key.
func (k *keyedCall) claimFailure(failed *failure.Error) result {
	switch failed.Reason {
	case failure.KeyStoreFull, failure.KeyReused:
		return result{failed: failed}
	default:
		return result{failed: withUnknownOutcome(failed)}
	}
}

// noRunnerFailure returns the result of a call for which no target can be chosen. Without an earlier claim the owner has
// not looked up the key, so the outcome is unknown.
func (k *keyedCall) noRunnerFailure(failed *failure.Error) result {
	if k.lastFailure != nil {
		return result{failed: k.lastFailure}
	}
	return result{failed: withUnknownOutcome(failed)}
}

// withUnknownOutcome returns a refusal that was made before the key was looked up, with its outcome changed to Unknown.
func withUnknownOutcome(failed *failure.Error) *failure.Error {
	return failure.Wrap(failed, failed.Reason, failure.Unknown, "the key's owner did not tell whether an earlier call with the key ran")
}

// waitForArrival waits for arrivalGrace or until ctx ends.
func (k *keyedCall) waitForArrival(ctx context.Context) {
	timer := time.NewTimer(arrivalGrace)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// abandonLateGrant abandons a grant that expired before its attempt was sent, because it arrived late or the process was
// paused after it arrived. The attempt was not sent, so another claim may replace it.
func (k *keyedCall) abandonLateGrant(id wire.AttemptID) result {
	k.replaces = id
	k.lastFailure = failure.New(failure.DeadlineExceeded, failure.Unknown, "the grant for the key came too late")
	return result{}
}

// run sends a granted attempt. It returns false when another claim should be made.
func (k *keyedCall) run(ctx context.Context, pick balance.Pick, id wire.AttemptID, claimResult keys.ClaimResult) (result, bool) {
	a := k.handler.newAttempt(k.call, pick)
	a.id = id
	a.grant = &grantHeaders{owner: claimResult.Owner, rosterVersion: claimResult.RosterVersion}
	res := k.handler.reportResult(k.call, pick, a.sends, a.run(ctx))
	if res.failed == nil || res.failed.Outcome != failure.NotRun {
		return res, true
	}
	k.lastFailure = res.failed
	k.replaces = id
	k.call.readmit(res)
	if res.failed.Reason == failure.Fenced {
		// A concurrent call with the same key fenced this attempt and may have run the key since, so the outcome is unknown
		// until the key is claimed again.
		k.lastFailure = failure.New(failure.KeyInProgress, failure.Unknown, "another call with the same key is in progress")
		return result{}, false
	}
	return res, !k.handler.allowRetry(k.call, k.policy, res)
}

// resolveHolder returns the answer of the attempt that holds the key. When that attempt did not run and never will, it
// returns false: another claim may replace it.
func (k *keyedCall) resolveHolder(ctx context.Context, holder keys.ConflictingAttempt) (result, bool) {
	switch {
	case holder.Answer != nil:
		return result{stored: holder.Answer}, true
	case holder.State == rpc.AttemptState_ATTEMPT_DONE:
		return result{failed: answerNotKept()}, true
	case holder.RunnerAddr == "":
		return result{failed: runnerGone(nil, holder)}, true
	}
	state, err := k.holderState(ctx, holder)
	if err != nil {
		return result{failed: runnerGone(err, holder)}, true
	}
	switch state {
	case rpc.AttemptState_ATTEMPT_NOT_RUN:
		k.replaces = holder.Attempt
		k.lastFailure = failure.New(failure.KeyInProgress, failure.Unknown, "another call with the same key is in progress")
		return result{}, false
	case rpc.AttemptState_ATTEMPT_RUNNING, rpc.AttemptState_ATTEMPT_DONE:
		return k.holderAnswer(ctx, holder), true
	default:
		return result{failed: runnerGone(nil, holder)}, true
	}
}

// holderState returns the state of the attempt that holds the key. An attempt that has not arrived at its runner yet is
// fenced only after arrivalGrace, because two calls that fence each other's attempts at once would make no progress.
func (k *keyedCall) holderState(ctx context.Context, holder keys.ConflictingAttempt) (rpc.AttemptState, error) {
	state, err := k.handler.queryOrFence(ctx, holder.RunnerAddr, holder.Runner, holder.Attempt[:], true)
	if err != nil || state != rpc.AttemptState_ATTEMPT_NEVER_SEEN {
		return state, err
	}
	k.waitForArrival(ctx)
	return k.handler.queryOrFence(ctx, holder.RunnerAddr, holder.Runner, holder.Attempt[:], false)
}

// holderAnswer waits for the answer of the attempt that holds the key and is running or done.
func (k *keyedCall) holderAnswer(ctx context.Context, holder keys.ConflictingAttempt) result {
	answer, state, err := k.handler.fetchAnswer(ctx, holder.RunnerAddr, holder.Runner, holder.Attempt[:], k.call.remaining())
	switch {
	case err != nil:
		return result{failed: runnerGone(err, holder)}
	case answer != nil:
		return result{stored: answer}
	case state == rpc.AttemptState_ATTEMPT_DONE:
		return result{failed: answerNotKept()}
	case state == rpc.AttemptState_ATTEMPT_RUNNING:
		return result{failed: failure.New(failure.KeyInProgress, failure.Unknown, "the key's first request is still running")}
	default:
		return result{failed: failure.New(failure.TargetConnectionBroke, failure.Unknown, "the target broke while it ran the key's first call")}
	}
}

// answerNotKept returns the failure of a call whose key's answer was too large to store.
func answerNotKept() *failure.Error {
	return failure.New(failure.AnswerNotKept, failure.Done, "the key's request ran, its answer was too large to keep")
}

// runnerGone returns the failure of a call whose key's runner can't be contacted or doesn't know the attempt.
func runnerGone(cause error, holder keys.ConflictingAttempt) *failure.Error {
	return failure.Wrap(cause, failure.KeyRunnerGone, failure.Unknown, "node %s can't tell whether it ran the key's first call", holder.Runner)
}
