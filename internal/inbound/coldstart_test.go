package inbound

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/acacialock/acacialock/internal/cluster"
	"github.com/acacialock/acacialock/internal/failure"
	"github.com/acacialock/acacialock/internal/servicelist"
)

// plainProtocol is the protocol of a platform that adds and checks nothing.
type plainProtocol struct{}

func (plainProtocol) PrepareHeader(http.Header, time.Duration) {}
func (plainProtocol) ValidateResponse(*http.Request, *http.Response) *failure.Error {
	return nil
}
func (plainProtocol) ParseReport(http.Header) TargetReport { return TargetReport{} }

// Guards against requests at a cold target before its node knows how many of them it bears: after a loss of power the nodes read the
// members before the service list while the store is slow, and a target that may get 26 requests in a second got 31. A target that is
// known to be warm is served.
func TestColdTargetWaitsForItsRate(t *testing.T) {
	for name, c := range map[string]struct {
		known     bool
		remaining time.Duration
		refused   bool
	}{
		"unknown": {false, 0, true}, "cold": {true, 10 * time.Second, true}, "warm": {true, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			addr := startTarget(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "hello") })
			node := startNode(t, addr, func(config *Config) {
				config.Protocol, config.WarmUpKnown, config.RemainingWarmUp = plainProtocol{}, c.known, c.remaining
				config.View = cluster.NewView(&cluster.Snapshot{Self: config.Self})
			})
			res := node.send(context.Background(), call{method: "POST", path: "/"})
			assert.NilError(t, res.err)
			assert.Equal(t, res.reason() == failure.Starting && res.outcome() == failure.NotRun, c.refused, "%s", res.body)
			node.view.Publish(&cluster.Snapshot{Self: node.self, List: newServiceList(servicelist.Limits{Slots: 9, Connections: 260, Queue: 9})})
			res = node.send(context.Background(), call{method: "POST", path: "/"})
			assert.NilError(t, res.err)
			assert.Equal(t, res.body, "hello")
		})
	}
}
