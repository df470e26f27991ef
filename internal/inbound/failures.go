package inbound

import (
	"context"
	"errors"
	"net/http"

	"github.com/acacialock/acacialock/internal/failure"
)

// failBeforeResponse classifies the failure of a request that got no response header and records it in the ledger.
func (e *exchange) failBeforeResponse(ctx context.Context, err error) *failure.Error {
	e.mu.Lock()
	hadConn, wroteBytes := e.conn != nil, e.wroteBytes()
	e.mu.Unlock()
	// If the context ended the request, the transport may still be writing.
	if !hadConn || !wroteBytes && ctx.Err() == nil {
		e.attempt.Refuse()
		return e.notWrittenFailure(ctx, err)
	}
	e.attempt.MarkBroken()
	return e.unknownOutcomeFailure(ctx, err)
}

// notWrittenFailure returns the failure of a request of which no byte was written to the target.
func (e *exchange) notWrittenFailure(ctx context.Context, err error) *failure.Error {
	if e.cutOff.Load() {
		return stalledFailure(err, failure.NotRun)
	}
	if failed := contextFailure(ctx, failure.NotRun); failed != nil {
		return failed
	}
	if cause := e.body.callerError(); cause != nil {
		return failure.Wrap(cause, failure.CallerGone, failure.NotRun, "the request's body broke off")
	}
	return failure.Wrap(err, failure.TargetUnreachable, failure.NotRun, "nothing was written to the target")
}

// unknownOutcomeFailure returns the failure of a request that the target may have run. It also reports the end of the
// connection or the time-out to the quarantine, which decides whether the target crashed.
func (e *exchange) unknownOutcomeFailure(ctx context.Context, err error) *failure.Error {
	if e.cutOff.Load() {
		return stalledFailure(err, failure.Unknown)
	}
	if failed := contextFailure(ctx, failure.Unknown); failed != nil {
		if failed.Reason == failure.DeadlineExceeded {
			e.tracked.ReportTimeout(ctx)
		}
		return failed
	}
	if cause := e.body.callerError(); cause != nil {
		return failure.Wrap(cause, failure.CallerGone, failure.Unknown, "the request's body broke off")
	}
	if e.tracked.ReportBreak(ctx) {
		return failure.Wrap(err, failure.TargetConnectionBroke, failure.Unknown, "the target died")
	}
	return failure.Wrap(err, failure.TargetConnectionBroke, failure.Unknown, "the target closed the connection")
}

// stalledFailure returns the failure of a request that was cut off because its caller stalled.
func stalledFailure(err error, outcome failure.Outcome) *failure.Error {
	return failure.Wrap(err, failure.CallerStalled, outcome, "the caller stopped while others wanted its place")
}

// contextFailure returns the failure with the given outcome if the context has ended, and nil otherwise.
func contextFailure(ctx context.Context, outcome failure.Outcome) *failure.Error {
	switch err := ctx.Err(); {
	case err == nil:
		return nil
	case errors.Is(err, context.DeadlineExceeded):
		return failure.Wrap(err, failure.DeadlineExceeded, outcome, "the deadline passed at the target")
	default:
		return failure.Wrap(err, failure.CallerGone, outcome, "the caller left")
	}
}

// abort closes the caller's connection in the middle of a response, so that a truncated response never looks complete.
func (e *exchange) abort(failed *failure.Error) {
	e.attempt.MarkBroken()
	e.handler.config.Metrics.CountRefusal(role, failed.Reason)
	panic(http.ErrAbortHandler)
}
