// Package peerclient provides clients for the RPC services of other nodes.
package peerclient

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/acacialock/acacialock/internal/cluster"
	"github.com/acacialock/acacialock/internal/forward"
	"github.com/acacialock/acacialock/internal/rpc"
	"github.com/acacialock/acacialock/internal/wire"
)

const (
	peerDialTimeout = 500 * time.Millisecond
	peerIdleTimeout = 90 * time.Second
	peerIdleConns   = 2 // per node
	// maxHeaderBytes and maxBodyBytes bound a response of another node. The largest ones transfer key records.
	maxHeaderBytes = 64 << 10
	maxBodyBytes   = 64 << 20
)

// limitedTransport fails the read of a response body beyond maxBodyBytes. The stream of a reader, which has no end, is
// limited by its frames instead.
type limitedTransport struct{ http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t limitedTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.RoundTripper.RoundTrip(request)
	if err == nil && request.URL.Path != wire.FollowPath {
		response.Body = http.MaxBytesReader(nil, response.Body, maxBodyBytes)
	}
	return response, err
}

// CloseIdleConnections is called by http.Client.
func (t limitedTransport) CloseIdleConnections() {
	if closer, ok := t.RoundTripper.(interface{ CloseIdleConnections() }); ok {
		closer.CloseIdleConnections()
	}
}

// Clients creates twirp clients for other nodes. It is safe for concurrent use.
type Clients struct {
	// Pooled is the HTTP client with pooled connections.
	Pooled   *http.Client
	unpooled *http.Client // opens a new connection for each call
	dial     forward.DialFunc
}

// New returns clients that open connections with dial, or with a net.Dialer if dial is nil. If wrap is not nil, the pooled
// client uses the round tripper that it returns.
func New(dial forward.DialFunc, wrap func(http.RoundTripper) http.RoundTripper) *Clients {
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	dial = forward.WithDialTimeout(peerDialTimeout, dial)
	var pooled http.RoundTripper = limitedTransport{&http.Transport{
		DialContext:            dial,
		MaxIdleConnsPerHost:    peerIdleConns,
		IdleConnTimeout:        peerIdleTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}}
	if wrap != nil {
		pooled = wrap(pooled)
	}
	return &Clients{
		dial:   dial,
		Pooled: &http.Client{Transport: pooled},
		unpooled: &http.Client{Transport: limitedTransport{&http.Transport{
			DialContext:            dial,
			DisableKeepAlives:      true,
			DisableCompression:     true,
			MaxResponseHeaderBytes: maxHeaderBytes,
		}}},
	}
}

func baseURL(addr string) string { return "http://" + addr }

// Control returns a client of a node's control service.
func (p *Clients) Control(addr string) rpc.Control {
	return rpc.NewControlProtobufClient(baseURL(addr), p.Pooled)
}

// Keys returns a client of a node's key service.
func (p *Clients) Keys(addr string) rpc.Keys {
	return rpc.NewKeysProtobufClient(baseURL(addr), p.Pooled)
}

// AttemptsUnpooled returns a client of a node's attempts service that opens a new connection for each call, since the
// pooled connections may be unresponsive.
func (p *Clients) AttemptsUnpooled(addr string) rpc.Attempts {
	return rpc.NewAttemptsProtobufClient(baseURL(addr), p.unpooled)
}

// CanConnect reports whether a node accepts a new connection within peerDialTimeout.
func (p *Clients) CanConnect(ctx context.Context, member cluster.Member) bool {
	conn, err := p.dial(ctx, "tcp", member.PeerAddr)
	if err != nil {
		return false // the caller counts the failure
	}
	_ = conn.Close() // nothing was sent
	return true
}

// Probe requests a node's current load.
func (p *Clients) Probe(ctx context.Context, member cluster.Member) (wire.LoadSample, error) {
	client := rpc.NewLoadProtobufClient(baseURL(member.PeerAddr), p.Pooled)
	response, err := client.Probe(ctx, &rpc.ProbeRequest{})
	if err != nil {
		return wire.LoadSample{}, err
	}
	return wire.LoadSample{
		InFlight: int(response.InFlight),
		Queued:   int(response.Queued),
		Latency:  time.Duration(response.LatencyUs) * time.Microsecond,
		Draining: response.Draining,
	}, nil
}

// Close closes idle connections.
func (p *Clients) Close() {
	p.Pooled.CloseIdleConnections()
	p.unpooled.CloseIdleConnections()
}
