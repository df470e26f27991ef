// Package peerclient makes clients for the services of other nodes.
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
)

// Clients makes twirp clients for other nodes. Safe for concurrent use.
type Clients struct {
	// Kept keeps connections.
	Kept  *http.Client
	fresh *http.Client // opens a connection for each call
	dial  forward.DialFunc
}

// New returns clients that open connections with dial, or with a net.Dialer when it is nil. wrap may put a round tripper
// around the one that keeps connections; nil leaves it.
func New(dial forward.DialFunc, wrap func(http.RoundTripper) http.RoundTripper) *Clients {
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	dial = forward.DialWithin(peerDialTimeout, dial)
	var kept http.RoundTripper = &http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: peerIdleConns,
		IdleConnTimeout:     peerIdleTimeout,
		DisableCompression:  true,
	}
	if wrap != nil {
		kept = wrap(kept)
	}
	return &Clients{
		dial: dial,
		Kept: &http.Client{Transport: kept},
		fresh: &http.Client{Transport: &http.Transport{
			DialContext:        dial,
			DisableKeepAlives:  true,
			DisableCompression: true,
		}},
	}
}

func baseURL(addr string) string { return "http://" + addr }

// Control returns a client of a node's control service.
func (p *Clients) Control(addr string) rpc.Control {
	return rpc.NewControlProtobufClient(baseURL(addr), p.Kept)
}

// Keys returns a client of a node's key service.
func (p *Clients) Keys(addr string) rpc.Keys {
	return rpc.NewKeysProtobufClient(baseURL(addr), p.Kept)
}

// AttemptsOnNewConnection asks on a connection of its own, since the pooled ones may be silent.
func (p *Clients) AttemptsOnNewConnection(addr string) rpc.Attempts {
	return rpc.NewAttemptsProtobufClient(baseURL(addr), p.fresh)
}

// Reach reports whether a node accepts a new connection.
func (p *Clients) Reach(ctx context.Context, member cluster.Member) bool {
	conn, err := p.dial(ctx, "tcp", member.PeerAddr)
	if err != nil {
		return false // the caller counts it
	}
	_ = conn.Close() // nothing was sent
	return true
}

// Probe asks a node for its load.
func (p *Clients) Probe(ctx context.Context, member cluster.Member) (wire.LoadSample, error) {
	client := rpc.NewLoadProtobufClient(baseURL(member.PeerAddr), p.Kept)
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
	p.Kept.CloseIdleConnections()
	p.fresh.CloseIdleConnections()
}
