package entry

import (
	"context"
	"time"

	"github.com/acacialock/acacialock/internal/failure"
	"github.com/acacialock/acacialock/internal/rpc"
)

// checkConnection queries the target's node, on a new connection, about an attempt whose first byte is late. It returns
// false when the attempt should keep waiting.
func (a *attempt) checkConnection(ctx context.Context, roundTrip chan roundTripResult) (result, bool) {
	a.handler.config.Metrics.Counter("forward.connection-checked").Inc(1)
	state, err := a.queryOrFence(ctx, true)
	if err != nil {
		if !a.call.idempotent {
			a.reportUnresponsive()
			return result{}, false // the connection may still work; the deadline bounds the wait
		}
		a.discard(roundTrip)
		return result{failed: failure.Wrap(err, failure.NodeUnreachable, failure.Unknown, "node %s doesn't answer", a.member.ID)}, true
	}
	if state == rpc.AttemptState_ATTEMPT_RUNNING {
		return result{}, false
	}
	grace := time.NewTimer(transitGrace)
	defer grace.Stop()
	select {
	case rt := <-roundTrip:
		return a.handleRoundTrip(ctx, rt), true
	case <-ctx.Done():
		return a.abandon(ctx, roundTrip), true
	case <-grace.C:
	}
	a.handler.config.Transport.Retire(a.generation)
	defer a.discard(roundTrip)
	if a.call.idempotent {
		return result{failed: failure.New(failure.ConnectionSilent, failure.Unknown, "a connection to node %s went silent", a.member.ID)}, true
	}
	return a.resolveOutcome(ctx, failure.ConnectionSilent), true
}

// resolveOutcome determines the outcome of a non-idempotent attempt that got no answer. It fences the attempt: a node that
// has not received it yet refuses it from then on, so another send is safe.
func (a *attempt) resolveOutcome(ctx context.Context, reason failure.Reason) result {
	state, err := a.queryOrFence(ctx, false)
	if err != nil {
		return result{failed: failure.Wrap(err, reason, failure.Unknown, "node %s can't be asked what became of the request", a.member.ID)}
	}
	switch state {
	case rpc.AttemptState_ATTEMPT_NOT_RUN:
		return result{failed: failure.New(reason, failure.NotRun, "node %s did not run the request and will not", a.member.ID)}
	case rpc.AttemptState_ATTEMPT_RUNNING, rpc.AttemptState_ATTEMPT_DONE:
		return a.fetchResult(ctx, reason)
	default:
		return result{failed: failure.New(reason, failure.Unknown, "node %s can't tell whether the request ran", a.member.ID)}
	}
}

// fetchResult returns the stored answer of an attempt that is running or done at its node, or the failure when the node
// has no answer stored.
func (a *attempt) fetchResult(ctx context.Context, reason failure.Reason) result {
	answer, state, err := a.handler.fetchAnswer(ctx, a.member.PeerAddr, a.member.ID, a.id[:], a.call.remaining())
	switch {
	case err != nil:
		return result{failed: failure.Wrap(err, reason, failure.Unknown, "the answer can't be fetched from node %s", a.member.ID)}
	case answer != nil:
		return result{stored: answer, latency: time.Since(a.started)}
	case state == rpc.AttemptState_ATTEMPT_DONE:
		return result{failed: failure.New(reason, failure.Done, "the request ran, its answer was lost")}
	default:
		return result{failed: failure.New(reason, failure.Unknown, "the request was dispatched, its end is not known")}
	}
}

// queryOrFence returns the attempt's state at the target's node; see Handler.queryOrFence.
func (a *attempt) queryOrFence(ctx context.Context, query bool) (rpc.AttemptState, error) {
	return a.handler.queryOrFence(ctx, a.member.PeerAddr, a.member.ID, a.id[:], query)
}

// queryOrFence returns the state of an attempt at a node, which it contacts on a new connection. Unless query is set, the
// node refuses an attempt that it has not received yet from then on. The call takes at most checkTimeout.
func (h *Handler) queryOrFence(ctx context.Context, addr, memberID string, id []byte, query bool) (rpc.AttemptState, error) {
	rpcCtx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	response, err := h.config.Attempts(addr).Fence(rpcCtx, &rpc.FenceRequest{Attempt: id, MemberId: memberID, Query: query})
	if err != nil {
		return rpc.AttemptState_ATTEMPT_UNKNOWN, err
	}
	return response.State, nil
}

// fetchAnswer waits at most for wait until an attempt ends at a node. It returns the stored answer, or nil and the state.
func (h *Handler) fetchAnswer(ctx context.Context, addr, memberID string, id []byte, wait time.Duration) (*rpc.Answer, rpc.AttemptState, error) {
	wait = max(wait, 0)
	rpcCtx, cancel := context.WithTimeout(ctx, wait+checkTimeout)
	defer cancel()
	request := &rpc.FetchAnswerRequest{Attempt: id, MemberId: memberID, WaitMs: uint32(wait.Milliseconds())}
	response, err := h.config.Attempts(addr).FetchAnswer(rpcCtx, request)
	if err != nil {
		return nil, rpc.AttemptState_ATTEMPT_UNKNOWN, err
	}
	return response.Answer, response.State, nil
}
