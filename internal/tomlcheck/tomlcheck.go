// Package tomlcheck decodes TOML strictly and collects all problems of a text, each with its key and line.
package tomlcheck

import (
	"bytes"
	"errors"
	"fmt"
	"sort"
	"strconv"
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

// Problem is one error in a text.
type Problem struct {
	Line    int    `json:"line,omitempty"` // 1-based; 0 if no line of the text can be given
	Key     string `json:"key,omitempty"`  // parts joined with dots; empty if the problem has no key
	Kind    Kind   `json:"kind"`
	Message string `json:"message"` // what is wrong and what is allowed
}

// String returns the problem in the form "line 3: services.a.timeout: message (kind)".
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

// Key is the path of a key in a text, from the outermost table. Elements of arrays are parts made by Element.
type Key []string

// Element returns the part of a key for the element of an array with this position, counted from 0.
func Element(position int) string { return "[" + strconv.Itoa(position) + "]" }

// String joins the parts with dots, as in "rules[1].timeout".
func (k Key) String() string { return strings.ReplaceAll(strings.Join(k, "."), ".[", "[") }

// lineKey returns the map key for Document.lines. It is joined with NUL because parts may contain dots but no NUL.
func (k Key) lineKey() string { return strings.Join(k, "\x00") }

// Document holds the problems found in one text. It is not safe for concurrent use.
type Document struct {
	lines    map[string]int // line of each key by Key.lineKey
	problems []Problem
	decoded  bool
}

// Decode decodes text into target, a pointer to a struct. Unknown keys and decoding failures are recorded as problems of
// the returned document.
func Decode(text []byte, target any) *Document {
	document := &Document{decoded: true}
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
		document.decoded = false
		document.problems = append(document.problems, Problem{Kind: Syntax, Message: err.Error()})
	}
	if document.decoded {
		document.indexKeys(text)
	}
	return document
}

// Index returns a document that knows the lines of the keys of a text that could be decoded, and holds no problems.
func Index(text []byte) *Document {
	document := &Document{decoded: true}
	document.indexKeys(text)
	document.problems = nil
	return document
}

// Decoded reports whether the text could be decoded, so that the values of the target can be validated.
func (d *Document) Decoded() bool { return d.decoded }

// Add records a problem with a key, at the line of the key or else of its closest parent in the text.
func (d *Document) Add(kind Kind, key Key, format string, args ...any) {
	d.problems = append(d.problems, Problem{Line: d.LineOf(key), Key: key.String(), Kind: kind, Message: fmt.Sprintf(format, args...)})
}

// Problems returns all problems sorted by line; those without a line come last.
func (d *Document) Problems() []Problem {
	sort.SliceStable(d.problems, func(i, j int) bool {
		a, b := d.problems[i].Line, d.problems[j].Line
		return a != b && a != 0 && (b == 0 || a < b)
	})
	return d.problems
}

func (d *Document) addUnknown(unknown *toml.DecodeError) {
	line, _ := unknown.Position()
	d.problems = append(d.problems, Problem{Line: line, Key: Key(unknown.Key()).String(), Kind: UnknownKey, Message: "unknown key"})
}

func (d *Document) addFailure(failed *toml.DecodeError) {
	d.decoded = false
	line, _ := failed.Position()
	kind, message := classify(failed)
	d.problems = append(d.problems, Problem{Line: line, Key: Key(failed.Key()).String(), Kind: kind, Message: message})
}

// LineOf returns the line of a key or else of its closest parent in the text, or 0.
func (d *Document) LineOf(key Key) int {
	for length := len(key); length > 0; length-- {
		if line, ok := d.lines[key[:length].lineKey()]; ok {
			return line
		}
	}
	return 0
}
