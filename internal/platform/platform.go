package platform

import (
	"context"
	"fmt"
)

// Row is a row of the table. Version 0 means that the row does not exist; each write increases the version.
type Row struct {
	Key     string
	Version uint64
	Value   []byte
}

// Write is a conditional write: it is applied only if the stored version equals IfVersion (0: the row must not exist).
// With Delete set it removes the row.
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
	// Commit applies all writes or none and returns the new version of each row. It fails with *ConflictError if a
	// condition does not hold and with *UnavailableError if the store did not respond in time. A commit that is retried
	// because its response was lost is recognized by its write ID and not applied twice.
	Commit(ctx context.Context, writes []Write) ([]uint64, error)
}

// Objects is the platform's object store; objects are immutable. Implementations are safe for concurrent use.
type Objects interface {
	// Put stores an object. Storing the same name again succeeds if the bytes are the same and fails with *ConflictError
	// otherwise.
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

// ConflictError reports a commit whose conditions did not hold, or a put of an object that exists with other bytes.
type ConflictError struct {
	// Stored holds the current row for each condition that failed; it is empty after a put.
	Stored []Row
}

// Error implements error.
func (e *ConflictError) Error() string {
	if len(e.Stored) == 0 {
		return "the write conflicts with another"
	}
	return fmt.Sprintf("the write conflicts with another: row %q is at version %d", e.Stored[0].Key, e.Stored[0].Version)
}

// UnavailableError reports that the store gave no usable response within the time allowed.
type UnavailableError struct {
	Operation string
	Cause     error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("store unavailable during %s: %v", e.Operation, e.Cause)
}

// Unwrap returns Cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }
