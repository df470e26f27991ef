package entry

import (
	"context"
	"time"

	"github.com/acacialock/acacialock/internal/balance"
	"github.com/acacialock/acacialock/internal/cluster"
	"github.com/acacialock/acacialock/internal/failure"
	"github.com/acacialock/acacialock/internal/keys"
	"github.com/acacialock/acacialock/internal/rpc"
	"github.com/acacialock/acacialock/internal/wire"
)

// claimPause is the wait before a claim is repeated that the owner could not decide yet.
const claimPause = 50 * time.Millisecond

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
	replaces []byte // attempt that holds the key and is proven not to have run
	last     *failure.Error
}

// claimOnce claims the key for one attempt and follows it. It reports false when another claim should be made.
func (k *keyedCall) claimOnce(ctx context.Context) (result, bool) {
	ownership, err := k.handler.config.Keys.Owner(ctx, k.call.service.Name, k.call.key)
	if err != nil {
		return k.refusedClaim(ctx, asFailure(err))
	}
	pick, err := k.pick(ownership)
	if err != nil {
		return result{failed: asFailure(err)}, true
	}
	id := wire.NewAttemptID()
	grant, err := k.handler.config.Keys.Claim(ctx, keys.ClaimArgs{
		Service:     k.call.service.Name,
		Key:         k.call.key,
		Fingerprint: k.call.fingerprint(),
		Attempt:     id[:],
		Runner:      pick.Member.ID,
		Replaces:    k.replaces,
	})
	switch {
	case err != nil:
		pick.Done(balance.Result{Class: balance.Cancelled})
		return k.refusedClaim(ctx, asFailure(err))
	case grant.Granted:
		return k.run(ctx, pick, id, grant)
	default:
		pick.Done(balance.Result{Class: balance.Cancelled})
		return k.taken(ctx, grant)
	}
}

// pick chooses a runner among the roster's members. It is not the key's owner unless that is the only member, so that
// one crash can't lose both copies of the record.
func (k *keyedCall) pick(ownership keys.Ownership) (balance.Pick, error) {
	exclude := append([]string(nil), k.call.tried...)
	allowed := map[string]bool{}
	for _, runner := range ownership.Runners {
		allowed[runner] = true
	}
	for _, member := range k.call.snapshot.Members[k.call.service.Name] {
		if !allowed[member.ID] {
			exclude = append(exclude, member.ID)
		}
	}
	return k.policy.balancer.Pick(balance.Request{Exclude: exclude, Region: k.call.service.HomeRegion})
}

// refusedClaim decides whether a refused claim is repeated: the owner may be collecting records or behind a roster.
func (k *keyedCall) refusedClaim(ctx context.Context, failed *failure.Error) (result, bool) {
	k.last = failed
	switch failed.Reason {
	case failure.KeyOwnerNotReady, failure.KeyRosterMismatch, failure.KeyOwnerGone, failure.KeyAuthorityLapsed:
	default:
		return result{failed: failed}, true
	}
	if failed.Outcome != failure.NotRun || !k.pause(ctx) {
		return result{failed: failed}, true
	}
	k.handler.config.Metrics.Retried(failed.Reason)
	return result{}, false
}

func (k *keyedCall) pause(ctx context.Context) bool {
	timer := time.NewTimer(claimPause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// run sends a granted attempt.
func (k *keyedCall) run(ctx context.Context, pick balance.Pick, id wire.AttemptID, grant keys.Grant) (result, bool) {
	started := k.handler.newAttempt(k.call, pick.Member)
	started.id = id
	started.grant = &grantHeaders{owner: grant.Owner, rosterVersion: grant.RosterVersion}
	ended := k.handler.observed(k.call, pick, started.run(ctx))
	if ended.failed == nil || ended.failed.Outcome != failure.NotRun {
		return ended, true
	}
	k.last = ended.failed
	k.replaces = id[:]
	if ended.failed.Reason == failure.Fenced {
		// Another copy of the call fenced this attempt and may have run the key since, so not-run can't be said
		// before the owner was asked again.
		k.last = failure.New(failure.KeyInProgress, failure.Unknown, "another call with the same key is in progress")
		return result{}, false
	}
	return ended, !k.handler.mayRepeat(k.call, k.policy, ended.failed)
}

// taken gets the answer of the attempt that holds the key, or makes sure that it never runs.
func (k *keyedCall) taken(ctx context.Context, grant keys.Grant) (result, bool) {
	if grant.Answer != nil {
		return result{kept: grant.Answer}, true
	}
	if grant.TakenState == rpc.AttemptState_ATTEMPT_DONE {
		return result{failed: notKept()}, true
	}
	runner, known := k.runner(grant)
	if !known {
		return result{failed: failure.New(failure.KeyRunnerGone, failure.Unknown, "node %s, which was to run the key's first request, is gone", grant.TakenRunner)}, true
	}
	return k.takenAt(ctx, runner, grant)
}

func (k *keyedCall) takenAt(ctx context.Context, runner cluster.Member, grant keys.Grant) (result, bool) {
	h := k.handler
	state, err := h.fence(ctx, runner.PeerAddr, runner.ID, grant.TakenAttempt, false)
	if err != nil {
		return result{failed: failure.Wrap(err, failure.KeyRunnerGone, failure.Unknown, "node %s, which was to run the key's first request, doesn't answer", runner.ID)}, true
	}
	switch state {
	case rpc.AttemptState_ATTEMPT_NOT_RUN:
		k.replaces = grant.TakenAttempt
		k.last = failure.New(failure.KeyInProgress, failure.NotRun, "the key's earlier attempt did not run")
		return result{}, false
	case rpc.AttemptState_ATTEMPT_RUNNING, rpc.AttemptState_ATTEMPT_DONE:
		return k.answerOf(ctx, runner, grant), true
	default:
		return result{failed: failure.New(failure.KeyRunnerGone, failure.Unknown, "node %s can't tell whether the key's first request ran", runner.ID)}, true
	}
}

// answerOf waits for the answer of the attempt that runs or ran.
func (k *keyedCall) answerOf(ctx context.Context, runner cluster.Member, grant keys.Grant) result {
	answer, state, err := k.handler.fetchAnswer(ctx, runner.PeerAddr, runner.ID, grant.TakenAttempt, k.call.left())
	switch {
	case err != nil:
		return result{failed: failure.Wrap(err, failure.KeyRunnerGone, failure.Unknown, "node %s doesn't answer", runner.ID)}
	case answer != nil:
		return result{kept: answer}
	case state == rpc.AttemptState_ATTEMPT_DONE:
		return result{failed: notKept()}
	case state == rpc.AttemptState_ATTEMPT_RUNNING:
		return result{failed: failure.New(failure.KeyInProgress, failure.Unknown, "the key's first request is still running")}
	default:
		return result{failed: failure.New(failure.KeyRunnerGone, failure.Unknown, "the target broke while it ran the key's first request")}
	}
}

func notKept() *failure.Error {
	return failure.New(failure.AnswerNotKept, failure.Done, "the key's request ran, its answer was too large to keep")
}

// runner finds the member that holds the key's attempt, by the address that the owner gave or among the known members.
func (k *keyedCall) runner(grant keys.Grant) (cluster.Member, bool) {
	for _, member := range k.call.snapshot.Members[k.call.service.Name] {
		if member.ID == grant.TakenRunner {
			return member, true
		}
	}
	return cluster.Member{}, false
}
