package operator

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/acacialock/acacialock/internal/listcheck"
	"github.com/acacialock/acacialock/internal/membership"
	"github.com/acacialock/acacialock/internal/platform"
	"github.com/acacialock/acacialock/internal/servicelist"
	"github.com/acacialock/acacialock/internal/settings"
	"github.com/acacialock/acacialock/internal/tomlcheck"
)

type checkArguments struct {
	File     string        `arg:"positional,required" help:"service list in TOML, or a platform's list of resources in JSON"`
	JSON     bool          `arg:"--json" help:"the same as --output json"`
	Settings string        `arg:"--settings" placeholder:"FILE" help:"settings file of a node, which names the regions and the drain timeout"`
	Grace    time.Duration `arg:"--grace" default:"0s" help:"time after which a node that was told to stop is killed"`
}

// CheckError reports that a checked configuration has findings, which were printed.
type CheckError struct {
	File     string
	Invalid  bool  // nodes reject the configuration
	Findings int   // number of findings
	Cause    error // why the configuration was not compared with the version in force; nil: it was, or this was not asked for
}

// Error implements error.
func (e *CheckError) Error() string {
	switch {
	case e.Invalid:
		return fmt.Sprintf("%s is not valid: %d errors", e.File, e.Findings)
	case e.Cause != nil:
		return fmt.Sprintf("%s was not compared with the version in force: %v", e.File, e.Cause)
	}
	return fmt.Sprintf("%s is valid and has %d findings", e.File, e.Findings)
}

// Unwrap returns the cause.
func (e *CheckError) Unwrap() error { return e.Cause }

// checkResult is the result of the subcommand check.
type checkResult struct {
	File     string              `json:"file"`
	Valid    bool                `json:"valid"` // nodes accept the configuration
	Services int                 `json:"services"`
	Rules    int                 `json:"rules"`
	Tenants  int                 `json:"tenants"`
	Findings []listcheck.Finding `json:"findings"`
	// Comparison is nil if the configuration was not compared with the version in force.
	Comparison *comparison `json:"comparison,omitempty"`
	// Error is set if the configuration is not valid, in the form of all failures; its detail are the findings.
	Error *failureResult `json:"error,omitempty"`
}

// comparison tells in what a configuration differs from the version in force.
type comparison struct {
	Version uint64             `json:"version"` // version in force; 0: none
	Changes []listcheck.Change `json:"changes"`
}

func (r checkResult) text() string {
	var text strings.Builder
	if r.Valid {
		fmt.Fprintf(&text, "%s: valid, %d services, %d rules, %d tenants\n", r.File, r.Services, r.Rules, r.Tenants)
	} else {
		fmt.Fprintf(&text, "%s: not valid\n", r.File)
	}
	for _, class := range []struct {
		class listcheck.Class
		title string
	}{{listcheck.Invalid, "errors"}, {listcheck.NoEffect, "entries without effect"}, {listcheck.Contradiction, "limits that contradict each other"}} {
		r.writeFindings(&text, class.class, class.title)
	}
	switch {
	case r.Comparison == nil:
	case len(r.Comparison.Changes) == 0:
		fmt.Fprintf(&text, "no difference from version %d\n", r.Comparison.Version)
	default:
		fmt.Fprintf(&text, "differences from version %d:\n", r.Comparison.Version)
		for _, change := range r.Comparison.Changes {
			fmt.Fprintf(&text, "  %s\n", change)
		}
	}
	return text.String()
}

func (r checkResult) writeFindings(text *strings.Builder, class listcheck.Class, title string) {
	for _, finding := range r.Findings {
		if finding.Class != class {
			continue
		}
		if title != "" {
			text.WriteString(title + ":\n")
			title = ""
		}
		fmt.Fprintf(text, "  %s\n", finding)
	}
}

// readInForce returns the list in force with its version, nil if there is none, and sets what the platform knows in facts.
type readInForce func(ctx context.Context, facts *listcheck.Facts) (*servicelist.List, uint64, error)

// check implements the subcommand check. It changes nothing on the platform, and reads it only if the command line names one.
func check(ctx context.Context, args *arguments, out *printer, openRowStore func(addr string) RowStore) error {
	if args.Check.Grace < 0 || args.Timeout < 0 {
		return &UsageError{Detail: "--grace and --timeout must not be negative"}
	}
	facts := listcheck.Facts{Grace: args.Check.Grace}
	var set *settings.Settings
	if args.Check.Settings != "" {
		loaded, err := settings.Load(args.Check.Settings)
		if err != nil {
			return &FileError{Cause: err}
		}
		set, facts.DrainTimeout = loaded, loaded.DrainTimeout
	}
	text, err := os.ReadFile(args.Check.File)
	if err != nil {
		return &FileError{Cause: err}
	}
	configuration, inForce := readConfiguration(text, set, args, openRowStore)
	result, err := newCheckResult(ctx, args, configuration, facts, inForce)
	if printErr := out.printResult(result); printErr != nil {
		return printErr
	}
	return err
}

// readConfiguration reads a configuration in the form that its first character tells, and returns how to read the list in force
// of the platform that has this form.
func readConfiguration(text []byte, set *settings.Settings, args *arguments, openRowStore func(addr string) RowStore) (listcheck.Configuration, readInForce) {
	if !bytes.HasPrefix(bytes.TrimSpace(text), []byte("{")) {
		return readServiceList(text), func(ctx context.Context, _ *listcheck.Facts) (*servicelist.List, uint64, error) {
			return currentList(ctx, args)
		}
	}
	store := openRowStore(args.Platform)
	return store.ReadConfiguration(text, set), func(ctx context.Context, facts *listcheck.Facts) (*servicelist.List, uint64, error) {
		ctx, cancel := context.WithTimeout(ctx, args.Timeout)
		defer cancel()
		return store.inForce(ctx, set, facts)
	}
}

// newCheckResult checks a configuration. The error is a *CheckError if there are findings, or if the list in force could not be
// read.
func newCheckResult(ctx context.Context, args *arguments, configuration listcheck.Configuration, facts listcheck.Facts, inForce readInForce) (checkResult, error) {
	result := checkResult{File: args.Check.File, Valid: configuration.List != nil}
	failed := &CheckError{File: result.File, Invalid: !result.Valid}
	if result.Valid {
		list := configuration.List
		result.Services, result.Rules, result.Tenants = len(list.Services), list.Rules.Len(), list.Tenants.Len()
		if args.PlatformGiven {
			result.Comparison, failed.Cause = compare(ctx, list, &facts, inForce)
		}
	}
	result.Findings = append([]listcheck.Finding{}, listcheck.Analyze(configuration, facts)...)
	failed.Findings = len(result.Findings)
	if !failed.Invalid && failed.Findings == 0 && failed.Cause == nil {
		return result, nil
	}
	if failed.Invalid || failed.Cause != nil {
		result.Error = &failureResult{Kind: kindOf(failed).name, Message: failed.Error(), Detail: result.Findings}
	}
	return result, failed
}

func compare(ctx context.Context, list *servicelist.List, facts *listcheck.Facts, inForce readInForce) (*comparison, error) {
	current, version, err := inForce(ctx, facts)
	if err != nil {
		return nil, err
	}
	return &comparison{Version: version, Changes: append([]listcheck.Change{}, listcheck.Compare(current, list)...)}, nil
}

// currentList returns the accepted list of the platform's table, nil if there is none.
func currentList(ctx context.Context, args *arguments) (*servicelist.List, uint64, error) {
	client := platform.NewClient(platform.Config{Addr: args.Platform, OperationTimeout: args.Timeout})
	defer client.Close()
	operator := &Operator{Table: client, Objects: client.Objects()}
	current, err := operator.Current(ctx)
	if err != nil || current.Row.Version == 0 {
		return nil, 0, err
	}
	list, err := servicelist.Parse(current.Text)
	if err != nil {
		return nil, 0, &CorruptError{Name: current.Row.Object, Detail: err.Error()}
	}
	return list, current.Row.Version, nil
}

// inForce returns the list in the store, read with the same settings as the configuration, nil if there is none. It counts the
// targets that serve.
func (s RowStore) inForce(ctx context.Context, set *settings.Settings, facts *listcheck.Facts) (*servicelist.List, uint64, error) {
	members, _, err := s.Feed.ReadAll(ctx, membership.MembersTable)
	if err != nil {
		return nil, 0, eris.Wrap(err, "read the members")
	}
	facts.Targets = countTargets(members)
	rows, _, err := s.Feed.ReadAll(ctx, s.List.Table)
	if err != nil {
		return nil, 0, eris.Wrap(err, "read the service list")
	}
	found := slices.IndexFunc(rows, func(row platform.FeedRow) bool { return row.Key == s.List.Key })
	if found < 0 {
		return nil, 0, nil
	}
	current := s.ReadConfiguration(rows[found].Value, set)
	if current.List == nil {
		return nil, 0, &CorruptError{Name: s.List.Key, Detail: fmt.Sprint(current.Findings[0])}
	}
	return current.List, current.List.Version, nil
}

// countTargets counts the targets that serve, by service and region. Rows that can't be decoded are not counted, as nodes
// don't use them either.
func countTargets(rows []platform.FeedRow) map[string]map[string]int {
	counts := map[string]map[string]int{}
	for _, row := range rows {
		decoded, err := membership.DecodeRow(row.Key, row.Value)
		if err != nil || decoded.Departed || decoded.Leaving || decoded.Member.Draining {
			continue
		}
		if counts[decoded.Member.Service] == nil {
			counts[decoded.Member.Service] = map[string]int{}
		}
		counts[decoded.Member.Service][decoded.Member.Region]++
	}
	return counts
}

// readServiceList reads a service list in TOML as nodes do.
func readServiceList(text []byte) listcheck.Configuration {
	source := servicelist.NewSource(text)
	list, err := servicelist.Parse(text)
	if err == nil {
		return listcheck.Configuration{List: list, Locate: func(ref listcheck.Ref) (string, int) { return locate(source, ref) }}
	}
	var invalid *servicelist.Error
	if !errors.As(err, &invalid) {
		return listcheck.Configuration{Findings: []listcheck.Finding{{Class: listcheck.Invalid, Kind: "invalid", Message: err.Error()}}}
	}
	var findings []listcheck.Finding
	for _, problem := range invalid.Problems {
		entry, field := splitKey(source, problem.Key)
		findings = append(findings, listcheck.Finding{
			Class: listcheck.Invalid, Kind: string(problem.Kind), Entry: entry, Field: field, Line: problem.Line, Message: problem.Message, Key: problem.Key,
		})
	}
	return listcheck.Configuration{Findings: findings}
}

// locate returns the name and the line of a field in a service list in TOML.
func locate(source servicelist.Source, ref listcheck.Ref) (string, int) {
	var key tomlcheck.Key
	switch ref.Kind {
	case listcheck.RuleEntry:
		key = tomlcheck.Key{"rules", tomlcheck.Element(ref.Position)}
	case listcheck.TenantEntry:
		key = tomlcheck.Key{"tenants", tomlcheck.Element(slices.Index(source.Tenants, ref.Name))}
	case listcheck.ServiceEntry:
		key = tomlcheck.Key{"services", ref.Name}
	default:
		key = tomlcheck.Key{string(ref.Kind)}
	}
	if ref.Field == "" {
		return "", source.LineOf(key)
	}
	field := tomlcheck.Key{ref.Field}
	if ref.Element > 0 {
		field = append(field, tomlcheck.Element(ref.Element-1))
	}
	return field.String(), source.LineOf(append(key, field...))
}

// splitKey splits the key of a problem into the entry and its field. An entry without a name is told by its position.
func splitKey(source servicelist.Source, key string) (entry, field string) {
	table, rest, _ := strings.Cut(key, ".")
	array, position, _ := strings.Cut(strings.TrimSuffix(table, "]"), "[")
	switch i, err := strconv.Atoi(position); {
	case array == "services" && rest != "":
		name, field, _ := strings.Cut(rest, ".")
		return listcheck.Ref{Kind: listcheck.ServiceEntry, Name: name}.Entry(), field
	case err == nil && array == "rules" && i < len(source.Rules) && source.Rules[i] != "":
		return listcheck.Ref{Kind: listcheck.RuleEntry, Name: source.Rules[i]}.Entry(), rest
	case err == nil && array == "tenants" && i < len(source.Tenants) && source.Tenants[i] != "":
		return listcheck.Ref{Kind: listcheck.TenantEntry, Name: source.Tenants[i]}.Entry(), rest
	}
	return table, rest
}
