package entry

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/acacialock/acacialock/internal/testlog"
)

// Guards against a request whose log tells of a failed attempt, but not how the request ended or why no attempt followed.
func TestLogTellsHowAFailedAttemptGoesOn(t *testing.T) {
	log := testlog.Capture(t)
	broken := atomic.Int64{}
	f := newFixture(t, 2, func(http.ResponseWriter, *http.Request) {
		if broken.Add(-1) >= 0 {
			panic(http.ErrAbortHandler) // closes the connection without an answer
		}
	})
	send := func(method string, breaks int64) int {
		broken.Store(breaks)
		response, _, err := f.call(method, "/", "o", strings.NewReader("x"))
		assert.NilError(t, err)
		return response.StatusCode
	}
	for range 30 { // they earn the repeat below
		assert.Equal(t, send(http.MethodGet, 0), http.StatusOK)
	}
	assert.Equal(t, len(log.Lines("request")), 0, "plain requests are logged by sample only")

	assert.Equal(t, send(http.MethodGet, 1), http.StatusOK)
	assert.Equal(t, len(log.Lines(`"attempt failed"`, "send=1")), 1)
	assert.Equal(t, len(log.Lines(`"request answered"`, "sends=2", "status=200")), 1)

	assert.Equal(t, send(http.MethodPost, 1), http.StatusBadGateway)
	assert.Equal(t, len(log.Lines(`"request failed"`, `not_repeated="not-repeatable"`, `outcome="unknown"`)), 1)
}
