package wire

import (
	"math"
	"strconv"
	"strings"
)

// TargetLimit is the header in which a target names the requests per second that it accepts from all nodes together, as a
// decimal number. It applies for as long as the target's responses carry it.
const TargetLimit = "Acacialock-Target-Limit"

// maxLimitLength is the greatest length in bytes of one named limit.
const maxLimitLength = 32

// ParseLimit decodes the values of a header that names a limit in requests per second. Of several values, also in one
// line, the lowest counts. named is false if there is no value. The error is a *HeaderError if any value is not a decimal
// number; the value in it is cut to a length that can be logged.
func ParseLimit(name string, values []string) (limit float64, named bool, err error) {
	limit = math.Inf(1)
	for _, line := range values {
		for text := range strings.SplitSeq(line, ",") {
			value, ok := parseDecimal(strings.Trim(text, " \t"))
			if !ok {
				return 0, true, &HeaderError{Name: name, Value: text[:min(len(text), maxLimitLength)], Want: "a decimal number of requests per second"}
			}
			limit, named = min(limit, value), true
		}
	}
	if !named {
		return 0, false, nil
	}
	return limit, true, nil
}

// parseDecimal decodes digits with an optional fraction. Signs, exponents, hexadecimal numbers, NaN and Inf, which
// strconv.ParseFloat accepts, are invalid.
func parseDecimal(text string) (float64, bool) {
	if len(text) > maxLimitLength || strings.Trim(text, "0123456789.") != "" {
		return 0, false
	}
	value, err := strconv.ParseFloat(text, 64)
	return value, err == nil
}
