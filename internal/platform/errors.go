package platform

import (
	"fmt"
	"time"
)

// RejectedError reports a request that the platform refuses as it is (status 400 and other 4xx). Sending it again does
// not help.
type RejectedError struct {
	Operation string
	Status    int
	Message   string
}

// Error implements error.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("the store rejected %s with status %d: %s", e.Operation, e.Status, e.Message)
}

// StatusError is the cause of an UnavailableError when the platform answered 429 or 5xx.
type StatusError struct {
	Status     int
	RetryAfter time.Duration // 0 when the answer names none
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("the store answered with status %d", e.Status)
}

// BadAnswerError is the cause of an UnavailableError when the answer does not follow the protocol.
type BadAnswerError struct{ Detail string }

// Error implements error.
func (e *BadAnswerError) Error() string { return "the store's answer is malformed: " + e.Detail }

// SilentError is the cause of an UnavailableError when no answer arrived within a try's timeout.
type SilentError struct{ Timeout time.Duration }

// Error implements error.
func (e *SilentError) Error() string {
	return fmt.Sprintf("no answer from the store within %s", e.Timeout)
}

// GaveUpError is the cause of an UnavailableError when time ran out.
type GaveUpError struct {
	Tries   int
	Last    error // of the last try that failed within the time; nil when there was none
	Context error // context.Canceled or context.DeadlineExceeded
}

// Error implements error.
func (e *GaveUpError) Error() string {
	if e.Last == nil {
		return fmt.Sprintf("%v after %d tries", e.Context, e.Tries)
	}
	return fmt.Sprintf("%v after %d tries (%v)", e.Last, e.Tries, e.Context)
}

// Unwrap returns both causes.
func (e *GaveUpError) Unwrap() []error {
	if e.Last == nil {
		return []error{e.Context}
	}
	return []error{e.Last, e.Context}
}
