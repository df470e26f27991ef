package testsite

import (
	"net"
	"os/exec"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a worker that can't be started again because another process is being started: soak seed 5107 failed with "address
// already in use".
func TestListenAgainWhileProcessesStart(t *testing.T) {
	var stopped atomic.Bool
	var starting sync.WaitGroup
	for range 2 {
		starting.Go(func() {
			for !stopped.Load() {
				_ = exec.Command("true").Run() // only its fork matters
			}
		})
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	for range 2000 {
		assert.NilError(t, listener.Close())
		listener, err = listenAgain(listener.Addr().String())
		assert.NilError(t, err)
	}
	stopped.Store(true)
	starting.Wait()
	assert.NilError(t, listener.Close())
}
