// Command acacialockd runs one node of acacialock beside a target instance.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"log"
	"os"
	"os/signal"
	"runtime/debug"
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

// Version implements arg.Versioned; go-arg then offers the flag --version.
func (arguments) Version() string { return "acacialockd " + version.Version }

// Description implements arg.Described.
func (arguments) Description() string {
	return "Runs one node of acacialock. SIGTERM drains the node and ends it. Exit codes: 0 drained, 1 failed, 2 bad usage or settings."
}

func main() { os.Exit(run()) }

func run() int {
	// SIGHUP, which reloads the settings, is caught from here until the process ends. Its default action would kill a
	// node that is starting or draining.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE) // its default action would end the node when the reader of the log has closed the output
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
	if limit := settings.MemoryLimit(); limit > 0 && os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(limit)
	}
	sink := logsink.New(os.Stdout, logsink.MaxBytesPerSecond)
	defer sink.Close()
	if err := setUpLogging(sink, args.Level); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	defer klog.Flush()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	nodeRunner, err := newRunner(loaded)
	if err != nil {
		klog.Errorf("node not started: %v", err)
		return exitFailed
	}
	go settings.Watch(ctx, args.Config, hangups, nodeRunner.Reload)
	if err := nodeRunner.Run(ctx); err != nil {
		klog.Errorf("%v", err)
		return exitFailed
	}
	return 0
}

// runner is a node for one of the kinds of platform.
type runner interface {
	// Run serves until ctx is done, then drains the node. It returns an error if the node failed.
	Run(ctx context.Context) error
	// Reload applies those changed settings that can change at run time; the others take effect at the next start.
	Reload(changed *settings.Settings)
}

// newRunner creates the node for the platform named in the settings.
func newRunner(cfg *settings.Settings) (runner, error) {
	if cfg.Platform == settings.PlatformRows {
		return node.New(cfg, platform.New(cfg))
	}
	return daemon.New(cfg, daemon.Options{})
}

// setUpLogging makes klog write to sink only. klog is configured without adding its flags to the command line, and file
// output is off because instances have no disks.
func setUpLogging(sink io.Writer, level int) error {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	if err := flags.Parse([]string{"-logtostderr=false", "-one_output=true", "-alsologtostderr=false", "-stderrthreshold=FATAL", fmt.Sprintf("-v=%d", level)}); err != nil {
		return err
	}
	klog.SetOutput(sink)
	log.SetFlags(0)
	log.SetOutput(logsink.LibraryWriter{})
	return nil
}
