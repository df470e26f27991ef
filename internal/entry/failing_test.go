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

// Guards against non-idempotent requests that are lost at a target that fails all it runs, while others work.
func TestRequestsLeaveAFailingTarget(t *testing.T) {
	log := testlog.Capture(t)
	var bad atomic.Value
	f := newFixture(t, 3, func(w http.ResponseWriter, r *http.Request) {
		at := r.Context().Value(http.LocalAddrContextKey).(net.Addr).String()
		bad.CompareAndSwap(nil, at) // the first one that gets a request
		if at == bad.Load() {
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
	for lost < 5 { // on a busy machine the target's first answers may be slow, and few requests come to it
		send()
	}
	const sent = 300
	for range sent {
		send()
	}
	assert.Assert(t, lost < sent/10, "%d of %d lost", lost, sent) // an even share is a third
	assert.Equal(t, len(log.Lines(`"target fails most requests"`)), 1)
}

// Guards against refusals, and many sends, when all targets fail: their answers are what callers get then.
func TestAllTargetsFail(t *testing.T) {
	f := newFixture(t, 3, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) })
	for range 100 {
		response, _, err := f.call(http.MethodPost, "/", "p", strings.NewReader("x"))
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusInternalServerError)
	}
	assert.Equal(t, f.ran("p"), int64(100))
}
