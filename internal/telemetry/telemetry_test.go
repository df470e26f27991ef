package telemetry

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against histograms that are missing in the response or served in a unit other than microseconds.
func TestHistogramIsServedInMicroseconds(t *testing.T) {
	registry := New()
	for ms := range 100 {
		registry.ObserveDuration("wait.us", time.Duration(ms+1)*time.Millisecond)
	}
	response := httptest.NewRecorder()
	registry.ServeHTTP(response, nil)
	for _, line := range []string{"wait.us.count 100\n", "wait.us.p50 50500\n"} {
		assert.Assert(t, strings.Contains(response.Body.String(), line), response.Body.String())
	}
}
