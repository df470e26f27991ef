// Package failure defines the typed failures that callers and nodes see: a reason, what became of the request, and an
// HTTP status.
package failure

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Outcome states what became of a request whose answer the caller does not receive from the target.
type Outcome string

// Outcomes.
const (
	// NotRun is given only with proof that no target ran the request.
	NotRun Outcome = "not-run"
	// Done means that a target ran the request to its end, but its answer can't be delivered.
	Done Outcome = "done"
	// Unknown means that a target may have run the request.
	Unknown Outcome = "unknown"
)

// Error is a typed failure. It is immutable once returned.
type Error struct {
	Reason  Reason
	Outcome Outcome
	// Detail is a sentence for operators; it holds no secrets of the request.
	Detail string
	// RetryAfter is zero or the time after which a retry may succeed.
	RetryAfter time.Duration
	cause      error
}

// New returns a failure with a formatted detail.
func New(reason Reason, outcome Outcome, format string, args ...any) *Error {
	return &Error{Reason: reason, Outcome: outcome, Detail: fmt.Sprintf(format, args...)}
}

// Wrap returns a failure that keeps cause for errors.Is and errors.As.
func Wrap(cause error, reason Reason, outcome Outcome, format string, args ...any) *Error {
	failed := New(reason, outcome, format, args...)
	failed.cause = cause
	return failed
}

// Error implements error.
func (e *Error) Error() string {
	text := fmt.Sprintf("%s (%s): %s", e.Reason, e.Outcome, e.Detail)
	if e.cause != nil {
		text += ": " + e.cause.Error()
	}
	return text
}

// Unwrap returns the cause, or nil.
func (e *Error) Unwrap() error { return e.cause }

// Status is the HTTP status sent with the failure.
func (e *Error) Status() int {
	if status, ok := statuses[e.Reason]; ok {
		return status
	}
	return http.StatusServiceUnavailable
}

// As returns the typed failure inside err, or nil.
func As(err error) *Error {
	var failed *Error
	if errors.As(err, &failed) {
		return failed
	}
	return nil
}
