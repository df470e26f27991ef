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

// traffic counts the bytes of one node's connections, HTTP headers included, TCP and IP headers not.
type traffic struct{ sent, received atomic.Int64 }

// countedConn counts what passes through a connection.
type countedConn struct {
	net.Conn
	bytes *traffic
}

func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.received.Add(int64(n))
	return n, err
}

func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.sent.Add(int64(n))
	return n, err
}

// countedListener counts the connections that it accepts.
type countedListener struct {
	net.Listener
	bytes *traffic
}

func (l countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{conn, l.bytes}, nil
}

// host is one process of a node with its peer listener.
type host struct {
	node   *control.Node
	member cluster.Member
	bytes  traffic
	server *http.Server
	client *http.Client
	cancel context.CancelFunc
	ended  sync.WaitGroup
}

var incarnations atomic.Uint64

// startHost starts the node with its own listener; addr is "127.0.0.1:0" or the address of the earlier incarnation.
func startHost(s *system, place place, addr string, seeds []string) (*host, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	made := incarnations.Add(1)
	h := &host{member: cluster.Member{
		ID:       fmt.Sprintf("%s@%d", place.name, made),
		Service:  place.service,
		Zone:     place.zone,
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
		Seed:    made,
	})
	if err != nil {
		return nil, err
	}
	h.run(countedListener{listener, &h.bytes})
	return h, nil
}

func (h *host) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return countedConn{conn, &h.bytes}, nil
}

func (h *host) run(listener net.Listener) {
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	h.server = &http.Server{Handler: rpc.NewControlServer(h.node), Protocols: serverProtocols()}
	h.ended.Go(func() { _ = h.server.Serve(listener) }) // returns when the server is closed
	h.ended.Go(func() { _ = h.node.Run(ctx) })          // returns nil
}

// kill ends the process without a farewell.
func (h *host) kill() {
	h.cancel()
	_ = h.server.Close() // the listener is closed by it
	h.ended.Wait()
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
