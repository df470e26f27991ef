package wire

import (
	"flag"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestMain fixes the seed of the property tests; -rapid.seed chooses another.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261204") // the flag exists because rapid is imported
	flag.Parse()
	os.Exit(m.Run())
}

// Guards against a codec that loses a field of the load sample.
func TestLoadSampleRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sample := LoadSample{
			InFlight: rapid.IntRange(0, 1000).Draw(t, "in flight"),
			Queued:   rapid.IntRange(0, 1000).Draw(t, "queued"),
			Latency:  time.Duration(rapid.IntRange(0, 1e9).Draw(t, "latency")) * time.Microsecond,
			Draining: rapid.Bool().Draw(t, "draining"),
		}
		decoded, err := ParseLoadSample(sample.String())
		assert.NilError(t, err)
		assert.Equal(t, decoded, sample)
	})
}

// Guards against a panic or a wrong value on malformed header text.
func FuzzParseLoadSample(f *testing.F) {
	f.Add("1,2,3,0")
	f.Add(",,,")
	f.Fuzz(func(t *testing.T, text string) {
		sample, err := ParseLoadSample(text)
		if err != nil {
			return
		}
		again, err := ParseLoadSample(sample.String())
		assert.NilError(t, err)
		assert.Equal(t, again, sample)
	})
}

// Guards against a rank from another node that ends the process or changes when it is passed on.
func FuzzParseRank(f *testing.F) {
	f.Add("2,300,browse,lots")
	f.Add("-1,-5,")
	f.Fuzz(func(t *testing.T, text string) {
		kind, priority, softTimeout, err := ParseRank(text)
		if err != nil {
			return
		}
		again, againPriority, againTimeout, err := ParseRank(FormatRank(kind, priority, softTimeout))
		assert.NilError(t, err)
		assert.Assert(t, again == kind && againPriority == priority && againTimeout == softTimeout)
	})
}
