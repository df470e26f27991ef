package platform

import (
	"fmt"
	"time"
)

// RejectedError reports a request that the platform rejected as invalid (status 400 and other 4xx), or that
// could not be encoded (status 0). It is not retried.
type RejectedError struct {
	Operation string
	Status    int
	Message   string
}

// Error implements error.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("the store rejected %s with status %d: %s", e.Operation, e.Status, e.Message)
}

// StatusError is the cause of an UnavailableError when the platform responded with status 429 or 5xx.
type StatusError struct {
	Status     int
	RetryAfter time.Duration // 0 if the response has no valid Retry-After header
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("the store responded with status %d", e.Status)
}

// MalformedResponseError is the cause of an UnavailableError when the response does not follow the protocol.
type MalformedResponseError struct{ Detail string }

// Error implements error.
func (e *MalformedResponseError) Error() string { return "malformed store response: " + e.Detail }

// TryTimeoutError is the cause of an UnavailableError when no response arrived within the timeout of a try.
type TryTimeoutError struct{ Timeout time.Duration }

// Error implements error.
func (e *TryTimeoutError) Error() string {
	return fmt.Sprintf("no response from the store within %s", e.Timeout)
}

// RetriesEndedError is the cause of an UnavailableError when the operation timed out or its context ended.
type RetriesEndedError struct {
	Tries   int
	Last    error // error of the last try that failed before the context ended; nil if there was none
	Context error // context.Canceled or context.DeadlineExceeded
}

// Error implements error.
func (e *RetriesEndedError) Error() string {
	if e.Last == nil {
		return fmt.Sprintf("%v after %d tries", e.Context, e.Tries)
	}
	return fmt.Sprintf("%v after %d tries (%v)", e.Last, e.Tries, e.Context)
}

// Unwrap returns Last, if set, and Context.
func (e *RetriesEndedError) Unwrap() []error {
	if e.Last == nil {
		return []error{e.Context}
	}
	return []error{e.Last, e.Context}
}
