// Command acacialock-platform-standin serves an in-memory substitute for the platform, for demos and benchmarks.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"

	"github.com/acacialock/acacialock/internal/platformtest"
)

type arguments struct {
	Listen          string `arg:"--listen" default:"127.0.0.1:9000" help:"IP:port to listen on"`
	WritesPerSecond int    `arg:"--writes-per-second" default:"400" help:"rows and objects written per second; 0: no limit"`
	ReadsPerSecond  int    `arg:"--reads-per-second" default:"2000" help:"reads per second; 0: no limit"`
}

// Description implements arg.Described.
func (arguments) Description() string {
	return "Serves an in-memory substitute for the platform's table and object store. Faults are set under /admin/."
}

func main() {
	var args arguments
	arg.MustParse(&args)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	server := platformtest.New()
	server.SetFaults(platformtest.Faults{WritesPerSecond: args.WritesPerSecond, ReadsPerSecond: args.ReadsPerSecond})
	addr, err := server.Start(args.Listen)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	fmt.Printf("platform stand-in listens on %s\n", addr)
	<-ctx.Done()
	server.Close()
}
