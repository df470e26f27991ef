package control

import "fmt"

// ConfigError reports a field of Config that is missing or malformed.
type ConfigError struct{ Field string }

// Error implements error.
func (e *ConfigError) Error() string {
	return fmt.Sprintf("control config: field %s is missing or malformed", e.Field)
}

// StoppedError reports a call to a node whose Run has returned.
type StoppedError struct{ ID string }

// Error implements error.
func (e *StoppedError) Error() string { return fmt.Sprintf("control of node %q has stopped", e.ID) }

// LeaveError reports that no leader confirmed the node's departure in time; its members row entry is removed after the
// member timeout.
type LeaveError struct {
	ID    string
	Cause error
}

// Error implements error.
func (e *LeaveError) Error() string {
	return fmt.Sprintf("departure of node %q was not confirmed: %v", e.ID, e.Cause)
}

// Unwrap returns the cause.
func (e *LeaveError) Unwrap() error { return e.Cause }

// ListError reports a service list text that can't be installed.
type ListError struct {
	Version uint64
	Problem string
	Cause   error
}

// Error implements error.
func (e *ListError) Error() string {
	text := fmt.Sprintf("service list version %d: %s", e.Version, e.Problem)
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap returns the cause, or nil.
func (e *ListError) Unwrap() error { return e.Cause }

// RowError reports a table row whose value can't be decoded.
type RowError struct {
	Key   string
	Cause error
}

// Error implements error.
func (e *RowError) Error() string { return fmt.Sprintf("row %q can't be decoded: %v", e.Key, e.Cause) }

// Unwrap returns the cause.
func (e *RowError) Unwrap() error { return e.Cause }
