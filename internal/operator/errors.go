package operator

import (
	"errors"
	"fmt"
	"strings"

	"github.com/acacialock/acacialock/internal/cluster"
	"github.com/acacialock/acacialock/internal/platform"
	"github.com/acacialock/acacialock/internal/servicelist"
)

// Exit codes of the command acacialock.
const (
	ExitOK          = 0
	ExitFailed      = 1
	ExitFindings    = 1 // check: the configuration is valid and has findings
	ExitBadInput    = 2
	ExitConflict    = 3
	ExitNotInForce  = 4
	ExitUnavailable = 5
)

// UsageError reports invalid command-line arguments.
type UsageError struct{ Detail string }

// Error implements error.
func (e *UsageError) Error() string { return e.Detail }

// FileError reports a service list file that can't be read.
type FileError struct{ Cause error }

// Error implements error.
func (e *FileError) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Cause }

// NoListError reports that the requested version is not in the history of accepted service lists, or that no list has
// been accepted yet.
type NoListError struct{ Version uint64 } // 0: no list has been accepted yet

// Error implements error.
func (e *NoListError) Error() string {
	if e.Version == 0 {
		return "no service list has been accepted yet"
	}
	return fmt.Sprintf("version %d is not in the history of accepted service lists", e.Version)
}

// CorruptError reports a row that can't be decoded, or a stored text that is missing or does not match its row.
type CorruptError struct{ Name, Detail string }

// Error implements error.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("stored data %q is corrupt: %s", e.Name, e.Detail)
}

// ConflictError reports that another list has been accepted since the version that the operator last saw. Nothing was
// changed.
type ConflictError struct {
	Expected uint64          `json:"expected"` // version that the operator last saw; 0: none
	Found    cluster.ListRow `json:"found"`    // row of the accepted list; zero if there is none
	Diff     string          `json:"diff"`     // unified diff from the accepted text to the operator's text
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("the service list changed: version %d was expected, version %d by %q is current; nothing was changed",
		e.Expected, e.Found.Version, e.Found.Operator)
}

// OutcomeUnknownError reports that the store stopped responding while a list was being committed, so that it may or may
// not have been accepted.
type OutcomeUnknownError struct {
	Version uint64 // proposed version
	Cause   error
}

// Error implements error.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("version %d may or may not have been accepted; applying the same file again is safe: %v", e.Version, e.Cause)
}

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error { return e.Cause }

// NotInForceError reports that an accepted version was not confirmed to be in force in all zones before the wait ended.
type NotInForceError struct {
	Version uint64      `json:"version"`
	Zones   []ZoneState `json:"zones"` // zones with nodes below the version, as last read
	// Cause is the error of the last read of the zones' state; nil if that read succeeded.
	Cause error `json:"-"`
}

// Error implements error.
func (e *NotInForceError) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("version %d is accepted, but the zones' state can't be read: %v", e.Version, e.Cause)
	}
	lags := make([]string, len(e.Zones))
	for i, zone := range e.Zones {
		lags[i] = zone.lagText()
	}
	return fmt.Sprintf("version %d is accepted, but not yet in force everywhere: %s", e.Version, strings.Join(lags, "; "))
}

// Unwrap returns the cause.
func (e *NotInForceError) Unwrap() error { return e.Cause }

// errorKind is a class of errors with its exit code and its name in the JSON output.
type errorKind struct {
	code int
	name string
}

// kindOf returns the class of err; errors without a class of their own exit with ExitFailed.
func kindOf(err error) errorKind {
	var checked *CheckError
	switch {
	case err == nil:
		return errorKind{ExitOK, "ok"}
	case errors.As(err, &checked) && checked.Invalid:
		return errorKind{ExitBadInput, "bad-list"}
	case checked != nil && checked.Cause == nil:
		return errorKind{ExitFindings, "findings"}
	case isErrorType[*UsageError](err):
		return errorKind{ExitBadInput, "usage"}
	case isErrorType[*servicelist.Error](err):
		return errorKind{ExitBadInput, "bad-list"}
	case isErrorType[*FileError](err):
		return errorKind{ExitBadInput, "bad-file"}
	case isErrorType[*ConflictError](err):
		return errorKind{ExitConflict, "conflict"}
	case isErrorType[*NotInForceError](err):
		return errorKind{ExitNotInForce, "not-in-force"}
	case isErrorType[*OutcomeUnknownError](err):
		return errorKind{ExitUnavailable, "outcome-unknown"}
	case isErrorType[*platform.UnavailableError](err):
		return errorKind{ExitUnavailable, "store-unavailable"}
	}
	return errorKind{ExitFailed, "failed"}
}

// ExitCode returns the exit code of the command for an error; ExitOK for nil.
func ExitCode(err error) int { return kindOf(err).code }

// isErrorType reports whether an error in the chain of err has the type T.
func isErrorType[T error](err error) bool {
	var target T
	return errors.As(err, &target)
}
