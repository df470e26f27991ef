package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/acacialock/acacialock/internal/cluster"
	"github.com/acacialock/acacialock/internal/control"
	"github.com/acacialock/acacialock/internal/rpc"
	"github.com/acacialock/acacialock/internal/telemetry"
)

// byteCounts holds the bytes sent and received on all connections of one node, with HTTP headers but without TCP and IP
// headers.
type byteCounts struct{ sent, received atomic.Int64 }

// countingConn is a connection that adds the bytes it reads and writes to counts.
type countingConn struct {
	net.Conn
	counts *byteCounts
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.counts.received.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counts.sent.Add(int64(n))
	return n, err
}

// countingListener is a listener whose connections add their bytes to counts.
type countingListener struct {
	net.Listener
	counts *byteCounts
}

func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{conn, l.counts}, nil
}

// host runs one incarnation of a node in this process, with a peer listener and an HTTP client of its own.
type host struct {
	node    *control.Node
	member  cluster.Member
	traffic byteCounts
	server  *http.Server
	client  *http.Client
	cancel  context.CancelFunc
	running sync.WaitGroup
}

// incarnations numbers the incarnations of all nodes.
var incarnations atomic.Uint64

// startHost starts a new incarnation of the node. addr is its listen address: "127.0.0.1:0" for the first incarnation,
// otherwise the address of the previous one.
func startHost(s *system, spec nodeSpec, addr string, seeds []string) (*host, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	incarnation := incarnations.Add(1)
	h := &host{member: cluster.Member{
		ID:       fmt.Sprintf("%s@%d", spec.name, incarnation),
		Service:  spec.service,
		Zone:     spec.zone,
		Region:   "region",
		PeerAddr: listener.Addr().String(),
	}}
	h.client = &http.Client{Transport: &http.Transport{
		DialContext:         h.dial,
		MaxIdleConnsPerHost: 2,
		IdleConnTimeout:     time.Minute,
		Protocols:           clientProtocols(s.http2),
	}}
	h.node, err = control.New(control.Config{
		Self:      h.member,
		Seeds:     seeds,
		Table:     s.store.Table(),
		Objects:   s.store.Objects(),
		ParseList: parseList,
		Client: func(addr string) rpc.Control {
			return rpc.NewControlProtobufClient("http://"+addr, h.client)
		},
		View:    cluster.NewView(&cluster.Snapshot{Self: h.member}),
		Metrics: telemetry.New(),
		Seed:    incarnation,
	})
	if err != nil {
		return nil, err
	}
	h.serve(countingListener{listener, &h.traffic})
	return h, nil
}

func (h *host) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return countingConn{conn, &h.traffic}, nil
}

func (h *host) serve(listener net.Listener) {
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	h.server = &http.Server{Handler: rpc.NewControlServer(h.node), Protocols: serverProtocols()}
	h.running.Go(func() { _ = h.server.Serve(listener) }) // returns when the server is closed
	h.running.Go(func() { _ = h.node.Run(ctx) })          // returns nil
}

// kill stops the node as a crash does: it does not announce its departure.
func (h *host) kill() {
	h.cancel()
	_ = h.server.Close() // closes the listener as well
	h.running.Wait()
	h.client.CloseIdleConnections()
}

func clientProtocols(http2 bool) *http.Protocols {
	var p http.Protocols
	p.SetHTTP1(!http2)
	p.SetUnencryptedHTTP2(http2)
	return &p
}

func serverProtocols() *http.Protocols {
	var p http.Protocols
	p.SetHTTP1(true)
	p.SetUnencryptedHTTP2(true)
	return &p
}
