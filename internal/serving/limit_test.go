package serving

import (
	"net"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// Guards against a crowd at one listener that uses up the descriptors of the process, and against a limit that closed
// connections use up.
func TestConnectionsOverTheLimitAreClosed(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer inner.Close()
	var refused atomic.Int64
	listener := newLimitedListener(inner, 2, func() { refused.Add(1) })
	accepted := make(chan net.Conn, 8)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			accepted <- conn
		}
	}()
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", inner.Addr().String())
		assert.NilError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		return conn
	}
	for round := range int64(3) {
		dial()
		dial()
		first, second := <-accepted, <-accepted
		_, err := dial().Read(make([]byte, 1))
		assert.Assert(t, err != nil, "the third connection was served")
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if refused.Load() == round+1 {
				return poll.Success()
			}
			return poll.Continue("%d connections refused", refused.Load())
		})
		assert.NilError(t, first.Close())
		_ = first.Close()
		assert.NilError(t, second.Close())
	}
}
