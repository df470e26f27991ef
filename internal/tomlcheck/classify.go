package tomlcheck

import (
	"fmt"
	"regexp"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// The TOML library reports all decoding failures with the same type, so they are classified by their messages.
var (
	duplicatePattern    = regexp.MustCompile(`already (exists|defined)`)
	typeMismatchPattern = regexp.MustCompile(`^cannot decode TOML (.+?) into (?:struct field \S+ of type|a Go value of type) (\S+)$`)
	rangePattern        = regexp.MustCompile(`cannot be stored in|too large to fit`)
)

// tomlTypes maps Go types of decoding targets to the names of TOML types. Types that are not listed are tables.
var tomlTypes = map[string]string{
	"int":      "an integer",
	"*int":     "an integer",
	"float64":  "a number",
	"bool":     "true or false",
	"string":   "a string",
	"*string":  "a string",
	"[]string": "an array of strings",
}

// classify returns the kind of a decoding failure and a message that does not mention Go types.
func classify(failed *toml.DecodeError) (Kind, string) {
	message := strings.TrimPrefix(failed.Error(), "toml: ")
	if mismatch := typeMismatchPattern.FindStringSubmatch(message); mismatch != nil {
		allowed, ok := tomlTypes[mismatch[2]]
		if !ok {
			allowed = "a table"
		}
		return WrongType, fmt.Sprintf("a TOML %s is not allowed here: must be %s", mismatch[1], allowed)
	}
	switch {
	case duplicatePattern.MatchString(message):
		return Duplicate, message
	case rangePattern.MatchString(message):
		return OutOfRange, message
	}
	return Syntax, message
}
