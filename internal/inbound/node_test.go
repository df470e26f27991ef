package inbound

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
	"gotest.tools/v3/poll"

	"github.com/acacialock/acacialock/internal/cluster"
	"github.com/acacialock/acacialock/internal/failure"
	"github.com/acacialock/acacialock/internal/quarantine"
	"github.com/acacialock/acacialock/internal/rpc"
	"github.com/acacialock/acacialock/internal/servicelist"
	"github.com/acacialock/acacialock/internal/telemetry"
	"github.com/acacialock/acacialock/internal/wire"
)

const service = "orders"

// newServiceList returns a service list with one service.
func newServiceList(limits servicelist.Limits) *servicelist.List {
	return &servicelist.List{Services: map[string]*servicelist.Service{service: {Name: service, Limits: limits}}}
}

// testNode is a handler on a loopback listener.
type testNode struct {
	*Handler
	self   cluster.Member
	view   *cluster.View
	client *http.Client
}

// startNode starts a node for the target at addr; change, if not nil, modifies the configuration.
func startNode(t testing.TB, addr string, change func(*Config)) *testNode {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	self := cluster.Member{
		ID: "node@" + listener.Addr().String(), Service: service, PeerAddr: listener.Addr().String(),
	}
	client := &http.Client{Transport: &http.Transport{DisableCompression: true}}
	config := Config{Self: self, TargetAddr: addr, Metrics: telemetry.New()}
	config.View = cluster.NewView(&cluster.Snapshot{
		Self: self, List: newServiceList(servicelist.Limits{Slots: 9, Connections: 260, Queue: 9}),
	})
	config.Peers = quarantine.NewPeers(config.View, client)
	if change != nil {
		change(&config)
	}
	n := &testNode{Handler: New(config), self: self, view: config.View, client: client}
	server := &http.Server{Handler: n.httpHandler()}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() {
		n.Close()
		client.CloseIdleConnections()
		assert.NilError(t, server.Close())
	})
	return n
}

func (n *testNode) httpHandler() http.Handler {
	quarantines := rpc.NewQuarantineServer(n.Handler)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/twirp/") {
			quarantines.ServeHTTP(w, r)
			return
		}
		n.ServeHTTP(w, r)
	})
}

// call is a forwarded request; zero fields take defaults.
type call struct {
	method, path string
	body         io.Reader
	idempotent   bool
	key          string
	attempt      wire.AttemptID
	timeout      time.Duration
	header       http.Header
}

func (n *testNode) request(ctx context.Context, c call) *http.Request {
	r, err := http.NewRequestWithContext(ctx, c.method, "http://"+n.self.PeerAddr+wire.ForwardPath+c.path, c.body)
	if err != nil {
		panic(err)
	}
	for name, values := range c.header {
		r.Header[name] = values
	}
	if c.attempt == (wire.AttemptID{}) {
		c.attempt = wire.NewAttemptID()
	}
	r.Header.Set(wire.Service, service)
	r.Header.Set(wire.Incarnation, n.self.ID)
	r.Header.Set(wire.AttemptHeader, c.attempt.String())
	r.Header.Set(wire.TimeoutMS, fmt.Sprint(max(c.timeout, time.Millisecond).Milliseconds()))
	if c.timeout == 0 {
		r.Header.Set(wire.TimeoutMS, "10000")
	}
	if c.idempotent {
		r.Header.Set(wire.Idempotent, "1")
	}
	if c.key != "" {
		r.Header.Set(wire.IdempotencyKey, c.key)
		r.Header.Set(wire.KeyOwner, "owner@1")
		r.Header.Set(wire.RosterVersion, "7")
	}
	return r
}

// result is a complete response, or the error that prevented it.
type result struct {
	*http.Response
	body string
	err  error
}

func (r result) reason() failure.Reason {
	if r.Response == nil {
		return ""
	}
	return failure.Reason(r.Header.Get(wire.Reason))
}

func (r result) outcome() failure.Outcome {
	return failure.Outcome(r.Header.Get(wire.Outcome))
}

// send sends the call once: without GetBody the client's transport does not resend it.
func (n *testNode) send(ctx context.Context, c call) result {
	r := n.request(ctx, c)
	r.GetBody = nil
	response, err := n.client.Transport.RoundTrip(r)
	if err != nil {
		return result{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return result{Response: response, body: string(body), err: err}
}

// awaitTarget waits until the target responds with "hello" again.
func (n *testNode) awaitTarget(t *testing.T) {
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		response := n.send(context.Background(), call{method: "GET", path: "/", idempotent: true})
		return poll.Compare(cmp.Equal(response.body, "hello"))
	}, poll.WithDelay(5*time.Millisecond))
}

// crashTarget is a target that simulates a process crash on a request whose path starts with /crash: it closes its
// listener, resets all connections and accepts connections again after a pause.
type crashTarget struct {
	addr    string
	pause   time.Duration // negative: it does not restart
	crashes atomic.Int64
	handler http.HandlerFunc
	stopped atomic.Bool

	mu       sync.Mutex
	server   *http.Server
	listener net.Listener
	conns    map[net.Conn]struct{}
	group    sync.WaitGroup
}

func startCrashTarget(t testing.TB, pause time.Duration, handler http.HandlerFunc) *crashTarget {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	target := &crashTarget{addr: listener.Addr().String(), pause: pause, handler: handler}
	target.serve(listener)
	t.Cleanup(func() {
		target.stopped.Store(true)
		target.kill(nil)
		target.group.Wait()
	})
	return target
}

func (c *crashTarget) serve(listener net.Listener) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conns := map[net.Conn]struct{}{}
	c.conns, c.listener = conns, listener
	server := &http.Server{Handler: c, ConnState: func(conn net.Conn, state http.ConnState) {
		c.mu.Lock()
		defer c.mu.Unlock()
		conns[conn] = struct{}{}
		if state == http.StateClosed {
			delete(conns, conn)
		}
	}}
	c.server = server
	c.group.Go(func() { _ = server.Serve(listener) })
}

func (c *crashTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !strings.HasPrefix(r.URL.Path, "/crash") {
		c.handler(w, r)
		return
	}
	c.mu.Lock()
	server := c.server
	c.mu.Unlock()
	c.kill(server)
	panic(http.ErrAbortHandler)
}

// kill simulates a crash of the process represented by server, once; nil: the current process, without a restart.
func (c *crashTarget) kill(server *http.Server) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.server == nil || server != nil && server != c.server {
		return
	}
	if server != nil {
		c.crashes.Add(1)
	}
	dying := c.server
	c.server = nil
	_ = c.listener.Close()
	for conn := range c.conns { // all before the handler returns, as the kernel does
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
	c.group.Go(func() {
		_ = dying.Close()
		if server != nil && c.pause >= 0 {
			time.Sleep(c.pause)
			c.restart()
		}
	})
}

func (c *crashTarget) restart() {
	for !c.stopped.Load() {
		listener, err := net.Listen("tcp", c.addr)
		if err == nil {
			c.serve(listener)
			if c.stopped.Load() {
				c.kill(nil)
			}
			return
		}
		time.Sleep(time.Millisecond)
	}
}
