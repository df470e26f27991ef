package telemetry

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a sample that is not one in 64, or that takes all requests without an id for one.
func TestSampled(t *testing.T) {
	taken := 0
	for i := range 64_000 {
		if Sampled(fmt.Sprintf("%016x", i)) {
			taken++
		}
	}
	assert.Assert(t, taken > 900 && taken < 1100, "%d", taken)
	assert.Assert(t, !Sampled(""))
}
