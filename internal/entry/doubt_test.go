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

// Guards against calls that follow a call which waits at a node that is cut off. Only its deadline told the balancer, so
// that other calls waited there too; with all callers waiting, a region answered nothing for 3 s of a split.
func TestCallsDoNotFollowOneThatWaitsAtACutOffNode(t *testing.T) {
	release := make(chan struct{})
	var waits atomic.Value // address of the target that has the first call
	follows := atomic.Int64{}
	f := newFixture(t, 2, func(_ http.ResponseWriter, r *http.Request) {
		at := r.Context().Value(http.LocalAddrContextKey).(net.Addr).String()
		if r.Header.Get("X-Order") == "first" {
			waits.Store(at)
			<-release
		} else if at == waits.Load() {
			follows.Add(1)
		}
	})
	f.cutOff.Store(true)
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
	assert.Equal(t, follows.Load(), int64(0))
}
