package operator

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/alexflint/go-arg"

	"github.com/acacialock/acacialock/internal/platform"
	"github.com/acacialock/acacialock/internal/servicelist"
	"github.com/acacialock/acacialock/internal/version"
)

// arguments holds the parsed command line of acacialock.
type arguments struct {
	Check   *checkArguments   `arg:"subcommand:check" help:"check a configuration; with --platform compare it with the version in force"`
	Apply   *applyArguments   `arg:"subcommand:apply" help:"get a service list file accepted and wait until it is in force"`
	Get     *getArguments     `arg:"subcommand:get" help:"print the accepted service list"`
	Diff    *fileArguments    `arg:"subcommand:diff" help:"show what a file would change in the accepted service list"`
	History *historyArguments `arg:"subcommand:history" help:"list the accepted versions, newest first"`
	Status  *statusArguments  `arg:"subcommand:status" help:"show zones, nodes, versions in force, drains and refusals"`

	Explain *explainArguments `arg:"subcommand:explain" help:"print what the logs of nodes say about one request; needs no platform"`

	Platform string        `arg:"--platform,env:ACACIALOCK_PLATFORM" placeholder:"IP:PORT" help:"address of the platform"`
	Output   outputFormat  `arg:"--output" default:"text" help:"text or json"`
	Timeout  time.Duration `arg:"--timeout" default:"15s" help:"longest time for one operation at the store"`
	Operator string        `arg:"--operator,env:USER" help:"name recorded with an accepted list"`

	// PlatformGiven reports that the command line names the platform. The environment variable doesn't make check need one.
	PlatformGiven bool `arg:"-"`
}

type fileArguments struct {
	File string `arg:"positional,required" help:"service list in TOML"`
}

type applyArguments struct {
	File   string        `arg:"positional,required" help:"service list in TOML"`
	Expect *uint64       `arg:"--expect" placeholder:"VERSION" help:"version you last saw, 0 for none [default: the version at the start]"`
	Wait   time.Duration `arg:"--wait" default:"30s" help:"longest wait for the version to be in force everywhere"`
}

type getArguments struct {
	Version *uint64 `arg:"--version" placeholder:"VERSION" help:"an earlier accepted version [default: the current one]"`
}

type historyArguments struct {
	Limit int `arg:"--limit" default:"20" help:"greatest number of versions listed"`
}

type statusArguments struct {
	Observe time.Duration `arg:"--observe" default:"0s" help:"time over which leases are watched; zones not renewed for 10 s are shown as unreachable"`
	Rows    bool          `arg:"--rows" help:"the platform has a row store (settings: platform = \"rows\"): show its members"`
	Ask     bool          `arg:"--ask" help:"with --rows: ask each node for the list in force, its reader and its load"`
}

// Description implements arg.Described.
func (arguments) Description() string {
	return "Shows and replaces the service list of acacialock. Only apply makes changes."
}

// Epilogue implements arg.Epilogued.
func (arguments) Epilogue() string {
	return `Exit codes:
  0  done
  1  failed; for check: the configuration is valid and has findings
  2  wrong usage, or the file is not a valid service list
  3  conflict: the service list changed since the version last seen; nothing was changed
  4  accepted, but not yet known to be in force everywhere
  5  the store is unavailable
`
}

// outputFormat is "text" or "json".
type outputFormat string

// UnmarshalText implements encoding.TextUnmarshaler.
func (f *outputFormat) UnmarshalText(text []byte) error {
	*f = outputFormat(text)
	if *f != formatText && *f != formatJSON {
		return &UsageError{Detail: fmt.Sprintf("output %q is not known: allowed are text and json", text)}
	}
	return nil
}

// Main runs the command acacialock with args, which exclude the program's name, and returns the exit code. openRowStore
// returns the row store at an address; it is called only for status --rows, and for check of a configuration in the form of
// that platform, where the address may be empty.
func Main(ctx context.Context, args []string, stdout, stderr io.Writer, openRowStore func(addr string) RowStore) int {
	if len(args) == 1 && args[0] == "--version" {
		// go-arg's built-in --version flag would hide the --version option of get, so it is handled here.
		fmt.Fprintln(stdout, "acacialock "+version.Version)
		return ExitOK
	}
	var parsed arguments
	parser, err := arg.NewParser(arg.Config{Program: "acacialock"}, &parsed)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitFailed
	}
	err = parser.Parse(args)
	if errors.Is(err, arg.ErrHelp) {
		_ = parser.WriteHelpForSubcommand(stdout, parser.SubcommandNames()...) // the names come from the parser
		return ExitOK
	}
	if err == nil && parser.Subcommand() == nil {
		err = &UsageError{Detail: "a subcommand is required: check, apply, get, diff, history, status or explain"}
	}
	if err != nil {
		parser.WriteUsage(stderr)
		fmt.Fprintln(stderr, "error:", err)
		return ExitBadInput
	}
	parsed.PlatformGiven = slices.ContainsFunc(args, func(arg string) bool { return arg == "--platform" || strings.HasPrefix(arg, "--platform=") })
	if parsed.Check != nil && parsed.Check.JSON {
		parsed.Output = formatJSON
	}
	out := &printer{format: parsed.Output, stdout: stdout, stderr: stderr}
	err = run(ctx, &parsed, out, openRowStore)
	if err != nil {
		out.printFailure(err)
	}
	return ExitCode(err)
}

// run executes the selected subcommand and prints its result. Errors are returned, not printed.
func run(ctx context.Context, args *arguments, out *printer, openRowStore func(addr string) RowStore) error {
	if args.Explain != nil {
		return explain(args.Explain, os.Stdin, out)
	}
	if args.Check != nil && !args.PlatformGiven {
		return check(ctx, args, out, openRowStore)
	}
	if _, err := netip.ParseAddrPort(args.Platform); err != nil {
		return &UsageError{Detail: fmt.Sprintf("platform %q is not an address: give IP:port with --platform or ACACIALOCK_PLATFORM", args.Platform)}
	}
	if err := args.requireNonNegative(); err != nil {
		return err
	}
	if args.Check != nil {
		return check(ctx, args, out, openRowStore)
	}
	if args.Status != nil && args.Status.Rows {
		return rowStoreStatus(ctx, openRowStore(args.Platform), args, out)
	}
	client := platform.NewClient(platform.Config{Addr: args.Platform, OperationTimeout: args.Timeout})
	defer client.Close()
	operator := &Operator{Table: client, Objects: client.Objects(), Name: args.Operator, Progress: out.printProgress}
	switch {
	case args.Apply != nil:
		return apply(ctx, operator, args.Apply, out)
	case args.Get != nil:
		return get(ctx, operator, args.Get.Version, out)
	case args.Diff != nil:
		return diff(ctx, operator, args.Diff.File, out)
	case args.History != nil:
		return history(ctx, operator, args.History.Limit, out)
	}
	return status(ctx, operator, args.Status.Observe, out)
}

// rowStoreStatus implements status --rows. --timeout bounds the store reads and the queries to the nodes together.
func rowStoreStatus(ctx context.Context, store RowStore, args *arguments, out *printer) error {
	ctx, cancel := context.WithTimeout(ctx, args.Timeout)
	defer cancel()
	var client *http.Client
	if args.Status.Ask {
		transport := &http.Transport{DisableKeepAlives: true}
		client = &http.Client{Transport: transport}
	}
	state, err := store.Status(ctx, client)
	if err != nil {
		return err
	}
	return out.printResult(rowStoreStatusResult{RowStoreStatus: state, queried: args.Status.Ask})
}

// requireNonNegative returns a *UsageError if a duration or limit on the command line is negative.
func (a *arguments) requireNonNegative() error {
	negative := a.Timeout < 0 ||
		a.Apply != nil && a.Apply.Wait < 0 ||
		a.History != nil && a.History.Limit < 0 ||
		a.Status != nil && a.Status.Observe < 0
	if negative {
		return &UsageError{Detail: "--timeout, --wait, --limit and --observe must not be negative"}
	}
	return nil
}

// readListFile reads and parses a service list file. It fails with *FileError if the file can't be read and with
// *servicelist.Error if it is not a valid service list.
func readListFile(file string) (*servicelist.List, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, &FileError{Cause: err}
	}
	return servicelist.Parse(text)
}

// apply implements the subcommand apply: it stores the list and waits until it is in force in all zones.
func apply(ctx context.Context, operator *Operator, args *applyArguments, out *printer) error {
	list, err := readListFile(args.File)
	if err != nil {
		return err
	}
	applied, err := operator.Apply(ctx, list.Text, args.Expect)
	if err != nil {
		return err
	}
	result := applyResult{Version: applied.Row.Version, Unchanged: applied.Unchanged}
	out.printProgress(result.acceptedText())
	result.Zones, err = operator.AwaitInForce(ctx, applied.Row.Version, args.Wait)
	if err != nil {
		return err
	}
	return out.printResult(result)
}

func get(ctx context.Context, operator *Operator, version *uint64, out *printer) error {
	var list List
	var err error
	if version != nil {
		list, err = operator.Version(ctx, *version)
	} else {
		list, err = operator.Current(ctx)
	}
	if err != nil {
		return err
	}
	if list.Row.Version == 0 {
		return &NoListError{}
	}
	return out.printResult(getResult{ListRow: list.Row, Text: string(list.Text)})
}

func diff(ctx context.Context, operator *Operator, file string, out *printer) error {
	list, err := readListFile(file)
	if err != nil {
		return err
	}
	current, err := operator.Current(ctx)
	if err != nil {
		return err
	}
	return out.printResult(diffResult{Version: current.Row.Version, Diff: Diff(current.Text, list.Text)})
}

func history(ctx context.Context, operator *Operator, limit int, out *printer) error {
	rows, err := operator.History(ctx, limit)
	if err != nil {
		return err
	}
	return out.printResult(historyResult{Versions: rows})
}

func status(ctx context.Context, operator *Operator, observe time.Duration, out *printer) error {
	state, err := operator.Status(ctx, observe)
	if err != nil {
		return err
	}
	return out.printResult(statusResult{Status: state})
}
