package serving

import (
	"context"

	"golang.org/x/sync/errgroup"
)

// Part runs until ctx ends, or until what it serves is closed.
type Part func(ctx context.Context) error

// Until makes a part of work that can't fail.
func Until(work func(ctx context.Context)) Part {
	return func(ctx context.Context) error {
		work(ctx)
		return nil
	}
}

// Run runs the parts. When ctx ends it drains, ends the parts, closes, and returns nil after a complete drain; when a part
// fails it closes and returns that failure.
func Run(ctx context.Context, parts []Part, drain func() error, closeAll func()) error {
	background, stop := context.WithCancel(context.Background())
	defer stop()
	group, running := errgroup.WithContext(background)
	for _, part := range parts {
		group.Go(func() error { return part(running) })
	}
	select {
	case <-ctx.Done():
	case <-running.Done():
		closeAll()
		return group.Wait()
	}
	drained := drain()
	stop()
	closeAll()
	if err := group.Wait(); err != nil {
		return err
	}
	return drained
}
