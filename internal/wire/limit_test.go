package wire

import (
	"errors"
	"math"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a malformed limit that is taken for a number, and against a valid one that is not.
func TestParseLimit(t *testing.T) {
	for _, valid := range []struct {
		values []string
		want   float64
	}{
		{[]string{"13.6"}, 13.6}, {[]string{" 5 "}, 5}, {[]string{"0"}, 0}, {[]string{"0.25"}, 0.25}, {[]string{".5"}, 0.5},
		{[]string{"9", "4"}, 4}, {[]string{"4, 9"}, 4}, {[]string{"00012"}, 12},
	} {
		limit, named, err := ParseLimit(TargetLimit, valid.values)
		assert.NilError(t, err, valid.values)
		assert.Assert(t, named && limit == valid.want, "%v: %v", valid.values, limit)
	}
	for _, invalid := range []string{
		"", " ", "-1", "+5", "NaN", "Inf", "-Inf", "infinity", "1e309", "1e3", "0x10", "0x1p3", "1_000", "1 000", "5,", "5,x", "1.2.3", ".",
		"12 req/s", strings.Repeat("9", 64<<10), strings.Repeat("5,", 32<<10),
	} {
		_, named, err := ParseLimit(TargetLimit, []string{invalid})
		var headerError *HeaderError
		assert.Assert(t, errors.As(err, &headerError) && named, "%.40q", invalid)
		assert.Assert(t, len(headerError.Value) <= maxLimitLength)
	}
	_, _, err := ParseLimit(TargetLimit, []string{"5", "x"})
	assert.Assert(t, err != nil, "one invalid value of several")
	_, named, err := ParseLimit(TargetLimit, nil)
	assert.Assert(t, err == nil && !named)
}

// Guards against a panic, a negative limit or one that is no number, whatever a target sends.
func FuzzParseLimit(f *testing.F) {
	f.Add("13.6")
	f.Add("5, 7")
	f.Fuzz(func(t *testing.T, text string) {
		limit, _, err := ParseLimit(TargetLimit, []string{text})
		assert.Assert(t, err != nil || limit >= 0 && !math.IsInf(limit, 0) && !math.IsNaN(limit), "%q: %v", text, limit)
	})
}

// Guards against a state of another node's target that ends the process or changes when it is passed on.
func FuzzParseTargetState(f *testing.F) {
	f.Add("13.6,0,120,9c41d07be2a35f68")
	f.Add("0,1,5,")
	f.Fuzz(func(t *testing.T, text string) {
		state, err := ParseTargetState(text)
		if err != nil {
			return
		}
		again, err := ParseTargetState(state.String())
		assert.NilError(t, err, "%q", state.String())
		assert.Equal(t, again, state)
	})
}
