package platform

import (
	"context"
	"fmt"
)

// Row is one row of the table. Version 0 means that the row does not exist; each write raises it.
type Row struct {
	Key     string
	Version uint64
	Value   []byte
}

// Write is one conditional write: it applies when the stored version equals IfVersion (0: the row must not exist).
type Write struct {
	Key       string
	IfVersion uint64
	Value     []byte
	Delete    bool
}

// Table is the platform's transactional table. Implementations are safe for concurrent use.
type Table interface {
	// Get returns the row, or *NotFoundError.
	Get(ctx context.Context, key string) (Row, error)
	// Scan returns the rows whose key starts with prefix, sorted by key.
	Scan(ctx context.Context, prefix string) ([]Row, error)
	// Commit applies all writes or none and returns the new version of each row. It fails with *ConflictError when a
	// condition does not hold and with *UnavailableError when the store gave no answer in time; a write whose answer was
	// lost is found by its write id and never applied twice.
	Commit(ctx context.Context, writes []Write) ([]uint64, error)
}

// Objects is the platform's object store; objects are immutable. Implementations are safe for concurrent use.
type Objects interface {
	// Put stores an object; storing the same name again with the same bytes succeeds, with other bytes it fails with
	// *ConflictError.
	Put(ctx context.Context, name string, data []byte) error
	// Get returns the object, or *NotFoundError.
	Get(ctx context.Context, name string) ([]byte, error)
	// List returns the names that start with prefix, sorted.
	List(ctx context.Context, prefix string) ([]string, error)
}

// NotFoundError reports a row or object that does not exist.
type NotFoundError struct{ Name string }

// Error implements error.
func (e *NotFoundError) Error() string { return fmt.Sprintf("%q does not exist in the store", e.Name) }

// ConflictError reports a commit whose conditions did not hold.
type ConflictError struct {
	// Stored holds the current row of each condition that failed.
	Stored []Row
}

// Error implements error.
func (e *ConflictError) Error() string {
	if len(e.Stored) == 0 {
		return "the write conflicts with another"
	}
	return fmt.Sprintf("the write conflicts with another: row %q is at version %d", e.Stored[0].Key, e.Stored[0].Version)
}

// UnavailableError reports that the store gave no usable answer within the time allowed.
type UnavailableError struct {
	Operation string
	Cause     error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("store unavailable during %s: %v", e.Operation, e.Cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }
