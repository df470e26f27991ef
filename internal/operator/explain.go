package operator

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"os"
	"regexp"
	"slices"
	"strings"
)

type explainArguments struct {
	ID    string   `arg:"positional,required" help:"id of the request"`
	Files []string `arg:"positional" help:"logs of one or more nodes [default: standard input]"`
}

// logLinePattern matches the klog format of the nodes' log lines: severity, month and day, time of day, thread id,
// source location and message. Text before the severity, for example a prefix added by a log collector, is ignored.
var logLinePattern = regexp.MustCompile(`([IWEF]\d{4} \d\d:\d\d:\d\d\.\d+) +\d+ \S+\] (.*)$`)

// maxLogLineBytes is the maximum length of a log line. A longer line ends the reading of its file.
const maxLogLineBytes = 1 << 20

// explainLine is one log line about a request.
type explainLine struct {
	At     string `json:"at"`     // month, day and time of day by the node's clock
	Source string `json:"source"` // file name, or "stdin"
	Text   string `json:"text"`
}

// explainResult holds the log lines about one request and about the calls made while it ran.
type explainResult struct {
	Request string        `json:"request"`
	Lines   []explainLine `json:"lines"`
	Skipped int           `json:"skipped"` // number of lines that are not in the log format or too long
}

func (r *explainResult) text() string {
	var text strings.Builder
	for _, line := range r.Lines {
		fmt.Fprintf(&text, "%s  %s  %s\n", line.At, line.Source, line.Text)
	}
	if len(r.Lines) == 0 {
		fmt.Fprintf(&text, "no log line refers to request %s; successful requests are logged for one id in %s only\n", r.Request, "64")
	}
	if r.Skipped > 0 {
		fmt.Fprintf(&text, "%d lines can't be read and were skipped\n", r.Skipped)
	}
	return text.String()
}

// explain prints the log lines about a request, sorted by time.
func explain(args *explainArguments, stdin io.Reader, out *printer) error {
	result := &explainResult{Request: args.ID, Lines: []explainLine{}}
	if len(args.Files) == 0 {
		result.collect("stdin", stdin)
	}
	for _, name := range args.Files {
		file, err := os.Open(name)
		if err != nil {
			return &UsageError{Detail: err.Error()}
		}
		result.collect(name, file)
		_ = file.Close() // the file was opened for reading only
	}
	slices.SortStableFunc(result.Lines, func(a, b explainLine) int { return cmp.Compare(a.At, b.At) })
	return out.printResult(result)
}

// collect adds the lines of log that refer to the request. The field with the request id itself is left out of the
// text, since all lines have it.
func (r *explainResult) collect(source string, log io.Reader) {
	requestField := fmt.Sprintf("request=%q", r.Request)
	subrequestPrefix := fmt.Sprintf(`request="%s.`, r.Request) // ids of calls made while the request ran
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLogLineBytes)
	for scanner.Scan() {
		match := logLinePattern.FindStringSubmatch(scanner.Text())
		switch {
		case match == nil && strings.TrimSpace(scanner.Text()) != "":
			r.Skipped++
		case match != nil && (strings.Contains(match[2], requestField) || strings.Contains(match[2], subrequestPrefix)):
			r.Lines = append(r.Lines, explainLine{At: match[1][1:], Source: source, Text: strings.Replace(match[2], " "+requestField, "", 1)})
		}
	}
	if scanner.Err() != nil {
		r.Skipped++ // a line longer than maxLogLineBytes ends the scan
	}
}
