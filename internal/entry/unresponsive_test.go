package entry

import (
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against calls that are sent to an unreachable node while an earlier call waits there. The balancer learned of the
// fault only at that call's deadline, so that all callers came to wait, and a region answered nothing for 3 s of a network
// partition.
func TestCallsAvoidAnUnresponsiveNode(t *testing.T) {
	release := make(chan struct{})
	var stuckTarget atomic.Value // address of the target that received the first call
	sentToStuck := atomic.Int64{}
	f := newFixture(t, 2, func(_ http.ResponseWriter, r *http.Request) {
		addr := r.Context().Value(http.LocalAddrContextKey).(net.Addr).String()
		if r.Header.Get("X-Order") == "first" {
			stuckTarget.Store(addr)
			<-release
		} else if addr == stuckTarget.Load() {
			sentToStuck.Add(1)
		}
	})
	f.unreachable.Store(true)
	ended := make(chan error, 1)
	go func() {
		_, _, err := f.call(http.MethodPost, "/", "first", strings.NewReader("x"))
		ended <- err
	}()
	defer func() {
		close(release)
		assert.NilError(t, <-ended)
	}()
	lost := f.metrics.Counter("balance.orders.lost")
	for lost.Count() == 0 {
		time.Sleep(5 * time.Millisecond)
	}
	for range 40 {
		response, _, err := f.call(http.MethodPost, "/", "other", strings.NewReader("x"))
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusOK)
	}
	assert.Equal(t, sentToStuck.Load(), int64(0))
}
