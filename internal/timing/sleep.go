// Package timing waits.
package timing

import (
	"context"
	"time"
)

// Sleep waits for d, or returns the context's error when it ends first.
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
