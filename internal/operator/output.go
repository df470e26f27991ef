package operator

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/acacialock/acacialock/internal/cluster"
	"github.com/acacialock/acacialock/internal/servicelist"
)

// Output formats.
const (
	formatText outputFormat = "text"
	formatJSON outputFormat = "json"
)

// printer writes results to stdout, and progress and errors to stderr. In JSON format an error is also written to
// stdout as an object.
type printer struct {
	format outputFormat
	stdout io.Writer
	stderr io.Writer
}

// commandResult is the result of a subcommand. text returns its text form; encoding/json produces its JSON form.
type commandResult interface{ text() string }

func (p *printer) printResult(result commandResult) error {
	if p.format == formatJSON {
		return p.writeJSON(result)
	}
	_, err := io.WriteString(p.stdout, result.text())
	return err
}

func (p *printer) writeJSON(value any) error {
	encoder := json.NewEncoder(p.stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

func (p *printer) printProgress(line string) { fmt.Fprintln(p.stderr, line) }

// failureResult is the JSON form of an error. Detail holds the fields of a typed error, if it has any.
type failureResult struct {
	Kind    string `json:"kind"`
	Message string `json:"message"`
	Detail  any    `json:"detail,omitempty"`
}

// printFailure prints an error and, for a conflict in text format, the diff between the accepted list and the file.
func (p *printer) printFailure(err error) {
	fmt.Fprintln(p.stderr, "error:", err)
	if isErrorType[*CheckError](err) {
		return // the result has been printed, with the error in JSON
	}
	var conflict *ConflictError
	var pending *NotInForceError
	var invalid *servicelist.Error
	result := failureResult{Kind: kindOf(err).name, Message: err.Error()}
	switch {
	case errors.As(err, &conflict):
		result.Detail = conflict
		p.printConflictDiff(conflict)
	case errors.As(err, &pending):
		result.Detail = pending
	case errors.As(err, &invalid):
		result.Detail = invalid.Problems
	}
	if p.format == formatJSON {
		_ = p.writeJSON(map[string]failureResult{"error": result}) // the error has been written to stderr already
	}
}

func (p *printer) printConflictDiff(conflict *ConflictError) {
	if p.format == formatJSON {
		return
	}
	fmt.Fprintf(p.stderr, "--- version %d, accepted %s by %q\n+++ your file\n%s",
		conflict.Found.Version, formatTime(conflict.Found.AcceptedAt), conflict.Found.Operator, conflict.Diff)
}

// formatTime formats Unix seconds as RFC 3339 in UTC.
func formatTime(unix int64) string { return time.Unix(unix, 0).UTC().Format(time.RFC3339) }

type applyResult struct {
	Version   uint64      `json:"version"`
	Unchanged bool        `json:"unchanged"`
	Zones     []ZoneState `json:"zones"`
}

func (r applyResult) acceptedText() string {
	if r.Unchanged {
		return fmt.Sprintf("the file is identical to version %d; no new version was created", r.Version)
	}
	return fmt.Sprintf("version %d is accepted", r.Version)
}

func (r applyResult) text() string {
	if len(r.Zones) == 0 {
		return fmt.Sprintf("version %d: no zone has nodes yet\n", r.Version)
	}
	return fmt.Sprintf("version %d is in force in all %d zones\n", r.Version, len(r.Zones))
}

type getResult struct {
	cluster.ListRow
	Text string `json:"text"`
}

func (r getResult) text() string { return r.Text }

type diffResult struct {
	Version uint64 `json:"version"` // accepted version; 0: none
	Diff    string `json:"diff"`
}

func (r diffResult) text() string {
	if r.Diff == "" {
		return fmt.Sprintf("the file is identical to version %d\n", r.Version)
	}
	return fmt.Sprintf("--- version %d\n+++ your file\n%s", r.Version, r.Diff)
}

type historyResult struct {
	Versions []cluster.ListRow `json:"versions"`
}

func (r historyResult) text() string {
	return table("VERSION\tACCEPTED\tOPERATOR\tSHA256", func(w io.Writer) {
		for _, row := range r.Versions {
			fmt.Fprintf(w, "%d\t%s\t%s\t%.12s\n", row.Version, formatTime(row.AcceptedAt), row.Operator, row.SHA256)
		}
	})
}

type statusResult struct{ Status }

func (r statusResult) text() string {
	head := "no service list has been accepted yet\n"
	if r.List.Version > 0 {
		head = fmt.Sprintf("service list version %d, accepted %s by %q\n", r.List.Version, formatTime(r.List.AcceptedAt), r.List.Operator)
	}
	return head + table("ZONE\tREGION\tNODES\tVERSION\tBEHIND\tDRAINING\tREFUSALS\tLEASE", func(w io.Writer) {
		for _, zone := range r.Zones {
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%s\t%s\t%d\t%s\n", zone.Zone, zone.Region, zone.Nodes, zone.MinList,
				countAndNames(zone.BehindCount, zone.Behind), countAndNames(len(zone.Draining), zone.Draining), zone.Refusals, leaseText(zone))
		}
	})
}

// countAndNames returns the count, followed by the names in parentheses if there are any.
func countAndNames(count int, names []string) string {
	if len(names) == 0 {
		return fmt.Sprint(count)
	}
	return fmt.Sprintf("%d (%s)", count, strings.Join(names, ", "))
}

func leaseText(zone ZoneState) string {
	if zone.Unreachable {
		return "unreachable"
	}
	return fmt.Sprintf("%s epoch %d", zone.Holder, zone.Epoch)
}

// table returns a text table with aligned columns. Columns are separated by tabs in header and in what rows writes.
func table(header string, rows func(io.Writer)) string {
	var text strings.Builder
	writer := tabwriter.NewWriter(&text, 0, 0, 2, ' ', 0)
	fmt.Fprintln(writer, header)
	rows(writer)
	_ = writer.Flush() // writing to a strings.Builder can't fail
	return text.String()
}
