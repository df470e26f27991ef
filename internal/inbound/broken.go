package inbound

import (
	"context"
	"errors"
	"net/http"

	"github.com/acacialock/acacialock/internal/failure"
)

// failedBeforeAnswer classifies the end of a request that got no answer header and records it.
func (e *exchange) failedBeforeAnswer(ctx context.Context, err error) *failure.Error {
	e.mu.Lock()
	hadConn, wrote := e.conn != nil, e.wrote()
	e.mu.Unlock()
	// After an end by the context, the transport may still be writing.
	if !hadConn || !wrote && ctx.Err() == nil {
		e.attempt.Refuse()
		return e.neverWritten(ctx, err)
	}
	e.attempt.Broken()
	return e.ended(ctx, err)
}

// neverWritten is the failure of a request of which the target got nothing.
func (e *exchange) neverWritten(ctx context.Context, err error) *failure.Error {
	if failed := contextFailure(ctx, failure.NotRun); failed != nil {
		return failed
	}
	if cause := e.body.failed(); cause != nil {
		return failure.Wrap(cause, failure.CallerGone, failure.NotRun, "the request's body broke off")
	}
	return failure.Wrap(err, failure.TargetUnreachable, failure.NotRun, "nothing was written to the target")
}

// ended is the failure of a request that the target may have run.
func (e *exchange) ended(ctx context.Context, err error) *failure.Error {
	if failed := contextFailure(ctx, failure.Unknown); failed != nil {
		if failed.Reason == failure.DeadlineExceeded {
			e.watch.TimedOut(ctx)
		}
		return failed
	}
	if cause := e.body.failed(); cause != nil {
		return failure.Wrap(cause, failure.CallerGone, failure.Unknown, "the request's body broke off")
	}
	if e.watch.Broke(ctx) {
		return failure.Wrap(err, failure.TargetBroke, failure.Unknown, "the target died")
	}
	return failure.Wrap(err, failure.TargetBroke, failure.Unknown, "the target closed the connection")
}

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

// abort ends an answer that can't be completed, so that it never looks complete.
func (e *exchange) abort(failed *failure.Error) {
	e.attempt.Broken()
	e.handler.config.Metrics.Refused(role, failed.Reason)
	panic(http.ErrAbortHandler)
}
