package telemetry

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a sampling ratio other than one in 64, and against sampling all requests without an id because they
// share the empty one.
func TestSampled(t *testing.T) {
	sampled := 0
	for i := range 64_000 {
		if Sampled(fmt.Sprintf("%016x", i)) {
			sampled++
		}
	}
	assert.Assert(t, sampled > 900 && sampled < 1100, "%d", sampled)
	assert.Assert(t, !Sampled(""))
}
