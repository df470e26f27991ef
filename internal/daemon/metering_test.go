package daemon

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/acacialock/acacialock/internal/budget"
	"github.com/acacialock/acacialock/internal/cluster"
	"github.com/acacialock/acacialock/internal/rpc"
)

// countedConn counts the bytes that are sent and received on a connection.
type countedConn struct {
	net.Conn
	sent, received *atomic.Int64
}

func (c *countedConn) Write(data []byte) (int, error) {
	c.sent.Add(int64(len(data)))
	return c.Conn.Write(data)
}

func (c *countedConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.received.Add(int64(n))
	return n, err
}

// leaderStub responds to heartbeats with a member list.
type leaderStub struct{ rpc.Control }

func (leaderStub) Heartbeat(context.Context, *rpc.HeartbeatRequest) (*rpc.HeartbeatResponse, error) {
	return &rpc.HeartbeatResponse{Leader: true, Changed: []*rpc.ZoneMembers{{Zone: "a", Members: make([]*rpc.MemberInfo, 40)}}}, nil
}

// Guards against control traffic that sends more bytes than are charged to the budget, on the client side or the server
// side, and against a charge to the wrong link.
func TestMeteringChargesAllControlTraffic(t *testing.T) {
	var sent, received atomic.Int64
	serverSide := &metering{byteBudget: budget.NewByteBudget(defaultLimits, nil), view: cluster.NewView(&cluster.Snapshot{})}
	server := httptest.NewServer(serverSide.meterResponses(rpc.NewControlServer(leaderStub{})))
	defer server.Close()
	addr := server.Listener.Addr().String()

	view := cluster.NewView(&cluster.Snapshot{
		Self:    cluster.Member{Region: "south"},
		Members: map[string][]cluster.Member{"orders": {{ID: "n@1", Region: "north", PeerAddr: addr}}},
	})
	clientSide := &metering{byteBudget: budget.NewByteBudget(defaultLimits, nil), view: view}
	transport := &http.Transport{DisableCompression: true, DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
		return &countedConn{Conn: conn, sent: &sent, received: &received}, err
	}}
	defer transport.CloseIdleConnections()
	clientSide.next = transport
	client := rpc.NewControlProtobufClient("http://"+addr, &http.Client{Transport: clientSide})

	const calls = 3
	for range calls {
		_, err := client.Heartbeat(context.Background(), &rpc.HeartbeatRequest{Services: []string{"orders", "materials"}})
		assert.NilError(t, err)
	}
	charged := clientSide.byteBudget.BytesWritten(budget.Heartbeat, budget.InterRegion)
	assert.Assert(t, charged >= sent.Load(), "charged %d bytes for %d sent", charged, sent.Load())
	charged = serverSide.byteBudget.BytesWritten(budget.Heartbeat, budget.InterRegion)
	assert.Assert(t, charged >= received.Load(), "charged %d bytes for %d received", charged, received.Load())
	assert.Equal(t, clientSide.byteBudget.BytesWritten(budget.Heartbeat, budget.Region), int64(0))
}
