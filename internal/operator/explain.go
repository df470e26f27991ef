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

// logLine is the form of the nodes' log lines: severity, month and day, time of day, thread, place and message.
var logLine = regexp.MustCompile(`([IWEF]\d{4} \d\d:\d\d:\d\d\.\d+) +\d+ \S+\] (.*)$`)

// maxLogLine bounds one line of a log.
const maxLogLine = 1 << 20

// storyLine is one log line about the request.
type storyLine struct {
	At     string `json:"at"` // month, day and time of day, by the clock of the node
	Source string `json:"source"`
	Text   string `json:"text"`
}

// story is what the logs say about one request.
type story struct {
	Request string      `json:"request"`
	Lines   []storyLine `json:"lines"`
	Skipped int         `json:"skipped"` // lines that can't be read
}

func (s *story) text() string {
	var text strings.Builder
	for _, line := range s.Lines {
		fmt.Fprintf(&text, "%s  %s  %s\n", line.At, line.Source, line.Text)
	}
	if len(s.Lines) == 0 {
		fmt.Fprintf(&text, "no line names the request %s; plain requests are logged for one id in %s\n", s.Request, "64")
	}
	if s.Skipped > 0 {
		fmt.Fprintf(&text, "%d lines can't be read and were skipped\n", s.Skipped)
	}
	return text.String()
}

// explain prints what the logs say about a request, in the order of time.
func explain(args *explainArguments, stdin io.Reader, out *printer) error {
	told := &story{Request: args.ID, Lines: []storyLine{}}
	if len(args.Files) == 0 {
		told.read("stdin", stdin)
	}
	for _, name := range args.Files {
		file, err := os.Open(name)
		if err != nil {
			return &UsageError{Detail: err.Error()}
		}
		told.read(name, file)
		_ = file.Close() // only read
	}
	slices.SortStableFunc(told.Lines, func(a, b storyLine) int { return cmp.Compare(a.At, b.At) })
	return out.result(told)
}

func (s *story) read(source string, from io.Reader) {
	wanted := fmt.Sprintf("request=%q", s.Request)
	inner := fmt.Sprintf(`request="%s.`, s.Request) // calls that the request's run made
	lines := bufio.NewScanner(from)
	lines.Buffer(nil, maxLogLine)
	for lines.Scan() {
		match := logLine.FindStringSubmatch(lines.Text())
		switch {
		case match == nil && strings.TrimSpace(lines.Text()) != "":
			s.Skipped++
		case match != nil && (strings.Contains(match[2], wanted) || strings.Contains(match[2], inner)):
			s.Lines = append(s.Lines, storyLine{At: match[1][1:], Source: source, Text: strings.Replace(match[2], " "+wanted, "", 1)})
		}
	}
	if lines.Err() != nil {
		s.Skipped++ // a line that is too long ends the file
	}
}
