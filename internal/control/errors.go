package control

import "fmt"

// ConfigError reports that a field of Config is missing or malformed.
type ConfigError struct{ Field string }

// Error implements the error interface.
func (e *ConfigError) Error() string {
	return fmt.Sprintf("control config: field %s is missing or malformed", e.Field)
}

// StoppedError reports a call to a Node after its Run has returned.
type StoppedError struct{ ID string }

// Error implements the error interface.
func (e *StoppedError) Error() string { return fmt.Sprintf("control of node %q has stopped", e.ID) }

// LeaveError reports that no leader confirmed the node's departure in time. The leader then removes the node from the
// members row after the member timeout.
type LeaveError struct {
	ID    string
	Cause error
}

// Error implements the error interface.
func (e *LeaveError) Error() string {
	return fmt.Sprintf("departure of node %q was not confirmed: %v", e.ID, e.Cause)
}

// Unwrap returns the underlying error.
func (e *LeaveError) Unwrap() error { return e.Cause }

// ListError reports that a service list could not be fetched or is not valid.
type ListError struct {
	Version uint64
	Problem string
	Cause   error
}

// Error implements the error interface.
func (e *ListError) Error() string {
	text := fmt.Sprintf("service list version %d: %s", e.Version, e.Problem)
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap returns the underlying error, or nil.
func (e *ListError) Unwrap() error { return e.Cause }

// RowError reports a table row whose value could not be decoded.
type RowError struct {
	Key   string
	Cause error
}

// Error implements the error interface.
func (e *RowError) Error() string { return fmt.Sprintf("decode row %q: %v", e.Key, e.Cause) }

// Unwrap returns the underlying error.
func (e *RowError) Unwrap() error { return e.Cause }
