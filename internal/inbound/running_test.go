package inbound

import (
	"context"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/acacialock/acacialock/internal/rpc"
	"github.com/acacialock/acacialock/internal/wire"
)

// Guards against an idempotent attempt that is recorded without its id. The entry node then considered every attempt
// that ran longer than usual lost, cancelled it and retired the connections to the node.
func TestFenceQueryFindsRunningIdempotentAttempt(t *testing.T) {
	arrived, release := make(chan struct{}), make(chan struct{})
	target := startCrashTarget(t, 0, func(w http.ResponseWriter, _ *http.Request) {
		close(arrived)
		<-release
	})
	node := startNode(t, target.addr, nil)
	id := wire.NewAttemptID()
	done := make(chan result)
	go func() {
		done <- node.send(context.Background(), call{method: "GET", path: "/slow", idempotent: true, attempt: id})
	}()
	<-arrived
	state, err := node.Fence(context.Background(), &rpc.FenceRequest{Attempt: id[:], MemberId: node.self.ID, Query: true})
	assert.NilError(t, err)
	assert.Equal(t, state.State, rpc.AttemptState_ATTEMPT_RUNNING)
	close(release)
	assert.NilError(t, (<-done).err)
}
