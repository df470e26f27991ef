// Command acacialockd is one node of acacialock; it runs beside a target.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"
	"k8s.io/klog/v2"

	"github.com/acacialock/acacialock/internal/daemon"
	"github.com/acacialock/acacialock/internal/settings"
	"github.com/acacialock/acacialock/internal/version"
)

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2 // bad command line or settings
)

type arguments struct {
	Config string `arg:"--config,required" placeholder:"FILE" help:"settings file (TOML)"`
	Check  bool   `arg:"--check" help:"check the settings and exit"`
	Level  int    `arg:"--v" default:"0" help:"log level"`
}

// Version implements the --version flag of go-arg.
func (arguments) Version() string { return "acacialockd " + version.Version }

// Description implements the help text of go-arg.
func (arguments) Description() string {
	return "One node of acacialock. SIGTERM drains it. Exit codes: 0 drained, 1 failed, 2 bad usage or settings."
}

func main() { os.Exit(run()) }

func run() int {
	var args arguments
	arg.MustParse(&args)
	loaded, err := settings.Load(args.Config)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	if args.Check {
		fmt.Printf("%s: ok\n", args.Config)
		return 0
	}
	if err := logToStderr(args.Level); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	defer klog.Flush()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	node, err := daemon.New(loaded, daemon.Options{})
	if err != nil {
		klog.Errorf("start: %v", err)
		return exitFailed
	}
	if err := node.Run(ctx); err != nil {
		klog.Errorf("%v", err)
		return exitFailed
	}
	return 0
}

// logToStderr sets klog up without its own command-line flags. Instances have no disks, so nothing is logged to files.
func logToStderr(level int) error {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	return flags.Parse([]string{"-logtostderr=true", fmt.Sprintf("-v=%d", level)})
}
