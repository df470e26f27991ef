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

// printer writes results to stdout, and progress and failures to stderr. In JSON format a failure is an object on
// stdout too.
type printer struct {
	format outputFormat
	stdout io.Writer
	stderr io.Writer
}

// texter is a result that has a text form; its fields are the JSON form.
type texter interface{ text() string }

func (p *printer) result(result texter) error {
	if p.format == formatJSON {
		return p.json(result)
	}
	_, err := io.WriteString(p.stdout, result.text())
	return err
}

func (p *printer) json(value any) error {
	encoder := json.NewEncoder(p.stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

func (p *printer) progress(line string) { fmt.Fprintln(p.stderr, line) }

// failureResult is the JSON form of a failure. Detail holds the fields of the typed error, if it has any.
type failureResult struct {
	Kind    string `json:"kind"`
	Message string `json:"message"`
	Detail  any    `json:"detail,omitempty"`
}

func (p *printer) failure(err error) {
	fmt.Fprintln(p.stderr, "error:", err)
	var conflict *ConflictError
	var pending *NotInForceError
	var invalid *servicelist.Error
	result := failureResult{Kind: kindOf(err).name, Message: err.Error()}
	switch {
	case errors.As(err, &conflict):
		result.Detail = conflict
		p.conflict(conflict)
	case errors.As(err, &pending):
		result.Detail = pending
	case errors.As(err, &invalid):
		result.Detail = invalid.Problems
	}
	if p.format == formatJSON {
		_ = p.json(map[string]failureResult{"error": result}) // the failure is on stderr as well
	}
}

func (p *printer) conflict(conflict *ConflictError) {
	if p.format == formatJSON {
		return
	}
	fmt.Fprintf(p.stderr, "--- version %d, accepted %s by %q\n+++ your file\n%s",
		conflict.Found.Version, clock(conflict.Found.AcceptedAt), conflict.Found.Operator, conflict.Diff)
}

func clock(unix int64) string { return time.Unix(unix, 0).UTC().Format(time.RFC3339) }

type checkResult struct {
	File     string `json:"file"`
	Services int    `json:"services"`
}

func (r checkResult) text() string {
	return fmt.Sprintf("%s: valid, %d services\n", r.File, r.Services)
}

type applyResult struct {
	Version   uint64      `json:"version"`
	Unchanged bool        `json:"unchanged"`
	Zones     []ZoneState `json:"zones"`
}

func (r applyResult) accepted() string {
	if r.Unchanged {
		return fmt.Sprintf("the file is identical to version %d, no version was made", r.Version)
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
	Version uint64 `json:"version"` // the accepted version; 0: none
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
			fmt.Fprintf(w, "%d\t%s\t%s\t%.12s\n", row.Version, clock(row.AcceptedAt), row.Operator, row.SHA256)
		}
	})
}

type statusResult struct{ Status }

func (r statusResult) text() string {
	head := "no service list has been accepted yet\n"
	if r.List.Version > 0 {
		head = fmt.Sprintf("service list version %d, accepted %s by %q\n", r.List.Version, clock(r.List.AcceptedAt), r.List.Operator)
	}
	return head + table("ZONE\tREGION\tNODES\tVERSION\tBEHIND\tDRAINING\tREFUSALS\tLEASE", func(w io.Writer) {
		for _, zone := range r.Zones {
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%s\t%s\t%d\t%s\n", zone.Zone, zone.Region, zone.Nodes, zone.MinList,
				countAndNames(zone.BehindCount, zone.Behind), countAndNames(len(zone.Draining), zone.Draining), zone.Refusals, leaseText(zone))
		}
	})
}

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

func table(header string, rows func(io.Writer)) string {
	var text strings.Builder
	writer := tabwriter.NewWriter(&text, 0, 0, 2, ' ', 0)
	fmt.Fprintln(writer, header)
	rows(writer)
	_ = writer.Flush() // writes to memory
	return text.String()
}
