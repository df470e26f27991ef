package daemon

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/acacialock/acacialock/internal/cluster"
	"github.com/acacialock/acacialock/internal/rpc"
	"github.com/acacialock/acacialock/internal/wire"
)

const (
	peerDialTimeout = 500 * time.Millisecond
	peerIdleTimeout = 90 * time.Second
	peerIdleConns   = 2 // per node
)

type dialFunc = func(ctx context.Context, network, addr string) (net.Conn, error)

// peerClients makes twirp clients for other nodes.
type peerClients struct {
	kept  *http.Client // keeps connections
	fresh *http.Client // opens a connection for each call
}

func newPeerClients(metering *metering, dial dialFunc) *peerClients {
	if dial == nil {
		dial = (&net.Dialer{Timeout: peerDialTimeout}).DialContext
	}
	metering.next = &http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: peerIdleConns,
		IdleConnTimeout:     peerIdleTimeout,
		DisableCompression:  true,
	}
	return &peerClients{
		kept: &http.Client{Transport: metering},
		fresh: &http.Client{Transport: &http.Transport{
			DialContext:        dial,
			DisableKeepAlives:  true,
			DisableCompression: true,
		}},
	}
}

func baseURL(addr string) string { return "http://" + addr }

func (p *peerClients) control(addr string) rpc.Control {
	return rpc.NewControlProtobufClient(baseURL(addr), p.kept)
}

func (p *peerClients) keys(addr string) rpc.Keys {
	return rpc.NewKeysProtobufClient(baseURL(addr), p.kept)
}

// attemptsOnNewConnection asks on a connection of its own, since the pooled ones may be silent.
func (p *peerClients) attemptsOnNewConnection(addr string) rpc.Attempts {
	return rpc.NewAttemptsProtobufClient(baseURL(addr), p.fresh)
}

// probe asks a node for its load.
func (p *peerClients) probe(ctx context.Context, member cluster.Member) (wire.LoadSample, error) {
	client := rpc.NewLoadProtobufClient(baseURL(member.PeerAddr), p.kept)
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

func (p *peerClients) close() {
	p.kept.CloseIdleConnections()
	p.fresh.CloseIdleConnections()
}
