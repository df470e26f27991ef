package tomlcheck

import (
	"fmt"
	"regexp"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// The library has one type for all failures, so its messages tell them apart.
var (
	duplicateMessage = regexp.MustCompile(`already (exists|defined)`)
	typeMessage      = regexp.MustCompile(`^cannot decode TOML (.+?) into (?:struct field \S+ of type|a Go value of type) (\S+)$`)
	rangeMessage     = regexp.MustCompile(`cannot be stored in|too large to fit`)
)

// tomlTypes names the types of the targets in TOML's terms; all others are tables.
var tomlTypes = map[string]string{
	"int":      "an integer",
	"*int":     "an integer",
	"string":   "a string",
	"*string":  "a string",
	"[]string": "an array of strings",
}

// classify returns the kind of a failure and a message without Go types.
func classify(failed *toml.DecodeError) (Kind, string) {
	message := strings.TrimPrefix(failed.Error(), "toml: ")
	if mismatch := typeMessage.FindStringSubmatch(message); mismatch != nil {
		allowed, ok := tomlTypes[mismatch[2]]
		if !ok {
			allowed = "a table"
		}
		return WrongType, fmt.Sprintf("a TOML %s is not allowed here: allowed is %s", mismatch[1], allowed)
	}
	switch {
	case duplicateMessage.MatchString(message):
		return Duplicate, message
	case rangeMessage.MatchString(message):
		return OutOfRange, message
	}
	return Syntax, message
}
