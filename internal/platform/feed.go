package platform

import (
	"context"
	"fmt"
	"time"
)

// FeedRow is one row of a table that can be followed, or the removal of one.
type FeedRow struct {
	Key     string
	Version uint64 // from one counter over all tables; it rises with each write
	Value   []byte
	Removed bool
}

// Feed is a store whose tables can be followed. Implementations are safe for concurrent use. Calls without a usable
// answer fail with *UnavailableError.
type Feed interface {
	// ReadAll returns all rows of a table and the version of that state, from which Changes goes on.
	ReadAll(ctx context.Context, table string) ([]FeedRow, uint64, error)
	// Changes waits at most wait for rows of a table that were written or removed after a version. It returns them in
	// order of their versions, with the version to go on from, and no rows when nothing changed. It fails with
	// *HistoryLostError when the store no longer knows the changes since that version.
	Changes(ctx context.Context, table string, after uint64, wait time.Duration) ([]FeedRow, uint64, error)
	// Replace writes or removes a row if its stored version is ifVersion (0: the row must not exist) and returns the new
	// version. It fails with *StaleRowError when the condition does not hold. A call that failed otherwise may still take
	// effect later, as long as its condition holds.
	Replace(ctx context.Context, table string, row FeedRow, ifVersion uint64) (uint64, error)
}

// HistoryLostError reports that a follower has to read the table again.
type HistoryLostError struct{ Table string }

// Error implements error.
func (e *HistoryLostError) Error() string {
	return fmt.Sprintf("the store's history of table %q does not reach back to the requested version", e.Table)
}

// StaleRowError reports a conditional write whose condition did not hold.
type StaleRowError struct {
	Stored FeedRow // Version 0: the row does not exist
}

// Error implements error.
func (e *StaleRowError) Error() string {
	return fmt.Sprintf("row %q is at version %d", e.Stored.Key, e.Stored.Version)
}
