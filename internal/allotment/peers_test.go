package allotment

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/acacialock/acacialock/internal/cluster"
	"github.com/acacialock/acacialock/internal/servicelist"
	"github.com/acacialock/acacialock/internal/telemetry"
	"github.com/acacialock/acacialock/internal/wire"
)

// startPeers starts nodes that reach each other over HTTP.
func startPeers(t *testing.T, count int, tenants ...*servicelist.Tenant) (nodes []*Allotments, requests *atomic.Int64) {
	t.Helper()
	requests = &atomic.Int64{}
	var members []cluster.Member
	handlers := make([]atomic.Pointer[Allotments], count)
	for i := range count {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			requests.Add(1)
			handlers[i].Load().Handler().ServeHTTP(w, r)
		}))
		t.Cleanup(server.Close)
		name := string(rune('a' + i))
		members = append(members, cluster.Member{ID: name + "@1", Service: "s", Zone: "z", Region: "r", PeerAddr: server.Listener.Addr().String()})
	}
	list := &servicelist.List{Tenants: servicelist.NewTenantSet(nil, tenants)}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	for i := range count {
		view := cluster.NewView(&cluster.Snapshot{Self: members[i], List: list, Members: map[string][]cluster.Member{"s": members}})
		node := New(Config{Name: string(rune('a' + i)), View: view, Peers: http.DefaultClient, Metrics: telemetry.New()})
		handlers[i].Store(node)
		nodes = append(nodes, node)
	}
	for _, node := range nodes {
		go node.Run(ctx)
	}
	return nodes, requests
}

// Guards against nodes that don't find each other: what one node admits is missing at the other, which has refused nothing.
func TestNodesShareAnAllotment(t *testing.T) {
	tenant := &servicelist.Tenant{Name: "t", Rate: 5, Burst: 20}
	nodes, _ := startPeers(t, 2, tenant)
	keeper, follower := nodes[0], nodes[1] // ranked by name
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		follower.mu.Lock()
		defer follower.mu.Unlock()
		if follower.state.parentName == "" {
			return poll.Continue("the second node does not report to the first")
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second))
	for range 100 {
		follower.Admit(tenant)
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		keeper.mu.Lock()
		defer keeper.mu.Unlock()
		if limited, ok := keeper.state.limits[newTenantID("t")]; !ok || limited.fraction > 0 {
			return poll.Continue("the first node does not know that the allotment is used up")
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(10*time.Millisecond))
}

// Guards against messages for tenants without a rate.
func TestNoRateNoMessages(t *testing.T) {
	tenant := &servicelist.Tenant{Name: "t"}
	nodes, requests := startPeers(t, 2, tenant)
	for range 100 {
		_, ok := nodes[0].Admit(tenant)
		assert.Assert(t, ok)
	}
	reports, _ := nodes[0].poll()
	assert.Equal(t, len(reports), 0)
	assert.Equal(t, requests.Load(), int64(0))
}

// Guards against messages of other nodes that are malformed or too long.
func TestMalformedMessagesAreRefused(t *testing.T) {
	nodes, _ := startPeers(t, 1, &servicelist.Tenant{Name: "t", Rate: 1})
	for _, path := range []string{wire.AllotmentPath, wire.AllotmentLimitsPath} {
		for _, body := range []string{"", "\x01", "x", strings.Repeat("x", maxMessageBytes+1)} {
			recorder := httptest.NewRecorder()
			nodes[0].Handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, path, strings.NewReader(body)))
			assert.Equal(t, recorder.Code, http.StatusBadRequest)
		}
	}
}
