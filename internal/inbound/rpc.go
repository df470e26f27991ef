package inbound

import (
	"context"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/acacialock/acacialock/internal/attempt"
	"github.com/acacialock/acacialock/internal/rpc"
	"github.com/acacialock/acacialock/internal/wire"
)

// maxFetchWait limits how long FetchAnswer waits for the end of an attempt.
const maxFetchWait = 10 * time.Minute

var (
	_ rpc.Load       = (*Handler)(nil)
	_ rpc.Attempts   = (*Handler)(nil)
	_ rpc.Quarantine = (*Handler)(nil)
)

// Probe implements rpc.Load.
func (h *Handler) Probe(context.Context, *rpc.ProbeRequest) (*rpc.ProbeResponse, error) {
	sample := h.limiter.LoadSample()
	return &rpc.ProbeResponse{
		InFlight:  uint32(sample.InFlight),
		Queued:    uint32(sample.Queued),
		LatencyUs: uint64(sample.Latency.Microseconds()),
		Draining:  sample.Draining,
	}, nil
}

// Fence implements rpc.Attempts.
func (h *Handler) Fence(_ context.Context, request *rpc.FenceRequest) (*rpc.FenceResponse, error) {
	id, err := parseAttemptID(request.GetAttempt())
	if err != nil {
		return nil, err
	}
	if request.GetQuery() {
		return &rpc.FenceResponse{State: h.queryState(id, request.GetMemberId())}, nil
	}
	state := h.ledger.Fence(id, request.GetMemberId())
	return &rpc.FenceResponse{State: rpcState(state)}, nil
}

// queryState returns the state of an attempt without leaving a tombstone.
func (h *Handler) queryState(id wire.AttemptID, memberID string) rpc.AttemptState {
	state, seen := h.ledger.Query(id, memberID)
	if !seen {
		return rpc.AttemptState_ATTEMPT_NEVER_SEEN
	}
	return rpcState(state)
}

// FetchAnswer implements rpc.Attempts. It returns ATTEMPT_UNKNOWN for an attempt that was never seen, too; Fence
// distinguishes the two cases.
func (h *Handler) FetchAnswer(
	ctx context.Context, request *rpc.FetchAnswerRequest,
) (*rpc.FetchAnswerResponse, error) {
	id, err := parseAttemptID(request.GetAttempt())
	if err != nil {
		return nil, err
	}
	if request.GetMemberId() != h.config.Self.ID {
		return &rpc.FetchAnswerResponse{State: rpc.AttemptState_ATTEMPT_UNKNOWN}, nil
	}
	wait := min(time.Duration(request.GetWaitMs())*time.Millisecond, maxFetchWait)
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	state, answer := h.ledger.Wait(ctx, id)
	return &rpc.FetchAnswerResponse{State: rpcState(state), Answer: rpcAnswer(answer)}, nil
}

func parseAttemptID(raw []byte) (wire.AttemptID, error) {
	if len(raw) != len(wire.AttemptID{}) {
		return wire.AttemptID{}, twirp.InvalidArgumentError("attempt", "must have 16 bytes")
	}
	return wire.AttemptID(raw), nil
}

func rpcState(state attempt.State) rpc.AttemptState {
	switch state {
	case attempt.NotRun:
		return rpc.AttemptState_ATTEMPT_NOT_RUN
	case attempt.Pending, attempt.Running:
		return rpc.AttemptState_ATTEMPT_RUNNING
	case attempt.Done:
		return rpc.AttemptState_ATTEMPT_DONE
	case attempt.Broken:
		return rpc.AttemptState_ATTEMPT_BROKEN
	default:
		return rpc.AttemptState_ATTEMPT_UNKNOWN
	}
}

func rpcAnswer(stored *attempt.Answer) *rpc.Answer {
	if stored == nil {
		return nil
	}
	answer := &rpc.Answer{Status: uint32(stored.Status), Body: stored.Body}
	for name, values := range stored.Header {
		for _, value := range values {
			answer.Header = append(answer.Header, &rpc.HeaderField{Name: name, Value: value})
		}
	}
	return answer
}

// Share implements rpc.Quarantine.
func (h *Handler) Share(_ context.Context, request *rpc.ShareRequest) (*rpc.ShareResponse, error) {
	if request.GetService() != h.config.Self.Service {
		return nil, twirp.InvalidArgumentError("service", "is not served here")
	}
	if len(request.GetSuspects()) == 0 {
		return &rpc.ShareResponse{Known: h.guard.Store().Suspects()}, nil
	}
	h.guard.Store().Merge(request.GetSuspects())
	return &rpc.ShareResponse{}, nil
}

// Permit implements rpc.Quarantine.
func (h *Handler) Permit(_ context.Context, request *rpc.PermitRequest) (*rpc.PermitResponse, error) {
	if request.GetService() != h.config.Self.Service {
		return nil, twirp.InvalidArgumentError("service", "is not served here")
	}
	return h.guard.Store().Permit(request), nil
}

// KeyedAttempt describes a keyed attempt that this node ran or refused. It is used for the handover of key records.
type KeyedAttempt struct {
	Key           string
	Fingerprint   []byte // wire.CallFingerprint of method and path
	Attempt       wire.AttemptID
	Owner         string // member id of the key owner that granted the attempt
	RosterVersion uint64
	Age           time.Duration // time since its arrival
	State         rpc.AttemptState
	Answer        *rpc.Answer // nil if it was not recorded
}

// KeyedAttempts returns the keyed attempts in the ledger, in no particular order.
func (h *Handler) KeyedAttempts() []KeyedAttempt {
	records := h.ledger.KeyedRecords()
	listed := make([]KeyedAttempt, 0, len(records))
	for _, record := range records {
		listed = append(listed, KeyedAttempt{
			Key:           record.Key,
			Fingerprint:   record.Fingerprint,
			Attempt:       record.ID,
			Owner:         record.Owner,
			RosterVersion: record.RosterVersion,
			Age:           record.Age,
			State:         rpcState(record.State),
			Answer:        rpcAnswer(record.Answer),
		})
	}
	return listed
}
