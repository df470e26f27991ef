package entry

import (
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/acacialock/acacialock/internal/testlog"
)

// Guards against non-idempotent requests that keep failing at a target that fails every request, while others succeed.
func TestRequestsMoveAwayFromAFailingTarget(t *testing.T) {
	log := testlog.Capture(t)
	var failing atomic.Value
	f := newFixture(t, 3, func(w http.ResponseWriter, r *http.Request) {
		addr := r.Context().Value(http.LocalAddrContextKey).(net.Addr).String()
		failing.CompareAndSwap(nil, addr) // the first target that gets a request
		if addr == failing.Load() {
			w.WriteHeader(http.StatusInternalServerError)
		}
	})
	lost := 0
	send := func() {
		response, _, err := f.call(http.MethodPost, "/", "", strings.NewReader("x"))
		assert.NilError(t, err)
		if response.StatusCode != http.StatusOK {
			assert.Equal(t, response.StatusCode, http.StatusInternalServerError)
			lost++
		}
	}
	for lost < 5 { // on a busy machine the target's first answers may be slow, so that it gets few requests
		send()
	}
	const sent = 300
	for range sent {
		send()
	}
	assert.Assert(t, lost < sent/10, "%d of %d lost", lost, sent) // an even share is a third
	assert.Equal(t, len(log.Lines(`"target fails most requests"`)), 1)
}

// Guards against refusals and retries when all targets fail: callers must get the targets' answers then.
func TestAllTargetsFail(t *testing.T) {
	f := newFixture(t, 3, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) })
	for range 100 {
		response, _, err := f.call(http.MethodPost, "/", "p", strings.NewReader("x"))
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusInternalServerError)
	}
	assert.Equal(t, f.runCount("p"), int64(100))
}
