// Command acacialockd is one node of acacialock; it runs beside a target.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"
	"k8s.io/klog/v2"

	"github.com/acacialock/acacialock/internal/daemon"
	"github.com/acacialock/acacialock/internal/logsink"
	"github.com/acacialock/acacialock/internal/node"
	"github.com/acacialock/acacialock/internal/settings"
	"github.com/acacialock/acacialock/internal/version"
	"github.com/acacialock/acacialock/platform"
)

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2 // bad command line or settings
)

type arguments struct {
	Config string `arg:"--config,required,env:ACACIALOCK_NODE_FILE" placeholder:"FILE" help:"settings file (TOML)"`
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
	// SIGHUP is caught from the first line to the end of the process: its default action would end a node that starts or
	// drains.
	hangUps := make(chan os.Signal, 1)
	signal.Notify(hangUps, syscall.SIGHUP)
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
	sink := logsink.New(os.Stdout, logsink.BytesPerSecond)
	defer sink.Close()
	if err := logToStdout(sink, args.Level); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	defer klog.Flush()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	started, err := build(loaded)
	if err != nil {
		klog.Errorf("start: %v", err)
		return exitFailed
	}
	go settings.Watch(ctx, args.Config, hangUps, started.Reload)
	if err := started.Run(ctx); err != nil {
		klog.Errorf("%v", err)
		return exitFailed
	}
	return 0
}

// runner is a node on one of the platforms.
type runner interface {
	Run(ctx context.Context) error
	// Reload takes over changed settings as far as they can change while the process runs.
	Reload(changed *settings.Settings)
}

func build(set *settings.Settings) (runner, error) {
	if set.Platform == settings.PlatformRows {
		return node.New(set, platform.New(set))
	}
	return daemon.New(set, daemon.Options{})
}

// logToStdout sets klog up without its own command-line flags. Instances have no disks, so nothing is logged to files.
func logToStdout(sink io.Writer, level int) error {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	if err := flags.Parse([]string{"-logtostderr=false", "-one_output=true", "-alsologtostderr=false", "-stderrthreshold=FATAL", fmt.Sprintf("-v=%d", level)}); err != nil {
		return err
	}
	klog.SetOutput(sink)
	return nil
}
