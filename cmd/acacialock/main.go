// Command acacialock reads and replaces the service list.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/acacialock/acacialock/internal/operator"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	code := operator.Main(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
