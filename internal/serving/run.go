package serving

import (
	"context"

	"golang.org/x/sync/errgroup"
)

// Part is a part of a process. It runs until ctx ends or the server that it runs is closed, and returns an error if it fails.
type Part func(ctx context.Context) error

// Infallible returns a part that calls work, which runs until ctx ends and can't fail.
func Infallible(work func(ctx context.Context)) Part {
	return func(ctx context.Context) error {
		work(ctx)
		return nil
	}
}

// Run runs the parts concurrently. When ctx ends, it calls drain, cancels the parts' context, calls closeAll and returns the
// error of a part or of drain, or nil after a complete drain. If a part fails before that, Run calls closeAll without a drain
// and returns the error of the part.
func Run(ctx context.Context, parts []Part, drain func() error, closeAll func()) error {
	partsCtx, stop := context.WithCancel(context.Background())
	defer stop()
	group, groupCtx := errgroup.WithContext(partsCtx)
	for _, part := range parts {
		group.Go(func() error { return part(groupCtx) })
	}
	select {
	case <-ctx.Done():
	case <-groupCtx.Done():
		closeAll()
		return group.Wait()
	}
	drainErr := drain()
	stop()
	closeAll()
	if err := group.Wait(); err != nil {
		return err
	}
	return drainErr
}
