package entry

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/acacialock/acacialock/internal/testlog"
)

// Guards against logs that show a failed attempt, but not how the request ended or why no other attempt followed.
func TestLogShowsHowARequestWithAFailedAttemptEnds(t *testing.T) {
	log := testlog.Capture(t)
	failures := atomic.Int64{}
	f := newFixture(t, 2, func(http.ResponseWriter, *http.Request) {
		if failures.Add(-1) >= 0 {
			panic(http.ErrAbortHandler) // closes the connection without an answer
		}
	})
	send := func(method string, count int64) int {
		failures.Store(count)
		response, _, err := f.call(method, "/", "o", strings.NewReader("x"))
		assert.NilError(t, err)
		return response.StatusCode
	}
	for range 30 { // they fill the retry budget that the retry below needs
		assert.Equal(t, send(http.MethodGet, 0), http.StatusOK)
	}
	assert.Equal(t, len(log.Lines("request")), 0, "requests without a failure are logged only for a sample")

	assert.Equal(t, send(http.MethodGet, 1), http.StatusOK)
	assert.Equal(t, len(log.Lines(`"attempt failed"`, "send=1")), 1)
	assert.Equal(t, len(log.Lines(`"request answered"`, "sends=2", "status=200")), 1)

	assert.Equal(t, send(http.MethodPost, 1), http.StatusBadGateway)
	assert.Equal(t, len(log.Lines(`"request failed"`, `not_repeated="not-repeatable"`, `outcome="unknown"`)), 1)
}
