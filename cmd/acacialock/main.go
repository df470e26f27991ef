// Command acacialock reads and replaces the service list.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/acacialock/acacialock/internal/operator"
	"github.com/acacialock/acacialock/internal/settings"
	"github.com/acacialock/acacialock/platform"
)

// rowStore reads the users' platform as its nodes do.
func rowStore(addr string) operator.RowStore {
	adapter := platform.New(&settings.Settings{PlatformAddr: addr})
	return operator.RowStore{Feed: adapter.Store(), List: adapter.List()}
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	code := operator.Main(ctx, os.Args[1:], os.Stdout, os.Stderr, rowStore)
	stop()
	os.Exit(code)
}
