// Package tomlcheck decodes TOML strictly and collects every problem of a text with its key and line.
package tomlcheck

import (
	"bytes"
	"errors"
	"fmt"
	"sort"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Kind classifies a problem.
type Kind string

// Kinds of problems.
const (
	Syntax            Kind = "syntax"
	WrongType         Kind = "wrong-type"
	UnknownKey        Kind = "unknown-key"
	Missing           Kind = "missing"
	BadName           Kind = "bad-name"
	BadAddress        Kind = "bad-address"
	BadDuration       Kind = "bad-duration"
	BadRoute          Kind = "bad-route"
	OutOfRange        Kind = "out-of-range"
	Duplicate         Kind = "duplicate"
	UnknownDependency Kind = "unknown-dependency"
	DependencyCycle   Kind = "dependency-cycle"
)

// Problem is one fault of a text.
type Problem struct {
	Line    int    `json:"line,omitempty"` // 1-based; 0 when the text has no line for it
	Key     string `json:"key,omitempty"`  // dotted
	Kind    Kind   `json:"kind"`
	Message string `json:"message"` // what is wrong and what is allowed
}

// String returns "line 3: services.a.timeout: message (kind)".
func (p Problem) String() string {
	var text strings.Builder
	if p.Line > 0 {
		fmt.Fprintf(&text, "line %d: ", p.Line)
	}
	if p.Key != "" {
		fmt.Fprintf(&text, "%s: ", p.Key)
	}
	fmt.Fprintf(&text, "%s (%s)", p.Message, p.Kind)
	return text.String()
}

// Key is the path of a key in a text.
type Key []string

// String joins the parts with dots.
func (k Key) String() string { return strings.Join(k, ".") }

// index is the form under which the line of a key is stored; parts may contain dots but no NUL.
func (k Key) index() string { return strings.Join(k, "\x00") }

// Document holds the problems found in one text. It is used by one goroutine.
type Document struct {
	lines    map[string]int
	problems []Problem
	usable   bool
}

// Decode decodes text into target, which points to a struct. Unknown keys and texts that can't be decoded become
// problems of the document.
func Decode(text []byte, target any) *Document {
	document := &Document{usable: true}
	decoder := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	err := decoder.Decode(target)
	var unknown *toml.StrictMissingError
	var failed *toml.DecodeError
	switch {
	case err == nil:
	case errors.As(err, &unknown):
		for i := range unknown.Errors {
			document.addUnknown(&unknown.Errors[i])
		}
	case errors.As(err, &failed):
		document.addFailure(failed)
	default:
		document.usable = false
		document.problems = append(document.problems, Problem{Kind: Syntax, Message: err.Error()})
	}
	if document.usable {
		document.index(text)
	}
	return document
}

// Usable reports whether the target holds the text's values, so that they can be checked.
func (d *Document) Usable() bool { return d.usable }

// Add records a problem of a key, with the line of the key or of the closest table above it.
func (d *Document) Add(kind Kind, key Key, format string, args ...any) {
	d.problems = append(d.problems, Problem{Line: d.line(key), Key: key.String(), Kind: kind, Message: fmt.Sprintf(format, args...)})
}

// Problems returns all problems by line; those without a line come last.
func (d *Document) Problems() []Problem {
	sort.SliceStable(d.problems, func(i, j int) bool {
		a, b := d.problems[i].Line, d.problems[j].Line
		return a != b && a != 0 && (b == 0 || a < b)
	})
	return d.problems
}

func (d *Document) addUnknown(missing *toml.DecodeError) {
	line, _ := missing.Position()
	d.problems = append(d.problems, Problem{Line: line, Key: Key(missing.Key()).String(), Kind: UnknownKey, Message: "the key is not known"})
}

func (d *Document) addFailure(failed *toml.DecodeError) {
	d.usable = false
	line, _ := failed.Position()
	kind, message := classify(failed)
	d.problems = append(d.problems, Problem{Line: line, Key: Key(failed.Key()).String(), Kind: kind, Message: message})
}

func (d *Document) line(key Key) int {
	for length := len(key); length > 0; length-- {
		if line, ok := d.lines[key[:length].index()]; ok {
			return line
		}
	}
	return 0
}
