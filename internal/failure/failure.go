// Package failure defines the typed failures that callers and nodes receive: a reason, the outcome of the request, and an
// HTTP status.
package failure

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Outcome states whether a target ran a request whose answer the caller does not receive.
type Outcome string

// Outcomes.
const (
	// NotRun means that provably no target ran the request.
	NotRun Outcome = "not-run"
	// Done means that a target completed the request, but its answer can't be delivered.
	Done Outcome = "done"
	// Unknown means that a target may have run the request.
	Unknown Outcome = "unknown"
)

// Error is a typed failure. It is immutable once returned.
type Error struct {
	Reason  Reason
	Outcome Outcome
	// Detail describes the failure for operators. It contains no confidential data of the request.
	Detail string
	// RetryAfter is the time after which a retry may succeed; 0: unknown.
	RetryAfter time.Duration
	cause      error
}

// New returns a failure with a formatted detail.
func New(reason Reason, outcome Outcome, format string, args ...any) *Error {
	return &Error{Reason: reason, Outcome: outcome, Detail: fmt.Sprintf(format, args...)}
}

// Wrap returns a failure with a formatted detail that wraps cause, for errors.Is and errors.As.
func Wrap(cause error, reason Reason, outcome Outcome, format string, args ...any) *Error {
	failed := New(reason, outcome, format, args...)
	failed.cause = cause
	return failed
}

// Error implements error. The text holds the reason, the outcome, the detail and the cause.
func (e *Error) Error() string {
	text := fmt.Sprintf("%s (%s): %s", e.Reason, e.Outcome, e.Detail)
	if e.cause != nil {
		text += ": " + e.cause.Error()
	}
	return text
}

// Unwrap returns the cause, or nil.
func (e *Error) Unwrap() error { return e.cause }

// Status returns the HTTP status sent with the failure. Callers take 503 as a promise that the request has not run, so a
// failure without that outcome has 502 unless its reason has another status.
func (e *Error) Status() int {
	if status, ok := statuses[e.Reason]; ok {
		return status
	}
	if e.Outcome != NotRun {
		return http.StatusBadGateway
	}
	return http.StatusServiceUnavailable
}

// As returns the first *Error in the chain of err, or nil if there is none.
func As(err error) *Error {
	var failed *Error
	if errors.As(err, &failed) {
		return failed
	}
	return nil
}
