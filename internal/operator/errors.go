package operator

import (
	"errors"
	"fmt"
	"strings"

	"github.com/acacialock/acacialock/internal/cluster"
	"github.com/acacialock/acacialock/internal/platform"
	"github.com/acacialock/acacialock/internal/servicelist"
)

// Exit codes of the command.
const (
	ExitOK          = 0
	ExitFailed      = 1
	ExitBadInput    = 2
	ExitConflict    = 3
	ExitNotInForce  = 4
	ExitUnavailable = 5
)

// UsageError reports arguments that can't be used.
type UsageError struct{ Detail string }

// Error implements error.
func (e *UsageError) Error() string { return e.Detail }

// FileError reports a service list file that can't be read.
type FileError struct{ Cause error }

// Error implements error.
func (e *FileError) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Cause }

// NoListError reports that no service list, or not the version asked for, is recorded as accepted.
type NoListError struct{ Version uint64 } // 0: no version was accepted so far

// Error implements error.
func (e *NoListError) Error() string {
	if e.Version == 0 {
		return "no service list has been accepted yet"
	}
	return fmt.Sprintf("version %d is not among the accepted service lists that are kept", e.Version)
}

// CorruptError reports stored data that does not match its row.
type CorruptError struct{ Name, Detail string }

// Error implements error.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("stored data %q is corrupt: %s", e.Name, e.Detail)
}

// ConflictError reports that another list was accepted since the version that the operator last saw. Nothing was
// changed.
type ConflictError struct {
	Expected uint64          `json:"expected"` // version last seen; 0: none
	Found    cluster.ListRow `json:"found"`    // the accepted version; zero when there is none
	Diff     string          `json:"diff"`     // from the accepted text to the operator's text
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("the service list changed: version %d was expected, version %d by %q is current; nothing was changed",
		e.Expected, e.Found.Version, e.Found.Operator)
}

// OutcomeUnknownError reports that the store stopped answering while a list was being accepted.
type OutcomeUnknownError struct {
	Version uint64 // the version proposed
	Cause   error
}

// Error implements error.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("version %d may or may not have been accepted, applying the same file again is safe: %v", e.Version, e.Cause)
}

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error { return e.Cause }

// NotInForceError reports an accepted version that is not known to be in force everywhere.
type NotInForceError struct {
	Version uint64      `json:"version"`
	Zones   []ZoneState `json:"zones"` // the zones that are behind
	// Cause is set when the zones' state could not be read.
	Cause error `json:"-"`
}

// Error implements error.
func (e *NotInForceError) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("version %d is accepted, but the zones' state can't be read: %v", e.Version, e.Cause)
	}
	behind := make([]string, len(e.Zones))
	for i, zone := range e.Zones {
		behind[i] = zone.lag()
	}
	return fmt.Sprintf("version %d is accepted, but not yet in force everywhere: %s", e.Version, strings.Join(behind, "; "))
}

// Unwrap returns the cause.
func (e *NotInForceError) Unwrap() error { return e.Cause }

// errorKind holds the exit code of an error and its name in JSON output.
type errorKind struct {
	code int
	name string
}

func kindOf(err error) errorKind {
	switch {
	case err == nil:
		return errorKind{ExitOK, "ok"}
	case is[*UsageError](err):
		return errorKind{ExitBadInput, "usage"}
	case is[*servicelist.Error](err):
		return errorKind{ExitBadInput, "bad-list"}
	case is[*FileError](err):
		return errorKind{ExitBadInput, "bad-file"}
	case is[*ConflictError](err):
		return errorKind{ExitConflict, "conflict"}
	case is[*NotInForceError](err):
		return errorKind{ExitNotInForce, "not-in-force"}
	case is[*OutcomeUnknownError](err):
		return errorKind{ExitUnavailable, "outcome-unknown"}
	case is[*platform.UnavailableError](err):
		return errorKind{ExitUnavailable, "store-unavailable"}
	}
	return errorKind{ExitFailed, "failed"}
}

// ExitCode returns the command's exit code for an error.
func ExitCode(err error) int { return kindOf(err).code }

func is[T error](err error) bool {
	var target T
	return errors.As(err, &target)
}
