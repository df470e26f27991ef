// Command acacialock shows and replaces the service list and shows the state of the system, for operators.
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

// openRowStore returns the row store of the users' platform at addr, through the same adapter that the nodes use.
func openRowStore(addr string) operator.RowStore {
	adapter := platform.New(&settings.Settings{PlatformAddr: addr})
	return operator.RowStore{Feed: adapter.Store(), List: adapter.List(), ReadConfiguration: platform.ReadConfiguration}
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	code := operator.Main(ctx, os.Args[1:], os.Stdout, os.Stderr, openRowStore)
	stop()
	os.Exit(code)
}
