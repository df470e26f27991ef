package inbound

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
	"gotest.tools/v3/poll"

	"github.com/acacialock/acacialock/internal/failure"
	"github.com/acacialock/acacialock/internal/servicelist"
)

// Guards against queued requests that reach the next start of a target, which may have the same id and be cold, and against
// those that start, or wait on, after the evacuation of the zone was ordered.
func TestQueuedRequestsAreRefused(t *testing.T) {
	for name, end := range map[string]struct {
		order  func(n *testNode)
		reason failure.Reason
	}{
		"started again": {(*testNode).EndBoot, failure.Draining},
		"evacuated": {func(n *testNode) {
			next := *n.view.Load()
			next.EvacuatedZones = map[string]bool{n.self.Zone: true}
			n.view.Publish(&next)
			assert.Equal(t, n.send(context.Background(), call{method: "GET", path: "/late"}).reason(), failure.ZoneEvacuated)
		}, failure.ZoneEvacuated},
	} {
		t.Run(name, func(t *testing.T) {
			var runs atomic.Int64
			release := make(chan struct{})
			addr := startTarget(t, func(http.ResponseWriter, *http.Request) {
				runs.Add(1)
				<-release
			})
			n := startNode(t, addr, nil)
			next := *n.view.Load()
			next.List = newServiceList(servicelist.Limits{Slots: 1, Connections: 260, Queue: 9})
			n.view.Publish(&next)
			results := make(chan result, 3)
			for range 3 {
				go func() { results <- n.send(context.Background(), call{method: "POST", path: "/"}) }()
			}
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				return poll.Compare(cmp.Equal(n.LoadSample().Queued, 2))
			})
			end.order(n)
			for range 2 {
				refused := <-results
				assert.Equal(t, refused.reason(), end.reason)
				assert.Equal(t, refused.outcome(), failure.NotRun)
			}
			close(release)
			assert.Equal(t, (<-results).StatusCode, http.StatusOK)
			assert.Equal(t, runs.Load(), int64(1))
		})
	}
}
