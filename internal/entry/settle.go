package entry

import (
	"context"
	"time"

	"github.com/acacialock/acacialock/internal/failure"
	"github.com/acacialock/acacialock/internal/rpc"
)

// check asks the target's node, on a new connection, about an attempt whose first byte is late. It reports false while
// the attempt should go on waiting.
func (a *attempt) check(ctx context.Context, arrived chan arrival) (result, bool) {
	a.handler.config.Metrics.Counter("forward.connection-checked").Inc(1)
	state, err := a.ask(ctx, true)
	if err != nil {
		if !a.call.idempotent {
			a.doubt()
			return result{}, false // the connection may still be good; the deadline bounds the wait
		}
		a.discard(arrived)
		return result{failed: failure.Wrap(err, failure.NodeUnreachable, failure.Unknown, "node %s doesn't answer", a.member.ID)}, true
	}
	if state == rpc.AttemptState_ATTEMPT_RUNNING {
		return result{}, false
	}
	grace := time.NewTimer(transitGrace)
	defer grace.Stop()
	select {
	case got := <-arrived:
		return a.arrived(ctx, got), true
	case <-ctx.Done():
		return a.abandoned(ctx, arrived), true
	case <-grace.C:
	}
	a.handler.config.Transport.Retire(a.generation)
	defer a.discard(arrived)
	if a.call.idempotent {
		return result{failed: failure.New(failure.ConnectionSilent, failure.Unknown, "a connection to node %s went silent", a.member.ID)}, true
	}
	return a.settle(ctx, failure.ConnectionSilent), true
}

// settle finds out what became of a non-idempotent attempt that gave no answer. A node that never saw the attempt
// refuses it from then on, which makes another send safe.
func (a *attempt) settle(ctx context.Context, reason failure.Reason) result {
	state, err := a.ask(ctx, false)
	if err != nil {
		return result{failed: failure.Wrap(err, reason, failure.Unknown, "node %s can't be asked what became of the request", a.member.ID)}
	}
	switch state {
	case rpc.AttemptState_ATTEMPT_NOT_RUN:
		return result{failed: failure.New(reason, failure.NotRun, "node %s did not run the request and will not", a.member.ID)}
	case rpc.AttemptState_ATTEMPT_RUNNING, rpc.AttemptState_ATTEMPT_DONE:
		return a.fetch(ctx, reason)
	default:
		return result{failed: failure.New(reason, failure.Unknown, "node %s can't tell whether the request ran", a.member.ID)}
	}
}

// fetch gets the answer of an attempt that the node ran or runs, when the node keeps it.
func (a *attempt) fetch(ctx context.Context, reason failure.Reason) result {
	answer, state, err := a.handler.fetchAnswer(ctx, a.member.PeerAddr, a.member.ID, a.id[:], a.call.left())
	switch {
	case err != nil:
		return result{failed: failure.Wrap(err, reason, failure.Unknown, "the answer can't be fetched from node %s", a.member.ID)}
	case answer != nil:
		return result{kept: answer, latency: time.Since(a.started)}
	case state == rpc.AttemptState_ATTEMPT_DONE:
		return result{failed: failure.New(reason, failure.Done, "the request ran, its answer was lost")}
	default:
		return result{failed: failure.New(reason, failure.Unknown, "the request was dispatched, its end is not known")}
	}
}

// ask queries or fences the attempt at the target's node on a new connection.
func (a *attempt) ask(ctx context.Context, query bool) (rpc.AttemptState, error) {
	return a.handler.fence(ctx, a.member.PeerAddr, a.member.ID, a.id[:], query)
}

// fence asks a node for an attempt's state; without query an attempt that it never saw is refused from then on.
func (h *Handler) fence(ctx context.Context, addr, memberID string, id []byte, query bool) (rpc.AttemptState, error) {
	limited, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	response, err := h.config.Attempts(addr).Fence(limited, &rpc.FenceRequest{Attempt: id, MemberId: memberID, Query: query})
	if err != nil {
		return rpc.AttemptState_ATTEMPT_UNKNOWN, err
	}
	return response.State, nil
}

// fetchAnswer waits at a node for the end of an attempt, at most for wait.
func (h *Handler) fetchAnswer(ctx context.Context, addr, memberID string, id []byte, wait time.Duration) (*rpc.Answer, rpc.AttemptState, error) {
	wait = max(wait, 0)
	limited, cancel := context.WithTimeout(ctx, wait+checkTimeout)
	defer cancel()
	request := &rpc.FetchAnswerRequest{Attempt: id, MemberId: memberID, WaitMs: uint32(wait.Milliseconds())}
	response, err := h.config.Attempts(addr).FetchAnswer(limited, request)
	if err != nil {
		return nil, rpc.AttemptState_ATTEMPT_UNKNOWN, err
	}
	return response.Answer, response.State, nil
}
