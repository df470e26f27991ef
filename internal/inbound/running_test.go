package inbound

import (
	"context"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/acacialock/acacialock/internal/rpc"
	"github.com/acacialock/acacialock/internal/wire"
)

// Guards against an idempotent attempt that is recorded without its id: the entry node then took each one that ran longer
// than usual for lost, cut it and retired the connections to the node.
func TestRunningIdempotentAttemptIsFound(t *testing.T) {
	arrived, release := make(chan struct{}), make(chan struct{})
	target := startCrashTarget(t, 0, func(w http.ResponseWriter, _ *http.Request) {
		close(arrived)
		<-release
	})
	n := startNode(t, target.addr, nil)
	id := wire.NewAttemptID()
	ended := make(chan result)
	go func() {
		ended <- n.send(context.Background(), call{method: "GET", path: "/slow", idempotent: true, attempt: id})
	}()
	<-arrived
	state, err := n.Fence(context.Background(), &rpc.FenceRequest{Attempt: id[:], MemberId: n.self.ID, Query: true})
	assert.NilError(t, err)
	assert.Equal(t, state.State, rpc.AttemptState_ATTEMPT_RUNNING)
	close(release)
	assert.NilError(t, (<-ended).err)
}
