package keys

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/acacialock/acacialock/internal/cluster"
	"github.com/acacialock/acacialock/internal/platformtest"
	"github.com/acacialock/acacialock/internal/rpc"
	"github.com/acacialock/acacialock/internal/servicelist"
)

// Guards against a node outside the home region whose Leave waits until its timeout for the roster row, which such a
// node never reads.
func TestLeaveOutsideHomeRegionNeedsNoHandover(t *testing.T) {
	service := &servicelist.Service{Name: "orders", HomeRegion: "north"}
	self := cluster.Member{ID: "far@1", Service: "orders", Region: "south", Zone: "s1"}
	view := cluster.NewView(&cluster.Snapshot{Self: self, List: &servicelist.List{Services: map[string]*servicelist.Service{"orders": service}}})
	memory := platformtest.NewMemory()
	node, err := New(Config{Self: self, View: view, Table: memory, Keys: func(string) rpc.Keys { return nil }, Seed: 1})
	assert.NilError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		node.Run(ctx)
		close(ended)
	}()
	leaving, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	assert.NilError(t, node.Leave(leaving))
	stop()
	<-ended
}
