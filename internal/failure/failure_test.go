package failure

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a 503, which callers take as a promise, for a request that may have run: a caller that half-closed its
// connection got one.
func TestOnlyRequestsThatHaveNotRunGet503(t *testing.T) {
	for _, reason := range []Reason{CallerGone, NodeUnreachable, Draining, QueueFull, KeyHistoryLost, NoTarget} {
		assert.Equal(t, New(reason, NotRun, "").Status(), http.StatusServiceUnavailable, reason)
		for _, outcome := range []Outcome{Unknown, Done} {
			assert.Equal(t, New(reason, outcome, "").Status(), http.StatusBadGateway, reason)
		}
	}
	assert.Equal(t, New(DeadlineExceeded, Unknown, "").Status(), http.StatusGatewayTimeout)
}
